"""Where the instances are that hold shares, as far as this one has heard."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.constants import SILENT_S
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.instances.identity import InstanceId

MAX_PEERS = 4096


@attrs.frozen
class Peer:
    """One instance that was heard, whether or not it is in the agreed list."""

    id: InstanceId
    address: Address


class PeerBook:
    """Remember addresses, who holds whose share, and who does not answer."""

    def __init__(self) -> None:
        self._addresses_by_id: dict[InstanceId, Address] = {}
        self._holders_by_origin: dict[InstanceId, Address] = {}
        self._silent_until_by_address: dict[Address, float] = {}

    def learn(self, peer: InstanceId, address: Address) -> None:
        """Remember the address of an instance that was heard."""
        self._addresses_by_id.pop(peer, None)
        self._addresses_by_id[peer] = address
        while len(self._addresses_by_id) > MAX_PEERS:
            del self._addresses_by_id[next(iter(self._addresses_by_id))]

    def address(self, peer: InstanceId) -> Address | None:
        """Return the address of an instance that was heard."""
        return self._addresses_by_id.get(peer)

    def heard(self) -> list[Peer]:
        """Return the newest incarnation of each instance that was heard."""
        newest_by_name: dict[str, InstanceId] = {}
        for peer in sorted(self._addresses_by_id):
            newest_by_name[peer.name] = peer
        return [
            Peer(peer, self._addresses_by_id[peer]) for peer in newest_by_name.values()
        ]

    def learn_holder(self, origins: Iterable[InstanceId], address: Address) -> None:
        """Remember that the shares of ``origins`` are held at ``address``."""
        for origin in origins:
            self._holders_by_origin[origin] = address

    def learn_notice(self, notice: ShareNotice) -> None:
        """Remember what an instance says about where shares are held."""
        self.learn_holder(notice.origins, notice.address)

    def known_holder(self, origin: InstanceId) -> Address | None:
        """Return where the share of ``origin`` was last heard to be."""
        return self._holders_by_origin.get(origin)

    def forget_holder(self, origin: InstanceId, address: Address) -> None:
        """Stop looking for the share of ``origin`` at an address that lacks it."""
        if self._holders_by_origin.get(origin) == address:
            del self._holders_by_origin[origin]

    def holder(self, origin: InstanceId, listed: Address) -> Address:
        """Return where the share of ``origin`` is held; ``listed`` by default."""
        return self._holders_by_origin.get(origin, listed)

    def forget_origins(self, states: Iterable[AgreedState]) -> None:
        """Forget holders of origins that no active state lists."""
        listed = {
            member.id for state in states for member in state.members_by_name.values()
        }
        for origin in set(self._holders_by_origin) - listed:
            del self._holders_by_origin[origin]

    def mark_silent(self, address: Address, now: float) -> None:
        """Ask this address last for a while."""
        self._silent_until_by_address[address] = now + SILENT_S

    def mark_heard(self, address: Address) -> None:
        """Ask this address in its turn again."""
        self._silent_until_by_address.pop(address, None)

    def is_silent(self, address: Address, now: float) -> bool:
        """Tell whether this address has lately left a request unanswered."""
        return self._silent_until_by_address.get(address, now) > now
