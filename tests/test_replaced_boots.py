"""Workers that start again under their id, and the earlier boot's runs."""

import pytest

from crocuswell_core.jobs.job_commands import (
    MarkWorkerLost,
    PlaceRuns,
    RecordRunEnds,
)
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    RunEndKind,
    RunId,
    RunPlacement,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import RunOrders, WorkerDescription
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    ListRuns,
    NoAnswer,
    OrderAccepted,
    RunsListed,
    StartOnWorker,
    StopOnWorker,
)
from tests.job_harness import Leader, ReplicatedTable, end_of, run_of, step, worker
from tests.test_runner import HEARTBEAT, KEY, Runner, open_calls

OLD, NEW, OTHER = worker("w1"), worker("w1", born_ms=9), worker("w2")
EARLIER_CLOCK = worker("w1", born_ms=2)
RUN = run_of("j")
CRASH = WorkerCrash("m-w1", "w1", 5, (CrashedRun(RUN, 0, 0),))


def leader_with_run() -> Leader:
    """Return a leader with a run on a boot, and another worker in reach."""
    leader = Leader()
    leader.report(1, OLD)
    leader.submit("j", step(accelerators=8))
    assert leader.placed(OLD)
    leader.report(2, OTHER)
    return leader


def stops_for(leader: Leader, worker_key: str) -> list[object]:
    return [
        stop.run
        for sent in leader.sent
        if isinstance(sent.message, RunOrders) and sent.message.worker == worker_key
        for stop in sent.message.stops
    ]


@pytest.mark.parametrize("new", [NEW, EARLIER_CLOCK])
@pytest.mark.parametrize("crashes", [(), (CRASH,)])
def test_task_waits_until_a_new_boot_of_the_id_has_refused_its_run(
    new, crashes
) -> None:
    """Guards against a second run while the new boot may begin the first."""
    leader = leader_with_run()
    leader.report(1, new, crashes=crashes)
    assert not leader.placed(OTHER)
    assert stops_for(leader, new.key) == [RUN]
    leader.report(1, new, crashes=crashes, absent=(RUN,))
    leader.tick()
    assert not leader.placed(OLD)
    assert list(leader.placed(OTHER).values()) + list(leader.placed(new).values()) == [
        2
    ]


def test_run_that_a_new_boot_of_the_id_has_done_is_done() -> None:
    """Guards against a start after an end that was acknowledged."""
    leader = leader_with_run()
    ended = (end_of(RUN, RunEndKind.DONE),)
    leader.report(1, NEW, crashes=(CRASH,), ended=ended)
    assert leader.state.cluster.jobs.jobs["j"].phase.value == "completed"
    assert not leader.placed(OLD) and not leader.placed(OTHER)


def test_new_boot_gets_no_task_before_it_has_refused_the_runs_of_the_last() -> None:
    """Guards against a worker with more work than it can hold."""
    leader = leader_with_run()
    leader.report(1, NEW)
    leader.submit("k", step(accelerators=8), step(accelerators=8))
    assert not leader.placed(NEW)


def test_lease_does_not_end_a_run_that_a_silent_new_boot_may_have() -> None:
    """Guards against a run given up by the lease of the wrong boot."""
    leader = leader_with_run()
    leader.advance(5_000)
    leader.report(1, NEW)
    # The grants of the earlier boot are over, those of the new one are not.
    for _ in range(20):
        leader.advance(200)
        leader.report(2, OTHER)
        leader.tick()
    assert not leader.placed(OTHER)
    for _ in range(20):
        leader.advance(500)
        leader.report(2, OTHER)
        leader.tick()
    assert leader.placed(OTHER)


def test_worker_with_another_id_ends_the_runs_at_once() -> None:
    """Guards against work that waits for a worker that takes no such call."""
    leader = leader_with_run()
    new = worker("w9", machine=OLD.machine, born_ms=9)
    leader.report(1, new, reachable=False)
    leader.tick()
    assert not leader.placed(OLD) and leader.placed(OTHER)


def test_next_leader_has_the_runs_of_an_earlier_boot_refused() -> None:
    """Guards against proof that a change of the leader makes up."""
    leader = leader_with_run()
    leader.report(1, NEW)
    leader.state.dispatch.term = -1
    leader.sent.clear()
    leader.report(3, NEW)
    assert stops_for(leader, NEW.key) == [RUN]
    assert leader.placed(OLD)
    leader.report(3, NEW, absent=(RUN,))
    assert not leader.placed(OLD)


def test_boot_that_reports_again_is_not_given_up_while_its_grant_holds() -> None:
    """Guards against a second run by a grant from before the replacement."""
    leader = leader_with_run()
    for boot in (OLD, NEW, OLD):
        leader.report(1, boot)
    for _ in range(100):
        leader.advance(200)
        leader.report(1, OLD)
        leader.tick()
    leader.report(1, OLD, reachable=False)
    leader.tick()
    assert leader.placed(OLD)


def test_runs_of_an_earlier_boot_may_be_refused_one_by_one() -> None:
    """Guards against tasks, and a worker, that wait for ever."""
    leader = Leader()
    leader.report(1, OLD)
    leader.submit("j", step(accelerators=4), step(accelerators=4))
    runs = [RunId(*item) for item in leader.placed(OLD).items()]
    assert len(runs) == 2
    leader.report(1, NEW)
    for run in runs:
        assert leader.placed(OLD)
        leader.report(1, NEW, absent=(run,))
    assert not leader.placed(OLD)


def test_absent_run_is_not_ordered_again_by_the_next_leader() -> None:
    """Guards against a start that runs beside the next run of its task."""
    leader = leader_with_run()
    leader.state.dispatch.term = -1
    leader.sent.clear()
    leader.report(3, OLD, absent=(RUN,))
    orders = [
        each.message for each in leader.sent if isinstance(each.message, RunOrders)
    ]
    assert RUN not in [start.run for order in orders for start in order.starts]


# --- the runner ------------------------------------------------------------


def runner_with_start() -> Runner:
    """Return a runner that has sent its worker a start."""
    runner = Runner()
    runner.attach()
    runner.send_heartbeat()
    runner.reply_with_list()
    runner.grant()
    runner.order(RUN)
    assert runner.open_start_calls()
    return runner


def stopped_runs(runner: Runner) -> list[object]:
    return [call.run for call in open_calls(runner, StopOnWorker)]


def register(runner: Runner, born_ms: int = 9) -> None:
    runner.send_heartbeat(born_ms=born_ms)
    runner.reply(ConfirmBoot, RunsListed(20, born_ms, (), ()))


@pytest.mark.parametrize(
    "reply", [OrderAccepted(15), NoAnswer("lost", sent=True), None]
)
def test_start_on_its_way_is_refused_by_the_next_boot(reply) -> None:
    """Guards against a start that the next boot of the id carries out."""
    runner = runner_with_start()
    if reply is not None:
        runner.reply(StartOnWorker, reply)
    runner.calls.clear()
    register(runner)
    assert stopped_runs(runner) == [RUN]
    assert RUN not in runner.state.absent
    runner.reply(StopOnWorker, OrderAccepted(30))
    runner.reply_with_list(born_ms=9)
    runner.tick(200)
    runner.reply_with_list(born_ms=9)
    assert runner.reports[-1].absent == (RUN,)


def test_start_without_answer_is_refused_by_each_later_boot() -> None:
    """Guards against a start that is carried out after it was settled."""
    runner = runner_with_start()
    runner.reply(StartOnWorker, NoAnswer("lost", sent=True))
    for born_ms in (9, 12):
        runner.calls.clear()
        register(runner, born_ms)
        assert stopped_runs(runner) == [RUN]


def test_stopped_run_with_a_start_in_flight_is_refused_by_the_next_boot() -> None:
    """Guards against a start that runs beside the next run of its task."""
    runner = runner_with_start()
    runner.tick(50)
    runner.order(stops=(RUN,))
    runner.reply(StopOnWorker, OrderAccepted(15))
    for _ in range(3):
        runner.tick()
        runner.reply_with_list()
    assert RUN in runner.state.absent
    register(runner)
    assert stopped_runs(runner) == [RUN]


def test_nothing_starts_or_is_acknowledged_once_another_boot_answers() -> None:
    """Guards against work on a boot that has not introduced itself."""
    runner = runner_with_start()
    runner.grant(acknowledged_end=57)
    runner.reply_with_list()
    runner.tick(600)
    runner.reply(ListRuns, RunsListed(20, 9, (), ()))
    assert stopped_runs(runner) == [RUN]
    assert not runner.reports[-1].reachable
    runner.order(run_of("k"))
    assert [call.run for call in runner.open_start_calls()] == [RUN]
    runner.tick(300)
    (call,) = open_calls(runner, ListRuns)
    assert (call.acknowledged_end, call.lease_end_ms) == (0, 0)


def test_worker_is_served_once_its_lists_show_its_own_boot_again() -> None:
    """Guards against a worker that gets no more starts."""
    runner = runner_with_start()
    runner.reply(StartOnWorker, NoAnswer("refused", sent=False))
    runner.reply(ListRuns, RunsListed(20, 9, (), ()))
    assert stopped_runs(runner) == [RUN]
    runner.tick(300)
    runner.reply_with_list()
    runner.grant()
    runner.order(run_of("k"))
    assert [call.run for call in runner.open_start_calls()] == [run_of("k")]


def test_end_is_acknowledged_once() -> None:
    """Guards against an acknowledgement that the next boot applies too."""
    runner = runner_with_start()
    runner.reply(StartOnWorker, OrderAccepted(0))
    runner.reply_with_list(ended=(end_of(RUN, RunEndKind.DONE),))
    runner.tick(500)
    runner.grant(acknowledged_end=1)
    sent = []
    for _ in range(4):
        runner.tick(600)
        sent += [call.acknowledged_end for call in open_calls(runner, ListRuns)]
        runner.reply_with_list()
    assert 1 in sent
    assert sent[-1] == 0


def test_end_that_the_worker_forgot_too_early_is_reported() -> None:
    """Guards against an end that another boot's acknowledgement erases."""
    runner = runner_with_start()
    runner.reply(StartOnWorker, OrderAccepted(0))
    runner.reply_with_list(ended=(end_of(RUN, RunEndKind.DONE),))
    runner.tick(500)
    runner.reply_with_list()
    assert [end.run for end in runner.reports[-1].ended] == [RUN]


def test_boot_with_an_earlier_start_is_served_once_a_list_shows_it() -> None:
    """Guards against a worker that is lost after its clock was set back."""
    runner = runner_with_start()
    runner.send_heartbeat(born_ms=2)
    assert not open_calls(runner, ConfirmBoot)
    runner.tick(600)
    runner.reply(ListRuns, RunsListed(20, 2, (), ()))
    register(runner, 2)
    described = runner.reports[-1].worker
    assert isinstance(described, WorkerDescription)
    assert (described.born_ms, HEARTBEAT.born_ms, KEY) == (2, 5, "m1/w1@5")


def test_task_that_only_the_next_boot_began_is_not_blamed_for_the_crash() -> None:
    """Guards against a task that is blamed for a crash before its start."""
    runner = runner_with_start()
    runner.reply(StartOnWorker, OrderAccepted(15))
    register(runner)
    assert not runner.reports[-1].crashes


@pytest.mark.parametrize("kind", [RunEndKind.DONE, RunEndKind.ABSENT])
def test_next_boot_refuses_runs_that_were_over_before(kind) -> None:
    """Guards against a late start of a task that is done, on the next boot."""
    leader = leader_with_run()
    leader.apply(RecordRunEnds(OLD.key, (end_of(RUN, kind),), 1))
    for times in (1, 1, 2):
        # A runner that has restarted does not know what it has ordered.
        leader.report(2 + times, NEW)
        assert stops_for(leader, NEW.key).count(RUN) == times


def test_runs_that_are_over_are_forgotten() -> None:
    """Guards against state that grows with each run of a worker."""
    table = ReplicatedTable()
    table.submit("j", step(4), step(4))
    for index in range(4):
        run, boot = run_of("j", index), f"m{index // 2}/w@{index}"
        table.apply(PlaceRuns((RunPlacement(run, boot),)), at_ms=index * 30_000)
        ended = (end_of(run, RunEndKind.STOPPED),)
        table.apply(RecordRunEnds(boot, ended, 1), at_ms=index * 30_000)
    over = table.cluster.jobs.over_runs
    assert {name: list(runs) for name, runs in over.items()} == {
        "m1/w": [run_of("j", 2).task, run_of("j", 3).task]
    }


def test_crash_is_recorded_though_the_runner_has_forgotten_it() -> None:
    """Guards against a task that is not charged for its worker's crash."""
    leader = leader_with_run()
    leader.report(1, NEW, crashes=(CRASH,))
    leader.report(1, NEW, absent=(RUN,))
    assert not leader.placed(OLD)
    assert leader.state.cluster.jobs.has_recorded(CRASH)


@pytest.mark.parametrize("gang", [False, True])
@pytest.mark.parametrize("counts", [False, True])
def test_work_done_by_a_run_that_was_given_up_is_not_done_again(gang, counts) -> None:
    """Guards against a start after an end that was acknowledged."""
    table = ReplicatedTable()
    table.submit("j", step(2 if gang else 1, gang=gang))
    runs = [run_of("j", index) for index in range(2 if gang else 1)]
    table.start(*runs)
    table.apply(MarkWorkerLost(KEY))
    ended = (end_of(RUN, RunEndKind.DONE),)
    table.apply(RecordRunEnds(KEY, ended, 1, counts_lost_runs=counts))
    # Entries of earlier versions are applied as they were then.
    assert (table.phase("j") == "completed") == counts


def test_work_of_a_task_that_has_another_run_is_left_to_that_run() -> None:
    """Guards against an end that is taken for a later run's."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(RUN)
    table.apply(MarkWorkerLost(KEY))
    table.start(run_of("j", number=2))
    ended = (end_of(RUN, RunEndKind.DONE),)
    table.apply(RecordRunEnds(KEY, ended, 1, counts_lost_runs=True))
    assert table.phase("j") == "running"


def test_ends_are_recorded_after_a_transfer_of_the_leadership_failed() -> None:
    """Guards against a task that is done and never counts as done."""
    leader = leader_with_run()
    ended = (end_of(RUN, RunEndKind.DONE),)
    leader.state.consensus.transfer_target = "h2"
    leader.report(1, OLD, ended=ended)
    leader.state.consensus.transfer_target = None
    leader.report(1, OLD, ended=ended)
    assert leader.state.cluster.jobs.jobs["j"].phase.value == "completed"
