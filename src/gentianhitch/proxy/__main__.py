"""Run ``python -m gentianhitch.proxy``."""

from __future__ import annotations

import sys

from gentianhitch.proxy.command import proxy

if __name__ == "__main__":
    sys.exit(proxy())
