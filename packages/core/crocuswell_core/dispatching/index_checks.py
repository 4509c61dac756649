"""Comparison of the dispatching indexes with ones that are built anew."""

import math
from collections.abc import Iterator

from crocuswell_core.dispatching import indexing, trials
from crocuswell_core.dispatching.fleet import Fleet, spare_resources
from crocuswell_core.dispatching.ranking import rank_jobs
from crocuswell_core.dispatching.waiting_steps import RankedStep, WaitingSteps
from crocuswell_core.entry.entry_state import EntryState


def find_index_problems(state: EntryState) -> list[str]:
    """Return how the kept indexes differ from the state, for tests.

    Only workers and jobs that no pending change names are compared, and
    none while a plan is pending.
    """
    dispatch = state.dispatch
    if dispatch.changes.everything or dispatch.pending_plan:
        return []
    return [
        *_worker_problems(state),
        *_demand_problems(dispatch.fleet),
        *_waiting_problems(state),
        *_order_problems(state),
    ]


def _worker_problems(state: EntryState) -> Iterator[str]:
    dispatch = state.dispatch
    for key, view in dispatch.views.items():
        if key in dispatch.changes.workers:
            continue
        candidate = dispatch.fleet.candidates.get(key)
        if candidate is None:
            if indexing.accepts_tasks(state, view):
                yield f"{key} accepts tasks but is no candidate"
            continue
        free, placed, _ = indexing.measure_worker(state, view)
        if free != candidate.free or placed.keys() != candidate.placed.keys():
            yield f"{key} has {free} free, not {candidate.free}"
        if candidate.spare != spare_resources(candidate):
            yield f"{key} counts its reservations wrongly"
        if candidate.is_closed != _is_on_trial(state, key):
            yield f"{key} is closed or open against the trials there"


def _is_on_trial(state: EntryState, key: str) -> bool:
    """Tell whether a trial was open when trials were last looked at."""
    return trials.is_open_after(state, key, state.dispatch.trials_checked_ms)


def _demand_problems(fleet: Fleet) -> Iterator[str]:
    rebuilt = Fleet()
    for candidate in fleet.candidates.values():
        rebuilt.put(
            candidate.view, candidate.free, candidate.placed, candidate.is_closed
        )
        for step, demand in candidate.reservations.items():
            rebuilt.reserve(candidate.key, step, demand)
    if rebuilt.rack_accelerators != fleet.rack_accelerators:
        yield "the racks' free accelerators are wrong"
    for key, kept in fleet.by_demand.items():
        anew = rebuilt.fitting_workers(*key)
        service = kept.service
        if kept.copies != anew.copies or kept.total != anew.total:
            yield f"tasks of {service} that fit: {kept.total}, not {anew.total}"
        if kept.total_capacity != anew.total_capacity:
            yield f"capacity for tasks of {service} is wrong"


def _waiting_problems(state: EntryState) -> Iterator[str]:
    dispatch = state.dispatch
    kept = dispatch.waiting
    dispatch.waiting = WaitingSteps()
    try:
        open_jobs = [j.id for j in state.cluster.jobs.jobs.values() if j.is_open]
        rank_jobs(state, open_jobs)
        anew = dispatch.waiting
    finally:
        dispatch.waiting = kept
    totals = {name: sum_ for name, sum_ in kept.demand_by_workspace.items() if sum_}
    rebuilt = {name: sum_ for name, sum_ in anew.demand_by_workspace.items() if sum_}
    if not dispatch.changes.jobs and totals != rebuilt:
        yield "the urgent demand of a workspace is wrong"
    for job_id in kept.backlog.by_job.keys() | anew.backlog.by_job.keys():
        if job_id in dispatch.changes.jobs or job_id in kept.backlog.unconfirmed:
            continue
        counted, due = kept.backlog.by_job.get(job_id), anew.backlog.by_job.get(job_id)
        if (counted and counted.work) != (due and due.work):
            yield f"job {job_id} waits with other work than its tasks"
    for key in kept.by_key.keys() | anew.by_key.keys():
        if key[0] in dispatch.changes.jobs:
            continue
        old, new = kept.by_key.get(key), anew.by_key.get(key)
        if old is None or new is None:
            yield f"step {key} is {'not ' * (old is None)}among the waiting ones"
        elif old.ranked.waiting != new.ranked.waiting:
            yield f"step {key} waits with {old.ranked.waiting}"
        elif _is_covered(old.ranked) != _is_covered(new.ranked):
            yield f"step {key} and its workspace's guarantee do not agree"


def _is_covered(ranked: RankedStep) -> bool:
    """Tell whether a step is ranked as within its workspace's guarantee."""
    return math.isinf(ranked.preemption_limit_core_s)


def _order_problems(state: EntryState) -> Iterator[str]:
    """Yield placed runs that were neither ordered nor are due to be."""
    dispatch = state.dispatch
    for key, placed in state.cluster.jobs.placed.items():
        view = dispatch.views.get(key)
        if view is None or key in dispatch.changes.orders:
            continue
        for task_id, number in placed.items():
            ordered = {run.number for run in view.ordered_starts if run.task == task_id}
            stopped = {run.number for run in view.ordered_stops if run.task == task_id}
            listed = {run.number for run in view.running if run.task == task_id}
            if number not in ordered | stopped | listed:
                yield f"{task_id} was not ordered from {key}"
