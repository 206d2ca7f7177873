"""Decide about one request that carries an idempotency key."""

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
from gentianhitch.decisions.idempotency import MAX_ANSWER_BYTES
from gentianhitch.decisions.idempotency import IdempotencyPins
from gentianhitch.decisions.idempotency import KeyMemory
from gentianhitch.decisions.idempotency import KeyRecord
from gentianhitch.decisions.idempotency import KeyVerdict
from gentianhitch.decisions.idempotency import Pin
from gentianhitch.decisions.idempotency import PinPlace
from gentianhitch.decisions.idempotency import StoredAnswer
from gentianhitch.decisions.idempotency import key_id


@attrs.frozen
class Run:
    """Run the request here."""


@attrs.frozen
class Relay:
    """Pass the request to the instance at ``address``."""

    address: Address
    mode: RelayMode


@attrs.frozen
class Replay:
    """Give the answer of the first request again."""

    answer: StoredAnswer


KeyStep = Run | Relay | Replay | Refusal


def fingerprint(head: RequestHead, body: bytes) -> bytes:
    """Return what tells one request from another under the same key."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (head.method.encode(), head.target, body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


class KeyedRequest:
    """Follow one request with a key until it ran, was passed on or refused."""

    def __init__(
        self,
        pins: IdempotencyPins,
        memory: KeyMemory,
        head: RequestHead,
        workspace: str | None,
    ) -> None:
        self._pins = pins
        self._memory = memory
        self._head = head
        self._workspace = workspace
        self._key = head.idempotency_key or b""
        self._id = key_id(workspace, self._key)
        self._vouched: set[Address] = set()
        self._declined: set[Address] = set()
        self._vouched_for_all = False
        self._running = False
        self._captured: list[bytes] | None = []
        self._captured_bytes = 0

    def is_decided_here(self, now: float) -> bool:
        """Tell whether this instance may run the request."""
        pin = self._locate(now)
        return pin.place in (PinPlace.HERE, PinPlace.ASK)

    def next_step(self, now: float, request: bytes) -> KeyStep:
        """Return what to do with the request, whose fingerprint is ``request``."""
        if self._running:
            return Run()
        record = self._memory.find(self._id, now)
        if record is not None:
            return _repeat(record, same=record.fingerprint == request)
        pin = self._locate(now)
        if pin.place is PinPlace.MOVED:
            return _unknown(Cause.KEY_MOVED)
        if pin.place is PinPlace.ELSEWHERE:
            return self._pass_on(pin, now)
        if pin.place is PinPlace.ASK:
            step = self._ask(pin)
            if step is not None:
                return step
        return self._begin(now, request)

    def vouched(self, address: Address, mode: RelayMode) -> None:
        """Note that the instance at ``address`` says that the key did not run."""
        self._vouched.add(address)
        if mode is RelayMode.HISTORY:
            self._vouched_for_all = True

    def declined(self, address: Address) -> None:
        """Note that the instance at ``address`` can't say for all."""
        self._declined.add(address)

    def capture(self, data: bytes) -> None:
        """Keep the answer's body while it is small enough to be given again."""
        if self._captured is None:
            return
        self._captured_bytes += len(data)
        self._captured.append(data)
        if self._captured_bytes > MAX_ANSWER_BYTES:
            self._captured = None

    def ended(
        self,
        *,
        may_have_run: bool,
        answer: ResponseHead | None,
        whole: bool,
        now: float,
    ) -> None:
        """Remember how the request ended, if it ran here."""
        if not self._running:
            return
        self._running = False
        if not may_have_run:
            self._memory.forget(self._id)
            return
        stored = None
        if answer is not None and whole and self._captured is not None:
            stored = StoredAnswer(
                answer.status,
                answer.reason,
                tuple(answer.headers),
                b"".join(self._captured),
            )
        status = None if answer is None else answer.status
        self._memory.end(self._id, status, stored, now)

    def _locate(self, now: float) -> Pin:
        return self._pins.locate(self._workspace, self._key, now)

    def _pass_on(self, pin: Pin, now: float) -> KeyStep:
        assert pin.address is not None
        mode = self._head.relay
        if mode is None:
            return Relay(pin.address, RelayMode.RUN)
        vouches = mode is not RelayMode.RUN and self._pins.vouches(
            self._workspace, self._key, now, for_all=mode is RelayMode.HISTORY
        )
        return Refusal(
            Cause.MISDIRECTED,
            RefusalOutcome.UNKNOWN,
            address=pin.address,
            vouches=vouches,
        )

    def _ask(self, pin: Pin) -> KeyStep | None:
        if pin.any_for_all and self._vouched_for_all:
            return None
        if not pin.any_for_all and self._vouched.issuperset(pin.ask):
            return None
        if self._head.relay in (RelayMode.OWN, RelayMode.HISTORY):
            # The instance that asks decides; two that ask each other would wait.
            return _unknown(Cause.KEY_MOVED)
        mode = RelayMode.HISTORY if pin.any_for_all else RelayMode.OWN
        for address in pin.ask:
            if address not in self._vouched and address not in self._declined:
                return Relay(address, mode)
        return _unknown(Cause.KEY_MOVED)

    def _begin(self, now: float, request: bytes) -> KeyStep:
        verdict = self._memory.begin(self._id, request, now).verdict
        if verdict is KeyVerdict.FULL:
            return Refusal(Cause.NO_MEMORY)
        self._running = True
        return Run()


def _repeat(record: KeyRecord, *, same: bool) -> KeyStep:
    if not same:
        return _unknown(Cause.KEY_REUSED)
    if record.answer is not None:
        return Replay(record.answer)
    detail = f"the first request is {record.state.value}"
    if record.status is not None:
        detail = f"the first request was answered with {record.status}"
    return _unknown(Cause.REPEATED, detail)


def _unknown(cause: Cause, detail: str = "") -> Refusal:
    return Refusal(cause, RefusalOutcome.UNKNOWN, detail)
