"""Derive what parts of an instance need from the bounds of its deployment."""

from __future__ import annotations

from gentianhitch.platform.node_settings import Bounds
from gentianhitch.proxy.admission_windows import QuotaTolerance
from gentianhitch.proxy.retry_budget import RetryBudget


def propagation_bound_s(bounds: Bounds) -> float:
    """Return the time within which every change of the store must be in force."""
    return min(bounds.drain_s, bounds.configuration_apply_s, bounds.evacuation_s)


def quota_tolerance(bounds: Bounds) -> QuotaTolerance:
    """Return how far workspaces may exceed their limits."""
    return QuotaTolerance(
        bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack
    )


def create_budget(bounds: Bounds) -> RetryBudget:
    """Return a new retry budget of one service."""
    return RetryBudget(bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_s)
