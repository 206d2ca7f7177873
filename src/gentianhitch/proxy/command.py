"""The ``proxy`` subcommand: one entry instance on the users' platform."""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

import attrs
from twisted.internet.error import CannotListenError

from gentianhitch import event_loop
from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.platform.node_settings import load_node_settings
from gentianhitch.platform.wire_names import SETTINGS_VARIABLE
from gentianhitch.proxy.events import BoundedOutput
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.instance import ProxyInstance


def proxy(*, settings: Path | None = None) -> int:
    """Serve as one entry instance of the platform until SIGTERM or SIGINT.

    :param settings: the settings file; by default the one that the platform names
    """
    reactor = event_loop.install()
    # The reactor's default clock is the wall clock, which may be adjusted.
    reactor.seconds = _boot_clock
    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        loaded = load_node_settings(path)
    except GentianhitchError as error:
        print(f"gentianhitch: {error}", file=sys.stderr)
        return int(error.exit_code)
    output = BoundedOutput()
    output.open()
    events = Events(loaded.name, output)
    instance = ProxyInstance(reactor, loaded, path, events)
    starting = _Start(reactor, instance, events)
    reactor.callWhenRunning(starting.run)
    _handle_signals(reactor, instance)
    reactor.run(installSignalHandlers=False)
    return int(starting.exit_code)


@attrs.define
class _Start:
    """Starts an instance once the reactor runs; stops the reactor on failure."""

    _reactor: Any
    _instance: ProxyInstance
    _events: Events
    exit_code: ExitCode = ExitCode.OK

    def run(self) -> None:
        try:
            self._instance.start()
        except CannotListenError as error:
            # The port may become free; the platform restarts this process.
            self._events.state("cannot_listen", detail=str(error))
            self.exit_code = ExitCode.FAILED
            self._reactor.stop()


def _boot_clock() -> float:
    """Return the seconds since the machine booted, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _handle_signals(reactor: Any, instance: ProxyInstance) -> None:
    def stop(*_: object) -> None:
        # The grace runs from the signal, however late the event loop gets to it.
        reactor.callFromThread(instance.stop, reactor.seconds())

    def reload(*_: object) -> None:
        reactor.callFromThread(instance.reload)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    signal.signal(signal.SIGHUP, reload)
