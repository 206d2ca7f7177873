"""Base exceptions and the exit codes of the command line."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the ``gentianhitch`` command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    LOST_RACE = 3
    OUTCOME_UNKNOWN = 4
    INTERNAL = 70


class GentianhitchError(Exception):
    """Base class of the errors that gentianhitch raises."""

    exit_code = ExitCode.FAILED


class UsageError(GentianhitchError):
    """Invalid input that the user can correct; the message says how."""

    exit_code = ExitCode.USAGE
