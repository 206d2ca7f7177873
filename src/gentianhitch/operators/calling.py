"""Call an entry instance from a command."""

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
    """The file of the operator key could not be read."""


@attrs.frozen
class Connection:
    """Where and as whom a command calls."""

    entry: str
    operator_key_file: Path
    operator: str

    def run(self, work: Work[T]) -> T:
        """Run ``work`` with a client of the entry instance."""
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
    """Send a change again while its outcome is unknown; its id makes that safe."""
    unknown: EntryCallError | None = None
    for _ in range(MAX_CHANGE_ATTEMPTS):
        try:
            return await client.change(method, path, call, kind)
        except EntryCallError as error:
            unknown = _select_error_to_report(error, unknown)
    assert unknown is not None
    raise unknown


def _select_error_to_report(
    error: EntryCallError, earlier: EntryCallError | None
) -> EntryCallError:
    """Return the error to report last; raise one that settles the outcome."""
    if error.exit_code == ExitCode.OUTCOME_UNKNOWN:
        return error
    # "Nothing was changed" holds for this attempt, not for an earlier one.
    if error.exit_code == ExitCode.FAILED and earlier is not None:
        return earlier
    raise error


async def wait_in_force(client: EntryClient, change: Change, wait_s: float) -> None:
    """Poll until the change is in force, and print whether it is."""
    if wait_s <= 0:
        return
    clock = MonotonicClock(client.reactor)
    ends_at = clock.seconds() + wait_s
    while clock.seconds() < ends_at:
        if await _read_in_force(client) >= change.sequence:
            print(f"sequence {change.sequence} is in force everywhere")
            return
        await deferLater(client.reactor, POLL_INTERVAL_S)
    print(f"sequence {change.sequence} is not yet in force after {wait_s:g} s")


async def _read_in_force(client: EntryClient) -> int:
    try:
        return (await client.get("/status", answers.StatusResponse)).in_force
    except EntryCallError:
        # The change is accepted all the same.
        return 0


def print_response(
    path: str, kind: type[Any], entry: str, operator_key_file: Path, operator: str
) -> int:
    """Read something and print it as JSON."""
    answer = Connection(entry, operator_key_file, operator).run(
        lambda client: client.get(path, kind)
    )
    print(msgspec.json.format(json_codec.encode(answer), indent=2).decode())
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
