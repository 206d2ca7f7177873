"""Run ``python -m gentianhitch.proxy``."""

from __future__ import annotations

import os
import signal
import sys
from contextlib import suppress
from types import FrameType


def _stop_before_start(_number: int, _frame: FrameType | None) -> None:
    # SystemExit is swallowed if the signal arrives in a weakref callback, of which
    # imports run many; nothing is open yet that would have to be closed.
    os._exit(0)


def _end_process(code: int) -> None:
    """End the process without the interpreter's finalization, which takes long.

    The reactor has closed all sockets; log events are written without a buffer.
    """
    for stream in (sys.stdout, sys.stderr):
        # A stream is None if its descriptor was closed at the start.
        with suppress(OSError):
            if stream is not None:
                stream.flush()
    os._exit(code)


if __name__ == "__main__":
    # Imports take most of the start-up time. A stop during them interrupts no request,
    # and the settings are read only after them.
    signal.signal(signal.SIGTERM, _stop_before_start)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gentianhitch.proxy.command import proxy

    _end_process(proxy())
