"""Keep the newest view of the store and the proof of how fresh it is."""

from __future__ import annotations

import attrs

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoreView

LAPSE_HEARTBEATS = 2
"""Entries go after three silent heartbeats, the first of which may just be due."""

RETURN_S = 2.0
"""Time in which entries that lapsed in an outage are written again."""

NEVER = float("-inf")


@attrs.frozen
class Change:
    """What one read changed."""

    configuration: bool
    added: tuple[BackendServer, ...]
    removed: tuple[BackendServer, ...]
    peers: bool


@attrs.define
class Knowledge:
    """Hold what this instance may act on.

    ``proved_s`` is the time at which the newest read that confirmed the view
    *began*; whatever was acknowledged before then is known. Nothing steps back:
    an older view is dropped.
    """

    heartbeat_s: float
    view: StoreView | None = None
    proved_s: float = NEVER
    _kept_servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    _kept_peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _kept_until_s: float = NEVER

    def age_s(self, now: float) -> float:
        """Return how long ago the view was proved."""
        return now - self.proved_s

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return None if self.view is None else self.view.configuration

    def confirm(self, digest: int, began_s: float) -> bool:
        """Note that a read begun at ``began_s`` showed the view with ``digest``."""
        if self.view is None or self.view.digest != digest:
            return False
        self.proved_s = max(self.proved_s, began_s)
        return True

    def learn(self, view: StoreView, began_s: float, now: float) -> Change | None:
        """Take a view read at ``began_s``; None if it changes nothing."""
        old = self.view
        if old is not None and (
            view.revision < old.revision
            or view.configuration_revision < old.configuration_revision
        ):
            return None
        if old is not None:
            self._keep_lapsed(old, view, began_s, now)
        self.proved_s = max(self.proved_s, began_s)
        self.view = view
        return _difference(old, view)

    def servers(self, now: float) -> dict[str, BackendServer]:
        """Return the backend servers by id, also those expected back."""
        known = {} if self.view is None else self.view.backend_servers_by_id
        if now < self._kept_until_s:
            return {**self._kept_servers_by_id, **known}
        return known

    def peers(self, now: float) -> dict[str, Peer]:
        """Return the entry instances by name, also those expected back."""
        known = {} if self.view is None else self.view.peers_by_name
        if now < self._kept_until_s:
            return {**self._kept_peers_by_name, **known}
        return known

    def kept_server_ids(self, now: float) -> frozenset[str]:
        """Return the servers that are in use although their entries lapsed."""
        return frozenset(self.servers(now)) - frozenset(
            () if self.view is None else self.view.backend_servers_by_id
        )

    def _keep_lapsed(
        self, old: StoreView, new: StoreView, began_s: float, now: float
    ) -> None:
        """Keep entries that may have lapsed only because the store was away.

        A shorter gap is none of the store's: what went then is gone.
        """
        if began_s - self.proved_s > LAPSE_HEARTBEATS * self.heartbeat_s:
            self._kept_until_s = now + RETURN_S
            self._kept_servers_by_id = {
                server.id: server
                for server in old.backend_servers_by_id.values()
                if server.id not in new.backend_servers_by_id and not server.draining
            }
            self._kept_peers_by_name = {
                peer.name: peer
                for peer in old.peers_by_name.values()
                if peer.name not in new.peers_by_name
            }
        elif now < self._kept_until_s:
            # Back and gone again: that removal is no lapse.
            for server_id in new.backend_servers_by_id:
                self._kept_servers_by_id.pop(server_id, None)
            for name in new.peers_by_name:
                self._kept_peers_by_name.pop(name, None)


def _difference(old: StoreView | None, new: StoreView) -> Change | None:
    before = {} if old is None else old.backend_servers_by_id
    after = new.backend_servers_by_id
    old_revision = 0 if old is None else old.configuration_revision
    change = Change(
        configuration=new.configuration_revision != old_revision,
        added=tuple(
            server
            for server in after.values()
            if server.id not in before or before[server.id].key != server.key
        ),
        removed=tuple(
            server
            for server in before.values()
            if server.id not in after or after[server.id].key != server.key
        ),
        peers=old is None or old.peers_by_name.keys() != new.peers_by_name.keys(),
    )
    if change.configuration or change.added or change.removed or change.peers:
        return change
    return None
