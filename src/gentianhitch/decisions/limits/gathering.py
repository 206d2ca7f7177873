"""Gather tokens from other holders while requests wait."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.budget import WHOLE_TOKEN
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import ASK_TIMEOUT_S
from gentianhitch.decisions.limits.constants import EXHAUSTED_S
from gentianhitch.decisions.limits.constants import MAX_EXHAUSTED_S
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import MIN_PASSES
from gentianhitch.decisions.limits.constants import PASS_PAUSE_S
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.loans import Ask
from gentianhitch.decisions.rendezvous import hash_name
from gentianhitch.instances.identity import InstanceId

AHEAD_S = 0.05
"""Time whose expected requests are gathered together with those that wait."""

PRESSING_REFUSALS = 2
"""Requests refused during one pause that make the next one longer."""


@attrs.define
class Gathering:
    """Progress of the search for tokens of one workspace."""

    started: float
    waiting: int = 0
    passes: int = 0
    next_ask: float = 0.0
    empty_origins: set[InstanceId] = attrs.Factory(set)
    sent_by_number: dict[int, float] = attrs.Factory(dict)

    def is_pending(self, now: float) -> bool:
        """Tell whether a request may still be answered in time."""
        sent = self.sent_by_number.values()
        return any(now - at < ASK_TIMEOUT_S for at in sent)


@attrs.define
class Pause:
    """Time after a vain search in which no further one is started."""

    until: float
    length_s: float
    refused: int = 0


class Gatherer:
    """Ask all holders, again and again, until waiting requests have tokens."""

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
        """Tell whether to refuse at once, as a search has lately been in vain."""
        pause = self._pauses_by_workspace.get(workspace)
        if pause is None or now >= pause.until:
            return False
        pause.refused += 1
        return True

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

    def answered(self, ask: Ask, tokens: float, now: float) -> None:
        """Go on after an urgent request was answered with ``tokens``."""
        gathering = self._gatherings_by_workspace.get(ask.workspace)
        if gathering is None or ask.number not in gathering.sent_by_number:
            return
        del gathering.sent_by_number[ask.number]
        if tokens < ask.tokens:
            gathering.empty_origins.add(ask.origin)
        self._advance(self._holdings.budget(ask.workspace, now), gathering, now)

    def poll(self, now: float) -> None:
        """Go on where answers are overdue; end searches that have failed."""
        fresh = self._holdings.is_fresh(now)
        for workspace, gathering in list(self._gatherings_by_workspace.items()):
            if not fresh or self._holdings.declared(workspace) is None:
                del self._gatherings_by_workspace[workspace]
            else:
                budget = self._holdings.budget(workspace, now)
                self._advance(budget, gathering, now)

    def forget_pauses(self, now: float) -> None:
        """Drop pauses that no longer bear on the next one."""
        self._pauses_by_workspace = {
            workspace: pause
            for workspace, pause in self._pauses_by_workspace.items()
            if now - pause.until < MAX_EXHAUSTED_S
        }

    def _advance(self, budget: Budget, gathering: Gathering, now: float) -> None:
        missing = self._missing(budget, gathering, now)
        if missing <= 1.0 - WHOLE_TOKEN:
            del self._gatherings_by_workspace[budget.workspace]
            self._shorten_pause(budget.workspace)
        elif now - gathering.started >= MAX_WAIT_S:
            self._fail(budget, now)
        elif now >= gathering.next_ask and not gathering.is_pending(now):
            self._ask(budget, gathering, missing, now)

    def _ask(
        self, budget: Budget, gathering: Gathering, missing: float, now: float
    ) -> None:
        lenders = [
            lender
            for lender in self._borrower.lenders.answering(budget.workspace, now)
            if lender.origin not in gathering.empty_origins
        ]
        if not lenders:
            self._end_pass(budget, gathering, missing, now)
        # Equal parts of all holders leave their buckets equally full, so that
        # none runs over while another is empty.
        for lender in lenders:
            number = self._borrower.ask_tokens(
                budget.workspace, lender, missing / len(lenders), now
            )
            gathering.sent_by_number[number] = now

    def _missing(self, budget: Budget, gathering: Gathering, now: float) -> float:
        spendable = budget.spendable(now)
        if spendable >= max(1, gathering.waiting) * WHOLE_TOKEN:
            return 0.0
        ahead = budget.demand.rate(now) * AHEAD_S
        if ahead < 1.0:
            return gathering.waiting - spendable
        return gathering.waiting + ahead - spendable

    def _end_pass(
        self, budget: Budget, gathering: Gathering, missing: float, now: float
    ) -> None:
        # Two instances that each hold a part of the last token would both fail:
        # both give theirs back and try again at different times. Recalled loans
        # return in the meantime, too.
        gathering.passes += 1
        spread = hash_name(f"{self._holdings.own_id.name} {gathering.passes}") % 1000
        pause_s = PASS_PAUSE_S * (0.5 + spread / 1000)
        declared = self._holdings.declared(budget.workspace)
        if gathering.passes >= MIN_PASSES and declared is not None:
            pause_s = max(pause_s, missing / max(declared.rate, 1e-9))
        if now + pause_s > gathering.started + MAX_WAIT_S:
            self._fail(budget, now)
            return
        self._borrower.return_all(budget, now)
        gathering.empty_origins.clear()
        gathering.next_ask = now + pause_s

    def _fail(self, budget: Budget, now: float) -> None:
        self._borrower.return_all(budget, now)
        self._pause(budget.workspace, now)
        del self._gatherings_by_workspace[budget.workspace]

    def _shorten_pause(self, workspace: str) -> None:
        pause = self._pauses_by_workspace.get(workspace)
        if pause is not None:
            pause.length_s /= 2.0
            if pause.length_s < EXHAUSTED_S:
                del self._pauses_by_workspace[workspace]

    def _pause(self, workspace: str, now: float) -> None:
        last = self._pauses_by_workspace.get(workspace)
        length_s = EXHAUSTED_S
        # Searches cost messages; they become rare only where many requests are
        # refused anyway.
        if last is not None and last.refused >= PRESSING_REFUSALS:
            length_s = min(MAX_EXHAUSTED_S, max(length_s, 2.0 * last.length_s))
        self._pauses_by_workspace[workspace] = Pause(now + length_s, length_s)
