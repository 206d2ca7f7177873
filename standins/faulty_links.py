"""Forward TCP connections over loopback, and harm them on request.

Usage: ``python -m standins.faulty_links``. On its admin address,
``POST /links?target=ADDRESS`` opens a link and answers its address;
``PUT /links?address=ADDRESS&mode=MODE&delay_ms=N`` changes how a link behaves;
``PUT /harm?address=ADDRESS&how=reset|silence`` harms the connections that are open.
"""

from __future__ import annotations

from typing import Any

import attrs
from klein import Klein
from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from standins import serving

MODES = ("open", "silent", "no-requests", "no-answers", "refuse")

_reactor: Any = reactor


@attrs.define(eq=False)
class Link:
    """One forwarded address; ``mode`` holds for old and new connections alike."""

    target: str
    mode: str = "open"
    delay_s: float = 0.0
    address: str = ""
    pairs: set[Pair] = attrs.Factory(set)

    def listen(self) -> None:
        """Open a free port."""
        factory: Any = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: Near(self)
        port = _reactor.listenTCP(0, factory, interface=serving.LOOPBACK)
        self.address = f"{serving.LOOPBACK}:{port.getHost().port}"

    def loses(self, *, request: bool) -> bool:
        """Tell whether data in one direction is lost now."""
        lost = ("silent", "no-requests") if request else ("silent", "no-answers")
        return self.mode in lost


@attrs.define(eq=False)
class Pair:
    """The two ends of one forwarded connection; silenced, it stays so for good."""

    link: Link
    near: Any
    far: Any = None
    waiting: list[bytes] = attrs.Factory(list)
    silenced: bool = False

    def pass_on(self, data: bytes, *, request: bool) -> None:
        """Forward data after the link's delay, unless it is lost."""
        if self.silenced or self.link.loses(request=request):
            # Bytes lost amid a connection can't be made up: it stays silent.
            self.silenced = True
            return
        _reactor.callLater(self.link.delay_s, self._write, data, request)

    def _write(self, data: bytes, request: bool) -> None:
        end = self.far if request else self.near
        if end is None:
            self.waiting.append(data)
        elif end.transport is not None:
            end.transport.write(data)

    def connected(self, far: Any) -> None:
        """Send what came before the far end was there."""
        self.far = far
        for data in self.waiting:
            far.transport.write(data)

    def end(self, *, reset: bool) -> None:
        """Close both ends."""
        self.link.pairs.discard(self)
        for each in (self.near, self.far):
            if each is not None and each.transport is not None:
                if reset:
                    each.transport.abortConnection()
                else:
                    each.transport.loseConnection()


class Near(Protocol):
    """The end at which the caller is."""

    transport: Any = None

    def __init__(self, link: Link) -> None:
        self._pair = Pair(link, self)

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the far end."""
        link = self._pair.link
        if link.mode == "refuse":
            self.transport.abortConnection()
            return
        link.pairs.add(self._pair)
        host, _, port = link.target.rpartition(":")
        _reactor.connectTCP(host, int(port), _FarFactory(self._pair))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward what the caller sends."""
        self._pair.pass_on(data, request=True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the far end too."""
        self._pair.end(reset=False)


class Far(Protocol):
    """The end at which the server is."""

    transport: Any = None

    def __init__(self, pair: Pair) -> None:
        self._pair = pair

    def connectionMade(self) -> None:  # noqa: N802
        """Send what has come so far."""
        self._pair.connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward what the server sends."""
        self._pair.pass_on(data, request=False)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the near end too, unless it has gone silent."""
        if not self._pair.silenced:
            self._pair.end(reset=False)


class _FarFactory(ClientFactory):
    noisy = False

    def __init__(self, pair: Pair) -> None:
        self._pair = pair

    def buildProtocol(self, addr: Any) -> Far:  # noqa: N802
        return Far(self._pair)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        self._pair.end(reset=True)


class Links:
    """Serve the admin calls."""

    def __init__(self) -> None:
        self._by_address: dict[str, Link] = {}
        self.app = Klein()
        route: Any = self.app.route
        route("/links", methods=["POST"], endpoint="add")(self._add)
        route("/links", methods=["PUT"], endpoint="change")(self._change)
        route("/harm", methods=["PUT"], endpoint="harm")(self._harm)

    def _add(self, request: Any) -> bytes:
        link = Link(request.args[b"target"][0].decode())
        link.listen()
        self._by_address[link.address] = link
        return serving.answer_json(request, {"address": link.address})

    def _change(self, request: Any) -> bytes:
        link = self._find(request)
        mode = request.args.get(b"mode", [link.mode.encode()])[0].decode()
        if mode not in MODES:
            return serving.answer_json(request, {"modes": MODES}, 400)
        link.mode = mode
        link.delay_s = float(request.args.get(b"delay_ms", [b"0"])[0]) / 1000
        return serving.answer_json(request, {})

    def _harm(self, request: Any) -> bytes:
        how = request.args[b"how"][0]
        for pair in tuple(self._find(request).pairs):
            if how == b"reset":
                pair.end(reset=True)
            else:
                pair.silenced = True
        return serving.answer_json(request, {})

    def _find(self, request: Any) -> Link:
        return self._by_address[request.args[b"address"][0].decode()]


def main() -> None:
    """Serve until SIGTERM."""
    serving.announce(address=serving.listen(Links().app, 0))
    serving.serve()


if __name__ == "__main__":
    main()
