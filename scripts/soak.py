"""Run the consensus protocol under random faults and check its invariants.

With `--platform`, the simulation includes agents, backend servers and
callers; with `--jobs`, control hosts, runners, workers and callers of jobs;
with `--refusals`, the same with workers that refuse orders at times; with
`--restarts`, with workers that start again under their id; with `--crowds`,
large jobs that are cancelled, on workers that leave orders unanswered; with
`--backlogs`, workers with more ends than they list at a time.

Runs consecutive seeds, each for at most `STEPS_PER_SEED` steps, until
`--steps` are done. A seed replays exactly with the same number of steps.
"""

import argparse
import sys
import traceback
from collections import Counter
from collections.abc import Callable
from typing import Any

from tests.backlog_fleet import run_backlogs_seed
from tests.consensus_checks import run_seed
from tests.crowd_fleet import run_crowds_seed
from tests.job_fleet import run_jobs_seed, run_refusals_seed
from tests.platform_simulator import run_platform_seed
from tests.restarting_fleet import run_restarts_seed

STEPS_PER_SEED = 20_000


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=200_000)
    parser.add_argument("--platform", action="store_true")
    parser.add_argument("--jobs", action="store_true")
    parser.add_argument("--refusals", action="store_true")
    parser.add_argument("--restarts", action="store_true")
    parser.add_argument("--crowds", action="store_true")
    parser.add_argument("--backlogs", action="store_true")
    args = parser.parse_args()
    run: Callable[[int, int], Any] = run_seed
    target = "soak"
    if args.platform:
        run, target = run_platform_seed, "soak-platform"
    elif args.jobs:
        run, target = run_jobs_seed, "soak-jobs"
    elif args.refusals:
        run, target = run_refusals_seed, "soak-refusals"
    elif args.restarts:
        run, target = run_restarts_seed, "soak-restarts"
    if args.crowds:
        run, target = run_crowds_seed, "soak-crowds"
    elif args.backlogs:
        run, target = run_backlogs_seed, "soak-backlogs"
    faults: Counter[str] = Counter()
    steps = seeds = violations = 0
    while steps < args.steps:
        seed = args.seed + seeds
        step_limit = min(STEPS_PER_SEED, args.steps - steps)
        seeds += 1
        try:
            simulation = run(seed, step_limit)
        except Exception:
            # Not only `InvariantError`: the core also raises when it detects
            # an inconsistent state.
            violations += 1
            steps += step_limit
            traceback.print_exc(limit=-3)
            print(f"replay: make {target} SEED={seed} STEPS={step_limit}")
            continue
        steps += simulation.steps
        faults += simulation.faults
    for kind, count in sorted(faults.items()):
        print(f"{kind}: {count}")
    print(
        f"soak: {seeds} seeds, {steps} steps, {faults.total()} faults, "
        f"{violations} violations"
    )
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
