"""Run ``python -m gentianhitch.proxy``."""

from __future__ import annotations

import os
import signal
import sys
from types import FrameType


def _stop_before_start(_number: int, _frame: FrameType | None) -> None:
    # SystemExit is dropped where the signal meets a weakref's callback, and imports
    # have many; nothing is open yet that an exit would have to close.
    os._exit(0)


if __name__ == "__main__":
    # Imports take most of the start; a stop amid them ends nothing that was served,
    # and settings that change are read only after them.
    signal.signal(signal.SIGTERM, _stop_before_start)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from gentianhitch.proxy.command import proxy

    sys.exit(proxy())
