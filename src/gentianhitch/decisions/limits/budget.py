"""Tokens of one workspace that this instance may spend."""

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
"""Tokens required to admit a request: one, less a margin for rounding errors."""


@attrs.define
class Budget:
    """Accounts and borrowed loans of one workspace that is in use."""

    workspace: str
    demand: Demand
    last_used: float
    accounts_by_owner: dict[InstanceId, Account] = attrs.Factory(dict)
    rate_loans_by_owner: dict[InstanceId, Loan] = attrs.Factory(dict)
    token_loans: list[Loan] = attrs.Factory(list)
    last_planned: float = -math.inf
    version: int = 0
    newest_sequence: int = 0

    def open_account(
        self, owner: InstanceId, share: Share, now: float, tokens: float = 0.0
    ) -> Account:
        """Add an account for the share of ``owner`` with the given tokens only."""
        bucket = TokenBucket(share.rate, share.burst, now)
        bucket.add(tokens)
        account = Account(owner, bucket, share)
        self.accounts_by_owner[owner] = account
        return account

    def is_current(self, log: StateLog) -> bool:
        """Return whether all observed states have been applied."""
        return self.version == log.version

    def has_loans(self, now: float) -> bool:
        """Return whether any loan, granted or borrowed, has not expired."""
        self.drop_expired(now)
        accounts = self.accounts_by_owner.values()
        lent = any(account.lent_until() > now for account in accounts)
        return lent or bool(self.rate_loans_by_owner or self.token_loans)

    def apply_states(self, log: StateLog, shares: ShareTable, now: float) -> None:
        """Apply the agreed states observed since the last call.

        If a state is missing from the log, accounts lose their tokens and loans end.
        """
        if self.is_current(log):
            return
        later_states = log.after(self.newest_sequence)
        complete = later_states is not None and bool(log.active)
        states = (later_states or ()) + log.active
        for account in self.accounts_by_owner.values():
            self._update_account(account, log, shares, states if complete else (), now)
        self._end_uncovered_loans(shares, states if complete else (), now)
        self.version = log.version
        self.newest_sequence = log.newest_sequence

    def _update_account(
        self,
        account: Account,
        log: StateLog,
        shares: ShareTable,
        states: tuple[AgreedState, ...],
        now: float,
    ) -> None:
        # The smallest share in the meantime limits the tokens earned until now, as
        # another instance may have held the remainder.
        lowest = shares.minimum_share(states, self.workspace, account.owner)
        account.settle(now, lowest)
        current = shares.minimum_share(log.active, self.workspace, account.owner)
        account.settle(now, current)

    def _end_uncovered_loans(
        self, shares: ShareTable, states: tuple[AgreedState, ...], now: float
    ) -> None:
        for loan in [*self.rate_loans_by_owner.values(), *self.token_loans]:
            share = shares.minimum_share(states, self.workspace, loan.owner)
            if not share.covers(loan.base):
                loan.expires_at = min(loan.expires_at, now)
        self.drop_expired(now)

    def drop_expired(self, now: float) -> None:
        """Remove borrowed loans whose lease has expired."""
        self.rate_loans_by_owner = {
            owner: loan
            for owner, loan in self.rate_loans_by_owner.items()
            if loan.expires_at > now
        }
        self.token_loans = [loan for loan in self.token_loans if loan.expires_at > now]

    def available_tokens(self, now: float) -> float:
        """Return the number of tokens in accounts and borrowed loans."""
        return sum(bucket.tokens for bucket in self._buckets(now))

    def spend(self, now: float) -> bool:
        """Take a token, in parts from several buckets if need be; False if too few."""
        buckets = self._buckets(now)
        if sum(bucket.tokens for bucket in buckets) < TOKENS_PER_REQUEST:
            return False
        missing = 1.0
        for bucket in buckets:
            missing -= bucket.remove(missing)
        return True

    def total_share(self) -> Share:
        """Return the sum of the accounts' shares, including what is lent."""
        total = NO_SHARE
        for account in self.accounts_by_owner.values():
            total = Share(
                total.rate + account.share.rate, total.burst + account.share.burst
            )
        return total

    def _buckets(self, now: float) -> list[TokenBucket]:
        # Tokens that expire first are spent first.
        loans = [*self.token_loans, *self.rate_loans_by_owner.values()]
        for loan in loans:
            loan.settle(now)
        accounts = self.accounts_by_owner.values()
        for account in accounts:
            account.settle(now)
        return [one.bucket for one in loans] + [one.bucket for one in accounts]
