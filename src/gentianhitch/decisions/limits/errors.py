"""Errors of the limits."""

from __future__ import annotations

from gentianhitch.errors import GentianhitchError


class LimitsError(GentianhitchError):
    """Base class of errors in the limits of workspaces."""


class LimitExceededError(LimitsError):
    """The fleet ran more requests of a workspace than rate and burst allow."""
