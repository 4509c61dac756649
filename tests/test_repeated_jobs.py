"""Tests of scheduled, repeating jobs and of long-running tasks."""

import attrs
import pytest

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.jobs.job_commands import CancelJob, PutCatalog, RecordRunEnds
from crocuswell_core.jobs.job_records import RunEndKind, RunId, RunProgress, Schedule
from crocuswell_core.runtime.effects import Effect, SendAgent
from crocuswell_core.runtime.errors import ErrorKind
from tests.job_harness import (
    BATCH,
    LONG,
    TIGHT,
    URGENT,
    Leader,
    ReplicatedTable,
    address,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)

W1, W2 = worker("w1"), worker("w2")
BOOT = "m1/w1@5"


def record_end(
    table: ReplicatedTable, run: RunId, kind: RunEndKind, number: int
) -> None:
    table.apply(RecordRunEnds(BOOT, (end_of(run, kind, number),), number))


def long_running_step(count: int = 1, **fields: object):
    return attrs.evolve(step(count), long_running=True, **fields)  # type: ignore[arg-type]


def placed_occurrences(leader: Leader) -> set[int]:
    return {task.occurrence for w in (W1, W2) for task in leader.placed(w)}


def test_occurrence_starts_when_it_is_due() -> None:
    """Guards against runs before the due time, or a tick too late."""
    leader = Leader()
    leader.report(1, W1)
    schedule = Schedule(3, leader.now_ms + 1_000, 2_000)
    leader.submit("j", step(1), schedule=schedule)
    leader.tick()
    assert placed_occurrences(leader) == set()
    leader.advance(900)
    leader.report(1, W1)
    leader.tick()
    assert placed_occurrences(leader) == set()
    leader.advance(100)
    leader.report(1, W1)
    leader.tick()
    assert placed_occurrences(leader) == {0}


def test_occurrences_overlap() -> None:
    """Guards against an occurrence that waits for the previous one."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(1), schedule=Schedule(3, leader.now_ms, 1_000))
    for _ in range(2):
        leader.advance(1_000)
        leader.report(1, W1, [])
        leader.tick()
    assert placed_occurrences(leader) == {0, 1, 2}


def test_job_is_completed_with_its_last_occurrence() -> None:
    """Guards against a job that is completed before its last occurrence."""
    table = ReplicatedTable()
    table.submit("j", step(1), schedule=Schedule(2, 0, 1_000))
    for number in range(2):
        assert table.phase("j") == ("running" if number else "queued")
        run = run_of("j", occurrence=number)
        table.start(run, worker=BOOT)
        record_end(table, run, RunEndKind.DONE, number + 1)
    assert table.phase("j") == "completed"


def test_attempts_are_counted_for_each_occurrence() -> None:
    """Guards against failures of one occurrence that count for the next."""
    table = ReplicatedTable()
    table.submit("j", step(1), queue=URGENT, schedule=Schedule(2, 0, 1_000))
    for number in range(2):
        run = run_of("j", occurrence=number)
        table.start(run, worker=BOOT)
        record_end(table, run, RunEndKind.FAILED, number + 1)
    assert table.phase("j") == "running"
    assert [table.tasks("j", number)[0].failures for number in range(2)] == [1, 1]


def test_occurrence_after_the_last_one_is_never_started() -> None:
    """Guards against a start of an occurrence that does not exist."""
    table = ReplicatedTable()
    table.submit("j", step(1), schedule=Schedule(2, 0, 1_000))
    table.start(run_of("j", occurrence=2), worker=BOOT)
    assert not table.cluster.jobs.placed


@pytest.mark.parametrize(
    "kind", [RunEndKind.DONE, RunEndKind.FAILED, RunEndKind.LAPSED, RunEndKind.STOPPED]
)
def test_long_running_task_is_restarted_however_it_ends(kind) -> None:
    """Guards against a long-running task that ends for good with one run."""
    table = ReplicatedTable()
    table.submit("j", long_running_step(), queue=URGENT)
    for number in range(1, 5):
        run = run_of("j", number=number)
        table.start(run, worker=BOOT)
        record_end(table, run, kind, number)
    assert table.phase("j") == "running"
    assert table.tasks("j")[0].run == 4


def test_long_running_task_is_stopped_by_cancellation() -> None:
    """Guards against long-running tasks that cannot be stopped."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", long_running_step())
    leader.report(1, W1, [RunProgress(run_of("j"), "", 100)])
    stops = stopped_runs(leader.apply(CancelJob("j", address(LONG))))
    assert stops == [run_of("j")]


def stopped_runs(effects: list[Effect]) -> list[RunId]:
    return [
        stop.run
        for effect in effects
        if isinstance(effect, SendAgent)
        for stop in getattr(effect.message, "stops", ())
    ]


def test_long_running_task_is_never_stalled() -> None:
    """Guards against stopping long-running tasks for lack of progress."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", long_running_step())
    progress = RunProgress(run_of("j"), "", 60)
    for _ in range(50):
        leader.advance(200)
        assert not stopped_runs(leader.report(1, W1, [progress]))


def test_long_running_task_leaves_a_draining_worker() -> None:
    """Guards against long-running tasks that end with their worker."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", long_running_step())
    draining = attrs.evolve(W1, draining=True, remaining_ms=4_000)
    effects = leader.report(1, draining, [RunProgress(run_of("j"), "", 100)])
    assert stopped_runs(effects) == [run_of("j")]


@pytest.mark.parametrize(("max_unavailable", "evicted"), [(0, True), (1, False)])
def test_step_with_an_unavailability_limit_is_not_evicted(
    max_unavailable, evicted
) -> None:
    """Guards against preempting tasks that must stay available."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit(
        "j", long_running_step(8, max_unavailable=max_unavailable), queue=TIGHT
    )
    runs = [RunProgress(run_of("j", index), "", 100) for index in range(8)]
    leader.report(1, W1, runs)
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert bool(leader.state.dispatch.stopping) == evicted


def test_job_of_a_queue_that_needs_advice_is_not_accepted() -> None:
    """Guards against accepting a job that no worker may run."""
    table = ReplicatedTable()
    queues = tuple(
        attrs.evolve(queue, needs_placement_advice=True) for queue in catalog().queues
    )
    table.apply(PutCatalog(catalog(queues=queues)))
    reply = table.submit("j", step(1))
    assert isinstance(reply, Refused)
    assert reply.kind is ErrorKind.OVERLOADED
    assert "j" not in table.cluster.jobs.jobs


def test_lasting_task_that_failed_does_not_wait_behind_a_gang() -> None:
    """Guards against lasting work that a waiting gang keeps out (case 15)."""
    leader = Leader()
    workers = [worker(f"w{number}") for number in range(3)]
    for stream_id, description in enumerate(workers, 1):
        leader.report(stream_id, description)
    filling = attrs.evolve(long_running_step(3), per_worker_limit=1)
    demand = attrs.evolve(filling.demand, accelerators=4)
    leader.submit("filling", attrs.evolve(filling, demand=demand), queue=LONG)
    leader.submit("lasting", long_running_step(2), queue=BATCH)
    leader.submit("gang", step(3, accelerators=8, gang=True), queue=TIGHT)
    failed = run_of("lasting")
    for stream_id, description in enumerate(workers, 1):
        placed = [RunId(*item) for item in leader.placed(description).items()]
        ends = [end_of(run, RunEndKind.FAILED) for run in placed if run == failed]
        running = [RunProgress(run, "", 100) for run in placed if run != failed]
        leader.report(stream_id, description, running, ends)
    leader.tick()
    held = {run for each in workers for run in leader.placed(each).items()}
    assert (failed.task, 2) in held
