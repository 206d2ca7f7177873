"""Run ``python -m gentianhitch.proxy``."""

from __future__ import annotations

import os
import signal
import sys
from types import FrameType


def _stop_before_start(_number: int, _frame: FrameType | None) -> None:
    # SystemExit is swallowed if the signal arrives in a weakref callback, of which
    # imports run many; nothing is open yet that would have to be closed.
    os._exit(0)


if __name__ == "__main__":
    # Imports take most of the start-up time. A stop during them interrupts no request,
    # and the settings are read only after them.
    signal.signal(signal.SIGTERM, _stop_before_start)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gentianhitch.proxy.command import proxy

    sys.exit(proxy())
