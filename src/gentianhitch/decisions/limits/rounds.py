"""Periodic work of the limiter."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.messages import LoanRequestItem
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.instances.identity import InstanceId

if TYPE_CHECKING:
    from gentianhitch.decisions.limits.limiter import LocalLimiter


class Maintenance:
    """Renew loans with one message per lender and evict what has expired."""

    def __init__(self, limiter: LocalLimiter) -> None:
        self._limiter = limiter

    def tick(self, now: float) -> None:
        """Do the work that is due each ROUND_INTERVAL_S."""
        limiter = self._limiter
        limiter.borrower.pending.expire(now)
        limiter.succession.tick(now)
        if not limiter.held_shares.is_fresh(now):
            return
        limiter.peers.remove_unlisted_owners(limiter.held_shares.log.active)
        limiter.held_shares.release_unlisted(keep=limiter.held_shares.own_id)
        limiter.held_shares.open_accounts(now)
        limiter.held_shares.evict_idle(now)
        limiter.token_fetcher.expire_backoffs(now)
        limiter.borrower.planner.expire_partial_grants(now)
        limiter.borrower.send_requests(self._plan(now))

    def receive_transfer(
        self, sender: InstanceId, transfer: Transfer, now: float
    ) -> None:
        """Accept a handed-over share and notify the listed instances."""
        limiter = self._limiter
        if not limiter.transfers.receive(sender, transfer, now):
            return
        if limiter.held_shares.is_fresh(now):
            newest = limiter.held_shares.log.active[-1]
            own = limiter.borrower.own_address
            members = newest.members_by_name.values()
            # Not a set: its order would differ between runs.
            others = dict.fromkeys(m.peers for m in members if m.peers != own)
            limiter.transfers.send_notices(others)
            limiter.held_shares.open_accounts(now)

    def _plan(self, now: float) -> dict[Address, list[LoanRequestItem]]:
        limiter, planner = self._limiter, self._limiter.borrower.planner
        items_by_address: dict[Address, list[LoanRequestItem]] = defaultdict(list)
        for budget in limiter.held_shares.budgets():
            budget.drop_expired(now)
            if not planner.is_needed(budget, now):
                continue
            plan = planner.plan(budget, budget.demand.rate(now), now)
            for address, items in plan.items():
                items_by_address[address].extend(items)
        return items_by_address
