"""What the limiter does in each round."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.instances.identity import InstanceId

if TYPE_CHECKING:
    from gentianhitch.decisions.limits.limiter import LocalLimiter


class Rounds:
    """Renew loans, one message for each lender, and tidy up."""

    def __init__(self, limiter: LocalLimiter) -> None:
        self._limiter = limiter

    def tick(self, now: float) -> None:
        """Do one round."""
        limiter = self._limiter
        limiter.borrower.asks.expire(now)
        limiter.succession.tick(now)
        if not limiter.holdings.is_fresh(now):
            return
        limiter.peers.forget_origins(limiter.holdings.log.active)
        limiter.holdings.drop_unlisted(but=limiter.holdings.own_id)
        limiter.holdings.reopen(now)
        limiter.holdings.forget_idle(now)
        limiter.gatherer.forget_pauses(now)
        limiter.borrower.planner.forget_short(now)
        limiter.borrower.send(self._plan(now))

    def receive_transfer(
        self, sender: InstanceId, transfer: Transfer, now: float
    ) -> None:
        """Take a share over and tell borrowers where it is now."""
        limiter = self._limiter
        if not limiter.transfers.receive(sender, transfer, now):
            return
        if limiter.holdings.is_fresh(now):
            newest = limiter.holdings.log.active[-1]
            own = limiter.borrower.own_address
            members = newest.members_by_name.values()
            # In the order of the list: that of a set differs from run to run.
            others = dict.fromkeys(m.peers for m in members if m.peers != own)
            limiter.transfers.announce(others)
            limiter.holdings.reopen(now)

    def _plan(self, now: float) -> dict[Address, list[LoanWanted]]:
        limiter, planner = self._limiter, self._limiter.borrower.planner
        items_by_address: dict[Address, list[LoanWanted]] = defaultdict(list)
        for budget in limiter.holdings.budgets():
            budget.drop_ended(now)
            if not planner.is_needed(budget, now):
                continue
            plan = planner.plan(budget, budget.demand.rate(now), now)
            for address, items in plan.items():
                items_by_address[address].extend(items)
        return items_by_address
