"""IP addresses with a port, as written in settings and documents."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


class Address(str):
    """Locate a TCP endpoint; the text is ``IP:PORT`` in canonical form.

    A ``str`` rather than an attrs class, so that JSON and MessagePack carry it as
    text through the same decoding hook.
    """

    __slots__ = ()

    def __new__(cls, host: str, port: int) -> Address:
        """Join an IP number and a port."""
        return super().__new__(
            cls, f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
        )

    def __getnewargs__(self) -> tuple[str, int]:  # type: ignore[override]
        return (self.host, self.port)

    @classmethod
    def parse(cls, text: object) -> Address:
        """Read ``IP:PORT`` (``[IP]:PORT`` for version 6); raise ValueError."""
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
        """Return the IP number."""
        return self.rpartition(":")[0].removeprefix("[").removesuffix("]")

    @property
    def port(self) -> int:
        """Return the port."""
        return int(self.rpartition(":")[2])
