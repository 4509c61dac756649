"""Incremental updates of the scheduling index defined in `scheduling_index`.

Every change of the replicated state that affects capacity, claims or queues
updates the index here.
"""

from bisect import bisect_left, insort
from functools import lru_cache

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState, Hold, PlannedShape
from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.records import (
    ENDED_MEMBER_PHASES,
    Attempt,
    AttemptPhase,
    JobSpec,
    Member,
    Request,
    RequestPhase,
    Worker,
    accepts_work,
)
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.cluster.scheduling_index import (
    PlacementRequirements,
    Quantity,
    ReadyQueue,
    SchedulingIndex,
    Usage,
    WorkerCapacity,
)

# Longest time that a preempted borrower may take to stop. The target from
# claim to start is 2,200 ms; the rest covers orders, reports and the start
# itself.
PREEMPTION_GRACE_MS = 1_500

# Maximum length of the log of freed workers; beyond it, the log and the failed
# searches are discarded.
MAX_FREED_WORKERS = 4_096


def is_preemptible(spec: JobSpec) -> bool:
    """Return whether a borrower can be preempted within `PREEMPTION_GRACE_MS`.

    An idempotent job can be stopped at once and run again.
    """
    if spec.idempotent:
        return True
    return spec.checkpoint_ms is not None and spec.checkpoint_ms <= PREEMPTION_GRACE_MS


def requirements_of(spec: JobSpec) -> PlacementRequirements:
    """Return the placement requirements of a job."""
    return _intern_requirements(spec.shape, is_preemptible(spec))


@lru_cache(maxsize=4_096)
def _intern_requirements(shape: Shape, preemptible: bool) -> PlacementRequirements:
    """Return one object for equal requirements, to make look-ups cheap."""
    return PlacementRequirements(shape, preemptible)


def index_of(cluster: ClusterState) -> SchedulingIndex:
    """Return the scheduling index; build it from the state if missing."""
    if cluster.index is None:
        cluster.index = SchedulingIndex()
        _build_index(cluster)
    return cluster.index


def workspace_of(cluster: ClusterState, name: str) -> Workspace | None:
    """Return the declared workspace with the given name, or None."""
    refresh_workspaces(cluster)
    return index_of(cluster).workspaces.get(name)


def refresh_workspaces(cluster: ClusterState) -> None:
    """Reread the declared workspaces after a configuration change.

    Claims of workspaces that are new or have a changed quota are marked for
    the next scheduling pass.
    """
    index = index_of(cluster)
    if index.number == cluster.number:
        return
    index.number = cluster.number
    old = index.workspaces
    index.workspaces = {w.name: w for w in cluster.configuration.workspaces}
    for name, workspace in index.workspaces.items():
        known = old.get(name)
        if known is None or known.quota != workspace.quota:
            index.dirty_workspaces[name] = None


def is_usable(cluster: ClusterState, name: str) -> bool:
    """Return whether new work may be placed on a worker.

    Besides its modes, this requires that it is connected and confirms
    reservations in time, and that its failure domain is not evacuated.
    """
    return (
        name in cluster.allocations
        and accepts_work(cluster.workers[name])
        and cluster.workers[name].info.failure_domain not in cluster.evacuations
        and name not in cluster.unresponsive
    )


def refresh_worker(cluster: ClusterState, name: str) -> None:
    """Reindex a worker that was added or removed or changed its mode."""
    if cluster.index is None:
        return
    index = cluster.index
    old = index.worker_capacities.pop(name, None)
    if old is not None:
        _remove_worker(index, name, old)
    worker = cluster.workers.get(name)
    if worker is not None and name in cluster.allocations:
        _add_worker(cluster, index, name, worker)
    clear_failed_searches(index)
    index.ever_fits.clear()
    cluster.plan_outdated = True


def add_attempt(cluster: ClusterState, attempt: Attempt) -> None:
    """Add a newly placed attempt to the index."""
    index = index_of(cluster)
    request = cluster.requests[attempt.id.request_id]
    index.usage.setdefault(attempt.workspace, Usage()).active[attempt.id] = None
    if attempt.guarantee is not None:
        index.claims.setdefault(attempt.guarantee, {})[attempt.id] = None
        index.dirty_workspaces[attempt.workspace] = None
    for member in attempt.members:
        _count_member(index, attempt, member, request.spec, 1)


def remove_member(cluster: ClusterState, attempt: Attempt, member: Member) -> None:
    """Remove a member that has ended from the index.

    Parameters
    ----------
    cluster : ClusterState
        The replicated state.
    attempt : Attempt
        Its attempt, in the phase in which the member ended.
    member : Member
        The member that has ended.
    """
    index = index_of(cluster)
    request = cluster.requests[attempt.id.request_id]
    _count_member(index, attempt, member, request.spec, -1)
    if member.worker in index.worker_capacities:
        _record_freed(index, member.worker)
    index.dirty_workspaces[attempt.workspace] = None


def remove_attempt(cluster: ClusterState, attempt: Attempt) -> None:
    """Remove an attempt whose members have all ended from the index."""
    index = index_of(cluster)
    index.usage[attempt.workspace].active.pop(attempt.id, None)
    if attempt.guarantee is not None:
        index.claims.get(attempt.guarantee, {}).pop(attempt.id, None)


def mark_stopping(cluster: ClusterState, attempt: Attempt) -> None:
    """Record that all active members of an attempt were ordered to stop."""
    index = index_of(cluster)
    index.dirty_workspaces[attempt.workspace] = None
    amount = cluster.requests[attempt.id.request_id].spec.shape.per_member
    for member in attempt.members:
        worker_capacity = index.worker_capacities.get(member.worker)
        if worker_capacity is not None and member.phase not in ENDED_MEMBER_PHASES:
            worker_capacity.stopping.add(amount)


def enqueue(cluster: ClusterState, request: Request) -> None:
    """Add a queued request that may start now to its ready queue."""
    index = index_of(cluster)
    spec = request.spec
    requirements = requirements_of(spec)
    key = (requirements, spec.job_class, spec.urgent)
    ready_queues = index.ready_queues.setdefault(request.workspace, {})
    ready_queue = ready_queues.get(key)
    if ready_queue is None:
        ready_queue = ready_queues[key] = ReadyQueue(
            requirements, spec.job_class, spec.urgent
        )
    insort(ready_queue.entries, (request.accepted_at_ms, request.id))
    index.dirty_workspaces[request.workspace] = None


def dequeue(cluster: ClusterState, request: Request) -> None:
    """Remove a request from its ready queue if it is there."""
    spec = request.spec
    ready_queues = index_of(cluster).ready_queues.get(request.workspace, {})
    key = (requirements_of(spec), spec.job_class, spec.urgent)
    ready_queue = ready_queues.get(key)
    if ready_queue is None:
        return
    item = (request.accepted_at_ms, request.id)
    position = bisect_left(ready_queue.entries, item)
    if position < len(ready_queue.entries) and ready_queue.entries[position] == item:
        del ready_queue.entries[position]
    if not ready_queue.entries:
        del ready_queues[key]


def clear_failed_searches(index: SchedulingIndex) -> None:
    """Discard the failed searches, so that every search is repeated."""
    index.failed_search_positions.clear()
    index.freed_workers.clear()


def quantity_of(info: Resources, slots: int) -> Quantity:
    """Return the quantity with the given resources and slots."""
    return Quantity(info.accelerators, info.processors, info.memory_mb, slots)


def unit_names(worker: Worker) -> dict[Adjacency, str]:
    """Return the unit that a worker belongs to at each topology level."""
    info = worker.info
    return {
        Adjacency.NONE: "",
        Adjacency.WORKER: info.worker,
        Adjacency.RACK: f"{info.failure_domain}/{info.rack}",
        Adjacency.FAILURE_DOMAIN: info.failure_domain,
    }


def _build_index(cluster: ClusterState) -> None:
    index = index_of(cluster)
    for name in cluster.allocations:
        _add_worker(cluster, index, name, cluster.workers[name], skip_members=True)
    for attempt in cluster.attempts.values():
        usage = index.usage.setdefault(attempt.workspace, Usage())
        usage.active[attempt.id] = None
        if attempt.guarantee is not None:
            index.claims.setdefault(attempt.guarantee, {})[attempt.id] = None
        spec = cluster.requests[attempt.id.request_id].spec
        for member in attempt.members:
            if member.phase not in ENDED_MEMBER_PHASES:
                _count_member(index, attempt, member, spec, 1)
                if attempt.phase is AttemptPhase.STOPPING:
                    _count_stopping(index, member, spec)
    for workspace, queue in cluster.queues.items():
        index.dirty_workspaces[workspace] = None
        for request_id in queue:
            request = cluster.requests[request_id]
            if _is_ready(cluster, request):
                enqueue(cluster, request)


def _is_ready(cluster: ClusterState, request: Request) -> bool:
    return (
        request.phase is RequestPhase.QUEUED
        and not request.not_before_ms
        and request.id not in cluster.holds
    )


def _count_stopping(index: SchedulingIndex, member: Member, spec: JobSpec) -> None:
    worker_capacity = index.worker_capacities.get(member.worker)
    if worker_capacity is not None:
        worker_capacity.stopping.add(spec.shape.per_member)


def _add_worker(
    cluster: ClusterState,
    index: SchedulingIndex,
    name: str,
    worker: Worker,
    skip_members: bool = False,
) -> None:
    """Add a worker to the index.

    With `skip_members`, the caller adds the members on the worker itself.
    """
    capacity = quantity_of(worker.info.capacity, worker.info.slots)
    worker_capacity = WorkerCapacity(
        unit=unit_names(worker),
        usable=is_usable(cluster, name),
        capacity=capacity,
        free=capacity.minus(),
    )
    index.worker_capacities[name] = worker_capacity
    for adjacency, unit in worker_capacity.unit.items():
        insort(index.units[adjacency].setdefault(unit, []), name)
    for planned in cluster.plan.values():
        count = planned.workers.count(name)
        if count:
            worker_capacity.planned.add(planned.shape.per_member, count)
    for hold in cluster.holds.values():
        count = hold.workers.count(name)
        if count:
            worker_capacity.held.add(hold.amount, count)
    if not skip_members:
        _count_members_on(cluster, worker_capacity, name)
    if worker_capacity.usable:
        index.capacity.merge(capacity)
        index.free.merge(worker_capacity.free)
        _add_to_bucket(index, name, worker_capacity)


def _count_members_on(
    cluster: ClusterState, worker_capacity: WorkerCapacity, name: str
) -> None:
    for attempt_id in cluster.allocations[name].attempts:
        attempt = cluster.attempts[attempt_id]
        spec = cluster.requests[attempt_id.request_id].spec
        for member in attempt.members:
            if member.worker == name and member.phase not in ENDED_MEMBER_PHASES:
                worker_capacity.free.add(spec.shape.per_member, -1)
                if attempt.guarantee is None and not is_preemptible(spec):
                    worker_capacity.non_preemptible.add(spec.shape.per_member)
                if attempt.phase is AttemptPhase.STOPPING:
                    worker_capacity.stopping.add(spec.shape.per_member)


def _remove_worker(
    index: SchedulingIndex, name: str, worker_capacity: WorkerCapacity
) -> None:
    if worker_capacity.usable:
        index.capacity.merge(worker_capacity.capacity, -1)
        index.free.merge(worker_capacity.free, -1)
        _remove_from_bucket(index, name, worker_capacity)
    for adjacency, unit in worker_capacity.unit.items():
        names = index.units[adjacency][unit]
        del names[bisect_left(names, name)]
        if not names:
            del index.units[adjacency][unit]


def _count_member(
    index: SchedulingIndex, attempt: Attempt, member: Member, spec: JobSpec, sign: int
) -> None:
    """Add a member to the index (`sign` 1) or remove it (-1)."""
    amount = spec.shape.per_member
    usage = index.usage.setdefault(attempt.workspace, Usage())
    usage.total.add(amount, sign)
    if attempt.guarantee is None:
        usage.borrowed.add(amount, sign)
    worker_capacity = index.worker_capacities.get(member.worker)
    if worker_capacity is None:
        return
    if worker_capacity.usable:
        _remove_from_bucket(index, member.worker, worker_capacity)
        index.free.add(amount, -sign)
    worker_capacity.free.add(amount, -sign)
    if worker_capacity.usable:
        _add_to_bucket(index, member.worker, worker_capacity)
    if attempt.guarantee is None and not is_preemptible(spec):
        worker_capacity.non_preemptible.add(amount, sign)
    if sign < 0 and attempt.phase is AttemptPhase.STOPPING:
        worker_capacity.stopping.add(amount, -1)


def _add_to_bucket(
    index: SchedulingIndex, name: str, worker_capacity: WorkerCapacity
) -> None:
    if worker_capacity.free.slots > 0:
        key = (worker_capacity.free.accelerators, worker_capacity.free.slots)
        insort(index.buckets.setdefault(key, []), name)


def _remove_from_bucket(
    index: SchedulingIndex, name: str, worker_capacity: WorkerCapacity
) -> None:
    if worker_capacity.free.slots > 0:
        key = (worker_capacity.free.accelerators, worker_capacity.free.slots)
        names = index.buckets[key]
        del names[bisect_left(names, name)]
        if not names:
            del index.buckets[key]


def _record_freed(index: SchedulingIndex, name: str) -> None:
    index.freed_workers.append(name)
    if len(index.freed_workers) > MAX_FREED_WORKERS:
        clear_failed_searches(index)


def add_hold(cluster: ClusterState, request: Request, hold: Hold) -> None:
    """Hold capacity for a claim; remove its request from its ready queue."""
    index = index_of(cluster)
    dequeue(cluster, request)
    cluster.holds[request.id] = hold
    for name in hold.workers:
        index.worker_capacities[name].held.add(hold.amount)


def drop_hold(cluster: ClusterState, request_id: str) -> None:
    """Release the capacity held for a claim, if any."""
    hold = cluster.holds.pop(request_id, None)
    if hold is None:
        return
    index = index_of(cluster)
    for name in hold.workers:
        if name in index.worker_capacities:
            index.worker_capacities[name].held.add(hold.amount, -1)
            _record_freed(index, name)


def set_planned(cluster: ClusterState, key: str, planned: PlannedShape) -> None:
    """Assign workers to a guaranteed shape, replacing earlier ones."""
    drop_planned(cluster, key)
    cluster.plan[key] = planned
    index = index_of(cluster)
    for name in planned.workers:
        index.worker_capacities[name].planned.add(planned.shape.per_member)
    index.dirty_workspaces[planned.workspace] = None
    index.plan_keys.clear()


def drop_planned(cluster: ClusterState, key: str) -> None:
    """Remove a shape from the plan.

    Attempts that claimed it become borrowers; queued claims that hold its
    capacity are requeued.
    """
    planned = cluster.plan.pop(key, None)
    if planned is None:
        return
    index = index_of(cluster)
    for name in planned.workers:
        if name in index.worker_capacities:
            index.worker_capacities[name].planned.add(planned.shape.per_member, -1)
            _record_freed(index, name)
    for attempt_id in list(index.claims.pop(key, ())):
        _make_borrower(cluster, index, cluster.attempts[attempt_id])
    for request_id, hold in list(cluster.holds.items()):
        if hold.guarantee == key:
            drop_hold(cluster, request_id)
            enqueue(cluster, cluster.requests[request_id])
    index.plan_keys.clear()


def plan_keys(cluster: ClusterState, workspace: str) -> list[str]:
    """Return the keys of a workspace's planned shapes, smallest first."""
    index = index_of(cluster)
    if not index.plan_keys:
        for key, planned in cluster.plan.items():
            if planned.workers:
                index.plan_keys.setdefault(planned.workspace, []).append(key)
        for keys in index.plan_keys.values():
            keys.sort(key=lambda key: (_size(cluster.plan[key].shape), key))
    return index.plan_keys.get(workspace, [])


def _size(shape: Shape) -> tuple[int, int, int]:
    total = shape.total
    return total.accelerators, total.processors, total.memory_mb


def _make_borrower(
    cluster: ClusterState, index: SchedulingIndex, attempt: Attempt
) -> None:
    spec = cluster.requests[attempt.id.request_id].spec
    cluster.attempts[attempt.id] = attrs.evolve(attempt, guarantee=None)
    amount = spec.shape.per_member
    for member in attempt.members:
        if member.phase in ENDED_MEMBER_PHASES:
            continue
        index.usage[attempt.workspace].borrowed.add(amount)
        worker_capacity = index.worker_capacities.get(member.worker)
        if worker_capacity is not None and not is_preemptible(spec):
            worker_capacity.non_preemptible.add(amount)
