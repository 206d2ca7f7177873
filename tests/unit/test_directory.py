from __future__ import annotations

import json
from typing import Any

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import Deferred

from gentianhitch.callers.directory import Directory
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.steering import CONNECTIONS_PER_TARGET
from gentianhitch.decisions.steering import choose_instances
from gentianhitch.decisions.steering import instance_count
from gentianhitch.instances.identity import Member
from tests.builders_fleet import make_document
from tests.builders_fleet import make_member

MEMBERS = [make_member(number) for number in range(44)]


class TestChooseInstances:
    @pytest.mark.parametrize(
        ("targets", "slots", "connections"),
        [(6, 6, 330), (10, 6, 330), (15, 4, 400), (6, 4, 400), (200, 6, 330)],
    )
    def test_connections_of_the_chosen_instances_fit_the_targets(
        self, targets: int, slots: int, connections: int
    ) -> None:
        document = make_document(targets=targets, slots=slots, connections=connections)
        chosen = choose_instances(document, "stock", MEMBERS)
        assert len(chosen) * CONNECTIONS_PER_TARGET < connections
        assert len({member.failure_domain for member in chosen}) == 3

    def test_losing_an_instance_replaces_only_that_one(self) -> None:
        document = make_document(targets=10)
        before = choose_instances(document, "stock", MEMBERS)
        remaining = [member for member in MEMBERS if member != before[0]]
        after = choose_instances(document, "stock", remaining)
        assert len(set(before) - set(after)) == 1

    def test_instances_in_the_requested_failure_domain_come_first(self) -> None:
        document = make_document(targets=10)
        domains = [
            member.failure_domain
            for member in choose_instances(document, "stock", MEMBERS, "domain-2")
        ]
        assert domains[0] == "domain-2"
        assert domains == sorted(domains, key=lambda domain: domain != "domain-2")

    def test_few_connections_limit_the_number_of_instances(self) -> None:
        document = make_document(targets=100, connections=20)
        assert instance_count(document.backend_servers) == 2


class TestDirectory:
    def query(
        self, query_string: str, live: list[Member] = MEMBERS, promoted: bool = True
    ) -> tuple[Any, dict[str, Any]]:
        members = {member.id.name: member for member in MEMBERS}
        state = AgreedState(1, members, make_document() if promoted else None)
        directory = Directory(lambda: state, lambda: live, lambda name: None)
        client = StubTreq(directory.app.resource())
        request = client.get(f"http://127.0.0.1/.gentianhitch/directory{query_string}")
        response = self.result_of(request)
        return response, json.loads(self.result_of(response.content()))

    def result_of(self, deferred: Deferred[Any]) -> Any:
        results: list[Any] = []
        deferred.addBoth(results.append)
        return results[0]

    def test_responds_with_addresses_and_max_age(self) -> None:
        response, body = self.query("?service=stock")
        assert response.code == 200
        assert set(body) == {"addresses", "max_age_s"}
        assert set(body["addresses"]) <= {str(member.callers) for member in MEMBERS}

    @pytest.mark.parametrize(
        ("query_string", "live", "promoted", "status"),
        [
            ("", MEMBERS, True, 400),
            ("?service=", MEMBERS, True, 400),
            ("?service=nothing", MEMBERS, True, 404),
            ("?service=stock", [], True, 503),
            ("?service=stock", MEMBERS, False, 503),
        ],
    )
    def test_refusals_are_marked_as_not_run(
        self, query_string: str, live: list[Member], promoted: bool, status: int
    ) -> None:
        response, _ = self.query(query_string, live, promoted)
        assert response.code == status
        assert response.headers.getRawHeaders("Gentianhitch-Outcome") == ["not-run"]
