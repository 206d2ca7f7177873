"""Subcommands of ``keys``: list, give and withdraw."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from pathlib import Path

from gentianhitch.errors import ExitCode
from gentianhitch.operators import answers
from gentianhitch.operators import keys as key_changes
from gentianhitch.operators.calling import Connection
from gentianhitch.operators.calling import print_response
from gentianhitch.operators.calling import send_change
from gentianhitch.operators.calling import wait_in_force
from gentianhitch.operators.entry_client import EntryCallError
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.operators.keys import KeyChange


def list_keys(*, entry: str, operator_key_file: Path, operator: str = "") -> int:
    """List the key ids of every workspace, as JSON.

    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    return print_response(
        "/keys", answers.KeysResponse, entry, operator_key_file, operator
    )


def give_key(
    workspace: str, *, entry: str, operator_key_file: Path, operator: str = ""
) -> int:
    """Give a workspace a new key and print it; it cannot be shown again.

    :param workspace: name of the workspace
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    """
    # Only the hash is sent, so that no instance ever receives the new key.
    key = key_changes.generate_key()
    key_hash = key_changes.hash_key(key)
    call = answers.GiveKeyCall(uuid.uuid4().hex, workspace, key_hash)
    try:
        changed = Connection(entry, operator_key_file, operator).run(
            lambda client: send_change(client, "POST", "/keys/give", call, KeyChange)
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
    wait_s: float = 0,
) -> int:
    """Withdraw a key from a workspace.

    :param workspace: name of the workspace
    :param key_id: key id, or a longer prefix of the key's hash
    :param entry: address IP:PORT of any entry instance
    :param operator_key_file: file that holds the operator key
    :param operator: name shown to other operators; default: the login name
    :param wait_s: seconds to wait until the change is in force everywhere
    """
    call = answers.WithdrawKeyCall(uuid.uuid4().hex, workspace, key_id)

    async def work(client: EntryClient) -> KeyChange:
        changed = await send_change(client, "POST", "/keys/withdraw", call, KeyChange)
        await wait_in_force(client, changed.change, wait_s)
        return changed

    changed = Connection(entry, operator_key_file, operator).run(work)
    print(f"key id {changed.key_id} withdrawn, revision {changed.change.revision}")
    return ExitCode.OK


KEY_COMMANDS: dict[str, Callable[..., int]] = {
    "give": give_key,
    "withdraw": withdraw_key,
    "list": list_keys,
}
