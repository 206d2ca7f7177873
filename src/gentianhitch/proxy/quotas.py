"""Keep workspaces within their rate over all instances together.

Every instance replays one token bucket for each workspace from its own admissions
and from the running totals that the other instances report. Between two reports it
spends at most its even part of the level, so that instances that act on the same
level do not spend it many times over. For an instance that isn't heard, its even
part of the rate counts as spent, so that instances that are cut off from each other
stay within the rate together.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from gentianhitch.proxy.model import Workspace

SILENT_AFTER_S = 1.0
"""Reports come five times a second; an instance unheard so long counts as cut off."""

START_SHARE = 0.25
"""Part of the burst that a bucket holds at the start: the rest may have been spent."""

MIN_RETRY_S = 0.05


@attrs.define
class _Bucket:
    level: float
    updated_s: float
    spent_since_report: int = 0


@attrs.define
class _Reporter:
    incarnation: int
    heard_s: float
    totals_by_workspace: dict[str, int]


@attrs.define
class Quotas:
    """Admit requests of workspaces; ``sharers`` names who takes requests."""

    name: str
    sharers: frozenset[str] = frozenset()
    _buckets_by_workspace: dict[str, _Bucket] = attrs.Factory(dict)
    _totals_by_workspace: dict[str, int] = attrs.Factory(dict)
    _reporters_by_name: dict[str, _Reporter] = attrs.Factory(dict)

    def prepare(self, workspaces: Iterable[Workspace], now: float) -> None:
        """Start the buckets of new workspaces and drop those of removed ones."""
        known = {workspace.name: workspace for workspace in workspaces}
        for name in tuple(self._buckets_by_workspace):
            if name not in known:
                del self._buckets_by_workspace[name]
        for workspace in known.values():
            self._bucket(workspace, now)

    def admit(self, workspace: Workspace, now: float) -> float:
        """Take a token; return 0, or the seconds until there may be one."""
        if workspace.rate_per_s <= 0:
            return 0.0
        bucket = self._bucket(workspace, now)
        part = (bucket.level + bucket.spent_since_report) / max(len(self.sharers), 1)
        if bucket.level < 1.0 or bucket.spent_since_report + 1 > max(part, 1.0):
            missing = max(1.0 - bucket.level, 0.0)
            return max(missing / workspace.rate_per_s, MIN_RETRY_S)
        bucket.level -= 1.0
        bucket.spent_since_report += 1
        total = self._totals_by_workspace.get(workspace.name, 0)
        self._totals_by_workspace[workspace.name] = total + 1
        return 0.0

    def describe(self, workspace: Workspace) -> str:
        """Return what decided about a request of ``workspace``."""
        bucket = self._buckets_by_workspace[workspace.name]
        return (
            f"{workspace.name}: {bucket.level:.1f} tokens of {workspace.burst:g},"
            f" {workspace.rate_per_s:g}/s, {bucket.spent_since_report} spent since the"
            f" last report, {len(self.sharers)} sharers"
        )

    def give_back(self, workspace: Workspace) -> None:
        """Return the token of a request that certainly did not run."""
        bucket = self._buckets_by_workspace.get(workspace.name)
        if bucket is not None and workspace.rate_per_s > 0:
            bucket.level += 1.0
            self._totals_by_workspace[workspace.name] -= 1

    def report(self) -> dict[str, int]:
        """Return the running totals by workspace and begin a new interval."""
        for bucket in self._buckets_by_workspace.values():
            bucket.spent_since_report = 0
        return dict(self._totals_by_workspace)

    def hear(
        self, name: str, incarnation: int, totals: dict[str, int], now: float
    ) -> None:
        """Count what another instance has admitted since its last report."""
        reporter = self._reporters_by_name.get(name)
        if reporter is None or reporter.incarnation != incarnation:
            # What it admitted before is over, or was counted by its share.
            self._reporters_by_name[name] = _Reporter(incarnation, now, totals)
            return
        if now - reporter.heard_s <= SILENT_AFTER_S:
            for workspace, total in totals.items():
                bucket = self._buckets_by_workspace.get(workspace)
                if bucket is not None:
                    before = reporter.totals_by_workspace.get(workspace, 0)
                    bucket.level -= total - before
        reporter.heard_s = now
        reporter.totals_by_workspace = totals

    def _bucket(self, workspace: Workspace, now: float) -> _Bucket:
        bucket = self._buckets_by_workspace.get(workspace.name)
        if bucket is None:
            bucket = _Bucket(START_SHARE * workspace.burst, now)
            self._buckets_by_workspace[workspace.name] = bucket
        rate = workspace.rate_per_s * self._heard_share(now)
        grown = bucket.level + rate * max(now - bucket.updated_s, 0.0)
        bucket.level = min(grown, max(workspace.burst, 1.0))
        bucket.updated_s = now
        return bucket

    def _heard_share(self, now: float) -> float:
        """Return the part of a rate that this instance and those heard may spend."""
        if not self.sharers:
            return 1.0
        heard = sum(1 for name in self.sharers if self._is_heard(name, now))
        return heard / len(self.sharers)

    def _is_heard(self, name: str, now: float) -> bool:
        if name == self.name:
            return True
        reporter = self._reporters_by_name.get(name)
        return reporter is not None and now - reporter.heard_s <= SILENT_AFTER_S
