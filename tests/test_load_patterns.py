"""What callers get under heavy patterns of load, simulated without a network.

Each pattern is played with several seeds on 48 workers with the kinds of
jobs of the large deployment. The bounds on the value earned are the users'
target for that deployment.
"""

import attrs
import pytest

from bench.fleet_simulation import FleetSimulation
from bench.load_outcomes import Outcome
from bench.loads import Burst, JobClass, Load, WorkerFault, load_named
from crocuswell_core.jobs.job_commands import PutCatalog
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunId,
    RunProgress,
    StepSpec,
)
from tests.job_harness import BATCH, TIGHT, URGENT, Leader, catalog, step, worker

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
    "an eighth of the workers leave at short notice": fleet(
        0.8, faults=(WorkerFault("leaving", 8_000, 0.125, for_ms=4_000),)
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


def test_no_work_is_lost_on_workers_that_are_cut_off_for_six_seconds() -> None:
    """Guards against giving up the runs of workers that are only cut off."""
    cut = WorkerFault("silent", 8_000, 0.25, for_ms=6_000)
    for outcome in play(fleet(0.8, faults=(cut,))):
        causes = ("lapsed", "gang_broken")
        assert not any(outcome.wasted_core_s.get(cause) for cause in causes)


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


def list_runs(leader: Leader, stream_id: int, description, percent: int) -> None:
    """Report the runs that are placed on a worker, at one percentage."""
    runs = [
        RunProgress(RunId(task, number), "", percent)
        for task, number in leader.placed(description).items()
    ]
    leader.report(stream_id, description, runs)


def test_run_that_ends_within_a_second_is_not_stopped() -> None:
    """Guards against urgent jobs that stop runs which make room anyway."""
    leader, only = Leader(), worker("w1")
    leader.report(1, only)
    leader.submit("long", step(8, gang=True), queue=TIGHT)
    for percent in (45, 60, 75, 90):
        list_runs(leader, 1, only, percent)
        leader.advance(700)
    list_runs(leader, 1, only, 95)
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert not leader.state.dispatch.stopping
    for _ in range(5):
        leader.advance(300)
        list_runs(leader, 1, only, 96)
        leader.tick()
    # The runs have not ended as expected, and the urgent job must start.
    assert len(leader.state.dispatch.stopping) == 8


def test_stop_is_weighed_by_the_time_that_a_run_has_worked() -> None:
    """Guards against stopping long work whose declared run time is short.

    The run is declared with 5 s, of which 20 percent are 18 core seconds; it
    has worked for 18 s, which are 324.
    """
    leader, only = Leader(), worker("w1")
    leader.report(1, only)
    leader.submit("long", step(1), queue=TIGHT)
    for percent in range(2, 20):
        list_runs(leader, 1, only, percent)
        leader.advance(1_000)
    list_runs(leader, 1, only, 20)
    leader.apply(PutCatalog(catalog(2, guaranteed=0)))
    small = StepSpec(1, ResourceVector(1_000, 1_000, 8), 1_000)
    leader.submit("urgent", small, queue=URGENT)
    assert not leader.state.dispatch.stopping


def test_no_work_fills_the_gap_that_an_urgent_job_waits_for() -> None:
    """Guards against tasks that start in each gap and are stopped again."""
    leader, only = Leader(), worker("w1")
    leader.report(1, only)
    leader.submit("first", step(7, gang=True), queue=TIGHT)
    for percent in range(5, 60, 5):
        list_runs(leader, 1, only, percent)
        leader.advance(1_000)
    list_runs(leader, 1, only, 60)
    leader.apply(PutCatalog(catalog(2, guaranteed=0)))
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert not leader.state.dispatch.stopping
    short = attrs.evolve(step(1), estimated_ms=500)
    leader.submit("filler", short, queue=BATCH)
    assert {task.job_id for task in leader.placed(only)} == {"first"}


@pytest.mark.parametrize(
    ("pace_percent", "remaining_ms", "moved"),
    [(2, 4_000, True), (10, 4_000, False), (6, 500, False)],
)
def test_hopeless_run_does_not_wait_for_its_worker_to_leave(
    pace_percent: int, remaining_ms: int, moved: bool
) -> None:
    """Guards against gangs that work on with a member that must be lost."""
    leader, leaving = Leader(), worker("w1")
    leader.report(1, leaving)
    leader.submit("gang", step(8, gang=True), queue=TIGHT)
    for seconds in range(1, 8):
        list_runs(leader, 1, leaving, seconds * pace_percent)
        leader.advance(1_000)
    leaving = attrs.evolve(leaving, draining=True, remaining_ms=remaining_ms)
    list_runs(leader, 1, leaving, 8 * pace_percent)
    assert bool(leader.state.dispatch.stopping) is moved
