"""Defragmentation: moves small jobs so that a large shape fits again."""

import attrs

from crocuswell_core.cluster.attempts import place_request, stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import PREEMPTION_GRACE_MS, index_of
from crocuswell_core.cluster.records import (
    Attempt,
    AttemptId,
    AttemptPhase,
    RequestPhase,
    StopReason,
)
from crocuswell_core.cluster.resources import Adjacency, Shape
from crocuswell_core.cluster.scheduling_index import SchedulingIndex
from crocuswell_core.policy.borrowing import find_workers
from crocuswell_core.runtime.effects import ClusterEffect, Count

# Minimum time in ms between two moves, so that the jobs of one move have
# restarted before the next move is chosen.
MOVE_INTERVAL_MS = 2_000

# Maximum number of workers examined for one shape. A large fleet is examined
# in parts, one in each interval.
WORKER_SEARCH_LIMIT = 96

# Maximum number of units for which a move is planned for one shape.
UNIT_SEARCH_LIMIT = 6

# Maximum number of jobs stopped in one move.
MOVED_JOBS_LIMIT = 4

# Minimum ratio of a moved job's remaining time to its checkpoint time. The
# checkpoint time is the cost of the move.
MIN_REMAINING_TO_CHECKPOINT_RATIO = 20


@attrs.frozen
class Move:
    """Attempts to stop so that a shape fits.

    Attributes
    ----------
    cost : int
        Accelerator time in ms that the checkpoints take.
    """

    attempts: tuple[Attempt, ...]
    cost: int


def consolidate(cluster: ClusterState) -> list[ClusterEffect]:
    """Move small jobs if a recently requested shape then fits."""
    if cluster.now_ms - cluster.consolidated_at_ms < MOVE_INTERVAL_MS:
        return []
    index = index_of(cluster)
    for shape in _target_shapes(cluster):
        if index.free.accelerators < shape.total.accelerators:
            continue
        move = _find_move(cluster, index, shape)
        if move is not None:
            cluster.consolidated_at_ms = cluster.now_ms
            return _execute_move(cluster, move)
    return []


def restart_moved_jobs(cluster: ClusterState) -> list[ClusterEffect]:
    """Restart moved jobs once they have stopped.

    This runs before other requests are placed, which could otherwise take
    the resources that the jobs move to.
    """
    effects: list[ClusterEffect] = []
    for request_id in list(cluster.moving_requests):
        request = cluster.requests[request_id]
        if request.phase is RequestPhase.ACTIVE:
            attempt = cluster.attempts[AttemptId(request_id, request.attempts_made)]
            if attempt.phase is AttemptPhase.STOPPING:
                continue
        del cluster.moving_requests[request_id]
        if request.phase is RequestPhase.QUEUED and request_id not in cluster.holds:
            workers = find_workers(cluster, request)
            if workers:
                effects += place_request(cluster, request, workers)
    return effects


def _target_shapes(cluster: ClusterState) -> list[Shape]:
    """Return recently requested shapes with an adjacency, largest first."""
    shapes = [s for s in cluster.shapes if s.adjacency is not Adjacency.NONE]
    return sorted(
        shapes, key=lambda s: (-s.total.accelerators, s.members, str(s.adjacency))
    )


def _execute_move(cluster: ClusterState, move: Move) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = [Count("moves_total", len(move.attempts))]
    for attempt in move.attempts:
        cluster.moving_requests[attempt.id.request_id] = None
        effects += stop_attempt(cluster, attempt, StopReason.PREEMPTED)
    return effects


def _find_move(
    cluster: ClusterState, index: SchedulingIndex, shape: Shape
) -> Move | None:
    """Return the cheapest move that lets one more `shape` fit, or None.

    No move is sought if as many shapes fit as the free accelerators allow.
    """
    units = {
        unit: [name for name in names if index.worker_capacities[name].usable]
        for unit, names in _sample_units(cluster, index, shape)
    }
    fits = {
        unit: sum(
            index.worker_capacities[n].free.count_fitting(shape.per_member)
            for n in names
        )
        for unit, names in units.items()
    }
    fitting_shapes = sum(count // shape.members for count in fits.values())
    free = sum(_free_accelerators(index, names) for names in units.values())
    if fitting_shapes >= free // shape.total.accelerators:
        return None
    best: Move | None = None
    # Units with the most free accelerators need the fewest moves.
    by_free_accelerators = sorted(
        units, key=lambda unit: (-_free_accelerators(index, units[unit]), unit)
    )
    for unit in by_free_accelerators[:UNIT_SEARCH_LIMIT]:
        names = units[unit]
        target_members = (fits[unit] // shape.members + 1) * shape.members
        move = _plan_move(cluster, index, shape, names, target_members)
        if move is not None and (best is None or move.cost < best.cost):
            best = move
    return best


def _sample_units(
    cluster: ClusterState, index: SchedulingIndex, shape: Shape
) -> list[tuple[str, list[str]]]:
    """Return units with about `WORKER_SEARCH_LIMIT` workers in total.

    The window over the units advances with each interval.
    """
    units = sorted(index.units[shape.adjacency].items())
    largest = max((len(names) for _, names in units), default=1)
    count = max(1, WORKER_SEARCH_LIMIT // largest)
    if count >= len(units):
        return units
    start = cluster.now_ms // MOVE_INTERVAL_MS % len(units)
    return [*units, *units][start : start + count]


def _free_accelerators(index: SchedulingIndex, names: list[str]) -> int:
    return sum(index.worker_capacities[name].free.accelerators for name in names)


def _plan_move(
    cluster: ClusterState,
    index: SchedulingIndex,
    shape: Shape,
    names: list[str],
    target_members: int,
) -> Move | None:
    """Return the move after which `target_members` members fit.

    Returns None if no such move exists, if it takes too many jobs or if
    these fit on no other workers. The cheapest jobs are chosen first.
    """
    available = {name: index.worker_capacities[name].free.minus() for name in names}
    chosen: list[Attempt] = []
    cost = 0
    candidates = sorted(
        (
            (_move_cost(cluster, attempt), str(attempt.id), attempt)
            for name in names
            for attempt_id in cluster.allocations[name].attempts
            if _can_move(cluster, attempt := cluster.attempts[attempt_id], shape)
        ),
        key=lambda candidate: candidate[:2],
    )
    for attempt_cost, _, attempt in candidates:
        if len(chosen) == MOVED_JOBS_LIMIT:
            return None
        spec = cluster.requests[attempt.id.request_id].spec
        available[attempt.members[0].worker].add(spec.shape.per_member)
        chosen.append(attempt)
        cost += attempt_cost
        fits = sum(
            remaining.count_fitting(shape.per_member)
            for remaining in available.values()
        )
        if fits >= target_members:
            all_fit = _fits_elsewhere(cluster, index, chosen, names)
            return Move(tuple(chosen), cost) if all_fit else None
    return None


def _can_move(cluster: ClusterState, attempt: Attempt, shape: Shape) -> bool:
    if attempt.phase is not AttemptPhase.RUNNING:
        return False
    spec = cluster.requests[attempt.id.request_id].spec
    if len(attempt.members) != 1 or spec.checkpoint_ms is None:
        return False
    if spec.shape.total.accelerators >= shape.total.accelerators:
        return False
    if not spec.shape.total.accelerators:
        return False
    remaining_ms = attempt.expected_end_ms - cluster.now_ms
    return (
        spec.checkpoint_ms <= PREEMPTION_GRACE_MS
        and remaining_ms >= MIN_REMAINING_TO_CHECKPOINT_RATIO * spec.checkpoint_ms
    )


def _move_cost(cluster: ClusterState, attempt: Attempt) -> int:
    spec = cluster.requests[attempt.id.request_id].spec
    return (spec.checkpoint_ms or 0) * spec.shape.total.accelerators


def _fits_elsewhere(
    cluster: ClusterState,
    index: SchedulingIndex,
    attempts: list[Attempt],
    names: list[str],
) -> bool:
    """Return whether all jobs fit on other workers that run attempts."""
    available = {
        name: worker_capacity.free.minus(worker_capacity.held)
        for key in sorted(index.buckets)
        for name in index.buckets[key]
        if name not in names
        and (worker_capacity := index.worker_capacities[name]).free.accelerators
        and cluster.allocations[name].attempts
    }
    for attempt in attempts:
        amount = cluster.requests[attempt.id.request_id].spec.shape.per_member
        target = next(
            (
                n
                for n, remaining_resources in available.items()
                if remaining_resources.count_fitting(amount)
            ),
            None,
        )
        if target is None:
            return False
        available[target].add(amount, -1)
    return True
