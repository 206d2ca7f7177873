"""A caller that asks the directory, keeps its answer and connects there."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from typing import Any

import attrs
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.error import ConnectError

from gentianhitch.addresses import Address
from gentianhitch.errors import GentianhitchError
from gentianhitch.load.connection import Answer
from gentianhitch.load.connection import CallerConnection
from gentianhitch.load.connection import ConnectionBrokenError

CONNECT_TIMEOUT_S = 3.0


class NotConnectedError(GentianhitchError):
    """No entry instance took the connection, so the request was not sent."""


@attrs.frozen
class DirectoryResponse:
    """What the directory answers."""

    addresses: tuple[str, ...]
    max_age_s: float


@attrs.define
class _Cached:
    addresses: Iterator[Address]
    until: float


class Caller:
    """Send requests as a caller of the fleet does."""

    def __init__(self, reactor: Any, entries: tuple[Address, ...]) -> None:
        self._reactor = reactor
        self._entries = itertools.cycle(entries)
        self._entry_count = len(entries)
        self._cached_by_service: dict[str, _Cached] = {}
        self._idle_by_address: dict[Address, list[CallerConnection]] = {}

    async def send(self, service: str, request: bytes) -> Answer:
        """Send ``request`` to an instance that the directory names."""
        address = await self._address(service)
        try:
            connection = await self._connect(address)
        except ConnectError:
            # The answer may be old: ask again once before giving up.
            self._cached_by_service.pop(service, None)
            address = await self._address(service)
            try:
                connection = await self._connect(address)
            except ConnectError as error:
                raise NotConnectedError(f"cannot connect to {address}") from error
        answer = await connection.send(request)
        if connection.usable:
            self._idle_by_address.setdefault(address, []).append(connection)
        else:
            connection.abort()
        return answer

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.abort()
        self._idle_by_address.clear()

    async def _connect(self, address: Address) -> CallerConnection:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.usable:
                return connection
        endpoint = TCP4ClientEndpoint(
            self._reactor, address.host, address.port, timeout=CONNECT_TIMEOUT_S
        )
        connected: Deferred[CallerConnection]
        connected = connectProtocol(endpoint, CallerConnection())  # type: ignore[no-untyped-call]
        return await connected

    async def _address(self, service: str) -> Address:
        now = self._reactor.seconds()
        cached = self._cached_by_service.get(service)
        if cached is None or cached.until <= now:
            answer = await self._ask_directory(service)
            addresses = [Address.parse(text) for text in answer.addresses]
            cached = _Cached(itertools.cycle(addresses), now + answer.max_age_s)
            self._cached_by_service[service] = cached
        return next(cached.addresses)

    async def _ask_directory(self, service: str) -> DirectoryResponse:
        for _ in range(self._entry_count):
            address = next(self._entries)
            request = (
                f"GET /.gentianhitch/directory?service={service} HTTP/1.1\r\n"
                f"Host: {address}\r\n\r\n"
            )
            try:
                connection = await self._connect(address)
                answer = await connection.send(request.encode())
            except (ConnectError, ConnectionBrokenError):
                continue
            connection.abort()
            if answer.status == 200:
                return msgspec.json.decode(answer.body, type=DirectoryResponse)
        raise NotConnectedError(
            f"no entry instance answered the directory for service {service!r}"
        )
