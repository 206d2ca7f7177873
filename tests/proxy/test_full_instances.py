"""Pattern: any instance may be asked for the directory, and few get reports."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gentianhitch.instances.datagrams import FreshnessQuery
from gentianhitch.instances.datagrams import FreshnessReply
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import decode
from gentianhitch.proxy.full_instances import FULL_LIFETIME_S
from gentianhitch.proxy.full_instances import MAX_TOLD
from gentianhitch.proxy.full_instances import FullInstances
from gentianhitch.proxy.full_instances import FullNames
from gentianhitch.proxy.full_instances import Hop
from gentianhitch.proxy.own_limits import FAULTY_PERCENT
from gentianhitch.proxy.own_limits import FULL_PERCENT
from gentianhitch.proxy.steering import ServingOrder
from tests.builders_proxy import make_peer
from tests.builders_steering import by_name
from tests.builders_uploads import UploadDeployment

NAMES = ("e-1", "e-2", "e-3")
SLOW_LINK = 5e6 / 8


def busy(*names: str) -> FullNames:
    return FullNames(busy=frozenset(names))


def to_fields(message: object) -> list[Any]:
    """Return the fields of a message as they travel."""
    return msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=list)


class TestKnowledge:
    def test_a_report_expires(self) -> None:
        # Guards against an instance that is left out for good when its reports stop.
        known = FullInstances()
        known.record_report("e-1", FULL_PERCENT, 10.0)
        assert known.names(NAMES, 10.0 + FULL_LIFETIME_S) == busy("e-1")
        assert known.names(NAMES, 10.1 + FULL_LIFETIME_S) == FullNames()

    def test_a_newer_report_replaces_an_older_one(self) -> None:
        known = FullInstances()
        known.record_report("e-1", FULL_PERCENT, 10.0)
        known.record_report("e-1", 20, 10.2)
        known.record_report("e-1", FULL_PERCENT, 10.1)
        assert known.names(NAMES, 10.3) == FullNames()

    def test_what_others_tell_does_not_outlive_what_they_know(self) -> None:
        known = FullInstances()
        known.record_report("e-1", FULL_PERCENT, 10.0)
        other = FullInstances()
        other.record_told(known.to_tell(Hop.REPORT, 11.5), Hop.QUERY, 11.5)
        assert other.names(NAMES, 11.5) == busy("e-1")
        assert other.names(NAMES, 10.1 + FULL_LIFETIME_S) == FullNames()

    def test_a_statement_does_not_circulate(self) -> None:
        # Guards against two instances that keep telling each other what neither hears.
        first, second = FullInstances(), FullInstances()
        first.record_report("e-1", FULL_PERCENT, 10.0)
        now = 10.0
        while now < 20.0:
            second.record_told(first.to_tell(Hop.REPORT, now), Hop.QUERY, now + 0.6)
            first.record_told(second.to_tell(Hop.QUERY, now + 0.6), Hop.REPLY, now + 1)
            now += 0.25
        assert first.names(NAMES, now) == second.names(NAMES, now) == FullNames()

    def test_faulty_and_busy_ones_are_told_apart(self) -> None:
        known = FullInstances()
        known.record_report("e-1", FAULTY_PERCENT, 10.0)
        known.record_report("e-2", FAULTY_PERCENT - 1, 10.0)
        other = FullInstances()
        other.record_told(known.to_tell(Hop.QUERY, 10.1), Hop.REPLY, 10.1)
        for each in (known, other):
            found = each.names(NAMES, 10.2)
            assert found == FullNames(frozenset({"e-2"}), frozenset({"e-1"}))

    def test_what_is_told_is_bounded(self) -> None:
        known = FullInstances()
        for number in range(3 * MAX_TOLD):
            known.record_report(f"e-{number}", FULL_PERCENT, 10.0 + number / 1000)
        assert len(known.to_tell(Hop.QUERY, 10.5)) == MAX_TOLD


class TestMessages:
    # Guards against reports that one version can't read during a rolling restart.
    def test_messages_of_an_older_version_say_nothing(self) -> None:
        report = LoadReport("e-1", 1, 1.0, True, {}, [], [])
        fields = to_fields(report)[:-1]
        decoded = decode(msgspec.msgpack.encode(fields))
        assert isinstance(decoded, LoadReport)
        assert decoded.fullness == 0
        full = FreshnessQuery.__struct_fields__.index("full")
        query = to_fields(FreshnessQuery("e-1", 1.0, 1))[:full]
        decoded_query = decode(msgspec.msgpack.encode(query))
        assert isinstance(decoded_query, FreshnessQuery)
        assert decoded_query.full == {}

    def test_a_newer_version_may_append_fields(self) -> None:
        report = LoadReport("e-1", 1, 1.0, True, {}, [], [], fullness=110)
        fields = [*to_fields(report), "of the next version"]
        decoded = decode(msgspec.msgpack.encode(fields))
        assert isinstance(decoded, LoadReport)
        assert decoded.fullness == 110

    @pytest.mark.parametrize(
        ("message", "name"),
        [
            (FreshnessQuery("e-1", 1.0, 1), "full"),
            (FreshnessReply("e-1", 1.0, 0.1, 1, b"", 0.1, 1), "full"),
            (LoadReport("e-1", 1, 1.0, True, {}, [], []), "fullness"),
        ],
    )
    def test_one_byte_is_added_while_none_is_full(
        self, message: msgspec.Struct, name: str
    ) -> None:
        fields = to_fields(message)
        data = msgspec.msgpack.encode(fields)
        # The first field is the tag.
        del fields[1 + message.__struct_fields__.index(name)]
        assert len(data) == len(msgspec.msgpack.encode(fields)) + 1


class TestNamed:
    def test_a_faulty_instance_is_left_out(self) -> None:
        peers = [make_peer(f"a-{number}") for number in range(5)]
        order = ServingOrder()
        before = order.named(by_name(peers), FullNames(), 10.0)["a"]
        faulty = FullNames(faulty=frozenset({before[0].name}))
        after = order.named(by_name(peers), faulty, 10.0)["a"]
        assert before[0] not in after
        assert before[1] in after
        assert len(after) == len(before)
        assert order.named(by_name(peers), FullNames(), 12.0)["a"] == before
        # They share quotas and reports as before: callers still reach the faulty one.
        assert order.serving(by_name(peers), 10.0)["a"] == before

    @pytest.mark.parametrize("count", [1, 2, 3])
    def test_faulty_instances_are_named_if_no_other_is_left(self, count: int) -> None:
        peers = [make_peer(f"a-{number}") for number in range(count)]
        faulty = FullNames(faulty=frozenset(by_name(peers)))
        named = ServingOrder().named(by_name(peers), faulty, 10.0)["a"]
        assert len(named) == min(count, 2)


class TestDirectories:
    def test_every_instance_leaves_a_full_one_out_and_names_it_again(self) -> None:
        # Guards against directories of instances that get no reports: any may be asked.
        deployment = UploadDeployment([SLOW_LINK] * 15, servers=30)
        instances = deployment.instances
        addresses_of = {
            number: str(instance._settings.callers)
            for number, instance in enumerate(instances)
        }

        def named_by(number: int) -> set[str]:
            answer = instances[number]._resolve("a")
            assert answer is not None
            return set(answer.addresses)

        before = named_by(0)
        assert len(before) == 2
        full = next(n for n in range(0, 15, 3) if addresses_of[n] in before)
        deployment.send_wave(30.0, 3.0, instance=full)
        deployment.advance(0.5)
        assert deployment.count_events(full)["instance_full"] == 1
        for number in range(15):
            assert addresses_of[full] not in named_by(number)
            assert len(named_by(number)) >= 2
        deployment.advance(45.0)
        for number in range(15):
            assert named_by(number) == before
