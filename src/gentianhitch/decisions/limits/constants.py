"""Timeouts, intervals and sizes of the rate limiter."""

from __future__ import annotations

MAX_SHARE_OWNERS = 8
"""Largest number of instances among which the limit of a workspace is divided."""

MIN_SHARE_BURST = 0.5
"""Smallest burst of a share; a workspace with a small burst has fewer owners."""

MIN_LOAN_BURST = 1.0
"""Smallest burst of a rate loan; below it only token loans are granted."""

RATE_LOAN_LEASE_S = 2.0
"""Lease of a rate loan, counted from the time of the borrower's request."""

TOKEN_LOAN_LEASE_S = 0.1
"""Lease of a token loan; short, as it reduces the lender's bucket capacity."""

CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which the lender extends a lease to allow for clock drift."""

ROUND_INTERVAL_S = 0.25
"""Interval of the maintenance in which loans are renewed."""

POLL_INTERVAL_S = 0.005
"""Interval at which waiting requests are checked."""

MAX_WAIT_S = 0.1
"""Longest time that a request waits for a token."""

TOKEN_REQUEST_TIMEOUT_S = 0.02
"""Time without a grant after which tokens are requested from other lenders."""

PASS_INTERVAL_S = 0.015
"""Mean delay between two passes over the lenders; recalled loans return in it."""

FAST_PASSES = 2
"""Passes after which the delay is at least the time to earn the missing tokens."""

MIN_BACKOFF_S = 0.05
"""Shortest time for which requests are refused at once after a failed fetch."""

MAX_BACKOFF_S = 0.8
"""Longest such time; it doubles as long as fetches fail."""

MIN_RECALL_INTERVAL_S = 0.05
"""Shortest time between two recalls of the loans of one account."""

MIN_PLAN_INTERVAL_S = 0.05
"""Shortest time between two unscheduled rate plans for one workspace."""

UNRESPONSIVE_S = 1.0
"""Time for which no tokens are requested from a lender that did not reply."""

DEMAND_TIME_CONSTANT_S = 1.0
"""Time constant of the exponentially weighted demand estimate."""

DEMAND_HEADROOM = 1.1
"""Factor on the demand estimate up to which rate is reserved or borrowed."""

MIN_REQUESTS_PER_LEASE = 6.0
"""Expected requests in one lease below which only tokens are borrowed."""

IDLE_TIMEOUT_S = 60.0
"""Time without requests after which a workspace is evicted from memory."""

SUCCESSOR_QUERY_INTERVAL_S = 1.0
"""Interval between queries for a successor; a tenth of it during a shutdown."""

TRANSFER_RETRY_INTERVAL_S = 0.2
"""Interval at which an unacknowledged transfer is sent again."""

TRANSFER_TIMEOUT_S = 5.0
"""Time after which a planned shutdown proceeds without acknowledgements."""

MAX_TRANSFERRED_WORKSPACES = 256
"""Workspaces whose tokens a transfer carries; the others start without tokens."""
