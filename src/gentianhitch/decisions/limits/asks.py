"""Requests to lenders that have not been answered yet."""

from __future__ import annotations

from itertools import count

from gentianhitch.decisions.limits.constants import RATE_LOAN_LEASE_S
from gentianhitch.decisions.limits.constants import TOKEN_LOAN_LEASE_S
from gentianhitch.decisions.limits.constants import TOKEN_REQUEST_TIMEOUT_S
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.lenders import LenderCandidate
from gentianhitch.decisions.limits.loans import PendingRequest
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.instances.identity import InstanceId


class PendingRequests:
    """Number requests and match answers to them."""

    def __init__(self, held_shares: HeldShares, peers: PeerDirectory) -> None:
        self._held_shares = held_shares
        self._peers = peers
        self._numbers = count(1)
        self._requests_by_number: dict[int, PendingRequest] = {}
        self._rate_requests_by_lender: dict[tuple[str, InstanceId], int] = {}

    def open(
        self,
        workspace: str,
        lender: LenderCandidate,
        now: float,
        *,
        rate: float = 0.0,
        tokens: float = 0.0,
    ) -> PendingRequest:
        """Note a request; one for a rate supersedes the earlier ones."""
        urgent = tokens > 0.0
        request = PendingRequest(
            next(self._numbers),
            workspace,
            lender.owner,
            lender.address,
            now,
            rate,
            tokens,
            urgent,
            self._held_shares.log.newest,
        )
        self._requests_by_number[request.number] = request
        if not urgent:
            key = (workspace, lender.owner)
            self._requests_by_number.pop(
                self._rate_requests_by_lender.get(key, 0), None
            )
            self._rate_requests_by_lender[key] = request.number
        return request

    def close(self, number: int, now: float) -> PendingRequest | None:
        """Return the request that an answer belongs to, once."""
        request = self._requests_by_number.pop(number, None)
        # Tokens from a lender that answers too late are lost.
        if request is not None and now - request.requested_at < TOKEN_REQUEST_TIMEOUT_S:
            self._peers.mark_responsive(request.lender)
        return request

    def pending_rate(self, workspace: str, owner: InstanceId) -> PendingRequest | None:
        """Return the unanswered request for a rate."""
        number = self._rate_requests_by_lender.get((workspace, owner), 0)
        return self._requests_by_number.get(number)

    def expire(self, now: float) -> None:
        """Forget requests without an answer; request silent lenders no more."""
        for request in list(self._requests_by_number.values()):
            if request.urgent and now - request.requested_at >= TOKEN_REQUEST_TIMEOUT_S:
                self._peers.mark_unresponsive(request.lender, now)
            if now - request.requested_at >= (
                TOKEN_LOAN_LEASE_S if request.urgent else RATE_LOAN_LEASE_S
            ):
                del self._requests_by_number[request.number]
                key = (request.workspace, request.owner)
                if self._rate_requests_by_lender.get(key) == request.number:
                    del self._rate_requests_by_lender[key]
