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


def fleet_with_full_buckets(count: int = 6, **options: Any) -> ModelFleet:
    """Return a fleet with full buckets, in which any excess token is detected."""
    model = fleet(count, **options)
    model.advance(20.0, step=0.05)
    return model


def wait_until_in_force(model: ModelFleet, at: Sequence[ModelInstance] = ()) -> None:
    for _ in range(10):
        model.hear_all()
    while model.history.in_force < len(model.history.states):
        saturate(model, 0.1, at)


def first_owner(model: ModelFleet) -> ModelInstance:
    limiter = next(iter(model.instances_by_name.values())).limiter
    state = model.history.states[-1]
    first = limiter.held_shares.share_table.owners(state, "yard")[0]
    return model.instances_by_name[first.id.name]


def publish_without(model: ModelFleet, *absent: ModelInstance) -> None:
    members_by_name = {
        name: instance.member
        for name, instance in model.instances_by_name.items()
        if instance not in absent
    }
    model.publish(members_by_name)


def owner_is_partitioned_and_removed() -> None:
    """A partitioned owner keeps serving while the others divide its share."""
    model = fleet_with_full_buckets(rate=40.0, burst=8.0)
    cut = first_owner(model)
    cut.cut = True
    publish_without(model, cut)
    for _ in range(10):
        model.hear_all()
    staying = next(
        instance for instance in model.instances_by_name.values() if instance is not cut
    )
    saturate(model, 8.0, [cut, staying])


def owners_change_often() -> None:
    """Each change of the agreed list gives the share to a new owner."""
    model = fleet_with_full_buckets(rate=1.0, burst=32.0)
    caller = [model.instances_by_name["entry-00"]]
    saturate(model, 1.0, caller)
    for _ in range(4):
        publish_without(model, first_owner(model))
        wait_until_in_force(model, caller)
        saturate(model, 0.5, caller)


def borrower_loses_contact_with_lender() -> None:
    """Grants take 450 ms, then no message reaches the lender any more.

    The lender lends the rate again after the lease; the borrower must have stopped
    using it by then.
    """
    model = fleet_with_full_buckets(rate=60.0, burst=8.0, max_owners=1)
    lender = first_owner(model)
    borrower = next(
        instance
        for instance in model.instances_by_name.values()
        if instance is not lender
    )
    for moment_s in (1.0, 1.3, 1.6, 1.9):
        model.network.faults = Faults()
        saturate(model, 1.0, [borrower])
        model.network.faults = Faults(min_delay_s=0.45, max_delay_s=0.46)
        saturate(model, moment_s, [borrower])
        model.network.cut(ANY, lender.member.peers)
        saturate(model, 4.0, [borrower, lender])
        model.network.heal_all()


def lender_and_borrowers_get_list_late() -> None:
    """Lender and borrowers miss the state that gives the share to another owner."""
    model = fleet_with_full_buckets(7, rate=60.0, burst=8.0, max_owners=1)
    lender = first_owner(model)
    others = [
        instance
        for instance in model.instances_by_name.values()
        if instance is not lender
    ]
    late = [lender, *others[:2]]
    saturate(model, 2.0, late)
    for instance in late:
        instance.cut = True
    publish_without(model, lender)
    wait_until_in_force(model, late)
    for instance in late:
        instance.cut = False
        model.hear(instance)
    saturate(model, 4.0, [*late, first_owner(model)])


def owner_is_paused_during_two_changes() -> None:
    """An owner is paused while its share goes to another owner and back."""
    model = fleet_with_full_buckets(rate=2.0, burst=20.0, max_owners=1)
    paused = first_owner(model)
    model.request(paused, "yard")
    model.advance(2.0)
    paused.paused = True
    publish_without(model, paused)
    wait_until_in_force(model)
    model.advance(15.0, step=0.05)
    saturate(model, 1.0)
    publish_without(model)
    wait_until_in_force(model)
    paused.paused = False
    model.hear_all()
    saturate(model, 1.0)


def successor_hands_share_back() -> None:
    """A share returns to its restarted owner while old transfers are in transit."""
    model = fleet_with_full_buckets(rate=40.0, burst=4.0, max_owners=1)
    model.network.faults = Faults(duplication=1.0, max_delay_s=6.0)
    owner = first_owner(model).member
    first_owner(model).limiter.begin_leaving(model.clock.seconds())
    others = [
        instance
        for instance in model.instances_by_name.values()
        if instance.member != owner
    ]
    while not any(
        owner.id in instance.limiter.held_shares.shares_by_owner for instance in others
    ):
        model.advance(0.1)
    model.stop(owner.id.name)
    model.network.faults = Faults()
    model.start(owner.id.name, owner.failure_domain, owner.peers)
    saturate(model, 8.0)


SCENARIOS_WITH_VARIANT = [
    (owner_is_partitioned_and_removed, naive.trust_newest_state),
    (owner_is_partitioned_and_removed, naive.ignore_freshness),
    (owners_change_often, naive.new_account_starts_full),
    (borrower_loses_contact_with_lender, naive.loans_never_expire),
    (borrower_loses_contact_with_lender, naive.lease_starts_at_receipt),
    (lender_and_borrowers_get_list_late, naive.loans_outlive_share),
    (owner_is_paused_during_two_changes, naive.ignore_missed_states),
    (successor_hands_share_back, naive.accept_duplicate_transfers),
    (successor_hands_share_back, naive.sender_keeps_share),
]


class TestWorkspaceLimit:
    @pytest.mark.parametrize(
        "scenario", dict.fromkeys(scenario for scenario, _ in SCENARIOS_WITH_VARIANT)
    )
    def test_is_kept_by_the_implementation(self, scenario: Scenario) -> None:
        scenario()

    @pytest.mark.parametrize(("scenario", "way"), SCENARIOS_WITH_VARIANT)
    def test_is_exceeded_by_the_naive_variant(
        self,
        scenario: Scenario,
        way: Callable[[pytest.MonkeyPatch], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        way(monkeypatch)
        with pytest.raises(LimitExceededError):
            scenario()
