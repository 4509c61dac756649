"""Chooses runs that make room for urgent work."""

import attrs

from crocuswell_core.dispatching.dispatch_state import Space
from crocuswell_core.dispatching.packing import candidate_groups
from crocuswell_core.dispatching.ranking import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.catalog import find_queue_by_name
from crocuswell_core.jobs.job_records import Room, RunId

# Time in s that a stopped run takes to be where it was, besides lost work.
RESUME_S = 0.5


@attrs.frozen
class Eviction:
    """Runs to stop so that a step finds room.

    Attributes
    ----------
    cost : float
        Core seconds of work that are thrown away.
    copies : dict
        Number of the step's tasks by the key of the worker's boot.
    """

    runs: tuple[RunId, ...]
    cost: float
    copies: dict[str, int]


def choose_eviction(
    state: EntryState, ranked: RankedStep, spaces: list[Space]
) -> Eviction | None:
    """Return the cheapest eviction after which a step can start.

    None if no eviction makes enough room.
    """
    found = [
        eviction
        for group in candidate_groups(ranked, spaces)
        if (eviction := _evict_from(state, ranked, group)) is not None
    ]
    return min(found, key=lambda eviction: eviction.cost, default=None)


def _evict_from(
    state: EntryState, ranked: RankedStep, group: list[Space]
) -> Eviction | None:
    """Take the cheapest room for one more task until all of them fit."""
    demand = ranked.step.demand
    free = {id(space): _soon_free(state, space) for space in group}
    needed = ranked.missing - sum(room.max_copies(demand) for room in free.values())
    offers = {id(space): _preemptible(state, ranked, space) for space in group}
    runs: dict[RunId, None] = {}
    cost = 0.0
    while needed > 0:
        choices = [
            (found, space)
            for space in group
            if (found := _next_copy(free[id(space)], demand, offers[id(space)], runs))
        ]
        if not choices:
            return None
        chosen, space = min(choices, key=lambda choice: choice[0].cost)
        before = free[id(space)].max_copies(demand)
        for victim in chosen.victims:
            free[id(space)] = free[id(space)] + victim.demand
            offers[id(space)].remove(victim)
            # The members of a gang stop together.
            runs.update(dict.fromkeys(victim.gang))
        needed -= free[id(space)].max_copies(demand) - before
        cost += chosen.cost
    stopping = state.dispatch.stopping
    victims = tuple(run for run in runs if run not in stopping)
    return Eviction(victims, cost, _spread(ranked, group, free))


@attrs.frozen
class Victim:
    """A run that may be stopped, with what that throws away.

    Attributes
    ----------
    gang : tuple of RunId
        The run and the members of its gang.
    """

    run: RunId
    gang: tuple[RunId, ...]
    demand: Room
    cost: float


@attrs.frozen
class Offer:
    """Victims on one worker that make room for one more task."""

    victims: tuple[Victim, ...]
    cost: float


def _next_copy(
    room: Room, demand: Room, victims: list[Victim], chosen: dict[RunId, None]
) -> Offer | None:
    """Return the cheapest victims that let one more task fit."""
    target = room.max_copies(demand) + 1
    taken: list[Victim] = []
    cost = 0.0
    for victim in victims:
        taken.append(victim)
        room = room + victim.demand
        cost += 0.0 if victim.run in chosen else victim.cost
        if room.max_copies(demand) >= target:
            return Offer(tuple(taken), cost)
    return None


def _spread(
    ranked: RankedStep, group: list[Space], free: dict[int, Room]
) -> dict[str, int]:
    """Return how many of the step's tasks each worker is to hold."""
    copies: dict[str, int] = {}
    missing = ranked.missing
    for space in sorted(
        group, key=lambda s: -free[id(s)].max_copies(ranked.step.demand)
    ):
        count = min(missing, free[id(space)].max_copies(ranked.step.demand))
        if count > 0:
            copies[space.view.worker.key] = count
            missing -= count
    return copies


def _soon_free(state: EntryState, space: Space) -> Room:
    """Return the free room with that of the runs that are being stopped."""
    free = space.room
    key = space.view.worker.key
    placed = state.cluster.jobs.placed.get(key, {})
    for task_id, demand in space.placed.items():
        number = placed.get(task_id)
        if number is not None and RunId(task_id, number) in state.dispatch.stopping:
            free = free + demand
    return free


def _preemptible(state: EntryState, ranked: RankedStep, space: Space) -> list[Victim]:
    """Return the runs of less urgent work, the cheapest first."""
    table = state.cluster.jobs
    placed = table.placed.get(space.view.worker.key, {})
    found: list[Victim] = []
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        queue = find_queue_by_name(table.catalog, table.jobs[task_id.job_id].queue)
        if queue is None or queue.priority <= ranked.priority:
            continue
        if run in state.dispatch.stopping:
            continue
        if table.jobs[task_id.job_id].steps[task_id.step].away_limit:
            continue
        gang = tuple(_whole_gang(state, run))
        demand = space.placed[task_id]
        found.append(Victim(run, gang, demand, _lost_work(state, space, run, gang)))
    found.sort(key=lambda victim: victim.cost / _cores(victim.demand))
    return found


def _cores(demand: Room) -> float:
    """Return a demand in processor cores."""
    return max(demand.core_equivalents, 0.001)


def _lost_work(
    state: EntryState, space: Space, run: RunId, gang: tuple[RunId, ...]
) -> float:
    """Return the core seconds that stopping a run throws away."""
    step = state.cluster.jobs.jobs[run.task.job_id].steps[run.task.step]
    progress = space.view.running.get(run)
    percent = progress.percent if progress else 0
    done_s = RESUME_S
    if not step.checkpointing:
        done_s += percent / 100 * step.estimated_ms / 1_000
    return done_s * _cores(step.demand) * len(gang)


def _whole_gang(state: EntryState, run: RunId) -> list[RunId]:
    """Return a run with the other members of its gang."""
    job = state.cluster.jobs.jobs[run.task.job_id]
    if not job.steps[run.task.step].gang:
        return [run]
    return [
        RunId(task_id, task.run)
        for task_id, task in state.cluster.jobs.placed_tasks(job)
        if task_id.step_key == run.task.step_key
    ]
