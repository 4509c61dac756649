"""Plan of task starts, and of preemptions on behalf of urgent steps.

A plan looks again at what changed since the last one: the steps whose tasks
changed, and the waiting steps of which a worker could now hold more tasks.
Every waiting step is looked at again after `RECONSIDER_MS`, because some
limits depend on time.
"""

import attrs

from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.consensus import replication
from crocuswell_core.dispatching import health, indexing
from crocuswell_core.dispatching.backfill import limit_backfill, release_holds
from crocuswell_core.dispatching.dispatch_state import Reservation
from crocuswell_core.dispatching.fleet import CandidateWorker, FittingWorkers
from crocuswell_core.dispatching.orders import (
    PROPOSAL_TIMEOUT_MS,
    current_dispatch,
    send_due_orders,
)
from crocuswell_core.dispatching.packing import (
    choose_placements,
    exclude_failed_workers,
    fitting_workers,
    place_on_idle_fleet,
    start_limit,
    update_fit,
)
from crocuswell_core.dispatching.preemption import Preemption, choose_preemption
from crocuswell_core.dispatching.preemption_log import balance_labels, note_withheld
from crocuswell_core.dispatching.ranking import find_due_jobs, has_borrowers
from crocuswell_core.dispatching.trials import awaits_trial, end_trials, runs_alone
from crocuswell_core.dispatching.waiting_steps import RankedStep, WaitingStep
from crocuswell_core.dispatching.weighed_preemption import weigh_preemption
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import PlaceRuns
from crocuswell_core.jobs.job_records import RunId, RunPlacement, TaskId
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label, LogLevel

# Limits the size of a log entry; the next plan takes the remaining starts.
MAX_STARTS_PER_PLAN = 256
RECONSIDER_MS = 500
# Covers the longest stop of a preempted run and the recording of its end.
RESERVATION_TIMEOUT_MS = 2_500


@attrs.define
class Plan:
    """Starts and effects that one plan has found so far."""

    placements: list[RunPlacement] = attrs.Factory(list)
    effects: list[Effect] = attrs.Factory(list)


def plan_if_due(state: EntryState) -> list[Effect]:
    """Plan if something changed, or if time may have changed a limit."""
    dispatch = current_dispatch(state)
    end_trials(state)
    waited_ms = state.now_ms - dispatch.last_plan_ms
    is_due = (
        dispatch.changes.affect_plan
        or (dispatch.waiting.by_key and waited_ms >= RECONSIDER_MS)
        or any(state.now_ms > r.expires_ms for r in dispatch.reservations.values())
        or find_due_jobs(state)
    )
    return plan_starts(state) if is_due else []


def plan_starts(state: EntryState) -> list[Effect]:
    """Propose the starts that are possible now, unless a plan is pending."""
    dispatch = current_dispatch(state)
    if dispatch.pending_plan:
        if state.now_ms - dispatch.plan_proposed_ms < PROPOSAL_TIMEOUT_MS:
            return []
        dispatch.pending_plan = ""
        dispatch.changes.workers |= dispatch.planned_workers
    indexing.refresh(state)
    dispatch.last_plan_ms = state.now_ms
    plan = Plan()
    for waiting in dispatch.waiting.ordered():
        if len(plan.placements) >= MAX_STARTS_PER_PLAN:
            break
        fitting = fitting_workers(state, waiting.ranked)
        if _should_consider(state, waiting, fitting):
            _consider(state, plan, waiting, fitting)
            waiting.considered_ms = state.now_ms
            waiting.opened = fitting.opened
            waiting.released = dispatch.fleet.released
    return [*plan.effects, *send_due_orders(state), *_propose(state, plan.placements)]


def _should_consider(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> bool:
    dispatch = state.dispatch
    return (
        waiting.opened != fitting.opened
        or waiting.released != dispatch.fleet.released
        or waiting.fit_membership != dispatch.fleet.membership
        or waiting.ranked.key in dispatch.reservations
        or state.now_ms - waiting.considered_ms >= RECONSIDER_MS
    )


def _consider(
    state: EntryState, plan: Plan, waiting: WaitingStep, fitting: FittingWorkers
) -> None:
    """Start a step's tasks if it can, or make room for it."""
    dispatch, ranked = state.dispatch, waiting.ranked
    fleet = dispatch.fleet
    update_fit(fleet, waiting, fitting)
    with_room = _workers_with_room(state, ranked, fitting)
    sound = exclude_failed_workers(fleet, ranked, fitting, with_room)
    end_ms = state.now_ms + ranked.step.estimated_ms
    usable = [
        candidate
        for candidate in sound
        # Lasting tasks that have to start again get back what they left free.
        if ranked.restarts_lasting_tasks
        or not candidate.is_held_from(ranked.key, ranked.sort_key, end_ms)
    ]
    limit = start_limit(ranked, fitting)
    placements = choose_placements(state, waiting, usable, limit) if limit else {}
    has_reservation = ranked.key in dispatch.reservations
    if not placements and not has_reservation:
        placements = place_on_idle_fleet(state, waiting, sound, usable, limit)
    if placements:
        plan.placements += _assign_tasks(state, ranked, placements)
        indexing.release_reservation(state, ranked.key)
        release_holds(state, waiting)
    elif limit and not has_reservation and not (sound and awaits_trial(state, ranked)):
        plan.effects += _make_room(state, waiting, fitting)


def _workers_with_room(
    state: EntryState, ranked: RankedStep, fitting: FittingWorkers
) -> list[CandidateWorker]:
    """Return the workers that could hold a task of the step now."""
    dispatch = state.dispatch
    keys = dict.fromkeys(fitting.copies)
    reservation = dispatch.reservations.get(ranked.key)
    if reservation is not None:
        keys |= dict.fromkeys(reservation.tasks_by_worker)
    barred = health.excluded_worker_ids(state)
    found = []
    for key in keys:
        candidate = dispatch.fleet.candidates.get(key)
        if candidate is None or candidate.worker.id in barred:
            continue
        if not indexing.accepts_tasks(state, candidate.view):
            continue
        candidate.available = candidate.unreserved(ranked.key)
        if candidate.available.can_hold(ranked.step.demand):
            found.append(candidate)
    return found


def _assign_tasks(
    state: EntryState, ranked: RankedStep, placements: dict[int, CandidateWorker]
) -> list[RunPlacement]:
    run_placements: list[RunPlacement] = []
    for index, candidate in placements.items():
        task_id = TaskId(
            ranked.job.id, ranked.step_index, index, ranked.occurrence.number
        )
        candidate.placed[task_id] = ranked.step.demand
        # Nothing else may join it in this plan either.
        candidate.is_closed = candidate.is_closed or runs_alone(ranked, index)
        free = candidate.free - ranked.step.demand
        state.dispatch.fleet.set_free(candidate, free)
        run = RunId(task_id, ranked.tasks[index].run + 1)
        run_placements.append(RunPlacement(run, candidate.key))
    return run_placements


def _propose(state: EntryState, run_placements: list[RunPlacement]) -> list[Effect]:
    if not run_placements:
        return []
    dispatch = current_dispatch(state)
    dispatch.plan_count += 1
    dispatch.pending_plan = f"{dispatch.term}.{dispatch.plan_count}"
    dispatch.plan_proposed_ms = state.now_ms
    dispatch.planned_workers = {placement.worker for placement in run_placements}
    proposal = Proposal("", "", PlaceRuns(tuple(run_placements), dispatch.pending_plan))
    return replication.propose(state, proposal)


def _make_room(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> list[Effect]:
    """Preempt runs for an urgent step, or limit backfill for a waiting one."""
    ranked = waiting.ranked
    effects: list[Effect] = []
    preemption = None
    if ranked.may_preempt:
        preemption, effects = _find_preemption(state, waiting, fitting)
    if preemption is None and ranked.is_guaranteed and has_borrowers(state):
        # Less urgent work does not make enough room: the step takes back what
        # urgent work of others uses beyond their guarantees.
        reclaiming = attrs.evolve(ranked, reclaims=True)
        again = attrs.evolve(waiting, ranked=reclaiming)
        preemption, more_effects = _find_preemption(state, again, fitting)
        effects = more_effects if preemption else [*effects, *more_effects]
    if preemption is None:
        if ranked.limits_backfill:
            limit_backfill(state, waiting, fitting)
        return [*effects, *_report_unfit_claim(state, waiting)]
    timeout_ms = RESERVATION_TIMEOUT_MS
    if preemption.awaits_ends:
        timeout_ms = preemption.ends_timeout_ms
        state.dispatch.awaited_ends.add(ranked.key)
    reservation = Reservation(
        ranked.step.demand, preemption.tasks_by_worker, state.now_ms + timeout_ms
    )
    indexing.reserve(state, ranked.key, reservation)
    return [*effects, *_preempt_runs(state, ranked, preemption)]


def _find_preemption(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> tuple[Preemption | None, list[Effect]]:
    """Return the runs to stop for a step, None if it waits, with log lines."""
    ranked = waiting.ranked
    if state.cfg.features.weighed_preemption and not ranked.step.long_running:
        weighing = weigh_preemption(state, waiting, fitting)
        return weighing.preemption, note_withheld(state, ranked, weighing)
    preemption = choose_preemption(state, waiting, fitting)
    if preemption and preemption.cost > ranked.preemption_limit_core_s:
        return None, []
    return preemption, []


def _report_unfit_claim(state: EntryState, waiting: WaitingStep) -> list[Effect]:
    """Report an urgent step that no longer fits because of an evacuation."""
    dispatch, ranked = state.dispatch, waiting.ranked
    if waiting.fits or not ranked.may_preempt or not state.cluster.evacuations:
        dispatch.unfit_claims.discard(ranked.key)
        return []
    if ranked.key in dispatch.unfit_claims:
        return []
    dispatch.unfit_claims.add(ranked.key)
    labels = (
        Label("job", ranked.job.id),
        Label("step", str(ranked.step_index)),
        Label("waiting", str(ranked.waiting_count)),
        Label("failure_domains", ",".join(sorted(state.cluster.evacuations))),
    )
    return [EmitLogEvent("claim_does_not_fit", labels, LogLevel.WARNING)]


def _preempt_runs(
    state: EntryState, ranked: RankedStep, preemption: Preemption
) -> list[Effect]:
    effects: list[Effect] = []
    labels = [
        Label("for", ranked.job.id),
        Label("lost_core_s", str(round(preemption.cost))),
    ]
    if preemption.balance is not None:
        labels += balance_labels(preemption.balance)
    for run in preemption.runs:
        effects += health.stop_run("run_preempted", state, run, *labels)
    return effects
