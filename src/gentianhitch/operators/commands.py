"""Subcommands for operators: check, trial, promote, status, instance, document."""

from __future__ import annotations

import uuid
from pathlib import Path
from typing import Any

from gentianhitch import checked
from gentianhitch.errors import ExitCode
from gentianhitch.operators import answers
from gentianhitch.operators.calling import Connection
from gentianhitch.operators.calling import print_response
from gentianhitch.operators.calling import send_change
from gentianhitch.operators.calling import wait_in_force
from gentianhitch.operators.checking import FaultyDocumentError
from gentianhitch.operators.checking import check_document
from gentianhitch.operators.document import Document
from gentianhitch.operators.documents import Change
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.operators.key_commands import KEY_COMMANDS
from gentianhitch.operators.trial import TrialResponse

MAX_DIFFERENCES = 50


def check(document_file: Path) -> int:
    """Validate a document and print every fault with the record that has it.

    :param document_file: document file, JSON with comments
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
    """Put a document to trial and print the trial id for ``promote``.

    :param document_file: document file, JSON with comments
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    document = read_document_file(document_file)
    call = answers.TrialCall(uuid.uuid4().hex, document)
    response = Connection(entry, operator_key_file, operator).run(
        lambda client: send_change(client, "PUT", "/trial", call, TrialResponse)
    )
    if response.replaced is not None:
        print(f"replaced trial {response.replaced.id} of {response.replaced.tried_by}")
    for difference in response.differences[:MAX_DIFFERENCES]:
        print(f"  {difference}")
    if len(response.differences) > MAX_DIFFERENCES:
        print(f"  and {len(response.differences) - MAX_DIFFERENCES} more")
    # Scripts read the trial id from the last line.
    print(f"trial {response.trial.id} on revision {response.trial.base_revision}")
    return ExitCode.OK


def promote(
    trial_id: str,
    *,
    entry: str,
    operator_key_file: Path,
    operator: str = "",
    wait_s: float = 0,
) -> int:
    """Promote exactly the tried document to production.

    :param trial_id: the id that ``trial`` printed
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    :param wait_s: seconds to wait until the change is in force everywhere
    """
    call = answers.PromoteCall(trial_id)

    async def work(client: EntryClient) -> Change:
        change = await send_change(client, "POST", "/promote", call, Change)
        await wait_in_force(client, change, wait_s)
        return change

    change = Connection(entry, operator_key_file, operator).run(work)
    if change.replaced:
        print(
            f"accepted, and replaced since by revision {change.revision} of"
            f" {change.changed_by}"
        )
    else:
        print(f"accepted: revision {change.revision}, sequence {change.sequence}")
    return ExitCode.OK


def status(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Show the change in production and the current trial, as JSON.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    return print_response(
        "/status", answers.StatusResponse, entry, operator_key_file, operator
    )


def instance(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Show state, counters and histograms of one entry instance, as JSON.

    :param entry: address IP:PORT of that instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    kind = answers.InstanceReport
    return print_response("/instance", kind, entry, operator_key_file, operator)


def document(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """Print the document in production as JSON, for editing and a new trial.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    return print_response("/document", Document, entry, operator_key_file, operator)


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
    """Load and validate a document file; raise CheckError or FaultyDocumentError."""
    loaded = checked.load(path, Document)
    faults = check_document(loaded)
    if faults:
        raise FaultyDocumentError(faults)
    return loaded
