"""Keep the newest view of the store and the proof of how fresh it is."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

import attrs

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoreView
from gentianhitch.proxy.model import digest_of

T = TypeVar("T")

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
    _lapsed_servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    _lapsed_peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _lapsed_until_s: float = NEVER

    def age_s(self, now: float) -> float:
        """Return how long ago the view was proved."""
        return now - self.proved_s

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return None if self.view is None else self.view.configuration

    @property
    def servers_by_id(self) -> dict[str, BackendServer]:
        """Return the backend servers, also those expected back."""
        return {} if self.view is None else self.view.backend_servers_by_id

    @property
    def peers_by_name(self) -> dict[str, Peer]:
        """Return the entry instances, also those expected back."""
        return {} if self.view is None else self.view.peers_by_name

    @property
    def lapsed_server_ids(self) -> frozenset[str]:
        """Return the servers that are in use although their entries lapsed."""
        return frozenset(self._lapsed_servers_by_id)

    def confirm(self, digest: int, began_s: float) -> bool:
        """Note that a read begun at ``began_s`` showed the view with ``digest``."""
        if self.view is None or self.view.digest != digest:
            return False
        self.proved_s = max(self.proved_s, began_s)
        return True

    def learn_read(self, view: StoreView, began_s: float, now: float) -> Change | None:
        """Take a view that this instance read; None if it changes nothing.

        Only a reader can tell an outage of the store from a gap in its own proofs, so
        that it alone keeps lapsed entries; its view passes them on.
        """
        if self.view is not None and view.revision >= self.view.revision:
            self._keep_lapsed(self.view, view, began_s, now)
        return self.learn(self._with_lapsed(view), began_s)

    def learn(self, view: StoreView, began_s: float) -> Change | None:
        """Take a view read at ``began_s``; None if it changes nothing."""
        old = self.view
        if old is not None and (
            view.revision < old.revision
            or view.configuration_revision < old.configuration_revision
        ):
            return None
        self.proved_s = max(self.proved_s, began_s)
        self.view = view
        return _difference(old, view)

    def expire(self, now: float) -> Change | None:
        """Drop the entries that were expected back and are not."""
        if now < self._lapsed_until_s or self.view is None:
            return None
        lapsed_servers, self._lapsed_servers_by_id = self._lapsed_servers_by_id, {}
        lapsed_peers, self._lapsed_peers_by_name = self._lapsed_peers_by_name, {}
        self._lapsed_until_s = NEVER
        if not lapsed_servers and not lapsed_peers:
            return None
        old = self.view
        self.view = _with_entries(
            old,
            _without(old.backend_servers_by_id, lapsed_servers),
            _without(old.peers_by_name, lapsed_peers),
        )
        return _difference(old, self.view)

    def _keep_lapsed(
        self, old: StoreView, new: StoreView, began_s: float, now: float
    ) -> None:
        """Keep entries that may have lapsed only because the store was away.

        A shorter gap is none of the store's: what went then is gone.
        """
        if began_s - self.proved_s > LAPSE_HEARTBEATS * self.heartbeat_s:
            self._lapsed_until_s = now + RETURN_S
            self._lapsed_servers_by_id = {
                server.id: server
                for server in old.backend_servers_by_id.values()
                if server.id not in new.backend_servers_by_id and not server.draining
            }
            self._lapsed_peers_by_name = _without(old.peers_by_name, new.peers_by_name)
        else:
            # Back and gone again: that removal is no lapse.
            self._lapsed_servers_by_id = _without(
                self._lapsed_servers_by_id, new.backend_servers_by_id
            )
            self._lapsed_peers_by_name = _without(
                self._lapsed_peers_by_name, new.peers_by_name
            )

    def _with_lapsed(self, view: StoreView) -> StoreView:
        if not self._lapsed_servers_by_id and not self._lapsed_peers_by_name:
            return view
        return _with_entries(
            view,
            {**self._lapsed_servers_by_id, **view.backend_servers_by_id},
            {**self._lapsed_peers_by_name, **view.peers_by_name},
        )


def _without(entries: dict[str, T], others: Mapping[str, object]) -> dict[str, T]:
    return {key: entry for key, entry in entries.items() if key not in others}


def _with_entries(
    view: StoreView, servers: dict[str, BackendServer], peers: dict[str, Peer]
) -> StoreView:
    return attrs.evolve(
        view,
        backend_servers_by_id=servers,
        peers_by_name=peers,
        digest=digest_of(view.configuration_revision, servers.values(), peers.values()),
    )


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
