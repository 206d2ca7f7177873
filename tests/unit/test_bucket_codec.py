from __future__ import annotations

import pytest

from gentianhitch.instances.bucket_codec import MAX_PACKED_BYTES
from gentianhitch.instances.bucket_codec import decode_bucket
from gentianhitch.instances.bucket_codec import encode_bucket
from gentianhitch.instances.bucket_codec import pack_buckets
from gentianhitch.instances.bucket_codec import unpack_buckets
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.registry import BUCKET_COUNT
from gentianhitch.proxy.registry import Bucket
from tests.builders_proxy import make_peer
from tests.builders_proxy import make_server


def make_bucket(servers: int) -> Bucket:
    return Bucket(
        tuple(make_server(f"s-{number}") for number in range(servers)),
        (make_peer("e-1"),),
    )


class TestBuckets:
    def test_round_trip(self) -> None:
        bucket = make_bucket(3)
        decoded = decode_bucket(encode_bucket(bucket))
        assert decoded == bucket
        assert decoded.digest == bucket.digest

    @pytest.mark.parametrize("data", [b"", b"\x93", b"\x92\x90\x91\x01"])
    def test_malformed_bucket_is_an_error(self, data: bytes) -> None:
        with pytest.raises(MalformedMessageError):
            decode_bucket(data)

    def test_bucket_number_out_of_range_is_an_error(self) -> None:
        with pytest.raises(MalformedMessageError, match="no bucket 64"):
            unpack_buckets([(BUCKET_COUNT, encode_bucket(make_bucket(1)))])


class TestPacking:
    def test_buckets_above_the_size_limit_are_left_out(self) -> None:
        buckets = [(number, make_bucket(4)) for number in range(20)]
        packed, remaining = pack_buckets(buckets)
        assert 0 < len(packed) < len(buckets)
        assert remaining == len(buckets) - len(packed)
        assert sum(len(data) for _, data in packed) <= MAX_PACKED_BYTES

    # Guards against an exchange that makes no progress if one bucket exceeds the limit.
    def test_first_bucket_is_sent_even_if_too_large(self) -> None:
        packed, remaining = pack_buckets([(3, make_bucket(60)), (4, make_bucket(1))])
        assert unpack_buckets(packed) == [(3, make_bucket(60))]
        assert remaining == 1
