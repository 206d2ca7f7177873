from __future__ import annotations

import json

import pytest

from gentianhitch.platform.store import Item
from gentianhitch.platform.store_reader import MalformedEntryError
from gentianhitch.platform.store_reader import StoreReader
from gentianhitch.platform.store_reader import decode_backend_server
from gentianhitch.platform.store_reader import decode_peer
from gentianhitch.platform.store_reader import encode_peer
from gentianhitch.platform.store_reader import peer_key
from tests.builders_proxy import at
from tests.builders_proxy import make_peer

ENTRY = {
    "service": "stock",
    "address": "10.128.0.9:8080",
    "zone": "dk-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmupRemainingMs": 1500,
    "sequenceNumber": 4,
    "born": 1_700_000_000_000,
}


def make_item(value: object, key: str = "servers/i-1") -> Item:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Item(key, data, 12, 10)


class TestBackendServers:
    def test_decodes_an_entry(self) -> None:
        server = decode_backend_server(make_item(ENTRY))
        assert server.key == ("i-1", 1_700_000_000_000)
        assert (server.slots, server.draining, server.warmup_s) == (6, False, 1.5)

    @pytest.mark.parametrize(
        "broken",
        [
            b"",
            b"\xff\xfe",
            b"[]",
            {**ENTRY, "state": "sleeping"},
            {**ENTRY, "slots": "six"},
            {**ENTRY, "slots": 0},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "service": ""},
            {name: ENTRY[name] for name in ENTRY if name != "zone"},
        ],
    )
    def test_malformed_entry_raises_with_its_key(self, broken: object) -> None:
        with pytest.raises(MalformedEntryError, match="servers/i-1"):
            decode_backend_server(make_item(broken))

    def test_malformed_entry_does_not_affect_the_others(self) -> None:
        reader = StoreReader(None)  # type: ignore[arg-type]
        items = [make_item(ENTRY), make_item(b"?", "servers/i-2")]
        listing = reader.decode_listing(items, at(20))
        assert set(listing.backend_servers_by_id) == {"i-1"}
        assert set(reader.rejected_by_key) == {"servers/i-2"}


class TestEvacuations:
    def test_decodes_the_domains_beside_the_other_entries(self) -> None:
        reader = StoreReader(None)  # type: ignore[arg-type]
        items = [
            make_item({}, "op/config"),
            make_item({}, "op/evacuate/dk-a"),
            make_item(b"", "op/evacuate/dk/b"),
            make_item({}, "op/evacuate/"),
            make_item({}, "op/evacuated"),
            make_item(ENTRY),
        ]
        listing = reader.decode_listing(items, at(20))
        assert listing.evacuated_domains == {"dk-a", "dk/b"}
        assert set(listing.backend_servers_by_id) == {"i-1"}
        assert set(reader.rejected_by_key) == {"op/evacuate/"}


class TestPeers:
    def test_encoded_peer_decodes_to_the_same_peer(self) -> None:
        peer = make_peer("e-1")
        item = Item(peer_key(peer.name), encode_peer(peer), 3, 3)
        assert decode_peer(item) == peer
