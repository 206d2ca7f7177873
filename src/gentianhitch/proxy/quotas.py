"""Keep workspaces within their limit over all instances together.

In any window, a workspace may send as many requests as its rate and burst allow.
Every instance counts its own admissions and those that the others report. Between
two reports it admits at most its even part of what is left, or of the permitted
overshoot, so that instances that know the same rest do not spend it many times over.
For an instance that isn't heard, its even part counts as spent, so that instances
that are cut off from each other stay within the limit together. That holds on for one
that is no longer listed: cut off, it goes on until its own knowledge is too old.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

from gentianhitch.proxy.model import Workspace

SILENT_AFTER_S = 1.0
"""Reports come five times a second; an instance unheard so long counts as cut off."""

START_SHARE = 0.5
"""Part of the limit that counts as spent in the window before an instance's start."""

ADMITTED_SHARE = 0.5
"""Part of the permitted overshoot that is admitted; the rest covers late reports."""

UNREPORTED_SHARE = 0.4
"""Part of the permitted overshoot that may be spent between two reports."""

MIN_RETRY_S = 0.05
TOTALS_REPEATED_S = 1.0
"""A running total is reported for so long after it changed: reports may be lost."""


@attrs.frozen
class Overshoot:
    """By how much a workspace may exceed its limit over all instances.

    In any ``window_s`` seconds, ``ratio`` of what the limit allows and ``slack``
    requests more.
    """

    window_s: float
    ratio: float
    slack: float

    def allowed(self, workspace: Workspace) -> float:
        """Return the requests that the limit allows in one window."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def extra(self, workspace: Workspace) -> float:
        """Return the requests above the limit in one window."""
        return self.ratio * self.allowed(workspace) + self.slack


@attrs.frozen
class _Admissions:
    at_s: float
    count: float


@attrs.define
class _Window:
    """Admissions of all instances in the last window, as far as heard."""

    started_s: float
    entries: deque[_Admissions] = attrs.Factory(deque)
    count: float = 0.0
    unreported: int = 0

    def add(self, now: float, count: float) -> None:
        self.entries.append(_Admissions(now, count))
        self.count += count

    def expire(self, before_s: float) -> None:
        while self.entries and self.entries[0].at_s <= before_s:
            self.count -= self.entries.popleft().count


@attrs.frozen
class Total:
    """Admissions of one incarnation: all, and all but those of the last moments."""

    count: int
    earlier: int


@attrs.define
class _Running:
    """A running total; ``recent`` holds the times of what was added lately."""

    count: int = 0
    recent: deque[_Admissions] = attrs.Factory(deque)

    def add(self, now: float, count: int) -> None:
        self.count += count
        self.recent.append(_Admissions(now, count))

    def total(self, now: float) -> Total | None:
        while self.recent and self.recent[0].at_s <= now - TOTALS_REPEATED_S:
            self.recent.popleft()
        if not self.recent:
            return None
        return Total(self.count, self.count - int(sum(a.count for a in self.recent)))


@attrs.frozen
class _Departed:
    """An instance that is no longer listed, and may spend its part for a while."""

    part: float
    until_s: float


@attrs.define
class _Reporter:
    incarnation: int
    heard_s: float
    counts_by_workspace: dict[str, int]


@attrs.define
class Quotas:
    """Admit requests of workspaces; ``sharers`` names who takes requests.

    An instance that is cut off admits requests for ``acts_alone_s`` at most.
    """

    name: str
    overshoot: Overshoot
    acts_alone_s: float
    sharers: frozenset[str] = frozenset()
    _departed_by_name: dict[str, _Departed] = attrs.Factory(dict)
    _windows_by_workspace: dict[str, _Window] = attrs.Factory(dict)
    _running_by_workspace: dict[str, _Running] = attrs.Factory(dict)
    _reporters_by_name: dict[str, _Reporter] = attrs.Factory(dict)

    def share_among(self, sharers: frozenset[str], now: float) -> None:
        """Take the instances that share the limits from now on."""
        if self.sharers and sharers != self.sharers:
            part = 1.0 / len(self.sharers)
            until_s = now + self.acts_alone_s
            for name in self.sharers - sharers - {self.name}:
                self._departed_by_name[name] = _Departed(part, until_s)
        self.sharers = sharers
        for name, departed in tuple(self._departed_by_name.items()):
            if name in sharers or departed.until_s <= now:
                del self._departed_by_name[name]

    def prepare(self, workspaces: Iterable[Workspace], now: float) -> None:
        """Start the windows of new workspaces and drop those of removed ones."""
        known = {workspace.name: workspace for workspace in workspaces}
        for name in tuple(self._windows_by_workspace):
            if name not in known:
                del self._windows_by_workspace[name]
                self._running_by_workspace.pop(name, None)
        for workspace in known.values():
            self._window(workspace, now)

    def admit(self, workspace: Workspace, now: float) -> float:
        """Count a request; return 0, or the seconds until one may be admitted."""
        if workspace.rate_per_s <= 0:
            return 0.0
        window = self._window(workspace, now)
        rest = self._limit(workspace, window, now) - window.count
        extra = UNREPORTED_SHARE * self.overshoot.extra(workspace)
        part = max(
            (rest + window.unreported) / max(self._heard(now), 1),
            extra / max(len(self.sharers), 1),
            1.0,
        )
        if rest < 1.0 or window.unreported + 1 > part:
            return max((1.0 - rest) / workspace.rate_per_s, MIN_RETRY_S)
        window.add(now, 1.0)
        window.unreported += 1
        self._add_total(workspace.name, 1, now)
        return 0.0

    def describe(self, workspace: Workspace, now: float) -> str:
        """Return what decided about a request of ``workspace``."""
        window = self._window(workspace, now)
        limit = self._limit(workspace, window, now)
        return (
            f"{workspace.name}: {window.count:g} of {limit:g}"
            f" in {self.overshoot.window_s:g} s, {window.unreported} unreported,"
            f" {self._heard(now)} of {len(self.sharers)} sharers heard"
        )

    def give_back(self, workspace: Workspace, now: float) -> None:
        """Forget a request that certainly did not run."""
        if workspace.rate_per_s > 0:
            self._window(workspace, now).add(now, -1.0)
            self._add_total(workspace.name, -1, now)

    def report(self, now: float) -> dict[str, Total]:
        """Return running totals that changed lately, and begin a new interval."""
        for window in self._windows_by_workspace.values():
            window.unreported = 0
        totals = {
            name: running.total(now)
            for name, running in self._running_by_workspace.items()
        }
        return {name: total for name, total in totals.items() if total is not None}

    def hear(
        self, name: str, incarnation: int, totals: dict[str, Total], now: float
    ) -> None:
        """Count what another instance has admitted since its last report."""
        reporter = self._reporters_by_name.get(name)
        if reporter is None or reporter.incarnation != incarnation:
            reporter = _Reporter(incarnation, now, {})
            self._reporters_by_name[name] = reporter
        for workspace, total in totals.items():
            window = self._windows_by_workspace.get(workspace)
            # What is not known from earlier reports was admitted before them.
            before = reporter.counts_by_workspace.get(workspace, total.earlier)
            if window is not None and total.count != before:
                window.add(now, total.count - before)
            reporter.counts_by_workspace[workspace] = total.count
        reporter.heard_s = now

    def _add_total(self, workspace: str, count: int, now: float) -> None:
        running = self._running_by_workspace.setdefault(workspace, _Running())
        running.add(now, count)

    def _window(self, workspace: Workspace, now: float) -> _Window:
        window = self._windows_by_workspace.get(workspace.name)
        if window is None:
            window = self._windows_by_workspace[workspace.name] = _Window(now)
        window.expire(now - self.overshoot.window_s)
        return window

    def _limit(self, workspace: Workspace, window: _Window, now: float) -> float:
        """Return what this instance and those heard may admit in one window."""
        overshoot = self.overshoot
        allowed = overshoot.allowed(workspace)
        limit = allowed + ADMITTED_SHARE * overshoot.extra(workspace)
        if now - window.started_s < overshoot.window_s:
            limit -= START_SHARE * allowed
        if not self.sharers:
            return limit
        own = 1.0 / len(self.sharers)
        heard = self._heard(now) / len(self.sharers)
        return limit * max(heard - self._held_for_departed(now), min(own, heard))

    def _held_for_departed(self, now: float) -> float:
        return sum(
            departed.part
            for name, departed in self._departed_by_name.items()
            if now < departed.until_s and not self._is_heard(name, now)
        )

    def _heard(self, now: float) -> int:
        return sum(self._is_heard(name, now) for name in self.sharers)

    def _is_heard(self, name: str, now: float) -> bool:
        if name == self.name:
            return True
        reporter = self._reporters_by_name.get(name)
        return reporter is not None and now - reporter.heard_s <= SILENT_AFTER_S
