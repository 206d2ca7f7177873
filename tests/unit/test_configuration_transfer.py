from __future__ import annotations

import json

import pytest

from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.instances.configuration_transfer import ConfigurationTransfer
from gentianhitch.instances.configuration_transfer import TransferBusy
from gentianhitch.instances.configuration_transfer import compress
from gentianhitch.instances.configuration_transfer import decode_busy
from gentianhitch.instances.configuration_transfer import decode_transfer
from gentianhitch.instances.configuration_transfer import decompress
from gentianhitch.instances.configuration_transfer import encode
from tests.builders_deployment import make_document

ROUTES = 1_400


def make_source(version: int, timeout_ms: int = 3000) -> bytes:
    document = make_document(version, ROUTES)
    rule = document["listeners"][0]["rules"][ROUTES // 2]
    rule["action"]["timeoutMs"] = timeout_ms
    return json.dumps(document).encode()


class TestCompression:
    @pytest.mark.parametrize("base", [b"", b"{}", make_source(1)])
    def test_round_trip(self, base: bytes) -> None:
        source = make_source(2, 1234)
        assert decompress(compress(source, base), base) == source

    # Guards against compression that does not use the base: a small change would then
    # cost as much as the complete configuration.
    def test_transfer_of_a_small_change_is_small(self) -> None:
        source = make_source(2, 1234)
        assert len(compress(source, make_source(1))) < len(source) / 100

    def test_decompressing_with_another_base_is_an_error(self) -> None:
        compressed = compress(make_source(2), make_source(1))
        with pytest.raises(MalformedMessageError):
            decompress(compressed, b"")


class TestMessages:
    def test_round_trip(self) -> None:
        transfer = ConfigurationTransfer(0.5, 9, 7, b"\0\1")
        assert decode_transfer(encode(transfer)) == transfer
        assert decode_busy(encode(TransferBusy("e-1"))) == TransferBusy("e-1")

    def test_malformed_message_is_an_error(self) -> None:
        with pytest.raises(MalformedMessageError):
            decode_transfer(b"\x91")
        with pytest.raises(MalformedMessageError):
            decode_busy(b"")
