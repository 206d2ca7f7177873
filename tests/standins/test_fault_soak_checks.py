from __future__ import annotations

from typing import Any

import attrs

from standins.fault_soak.callers import Kind
from standins.fault_soak.callers import Seen
from standins.fault_soak.checks import Disturbance
from standins.fault_soak.checks import History
from standins.fault_soak.checks import Limit
from standins.fault_soak.checks import Moment
from standins.fault_soak.checks import Span
from standins.fault_soak.checks import recovered

ORDER = Kind("order", "POST", "/orders/", "key-1", "north")
READ = Kind("read", "GET", "/stock/", "key-1", "north")


def make_seen(kind: Kind = ORDER, **changes: Any) -> Seen:
    seen = Seen("r-1", kind, "127.0.0.1:1", 100.0, 100.1, 200, True, {"request": "r-1"})
    return attrs.evolve(seen, **changes)


def make_run(kind: Kind = ORDER, **changes: Any) -> dict[str, Any]:
    run = {
        "request": "r-1",
        "at_s": 100.0,
        "workspace": kind.workspace,
        "path": f"{kind.prefix}r-1",
        "server": "orders-0",
        "authorization": False,
    }
    return {**run, **changes}


def broken(seen: list[Seen], runs: list[dict[str, Any]], **changes: Any) -> list[str]:
    history = History(seen, runs, [], [], [], [])
    return [line.split()[0] for line in attrs.evolve(history, **changes).broken()]


class TestPromises:
    def test_nothing_is_broken_by_one_served_request(self) -> None:
        assert broken([make_seen()], [make_run()]) == []

    def test_an_order_that_ran_twice(self) -> None:
        assert broken([make_seen()], [make_run(), make_run()]) == ["TWICE"]

    def test_a_read_may_run_twice(self) -> None:
        assert broken([make_seen(READ)], [make_run(READ), make_run(READ)]) == []

    def test_a_false_refusal(self) -> None:
        assert broken([make_seen(status=503)], [make_run()]) == ["REFUSED"]

    def test_another_requests_answer(self) -> None:
        seen = make_seen(answer={"request": "r-2"})
        assert broken([seen], [make_run()]) == ["MIXED"]

    def test_a_request_that_nobody_sent(self) -> None:
        assert broken([], [make_run()]) == ["UNASKED"]

    def test_a_run_for_another_workspace(self) -> None:
        assert broken([make_seen()], [make_run(workspace="south")]) == ["UNASKED"]

    def test_a_key_that_reached_a_server(self) -> None:
        assert broken([make_seen()], [make_run(authorization=True)]) == ["UNASKED"]

    def test_too_many_requests_of_a_workspace(self) -> None:
        numbers = range(60)
        seen = [make_seen(READ, request=f"r-{n}", answer={}) for n in numbers]
        runs = [make_run(READ, request=f"r-{n}", path=f"/stock/r-{n}") for n in numbers]
        found = broken(seen, runs, limits=[Limit("north", 4, 4)])
        assert "QUOTA" in found

    def test_an_added_route_that_is_not_found(self) -> None:
        seen = [make_seen(ORDER, status=404, signed=False)]
        assert broken(seen, [], added_routes=[Moment("/orders/", 97.5)]) == ["CONFIG"]
        assert broken(seen, [], added_routes=[Moment("/orders/", 98.5)]) == []

    def test_an_added_route_may_be_missing_until_instances_are_in_touch(self) -> None:
        seen = [make_seen(ORDER, status=404, signed=False)]
        added = [Moment("/orders/", 90.0)]
        late, early = Disturbance(91.0, 95.5), Disturbance(91.0, 94.5)
        assert broken(seen, [], added_routes=added, disturbances=[late]) == []
        assert broken(seen, [], added_routes=added, disturbances=[early]) == ["CONFIG"]

    def test_a_withdrawn_key(self) -> None:
        withdrawn = [Moment("key-1", 90.0)]
        assert broken([make_seen()], [make_run()], withdrawn_keys=withdrawn) == [
            "CONFIG"
        ]

    def test_a_server_that_left(self) -> None:
        drained = [Moment("orders-0", 90.0)]
        assert broken([make_seen()], [make_run()], drained_servers=drained) == ["DRAIN"]

    def test_an_instance_out_of_touch_may_use_a_server_that_left(self) -> None:
        drained = [Moment("orders-0", 90.0)]
        disturbances = [Disturbance(89.0, 95.0)]
        found = broken(
            [make_seen()],
            [make_run()],
            drained_servers=drained,
            disturbances=disturbances,
        )
        assert found == []

    def test_a_server_that_had_said_that_it_leaves(self) -> None:
        told = make_seen(
            READ,
            request="r-0",
            sent_s=96.0,
            ended_s=97.0,
            server_leaves=True,
            answer={"request": "r-0", "server": "orders-0"},
        )
        runs = [make_run(READ, request="r-0", path="/stock/r-0"), make_run()]
        assert broken([told, make_seen()], runs) == ["DRAIN"]
        other = make_seen(address="127.0.0.1:2")
        assert broken([told, other], runs) == []
        pause = Disturbance(97.5, 98.0, paused="127.0.0.1:1")
        assert broken([told, make_seen()], runs, disturbances=[pause]) == []

    def test_a_server_that_had_asked_for_a_wait(self) -> None:
        numbers = range(4)
        seen = [make_seen(READ, request=f"r-{n}", status=503) for n in numbers]
        arrivals = [
            {"request": f"r-{n}", "at_s": 100.0 + n, "wait_s": 0.0 if n else 9.0}
            for n in numbers
        ]
        servers = {"stock-0": arrivals}
        assert broken(seen, [], arrivals_by_server=servers) == ["BUDGET"]
        few = {"stock-0": arrivals[:3]}
        assert broken(seen, [], arrivals_by_server=few) == []
        cut = [Disturbance(101.0, 102.0)]
        found = broken(seen, [], arrivals_by_server=servers, disturbances=cut)
        assert found == []

    def test_a_server_of_an_evacuated_domain(self) -> None:
        evacuated = [Span(frozenset({"stock-0"}), 90.0, 100.0)]

        def check(sent_s: float, *faults: Disturbance) -> list[str]:
            arrival = {"request": "r-1", "at_s": sent_s + 0.05, "wait_s": 0.0}
            return broken(
                [make_seen(READ, sent_s=sent_s)],
                [],
                evacuations=evacuated,
                arrivals_by_server={"stock-0": [arrival]},
                disturbances=list(faults),
            )

        assert check(95.1) == ["EVACUATE"]
        assert check(94.9) == []
        assert check(100.1) == []
        assert check(95.1, Disturbance(92.0, 93.0)) == []
        assert check(95.1, Disturbance(92.0, 93.0, cuts_off=False)) == ["EVACUATE"]

    def test_a_cold_server_that_got_too_many(self) -> None:
        cold = [Span(frozenset({"stock-0"}), 90.0, 93.0)]

        def check(count: int, first_s: float, *faults: Disturbance) -> list[str]:
            times_s = {f"r-{n}": first_s + n * 0.04 for n in range(count)}
            arrivals = [
                {"request": request, "at_s": at_s, "wait_s": 0.0}
                for request, at_s in times_s.items()
            ]
            return broken(
                [
                    make_seen(READ, request=request, sent_s=at_s, answer={}, status=503)
                    for request, at_s in times_s.items()
                ],
                [],
                cold=cold,
                arrivals_by_server={"stock-0": arrivals},
                disturbances=list(faults),
            )

        assert check(18, 92.0) == ["COLD"]
        assert check(17, 92.0) == []
        assert check(18, 91.0) == []
        assert check(18, 93.0) == []
        assert check(18, 92.0, Disturbance(89.0, 91.0)) == []

    def test_a_planned_stop_that_cut_a_request(self) -> None:
        stop = Disturbance(99.0, 103.0, stopped="127.0.0.1:1")
        seen = make_seen(status=0)
        assert broken([seen], [make_run()], disturbances=[stop]) == ["LOST"]

    def test_a_request_that_a_stop_did_not_pass_on_may_be_sent_again(self) -> None:
        stop = Disturbance(99.0, 103.0, stopped="127.0.0.1:1")
        assert broken([make_seen(status=0)], [], disturbances=[stop]) == []

    def test_another_fault_beside_a_stop_excuses_it(self) -> None:
        stop = Disturbance(99.0, 103.0, stopped="127.0.0.1:1")
        other = Disturbance(99.0, 100.05, cuts_off=False)
        seen = make_seen(status=0)
        assert broken([seen], [make_run()], disturbances=[stop, other]) == []

    def test_a_stop_that_left_a_request_in_silence(self) -> None:
        stop = Disturbance(99.0, 103.0, stopped="127.0.0.1:1")
        crossed = make_seen(status=0, whole_s=100.0, ended_s=100.19)
        assert broken([crossed], [], disturbances=[stop]) == []
        late = attrs.evolve(crossed, ended_s=100.21)
        assert broken([late], [], disturbances=[stop]) == ["LOST"]
        behind = attrs.evolve(late, behind=True)
        assert broken([behind], [], disturbances=[stop]) == []
        incomplete = attrs.evolve(late, whole_s=0.0)
        assert broken([incomplete], [], disturbances=[stop]) == []
        found = broken([crossed], [], disturbances=[stop], reached={"r-1"})
        assert found == ["LOST"]

    def test_a_stop_that_replaced_an_answer(self) -> None:
        stop = Disturbance(99.0, 103.0, stopped="127.0.0.1:1")
        failed = make_seen(status=502, signed=False)
        assert broken([failed], [make_run()], disturbances=[stop]) == ["LOST"]
        assert broken([failed], [], disturbances=[stop]) == []
        signed = attrs.evolve(failed, signed=True)
        assert broken([signed], [make_run()], disturbances=[stop]) == []
        timed_out = attrs.evolve(failed, status=504, ended_s=102.0)
        assert broken([timed_out], [make_run()], disturbances=[stop]) == []

    def test_stops_of_other_instances_excuse_nothing(self) -> None:
        stops = [Disturbance(99.0, 103.0, stopped=f"127.0.0.1:{n}") for n in (1, 2)]
        seen = make_seen(status=0)
        assert broken([seen], [make_run()], disturbances=stops) == ["LOST"]

    def test_a_caller_that_pauses_beyond_the_grace(self) -> None:
        stop = Disturbance(99.0, 106.0, stopped="127.0.0.1:1")
        seen = make_seen(status=0, whole_s=100.0, ended_s=105.0, paused_until_s=104.0)
        assert broken([seen], [make_run()], disturbances=[stop]) == ["LOST"]
        beyond = attrs.evolve(seen, paused_until_s=105.1)
        assert broken([beyond], [make_run()], disturbances=[stop]) == []

    def test_connections_closed_amid_requests_without_a_fault(self) -> None:
        requests = [f"r-{n}" for n in range(4)]
        seen = [make_seen(request=each, status=0) for each in requests]
        runs = [make_run(request=each, path=f"/orders/{each}") for each in requests]
        assert broken(seen, runs) == ["LOST"] * 4
        assert broken(seen[:3], runs[:3]) == []
        left = [attrs.evolve(seen[0], left=True), *seen[1:]]
        assert broken(left, runs) == []
        fault = [Disturbance(99.0, 99.5, cuts_off=False)]
        assert broken(seen, runs, disturbances=fault) == []

    def test_too_few_served_after_the_faults(self) -> None:
        failed = [make_seen(status=503) for _ in range(3)]
        assert recovered(failed, 90.0) is not None
        assert recovered([make_seen()], 90.0) is None
