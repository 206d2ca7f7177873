"""Drain an instance: stop without interrupting requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from gentianhitch.callers.caller_factory import CallerFactory
from gentianhitch.proxy.registration import Registration

CLOSE_IDLE_AFTER_S = 2.0
"""By then all callers have queried the directory again, even slow ones."""

STOP_LISTENING_AFTER_S = 2.6
"""Below 3 s after the stop signal; later no request may be interrupted."""

KILL_MARGIN_S = 0.4
"""Margin between the end of a drain and the time at which the process is killed."""

LAST_DELIVERY_S = 0.1
"""Part of the margin in which the last responses are delivered."""


async def drain(
    reactor: Any,
    callers: CallerFactory,
    stop_listening: Callable[[], None],
    registration: Registration,
    refuse_after: Callable[[float], None],
    on_error: Callable[[Failure], None],
    *,
    began_s: float,
    grace_s: float,
) -> None:
    """Deregister, wait until cached directory responses expire, finish requests, close.

    Requests that are complete only after the listener is closed are refused. The
    platform kills the instance ``grace_s`` seconds after the stop signal, which came at
    ``began_s``; the steps don't wait longer if the event loop lags.
    """
    callers.is_leaving = True
    refuse_after(began_s + STOP_LISTENING_AFTER_S)
    leaving = Deferred.fromCoroutine(registration.leave())
    await _wait_until(reactor, began_s + CLOSE_IDLE_AFTER_S)
    _run(callers.close_idle, on_error)
    await _wait_until(reactor, began_s + STOP_LISTENING_AFTER_S)
    _run(stop_listening, on_error)
    _run(callers.close_idle, on_error)
    await _when_idle(reactor, callers, began_s + grace_s - KILL_MARGIN_S)
    if callers.is_serving:
        callers.respond_now()
        await _when_idle(reactor, callers, reactor.seconds() + LAST_DELIVERY_S)
    # Refuses what has arrived since.
    _run(callers.close_idle, on_error)
    await leaving


def _run(step: Callable[[], None], on_error: Callable[[Failure], None]) -> None:
    """Run a step whose errors must not end the requests that are being served."""
    try:
        step()
    except Exception:
        on_error(Failure())


def _wait_until(reactor: Any, at_s: float) -> Deferred[None]:
    delay_s = max(at_s - reactor.seconds(), 0.0)
    return deferLater(reactor, delay_s, lambda: None)


def _when_idle(reactor: Any, callers: CallerFactory, end_s: float) -> Deferred[None]:
    """Fire when nothing is served or delivered any more, or at ``end_s``."""
    idle: Deferred[None] = Deferred()
    if not callers.is_busy:
        idle.callback(None)
        return idle
    callers.on_idle = lambda: idle.callback(None)
    delay_s = max(end_s - reactor.seconds(), 0.0)
    timer = reactor.callLater(delay_s, callers.stop_waiting)
    idle.addBoth(lambda _: timer.cancel() if timer.active() else None)
    return idle
