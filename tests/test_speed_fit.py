"""Tests of placement by the speed of workers."""

import pytest

from crocuswell_core.dispatching import expectations
from crocuswell_core.dispatching.expectations import Slowdown
from crocuswell_core.dispatching.features import DispatchFeatures
from crocuswell_core.dispatching.speed_fit import SpeedFit, SpeedRank, path_from_ms
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import StepSpec, TaskId
from crocuswell_core.links.link_messages import WorkerDescription
from tests.job_harness import BATCH, LONG, URGENT, Leader, step, worker

FEATURES = DispatchFeatures(worker_speeds=True)
SLOW, USUAL, FAST = worker("slow"), worker("usual"), worker("fast")
KNOWN = {"m-slow": 1.67, "m-usual": 1.0, "m-fast": 0.6}


@pytest.fixture
def known_speeds(monkeypatch: pytest.MonkeyPatch) -> None:
    def slowdown(state: EntryState, machine: str) -> Slowdown:
        if not state.cfg.features.worker_speeds:
            return Slowdown()
        known = machine in KNOWN
        return Slowdown(KNOWN.get(machine, 1.0), known)

    monkeypatch.setattr(expectations, "slowdown", slowdown)


def placed_on(
    *descriptions: WorkerDescription,
    spec: StepSpec,
    queue: str,
    features: DispatchFeatures = FEATURES,
) -> set[str]:
    """Return the ids of the workers that get a job's tasks."""
    leader = Leader(features=features)
    for stream_id, description in enumerate(descriptions, start=1):
        leader.report(stream_id, description)
    leader.submit("j", spec, queue=queue)
    return {d.id for d in descriptions if leader.placed(d)}


def test_urgent_gang_avoids_the_worker_that_makes_it_late(known_speeds: None) -> None:
    """Guards against a gang with little slack that a slow member delays."""
    gang = step(2, accelerators=8, gang=True)
    workers = (SLOW, USUAL, FAST)
    assert placed_on(*workers, spec=gang, queue=URGENT) == {"usual", "fast"}
    off = DispatchFeatures()
    assert "slow" in placed_on(*workers, spec=gang, queue=URGENT, features=off)


def test_gang_that_needs_all_workers_starts_on_slow_ones_too(
    known_speeds: None,
) -> None:
    """Guards against a job that waits for ever since some workers are slow."""
    gang = step(3, accelerators=8, gang=True)
    placed = placed_on(SLOW, USUAL, FAST, spec=gang, queue=URGENT)
    assert placed == {"slow", "usual", "fast"}


def test_work_with_slack_leaves_fast_workers_to_others(known_speeds: None) -> None:
    """Guards against long work that fills the few fast workers of a fleet."""
    assert placed_on(FAST, USUAL, SLOW, spec=step(), queue=LONG) == {"slow"}
    assert placed_on(FAST, USUAL, spec=step(), queue=LONG) == {"usual"}


def test_work_with_slack_explores_unknown_workers(known_speeds: None) -> None:
    """Guards against workers of which the speed is never learned."""
    assert placed_on(USUAL, worker("new"), spec=step(), queue=LONG) == {"new"}
    assert placed_on(USUAL, worker("new"), spec=step(), queue=URGENT) == {"usual"}


def test_one_rack_gang_takes_the_rack_in_which_it_is_in_time(
    known_speeds: None,
) -> None:
    """Guards against choosing the fullest rack though its worker is slow."""
    gang = step(1, accelerators=8, gang=True, prefers_one_rack=True)
    other_rack = worker("usual", rack="r1-2")
    third = worker("fast", rack="r1-2")
    placed = placed_on(SLOW, other_rack, third, spec=gang, queue=URGENT)
    assert not placed & {"slow"}


def test_gang_takes_workers_of_one_speed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against fast members that wait for a slow one for long."""
    paces = dict.fromkeys(("f0", "f1"), 0.6) | {"u0": 1.0, "u1": 1.0, "s0": 1.67}
    monkeypatch.setattr(
        expectations, "slowdown", lambda _, name: Slowdown(paces[name[2:]], True)
    )
    fleet = [worker(name) for name in paces]
    gang = step(2, accelerators=8, gang=True)
    for queue in (URGENT, LONG):
        placed = placed_on(*fleet, spec=gang, queue=queue)
        assert placed in ({"f0", "f1"}, {"u0", "u1"})
    three = step(3, accelerators=8, gang=True)
    assert placed_on(*fleet, spec=three, queue=URGENT) < {"f0", "f1", "u0", "u1"}


def test_late_step_uses_any_worker() -> None:
    """Guards against a late job that waits longer for a better worker."""
    assert SpeedFit().rank(Slowdown(5.0, True)) is SpeedRank.SUITED


def test_workers_that_are_alike_are_ordered_by_room(known_speeds: None) -> None:
    """Guards against spreading tasks over workers of nearly one speed."""
    fit = SpeedFit(3.0, has_slack=True)
    alike = {fit.rank(Slowdown(factor, True)) for factor in (0.9, 1.0, 1.15)}
    assert len(alike) == 1


def test_path_follows_the_steps_that_wait() -> None:
    """Guards against slack that ignores the steps still to come."""
    leader = Leader()
    leader.report(1, USUAL)
    steps = (step(), step(after=(0,)), step(after=(0,)))
    leader.submit("j", *steps, queue=BATCH)
    job = leader.state.cluster.jobs.jobs["j"]
    assert [path_from_ms(job, index) for index in range(3)] == [10_000, 5_000, 5_000]
    assert TaskId("j", 0, 0) in leader.placed(USUAL)
