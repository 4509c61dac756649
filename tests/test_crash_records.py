"""Tests of what runners witness of crashes, and of the record of them."""

import pytest

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.jobs.crash_history import CrashHistory
from crocuswell_core.jobs.job_commands import MarkWorkerLost
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    RunEndKind,
    WorkerCrash,
)
from crocuswell_core.runner.worker_calls import (
    ListRuns,
    NoAnswer,
    OrderAccepted,
    StartOnWorker,
    WorkerLeaving,
)
from crocuswell_core.runtime.effects import EmitLogEvent
from crocuswell_core.runtime.events import CallReceived, EntryStreamClosed, TimerFired
from crocuswell_core.runtime.timers import UplinkTimer
from crocuswell_daemon import wire
from tests.job_harness import (
    TIGHT,
    Leader,
    ReplicatedTable,
    end_of,
    run_of,
    step,
    worker,
)
from tests.test_runner import KEY, Runner

ACCEPTED = OrderAccepted(500_000)
REFUSED = NoAnswer("connection refused", sent=False)
ABORTED = NoAnswer("connection aborted", sent=True)
A, B = run_of("j"), run_of("j", 1)


# --- the runner ----------------------------------------------------------


def granted_runner() -> Runner:
    runner = Runner()
    runner.attach()
    runner.send_heartbeat()
    runner.reply_with_list()
    runner.grant()
    return runner


def restart_worker(runner: Runner) -> None:
    runner.calls.clear()
    runner.send_heartbeat(id="w1b", born_ms=9, sequence=1)
    runner.reply_with_list(born_ms=9)


def test_runs_on_a_crashed_worker_are_reported_with_their_age() -> None:
    """Guards against a crash of which nobody knows what ran there."""
    runner = granted_runner()
    runner.order(A)
    runner.reply(StartOnWorker, ACCEPTED)
    runner.tick(3_000)
    runner.reply_with_list(A)
    runner.order(B)
    runner.reply(StartOnWorker, ABORTED)
    runner.reply(ListRuns, ABORTED)
    runner.tick(1_000)
    restart_worker(runner)
    crash = crash_of(CrashedRun(B, 0, 0), CrashedRun(A, 3_000, 3_000))
    assert runner.reports[-1].crashes == (crash,)


def test_start_that_no_worker_received_is_not_part_of_a_crash() -> None:
    """Guards against blaming a run that was ordered from a dead worker."""
    runner = granted_runner()
    runner.reply(ListRuns, REFUSED)
    runner.order(A)
    runner.reply(StartOnWorker, REFUSED)
    restart_worker(runner)
    assert runner.reports[-1].crashes == ()


def test_run_that_ended_before_is_not_part_of_a_crash() -> None:
    """Guards against blaming a run that was no longer there."""
    runner = granted_runner()
    runner.order(A, B)
    runner.reply(StartOnWorker, ACCEPTED)
    runner.reply(StartOnWorker, ACCEPTED)
    runner.tick()
    runner.reply_with_list(B, ended=[end_of(A, RunEndKind.DONE)])
    runner.tick()
    runner.reply(ListRuns, ABORTED)
    restart_worker(runner)
    (crash,) = runner.reports[-1].crashes
    assert [crashed.run for crashed in crash.runs] == [B]


def leave(runner: Runner) -> None:
    runner.post(CallReceived(2, WorkerLeaving("w1")))


def drain(runner: Runner) -> None:
    runner.send_heartbeat(draining=True, remaining_ms=2_000, sequence=2)


@pytest.mark.parametrize("announce", [leave, drain])
def test_worker_that_ends_as_announced_has_not_crashed(announce) -> None:
    """Guards against blaming the runs of a worker that was taken away."""
    runner = granted_runner()
    runner.order(A)
    runner.reply(StartOnWorker, ACCEPTED)
    announce(runner)
    runner.reply(ListRuns, REFUSED)
    restart_worker(runner)
    assert runner.reports[-1].crashes == ()


def test_crash_behind_a_cut_is_reported_until_it_is_recorded() -> None:
    """Guards against a crash that is forgotten with the stream."""
    runner = granted_runner()
    runner.order(A)
    runner.reply(StartOnWorker, ACCEPTED)
    runner.post(EntryStreamClosed(runner.state.uplink.stream_id, "cut"))
    runner.reply(ListRuns, ABORTED)
    runner.tick(2_000)
    restart_worker(runner)
    runner.tick(20_000)
    runner.post(TimerFired(UplinkTimer()))
    runner.attach(term=4)
    assert [crash.worker for crash in runner.reports[-1].crashes] == [KEY]
    runner.grant(recorded_crash_ms=5)
    runner.tick(600)
    assert runner.reports[-1].crashes == ()


# --- the record ----------------------------------------------------------


def crash_of(
    *runs: CrashedRun, machine: str = "m1", worker_id: str = "w1"
) -> WorkerCrash:
    return WorkerCrash(machine, worker_id, 5, runs)


def test_crash_is_counted_once_however_late_and_often_it_is_reported() -> None:
    """Guards against a count that depends on when a crash becomes known."""
    table = ReplicatedTable()
    table.submit("j", step(2))
    table.start(A, B)
    crash = crash_of(CrashedRun(A, 300, 300), CrashedRun(B, 4_000, 4_000))
    table.apply(MarkWorkerLost("m1/w1@5"))
    table.start(run_of("j", number=2), worker="m2/w2@5")
    for _ in range(2):
        table.apply(MarkWorkerLost("m1/w1@5", crash=crash))
    expected = [
        CrashHistory(1, 1, 1, 300, 300, ("m1",)),
        CrashHistory(1, 0, 1, 4_000, 4_000, ("m1",)),
    ]
    assert [task.crashes for task in table.tasks("j")] == expected
    assert table.tasks("j")[0].run == 2


def test_crash_of_a_boot_with_an_earlier_start_is_counted_once() -> None:
    """Guards against crashes that are ignored after a clock stepped back."""
    table = ReplicatedTable()
    table.submit("j", step(checkpointing=True))
    crashes = []
    for number, born_ms in enumerate((9, 5), 1):
        run = run_of("j", number=number)
        table.start(run, worker=f"m1/w1@{born_ms}")
        crashed = CrashedRun(run, 9_000, 9_000)
        crashes.append(WorkerCrash("m1", "w1", born_ms, (crashed,)))
        for crash in crashes * 2:
            table.apply(MarkWorkerLost(crash.worker, crash=crash))
    (task,) = table.tasks("j")
    assert task.crashes is not None
    assert task.crashes.count == len(crashes)


def test_crashes_with_a_common_cause_are_not_counted() -> None:
    """Guards against blaming tasks for a rack that lost power."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(A)
    crash = crash_of(CrashedRun(A, 300, 300))
    table.apply(MarkWorkerLost("m1/w1@5", crash=crash, coincident=True))
    assert table.tasks("j")[0].crashes == CrashHistory(excused=1)
    assert table.tasks("j")[0].worker == ""


@pytest.mark.parametrize("coincident", [True, False])
def test_work_that_lasts_outlives_any_number_of_crashes(coincident: bool) -> None:
    """Guards against giving up lasting work for a year of power failures."""
    table = ReplicatedTable()
    table.submit("j", step(1, long_running=True))
    for number in range(1, 21):
        run, machine = run_of("j", number=number), f"m{number}"
        table.start(run, worker=f"{machine}/w1@5")
        # Now and then one comes soon after a restart.
        age_ms = 20_000 if number % 4 == 0 else 3_600_000
        crash = crash_of(CrashedRun(run, age_ms, age_ms), machine=machine)
        loss = MarkWorkerLost(crash.worker, crash=crash, coincident=coincident)
        table.apply(loss)
    assert table.phase("j") == "running"


def test_work_that_lasts_is_not_given_up_for_a_worker_that_crashes() -> None:
    """Guards against the end of a sound job on a bad machine (case 8)."""
    table = ReplicatedTable()
    table.submit("j", step(1, long_running=True))
    for number in range(1, 11):
        run = run_of("j", number=number)
        table.start(run, worker=f"m1/w1@{number}")
        crash = WorkerCrash("m1", "w1", number, (CrashedRun(run, 4_000, 4_000),))
        table.apply(MarkWorkerLost(f"m1/w1@{number}", crash=crash))
    assert table.phase("j") == "running"


def test_count_of_crashes_outlasts_a_snapshot() -> None:
    """Guards against a restart that makes a task harmless again."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(A)
    table.apply(MarkWorkerLost("m1/w1@5", crash=crash_of(CrashedRun(A, 300, 300))))
    state = wire.decode(wire.encode(table.cluster), ClusterState)
    task = state.jobs.jobs["j"].occurrences[0].tasks[0][0]
    assert task.crashes == CrashHistory(1, 1, 1, 300, 300, ("m1",))
    assert state.jobs.has_recorded(crash_of())


def test_log_names_the_tasks_that_were_there_and_their_crashes() -> None:
    """Guards against lost runs of which the log says only that they are."""
    leader = Leader()
    old, new = worker("w1"), worker("w1b", machine="m-w1", born_ms=9)
    leader.report(1, old)
    leader.submit("a", step())
    leader.submit("b", step())
    crash = crash_of(CrashedRun(run_of("a"), 20, 20), machine="m-w1")
    effects = leader.report(1, new, crashes=(crash,))
    lines = {
        effect.event: {label.name: label.value for label in effect.ids}
        for effect in effects
        if isinstance(effect, EmitLogEvent)
    }
    assert lines["worker_crashed"]["tasks"] == "a.0.0.0"
    assert lines["task_under_crash"]["known_ms"] == "20"
    assert lines["task_under_crash"]["crashes"] == "1"


@pytest.mark.parametrize(
    ("young_run_elsewhere", "coincident"), [(False, "true"), (True, "false")]
)
def test_workers_that_fail_at_once_have_a_common_cause(
    young_run_elsewhere: bool, coincident: str
) -> None:
    """Guards against blaming tasks for a failure of several workers.

    A worker to which a run had just been ordered may have failed for it.
    """
    leader = Leader()
    w1, w2 = worker("w1"), worker("w2")
    leader.report(1, w1)
    leader.report(2, w2)
    leader.submit("a", step(2, accelerators=8), queue=TIGHT)
    if not young_run_elsewhere:
        leader.advance(5_000)
    for stream, each in ((1, w1), (2, w2)):
        leader.report(stream, each)
        leader.report(stream, each, reachable=False)
    reborn = worker("w1b", machine="m-w1", born_ms=9)
    crash = crash_of(CrashedRun(run_of("a"), 20, 20), machine="m-w1")
    effects = leader.report(1, reborn, crashes=(crash,))
    (found,) = [
        label.value
        for effect in effects
        if isinstance(effect, EmitLogEvent) and effect.event == "worker_crashed"
        for label in effect.ids
        if label.name == "coincident"
    ]
    assert found == coincident
