from __future__ import annotations

import pytest

from gentianhitch.operators import keys
from gentianhitch.operators.documents import read_production
from gentianhitch.operators.errors import WrongChangeError
from gentianhitch.operators.trial import promote
from gentianhitch.operators.trial import put_to_trial
from gentianhitch.platform.memory import MemoryPlatform
from tests.builders_platform import ENVIRONMENT
from tests.builders_platform import HEAD_KEY
from tests.builders_platform import before_next_put
from tests.builders_platform import make_document
from tests.builders_platform import make_platform
from tests.builders_platform import run

HASH = keys.hash_key("one")
OTHER_HASH = keys.hash_key("two")


def make_production() -> MemoryPlatform:
    platform = make_platform()
    run(put_to_trial(platform, ENVIRONMENT, "t", make_document(), "ana"))
    run(promote(platform, ENVIRONMENT, "t", "ana"))
    return platform


def give(platform: MemoryPlatform, id_: str, key_hash: str) -> keys.KeyChange:
    return run(keys.give_key(platform, ENVIRONMENT, id_, "nord", key_hash, "ana"))


def withdraw(platform: MemoryPlatform, id_: str, prefix: str) -> keys.KeyChange:
    return run(keys.withdraw_key(platform, ENVIRONMENT, id_, "nord", prefix, "ana"))


def stored_hashes(platform: MemoryPlatform) -> tuple[str, ...]:
    document = run(read_production(platform, ENVIRONMENT)).document
    assert document is not None
    return document.workspaces[0].key_hashes


class TestKeys:
    def test_give_and_withdraw_are_document_revisions(self) -> None:
        platform = make_production()
        assert give(platform, "g", HASH).change.revision == 2
        assert stored_hashes(platform) == (HASH,)
        assert withdraw(platform, "w", keys.key_id(HASH)).change.revision == 3
        assert stored_hashes(platform) == ()

    def test_repeated_change_id_takes_effect_once(self) -> None:
        platform = make_production()
        assert give(platform, "g", HASH).change == give(platform, "g", HASH).change
        assert stored_hashes(platform) == (HASH,)

    def test_concurrent_key_changes_both_take_effect(self) -> None:
        platform = make_production()
        rival = make_platform(platform.shared)
        before_next_put(
            platform.shared, HEAD_KEY, lambda: give(rival, "rival", OTHER_HASH)
        )
        give(platform, "g", HASH)
        assert stored_hashes(platform) == (OTHER_HASH, HASH)

    @pytest.mark.parametrize(
        ("prefix", "message"), [("abc", "at least 6"), ("0" * 12, "has 0 keys")]
    )
    def test_wrong_key_id_is_refused(self, prefix: str, message: str) -> None:
        with pytest.raises(WrongChangeError, match=message):
            withdraw(make_production(), "w", prefix)

    def test_unknown_workspace_is_refused(self) -> None:
        with pytest.raises(WrongChangeError, match="'x' does not exist"):
            run(keys.give_key(make_production(), ENVIRONMENT, "g", "x", HASH, "ana"))

    def test_generated_keys_differ(self) -> None:
        assert keys.generate_key() != keys.generate_key()
