"""Pass requests with an idempotency key to another entry instance."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

MAX_RELAYS = 32
"""Requests that may be under way to one other instance."""


@attrs.define
class SingleInstanceSelector:
    """Select one other entry instance as the only target."""

    _address: Address

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Return the instance, once."""
        if self._address in exclude:
            return None
        return BackendServer(
            name=self._address,
            address=self._address,
            failure_domain="",
            service=service,
            slots=MAX_RELAYS,
            connections=MAX_RELAYS,
        )

    def record(self, attempt: Attempt, now: float) -> None:
        """Learn nothing."""
