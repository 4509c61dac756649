"""Keeps the indexes of waiting steps and of the fleet up to date."""

from typing import Any

from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.dispatching.dispatch_state import DispatchChanges, Reservation
from crocuswell_core.dispatching.evacuation import is_evacuated
from crocuswell_core.dispatching.fleet import Fleet, PreemptibleWork
from crocuswell_core.dispatching.ranking import find_outdated_jobs, rank_jobs
from crocuswell_core.dispatching.replaced_boots import has_unsettled_runs
from crocuswell_core.dispatching.trials import note_trials
from crocuswell_core.dispatching.waiting_steps import (
    NEVER_CONSIDERED_MS,
    WaitingSteps,
)
from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, StepKey, TaskId
from crocuswell_core.runtime.dispatch import translate_effect
from crocuswell_core.runtime.effects import (
    Effect,
    EvacuationChanged,
    PlacementsChanged,
)

# Runners report every 500 ms: after two missed reports a worker gets no new
# tasks.
REPORT_TIMEOUT_MS = 1_200


@translate_effect.register
def _(effect: PlacementsChanged, state: EntryState) -> list[Effect]:
    """Note on the leader what the next plan must look at again."""
    dispatch = state.dispatch
    if state.consensus.role is not Role.LEADER or dispatch.term != state.consensus.term:
        # The first plan of a term builds all indexes anew.
        return []
    dispatch.pending_losses -= set(effect.workers) - state.cluster.jobs.placed.keys()
    changes = dispatch.changes
    changes.everything = changes.everything or effect.everything
    changes.workers.update(effect.workers)
    changes.orders.update(effect.workers)
    # A boot gets tasks once the runs of the one that it replaced are settled.
    changes.workers.update(
        dispatch.replaced[key].successor
        for key in effect.workers
        if key in dispatch.replaced
    )
    table = state.cluster.jobs
    for job_id in effect.jobs:
        changes.jobs.add(job_id)
        job = table.jobs.get(job_id)
        if job is None:
            continue
        if not job.is_open or any(step.gang for step in job.steps):
            # Runs elsewhere may no longer be wanted.
            changes.orders.update(task.worker for _, task in table.placed_tasks(job))
    return []


@translate_effect.register
def _(effect: EvacuationChanged, state: EntryState) -> list[Effect]:
    """Take the workers of a domain out of the indexes, or back in."""
    dispatch = state.dispatch
    if state.consensus.role is not Role.LEADER or dispatch.term != state.consensus.term:
        return []
    domain = effect.failure_domain
    dispatch.empty_domains.discard(domain)
    keys = {key for key, view in dispatch.views.items() if view.worker.zone == domain}
    dispatch.changes.workers |= keys
    dispatch.changes.orders |= keys
    for step, reservation in list(dispatch.reservations.items()):
        if not keys.isdisjoint(reservation.tasks_by_worker):
            _end_reservation(state, step)
    return []


def refresh(state: EntryState) -> None:
    """Bring the indexes up to date with all changes since the last plan."""
    dispatch = state.dispatch
    changes = dispatch.changes
    if changes.everything:
        _start_anew(state)
    dispatch.changes = DispatchChanges(everything=False, orders=changes.orders)
    rank_jobs(state, changes.jobs | find_outdated_jobs(state))
    for key in sorted(changes.workers):
        refresh_worker(state, key)
    _remove_silent_workers(state)
    _drop_ended_waits(state)


def _start_anew(state: EntryState) -> None:
    dispatch = state.dispatch
    dispatch.fleet = Fleet()
    dispatch.waiting = WaitingSteps()
    dispatch.held_workers = {}
    changes = dispatch.changes
    changes.jobs |= {job.id for job in state.cluster.jobs.jobs.values() if job.is_open}
    changes.workers |= dispatch.views.keys()
    changes.orders |= dispatch.views.keys()


def refresh_worker(state: EntryState, key: str) -> None:
    """Bring the index of one worker up to date."""
    dispatch = state.dispatch
    view = dispatch.views.get(key)
    if view is None or not accepts_tasks(state, view):
        dispatch.fleet.remove(key)
        if view is None and key in state.cluster.jobs.placed:
            dispatch.lost_contact.add(key)
        return
    is_new = key not in dispatch.fleet.candidates
    free, placed, preemptible = measure_worker(state, view)
    dispatch.fleet.put(view, free, placed, note_trials(state, key))
    dispatch.fleet.candidates[key].preemptible = preemptible
    if is_new:
        for step, reservation in dispatch.reservations.items():
            _apply_reservation(state, step, reservation, key)


def measure_worker(
    state: EntryState, view: WorkerView
) -> tuple[ResourceVector, dict[TaskId, ResourceVector], dict[int, PreemptibleWork]]:
    """Return a worker's free resources, its placed tasks, and its work.

    The work is grouped by the priority of the queue; steps that must not be
    interrupted are left out.
    """
    table = state.cluster.jobs
    placed: dict[TaskId, ResourceVector] = {}
    preemptible: dict[int, PreemptibleWork] = {}
    free = view.worker.capacity
    for task_id in table.placed.get(view.worker.key, {}):
        job = table.jobs.get(task_id.job_id)
        if job is None:
            continue
        step = job.steps[task_id.step]
        placed[task_id] = step.demand
        free = free - step.demand
        queue = table.queue_of(job)
        task = table.task(task_id)
        if queue is not None and task is not None and not step.max_unavailable:
            work = preemptible.setdefault(queue.priority, PreemptibleWork())
            work.add(step, task.placed_ms)
    for run in view.running:
        # Runs that are not in the log still use resources until they end.
        unplaced = None if run.task in placed else table.step_of(run.task)
        if unplaced is not None:
            free = free - unplaced.demand
    return free, placed, preemptible


def accepts_tasks(state: EntryState, view: WorkerView) -> bool:
    """Tell whether a worker is in contact, and meant to get new tasks."""
    return (
        view.stream_id in state.clients
        and view.reachable
        and state.now_ms - view.last_report_ms <= REPORT_TIMEOUT_MS
        and not view.worker.draining
        and not is_evacuated(state, view)
        and not has_unsettled_runs(state, view)
    )


def _remove_silent_workers(state: EntryState) -> None:
    """Remove workers without a recent report; the oldest come first."""
    dispatch = state.dispatch
    for key, view in dispatch.views.items():
        if state.now_ms - view.last_report_ms <= REPORT_TIMEOUT_MS:
            return
        dispatch.fleet.remove(key)


def _drop_ended_waits(state: EntryState) -> None:
    """Forget what was kept for steps that no longer wait."""
    dispatch = state.dispatch
    waiting = dispatch.waiting.by_key
    waits: tuple[dict[StepKey, Any], ...] = (
        dispatch.reserved_racks,
        dispatch.ample_since_ms,
        dispatch.trial_waits,
        dispatch.withheld,
    )
    for by_step in waits:
        for key in [key for key in by_step if key not in waiting]:
            del by_step[key]
    dispatch.awaited_ends &= waiting.keys()
    dispatch.unfit_claims &= waiting.keys()
    for key in [key for key in dispatch.held_workers if key not in waiting]:
        dispatch.fleet.release(dispatch.held_workers.pop(key), key)
    for key, reservation in list(dispatch.reservations.items()):
        if key not in waiting:
            release_reservation(state, key)
        elif state.now_ms > reservation.expires_ms:
            _end_reservation(state, key)


# --- reservations --------------------------------------------------------


def reserve(state: EntryState, step: StepKey, reservation: Reservation) -> None:
    """Reserve resources for a step until it starts."""
    state.dispatch.reservations[step] = reservation
    for key in reservation.tasks_by_worker:
        _apply_reservation(state, step, reservation, key)


def _apply_reservation(
    state: EntryState, step: StepKey, reservation: Reservation, key: str
) -> None:
    copies = reservation.tasks_by_worker.get(key, 0)
    if copies:
        state.dispatch.fleet.reserve(key, step, reservation.demand.times(copies))


def _end_reservation(state: EntryState, step: StepKey) -> None:
    """Release a reservation that came to nothing; consider the step anew."""
    release_reservation(state, step)
    waiting = state.dispatch.waiting.by_key.get(step)
    if waiting is not None:
        waiting.considered_ms = NEVER_CONSIDERED_MS


def release_reservation(state: EntryState, step: StepKey) -> None:
    """Let other steps use the resources that were reserved for a step."""
    reservation = state.dispatch.reservations.pop(step, None)
    if reservation is not None:
        for key in reservation.tasks_by_worker:
            state.dispatch.fleet.cancel_reservation(key, step)
