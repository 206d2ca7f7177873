from __future__ import annotations

from random import Random

import pytest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.catalog import Catalog
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.decisions.targets.target_health import AlwaysGoodTracker
from gentianhitch.operators.document import Route
from tests.builders_targets import READ
from tests.builders_targets import FixedAgreement
from tests.builders_targets import agreement
from tests.builders_targets import attempt
from tests.builders_targets import document
from tests.builders_targets import members


def pool(agreed: FixedAgreement, name: str = "i0") -> TargetPool:
    return TargetPool(agreed, name, "d1", AlwaysGoodTracker(), Random(1))


class TestTargetPool:
    def test_slots_are_reserved_until_all_are_taken_and_reused_after_release(
        self,
    ) -> None:
        chosen = pool(agreement(1))
        taken = []
        while target := chosen.choose("stock", READ, "w", 0.0):
            taken.append(target.name)
        assert len(taken) == 36
        chosen.record(attempt(taken[0]), 0.02)
        again = chosen.choose("stock", READ, "w", 0.02)
        assert again is not None
        assert again.name == taken[0]

    def test_no_target_when_all_are_excluded_or_the_state_is_stale(self) -> None:
        agreed = agreement()
        chosen = pool(agreed)
        everyone = frozenset(f"t{index}" for index in range(6))
        assert chosen.choose("stock", READ, "w", 0.0, everyone) is None
        agreed.fresh = False
        assert chosen.choose("stock", READ, "w", 0.0) is None

    def test_removed_target_is_not_chosen_for_the_next_request(self) -> None:
        agreed = agreement()
        chosen = pool(agreed)
        smaller = AgreedState(2, members(10), document(targets=1))
        agreed.states = (*agreed.states, smaller)
        target = chosen.choose("stock", READ, "w", 0.0)
        assert target is not None
        assert target.name == "t0"

    def test_sheds_reduce_the_extra_slots(self) -> None:
        chosen = pool(agreement(40), "i0")
        before = sum(
            1 for _ in iter(lambda: chosen.choose("stock", READ, "w", 0), None)
        )
        for index in range(6):
            chosen.record(attempt(f"t{index}", Outcome.SHED), 0.0)
        after = sum(1 for _ in iter(lambda: chosen.choose("stock", READ, "w", 0), None))
        assert after < before

    def test_non_idempotent_request_takes_only_own_slots_if_there_are_any(self) -> None:
        # A shed order is refused, and sheds come from beyond the own slots.
        order = Route("POST", "/stock", "stock", idempotent=False)
        for name in members(40):
            chosen = pool(agreement(40), name)
            entry = chosen.entry("stock", 0.0)
            assert entry is not None
            own = sum(quota.slots for quota in entry.quotas_by_target.values())
            taken = 0
            while chosen.choose("stock", order, "w", 0.0) is not None:
                taken += 1
            assert taken == own or (own == 0 and taken > 0)


class TestQuotas:
    @pytest.mark.parametrize(
        ("slots", "connections", "count"), [(6, 330, 44), (4, 400, 44), (6, 330, 400)]
    )
    def test_quotas_of_all_instances_add_up_to_at_most_the_limits(
        self, slots: int, connections: int, count: int
    ) -> None:
        states = agreement(count, slots=slots, connections=connections).states
        slots_used = connections_used = 0
        for name in members(count):
            catalog = Catalog(name)
            catalog.update(states)
            entry = catalog.service("stock")
            assert entry is not None
            slots_used += entry.quotas_by_target["t0"].slots
            connections_used += entry.quotas_by_target["t0"].connections
        assert slots_used == slots
        assert slots <= connections_used <= connections
