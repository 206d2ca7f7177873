"""Draw runs of the load tool as one HTML page."""

from __future__ import annotations

import html
from collections.abc import Sequence

import pygal

from gentianhitch.load.tally import SavedRun
from gentianhitch.load.tally import SavedSeries
from gentianhitch.load.tally import SeriesName
from gentianhitch.load.tally import histogram_of

PERCENTILES = (0.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.99)
STYLE = """
body { font-family: sans-serif; margin: 2em; }
section { display: flex; flex-wrap: wrap; }
figure { width: 46em; margin: 0 1em 1em 0; }
table { border-collapse: collapse; margin-bottom: 1em; }
td, th { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: right; }
"""


def render(runs: Sequence[SavedRun]) -> str:
    """Return a page with one chart for each workspace and service of all runs."""
    names = sorted(
        {
            SeriesName(series.workspace, series.service)
            for run in runs
            for series in run.series
        }
    )
    charts = "".join(f"<figure>{_chart(name, runs)}</figure>" for name in names)
    tables = "".join(_table(run) for run in runs)
    return (
        "<!doctype html><html><head><meta charset='utf-8'>"
        f"<title>gentianhitch load</title><style>{STYLE}</style></head>"
        f"<body><h1>Load</h1><section>{tables}</section>"
        f"<h2>Time by percentile (ms)</h2><section>{charts}</section></body></html>"
    )


def _find(run: SavedRun, name: SeriesName) -> SavedSeries | None:
    for series in run.series:
        if SeriesName(series.workspace, series.service) == name:
            return series
    return None


def _chart(name: SeriesName, runs: Sequence[SavedRun]) -> str:
    chart = pygal.Line(js=[], height=320, width=720, logarithmic=True)
    chart.title = f"{name.workspace} / {name.service}"
    chart.x_labels = [f"{percentile:g}" for percentile in PERCENTILES]
    for run in runs:
        series = _find(run, name)
        if series is not None:
            histogram = histogram_of(series)
            chart.add(
                run.label,
                [
                    histogram.get_value_at_percentile(percentile) / 1000
                    for percentile in PERCENTILES
                ],
            )
    return str(chart.render(is_unicode=True, disable_xml_declaration=True))


def _table(run: SavedRun) -> str:
    rows = "".join(
        f"<tr><td>{html.escape(series.workspace)}</td>"
        f"<td>{html.escape(series.service)}</td>"
        f"<td>{html.escape(_outcomes(series))}</td></tr>"
        for series in run.series
    )
    return (
        f"<table><caption>{html.escape(run.label)}, {run.duration_s:g} s</caption>"
        "<tr><th>workspace</th><th>service</th><th>outcomes</th></tr>"
        f"{rows}</table>"
    )


def _outcomes(series: SavedSeries) -> str:
    return ", ".join(f"{name}: {n}" for name, n in sorted(series.outcomes.items()))
