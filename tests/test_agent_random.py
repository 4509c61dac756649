"""Random runs of the agent's reducer, with invariants after every event.

Guards against two starts of an attempt, more tasks than slots or resources,
a task that runs after its lease, a refused task that ran, a gap in the
reports, and a member, task or report that never comes to an end. `make
test` runs the same seeds each time; for more of them:

    python -m tests.test_agent_random FIRST LAST
"""

import sys
from collections import Counter

import pytest

from tests.agent_world import run_seed

SEEDS = 100
DURATION_MS = 60_000


# Paths that a run must take for its verdict to mean something.
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


def test_random_runs_take_the_paths_that_matter() -> None:
    """Guards against runs that pass because nothing happens in them."""
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
