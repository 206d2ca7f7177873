"""Scopes that can be gray: a target, or a target for one route or workspace."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import Route


@attrs.frozen(cache_hash=True)
class Scope:
    """A target, limited to one route or workspace if that is given."""

    target: str
    route: str = ""
    workspace: str = ""

    @property
    def comparison_group(self) -> tuple[str, str]:
        """Return the key of the scopes that this one is compared with."""
        return (self.route, self.workspace)

    @property
    def is_entire_target(self) -> bool:
        """Return whether the scope covers all requests at the target."""
        return not self.route and not self.workspace


def route_name(route: Route) -> str:
    """Return the name of a route in messages, such as "GET /items"."""
    return f"{route.method} {route.path}"


def scopes_of(attempt: Attempt) -> tuple[Scope, ...]:
    """Return the scopes that an attempt is evidence for."""
    return scopes_for(attempt.target, attempt.route, attempt.workspace)


def scopes_for(target: str, route: Route, workspace: str | None) -> tuple[Scope, ...]:
    """Return the scopes of a request at ``target``; without a workspace only two."""
    target_scope = Scope(target)
    route_scope = Scope(target, route=route_name(route))
    if workspace is None:
        return (target_scope, route_scope)
    return (target_scope, route_scope, Scope(target, workspace=workspace))
