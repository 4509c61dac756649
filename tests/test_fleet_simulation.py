"""Tests of the dispatcher under simulated loads, without a network."""

import attrs
import pytest

from bench.crashing_fleet import CrashingFleet
from bench.loads import WorkerFault, load_named
from crocuswell_core.dispatching.index_checks import find_index_problems
from tests.test_load_patterns import with_class

FAULTS = (
    WorkerFault("lost", 2_000, 0.1),
    WorkerFault("silent", 4_000, 0.2, for_ms=5_500),
    WorkerFault("failing", 6_000, 0.1, for_ms=5_000),
    WorkerFault("slow", 9_000, 0.2, for_ms=5_000, factor=6.0),
    WorkerFault("silent", 12_000, 0.3, for_ms=8_000),
    WorkerFault("crash", 15_000, 0.3, for_ms=2_000),
)


class CheckedSimulation(CrashingFleet):
    """Compares the kept indexes with new ones after every event."""

    def check(self) -> None:
        assert not find_index_problems(self.leader.state)


@pytest.mark.parametrize("seed", range(1, 5))
def test_indexes_match_the_state_under_faults(seed: int) -> None:
    """Guards against a change that the kept indexes do not follow."""
    load = attrs.evolve(
        load_named("van"), faults=FAULTS, intensity=2.0, length_ms=20_000
    )
    load = with_class(load, "invoice-batch", crashing_share=0.3)
    outcome = CheckedSimulation(load, seed).play()
    assert outcome.runs > 30


def test_same_seed_gives_the_same_outcome() -> None:
    """Guards against a simulation that depends on anything but its seed."""
    load = attrs.evolve(load_named("van"), faults=FAULTS, length_ms=20_000)
    first, second = (CrashingFleet(load, 3).play() for _ in range(2))
    assert first == second
