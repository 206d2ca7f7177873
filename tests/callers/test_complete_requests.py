"""Test that a request is passed on as it was sent, byte for byte, or not at all."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianhitch.callers.complete_requests import CompleteRequestReader
from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.requests import origin_form
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.model import CallerLimits

Sent = tuple[bytes, bytes, bytes]
"""Method, target and body of a request."""

METHODS = (b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"OPTIONS", b"CONNECT", b"FOO")
VERSIONS = (b"1.1", b"1.1", b"1.0", b"0.9", b"2.0")
EXTRA_HEADERS = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMA",
    b"Connection: Upgrade\r\nUpgrade: websocket",
    b"connection:upgrade\r\nUPGRADE:h2c",
    b"Upgrade: h2c",
    b"Connection: keep-alive, Upgrade",
    b"Connection: close",
    b"Connection: keep-alive",
    b"Expect: 100-continue",
    b"Expect: other",
    b"Trailer: X-Sum",
    b"TE: trailers",
    b"Proxy-Connection: keep-alive",
)
MARKER: Sent = (b"GET", b"/marker", b"")


@attrs.frozen
class Framing:
    """A way to say how long a body is; ``is_sound`` if it says one length."""

    name: str
    is_sound: bool

    def encode(self, body: bytes) -> tuple[bytes, bytes]:
        """Return the header lines and the bytes after the head."""
        length = b"Content-Length: %d\r\n" % len(body)
        chunked = b"Transfer-Encoding: chunked\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        last = b"0\r\n\r\n"
        return {
            "length": (length, body),
            "chunked": (chunked, chunk + last),
            "extension": (chunked, chunk.replace(b"\r\n", b";x=1\r\n", 1) + last),
            "trailer": (chunked, chunk + b"0\r\nX-Sum: 1\r\n\r\n"),
            "both": (length + chunked, chunk + last),
            "both reversed": (chunked + length, body),
            "two lengths": (length + b"Content-Length: 1\r\n", body),
            "signed length": (length.replace(b": ", b": +"), body),
            "gzip": (b"Transfer-Encoding: gzip, chunked\r\n", chunk + last),
            "two codings": (b"Transfer-Encoding: gzip\r\n" + chunked, chunk + last),
            "identity": (b"Transfer-Encoding: identity\r\n", body),
            "short chunk": (chunked, b"1\r\n%b\r\n" % (body + b"xx") + last),
        }[self.name]


FRAMINGS = [
    Framing("length", is_sound=True),
    Framing("chunked", is_sound=True),
    Framing("extension", is_sound=True),
    Framing("trailer", is_sound=True),
    Framing("both", is_sound=False),
    Framing("both reversed", is_sound=False),
    Framing("two lengths", is_sound=False),
    Framing("signed length", is_sound=False),
    Framing("gzip", is_sound=False),
    Framing("two codings", is_sound=False),
    Framing("identity", is_sound=False),
    Framing("short chunk", is_sound=False),
]


@attrs.frozen
class Message:
    """One request as a caller writes it."""

    method: bytes
    version: bytes
    extra: tuple[bytes, ...]
    framing: Framing
    body: bytes

    @property
    def sent(self) -> Sent:
        return (self.method, b"/orders/1?x=%2F", self.body)

    def encode(self) -> bytes:
        lines, rest = self.framing.encode(self.body)
        head = b"%b %b HTTP/%b\r\n" % (self.method, self.sent[1], self.version)
        extra = b"".join(line + b"\r\n" for line in self.extra)
        return head + b"Host: shop.example\r\n" + extra + lines + b"\r\n" + rest


messages = st.builds(
    Message,
    st.sampled_from(METHODS),
    st.sampled_from(VERSIONS),
    st.lists(st.sampled_from(EXTRA_HEADERS), max_size=3).map(tuple),
    st.sampled_from(FRAMINGS),
    st.sampled_from([b"", b"one pallet", b"GET /smuggled HTTP/1.1\r\n\r\n", b"0\r\n"]),
)


def read(data: bytes, sizes: list[int]) -> tuple[list[Sent], RequestError | None]:
    """Return the requests read from ``data``, which arrives in pieces."""
    reader = CompleteRequestReader(HEADER_NAMES, CallerLimits())
    found: list[Sent] = []
    position = 0
    for size in [*sizes, len(data)]:
        piece = data[position : position + size]
        position += size
        requests, error = reader.feed(piece) if piece else ([], None)
        found += [(each.method, each.target, each.body) for each in requests]
        if error is not None or not all(each.keep_alive for each in requests):
            return found, error
    return found, None


class TestGeneratedMessages:
    @settings(max_examples=1_500, deadline=None, derandomize=True)
    @given(messages, messages, st.lists(st.integers(1, 40), max_size=30))
    def test_what_is_passed_on_equals_what_was_sent(
        self, first: Message, second: Message, sizes: list[int]
    ) -> None:
        marker = b"GET /marker HTTP/1.1\r\nHost: shop.example\r\n\r\n"
        data = first.encode() + second.encode() + marker
        found, _ = read(data, sizes)
        sent = [first.sent, second.sent, MARKER]
        sound = [first.framing.is_sound, second.framing.is_sound, True]
        whole = sent[: sound.index(False)] if False in sound else sent
        assert found == whole[: len(found)]

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(messages)
    def test_a_pause_at_each_byte_changes_nothing(self, message: Message) -> None:
        data = message.encode()
        at_once, _ = read(data, [])
        assert read(data, [1] * len(data))[0] == at_once


# Guards against orders that run without their body: the parser reports a request with
# an offer of another protocol as complete after its head.
class TestUpgrade:
    @pytest.mark.parametrize("extra", EXTRA_HEADERS[:5])
    @pytest.mark.parametrize("framing", FRAMINGS[:4])
    def test_an_offer_is_ignored(self, extra: bytes, framing: Framing) -> None:
        message = Message(b"POST", b"1.1", (extra,), framing, b"one pallet")
        assert read(message.encode() * 2, []) == ([message.sent] * 2, None)

    def test_the_headers_of_the_offer_are_not_forwarded(self) -> None:
        message = Message(b"POST", b"1.1", EXTRA_HEADERS[:1], FRAMINGS[0], b"body")
        reader = CompleteRequestReader(HEADER_NAMES, CallerLimits())
        ((request,), _) = reader.feed(message.encode())
        assert request.headers == [(b"Host", b"shop.example")]
        assert request.keep_alive

    def test_many_offers_may_arrive_at_once(self) -> None:
        message = Message(b"POST", b"1.1", EXTRA_HEADERS[1:2], FRAMINGS[0], b"b")
        found, error = read(message.encode() * 2_000, [])
        assert (len(found), error) == (2_000, None)

    def test_a_tunnel_is_refused(self) -> None:
        found, error = read(b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", [])
        assert found == []
        assert error is not None


class TestTarget:
    @pytest.mark.parametrize(
        ("url", "target"),
        [
            (b"http://h/a?x=/b/", b"/a?x=/b/"),
            (b"http://h?x=/b/", b"/?x=/b/"),
            (b"http://h", b"/"),
            (b"/a//b?c", b"/a//b?c"),
        ],
    )
    def test_an_absolute_one_keeps_path_and_query(
        self, url: bytes, target: bytes
    ) -> None:
        assert origin_form(url) == target
