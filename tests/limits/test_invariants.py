from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

import pytest

from gentianhitch.decisions.limits.errors import LimitExceededError
from gentianhitch.soak.limits_fleet import ModelFleet
from gentianhitch.soak.limits_fleet import ModelInstance
from gentianhitch.soak.network import ANY
from gentianhitch.soak.network import Faults
from tests.builders_limits import fleet
from tests.limits import naive

Scenario = Callable[[], None]


def saturate(
    model: ModelFleet, seconds: float, at: Sequence[ModelInstance] = ()
) -> None:
    for _ in range(round(seconds / 0.02)):
        for instance in at or list(model.instances_by_name.values()):
            for _ in range(2):
                model.request(instance, "yard")
        model.advance(0.02, step=0.005)


def full_fleet(count: int = 6, **options: Any) -> ModelFleet:
    """Return a fleet whose buckets are full, so that any excess shows."""
    model = fleet(count, **options)
    model.advance(20.0, step=0.05)
    return model


def wait_in_force(model: ModelFleet, at: Sequence[ModelInstance] = ()) -> None:
    for _ in range(10):
        model.hear_all()
    while model.history.in_force < len(model.history.states):
        saturate(model, 0.1, at)


def holder(model: ModelFleet) -> ModelInstance:
    limiter = next(iter(model.instances_by_name.values())).limiter
    state = model.history.states[-1]
    first = limiter.held_shares.share_table.owners(state, "yard")[0]
    return model.instances_by_name[first.id.name]


def publish_without(model: ModelFleet, *absent: ModelInstance) -> None:
    members_by_name = {
        name: one.member
        for name, one in model.instances_by_name.items()
        if one not in absent
    }
    model.publish(members_by_name)


def holder_is_cut_and_dropped() -> None:
    model = full_fleet(rate=40.0, burst=8.0)
    cut = holder(model)
    cut.cut = True
    publish_without(model, cut)
    for _ in range(10):
        model.hear_all()
    staying = next(o for o in model.instances_by_name.values() if o is not cut)
    saturate(model, 8.0, [cut, staying])


def holders_change_often() -> None:
    model = full_fleet(rate=1.0, burst=32.0)
    caller = [model.instances_by_name["entry-00"]]
    saturate(model, 1.0, caller)
    for _ in range(4):
        publish_without(model, holder(model))
        wait_in_force(model, caller)
        saturate(model, 0.5, caller)


def borrower_loses_touch_with_the_lender() -> None:
    model = full_fleet(rate=60.0, burst=8.0, max_owners=1)
    lender = holder(model)
    borrower = next(o for o in model.instances_by_name.values() if o is not lender)
    for moment_s in (1.0, 1.3, 1.6, 1.9):
        model.network.faults = Faults()
        saturate(model, 1.0, [borrower])
        model.network.faults = Faults(min_delay_s=0.45, max_delay_s=0.46)
        saturate(model, moment_s, [borrower])
        model.network.cut(ANY, lender.member.peers)
        saturate(model, 4.0, [borrower, lender])
        model.network.heal_all()


def lender_and_borrowers_learn_late() -> None:
    model = full_fleet(7, rate=60.0, burst=8.0, max_owners=1)
    lender = holder(model)
    others = [one for one in model.instances_by_name.values() if one is not lender]
    late = [lender, *others[:2]]
    saturate(model, 2.0, late)
    for one in late:
        one.cut = True
    publish_without(model, lender)
    wait_in_force(model, late)
    for one in late:
        one.cut = False
        model.hear(one)
    saturate(model, 4.0, [*late, holder(model)])


def holder_is_paused_over_two_changes() -> None:
    model = full_fleet(rate=2.0, burst=20.0, max_owners=1)
    paused = holder(model)
    model.request(paused, "yard")
    model.advance(2.0)
    paused.paused = True
    publish_without(model, paused)
    wait_in_force(model)
    model.advance(15.0, step=0.05)
    saturate(model, 1.0)
    publish_without(model)
    wait_in_force(model)
    paused.paused = False
    model.hear_all()
    saturate(model, 1.0)


def heir_passes_the_share_on() -> None:
    model = full_fleet(rate=40.0, burst=4.0, max_owners=1)
    model.network.faults = Faults(duplication=1.0, max_delay_s=6.0)
    owner = holder(model).member
    holder(model).limiter.begin_leaving(model.clock.seconds())
    others = [one for one in model.instances_by_name.values() if one.member != owner]
    while not any(
        owner.id in one.limiter.held_shares.shares_by_owner for one in others
    ):
        model.advance(0.1)
    model.stop(owner.id.name)
    model.network.faults = Faults()
    model.start(owner.id.name, owner.failure_domain, owner.peers)
    saturate(model, 8.0)


PROOFS = [
    (holder_is_cut_and_dropped, naive.own_view_only),
    (holder_is_cut_and_dropped, naive.regardless_of_freshness),
    (holders_change_often, naive.new_holder_starts_full),
    (borrower_loses_touch_with_the_lender, naive.loans_without_lease),
    (borrower_loses_touch_with_the_lender, naive.lease_from_receipt),
    (lender_and_borrowers_learn_late, naive.loans_outlive_share),
    (holder_is_paused_over_two_changes, naive.missed_states_ignored),
    (heir_passes_the_share_on, naive.copies_accepted),
    (heir_passes_the_share_on, naive.sender_keeps_share),
]


class TestNoWorkspaceRunsMoreThanItsLimit:
    @pytest.mark.parametrize("scenario", dict.fromkeys(one for one, _ in PROOFS))
    def test_holds_in_the_product(self, scenario: Scenario) -> None:
        scenario()

    @pytest.mark.parametrize(("scenario", "way"), PROOFS)
    def test_breaks_on_the_naive_way(
        self,
        scenario: Scenario,
        way: Callable[[pytest.MonkeyPatch], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        way(monkeypatch)
        with pytest.raises(LimitExceededError):
            scenario()
