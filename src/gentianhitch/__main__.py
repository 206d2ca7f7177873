"""Run the command line as ``python -m gentianhitch``."""

from __future__ import annotations

from gentianhitch.cli import console

if __name__ == "__main__":
    console()
