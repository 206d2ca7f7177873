"""A key never runs twice, whatever becomes of the members."""

from __future__ import annotations

import math

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from gentianhitch.addresses import Address
from gentianhitch.decisions import idempotency
from gentianhitch.decisions.idempotency import MAX_ANSWER_BYTES
from gentianhitch.decisions.idempotency import REPEAT_WINDOW_S
from gentianhitch.decisions.idempotency import KeyMemory
from gentianhitch.decisions.idempotency import KeyVerdict
from gentianhitch.decisions.idempotency import PinPlace
from gentianhitch.decisions.idempotency import RunState
from gentianhitch.decisions.idempotency import StoredAnswer
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.pins import MemberPins
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from tests.builders_path import FakeAgreement
from tests.builders_path import build_document

DOCUMENT = build_document()
KEYS = [b"key-%d" % number for number in range(12)]


def build_member(name, incarnation=1, leaving=False):
    address = Address("127.0.0.1", 3000 + ord(name) * 10 + incarnation)
    return Member(InstanceId(name, incarnation), "a", address, address, leaving)


def build_state(sequence, *members, document=DOCUMENT):
    return AgreedState(sequence, {each.id.name: each for each in members}, document)


class TestKeyMemory:
    def test_repeat_is_recognised_until_the_window_ends(self):
        memory = KeyMemory()
        assert memory.begin(b"k", b"f", 0).verdict is KeyVerdict.RUN
        assert memory.begin(b"k", b"f", 1).verdict is KeyVerdict.REPEAT
        memory.end(b"k", None, None, 10)
        decision = memory.begin(b"k", b"f", 10 + REPEAT_WINDOW_S)
        assert decision.record.state is RunState.UNKNOWN
        late = 10.1 + REPEAT_WINDOW_S
        assert memory.begin(b"k", b"f", late).verdict is KeyVerdict.RUN

    def test_running_key_is_never_forgotten(self):
        memory = KeyMemory()
        memory.begin(b"k", b"f", 0)
        memory.begin(b"other", b"f", 0)
        memory.end(b"other", 200, None, 0)
        assert memory.begin(b"k", b"f", 1e6).verdict is KeyVerdict.REPEAT
        assert len(memory) == 1

    def test_key_of_a_request_that_did_not_run_may_run(self):
        memory = KeyMemory()
        memory.begin(b"k", b"f", 0)
        memory.forget(b"k")
        assert memory.begin(b"k", b"f", 0).verdict is KeyVerdict.RUN

    def test_other_request_under_the_same_key(self):
        memory = KeyMemory()
        memory.begin(b"k", b"f", 0)
        assert memory.begin(b"k", b"g", 0).verdict is KeyVerdict.OTHER_REQUEST

    def test_full_memory_refuses_instead_of_forgetting(self, monkeypatch):
        monkeypatch.setattr(idempotency, "MAX_KEYS", 2)
        memory = KeyMemory()
        for key in (b"a", b"b"):
            memory.begin(key, b"f", 0)
            memory.end(key, 200, None, 0)
        assert memory.begin(b"c", b"f", 1).verdict is KeyVerdict.FULL
        assert memory.begin(b"a", b"f", 1).verdict is KeyVerdict.REPEAT

    def test_answers_are_bounded_but_keys_stay(self, monkeypatch):
        monkeypatch.setattr(idempotency, "MAX_ANSWERS_BYTES", 2 * MAX_ANSWER_BYTES)
        memory = KeyMemory()
        for key in (b"a", b"b", b"c"):
            memory.begin(key, b"f", 0)
            answer = StoredAnswer(200, b"OK", (), b"x" * MAX_ANSWER_BYTES)
            memory.end(key, 200, answer, 0)
        assert memory.find(b"a", 1).answer is None
        assert memory.find(b"a", 1).status == 200
        assert memory.find(b"c", 1).answer is not None


class TestMemberPins:
    def build(self, *states, name="a"):
        agreement = FakeAgreement(states)
        return agreement, MemberPins(InstanceId(name, 1), agreement)

    def test_all_members_name_the_same_pin(self):
        members = [build_member(name) for name in "abc"]
        state = build_state(1, *members, document=None)
        for key in KEYS:
            places = set()
            for member in members:
                _, pins = self.build(state, name=member.id.name)
                pin = pins.locate("nord", key, 0)
                places.add(pin.address or member.callers)
            assert len(places) == 1

    def test_newcomer_asks_one_that_knows(self):
        a, b = build_member("a"), build_member("b")
        _, pins = self.build(build_state(7, a, b))
        mine = [pins.locate("nord", key, 0) for key in KEYS]
        mine = [pin for pin in mine if pin.place is not PinPlace.ELSEWHERE]
        assert mine
        assert all(pin.place is PinPlace.ASK and pin.any_for_all for pin in mine)
        later = [pins.locate("nord", key, REPEAT_WINDOW_S + 1) for key in KEYS]
        assert any(pin.place is PinPlace.HERE for pin in later)

    def test_key_of_a_dead_member_has_moved_until_the_window_ends(self):
        a, b = build_member("a"), build_member("b")
        agreement, pins = self.build(build_state(1, a, b, document=None))
        pins.observe(0)
        agreement.states = (build_state(2, a, b),)
        before = {key: pins.locate("nord", key, 1).place for key in KEYS}
        agreement.states = (build_state(3, a),)
        after = {key: pins.locate("nord", key, 2).place for key in KEYS}
        assert {PinPlace.HERE, PinPlace.ELSEWHERE} == set(before.values())
        for key in KEYS:
            kept = before[key] is PinPlace.HERE
            assert after[key] is (PinPlace.HERE if kept else PinPlace.MOVED)
        for key in KEYS:
            pin = pins.locate("nord", key, 3 + REPEAT_WINDOW_S)
            assert pin.place is PinPlace.HERE

    def test_list_counts_as_active_until_it_is_seen_to_be_gone(self):
        a, b = build_member("a"), build_member("b")
        agreement, pins = self.build(build_state(1, a, b, document=None))
        pins.observe(0)
        agreement.states = (build_state(2, a, b),)
        pins.observe(1)
        agreement.states = (build_state(3, a),)
        seen_s = REPEAT_WINDOW_S - 1
        places = {pins.locate("nord", key, seen_s).place for key in KEYS}
        assert places == {PinPlace.HERE, PinPlace.MOVED}
        later = {pins.locate("nord", key, seen_s + 60).place for key in KEYS}
        assert later == {PinPlace.HERE, PinPlace.MOVED}

    def test_missed_sequence_is_a_gap(self):
        a = build_member("a")
        agreement, pins = self.build(build_state(1, a, document=None))
        pins.observe(0)
        agreement.states = (build_state(2, a),)
        assert pins.locate("nord", b"k", 1).place is PinPlace.HERE
        agreement.states = (build_state(4, a),)
        assert pins.locate("nord", b"k", 2).place is PinPlace.MOVED

    def test_leaving_member_is_asked(self):
        a, b = build_member("a"), build_member("b")
        agreement, pins = self.build(build_state(1, a, b, document=None))
        pins.observe(0)
        agreement.states = (build_state(2, a, b),)
        pins.observe(1)
        agreement.states = (build_state(3, a, attrs.evolve(b, leaving=True)),)
        places = [pins.locate("nord", key, 2) for key in KEYS]
        asked = [pin for pin in places if pin.place is PinPlace.ASK]
        assert asked
        assert all(pin.ask == (b.callers,) and not pin.any_for_all for pin in asked)


class KeysMachine(RuleBasedStateMachine):
    """Members come, leave, die, restart and lag behind; orders repeat at random.

    The model of agreement is the fleet's rule: a state is superseded only once
    every live member that may still act knows the newer one.
    """

    @initialize()
    def start(self):
        self.now = 0.0
        self.sequence = 1
        self.incarnation = 1
        self.members = {}
        self.newest = build_state(1, document=None)
        self.nodes_by_name = {}
        self.ran_at_by_key = {}
        self.join("a")
        self.join("b")
        self.change(document=DOCUMENT)

    def join(self, name):
        self.incarnation += 1
        member = build_member(name, self.incarnation)
        agreement = FakeAgreement((self.newest,))
        pins = MemberPins(member.id, agreement)
        pins.observe(self.now)
        self.nodes_by_name[name] = (member, agreement, pins, KeyMemory())
        self.members[name] = member
        self.change()

    def change(self, document=None):
        """Agree on the members as they are, known to all that are alive."""
        self.sequence += 1
        self.newest = build_state(
            self.sequence,
            *self.members.values(),
            document=document or self.newest.document,
        )
        for _, agreement, pins, _ in self.nodes_by_name.values():
            agreement.states = (*agreement.states[-1:], self.newest)
            pins.observe(self.now)

    def settle(self):
        for _, agreement, pins, _ in self.nodes_by_name.values():
            pins.observe(self.now)
            agreement.states = (self.newest,)
            pins.observe(self.now)

    @rule(seconds=st.sampled_from([0.5, 5.0, 60.0, 130.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.settle()

    @precondition(lambda self: len(self.nodes_by_name) < 4)
    @rule(name=st.sampled_from("abcd"))
    def member_joins(self, name):
        if name not in self.nodes_by_name and name not in self.members:
            self.join(name)
            self.settle()

    @precondition(lambda self: len(self.nodes_by_name) > 1)
    @rule(data=st.data(), restart=st.booleans())
    def member_dies(self, data, restart):
        name = data.draw(st.sampled_from(sorted(self.nodes_by_name)))
        del self.nodes_by_name[name], self.members[name]
        if restart:
            self.join(name)
        else:
            self.change()
        self.settle()

    @rule(data=st.data())
    def member_leaves_or_stays(self, data):
        name = data.draw(st.sampled_from(sorted(self.members)))
        member = self.members[name]
        self.members[name] = attrs.evolve(member, leaving=not member.leaving)
        self.change()
        self.settle()

    @rule(data=st.data(), number=st.integers(0, 11))
    def order(self, data, number):
        name = data.draw(st.sampled_from(sorted(self.nodes_by_name)))
        self.send(name, KEYS[number])

    def send(self, name, key):
        _, _, pins, memory = self.nodes_by_name[name]
        pin = pins.locate("nord", key, self.now)
        if pin.place is PinPlace.ELSEWHERE:
            owner = self.node_at(pin.address)
            if owner is not None:
                self.run(owner, key)
        else:
            self.run(name, key)

    def run(self, name, key):
        _, _, pins, memory = self.nodes_by_name[name]
        if memory.find(key, self.now) is not None:
            return
        pin = pins.locate("nord", key, self.now)
        if pin.place is PinPlace.ASK:
            answers = [self.vouches(each, key, pin.any_for_all) for each in pin.ask]
            agreed = any(answers) if pin.any_for_all else all(answers)
            # An asked instance that may have run it ends the request.
            if None in answers or not agreed:
                return
        elif pin.place is not PinPlace.HERE:
            return
        assert memory.begin(key, b"f", self.now).verdict is KeyVerdict.RUN
        ran_at = self.ran_at_by_key.get(key, -math.inf)
        assert self.now - ran_at > REPEAT_WINDOW_S, "a key ran twice"
        self.ran_at_by_key[key] = self.now
        memory.end(key, 200, None, self.now)

    def vouches(self, address, key, for_all):
        name = self.node_at(address)
        if name is None:
            return None
        _, _, pins, memory = self.nodes_by_name[name]
        if memory.find(key, self.now) is not None:
            return None
        return pins.vouches("nord", key, self.now, for_all=for_all)

    def node_at(self, address):
        for name, (member, _, _, _) in self.nodes_by_name.items():
            if member.callers == address:
                return name
        return None


TestKeysMachine = KeysMachine.TestCase
TestKeysMachine.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
