"""HTTP client of the operators' resource of an entry instance."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import attrs
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import make_pool
from gentianhitch.operators import answers
from gentianhitch.treq_client import make_client

T = TypeVar("T")

CONNECT_TIMEOUT_S = 3.0
TIMEOUT_S = 30.0
MAX_CONNECTIONS = 1
HTTP_OK = 200


class EntryCallError(GentianhitchError):
    """A call to an entry instance failed; ``exit_code`` is that of the command."""

    def __init__(self, message: str, exit_code: int = ExitCode.FAILED) -> None:
        super().__init__(message)
        self.exit_code = ExitCode(exit_code)


@attrs.define(eq=False)
class EntryClient:
    """Client of one entry instance; authenticates with an operator key."""

    reactor: Any
    entry: Address
    operator_key: str = attrs.field(repr=False)
    operator: str
    timeout_s: float = TIMEOUT_S

    async def get(self, path: str, kind: type[T]) -> T:
        """Send a GET request, which changes nothing; raise EntryCallError."""
        return await self._call("GET", path, None, kind, ExitCode.FAILED)

    async def change(self, method: str, path: str, call: object, kind: type[T]) -> T:
        """Send a change; raise EntryCallError.

        If the response is lost or malformed, the exit code is OUTCOME_UNKNOWN.
        """
        return await self._call(method, path, call, kind, ExitCode.OUTCOME_UNKNOWN)

    async def _call(
        self,
        method: str,
        path: str,
        call: object,
        kind: type[T],
        lost_exit_code: ExitCode,
    ) -> T:
        exchange = Deferred.fromCoroutine(self._send_request(method, path, call))
        exchange.addTimeout(self.timeout_s, self.reactor)
        try:
            status, body = await exchange
        except CancelledError:
            raise
        except NOT_SENT_ERRORS as error:
            message = f"cannot connect to {self.entry}; nothing was changed"
            raise EntryCallError(message) from error
        except Exception as error:
            message = f"no answer from {self.entry}: {type(error).__name__}"
            raise EntryCallError(message, lost_exit_code) from error
        if status != HTTP_OK:
            raise self._error_from_response(status, body, lost_exit_code)
        return self._decode(body, kind, lost_exit_code)

    async def _send_request(
        self, method: str, path: str, call: object
    ) -> tuple[int, bytes]:
        pool = make_pool(self.reactor, MAX_CONNECTIONS)
        try:
            response = await make_client(self.reactor, pool, CONNECT_TIMEOUT_S).request(
                method,
                f"http://{self.entry}{answers.PREFIX}{path}",
                data=None if call is None else json_codec.encode(call),
                headers={
                    "Authorization": f"Bearer {self.operator_key}",
                    answers.OPERATOR_HEADER: self.operator,
                    "Content-Type": "application/json",
                },
            )
            return response.code, await response.content()
        finally:
            await pool.closeCachedConnections()

    def _error_from_response(
        self, status: int, body: bytes, lost_exit_code: ExitCode
    ) -> EntryCallError:
        try:
            response = json_codec.decode(body, answers.ErrorResponse)
            return EntryCallError(response.message, response.exit_code)
        except json_codec.DecodeError:
            return EntryCallError(f"{self.entry} answered {status}", lost_exit_code)

    def _decode(self, body: bytes, kind: type[T], lost_exit_code: ExitCode) -> T:
        try:
            return json_codec.decode(body, kind)
        except json_codec.DecodeError as error:
            message = f"malformed answer from {self.entry}: {error}"
            raise EntryCallError(message, lost_exit_code) from error
