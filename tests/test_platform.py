"""The whole platform under random faults, and faults planted in it."""

import pytest

from tests.platform_simulator import run_platform_seed

SEEDS = (1, 2, 3)
STEPS = 4_000


@pytest.mark.parametrize("seed", SEEDS)
def test_platform_invariants_hold_under_random_faults(seed):
    """Guards against faults that need hosts, agents and callers together."""
    run_platform_seed(seed, STEPS)


def test_a_platform_seed_replays_exactly():
    """Guards against a failing seed that cannot be reproduced."""
    first, second = (run_platform_seed(2, 2_000) for _ in range(2))
    assert first.faults == second.faults
    assert first.time_ms == second.time_ms
    assert first.callers.replies == second.callers.replies
