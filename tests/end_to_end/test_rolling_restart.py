"""A planned stop of each instance in turn, under open-loop load."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

from gentianhitch.load.tally import read_run
from standins import demo
from standins.deployment import Deployment
from standins.deployment import wait_until

RATE = 60
DURATION_S = 75
TIMEOUT_S = 200


def write_plan(deployment: Deployment, key: str) -> Path:
    key_file = deployment.folder / "north.key"
    key_file.write_text(key)
    common = {"workspace": demo.WORKSPACE, "key_file": str(key_file), "rate": RATE / 2}
    read = {"service": "stock", "method": "GET", "path": "/stock/{n}", **common}
    order = {"service": "orders", "method": "POST", "path": "/orders", **common}
    plan = {
        "entries": deployment.entries,
        "duration_s": DURATION_S,
        "streams": [read, order],
    }
    path = deployment.folder / "plan.jsonc"
    path.write_text(json.dumps(plan))
    return path


def refusals(deployment: Deployment, name: str) -> dict[str, int]:
    done = deployment.command("instance", at=name)
    counts = json.loads(done.stdout)["counts_by_name"]
    return {key: n for key, n in counts.items() if "refus" in key or "retries" in key}


def restart(deployment: Deployment, name: str, failure_domain: str, key: str) -> None:
    ready = deployment.programs_by_name[name].ready
    deployment.list_instance(name, failure_domain, "leaving")
    print(name, refusals(deployment, name))
    assert deployment.stop_entry(name) == 0
    deployment.start_entry(
        name, failure_domain, callers=ready["callers"], peers=ready["peers"]
    )

    def listed() -> bool:
        return all(
            ready["callers"] in demo.directory(entry, "stock")
            for entry in deployment.entries
        )

    wait_until(listed, f"{name} to be in every directory again")
    demo.wait_until_served(deployment, key)


class TestRollingRestart:
    def test_no_request_fails_or_is_refused(self, tmp_path: Path) -> None:
        with Deployment(tmp_path) as deployment:
            demo.promote(deployment, demo.sample_document(demo.start(deployment)))
            key = demo.give_key(deployment, demo.WORKSPACE)
            demo.wait_until_served(deployment, key)
            output = tmp_path / "run.json"
            plan = write_plan(deployment, key)
            load = subprocess.Popen(
                [
                    *(sys.executable, "-m", "gentianhitch", "load", str(plan)),
                    *("--output", str(output)),
                ],
                env=os.environ.copy(),
            )
            for number, domain in enumerate(demo.FAILURE_DOMAINS, start=1):
                restart(deployment, f"entry-{number}", domain, key)
            still_loaded = load.poll() is None
            for name in deployment.entry_names:
                print(name, refusals(deployment, name))
            assert load.wait(TIMEOUT_S) == 0
            assert still_loaded, "the load ended before the restarts"
        outcomes = [series.outcomes for series in read_run(output).series]
        assert len(outcomes) == 2
        assert all(set(seen) == {"ok"} for seen in outcomes)
