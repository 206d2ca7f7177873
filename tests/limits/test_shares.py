from __future__ import annotations

import attrs
from hypothesis import given
from hypothesis import strategies as st

from gentianhitch.decisions.limits.shares import NO_SHARE
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.instances.identity import InstanceId
from tests.builders_limits import member
from tests.builders_limits import members
from tests.builders_limits import state


class TestShareOwners:
    @given(st.integers(1, 60), st.integers(1, 20), st.floats(0.5, 1000.0))
    def test_shares_add_up_to_the_limit(
        self, count: int, max_owners: int, burst: float
    ) -> None:
        agreed = state(1, members(count), rate=100.0, burst=burst)
        table = ShareTable(max_owners)
        shares = [
            table.share(agreed, "yard", listed.id)
            for listed in agreed.members_by_name.values()
        ]
        assert abs(sum(share.rate for share in shares) - 100.0) < 1e-9
        assert abs(sum(share.burst for share in shares) - burst) < 1e-9

    def test_are_spread_over_failure_domains(self) -> None:
        owners = ShareTable(8).owners(state(1, members(40)), "yard")
        domains = [listed.failure_domain for listed in owners]
        assert len(owners) == 8
        assert min(domains.count(domain) for domain in set(domains)) >= 2

    def test_exclude_leaving_members_while_others_stay(self) -> None:
        agreed = state(1, members(6))
        first = ShareTable(1).owners(agreed, "yard")[0]
        by_name = dict(agreed.members_by_name)
        by_name[first.id.name] = attrs.evolve(first, leaving=True)
        assert ShareTable(6).owners(state(2, by_name), "yard").count(first) == 0
        alone = {first.id.name: attrs.evolve(first, leaving=True)}
        assert ShareTable(6).owners(state(3, alone), "yard")[0].id == first.id

    def test_absent_member_moves_only_its_own_share(self) -> None:
        table, agreed = ShareTable(8), state(1, members(40))
        before = table.owners(agreed, "yard")
        remaining = {n: m for n, m in agreed.members_by_name.items() if m != before[0]}
        after = table.owners(state(2, remaining), "yard")
        assert len(set(before) & set(after)) == 7

    def test_small_burst_has_few_owners(self) -> None:
        agreed = state(1, members(40), burst=1.0)
        assert len(ShareTable(8).owners(agreed, "yard")) == 2

    def test_unknown_workspace_has_none(self) -> None:
        assert ShareTable().owners(state(1, members(3)), "unknown") == ()


class TestShare:
    def test_belongs_to_one_incarnation(self) -> None:
        agreed = state(1, {member(0).id.name: member(0)})
        later = InstanceId(member(0).id.name, 2)
        table = ShareTable()
        assert table.share(agreed, "yard", member(0).id) == Share(10.0, 20.0)
        assert table.share(agreed, "yard", later) == NO_SHARE

    def test_minimum_takes_rate_and_burst_from_each_state(self) -> None:
        members_by_name = {member(0).id.name: member(0)}
        states = (
            state(1, members_by_name, rate=5.0),
            state(2, members_by_name, rate=9.0, burst=7.0),
        )
        assert ShareTable().minimum_share(states, "yard", member(0).id) == Share(
            5.0, 7.0
        )
        assert ShareTable().minimum_share((), "yard", member(0).id) == NO_SHARE
