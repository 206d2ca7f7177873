from __future__ import annotations

from gentianhitch.soak.limits import run
from gentianhitch.soak.limits_fleet import ModelFleet
from gentianhitch.soak.network import Faults
from tests.builders_limits import fleet

HOUR_S = 3600.0


def restart(model: ModelFleet, name: str, *, planned: bool) -> None:
    instance = model.instances_by_name[name]
    if planned:
        instance.limiter.begin_leaving(model.clock.seconds())
        model.advance(3.0, step=0.02)
        assert instance.limiter.succession.is_done
    model.stop(name)
    model.advance(2.0, step=0.05)
    model.start(name, instance.member.failure_domain, instance.member.peers)
    model.advance(3.0, step=0.05)
    model.advance(HOUR_S / 4, step=30.0)


def count_admitted_in_10_s(model: ModelFleet) -> int:
    model.advance(5.0, step=0.02)
    model.admitted.clear()
    for _ in range(100):
        for instance in list(model.instances_by_name.values()):
            for _ in range(2):
                model.request(instance, "yard")
        model.advance(0.1, step=0.005)
    return model.admitted["yard"]


class TestOutageOfHours:
    # The agreed list stays as it is during an outage of the platform. Each planned
    # restart hands the share to another instance and back to the later run.
    def test_shares_survive_planned_restarts_of_all_instances(self) -> None:
        faults = Faults(loss=0.05, duplication=0.1, max_delay_s=0.05)
        model = fleet(6, rate=20.0, burst=20.0, faults=faults)
        listed = {
            member.id for member in model.history.states[0].members_by_name.values()
        }
        for name in sorted(model.instances_by_name) * 2:
            restart(model, name, planned=True)
        held = [
            (owner, name)
            for name, instance in model.instances_by_name.items()
            for owner in instance.limiter.held_shares.shares_by_owner
            if owner in listed
        ]
        assert sorted(held) == sorted((owner, owner.name) for owner in listed)
        model.network.faults = Faults()
        assert 190 <= count_admitted_in_10_s(model) <= 220

    # Only a new agreed list shows that a killed instance does not spend its share.
    def test_share_of_a_killed_instance_is_lost_until_the_list_changes(self) -> None:
        model = fleet(6, rate=20.0, burst=20.0)
        state = model.history.states[0]
        share_table = model.instances_by_name[
            "entry-00"
        ].limiter.held_shares.share_table
        for owner in share_table.owners(state, "yard")[:2]:
            restart(model, owner.id.name, planned=False)
        assert 95 <= count_admitted_in_10_s(model) <= 120
        instances_by_name = model.instances_by_name
        model.publish(
            {name: instance.member for name, instance in instances_by_name.items()}
        )
        model.advance(10.0, step=0.02)
        assert 190 <= count_admitted_in_10_s(model) <= 220


class TestSoak:
    def test_short_run_keeps_every_limit(self) -> None:
        report = run(seed=3, steps=40)
        assert report.admitted > 0
