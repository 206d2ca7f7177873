"""A request through the whole path, and every refusal before it is sent."""

from __future__ import annotations

import json

import pytest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.settings import LimitSettings
from tests.builders_path import KEY
from tests.builders_path import PathBench
from tests.builders_path import answer
from tests.builders_path import build_document
from tests.builders_path import header_of
from tests.builders_path import order
from tests.builders_path import outcome_of
from tests.builders_path import request
from tests.builders_path import request_id_of
from tests.builders_path import status_of


class TestWholeRequest:
    def test_answer_comes_back_and_connections_are_reused(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        for body in (b"one", b"two"):
            sent = target.received()
            assert sent.startswith(b"GET /stock/1 HTTP/1.1\r\n")
            target.send(answer(body))
            got = caller.received()
            assert status_of(got) == 200
            assert got.endswith(b"\r\n\r\n" + body)
            assert request_id_of(got) == request_id_of(sent)
            caller.send(request())
        assert bench.reactor.dials == []
        assert bench.selector.outcomes == ["ok", "ok"]

    def test_key_and_hop_by_hop_headers_stay_here(self):
        bench = PathBench()
        _, target = bench.sent(
            request(
                Connection="X-Secret",
                X_Secret="1",
                Gentianhitch_Workspace="other",
                Accept="text/plain",
                X_Request_Id="abc",
            )
        )
        sent = target.received()
        assert KEY not in sent
        assert b"X-Secret" not in sent
        assert header_of(sent, "Gentianhitch-Workspace") == "nord"
        assert header_of(sent, "Gentianhitch-Deadline-Ms") == "1000"
        assert header_of(sent, "Accept") == "text/plain"
        assert request_id_of(sent) == "abc"

    def test_open_route_needs_no_key_and_forwards_none(self):
        bench = PathBench()
        _, target = bench.sent(request(path="/prices"))
        sent = target.received()
        assert KEY not in sent
        assert header_of(sent, "Gentianhitch-Workspace") is None
        assert bench.limiter.taken == []

    def test_body_is_complete_before_it_is_sent(self):
        bench = PathBench()
        caller = bench.caller()
        whole = order(b"two pallets")
        caller.send(whole[:-3])
        assert bench.reactor.dials == []
        caller.send(whole[-3:])
        target = bench.accept()
        assert target.received().endswith(b"\r\n\r\ntwo pallets")
        target.send(answer(b"done", status="201 Created"))
        assert status_of(caller.received()) == 201

    def test_pipelined_requests_are_answered_in_order(self):
        bench = PathBench()
        caller, target = bench.sent(request(path="/stock/1") + request(path="/stock/2"))
        assert b"/stock/1" in target.received()
        target.send(answer(b"first"))
        assert b"/stock/2" in target.received()
        target.send(answer(b"second"))
        got = caller.received()
        assert got.index(b"first") < got.index(b"second")

    def test_request_without_token_waits_for_one(self):
        bench = PathBench()
        bench.limiter.verdicts = [TokenVerdict.WAIT, TokenVerdict.ADMITTED]
        caller = bench.caller()
        caller.send(request())
        assert bench.reactor.dials == []
        bench.limiter.answer()
        assert len(bench.reactor.dials) == 1

    def test_token_after_the_caller_has_gone_sends_nothing(self):
        bench = PathBench()
        bench.limiter.verdicts = [TokenVerdict.WAIT, TokenVerdict.ADMITTED]
        caller = bench.caller()
        caller.send(request())
        caller.close()
        bench.limiter.answer()
        assert bench.reactor.dials == []

    def test_expect_continue_is_answered_once_admitted(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(Expect="100-continue").split(b"\r\n\r\n")[0] + b"\r\n\r\n")
        assert caller.received() == b"HTTP/1.1 100 Continue\r\n\r\n"


MALFORMED = {
    "garbage": (b"nonsense\r\n\r\n", 404),
    "bare line feed": (b"GET /stock/1 HTTP/1.1\nHost: x\r\n\r\n", 400),
    "two lengths": (order(Content_length="11"), 400),
    "length and chunks": (order(Transfer_Encoding="chunked"), 400),
    "negative length": (request("POST", "/orders", Content_Length="-1"), 400),
    "unknown coding": (request("POST", "/orders", Transfer_Encoding="gzip"), 400),
    "folded header": (request(A="b\r\n c"), 400),
    "space before colon": (b"GET /stock/1 HTTP/1.1\r\nA : b\r\n\r\n", 400),
    "old version": (b"GET /stock/1 HTTP/1.0\r\n\r\n", 505),
    "dot segment": (request(path="/stock/../orders"), 400),
    "encoded dot segment": (request(path="/stock/%2e%2e/orders"), 400),
    "encoded slash": (request(path="/stock/..%2forders"), 400),
    "empty segment": (request(path="//stock/1"), 400),
    "bad chunk": (
        request("POST", "/orders", Transfer_Encoding="chunked") + b"zz\r\n",
        400,
    ),
    "bad request id": (request(X_Request_Id="a b"), 400),
    "bad deadline": (request(Gentianhitch_Deadline_Ms="soon"), 400),
    "past deadline": (request(Gentianhitch_Deadline_Ms="0"), 504),
    "unknown route": (request(path="/nowhere"), 404),
    "unknown method": (b"BREW /stock/1 HTTP/1.1\r\n\r\n", 404),
    "no key": (request(key=None), 401),
    "bad key": (request(key=b"other"), 401),
    "two keys": (request(Authorization="Bearer key-of-nord"), 401),
    "large head": (request(A="x" * 20_000), 431),
    "endless head": (b"GET /" + b"x" * 20_000, 431),
    "declared large body": (order(Content_Length="9000000", body=b""), 413),
    "upgrade with body": (order(Connection="Upgrade", Upgrade="h2c"), 400),
}


class TestRefusals:
    @pytest.mark.parametrize("name", MALFORMED)
    def test_bad_input_is_refused_as_not_run(self, name):
        data, status = MALFORMED[name]
        bench = PathBench()
        caller = bench.caller()
        caller.send(data)
        got = caller.received()
        assert status_of(got) == status
        assert outcome_of(got) == "not-run"
        assert json.loads(got.split(b"\r\n\r\n", 1)[1])["advice"]
        assert KEY not in got
        assert bench.reactor.dials == []
        assert any(count.startswith("refusals.") for count in bench.counts)

    def test_body_shorter_than_declared(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(b"abc", Content_Length="10"))
        caller.protocol.readConnectionLost()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (400, "not-run")
        assert caller.is_closed
        assert bench.reactor.dials == []

    def test_pausing_body_times_out(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(b"abc", Content_Length="10"))
        bench.reactor.pump([0.5] * 3)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "not-run")

    def test_large_chunked_body(self):
        bench = PathBench(limits=LimitSettings(max_body_bytes=100))
        caller = bench.caller()
        head = request("POST", "/orders", Transfer_Encoding="chunked")
        caller.send(head + b"80\r\n" + b"x" * 128)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (413, "not-run")

    def test_over_rate(self):
        bench = PathBench()
        bench.limiter.verdicts = [TokenVerdict.REFUSED]
        caller = bench.caller()
        caller.send(request())
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (429, "not-run")
        assert header_of(got, "Retry-After") == "2"

    def test_not_fresh(self):
        bench = PathBench()
        bench.agreement.fresh = False
        caller = bench.caller()
        caller.send(request())
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    def test_no_capacity(self):
        bench = PathBench()
        bench.selector.targets = ()
        caller = bench.caller()
        caller.send(request())
        bench.reactor.advance(2)
        got = caller.received()
        assert status_of(got) in (503, 504)
        assert outcome_of(got) == "not-run"

    def test_withdrawn_key_is_refused_as_soon_as_one_state_lacks_it(self):
        bench = PathBench()
        with_key = AgreedState(1, {}, build_document())
        without = AgreedState(2, {}, build_document(keys=()))
        for states in ((with_key, without), (without, with_key)):
            bench.agreement.states = states
            caller = bench.caller()
            caller.send(request())
            assert status_of(caller.received()) == 401
        assert bench.reactor.dials == []

    def test_connection_survives_a_refusal_without_body(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(request(path="/nowhere"))
        assert status_of(caller.received()) == 404
        caller.send(request())
        assert len(bench.reactor.dials) == 1
