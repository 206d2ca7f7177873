"""Tie the limiter to the transport and the runtime's clock."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import POLL_INTERVAL_S
from gentianhitch.decisions.limits.constants import ROUND_INTERVAL_S
from gentianhitch.decisions.limits.constants import TRANSFER_TIMEOUT_S
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class LimitsDriver:
    """Run rounds, pass messages on and let requests wait; implements TokenSource."""

    def __init__(
        self,
        limiter: LocalLimiter,
        transport: Transport,
        clock: IReactorTime,
        now: Callable[[], float],
    ) -> None:
        self.limiter = limiter
        self._clock = clock
        self._now = now
        self._rounds = LoopingCall(self._round)
        self._polls = LoopingCall(self._poll)
        self._rounds.clock = self._polls.clock = clock
        self._waiting: list[tuple[str, float, float, Deferred[TokenVerdict]]] = []
        self._left: Deferred[bool] | None = None
        self._leave_by = 0.0
        for kind in limiter.message_types:
            transport.subscribe(kind, self._receive)

    def start(self) -> None:
        """Begin the rounds."""
        self._rounds.start(ROUND_INTERVAL_S, now=True)

    def stop(self) -> None:
        """End the rounds; requests that wait are refused."""
        for call in (self._rounds, self._polls):
            if call.running:
                call.stop()
        waiting, self._waiting = self._waiting, []
        for _, _, _, answer in waiting:
            answer.callback(TokenVerdict.REFUSED)

    def take(
        self, workspace: str, max_wait_s: float = MAX_WAIT_S
    ) -> Deferred[TokenVerdict]:
        """Take a token, waiting ``max_wait_s`` at most; never gives WAIT."""
        now = self._now()
        answer: Deferred[TokenVerdict] = Deferred(self._abandon)
        verdict = self.limiter.take(workspace, now)
        if verdict is not TokenVerdict.WAIT:
            answer.callback(verdict)
            return answer
        end = now + min(max_wait_s, MAX_WAIT_S)
        self._waiting.append((workspace, now, end, answer))
        if not self._polls.running:
            self._polls.start(POLL_INTERVAL_S, now=False)
        return answer

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the time after which a refused request may be repeated."""
        return self.limiter.retry_after_s(workspace, now)

    def begin_leaving(self) -> Deferred[bool]:
        """Hand the shares over; True when acknowledged, False after a timeout."""
        if self._left is None:
            self._left = Deferred()
            self._leave_by = self._now() + TRANSFER_TIMEOUT_S
            self.limiter.begin_leaving(self._now())
            if not self._polls.running:
                self._polls.start(POLL_INTERVAL_S, now=False)
        return self._left

    def _abandon(self, answer: Deferred[TokenVerdict]) -> None:
        for item in self._waiting:
            if item[3] is answer:
                self.limiter.token_fetcher.remove_waiting(item[0])
                self._waiting.remove(item)
                return

    def _receive(self, sender: InstanceId, body: Any) -> None:
        self.limiter.receive(sender, body, self._now())
        self._serve()

    def _round(self) -> None:
        self.limiter.tick(self._now())

    def _poll(self) -> None:
        now = self._now()
        self.limiter.poll(now)
        self._serve()
        self._check_left(now)
        idle = not self._waiting and not self.limiter.token_fetcher.is_active
        done = self._left is None or self._left.called
        if idle and done and self._polls.running:
            self._polls.stop()

    def _serve(self) -> None:
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            workspace, since, end, answer = item
            now = self._now()
            if now >= end:
                self.limiter.expire_wait(workspace)
                answer.callback(TokenVerdict.REFUSED)
                continue
            verdict = self.limiter.take(workspace, now, since=since)
            if verdict is TokenVerdict.WAIT:
                self._waiting.append(item)
            else:
                answer.callback(verdict)

    def _check_left(self, now: float) -> None:
        if self._left is None or self._left.called:
            return
        self.limiter.succession.tick(now)
        done = self.limiter.succession.is_done
        if done or now >= self._leave_by:
            self._left.callback(done)
