"""Moving small jobs together so that a large shape fits again."""

import attrs

from crocuswell_core.cluster.attempts import place_request, stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import RECLAIM_STOP_MS, index_of
from crocuswell_core.cluster.records import (
    Attempt,
    AttemptId,
    AttemptPhase,
    RequestPhase,
    StopReason,
)
from crocuswell_core.cluster.resources import Adjacency, Shape
from crocuswell_core.cluster.spaces import SchedulingIndex
from crocuswell_core.policy.borrowing import find_workers
from crocuswell_core.runtime.effects import ClusterEffect, Count

# Least time in ms between two moves: the jobs of one must have found their
# new room before the next is chosen.
MOVE_PAUSE_MS = 2_000

# Most workers that are looked at for one shape; a large fleet is looked at in
# parts, one after the other.
WORKERS_TRIED = 96

# Most units that are looked at for one shape.
UNITS_TRIED = 6

# Most jobs stopped for one move.
JOBS_PER_MOVE = 4

# A job is moved only if its expected rest is this many times the time of its
# checkpoint, which is what the move costs.
LEAST_GAIN = 20


@attrs.frozen
class Move:
    """Attempts whose stop opens room for a shape.

    Attributes
    ----------
    cost : int
        Accelerator time in ms that the checkpoints take.
    """

    attempts: tuple[Attempt, ...]
    cost: int


def consolidate(cluster: ClusterState) -> list[ClusterEffect]:
    """Move small jobs if that lets the free room hold a recent shape."""
    if cluster.now_ms - cluster.moved_at_ms < MOVE_PAUSE_MS:
        return []
    index = index_of(cluster)
    for shape in _wanted(cluster):
        if index.free.accelerators < shape.total.accelerators:
            continue
        move = _find_move(cluster, index, shape)
        if move is not None:
            cluster.moved_at_ms = cluster.now_ms
            return _carry_out(cluster, move)
    return []


def resume_moved(cluster: ClusterState) -> list[ClusterEffect]:
    """Start moved jobs again before other work can take their new room."""
    effects: list[ClusterEffect] = []
    for request_id in list(cluster.moved):
        request = cluster.requests[request_id]
        if request.phase is RequestPhase.ACTIVE:
            attempt = cluster.attempts[AttemptId(request_id, request.attempts_made)]
            if attempt.phase is AttemptPhase.STOPPING:
                continue
        del cluster.moved[request_id]
        if request.phase is RequestPhase.QUEUED and request_id not in cluster.holds:
            workers = find_workers(cluster, request)
            if workers:
                effects += place_request(cluster, request, workers)
    return effects


def _wanted(cluster: ClusterState) -> list[Shape]:
    """Return recent shapes that a unit must hold, the largest first."""
    shapes = [s for s in cluster.shapes if s.adjacency is not Adjacency.NONE]
    return sorted(
        shapes, key=lambda s: (-s.total.accelerators, s.members, str(s.adjacency))
    )


def _carry_out(cluster: ClusterState, move: Move) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = [Count("moves_total", len(move.attempts))]
    for attempt in move.attempts:
        cluster.moved[attempt.id.request_id] = None
        effects += stop_attempt(cluster, attempt, StopReason.PREEMPTED)
    return effects


def _find_move(
    cluster: ClusterState, index: SchedulingIndex, shape: Shape
) -> Move | None:
    """Return the cheapest move that opens one unit for `shape`."""
    units = {
        unit: [name for name in names if index.spaces[name].usable]
        for unit, names in _some_units(cluster, index, shape)
    }
    fits = {
        unit: sum(index.spaces[n].free.members(shape.per_member) for n in names)
        for unit, names in units.items()
    }
    held = sum(count // shape.members for count in fits.values())
    free = sum(_free(index, names) for names in units.values())
    if held >= free // shape.total.accelerators:
        return None
    best: Move | None = None
    # The units with most room need the fewest moves.
    most_room = sorted(units, key=lambda unit: (-_free(index, units[unit]), unit))
    for unit in most_room[:UNITS_TRIED]:
        names = units[unit]
        wanted = (fits[unit] // shape.members + 1) * shape.members
        move = _open_unit(cluster, index, shape, names, wanted)
        if move is not None and (best is None or move.cost < best.cost):
            best = move
    return best


def _some_units(
    cluster: ClusterState, index: SchedulingIndex, shape: Shape
) -> list[tuple[str, list[str]]]:
    """Return units of few workers in all, from a start that moves on."""
    units = sorted(index.units[shape.adjacency].items())
    largest = max((len(names) for _, names in units), default=1)
    count = max(1, WORKERS_TRIED // largest)
    if count >= len(units):
        return units
    start = cluster.now_ms // MOVE_PAUSE_MS % len(units)
    return [*units, *units][start : start + count]


def _free(index: SchedulingIndex, names: list[str]) -> int:
    return sum(index.spaces[name].free.accelerators for name in names)


def _open_unit(
    cluster: ClusterState,
    index: SchedulingIndex,
    shape: Shape,
    names: list[str],
    wanted: int,
) -> Move | None:
    """Return the cheapest jobs whose move makes `wanted` members fit."""
    rests = {name: index.spaces[name].free.less() for name in names}
    chosen: list[Attempt] = []
    cost = 0
    candidates = sorted(
        (
            (_cost(cluster, attempt), str(attempt.id), attempt)
            for name in names
            for attempt_id in cluster.rooms[name].attempts
            if _can_move(cluster, attempt := cluster.attempts[attempt_id], shape)
        ),
        key=lambda candidate: candidate[:2],
    )
    for attempt_cost, _, attempt in candidates:
        if len(chosen) == JOBS_PER_MOVE:
            return None
        spec = cluster.requests[attempt.id.request_id].spec
        rests[attempt.members[0].worker].add(spec.shape.per_member)
        chosen.append(attempt)
        cost += attempt_cost
        fits = sum(rest.members(shape.per_member) for rest in rests.values())
        if fits >= wanted:
            fitting = _fits_elsewhere(cluster, index, chosen, names)
            return Move(tuple(chosen), cost) if fitting else None
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
    rest_ms = attempt.expected_end_ms - cluster.now_ms
    return (
        spec.checkpoint_ms <= RECLAIM_STOP_MS
        and rest_ms >= LEAST_GAIN * spec.checkpoint_ms
    )


def _cost(cluster: ClusterState, attempt: Attempt) -> int:
    spec = cluster.requests[attempt.id.request_id].spec
    return (spec.checkpoint_ms or 0) * spec.shape.total.accelerators


def _fits_elsewhere(
    cluster: ClusterState,
    index: SchedulingIndex,
    attempts: list[Attempt],
    names: list[str],
) -> bool:
    """Tell whether all jobs fit on other workers that are already in use."""
    rests = {
        name: space.free.less(space.held)
        for key in sorted(index.buckets)
        for name in index.buckets[key]
        if name not in names
        and (space := index.spaces[name]).free.accelerators
        and cluster.rooms[name].attempts
    }
    for attempt in attempts:
        amount = cluster.requests[attempt.id.request_id].spec.shape.per_member
        target = next((n for n, r in rests.items() if r.members(amount)), None)
        if target is None:
            return False
        rests[target].add(amount, -1)
    return True
