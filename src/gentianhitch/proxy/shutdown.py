"""Stop an instance without cutting a request."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianhitch.callers.pipelined_connection import CallerFactory
from gentianhitch.proxy.registration import Registration

CLOSE_IDLE_AFTER_S = 2.0
"""Callers have taken a new answer of the directory by then, even the slow ones."""

STOP_LISTENING_AFTER_S = 2.6
"""Before the third second of a stop, after which no request may be cut."""

KILL_MARGIN_S = 0.4
"""An instance ends so long before it would be killed."""


async def drain(
    reactor: Any,
    callers: CallerFactory,
    callers_port: Any,
    registration: Registration,
    grace_s: float,
) -> None:
    """Leave the directory, wait out its answers, finish requests, close.

    ``grace_s`` seconds after its beginning, the instance would be killed.
    """
    ends_s = reactor.seconds() + grace_s - KILL_MARGIN_S
    callers.is_leaving = True
    leaving = Deferred.fromCoroutine(registration.leave())
    await deferLater(reactor, CLOSE_IDLE_AFTER_S, lambda: None)
    callers.close_idle()
    await deferLater(reactor, STOP_LISTENING_AFTER_S - CLOSE_IDLE_AFTER_S, lambda: None)
    callers_port.stopListening()
    callers.close_idle()
    await _when_idle(reactor, callers, ends_s)
    await leaving


def _when_idle(reactor: Any, callers: CallerFactory, ends_s: float) -> Deferred[None]:
    """Fire when nothing is served any more, or at ``ends_s``."""
    idle: Deferred[None] = Deferred()
    left_s = ends_s - reactor.seconds()
    if not callers.is_busy or left_s <= 0:
        idle.callback(None)
        return idle
    callers.on_idle = lambda: idle.callback(None)
    timer = reactor.callLater(left_s, callers.respond_now)
    idle.addBoth(lambda _: timer.cancel() if timer.active() else None)
    return idle
