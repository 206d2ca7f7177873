"""Errors that are reported to operators."""

from __future__ import annotations

from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.errors import UsageError


class OperatorsError(GentianhitchError):
    """Base class of errors of operators' calls.

    Nothing was changed, except where a subclass states otherwise.
    """


class LostRaceError(OperatorsError):
    """A concurrent change came first; nothing was changed."""

    exit_code = ExitCode.LOST_RACE


class OperatorsOutcomeUnknownError(OperatorsError):
    """The change may have taken effect; retrying with the same id is safe."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class OperatorsUnavailableError(OperatorsError):
    """The platform could not be reached; nothing was changed."""


class NotAuthorisedError(OperatorsError):
    """The call carries no operator key, or one unknown to this instance."""


class WrongChangeError(OperatorsError, UsageError):
    """The call is malformed, or its change does not apply to production."""

    exit_code = ExitCode.USAGE
