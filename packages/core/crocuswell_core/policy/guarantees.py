"""The plan of guaranteed shapes, and claims on it.

The plan assigns workers to every guaranteed shape. A request that starts on
these workers claims the shape; other attempts are borrowers. Borrowers that
cannot be stopped in time are placed only on resources that are not planned
for any shape, so that all shapes can be claimed at once.
"""

import attrs

from crocuswell_core.cluster.attempts import place_request, stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState, Hold, PlannedShape
from crocuswell_core.cluster.index_updates import (
    PREEMPTION_GRACE_MS,
    add_hold,
    drop_planned,
    index_of,
    is_preemptible,
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
from crocuswell_core.cluster.scheduling_index import (
    PlacementRequirements,
    Quantity,
    WorkerCapacity,
)
from crocuswell_core.policy.borrowing import find_workers
from crocuswell_core.policy.fairness import ready_queue_sort_key
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.placement import find_offers
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.scoring import choose_by_shapes
from crocuswell_core.runtime.effects import ClusterEffect, Count, Label


def update_plan(cluster: ClusterState) -> None:
    """Replan shapes that the fleet or the configuration has invalidated."""
    if not cluster.plan_outdated:
        return
    cluster.plan_outdated = False
    refresh_workspaces(cluster)
    guaranteed_shapes = _guaranteed_shapes(cluster)
    for key, planned in list(cluster.plan.items()):
        is_unchanged = guaranteed_shapes.get(key) == attrs.evolve(planned, workers=())
        if not is_unchanged or not _is_still_valid(cluster, planned):
            drop_planned(cluster, key)
    # Large shapes are planned first, since small ones fit in what is left.
    missing = sorted(
        (key for key in guaranteed_shapes if key not in cluster.plan),
        key=lambda key: (-guaranteed_shapes[key].shape.total.accelerators, key),
    )
    for key in missing:
        workers = _assign_workers(cluster, guaranteed_shapes[key].shape)
        set_planned(cluster, key, attrs.evolve(guaranteed_shapes[key], workers=workers))


def schedule_claims(cluster: ClusterState) -> list[ClusterEffect]:
    """Start claims on free workers and preempt borrowers for the others."""
    index = index_of(cluster)
    effects: list[ClusterEffect] = []
    for request_id in list(cluster.holds):
        effects += _schedule_held_claim(cluster, cluster.requests[request_id])
    # The set is cleared before the loop: attempts that this pass starts may be
    # preempted for urgent requests in the next one, so their workspaces must
    # stay marked.
    workspaces = sorted(index.dirty_workspaces)
    index.dirty_workspaces.clear()
    for workspace in workspaces:
        if plan_keys(cluster, workspace):
            effects += _schedule_workspace(cluster, workspace)
    return effects


def find_claim(cluster: ClusterState, request: Request) -> Hold | None:
    """Return a planned shape that a request can claim now, or None.

    Shapes whose workers are free are preferred.
    """
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


def _preempt_claims(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    """Preempt claims that are not urgent so that an urgent one can start."""
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
            if _is_preemptible_claim(cluster, attempt := cluster.attempts[attempt_id])
        ]
        victim = min(candidates, key=lambda attempt: _preemption_cost(cluster, attempt))
        effects += _preempt(cluster, victim)
    return effects


def _is_preemptible_claim(cluster: ClusterState, attempt: Attempt) -> bool:
    spec = cluster.requests[attempt.id.request_id].spec
    stopping = attempt.phase is AttemptPhase.STOPPING
    return not stopping and not spec.urgent and is_preemptible(spec)


def _guaranteed_shapes(cluster: ClusterState) -> dict[str, PlannedShape]:
    return {
        f"{workspace.name}/{position}": PlannedShape(workspace.name, shape)
        for workspace in cluster.configuration.workspaces
        for position, shape in enumerate(workspace.guarantees)
    }


def _is_still_valid(cluster: ClusterState, planned: PlannedShape) -> bool:
    worker_capacities = index_of(cluster).worker_capacities
    return bool(planned.workers) and all(
        name in worker_capacities
        and worker_capacities[name].usable
        and _plan_fits(worker_capacities[name])
        for name in dict.fromkeys(planned.workers)
    )


def _plan_fits(worker_capacity: WorkerCapacity) -> bool:
    return not worker_capacity.capacity.minus(
        worker_capacity.planned, worker_capacity.non_preemptible
    ).is_negative()


def _assign_workers(cluster: ClusterState, shape: Shape) -> tuple[str, ...]:
    """Return workers for a planned shape.

    They are in the unit with the fewest unplanned accelerators in which the
    shape fits. Returns an empty tuple if there is no such unit.
    """
    index = index_of(cluster)
    best: tuple[int, tuple[str, ...]] | None = None
    units = index.units[shape.adjacency]
    for unit in sorted(units):
        available = {
            name: worker_capacity.capacity.minus(
                worker_capacity.planned, worker_capacity.non_preemptible
            )
            for name in units[unit]
            if (worker_capacity := index.worker_capacities[name]).usable
        }
        workers = pack_members(available, shape.per_member, shape.members)
        spare = sum(remaining.accelerators for remaining in available.values())
        if workers and (best is None or spare < best[0]):
            best = (spare, workers)
    return best[1] if best else ()


def pack_members(
    available: dict[str, Quantity], amount: Resources, members: int
) -> tuple[str, ...]:
    """Return a worker for each member, or an empty tuple if they do not fit.

    Workers with the fewest available accelerators are filled first.
    """
    counts = [
        (remaining.accelerators, name, count)
        for name, remaining in available.items()
        if (count := remaining.count_fitting(amount))
    ]
    if sum(count for _, _, count in counts) < members:
        return ()
    workers: list[str] = []
    for _, name, count in sorted(counts):
        workers += [name] * min(count, members - len(workers))
    return tuple(workers)


def _fit_in_plan(
    cluster: ClusterState, key: str, shape: Shape, preempt_claims: bool
) -> tuple[str, ...]:
    """Return workers of a planned shape on which `shape` fits.

    Resources in use by claims are not available, except, with
    `preempt_claims`, by claims that could be preempted.
    """
    if not shape.total.fits_in(cluster.plan[key].shape.total):
        return ()
    index = index_of(cluster)
    available = _unclaimed_resources(cluster, key, preempt_claims)
    units: dict[str, dict[str, Quantity]] = {}
    for name, remaining in available.items():
        unit = index.worker_capacities[name].unit[shape.adjacency]
        units.setdefault(unit, {})[name] = remaining
    for available_in_unit in units.values():
        workers = pack_members(available_in_unit, shape.per_member, shape.members)
        if workers:
            return workers
    return ()


def _unclaimed_resources(
    cluster: ClusterState, key: str, preempt_claims: bool = False
) -> dict[str, Quantity]:
    """Return the resources of a planned shape that are free of claims.

    Resources held for waiting claims are excluded as well. With
    `preempt_claims`, claims that could be preempted do not count.
    """
    planned = cluster.plan[key]
    available: dict[str, Quantity] = {}
    for name in planned.workers:
        available.setdefault(name, Quantity()).add(planned.shape.per_member)
    for attempt_id in index_of(cluster).claims.get(key, ()):
        attempt = cluster.attempts[attempt_id]
        spec = cluster.requests[attempt_id.request_id].spec
        if attempt.phase is AttemptPhase.STOPPING:
            continue
        if preempt_claims and _is_preemptible_claim(cluster, attempt):
            continue
        for member in attempt.members:
            if member.phase not in ENDED_MEMBER_PHASES:
                available[member.worker].add(spec.shape.per_member, -1)
    for hold in cluster.holds.values():
        if hold.guarantee == key:
            for name in hold.workers:
                available[name].add(hold.amount, -1)
    return available


def _schedule_workspace(cluster: ClusterState, workspace: str) -> list[ClusterEffect]:
    effects: list[ClusterEffect] = []
    has_unclaimed_slots = _has_unclaimed_slots(cluster, workspace)
    ready_queues = [
        ready_queue
        for ready_queue in index_of(cluster).ready_queues.get(workspace, {}).values()
        if has_unclaimed_slots or ready_queue.urgent
    ]
    failed: dict[Shape, None] = {}
    while ready_queues:
        ready_queue = min(ready_queues, key=ready_queue_sort_key)
        request = cluster.requests[ready_queue.entries[0][1]]
        shape = request.spec.shape
        hold = None if shape in failed else find_claim(cluster, request)
        if hold is None and ready_queue.urgent:
            preemption_effects = _preempt_claims(cluster, request)
            hold = find_claim(cluster, request) if preemption_effects else None
            effects += preemption_effects
        if hold is None:
            failed[shape] = None
            ready_queues.remove(ready_queue)
            continue
        effects += _start_claim(cluster, request, hold)
        if not ready_queue.entries:
            ready_queues.remove(ready_queue)
    return effects


def _has_unclaimed_slots(cluster: ClusterState, workspace: str) -> bool:
    return any(
        remaining.slots > 0
        for key in plan_keys(cluster, workspace)
        for remaining in _unclaimed_resources(cluster, key).values()
    )


def _start_claim(
    cluster: ClusterState, request: Request, hold: Hold
) -> list[ClusterEffect]:
    is_whole_shape = cluster.plan[hold.guarantee].shape == request.spec.shape
    if not is_whole_shape or (is_preemptible(request.spec) and not request.spec.urgent):
        # A smaller request would fragment the planned shape, and a
        # preemptible one may run on planned resources as a borrower anyway.
        # Both therefore start outside the claim if possible.
        workers = find_workers(cluster, request)
        # A request of the whole shape that would start on the planned workers
        # must count as the claim. Otherwise the next request of the workspace
        # would claim these workers and preempt it.
        overlaps_hold = is_whole_shape and not set(workers or ()).isdisjoint(
            hold.workers
        )
        if overlaps_hold and _is_free(cluster, hold):
            return place_request(cluster, request, hold.workers, hold.guarantee)
        if workers:
            return place_request(cluster, request, workers)
    hold = _replan_on_free_workers(cluster, request, hold)
    if _is_free(cluster, hold):
        return place_request(cluster, request, hold.workers, hold.guarantee)
    add_hold(cluster, request, hold)
    return _preempt_borrowers(cluster, hold)


def _replan_on_free_workers(
    cluster: ClusterState, request: Request, hold: Hold
) -> Hold:
    """Move an unclaimed shape to the free workers that suit the claim best.

    Their resources must be free and not planned for another shape, as for a
    borrower that cannot be preempted. This avoids needless preemption.
    """
    key = hold.guarantee
    planned = cluster.plan[key]
    if index_of(cluster).claims.get(key):
        return hold
    if any(other.guarantee == key for other in cluster.holds.values()):
        return hold
    set_planned(cluster, key, attrs.evolve(planned, workers=()))
    offers = find_offers(
        cluster, PlacementRequirements(planned.shape, preemptible=False)
    )
    if offers:
        end_ms = cluster.now_ms + expected_run_ms(cluster, request)
        workers = choose_by_shapes(cluster, planned.shape, offers, end_ms)
        set_planned(cluster, key, attrs.evolve(planned, workers=workers))
        planned_workers = _fit_in_plan(cluster, key, request.spec.shape, False)
        if planned_workers:
            return attrs.evolve(hold, workers=planned_workers)
    set_planned(cluster, key, planned)
    return hold


def _is_free(cluster: ClusterState, hold: Hold) -> bool:
    worker_capacities = index_of(cluster).worker_capacities
    is_held = any(hold is other for other in cluster.holds.values())
    for name in dict.fromkeys(hold.workers):
        worker_capacity = worker_capacities[name]
        free = (
            worker_capacity.free
            if is_held
            else worker_capacity.free.minus(worker_capacity.held)
        )
        if free.count_fitting(hold.amount) < hold.workers.count(name):
            return False
    return True


def _schedule_held_claim(
    cluster: ClusterState, request: Request
) -> list[ClusterEffect]:
    hold = cluster.holds[request.id]
    if _is_free(cluster, hold):
        return place_request(cluster, request, hold.workers, hold.guarantee)
    return _preempt_borrowers(cluster, hold)


def _preempt_borrowers(cluster: ClusterState, hold: Hold) -> list[ClusterEffect]:
    """Preempt the cheapest borrowers until the held resources become free."""
    effects: list[ClusterEffect] = []
    for name in dict.fromkeys(hold.workers):
        worker_capacity = index_of(cluster).worker_capacities[name]
        while (projected_free := worker_capacity.projected_free()).is_negative():
            victim = _cheapest_victim(cluster, name, projected_free)
            if victim is None:
                break
            effects += _preempt(cluster, victim)
    return effects


def _cheapest_victim(
    cluster: ClusterState, name: str, projected_free: Quantity
) -> Attempt | None:
    candidates = [
        attempt
        for attempt_id in cluster.allocations[name].attempts
        if _is_preemption_candidate(cluster, attempt := cluster.attempts[attempt_id])
        and _reduces_shortage(cluster, attempt, projected_free)
    ]
    return min(
        candidates, key=lambda attempt: _preemption_cost(cluster, attempt), default=None
    )


def _is_preemption_candidate(cluster: ClusterState, attempt: Attempt) -> bool:
    spec = cluster.requests[attempt.id.request_id].spec
    stopping = attempt.phase is AttemptPhase.STOPPING
    return not stopping and attempt.guarantee is None and is_preemptible(spec)


def _reduces_shortage(
    cluster: ClusterState, attempt: Attempt, projected_free: Quantity
) -> bool:
    amount = cluster.requests[attempt.id.request_id].spec.shape.per_member
    return (
        projected_free.slots < 0
        or (projected_free.accelerators < 0 < amount.accelerators)
        or (projected_free.processors < 0 < amount.processors)
        or (projected_free.memory_mb < 0 < amount.memory_mb)
    )


def _preemption_cost(cluster: ClusterState, attempt: Attempt) -> tuple[int, str]:
    """Return the sort key of a victim: the accelerator time lost by its stop.

    A job that can checkpoint in time loses only the checkpoint time.
    """
    spec = cluster.requests[attempt.id.request_id].spec
    lost_ms = 0
    if attempt.started_at_ms is not None:
        lost_ms = cluster.now_ms - attempt.started_at_ms
        if spec.checkpoint_ms is not None and spec.checkpoint_ms <= PREEMPTION_GRACE_MS:
            lost_ms = spec.checkpoint_ms
    size = max(1, spec.shape.total.accelerators)
    return (lost_ms * size, attempt.id.request_id)


def _preempt(cluster: ClusterState, attempt: Attempt) -> list[ClusterEffect]:
    labels = (Label("workspace", attempt.workspace),)
    return [
        Count("preemptions_total", labels=labels),
        *stop_attempt(cluster, attempt, StopReason.PREEMPTED),
    ]
