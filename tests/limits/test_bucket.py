from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gentianhitch.decisions.limits.bucket import TokenBucket


class TestTokenBucket:
    def test_starts_empty_and_fills_up_to_its_cap(self) -> None:
        bucket = TokenBucket(2.0, 5.0, updated_at=10.0)
        assert bucket.tokens == 0.0
        bucket.refill(11.0)
        assert bucket.tokens == 2.0
        bucket.refill(100.0)
        assert bucket.tokens == 5.0

    def test_earns_the_smaller_rate_until_a_change(self) -> None:
        raised = TokenBucket(1.0, 100.0, updated_at=0.0)
        raised.resize(50.0, 100.0, now=10.0)
        assert raised.tokens == 10.0
        lowered = TokenBucket(50.0, 100.0, updated_at=0.0)
        lowered.resize(1.0, 100.0, now=10.0)
        assert lowered.tokens == 10.0

    def test_ignores_time_that_goes_backwards(self) -> None:
        bucket = TokenBucket(1.0, 10.0, updated_at=5.0)
        bucket.refill(3.0)
        bucket.refill(6.0)
        assert bucket.tokens == 1.0

    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("resize"), st.floats(0, 9), st.floats(0, 9)),
                st.tuples(st.just("remove"), st.floats(-1, 20), st.just(0.0)),
                st.tuples(st.just("add"), st.floats(-1, 20), st.just(0.0)),
            )
        )
    )
    def test_never_falls_below_zero_or_rises_above_its_cap(
        self, steps: list[tuple[str, float, float]]
    ) -> None:
        bucket, now = TokenBucket(1.0, 5.0, updated_at=0.0), 0.0
        for name, first, second in steps:
            now += 0.5
            if name == "resize":
                bucket.resize(first, second, now)
            else:
                getattr(bucket, name)(first)
            assert 0.0 <= bucket.tokens <= bucket.capacity
