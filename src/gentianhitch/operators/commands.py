"""The operators' subcommands."""

from __future__ import annotations

import getpass
import re
import uuid
from collections.abc import Callable
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from typing import TypeVar

import attrs
import msgspec
from twisted.internet.defer import Deferred

from gentianhitch import checked
from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.errors import ExitCode
from gentianhitch.errors import UsageError
from gentianhitch.operators import answers
from gentianhitch.operators import keys as key_changes
from gentianhitch.operators.checking import FaultyDocumentError
from gentianhitch.operators.checking import check_document
from gentianhitch.operators.document import Document
from gentianhitch.operators.documents import Change
from gentianhitch.operators.entry_client import EntryCallError
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.operators.keys import KeyChange
from gentianhitch.operators.trial import TrialAnswer
from gentianhitch.reactor_run import run_until_done

T = TypeVar("T")

CHANGE_ATTEMPTS = 3

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


def check(document_file: Path) -> int:
    """Check a document and name every fault with its place.

    :param document_file: the document, JSON with comments
    """
    document = read_document_file(document_file)
    print(
        f"{document_file}: sound; {len(document.workspaces)} workspaces,"
        f" {len(document.services)} services,"
        f" {len(document.backend_servers)} backend servers,"
        f" {len(document.routes)} routes"
    )
    return ExitCode.OK


def trial(
    document_file: Path, *, entry: str, operator_key_file: Path, operator: str = ""
) -> int:
    """Put a document to trial and print the id that ``promote`` takes.

    :param document_file: the document, JSON with comments
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    document = read_document_file(document_file)
    call = answers.TrialCall(uuid.uuid4().hex, document)
    answer = Connection(entry, operator_key_file, operator).run(
        lambda client: _change(client, "PUT", "/trial", call, TrialAnswer)
    )
    if answer.replaced is not None:
        print(f"replaced trial {answer.replaced.id} of {answer.replaced.tried_by}")
    print(f"trial {answer.trial.id} on revision {answer.trial.base_revision}")
    return ExitCode.OK


def promote(
    trial_id: str, *, entry: str, operator_key_file: Path, operator: str = ""
) -> int:
    """Move exactly the tried document to production.

    :param trial_id: the id that ``trial`` printed
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    call = answers.PromoteCall(trial_id)
    change = Connection(entry, operator_key_file, operator).run(
        lambda client: _change(client, "POST", "/promote", call, Change)
    )
    if change.replaced:
        print(
            f"accepted, and replaced since by revision {change.revision} of"
            f" {change.changed_by}"
        )
    else:
        print(f"accepted: revision {change.revision}, sequence {change.sequence}")
    return ExitCode.OK


def status(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Show what is in production and on trial, as JSON.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    return _show("/status", answers.StatusAnswer, entry, operator_key_file, operator)


def instance(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Show state, counters and histograms of one entry instance, as JSON.

    :param entry: address IP:PORT of that instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    kind = answers.InstanceReport
    return _show("/instance", kind, entry, operator_key_file, operator)


def document(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Print the document in production, to edit and put to trial again.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    return _show("/document", Document, entry, operator_key_file, operator)


def list_keys(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """List the key ids of every workspace, as JSON.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    return _show("/keys", answers.KeysAnswer, entry, operator_key_file, operator)


def give_key(
    workspace: str, *, entry: str, operator_key_file: Path, operator: str = ""
) -> int:
    """Give a workspace a new key and show it this once.

    :param workspace: name of the workspace
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    # Only the hash travels, so that no instance ever holds the key.
    key = key_changes.generate_key()
    key_hash = key_changes.hash_key(key)
    call = answers.GiveKeyCall(uuid.uuid4().hex, workspace, key_hash)
    try:
        changed = Connection(entry, operator_key_file, operator).run(
            lambda client: _change(client, "POST", "/keys/give", call, KeyChange)
        )
    except EntryCallError as error:
        if error.exit_code != ExitCode.OUTCOME_UNKNOWN:
            raise
        hint = (
            f"key {key_changes.key_id(key_hash)} may have been given; see 'keys list'"
        )
        raise EntryCallError(f"{error}; {hint}", error.exit_code) from error
    print(f"key id {changed.key_id}, revision {changed.change.revision}; the key:")
    print(key)
    return ExitCode.OK


def withdraw_key(
    workspace: str,
    key_id: str,
    *,
    entry: str,
    operator_key_file: Path,
    operator: str = "",
) -> int:
    """Withdraw a key from a workspace.

    :param workspace: name of the workspace
    :param key_id: the key's id, or any longer start of its hash
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators
    """
    call = answers.WithdrawKeyCall(uuid.uuid4().hex, workspace, key_id)
    changed = Connection(entry, operator_key_file, operator).run(
        lambda client: _change(client, "POST", "/keys/withdraw", call, KeyChange)
    )
    print(f"key id {changed.key_id} withdrawn, revision {changed.change.revision}")
    return ExitCode.OK


KEY_COMMANDS: dict[str, Callable[..., int]] = {
    "give": give_key,
    "withdraw": withdraw_key,
    "list": list_keys,
}
COMMANDS: dict[str, Any] = {
    "check": check,
    "trial": trial,
    "promote": promote,
    "status": status,
    "instance": instance,
    "document": document,
    "keys": KEY_COMMANDS,
}


def read_document_file(path: Path) -> Document:
    """Read and check a document file; raise CheckError or FaultyDocumentError."""
    read = checked.load(path, Document)
    faults = check_document(read)
    if faults:
        raise FaultyDocumentError(faults)
    return read


async def _change(
    client: EntryClient, method: str, path: str, call: object, kind: type[T]
) -> T:
    """Send a change again while its outcome is unknown; its id makes that safe."""
    unknown: EntryCallError | None = None
    for _ in range(CHANGE_ATTEMPTS):
        try:
            return await client.change(method, path, call, kind)
        except EntryCallError as error:
            unknown = _still_unknown(error, unknown)
    assert unknown is not None
    raise unknown


def _still_unknown(
    error: EntryCallError, earlier: EntryCallError | None
) -> EntryCallError:
    """Return the error to report last; raise one that settles the outcome."""
    if error.exit_code == ExitCode.OUTCOME_UNKNOWN:
        return error
    # "Nothing was changed" holds for this attempt, not for an earlier one.
    if error.exit_code == ExitCode.FAILED and earlier is not None:
        return earlier
    raise error


def _show(
    path: str, kind: type[Any], entry: str, operator_key_file: Path, operator: str
) -> int:
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
