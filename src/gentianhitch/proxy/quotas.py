"""Keep workspaces within their limit over all instances together.

In any window, a workspace may send as many requests as its rate and burst allow. Every
instance counts its own admissions and those that the others report. Between reports it
admits at most its part of what is left of the limit, counted from the oldest of the
others' last reports: the parts of all add up to what is left, so that instances with
equal counts don't spend it several times, however late the next reports are. What an
even division leaves over goes to the first instances in an order that differs for each
workspace.

The share of an instance that doesn't report counts as spent: partitioned instances stay
within the limit together. The share of one that is no longer listed is held too, since
a partitioned instance admits requests until its view of the store is too old. A new
instance takes the window's admissions from the first complete report.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import xxhash

from gentianhitch.proxy.admission_windows import AdmissionWindow
from gentianhitch.proxy.admission_windows import QuotaTolerance
from gentianhitch.proxy.admission_windows import RunningTotal
from gentianhitch.proxy.admission_windows import WorkspaceTotal
from gentianhitch.proxy.model import Workspace

REPORT_TIMEOUT_S = 1.0
"""Five report intervals; without a report for so long, an instance is unreachable."""

MIN_RESTART_S = 1.0
"""Least time from the end of a process to the start of its successor.

Nothing was admitted in this time before the start.
"""

RESERVED_SHARE = 0.3
"""Share of the tolerance that is reserved for admissions not reported yet.

Half of it is divided among the instances, half is for those of killed instances.
"""

MIN_UNREPORTED = 3
"""Admissions of one instance between two reports: callers send some together."""

MIN_RETRY_S = 0.05
"""About half of the interval of reports, each of which may free some admissions."""

TOTAL_REPEAT_S = 1.0
"""A total is repeated in reports for this time after a change; reports may be lost."""


@attrs.frozen
class AdmissionReport:
    """The admissions that one instance reports.

    ``is_complete`` if it holds all instances' admissions in the window.
    """

    totals_by_workspace: dict[str, WorkspaceTotal]
    is_complete: bool


@attrs.frozen
class _Departed:
    """The share held for an instance that is no longer listed but may still run."""

    share: float
    until_s: float


@attrs.define
class _Reporter:
    incarnation: int
    first_received_s: float
    last_report_s: float
    counts_by_workspace: dict[str, int]


@attrs.define
class Quotas:
    """Admit requests of workspaces; ``sharers`` names the instances that do so.

    A partitioned instance admits requests for ``max_isolated_s`` seconds at most.
    """

    name: str
    tolerance: QuotaTolerance
    max_isolated_s: float
    sharers: frozenset[str] = frozenset()
    _started_s: float | None = None
    _reported_s: float = float("-inf")
    _has_window_counts: bool = False
    _departed_by_name: dict[str, _Departed] = attrs.Factory(dict)
    _windows_by_workspace: dict[str, AdmissionWindow] = attrs.Factory(dict)
    _totals_by_workspace: dict[str, RunningTotal] = attrs.Factory(dict)
    _reporters_by_name: dict[str, _Reporter] = attrs.Factory(dict)

    def set_sharers(self, sharers: frozenset[str], now: float) -> None:
        """Set the instances that share the limits from now on."""
        if self.sharers and sharers != self.sharers:
            share = 1.0 / len(self.sharers)
            until_s = now + self.max_isolated_s
            for name in self.sharers - sharers - {self.name}:
                self._departed_by_name[name] = _Departed(share, until_s)
        self.sharers = sharers
        for name, departed in tuple(self._departed_by_name.items()):
            if name in sharers or departed.until_s <= now:
                del self._departed_by_name[name]

    def set_workspaces(self, workspaces: Iterable[Workspace], now: float) -> None:
        """Create the windows of new workspaces and drop those of removed ones."""
        if self._started_s is None:
            self._started_s = now
        by_name = {workspace.name: workspace for workspace in workspaces}
        for name in tuple(self._windows_by_workspace):
            if name not in by_name:
                del self._windows_by_workspace[name]
                self._totals_by_workspace.pop(name, None)
        for workspace in by_name.values():
            self._window(workspace.name, now)

    def admit(self, workspace: Workspace, now: float) -> float:
        """Count a request and return 0, or return the seconds until a retry."""
        if workspace.is_unlimited:
            return 0.0
        if not self._may_admit(workspace, now):
            return self.retry_after_s(workspace, now)
        self._window(workspace.name, now).add(now, 1)
        self._total(workspace.name).add(now, 1)
        return 0.0

    def retry_after_s(
        self, workspace: Workspace, now: float, waiting: int = 0
    ) -> float:
        """Return after how many seconds a request of a limited workspace is admitted.

        ``waiting`` is the number of requests to admit before it.
        """
        missing = waiting + 1 - self._remaining(workspace, now)
        if missing <= 0:
            return MIN_RETRY_S
        window = self._window(workspace.name, now)
        admitted_at_s = window.admitted_at_s(missing)
        if admitted_at_s is None:
            return max(missing / workspace.rate_per_s, MIN_RETRY_S)
        return max(admitted_at_s + self.tolerance.window_s - now, MIN_RETRY_S)

    def room_in_s(self, workspace: Workspace, now: float, waiting: int) -> float:
        """Return after how long the window has room for a request behind ``waiting``.

        0 if it has room now; the request may still have to wait for reports.
        """
        has_room = self._remaining(workspace, now) >= waiting + 1
        if workspace.is_unlimited or has_room:
            return 0.0
        return self.retry_after_s(workspace, now, waiting)

    def _may_admit(self, workspace: Workspace, now: float) -> bool:
        remaining = self._remaining(workspace, now)
        if remaining < 1.0:
            return False
        unreported = self._unreported(workspace.name, now)
        reporting = [name for name in self.sharers if self._is_reporting(name, now)]
        count = max(len(reporting), 1)
        available = remaining + unreported + self._reserved(workspace) / 2
        part, left_over = divmod(int(available), count)
        has_part = unreported < part or (
            unreported == part and left_over > self._rank(workspace.name, reporting)
        )
        return has_part and self._may_leave_unreported(workspace, count)

    def _may_leave_unreported(self, workspace: Workspace, reporting: int) -> bool:
        """Return whether one more admission may be lost if all instances are killed."""
        if reporting == 1:
            return True
        reserved = self._reserved(workspace)
        since_report = self._total(workspace.name).count_since(self._reported_s)
        return since_report < max(int(reserved / reporting), MIN_UNREPORTED)

    def _reserved(self, workspace: Workspace) -> float:
        return RESERVED_SHARE * self.tolerance.window_tolerance(workspace)

    def _rank(self, workspace: str, names: list[str]) -> int:
        """Return the place of this instance in the workspace's order of ``names``."""
        own = _order_key(workspace, self.name)
        if self.name not in names:
            return len(names)
        return sum(_order_key(workspace, name) < own for name in names)

    def _remaining(self, workspace: Workspace, now: float) -> float:
        count = self._window(workspace.name, now).count
        return self._limit(workspace, now) - count

    def admitted(self, workspace: Workspace, now: float) -> int:
        """Return the admissions of all instances in the window, as far as reported."""
        return self._window(workspace.name, now).count

    def describe(self, workspace: Workspace, now: float) -> str:
        """Return the figures behind a decision, as text for logs and refusals."""
        limit = self._limit(workspace, now)
        return (
            f"{workspace.name}: {self.admitted(workspace, now)} of {limit:g}"
            f" in {self.tolerance.window_s:g} s,"
            f" {self._unreported(workspace.name, now)} unreported,"
            f" {self._count_reporting(now)} of {len(self.sharers)} sharers heard"
        )

    def refund(self, workspace: Workspace, admitted_s: float, now: float) -> None:
        """Subtract a request, admitted at ``admitted_s``, that did not run."""
        if workspace.is_unlimited or admitted_s <= now - self.tolerance.window_s:
            return
        self._window(workspace.name, now).refund(1)
        self._total(workspace.name).add(now, -1)

    def report(self, now: float) -> AdmissionReport:
        """Return the report for the others: complete while one of them is new."""
        self._reported_s = now
        before_s = now - self.tolerance.window_s
        has_new_reporter = any(
            reporter.first_received_s > before_s
            for reporter in self._reporters_by_name.values()
        )
        totals = {}
        for name in self._windows_by_workspace:
            window_count = self._window(name, now).count if has_new_reporter else 0
            running = self._total(name)
            if window_count or running.changed_since(now - TOTAL_REPEAT_S):
                totals[name] = running.to_workspace_total(before_s, window_count)
        return AdmissionReport(
            totals, has_new_reporter and self._has_run_for_window(now)
        )

    def merge_report(
        self,
        name: str,
        incarnation: int,
        account: AdmissionReport,
        sent_s: float,
        now: float,
    ) -> None:
        """Count the admissions in another instance's report, sent at ``sent_s``."""
        reporter = self._reporters_by_name.get(name)
        if reporter is None or reporter.incarnation != incarnation:
            reporter = _Reporter(incarnation, now, sent_s, {})
            self._reporters_by_name[name] = reporter
        for workspace, total in account.totals_by_workspace.items():
            if workspace not in self._windows_by_workspace:
                continue
            # Without an earlier report, only the window's admissions are counted.
            before = reporter.counts_by_workspace.get(workspace, total.before_window)
            self._count_reported(workspace, total.count - before, now)
            reporter.counts_by_workspace[workspace] = total.count
        reporter.last_report_s = max(reporter.last_report_s, sent_s)
        if account.is_complete and not self._knows_window(now):
            self._merge_window_counts(account, now)

    def _merge_window_counts(self, account: AdmissionReport, now: float) -> None:
        """Count the window's admissions by instances that may have ended."""
        self._has_window_counts = True
        for workspace, total in account.totals_by_workspace.items():
            if workspace in self._windows_by_workspace:
                missing = total.window_count - self._window(workspace, now).count
                self._count_reported(workspace, max(missing, 0), now)

    def _count_reported(self, workspace: str, count: int, now: float) -> None:
        window = self._window(workspace, now)
        if count > 0:
            window.add(now, count)
        else:
            window.refund(-count)

    def _total(self, workspace: str) -> RunningTotal:
        return self._totals_by_workspace.setdefault(workspace, RunningTotal())

    def _window(self, workspace: str, now: float) -> AdmissionWindow:
        window = self._windows_by_workspace.get(workspace)
        if window is None:
            window = self._windows_by_workspace[workspace] = AdmissionWindow()
        window.expire(now - self.tolerance.window_s)
        return window

    def _unreported(self, workspace: str, now: float) -> int:
        """Return the own admissions that some instance may not have received."""
        reporters = (self._reporters_by_name.get(name) for name in self.sharers)
        report_times = [
            reporter.last_report_s
            for reporter in reporters
            if reporter is not None and now - reporter.last_report_s <= REPORT_TIMEOUT_S
        ]
        return self._total(workspace).count_since(
            min(report_times, default=now - REPORT_TIMEOUT_S)
        )

    def _limit(self, workspace: Workspace, now: float) -> float:
        """Return how many requests the reporting instances may admit in one window."""
        tolerance = self.tolerance
        tolerated = tolerance.window_tolerance(workspace)
        reserved = self._reserved(workspace)
        limit = tolerance.window_limit(workspace) + tolerated - reserved
        if not self._knows_window(now):
            # The whole limit may have been used just before the start.
            refilled = workspace.rate_per_s * (MIN_RESTART_S + self._uptime_s(now))
            limit = min(limit, refilled + reserved)
        if not self.sharers:
            return limit
        own = 1.0 / len(self.sharers)
        reporting = self._count_reporting(now) / len(self.sharers)
        return limit * max(
            reporting - self._share_of_departed(now), min(own, reporting)
        )

    def _knows_window(self, now: float) -> bool:
        return self._has_window_counts or self._has_run_for_window(now)

    def _has_run_for_window(self, now: float) -> bool:
        return self._uptime_s(now) >= self.tolerance.window_s

    def _uptime_s(self, now: float) -> float:
        return 0.0 if self._started_s is None else now - self._started_s

    def _share_of_departed(self, now: float) -> float:
        return sum(
            departed.share
            for name, departed in self._departed_by_name.items()
            if now < departed.until_s and not self._is_reporting(name, now)
        )

    def _count_reporting(self, now: float) -> int:
        return sum(self._is_reporting(name, now) for name in self.sharers)

    def _is_reporting(self, name: str, now: float) -> bool:
        if name == self.name:
            return True
        reporter = self._reporters_by_name.get(name)
        return reporter is not None and now - reporter.last_report_s <= REPORT_TIMEOUT_S


def _order_key(workspace: str, instance: str) -> int:
    return xxhash.xxh32_intdigest(f"{workspace} {instance}".encode())
