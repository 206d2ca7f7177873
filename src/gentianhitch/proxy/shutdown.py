"""Drain an instance: stop without interrupting requests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

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
    refuse_requests: Callable[[], None],
    grace_s: float,
) -> None:
    """Deregister, wait until cached directory responses expire, finish requests, close.

    Requests that are complete only after the listener is closed are refused.
    The platform kills the instance ``grace_s`` seconds after the start of the drain.
    """
    end_s = reactor.seconds() + grace_s - KILL_MARGIN_S
    callers.is_leaving = True
    leaving = Deferred.fromCoroutine(registration.leave())
    await deferLater(reactor, CLOSE_IDLE_AFTER_S, lambda: None)
    callers.close_idle()
    await deferLater(reactor, STOP_LISTENING_AFTER_S - CLOSE_IDLE_AFTER_S, lambda: None)
    stop_listening()
    refuse_requests()
    callers.close_idle()
    await _when_idle(reactor, callers, end_s)
    await leaving


def _when_idle(reactor: Any, callers: CallerFactory, end_s: float) -> Deferred[None]:
    """Fire when nothing is served or delivered any more, or shortly after ``end_s``.

    At ``end_s`` the requests that are still served get their final response.
    """
    idle: Deferred[None] = Deferred()
    remaining_s = end_s - reactor.seconds()
    if not callers.is_busy or remaining_s <= 0:
        idle.callback(None)
        return idle
    callers.on_idle = lambda: idle.callback(None)
    timers = [
        reactor.callLater(remaining_s, callers.respond_now),
        reactor.callLater(remaining_s + LAST_DELIVERY_S, callers.stop_waiting),
    ]
    idle.addBoth(lambda _: [timer.cancel() for timer in timers if timer.active()])
    return idle
