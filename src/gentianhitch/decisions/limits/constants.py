"""Times and sizes of the limits of workspaces."""

from __future__ import annotations

MAX_SHARE_OWNERS = 8
"""Instances that hold a share of one workspace, at most."""

MIN_SHARE_BURST = 0.5
"""Smallest burst of one holder; a workspace with a small burst has few holders."""

MIN_LOAN_BURST = 1.0
"""Smallest burst of a loan of rate; below it only tokens are lent."""

RATE_LOAN_LEASE_S = 2.0
"""Lease of a loan of rate, from the moment the borrower asked."""

TOKEN_LOAN_LEASE_S = 0.1
"""Lease of a loan of tokens only; short, as it keeps the lender's cap down."""

CLOCK_DRIFT_FACTOR = 1.02
"""Factor by which a lender lengthens a lease against clocks that drift."""

ROUND_INTERVAL_S = 0.25
"""Time between two rounds in which loans are renewed."""

POLL_INTERVAL_S = 0.005
"""Time between two looks at the requests that wait."""

MAX_WAIT_S = 0.1
"""Longest time that a request may wait for a token."""

TOKEN_REQUEST_TIMEOUT_S = 0.02
"""Time after which an urgent request to a silent lender goes to the next one."""

PASS_INTERVAL_S = 0.015
"""Time between two passes over the lenders, in which recalled loans return."""

FAST_PASSES = 2
"""Passes after which the next one waits until the missing tokens are earned."""

MIN_BACKOFF_S = 0.05
"""Time during which requests are refused at once after a vain search."""

MAX_BACKOFF_S = 0.8
"""Longest such time; it doubles while searches go on failing."""

MIN_RECALL_INTERVAL_S = 0.05
"""Shortest time between two recalls of the loans of one account."""

MIN_PLAN_INTERVAL_S = 0.05
"""Shortest time between two requests for rate on behalf of one workspace."""

UNRESPONSIVE_S = 1.0
"""Time for which a lender that did not answer is not asked for tokens."""

DEMAND_TIME_CONSTANT_S = 1.0
"""Time constant of the demand estimate."""

DEMAND_HEADROOM = 1.1
"""Factor on the demand up to which rate is kept or borrowed."""

MIN_REQUESTS_PER_LEASE = 6.0
"""Requests during one lease below which only tokens are borrowed."""

IDLE_TIMEOUT_S = 60.0
"""Time without use after which a workspace is dropped from memory."""

SUCCESSOR_QUERY_INTERVAL_S = 1.0
"""Time between two questions who can take shares over; a tenth when leaving."""

TRANSFER_RETRY_INTERVAL_S = 0.2
"""Time between two sendings of an unacknowledged transfer."""

TRANSFER_TIMEOUT_S = 5.0
"""Time after which an unacknowledged transfer no longer delays a planned stop."""

MAX_TRANSFERRED_WORKSPACES = 256
"""Workspaces whose tokens travel with a transfer; the others start empty."""
