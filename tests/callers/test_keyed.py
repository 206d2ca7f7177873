"""Orders with an idempotency key, repeated at this and at other instances."""

from __future__ import annotations

import attrs
import pytest

from gentianhitch.addresses import Address
from gentianhitch.decisions.idempotency import KeyOwnership
from gentianhitch.decisions.idempotency import OwnershipStatus
from tests.builders_path import KEY
from tests.builders_path import PathHarness
from tests.builders_path import header_of
from tests.builders_path import make_order
from tests.builders_path import make_response
from tests.builders_path import outcome_of
from tests.builders_path import status_of

PEER = Address("127.0.0.1", 4001)
OTHER = Address("127.0.0.1", 4002)
KEYED_ORDER = make_order(Idempotency_Key="order-17")


@attrs.define
class FakeKeyOwners:
    ownership: KeyOwnership = KeyOwnership(OwnershipStatus.LOCAL)
    confirms: bool = False

    def locate(self, workspace, key, now):
        return self.ownership

    def confirms_not_run(self, workspace, key, now, *, for_fleet):
        return self.confirms


def build_harness(status=OwnershipStatus.LOCAL, confirms=False, **ownership):
    return PathHarness(
        key_owners=FakeKeyOwners(KeyOwnership(status, **ownership), confirms)
    )


def make_relayed_order(mode):
    return make_order(Idempotency_Key="order-17", Gentianhitch_Relay=mode)


class TestLocalKey:
    def test_repeat_gets_the_stored_response(self):
        harness = build_harness()
        caller, target = harness.send_to_target(KEYED_ORDER)
        assert header_of(target.received(), "Idempotency-Key") == "order-17"
        target.send(make_response(b"order 17", "201 Created", X_Order="17"))
        caller.received()
        other = harness.caller()
        other.send(KEYED_ORDER)
        got = other.received()
        assert (status_of(got), outcome_of(got)) == (201, None)
        assert header_of(got, "X-Order") == "17"
        assert header_of(got, "Gentianhitch-Replayed") == "yes"
        assert got.endswith(b"order 17")
        assert target.received() == b""

    def test_repeat_of_a_running_order_is_unknown(self):
        harness = build_harness()
        _, target = harness.send_to_target(KEYED_ORDER)
        other = harness.caller()
        other.send(KEYED_ORDER)
        got = other.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert harness.reactor.connect_attempts == []

    def test_repeat_after_a_lost_connection_is_not_sent(self):
        harness = build_harness()
        caller, target = harness.send_to_target(KEYED_ORDER)
        target.close()
        assert outcome_of(caller.received()) == "unknown"
        caller.send(KEYED_ORDER)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert harness.reactor.connect_attempts == []

    def test_repeat_after_the_caller_disconnected_is_not_sent(self):
        harness = build_harness()
        caller, _ = harness.send_to_target(KEYED_ORDER)
        caller.close()
        other = harness.caller()
        other.send(KEYED_ORDER)
        assert outcome_of(other.received()) == "unknown"
        assert harness.reactor.connect_attempts == []

    def test_repeat_of_an_order_that_did_not_run_is_sent(self):
        harness = build_harness()
        caller = harness.caller()
        caller.send(KEYED_ORDER)
        harness.refuse()
        harness.refuse()
        assert outcome_of(caller.received()) == "not-run"
        caller.send(KEYED_ORDER)
        assert harness.accept().received()

    def test_different_order_with_the_same_key_is_refused(self):
        harness = build_harness()
        caller, target = harness.send_to_target(KEYED_ORDER)
        target.send(make_response(b"done"))
        caller.received()
        caller.send(make_order(b"three pallets", Idempotency_Key="order-17"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")

    def test_large_response_is_not_stored_but_its_status_is(self):
        harness = build_harness()
        caller, target = harness.send_to_target(KEYED_ORDER)
        target.send(make_response(b"x" * 5000, "201 Created"))
        caller.received()
        caller.send(KEYED_ORDER)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert b"201" in got.split(b"\r\n\r\n")[1]


class TestRemoteKey:
    def test_order_is_relayed_to_the_key_owner(self):
        local = build_harness(OwnershipStatus.REMOTE, address=PEER)
        remote = build_harness()
        caller = local.caller()
        caller.send(KEYED_ORDER)
        attempt = local.reactor.connect_attempts.pop()
        assert attempt.port == PEER.port
        link = attempt.accept()
        remote_caller = remote.caller()
        sent = link.received()
        assert header_of(sent, "Gentianhitch-Relay") == "run"
        remote_caller.send(sent)
        target = remote.accept()
        assert KEY not in target.received()
        target.send(make_response(b"order 17", "201 Created"))
        link.send(remote_caller.received())
        got = caller.received()
        assert status_of(got) == 201
        assert got.endswith(b"order 17")
        assert (local.limiter.taken, remote.limiter.taken) == ([], ["nord"])
        caller.send(KEYED_ORDER)
        remote_caller.send(link.received())
        link.send(remote_caller.received())
        assert header_of(caller.received(), "Gentianhitch-Replayed") == "yes"

    def test_refusal_of_the_key_owner_is_forwarded(self):
        local = build_harness(OwnershipStatus.REMOTE, address=PEER)
        caller, link = local.send_to_target(KEYED_ORDER)
        link.send(make_response(b"{}", "429 Too Many", Gentianhitch_Outcome="not-run"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (429, "not-run")

    @pytest.mark.parametrize("connects", [True, False])
    def test_unreachable_owner_leaves_the_outcome_unknown(self, connects):
        local = build_harness(OwnershipStatus.REMOTE, address=PEER)
        caller = local.caller()
        caller.send(KEYED_ORDER)
        if connects:
            local.accept().close()
        else:
            local.refuse()
        assert outcome_of(caller.received()) == "unknown"
        assert local.reactor.connect_attempts == []

    def test_relayed_order_is_not_relayed_again(self):
        harness = build_harness(OwnershipStatus.REMOTE, address=PEER)
        caller = harness.caller()
        caller.send(make_relayed_order("run"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (421, "unknown")
        assert header_of(got, "Gentianhitch-Address") == PEER
        assert header_of(got, "Gentianhitch-Vouches") is None
        assert harness.reactor.connect_attempts == []


class TestMovedKey:
    def test_order_that_may_have_run_elsewhere_is_refused(self):
        harness = build_harness(OwnershipStatus.MOVED)
        caller = harness.caller()
        caller.send(KEYED_ORDER)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert harness.reactor.connect_attempts == []

    def test_order_runs_once_all_earlier_owners_confirm_that_it_did_not(self):
        harness = build_harness(OwnershipStatus.CONFIRM, peers_to_ask=(PEER, OTHER))
        caller = harness.caller()
        caller.send(KEYED_ORDER)
        for address in (PEER, OTHER):
            attempt = harness.reactor.connect_attempts.pop()
            assert attempt.port == address.port
            link = attempt.accept()
            assert header_of(link.received(), "Gentianhitch-Relay") == "own"
            link.send(
                make_response(b"{}", "421 Misdirected", Gentianhitch_Vouches="yes")
            )
        target = harness.accept()
        assert target.received().endswith(b"two pallets")
        target.send(make_response(b"done"))
        assert caller.received().endswith(b"done")
        assert harness.limiter.taken == ["nord"]
        caller.send(KEYED_ORDER)
        assert caller.received().endswith(b"\r\n\r\ndone")

    def test_response_stored_by_an_earlier_owner_is_forwarded(self):
        harness = build_harness(OwnershipStatus.CONFIRM, peers_to_ask=(PEER,))
        caller, link = harness.send_to_target(KEYED_ORDER)
        link.send(
            make_response(b"order 17", "201 Created", Gentianhitch_Replayed="yes")
        )
        assert header_of(caller.received(), "Gentianhitch-Replayed") == "yes"
        assert harness.reactor.connect_attempts == []

    def test_order_is_refused_if_no_queried_instance_confirms(self):
        harness = build_harness(
            OwnershipStatus.CONFIRM, peers_to_ask=(PEER, OTHER), any_peer_suffices=True
        )
        caller = harness.caller()
        caller.send(KEYED_ORDER)
        for _ in range(2):
            link = harness.accept()
            assert header_of(link.received(), "Gentianhitch-Relay") == "history"
            link.send(make_response(b"{}", "421 Misdirected"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")

    def test_unreachable_earlier_owner_leaves_the_outcome_unknown(self):
        harness = build_harness(OwnershipStatus.CONFIRM, peers_to_ask=(PEER,))
        caller = harness.caller()
        caller.send(KEYED_ORDER)
        harness.refuse()
        assert outcome_of(caller.received()) == "unknown"

    def test_queried_instance_confirms_only_without_a_record(self):
        harness = build_harness(OwnershipStatus.REMOTE, address=PEER, confirms=True)
        caller = harness.caller()
        caller.send(make_relayed_order("own"))
        got = caller.received()
        assert header_of(got, "Gentianhitch-Vouches") == "yes"
        assert outcome_of(got) == "unknown"
        harness.path._context.key_owners.ownership = KeyOwnership(OwnershipStatus.LOCAL)
        caller.send(KEYED_ORDER)
        harness.accept().send(make_response(b"done"))
        caller.received()
        harness.path._context.key_owners.ownership = KeyOwnership(
            OwnershipStatus.REMOTE, PEER
        )
        caller.send(make_relayed_order("own"))
        got = caller.received()
        assert header_of(got, "Gentianhitch-Vouches") is None
        assert header_of(got, "Gentianhitch-Replayed") == "yes"

    def test_order_whose_key_moves_here_during_the_body_takes_a_token(self):
        harness = build_harness(OwnershipStatus.REMOTE, address=PEER)
        caller = harness.caller()
        caller.send(KEYED_ORDER[:-2])
        harness.path._context.key_owners.ownership = KeyOwnership(OwnershipStatus.LOCAL)
        caller.send(KEYED_ORDER[-2:])
        assert harness.limiter.taken == ["nord"]
        assert harness.reactor.connect_attempts.pop().port == 2000
