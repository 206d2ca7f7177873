from __future__ import annotations

import attrs
import pytest
from twisted.internet.defer import Deferred

from gentianhitch.operators import head as heads
from gentianhitch.operators.head import Head
from tests.builders_platform import ENVIRONMENT
from tests.builders_platform import make_platform
from tests.builders_platform import make_store
from tests.builders_platform import run


def set_members_digest(digest: str) -> heads.Edit:
    return lambda head: attrs.evolve(head, members_digest=digest)


class TestChangeHead:
    def test_increments_sequence_and_bounds_recent_write_ids(self) -> None:
        platform = make_platform()
        for number in range(heads.MAX_RECENT_WRITE_IDS + 2):
            change = heads.change_head(
                platform, ENVIRONMENT, f"w{number}", set_members_digest(str(number))
            )
            assert run(change).head.sequence == number + 1
        stored = run(heads.read_head(platform, ENVIRONMENT))
        assert len(stored.head.recent_write_ids) == heads.MAX_RECENT_WRITE_IDS
        assert stored.head.write_id == f"w{heads.MAX_RECENT_WRITE_IDS + 1}"

    def test_write_with_lost_reply_is_recognised_by_its_id(self) -> None:
        platform = make_platform()
        platform.shared.lost_replies = 1

        # change_head reads before it writes, so this loses the reply of the read.
        with pytest.raises(heads.HeadUnavailableError):
            run(heads.change_head(platform, ENVIRONMENT, "w", set_members_digest("a")))

        def edit(head: Head) -> Head:
            platform.shared.lost_replies = 1
            return attrs.evolve(head, members_digest="a")

        changed = run(heads.change_head(platform, ENVIRONMENT, "w", edit))
        assert changed.head == Head(1, ("w",), None, "a")

    def test_retry_after_unknown_outcome_changes_once(self) -> None:
        platform = make_platform()

        def edit(head: Head) -> Head:
            platform.replies_lost = True
            return attrs.evolve(head, members_digest="a")

        with pytest.raises(heads.ChangeUnknownError):
            run(heads.change_head(platform, ENVIRONMENT, "w", edit))
        platform.replies_lost = False
        changed = run(heads.change_head(platform, ENVIRONMENT, "w", edit))
        assert changed.head.sequence == 1

    def test_outage_after_lost_reply_is_unknown_not_unavailable(self) -> None:
        platform = make_platform()
        change = heads._Change(
            platform, ENVIRONMENT, "w", set_members_digest("a"), unconfirmed_sequence=1
        )
        platform.shared.outage = True
        with pytest.raises(heads.ChangeUnknownError):
            run(change.run())

    def test_edit_is_reapplied_after_a_conflicting_write(self) -> None:
        store = make_store()
        platform, rival = make_platform(store), make_platform(store)
        sequences: list[int] = []

        def edit(head: Head) -> Head:
            if not sequences:
                run(
                    heads.change_head(
                        rival, ENVIRONMENT, "rival", set_members_digest("r")
                    )
                )
            sequences.append(head.sequence)
            return attrs.evolve(head, members_digest="mine")

        changed = run(heads.change_head(platform, ENVIRONMENT, "w", edit))
        assert sequences == [0, 1]
        assert changed.head.recent_write_ids == ("w", "rival")

    def test_outcome_is_unknown_after_id_left_recent_ids(self) -> None:
        platform = make_platform()
        for number in range(heads.MAX_RECENT_WRITE_IDS + 1):
            change = heads.change_head(
                platform, ENVIRONMENT, f"w{number}", set_members_digest(str(number))
            )
            run(change)
        unconfirmed = heads._Change(
            platform, ENVIRONMENT, "w0", set_members_digest("0"), unconfirmed_sequence=1
        )
        with pytest.raises(heads.ChangeUnknownError):
            run(unconfirmed.run())

    def test_slow_platform_does_not_cause_a_second_write(self) -> None:
        platform = make_platform()
        platform.shared.delay_s = 1.0
        change = heads.change_head(platform, ENVIRONMENT, "w", set_members_digest("a"))
        done: list[heads.StoredHead] = []
        Deferred.fromCoroutine(change).addCallback(done.append)
        platform.shared.clock.pump([1.0, 1.0])
        assert done[0].head.sequence == 1


class TestDecodeHead:
    def test_round_trip(self) -> None:
        document = heads.DocumentReference(3, "d", "ana", "w")
        head = Head(4, ("w", "v"), document, "m")
        assert heads.decode_head(heads.encode_head(head)) == head

    @pytest.mark.parametrize("value", [b"", b"{", b'{"sequence": "x"}', b"\xff"])
    def test_malformed_value_is_refused(self, value: bytes) -> None:
        with pytest.raises(heads.MalformedHeadError):
            heads.decode_head(value)
