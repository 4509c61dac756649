"""The workers on which a preemption is expected to lose least."""

import heapq

import attrs

from crocuswell_core.dispatching import health
from crocuswell_core.dispatching.fleet import CandidateWorker, FittingWorkers
from crocuswell_core.dispatching.indexing import accepts_tasks
from crocuswell_core.dispatching.packing import by_rack, exclude_failed_workers
from crocuswell_core.dispatching.victims import may_stop
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector, RunId

# Bounds the workers and racks whose runs are compared one by one.
MIN_PREEMPTION_WORKERS = 16
MAX_PREEMPTION_RACKS = 4


@attrs.frozen
class RoomEstimate:
    """How many tasks a worker could hold after preemptions, and the cost.

    Attributes
    ----------
    cost : float
        Upper estimate of the lost work in core seconds.
    """

    copies: int
    cost: float


def _estimate_room(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker
) -> RoomEstimate:
    available = candidate.unreserved(ranked.key)
    cost = 0.0
    for priority, work in candidate.preemptible.items():
        if priority > ranked.priority:
            available = available + work.demand
            cost += work.lost_core_s(state.cluster.now_ms)
    if ranked.reclaims and ranked.priority in candidate.preemptible:
        available = available + _reclaimable(state, ranked, candidate)
        work = candidate.preemptible[ranked.priority]
        cost += work.lost_core_s(state.cluster.now_ms)
    return RoomEstimate(available.max_copies(ranked.step.demand), cost)


def _reclaimable(
    state: EntryState, ranked: RankedStep, candidate: CandidateWorker
) -> ResourceVector:
    """Return what runs of the same priority use that may be stopped."""
    table = state.cluster.jobs
    room = ResourceVector()
    for task_id, number in table.placed.get(candidate.key, {}).items():
        queue = table.queue_of(table.jobs[task_id.job_id])
        is_equal = queue is not None and queue.priority == ranked.priority
        if is_equal and may_stop(state, ranked, RunId(task_id, number)):
            room = room + candidate.placed[task_id]
    return room


def promising_groups(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[list[CandidateWorker]]:
    """Return the groups of workers with the least expected loss.

    A single group must hold the whole step.
    """
    rooms = {c.key: _estimate_room(state, ranked, c) for c in candidates}
    with_room = [c for c in candidates if rooms[c.key].copies]
    if not ranked.needs_one_rack:
        cheapest = heapq.nsmallest(
            max(MIN_PREEMPTION_WORKERS, 2 * ranked.waiting_count),
            with_room,
            key=lambda c: rooms[c.key].cost / rooms[c.key].copies,
        )
        return [cheapest]
    racks = [
        group
        for group in by_rack(with_room).values()
        if sum(rooms[c.key].copies for c in group) >= ranked.waiting_count
    ]
    return heapq.nsmallest(
        MAX_PREEMPTION_RACKS,
        racks,
        key=lambda group: (
            sum(rooms[c.key].cost for c in group)
            / sum(rooms[c.key].copies for c in group)
        ),
    )


def usable_candidates(
    state: EntryState, ranked: RankedStep, fitting: FittingWorkers
) -> list[CandidateWorker]:
    """Return the workers that may hold a step's tasks, empty or not."""
    fleet = state.dispatch.fleet
    barred = health.excluded_worker_ids(state)
    candidates = [
        candidate
        for key in fitting.capacity
        if (candidate := fleet.candidates[key]).worker.id not in barred
        and accepts_tasks(state, candidate.view)
    ]
    candidates = exclude_failed_workers(fleet, ranked, fitting, candidates)
    for candidate in candidates:
        candidate.available = candidate.unreserved(ranked.key)
    return candidates
