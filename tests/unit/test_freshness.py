from __future__ import annotations

from collections.abc import Callable

import pytest

from gentianhitch.decisions.evidence import AGE_UNIT_S
from gentianhitch.decisions.evidence import NO_AGE
from gentianhitch.decisions.evidence import encode_age
from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import DRIFT_MARGIN_S
from gentianhitch.decisions.freshness import WINDOW_S
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.member_list import decode_list
from gentianhitch.decisions.member_list import encode_list
from gentianhitch.instances.identity import Member
from tests.builders_fleet import Peers
from tests.builders_fleet import make_member
from tests.naive_freshness import AlwaysFresh
from tests.naive_freshness import CountsRestartedAtOnce
from tests.naive_freshness import DatesFromReceipt
from tests.naive_freshness import FreshBySinglePeer
from tests.naive_freshness import RequiresOnlyNewList
from tests.naive_freshness import ReusesNonces

IN_FORCE_AFTER_S = WINDOW_S + DRIFT_MARGIN_S

MakeFreshness = Callable[[Member], Freshness]
MakeExchange = Callable[[Freshness], EvidenceExchange]


class TestFreshOnlyOnWhatIsNotSuperseded:
    """Guards against an instance that acts on a superseded state.

    In each test, sequence 2 is in force at some instance while ``a`` knows only 1. A
    naive variant of the rule fails in the same situation.
    """

    @pytest.mark.parametrize(
        ("exchange", "fresh"), [(EvidenceExchange, False), (DatesFromReceipt, True)]
    )
    def test_delayed_replies(self, exchange: MakeExchange, fresh: bool) -> None:
        # Replies sent before b and c knew 2 reach a after 2 is in force.
        peers = Peers("abc", exchange=exchange)
        delayed = [peers.ask("a", "b", now=0.0), peers.ask("a", "c", now=0.0)]
        peers.learn("bc", 2, now=0.1)
        peers.exchange_all("bc", now=0.2)
        assert peers.in_force("b", now=0.2 + IN_FORCE_AFTER_S) == 2
        for reply in delayed:
            peers.bring(reply, now=3.0)
        assert peers.is_fresh("a", now=3.0) is fresh

    @pytest.mark.parametrize(
        ("freshness", "fresh"), [(Freshness, False), (CountsRestartedAtOnce, True)]
    )
    def test_restarted_member(self, freshness: MakeFreshness, fresh: bool) -> None:
        # b has lost sequence 2 by a restart and confirms to a that it knows only 1.
        peers = Peers("abc", freshness=freshness)
        peers.learn("bc", 2, now=0.1)
        peers.exchange_all("bc", now=0.2)
        peers.restart("b", now=0.5)
        peers.learn("b", 1, now=0.6)
        for now in (0.7, 1.5, 2.3, 3.0):
            peers.exchange_all("ab", now=now)
        assert peers.in_force("c", now=3.0) == 2
        assert peers.is_fresh("a", now=3.0) is fresh

    @pytest.mark.parametrize(
        ("freshness", "fresh"),
        [(Freshness, False), (FreshBySinglePeer, True), (AlwaysFresh, True)],
    )
    def test_minority_side(self, freshness: MakeFreshness, fresh: bool) -> None:
        # a and b are cut off from the majority that puts 2 in force.
        peers = Peers("abcde", freshness=freshness)
        peers.learn("cde", 2, now=0.1)
        for now in (0.2, 1.0, 2.0, 3.0):
            peers.exchange_all("ab", now=now)
            peers.exchange_all("cde", now=now)
        assert peers.in_force("c", now=3.0) == 2
        assert peers.is_fresh("c", now=3.0)
        assert peers.is_fresh("a", now=3.0) is fresh

    @pytest.mark.parametrize(
        ("freshness", "unsafe"), [(Freshness, False), (RequiresOnlyNewList, True)]
    )
    def test_list_change_by_a_minority(
        self, freshness: MakeFreshness, unsafe: bool
    ) -> None:
        # A minority that agrees on a list of its own must not put it in force.
        peers = Peers("abcde", freshness=freshness)
        peers.learn("ab", 2, now=0.1, names="ab")
        for now in (0.2, 1.0, 2.0, 3.0):
            peers.exchange_all("ab", now=now)
            peers.exchange_all("cde", now=now)
        assert peers.is_fresh("c", now=3.0)
        assert (peers.in_force("a", now=3.0) == 2) is unsafe

    @pytest.mark.parametrize(
        ("exchange", "is_accepted"), [(EvidenceExchange, False), (ReusesNonces, True)]
    )
    def test_reply_to_an_earlier_incarnation(
        self, exchange: MakeExchange, is_accepted: bool
    ) -> None:
        # A restarted instance receives the reply to a request before its restart.
        peers = Peers("abc", exchange=exchange)
        delayed = peers.ask("a", "b", now=0.0, first=True)
        peers.restart("a", now=5.0)
        peers.learn("a", 1, now=5.1)
        peers.ask("a", "b", now=5.2)
        peers.bring(delayed, now=5.3)
        record = peers.freshness_by_letter["a"].records_by_name["b"]
        assert (record.confirmed_at > 5.0) is is_accepted


class TestFreshness:
    def test_majority_suffices_without_platform(self) -> None:
        # Guards against an outage of the platform that stops a healthy fleet.
        peers = Peers("abcde")
        for now in (1.0, 2.0, 3.0):
            peers.exchange_all("abc", now=now)
        assert peers.is_fresh("a", now=3.0)
        assert not peers.is_fresh("a", now=3.0 + WINDOW_S)
        assert not peers.is_fresh("d", now=3.0)

    def test_platform_read_is_dated_from_its_start(self) -> None:
        # Guards against a slow read that returns an already superseded sequence.
        peers = Peers("abc")
        freshness = peers.freshness_by_letter["a"]
        freshness.record_platform_read(1, started_at=5.0, now=6.0)
        assert freshness.is_fresh(6.9)
        assert not freshness.is_fresh(7.0)

    def test_stale_read_changes_nothing(self) -> None:
        peers = Peers("abc")
        peers.learn("a", 2, now=0.1)
        freshness = peers.freshness_by_letter["a"]
        freshness.record_platform_read(1, started_at=4.9, now=5.0)
        assert freshness.sequence == 2
        assert not freshness.is_fresh(5.0)
        assert not freshness.add_list(1, peers.make_list("abc"), None, 5.1)

    def test_freshness_expires_during_pause(self) -> None:
        # Guards against a paused process that acts on old evidence when it resumes.
        peers = Peers("abc")
        peers.exchange_all("abc", now=1.0)
        assert peers.is_fresh("a", now=1.5)
        assert not peers.is_fresh("a", now=181.0)

    def test_superseded_incarnation_is_not_fresh(self) -> None:
        peers = Peers("abc")
        old = peers.freshness_by_letter["a"]
        peers.restart("a", now=1.0)
        peers.learn("a", 1, now=1.0)
        peers.exchange_all("abc", now=1.1)
        old.record_member(peers.freshness_by_letter["a"].own, 1.2)
        old.record_platform_read(1, started_at=1.2, now=1.2)
        assert old.superseded
        assert not old.is_fresh(1.2)

    def test_rolling_restart_during_platform_outage(self) -> None:
        # Guards against restarted instances that need the platform to be counted.
        peers = Peers("abcde")
        now = 1.0
        for letter in "abcde":
            peers.restart(letter, now=now)
            peers.learn(letter, 1, now=now)
            for _ in range(4):
                now += 0.4
                peers.exchange_all("abcde", now=now)
            assert {x for x in "abcde" if peers.is_fresh(x, now)} == set("abcde")

    def test_not_fresh_without_state_in_force(self) -> None:
        # Guards against acting without the rights of a state that others still act on.
        peers = Peers("abc")
        freshness = peers.freshness_by_letter["a"]
        freshness.record_platform_read(1, started_at=1.0, now=1.0)
        assert freshness.is_fresh(1.1)
        freshness.record_in_force(2)
        assert not freshness.is_fresh(1.1)


class TestEvidence:
    def test_ages_round_up(self) -> None:
        for age_ms in (0, 1, 9, 10, 11, 999, 2539):
            byte = encode_age(0.0, age_ms / 1000)
            assert byte * AGE_UNIT_S >= age_ms / 1000 - 1e-9
        assert encode_age(0.0, 2.54) == NO_AGE

    def test_member_list_round_trip(self) -> None:
        member_list = MemberList(tuple(make_member(n) for n in range(3)), "previous")
        assert decode_list(encode_list(member_list)) == member_list
