"""Hand a whole view of the store to an instance that can't read it itself."""

from __future__ import annotations

import attrs
import msgspec

from gentianhitch import json_codec
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoreView


@attrs.frozen
class TransferredView:
    """A view as it travels; the configuration as the bytes it was decoded from."""

    age_s: float
    revision: int
    configuration_revision: int
    configuration_source: bytes
    backend_servers: list[BackendServer]
    peers: list[Peer]
    digest: int


_decoder = msgspec.msgpack.Decoder(TransferredView, dec_hook=json_codec.decode_hook)


def encode_view(view: StoreView, age_s: float) -> bytes:
    """Encode a view that was proved ``age_s`` seconds ago."""
    return msgspec.msgpack.encode(
        TransferredView(
            age_s,
            view.revision,
            view.configuration_revision,
            view.configuration_source,
            list(view.backend_servers_by_id.values()),
            list(view.peers_by_name.values()),
            view.digest,
        ),
        enc_hook=json_codec.encode_hook,
    )


def decode_view(data: bytes) -> TransferredView:
    """Decode a view; raise MalformedMessageError."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedMessageError(f"malformed view: {error}") from error
