"""Command-line interface of ``gentianhitch``."""

from __future__ import annotations

import sys
import traceback
from typing import Any

import defopt

from gentianhitch.benchmarks.command import bench
from gentianhitch.entry_command import entry
from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.load.command import load
from gentianhitch.load.command import report
from gentianhitch.operators import commands as operators_commands
from gentianhitch.proxy.command import proxy
from gentianhitch.proxy.explain import explain
from gentianhitch.soak.command import soak

COMMANDS: dict[str, Any] = {
    **operators_commands.COMMANDS,
    "bench": bench,
    "entry": entry,
    "explain": explain,
    "load": load,
    "proxy": proxy,
    "report": report,
    "soak": soak,
}


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    try:
        code = defopt.run(COMMANDS, argv=arguments)
    except GentianhitchError as error:
        print(f"gentianhitch: {error}", file=sys.stderr)
        return int(error.exit_code)
    except Exception:
        traceback.print_exc()
        print("gentianhitch: internal error; please report the above", file=sys.stderr)
        return int(ExitCode.INTERNAL)
    return int(code or ExitCode.OK)


def console() -> None:
    """Entry point of the console script: run :func:`main` and exit with its code."""
    sys.exit(main())
