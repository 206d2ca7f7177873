"""Listen before what serves the connections is built."""

from __future__ import annotations

from typing import Any


class LateBoundFactory:
    """Give the port a factory once the request path is built.

    The address that the kernel gives must be known before the parts that name it
    are built; connections can't be accepted before the reactor runs.
    """

    def __init__(self) -> None:
        self._factory: Any = None

    def set_factory(self, factory: Any) -> None:
        """Serve every connection with ``factory`` from now on."""
        self._factory = factory
        factory.doStart()

    def doStart(self) -> None:  # noqa: N802
        """Do nothing: the real factory starts later."""

    def doStop(self) -> None:  # noqa: N802
        """Stop the real factory."""
        self._factory.doStop()

    def buildProtocol(self, address: Any) -> Any:  # noqa: N802
        """Serve a new connection."""
        return self._factory.buildProtocol(address)
