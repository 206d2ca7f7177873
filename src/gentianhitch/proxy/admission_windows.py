"""Count the admissions of a workspace in a sliding window."""

from __future__ import annotations

from collections import deque

import attrs

from gentianhitch.proxy.model import Workspace


@attrs.frozen
class QuotaTolerance:
    """How far a workspace may exceed its limit over all instances together.

    In any ``window_s`` seconds: by ``ratio`` of the limit plus ``slack`` requests.
    """

    window_s: float
    ratio: float
    slack: float

    def window_limit(self, workspace: Workspace) -> float:
        """Return how many requests the workspace's limit allows in one window."""
        return workspace.rate_per_s * self.window_s + workspace.burst

    def window_tolerance(self, workspace: Workspace) -> float:
        """Return how many requests above the limit are tolerated in one window."""
        return self.ratio * self.window_limit(workspace) + self.slack


@attrs.frozen
class Admissions:
    """A number of requests that were admitted at one time."""

    at_s: float
    count: int


@attrs.define
class AdmissionWindow:
    """The admissions of all instances in the last window, as far as reported."""

    entries: deque[Admissions] = attrs.Factory(deque)
    count: int = 0

    def add(self, now: float, count: int) -> None:
        """Count ``count`` requests that were admitted up to ``now``."""
        self.entries.append(Admissions(now, count))
        self.count += count

    def refund(self, count: int) -> None:
        """Subtract requests, the oldest first.

        The newest stay, so that the count is never too low later in the window.
        """
        while count > 0 and self.entries:
            oldest = self.entries.popleft()
            taken = min(count, oldest.count)
            count -= taken
            self.count -= taken
            if oldest.count > taken:
                self.entries.appendleft(Admissions(oldest.at_s, oldest.count - taken))

    def admitted_at_s(self, count: float) -> float | None:
        """Return when the last of the ``count`` oldest requests was admitted.

        None if there are fewer.
        """
        for admissions in self.entries:
            count -= admissions.count
            if count <= 0:
                return admissions.at_s
        return None

    def expire(self, before_s: float) -> None:
        """Drop the admissions up to ``before_s``."""
        while self.entries and self.entries[0].at_s <= before_s:
            self.count -= self.entries.popleft().count


@attrs.frozen
class WorkspaceTotal:
    """The admissions of a workspace that one instance reports.

    ``count`` is the number since the start of its incarnation, ``before_window`` the
    part of it that is older than the window; ``window_count`` is the number in the
    window over all instances, as far as reported to it.
    """

    count: int
    before_window: int
    window_count: int


@attrs.define
class RunningTotal:
    """The admissions of this instance; ``recent`` holds those in the last window."""

    count: int = 0
    recent: deque[Admissions] = attrs.Factory(deque)

    def add(self, now: float, count: int) -> None:
        """Count requests; a negative count stands for refunded ones."""
        self.count += count
        self.recent.append(Admissions(now, count))

    def count_since(self, since_s: float) -> int:
        """Return the number of admissions since ``since_s``."""
        count = 0
        for admissions in reversed(self.recent):
            if admissions.at_s < since_s:
                break
            count += admissions.count
        return max(count, 0)

    def changed_since(self, since_s: float) -> bool:
        """Return whether anything was counted after ``since_s``."""
        return bool(self.recent) and self.recent[-1].at_s > since_s

    def to_workspace_total(self, before_s: float, window_count: int) -> WorkspaceTotal:
        """Return the total to report; the window starts after ``before_s``."""
        while self.recent and self.recent[0].at_s <= before_s:
            self.recent.popleft()
        recent = sum(admissions.count for admissions in self.recent)
        return WorkspaceTotal(self.count, self.count - recent, window_count)
