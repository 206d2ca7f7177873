"""Errors that operators see."""

from __future__ import annotations

from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.errors import UsageError


class OperatorsError(GentianhitchError):
    """Base class of errors of the operators' side; nothing was changed."""


class LostRaceError(OperatorsError):
    """Another operator's change came first; nothing was changed."""

    exit_code = ExitCode.LOST_RACE


class OperatorsOutcomeUnknownError(OperatorsError):
    """The change may have taken effect; repeating the same change is safe."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


class OperatorsUnavailableError(OperatorsError):
    """The platform could not be reached; nothing was changed."""


class NotAuthorisedError(OperatorsError):
    """The call shows no operator key that this instance knows."""


class WrongChangeError(OperatorsError, UsageError):
    """The change names something that does not exist or may not be changed."""

    exit_code = ExitCode.USAGE
