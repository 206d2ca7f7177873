"""HTTP resources that the platform's interface requires, and its header names."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.http_resources import OnePathResource
from gentianhitch.platform import wire_names
from gentianhitch.proxy.directory import DirectoryResponse

OK = 200
UNAVAILABLE = 503

HEADER_NAMES = HeaderNames(
    request_id=wire_names.REQUEST_ID,
    remaining_ms=wire_names.REMAINING_MS,
    expected_server=wire_names.EXPECTED_SERVER,
    workspace=wire_names.WORKSPACE,
    signature=wire_names.SIGNATURE,
    not_executed=wire_names.NOT_EXECUTED,
    server_leaving=wire_names.SERVER_LEAVING,
)


class _Resolved(msgspec.Struct, rename="camel"):
    addresses: tuple[str, ...]
    # Callers cache the addresses for this time, capped by the deployment's bound.
    ttl_s: float = msgspec.field(name="ttlS")


def directory_resource(
    resolve_zone: Callable[[str], DirectoryResponse | None],
) -> OnePathResource:
    """Return the resource that resolves a zone to the addresses for callers.

    It responds with status 503 if ``resolve_zone`` returns None.
    """

    def resolve(request: Any) -> bytes:
        zone = request.args.get(b"zone", [b""])[0].decode("latin-1")
        response = resolve_zone(zone)
        if response is None:
            request.setResponseCode(UNAVAILABLE)
            return b""
        request.setHeader(b"Content-Type", b"application/json")
        return msgspec.json.encode(_Resolved(response.addresses, response.ttl_s))

    return OnePathResource(wire_names.RESOLVE_PATH, resolve)


def readiness_resource(is_ready: Callable[[], bool]) -> OnePathResource:
    """Return the readiness resource: status 200 if the instance is ready, else 503."""

    def readiness(request: Any) -> bytes:
        request.setResponseCode(OK if is_ready() else UNAVAILABLE)
        return b""

    return OnePathResource(wire_names.READINESS_PATH, readiness)
