"""Serve single paths by HTTP.

Instances that start anew serve callers again only after their imports: with these
resources in place of klein's, an instance imports neither klein nor werkzeug.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from twisted.web.resource import Resource


class OnePathResource(Resource):
    """Answer GET requests of one path; any other path does not exist."""

    isLeaf = True  # noqa: N815

    def __init__(self, path: str, answer: Callable[[Any], bytes]) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._path = path.encode()
        self._answer = answer

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Answer one request."""
        if request.path != self._path:
            request.setResponseCode(HTTPStatus.NOT_FOUND)
            return b""
        return self._answer(request)
