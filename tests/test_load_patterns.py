"""What callers get under heavy patterns of load, simulated without a network.

Each pattern is played with several seeds on 48 workers with the kinds of
jobs of the large deployment. The bounds on the value earned are the users'
target for that deployment.
"""

import attrs
import pytest

from bench.fleet_simulation import FleetSimulation, Outcome
from bench.loads import Burst, JobClass, Load, WorkerFault, load_named
from crocuswell_core.jobs.job_commands import PutCatalog
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunId,
    RunProgress,
    StepSpec,
)
from tests.job_harness import TIGHT, URGENT, Leader, catalog, step, worker

TARGET_VALUE = 0.63
SEEDS = (1, 2, 3)


def fleet(intensity: float = 1.0, **changes: object) -> Load:
    """Return the large load on 48 workers, with the same load per worker."""
    large = load_named("large")
    return attrs.evolve(
        large, workers=48, intensity=0.3 * intensity, workspaces=8, **changes
    )


def with_class(load: Load, name: str, **changes: object) -> Load:
    """Return the load with other fields of one class of jobs."""

    def change(job_class: JobClass) -> JobClass:
        if job_class.name != name:
            return job_class
        return attrs.evolve(job_class, **changes)

    return attrs.evolve(load, classes=tuple(change(c) for c in load.classes))


def play(load: Load) -> list[Outcome]:
    return [FleetSimulation(load, seed).play() for seed in SEEDS]


def mean_value(outcomes: list[Outcome]) -> float:
    return sum(outcome.share for outcome in outcomes) / len(outcomes)


PATTERNS = {
    "burst on a full fleet": with_class(
        fleet(), "stock-quote", burst=Burst(8_000, 6_000, 3.0)
    ),
    "loss of a tenth of the workers at once": fleet(
        0.8, faults=(WorkerFault("lost", 8_000, 0.1),)
    ),
    "a tenth of the workers out of contact": fleet(
        0.8, faults=(WorkerFault("silent", 8_000, 0.1, for_ms=5_500),)
    ),
    "cancellations in waves": with_class(fleet(), "cut-list", cancelled_share=0.5),
    "hopeless jobs among good ones": with_class(
        fleet(), "cut-list", hopeless_share=0.3
    ),
    "workers slow by 5": fleet(
        0.8, faults=(WorkerFault("slow", 8_000, 0.15, for_ms=7_000, factor=5.0),)
    ),
}


@pytest.mark.parametrize("pattern", PATTERNS)
def test_pattern_keeps_the_target_value(pattern: str) -> None:
    """Guards against a policy under which a heavy pattern ruins the day."""
    assert mean_value(play(PATTERNS[pattern])) >= TARGET_VALUE


@pytest.mark.parametrize(
    ("urgent_tasks", "preempts"),
    [(2, False), (3, True)],
)
def test_burst_on_a_full_fleet_displaces_less_work_than_it_does(
    urgent_tasks: int, preempts: bool
) -> None:
    """Guards against urgent jobs that wait behind long work until too late.

    The fleet's workers run a gang that would lose 461 core seconds. An
    urgent job beyond its guarantee may stop it only if its own tasks do more,
    which are 200 each.
    """
    leader = Leader()
    workers = [worker(f"w{index}") for index in range(2)]
    for stream_id, description in enumerate(workers, start=1):
        leader.report(stream_id, description)
    leader.submit("long", step(16, gang=True), queue=TIGHT)
    for stream_id, description in enumerate(workers, start=1):
        runs = [
            RunProgress(RunId(task, number), "", 22)
            for task, number in leader.placed(description).items()
        ]
        leader.report(stream_id, description, runs)
    demand = ResourceVector(16_000, 16_000, 3)
    urgent = StepSpec(urgent_tasks, demand, 5_000)
    leader.apply(PutCatalog(catalog(2, guaranteed=0)))
    leader.submit("urgent", urgent, queue=URGENT)
    assert bool(leader.state.dispatch.stopping) is preempts
