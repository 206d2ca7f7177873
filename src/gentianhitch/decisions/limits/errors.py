"""Errors raised by the rate limiter and its models."""

from __future__ import annotations

from gentianhitch.errors import GentianhitchError


class LimitsError(GentianhitchError):
    """Base class of the errors about workspace limits."""


class LimitExceededError(LimitsError):
    """The fleet admitted more requests of a workspace than rate and burst allow."""
