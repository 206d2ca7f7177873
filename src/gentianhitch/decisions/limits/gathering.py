"""Gather tokens from other holders while requests wait."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.borrower import Lendable
from gentianhitch.decisions.limits.budget import WHOLE_TOKEN
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import ASK_TIMEOUT_S
from gentianhitch.decisions.limits.constants import EXHAUSTED_S
from gentianhitch.decisions.limits.constants import MAX_EXHAUSTED_S
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import PASS_PAUSE_S
from gentianhitch.decisions.limits.constants import PASSES
from gentianhitch.decisions.limits.holdings import Holdings

AHEAD_S = 0.05
"""Time whose expected requests are gathered together with those that wait."""


@attrs.define
class Gathering:
    """Progress of the search for tokens of one workspace."""

    started: float
    waiting: int = 0
    queue: list[Lendable] = attrs.Factory(list)
    passes: int = 0
    next_pass: float = 0.0
    sent_by_number: dict[int, float] = attrs.Factory(dict)

    def pending(self, now: float) -> int:
        """Return how many requests may still be answered in time."""
        recent = [at for at in self.sent_by_number.values() if now - at < ASK_TIMEOUT_S]
        return len(recent)


@attrs.frozen
class Pause:
    """Time after a vain search in which no further one is started."""

    until: float
    length_s: float


class Gatherer:
    """Ask holder after holder until the waiting requests have their tokens."""

    def __init__(self, holdings: Holdings, borrower: Borrower) -> None:
        self._holdings = holdings
        self._borrower = borrower
        self._gatherings_by_workspace: dict[str, Gathering] = {}
        self._pauses_by_workspace: dict[str, Pause] = {}

    @property
    def is_active(self) -> bool:
        """Tell whether any request waits for tokens."""
        return bool(self._gatherings_by_workspace)

    def is_searching(self, workspace: str) -> bool:
        """Tell whether requests of this workspace wait for tokens."""
        return workspace in self._gatherings_by_workspace

    def is_exhausted(self, workspace: str, now: float) -> bool:
        """Tell whether a search has lately ended without tokens."""
        pause = self._pauses_by_workspace.get(workspace)
        return pause is not None and now < pause.until

    def begin(self, budget: Budget, now: float) -> bool:
        """Let one more request wait; tell whether a search was started for it."""
        gathering = self._gatherings_by_workspace.get(budget.workspace)
        if gathering is not None:
            gathering.waiting += 1
            return False
        gathering = Gathering(started=now, waiting=1)
        self._gatherings_by_workspace[budget.workspace] = gathering
        self._advance(budget, gathering, now)
        return True

    def leave(self, workspace: str) -> None:
        """Count one waiting request as served or refused."""
        gathering = self._gatherings_by_workspace.get(workspace)
        if gathering is not None:
            gathering.waiting = max(0, gathering.waiting - 1)

    def answered(self, workspace: str, number: int, now: float) -> None:
        """Go on after the answer to an urgent request."""
        gathering = self._gatherings_by_workspace.get(workspace)
        if gathering is not None and number in gathering.sent_by_number:
            del gathering.sent_by_number[number]
            self._advance(self._holdings.budget(workspace, now), gathering, now)

    def poll(self, now: float) -> None:
        """Go on where answers are overdue; end searches that have failed."""
        fresh = self._holdings.is_fresh(now)
        for workspace, gathering in list(self._gatherings_by_workspace.items()):
            if not fresh or self._holdings.declared(workspace) is None:
                del self._gatherings_by_workspace[workspace]
            else:
                budget = self._holdings.budget(workspace, now)
                self._advance(budget, gathering, now)

    def _advance(self, budget: Budget, gathering: Gathering, now: float) -> None:
        missing = self._missing(budget, gathering, now)
        if missing <= 1.0 - WHOLE_TOKEN:
            del self._gatherings_by_workspace[budget.workspace]
            self._pauses_by_workspace.pop(budget.workspace, None)
            return
        if gathering.pending(now):
            return
        if not gathering.queue and not self._next_pass(budget, gathering, now):
            return
        asked = min(len(gathering.queue), max(1, math.ceil(missing)))
        for lender in gathering.queue[:asked]:
            number = self._borrower.ask_tokens(
                budget.workspace, lender, missing / asked, now
            )
            gathering.sent_by_number[number] = now
        del gathering.queue[:asked]

    def _missing(self, budget: Budget, gathering: Gathering, now: float) -> float:
        spendable = budget.spendable(now)
        if spendable >= max(1, gathering.waiting) * WHOLE_TOKEN:
            return 0.0
        ahead = budget.demand.rate(now) * AHEAD_S
        if ahead < 1.0:
            return gathering.waiting - spendable
        return gathering.waiting + ahead - spendable

    def _next_pass(self, budget: Budget, gathering: Gathering, now: float) -> bool:
        failed = gathering.passes >= PASSES and now >= gathering.next_pass
        if failed or now - gathering.started >= MAX_WAIT_S:
            self._pause(budget.workspace, now)
            del self._gatherings_by_workspace[budget.workspace]
            return False
        if now < gathering.next_pass:
            return False
        gathering.passes += 1
        # Recalled loans come back in the meantime.
        gathering.next_pass = now + PASS_PAUSE_S
        gathering.queue = self._borrower.lenders(budget.workspace, now)
        return bool(gathering.queue)

    def _pause(self, workspace: str, now: float) -> None:
        last = self._pauses_by_workspace.get(workspace)
        length_s = EXHAUSTED_S
        if last is not None and now - last.until < MAX_EXHAUSTED_S:
            length_s = min(MAX_EXHAUSTED_S, 2.0 * last.length_s)
        self._pauses_by_workspace[workspace] = Pause(now + length_s, length_s)
