"""Chooses runs that make room for urgent work."""

from crocuswell_core.dispatching.dispatch_state import Space
from crocuswell_core.dispatching.ranking import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import queue_named
from crocuswell_core.jobs.job_records import Room, RunId, TaskId

# Processor cores that one accelerator counts as when lost work is compared.
CORES_PER_ACCELERATOR = 8


def choose_victims(
    state: EntryState, ranked: RankedStep, spaces: list[Space]
) -> list[RunId]:
    """Return the cheapest runs whose end makes room for a step.

    Returns
    -------
    list of RunId
        Empty if the step cannot start even then, or if room is already
        being made.
    """
    groups = _candidate_groups(ranked, spaces)
    best: tuple[float, list[RunId]] | None = None
    for group in groups:
        found = _free_group(state, ranked, group)
        if found is not None and (best is None or found[0] < best[0]):
            best = found
    if best is None:
        return []
    gone: dict[RunId, None] = {}
    for run in best[1]:
        gone.update(dict.fromkeys(_whole_gang(state, run)))
    return [run for run in gone if run not in state.dispatch.stopping]


def _candidate_groups(ranked: RankedStep, spaces: list[Space]) -> list[list[Space]]:
    if not (ranked.step.gang and ranked.step.same_rack):
        return [spaces]
    racks: dict[str, list[Space]] = {}
    for space in spaces:
        racks.setdefault(space.view.worker.rack, []).append(space)
    return list(racks.values())


def _free_group(
    state: EntryState, ranked: RankedStep, group: list[Space]
) -> tuple[float, list[RunId]] | None:
    """Return cost and runs to stop so that a group holds the step."""
    demand = ranked.step.demand
    free = {id(space): _soon_free(state, space) for space in group}
    needed = ranked.missing - sum(room.copies(demand) for room in free.values())
    candidates = [
        (cost, run, space)
        for space in group
        for run, cost in _preemptible(state, ranked, space)
    ]
    candidates.sort(key=lambda item: item[0])
    victims: list[RunId] = []
    total = 0.0
    for cost, run, space in candidates:
        if needed <= 0:
            break
        before = free[id(space)].copies(demand)
        free[id(space)] = free[id(space)] + space.placed[run.task]
        needed -= free[id(space)].copies(demand) - before
        victims.append(run)
        total += cost
    return (total, victims) if needed <= 0 else None


def _soon_free(state: EntryState, space: Space) -> Room:
    """Return the free room with that of the runs that are being stopped."""
    free = space.free
    key = space.view.worker.key
    placed = state.cluster.jobs.placed.get(key, {})
    for task_id, demand in space.placed.items():
        number = placed.get(task_id)
        if number is not None and RunId(task_id, number) in state.dispatch.stopping:
            free = free + demand
    return free


def _preemptible(
    state: EntryState, ranked: RankedStep, space: Space
) -> list[tuple[RunId, float]]:
    """Return the runs of less urgent work with what their stop costs."""
    table = state.cluster.jobs
    placed = table.placed.get(space.view.worker.key, {})
    found: list[tuple[RunId, float]] = []
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        queue = queue_named(table.catalog, table.jobs[task_id.job_id].queue)
        if queue is None or queue.priority <= ranked.priority:
            continue
        if run in state.dispatch.stopping:
            continue
        found.append((run, _lost_work(state, space, task_id, run)))
    return found


def _lost_work(state: EntryState, space: Space, task_id: TaskId, run: RunId) -> float:
    """Return the core seconds that stopping a run throws away."""
    step = state.cluster.jobs.jobs[task_id.job_id].steps[task_id.step]
    if step.checkpointing:
        return 0.0
    mark = space.view.marks.get(run)
    age_s = (state.now_ms - mark.started_ms) / 1_000 if mark else 0.0
    demand = step.demand
    cores = demand.cpu_millis / 1_000 + CORES_PER_ACCELERATOR * demand.accelerators
    members = step.count if step.gang else 1
    return age_s * cores * members


def _whole_gang(state: EntryState, run: RunId) -> list[RunId]:
    """Return a run with the other members of its gang."""
    job = state.cluster.jobs.jobs[run.task.job_id]
    if not job.steps[run.task.step].gang:
        return [run]
    return [
        RunId(task_id, task.run)
        for task_id, task in state.cluster.jobs.placed_tasks(job)
        if task_id.step == run.task.step
    ]
