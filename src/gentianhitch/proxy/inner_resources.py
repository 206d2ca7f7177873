"""What an instance serves to other instances and to those who watch it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from klein import Klein

from gentianhitch.addresses import Address

VIEW_PATH = "/view"
METRICS_PATH = "/metrics"


def views_resource(encode: Callable[[], bytes | None]) -> Any:
    """Return the resource that hands out the view of the store."""
    app = Klein()

    @app.route(VIEW_PATH)  # type: ignore[untyped-decorator]
    def view(request: Any) -> bytes:
        encoded = encode()
        if encoded is None:
            request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE)
            return b""
        return encoded

    return app.resource()


def metrics_resource(render: Callable[[], bytes]) -> Any:
    """Return the resource that shows counters and histograms as text."""
    app = Klein()

    @app.route(METRICS_PATH)  # type: ignore[untyped-decorator]
    def metrics(request: Any) -> bytes:
        return render()

    return app.resource()


def bound_address(port: Any) -> Address:
    """Return where a listening port is bound."""
    host = port.getHost()
    return Address(host.host, host.port)
