from __future__ import annotations

import pytest

from gentianhitch.operators import document_codec
from tests.builders_platform import make_document
from tests.builders_platform import make_large_document


class TestDocumentCodec:
    @pytest.mark.parametrize("document", [make_document(), make_large_document()])
    def test_round_trip(self, document: object) -> None:
        encoded = document_codec.encode_document(document)
        assert document_codec.decode_document(encoded) == document

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xff",
            b'environment "e"\nunknown {}',
            b'environment "e"\nworkspaces {"name": 1}',
            b'environment "e"\nenvironment "f"',
        ],
    )
    def test_malformed_data_is_refused(self, data: bytes) -> None:
        with pytest.raises(document_codec.MalformedDocumentError):
            document_codec.decode_document(data)
