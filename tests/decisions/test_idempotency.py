"""Guards against a request that runs twice under one idempotency key.

Members join, leave, crash and restart, so that the owner of a key changes.
"""

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
from gentianhitch.decisions.idempotency import MAX_STORED_RESPONSE_BYTES
from gentianhitch.decisions.idempotency import REPEAT_WINDOW_S
from gentianhitch.decisions.idempotency import KeyRecords
from gentianhitch.decisions.idempotency import KeyVerdict
from gentianhitch.decisions.idempotency import OwnershipStatus
from gentianhitch.decisions.idempotency import RunState
from gentianhitch.decisions.idempotency import StoredResponse
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.pins import FleetKeyOwners
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
    return AgreedState(
        sequence, {member.id.name: member for member in members}, document
    )


class TestKeyRecords:
    def test_repeat_is_recognised_until_window_ends(self):
        records = KeyRecords()
        assert records.begin(b"k", b"f", 0).verdict is KeyVerdict.RUN
        assert records.begin(b"k", b"f", 1).verdict is KeyVerdict.REPEAT
        records.finish(b"k", None, None, 10)
        decision = records.begin(b"k", b"f", 10 + REPEAT_WINDOW_S)
        assert decision.record.state is RunState.UNKNOWN
        late = 10.1 + REPEAT_WINDOW_S
        assert records.begin(b"k", b"f", late).verdict is KeyVerdict.RUN

    def test_running_key_never_expires(self):
        # Guards against a second run while the first one still runs.
        records = KeyRecords()
        records.begin(b"k", b"f", 0)
        records.begin(b"other", b"f", 0)
        records.finish(b"other", 200, None, 0)
        assert records.begin(b"k", b"f", 1e6).verdict is KeyVerdict.REPEAT
        assert len(records) == 1

    def test_key_may_run_after_request_that_did_not_run(self):
        records = KeyRecords()
        records.begin(b"k", b"f", 0)
        records.discard(b"k")
        assert records.begin(b"k", b"f", 0).verdict is KeyVerdict.RUN

    def test_other_request_with_same_key_is_rejected(self):
        records = KeyRecords()
        records.begin(b"k", b"f", 0)
        assert records.begin(b"k", b"g", 0).verdict is KeyVerdict.OTHER_REQUEST

    def test_full_records_refuse_new_keys_and_drop_none(self, monkeypatch):
        # Guards against an evicted record, after which a repeat would run again.
        monkeypatch.setattr(idempotency, "MAX_KEYS", 2)
        records = KeyRecords()
        for key in (b"a", b"b"):
            records.begin(key, b"f", 0)
            records.finish(key, 200, None, 0)
        assert records.begin(b"c", b"f", 1).verdict is KeyVerdict.FULL
        assert records.begin(b"a", b"f", 1).verdict is KeyVerdict.REPEAT

    def test_stored_responses_are_bounded_but_keys_stay(self, monkeypatch):
        monkeypatch.setattr(
            idempotency, "MAX_STORED_TOTAL_BYTES", 2 * MAX_STORED_RESPONSE_BYTES
        )
        records = KeyRecords()
        for key in (b"a", b"b", b"c"):
            records.begin(key, b"f", 0)
            response = StoredResponse(200, b"OK", (), b"x" * MAX_STORED_RESPONSE_BYTES)
            records.finish(key, 200, response, 0)
        assert records.find(b"a", 1).response is None
        assert records.find(b"a", 1).status == 200
        assert records.find(b"c", 1).response is not None


class TestFleetKeyOwners:
    def build(self, *states, name="a"):
        agreement = FakeAgreement(states)
        return agreement, FleetKeyOwners(InstanceId(name, 1), agreement)

    def test_all_members_agree_on_owner(self):
        members = [build_member(name) for name in "abc"]
        state = build_state(1, *members, document=None)
        for key in KEYS:
            addresses = set()
            for member in members:
                _, owners = self.build(state, name=member.id.name)
                ownership = owners.locate("nord", key, 0)
                addresses.add(ownership.address or member.callers)
            assert len(addresses) == 1

    def test_new_member_confirms_with_any_peer(self):
        # Guards against a second run by a new member, which knows no former owners.
        a, b = build_member("a"), build_member("b")
        _, owners = self.build(build_state(7, a, b))
        owned = [owners.locate("nord", key, 0) for key in KEYS]
        owned = [
            ownership
            for ownership in owned
            if ownership.status is not OwnershipStatus.REMOTE
        ]
        assert owned
        assert all(
            ownership.status is OwnershipStatus.CONFIRM and ownership.any_peer_suffices
            for ownership in owned
        )
        later = [owners.locate("nord", key, REPEAT_WINDOW_S + 1) for key in KEYS]
        assert any(ownership.status is OwnershipStatus.LOCAL for ownership in later)

    def test_key_of_crashed_member_does_not_run_until_window_ends(self):
        # Guards against a second run: the crashed owner may have run the key.
        a, b = build_member("a"), build_member("b")
        agreement, owners = self.build(build_state(1, a, b, document=None))
        owners.observe(0)
        agreement.states = (build_state(2, a, b),)
        before = {key: owners.locate("nord", key, 1).status for key in KEYS}
        agreement.states = (build_state(3, a),)
        after = {key: owners.locate("nord", key, 2).status for key in KEYS}
        assert {OwnershipStatus.LOCAL, OwnershipStatus.REMOTE} == set(before.values())
        for key in KEYS:
            kept = before[key] is OwnershipStatus.LOCAL
            assert after[key] is (
                OwnershipStatus.LOCAL if kept else OwnershipStatus.MOVED
            )
        for key in KEYS:
            ownership = owners.locate("nord", key, 3 + REPEAT_WINDOW_S)
            assert ownership.status is OwnershipStatus.LOCAL

    def test_list_counts_as_active_until_next_observation(self):
        # Guards against a window that starts too early: a list may be active until the
        # call that finds it replaced.
        a, b = build_member("a"), build_member("b")
        agreement, owners = self.build(build_state(1, a, b, document=None))
        owners.observe(0)
        agreement.states = (build_state(2, a, b),)
        owners.observe(1)
        agreement.states = (build_state(3, a),)
        observed_s = REPEAT_WINDOW_S - 1
        statuses = {owners.locate("nord", key, observed_s).status for key in KEYS}
        assert statuses == {OwnershipStatus.LOCAL, OwnershipStatus.MOVED}
        later = {owners.locate("nord", key, observed_s + 60).status for key in KEYS}
        assert later == {OwnershipStatus.LOCAL, OwnershipStatus.MOVED}

    def test_missed_sequence_restarts_window(self):
        # Guards against a second run: a member of the missed list may have run the key.
        a = build_member("a")
        agreement, owners = self.build(build_state(1, a, document=None))
        owners.observe(0)
        agreement.states = (build_state(2, a),)
        assert owners.locate("nord", b"k", 1).status is OwnershipStatus.LOCAL
        agreement.states = (build_state(4, a),)
        assert owners.locate("nord", b"k", 2).status is OwnershipStatus.MOVED

    def test_leaving_member_must_confirm(self):
        # Guards against a second run: the former owner still runs and can be queried.
        a, b = build_member("a"), build_member("b")
        agreement, owners = self.build(build_state(1, a, b, document=None))
        owners.observe(0)
        agreement.states = (build_state(2, a, b),)
        owners.observe(1)
        agreement.states = (build_state(3, a, attrs.evolve(b, leaving=True)),)
        ownerships = [owners.locate("nord", key, 2) for key in KEYS]
        confirmed = [
            ownership
            for ownership in ownerships
            if ownership.status is OwnershipStatus.CONFIRM
        ]
        assert confirmed
        assert all(
            ownership.peers_to_ask == (b.callers,) and not ownership.any_peer_suffices
            for ownership in confirmed
        )


class KeysMachine(RuleBasedStateMachine):
    """Members join, leave, crash and restart while requests repeat at random.

    The model of agreement follows the rule of the fleet: a state is superseded only
    after every running member that may still act on it knows the newer one.
    """

    @initialize()
    def start(self):
        self.now = 0.0
        self.sequence = 1
        self.incarnation = 1
        self.members = {}
        self.newest = build_state(1, document=None)
        self.instances_by_name = {}
        self.ran_at_by_key = {}
        self.join("a")
        self.join("b")
        self.change(document=DOCUMENT)

    def join(self, name):
        self.incarnation += 1
        member = build_member(name, self.incarnation)
        agreement = FakeAgreement((self.newest,))
        owners = FleetKeyOwners(member.id, agreement)
        owners.observe(self.now)
        self.instances_by_name[name] = (member, agreement, owners, KeyRecords())
        self.members[name] = member
        self.change()

    def change(self, document=None):
        """Agree on the present members, known to all that run."""
        self.sequence += 1
        self.newest = build_state(
            self.sequence,
            *self.members.values(),
            document=document or self.newest.document,
        )
        for _, agreement, owners, _ in self.instances_by_name.values():
            agreement.states = (*agreement.states[-1:], self.newest)
            owners.observe(self.now)

    def settle(self):
        for _, agreement, owners, _ in self.instances_by_name.values():
            owners.observe(self.now)
            agreement.states = (self.newest,)
            owners.observe(self.now)

    @rule(seconds=st.sampled_from([0.5, 5.0, 60.0, 130.0]))
    def time_passes(self, seconds):
        self.now += seconds
        self.settle()

    @precondition(lambda self: len(self.instances_by_name) < 4)
    @rule(name=st.sampled_from("abcd"))
    def member_joins(self, name):
        if name not in self.instances_by_name and name not in self.members:
            self.join(name)
            self.settle()

    @precondition(lambda self: len(self.instances_by_name) > 1)
    @rule(data=st.data(), restart=st.booleans())
    def member_crashes(self, data, restart):
        name = data.draw(st.sampled_from(sorted(self.instances_by_name)))
        del self.instances_by_name[name], self.members[name]
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
    def request(self, data, number):
        name = data.draw(st.sampled_from(sorted(self.instances_by_name)))
        self.send(name, KEYS[number])

    def send(self, name, key):
        _, _, owners, records = self.instances_by_name[name]
        ownership = owners.locate("nord", key, self.now)
        if ownership.status is OwnershipStatus.REMOTE:
            owner = self.find_instance(ownership.address)
            if owner is not None:
                self.run(owner, key)
        else:
            self.run(name, key)

    def run(self, name, key):
        _, _, owners, records = self.instances_by_name[name]
        if records.find(key, self.now) is not None:
            return
        ownership = owners.locate("nord", key, self.now)
        if ownership.status is OwnershipStatus.CONFIRM:
            replies = [
                self.confirms_not_run(address, key, ownership.any_peer_suffices)
                for address in ownership.peers_to_ask
            ]
            confirmed = any(replies) if ownership.any_peer_suffices else all(replies)
            # A queried instance that may have run the key ends the request.
            if None in replies or not confirmed:
                return
        elif ownership.status is not OwnershipStatus.LOCAL:
            return
        assert records.begin(key, b"f", self.now).verdict is KeyVerdict.RUN
        ran_at = self.ran_at_by_key.get(key, -math.inf)
        assert self.now - ran_at > REPEAT_WINDOW_S, (
            "a key ran twice within the repeat window"
        )
        self.ran_at_by_key[key] = self.now
        records.finish(key, 200, None, self.now)

    def confirms_not_run(self, address, key, for_fleet):
        name = self.find_instance(address)
        if name is None:
            return None
        _, _, owners, records = self.instances_by_name[name]
        if records.find(key, self.now) is not None:
            return None
        return owners.confirms_not_run("nord", key, self.now, for_fleet=for_fleet)

    def find_instance(self, address):
        for name, (member, _, _, _) in self.instances_by_name.items():
            if member.callers == address:
                return name
        return None


TestKeysMachine = KeysMachine.TestCase
TestKeysMachine.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
