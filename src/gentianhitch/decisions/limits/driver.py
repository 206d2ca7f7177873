"""Run the limiter on the transport and the clock of the reactor."""

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
    """Drive a limiter with timers and messages; implements TokenSource.

    Waiting requests are kept here and retried every POLL_INTERVAL_S.
    """

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
        self._maintenance_loop = LoopingCall(self._run_maintenance)
        self._poll_loop = LoopingCall(self._poll)
        self._maintenance_loop.clock = self._poll_loop.clock = clock
        self._waiting: list[tuple[str, float, float, Deferred[TokenVerdict]]] = []
        self._handover_done: Deferred[bool] | None = None
        self._handover_deadline = 0.0
        for message_type in limiter.message_types:
            transport.subscribe(message_type, self._receive)

    def start(self) -> None:
        """Start the maintenance, at once and then each ROUND_INTERVAL_S."""
        self._maintenance_loop.start(ROUND_INTERVAL_S, now=True)

    def stop(self) -> None:
        """Stop all timers and refuse waiting requests."""
        for call in (self._maintenance_loop, self._poll_loop):
            if call.running:
                call.stop()
        waiting, self._waiting = self._waiting, []
        for _, _, _, result in waiting:
            result.callback(TokenVerdict.REFUSED)

    def take(
        self, workspace: str, max_wait_s: float = MAX_WAIT_S
    ) -> Deferred[TokenVerdict]:
        """Take a token, waiting up to ``max_wait_s``; the result is never WAIT."""
        now = self._now()
        result: Deferred[TokenVerdict] = Deferred(self._cancel_wait)
        verdict = self.limiter.take(workspace, now)
        if verdict is not TokenVerdict.WAIT:
            result.callback(verdict)
            return result
        end = now + min(max_wait_s, MAX_WAIT_S)
        self._waiting.append((workspace, now, end, result))
        if not self._poll_loop.running:
            self._poll_loop.start(POLL_INTERVAL_S, now=False)
        return result

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the delay in seconds after which to retry a refused request."""
        return self.limiter.retry_after_s(workspace, now)

    def begin_leaving(self) -> Deferred[bool]:
        """Hand shares over; True once acknowledged, False after TRANSFER_TIMEOUT_S."""
        if self._handover_done is None:
            self._handover_done = Deferred()
            self._handover_deadline = self._now() + TRANSFER_TIMEOUT_S
            self.limiter.begin_leaving(self._now())
            if not self._poll_loop.running:
                self._poll_loop.start(POLL_INTERVAL_S, now=False)
        return self._handover_done

    def _cancel_wait(self, result: Deferred[TokenVerdict]) -> None:
        for item in self._waiting:
            if item[3] is result:
                self.limiter.token_fetcher.remove_waiting(item[0])
                self._waiting.remove(item)
                return

    def _receive(self, sender: InstanceId, body: Any) -> None:
        self.limiter.receive(sender, body, self._now())
        self._serve()

    def _run_maintenance(self) -> None:
        self.limiter.tick(self._now())

    def _poll(self) -> None:
        now = self._now()
        self.limiter.poll(now)
        self._serve()
        self._check_handover(now)
        idle = not self._waiting and not self.limiter.token_fetcher.is_active
        done = self._handover_done is None or self._handover_done.called
        if idle and done and self._poll_loop.running:
            self._poll_loop.stop()

    def _serve(self) -> None:
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            workspace, since, end, result = item
            now = self._now()
            if now >= end:
                self.limiter.expire_wait(workspace)
                result.callback(TokenVerdict.REFUSED)
                continue
            verdict = self.limiter.take(workspace, now, since=since)
            if verdict is TokenVerdict.WAIT:
                self._waiting.append(item)
            else:
                result.callback(verdict)

    def _check_handover(self, now: float) -> None:
        if self._handover_done is None or self._handover_done.called:
            return
        self.limiter.succession.tick(now)
        done = self.limiter.succession.is_done
        if done or now >= self._handover_deadline:
            self._handover_done.callback(done)
