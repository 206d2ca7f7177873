"""Run calls to an entry instance on behalf of the commands."""

from __future__ import annotations

import getpass
import re
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from typing import TypeVar

import attrs
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.clock import MonotonicClock
from gentianhitch.errors import ExitCode
from gentianhitch.errors import UsageError
from gentianhitch.operators import answers
from gentianhitch.operators.documents import Change
from gentianhitch.operators.entry_client import EntryCallError
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.reactor_run import run_until_done

T = TypeVar("T")

MAX_CHANGE_ATTEMPTS = 3
POLL_INTERVAL_S = 0.2

Work = Callable[[EntryClient], Coroutine[Any, Any, T]]


class OperatorKeyFileError(UsageError):
    """The operator key file could not be read or does not hold exactly one key."""


@attrs.frozen
class Connection:
    """Entry instance and operator credentials of a command.

    ``entry`` is IP:PORT. An empty ``operator`` defaults to the login name.
    """

    entry: str
    operator_key_file: Path
    operator: str

    def run(self, work: Work[T]) -> T:
        """Run ``work`` with a client of the entry instance until it is done.

        Raise UsageError if the address is invalid and OperatorKeyFileError if the key
        cannot be read.
        """
        address = _parse_address(self.entry)
        key = _read_key(self.operator_key_file)
        operator = self.operator or getpass.getuser()

        def start(reactor: Any) -> Deferred[T]:
            client = EntryClient(reactor, address, key, operator)
            return Deferred.fromCoroutine(work(client))

        result: T = run_until_done(start)
        return result


async def send_change(
    client: EntryClient, method: str, path: str, call: object, kind: type[T]
) -> T:
    """Send a change and retry it while its outcome is unknown.

    Retries are idempotent because they carry the same change id. Raise EntryCallError.
    """
    last_error: EntryCallError | None = None
    for _ in range(MAX_CHANGE_ATTEMPTS):
        try:
            return await client.change(method, path, call, kind)
        except EntryCallError as error:
            last_error = _select_error_to_report(error, last_error)
    assert last_error is not None
    raise last_error


def _select_error_to_report(
    error: EntryCallError, earlier: EntryCallError | None
) -> EntryCallError:
    """Return the error to report if no later attempt succeeds.

    Raise ``error`` if it determines the outcome of the change.
    """
    if error.exit_code == ExitCode.OUTCOME_UNKNOWN:
        return error
    # This attempt changed nothing, but an earlier one may have taken effect.
    if error.exit_code == ExitCode.FAILED and earlier is not None:
        return earlier
    raise error


async def wait_in_force(client: EntryClient, change: Change, wait_s: float) -> None:
    """Poll until the change is in force, and print whether it is.

    Give up after ``wait_s`` seconds; do nothing if it is not positive.
    """
    if wait_s <= 0:
        return
    clock = MonotonicClock(client.reactor)
    deadline = clock.seconds() + wait_s
    while clock.seconds() < deadline:
        if await _read_in_force(client) >= change.sequence:
            print(f"sequence {change.sequence} is in force everywhere")
            return
        await deferLater(client.reactor, POLL_INTERVAL_S)
    print(f"sequence {change.sequence} is not yet in force after {wait_s:g} s")


async def _read_in_force(client: EntryClient) -> int:
    try:
        return (await client.get("/status", answers.StatusResponse)).in_force
    except EntryCallError:
        # A failed poll does not affect the change, which is already accepted.
        return 0


def print_response(
    path: str, kind: type[Any], entry: str, operator_key_file: Path, operator: str
) -> int:
    """Print the response to ``GET path``, of class ``kind``, as JSON."""
    response = Connection(entry, operator_key_file, operator).run(
        lambda client: client.get(path, kind)
    )
    print(msgspec.json.format(json_codec.encode(response), indent=2).decode())
    return ExitCode.OK


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise UsageError(f"--entry: {error}") from error


def _read_key(path: Path) -> str:
    try:
        key = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorKeyFileError(f"cannot read {str(path)!r}: {error}") from error
    if not re.fullmatch(r"[\x21-\x7e]+", key):
        raise OperatorKeyFileError(f"{str(path)!r} does not hold one key on one line")
    return key
