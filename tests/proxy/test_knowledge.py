from __future__ import annotations

from gentianhitch.proxy.knowledge import RETURN_S
from gentianhitch.proxy.knowledge import Knowledge
from tests.builders_proxy import make_peer
from tests.builders_proxy import make_server
from tests.builders_proxy import make_view

HEARTBEAT_S = 1.5


class TestProof:
    def test_age_counts_from_the_start_of_the_read(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5), began_s=10.0, now=10.4)
        assert knowledge.age_s(11.0) == 1.0

    def test_a_peer_with_the_same_view_proves_it(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        view = make_view(5)
        knowledge.learn_read(view, 10.0, 10.0)
        assert knowledge.confirm(view.digest, 12.0)
        assert knowledge.age_s(12.5) == 0.5

    def test_a_peer_with_another_view_proves_nothing(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5), 10.0, 10.0)
        assert not knowledge.confirm(make_view(6, make_server()).digest, 12.0)
        assert knowledge.age_s(12.0) == 2.0

    def test_an_older_proof_does_not_step_back(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        view = make_view(5)
        knowledge.learn_read(view, 10.0, 10.0)
        knowledge.confirm(view.digest, 9.0)
        assert knowledge.proved_s == 10.0


class TestViews:
    def test_an_older_view_is_dropped(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(6, make_server()), 10.0, 10.0)
        assert knowledge.learn_read(make_view(5), 11.0, 11.0) is None
        assert set(knowledge.servers_by_id) == {"s-1"}

    def test_the_configuration_never_steps_back(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(6, configuration_revision=4), 10.0, 10.0)
        knowledge.learn_read(make_view(7, configuration_revision=3), 11.0, 11.0)
        assert knowledge.view is not None
        assert knowledge.view.configuration_revision == 4

    def test_a_restart_under_the_same_id_is_another_server(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5, make_server()), 10.0, 10.0)
        change = knowledge.learn_read(
            make_view(6, make_server(started_ms=2_000)), 10.5, 10.5
        )
        assert change is not None
        assert len(change.added) == len(change.removed) == 1


class TestOutages:
    def test_entries_that_lapsed_in_an_outage_are_kept_until_they_are_due(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        view = make_view(5, make_server(), peers=(make_peer("e-1"),))
        knowledge.learn_read(view, 10.0, 10.0)
        knowledge.learn_read(make_view(9), began_s=16.0, now=16.0)
        assert set(knowledge.servers_by_id) == {"s-1"}
        assert set(knowledge.peers_by_name) == {"e-1"}
        assert knowledge.expire(16.0 + RETURN_S - 0.01) is None
        change = knowledge.expire(16.0 + RETURN_S)
        assert change is not None
        assert [server.id for server in change.removed] == ["s-1"]
        assert not knowledge.servers_by_id
        assert not knowledge.peers_by_name

    def test_an_entry_that_goes_without_an_outage_is_gone(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5, make_server()), 10.0, 10.0)
        knowledge.learn_read(make_view(6), 10.5, 10.5)
        assert not knowledge.servers_by_id

    def test_a_server_that_left_while_this_instance_heard_nothing_is_gone(self) -> None:
        # Cause: readers that were cut off made proofs 1.6 s late, which passed for an
        # outage of the store; a server that had left got requests for 2 s more.
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5, make_server()), 10.0, 10.0)
        knowledge.learn_read(make_view(6), 11.6, 11.6)
        assert not knowledge.servers_by_id

    def test_a_server_that_came_back_and_left_is_gone(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5, make_server()), 10.0, 10.0)
        knowledge.learn_read(make_view(9), 16.0, 16.0)
        knowledge.learn_read(make_view(10, make_server()), 16.5, 16.5)
        knowledge.learn_read(make_view(11), 17.0, 17.0)
        assert not knowledge.servers_by_id

    def test_a_draining_server_is_not_kept(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn_read(make_view(5, make_server(draining=True)), 10.0, 10.0)
        knowledge.learn_read(make_view(9), 16.0, 16.0)
        assert not knowledge.servers_by_id

    # Guards against requests to servers that have left, when an instance took a gap in
    # its own proofs, such as transfers that failed, for an outage of the store.
    def test_a_gap_of_this_instance_alone_is_no_outage(self) -> None:
        knowledge = Knowledge(HEARTBEAT_S)
        knowledge.learn(make_view(5, make_server()), 10.0)
        knowledge.learn(make_view(9), 16.0)
        assert not knowledge.servers_by_id

    # Guards against servers that vanish for the others while a reader expects them
    # back after an outage of the store.
    def test_others_keep_what_a_reader_keeps(self) -> None:
        reader, other = Knowledge(HEARTBEAT_S), Knowledge(HEARTBEAT_S)
        for knowledge in (reader, other):
            knowledge.learn_read(make_view(5, make_server()), 10.0, 10.0)
        reader.learn_read(make_view(9), 16.0, 16.0)
        assert reader.view is not None
        other.learn(reader.view, 16.0)
        assert set(other.servers_by_id) == {"s-1"}
        assert other.confirm(reader.view.digest, 16.1)
