"""Everything that this instance may spend of one workspace."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.demand import Demand
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.shares import NOTHING
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.states import StateLog
from gentianhitch.instances.identity import InstanceId

WHOLE_TOKEN = 1.0 - 1e-9
"""Tokens that admit a request, allowing for rounding."""


@attrs.define
class Budget:
    """Hold accounts and loans of one workspace while it is in use."""

    workspace: str
    demand: Demand
    used: float
    accounts_by_origin: dict[InstanceId, Account] = attrs.Factory(dict)
    loans_by_origin: dict[InstanceId, Loan] = attrs.Factory(dict)
    token_loans: list[Loan] = attrs.Factory(list)
    planned: float = -math.inf
    version: int = 0
    newest: int = 0

    def open_account(
        self, origin: InstanceId, share: Share, now: float, tokens: float = 0.0
    ) -> Account:
        """Add the account of ``origin``; it holds only tokens that it received."""
        bucket = TokenBucket(share.rate, share.burst, now)
        bucket.add(tokens)
        account = Account(origin, bucket, share)
        self.accounts_by_origin[origin] = account
        return account

    def is_current(self, log: StateLog) -> bool:
        """Tell whether every state seen has been applied."""
        return self.version == log.version

    def is_engaged(self, now: float) -> bool:
        """Tell whether anything is lent or borrowed."""
        self.drop_ended(now)
        accounts = self.accounts_by_origin.values()
        lent = any(account.lent_until() > now for account in accounts)
        return lent or bool(self.loans_by_origin or self.token_loans)

    def catch_up(self, log: StateLog, shares: ShareTable, now: float) -> None:
        """Apply agreed states seen since the last use."""
        if self.is_current(log):
            return
        passed = log.since(self.newest)
        complete = passed is not None and bool(log.active)
        states = (passed or ()) + log.active
        for account in self.accounts_by_origin.values():
            self._follow(account, log, shares, states if complete else (), now)
        self._check_loans(shares, states if complete else (), now)
        self.version = log.version
        self.newest = log.newest

    def _follow(
        self,
        account: Account,
        log: StateLog,
        shares: ShareTable,
        states: tuple[AgreedState, ...],
        now: float,
    ) -> None:
        # The least share in between bounds what the time until now has earned:
        # another instance may have held the rest.
        lowest = shares.least(states, self.workspace, account.origin)
        account.settle(now, lowest)
        current = shares.least(log.active, self.workspace, account.origin)
        account.settle(now, current)

    def _check_loans(
        self, shares: ShareTable, states: tuple[AgreedState, ...], now: float
    ) -> None:
        for loan in [*self.loans_by_origin.values(), *self.token_loans]:
            share = shares.least(states, self.workspace, loan.origin)
            if not share.covers(loan.base):
                loan.end = min(loan.end, now)
        self.drop_ended(now)

    def drop_ended(self, now: float) -> None:
        """Forget loans whose lease has ended."""
        self.loans_by_origin = {
            origin: loan
            for origin, loan in self.loans_by_origin.items()
            if loan.end > now
        }
        self.token_loans = [loan for loan in self.token_loans if loan.end > now]

    def spendable(self, now: float) -> float:
        """Return the tokens that may be spent now."""
        return sum(bucket.tokens for bucket in self._buckets(now))

    def spend(self, now: float) -> bool:
        """Take one token, in parts if need be; tell whether there was one."""
        buckets = self._buckets(now)
        if sum(bucket.tokens for bucket in buckets) < WHOLE_TOKEN:
            return False
        missing = 1.0
        for bucket in buckets:
            missing -= bucket.remove(missing)
        return True

    def own_share(self) -> Share:
        """Return the sum of the accounts' shares, lent parts included."""
        total = NOTHING
        for account in self.accounts_by_origin.values():
            total = Share(
                total.rate + account.share.rate, total.burst + account.share.burst
            )
        return total

    def _buckets(self, now: float) -> list[TokenBucket]:
        # What ends first is spent first.
        loans = [*self.token_loans, *self.loans_by_origin.values()]
        for loan in loans:
            loan.settle(now)
        accounts = self.accounts_by_origin.values()
        for account in accounts:
            account.settle(now)
        return [one.bucket for one in loans] + [one.bucket for one in accounts]
