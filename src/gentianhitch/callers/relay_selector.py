"""Target selector for relaying a request to another entry instance."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

MAX_CONCURRENT_RELAYS = 32
"""Concurrent requests, and connections, to one other instance."""


@attrs.define
class SingleInstanceSelector:
    """Selects one entry instance as the only target; records no attempts."""

    _address: Address

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Return the instance as a target, or None if it was tried before."""
        if self._address in exclude:
            return None
        return BackendServer(
            name=self._address,
            address=self._address,
            failure_domain="",
            service=service,
            slots=MAX_CONCURRENT_RELAYS,
            connections=MAX_CONCURRENT_RELAYS,
        )

    def record(self, attempt: Attempt, now: float) -> None:
        """Ignore the attempt: it is no evidence about a backend server."""
