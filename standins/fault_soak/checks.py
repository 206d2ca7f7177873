"""Check what the platform promises, from what callers and servers saw."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import cached_property
from http import HTTPStatus
from typing import Any

import attrs

from standins.fault_soak.callers import Seen
from standins.platform_deployment import EVACUATION_S
from standins.platform_deployment import MOST_WHILE_COLD

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
WINDOW_S = 5.0
QUOTA_OVERSHOOT = 0.1
QUOTA_SLACK = 20.0
REVOCATION_S = 3.0
ROUTE_S = 2.0
DRAIN_S = 2.0
CONTACT_S = 3.0
WAIT_SLACK_S = 0.5
MAX_IN_WAIT = 2
LOSS_SLACK_S = 0.2
GRACE_S = 6.0
MAX_LOST_IN_TOUCH = 3
SERVED_AFTER_RECOVERY = 0.9


@attrs.frozen
class Moment:
    """Something that the operator or a server had acknowledged at ``at_s``."""

    what: str
    at_s: float


@attrs.frozen
class Disturbance:
    """A fault; ``cuts_off`` if an instance may have been out of touch meanwhile.

    ``stopped`` is the address of an instance that was only told to stop, ``paused`` of
    one that was paused.
    """

    began_s: float
    ended_s: float
    cuts_off: bool = True
    stopped: str = ""
    paused: str = ""

    def touches(self, began_s: float, ended_s: float) -> bool:
        """Tell whether it overlaps a span, or ended shortly before it."""
        return self.began_s < ended_s and self.ended_s + CONTACT_S > began_s


@attrs.frozen
class Limit:
    """What a workspace may send."""

    workspace: str
    rate_per_s: float
    burst: float

    def most(self) -> float:
        """Return how many requests may run in one window."""
        allowed = self.rate_per_s * WINDOW_S + self.burst
        return allowed * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK


@attrs.frozen
class Span:
    """A time in which some servers were evacuated, or one was cold."""

    servers: frozenset[str]
    began_s: float
    ended_s: float


@attrs.define
class History:
    """All that was seen: by callers, by servers, and what was acknowledged."""

    seen: list[Seen]
    runs: list[dict[str, Any]]
    withdrawn_keys: list[Moment]
    drained_servers: list[Moment]
    limits: list[Limit]
    disturbances: list[Disturbance]
    arrivals_by_server: dict[str, list[dict[str, Any]]] = attrs.Factory(dict)
    reached: set[str] = attrs.Factory(set)
    evacuations: list[Span] = attrs.Factory(list)
    cold: list[Span] = attrs.Factory(list)
    added_routes: list[Moment] = attrs.Factory(list)

    def broken(self) -> list[str]:
        """Return a line for each broken promise."""
        return [
            *self._run_twice(),
            *self._falsely_refused(),
            *self._mixed(),
            *self._unasked(),
            *self._over_limit(),
            *self._withdrawn(),
            *self._not_found(),
            *self._drained(),
            *self._left(),
            *self._crowded(),
            *self._evacuated(),
            *self._flooded(),
            *self._lost(),
            *self._lost_in_touch(),
        ]

    def outcome(self, seen: Seen) -> str:
        """Return what became of a request, by what its caller and the servers saw."""
        if seen.status:
            if seen.status in NOT_RUN_STATUSES and not seen.signed:
                return "refused"
            return "answered" if seen.signed or seen.status < 500 else "failed"
        if seen.left:
            return "left by its caller"
        if seen.request in self._ran:
            return "lost"
        if not seen.whole_s:
            return "not sent whole"
        if self._was_passed_on(seen):
            return "lost"
        if seen.behind or seen.ended_s - seen.whole_s <= LOSS_SLACK_S:
            return "crossed"
        return "lost"

    def _was_passed_on(self, seen: Seen) -> bool:
        return seen.request in self._ran or seen.request in self.reached

    @cached_property
    def _ran(self) -> set[str]:
        return {run["request"] for run in self.runs}

    def _run_twice(self) -> Iterable[str]:
        counts = Counter(run["request"] for run in self.runs)
        for seen in self.seen:
            if seen.kind.method == "POST" and counts[seen.request] > 1:
                yield f"TWICE {seen.request} ran {counts[seen.request]} times"

    def _falsely_refused(self) -> Iterable[str]:
        ran = {run["request"] for run in self.runs}
        for seen in self.seen:
            refused = seen.status in NOT_RUN_STATUSES and seen.kind.method == "POST"
            if refused and seen.request in ran:
                yield f"REFUSED {seen.request} got {seen.status} and ran"

    def _mixed(self) -> Iterable[str]:
        for seen in self.seen:
            if seen.status != 200:
                continue
            if not seen.signed or seen.answer.get("request") != seen.request:
                yield f"MIXED {seen.request} got the answer {seen.answer}"

    def _unasked(self) -> Iterable[str]:
        by_request = {seen.request: seen for seen in self.seen}
        for run in self.runs:
            seen = by_request.get(run["request"])
            if seen is None:
                yield f"UNASKED {run['request']} was sent by nobody"
            elif run["path"] != seen.path:
                yield f"UNASKED {run['request']} ran as {run['path']}"
            elif run["workspace"] != seen.kind.workspace or run["authorization"]:
                yield f"UNASKED {run['request']} ran for {run['workspace']!r}"

    def _over_limit(self) -> Iterable[str]:
        sent_s_by_request = {seen.request: seen.sent_s for seen in self.seen}
        for limit in self.limits:
            spans = sorted(
                (run["at_s"], sent_s_by_request.get(run["request"], run["at_s"]))
                for run in self.runs
                if run["workspace"] == limit.workspace
            )
            for index, (end_s, _) in enumerate(spans):
                begin_s = end_s - WINDOW_S
                earlier = spans[: index + 1]
                count = sum(at > begin_s and sent > begin_s for at, sent in earlier)
                if count > limit.most():
                    yield f"QUOTA {limit.workspace}: {count} of {limit.most():g}"
                    break

    def _withdrawn(self) -> Iterable[str]:
        ran = {run["request"] for run in self.runs}
        for key in self.withdrawn_keys:
            for seen in self.seen:
                late = seen.sent_s > key.at_s + REVOCATION_S
                if seen.kind.key == key.what and late and seen.request in ran:
                    after_s = seen.sent_s - key.at_s
                    yield f"CONFIG {seen.request} ran {after_s:.1f} s after its key"

    def _not_found(self) -> Iterable[str]:
        """Find requests on added routes that instances did not know.

        Only those that were in touch for long enough before are bound.
        """
        added_s = {route.what: route.at_s for route in self.added_routes}
        for seen in self.seen:
            at_s = added_s.get(seen.kind.prefix)
            if at_s is None or seen.status != HTTPStatus.NOT_FOUND:
                continue
            late_s = seen.sent_s - at_s
            known_s = seen.sent_s - ROUTE_S
            if known_s > at_s and self._in_touch(known_s, seen.ended_s):
                yield f"CONFIG {seen.request} got 404 {late_s:.1f} s after its route"

    def _drained(self) -> Iterable[str]:
        for server in self.drained_servers:
            for run in self.runs:
                late_s = run["at_s"] - server.at_s
                if run["server"] != server.what or late_s <= DRAIN_S:
                    continue
                # Only instances in touch are bound, as the platform's rules say.
                if self._in_touch(server.at_s, run["at_s"]):
                    yield f"DRAIN {run['request']} ran after {late_s:.1f} s"
                    break

    def _left(self) -> Iterable[str]:
        """Find requests at servers that had told the same instance that they leave."""
        seen_by_request = {seen.request: seen for seen in self.seen}
        told_s: dict[tuple[str, str], float] = {}
        for seen in self.seen:
            if seen.server_leaves and "server" in seen.answer:
                key = (seen.address, seen.answer["server"])
                told_s[key] = min(told_s.get(key, seen.ended_s), seen.ended_s)
        for run in self.runs:
            sent = seen_by_request.get(run["request"])
            if sent is None:
                continue
            at_s = told_s.get((sent.address, run["server"]))
            if at_s is None or sent.sent_s <= at_s + DRAIN_S:
                continue
            if not self._was_paused(sent.address, at_s, run["at_s"]):
                late_s = sent.sent_s - at_s
                yield f"DRAIN {sent.request} was sent {late_s:.1f} s after the notice"

    def _crowded(self) -> Iterable[str]:
        """Find servers that got requests although they had asked for a wait."""
        addresses = {seen.request: seen.address for seen in self.seen}
        for server, arrivals in self.arrivals_by_server.items():
            for asked in arrivals:
                address = addresses.get(asked["request"])
                begin_s = asked["at_s"] + WAIT_SLACK_S
                end_s = asked["at_s"] + asked["wait_s"]
                count = sum(
                    begin_s < each["at_s"] < end_s
                    and addresses.get(each["request"]) == address
                    for each in arrivals
                )
                if count > MAX_IN_WAIT and self._in_touch(asked["at_s"], end_s):
                    yield f"BUDGET {server} got {count} amid its wait, from {address}"

    def _evacuated(self) -> Iterable[str]:
        """Find requests at servers of a domain that was evacuated for long enough."""
        for span in self.evacuations:
            began_s = span.began_s + EVACUATION_S
            for server in span.servers:
                for sent_s, at_s in self._arrivals(server, span.ended_s):
                    if sent_s > began_s and self._in_touch(span.began_s, at_s):
                        late_s = sent_s - span.began_s
                        yield f"EVACUATE {server} got a request after {late_s:.1f} s"
                        break

    def _flooded(self) -> Iterable[str]:
        """Find cold servers that got too many requests in one second.

        Instances are bound once they may know that the server is cold.
        """
        for span in self.cold:
            began_s = span.began_s + DRAIN_S
            if not self._in_touch(span.began_s, span.ended_s):
                continue
            for server in span.servers:
                arrivals = self._arrivals(server, span.ended_s)
                most = max(
                    (
                        sum(sent >= begin and at < begin + 1.0 for sent, at in arrivals)
                        for begin, _ in arrivals
                        if begin >= began_s
                    ),
                    default=0,
                )
                if most > MOST_WHILE_COLD:
                    yield f"COLD {server} got {most} requests in one second"

    def _arrivals(self, server: str, until_s: float) -> list[tuple[float, float]]:
        """Return when callers sent the requests of a server, and when it got them.

        Links may hold requests that were sent before, and let them go together.
        """
        sent_s_by_request = {seen.request: seen.sent_s for seen in self.seen}
        return [
            (sent_s_by_request[each["request"]], each["at_s"])
            for each in self.arrivals_by_server.get(server, ())
            if each["request"] in sent_s_by_request and each["at_s"] < until_s
        ]

    def _was_paused(self, address: str, began_s: float, ended_s: float) -> bool:
        return any(
            each.paused == address and each.touches(began_s, ended_s)
            for each in self.disturbances
        )

    def _in_touch(self, began_s: float, ended_s: float) -> bool:
        return not any(
            each.cuts_off and each.touches(began_s, ended_s)
            for each in self.disturbances
        )

    def _lost(self) -> Iterable[str]:
        """Find requests that a planned stop cut, with no other fault about."""
        for stop in self.disturbances:
            for seen in self.seen:
                during = stop.began_s <= seen.ended_s <= stop.ended_s
                if seen.address != stop.stopped or not during:
                    continue
                # No process may outlive its grace, however long its caller pauses.
                if seen.paused_until_s > stop.began_s + GRACE_S:
                    continue
                is_lost = self.outcome(seen) == "lost" or self._was_broken_off(seen)
                if is_lost and self._is_alone(stop, seen):
                    yield self._describe(seen, stop)

    def _lost_in_touch(self) -> Iterable[str]:
        lost = self.lost_in_touch()
        if len(lost) > MAX_LOST_IN_TOUCH:
            yield from (self._describe(seen) for seen in lost)

    def lost_in_touch(self) -> list[Seen]:
        """Return requests amid which instances in touch closed the connection.

        All callers mean to keep their connections, so that first requests count too.
        """
        lost = []
        for seen in self.seen:
            is_lost = self.outcome(seen) == "lost"
            is_excused = any(
                (not each.stopped or each.stopped == seen.address)
                and each.touches(seen.sent_s, seen.ended_s)
                for each in self.disturbances
            )
            if is_lost and self._was_passed_on(seen) and not is_excused:
                lost.append(seen)
        return lost

    def _was_broken_off(self, seen: Seen) -> bool:
        """Tell whether a failure of the instance took the place of an answer."""
        is_own = seen.status >= 500 and not seen.signed
        is_early = seen.ended_s - seen.sent_s < seen.kind.timeout_s
        return is_own and is_early and self._was_passed_on(seen)

    def _is_alone(self, stop: Disturbance, seen: Seen) -> bool:
        """Tell whether no fault but stops of other instances is about."""
        return not any(
            each is not stop
            and (not each.stopped or each.stopped == stop.stopped)
            and each.touches(seen.sent_s, seen.ended_s)
            for each in self.disturbances
        )

    def _describe(self, seen: Seen, stop: Disturbance | None = None) -> str:
        what = f"got {seen.status}" if seen.status else "got no answer"
        ran = "reached a server" if self._was_passed_on(seen) else "was not passed on"
        after_s = seen.ended_s - seen.whole_s
        line = f"LOST {seen.request}{seen.query} {ran} and {what} for {after_s:.2f} s"
        if stop is not None:
            line += f", sent {seen.sent_s - stop.began_s:.2f} s after the stop began"
        return f"{line}, at {seen.address}, {'kept' if seen.kept else 'new'}"


def recovered(seen: Iterable[Seen], since_s: float) -> str | None:
    """Return what is wrong if too few requests are served after ``since_s``."""
    owed = [
        each
        for each in seen
        if each.sent_s > since_s and not each.left and each.status not in (401, 429)
    ]
    served = sum(each.status == 200 for each in owed)
    if not owed or served < SERVED_AFTER_RECOVERY * len(owed):
        return f"RECOVER {served} of {len(owed)} requests were served at the end"
    return None
