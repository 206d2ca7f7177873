"""Request paths with fake decisions, and callers and targets in memory."""

from __future__ import annotations

import hashlib
import re

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from gentianhitch.callers.request_path import RequestPath
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.targets.slots import QueuedSlots
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace

KEY = b"key-of-nord"
WORKSPACE = "nord"
GET_STOCK = Route("GET", "/stock/*", "stock", idempotent=True)
OPEN_PRICES = Route("GET", "/prices", "stock", idempotent=True, open=True)
HEAD_STOCK = Route("HEAD", "/stock/*", "stock", idempotent=True)
PUT_STOCK = Route("PUT", "/stock/*", "stock", idempotent=True)
POST_ORDER = Route("POST", "/orders", "orders", idempotent=False)


def build_targets(count=2, slots=4):
    return tuple(
        BackendServer(
            name=f"{service}-{number}",
            address=Address("127.0.0.1", base + number),
            failure_domain="a",
            service=service,
            slots=slots,
            connections=100,
        )
        for service, base in (("stock", 1000), ("orders", 2000))
        for number in range(count)
    )


def build_document(keys=(KEY,), routes=None, targets=None, deadline_ms=1000):
    return Document(
        environment="production",
        workspaces=(
            Workspace(
                WORKSPACE,
                100,
                10,
                tuple(hashlib.sha256(key).hexdigest() for key in keys),
            ),
        ),
        services=tuple(Service(name, 2, deadline_ms) for name in ("stock", "orders")),
        backend_servers=build_targets() if targets is None else targets,
        routes=(GET_STOCK, OPEN_PRICES, HEAD_STOCK, PUT_STOCK, POST_ORDER)
        if routes is None
        else routes,
    )


@attrs.define
class FakeAgreement:
    states: tuple = attrs.Factory(lambda: (AgreedState(1, {}, build_document()),))
    fresh: bool = True

    def is_fresh(self, now):
        return self.fresh

    def active(self, now):
        return self.states


@attrs.define
class FakeLimiter:
    verdicts: list = attrs.Factory(list)
    taken: list = attrs.Factory(list)
    waiting: Deferred = attrs.Factory(Deferred)

    def take(self, workspace, max_wait_s):
        self.taken.append(workspace)
        self.waiting = Deferred()
        self.resolve()
        return self.waiting

    def resolve(self):
        """Resolve the request with the next verdict; WAIT keeps it pending."""
        verdict = self.verdicts.pop(0) if self.verdicts else TokenVerdict.ADMITTED
        if verdict is not TokenVerdict.WAIT:
            self.waiting.callback(verdict)

    def retry_after_s(self, workspace, now):
        return 1.5


@attrs.define
class FakeSelector:
    """Chooses the first target in order that has a free slot."""

    targets: tuple = attrs.Factory(build_targets)
    attempts: list = attrs.Factory(list)
    in_flight_by_name: dict = attrs.Factory(dict)
    on_release: list = attrs.Factory(list)

    def choose(self, service, route, workspace, now, exclude=frozenset()):
        for target in self.targets:
            in_flight = self.in_flight_by_name.get(target.name, 0)
            if (
                target.service == service
                and target.name not in exclude
                and in_flight < target.slots
            ):
                self.in_flight_by_name[target.name] = in_flight + 1
                return target
        return None

    def record(self, attempt, now):
        self.in_flight_by_name[attempt.target] -= 1
        self.attempts.append(attempt)
        for callback in self.on_release:
            callback(attempt, now)

    @property
    def outcomes(self):
        return [attempt.outcome.value for attempt in self.attempts]


class MemoryTransport(StringTransport):
    """In-memory transport that records how the connection was closed."""

    aborted = False
    write_closed = False

    def __init__(self):
        super().__init__(lenient=True)

    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        super().abortConnection()

    def loseWriteConnection(self):  # noqa: N802
        self.write_closed = True

    def take(self):
        data = self.value()
        self.clear()
        return data


@attrs.define(eq=False)
class ConnectionEnd:
    """One end of a connection that a test drives."""

    protocol: object
    transport: MemoryTransport = attrs.Factory(MemoryTransport)

    def __attrs_post_init__(self):
        self.protocol.makeConnection(self.transport)

    def send(self, data):
        self.protocol.dataReceived(data)

    def received(self):
        return self.transport.take()

    def close(self):
        self.protocol.connectionLost(Failure(ConnectionDone()))

    @property
    def is_closed(self):
        transport = self.transport
        return transport.disconnecting or transport.write_closed


@attrs.define(eq=False)
class ConnectAttempt:
    """An attempt to connect to a target, which the test accepts or refuses."""

    host: str
    port: int
    factory: object

    def accept(self):
        return ConnectionEnd(self.factory.buildProtocol(None))

    def refuse(self):
        self.factory.clientConnectionFailed(None, Failure(ConnectionRefusedError()))


class MemoryReactor(Clock):
    """A clock that the test advances, and connections that it accepts or refuses."""

    def __init__(self):
        super().__init__()
        self.connect_attempts = []
        self.advance(1000.0)

    def callLater(self, delay, callable, *args, **kwargs):  # noqa: N802
        assert delay >= 0, f"negative delay of {delay} s, which real reactors refuse"
        return super().callLater(delay, callable, *args, **kwargs)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):  # noqa: N802, N803
        self.connect_attempts.append(ConnectAttempt(host, port, factory))


class PathHarness:
    """A request path whose reactor, callers, targets and decisions are in memory."""

    def __init__(self, selector=None, **options):
        self.reactor = MemoryReactor()
        self.agreement = FakeAgreement()
        self.limiter = FakeLimiter()
        self.selector = FakeSelector() if selector is None else selector
        self.counts = []
        self.path = RequestPath(
            self.reactor,
            self.agreement,
            self.limiter,
            self.selector,
            QueuedSlots(self.selector, self.reactor),
            count=self.counts.append,
            **options,
        )
        self.path.doStart()

    def caller(self):
        return ConnectionEnd(self.path.buildProtocol(None))

    def accept(self):
        return self.reactor.connect_attempts.pop(0).accept()

    def refuse(self):
        self.reactor.connect_attempts.pop(0).refuse()

    def send_to_target(self, data):
        """Send ``data`` from a new caller; return the caller and the target."""
        caller = self.caller()
        caller.send(data)
        return caller, self.accept()


def make_request(method="GET", path="/stock/1", body=None, key=KEY, **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: test"]
    if key is not None:
        lines.append(f"Authorization: Bearer {key.decode()}")
    if body is not None and "Content_Length" not in headers:
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def make_order(body=b"two pallets", **headers):
    return make_request("POST", "/orders", body, **headers)


def make_response(body=b"hello", status="200 OK", **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def status_of(data):
    return int(data.split(b" ", 2)[1])


def header_of(data, name):
    head = data.split(b"\r\n\r\n")[0]
    found = re.search(rb"(?im)^" + name.encode() + rb": ([^\r]*)", head)
    return None if found is None else found.group(1).decode()


def outcome_of(data):
    return header_of(data, "Gentianhitch-Outcome")


def request_id_of(data):
    return header_of(data, "X-Request-Id")
