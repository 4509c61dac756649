"""Run-time checks of invariants of the replicated state.

`check_all` checks every row and is meant for tests. `check_sample` checks a
few rows after each applied entry and is enabled in production.
"""

from collections.abc import Mapping
from itertools import islice
from typing import TypeVar

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import (
    index_of,
    is_preemptible,
    is_usable,
    quantity_of,
)
from crocuswell_core.cluster.records import (
    ENDED_MEMBER_PHASES,
    Attempt,
    AttemptId,
    AttemptPhase,
    MemberPhase,
    Request,
    RequestPhase,
    WorkerMode,
)
from crocuswell_core.cluster.resources import SLOTS_PER_WORKER, Adjacency, Resources
from crocuswell_core.cluster.scheduling_index import Quantity

Key = TypeVar("Key")

# Number of rows of each table that are checked after each entry.
SAMPLE_ROWS = 1


@attrs.frozen
class InvariantViolation(Exception):  # noqa: N818 (name used in the design)
    """The replicated state violates an invariant.

    Attributes
    ----------
    invariant : str
        Name of the check.
    row : str
        Key of the row that was checked.
    found : str
        The offending value.
    """

    invariant: str
    row: str
    found: str

    def __str__(self) -> str:
        return f"{self.invariant}: {self.row}: {self.found}"


def check_all(cluster: ClusterState) -> None:
    """Check every row of every table.

    Raises
    ------
    InvariantViolation
        If a check fails.
    """
    for name in cluster.allocations:
        check_worker(cluster, name)
    for attempt in cluster.attempts.values():
        check_attempt(cluster, attempt)
    for request in cluster.requests.values():
        check_request(cluster, request)
    for key in cluster.plan:
        check_planned_shape(cluster, key)
    check_queues(cluster)
    check_quotas(cluster)
    check_quarantine(cluster)
    check_index(cluster)


def check_sample(cluster: ClusterState, sequence: int) -> None:
    """Check a few rows of each table; `sequence` selects which ones.

    Raises
    ------
    InvariantViolation
        If a check fails.
    """
    for name in _sample(cluster.allocations, sequence):
        check_worker(cluster, name)
    for attempt_id in _sample(cluster.attempts, sequence):
        check_attempt(cluster, cluster.attempts[attempt_id])
    for request_id in _sample(cluster.requests, sequence):
        check_request(cluster, cluster.requests[request_id])
    for key in _sample(cluster.plan, sequence)[:1]:
        check_planned_shape(cluster, key)


def check_worker(cluster: ClusterState, name: str) -> None:
    """Check the allocations on one worker, and its share of the plan."""
    allocation = cluster.allocations[name]
    info = cluster.workers[name].info
    used, non_preemptible = Quantity(), Quantity()
    indices = list(allocation.accelerators)
    for attempt_id, count in allocation.attempts.items():
        attempt = cluster.attempts.get(attempt_id)
        if attempt is None:
            raise InvariantViolation("room", name, f"ended attempt {attempt_id}")
        spec = cluster.requests[attempt_id.request_id].spec
        members = [
            m
            for m in attempt.members
            if m.worker == name and m.phase not in ENDED_MEMBER_PHASES
        ]
        if len(members) != count:
            raise InvariantViolation(
                "room", name, f"{attempt_id}: {count} members recorded"
            )
        used.add(spec.shape.per_member, count)
        if attempt.guarantee is None and not is_preemptible(spec):
            non_preemptible.add(spec.shape.per_member, count)
        indices += [index for m in members for index in m.accelerators]
    free = quantity_of(info.capacity, info.slots).minus(used)
    if free.is_negative() or free != quantity_of(
        allocation.free, allocation.free_slots
    ):
        raise InvariantViolation(
            "room", name, f"free {allocation.free}, members {used}"
        )
    if sorted(indices) != list(range(info.capacity.accelerators)):
        raise InvariantViolation("accelerators", name, f"indices {sorted(indices)}")
    if not 0 <= allocation.free_slots <= SLOTS_PER_WORKER:
        raise InvariantViolation("slots", name, f"{allocation.free_slots} free")
    _check_planned_capacity(cluster, name, non_preemptible)


def check_attempt(cluster: ClusterState, attempt: Attempt) -> None:
    """Check that an attempt is consistent with its members and request."""
    row = str(attempt.id)
    request = cluster.requests.get(attempt.id.request_id)
    if request is None or request.phase is not RequestPhase.ACTIVE:
        raise InvariantViolation("attempt", row, "its request is not active")
    if request.attempts_made != attempt.id.epoch:
        raise InvariantViolation("attempt", row, f"epoch {request.attempts_made}")
    if len(attempt.members) != request.spec.shape.members:
        raise InvariantViolation("gang", row, f"{len(attempt.members)} members")
    if attempt.phase is AttemptPhase.RUNNING and len(attempt.members) > 1:
        waiting = [m.rank for m in attempt.members if m.phase is MemberPhase.ORDERED]
        if waiting or attempt.started_at_ms is None:
            raise InvariantViolation("gang", row, f"started without ranks {waiting}")
    if attempt.phase is AttemptPhase.RESERVING and attempt.started_at_ms is not None:
        raise InvariantViolation("gang", row, "started while reserving")
    units = {
        index_of(cluster).worker_capacities[m.worker].unit[request.spec.shape.adjacency]
        for m in attempt.members
        if m.worker in index_of(cluster).worker_capacities
    }
    if len(units) > 1:
        raise InvariantViolation("adjacency", row, f"{len(units)} units")


def check_request(cluster: ClusterState, request: Request) -> None:
    """Check that a request is in exactly one phase and cannot run twice.

    A second run is allowed for idempotent requests and from a checkpoint.
    """
    queued = request.id in cluster.queues.get(request.workspace, ())
    attempt = AttemptId(request.id, request.attempts_made)
    found = (queued, attempt in cluster.attempts, request.outcome is not None)
    expected = (
        request.phase is RequestPhase.QUEUED,
        request.phase is RequestPhase.ACTIVE,
        request.phase is RequestPhase.DONE,
    )
    if found != expected:
        raise InvariantViolation("phase", request.id, f"{request.phase}: {found}")
    may_run_again = request.may_have_run and request.phase is not RequestPhase.DONE
    if may_run_again and not request.spec.idempotent and request.checkpoint is None:
        raise InvariantViolation("at most once", request.id, "it may run twice")


def check_planned_shape(cluster: ClusterState, key: str) -> None:
    """Check the workers of a planned shape, and that its claims fit in it."""
    planned = cluster.plan[key]
    if cluster.plan_outdated or not planned.workers:
        return
    if len(planned.workers) != planned.shape.members:
        raise InvariantViolation("plan", key, f"{len(planned.workers)} members")
    worker_capacities = index_of(cluster).worker_capacities
    unusable = [n for n in planned.workers if not is_usable(cluster, n)]
    if unusable:
        raise InvariantViolation("plan", key, f"planned on unusable workers {unusable}")
    units = {
        worker_capacities[n].unit[planned.shape.adjacency] for n in planned.workers
    }
    if len(units) > 1 and planned.shape.adjacency is not Adjacency.NONE:
        raise InvariantViolation("plan", key, f"{len(units)} units")
    remaining = {n: Quantity() for n in planned.workers}
    for name in planned.workers:
        remaining[name].add(planned.shape.per_member)
    for attempt_id in index_of(cluster).claims.get(key, ()):
        attempt = cluster.attempts[attempt_id]
        if attempt.phase is not AttemptPhase.STOPPING:
            _subtract_claim(remaining, attempt, _per_member(cluster, attempt_id))
    for hold in cluster.holds.values():
        if hold.guarantee == key:
            for name in hold.workers:
                remaining[name].add(hold.amount, -1)
    for name, left in remaining.items():
        if left.is_negative():
            raise InvariantViolation("claims", key, f"{name}: {left}")


def check_queues(cluster: ClusterState) -> None:
    """Check that queues, holds and reservations refer to queued requests."""
    queued = [i for queue in cluster.queues.values() for i in queue]
    for request_id in [*queued, *cluster.holds, *cluster.reservations]:
        request = cluster.requests.get(request_id)
        if request is None or request.phase is not RequestPhase.QUEUED:
            raise InvariantViolation("queue", request_id, "not queued")
    if len(dict.fromkeys(queued)) != len(queued):
        raise InvariantViolation("queue", "all", "a request is queued twice")


def check_quotas(cluster: ClusterState) -> None:
    """Check the quotas of workspaces.

    Workspaces with attempts from before the last configuration change are
    skipped, since their quotas may have been reduced.
    """
    since_ms = cluster.history[-1].at_ms
    for workspace in cluster.configuration.workspaces:
        usage = index_of(cluster).usage.get(workspace.name)
        if workspace.quota is None or usage is None:
            continue
        if any(cluster.attempts[i].placed_at_ms <= since_ms for i in usage.active):
            continue
        left = quantity_of(workspace.quota, usage.total.slots).minus(usage.total)
        if left.is_negative():
            raise InvariantViolation("quota", workspace.name, f"uses {usage.total}")


def check_quarantine(cluster: ClusterState) -> None:
    """Check that at most the configured fraction of workers is quarantined.

    Quarantines from before the last configuration change are not checked,
    since the limit may have been reduced.
    """
    quarantined = [
        h for h in cluster.health.values() if h.quarantined_at_ms is not None
    ]
    newest_ms = max((h.quarantined_at_ms or 0 for h in quarantined), default=0)
    share = cluster.configuration.limits.quarantine_share
    if newest_ms <= cluster.history[-1].at_ms:
        return
    if len(quarantined) > share * len(cluster.workers):
        raise InvariantViolation(
            "quarantine", "all", f"{len(quarantined)} workers quarantined"
        )


def check_index(cluster: ClusterState) -> None:
    """Check that the scheduling index equals one rebuilt from the state."""
    current = index_of(cluster)
    cluster.index = None
    rebuilt = index_of(cluster)
    cluster.index = current
    for field in (
        "worker_capacities",
        "buckets",
        "units",
        "capacity",
        "free",
        "ready_queues",
    ):
        old, new = getattr(current, field), getattr(rebuilt, field)
        if isinstance(old, dict):
            old = {key: value for key, value in old.items() if value}
            new = {key: value for key, value in new.items() if value}
        if old != new:
            raise InvariantViolation("index", field, f"maintained {old}, rebuilt {new}")
    for workspace, usage in current.usage.items():
        if usage.total.slots and usage != rebuilt.usage.get(workspace):
            raise InvariantViolation("index", workspace, f"usage {usage}")


def _check_planned_capacity(
    cluster: ClusterState, name: str, non_preemptible: Quantity
) -> None:
    worker = cluster.workers[name]
    if cluster.plan_outdated or worker.mode is not WorkerMode.ACTIVE:
        return
    planned = Quantity()
    for planned_shape in cluster.plan.values():
        count = planned_shape.workers.count(name)
        if count:
            planned.add(planned_shape.shape.per_member, count)
    if not planned.slots:
        return
    left = quantity_of(worker.info.capacity, worker.info.slots).minus(
        planned, non_preemptible
    )
    if left.is_negative():
        raise InvariantViolation(
            "guarantees", name, f"planned {planned}, not preemptible {non_preemptible}"
        )


def _subtract_claim(
    remaining: dict[str, Quantity], attempt: Attempt, amount: Resources
) -> None:
    for member in attempt.members:
        if member.phase in ENDED_MEMBER_PHASES:
            continue
        if member.worker not in remaining:
            raise InvariantViolation(
                "claims", str(attempt.id), "outside its planned capacity"
            )
        remaining[member.worker].add(amount, -1)


def _per_member(cluster: ClusterState, attempt_id: AttemptId) -> Resources:
    return cluster.requests[attempt_id.request_id].spec.shape.per_member


def _sample(table: Mapping[Key, object], sequence: int) -> list[Key]:
    if not table:
        return []
    start = sequence * SAMPLE_ROWS % len(table)
    return list(islice(table, start, start + SAMPLE_ROWS))
