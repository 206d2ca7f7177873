"""Count the admissions of a workspace in a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

from gentianhitch.proxy.model import Workspace


@attrs.frozen
class QuotaTolerance:
    """By how much a workspace may exceed its limit over all instances.

    In any ``window_s`` seconds, ``ratio`` of what the limit allows and ``slack``
    requests more.
    """

    window_s: float
    ratio: float
    slack: float

    def window_limit(self, workspace: Workspace) -> float:
        """Return the requests that the limit allows in one window."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def window_tolerance(self, workspace: Workspace) -> float:
        """Return the requests above the limit in one window."""
        return self.ratio * self.window_limit(workspace) + self.slack


@attrs.frozen
class Admissions:
    """Requests admitted at one time."""

    at_s: float
    count: int


@attrs.define
class AdmissionWindow:
    """Admissions of all instances in the last window, as far as heard."""

    entries: deque[Admissions] = attrs.Factory(deque)
    count: int = 0

    def add(self, now: float, count: int) -> None:
        """Count ``count`` requests that were admitted up to ``now``."""
        self.entries.append(Admissions(now, count))
        self.count += count

    def refund(self, count: int) -> None:
        """Take the oldest requests out, so that the count is never too low later."""
        while count > 0 and self.entries:
            oldest = self.entries.popleft()
            taken = min(count, oldest.count)
            count -= taken
            self.count -= taken
            if oldest.count > taken:
                self.entries.appendleft(Admissions(oldest.at_s, oldest.count - taken))

    def expire(self, before_s: float) -> None:
        """Drop what was admitted until ``before_s``."""
        while self.entries and self.entries[0].at_s <= before_s:
            self.count -= self.entries.popleft().count


@attrs.frozen
class WorkspaceTotal:
    """What one instance tells of a workspace.

    ``count`` are the admissions of its incarnation, ``earlier`` those of them that
    are older than the window; ``known`` are the admissions of all instances in the
    window that it knows of.
    """

    count: int
    before_window: int
    window_count: int


@attrs.define
class RunningTotal:
    """Admissions of this instance; ``recent`` holds the times of the last window's."""

    count: int = 0
    recent: deque[Admissions] = attrs.Factory(deque)

    def add(self, now: float, count: int) -> None:
        """Count requests, or fewer than none that were given back."""
        self.count += count
        self.recent.append(Admissions(now, count))

    def count_since(self, since_s: float) -> int:
        """Return what was admitted since ``began_s``."""
        count = 0
        for each in reversed(self.recent):
            if each.at_s < since_s:
                break
            count += each.count
        return max(count, 0)

    def changed_since(self, since_s: float) -> bool:
        """Tell whether anything was counted after ``began_s``."""
        return bool(self.recent) and self.recent[-1].at_s > since_s

    def to_workspace_total(self, before_s: float, window_count: int) -> WorkspaceTotal:
        """Return what to tell others; admissions until ``before_s`` are old."""
        while self.recent and self.recent[0].at_s <= before_s:
            self.recent.popleft()
        recent = sum(each.count for each in self.recent)
        return WorkspaceTotal(self.count, self.count - recent, window_count)
