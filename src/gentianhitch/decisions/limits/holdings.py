"""Shares that this instance holds and the workspaces in use."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from gentianhitch.decisions.interfaces import Agreement
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import IDLE_S
from gentianhitch.decisions.limits.demand import Demand
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.states import StateLog
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import Workspace


@attrs.define
class Right:
    """Right to spend the share of one origin, from ``start`` on.

    ``tokens_by_workspace`` came with a transfer and counts only while the states
    are those of ``version``.
    """

    start: float
    version: int = -1
    tokens_by_workspace: dict[str, float] = attrs.Factory(dict)


class Holdings:
    """Keep rights, agreed states and the budgets of workspaces in use."""

    def __init__(
        self, own_id: InstanceId, agreement: Agreement, shares: ShareTable, now: float
    ) -> None:
        self.own_id = own_id
        self.shares = shares
        self.log = StateLog(now)
        self.rights_by_origin = {own_id: Right(now)}
        self._agreement = agreement
        self._budgets_by_workspace: dict[str, Budget] = {}
        self._opened: tuple[int, frozenset[InstanceId]] | None = None

    def is_fresh(self, now: float) -> bool:
        """Tell whether this instance may spend at ``now``; follow the states."""
        if not self._agreement.is_fresh(now):
            return False
        self.log.observe(self._agreement.active(now), now)
        return bool(self.log.active)

    def inherited(self) -> list[InstanceId]:
        """Return the origins whose shares were taken over."""
        return [origin for origin in self.rights_by_origin if origin != self.own_id]

    def give_up(self, origin: InstanceId) -> None:
        """Stop spending and lending the share of ``origin``."""
        del self.rights_by_origin[origin]
        for budget in self.budgets():
            budget.accounts_by_origin.pop(origin, None)

    def drop_unlisted(self, but: InstanceId | None = None) -> None:
        """Give up the shares of origins that no active state lists."""
        listed = {
            member.id
            for state in self.log.active
            for member in state.members_by_name.values()
        }
        for origin in list(self.rights_by_origin):
            if self.log.active and origin not in listed and origin != but:
                self.give_up(origin)

    def declared(self, workspace: str) -> Workspace | None:
        """Return the workspace as the newest document declares it."""
        if not self.log.active:
            return None
        return self.shares.workspace(self.log.active[-1], workspace)

    def budget(self, workspace: str, now: float) -> Budget:
        """Return the budget as the present states bound it; ask is_fresh first."""
        budget = self._budgets_by_workspace.get(workspace)
        if budget is None:
            budget = Budget(workspace, Demand(now), now)
            budget.catch_up(self.log, self.shares, now)
            self._budgets_by_workspace[workspace] = budget
            self._open_accounts(budget, now, unused=True)
        elif not budget.is_current(self.log):
            budget.catch_up(self.log, self.shares, now)
            self._open_accounts(budget, now, unused=False)
        return budget

    def account(self, workspace: str, origin: InstanceId, now: float) -> Account | None:
        """Return the account of ``origin``; None when it is not held here."""
        if origin not in self.rights_by_origin or self.declared(workspace) is None:
            return None
        return self.budget(workspace, now).accounts_by_origin.get(origin)

    def budgets(self) -> Iterator[Budget]:
        """Iterate over the workspaces in use."""
        return iter(list(self._budgets_by_workspace.values()))

    def forget_idle(self, now: float) -> None:
        """Drop workspaces that were not used for IDLE_S and have nothing lent."""
        for workspace, budget in list(self._budgets_by_workspace.items()):
            if now - budget.used >= IDLE_S and not budget.is_engaged(now):
                del self._budgets_by_workspace[workspace]

    def reopen(self, now: float) -> None:
        """Open the accounts of rights that were gained since the last round."""
        started = frozenset(
            origin
            for origin, right in self.rights_by_origin.items()
            if now >= right.start
        )
        if self._opened == (self.log.version, started):
            return
        self._opened = (self.log.version, started)
        for budget in self.budgets():
            budget.catch_up(self.log, self.shares, now)
            self._open_accounts(budget, now, unused=False)

    def _open_accounts(self, budget: Budget, now: float, *, unused: bool) -> None:
        for origin, right in self.rights_by_origin.items():
            if origin in budget.accounts_by_origin or now < right.start:
                continue
            share = self.shares.least(self.log.active, budget.workspace, origin)
            if share.rate > 0.0:
                tokens = self._received(right, budget.workspace)
                if unused:
                    tokens += self._earned(budget.workspace, origin, right, now)
                budget.open_account(origin, share, now, tokens)

    def _received(self, right: Right, workspace: str) -> float:
        if right.version != self.log.version:
            right.tokens_by_workspace.clear()
        return right.tokens_by_workspace.pop(workspace, 0.0)

    def _earned(
        self, workspace: str, origin: InstanceId, right: Right, now: float
    ) -> float:
        # A workspace that is not in memory was not used for IDLE_S, or for as
        # long as this instance has held the right without missing a state.
        since = max(now - IDLE_S, right.start, self.log.unbroken_since)
        share = self.shares.least(self.log.within(since), workspace, origin)
        return min(share.burst, share.rate * max(0.0, now - since))
