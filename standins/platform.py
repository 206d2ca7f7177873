"""Run the stand-in platform: a key-value service with a lagging instance list."""

from __future__ import annotations

import argparse
from collections import Counter
from collections.abc import Callable

import attrs
import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from standins import serving
from standins.platform_faults import Faults
from standins.platform_store import LaggingList
from standins.platform_store import Record
from standins.platform_store import Store
from standins.platform_store import StoreConflictError

CLIENT_HEADER = "X-Instance"
MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0

Apply = Callable[[], object]


class StandInPlatform:
    """Answer the platform's protocol and its control endpoints."""

    app = Klein()

    def __init__(self, clock: Callable[[], float] = serving.seconds) -> None:
        self.store = Store(clock)
        self.list = LaggingList(clock)
        self.faults = Faults()
        self.clock = clock
        self.calls_by_kind: Counter[str] = Counter()
        self._changed: Deferred[None] = Deferred()

    @app.route("/v1/keys/<path:key>", methods=["GET"])
    async def get_or_watch(self, request: Request, key: str) -> bytes:
        """Read one key, at once or when it is past a revision."""
        after_revision = _number(request, b"after_revision")
        if after_revision is not None:
            wait_s = min(_number(request, b"wait_s") or 0.0, MAX_WAIT_S)
            return await self._watch(request, key, int(after_revision), wait_s)
        record = await self._call(request, "get", lambda: self.store.get(key))
        return _answer_record(request, record, absent_status=404)

    @app.route("/v1/keys/<path:key>", methods=["PUT"])
    async def put(self, request: Request, key: str) -> bytes:
        """Write one key by compare-and-swap."""
        body = serving.read_json(request)
        value, expected = body["value"], body["expected_revision"]
        if len(value) > MAX_VALUE_BYTES * 4 // 3 + 4:
            return serving.answer_json(request, {"error": "value too large"}, 413)
        lease = body.get("lease")
        return await self._write(
            request, "put", lambda: self.store.put(key, value, expected, lease)
        )

    @app.route("/v1/keys/<path:key>", methods=["DELETE"])
    async def delete(self, request: Request, key: str) -> bytes:
        """Delete one key by compare-and-swap."""
        expected = int(_number(request, b"expected_revision") or 0)
        return await self._write(
            request, "delete", lambda: self.store.delete(key, expected)
        )

    @app.route("/v1/leases", methods=["POST"])
    async def grant_lease(self, request: Request) -> bytes:
        """Create a lease."""
        ttl_s = float(serving.read_json(request)["ttl_s"])
        return await self._write(
            request,
            "grant_lease",
            lambda: {"id": self.store.grant(ttl_s), "ttl_s": ttl_s},
        )

    @app.route("/v1/leases/<lease>/renew", methods=["POST"])
    async def renew_lease(self, request: Request, lease: str) -> bytes:
        """Renew a lease."""
        return await self._write(
            request, "renew_lease", lambda: self.store.renew(lease)
        )

    @app.route("/v1/instances", methods=["GET"])
    async def instances(self, request: Request) -> bytes:
        """Read the lagging list."""
        seen = await self._call(request, "list_instances", self.list.visible)
        return serving.answer_json(request, {"instances": seen})

    @app.route("/control/faults", methods=["GET", "PUT", "DELETE"])
    def control_faults(self, request: Request) -> bytes:
        """Show, change or clear the faults."""
        if request.method == b"DELETE":
            self.faults = Faults()
        elif request.method == b"PUT":
            try:
                self.faults = self.faults.edited(serving.read_json(request))
            except msgspec.ValidationError as error:
                return serving.answer_json(request, {"error": str(error)}, 400)
        self.list.lag_s = self.faults.list_lag_s
        self._wake()
        return serving.answer_json(request, attrs.asdict(self.faults))

    @app.route("/control/instances", methods=["GET", "PUT"])
    def control_instances(self, request: Request) -> bytes:
        """Show or replace the true list of entry instances."""
        if request.method == b"PUT":
            self.list.set(serving.read_json(request)["instances"])
        return serving.answer_json(request, {"instances": self.list.current})

    @app.route("/control/instances/<name>", methods=["PUT", "DELETE"])
    def control_instance(self, request: Request, name: str) -> bytes:
        """Add, replace or remove one entry instance."""
        if request.method == b"PUT":
            self.list.upsert({**serving.read_json(request), "name": name})
        else:
            self.list.remove(name)
        return serving.answer_json(request, {"instances": self.list.current})

    @app.route("/control/calls", methods=["GET", "DELETE"])
    def control_calls(self, request: Request) -> bytes:
        """Show the calls counted by kind; DELETE begins a new count."""
        calls_by_kind = dict(self.calls_by_kind)
        if request.method == b"DELETE":
            self.calls_by_kind.clear()
        return serving.answer_json(
            request, {"calls_by_kind": calls_by_kind, "at_s": self.clock()}
        )

    async def _write(self, request: Request, kind: str, apply: Apply) -> bytes:
        def apply_and_wake() -> object:
            answer = apply()
            self._wake()
            return answer

        try:
            answer = await self._call(request, kind, apply_and_wake)
        except StoreConflictError as conflict:
            shown = {"current": _shown(conflict.current)}
            reply = serving.answer_json(request, shown, 409)
        else:
            reply = serving.answer_json(request, _shown(answer) or {})
        if self.faults.take_lost_reply():
            await serving.drop(request)
        return reply

    async def _call(self, request: Request, kind: str, apply: Apply) -> object:
        """Count the call, apply it after the delay and hold back a lost answer.

        A call that has arrived takes effect even if its caller has left.
        """
        await self._arrive(request, kind)
        applied: Deferred[object] = Deferred()
        serving.after(self.faults.slow_ms / 1000).addCallback(
            lambda _: apply()
        ).addBoth(applied.callback)
        try:
            return await applied
        finally:
            await self._hold_lost_reply(request)

    async def _arrive(self, request: Request, kind: str) -> None:
        if self.faults.loses_request(_client(request)):
            await serving.never()
        await self._suffer_outage(request)
        self.calls_by_kind[kind] += 1

    async def _suffer_outage(self, request: Request) -> None:
        match self.faults.outage:
            case "refuse":
                raise OutageError
            case "drop":
                await serving.drop(request)
            case "silent":
                await serving.never()

    async def _hold_lost_reply(self, request: Request) -> None:
        if self.faults.loses_reply(_client(request)):
            await serving.never()

    async def _watch(
        self, request: Request, key: str, after_revision: int, wait_s: float
    ) -> bytes:
        await self._arrive(request, "watch")
        await serving.after(self.faults.slow_ms / 1000)
        ends_at = self.clock() + wait_s
        serving.call_later(wait_s, self._wake)
        record = self.store.get(key)
        while not (record and record.revision > after_revision):
            record = None
            if self.clock() >= ends_at:
                break
            await self._next_change()
            await self._suffer_outage(request)
            record = self.store.get(key)
        await self._hold_lost_reply(request)
        return _answer_record(request, record, absent_status=204)

    def _next_change(self) -> Deferred[None]:
        waiting: Deferred[None] = Deferred()
        self._changed.addCallback(lambda _: _fire(waiting))
        return waiting

    def _wake(self) -> None:
        changed, self._changed = self._changed, Deferred()
        changed.callback(None)

    @app.handle_errors
    def refuse(self, request: Request, failure: object) -> bytes:
        """Answer a call during an outage, or a malformed one."""
        error = getattr(failure, "value", failure)
        if isinstance(error, OutageError):
            return serving.answer_json(request, {"error": "outage"}, 503)
        return serving.answer_json(request, {"error": repr(error)}, 400)


class OutageError(Exception):
    """The platform refuses calls."""


def _fire(waiting: Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)


def _client(request: Request) -> str:
    return request.getHeader(CLIENT_HEADER) or ""


def _number(request: Request, name: bytes) -> float | None:
    values = request.args.get(name)  # type: ignore[union-attr]
    return float(values[0]) if values else None


def _shown(value: object) -> object:
    return attrs.asdict(value) if isinstance(value, Record) else value


def _answer_record(request: Request, record: object, absent_status: int) -> bytes:
    if record is None:
        request.setResponseCode(absent_status)
        return b""
    return serving.answer_json(request, _shown(record))


def main() -> None:
    """Read the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    address = serving.listen(StandInPlatform().app, arguments.port)
    serving.announce(address=address)
    serving.serve()


if __name__ == "__main__":
    main()
