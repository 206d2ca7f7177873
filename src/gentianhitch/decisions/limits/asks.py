"""Table of loan requests that have no grant yet."""

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
    """Loan requests by number, until their grant arrives or they expire."""

    def __init__(self, held_shares: HeldShares, peers: PeerDirectory) -> None:
        self._held_shares = held_shares
        self._peers = peers
        self._numbers = count(1)
        self._requests_by_number: dict[int, PendingRequest] = {}
        self._rate_requests_by_lender: dict[tuple[str, InstanceId], int] = {}

    def add(
        self,
        workspace: str,
        lender: LenderCandidate,
        now: float,
        *,
        rate: float = 0.0,
        tokens: float = 0.0,
    ) -> PendingRequest:
        """Record a request; one for rate replaces the last one to the same lender."""
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
            self._held_shares.log.newest_sequence,
        )
        self._requests_by_number[request.number] = request
        if not urgent:
            key = (workspace, lender.owner)
            self._requests_by_number.pop(
                self._rate_requests_by_lender.get(key, 0), None
            )
            self._rate_requests_by_lender[key] = request.number
        return request

    def pop(self, number: int, now: float) -> PendingRequest | None:
        """Remove and return the request with this number; None if unknown."""
        request = self._requests_by_number.pop(number, None)
        # A lender that replies after the timeout stays marked as unresponsive, since
        # tokens that arrive too late are lost.
        if request is not None and now - request.requested_at < TOKEN_REQUEST_TIMEOUT_S:
            self._peers.mark_responsive(request.lender)
        return request

    def find_rate_request(
        self, workspace: str, owner: InstanceId
    ) -> PendingRequest | None:
        """Return the pending request for rate; None without one."""
        number = self._rate_requests_by_lender.get((workspace, owner), 0)
        return self._requests_by_number.get(number)

    def expire(self, now: float) -> None:
        """Remove expired requests and mark lenders that did not reply in time."""
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
