"""Directory endpoint: the entry instances that callers of a service should use."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from klein import Klein
from twisted.web.iweb import IRequest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.steering import choose_instances
from gentianhitch.instances.identity import Member

MAX_AGE_S = 5
"""Time that callers may cache a response; a planned stop waits for this long."""

PATH = "/.gentianhitch/directory"
OUTCOME_HEADER = "Gentianhitch-Outcome"
NOT_RUN = "not-run"


@attrs.frozen
class DirectoryResponse:
    """JSON body of the directory; callers may cache it for ``max_age_s``."""

    addresses: list[str]
    max_age_s: int = MAX_AGE_S


@attrs.define(eq=False)
class Directory:
    """Serves the directory as a klein resource.

    ``newest`` returns the newest agreed state, ``live`` the members that serve
    requests.
    """

    newest: Callable[[], AgreedState | None]
    live: Callable[[], list[Member]]
    count: Callable[[str], None]
    app = Klein()

    @app.route(PATH, methods=["GET"])
    def serve(self, request: IRequest) -> bytes:
        """Respond with the addresses of the instances for the queried service.

        Instances in the failure domain of the query are listed first.
        """
        query: dict[bytes, list[bytes]] = request.args  # type: ignore[attr-defined]
        service = _first_value(query, b"service")
        state = self.newest()
        if not service:
            return self._refuse(request, 400, "The query needs a service.")
        if state is None or state.document is None:
            return self._refuse(request, 503, "No document is in force yet.")
        if all(known.name != service for known in state.document.services):
            return self._refuse(request, 404, "The service does not exist.")
        failure_domain = _first_value(query, b"failure_domain")
        members = choose_instances(state.document, service, self.live(), failure_domain)
        if not members:
            return self._refuse(request, 503, "No instance serves at present.")
        self.count("directory.answers")
        body = DirectoryResponse([str(member.callers) for member in members])
        return _write_json(request, 200, body)

    def _refuse(self, request: IRequest, status: int, error: str) -> bytes:
        self.count(f"directory.refusals.{status}")
        request.setHeader(OUTCOME_HEADER, NOT_RUN)
        return _write_json(request, status, {"error": error})


def _first_value(query: dict[bytes, list[bytes]], name: bytes) -> str | None:
    values = query.get(name)
    return values[0].decode(errors="replace") if values else None


def _write_json(request: IRequest, status: int, body: Any) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "application/json")
    request.setHeader("Cache-Control", "no-store")
    return msgspec.json.encode(body)
