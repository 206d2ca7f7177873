from __future__ import annotations

import attrs
import pytest

from gentianhitch.operators import head as heads
from gentianhitch.operators import keys
from gentianhitch.operators.checking import FaultyDocumentError
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.documents import Change
from gentianhitch.operators.documents import read_production
from gentianhitch.operators.errors import LostRaceError
from gentianhitch.operators.errors import OperatorsOutcomeUnknownError
from gentianhitch.operators.errors import OperatorsUnavailableError
from gentianhitch.operators.errors import WrongChangeError
from gentianhitch.operators.trial import promote
from gentianhitch.operators.trial import put_to_trial
from gentianhitch.platform.interface import MAX_VALUE_BYTES
from gentianhitch.platform.memory import MemoryPlatform
from tests.builders_platform import ENVIRONMENT
from tests.builders_platform import HEAD_KEY
from tests.builders_platform import before_next_put
from tests.builders_platform import make_document
from tests.builders_platform import make_large_document
from tests.builders_platform import make_platform
from tests.builders_platform import make_store
from tests.builders_platform import run

GIVEN = keys.hash_key("given")


def try_document(
    platform: MemoryPlatform, trial_id: str, document: Document, operator: str = "ana"
) -> None:
    run(put_to_trial(platform, ENVIRONMENT, trial_id, document, operator))


def promote_trial(
    platform: MemoryPlatform, trial_id: str, operator: str = "ana"
) -> Change:
    return run(promote(platform, ENVIRONMENT, trial_id, operator))


def production(platform: MemoryPlatform) -> Document | None:
    return run(read_production(platform, ENVIRONMENT)).document


def lose_reply_of_next_head_write(platform: MemoryPlatform) -> None:
    """Lose all replies to this client, starting with its next write of the head."""

    def lose() -> None:
        platform.replies_lost = True

    before_next_put(platform.shared, HEAD_KEY, lose)


class TestPromote:
    def test_promotes_exactly_the_tried_document(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        assert production(platform) is None
        assert promote_trial(platform, "t1").revision == 1
        assert production(platform) == make_document()

    def test_lost_race_error_names_the_winner(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        promote_trial(platform, "t1")
        try_document(platform, "t2", make_document(), operator="bruno")
        edited = make_document(workspaces=(Workspace("nord", 99, 99),))
        run(keys.give_key(platform, ENVIRONMENT, "k", "nord", GIVEN, "cvita"))
        with pytest.raises(LostRaceError, match=r"to cvita: .* revision 2, not at 1"):
            promote_trial(platform, "t2", operator="bruno")
        try_document(platform, "t3", edited, operator="cvita")
        with pytest.raises(LostRaceError, match="to cvita"):
            promote_trial(platform, "t2", operator="bruno")

    def test_instance_list_change_is_not_a_lost_race(self) -> None:
        store = make_store()
        platform, list_writer = make_platform(store), make_platform(store)
        try_document(platform, "t1", make_document())

        def add(head: heads.Head) -> heads.Head:
            return attrs.evolve(head, members_digest="m")

        def change_list() -> None:
            run(heads.change_head(list_writer, ENVIRONMENT, "list", add))

        before_next_put(store, HEAD_KEY, change_list)
        change = promote_trial(platform, "t1")
        assert (change.revision, change.sequence) == (1, 2)
        stored = run(heads.read_head(platform, ENVIRONMENT))
        assert stored.head.members_digest == "m"

    def test_retry_after_lost_reply_changes_once(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        lose_reply_of_next_head_write(platform)
        with pytest.raises(OperatorsOutcomeUnknownError):
            promote_trial(platform, "t1")
        platform.replies_lost = False
        assert promote_trial(platform, "t1") == promote_trial(platform, "t1")
        assert run(heads.read_head(platform, ENVIRONMENT)).head.sequence == 1

    def test_retry_after_later_change_reports_replaced(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        promote_trial(platform, "t1")
        run(keys.give_key(platform, ENVIRONMENT, "k", "nord", GIVEN, "cvita"))
        try_document(platform, "t2", make_document())
        retried = promote_trial(platform, "t1")
        assert (retried.replaced, retried.changed_by) == (True, "cvita")
        assert run(heads.read_head(platform, ENVIRONMENT)).head.sequence == 2

    def test_delayed_write_has_no_effect_after_lost_race(self) -> None:
        # The first attempt times out while its write is delayed. Without the
        # cancellation, the write would take effect after LostRaceError was reported.
        store = make_store()
        platform, rival = make_platform(store), make_platform(store)
        try_document(platform, "t1", make_document())
        platform.late_s = 5.0
        with pytest.raises(OperatorsOutcomeUnknownError):
            promote_trial(platform, "t1")
        platform.late_s = 0.0
        try_document(rival, "t2", make_document(), operator="bruno")
        with pytest.raises(LostRaceError, match="to bruno"):
            promote_trial(platform, "t1")
        store.clock.advance(10)
        assert production(platform) is None

    def test_outage_changes_nothing(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        platform.shared.outage = True
        with pytest.raises(OperatorsUnavailableError):
            promote_trial(platform, "t1")
        platform.shared.outage = False
        assert production(platform) is None

    def test_document_above_the_value_limit(self) -> None:
        platform = make_platform()
        document = make_large_document()
        try_document(platform, "t1", document)
        promote_trial(platform, "t1")
        values = [entry.value for entry in platform.shared.entries_by_key.values()]
        assert sum(len(value) for value in values) > MAX_VALUE_BYTES
        assert production(platform) == document

    def test_unknown_trial_is_refused(self) -> None:
        with pytest.raises(WrongChangeError, match="no document was put to trial"):
            promote_trial(make_platform(), "t1")


class TestPutToTrial:
    def test_faulty_document_is_refused(self) -> None:
        with pytest.raises(FaultyDocumentError, match="environment is 'x'"):
            try_document(make_platform(), "t", make_document(environment="x"))

    def test_new_document_keeps_keys_in_production(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        promote_trial(platform, "t1")
        run(keys.give_key(platform, ENVIRONMENT, "k", "nord", GIVEN, "ana"))
        try_document(platform, "t2", make_document())
        promote_trial(platform, "t2")
        document = production(platform)
        assert document is not None
        assert document.workspaces[0].key_hashes == (GIVEN,)

    def test_document_cannot_restore_a_withdrawn_key(self) -> None:
        platform = make_platform()
        keyed = make_document(workspaces=(Workspace("nord", 1, 1, (GIVEN,)),))
        try_document(platform, "t1", keyed)
        promote_trial(platform, "t1")
        run(keys.withdraw_key(platform, ENVIRONMENT, "k", "nord", GIVEN[:12], "ana"))
        with pytest.raises(FaultyDocumentError, match="production does not have"):
            try_document(platform, "t2", keyed)

    def test_repeated_trial_id_is_stored_once(self) -> None:
        platform = make_platform()
        try_document(platform, "t1", make_document())
        revision = platform.shared.revision
        try_document(platform, "t1", make_document())
        assert platform.shared.revision == revision
