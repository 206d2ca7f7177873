"""Fetch tokens from other instances for waiting requests."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.budget import TOKENS_PER_REQUEST
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import FAST_PASSES
from gentianhitch.decisions.limits.constants import MAX_BACKOFF_S
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import MIN_BACKOFF_S
from gentianhitch.decisions.limits.constants import PASS_INTERVAL_S
from gentianhitch.decisions.limits.constants import TOKEN_REQUEST_TIMEOUT_S
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.loans import PendingRequest
from gentianhitch.decisions.rendezvous import hash_name
from gentianhitch.instances.identity import InstanceId

PREFETCH_S = 0.05
"""Time for whose expected requests tokens are fetched in advance."""

MIN_REFUSALS_TO_DOUBLE = 2
"""Requests refused during a backoff from which the next one is doubled."""


@attrs.define
class TokenFetch:
    """State of fetching tokens of one workspace.

    ``empty_owners`` are those whose shares had too few tokens in this pass.
    """

    started_at: float
    waiting: int = 0
    passes: int = 0
    next_request_at: float = 0.0
    empty_owners: set[InstanceId] = attrs.Factory(set)
    sent_at_by_number: dict[int, float] = attrs.Factory(dict)

    def is_pending(self, now: float) -> bool:
        """Return whether a request has no grant yet and has not timed out."""
        sent = self.sent_at_by_number.values()
        return any(now - at < TOKEN_REQUEST_TIMEOUT_S for at in sent)


@attrs.define
class Backoff:
    """Period after a failed fetch in which requests are refused at once."""

    until: float
    duration_s: float
    refused: int = 0


class TokenFetcher:
    """Request tokens from all lenders until there are enough for waiting requests.

    Lenders are tried in passes; a fetch fails after MAX_WAIT_S.
    """

    def __init__(self, held_shares: HeldShares, borrower: Borrower) -> None:
        self._held_shares = held_shares
        self._borrower = borrower
        self._fetches_by_workspace: dict[str, TokenFetch] = {}
        self._backoffs_by_workspace: dict[str, Backoff] = {}

    @property
    def is_active(self) -> bool:
        """Whether tokens are being fetched for any workspace."""
        return bool(self._fetches_by_workspace)

    def is_fetching(self, workspace: str) -> bool:
        """Return whether tokens are being fetched for this workspace."""
        return workspace in self._fetches_by_workspace

    def is_backing_off(self, workspace: str, now: float) -> bool:
        """Return whether to refuse a request now, after a failed fetch; count it."""
        backoff = self._backoffs_by_workspace.get(workspace)
        if backoff is None or now >= backoff.until:
            return False
        backoff.refused += 1
        return True

    def add_waiting(self, budget: Budget, now: float) -> bool:
        """Add a waiting request; return whether that started a fetch."""
        fetch = self._fetches_by_workspace.get(budget.workspace)
        if fetch is not None:
            fetch.waiting += 1
            return False
        fetch = TokenFetch(started_at=now, waiting=1)
        self._fetches_by_workspace[budget.workspace] = fetch
        self._advance(budget, fetch, now)
        return True

    def remove_waiting(self, workspace: str) -> None:
        """Remove a waiting request that was admitted, refused or cancelled."""
        fetch = self._fetches_by_workspace.get(workspace)
        if fetch is not None:
            fetch.waiting = max(0, fetch.waiting - 1)

    def handle_grant(self, request: PendingRequest, tokens: float, now: float) -> None:
        """Continue the fetch after a grant of ``tokens``."""
        fetch = self._fetches_by_workspace.get(request.workspace)
        if fetch is None or request.number not in fetch.sent_at_by_number:
            return
        del fetch.sent_at_by_number[request.number]
        if tokens < request.tokens:
            fetch.empty_owners.add(request.owner)
        self._advance(self._held_shares.budget(request.workspace, now), fetch, now)

    def poll(self, now: float) -> None:
        """Continue fetches whose requests timed out; end failed fetches."""
        fresh = self._held_shares.is_fresh(now)
        for workspace, fetch in list(self._fetches_by_workspace.items()):
            if not fresh or self._held_shares.find_workspace(workspace) is None:
                del self._fetches_by_workspace[workspace]
            else:
                budget = self._held_shares.budget(workspace, now)
                self._advance(budget, fetch, now)

    def expire_backoffs(self, now: float) -> None:
        """Remove backoffs that ended more than MAX_BACKOFF_S ago."""
        self._backoffs_by_workspace = {
            workspace: backoff
            for workspace, backoff in self._backoffs_by_workspace.items()
            if now - backoff.until < MAX_BACKOFF_S
        }

    def _advance(self, budget: Budget, fetch: TokenFetch, now: float) -> None:
        missing = self._missing(budget, fetch, now)
        if missing <= 1.0 - TOKENS_PER_REQUEST:
            del self._fetches_by_workspace[budget.workspace]
            self._shorten_backoff(budget.workspace)
        elif now - fetch.started_at >= MAX_WAIT_S:
            self._fail(budget, now)
        elif now >= fetch.next_request_at and not fetch.is_pending(now):
            self._request_tokens(budget, fetch, missing, now)

    def _request_tokens(
        self, budget: Budget, fetch: TokenFetch, missing: float, now: float
    ) -> None:
        lenders = [
            lender
            for lender in self._borrower.lenders.responsive(budget.workspace, now)
            if lender.owner not in fetch.empty_owners
        ]
        if not lenders:
            self._end_pass(budget, fetch, missing, now)
        # Equal parts from all lenders keep their buckets at similar levels, so that no
        # bucket overflows while another is empty.
        for lender in lenders:
            number = self._borrower.request_tokens(
                budget.workspace, lender, missing / len(lenders), now
            )
            fetch.sent_at_by_number[number] = now

    def _missing(self, budget: Budget, fetch: TokenFetch, now: float) -> float:
        available = budget.available_tokens(now)
        if available >= max(1, fetch.waiting) * TOKENS_PER_REQUEST:
            return 0.0
        ahead = budget.demand.rate(now) * PREFETCH_S
        if ahead < 1.0:
            return fetch.waiting - available
        return fetch.waiting + ahead - available

    def _end_pass(
        self, budget: Budget, fetch: TokenFetch, missing: float, now: float
    ) -> None:
        # Two instances that each got a part of the last token would both fail. Both
        # return their part and retry after different delays, in which recalled
        # loans are returned, too.
        fetch.passes += 1
        spread = hash_name(f"{self._held_shares.own_id.name} {fetch.passes}") % 1000
        delay_s = PASS_INTERVAL_S * (0.5 + spread / 1000)
        declared = self._held_shares.find_workspace(budget.workspace)
        if fetch.passes >= FAST_PASSES and declared is not None:
            delay_s = max(delay_s, missing / max(declared.rate, 1e-9))
        if now + delay_s > fetch.started_at + MAX_WAIT_S:
            self._fail(budget, now)
            return
        self._borrower.return_token_loans(budget, now)
        fetch.empty_owners.clear()
        fetch.next_request_at = now + delay_s

    def _fail(self, budget: Budget, now: float) -> None:
        self._borrower.return_token_loans(budget, now)
        self._back_off(budget.workspace, now)
        del self._fetches_by_workspace[budget.workspace]

    def _shorten_backoff(self, workspace: str) -> None:
        backoff = self._backoffs_by_workspace.get(workspace)
        if backoff is not None:
            backoff.duration_s /= 2.0
            if backoff.duration_s < MIN_BACKOFF_S:
                del self._backoffs_by_workspace[workspace]

    def _back_off(self, workspace: str, now: float) -> None:
        last = self._backoffs_by_workspace.get(workspace)
        duration_s = MIN_BACKOFF_S
        # Fetches cost messages. They become rarer only where many requests are refused
        # anyway.
        if last is not None and last.refused >= MIN_REFUSALS_TO_DOUBLE:
            duration_s = min(MAX_BACKOFF_S, max(duration_s, 2.0 * last.duration_s))
        self._backoffs_by_workspace[workspace] = Backoff(now + duration_s, duration_s)
