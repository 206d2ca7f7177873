"""What a run saw: outcomes and HDR histograms for each workspace and service."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import msgspec
from hdrh.histogram import HdrHistogram

from gentianhitch.errors import UsageError

MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 60 * 1_000_000
SIGNIFICANT_DIGITS = 3


class RunFileError(UsageError):
    """A file does not hold the result of a run."""


@attrs.frozen(order=True)
class SeriesName:
    """Name one series of a run."""

    workspace: str
    service: str


@attrs.define
class Series:
    """Count outcomes and record times from the intended arrival."""

    outcomes: Counter[str] = attrs.field(factory=Counter)
    histogram: Any = attrs.field(
        factory=lambda: HdrHistogram(
            MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
        )
    )

    def record(self, outcome: str, seconds: float) -> None:
        """Count one ended request; only answered ones go into the histogram."""
        self.outcomes[outcome] += 1
        if outcome == "ok":
            self.histogram.record_value(
                min(max(int(seconds * 1e6), MIN_MICROSECONDS), MAX_MICROSECONDS)
            )

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return float(self.histogram.get_value_at_percentile(percentile)) / 1000


@attrs.frozen
class SavedSeries:
    """One series as stored; ``histogram`` is the HDR library's base64 form."""

    workspace: str
    service: str
    outcomes: dict[str, int]
    histogram: str


@attrs.frozen
class SavedRun:
    """One run as stored."""

    label: str
    duration_s: float
    late_sends: int
    series: tuple[SavedSeries, ...]


@attrs.define
class Tally:
    """Collect every series of a run."""

    series_by_name: dict[SeriesName, Series] = attrs.field(factory=dict)
    late_sends: int = 0

    def series(self, workspace: str, service: str) -> Series:
        """Return the series of a workspace and service, created when new."""
        return self.series_by_name.setdefault(SeriesName(workspace, service), Series())

    def save(self, path: Path, label: str, duration_s: float) -> None:
        """Write the run to a file."""
        saved = tuple(
            SavedSeries(
                name.workspace,
                name.service,
                dict(series.outcomes),
                series.histogram.encode().decode(),
            )
            for name, series in sorted(self.series_by_name.items())
        )
        run = SavedRun(label, duration_s, self.late_sends, saved)
        path.write_bytes(msgspec.json.encode(run))


def read_run(path: Path) -> SavedRun:
    """Read a run from a file; raise RunFileError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=SavedRun)
    except (OSError, msgspec.MsgspecError) as error:
        raise RunFileError(f"{path} is not a result of 'load': {error}") from error


def histogram_of(saved: SavedSeries) -> Any:
    """Return the histogram of a stored series."""
    return HdrHistogram.decode(saved.histogram)
