"""Responses that HTTP does not allow, at the readers of both programs."""

from __future__ import annotations

import pytest

from gentianhitch.backend_servers.complete_responses import CompleteResponseReader
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.responses import ResponseReader

BODY = b"Content-Length: 6\r\n\r\nbroken"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
FRAMINGS = {
    "length": BODY,
    "no length": b"\r\nbroken",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n6\r\nbroken\r\n0\r\n\r\n",
    "no body": b"\r\n",
}


def read_in_pieces(reader: CompleteResponseReader | ResponseReader, data: bytes) -> str:
    """Feed bytes one by one; return the status and body of the response."""
    status, body = 0, b""
    for index in range(len(data)):
        result = reader.feed(data[index : index + 1])
        if isinstance(result, list):
            for response in result:
                status, body = response.status, body + response.body
        elif result is not None:
            status = result.head.status if result.head else status
            body += result.body
    return f"{status} {body.decode()}"


def make_readers() -> list[CompleteResponseReader | ResponseReader]:
    reader = ResponseReader()
    reader.expect(to_head_request=False)
    return [CompleteResponseReader(), reader]


def assert_invalid(data: bytes) -> None:
    """Check that both readers reject the bytes, whole and one by one."""
    for reader in make_readers():
        with pytest.raises(InvalidResponseError):
            reader.feed(data)
    for reader in make_readers():
        with pytest.raises(InvalidResponseError):
            read_in_pieces(reader, data)


class TestStatuses:
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("status", [0, 1, 99, 600, 999])
    def test_a_status_outside_the_classes_of_http(
        self, status: int, framing: str
    ) -> None:
        assert_invalid(b"HTTP/1.1 %03d Broken\r\n" % status + FRAMINGS[framing] + SOUND)

    @pytest.mark.parametrize("status", [200, 299, 404, 599])
    def test_a_status_of_http(self, status: int) -> None:
        data = SOUND.replace(b"200", b"%d" % status)
        for reader in make_readers():
            assert read_in_pieces(reader, data) == f"{status} sound"


class TestInterimResponses:
    """The head ends an interim response, whatever length it declares."""

    @pytest.mark.parametrize("status", [102, 103, 199])
    @pytest.mark.parametrize("framing", ["length", "chunks"])
    def test_one_with_a_body(self, status: int, framing: str) -> None:
        assert_invalid(b"HTTP/1.1 %d Wait\r\n" % status + FRAMINGS[framing] + SOUND)

    def test_one_whose_length_reaches_into_the_next_response(self) -> None:
        # The parser takes the length at its word, except with 100, 102 and 103.
        assert_invalid(b"HTTP/1.1 199 Wait\r\nContent-Length: 6\r\n\r\n" + SOUND)

    @pytest.mark.parametrize("status", [100, 102, 103, 199])
    def test_one_without_a_body_is_dropped(self, status: int) -> None:
        for reader in make_readers():
            data = b"HTTP/1.1 %d Wait\r\nX-Wait: 1\r\n\r\n" % status + SOUND
            assert read_in_pieces(reader, data) == "200 sound"


class TestReasonPhrases:
    def test_a_control_byte(self) -> None:
        for byte in (*range(32), 127):
            if byte not in b"\t":
                assert_invalid(SOUND.replace(b"OK", b"O%cK" % byte))

    @pytest.mark.parametrize("reason", [b" Not\tbad", b" \xe9", b" ", b""])
    def test_any_other_text(self, reason: bytes) -> None:
        for reader in make_readers():
            data = SOUND.replace(b" OK", reason)
            assert read_in_pieces(reader, data) == "200 sound"


# Bytes that a field name may contain (RFC 9110, section 5.6.2).
TOKEN = b"!#$%&'*+-.^_`|~0123456789" + bytes(range(65, 91)) + bytes(range(97, 123))
NOT_IN_NAMES = sorted({*range(256)} - {*TOKEN, *b":"})


class TestFieldNames:
    @pytest.mark.parametrize("name", [b"X-Line", b"Content-Length", b"X-Id"])
    @pytest.mark.parametrize("framing", [b"Content-Length: 6\r\n", b""])
    def test_a_byte_that_names_may_not_contain(
        self, name: bytes, framing: bytes
    ) -> None:
        for byte in NOT_IN_NAMES:
            for index in range(len(name) + 1):
                broken = name[:index] + bytes([byte]) + name[index:] + b": 1\r\n"
                assert_invalid(encode_response(broken, framing))
                assert_invalid(encode_response(framing, broken))

    def test_an_empty_name(self) -> None:
        assert_invalid(encode_response(b": 1\r\n", b"Content-Length: 6\r\n"))


def encode_response(*lines: bytes) -> bytes:
    """Return a response with these lines in its head."""
    return b"HTTP/1.1 200 OK\r\n" + b"".join(lines) + b"\r\nbroken"
