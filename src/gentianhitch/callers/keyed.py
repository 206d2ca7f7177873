"""Decide whether a request with an idempotency key is run, relayed or replayed."""

from __future__ import annotations

import hashlib

import attrs

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.responses import ResponseHead
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.requests import RelayMode
from gentianhitch.callers.requests import RequestHead
from gentianhitch.decisions.idempotency import MAX_STORED_RESPONSE_BYTES
from gentianhitch.decisions.idempotency import KeyOwners
from gentianhitch.decisions.idempotency import KeyOwnership
from gentianhitch.decisions.idempotency import KeyRecord
from gentianhitch.decisions.idempotency import KeyRecords
from gentianhitch.decisions.idempotency import KeyVerdict
from gentianhitch.decisions.idempotency import OwnershipStatus
from gentianhitch.decisions.idempotency import StoredResponse
from gentianhitch.decisions.idempotency import key_id


@attrs.frozen
class Run:
    """Run the request on this instance."""


@attrs.frozen
class Relay:
    """Send the request to the instance at ``address``, to run it or as a query."""

    address: Address
    mode: RelayMode


@attrs.frozen
class Replay:
    """Send the stored response of the first request."""

    response: StoredResponse


KeyStep = Run | Relay | Replay | Refusal


def fingerprint(head: RequestHead, body: bytes) -> bytes:
    """Hash method, target and body, to detect different requests with the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (head.method.encode(), head.target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


class KeyedRequest:
    """One request with an idempotency key, until it is run, relayed or refused."""

    def __init__(
        self,
        owners: KeyOwners,
        records: KeyRecords,
        head: RequestHead,
        workspace: str | None,
    ) -> None:
        self._owners = owners
        self._records = records
        self._head = head
        self._workspace = workspace
        self._key = head.idempotency_key or b""
        self._id = key_id(workspace, self._key)
        self._confirmed_by: set[Address] = set()
        self._declined_by: set[Address] = set()
        self._is_confirmed_for_all = False
        self._is_running = False
        self._captured: list[bytes] | None = []
        self._captured_bytes = 0

    def is_decided_here(self, now: float) -> bool:
        """Return whether this instance is the one that decides about the key."""
        ownership = self._locate(now)
        return ownership.status in (OwnershipStatus.LOCAL, OwnershipStatus.CONFIRM)

    def next_step(self, now: float, request_digest: bytes) -> KeyStep:
        """Return what to do next; ``request_digest`` is the request's fingerprint.

        Call it again after each response of a queried instance.
        """
        if self._is_running:
            return Run()
        record = self._records.find(self._id, now)
        if record is not None:
            return _repeat_step(record, is_same=record.fingerprint == request_digest)
        ownership = self._locate(now)
        if ownership.status is OwnershipStatus.MOVED:
            return _refuse_unknown(Cause.KEY_MOVED)
        if ownership.status is OwnershipStatus.REMOTE:
            return self._relay_step(ownership, now)
        if ownership.status is OwnershipStatus.CONFIRM:
            step = self._query_step(ownership)
            if step is not None:
                return step
        return self._start_run(now, request_digest)

    def record_confirmation(self, address: Address, mode: RelayMode) -> None:
        """Record that the instance at ``address`` confirms that the key did not run."""
        self._confirmed_by.add(address)
        if mode is RelayMode.QUERY_HISTORY:
            self._is_confirmed_for_all = True

    def record_decline(self, address: Address) -> None:
        """Record that the instance at ``address`` can't confirm it."""
        self._declined_by.add(address)

    def capture(self, data: bytes) -> None:
        """Buffer the response body for replays, up to MAX_STORED_RESPONSE_BYTES."""
        if self._captured is None:
            return
        self._captured_bytes += len(data)
        self._captured.append(data)
        if self._captured_bytes > MAX_STORED_RESPONSE_BYTES:
            self._captured = None

    def record_end(
        self,
        *,
        may_have_run: bool,
        response: ResponseHead | None,
        is_complete: bool,
        now: float,
    ) -> None:
        """Store the result for repeats if the request ran on this instance.

        The key is forgotten if the request certainly did not run.
        """
        if not self._is_running:
            return
        self._is_running = False
        if not may_have_run:
            self._records.discard(self._id)
            return
        stored = None
        if response is not None and is_complete and self._captured is not None:
            stored = StoredResponse(
                response.status,
                response.reason,
                tuple(response.headers),
                b"".join(self._captured),
            )
        status = None if response is None else response.status
        self._records.finish(self._id, status, stored, now)

    def _locate(self, now: float) -> KeyOwnership:
        return self._owners.locate(self._workspace, self._key, now)

    def _relay_step(self, ownership: KeyOwnership, now: float) -> KeyStep:
        assert ownership.address is not None
        mode = self._head.relay
        if mode is None:
            return Relay(ownership.address, RelayMode.RUN)
        confirms_not_run = mode is not RelayMode.RUN and self._owners.confirms_not_run(
            self._workspace, self._key, now, for_fleet=mode is RelayMode.QUERY_HISTORY
        )
        return Refusal(
            Cause.MISDIRECTED,
            RefusalOutcome.UNKNOWN,
            address=ownership.address,
            confirms_not_run=confirms_not_run,
        )

    def _query_step(self, ownership: KeyOwnership) -> KeyStep | None:
        if ownership.any_peer_suffices and self._is_confirmed_for_all:
            return None
        if not ownership.any_peer_suffices and self._confirmed_by.issuperset(
            ownership.peers_to_ask
        ):
            return None
        if self._head.relay in (RelayMode.QUERY_LOCAL, RelayMode.QUERY_HISTORY):
            # The querying instance decides; two that query each other would deadlock.
            return _refuse_unknown(Cause.KEY_MOVED)
        mode = (
            RelayMode.QUERY_HISTORY
            if ownership.any_peer_suffices
            else RelayMode.QUERY_LOCAL
        )
        for address in ownership.peers_to_ask:
            if address not in self._confirmed_by and address not in self._declined_by:
                return Relay(address, mode)
        return _refuse_unknown(Cause.KEY_MOVED)

    def _start_run(self, now: float, request_digest: bytes) -> KeyStep:
        verdict = self._records.begin(self._id, request_digest, now).verdict
        if verdict is KeyVerdict.FULL:
            return Refusal(Cause.NO_MEMORY)
        self._is_running = True
        return Run()


def _repeat_step(record: KeyRecord, *, is_same: bool) -> KeyStep:
    if not is_same:
        return _refuse_unknown(Cause.KEY_REUSED)
    if record.response is not None:
        return Replay(record.response)
    detail = f"the first request is {record.state.value}"
    if record.status is not None:
        detail = f"the first request was answered with {record.status}"
    return _refuse_unknown(Cause.REPEATED, detail)


def _refuse_unknown(cause: Cause, detail: str = "") -> Refusal:
    return Refusal(cause, RefusalOutcome.UNKNOWN, detail)
