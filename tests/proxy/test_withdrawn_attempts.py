"""Pattern: what an instance knows changes while requests choose and connect."""

from __future__ import annotations

import pytest

from gentianhitch.callers.refusals import Cause
from gentianhitch.proxy.warmup import WarmupLimit
from tests.builders_dispatch import make_response
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server
from tests.builders_runs import Run


class TestEvacuations:
    """The failure domain of a server is evacuated while a request is under way."""

    @staticmethod
    def evacuate(run: Run, *servers: str) -> None:
        domains = {"s-1": "a", "s-2": "b", "s-3": "c"}
        run.balancer.set_evacuated(
            frozenset(domains[each] for each in servers), run.clock.seconds()
        )

    # Guards against a request that is written after the bound because its connection
    # was still being opened when the evacuation came.
    @pytest.mark.parametrize("idempotent", [True, False])
    def test_a_request_still_connecting_goes_to_another_server(
        self, idempotent: bool
    ) -> None:
        run = Run(make_route(idempotent=idempotent, max_attempts=1), is_slow=True)
        chosen = run.connections.connecting[0].server
        self.evacuate(run, chosen)
        run.connections.finish_connecting()
        assert run.connections.made[0].sent == []
        assert run.connections.made[0].closed
        run.connections.finish_connecting()
        assert run.writes == 1
        assert run.connections.made[1].server != chosen
        assert not run.owner.failures

    def test_is_refused_as_not_run_without_another_server(self) -> None:
        run = Run(make_route(idempotent=False), is_slow=True)
        self.evacuate(run, "s-1", "s-2", "s-3")
        run.connections.finish_connecting()
        assert run.writes == 0
        assert run.owner.failures == [(Cause.NO_CAPACITY, False)]

    def test_a_request_sent_earlier_continues(self) -> None:
        run = Run(make_route(idempotent=False))
        self.evacuate(run, "s-1", "s-2", "s-3")
        run.waiter(0).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]

    # Guards against second attempts and hedges at servers of the domain.
    @pytest.mark.parametrize("hedge", [True, False])
    def test_a_second_attempt_avoids_the_domain(self, hedge: bool) -> None:
        run = Run(make_route(objective_s=0.4))
        first = run.connections.made[0].server
        second, third = {"s-1", "s-2", "s-3"} - {first}
        self.evacuate(run, second)
        if hedge:
            run.clock.advance(2.5)
        else:
            run.waiter(0).response_received(make_response(500))
        assert [each.server for each in run.connections.made] == [first, third]

    # Guards against a second retry spent for one that was never sent.
    def test_the_replaced_second_attempt_spends_one_retry(self) -> None:
        run = Run(make_route(), retry_slack=1.0)
        run.connections.is_slow = True
        run.waiter(0).response_received(make_response(500))
        self.evacuate(run, run.connections.connecting[0].server)
        run.connections.finish_connecting()
        run.connections.finish_connecting()
        assert run.writes == 2

    # Guards against a request at more servers than its route allows.
    def test_replaced_attempts_do_not_add_sends(self) -> None:
        run = Run(make_route(max_attempts=2))
        run.connections.is_slow = True
        run.waiter(0).response_received(make_response(500))
        self.evacuate(run, run.connections.connecting[0].server)
        for _ in range(25):
            run.clock.advance(0.1)
        run.connections.finish_connecting()
        run.connections.finish_connecting()
        assert run.writes <= 2


class TestColdServers:
    """A server takes few requests while it is cold; this instance may send it three."""

    limit = WarmupLimit(3.0, 4.0, 2.0)

    def cool(self, run: Run, *names: str) -> None:
        """Have some servers turn cold; this instance has been listed for long."""
        balancer, now = run.balancer, run.clock.seconds()
        balancer.set_warmup_limits({"stock": self.limit})
        balancer.set_instances(frozenset({"e-1"}), now - 10.0)
        balancer.update(
            [
                make_server(name, warmup_s=3.0 if name in names else 0.0)
                for name in ("s-1", "s-2", "s-3")
            ],
            now,
        )

    # Guards against requests of a burst that are all written, since none was when the
    # others were chosen.
    @pytest.mark.parametrize("is_slow", [True, False])
    def test_a_burst_gets_what_is_allowed_and_the_rest_is_refused_at_once(
        self, is_slow: bool
    ) -> None:
        run = Run(make_route(idempotent=False))
        run.waiter(0).response_received(make_response())
        run.clock.advance(2.0)
        self.cool(run, "s-1", "s-2", "s-3")
        run.connections.is_slow = is_slow
        for _ in range(40):
            run.start()
        assert run.owner.failures == [(Cause.NO_CAPACITY, False)] * 31
        run.clock.advance(0.05)
        run.connections.finish_connecting()
        assert run.writes == 1 + 9

    # Guards against requests that were chosen while the server was warm.
    def test_a_request_still_connecting_goes_to_a_warm_server(self) -> None:
        run = Run(make_route(idempotent=False), is_slow=True)
        for _ in range(29):
            run.start()
        self.cool(run, "s-1", "s-2")
        run.connections.finish_connecting()
        run.connections.finish_connecting()
        servers = [each.server for each in run.connections.made if each.sent]
        assert len(servers) == 30
        assert max(servers.count("s-1"), servers.count("s-2")) <= 3
        assert not run.owner.failures

    # Guards against second attempts beyond the allowance.
    def test_a_second_attempt_counts(self) -> None:
        run = Run(make_route())
        first = run.connections.made[0].server
        others = sorted({"s-1", "s-2", "s-3"} - {first})
        self.cool(run, *others)
        for server in others:
            for _ in range(3):
                run.balancer.record_start(make_server(server), make_route(), 0.0)
        run.waiter(0).response_received(make_response(500))
        assert run.writes == 1
        assert [status for status, _ in run.owner.responses] == [500]
