"""Chooses which waiting tasks start where, and which runs make room."""

from crocuswell_core.agreement import replication
from crocuswell_core.cluster.commands import Proposal
from crocuswell_core.dispatching import health
from crocuswell_core.dispatching.dispatch_state import Space
from crocuswell_core.dispatching.packing import choose_places
from crocuswell_core.dispatching.preemption import choose_victims
from crocuswell_core.dispatching.ranking import RankedStep, rank_steps
from crocuswell_core.dispatching.worker_views import (
    PROPOSAL_LIMIT_MS,
    dispatch_of,
    order_all,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_commands import StartTasks
from crocuswell_core.jobs.job_records import Room, RunId, TaskId, TaskStart
from crocuswell_core.runtime.effects import Effect, Label, LogChange

# A runner reports each half second; a worker that missed two gets nothing new.
HEARD_MS = 1_200
# Starts in one log entry; the next plan takes the rest.
STARTS_PER_PLAN = 256


def plan(state: EntryState) -> list[Effect]:
    """Propose the starts that are possible now, unless a plan is open."""
    dispatch = dispatch_of(state)
    if dispatch.plan:
        if state.now_ms - dispatch.planned_at_ms < PROPOSAL_LIMIT_MS:
            return []
        dispatch.plan = ""
    if not dispatch.plan_due:
        return []
    dispatch.plan_due = False
    spaces = collect_spaces(state)
    starts: list[TaskStart] = []
    effects: list[Effect] = []
    preempted = False
    for ranked in rank_steps(state):
        if len(starts) >= STARTS_PER_PLAN:
            break
        usable = [s for s in spaces if _is_usable(state, s, ranked)]
        places = choose_places(ranked, usable)
        if places:
            starts += _take(ranked, places)
        elif ranked.may_preempt and not preempted:
            # Room is made for one job at a time, since each choice changes
            # what the next one finds.
            victims = choose_victims(state, ranked, usable)
            preempted = bool(victims)
            effects += _stop_for(state, ranked, victims)
        if not places and ranked.holds_room:
            _hold_room(ranked, usable)
    if preempted:
        effects += order_all(state)
    if not starts:
        return effects
    dispatch.plans += 1
    dispatch.plan = f"{dispatch.term}.{dispatch.plans}"
    dispatch.planned_at_ms = state.now_ms
    proposal = Proposal("", "", StartTasks(tuple(starts), dispatch.plan))
    return [*effects, *replication.propose(state, proposal)]


def collect_spaces(state: EntryState) -> list[Space]:
    """Return the workers that may get tasks, with their free room."""
    table = state.cluster.jobs
    spaces: list[Space] = []
    for key, view in dispatch_of(state).views.items():
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
        silent_ms = state.now_ms - view.heard_ms
        connected = view.stream_id in state.clients
        if (
            connected
            and view.reachable
            and silent_ms <= HEARD_MS
            and not view.worker.draining
            and not health.is_barred(state, view)
        ):
            spaces.append(Space(view, free, placed))
    return spaces


def _is_usable(state: EntryState, space: Space, ranked: RankedStep) -> bool:
    worker = space.view.worker
    label = ranked.step.required_label
    return worker.service == ranked.service and (not label or label in worker.labels)


def _take(ranked: RankedStep, places: dict[int, Space]) -> list[TaskStart]:
    starts: list[TaskStart] = []
    for index, space in places.items():
        task_id = TaskId(ranked.job.id, ranked.number, index)
        task = ranked.job.tasks[ranked.number][index]
        space.free = space.free - ranked.step.demand
        space.placed[task_id] = ranked.step.demand
        starts.append(TaskStart(RunId(task_id, task.run + 1), space.view.worker.key))
    return starts


def _stop_for(
    state: EntryState, ranked: RankedStep, victims: list[RunId]
) -> list[Effect]:
    effects: list[Effect] = []
    for run in victims:
        state.dispatch.stopping[run] = state.now_ms
        labels = (
            Label("job", run.task.job_id),
            Label("step", str(run.task.step)),
            Label("index", str(run.task.index)),
            Label("run", str(run.number)),
            Label("for", ranked.job.id),
        )
        effects.append(LogChange("run_preempted", labels))
    return effects


def _hold_room(ranked: RankedStep, spaces: list[Space]) -> None:
    """Keep the rack that is nearest to holding a gang free of other work."""
    racks: dict[str, list[Space]] = {}
    for space in spaces:
        racks.setdefault(space.view.worker.rack, []).append(space)
    needed = ranked.missing

    def shortfall(members: list[Space]) -> tuple[int, int]:
        could = sum(s.view.worker.capacity.copies(ranked.step.demand) for s in members)
        fits = sum(s.free.copies(ranked.step.demand) for s in members)
        return (0 if could >= needed else 1, -fits)

    if not racks:
        return
    held = min(racks.values(), key=shortfall)
    chosen = held if ranked.step.same_rack else spaces
    remaining = needed
    for space in sorted(chosen, key=lambda s: -s.free.copies(ranked.step.demand)):
        if remaining <= 0:
            return
        remaining -= max(1, space.free.copies(ranked.step.demand))
        space.free = Room()
