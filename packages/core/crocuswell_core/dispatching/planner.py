"""Plan of task starts, and of preemptions on behalf of urgent steps."""

from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.consensus import replication
from crocuswell_core.dispatching import health
from crocuswell_core.dispatching.dispatch_state import (
    CandidateWorker,
    Reservation,
    WorkerView,
)
from crocuswell_core.dispatching.packing import (
    choose_placements,
    exclude_failed_workers,
    limit_backfill,
    place_on_idle_fleet,
    start_limit,
)
from crocuswell_core.dispatching.preemption import Preemption, choose_preemption
from crocuswell_core.dispatching.ranking import RankedStep, rank_steps
from crocuswell_core.dispatching.worker_reports import (
    PROPOSAL_TIMEOUT_MS,
    current_dispatch,
    send_all_orders,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import PlaceRuns
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    RunId,
    RunPlacement,
    StepKey,
    TaskId,
)
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label

# Runners report every 500 ms: after two missed reports a worker gets no new
# tasks.
REPORT_TIMEOUT_MS = 1_200
# Limits the size of a log entry; the next plan takes the remaining starts.
MAX_STARTS_PER_PLAN = 256
# Covers the longest stop of a preempted run and the recording of its end.
RESERVATION_TIMEOUT_MS = 2_500


def plan_starts(state: EntryState) -> list[Effect]:
    """Propose the starts that are possible now, unless a plan is pending."""
    dispatch = current_dispatch(state)
    if dispatch.pending_plan:
        if state.now_ms - dispatch.plan_proposed_ms < PROPOSAL_TIMEOUT_MS:
            return []
        dispatch.pending_plan = ""
    candidates = collect_candidates(state)
    steps = rank_steps(state)
    _update_reservations(state, steps, candidates)
    run_placements: list[RunPlacement] = []
    effects: list[Effect] = []
    for ranked in steps:
        if len(run_placements) >= MAX_STARTS_PER_PLAN:
            break
        usable = exclude_failed_workers(
            ranked,
            [candidate for candidate in candidates if _matches_step(candidate, ranked)],
        )
        for candidate in usable:
            candidate.set_available_for(ranked.key, ranked.step.estimated_ms)
        limit = start_limit(ranked, candidates)
        placements = choose_placements(ranked, usable, limit) if limit else {}
        if not placements and ranked.key not in dispatch.reservations:
            placements = place_on_idle_fleet(state, ranked, usable, limit)
        if placements:
            run_placements += _assign_tasks(ranked, placements)
            _release_reservation(state, ranked, candidates)
        elif limit and ranked.key not in dispatch.reservations:
            effects += _free_resources(state, ranked, usable)
    if any(isinstance(effect, EmitLogEvent) for effect in effects):
        effects += send_all_orders(state)
    return [*effects, *_propose(state, run_placements)]


def _propose(state: EntryState, run_placements: list[RunPlacement]) -> list[Effect]:
    if not run_placements:
        return []
    dispatch = current_dispatch(state)
    dispatch.plan_count += 1
    dispatch.pending_plan = f"{dispatch.term}.{dispatch.plan_count}"
    dispatch.plan_proposed_ms = state.now_ms
    proposal = Proposal("", "", PlaceRuns(tuple(run_placements), dispatch.pending_plan))
    return replication.propose(state, proposal)


def collect_candidates(state: EntryState) -> list[CandidateWorker]:
    """Return the workers that may get tasks, with their free resources."""
    table = state.cluster.jobs
    candidates: list[CandidateWorker] = []
    views = {
        key: view
        for key, view in current_dispatch(state).views.items()
        if _accepts_tasks(state, view)
    }
    skip_barred = health.should_skip_barred(state, views.values())
    for key, view in views.items():
        if skip_barred and health.is_barred(state, view):
            continue
        placed: dict[TaskId, ResourceVector] = {}
        free = view.worker.capacity
        for task_id in table.placed.get(key, {}):
            demand = table.jobs[task_id.job_id].steps[task_id.step].demand
            placed[task_id] = demand
            free = free - demand
        for run in view.running:
            # Runs that are not in the log still use resources until they end.
            if run.task not in placed and run.task.job_id in table.jobs:
                job = table.jobs[run.task.job_id]
                free = free - job.steps[run.task.step].demand
        candidates.append(CandidateWorker(view, free, placed))
    return candidates


def _accepts_tasks(state: EntryState, view: WorkerView) -> bool:
    return (
        view.stream_id in state.clients
        and view.reachable
        and state.now_ms - view.last_report_ms <= REPORT_TIMEOUT_MS
        and not view.worker.draining
    )


def _matches_step(candidate: CandidateWorker, ranked: RankedStep) -> bool:
    worker = candidate.view.worker
    label = ranked.step.required_label
    return worker.service == ranked.service and (not label or label in worker.labels)


def _assign_tasks(
    ranked: RankedStep, placements: dict[int, CandidateWorker]
) -> list[RunPlacement]:
    run_placements: list[RunPlacement] = []
    for index, candidate in placements.items():
        task_id = TaskId(
            ranked.job.id, ranked.step_index, index, ranked.occurrence.number
        )
        task = ranked.tasks[index]
        candidate.free = candidate.free - ranked.step.demand
        candidate.placed[task_id] = ranked.step.demand
        run_placements.append(
            RunPlacement(RunId(task_id, task.run + 1), candidate.view.worker.key)
        )
    return run_placements


# --- reservations --------------------------------------------------------


def _update_reservations(
    state: EntryState, steps: list[RankedStep], candidates: list[CandidateWorker]
) -> None:
    """Apply open reservations to the candidates; drop expired ones."""
    reservations = current_dispatch(state).reservations
    waiting = {ranked.key for ranked in steps}
    for by_step in (
        current_dispatch(state).reserved_racks,
        current_dispatch(state).ample_since_ms,
    ):
        for key in by_step.keys() - waiting:
            del by_step[key]
    for key, reservation in list(reservations.items()):
        if (
            key not in waiting
            or state.now_ms - reservation.created_ms > RESERVATION_TIMEOUT_MS
        ):
            del reservations[key]
        else:
            _apply_reservation(key, reservation, candidates)


def _apply_reservation(
    key: StepKey, reservation: Reservation, candidates: list[CandidateWorker]
) -> None:
    for candidate in candidates:
        copies = reservation.tasks_by_worker.get(candidate.view.worker.key, 0)
        if copies:
            candidate.reservations[key] = reservation.demand.times(copies)


def _release_reservation(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker]
) -> None:
    current_dispatch(state).reservations.pop(ranked.key, None)
    for candidate in candidates:
        candidate.reservations.pop(ranked.key, None)


def _free_resources(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[Effect]:
    """Preempt runs for an urgent step, or limit backfill for a waiting one."""
    preemption = (
        choose_preemption(state, ranked, candidates) if ranked.may_preempt else None
    )
    if preemption is not None and preemption.cost > ranked.preemption_limit_core_s:
        preemption = None
    if preemption is None:
        if ranked.limits_backfill:
            limit_backfill(state, ranked, candidates)
        return []
    reservation = Reservation(
        ranked.step.demand, preemption.tasks_by_worker, state.now_ms
    )
    current_dispatch(state).reservations[ranked.key] = reservation
    _apply_reservation(ranked.key, reservation, candidates)
    return _preempt_runs(state, ranked, preemption)


def _preempt_runs(
    state: EntryState, ranked: RankedStep, preemption: Preemption
) -> list[Effect]:
    effects: list[Effect] = []
    for run in preemption.runs:
        labels = (
            Label("for", ranked.job.id),
            Label("lost_core_s", str(round(preemption.cost))),
        )
        effects += health.stop_run("run_preempted", state, run, *labels)
    return effects
