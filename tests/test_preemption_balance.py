"""Tests of preemptions that are weighed by gain and loss."""

import attrs
import pytest

from bench.fleet_simulation import FleetSimulation
from bench.loads import load_named
from crocuswell_core.dispatching import weighed_preemption
from crocuswell_core.dispatching.expectations import Slowdown
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.dispatching.preemption_balance import MAX_STOPS, Stake
from crocuswell_core.dispatching.stoppable_units import (
    StoppableUnit,
    choose_units,
    total_loss,
)
from crocuswell_core.jobs.job_commands import PutCatalog, RecordRunEnds
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunEndKind,
    RunId,
    RunProgress,
    StepSpec,
)
from crocuswell_core.runtime.effects import EmitLogEvent
from crocuswell_daemon import wire
from tests.job_harness import (
    BATCH,
    LONG,
    TIGHT,
    URGENT,
    Leader,
    ReplicatedTable,
    catalog,
    end_of,
    run_of,
    step,
    worker,
)

WEIGHED = DispatchFeatures(weighed_preemption=True)
STAKE = Stake(1_000.0, 0.2, 6_000.0, 250, 0, 4_000, 0, 0.1)
CORE = ResourceVector(1_000)


def unit(loss: float, **cores: int) -> StoppableUnit:
    room = {key: CORE.times(count) for key, count in cores.items()}
    return StoppableUnit((run_of(f"{loss}"),), room, loss, loss)


def fleet(count: int, guaranteed: int = 0) -> Leader:
    leader = Leader(features=WEIGHED)
    for index in range(count):
        leader.report(index + 1, worker(f"w{index}"))
    leader.apply(PutCatalog(catalog(2, guaranteed=guaranteed)))
    return leader


def show_progress(leader: Leader, percents: dict[str, int]) -> None:
    """Report all runs, with the percentage of each job."""
    for stream_id, view in enumerate(list(leader.state.dispatch.views.values()), 1):
        runs = [
            RunProgress(RunId(task, number), "", percents[task.job_id])
            for task, number in leader.placed(view.worker).items()
            if task.job_id in percents
        ]
        leader.report(stream_id, view.worker, runs)


def stopped_jobs(leader: Leader) -> set[str]:
    return {run.task.job_id for run in leader.state.dispatch.stopping}


def withheld_reasons(effects: list) -> list[str]:
    return [
        label.value
        for effect in effects
        if isinstance(effect, EmitLogEvent) and effect.event == "preemption_withheld"
        for label in effect.ids
        if label.name == "reason"
    ]


# --- value of a start ------------------------------------------------------


def test_start_on_a_worker_slower_than_the_stretch_is_late_at_once() -> None:
    """Guards against stopping work for a start on a slow worker."""
    assert STAKE.chances(0, 4_000).in_aim > 0.99
    slow = STAKE.chances(0, 1.67 * 4_000)
    assert slow.in_aim < 0.1
    assert slow.late > 0.9


def test_value_falls_with_the_delay() -> None:
    """Guards against a start that is weighed alike early and too late."""
    worths = [STAKE.worth(delay_ms, 4_000) for delay_ms in range(0, 20_000, 1_000)]
    assert worths == sorted(worths, reverse=True)
    assert worths[0] == pytest.approx(STAKE.value, rel=0.01)
    assert worths[-1] < 1


# --- choice of a set -------------------------------------------------------


def test_gang_with_room_on_all_workers_is_cheaper_than_singles() -> None:
    """Guards against victims that are chosen worker by worker.

    One gang leaves room on both workers; a single on each is cheaper on its
    worker and dearer in all.
    """
    gang, single_a, single_b = unit(5, a=1, b=1), unit(3, a=1), unit(3, b=1)
    free = {"a": ResourceVector(), "b": ResourceVector()}
    chosen = choose_units(StepSpec(2, CORE), 2, free, [single_a, single_b, gang])
    assert chosen == (gang,)


def test_units_that_later_ones_make_superfluous_are_not_stopped() -> None:
    """Guards against stopping a small run beside a large one."""
    small, large = unit(1, a=1), unit(9, a=3)
    free = {"a": ResourceVector()}
    assert choose_units(StepSpec(3, CORE), 3, free, [small, large]) == (large,)
    assert choose_units(StepSpec(4, CORE), 4, free, [small, large]) == (small, large)
    assert choose_units(StepSpec(5, CORE), 5, free, [small, large]) is None


# --- decisions of the leader -----------------------------------------------


def test_resumable_work_is_stopped_before_work_that_would_be_lost() -> None:
    """Guards against losing work where other work can be resumed."""
    leader = fleet(2)
    leader.submit("lost", step(1, accelerators=8, gang=True), queue=LONG)
    saved = step(1, accelerators=8, gang=True, checkpointing=True)
    leader.submit("saved", saved, queue=LONG)
    leader.advance(100)
    show_progress(leader, {"lost": 20, "saved": 20})
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert stopped_jobs(leader) == {"saved"}


def test_young_work_is_stopped_before_a_gang_that_worked_long() -> None:
    """Guards against losing old work where young work suffices."""
    leader = fleet(2)
    leader.submit("old", step(8, gang=True), queue=TIGHT)
    leader.submit("young", step(8), queue=TIGHT)
    show_progress(leader, {"old": 40, "young": 2})
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert stopped_jobs(leader) == {"young"}


def test_run_that_ends_soon_is_awaited() -> None:
    """Guards against stopping a run that ends before the stop would."""
    leader = fleet(1)
    leader.submit("ending", step(8), queue=TIGHT)
    show_progress(leader, {"ending": 90})
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert not stopped_jobs(leader)
    assert leader.state.dispatch.reservations


def test_nothing_is_stopped_for_a_step_that_cannot_make_its_objective() -> None:
    """Guards against work that is lost for a caller who is too late anyway."""
    leader = fleet(1)
    leader.submit("work", step(8), queue=BATCH)
    show_progress(leader, {"work": 2})
    urgent = step(1, accelerators=8)
    leader.state.cluster.now_ms = leader.now_ms
    leader.submit("first", urgent, queue=URGENT)
    assert stopped_jobs(leader) == {"work"}
    leader = fleet(1)
    leader.submit("work", step(8, gang=True), queue=TIGHT)
    show_progress(leader, {"work": 50})
    leader.submit("late", urgent, queue=URGENT)
    leader.state.cluster.jobs.jobs["late"].accepted_ms -= 6_000
    leader.state.dispatch.changes.jobs.add("late")
    show_progress(leader, {"work": 2})
    leader.tick()
    assert leader.state.dispatch.withheld == {("late", 0, 0): "too_late"}
    assert not stopped_jobs(leader)


@pytest.mark.parametrize(("factor", "stops"), [(1.0, True), (1.67, False)])
def test_nothing_is_stopped_for_a_start_on_slow_workers(
    monkeypatch: pytest.MonkeyPatch, factor: float, stops: bool
) -> None:
    """Guards against work that is lost where the successor is late anyway."""
    found = Slowdown(factor, is_known=True)
    monkeypatch.setattr(weighed_preemption, "slowdown", lambda *_: found)
    leader = fleet(1)
    leader.submit("work", step(8), queue=BATCH)
    show_progress(leader, {"work": 2})
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert bool(stopped_jobs(leader)) is stops


def test_caller_of_many_stopped_tasks_loses_the_delay_once() -> None:
    """Guards against wide jobs whose every task counts the whole delay."""
    units = [
        StoppableUnit((run_of("wide", index),), {"a": CORE}, 1, 1, caller_loss=10)
        for index in range(4)
    ]
    assert total_loss(units) == 14
    other = unit(20, a=4)
    free = {"a": ResourceVector()}
    assert choose_units(StepSpec(4, CORE), 4, free, [*units, other]) == tuple(units)


@pytest.mark.parametrize("guaranteed", [0, 16])
def test_awaited_run_that_does_not_end_is_stopped(guaranteed: int) -> None:
    """Guards against an urgent step that waits for a run at 100 percent."""
    leader = fleet(1, guaranteed)
    leader.submit("stuck", step(8, checkpointing=True), queue=BATCH)
    show_progress(leader, {"stuck": 100})
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert not stopped_jobs(leader)
    for _ in range(6):
        leader.advance(250)
        show_progress(leader, {"stuck": 100})
        leader.tick()
    assert stopped_jobs(leader) == {"stuck"}


@pytest.mark.parametrize(("guaranteed", "stops"), [(0, False), (16, True)])
def test_guaranteed_step_is_always_served(guaranteed: int, stops: bool) -> None:
    """Guards against a guarantee that yields to the balance.

    The gang that holds all workers loses far more than a small step gains.
    """
    leader = fleet(4, guaranteed)
    leader.submit("wide", step(32, gang=True), queue=TIGHT)
    show_progress(leader, {"wide": 50})
    effects = leader.apply(PutCatalog(catalog(3, guaranteed=guaranteed)))
    leader.submit("urgent", step(1, accelerators=1), queue=URGENT)
    effects += leader.tick()
    assert bool(stopped_jobs(leader)) is stops


@pytest.mark.parametrize(("stops", "is_stopped"), [(0, True), (MAX_STOPS, False)])
def test_task_is_not_stopped_again_and_again(stops: int, is_stopped: bool) -> None:
    """Guards against a task that never ends under a flood of urgent work."""
    leader = fleet(1)
    leader.submit("often", step(8), queue=BATCH)
    show_progress(leader, {"often": 2})
    job = leader.state.cluster.jobs.jobs["often"]
    for task in job.occurrences[0].tasks[0]:
        task.stops = stops
    leader.submit("urgent", step(1, accelerators=8), queue=URGENT)
    assert bool(stopped_jobs(leader)) is is_stopped


def test_gang_that_was_placed_in_the_same_plan_is_no_victim() -> None:
    """Guards against a plan that looks up placements not yet in the log."""
    leader = fleet(1)
    leader.submit("work", step(4), queue=BATCH)
    show_progress(leader, {"work": 2})
    dispatch = leader.state.dispatch
    dispatch.pending_plan, dispatch.plan_proposed_ms = "9.9", leader.now_ms
    leader.submit("a", step(2, accelerators=2, gang=True), queue=URGENT)
    leader.submit("b", step(1, accelerators=4), queue=URGENT)
    dispatch.pending_plan = ""
    leader.tick()
    assert stopped_jobs(leader) == {"work"}
    assert {task.job_id for task in leader.placed(worker("w0"))} == {"work", "a"}


def test_withheld_preemption_is_reported_once() -> None:
    """Guards against a log line for each plan while a step waits."""
    leader = fleet(4)
    leader.submit("wide", step(32, gang=True), queue=TIGHT)
    show_progress(leader, {"wide": 50})
    leader.submit("urgent", step(1, accelerators=1), queue=URGENT)
    assert leader.state.dispatch.withheld == {("urgent", 0, 0): "too_dear"}
    leader.state.dispatch.changes.everything = True
    assert not withheld_reasons(leader.tick())


# --- replicated count of stops ---------------------------------------------


def test_stops_are_counted_once_for_each_run_of_a_gang() -> None:
    """Guards against a gang whose members each count the same stop."""
    table = ReplicatedTable()
    table.submit("gang", step(2, gang=True))
    for number in (1, 2):
        runs = [run_of("gang", index, number) for index in range(2)]
        table.start(*runs)
        ends = tuple(end_of(run, RunEndKind.STOPPED, 0) for run in runs)
        table.apply(RecordRunEnds("m1/w1@5", ends, 0))
    assert [task.stops for task in table.tasks("gang")] == [2, 2]


def test_other_ends_are_no_stops() -> None:
    """Guards against faults that protect a task from being stopped."""
    table = ReplicatedTable()
    table.submit("j", step(2))
    kinds = (RunEndKind.LAPSED, RunEndKind.STOPPED)
    runs = [run_of("j", index) for index in range(2)]
    table.start(*runs)
    ends = tuple(end_of(run, kind, 0) for run, kind in zip(runs, kinds, strict=True))
    table.apply(RecordRunEnds("m1/w1@5", ends, 0))
    assert [task.stops for task in table.tasks("j")] == [0, 1]


def test_count_of_stops_outlasts_a_snapshot() -> None:
    """Guards against a new host that has a task stopped twice more."""
    table = ReplicatedTable()
    table.submit("j", step())
    table.start(run_of("j"))
    end = end_of(run_of("j"), RunEndKind.STOPPED, 0)
    table.apply(RecordRunEnds("m1/w1@5", (end,), 0))
    restored = wire.decode(wire.encode(table.cluster))
    task = restored.jobs.jobs["j"].occurrences[0].tasks[0][0]
    assert (task.stops, task.stopped_run) == (1, 1)


# --- loads -----------------------------------------------------------------


def test_flood_of_urgent_gangs_stops_no_task_again_and_again() -> None:
    """Guards against gangs that a flood breaks again and again.

    No workspace has a guarantee, for which a task may be stopped more often.
    """
    load = attrs.evolve(
        load_named("competing"),
        workers=24,
        intensity=1.0,
        guaranteed_share=0.0,
    )
    simulation = FleetSimulation(load, features=WEIGHED)
    outcome = simulation.play()
    stops = [
        task.stops
        for job in simulation.leader.state.cluster.jobs.jobs.values()
        for occurrence in job.occurrences.values()
        for tasks in occurrence.tasks
        for task in tasks
    ]
    assert outcome.stops["run_preempted"] > 0
    assert max(stops) <= MAX_STOPS
