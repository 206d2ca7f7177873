"""Look up the route of a request and the workspace of an API key."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service

PREFIX_SUFFIX = "/*"


@attrs.frozen(order=True)
class RouteKey:
    """Lookup key of a route: method and path, or the part of it before ``/*``."""

    method: str
    path: str


@attrs.frozen
class RoutingIndex:
    """Lookup tables built from one document."""

    routes_by_key: dict[RouteKey, Route]
    prefix_routes_by_key: dict[RouteKey, Route]
    workspace_names_by_digest: dict[bytes, str]
    services_by_name: dict[str, Service]
    targets_by_name: dict[str, BackendServer]

    @classmethod
    def from_document(cls, document: Document) -> RoutingIndex:
        """Build the lookup tables of ``document``."""
        exact: dict[RouteKey, Route] = {}
        prefixes: dict[RouteKey, Route] = {}
        for route in document.routes:
            if route.path.endswith(PREFIX_SUFFIX):
                path = route.path.removesuffix(PREFIX_SUFFIX)
                prefixes[RouteKey(route.method, path)] = route
            else:
                exact[RouteKey(route.method, route.path)] = route
        return cls(
            routes_by_key=exact,
            prefix_routes_by_key=prefixes,
            workspace_names_by_digest=_workspace_names_by_digest(document),
            services_by_name={service.name: service for service in document.services},
            targets_by_name={
                target.name: target for target in document.backend_servers
            },
        )

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the exactly matching route, else the one with the longest prefix."""
        route = self.routes_by_key.get(RouteKey(method, path))
        if route is not None or not self.prefix_routes_by_key:
            return route
        prefix, separator, _ = path.rpartition("/")
        while separator:
            route = self.prefix_routes_by_key.get(RouteKey(method, prefix))
            if route is not None:
                return route
            prefix, separator, _ = prefix.rpartition("/")
        return None

    def find_workspace(self, digest: bytes) -> str | None:
        """Return the workspace that owns the key with this SHA-256 digest, or None."""
        return self.workspace_names_by_digest.get(digest)


def key_digest(key: bytes) -> bytes:
    """Return the SHA-256 digest of a key.

    Only digests are compared in lookups, so that timing reveals nothing about a key.
    """
    return hashlib.sha256(key).digest()


def _workspace_names_by_digest(document: Document) -> dict[bytes, str]:
    return {
        bytes.fromhex(key_hash): workspace.name
        for workspace in document.workspaces
        for key_hash in workspace.key_hashes
    }


@attrs.frozen
class MatchedRoute:
    """The newest state's route with the rights on which all active states agree."""

    route: Route
    service: Service
    idempotent: bool
    open: bool


@attrs.define
class RoutingTable:
    """Looks up requests in the documents of all active states.

    A right (a key, an open route, a permitted retry) requires that every active
    state grants it; a revocation applies as soon as one state contains it.
    """

    _indexes: tuple[RoutingIndex, ...] = ()
    _states: tuple[AgreedState, ...] = ()

    def update(self, states: tuple[AgreedState, ...]) -> None:
        """Use ``states`` from now on; index only documents that are new.

        While a state has no document, no route and no key is found.
        """
        if len(states) == len(self._states) and all(
            new is old for new, old in zip(states, self._states, strict=True)
        ):
            return
        indexes_by_document_id = {
            id(state.document): index
            for state, index in zip(self._states, self._indexes, strict=False)
        }
        indexes = []
        for state in states:
            if state.document is None:
                self._states, self._indexes = (), ()
                return
            index = indexes_by_document_id.get(id(state.document))
            if index is None:
                index = RoutingIndex.from_document(state.document)
                indexes_by_document_id[id(state.document)] = index
            indexes.append(index)
        self._states, self._indexes = states, tuple(indexes)

    def match(self, method: str, path: str) -> MatchedRoute | None:
        """Return the newest state's route with the rights that all states grant."""
        if not self._indexes:
            return None
        newest = self._indexes[-1]
        route = newest.find_route(method, path)
        if route is None:
            return None
        idempotent, is_open = route.idempotent, route.open
        for index in self._indexes[:-1]:
            older = index.find_route(method, path)
            idempotent = idempotent and older is not None and older.idempotent
            is_open = is_open and older is not None and older.open
        service = newest.services_by_name[route.service]
        return MatchedRoute(route, service, idempotent, is_open)

    def authorise(self, key: bytes) -> str | None:
        """Return the workspace to which every active state assigns ``key``, or None."""
        if not self._indexes:
            return None
        digest = key_digest(key)
        name = self._indexes[-1].find_workspace(digest)
        if name is None:
            return None
        for index in self._indexes[:-1]:
            other = index.find_workspace(digest)
            if other is None or not hmac.compare_digest(other, name):
                return None
        return name
