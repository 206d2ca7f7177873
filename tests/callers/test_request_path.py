"""Requests through the complete path, and refusals before anything is sent."""

from __future__ import annotations

import json

import pytest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.settings import LimitSettings
from tests.builders_path import KEY
from tests.builders_path import PathHarness
from tests.builders_path import build_document
from tests.builders_path import header_of
from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.builders_path import make_response
from tests.builders_path import outcome_of
from tests.builders_path import request_id_of
from tests.builders_path import status_of


class TestCompleteRequest:
    def test_responses_are_returned_and_connections_reused(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        for body in (b"one", b"two"):
            sent = target.received()
            assert sent.startswith(b"GET /stock/1 HTTP/1.1\r\n")
            target.send(make_response(body))
            got = caller.received()
            assert status_of(got) == 200
            assert got.endswith(b"\r\n\r\n" + body)
            assert request_id_of(got) == request_id_of(sent)
            caller.send(make_request())
        assert harness.reactor.connect_attempts == []
        assert harness.selector.outcomes == ["ok", "ok"]

    def test_key_and_hop_by_hop_headers_are_not_forwarded(self):
        harness = PathHarness()
        _, target = harness.send_to_target(
            make_request(
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
        harness = PathHarness()
        _, target = harness.send_to_target(make_request(path="/prices"))
        sent = target.received()
        assert KEY not in sent
        assert header_of(sent, "Gentianhitch-Workspace") is None
        assert harness.limiter.taken == []

    def test_body_is_complete_before_it_is_sent(self):
        harness = PathHarness()
        caller = harness.caller()
        data = make_order(b"two pallets")
        caller.send(data[:-3])
        assert harness.reactor.connect_attempts == []
        caller.send(data[-3:])
        target = harness.accept()
        assert target.received().endswith(b"\r\n\r\ntwo pallets")
        target.send(make_response(b"done", status="201 Created"))
        assert status_of(caller.received()) == 201

    def test_pipelined_requests_get_responses_in_order(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(
            make_request(path="/stock/1") + make_request(path="/stock/2")
        )
        assert b"/stock/1" in target.received()
        target.send(make_response(b"first"))
        assert b"/stock/2" in target.received()
        target.send(make_response(b"second"))
        got = caller.received()
        assert got.index(b"first") < got.index(b"second")

    def test_request_without_token_waits_for_one(self):
        harness = PathHarness()
        harness.limiter.verdicts = [TokenVerdict.WAIT, TokenVerdict.ADMITTED]
        caller = harness.caller()
        caller.send(make_request())
        assert harness.reactor.connect_attempts == []
        harness.limiter.resolve()
        assert len(harness.reactor.connect_attempts) == 1

    def test_token_granted_after_the_caller_disconnected_sends_nothing(self):
        harness = PathHarness()
        harness.limiter.verdicts = [TokenVerdict.WAIT, TokenVerdict.ADMITTED]
        caller = harness.caller()
        caller.send(make_request())
        caller.close()
        harness.limiter.resolve()
        assert harness.reactor.connect_attempts == []

    def test_continue_is_sent_once_the_request_is_admitted(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(
            make_order(Expect="100-continue").split(b"\r\n\r\n")[0] + b"\r\n\r\n"
        )
        assert caller.received() == b"HTTP/1.1 100 Continue\r\n\r\n"


MALFORMED = {
    "garbage": (b"nonsense\r\n\r\n", 404),
    "bare line feed": (b"GET /stock/1 HTTP/1.1\nHost: x\r\n\r\n", 400),
    "two lengths": (make_order(Content_length="11"), 400),
    "length and chunks": (make_order(Transfer_Encoding="chunked"), 400),
    "negative length": (make_request("POST", "/orders", Content_Length="-1"), 400),
    "unknown coding": (make_request("POST", "/orders", Transfer_Encoding="gzip"), 400),
    "folded header": (make_request(A="b\r\n c"), 400),
    "space before colon": (b"GET /stock/1 HTTP/1.1\r\nA : b\r\n\r\n", 400),
    "old version": (b"GET /stock/1 HTTP/1.0\r\n\r\n", 505),
    "dot segment": (make_request(path="/stock/../orders"), 400),
    "encoded dot segment": (make_request(path="/stock/%2e%2e/orders"), 400),
    "encoded slash": (make_request(path="/stock/..%2forders"), 400),
    "empty segment": (make_request(path="//stock/1"), 400),
    "bad chunk": (
        make_request("POST", "/orders", Transfer_Encoding="chunked") + b"zz\r\n",
        400,
    ),
    "bad request id": (make_request(X_Request_Id="a b"), 400),
    "bad deadline": (make_request(Gentianhitch_Deadline_Ms="soon"), 400),
    "past deadline": (make_request(Gentianhitch_Deadline_Ms="0"), 504),
    "unknown route": (make_request(path="/nowhere"), 404),
    "unknown method": (b"BREW /stock/1 HTTP/1.1\r\n\r\n", 404),
    "no key": (make_request(key=None), 401),
    "bad key": (make_request(key=b"other"), 401),
    "two keys": (make_request(Authorization="Bearer key-of-nord"), 401),
    "large head": (make_request(A="x" * 20_000), 431),
    "endless head": (b"GET /" + b"x" * 20_000, 431),
    "declared large body": (make_order(Content_Length="9000000", body=b""), 413),
    "upgrade with body": (make_order(Connection="Upgrade", Upgrade="h2c"), 400),
}


class TestRefusals:
    @pytest.mark.parametrize("name", MALFORMED)
    def test_bad_input_is_refused_as_not_run(self, name):
        data, status = MALFORMED[name]
        harness = PathHarness()
        caller = harness.caller()
        caller.send(data)
        got = caller.received()
        assert status_of(got) == status
        assert outcome_of(got) == "not-run"
        assert json.loads(got.split(b"\r\n\r\n", 1)[1])["advice"]
        assert KEY not in got
        assert harness.reactor.connect_attempts == []
        assert any(count.startswith("refusals.") for count in harness.counts)

    def test_body_shorter_than_declared(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order(b"abc", Content_Length="10"))
        caller.protocol.readConnectionLost()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (400, "not-run")
        assert caller.is_closed
        assert harness.reactor.connect_attempts == []

    def test_incomplete_body_times_out(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order(b"abc", Content_Length="10"))
        harness.reactor.pump([0.5] * 3)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "not-run")

    def test_large_chunked_body(self):
        harness = PathHarness(limits=LimitSettings(max_body_bytes=100))
        caller = harness.caller()
        head = make_request("POST", "/orders", Transfer_Encoding="chunked")
        caller.send(head + b"80\r\n" + b"x" * 128)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (413, "not-run")

    def test_over_rate(self):
        harness = PathHarness()
        harness.limiter.verdicts = [TokenVerdict.REFUSED]
        caller = harness.caller()
        caller.send(make_request())
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (429, "not-run")
        assert header_of(got, "Retry-After") == "2"

    def test_not_fresh(self):
        harness = PathHarness()
        harness.agreement.fresh = False
        caller = harness.caller()
        caller.send(make_request())
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    def test_no_capacity(self):
        harness = PathHarness()
        harness.selector.targets = ()
        caller = harness.caller()
        caller.send(make_request())
        harness.reactor.advance(2)
        got = caller.received()
        assert status_of(got) in (503, 504)
        assert outcome_of(got) == "not-run"

    def test_withdrawn_key_is_refused_as_soon_as_one_state_lacks_it(self):
        harness = PathHarness()
        with_key = AgreedState(1, {}, build_document())
        without = AgreedState(2, {}, build_document(keys=()))
        for states in ((with_key, without), (without, with_key)):
            harness.agreement.states = states
            caller = harness.caller()
            caller.send(make_request())
            assert status_of(caller.received()) == 401
        assert harness.reactor.connect_attempts == []

    def test_connection_survives_a_refusal_without_body(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_request(path="/nowhere"))
        assert status_of(caller.received()) == 404
        caller.send(make_request())
        assert len(harness.reactor.connect_attempts) == 1
