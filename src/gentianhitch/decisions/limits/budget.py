"""Everything that this instance may spend of one workspace."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.demand import Demand
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.shares import NO_SHARE
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.states import StateLog
from gentianhitch.instances.identity import InstanceId

TOKENS_PER_REQUEST = 1.0 - 1e-9
"""Tokens that admit a request, allowing for rounding."""


@attrs.define
class Budget:
    """Hold accounts and loans of one workspace while it is in use."""

    workspace: str
    demand: Demand
    used: float
    accounts_by_owner: dict[InstanceId, Account] = attrs.Factory(dict)
    rate_loans_by_owner: dict[InstanceId, Loan] = attrs.Factory(dict)
    token_loans: list[Loan] = attrs.Factory(list)
    planned: float = -math.inf
    version: int = 0
    newest: int = 0

    def open_account(
        self, owner: InstanceId, share: Share, now: float, tokens: float = 0.0
    ) -> Account:
        """Add the account of ``owner``; it holds only tokens that it received."""
        bucket = TokenBucket(share.rate, share.burst, now)
        bucket.add(tokens)
        account = Account(owner, bucket, share)
        self.accounts_by_owner[owner] = account
        return account

    def is_current(self, log: StateLog) -> bool:
        """Tell whether every state seen has been applied."""
        return self.version == log.version

    def has_loans(self, now: float) -> bool:
        """Tell whether anything is lent or borrowed."""
        self.drop_expired(now)
        accounts = self.accounts_by_owner.values()
        lent = any(account.lent_until() > now for account in accounts)
        return lent or bool(self.rate_loans_by_owner or self.token_loans)

    def apply_states(self, log: StateLog, shares: ShareTable, now: float) -> None:
        """Apply agreed states seen since the last use."""
        if self.is_current(log):
            return
        passed = log.since(self.newest)
        complete = passed is not None and bool(log.active)
        states = (passed or ()) + log.active
        for account in self.accounts_by_owner.values():
            self._update_account(account, log, shares, states if complete else (), now)
        self._end_uncovered_loans(shares, states if complete else (), now)
        self.version = log.version
        self.newest = log.newest

    def _update_account(
        self,
        account: Account,
        log: StateLog,
        shares: ShareTable,
        states: tuple[AgreedState, ...],
        now: float,
    ) -> None:
        # The least share in between bounds what the time until now has earned:
        # another instance may have held the rest.
        lowest = shares.least(states, self.workspace, account.owner)
        account.settle(now, lowest)
        current = shares.least(log.active, self.workspace, account.owner)
        account.settle(now, current)

    def _end_uncovered_loans(
        self, shares: ShareTable, states: tuple[AgreedState, ...], now: float
    ) -> None:
        for loan in [*self.rate_loans_by_owner.values(), *self.token_loans]:
            share = shares.least(states, self.workspace, loan.owner)
            if not share.covers(loan.base):
                loan.end = min(loan.end, now)
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Forget loans whose lease has ended."""
        self.rate_loans_by_owner = {
            owner: loan
            for owner, loan in self.rate_loans_by_owner.items()
            if loan.end > now
        }
        self.token_loans = [loan for loan in self.token_loans if loan.end > now]

    def available_tokens(self, now: float) -> float:
        """Return the tokens that may be spent now."""
        return sum(bucket.tokens for bucket in self._buckets(now))

    def spend(self, now: float) -> bool:
        """Take one token, in parts if need be; tell whether there was one."""
        buckets = self._buckets(now)
        if sum(bucket.tokens for bucket in buckets) < TOKENS_PER_REQUEST:
            return False
        missing = 1.0
        for bucket in buckets:
            missing -= bucket.remove(missing)
        return True

    def total_share(self) -> Share:
        """Return the sum of the accounts' shares, lent parts included."""
        total = NO_SHARE
        for account in self.accounts_by_owner.values():
            total = Share(
                total.rate + account.share.rate, total.burst + account.share.burst
            )
        return total

    def _buckets(self, now: float) -> list[TokenBucket]:
        # What ends first is spent first.
        loans = [*self.token_loans, *self.rate_loans_by_owner.values()]
        for loan in loans:
            loan.settle(now)
        accounts = self.accounts_by_owner.values()
        for account in accounts:
            account.settle(now)
        return [one.bucket for one in loans] + [one.bucket for one in accounts]
