"""Paths and bodies of what callers and the platform ask an instance."""

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
)


class _Resolved(msgspec.Struct, rename="camel"):
    addresses: tuple[str, ...]
    # Seconds; callers count at most the bound of the deployment.
    ttl_s: float = msgspec.field(name="ttlS")


def directory_resource(
    answer: Callable[[str], DirectoryResponse | None],
) -> OnePathResource:
    """Return the resource that tells callers where to connect."""

    def resolve(request: Any) -> bytes:
        zone = request.args.get(b"zone", [b""])[0].decode("latin-1")
        found = answer(zone)
        if found is None:
            request.setResponseCode(UNAVAILABLE)
            return b""
        request.setHeader(b"Content-Type", b"application/json")
        return msgspec.json.encode(_Resolved(found.addresses, found.ttl_s))

    return OnePathResource(wire_names.RESOLVE_PATH, resolve)


def readiness_resource(is_ready: Callable[[], bool]) -> OnePathResource:
    """Return the resource that tells the platform whether the instance is ready."""

    def readiness(request: Any) -> bytes:
        request.setResponseCode(OK if is_ready() else UNAVAILABLE)
        return b""

    return OnePathResource(wire_names.READINESS_PATH, readiness)
