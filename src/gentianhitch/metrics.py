"""Counters, optionally sent to statsd, and latency histograms by workspace."""

from __future__ import annotations

import re
from collections import Counter
from collections import OrderedDict
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from gentianhitch.addresses import Address

PREFIX = "gentianhitch"
MIN_MICROSECONDS = 1
MAX_MICROSECONDS = 600 * 1_000_000
SIGNIFICANT_DIGITS = 2
MAX_HISTOGRAMS = 512
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

_UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_.-]")


@attrs.frozen
class HistogramName:
    """Key of a histogram: the measure and the workspace."""

    measure: str
    workspace: str


@attrs.frozen
class HistogramSummary:
    """Sample count and percentiles of one histogram; times in milliseconds."""

    measure: str
    workspace: str
    count: int
    milliseconds_by_percentile: dict[str, float]


class Metrics:
    """Count events and record durations.

    Above MAX_HISTOGRAMS, the least recently used histogram is discarded.
    """

    def __init__(self, statsd: Address | None = None) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self._histograms_by_name: OrderedDict[HistogramName, Any] = OrderedDict()
        self._statsd = (
            StatsClient(statsd.host, statsd.port, prefix=PREFIX) if statsd else None
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` and, if configured, in statsd."""
        self.counts_by_name[name] += amount
        if self._statsd is not None:
            self._statsd.incr(_UNSAFE_CHARACTERS.sub("_", name), amount)

    def time(self, measure: str, workspace: str | None, seconds: float) -> None:
        """Record a duration; ``workspace`` is None for routes open to all callers."""
        name = HistogramName(measure, workspace or "open")
        self._get_histogram(name).record_value(
            min(max(int(seconds * 1e6), MIN_MICROSECONDS), MAX_MICROSECONDS)
        )

    def summaries(self) -> list[HistogramSummary]:
        """Return a summary of each histogram, sorted by measure and workspace."""
        sorted_items = sorted(
            self._histograms_by_name.items(),
            key=lambda item: (item[0].measure, item[0].workspace),
        )
        return [_summarise(name, histogram) for name, histogram in sorted_items]

    def _get_histogram(self, name: HistogramName) -> Any:
        histogram = self._histograms_by_name.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_MICROSECONDS, MAX_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self._histograms_by_name[name] = histogram
            if len(self._histograms_by_name) > MAX_HISTOGRAMS:
                self._histograms_by_name.popitem(last=False)
        else:
            self._histograms_by_name.move_to_end(name)
        return histogram


def _summarise(name: HistogramName, histogram: Any) -> HistogramSummary:
    values = histogram.get_percentile_to_value_dict(list(PERCENTILES))
    return HistogramSummary(
        name.measure,
        name.workspace,
        histogram.get_total_count(),
        {f"p{percentile:g}": value / 1000 for percentile, value in values.items()},
    )
