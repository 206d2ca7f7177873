from __future__ import annotations

import pytest

from gentianhitch.proxy.clock_offsets import ClockOffsets


class TestToLocalTime:
    def test_a_delayed_message_gets_its_send_time(self) -> None:
        offsets = ClockOffsets()
        assert offsets.to_local_time("e-1", 1, 10.0, 1_000.0) == pytest.approx(1_000.0)
        assert offsets.to_local_time("e-1", 1, 11.0, 1_004.0) == pytest.approx(1_001.0)

    def test_a_new_incarnation_has_another_clock(self) -> None:
        offsets = ClockOffsets()
        offsets.to_local_time("e-1", 1, 10.0, 1_000.0)
        assert offsets.to_local_time("e-1", 2, 0.5, 1_005.0) == pytest.approx(1_005.0)
