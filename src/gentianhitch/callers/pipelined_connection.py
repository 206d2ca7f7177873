"""Caller connections with HTTP/1.1 pipelining."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import attrs
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from gentianhitch.arrived import read_arrived
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.complete_requests import CompleteRequestReader
from gentianhitch.callers.connection_ends import EndedConnection
from gentianhitch.callers.connection_ends import EndReason
from gentianhitch.callers.connection_ends import reason_of_loss
from gentianhitch.callers.delivery import undelivered_bytes
from gentianhitch.callers.delivery import unsent_bytes
from gentianhitch.callers.encoding import CONTINUE
from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.callers.served_exchange import Exchange
from gentianhitch.silence import SilenceWatch
from gentianhitch.socket_options import watch_for_silence
from gentianhitch.writing import end_at_once
from gentianhitch.writing import write_at_once

if TYPE_CHECKING:
    from gentianhitch.callers.caller_factory import CallerFactory

MAX_PIPELINED_REQUESTS = 64
"""Pending responses of one connection at which reading pauses."""

MAX_PIPELINED_BYTES = 1_000_000
"""Bodies of a connection's pending requests at which reading pauses."""

LINGER_S = 1.0
"""A closing connection is reset so long after its last byte has been delivered."""

BODY_LINGER_S = 0.25
"""The same where the rest of a body is not read: up to a receive window of it crosses
the link meanwhile. Longer than a round trip between failure domains."""

MAX_UNDELIVERED_IDS = 16
"""Ids kept of responses that are being delivered, for the log."""

FIRST_REQUEST_S = 0.5
"""A stop waits so long for the first request on a new connection."""

IDLE_MARGIN_S = 1.0
"""Callers reuse a connection until just before the idle limit."""


Serve = Callable[[CallerRequest, "PendingResponse"], Exchange]


@attrs.define(eq=False)
class PendingResponse:
    """A response that is sent once those to earlier requests have been sent."""

    _connection: PipelinedConnection
    request: CallerRequest | None
    data: bytes | None = None
    closes_connection: bool = False
    exchange: Exchange | None = None

    def send(self, data: bytes) -> None:
        """Set the encoded response and write it when it is next in order.

        Later calls have no effect.
        """
        if self.data is None:
            self.closes_connection = self.will_close
            self.data = data
            self._connection.flush()
            self._connection.update_buffered()

    @property
    def request_bytes(self) -> int:
        """Return the size of the request's body."""
        return 0 if self.request is None else len(self.request.body)

    @property
    def will_close(self) -> bool:
        """Return whether the connection is closed after this response."""
        return self._connection.ends_with(self)


class PipelinedConnection(Protocol):
    """Serves one caller's requests concurrently; responses keep the request order.

    Whatever the reason, the response that closes the connection is the last of those
    whose requests were served: callers send requests behind it again, orders too.
    """

    transport: Any = None

    def __init__(self, factory: CallerFactory) -> None:
        self._factory = factory
        self._reader = CompleteRequestReader(
            factory.names, factory.limits(), factory.check_body
        )
        self._pending_responses: deque[PendingResponse] = deque()
        self._is_last_read = False
        self._is_closing = False
        self._is_paused = False
        self._leaves_body = False
        self._is_lost = False
        self._made_s = self._last_active_s = factory.seconds()
        self._has_received = False
        self._is_delivering = False
        self._undelivered_bytes = 0
        self._undelivered_ids: deque[bytes] = deque(maxlen=MAX_UNDELIVERED_IDS)
        self._end_reason: EndReason | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Enable keepalive probes and register the connection for timeouts."""
        self.transport.setTcpNoDelay(True)
        watch_for_silence(self.transport)
        self._silence = SilenceWatch(self.transport)
        self._silence.start()
        self._factory.connections.add(self)

    @property
    def _accepts_requests(self) -> bool:
        """Return whether a request that arrives now is served."""
        if self._is_closing or self._is_last_read:
            return False
        return not (self._factory.is_leaving and self._pending_responses)

    def ends_with(self, response: PendingResponse) -> bool:
        """Return whether the connection is closed after ``response``."""
        pending = self._pending_responses
        is_last = bool(pending) and pending[-1] is response
        return is_last and not self._accepts_requests

    @property
    def is_serving(self) -> bool:
        """Return whether a request is being read or served."""
        return bool(self._pending_responses) or self._reader.is_amid_request

    @property
    def is_busy(self) -> bool:
        """Return whether a request is expected or served, or a response delivered."""
        if self.is_serving or self._count_undelivered() > 0:
            return True
        return not self._is_closing and self._awaits_first_request

    @property
    def _awaits_first_request(self) -> bool:
        if self._has_received:
            return False
        return self._factory.seconds() - self._made_s < FIRST_REQUEST_S

    def _count_undelivered(self) -> int:
        # The kernel is asked only after a write.
        count = undelivered_bytes(self.transport) if self._is_delivering else 0
        self._is_delivering = count > 0
        if not count:
            self._undelivered_ids.clear()
        return count

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests and start serving each of them at once."""
        if not self._accepts_requests:
            self._is_last_read = True
            return
        self._has_received = True
        self._last_active_s = self._factory.seconds()
        requests, error = self._reader.feed(data)
        for request in requests:
            if not self._accepts_requests:
                self._is_last_read = True
                return
            self._serve(request)
        if self._is_closing:
            return
        if error is not None:
            self._refuse(error)
        elif self._reader.awaits_continue and not self._pending_responses:
            self._reader.awaits_continue = False
            self.transport.write(CONTINUE)
        if self._has_many_pending:
            self._pause()
        self.update_buffered()

    @property
    def _has_many_pending(self) -> bool:
        pending = self._pending_responses
        if len(pending) >= MAX_PIPELINED_REQUESTS:
            return True
        size_bytes = sum(each.request_bytes for each in pending)
        # While reading is paused, it isn't seen that a caller leaves.
        return len(pending) > 1 and size_bytes >= MAX_PIPELINED_BYTES

    def update_buffered(self) -> None:
        """Count what this connection buffers; its buffer may be dropped for it."""
        if self._is_lost:
            return
        pending = self._pending_responses
        waiting = sum(len(each.data) for each in pending if each.data is not None)
        self._factory.buffers.set_size(
            self,
            self._reader.buffered_bytes + waiting + unsent_bytes(self.transport),
            sum(each.request_bytes for each in pending),
        )

    def drop_buffer(self) -> None:
        """Refuse an incomplete request, or reset the connection of a slow reader."""
        if self._reader.buffered_bytes:
            self._refuse(RequestError(Cause.NO_MEMORY))
        else:
            self._abort(EndReason.NO_MEMORY)

    def _abort(self, reason: EndReason) -> None:
        self._undelivered_bytes = self._count_undelivered()
        self._end_reason = reason
        self.transport.abortConnection()

    def _serve(self, request: CallerRequest) -> None:
        self._is_last_read = not request.keep_alive
        self._leaves_body = request.refusal is not None
        response = PendingResponse(self, request)
        self._pending_responses.append(response)
        exchange = self._factory.serve(request, response)
        if response.data is None:
            response.exchange = exchange

    def _refuse(self, error: RequestError) -> None:
        self._is_last_read = True
        self._reader.release()
        response = PendingResponse(self, None)
        self._pending_responses.append(response)
        refusal = Refusal(error.cause, detail=error.detail)
        response.send(
            encode_refusal(refusal, request_id=b"", close=True, to_head_request=False)
        )

    def flush(self) -> None:
        """Write the responses that are ready and next in order."""
        while self._pending_responses and self._pending_responses[0].data is not None:
            response = self._pending_responses.popleft()
            self._last_active_s = self._factory.seconds()
            assert response.data is not None
            write_at_once(self.transport, response.data)
            self._is_delivering = True
            if response.request is not None:
                self._undelivered_ids.append(response.request.request_id)
            if response.closes_connection:
                self._close(EndReason.LAST_RESPONSE)
                return
        if self._is_last_read and not self._pending_responses:
            # Requests were dropped after the last response had been encoded.
            self._close(EndReason.LAST_RESPONSE)
            return
        is_calm = len(self._pending_responses) < MAX_PIPELINED_REQUESTS // 2
        if is_calm and not self._has_many_pending:
            self._resume()
        self._factory.notify_if_idle()

    def _pause(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def _close(self, reason: EndReason) -> None:
        """Close once everything is written.

        Received bytes are dropped until everything is delivered and for LINGER_S more:
        closing with unread data resets the connection, and the caller may lose the last
        response. The rest of a refused body is not received, which would take the link.
        """
        self._is_closing = True
        self._end_reason = reason
        self._last_active_s = self._factory.seconds()
        self._reader.release()
        self._cancel_all(reason.value)
        self._pause() if self._leaves_body else self._resume()
        end_at_once(self.transport)
        self._factory.notify_if_idle()

    def check(self, now: float) -> None:
        """Close the connection, or refuse a partial request, after a timeout.

        A caller that receives slowly is active.
        """
        undelivered = self._count_undelivered()
        if undelivered and self._silence.is_gone(now):
            self._abort(EndReason.SILENCE)
            return
        self.update_buffered()
        if undelivered != self._undelivered_bytes:
            self._undelivered_bytes = undelivered
            self._last_active_s = now
        if self._is_closing:
            self._check_close(now - self._last_active_s, undelivered)
        elif self._is_silent(now):
            # What arrived while the loop lagged is no silence.
            read_arrived(self.transport, self._may_read)
            if self._is_silent(now):
                self._end_silent()

    def _may_read(self) -> bool:
        return not self._is_paused and not self._is_closing

    def _check_close(self, silent_s: float, undelivered: int) -> None:
        linger_s = BODY_LINGER_S if self._leaves_body else LINGER_S
        if undelivered and silent_s > self._factory.limits().idle_timeout_s:
            self._abort(EndReason.NOT_DELIVERED)
        elif not undelivered and silent_s > linger_s:
            self.transport.abortConnection()

    def _is_silent(self, now: float) -> bool:
        """Return whether the caller sends nothing for longer than it may."""
        if self._is_closing or self._pending_responses:
            return False
        limits = self._factory.limits()
        limit_s = limits.idle_timeout_s + IDLE_MARGIN_S
        if self._reader.is_amid_request:
            limit_s = limits.head_timeout_s
        return now - self._last_active_s > limit_s

    def _end_silent(self) -> None:
        if self._reader.is_amid_request:
            self._refuse(RequestError(Cause.BODY_TIMEOUT))
        else:
            self._close(EndReason.IDLE)

    def close_if_idle(self) -> None:
        """Close unless a request is expected, being read or served."""
        if not self._is_idle:
            return
        read_arrived(self.transport, self._may_read)
        if self._is_idle:
            self._close(EndReason.LEAVING)

    @property
    def _is_idle(self) -> bool:
        is_in_use = self._is_closing or self.is_serving
        return not is_in_use and not self._awaits_first_request

    def reset(self, reason: EndReason) -> None:
        """Reset the connection, without further responses."""
        self._is_closing = True
        self._abort(reason)

    def respond_now(self) -> None:
        """End all requests now: each pending one blocks the responses after it."""
        if self._reader.is_amid_request and not self._pending_responses:
            self._refuse(RequestError(Cause.LEAVING))
        for response in tuple(self._pending_responses):
            if response.exchange is not None and response.data is None:
                response.exchange.respond_now()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Cancel what is being served."""
        self._is_closing = self._is_lost = True
        end = self._describe_end(reason)
        self._factory.connections.discard(self)
        self._factory.buffers.release(self)
        self._reader.release()
        self._cancel_all(end.detail or end.reason.value)
        self._factory.on_end(end)
        self._factory.notify_if_idle()

    def _describe_end(self, failure: Failure | None) -> EndedConnection:
        detail = "" if failure is None else failure.getErrorMessage()
        reason = self._end_reason
        if reason is None:
            is_exiting = self._factory.is_exiting
            reason = EndReason.EXIT if is_exiting else reason_of_loss(failure)
        if (
            not self._is_delivering
            or reason_of_loss(failure) is EndReason.CALLER_CLOSED
        ):
            # Callers that end their side themselves have what they want.
            return EndedConnection(reason, detail)
        # As of the last check: the transport has no socket any more.
        ids = tuple(self._undelivered_ids)
        return EndedConnection(reason, detail, ids, self._undelivered_bytes)

    def _cancel_all(self, detail: str) -> None:
        responses, self._pending_responses = self._pending_responses, deque()
        for response in responses:
            if response.exchange is not None and response.data is None:
                response.exchange.caller_disconnected(detail)
