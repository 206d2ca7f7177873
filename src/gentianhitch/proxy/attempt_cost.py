"""Estimate what it costs to send a request to a backend server.

Costs are in units of the loss of a request.
"""

from __future__ import annotations

from gentianhitch.proxy.gray_filter import GRAY_FAILURE_PROBABILITY
from gentianhitch.proxy.server_records import ServerRecord

LOAD_WEIGHT = 0.15
OVERLOAD_WEIGHT = 0.4
"""A queue as long as the slots adds one service time, a third of the objective."""

IDLE_BONUS_PER_S = 0.1
MAX_IDLE_BONUS = 0.15
"""Exceeds the cost of a new connection, so that new servers get requests."""

MAX_IDLE_BONUS_PROBABILITY = 0.2
"""Servers that are more likely to be gray are tried again only on their merits."""

REMOTE_DOMAIN_PENALTY = 0.06
"""Traffic between failure domains is charged for."""

WARMUP_PENALTY = 0.15
NEW_CONNECTION_PENALTY = 0.05
AFFINITY_WEIGHT = 0.04
"""Spreads instances with equal evidence: each has its own order of servers."""

MAX_JITTER = 0.01
MAX_QUEUE_FACTOR = 4.0
"""Maximum of concurrent requests at a server, as a multiple of its slots."""

QUEUE_FACTOR_STEP = 0.5
"""Reduction of the maximum for each step of lower priority."""

MIN_QUEUE_FACTOR = 2.0


def max_queue_factor(priority: int) -> float:
    """Return the maximum of concurrent requests, as a multiple of a server's slots."""
    return max(MAX_QUEUE_FACTOR - QUEUE_FACTOR_STEP * priority, MIN_QUEUE_FACTOR)


def attempt_cost(
    record: ServerRecord,
    gray: float,
    max_queue: float,
    now: float,
    *,
    jitter: float,
    is_remote: bool,
    is_connected: bool,
    decline: float = 0.0,
) -> float:
    """Return the cost of an attempt at a server that is gray with probability ``gray``.

    It is infinite above ``max_queue`` times the server's slots. ``jitter`` is a random
    number, 0 to 1; ``decline`` is the expected cost of a decline.
    """
    slots = record.server.slots
    load = (record.count_running(now) + 1) / slots
    if load > max_queue + 1.0 / slots:
        return float("inf")
    cost = gray * GRAY_FAILURE_PROBABILITY + decline + LOAD_WEIGHT * load
    cost += OVERLOAD_WEIGHT * max(load - 1.0, 0.0)
    if gray < MAX_IDLE_BONUS_PROBABILITY:
        idle_s = max(now - record.last_used_s - record.turn_s, 0.0)
        cost -= min(IDLE_BONUS_PER_S * idle_s, MAX_IDLE_BONUS)
    cost += MAX_JITTER * jitter
    cost -= AFFINITY_WEIGHT * record.affinity
    if is_remote:
        cost += REMOTE_DOMAIN_PENALTY
    if now < record.warm_at_s:
        cost += WARMUP_PENALTY
    if not is_connected:
        cost += NEW_CONNECTION_PENALTY
    return cost
