"""Pattern: another writer leaves an odd entry among those of the backend servers.

It names no server; readers, and the instances that copy from them, follow the listing.
"""

from __future__ import annotations

import json

import pytest

from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_server_entry

LINK_BYTES_PER_S = 125e6
INSTANCES = 7
HUGE = int("9" * 400)
ENTRY = make_server_entry(99)


def encode(**changes: object) -> bytes:
    return json.dumps({**ENTRY, **changes}).encode()


def nest(depth: int) -> bytes:
    """Return an entry with one more field, a list in a list and so on."""
    return encode(more=0).replace(
        b'"more": 0', b'"more": ' + b"[" * depth + b"]" * depth
    )


ODD_ENTRIES = {
    "nested deeply": nest(100_000),
    "nested": nest(2_000),
    "nested without an end": b"[" * 200_000,
    "nested objects": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "slots of 400 digits": encode(slots=HUGE),
    "slots above 64 bits": encode(slots=2**64),
    "slots of a fraction": encode(slots=1.5),
    "slots with an exponent": encode().replace(b'"slots": 6', b'"slots": 1e400'),
    "born of 400 digits": encode(born=HUGE),
    "born above 64 bits": encode(born=2**64),
    "born far below zero": encode(born=-(2**64)),
    "warm-up of 400 digits": encode(warmupRemainingMs=HUGE),
    "warm-up not a number": encode().replace(
        b'"warmupRemainingMs": 0', b'"warmupRemainingMs": NaN'
    ),
    "sequence of 400 digits": encode(sequenceNumber=HUGE),
    "port of six digits": encode(address="10.9.0.1:123456"),
    "port of 5,000 digits": encode(address="10.9.0.1:" + "9" * 5_000),
    "port zero": encode(address="10.9.0.1:0"),
    "port below zero": encode(address="10.9.0.1:-1"),
    "zone of a megabyte": encode(zone="z" * 1_000_000),
    "service of a megabyte": encode(service="s" * 1_000_000),
    "service of half a pair": encode(service="\ud800"),
    "no object": b"7",
    "cut": encode()[:-5],
    "not text": b"\xff\xfe\x00",
}


# Guards against instances that end, or no longer follow the listing, because of one
# entry of another writer.
@pytest.mark.parametrize("kind", ODD_ENTRIES)
class TestOddEntries:
    def test_the_listing_is_followed(self, kind: str) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * INSTANCES, servers=6)
        deployment.advance(4.0)
        deployment.store.write_raw("servers/i-odd", ODD_ENTRIES[kind])
        deployment.advance(2.0)
        deployment.remove_server(1)
        deployment.drain_server(2)
        deployment.advance(2.0)
        assert [each._events.failures for each in deployment.instances] == (
            [[]] * INSTANCES
        )
        assert deployment.users_of(1) == []
        assert deployment.users_of(2) == []
        assert len(deployment.users_of(3)) == INSTANCES
        now = deployment.network.clock.seconds()
        ages_s = [each.store_view.listing_age_s(now) for each in deployment.instances]
        assert max(ages_s) < 1.2
        for each in deployment.instances:
            assert "i-odd" not in each.store_view.servers_by_id
