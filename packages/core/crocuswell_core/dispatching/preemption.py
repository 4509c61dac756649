"""Choice of the runs that are preempted for urgent steps."""

import attrs

from crocuswell_core.dispatching.fleet import CandidateWorker, FittingWorkers
from crocuswell_core.dispatching.preemption_balance import Balance
from crocuswell_core.dispatching.preemption_groups import (
    promising_groups,
    usable_candidates,
)
from crocuswell_core.dispatching.victims import (
    Victim,
    core_equivalents,
    find_victim,
)
from crocuswell_core.dispatching.waiting_steps import RankedStep, WaitingStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, RunId

# A run that should end within this time is not stopped: a stop takes up to
# half as long.
ENDING_SOON_MS = 800
# Runs that should have ended by then are stopped after all, early enough for
# a guaranteed step.
ENDS_TIMEOUT_MS = 1_200
# Below this percentage the remaining time of a run is too uncertain.
MIN_ENDING_PERCENT = 60


@attrs.frozen
class Preemption:
    """Runs to stop so that a step can start.

    Attributes
    ----------
    cost : float
        Lost work in core seconds.
    tasks_by_worker : dict
        Number of the step's tasks by the key of the worker's boot.
    awaits_ends : bool
        Whether it counts on runs that should end soon by themselves.
    ends_timeout_ms : int
        Time in ms after which they are no longer awaited.
    balance : Balance or None
        What was weighed; None if only the cost was compared.
    """

    runs: tuple[RunId, ...]
    cost: float
    tasks_by_worker: dict[str, int]
    awaits_ends: bool
    ends_timeout_ms: int = ENDS_TIMEOUT_MS
    balance: Balance | None = None


def choose_preemption(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> Preemption | None:
    """Return the cheapest preemption after which a step can start.

    None if no preemption frees enough resources. Only the workers on which
    a rough estimate expects the least lost work are looked at run by run.
    """
    ranked = waiting.ranked
    candidates = usable_candidates(state, ranked, fitting)
    found = [
        preemption
        for group in promising_groups(state, ranked, candidates)
        if (preemption := _choose_from_group(state, ranked, group)) is not None
    ]
    return min(found, key=lambda preemption: preemption.cost, default=None)


def _choose_from_group(
    state: EntryState, ranked: RankedStep, group: list[CandidateWorker]
) -> Preemption | None:
    """Return a preemption of runs on the workers of one group.

    The cheapest victims for one more task are added until all tasks fit;
    None if they cannot be made to fit.
    """
    demand = ranked.step.demand
    free = {id(c): _free_after_stops(state, ranked, c) for c in group}
    needed = ranked.waiting_count - sum(
        available.max_copies(demand) for available in free.values()
    )
    victims_by_worker = {
        id(candidate): _find_victims(state, ranked, candidate) for candidate in group
    }
    runs: dict[RunId, None] = {}
    cost = 0.0
    while needed > 0:
        choices = [
            (found, candidate)
            for candidate in group
            if (
                found := _victims_for_next_task(
                    free[id(candidate)], demand, victims_by_worker[id(candidate)], runs
                )
            )
        ]
        if not choices:
            return None
        chosen, candidate = min(choices, key=lambda choice: choice[0].cost)
        before = free[id(candidate)].max_copies(demand)
        for victim in chosen.victims:
            free[id(candidate)] = free[id(candidate)] + victim.demand
            victims_by_worker[id(candidate)].remove(victim)
            # A gang is stopped as a whole.
            runs.update(dict.fromkeys(victim.gang))
        needed -= free[id(candidate)].max_copies(demand) - before
        cost += chosen.cost
    stopping = state.dispatch.stopping
    victims = tuple(run for run in runs if run not in stopping)
    tasks_by_worker = _distribute_tasks(ranked, group, free)
    awaits_ends = any(
        _counts_on_end(state, ranked, candidate, run)
        for candidate in group
        if candidate.key in tasks_by_worker
        for run in candidate.view.running
    )
    return Preemption(victims, cost, tasks_by_worker, awaits_ends)


@attrs.frozen
class VictimSet:
    """Victims on one worker whose resources let one more task fit."""

    victims: tuple[Victim, ...]
    cost: float


def _victims_for_next_task(
    available: ResourceVector,
    demand: ResourceVector,
    victims: list[Victim],
    chosen: dict[RunId, None],
) -> VictimSet | None:
    """Return the first victims that let one more task fit, if enough exist.

    `victims` is ordered by cost. Runs in `chosen`, and further members of a
    gang, add no cost.
    """
    target = available.max_copies(demand) + 1
    taken: list[Victim] = []
    stopped: set[RunId] = set()
    cost = 0.0
    for victim in victims:
        taken.append(victim)
        available = available + victim.demand
        if victim.run not in chosen and victim.run not in stopped:
            cost += victim.cost
            stopped.update(victim.gang)
        if available.max_copies(demand) >= target:
            return VictimSet(tuple(taken), cost)
    return None


def _distribute_tasks(
    ranked: RankedStep, group: list[CandidateWorker], free: dict[int, ResourceVector]
) -> dict[str, int]:
    """Return how many of the step's tasks each worker will hold."""
    tasks_by_worker: dict[str, int] = {}
    unplaced = ranked.waiting_count
    for candidate in sorted(
        group, key=lambda c: -free[id(c)].max_copies(ranked.step.demand)
    ):
        count = min(unplaced, free[id(candidate)].max_copies(ranked.step.demand))
        if count > 0:
            tasks_by_worker[candidate.key] = count
            unplaced -= count
    return tasks_by_worker


def _free_after_stops(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker
) -> ResourceVector:
    """Return the resources that are free once some runs have ended.

    These are the runs that are being stopped, and those that should end soon.
    """
    free = candidate.available
    key = candidate.key
    placed = state.cluster.jobs.placed.get(key, {})
    for task_id, demand in candidate.placed.items():
        number = placed.get(task_id)
        if number is None:
            continue
        run = RunId(task_id, number)
        is_stopping = run in state.dispatch.stopping
        if is_stopping or _counts_on_end(state, ranked, candidate, run):
            free = free + demand
    return free


def _counts_on_end(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker, run: RunId
) -> bool:
    """Tell whether a step counts on a run to end before a stop is worth it.

    A step does so only once: the run may not end as expected.
    """
    if ranked.key in state.dispatch.awaited_ends:
        return False
    progress = candidate.view.running.get(run)
    job = state.cluster.jobs.jobs.get(run.task.job_id)
    if progress is None or job is None or progress.percent < MIN_ENDING_PERCENT:
        return False
    step = job.steps[run.task.step]
    if step.long_running:
        return False
    left_ms = candidate.view.remaining_ms(progress, step.estimated_ms, state.now_ms)
    return left_ms <= ENDING_SOON_MS


def _find_victims(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker
) -> list[Victim]:
    """Return the preemptible runs on a worker, cheapest per core first."""
    placed = state.cluster.jobs.placed.get(candidate.key, {})
    found: list[Victim] = []
    for task_id, number in placed.items():
        run = RunId(task_id, number)
        if _counts_on_end(state, ranked, candidate, run):
            continue
        victim = find_victim(state, ranked, candidate, run)
        if victim is not None:
            found.append(victim)
    found.sort(key=lambda victim: victim.cost / core_equivalents(victim.demand))
    return found
