"""Shares that this instance holds and the workspaces in use."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import IDLE_TIMEOUT_S
from gentianhitch.decisions.limits.demand import Demand
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.states import StateLog
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import Workspace


@attrs.define
class HeldShare:
    """Right to spend the share of one owner, from ``start`` on.

    ``tokens_by_workspace`` came with a transfer and counts only while the states
    are those of ``version``.
    """

    start: float
    version: int = -1
    tokens_by_workspace: dict[str, float] = attrs.Factory(dict)


class HeldShares:
    """Keep rights, agreed states and the budgets of workspaces in use."""

    def __init__(
        self,
        own_id: InstanceId,
        agreement: AgreedStates,
        shares: ShareTable,
        now: float,
    ) -> None:
        self.own_id = own_id
        self.share_table = shares
        self.log = StateLog(now)
        self.shares_by_owner = {own_id: HeldShare(now)}
        self._agreement = agreement
        self._budgets_by_workspace: dict[str, Budget] = {}
        self._opened: tuple[int, frozenset[InstanceId]] | None = None

    def is_fresh(self, now: float) -> bool:
        """Tell whether this instance may spend at ``now``; follow the states."""
        if not self._agreement.is_fresh(now):
            return False
        self.log.observe(self._agreement.active(now), now)
        return bool(self.log.active)

    def owners_taken_over(self) -> list[InstanceId]:
        """Return the owners whose shares were taken over."""
        return [owner for owner in self.shares_by_owner if owner != self.own_id]

    def release(self, owner: InstanceId) -> None:
        """Stop spending and lending the share of ``owner``."""
        del self.shares_by_owner[owner]
        for budget in self.budgets():
            budget.accounts_by_owner.pop(owner, None)

    def release_unlisted(self, but: InstanceId | None = None) -> None:
        """Give up the shares of owners that no active state lists."""
        listed = {
            member.id
            for state in self.log.active
            for member in state.members_by_name.values()
        }
        for owner in list(self.shares_by_owner):
            if self.log.active and owner not in listed and owner != but:
                self.release(owner)

    def find_workspace(self, workspace: str) -> Workspace | None:
        """Return the workspace as the newest document declares it."""
        if not self.log.active:
            return None
        return self.share_table.workspace(self.log.active[-1], workspace)

    def budget(self, workspace: str, now: float) -> Budget:
        """Return the budget as the present states bound it; ask is_fresh first."""
        budget = self._budgets_by_workspace.get(workspace)
        if budget is None:
            budget = Budget(workspace, Demand(now), now)
            budget.apply_states(self.log, self.share_table, now)
            self._budgets_by_workspace[workspace] = budget
            self._open_accounts(budget, now, unused=True)
        elif not budget.is_current(self.log):
            budget.apply_states(self.log, self.share_table, now)
            self._open_accounts(budget, now, unused=False)
        return budget

    def account(self, workspace: str, owner: InstanceId, now: float) -> Account | None:
        """Return the account of ``owner``; None when it is not held here."""
        if owner not in self.shares_by_owner or self.find_workspace(workspace) is None:
            return None
        return self.budget(workspace, now).accounts_by_owner.get(owner)

    def budgets(self) -> Iterator[Budget]:
        """Iterate over the workspaces in use."""
        return iter(list(self._budgets_by_workspace.values()))

    def evict_idle(self, now: float) -> None:
        """Drop workspaces without loans and unused for IDLE_TIMEOUT_S."""
        for workspace, budget in list(self._budgets_by_workspace.items()):
            if now - budget.used >= IDLE_TIMEOUT_S and not budget.has_loans(now):
                del self._budgets_by_workspace[workspace]

    def open_accounts(self, now: float) -> None:
        """Open the accounts of rights that were gained since the last round."""
        started = frozenset(
            owner for owner, right in self.shares_by_owner.items() if now >= right.start
        )
        if self._opened == (self.log.version, started):
            return
        self._opened = (self.log.version, started)
        for budget in self.budgets():
            budget.apply_states(self.log, self.share_table, now)
            self._open_accounts(budget, now, unused=False)

    def _open_accounts(self, budget: Budget, now: float, *, unused: bool) -> None:
        for owner, right in self.shares_by_owner.items():
            if owner in budget.accounts_by_owner or now < right.start:
                continue
            share = self.share_table.least(self.log.active, budget.workspace, owner)
            if share.rate > 0.0:
                tokens = self._received(right, budget.workspace)
                if unused:
                    tokens += self._tokens_earned(budget.workspace, owner, right, now)
                budget.open_account(owner, share, now, tokens)

    def _received(self, right: HeldShare, workspace: str) -> float:
        if right.version != self.log.version:
            right.tokens_by_workspace.clear()
        return right.tokens_by_workspace.pop(workspace, 0.0)

    def _tokens_earned(
        self, workspace: str, owner: InstanceId, right: HeldShare, now: float
    ) -> float:
        # A workspace that is not in memory was not used for IDLE_TIMEOUT_S, or for as
        # long as this instance has held the right without missing a state.
        since = max(now - IDLE_TIMEOUT_S, right.start, self.log.contiguous_since)
        share = self.share_table.least(self.log.within(since), workspace, owner)
        return min(share.burst, share.rate * max(0.0, now - since))
