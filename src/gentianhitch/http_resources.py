"""HTTP resources without klein.

A restarted instance serves callers only after its imports have finished. With these
resources it imports neither klein nor werkzeug, which shortens the restart.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from twisted.web.resource import Resource


class OnePathResource(Resource):
    """Serve GET requests for one path; respond with 404 to other paths."""

    isLeaf = True  # noqa: N815

    def __init__(self, path: str, respond: Callable[[Any], bytes]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._path = path.encode()
        self._respond = respond

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return the response body, empty with status 404 for other paths."""
        if request.path != self._path:
            request.setResponseCode(HTTPStatus.NOT_FOUND)
            return b""
        return self._respond(request)
