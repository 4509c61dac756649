"""Tasks that crash the workers that start them, and other crashes."""

import attrs
import pytest

from bench.crashing_fleet import CrashingFleet
from bench.loads import Load, WorkerFault, load_named
from crocuswell_core.jobs.job_records import RunId, Schedule
from tests.crash_harness import CrashingWorkers
from tests.job_harness import BATCH, TIGHT, URGENT, step
from tests.test_load_patterns import with_class

# Once a task has crashed three workers it is started less than three times
# more.
MAX_LATE_STARTS = 2
MAX_STARTS = 3 + MAX_LATE_STARTS


def first_task_after(ms: int):
    """Return a rule by which first tasks of jobs named `bad` crash workers."""

    def crash_after_ms(run: RunId) -> int | None:
        is_bad = run.task.job_id.startswith("bad") and run.task.index == 0
        return ms if is_bad else None

    return crash_after_ms


@pytest.mark.parametrize("crash_after_ms", [0, 500, 2_000, 4_000])
@pytest.mark.parametrize(
    "of_step",
    [
        step(2, accelerators=2),
        step(3, accelerators=2, gang=True),
        step(1, checkpointing=True),
        step(2, accelerators=1, long_running=True),
    ],
    ids=["tasks", "gang", "resumable", "long-running"],
)
def test_task_that_crashes_each_worker_is_given_up(of_step, crash_after_ms) -> None:
    """Guards against one task that takes down worker after worker."""
    fleet = CrashingWorkers(crash_after_ms=first_task_after(crash_after_ms))
    fleet.leader.submit("bad", of_step, queue=TIGHT)
    fleet.run_until_ended("bad")
    assert fleet.phase("bad") == "failed"
    assert max(fleet.starts.values()) <= MAX_STARTS


def test_two_such_tasks_are_given_up_although_they_start_together() -> None:
    """Guards against two culprits of which each hides behind the other."""
    fleet = CrashingWorkers(crash_after_ms=first_task_after(0))
    for job_id in ("bad-1", "bad-2"):
        fleet.leader.submit(job_id, step(1, accelerators=1), queue=TIGHT)
    fleet.run_until_ended("bad-1", "bad-2")
    assert (fleet.phase("bad-1"), fleet.phase("bad-2")) == ("failed", "failed")
    assert max(fleet.starts.values()) <= MAX_STARTS


@pytest.mark.parametrize("restart_ms", [12_000, 1_000_000])
def test_task_is_given_up_although_its_workers_stay_away(restart_ms) -> None:
    """Guards against crashes that count only once the worker is back."""
    fleet = CrashingWorkers(
        count=8, crash_after_ms=first_task_after(0), restart_ms=restart_ms
    )
    fleet.leader.submit("bad", step(1), queue=TIGHT)
    fleet.run_until_ended("bad")
    assert fleet.phase("bad") == "failed"
    assert max(fleet.starts.values()) <= MAX_STARTS


def test_later_occurrences_of_a_job_that_crashes_workers_do_not_start() -> None:
    """Guards against a repeated job that crashes workers at each due time."""
    fleet = CrashingWorkers(crash_after_ms=first_task_after(0))
    schedule = Schedule(5, fleet.now_ms, 20_000)
    fleet.leader.submit("bad", step(1), queue=TIGHT, schedule=schedule)
    fleet.run(130_000)
    assert fleet.phase("bad") == "failed"
    assert sum(fleet.starts.values()) <= MAX_STARTS


def test_count_of_crashes_outlasts_changes_of_the_leader() -> None:
    """Guards against a count that each new leader begins anew."""
    fleet = CrashingWorkers(crash_after_ms=first_task_after(0))
    fleet.leader.submit("bad", step(1), queue=TIGHT)
    for _ in range(10):
        fleet.run(4_000)
        fleet.change_leader()
    assert fleet.phase("bad") == "failed"
    assert max(fleet.starts.values()) <= MAX_STARTS


def test_neighbours_of_a_task_that_crashes_workers_are_done() -> None:
    """Guards against giving up work that was only in the wrong place."""
    fleet = CrashingWorkers(count=3, crash_after_ms=first_task_after(0))
    good = [f"good-{number}" for number in range(6)]
    for job_id in (*good[:3], "bad", *good[3:]):
        fleet.leader.submit(job_id, step(1, accelerators=2), queue=TIGHT)
    fleet.run_until_ended("bad", *good)
    assert fleet.phase("bad") == "failed"
    assert {fleet.phase(job_id) for job_id in good} == {"completed"}


# --- crashes that no task has caused ---------------------------------------


@pytest.mark.parametrize("gap_ms", [3_200, 4_000, 5_000, 7_000])
@pytest.mark.parametrize("by_rack", [True, False])
def test_waves_of_crashes_without_a_culprit_fail_no_job(gap_ms, by_rack) -> None:
    """Guards against giving up work for crashes that it did not cause.

    The waves come in step with the restarts of the work that they hit.
    """
    fleet = CrashingWorkers(count=12, work_ms=8_000)
    jobs = [f"job-{number}" for number in range(20)]
    for number, job_id in enumerate(jobs):
        of_step = step(1 + number % 3, accelerators=1, gang=number % 4 == 0)
        fleet.leader.submit(job_id, of_step, queue=(URGENT, TIGHT, BATCH)[number % 3])
    fleet.leader.submit("lasting", step(8, long_running=True), queue=TIGHT)
    for wave in range(5):
        fleet.run(gap_ms)
        start = 3 * wave % 12
        hit = fleet.workers[start : start + 3] if by_rack else fleet.workers[wave::4]
        fleet.crash(hit)
    fleet.run_until_ended(*jobs)
    assert {fleet.phase(job_id) for job_id in jobs} == {"completed"}
    assert fleet.phase("lasting") == "running"


def test_worker_that_crashes_again_and_again_fails_no_job() -> None:
    """Guards against blaming tasks for a faulty worker."""
    fleet = CrashingWorkers(count=4, work_ms=8_000)
    jobs = [f"job-{number}" for number in range(12)]
    for job_id in jobs:
        fleet.leader.submit(job_id, step(1, accelerators=2), queue=TIGHT)
    for _ in range(8):
        fleet.run(3_700)
        fleet.crash(fleet.workers[:1])
    fleet.run_until_ended(*jobs)
    assert {fleet.phase(job_id) for job_id in jobs} == {"completed"}


# --- whole loads -------------------------------------------------------------

WAVES = tuple(
    WorkerFault(
        "crash" if number % 2 else "rack_crash", 3_000 + 5_000 * number, 0.3, 2_500
    )
    for number in range(5)
)
SEEDS = range(1, 7)


def van_load(**changes: object) -> Load:
    return attrs.evolve(load_named("van"), length_ms=34_000, **changes)


def play(load: Load, seed: int) -> CrashingFleet:
    fleet = CrashingFleet(load, seed)
    fleet.play()
    return fleet


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("share", [0.1, 0.5])
@pytest.mark.parametrize("name", ["route-replan", "blade-scan", "invoice-batch"])
def test_load_with_tasks_that_crash_workers(name, share, seed) -> None:
    """Guards against workers that crash without end under a busy load."""
    fleet = play(with_class(van_load(), name, crashing_share=share), seed)
    assert max(fleet.late_starts.values(), default=0) <= MAX_LATE_STARTS
    assert not fleet.wrongly_failed


@pytest.mark.parametrize("seed", range(1, 21))
def test_load_with_waves_of_crashes_loses_no_job(seed) -> None:
    """Guards against giving up work under crashes that it did not cause."""
    assert not play(van_load(faults=WAVES), seed).wrongly_failed


@pytest.mark.parametrize("seed", SEEDS)
def test_waves_do_not_hide_tasks_that_crash_workers(seed) -> None:
    """Guards against culprits that pass as victims of other crashes."""
    load = with_class(van_load(faults=WAVES), "route-replan", crashing_share=0.3)
    fleet = play(load, seed)
    assert max(fleet.late_starts.values(), default=0) <= MAX_LATE_STARTS
    assert not fleet.wrongly_failed
