"""Render counters and latency histograms as text."""

from __future__ import annotations

import re

from gentianhitch.metrics import Metrics

PREFIX = "gentianhitch"
_UNSAFE = re.compile(r"[^a-zA-Z0-9_]")


def render_metrics(metrics: Metrics, gauges: dict[str, float]) -> str:
    """Return one line for each metric: name, labels, value."""
    lines = [f"{PREFIX}_{name} {value:g}" for name, value in sorted(gauges.items())]
    for name, count in sorted(metrics.counts_by_name.items()):
        lines.append(f"{PREFIX}_{_UNSAFE.sub('_', name)} {count}")
    for summary in metrics.summaries():
        labels = f'workspace="{summary.workspace}"'
        base = f"{PREFIX}_{summary.measure}_milliseconds"
        lines.append(f"{base}_count{{{labels}}} {summary.count}")
        for percentile, value in summary.milliseconds_by_percentile.items():
            quantile = f'{labels},percentile="{percentile}"'
            lines.append(f"{base}{{{quantile}}} {value:g}")
    return "\n".join(lines) + "\n"
