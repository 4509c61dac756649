"""Randomized simulation of an agent; invariants hold after every event.

Guards against two starts of an attempt, more tasks than slots or resources,
a task that runs after its lease, a refused task that ran, a gap in the
reports, and a member, task or report that never ends. `make test` runs the
same seeds each time; to run others:

    python -m tests.test_agent_random FIRST LAST
"""

import sys
from collections import Counter

import pytest

from tests.agent_simulation import run_seed

SEEDS = 100
DURATION_MS = 60_000


# Counters of the code paths that the seeds must exercise.
PATHS = (
    "lease_stops",
    "orders_outdated",
    "starts_in_doubt",
    "starts_repeated",
    "stops_repeated",
    "tasks_failed",
    "tasks_finished",
    "tasks_lost",
    "tasks_refused",
    "tasks_stopped",
    "tasks_taken_over",
    "unwanted_stopped",
)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_run(seed: int) -> None:
    run_seed(seed, DURATION_MS)


def test_random_runs_cover_all_paths() -> None:
    """Guards against runs that pass without exercising the agent."""
    counters: Counter[str] = Counter()
    for seed in range(20):
        counters.update(run_seed(seed, DURATION_MS).counters)
    assert [path for path in PATHS if not counters[path]] == []


def main() -> None:
    """Run a range of seeds and stop at the first that fails."""
    for seed in range(int(sys.argv[1]), int(sys.argv[2])):
        print(f"seed {seed}", flush=True)
        run_seed(seed, 2 * DURATION_MS)


if __name__ == "__main__":
    main()
