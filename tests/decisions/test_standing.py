from __future__ import annotations

from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.messages import Standing
from tests.builders_fleet import make_member


class TestStanding:
    def test_standing_of_earlier_incarnation_is_ignored(self) -> None:
        # Guards against a replacement that stays out of the directory for good: a peer
        # that does not know it yet relays the standing "leaving" of its predecessor.
        freshness = Freshness(make_member(0))
        record = freshness.record_member(make_member(1, incarnation=2), now=1.0)
        freshness.update_standing(record, Standing(1, version=5, leaving=True))
        assert not record.standing.leaving
        freshness.update_standing(record, Standing(2, version=1, leaving=True))
        assert record.standing.leaving
