"""Callers that upload bodies over slow links, and the servers that take them."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import attrs
import httptools
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from gentianhitch.platform import wire_names
from gentianhitch.proxy.instance import ProxyInstance
from gentianhitch.proxy.server_evidence import PATH
from gentianhitch.proxy.server_table import BROKEN_PATH_PRIOR
from tests.builders_deployment import SERVER_PORT
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import server_host
from tests.simulated_network import Reactor

FAST_LINK = 125e6
"""Bytes a second of a link that is never the limit."""

SERVICE_S = 0.05
UPLOAD_BYTES = 60_000
TIMEOUT_S = 6.0
CALLERS_PORT = 8045
HOST = "shop.example"


def make_upload_document(version: int = 1, objective_s: float = 2.0) -> dict[str, Any]:
    """Return a configuration with one route for uploads, that needs no key."""
    rule = {
        "name": "put",
        "type": "upload",
        "match": {"prefix": "/put/"},
        "action": {"service": "stock", "timeoutMs": 6000, "attempts": 1},
        "objectiveLatencyMs": objective_s * 1000,
        "priority": 1,
    }
    return {
        "version": version,
        "listeners": [{"hostname": HOST, "rules": [rule]}],
        "clusters": [{"name": "stock", "maxConnections": 330}],
    }


class ServerProtocol(Protocol):
    """Respond to each complete request after the service time."""

    transport: Any = None

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor
        self._parser = httptools.HttpRequestParser(self)
        self._request_id = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == wire_names.REQUEST_ID.lower():
            self._request_id = value

    def on_message_complete(self) -> None:
        self._reactor.callLater(SERVICE_S, self._respond, self._request_id)

    def _respond(self, request_id: bytes) -> None:
        lines = [
            b"HTTP/1.1 200 OK",
            b"%b: %b" % (wire_names.REQUEST_ID, request_id),
            b"%b: s" % wire_names.SIGNATURE,
            b"Content-Length: 0",
        ]
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n")


class ServerFactory(Factory):
    noisy = False

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> ServerProtocol:  # noqa: N802
        return ServerProtocol(self._reactor)


@attrs.define(eq=False)
class Upload:
    """One upload and what its caller saw of it; ``status`` is 0 without a response."""

    request_id: str
    size: int
    started_s: float
    status: int = 0
    cause: str = ""
    retry_after: str = ""
    elapsed_s: float = float("inf")
    sent_bytes: int = 0


class CallerProtocol(Protocol):
    """Send one request and read its response; goes on sending whatever comes."""

    transport: Any = None

    def __init__(self, reactor: Reactor, upload: Upload) -> None:
        self._reactor = reactor
        self._upload = upload
        self._body = b""
        self._parser = httptools.HttpResponseParser(self)

    def connectionMade(self) -> None:  # noqa: N802
        upload = self._upload
        lines = [
            b"POST /put/1 HTTP/1.1",
            b"Host: " + HOST.encode(),
            b"%b: %b" % (wire_names.REQUEST_ID, upload.request_id.encode()),
            b"%b: %d" % (wire_names.REMAINING_MS, TIMEOUT_S * 1000),
            b"Content-Length: %d" % upload.size,
        ]
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self.transport.write(head + b"x" * upload.size)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parser.feed_data(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"retry-after":
            self._upload.retry_after = value.decode()

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        upload = self._upload
        upload.status = self._parser.get_status_code()
        upload.elapsed_s = self._reactor.seconds() - upload.started_s
        if self._body:
            upload.cause = json.loads(self._body)["cause"]
        upload.sent_bytes = upload.size - len(self.transport.pending)
        if upload.status == 200:
            self.transport.loseConnection()


class CallerFactory(ClientFactory):
    noisy = False

    def __init__(self, reactor: Reactor, upload: Upload) -> None:
        self._reactor = reactor
        self._upload = upload

    def buildProtocol(self, addr: Any) -> CallerProtocol:  # noqa: N802
        return CallerProtocol(self._reactor, self._upload)


class UploadDeployment:
    """Instances behind slow links, sound servers in three domains, and callers.

    ``queue_bytes`` wait before each link at most. The callers' links and those of the
    servers are never the limit.
    """

    def __init__(
        self,
        bytes_per_s: list[float],
        servers: int = 120,
        queue_bytes: int = 400_000,
        objective_s: float = 2.0,
        *,
        tells_links: bool = True,
    ) -> None:
        self.deployment = SimulatedDeployment(
            bytes_per_s, servers, zones="abc", tells_links=tells_links
        )
        self.network = self.deployment.network
        self.deployment.configure(make_upload_document(1, objective_s))
        for number in range(servers):
            reactor = self.network.add_host(server_host(number), FAST_LINK)
            reactor.listenTCP(SERVER_PORT, ServerFactory(reactor))
        self._callers = self.network.add_host("10.50.0.1", FAST_LINK)
        self.uploads: list[Upload] = []
        self.deployment.advance(4.0)
        self.network.queue_bytes = queue_bytes

    @property
    def instances(self) -> list[ProxyInstance]:
        return self.deployment.instances

    def advance(self, seconds: float) -> None:
        self.deployment.advance(seconds)

    def send(self, instance: int = 0, size: int = UPLOAD_BYTES) -> Upload:
        """Start one upload to an instance."""
        upload = Upload(f"u-{len(self.uploads)}", size, self._callers.seconds())
        self.uploads.append(upload)
        self._callers.connectTCP(
            f"10.1.0.{instance + 1}",
            CALLERS_PORT,
            CallerFactory(self._callers, upload),
        )
        return upload

    def send_wave(
        self, per_s: float, seconds: float, instance: int = 0, size: int = UPLOAD_BYTES
    ) -> None:
        """Send uploads at an even rate."""
        for _ in range(round(per_s * seconds)):
            self.send(instance, size)
            self.advance(1.0 / per_s)

    def count_events(self, instance: int = 0) -> Counter[str]:
        """Return how often an instance logged each event."""
        lines = self.instances[instance]._events.lines  # type: ignore[attr-defined]
        return Counter(event for event, _ in lines)

    def count_outcomes(self) -> Counter[str]:
        """Return how many uploads got each status, with the cause of refusals."""
        return Counter(f"{each.status} {each.cause}".strip() for each in self.uploads)

    def refused_after_s(self, instance: int = 0) -> list[float]:
        """Return for how long the instance held the requests that it refused."""
        lines = self.instances[instance]._events.lines  # type: ignore[attr-defined]
        return [
            inputs["elapsed_ms"] / 1000
            for event, inputs in lines
            if event == "finished" and not inputs["outcome"].isdigit()
        ]

    def servers_with_path_evidence(self, instance: int = 0) -> int:
        """Return to how many servers the path from an instance is doubted."""
        balancer = self.instances[instance]._balancer
        now = self.network.clock.seconds()
        return sum(
            record.path_filter.probability(PATH, now) > 2 * BROKEN_PATH_PRIOR
            for record in balancer._records_by_key.values()
        )
