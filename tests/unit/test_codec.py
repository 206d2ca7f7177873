from __future__ import annotations

import pytest

from gentianhitch.addresses import Address
from gentianhitch.instances import codec


@codec.message
class Sample:
    text: str
    at: Address
    numbers: tuple[int, ...] = ()


class TestCodec:
    def test_round_trip(self) -> None:
        sample = Sample("x", Address("::1", 9), (1, 2))
        assert codec.decode(codec.encode(sample)) == sample

    @pytest.mark.parametrize(
        "data", [b"", b"Nothing\0", b"Sample\0\x00", b"Sample", b"\xff\xff\0"]
    )
    def test_malformed_message_is_an_error(self, data: bytes) -> None:
        with pytest.raises(codec.MalformedMessageError):
            codec.decode(data)
