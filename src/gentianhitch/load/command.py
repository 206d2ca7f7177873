"""The ``load`` and ``report`` subcommands."""

from __future__ import annotations

from pathlib import Path

from gentianhitch.errors import ExitCode
from gentianhitch.load.plan import load_plan
from gentianhitch.load.report import render
from gentianhitch.load.run import LoadRun
from gentianhitch.load.tally import Tally
from gentianhitch.load.tally import read_run
from gentianhitch.reactor_run import run_until_done


def load(plan_file: Path, *, output: Path | None = None, label: str = "") -> int:
    """Send an open-loop load and print a table; exit 1 if any request failed.

    :param plan_file: the plan, JSON with comments
    :param output: file for the histograms, read by ``report``
    :param label: name of the run in reports
    """
    plan = load_plan(plan_file)
    tally: Tally = run_until_done(lambda reactor: LoadRun(reactor, plan).start())
    print(_table(tally))
    if output is not None:
        tally.save(output, label or plan_file.stem, plan.duration_s)
    failed = any(
        outcome != "ok"
        for series in tally.series_by_name.values()
        for outcome in series.outcomes
    )
    return ExitCode.FAILED if failed else ExitCode.OK


def report(*runs: Path, output: Path = Path("report.html")) -> int:
    """Draw one HTML page from the files of one or more runs, side by side.

    :param runs: files written by ``load --output``
    :param output: the page to write
    """
    output.write_text(render([read_run(path) for path in runs]), encoding="utf-8")
    print(f"wrote {output}")
    return ExitCode.OK


def _table(tally: Tally) -> str:
    header = (
        f"{'workspace':24} {'service':18} {'ok':>8} {'p50 ms':>8} {'p99 ms':>8}"
        f" {'p99.9 ms':>8}  other outcomes"
    )
    lines = [header]
    for name, series in sorted(tally.series_by_name.items()):
        others = {key: n for key, n in series.outcomes.items() if key != "ok"}
        lines.append(
            f"{name.workspace:24} {name.service:18} {series.outcomes['ok']:>8}"
            f" {series.percentile_ms(50):>8.2f} {series.percentile_ms(99):>8.2f}"
            f" {series.percentile_ms(99.9):>8.2f}"
            f"  {', '.join(f'{key}: {n}' for key, n in sorted(others.items())) or '-'}"
        )
    lines.append(f"sent more than 10 ms late by this tool: {tally.late_sends}")
    return "\n".join(lines)
