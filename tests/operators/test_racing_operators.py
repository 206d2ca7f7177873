"""Randomised concurrent changes of one head over a faulty platform.

Guards against lost, repeated and wrongly reported changes when replies are lost,
writes are delayed or the store fails.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from gentianhitch.operators import head as heads
from gentianhitch.operators import keys
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.documents import Change
from gentianhitch.operators.documents import read_document
from gentianhitch.operators.errors import LostRaceError
from gentianhitch.operators.errors import OperatorsOutcomeUnknownError
from gentianhitch.operators.trial import promote
from gentianhitch.operators.trial import put_to_trial
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import Lease
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from tests.builders_platform import ENVIRONMENT
from tests.builders_platform import HEAD_KEY
from tests.builders_platform import before_next_put
from tests.builders_platform import make_document
from tests.builders_platform import make_platform
from tests.builders_platform import run

CLIENTS = st.integers(0, 2)
NUMBERS = st.integers(0, 1)
SEED = 20260
MAX_DRAIN_S = 1_000


@attrs.frozen
class ClientFault:
    """Lost requests, lost replies or delayed writes of one client."""

    requests_lost: bool = False
    replies_lost: bool = False
    late_s: float = 0.0


MOSTLY_FALSE = [False, False, False, True]
CLIENT_FAULTS = [
    *[ClientFault()] * 5,
    ClientFault(requests_lost=True),
    ClientFault(replies_lost=True),
    ClientFault(late_s=0.7),
    ClientFault(late_s=2.5),
]


@attrs.define(eq=False)
class RecordingStore(MemoryStore):
    """A store that records every head written to it."""

    heads: list[heads.Head] = attrs.Factory(list)

    def write(self, key: str, value: bytes, lease: Lease | None) -> Entry:
        if key == HEAD_KEY:
            self.heads.append(heads.decode_head(value))
        return super().write(key, value, lease)


class RacingOperators(RuleBasedStateMachine):
    """Three clients that change the document and the instance list concurrently."""

    def __init__(self) -> None:
        super().__init__()
        self.store = RecordingStore(Clock())
        self.clients = [make_platform(self.store) for _ in range(3)]
        self.history = self.store.heads
        self.results: list[tuple[str, Change | Failure]] = []
        self.trial_ids: list[str] = []
        self.ids = 0
        platform = self.clients[0]
        run(put_to_trial(platform, ENVIRONMENT, "first", make_document(), "x"))
        run(promote(platform, ENVIRONMENT, "first", "x"))

    def new_id(self, kind: str) -> str:
        self.ids += 1
        return f"{kind}{self.ids}"

    def start(self, id_: str, coroutine: Any) -> None:
        deferred: Deferred[Any] = Deferred.fromCoroutine(coroutine)
        deferred.addBoth(lambda result: self.results.append((id_, result)))

    @rule(client=CLIENTS, rate=NUMBERS)
    def try_document(self, client: int, rate: int) -> None:
        id_ = self.new_id("trial")
        self.trial_ids.append(id_)
        document = make_document(workspaces=(Workspace("nord", rate + 1, 9),))
        tried = put_to_trial(self.clients[client], ENVIRONMENT, id_, document, id_)
        Deferred.fromCoroutine(tried).addErrback(lambda _: None)

    @rule(client=CLIENTS, back=NUMBERS)
    def promote_a_trial(self, client: int, back: int) -> None:
        if self.trial_ids:
            id_ = self.trial_ids[-1 - back % len(self.trial_ids)]
            self.start(id_, promote(self.clients[client], ENVIRONMENT, id_, "x"))

    @rule(client=CLIENTS, number=NUMBERS)
    def give_key(self, client: int, number: int) -> None:
        id_, key_hash = self.new_id("give"), keys.hash_key(str(number))
        platform = self.clients[client]
        given = keys.give_key(platform, ENVIRONMENT, id_, "nord", key_hash, "x")
        self.start(id_, given)

    @rule(client=CLIENTS, number=NUMBERS)
    def withdraw_key(self, client: int, number: int) -> None:
        id_, key_hash = self.new_id("withdraw"), keys.hash_key(str(number))
        platform = self.clients[client]
        self.start(
            id_,
            keys.withdraw_key(platform, ENVIRONMENT, id_, "nord", key_hash, "x"),
        )

    @rule(client=CLIENTS)
    def change_list(self, client: int) -> None:
        id_ = self.new_id("list")
        changed = heads.change_head(
            self.clients[client],
            ENVIRONMENT,
            id_,
            lambda head: attrs.evolve(head, members_digest=id_),
        )
        Deferred.fromCoroutine(changed).addErrback(lambda _: None)

    @rule(client=CLIENTS, fault=st.sampled_from(CLIENT_FAULTS))
    def disturb_client(self, client: int, fault: ClientFault) -> None:
        platform: MemoryPlatform = self.clients[client]
        platform.requests_lost = fault.requests_lost
        platform.replies_lost = fault.replies_lost
        platform.late_s = fault.late_s

    @rule(lose=st.sampled_from(["reply", "reply and outage"]))
    def disturb_next_head_write(self, lose: str) -> None:
        """Inject a fault at the write of the head, which decides the outcome."""

        def fail() -> None:
            self.store.outage = lose == "reply and outage"
            self.store.lost_replies = 1

        before_next_put(self.store, HEAD_KEY, fail)

    @rule(
        delay_s=st.sampled_from([0.0, 0.3, 1.0]), outage=st.sampled_from(MOSTLY_FALSE)
    )
    def disturb_store(self, delay_s: float, outage: bool) -> None:
        self.store.delay_s, self.store.outage = delay_s, outage

    @rule()
    def heal(self) -> None:
        self.store.outage, self.store.delay_s, self.store.lost_replies = False, 0, 0
        for platform in self.clients:
            platform.requests_lost = platform.replies_lost = False
            platform.late_s = 0.0

    @rule(wait_s=st.sampled_from([0.1, 0.5, 1.0, 3.0]))
    def wait(self, wait_s: float) -> None:
        self.store.clock.advance(wait_s)

    @invariant()
    def each_head_follows_the_one_before(self) -> None:
        previous = heads.Head()
        for head in self.history:
            assert head.sequence == previous.sequence + 1
            changed = head.document != previous.document
            assert revision(head) == revision(previous) + changed
            previous = head

    @invariant()
    def no_change_happens_twice(self) -> None:
        ids = [head.write_id for head in self.history]
        assert len(ids) == len(set(ids))

    def teardown(self) -> None:
        while self.store.clock.getDelayedCalls():
            self.store.clock.advance(1)
            assert self.store.clock.seconds() < MAX_DRAIN_S
        self.each_head_follows_the_one_before()
        self.no_change_happens_twice()
        self.heal()
        self.check_results()
        self.check_keys_change_by_key_changes_only()

    def check_results(self) -> None:
        written = {head.write_id for head in self.history}
        for id_, result in self.results:
            if isinstance(result, Change | keys.KeyChange):
                assert id_ in written
            elif result.check(LostRaceError):
                assert id_ not in written
            elif not result.check(OperatorsOutcomeUnknownError):
                repeated = [one for one, _ in self.results].count(id_) > 1
                assert repeated or id_ not in written

    def check_keys_change_by_key_changes_only(self) -> None:
        reader = make_platform(self.store)
        previous: tuple[str, ...] = ()
        for head in self.history:
            if head.document is None:
                continue
            digest = head.document.digest
            document = run(read_document(reader, ENVIRONMENT, digest))
            hashes = document.workspaces[0].key_hashes
            assert hashes == previous or head.write_id.startswith(("give", "withdraw"))
            previous = hashes


def revision(head: heads.Head) -> int:
    return head.document.revision if head.document else 0


TestRacingOperators = seed(SEED)(RacingOperators).TestCase
TestRacingOperators.settings = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    database=None,
)
