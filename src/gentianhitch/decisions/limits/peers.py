"""Addresses of other instances and of the current holders of shares."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.constants import UNRESPONSIVE_S
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.instances.identity import InstanceId

MAX_PEERS = 4096


@attrs.frozen
class Peer:
    """An instance that sent a message, in the agreed list or not."""

    id: InstanceId
    address: Address


class PeerDirectory:
    """Addresses of peers, current holder per share, and unresponsive peers.

    At most MAX_PEERS addresses are kept; the oldest are evicted first.
    """

    def __init__(self) -> None:
        self._addresses_by_id: dict[InstanceId, Address] = {}
        self._holders_by_owner: dict[InstanceId, Address] = {}
        self._unresponsive_until_by_address: dict[Address, float] = {}

    def record_address(self, peer: InstanceId, address: Address) -> None:
        """Record the address of an instance that sent a message."""
        self._addresses_by_id.pop(peer, None)
        self._addresses_by_id[peer] = address
        while len(self._addresses_by_id) > MAX_PEERS:
            del self._addresses_by_id[next(iter(self._addresses_by_id))]

    def address(self, peer: InstanceId) -> Address | None:
        """Return the recorded address of an instance; None if unknown."""
        return self._addresses_by_id.get(peer)

    def known_peers(self) -> list[Peer]:
        """Return the newest recorded incarnation of each instance."""
        newest_by_name: dict[str, InstanceId] = {}
        for peer in sorted(self._addresses_by_id):
            newest_by_name[peer.name] = peer
        return [
            Peer(peer, self._addresses_by_id[peer]) for peer in newest_by_name.values()
        ]

    def record_holder(self, owners: Iterable[InstanceId], address: Address) -> None:
        """Record that the shares of ``owners`` are held at ``address``."""
        for owner in owners:
            self._holders_by_owner[owner] = address

    def handle_notice(self, notice: ShareNotice) -> None:
        """Record the holder of the shares in a notice."""
        self.record_holder(notice.origins, notice.address)

    def known_holder(self, owner: InstanceId) -> Address | None:
        """Return the last reported holder of a share; None without a report."""
        return self._holders_by_owner.get(owner)

    def remove_holder(self, owner: InstanceId, address: Address) -> None:
        """Remove the holder of a share if it is recorded with this address."""
        if self._holders_by_owner.get(owner) == address:
            del self._holders_by_owner[owner]

    def holder(self, owner: InstanceId, default: Address) -> Address:
        """Return the last reported holder of a share, or ``default``."""
        return self._holders_by_owner.get(owner, default)

    def remove_unlisted_owners(self, states: Iterable[AgreedState]) -> None:
        """Remove the holders of shares whose owners are in none of the states."""
        listed = {
            member.id for state in states for member in state.members_by_name.values()
        }
        for owner in set(self._holders_by_owner) - listed:
            del self._holders_by_owner[owner]

    def mark_unresponsive(self, address: Address, now: float) -> None:
        """Exclude this address from token requests for UNRESPONSIVE_S."""
        self._unresponsive_until_by_address[address] = now + UNRESPONSIVE_S

    def mark_responsive(self, address: Address) -> None:
        """Allow token requests to this address again."""
        self._unresponsive_until_by_address.pop(address, None)

    def is_unresponsive(self, address: Address, now: float) -> bool:
        """Return whether this address is excluded from token requests."""
        return self._unresponsive_until_by_address.get(address, now) > now
