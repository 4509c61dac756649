"""Tests of the leader's dispatching of tasks."""

import attrs
import pytest

from crocuswell_core.dispatching.dispatch_state import FailureHistory
from crocuswell_core.jobs.catalog import CatalogWorkspace
from crocuswell_core.jobs.job_commands import CancelJob, PutCatalog, SubmitJob
from crocuswell_core.jobs.job_records import (
    CrashedRun,
    ResourceVector,
    RunEndKind,
    RunId,
    RunProgress,
    StepSpec,
    TaskId,
    WorkerCrash,
)
from crocuswell_core.links.link_messages import (
    LeaseGrant,
    Redirect,
    RunOrders,
    WorkerDescription,
)
from crocuswell_core.runtime.effects import Effect, SendAgent
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    ClockAdvanced,
    Event,
)
from crocuswell_core.runtime.reducer import reduce
from tests.job_harness import (
    BATCH,
    LONG,
    TIGHT,
    URGENT,
    Leader,
    address,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)

W1, W2, W3 = worker("w1"), worker("w2"), worker("w3", rack="r1-2")


def orders(effects: list[Effect]) -> list[RunOrders]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendAgent) and isinstance(effect.message, RunOrders)
    ]


def running_progress(
    leader: Leader, description, percent: int = 10
) -> list[RunProgress]:
    return [
        RunProgress(RunId(task, number), "", percent)
        for task, number in leader.placed(description).items()
    ]


def test_start_is_ordered_only_after_it_is_in_the_log() -> None:
    """Guards against a run that is unknown to a new leader."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    assert leader.placed(W1) == {TaskId("j", 0, 0): 1}
    ordered = [o for e in leader.sent for o in orders([e])]
    assert [start.run for o in ordered for start in o.starts] == [run_of("j")]
    assert ordered[0].term == leader.state.consensus.term


def test_other_commands_do_not_end_a_pending_plan() -> None:
    """Guards against two plans that allocate the same resources."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("a", step(1, accelerators=8))
    dispatch = leader.state.dispatch
    dispatch.pending_plan, dispatch.plan_proposed_ms = "9.9", leader.now_ms
    leader.submit("b", step())
    assert dispatch.pending_plan == "9.9"
    assert leader.placed(W1) == {TaskId("a", 0, 0): 1}


def test_gang_starts_whole_or_not_at_all() -> None:
    """Guards against gang members that wait for others that do not fit."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("gang", step(3, accelerators=4, gang=True))
    assert not leader.placed(W1)
    leader.report(2, W2)
    leader.tick()
    assert len(leader.placed(W1)) + len(leader.placed(W2)) == 3


def test_gang_that_no_rack_can_hold_is_spread_over_racks() -> None:
    """Guards against a gang that waits for a rack that cannot hold it.

    Over two racks a gang runs three times as long, but here no rack could
    hold it even when empty.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.report(3, W3)
    leader.submit("gang", step(2, accelerators=8, gang=True, prefers_one_rack=True))
    # It is spread over both racks.
    assert len(leader.placed(W1)) + len(leader.placed(W3)) == 2


def test_urgent_work_gets_the_resources_freed_by_preemption() -> None:
    """Guards against preempted work that gets its old resources back."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("long", step(8, gang=True), queue=TIGHT)
    leader.report(1, W1, running_progress(leader, W1))
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert len(leader.state.dispatch.stopping) == 8
    ends = []
    for number, task in enumerate(leader.placed(W1), start=1):
        ends.append(end_of(RunId(task, 1), RunEndKind.STOPPED, number))
        left = [p for p in running_progress(leader, W1) if p.run.task.index >= number]
        leader.report(1, W1, left, ends)
    assert leader.placed(W1) == {TaskId("urgent", 0, 0): 1}


def test_resources_of_an_evicted_run_are_counted_once() -> None:
    """Guards against a preemption that frees half of the needed resources."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("long", step(8), queue=TIGHT)
    leader.report(1, W1, running_progress(leader, W1))
    leader.submit("urgent", step(2, accelerators=4, gang=True), queue=URGENT)
    assert len(leader.state.dispatch.stopping) == 8


def test_urgent_work_beyond_its_guarantee_has_an_eviction_limit() -> None:
    """Guards against preemptions that lose more work than they are worth."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.report(4, worker("w4"))
    leader.submit("long", step(24, gang=True), queue=TIGHT)
    for stream_id, description in ((1, W1), (2, W2), (4, worker("w4"))):
        leader.report(
            stream_id, description, running_progress(leader, description, percent=90)
        )
    leader.submit("urgent", step(3, accelerators=8), queue=URGENT)
    assert not leader.state.dispatch.stopping


def test_deferrable_work_leaves_headroom_for_urgent_work() -> None:
    """Guards against wide batches that are preempted for each urgent job."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.submit("batch", step(40))
    assert 0 < len(leader.placed(W1)) + len(leader.placed(W2)) <= 4
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert not leader.state.dispatch.stopping
    placed_runs = {**leader.placed(W1), **leader.placed(W2)}
    assert placed_runs[TaskId("urgent", 0, 0)] == 1


def test_short_work_backfills_resources_kept_free_for_a_gang() -> None:
    """Guards against workers that idle until a waiting gang can start."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.submit("first", step(1, accelerators=8, gang=True), queue=TIGHT)
    for stream_id, description in ((1, W1), (2, W2)):
        leader.report(
            stream_id, description, running_progress(leader, description, percent=0)
        )
    leader.submit("gang", step(2, accelerators=8, gang=True), queue=TIGHT)
    long = step(1, gang=True)
    leader.submit("long", attrs.evolve(long, estimated_ms=9_000), queue=TIGHT)
    leader.submit("short", attrs.evolve(long, estimated_ms=1_000), queue=TIGHT)
    jobs = {task.job_id for w in (W1, W2) for task in leader.placed(w)}
    assert jobs == {"first", "short"}


def test_gang_that_the_fleet_cannot_hold_reserves_nothing() -> None:
    """Guards against a fleet that idles for a gang that cannot start."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.submit("huge", step(3, accelerators=8, gang=True), queue=TIGHT)
    leader.submit("small", step(1, gang=True), queue=TIGHT)
    placed = {**leader.placed(W1), **leader.placed(W2)}
    assert placed == {TaskId("small", 0, 0): 1}


def test_cancelled_job_is_stopped() -> None:
    """Guards against runs that continue after their job is cancelled."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.report(1, W1, running_progress(leader, W1))
    leader.sent.clear()
    leader.propose(CancelJob("j", address(LONG)))
    ordered = [o for e in leader.sent for o in orders([e])]
    assert [stop.run for o in ordered for stop in o.stops] == [run_of("j")]


def test_run_that_was_not_ordered_is_stopped() -> None:
    """Guards against a stale run that shares resources with a new one."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(1, accelerators=8))
    stale = RunProgress(run_of("j", number=7), "", 50)
    effects = leader.report(1, W1, [stale])
    assert [stop.run for o in orders(effects) for stop in o.stops] == [stale.run]


def test_runs_of_a_silent_worker_are_given_up_only_after_its_lease() -> None:
    """Guards against two runs of a task at the same time."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.report(1, W1, running_progress(leader, W1))
    leader.post(AgentStreamClosed(1))
    leader.report(2, W2)
    leader.advance(6_000)
    leader.report(2, W2)
    leader.tick()
    assert leader.placed(W1)
    leader.advance(600)
    leader.report(2, W2)
    leader.tick()
    assert not leader.placed(W1)
    assert leader.placed(W2) == {TaskId("j", 0, 0): 2}


def test_work_of_a_worker_that_left_as_announced_restarts_soon() -> None:
    """Guards against work that waits for the lease of a worker that is gone.

    The grants from before it began to drain hold until their own end.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leaving = attrs.evolve(W1, draining=True, remaining_ms=5_000)
    for _ in range(9):
        leader.advance(500)
        leader.report(1, leaving, running_progress(leader, W1, percent=60))
        leader.report(2, W2)
    leader.post(AgentStreamClosed(1))
    restarted_after_ms = 0
    while not leader.placed(W2):
        leader.advance(100)
        restarted_after_ms += 100
        leader.report(2, W2)
        leader.tick()
    assert 3_000 < restarted_after_ms <= 3_600


@pytest.mark.parametrize(("draining", "limit_ms"), [(True, 4_000), (False, 7_000)])
def test_work_of_a_dead_worker_restarts_while_its_runner_reports(
    draining, limit_ms
) -> None:
    """Guards against a runner whose reports keep its dead worker's runs."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    described = attrs.evolve(W1, draining=draining, remaining_ms=9_000)
    for percent in range(30, 43):
        leader.advance(500)
        leader.report(1, described, running_progress(leader, W1, percent))
    waited_ms = 0
    while not leader.placed(W2) and waited_ms < 20_000:
        if waited_ms % 500 == 0:
            left_ms = max(0, limit_ms - 1_000 - waited_ms)
            leader.report(1, described, reachable=False, lease_left_ms=left_ms)
        leader.report(2, W2)
        leader.tick()
        leader.advance(250)
        waited_ms += 250
    assert limit_ms - 1_000 < waited_ms <= limit_ms


def test_runner_of_an_unreachable_worker_gets_no_grant() -> None:
    """Guards against runs that start there after they were given up."""
    leader = Leader()
    leader.report(1, W1)
    effects = leader.report(1, W1, reachable=False, lease_left_ms=3_000)
    (grant,) = [
        e.message
        for e in effects
        if isinstance(e, SendAgent) and isinstance(e.message, LeaseGrant)
    ]
    assert grant.lease_ms == 0


def test_grant_from_before_a_worker_drained_is_waited_for() -> None:
    """Guards against two runs while a long grant still holds."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.report(1, W1, running_progress(leader, W1))
    leader.advance(500)
    leaving = attrs.evolve(W1, draining=True, remaining_ms=5_000)
    leader.report(1, leaving, running_progress(leader, W1, percent=60))
    leader.post(AgentStreamClosed(1))
    leader.advance(5_800)
    leader.report(2, W2)
    leader.tick()
    assert not leader.placed(W2)
    leader.advance(300)
    leader.report(2, W2)
    leader.tick()
    assert leader.placed(W2)


def test_lease_of_a_worker_being_given_up_is_not_extended() -> None:
    """Guards against a lease extension after the runs restart elsewhere."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.state.dispatch.pending_losses.add(W1.key)
    effects = leader.report(1, W1, running_progress(leader, W1))
    sent = [e.message for e in effects if isinstance(e, SendAgent)]
    assert not any(isinstance(message, LeaseGrant) for message in sent)


def test_new_boot_on_a_machine_ends_the_runs_of_the_old_one() -> None:
    """Guards against a wait for the lease of a boot that has ended."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    rebooted = attrs.evolve(W1, id="w9", born_ms=6)
    leader.report(5, rebooted)
    assert not leader.placed(W1)
    assert leader.placed(rebooted) == {TaskId("j", 0, 0): 2}


def test_draining_worker_gets_no_new_tasks() -> None:
    """Guards against tasks placed on a worker that is about to leave."""
    leader = Leader()
    leader.report(1, attrs.evolve(W1, draining=True))
    leader.submit("j", step())
    assert not leader.placed(W1)


def test_ends_are_acknowledged_only_after_they_are_logged() -> None:
    """Guards against an end that the worker discards before it is durable."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    effects = leader.report(1, W1, ended=[end_of(run_of("j"), RunEndKind.DONE)])
    grants = [
        e.message
        for e in effects
        if isinstance(e, SendAgent) and isinstance(e.message, LeaseGrant)
    ]
    assert [grant.acknowledged_end for grant in grants] == [0]
    effects = leader.report(1, W1)
    acknowledged = [
        e.message.acknowledged_end
        for e in effects
        if isinstance(e, SendAgent) and isinstance(e.message, LeaseGrant)
    ]
    assert acknowledged == [1]


def test_run_without_progress_is_stopped() -> None:
    """Guards against runs that hang on a worker that reports no fault."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    for _ in range(7):
        leader.report(1, W1, running_progress(leader, W1, percent=40))
        leader.advance(500)
    assert run_of("j") in leader.state.dispatch.stopping


def test_run_at_full_progress_is_not_stopped() -> None:
    """Guards against stopping runs that are about to end."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    for _ in range(12):
        leader.report(1, W1, running_progress(leader, W1, percent=100))
        leader.advance(500)
    assert not leader.state.dispatch.stopping


def test_runs_of_a_worker_that_left_are_given_up_at_once() -> None:
    """Guards against a wait for the lease of a worker that has exited."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leaving = attrs.evolve(W1, draining=True)
    leader.report(1, leaving, running_progress(leader, W1))
    assert leader.placed(W1)
    leader.report(1, leaving, reachable=False, has_exited=True)
    assert not leader.placed(W1)


@pytest.mark.parametrize(
    ("checkpointing", "percent", "moved"),
    [(True, 10, True), (True, 90, False), (False, 10, False)],
)
def test_resumable_runs_leave_a_draining_worker(checkpointing, percent, moved) -> None:
    """Guards against work that is lost at a planned shutdown."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(checkpointing=checkpointing))
    leaving = attrs.evolve(W1, draining=True, remaining_ms=2_000)
    leader.report(1, leaving, running_progress(leader, W1, percent))
    assert (run_of("j") in leader.state.dispatch.stopping) is moved


def test_host_that_is_not_leader_redirects_runners() -> None:
    """Guards against leases granted by a former leader."""
    leader = Leader()
    leader.report(1, W1)
    leader.now_ms += 10_000
    effects = leader.post(AgentMessageReceived(1, runner_report()))
    sent = [e.message for e in effects if isinstance(e, SendAgent)]
    assert any(isinstance(message, Redirect) for message in sent)
    assert not any(isinstance(message, LeaseGrant) for message in sent)


def runner_report():
    from crocuswell_core.links.link_messages import WorkerReport  # noqa: PLC0415

    return WorkerReport(9, W1, reachable=True)


def test_gang_is_spread_over_racks_when_the_fleet_is_idle() -> None:
    """Guards against a gang that waits for a rack while most workers idle."""
    leader = Leader()
    fleet = [worker(f"w{i}", f"r1-{i // 2}") for i in range(10)]
    for stream_id in (1, 3, 5, 7, 9):
        leader.report(stream_id, fleet[stream_id - 1])
        leader.submit(f"j{stream_id}", step(1, accelerators=8), queue=TIGHT)
    gang = step(2, gang=True, prefers_one_rack=True, per_worker_limit=1)
    leader.submit("gang", gang, queue=TIGHT)

    def gang_is_placed() -> bool:
        for stream_id, description in enumerate(fleet, start=1):
            runs = running_progress(
                leader, description, percent=leader.now_ms // 100 % 90
            )
            leader.report(stream_id, description, runs)
        return any(t.job_id == "gang" for w in fleet for t in leader.placed(w))

    placed_after = []
    for _ in range(20):
        placed_after.append(gang_is_placed())
        leader.advance(100)
        leader.tick()
    assert not any(placed_after[:10])
    assert placed_after[-1]


def test_whole_racks_stay_free_for_gangs() -> None:
    """Guards against single tasks that occupy one worker of each rack."""
    leader = Leader()
    fleet = [worker(f"w{i}", f"r1-{i // 2}") for i in range(6)]
    for stream_id, description in enumerate(fleet, start=1):
        leader.report(stream_id, description)
    for index in range(2):
        leader.submit(f"j{index}", step(1, accelerators=8), queue=TIGHT)
    used = {description.rack for description in fleet if leader.placed(description)}
    assert len(used) == 1


def test_waiting_gang_keeps_its_reserved_rack() -> None:
    """Guards against a gang whose reservation moves from rack to rack."""
    leader = Leader()
    fleet = [worker(f"w{i}", f"r1-{i // 2}") for i in range(4)]
    for stream_id, description in enumerate(fleet, start=1):
        leader.report(stream_id, description)
    for index in range(4):
        leader.submit(f"j{index}", step(1, accelerators=8), queue=TIGHT)
    leader.submit(
        "gang", step(2, accelerators=8, gang=True, prefers_one_rack=True), queue=TIGHT
    )
    reserved = dict(leader.state.dispatch.reserved_racks)
    assert set(reserved) == {("gang", 0, 0)}
    other = next(w for w in fleet if w.rack != reserved["gang", 0, 0])
    stream_id = fleet.index(other) + 1
    (task,) = leader.placed(other)
    leader.report(stream_id, other, ended=[end_of(RunId(task, 1), RunEndKind.DONE)])
    assert leader.state.dispatch.reserved_racks == reserved


def test_failed_task_waits_for_another_worker() -> None:
    """Guards against a last attempt on the worker of the first failure."""
    leader = Leader()
    for stream_id, description in ((1, W1), (2, W2)):
        leader.report(stream_id, description)
        leader.submit(f"j{stream_id}", step(1, accelerators=8), queue=TIGHT)
    failed = next(w for w in (W1, W2) if run_of("j1").task in leader.placed(w))
    other = W2 if failed is W1 else W1
    end = end_of(run_of("j1"), RunEndKind.FAILED)
    leader.report(1 if failed is W1 else 2, failed, ended=[end])
    assert not leader.placed(failed)
    end = end_of(run_of("j2"), RunEndKind.DONE)
    leader.report(1 if other is W1 else 2, other, ended=[end])
    assert leader.placed(other) == {run_of("j1").task: 2}


def test_failed_task_is_retried_on_the_only_worker() -> None:
    """Guards against a task that never gets its second attempt."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(1), queue=TIGHT)
    end = end_of(run_of("j"), RunEndKind.FAILED)
    leader.report(1, W1, ended=[end])
    assert leader.placed(W1) == {run_of("j").task: 2}


def test_time_without_run_lists_does_not_count_as_a_stall() -> None:
    """Guards against stopping runs whose worker sends no run list."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.report(1, W1, running_progress(leader, W1, percent=40), list_number=7)
    for _ in range(12):
        leader.advance(500)
        leader.report(1, W1, running_progress(leader, W1, percent=40), list_number=7)
    assert not leader.state.dispatch.stopping
    leader.advance(500)
    leader.report(1, W1, running_progress(leader, W1, percent=40), list_number=8)
    assert not leader.state.dispatch.stopping


def test_runs_that_stall_together_bar_their_worker_once() -> None:
    """Guards against a worker that is barred several times for one fault."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.submit("j", step(8, gang=True), queue=TIGHT)
    description = next(w for w in (W1, W2) if leader.placed(w))
    for _ in range(7):
        leader.report(
            1 if description is W1 else 2,
            description,
            running_progress(leader, description),
        )
        leader.advance(500)
    assert len(leader.state.dispatch.stopping) == 8
    history = leader.state.dispatch.failure_histories[description.id]
    assert history.barred_until_ms - leader.now_ms <= 6_000


def test_barred_workers_are_used_when_most_are_barred() -> None:
    """Guards against a fleet that idles because all workers seem faulty."""
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    for description in (W1, W2):
        history = FailureHistory(barred_until_ms=leader.now_ms + 60_000)
        leader.state.dispatch.failure_histories[description.id] = history
        leader.submit(f"j-{description.id}", step(), queue=TIGHT)
        placed = {**leader.placed(W1), **leader.placed(W2)}
        # One barred worker of two is excluded, but not both.
        assert placed
    del leader.state.dispatch.failure_histories[W1.id]
    leader.submit("last", step(), queue=TIGHT)
    assert any(task.job_id == "last" for task in leader.placed(W1))


def test_queue_of_higher_priority_comes_first_whenever_its_work_is_due() -> None:
    """Guards against batches that fill the fleet before more urgent work."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("first", step(8), queue=TIGHT)
    leader.submit("batch", step(8), queue=BATCH)
    leader.submit("later", step(8), queue=TIGHT)
    ends = [
        end_of(run_of("first", index), RunEndKind.DONE, index + 1) for index in range(8)
    ]
    leader.report(1, W1, ended=ends)
    assert {task.job_id for task in leader.placed(W1)} == {"later"}


def test_gang_that_exceeds_its_limit_per_worker_reserves_nothing() -> None:
    """Guards against reservations for a gang that the workers cannot hold."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("wide", step(2, gang=True, per_worker_limit=1), queue=TIGHT)
    leader.submit("small", step(1, gang=True), queue=TIGHT)
    assert leader.placed(W1) == {TaskId("small", 0, 0): 1}


def test_failed_gang_stays_in_one_rack() -> None:
    """Guards against a gang that is spread after a failure on one worker."""
    leader = Leader()
    for stream_id, description in ((1, W1), (2, W2), (3, W3)):
        leader.report(stream_id, description)
    gang = step(2, accelerators=8, gang=True, prefers_one_rack=True)
    leader.submit("gang", gang, queue=TIGHT)
    assert leader.placed(W1)
    assert leader.placed(W2)
    index = next(iter(leader.placed(W1))).index
    failed = end_of(run_of("gang", index), RunEndKind.FAILED)
    broken = end_of(run_of("gang", 1 - index), RunEndKind.GANG_BROKEN)
    leader.report(1, W1, ended=[failed])
    leader.report(2, W2, ended=[broken])
    assert not leader.placed(W3)


def test_deferrable_work_starts_when_the_fleet_stays_idle() -> None:
    """Guards against jobs that wait while most of the fleet is idle."""
    leader = Leader()
    demand = ResourceVector(10_000, 200_000, 1)
    fleet = [worker(f"w{i}", f"r1-{i // 3}") for i in range(9)]

    def report() -> None:
        for stream_id, description in enumerate(fleet, start=1):
            runs = running_progress(
                leader, description, percent=leader.now_ms // 100 % 90
            )
            leader.report(stream_id, description, runs)

    report()
    for index in range(7):
        busy = attrs.evolve(step(1), demand=demand, estimated_ms=60_000)
        leader.submit(f"busy{index}", busy, queue=TIGHT)
    deferrable = attrs.evolve(step(1), demand=demand, estimated_ms=60_000)
    leader.submit("patient", deferrable)
    waited = []
    for _ in range(20):
        report()
        jobs = {task.job_id for w in fleet for task in leader.placed(w)}
        waited.append("patient" not in jobs)
        leader.advance(100)
        leader.tick()
    # Two of nine workers are left free for urgent work at first.
    assert waited[0]
    assert not waited[-1]


def tasks_on_small_fleet(leader: Leader) -> list[str]:
    """Play 3 s on four workers; return the job of each placed task."""
    fleet = [worker(f"w{i}", f"r1-{i // 2}") for i in range(4)]
    for _ in range(30):
        for stream_id, description in enumerate(fleet, start=1):
            percent = leader.now_ms // 100 % 90
            runs = running_progress(leader, description, percent)
            leader.report(stream_id, description, runs)
        leader.advance(100)
        leader.tick()
    return sorted(task.job_id for w in fleet for task in leader.placed(w))


WHOLE_WORKERS = StepSpec(8, ResourceVector(128_000, 200_000, 8), 10_000)


@pytest.mark.parametrize(("queue", "at_work"), [(TIGHT, 2), (URGENT, 1)])
def test_share_of_a_step_is_limited_for_open_urgent_jobs(
    queue: str, at_work: int
) -> None:
    """Guards against a step that waits on a small fleet of which most is idle.

    A quarter of four workers is one task; the others waited until their job
    had no slack left.
    """
    leader = Leader()
    leader.submit("other", attrs.evolve(step(1), estimated_ms=60_000), queue=queue)
    leader.submit("patient", WHOLE_WORKERS)
    assert tasks_on_small_fleet(leader).count("patient") == at_work


def test_urgent_work_finds_room_beside_a_step_beyond_its_share() -> None:
    """Guards against deferrable steps that use up what urgent work needs."""
    leader = Leader()
    leader.apply(PutCatalog(catalog(guaranteed=0)))
    leader.submit("patient", WHOLE_WORKERS)
    assert tasks_on_small_fleet(leader) == ["patient", "patient"]
    leader.submit("urgent", step(2, accelerators=8), queue=URGENT)
    assert not leader.state.dispatch.stopping
    placed = leader.state.cluster.jobs.placed.values()
    assert sum(task.job_id == "urgent" for tasks in placed for task in tasks) == 2


# --- capacity that shrinks and grows ---------------------------------------


def shrunk(description, accelerators: int):
    capacity = attrs.evolve(description.capacity, accelerators=accelerators)
    return attrs.evolve(description, capacity=capacity)


@pytest.mark.parametrize("stream_id", [1, 9], ids=["same-stream", "new-stream"])
def test_starts_that_no_longer_fit_are_withdrawn(stream_id: int) -> None:
    """Guards against a start that brings a shrunk worker over its capacity.

    The start was ordered before, has no answer, and may be repeated.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.submit("small", step(1, accelerators=2), queue=TIGHT)
    leader.report(1, W1, running_progress(leader, W1))
    listed = running_progress(leader, W1)
    leader.submit("large", step(1, accelerators=6), queue=TIGHT)
    run = run_of("large")
    assert leader.placed(W1)[run.task] == 1
    found = orders(leader.report(stream_id, shrunk(W1, 4), listed))
    assert [stop.run for order in found for stop in order.stops] == [run]
    assert not [start for order in found for start in order.starts]
    leader.report(stream_id, shrunk(W1, 4), listed, absent=(run,))
    leader.tick()
    assert run.task not in leader.placed(W1)
    leader.report(stream_id, W1, listed)
    leader.tick()
    assert leader.placed(W1)[run.task] == 2


def test_runs_that_are_being_stopped_count_against_a_shrunk_capacity() -> None:
    """Guards against starts in resources that a stopped run still uses."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("a", step(4, accelerators=2), queue=TIGHT)
    listed = running_progress(leader, W1)
    leader.report(1, W1, listed)
    leader.propose(CancelJob("a", address(TIGHT)))
    leader.report(1, shrunk(W1, 6), listed)
    leader.submit("b", step(1, accelerators=4), queue=TIGHT)
    ended = [end_of(p.run, RunEndKind.STOPPED, n) for n, p in enumerate(listed, 1)]
    leader.report(1, shrunk(W1, 6), listed[2:], ended[:2])
    leader.tick()
    assert TaskId("b", 0, 0) not in leader.placed(W1)
    leader.report(1, shrunk(W1, 6), listed[3:], ended[2:3])
    leader.tick()
    assert leader.placed(W1)[TaskId("b", 0, 0)] == 1


def test_running_work_stays_on_a_worker_that_shrinks() -> None:
    """Guards against stopping work that its worker carries on."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("a", step(4, accelerators=2), queue=TIGHT)
    listed = running_progress(leader, W1)
    leader.report(1, W1, listed)
    assert not orders(leader.report(1, shrunk(W1, 2), listed))
    leader.submit("b", step(1, accelerators=1), queue=TIGHT)
    leader.tick()
    assert TaskId("b", 0, 0) not in leader.placed(W1)


def test_accepted_job_starts_while_its_queue_is_out_of_the_catalog() -> None:
    """Guards against accepted work that waits though the fleet is idle."""
    leader = Leader()
    leader.submit("j", step(), queue=LONG)
    leader.propose(PutCatalog(catalog(2, queues=())))
    leader.report(1, W1)
    leader.tick()
    assert leader.placed(W1) == {TaskId("j", 0, 0): 1}


def test_work_of_a_removed_queue_gives_way_to_urgent_work() -> None:
    """Guards against a guarantee that work of a removed queue keeps."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step(1, 8), queue=LONG)
    urgent_only = tuple(queue for queue in catalog().queues if queue.name == URGENT)
    leader.propose(PutCatalog(catalog(2, queues=urgent_only)))
    progress = running_progress(leader, W1)
    leader.report(1, W1, running=progress)
    leader.submit("urgent", step(1, 8), queue=URGENT)
    assert leader.state.dispatch.stopping == {run_of("j")}


def messages(effects: list[Effect], kind: type) -> list[object]:
    return [
        effect.message
        for effect in effects
        if isinstance(effect, SendAgent) and isinstance(effect.message, kind)
    ]


def test_runner_without_a_worker_gets_no_grant() -> None:
    """Guards against a lease that outlasts what the leader notes of it.

    A runner that had just restarted extended its worker's lease beyond the
    time at which the leader gave the worker's runs to others.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    (grant,) = messages(leader.report(2, None), LeaseGrant)
    assert isinstance(grant, LeaseGrant)
    assert grant.lease_ms == 0


def test_restarted_runner_gets_its_grant_before_its_orders() -> None:
    """Guards against orders that a runner withdraws for want of a grant."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.report(2, None)
    sent = messages(leader.report(2, W1), LeaseGrant | RunOrders)  # type: ignore[arg-type]
    assert [type(message) for message in sent] == [LeaseGrant, RunOrders]
    assert sent[0].lease_ms == 6_000  # type: ignore[attr-defined]


def refuse_start(leader: Leader, number: int) -> WorkerDescription:
    """Report that run `number` of job j was refused; return where."""
    workers = {1: W1, 2: W2, 3: W3}
    (stream_id,) = [s for s, each in workers.items() if leader.placed(each)]
    absent = (run_of("j", number=number),)
    leader.report(stream_id, workers[stream_id], absent=absent, refused=absent)
    return workers[stream_id]


def test_refused_start_is_tried_on_another_worker() -> None:
    """Guards against a start that is repeated where it is refused."""
    leader = Leader()
    for stream_id, description in ((1, W1), (2, W2), (3, W3)):
        leader.report(stream_id, description)
    leader.submit("j", step(1, 8))
    refusing = refuse_start(leader, 1)
    leader.tick()
    assert not leader.placed(refusing)
    assert refuse_start(leader, 2) != refusing


def test_worker_that_goes_on_refusing_starts_is_left_alone_for_longer() -> None:
    """Guards against starts without an end on a worker that refuses them."""
    leader = Leader()
    leader.report(1, W1)
    history = FailureHistory()
    leader.state.dispatch.failure_histories[W1.id] = history
    leader.submit("j", step(1, 8))
    bars_ms = []
    for number in range(1, 6):
        refuse_start(leader, number)
        bars_ms.append(history.barred_until_ms - leader.now_ms)
        leader.tick()
    assert bars_ms == [1_000, 2_000, 4_000, 8_000, 8_000]
    ended = end_of(run_of("j", number=6), RunEndKind.LAPSED)
    leader.report(1, W1, ended=[ended])
    assert history.refused_starts == 0


@pytest.mark.parametrize("gang", [False, True])
def test_worker_that_refused_nothing_is_not_barred(gang) -> None:
    """Guards against a worker that is blamed for a start that others stopped.

    A member of a gang does not start once another member is lost, and a runner
    withdraws starts that were held up.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.report(2, W2)
    leader.submit("j", step(2, 8, gang=gang))
    absent = tuple(RunId(task, 1) for task in leader.placed(W1))
    assert len(absent) == 1
    leader.report(1, W1, absent=absent)
    assert W1.id not in leader.state.dispatch.failure_histories


def test_run_whose_end_is_reported_is_not_started_again() -> None:
    """Guards against starts that a worker must refuse as outdated."""
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    leader.state.consensus.transfer_target = "nobody"  # no entry is accepted
    ended = end_of(run_of("j"), RunEndKind.DONE)
    assert not orders(leader.report(2, W1, ended=[ended]))


@pytest.mark.parametrize("run", [run_of("unknown"), run_of("j", number=7)])
def test_listed_run_that_was_never_placed_does_not_bar_its_worker(run: RunId) -> None:
    """Guards against a worker that gets no tasks while it lists an odd run."""
    leader = Leader()
    leader.submit("j", step())
    for _ in range(16):
        leader.report(1, W1, [RunProgress(run, "", 10)])
        leader.advance(500)
    assert not leader.state.dispatch.failure_histories


@pytest.mark.parametrize("kind", [RunEndKind.DONE, RunEndKind.FAILED])
def test_end_of_an_unknown_run_covers_no_other_end(kind: RunEndKind) -> None:
    """Guards against ends that are forgotten, since a larger number was seen.

    The worker that listed the odd ends was barred too, if the runs had failed.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.submit("j", step())
    progress = running_progress(leader, W1)
    later = run_of("j", number=2)
    odd = [end_of(run_of("x"), kind, 7), end_of(run_of("y"), kind, 2**53)]
    leader.report(1, W1, progress, [end_of(later, kind, 3), *odd])
    assert not leader.state.dispatch.failure_histories
    leader.report(1, W1, (), [end_of(run_of("j"), RunEndKind.DONE), *odd])
    jobs = leader.state.cluster.jobs
    assert jobs.acknowledged_ends[W1.key] == 1
    assert not jobs.jobs["j"].is_open


TENANTS = (
    CatalogWorkspace("tisk", ("key-a",), 1, 16),
    CatalogWorkspace("lender", ("key-b",), 1, 8),
    CatalogWorkspace("other", ("key-c",), 1, 8),
)


def submit_urgent(leader: Leader, job_id: str, key: str, *steps: StepSpec) -> None:
    leader.propose(SubmitJob(job_id, address(URGENT, key), "work", steps))


def borrowing_leader(**fields: object) -> Leader:
    """Return a leader on whose three workers tisk has borrowed 8 of 24."""
    leader = Leader()
    leader.propose(PutCatalog(catalog(workspaces=TENANTS)))
    for stream_id, description in ((1, W1), (2, W2), (3, W3)):
        leader.report(stream_id, description)
    submit_urgent(leader, "big", "key-a", step(3, 8, **fields))
    for stream_id, description in ((1, W1), (2, W2), (3, W3)):
        running = running_progress(leader, description)
        leader.report(stream_id, description, running=running)
    assert len(running_progress(leader, W3)) == 1
    return leader


def stopped_jobs(leader: Leader) -> list[str]:
    return [run.task.job_id for run in leader.state.dispatch.stopping]


@pytest.mark.parametrize("long_running", [False, True])
def test_guaranteed_work_reclaims_what_urgent_work_borrows(long_running) -> None:
    """Guards against a guarantee that other urgent work keeps."""
    leader = borrowing_leader(long_running=long_running)
    submit_urgent(leader, "j", "key-b", step(1, 8))
    assert stopped_jobs(leader) == ["big"]
    (stopped,) = leader.state.dispatch.stopping
    placed = {1: W1, 2: W2, 3: W3}
    (stream_id,) = [
        number for number, w in placed.items() if stopped.task in leader.placed(w)
    ]
    ended = end_of(stopped, RunEndKind.STOPPED)
    leader.report(stream_id, placed[stream_id], ended=[ended])
    assert list(leader.placed(placed[stream_id])) == [TaskId("j", 0, 0)]


def test_urgent_work_within_guarantees_is_never_reclaimed() -> None:
    """Guards against guaranteed work that is stopped for other work."""
    leader = Leader()
    leader.propose(PutCatalog(catalog(workspaces=TENANTS)))
    leader.report(1, W1)
    submit_urgent(leader, "mine", "key-c", step(1, 8))
    leader.report(1, W1, running=running_progress(leader, W1))
    submit_urgent(leader, "j", "key-b", step(1, 8))
    assert not leader.state.dispatch.stopping


def test_urgent_work_beyond_its_guarantee_reclaims_nothing() -> None:
    """Guards against borrowers that stop each other in turn."""
    leader = borrowing_leader()
    submit_urgent(leader, "j", "key-b", step(2, 8))
    assert not leader.state.dispatch.stopping


def test_less_urgent_work_gives_way_before_urgent_work_does() -> None:
    """Guards against urgent work that is stopped without need."""
    leader = borrowing_leader()
    w4 = worker("w4", rack="r1-2")
    leader.report(4, w4)
    leader.propose(SubmitJob("tight", address(TIGHT), "work", (step(1, 8),)))
    leader.report(4, w4, running=running_progress(leader, w4, percent=50))
    submit_urgent(leader, "j", "key-b", step(1, 8))
    assert stopped_jobs(leader) == ["tight"]


def test_work_that_must_stay_available_is_not_reclaimed() -> None:
    """Guards against lasting work that is stopped beyond its limit."""
    leader = borrowing_leader(long_running=True, max_unavailable=1)
    submit_urgent(leader, "j", "key-b", step(1, 8))
    assert not leader.state.dispatch.stopping


def test_late_report_on_an_earlier_stream_withdraws_no_start() -> None:
    """Guards against runs that are stopped because of an outdated run list.

    A worker that was cut off had its runs withdrawn as soon as it was back:
    the runs of the outdated list seemed to use its capacity.
    """
    leader = Leader()
    leader.report(1, W1)
    leader.submit("first", step(1, 8), queue=TIGHT)
    outdated = running_progress(leader, W1)
    leader.report(1, W1, outdated)
    leader.submit("next", step(1, 8), queue=TIGHT)
    leader.report(1, W1, (), [end_of(run_of("first"), RunEndKind.DONE)])
    leader.report(2, W1, running_progress(leader, W1))
    assert not orders(leader.report(1, W1, outdated))
    assert not leader.state.dispatch.stopping


def test_late_report_on_an_earlier_stream_brings_no_boot_back() -> None:
    """Guards against runs that are placed on a boot that is gone."""
    leader = Leader()
    old, new = worker("w1"), worker("w1", born_ms=9)
    leader.report(1, old)
    leader.report(2, new)
    leader.report(1, old)
    leader.submit("a", step(accelerators=8))
    leader.submit("b", step(accelerators=8))
    assert not leader.placed(old)


def test_crash_report_alone_gives_no_run_up() -> None:
    """Guards against a second run while the first may begin on a new boot."""
    leader = Leader()
    # The wall clock stepped back between the two boots.
    old, new = worker("w1", born_ms=9), worker("w1", born_ms=5)
    leader.report(1, old)
    leader.submit("a", step(accelerators=8))
    leader.report(2, worker("w2"))
    crash = WorkerCrash("m-w1", "w1", 9, (CrashedRun(run_of("a"), 0, 0),))
    leader.report(1, new, crashes=(crash,))
    assert not leader.placed(worker("w2"))


class StalledLeader(Leader):
    """A leader that holds its lease; its log entries wait while `stalled`."""

    stalled = False

    def post(self, *events: Event) -> list[Effect]:
        if not self.stalled:
            return super().post(*events)
        effects: list[Effect] = []
        for event in (ClockAdvanced(self.now_ms, self.now_ms), *events):
            self.state, more_effects = reduce(self.state, event)
            effects += more_effects
        self.sent += [e for e in effects if isinstance(e, SendAgent)]
        return effects


def test_worker_whose_loss_may_still_be_applied_gets_no_grant() -> None:
    """Guards against a run that starts anew just before it is given up."""
    leader, lost = StalledLeader(), worker("w1")
    leader.report(1, lost)
    leader.submit("a", step(accelerators=8))
    leader.stalled = True
    proposed = False
    for _ in range(100):
        leader.advance(250)
        leader.tick()
        proposed = proposed or bool(leader.state.dispatch.pending_losses)
        if proposed and not leader.state.dispatch.pending_losses:
            break
    assert proposed
    leader.sent.clear()
    leader.report(3, lost)
    messages = [each.message for each in leader.sent]
    assert not any(isinstance(each, RunOrders) for each in messages)
    grants = [each for each in messages if isinstance(each, LeaseGrant)]
    assert not any(grant.lease_ms for grant in grants)
