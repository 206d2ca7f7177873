"""What an instance serves to other instances and to those who watch it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from gentianhitch.addresses import Address
from gentianhitch.http_resources import OnePathResource

VIEW_PATH = "/view"
METRICS_PATH = "/metrics"


def views_resource(encode: Callable[[], bytes | None]) -> OnePathResource:
    """Return the resource that hands out the view of the store."""

    def view(request: Any) -> bytes:
        encoded = encode()
        if encoded is None:
            request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE)
            return b""
        return encoded

    return OnePathResource(VIEW_PATH, view)


def metrics_resource(render: Callable[[], bytes]) -> OnePathResource:
    """Return the resource that shows counters and histograms as text."""
    return OnePathResource(METRICS_PATH, lambda _: render())


def bound_address(port: Any) -> Address:
    """Return where a listening port is bound."""
    host = port.getHost()
    return Address(host.host, host.port)
