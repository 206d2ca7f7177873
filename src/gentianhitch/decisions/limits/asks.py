"""Requests to lenders that have not been answered yet."""

from __future__ import annotations

from itertools import count

from gentianhitch.decisions.limits.constants import ASK_TIMEOUT_S
from gentianhitch.decisions.limits.constants import LOAN_S
from gentianhitch.decisions.limits.constants import URGENT_LOAN_S
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.lenders import Lendable
from gentianhitch.decisions.limits.loans import Ask
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.instances.identity import InstanceId


class AskBook:
    """Number requests and match answers to them."""

    def __init__(self, holdings: Holdings, peers: PeerBook) -> None:
        self._holdings = holdings
        self._peers = peers
        self._numbers = count(1)
        self._asks_by_number: dict[int, Ask] = {}
        self._rate_asks_by_lender: dict[tuple[str, InstanceId], int] = {}

    def open(
        self,
        workspace: str,
        lender: Lendable,
        now: float,
        *,
        rate: float = 0.0,
        tokens: float = 0.0,
    ) -> Ask:
        """Note a request; one for a rate supersedes the earlier ones."""
        urgent = tokens > 0.0
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
        self._asks_by_number[ask.number] = ask
        if not urgent:
            key = (workspace, lender.origin)
            self._asks_by_number.pop(self._rate_asks_by_lender.get(key, 0), None)
            self._rate_asks_by_lender[key] = ask.number
        return ask

    def close(self, number: int, now: float) -> Ask | None:
        """Return the request that an answer belongs to, once."""
        ask = self._asks_by_number.pop(number, None)
        # Tokens from a lender that answers too late are lost.
        if ask is not None and now - ask.asked < ASK_TIMEOUT_S:
            self._peers.mark_heard(ask.lender)
        return ask

    def pending_rate(self, workspace: str, origin: InstanceId) -> Ask | None:
        """Return the unanswered request for a rate."""
        number = self._rate_asks_by_lender.get((workspace, origin), 0)
        return self._asks_by_number.get(number)

    def expire(self, now: float) -> None:
        """Forget requests without an answer; ask silent lenders no more."""
        for ask in list(self._asks_by_number.values()):
            if ask.urgent and now - ask.asked >= ASK_TIMEOUT_S:
                self._peers.mark_silent(ask.lender, now)
            if now - ask.asked >= (URGENT_LOAN_S if ask.urgent else LOAN_S):
                del self._asks_by_number[ask.number]
                key = (ask.workspace, ask.origin)
                if self._rate_asks_by_lender.get(key) == ask.number:
                    del self._rate_asks_by_lender[key]
