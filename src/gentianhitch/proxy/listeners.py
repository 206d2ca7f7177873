"""Open the ports of one instance."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.web.server import Site

from gentianhitch.addresses import Address

LISTEN_BACKLOG = 1024


@attrs.frozen
class Listeners:
    """Opens listening ports; port 0 stands for any free one."""

    _reactor: Any

    def listen(self, address: Address, factory: Any) -> Any:
        """Accept connections for ``factory`` and return the open port."""
        return self._reactor.listenTCP(
            address.port, factory, backlog=LISTEN_BACKLOG, interface=address.host
        )

    def serve_http(self, address: Address, resource: Any) -> Address:
        """Serve an HTTP resource and return the bound address."""
        site = Site(resource, reactor=self._reactor)
        return bound_address(self.listen(address, site))

    def receive_datagrams(self, address: Address, protocol: Any) -> Address:
        """Receive datagrams for ``protocol`` and return the bound address."""
        port = self._reactor.listenUDP(address.port, protocol, interface=address.host)
        return bound_address(port)


def bound_address(port: Any) -> Address:
    """Return the address at which a port is bound, with the actual port number."""
    host = port.getHost()
    return Address(host.host, host.port)
