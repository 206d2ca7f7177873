from __future__ import annotations

from pathlib import Path

import pytest

from gentianhitch import checked
from gentianhitch.addresses import Address
from gentianhitch.load.plan import Plan
from gentianhitch.load.plan import Stream
from gentianhitch.load.plan import arrivals
from gentianhitch.load.plan import load_plan

PLAN = Plan(
    entries=(Address("127.0.0.1", 1),),
    duration_s=10,
    streams=(
        Stream("north", "stock", "GET", "/stock", rate=50),
        Stream("south", "orders", "POST", "/orders", rate=5),
    ),
)


class TestArrivals:
    def test_are_ordered_and_the_same_for_a_seed(self) -> None:
        first = list(arrivals(PLAN))
        assert first == list(arrivals(PLAN))
        assert [a.due_s for a in first] == sorted(a.due_s for a in first)
        assert [a.number for a in first] == list(range(len(first)))

    def test_rate_of_each_stream_is_kept(self) -> None:
        counts = [0, 0]
        for arrival in arrivals(PLAN):
            counts[arrival.stream_index] += 1
        assert 400 <= counts[0] <= 600
        assert 30 <= counts[1] <= 70


class TestLoadPlan:
    @pytest.mark.parametrize(
        ("text", "place"),
        [
            ('{"entries": [], "duration_s": 1, "streams": []}', "$.entries"),
            (
                '{"entries": ["127.0.0.1:1"], "duration_s": 1, "streams": []}',
                "$.streams",
            ),
            (
                '{"entries": ["127.0.0.1:1"], "duration_s": 9999, "streams": ['
                '{"workspace": "a", "service": "s", "method": "GET", "path": "/",'
                ' "rate": 1}]}',
                "$.duration_s",
            ),
        ],
    )
    def test_fault_names_its_place(self, tmp_path: Path, text: str, place: str) -> None:
        path = tmp_path / "plan.json"
        path.write_text(text)
        with pytest.raises(checked.CheckError) as caught:
            load_plan(path)
        assert place in str(caught.value)
