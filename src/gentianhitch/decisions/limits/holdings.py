"""Shares held by this instance and budgets of the workspaces in use."""

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
    """The right to spend the share of one owner from ``usable_from`` on.

    ``tokens_by_workspace`` arrived with a transfer and is valid only while the state
    log has the given ``version``.
    """

    usable_from: float
    version: int = -1
    tokens_by_workspace: dict[str, float] = attrs.Factory(dict)


class HeldShares:
    """The shares held here, the log of agreed states and a budget per workspace.

    Each instance holds its own share and those handed over to it.
    """

    def __init__(
        self,
        own_id: InstanceId,
        agreed_states: AgreedStates,
        share_table: ShareTable,
        now: float,
    ) -> None:
        self.own_id = own_id
        self.share_table = share_table
        self.log = StateLog(now)
        self.shares_by_owner = {own_id: HeldShare(now)}
        self._agreed_states = agreed_states
        self._budgets_by_workspace: dict[str, Budget] = {}
        self._accounts_opened_for: tuple[int, frozenset[InstanceId]] | None = None

    def is_fresh(self, now: float) -> bool:
        """Return whether this instance may spend now; update the state log."""
        if not self._agreed_states.is_fresh(now):
            return False
        self.log.update(self._agreed_states.active(now), now)
        return bool(self.log.active)

    def owners_taken_over(self) -> list[InstanceId]:
        """Return the other instances whose shares are held here."""
        return [owner for owner in self.shares_by_owner if owner != self.own_id]

    def release(self, owner: InstanceId) -> None:
        """Stop spending and lending the share of ``owner``."""
        del self.shares_by_owner[owner]
        for budget in self.budgets():
            budget.accounts_by_owner.pop(owner, None)

    def release_unlisted(self, keep: InstanceId | None = None) -> None:
        """Release the shares of owners other than ``keep`` in no active state."""
        listed = {
            member.id
            for state in self.log.active
            for member in state.members_by_name.values()
        }
        for owner in list(self.shares_by_owner):
            if self.log.active and owner not in listed and owner != keep:
                self.release(owner)

    def find_workspace(self, workspace: str) -> Workspace | None:
        """Return the workspace from the newest document; None if undeclared."""
        if not self.log.active:
            return None
        return self.share_table.workspace(self.log.active[-1], workspace)

    def budget(self, workspace: str, now: float) -> Budget:
        """Return the budget under the active states; requires ``is_fresh``."""
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
        """Return the account of ``owner``; None when the share is not held here."""
        if owner not in self.shares_by_owner or self.find_workspace(workspace) is None:
            return None
        return self.budget(workspace, now).accounts_by_owner.get(owner)

    def budgets(self) -> Iterator[Budget]:
        """Iterate over a copy of the budgets of workspaces in use."""
        return iter(list(self._budgets_by_workspace.values()))

    def evict_idle(self, now: float) -> None:
        """Evict workspaces without loans that were unused for IDLE_TIMEOUT_S."""
        for workspace, budget in list(self._budgets_by_workspace.items()):
            if now - budget.last_used >= IDLE_TIMEOUT_S and not budget.has_loans(now):
                del self._budgets_by_workspace[workspace]

    def open_accounts(self, now: float) -> None:
        """Open accounts for shares that became usable since the last call."""
        usable = frozenset(
            owner
            for owner, held in self.shares_by_owner.items()
            if now >= held.usable_from
        )
        if self._accounts_opened_for == (self.log.version, usable):
            return
        self._accounts_opened_for = (self.log.version, usable)
        for budget in self.budgets():
            budget.apply_states(self.log, self.share_table, now)
            self._open_accounts(budget, now, unused=False)

    def _open_accounts(self, budget: Budget, now: float, *, unused: bool) -> None:
        for owner, held in self.shares_by_owner.items():
            if owner in budget.accounts_by_owner or now < held.usable_from:
                continue
            share = self.share_table.minimum_share(
                self.log.active, budget.workspace, owner
            )
            if share.rate > 0.0:
                tokens = self._take_received_tokens(held, budget.workspace)
                if unused:
                    tokens += self._tokens_earned(budget.workspace, owner, held, now)
                budget.open_account(owner, share, now, tokens)

    def _take_received_tokens(self, held: HeldShare, workspace: str) -> float:
        if held.version != self.log.version:
            held.tokens_by_workspace.clear()
        return held.tokens_by_workspace.pop(workspace, 0.0)

    def _tokens_earned(
        self, workspace: str, owner: InstanceId, held: HeldShare, now: float
    ) -> float:
        # A workspace that is not in memory was unused for IDLE_TIMEOUT_S, or since this
        # instance got the share, or since it last missed a state.
        since = max(now - IDLE_TIMEOUT_S, held.usable_from, self.log.contiguous_since)
        share = self.share_table.minimum_share(
            self.log.active_since(since), workspace, owner
        )
        return min(share.burst, share.rate * max(0.0, now - since))
