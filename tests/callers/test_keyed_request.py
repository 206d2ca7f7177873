"""Orders with an idempotency key, repeated here and at other instances."""

from __future__ import annotations

import attrs
import pytest

from gentianhitch.addresses import Address
from gentianhitch.decisions.idempotency import KeyOwnership
from gentianhitch.decisions.idempotency import OwnershipStatus
from tests.builders_path import KEY
from tests.builders_path import PathBench
from tests.builders_path import answer
from tests.builders_path import header_of
from tests.builders_path import order
from tests.builders_path import outcome_of
from tests.builders_path import status_of

PEER = Address("127.0.0.1", 4001)
OTHER = Address("127.0.0.1", 4002)
KEYED = order(Idempotency_Key="order-17")


@attrs.define
class FakeKeyOwners:
    ownership: KeyOwnership = KeyOwnership(OwnershipStatus.LOCAL)
    vouching: bool = False

    def locate(self, workspace, key, now):
        return self.ownership

    def confirms_not_run(self, workspace, key, now, *, for_fleet):
        return self.vouching


def build_bench(place=OwnershipStatus.LOCAL, vouching=False, **ownership):
    return PathBench(
        key_owners=FakeKeyOwners(KeyOwnership(place, **ownership), vouching)
    )


def relayed(mode):
    return order(Idempotency_Key="order-17", Gentianhitch_Relay=mode)


class TestHere:
    def test_repeat_gets_the_first_answer_again(self):
        bench = build_bench()
        caller, target = bench.sent(KEYED)
        assert header_of(target.received(), "Idempotency-Key") == "order-17"
        target.send(answer(b"order 17", "201 Created", X_Order="17"))
        caller.received()
        other = bench.caller()
        other.send(KEYED)
        got = other.received()
        assert (status_of(got), outcome_of(got)) == (201, None)
        assert header_of(got, "X-Order") == "17"
        assert header_of(got, "Gentianhitch-Replayed") == "yes"
        assert got.endswith(b"order 17")
        assert target.received() == b""

    def test_repeat_of_a_running_order_is_unknown(self):
        bench = build_bench()
        _, target = bench.sent(KEYED)
        other = bench.caller()
        other.send(KEYED)
        got = other.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert bench.reactor.dials == []

    def test_repeat_after_a_cut_is_never_written(self):
        bench = build_bench()
        caller, target = bench.sent(KEYED)
        target.close()
        assert outcome_of(caller.received()) == "unknown"
        caller.send(KEYED)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert bench.reactor.dials == []

    def test_repeat_after_the_caller_left_is_never_written(self):
        bench = build_bench()
        caller, _ = bench.sent(KEYED)
        caller.close()
        other = bench.caller()
        other.send(KEYED)
        assert outcome_of(other.received()) == "unknown"
        assert bench.reactor.dials == []

    def test_order_that_did_not_run_may_run(self):
        bench = build_bench()
        caller = bench.caller()
        caller.send(KEYED)
        bench.refuse()
        bench.refuse()
        assert outcome_of(caller.received()) == "not-run"
        caller.send(KEYED)
        assert bench.accept().received()

    def test_other_order_under_the_same_key(self):
        bench = build_bench()
        caller, target = bench.sent(KEYED)
        target.send(answer(b"done"))
        caller.received()
        caller.send(order(b"three pallets", Idempotency_Key="order-17"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")

    def test_large_answer_is_not_stored_but_its_status_is(self):
        bench = build_bench()
        caller, target = bench.sent(KEYED)
        target.send(answer(b"x" * 5000, "201 Created"))
        caller.received()
        caller.send(KEYED)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert b"201" in got.split(b"\r\n\r\n")[1]


class TestElsewhere:
    def test_order_goes_through_the_pinned_instance(self):
        here = build_bench(OwnershipStatus.REMOTE, address=PEER)
        there = build_bench()
        caller = here.caller()
        caller.send(KEYED)
        dial = here.reactor.dials.pop()
        assert dial.port == PEER.port
        link = dial.accept()
        far = there.caller()
        sent = link.received()
        assert header_of(sent, "Gentianhitch-Relay") == "run"
        far.send(sent)
        target = there.accept()
        assert KEY not in target.received()
        target.send(answer(b"order 17", "201 Created"))
        link.send(far.received())
        got = caller.received()
        assert status_of(got) == 201
        assert got.endswith(b"order 17")
        assert (here.limiter.taken, there.limiter.taken) == ([], ["nord"])
        caller.send(KEYED)
        far.send(link.received())
        link.send(far.received())
        assert header_of(caller.received(), "Gentianhitch-Replayed") == "yes"

    def test_refusal_of_the_pinned_instance_is_passed_on(self):
        here = build_bench(OwnershipStatus.REMOTE, address=PEER)
        caller, link = here.sent(KEYED)
        link.send(answer(b"{}", "429 Too Many", Gentianhitch_Outcome="not-run"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (429, "not-run")

    @pytest.mark.parametrize("connects", [True, False])
    def test_lost_instance_leaves_the_outcome_unknown(self, connects):
        here = build_bench(OwnershipStatus.REMOTE, address=PEER)
        caller = here.caller()
        caller.send(KEYED)
        if connects:
            here.accept().close()
        else:
            here.refuse()
        assert outcome_of(caller.received()) == "unknown"
        assert here.reactor.dials == []

    def test_relayed_order_is_not_relayed_again(self):
        bench = build_bench(OwnershipStatus.REMOTE, address=PEER)
        caller = bench.caller()
        caller.send(relayed("run"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (421, "unknown")
        assert header_of(got, "Gentianhitch-Address") == PEER
        assert header_of(got, "Gentianhitch-Vouches") is None
        assert bench.reactor.dials == []


class TestMoved:
    def test_order_that_may_have_run_elsewhere_is_refused(self):
        bench = build_bench(OwnershipStatus.MOVED)
        caller = bench.caller()
        caller.send(KEYED)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")
        assert bench.reactor.dials == []

    def test_order_runs_after_all_earlier_pins_vouch(self):
        bench = build_bench(OwnershipStatus.CONFIRM, peers_to_ask=(PEER, OTHER))
        caller = bench.caller()
        caller.send(KEYED)
        for address in (PEER, OTHER):
            dial = bench.reactor.dials.pop()
            assert dial.port == address.port
            link = dial.accept()
            assert header_of(link.received(), "Gentianhitch-Relay") == "own"
            link.send(answer(b"{}", "421 Misdirected", Gentianhitch_Vouches="yes"))
        target = bench.accept()
        assert target.received().endswith(b"two pallets")
        target.send(answer(b"done"))
        assert caller.received().endswith(b"done")
        assert bench.limiter.taken == ["nord"]
        caller.send(KEYED)
        assert caller.received().endswith(b"\r\n\r\ndone")

    def test_earlier_pin_that_knows_the_key_answers(self):
        bench = build_bench(OwnershipStatus.CONFIRM, peers_to_ask=(PEER,))
        caller, link = bench.sent(KEYED)
        link.send(answer(b"order 17", "201 Created", Gentianhitch_Replayed="yes"))
        assert header_of(caller.received(), "Gentianhitch-Replayed") == "yes"
        assert bench.reactor.dials == []

    def test_nobody_vouches(self):
        bench = build_bench(
            OwnershipStatus.CONFIRM, peers_to_ask=(PEER, OTHER), any_peer_suffices=True
        )
        caller = bench.caller()
        caller.send(KEYED)
        for _ in range(2):
            link = bench.accept()
            assert header_of(link.received(), "Gentianhitch-Relay") == "history"
            link.send(answer(b"{}", "421 Misdirected"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (409, "unknown")

    def test_lost_earlier_pin_leaves_the_outcome_unknown(self):
        bench = build_bench(OwnershipStatus.CONFIRM, peers_to_ask=(PEER,))
        caller = bench.caller()
        caller.send(KEYED)
        bench.refuse()
        assert outcome_of(caller.received()) == "unknown"

    def test_asked_instance_vouches_only_without_a_record(self):
        bench = build_bench(OwnershipStatus.REMOTE, address=PEER, vouching=True)
        caller = bench.caller()
        caller.send(relayed("own"))
        got = caller.received()
        assert header_of(got, "Gentianhitch-Vouches") == "yes"
        assert outcome_of(got) == "unknown"
        bench.path._context.key_owners.ownership = KeyOwnership(OwnershipStatus.LOCAL)
        caller.send(KEYED)
        bench.accept().send(answer(b"done"))
        caller.received()
        bench.path._context.key_owners.ownership = KeyOwnership(
            OwnershipStatus.REMOTE, PEER
        )
        caller.send(relayed("own"))
        got = caller.received()
        assert header_of(got, "Gentianhitch-Vouches") is None
        assert header_of(got, "Gentianhitch-Replayed") == "yes"

    def test_pin_that_moves_here_while_the_body_comes_still_pays(self):
        bench = build_bench(OwnershipStatus.REMOTE, address=PEER)
        caller = bench.caller()
        caller.send(KEYED[:-2])
        bench.path._context.key_owners.ownership = KeyOwnership(OwnershipStatus.LOCAL)
        caller.send(KEYED[-2:])
        assert bench.limiter.taken == ["nord"]
        assert bench.reactor.dials.pop().port == 2000
