"""The standing plan of guaranteed shapes, and claims on it.

Every guaranteed shape has its own workers in the plan. A borrower that
cannot be moved in time is placed only on room that no shape is planned on,
so all shapes can be claimed at once.
"""

import attrs

from crocuswell_core.cluster.attempts import place_request, stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState, Hold, PlannedShape
from crocuswell_core.cluster.index import (
    RECLAIM_STOP_MS,
    add_hold,
    drop_planned,
    index_of,
    is_movable,
    plan_keys,
    refresh_workspaces,
    set_planned,
)
from crocuswell_core.cluster.records import (
    ENDED_MEMBER_PHASES,
    Attempt,
    AttemptPhase,
    Request,
    StopReason,
)
from crocuswell_core.cluster.resources import Resources, Shape
from crocuswell_core.cluster.spaces import Need, Quantity, WorkerSpace
from crocuswell_core.policy.borrowing import find_workers
from crocuswell_core.policy.fairness import lane_order
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.placement import find_offers
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.scoring import choose_by_shapes
from crocuswell_core.runtime.effects import ClusterEffect, Count, Label


def update_plan(cluster: ClusterState) -> None:
    """Plan again what the fleet or the configuration no longer supports."""
    if not cluster.plan_outdated:
        return
    cluster.plan_outdated = False
    refresh_workspaces(cluster)
    wanted = _wanted_shapes(cluster)
    for key, planned in list(cluster.plan.items()):
        same = wanted.get(key) == attrs.evolve(planned, workers=())
        if not same or not _still_stands(cluster, planned):
            drop_planned(cluster, key)
    # Large shapes first: a small one can use what is left.
    missing = sorted(
        (key for key in wanted if key not in cluster.plan),
        key=lambda key: (-wanted[key].shape.total.accelerators, key),
    )
    for key in missing:
        workers = _find_room(cluster, wanted[key].shape)
        set_planned(cluster, key, attrs.evolve(wanted[key], workers=workers))


def serve_claims(cluster: ClusterState) -> list[ClusterEffect]:
    """Start claims whose room is free; vacate room for the others."""
    index = index_of(cluster)
    effects: list[ClusterEffect] = []
    for request_id in list(cluster.holds):
        effects += _serve_hold(cluster, cluster.requests[request_id])
    # What this pass starts may be evicted for urgent work in the next one, so
    # marks that are set from here on stay.
    workspaces = sorted(index.claim_workspaces)
    index.claim_workspaces.clear()
    for workspace in workspaces:
        if plan_keys(cluster, workspace):
            effects += _serve_workspace(cluster, workspace)
    return effects


def find_claim(cluster: ClusterState, request: Request) -> Hold | None:
    """Return the planned room that a request can claim now, or None."""
    if not within_quota(cluster, request, guaranteed=True):
        return None
    shape = request.spec.shape
    candidates = [
        Hold(key, shape.per_member, workers, cluster.now_ms)
        for key in plan_keys(cluster, request.workspace)
        if (workers := _fit_in_plan(cluster, key, shape, False))
    ]
    free = (hold for hold in candidates if _is_free(cluster, hold))
    return next(free, candidates[0] if candidates else None)


def _evict_for_urgent(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    """Stop claims that are not urgent so that an urgent one can start."""
    shape = request.spec.shape
    if not request.spec.urgent:
        return []
    keys = plan_keys(cluster, request.workspace)
    key = next((k for k in keys if _fit_in_plan(cluster, k, shape, True)), None)
    effects: list[ClusterEffect] = []
    while key is not None and not _fit_in_plan(cluster, key, shape, False):
        candidates = [
            attempt
            for attempt_id in index_of(cluster).claims[key]
            if _is_evictable(cluster, attempt := cluster.attempts[attempt_id])
        ]
        victim = min(candidates, key=lambda attempt: _stop_cost(cluster, attempt))
        effects += _preempt(cluster, victim)
    return effects


def _is_evictable(cluster: ClusterState, attempt: Attempt) -> bool:
    spec = cluster.requests[attempt.id.request_id].spec
    stopping = attempt.phase is AttemptPhase.STOPPING
    return not stopping and not spec.urgent and is_movable(spec)


def _wanted_shapes(cluster: ClusterState) -> dict[str, PlannedShape]:
    return {
        f"{workspace.name}/{position}": PlannedShape(workspace.name, shape)
        for workspace in cluster.configuration.workspaces
        for position, shape in enumerate(workspace.guarantees)
    }


def _still_stands(cluster: ClusterState, planned: PlannedShape) -> bool:
    spaces = index_of(cluster).spaces
    return bool(planned.workers) and all(
        name in spaces and spaces[name].usable and _is_covered(spaces[name])
        for name in dict.fromkeys(planned.workers)
    )


def _is_covered(space: WorkerSpace) -> bool:
    return not space.capacity.less(space.planned, space.fixed).is_negative()


def _find_room(cluster: ClusterState, shape: Shape) -> tuple[str, ...]:
    """Return workers for a planned shape, in the unit with least to spare."""
    index = index_of(cluster)
    best: tuple[int, tuple[str, ...]] | None = None
    units = index.units[shape.adjacency]
    for unit in sorted(units):
        rests = {
            name: space.capacity.less(space.planned, space.fixed)
            for name in units[unit]
            if (space := index.spaces[name]).usable
        }
        workers = fill(rests, shape.per_member, shape.members)
        spare = sum(rest.accelerators for rest in rests.values())
        if workers and (best is None or spare < best[0]):
            best = (spare, workers)
    return best[1] if best else ()


def fill(
    rests: dict[str, Quantity], amount: Resources, members: int
) -> tuple[str, ...]:
    """Return a worker for each member, tightest workers first, or nothing."""
    counts = [
        (rest.accelerators, name, count)
        for name, rest in rests.items()
        if (count := rest.members(amount))
    ]
    if sum(count for _, _, count in counts) < members:
        return ()
    workers: list[str] = []
    for _, name, count in sorted(counts):
        workers += [name] * min(count, members - len(workers))
    return tuple(workers)


def _fit_in_plan(
    cluster: ClusterState, key: str, shape: Shape, evict: bool
) -> tuple[str, ...]:
    """Return workers of a planned shape that can take `shape` besides claims.

    With `evict`, claims that can be moved and are not urgent don't count.
    """
    if not shape.total.fits_in(cluster.plan[key].shape.total):
        return ()
    index = index_of(cluster)
    rests = _unclaimed(cluster, key, evict)
    units: dict[str, dict[str, Quantity]] = {}
    for name, rest in rests.items():
        unit = index.spaces[name].unit[shape.adjacency]
        units.setdefault(unit, {})[name] = rest
    for rests_in_unit in units.values():
        workers = fill(rests_in_unit, shape.per_member, shape.members)
        if workers:
            return workers
    return ()


def _unclaimed(
    cluster: ClusterState, key: str, evict: bool = False
) -> dict[str, Quantity]:
    """Return the room of a planned shape that no claim uses or waits for."""
    planned = cluster.plan[key]
    rests: dict[str, Quantity] = {}
    for name in planned.workers:
        rests.setdefault(name, Quantity()).add(planned.shape.per_member)
    for attempt_id in index_of(cluster).claims.get(key, ()):
        attempt = cluster.attempts[attempt_id]
        spec = cluster.requests[attempt_id.request_id].spec
        if attempt.phase is AttemptPhase.STOPPING:
            continue
        if evict and _is_evictable(cluster, attempt):
            continue
        for member in attempt.members:
            if member.phase not in ENDED_MEMBER_PHASES:
                rests[member.worker].add(spec.shape.per_member, -1)
    for hold in cluster.holds.values():
        if hold.guarantee == key:
            for name in hold.workers:
                rests[name].add(hold.amount, -1)
    return rests


def _serve_workspace(cluster: ClusterState, workspace: str) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = []
    has_room = _has_unclaimed(cluster, workspace)
    lanes = [
        lane
        for lane in index_of(cluster).lanes.get(workspace, {}).values()
        if has_room or lane.urgent
    ]
    failed: dict[Shape, None] = {}
    while lanes:
        lane = min(lanes, key=lane_order)
        request = cluster.requests[lane.order[0][1]]
        shape = request.spec.shape
        hold = None if shape in failed else find_claim(cluster, request)
        if hold is None and lane.urgent:
            evicted = _evict_for_urgent(cluster, request)
            hold = find_claim(cluster, request) if evicted else None
            effects += evicted
        if hold is None:
            failed[shape] = None
            lanes.remove(lane)
            continue
        effects += _claim(cluster, request, hold)
        if not lane.order:
            lanes.remove(lane)
    return effects


def _has_unclaimed(cluster: ClusterState, workspace: str) -> bool:
    return any(
        rest.slots > 0
        for key in plan_keys(cluster, workspace)
        for rest in _unclaimed(cluster, key).values()
    )


def _claim(cluster: ClusterState, request: Request, hold: Hold) -> list[ClusterEffect]:
    whole = cluster.plan[hold.guarantee].shape == request.spec.shape
    if not whole or (is_movable(request.spec) and not request.spec.urgent):
        # A part of a shape would break it up, and what can be moved fits in
        # gaps of planned room as well, so other room goes first.
        workers = find_workers(cluster, request)
        # A whole shape on its own planned room must count as the claim, or the
        # next request of the workspace would claim that room and evict it.
        own = whole and not set(workers or ()).isdisjoint(hold.workers)
        if own and _is_free(cluster, hold):
            return place_request(cluster, request, hold.workers, hold.guarantee)
        if workers:
            return place_request(cluster, request, workers)
    hold = _plan_on_free_room(cluster, request, hold)
    if _is_free(cluster, hold):
        return place_request(cluster, request, hold.workers, hold.guarantee)
    add_hold(cluster, request, hold)
    return _vacate(cluster, hold)


def _plan_on_free_room(cluster: ClusterState, request: Request, hold: Hold) -> Hold:
    """Move an unclaimed shape to the free room that suits the claim best.

    The room must be free and planned for nothing else, as for a borrower
    that cannot be moved; so no borrower is stopped where none needs to be.
    """
    key = hold.guarantee
    planned = cluster.plan[key]
    if index_of(cluster).claims.get(key):
        return hold
    if any(other.guarantee == key for other in cluster.holds.values()):
        return hold
    set_planned(cluster, key, attrs.evolve(planned, workers=()))
    offers = find_offers(cluster, Need(planned.shape, movable=False))
    if offers:
        end_ms = cluster.now_ms + expected_run_ms(cluster, request)
        workers = choose_by_shapes(cluster, planned.shape, offers, end_ms)
        set_planned(cluster, key, attrs.evolve(planned, workers=workers))
        fitting = _fit_in_plan(cluster, key, request.spec.shape, False)
        if fitting:
            return attrs.evolve(hold, workers=fitting)
    set_planned(cluster, key, planned)
    return hold


def _is_free(cluster: ClusterState, hold: Hold) -> bool:
    spaces = index_of(cluster).spaces
    waits = any(hold is other for other in cluster.holds.values())
    for name in dict.fromkeys(hold.workers):
        space = spaces[name]
        free = space.free if waits else space.free.less(space.held)
        if free.members(hold.amount) < hold.workers.count(name):
            return False
    return True


def _serve_hold(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    hold = cluster.holds[request.id]
    if _is_free(cluster, hold):
        return place_request(cluster, request, hold.workers, hold.guarantee)
    return _vacate(cluster, hold)


def _vacate(cluster: ClusterState, hold: Hold) -> list[ClusterEffect]:
    """Stop the borrowers that cost least until the held room gets free."""
    effects: list[ClusterEffect] = []
    for name in dict.fromkeys(hold.workers):
        space = index_of(cluster).spaces[name]
        while (missing := space.missing()).is_negative():
            victim = _cheapest_victim(cluster, name, missing)
            if victim is None:
                break
            effects += _preempt(cluster, victim)
    return effects


def _cheapest_victim(
    cluster: ClusterState, name: str, missing: Quantity
) -> Attempt | None:
    candidates = [
        attempt
        for attempt_id in cluster.rooms[name].attempts
        if _may_be_stopped(cluster, attempt := cluster.attempts[attempt_id])
        and _helps(cluster, attempt, missing)
    ]
    return min(
        candidates, key=lambda attempt: _stop_cost(cluster, attempt), default=None
    )


def _may_be_stopped(cluster: ClusterState, attempt: Attempt) -> bool:
    spec = cluster.requests[attempt.id.request_id].spec
    stopping = attempt.phase is AttemptPhase.STOPPING
    return not stopping and attempt.guarantee is None and is_movable(spec)


def _helps(cluster: ClusterState, attempt: Attempt, missing: Quantity) -> bool:
    amount = cluster.requests[attempt.id.request_id].spec.shape.per_member
    return (
        missing.slots < 0
        or (missing.accelerators < 0 < amount.accelerators)
        or (missing.processors < 0 < amount.processors)
        or (missing.memory_mb < 0 < amount.memory_mb)
    )


def _stop_cost(cluster: ClusterState, attempt: Attempt) -> tuple[int, str]:
    """Order victims by the accelerator time that their stop throws away."""
    spec = cluster.requests[attempt.id.request_id].spec
    lost_ms = 0
    if attempt.started_at_ms is not None:
        lost_ms = cluster.now_ms - attempt.started_at_ms
        if spec.checkpoint_ms is not None and spec.checkpoint_ms <= RECLAIM_STOP_MS:
            lost_ms = spec.checkpoint_ms
    size = max(1, spec.shape.total.accelerators)
    return (lost_ms * size, attempt.id.request_id)


def _preempt(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    labels = (Label("workspace", attempt.workspace),)
    return [
        Count("preemptions_total", labels=labels),
        *stop_attempt(cluster, attempt, StopReason.PREEMPTED),
    ]
