"""Jobs that repeat in time, and work that lasts until it is cancelled."""

import attrs
import pytest

from crocuswell_core.cluster.commands import Refused
from crocuswell_core.jobs.job_commands import CancelJob, PutCatalog, RecordEnds
from crocuswell_core.jobs.job_records import EndKind, RunId, RunProgress, Schedule
from crocuswell_core.runtime.effects import Effect, SendAgent
from crocuswell_core.runtime.errors import ErrorKind
from tests.job_world import (
    LONG,
    TIGHT,
    URGENT,
    Leader,
    Table,
    address,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)

W1, W2 = worker("w1"), worker("w2")
BOOT = "m1/w1@5"


def record(table: Table, run: RunId, kind: EndKind, number: int) -> None:
    table.apply(RecordEnds(BOOT, (end_of(run, kind, number),), number))


def lasting(count: int = 1, **fields: object):
    return attrs.evolve(step(count), lasting=True, **fields)  # type: ignore[arg-type]


def occurrences(leader: Leader) -> set[int]:
    return {task.occurrence for w in (W1, W2) for task in leader.placed(w)}


def test_occurrence_starts_at_its_time_and_not_before() -> None:
    """Guards against work that runs before it is due, or a tick too late."""
    leader = Leader()
    leader.report(1, W1)
    schedule = Schedule(3, leader.now_ms + 1_000, 2_000)
    leader.submit("j", step(1), schedule=schedule)
    leader.tick()
    assert occurrences(leader) == set()
    leader.advance(900)
    leader.report(1, W1)
    leader.tick()
    assert occurrences(leader) == set()
    leader.advance(100)
    leader.report(1, W1)
    leader.tick()
    assert occurrences(leader) == {0}


def test_occurrences_overlap() -> None:
    """Guards against an occurrence that waits for the one before."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(1), schedule=Schedule(3, leader.now_ms, 1_000))
    for _ in range(2):
        leader.advance(1_000)
        leader.report(1, W1, [])
        leader.tick()
    assert occurrences(leader) == {0, 1, 2}


def test_job_is_completed_with_its_last_occurrence() -> None:
    """Guards against a job shown as completed while repetitions are owed."""
    table = Table()
    table.submit("j", step(1), schedule=Schedule(2, 0, 1_000))
    for number in range(2):
        assert table.phase("j") == ("running" if number else "queued")
        run = run_of("j", occurrence=number)
        table.start(run, worker=BOOT)
        record(table, run, EndKind.DONE, number + 1)
    assert table.phase("j") == "completed"


def test_attempts_are_counted_for_each_occurrence() -> None:
    """Guards against failures of one repetition that fail the next."""
    table = Table()
    table.submit("j", step(1), queue=URGENT, schedule=Schedule(2, 0, 1_000))
    for number in range(2):
        run = run_of("j", occurrence=number)
        table.start(run, worker=BOOT)
        record(table, run, EndKind.FAILED, number + 1)
    assert table.phase("j") == "running"
    assert [table.tasks("j", number)[0].failures for number in range(2)] == [1, 1]


def test_occurrence_beyond_the_last_one_is_never_started() -> None:
    """Guards against a decision on a job that was read wrongly."""
    table = Table()
    table.submit("j", step(1), schedule=Schedule(2, 0, 1_000))
    table.start(run_of("j", occurrence=2), worker=BOOT)
    assert not table.cluster.jobs.placed


@pytest.mark.parametrize(
    "kind", [EndKind.DONE, EndKind.FAILED, EndKind.LAPSED, EndKind.STOPPED]
)
def test_lasting_work_is_started_again_however_it_ends(kind) -> None:
    """Guards against a server that stays down after its own failure."""
    table = Table()
    table.submit("j", lasting(), queue=URGENT)
    for number in range(1, 5):
        run = run_of("j", number=number)
        table.start(run, worker=BOOT)
        record(table, run, kind, number)
    assert table.phase("j") == "running"
    assert table.tasks("j")[0].run == 4


def test_lasting_work_ends_with_its_cancellation() -> None:
    """Guards against work that nobody can stop."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", lasting())
    leader.report(1, W1, [RunProgress(run_of("j"), "", 100)])
    stops = stopped(leader.apply(CancelJob("j", address(LONG))))
    assert stops == [run_of("j")]


def stopped(effects: list[Effect]) -> list[RunId]:
    return [
        stop.run
        for effect in effects
        if isinstance(effect, SendAgent)
        for stop in getattr(effect.message, "stops", ())
    ]


def test_lasting_work_is_not_taken_for_stalled() -> None:
    """Guards against servers that are moved since their percent stays."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", lasting())
    progress = RunProgress(run_of("j"), "", 60)
    for _ in range(50):
        leader.advance(200)
        assert not stopped(leader.report(1, W1, [progress]))


def test_lasting_work_leaves_a_draining_worker() -> None:
    """Guards against servers that go down with their worker."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", lasting())
    draining = attrs.evolve(W1, draining=True, remaining_ms=4_000)
    effects = leader.report(1, draining, [RunProgress(run_of("j"), "", 100)])
    assert stopped(effects) == [run_of("j")]


@pytest.mark.parametrize(("away_limit", "evicted"), [(0, True), (1, False)])
def test_work_with_a_limit_on_absences_is_not_evicted(away_limit, evicted) -> None:
    """Guards against servers that go away for urgent work."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", lasting(8, away_limit=away_limit), queue=TIGHT)
    runs = [RunProgress(run_of("j", index), "", 100) for index in range(8)]
    leader.report(1, W1, runs)
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert bool(leader.state.dispatch.stopping) == evicted


def test_job_of_a_queue_that_needs_advice_is_not_accepted() -> None:
    """Guards against a job that is accepted and that no worker may start."""
    table = Table()
    queues = tuple(attrs.evolve(queue, needs_advice=True) for queue in catalog().queues)
    table.apply(PutCatalog(catalog(queues=queues)))
    reply = table.submit("j", step(1))
    assert isinstance(reply, Refused)
    assert reply.kind is ErrorKind.OVERLOADED
    assert "j" not in table.cluster.jobs.jobs
