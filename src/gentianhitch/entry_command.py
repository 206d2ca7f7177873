"""The ``entry`` subcommand, which runs one entry instance as a process."""

from __future__ import annotations

import signal
from collections.abc import Callable
from pathlib import Path

import msgspec

from gentianhitch import logs
from gentianhitch.entry import EntryInstance
from gentianhitch.errors import GentianhitchError
from gentianhitch.settings import load_settings


def entry(*, settings: Path) -> int:
    """Run one entry instance until SIGTERM or SIGINT.

    :param settings: the settings file, JSON with comments
    """
    from twisted.internet import reactor

    loaded = load_settings(settings)
    logs.configure(loaded.logs, loaded.instance)
    instance = EntryInstance(reactor, loaded)
    failures: list[GentianhitchError] = []

    def start_instance() -> None:
        try:
            ready = instance.start()
        except GentianhitchError as error:
            failures.append(error)
            reactor.stop()  # type: ignore[attr-defined]
            return
        print(msgspec.json.encode(ready, enc_hook=str).decode(), flush=True)

    def stop() -> None:
        reactor.callFromThread(instance.lifecycle.stop_requested)  # type: ignore[attr-defined]

    _handle_signals(stop)
    reactor.callWhenRunning(start_instance)  # type: ignore[attr-defined]
    reactor.run(installSignalHandlers=False)  # type: ignore[attr-defined,call-arg]
    if failures:
        raise failures[0]
    return instance.exit_code


def _handle_signals(stop: Callable[[], None]) -> None:
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: stop())
