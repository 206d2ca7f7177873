"""IP address and port pairs, as written in settings and documents."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


class Address(str):
    """Address of a TCP endpoint, as the text ``IP:PORT`` in canonical form.

    It is a ``str`` rather than an attrs class, so that JSON and MessagePack encode it
    as text and share one decoding hook.
    """

    __slots__ = ()

    def __new__(cls, host: str, port: int) -> Address:
        """Create an address; an IPv6 ``host`` is put in brackets."""
        return super().__new__(
            cls, f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        )

    def __getnewargs__(self) -> tuple[str, int]:  # type: ignore[override]
        return (self.host, self.port)

    @classmethod
    def parse(cls, text: object) -> Address:
        """Parse ``IP:PORT`` (``[IP]:PORT`` for IPv6); raise ValueError."""
        host, separator, port = str(text).rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        try:
            ipaddress.ip_address(host)
        except ValueError:
            separator = ""
        if not separator or not port.isascii() or not port.isdigit():
            raise ValueError(f"address {text!r} is not of the form IP:PORT")
        if int(port) > MAX_PORT:
            raise ValueError(f"port of address {text!r} is above {MAX_PORT}")
        return cls(host, int(port))

    @property
    def host(self) -> str:
        """Return the IP address, without brackets."""
        return self.rpartition(":")[0].removeprefix("[").removesuffix("]")

    @property
    def port(self) -> int:
        """Return the port number."""
        return int(self.rpartition(":")[2])
