"""Factory for a port that is opened before the request path is built."""

from __future__ import annotations

from typing import Any


class LateBoundFactory:
    """Delegates to a factory that is set after the port was opened.

    The parts of the instance are built with the address that the kernel assigns to
    the port. No connection is accepted in between, since the reactor does not run.
    """

    def __init__(self) -> None:
        self._factory: Any = None

    def set_factory(self, factory: Any) -> None:
        """Start ``factory`` and use it for all connections."""
        self._factory = factory
        factory.doStart()

    def doStart(self) -> None:  # noqa: N802
        """Do nothing: ``set_factory`` starts the factory."""

    def doStop(self) -> None:  # noqa: N802
        """Stop the factory that was set."""
        self._factory.doStop()

    def buildProtocol(self, address: Any) -> Any:  # noqa: N802
        """Return the set factory's protocol for a new connection."""
        return self._factory.buildProtocol(address)
