"""Chooses which waiting tasks start where, and which runs make room."""

from crocuswell_core.agreement import replication
from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.dispatching import health
from crocuswell_core.dispatching.dispatch_state import (
    Claim,
    Space,
    WorkerView,
)
from crocuswell_core.dispatching.packing import (
    choose_places,
    hold_room,
    start_limit,
    take_ample_room,
    without_failures,
)
from crocuswell_core.dispatching.preemption import Eviction, choose_eviction
from crocuswell_core.dispatching.ranking import RankedStep, rank_steps
from crocuswell_core.dispatching.worker_views import (
    PROPOSAL_LIMIT_MS,
    dispatch_of,
    order_all,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import StartTasks
from crocuswell_core.jobs.job_records import (
    Room,
    RunId,
    StepKey,
    TaskId,
    TaskStart,
)
from crocuswell_core.runtime.effects import Effect, Label, LogChange

# A runner reports each half second; a worker that missed two gets nothing new.
HEARD_MS = 1_200
# Starts in one log entry; the next plan takes the rest.
STARTS_PER_PLAN = 256
# Covers the longest stop of a run and the record of its end.
CLAIM_LIMIT_MS = 2_500


def plan(state: EntryState) -> list[Effect]:
    """Propose the starts that are possible now, unless a plan is open."""
    dispatch = dispatch_of(state)
    if dispatch.plan:
        if state.now_ms - dispatch.planned_at_ms < PROPOSAL_LIMIT_MS:
            return []
        dispatch.plan = ""
    spaces = collect_spaces(state)
    steps = rank_steps(state)
    _keep_claims(state, steps, spaces)
    starts: list[TaskStart] = []
    effects: list[Effect] = []
    for ranked in steps:
        if len(starts) >= STARTS_PER_PLAN:
            break
        usable = without_failures(
            ranked, [space for space in spaces if _is_usable(space, ranked)]
        )
        for space in usable:
            space.offer_to(ranked.key, ranked.step.estimated_ms)
        limit = start_limit(ranked, spaces)
        places = choose_places(ranked, usable, limit) if limit else {}
        if not places and ranked.key not in dispatch.claims:
            places = take_ample_room(state, ranked, usable, limit)
        if places:
            starts += _take(ranked, places)
            _drop_claim(state, ranked, spaces)
        elif limit and ranked.key not in dispatch.claims:
            effects += _make_room(state, ranked, usable)
    if any(isinstance(effect, LogChange) for effect in effects):
        effects += order_all(state)
    return [*effects, *_propose(state, starts)]


def _propose(state: EntryState, starts: list[TaskStart]) -> list[Effect]:
    if not starts:
        return []
    dispatch = dispatch_of(state)
    dispatch.plans += 1
    dispatch.plan = f"{dispatch.term}.{dispatch.plans}"
    dispatch.planned_at_ms = state.now_ms
    proposal = Proposal("", "", StartTasks(tuple(starts), dispatch.plan))
    return replication.propose(state, proposal)


def collect_spaces(state: EntryState) -> list[Space]:
    """Return the workers that may get tasks, with their free room."""
    table = state.cluster.jobs
    spaces: list[Space] = []
    views = {
        key: view
        for key, view in dispatch_of(state).views.items()
        if _is_in_use(state, view)
    }
    bars_hold = health.bars_hold(state, views.values())
    for key, view in views.items():
        if bars_hold and health.is_barred(state, view):
            continue
        placed: dict[TaskId, Room] = {}
        free = view.worker.capacity
        for task_id in table.placed.get(key, {}):
            demand = table.jobs[task_id.job_id].steps[task_id.step].demand
            placed[task_id] = demand
            free = free - demand
        for run in view.running:
            # What this leader did not place still takes room until it ends.
            if run.task not in placed and run.task.job_id in table.jobs:
                job = table.jobs[run.task.job_id]
                free = free - job.steps[run.task.step].demand
        spaces.append(Space(view, free, placed))
    return spaces


def _is_in_use(state: EntryState, view: WorkerView) -> bool:
    return (
        view.stream_id in state.clients
        and view.reachable
        and state.now_ms - view.heard_ms <= HEARD_MS
        and not view.worker.draining
    )


def _is_usable(space: Space, ranked: RankedStep) -> bool:
    worker = space.view.worker
    label = ranked.step.required_label
    return worker.service == ranked.service and (not label or label in worker.labels)


def _take(ranked: RankedStep, places: dict[int, Space]) -> list[TaskStart]:
    starts: list[TaskStart] = []
    for index, space in places.items():
        task_id = TaskId(ranked.job.id, ranked.number, index, ranked.occurrence.number)
        task = ranked.tasks[index]
        space.free = space.free - ranked.step.demand
        space.placed[task_id] = ranked.step.demand
        starts.append(TaskStart(RunId(task_id, task.run + 1), space.view.worker.key))
    return starts


# --- claims --------------------------------------------------------------


def _keep_claims(
    state: EntryState, steps: list[RankedStep], spaces: list[Space]
) -> None:
    """Note the room of open claims; drop those that are over."""
    claims = dispatch_of(state).claims
    waiting = {ranked.key for ranked in steps}
    for table in (dispatch_of(state).held_racks, dispatch_of(state).roomy_since_ms):
        for key in table.keys() - waiting:
            del table[key]
    for key, claim in list(claims.items()):
        if key not in waiting or state.now_ms - claim.since_ms > CLAIM_LIMIT_MS:
            del claims[key]
        else:
            _note_claim(key, claim, spaces)


def _note_claim(key: StepKey, claim: Claim, spaces: list[Space]) -> None:
    for space in spaces:
        copies = claim.copies.get(space.view.worker.key, 0)
        if copies:
            space.claims[key] = claim.demand.times(copies)


def _drop_claim(state: EntryState, ranked: RankedStep, spaces: list[Space]) -> None:
    dispatch_of(state).claims.pop(ranked.key, None)
    for space in spaces:
        space.claims.pop(ranked.key, None)


def _make_room(
    state: EntryState, ranked: RankedStep, spaces: list[Space]
) -> list[Effect]:
    """Stop other runs for an urgent step, or keep room for a waiting one."""
    eviction = choose_eviction(state, ranked, spaces) if ranked.may_preempt else None
    if eviction is not None and eviction.cost > ranked.eviction_limit_core_s:
        eviction = None
    if eviction is None:
        if ranked.holds_room:
            hold_room(state, ranked, spaces)
        return []
    claim = Claim(ranked.step.demand, eviction.copies, state.now_ms)
    dispatch_of(state).claims[ranked.key] = claim
    _note_claim(ranked.key, claim, spaces)
    return _evict(state, ranked, eviction)


def _evict(state: EntryState, ranked: RankedStep, eviction: Eviction) -> list[Effect]:
    effects: list[Effect] = []
    for run in eviction.runs:
        labels = (
            Label("for", ranked.job.id),
            Label("lost_core_s", str(round(eviction.cost))),
        )
        effects += health.stop_run("run_preempted", state, run, *labels)
    return effects
