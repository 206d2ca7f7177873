"""Run soaks: ``python -m standins.fault_soak --seed 1 --count 50 [--keep FOLDER]``.

Prints a line for each seed; after a broken promise, what struck and what broke, and
exits with 1. ``--keep`` keeps the logs of all processes of the seeds that broke.
"""

from __future__ import annotations

import argparse
import shutil
import sys
from pathlib import Path

from standins.deployment import scratch_folder
from standins.fault_soak.soak import Options
from standins.fault_soak.soak import run_soak


def main() -> int:
    """Run the seeds that the arguments name."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--proxies", type=int, default=6)
    parser.add_argument("--callers", type=int, default=8)
    parser.add_argument("--faults-s", type=float, default=12.0)
    parser.add_argument("--wave", type=int, default=40)
    parser.add_argument("--pausing", type=int, default=8)
    parser.add_argument("--keep", type=Path)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        options = Options(
            *(seed, arguments.proxies, arguments.callers),
            *(arguments.faults_s, arguments.wave, arguments.pausing),
        )
        with scratch_folder() as folder:
            broken, soak = run_soak(options, Path(folder))
            if broken and arguments.keep:
                shutil.copytree(folder, arguments.keep / f"seed-{seed}")
        print(
            f"seed {seed}: {len(broken)} broken; {soak.lines[-1].strip()}", flush=True
        )
        if broken:
            failed += 1
            print("\n".join([*soak.lines, *broken[:20]]), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
