from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone

from gentianhitch.http_client import call
from tests.running import run_on_reactor


class _Response:
    """A response whose body comes in two parts and then ends."""

    code = 200

    def __init__(self, *, ends: bool) -> None:
        self._ends = ends
        self.reader: Any = None

    def deliverBody(self, reader: Any) -> None:  # noqa: N802
        self.reader = reader
        reader.dataReceived(b"two ")
        reader.dataReceived(b"parts")
        if self._ends:
            reader.connectionLost(Failure(ResponseDone()))


class _Agent:
    def __init__(self, response: _Response) -> None:
        self._response = response

    async def request(self, *_: object) -> _Response:
        return self._response


class TestCall:
    def test_reads_the_whole_body(self) -> None:
        agent = _Agent(_Response(ends=True))
        answer = run_on_reactor(call(agent, "GET", "http://127.0.0.1:1/"))
        assert (answer.status, answer.body) == (200, b"two parts")

    def test_a_body_that_ends_after_a_timeout_disturbs_nothing(self) -> None:
        # Cause: twisted's readBody raises AlreadyCalledError when a body ends after
        # its reading was cancelled; logs of a grown day were full of tracebacks.
        response = _Response(ends=False)
        coroutine = call(_Agent(response), "GET", "http://127.0.0.1:1/")
        waiting = coroutine.send(None)
        waiting.addErrback(lambda failure: failure.trap(CancelledError))
        waiting.cancel()
        response.reader.connectionLost(Failure(ResponseDone()))
        with pytest.raises(RuntimeError):
            coroutine.throw(RuntimeError())
