"""The limit for silence, on real connections and on stand-ins for a kernel."""

from __future__ import annotations

import contextlib
import socket
import struct
import time
from collections.abc import Iterator

import attrs
import pytest

from gentianhitch.silence import CLOSED_WINDOW_TIMEOUT_MS
from gentianhitch.silence import SendState
from gentianhitch.silence import SilenceLimit
from gentianhitch.silence import SilenceWatch
from gentianhitch.silence import read_send_state
from gentianhitch.socket_options import UNACKNOWLEDGED_TIMEOUT_MS
from gentianhitch.socket_options import watch_for_silence

WINDOW_BYTES = 4096
CHECK_INTERVAL_S = 0.5
PROBED_S = 0.3
PEERS_PAUSE_S = 8.0
CLOSED = SendState(0, 100, 5_000, 60_000, 0)


def encode_tcp_info(state: SendState) -> bytes:
    """Return ``struct tcp_info`` with the fields of ``state``."""
    data = bytearray(232)
    struct.pack_into("=I", data, 24, state.unacknowledged_segments)
    struct.pack_into("=I", data, 56, state.acknowledged_ms_ago)
    struct.pack_into("=Q", data, 120, state.acknowledged_bytes)
    struct.pack_into("=I", data, 144, state.unsent_bytes)
    struct.pack_into("=I", data, 228, state.window_bytes)
    return bytes(data)


@attrs.define
class KernelSocket:
    """A socket whose kernel answers with ``info``, or refuses."""

    info: bytes | OSError
    limit_ms: int = UNACKNOWLEDGED_TIMEOUT_MS

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        if isinstance(self.info, OSError):
            raise self.info
        return self.info[:size]

    def setsockopt(self, level: int, option: int, value: int) -> None:
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.limit_ms = value


@attrs.define
class Transport:
    """A connected transport."""

    socket: object
    connected: bool = True


@attrs.define
class Scenario:
    """A limit that is checked every CHECK_INTERVAL_S."""

    kernel: KernelSocket
    now: float = 100.0
    limit: SilenceLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.limit = SilenceLimit(Transport(self.kernel))

    def check(self, state: SendState, times: int = 1) -> int:
        """Check some times in this state; return the kernel's limit after it."""
        for _ in range(times):
            self.now += CHECK_INTERVAL_S
            self.kernel.info = encode_tcp_info(state)
            self.limit.update(self.now)
        return self.kernel.limit_ms


@pytest.fixture
def scenario() -> Scenario:
    return Scenario(KernelSocket(b""))


class TestLimit:
    def test_grows_with_each_acknowledgement(self, scenario: Scenario) -> None:
        assert scenario.check(CLOSED) == CLOSED_WINDOW_TIMEOUT_MS
        assert scenario.check(CLOSED, 21) == CLOSED_WINDOW_TIMEOUT_MS + 10_400

    def test_stays_when_acknowledgements_cease(self, scenario: Scenario) -> None:
        reached_ms = scenario.check(CLOSED, 11)
        for silent_ms in range(600, 8_000, 500):
            state = attrs.evolve(CLOSED, acknowledged_ms_ago=silent_ms)
            assert scenario.check(state) == reached_ms

    def test_starts_anew_after_progress(self, scenario: Scenario) -> None:
        scenario.check(CLOSED, 11)
        progressed = attrs.evolve(CLOSED, acknowledged_bytes=9_000)
        assert scenario.check(progressed) == CLOSED_WINDOW_TIMEOUT_MS

    @pytest.mark.parametrize(
        "state",
        [
            attrs.evolve(CLOSED, window_bytes=1),
            attrs.evolve(CLOSED, unsent_bytes=0),
            SendState(3, 2_900, 5_000, 60_000, 64_000),
        ],
        ids=["window open", "nothing to send", "silence"],
    )
    def test_is_the_usual_one_otherwise(
        self, scenario: Scenario, state: SendState
    ) -> None:
        scenario.check(CLOSED, 3)
        assert scenario.limit.is_extended
        assert scenario.check(state) == UNACKNOWLEDGED_TIMEOUT_MS
        assert not scenario.limit.is_extended

    @pytest.mark.parametrize("info", [OSError("refused"), b"", b"\0" * 192])
    def test_stays_where_the_kernel_does_not_tell(self, info: bytes | OSError) -> None:
        kernel = KernelSocket(info)
        SilenceLimit(Transport(kernel)).update(1.0)
        assert kernel.limit_ms == UNACKNOWLEDGED_TIMEOUT_MS

    def test_needs_no_socket(self) -> None:
        SilenceLimit(object()).update(1.0)


@attrs.define
class KernelPair:
    """A connection whose peer reads nothing until it is told to."""

    peer: socket.socket
    transport: Transport
    limit: SilenceLimit

    @classmethod
    def connect(cls) -> KernelPair:
        with socket.socket() as port:
            port.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
            port.bind(("127.0.0.1", 0))
            port.listen()
            handle = socket.create_connection(port.getsockname())
            peer, _ = port.accept()
        handle.setblocking(False)
        peer.setblocking(False)
        transport = Transport(handle)
        watch_for_silence(transport)
        return cls(peer, transport, SilenceLimit(transport))

    @property
    def handle(self) -> socket.socket:
        assert isinstance(self.transport.socket, socket.socket)
        return self.transport.socket

    @property
    def limit_ms(self) -> int:
        return self.handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    @property
    def is_lost(self) -> bool:
        return self.handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def fill(self) -> None:
        """Write until no buffer takes more."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.handle.send(b"x" * 65_536)

    def read_all(self) -> None:
        """Read at the peer until nothing is under way."""
        end_s = time.monotonic() + 5.0
        state = read_send_state(self.transport)
        while state is not None and state.unsent_bytes + state.unacknowledged_segments:
            with contextlib.suppress(BlockingIOError):
                while self.peer.recv(65_536):
                    pass
            assert time.monotonic() < end_s
            time.sleep(0.01)
            state = read_send_state(self.transport)

    def close(self) -> None:
        self.handle.close()
        self.peer.close()


@pytest.fixture
def pair() -> Iterator[KernelPair]:
    pair = KernelPair.connect()
    yield pair
    pair.close()


class TestKernel:
    def test_tells_of_a_closed_window(self, pair: KernelPair) -> None:
        state = read_send_state(pair.transport)
        assert state is not None
        assert not state.is_window_closed
        pair.fill()
        time.sleep(PROBED_S)
        state = read_send_state(pair.transport)
        assert state is not None
        assert state.is_window_closed
        assert state.acknowledged_ms_ago < PROBED_S * 1000
        assert state.unsent_bytes > 0

    def test_gets_the_usual_limit_again(self, pair: KernelPair) -> None:
        pair.fill()
        time.sleep(PROBED_S)
        pair.limit.update(time.monotonic())
        assert pair.limit_ms >= CLOSED_WINDOW_TIMEOUT_MS
        pair.read_all()
        pair.limit.update(time.monotonic())
        assert pair.limit_ms == UNACKNOWLEDGED_TIMEOUT_MS

    # Guards against resets of peers that pause: the kernel's limit applies to a closed
    # window although its probes are acknowledged.
    def test_keeps_only_the_connection_that_is_checked(self, pair: KernelPair) -> None:
        unchecked = KernelPair.connect()
        for each in (pair, unchecked):
            each.fill()
        for _ in range(int(PEERS_PAUSE_S / CHECK_INTERVAL_S)):
            time.sleep(CHECK_INTERVAL_S)
            pair.limit.update(time.monotonic())
        assert unchecked.is_lost
        assert not pair.is_lost
        pair.read_all()
        unchecked.close()


class TestWatch:
    def test_finds_that_nothing_is_acknowledged(self) -> None:
        kernel = KernelSocket(encode_tcp_info(SendState(0, 0, 0, 0, 64_000)))
        watch = SilenceWatch(Transport(kernel))
        watch.start()
        assert kernel.limit_ms == 0
        silent_s = []
        for number in range(10):
            now = 100.0 + number * CHECK_INTERVAL_S
            state = SendState(3, 9_000 + number * 500, 5_000, 60_000, 64_000)
            kernel.info = encode_tcp_info(state)
            silent_s.append(watch.is_gone(now))
        # 3 s after the first check that saw bytes in flight.
        assert silent_s == [False] * 6 + [True] * 4

    @pytest.mark.parametrize(
        "state", [CLOSED, SendState(3, 400, 5_000, 60_000, 64_000)]
    )
    def test_keeps_peers_that_acknowledge(self, state: SendState) -> None:
        kernel = KernelSocket(encode_tcp_info(state))
        watch = SilenceWatch(Transport(kernel))
        watch.start()
        assert not any(watch.is_gone(100.0 + number / 2) for number in range(40))

    @pytest.mark.parametrize("info", [OSError("refused"), b""])
    def test_leaves_the_limit_where_the_kernel_does_not_tell(
        self, info: bytes | OSError
    ) -> None:
        kernel = KernelSocket(info)
        watch = SilenceWatch(Transport(kernel))
        watch.start()
        assert kernel.limit_ms == UNACKNOWLEDGED_TIMEOUT_MS
        assert not watch.is_gone(1.0)
