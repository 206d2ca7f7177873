"""Borrow rate in rounds and apply the grants of lenders."""

from __future__ import annotations

import math
from collections import defaultdict
from itertools import count

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import ASK_TIMEOUT_S
from gentianhitch.decisions.limits.constants import HEADROOM
from gentianhitch.decisions.limits.constants import LOAN_S
from gentianhitch.decisions.limits.constants import MIN_BORROWED_REQUESTS
from gentianhitch.decisions.limits.constants import URGENT_LOAN_S
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.loans import Ask
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanGranted
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.messages import TokensReturned
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.shares import NOTHING
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport

KEPT_S = 0.1
"""Time for which a borrower keeps tokens when a loan is recalled."""

SETTLED = 0.75
"""Part of a loan down to which a smaller demand leaves it as it is."""


GROWN = 1.1
"""Factor on a loan from which a larger demand is asked for at once."""

ANSWER_S = 1.0
"""Time for which an answer is awaited before a lender is asked again."""

RENEW_S = 1.2
"""Remaining lease at which a loan is renewed."""


@attrs.frozen
class Lendable:
    """A holder of a share that this instance may ask."""

    origin: InstanceId
    address: Address
    share: Share


class Borrower:
    """Ask other holders for rate and tokens on behalf of this instance."""

    def __init__(
        self,
        holdings: Holdings,
        peers: PeerBook,
        transport: Transport,
        own_address: Address,
        counters: LimitCounters,
    ) -> None:
        self.own_address = own_address
        self.asks_by_number: dict[int, Ask] = {}
        self._holdings = holdings
        self._peers = peers
        self._transport = transport
        self._counters = counters
        self._numbers = count(1)
        self._short_by_lender: dict[tuple[str, InstanceId], float] = {}
        self._rate_asks_by_lender: dict[tuple[str, InstanceId], int] = {}

    def lenders(self, workspace: str) -> list[Lendable]:
        """Return the holders to ask: each instance begins at a place of its own."""
        state = self._holdings.log.active[-1]
        holders = self._holdings.shares.holders(state, workspace)
        start = self._holdings.shares.place(state, self._holdings.own_id.name)
        ordered = [holders[(start + i) % len(holders)] for i in range(len(holders))]
        lenders = [
            Lendable(
                holder.id,
                self._peers.holder(holder.id, holder.peers),
                self._holdings.shares.least(
                    self._holdings.log.active, workspace, holder.id
                ),
            )
            for holder in ordered
            if holder.id not in self._holdings.rights_by_origin
        ]
        return [lender for lender in lenders if lender.share.rate > 0.0]

    def answering_lenders(self, workspace: str, now: float) -> list[Lendable]:
        """Return the holders that have not lately left a request unanswered."""
        return [
            lender
            for lender in self.lenders(workspace)
            if not self._peers.is_silent(lender.address, now)
        ]

    def plan(
        self, budget: Budget, demand: float, now: float, *, kept_s: float = math.inf
    ) -> dict[Address, list[LoanWanted]]:
        """Return what to ask of each lender so that loans follow the demand.

        A loan that shrinks keeps the tokens of ``kept_s`` seconds at most.
        """
        missing = 0.0
        if demand * LOAN_S >= MIN_BORROWED_REQUESTS:
            missing = max(0.0, HEADROOM * demand - budget.own_share().rate)
        items_by_address: dict[Address, list[LoanWanted]] = defaultdict(list)
        for lender in self.lenders(budget.workspace):
            key = (budget.workspace, lender.origin)
            expected = min(
                missing,
                lender.share.rate,
                self._short_by_lender.pop(key, lender.share.rate),
            )
            loan = budget.loans_by_origin.get(lender.origin)
            wanted = min(missing, lender.share.rate)
            recalled = kept_s < math.inf
            due = recalled or self._is_due(key, loan, wanted, now)
            if due and (expected > 0.0 or loan is not None):
                item = self._want_rate(budget, lender, loan, wanted, now, kept_s=kept_s)
                items_by_address[lender.address].append(item)
            missing -= expected
        return items_by_address

    def send(self, items_by_address: dict[Address, list[LoanWanted]]) -> None:
        """Send one message to each lender."""
        newest = self._holdings.log.newest
        for address, items in items_by_address.items():
            self._counters.events_by_name["loan_requests"] += 1
            request = LoanRequest(self.own_address, newest, tuple(items))
            self._transport.send(address, request)

    def ask_tokens(
        self, workspace: str, lender: Lendable, tokens: float, now: float
    ) -> int:
        """Ask one lender for tokens at once and return the request's number."""
        ask = self._ask(workspace, lender, 0.0, tokens, now, urgent=True)
        item = LoanWanted(
            ask.number, workspace, lender.origin, lender.share, 0.0, tokens, urgent=True
        )
        self.send({lender.address: [item]})
        return ask.number

    def return_spent(self, budget: Budget, now: float) -> None:
        """Tell lenders which urgent loans are spent, so that their caps grow back."""
        spent = [loan for loan in budget.token_loans if loan.bucket.tokens <= 0.0]
        if spent:
            budget.token_loans = [
                loan for loan in budget.token_loans if loan.bucket.tokens > 0.0
            ]
            self._send_returns(budget.workspace, spent, now)

    def return_all(self, budget: Budget, now: float) -> None:
        """Give the tokens of urgent loans back."""
        returned, budget.token_loans = budget.token_loans, []
        self._send_returns(budget.workspace, returned, now)

    def apply(self, grant: LoanGrant, now: float) -> list[tuple[Ask, float]]:
        """Take the granted loans in; return each answered request and its tokens."""
        answered = []
        for item in grant.items:
            ask = self.asks_by_number.pop(item.number, None)
            if ask is not None:
                # Tokens from a lender that answers too late are lost.
                if now - ask.asked < ASK_TIMEOUT_S:
                    self._peers.mark_heard(ask.lender)
                self._apply_one(ask, item, now)
                answered.append((ask, item.tokens))
        return answered

    def return_recalled(self, recall: LoanRecall, now: float) -> None:
        """Return what this instance does not need of a recalled loan."""
        if not self._holdings.is_fresh(now):
            return
        if self._holdings.declared(recall.workspace) is None:
            return
        budget = self._holdings.budget(recall.workspace, now)
        if recall.origin in budget.loans_by_origin:
            demand = budget.demand.rate_after_silence(now)
            self.send(self.plan(budget, demand, now, kept_s=KEPT_S))

    def expire_asks(self, now: float) -> None:
        """Forget requests without an answer and ask their lenders last."""
        for ask in list(self.asks_by_number.values()):
            if ask.urgent and now - ask.asked >= ASK_TIMEOUT_S:
                self._peers.mark_silent(ask.lender, now)
            if now - ask.asked >= (URGENT_LOAN_S if ask.urgent else LOAN_S):
                del self.asks_by_number[ask.number]
                key = (ask.workspace, ask.origin)
                if self._rate_asks_by_lender.get(key) == ask.number:
                    del self._rate_asks_by_lender[key]

    def _is_due(
        self, key: tuple[str, InstanceId], loan: Loan | None, wanted: float, now: float
    ) -> bool:
        ask = self.asks_by_number.get(self._rate_asks_by_lender.get(key, 0))
        if ask is not None and now - ask.asked < ANSWER_S:
            return False
        if loan is None or loan.end - now < RENEW_S:
            return True
        rate = loan.bucket.rate
        return not SETTLED * rate <= wanted <= GROWN * rate

    def _want_rate(
        self,
        budget: Budget,
        lender: Lendable,
        loan: Loan | None,
        wanted: float,
        now: float,
        *,
        kept_s: float,
    ) -> LoanWanted:
        held, returned = NOTHING, 0.0
        if loan is not None:
            if SETTLED * loan.bucket.rate <= wanted < loan.bucket.rate:
                wanted = loan.bucket.rate
            held, returned = loan.shrink(wanted, now, kept_s=kept_s)
        key = (budget.workspace, lender.origin)
        self.asks_by_number.pop(self._rate_asks_by_lender.get(key, 0), None)
        new = self._ask(budget.workspace, lender, wanted, 0.0, now, urgent=False)
        self._rate_asks_by_lender[key] = new.number
        if loan is not None and wanted <= 0.0:
            del budget.loans_by_origin[lender.origin]
        return LoanWanted(
            new.number,
            budget.workspace,
            lender.origin,
            lender.share,
            wanted,
            0.0,
            holding=loan.number if loan else 0,
            held=held,
            returned=returned,
        )

    def _send_returns(self, workspace: str, loans: list[Loan], now: float) -> None:
        items_by_address: dict[Address, list[TokensReturned]] = defaultdict(list)
        for loan in loans:
            tokens = loan.bucket.tokens if now < loan.end else 0.0
            items_by_address[loan.lender].append(
                TokensReturned(loan.number, workspace, loan.origin, tokens)
            )
        for address, items in items_by_address.items():
            returned = LoanReturn(self._holdings.log.newest, tuple(items))
            self._transport.send(address, returned)

    def _ask(
        self,
        workspace: str,
        lender: Lendable,
        rate: float,
        tokens: float,
        now: float,
        *,
        urgent: bool,
    ) -> Ask:
        ask = Ask(
            next(self._numbers),
            workspace,
            lender.origin,
            lender.address,
            now,
            rate,
            tokens,
            urgent,
            self._holdings.log.newest,
        )
        self.asks_by_number[ask.number] = ask
        return ask

    def _apply_one(self, ask: Ask, item: LoanGranted, now: float) -> None:
        if not ask.urgent and item.lent.rate < ask.rate:
            self._short_by_lender[ask.workspace, ask.origin] = item.lent.rate
        end = ask.asked + (URGENT_LOAN_S if ask.urgent else LOAN_S)
        if now >= end or not self._covers(ask, item, now):
            return
        budget = self._holdings.budget(ask.workspace, now)
        if ask.urgent:
            bucket = TokenBucket(0.0, item.lent.burst, now)
            bucket.add(item.tokens)
            budget.token_loans.append(
                Loan(ask.number, ask.origin, ask.lender, bucket, end, item.base)
            )
            return
        self._replace(budget, ask, item, end, now)

    def _replace(
        self, budget: Budget, ask: Ask, item: LoanGranted, end: float, now: float
    ) -> None:
        loan = budget.loans_by_origin.get(ask.origin)
        if item.lent.rate <= 0.0:
            return
        bucket = TokenBucket(item.lent.rate, item.lent.burst, now)
        if loan is not None:
            loan.settle(now)
            bucket.add(loan.bucket.tokens)
        bucket.add(item.tokens)
        budget.loans_by_origin[ask.origin] = Loan(
            ask.number, ask.origin, ask.lender, bucket, end, item.base
        )

    def _covers(self, ask: Ask, item: LoanGranted, now: float) -> bool:
        if not self._holdings.is_fresh(now):
            return False
        log = self._holdings.log
        passed = log.since(ask.newest)
        if passed is None or self._holdings.declared(ask.workspace) is None:
            return False
        states = (*passed, *log.active)
        share = self._holdings.shares.least(states, ask.workspace, ask.origin)
        return item.base.rate > 0.0 and share.covers(item.base)
