"""Name what can be gray: a target, or a target for one route or workspace."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import Route


@attrs.frozen(cache_hash=True)
class Scope:
    """A target; with ``route`` or ``workspace`` only for that one."""

    target: str
    route: str = ""
    workspace: str = ""

    @property
    def group(self) -> tuple[str, str]:
        """Return what a scope shares with those it is compared with."""
        return (self.route, self.workspace)

    @property
    def whole(self) -> bool:
        """Tell whether the scope is the whole target."""
        return not self.route and not self.workspace


def route_name(route: Route) -> str:
    """Name a route in messages."""
    return f"{route.method} {route.path}"


def scopes_of(attempt: Attempt) -> tuple[Scope, ...]:
    """Return the scopes for which an attempt is evidence."""
    return scopes_for(attempt.target, attempt.route, attempt.workspace)


def scopes_for(target: str, route: Route, workspace: str | None) -> tuple[Scope, ...]:
    """Return the scopes that a request at ``target`` belongs to."""
    whole = Scope(target)
    by_route = Scope(target, route=route_name(route))
    if workspace is None:
        return (whole, by_route)
    return (whole, by_route, Scope(target, workspace=workspace))
