"""Where the instances are that hold shares, as far as this one has heard."""

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
    """One instance that was heard, whether or not it is in the agreed list."""

    id: InstanceId
    address: Address


class PeerDirectory:
    """Remember addresses, who holds whose share, and who does not answer."""

    def __init__(self) -> None:
        self._addresses_by_id: dict[InstanceId, Address] = {}
        self._holders_by_owner: dict[InstanceId, Address] = {}
        self._unresponsive_until_by_address: dict[Address, float] = {}

    def record_address(self, peer: InstanceId, address: Address) -> None:
        """Remember the address of an instance that was heard."""
        self._addresses_by_id.pop(peer, None)
        self._addresses_by_id[peer] = address
        while len(self._addresses_by_id) > MAX_PEERS:
            del self._addresses_by_id[next(iter(self._addresses_by_id))]

    def address(self, peer: InstanceId) -> Address | None:
        """Return the address of an instance that was heard."""
        return self._addresses_by_id.get(peer)

    def known_peers(self) -> list[Peer]:
        """Return the newest incarnation of each instance that was heard."""
        newest_by_name: dict[str, InstanceId] = {}
        for peer in sorted(self._addresses_by_id):
            newest_by_name[peer.name] = peer
        return [
            Peer(peer, self._addresses_by_id[peer]) for peer in newest_by_name.values()
        ]

    def record_holder(self, owners: Iterable[InstanceId], address: Address) -> None:
        """Remember that the shares of ``owners`` are held at ``address``."""
        for owner in owners:
            self._holders_by_owner[owner] = address

    def handle_notice(self, notice: ShareNotice) -> None:
        """Remember what an instance says about where shares are held."""
        self.record_holder(notice.origins, notice.address)

    def known_holder(self, owner: InstanceId) -> Address | None:
        """Return where the share of ``owner`` was last heard to be."""
        return self._holders_by_owner.get(owner)

    def remove_holder(self, owner: InstanceId, address: Address) -> None:
        """Stop looking for the share of ``owner`` at an address that lacks it."""
        if self._holders_by_owner.get(owner) == address:
            del self._holders_by_owner[owner]

    def holder(self, owner: InstanceId, listed: Address) -> Address:
        """Return where the share of ``owner`` is held; ``listed`` by default."""
        return self._holders_by_owner.get(owner, listed)

    def remove_unlisted_owners(self, states: Iterable[AgreedState]) -> None:
        """Forget holders of owners that no active state lists."""
        listed = {
            member.id for state in states for member in state.members_by_name.values()
        }
        for owner in set(self._holders_by_owner) - listed:
            del self._holders_by_owner[owner]

    def mark_unresponsive(self, address: Address, now: float) -> None:
        """Ask this address last for a while."""
        self._unresponsive_until_by_address[address] = now + UNRESPONSIVE_S

    def mark_responsive(self, address: Address) -> None:
        """Ask this address in its turn again."""
        self._unresponsive_until_by_address.pop(address, None)

    def is_unresponsive(self, address: Address, now: float) -> bool:
        """Tell whether this address has lately left a request unanswered."""
        return self._unresponsive_until_by_address.get(address, now) > now
