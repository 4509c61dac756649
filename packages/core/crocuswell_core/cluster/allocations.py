"""Allocation and release of worker capacity for members of attempts."""

from bisect import insort

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState, WorkerAllocation
from crocuswell_core.cluster.index_updates import remove_member
from crocuswell_core.cluster.records import (
    ENDED_MEMBER_PHASES,
    Attempt,
    AttemptId,
    Member,
    MemberPhase,
    WorkerInfo,
)
from crocuswell_core.cluster.resources import Resources


def new_allocation(info: WorkerInfo) -> WorkerAllocation:
    """Return the allocation record of an idle worker."""
    return WorkerAllocation(
        free=info.capacity,
        free_slots=info.slots,
        accelerators=list(range(info.capacity.accelerators)),
    )


def allocate_member(
    cluster: ClusterState,
    attempt_id: AttemptId,
    rank: int,
    worker: str,
    amount: Resources,
) -> Member:
    """Allocate capacity for one member; the caller checks that it fits."""
    allocation = cluster.allocations[worker]
    indices = tuple(allocation.accelerators[: amount.accelerators])
    del allocation.accelerators[: amount.accelerators]
    allocation.free = allocation.free - amount
    allocation.free_slots -= 1
    allocation.attempts[attempt_id] = allocation.attempts.get(attempt_id, 0) + 1
    return Member(rank, worker, cluster.workers[worker].incarnation, indices)


def release_member(cluster: ClusterState, attempt: Attempt, member: Member) -> None:
    """Release the capacity of a member that has ended."""
    cluster.needs_scheduling = True
    allocation = cluster.allocations.get(member.worker)
    if allocation is None or attempt.id not in allocation.attempts:
        return
    for index in member.accelerators:
        insort(allocation.accelerators, index)
    allocation.free = (
        allocation.free + cluster.requests[attempt.id.request_id].spec.shape.per_member
    )
    allocation.free_slots += 1
    allocation.attempts[attempt.id] -= 1
    if not allocation.attempts[attempt.id]:
        del allocation.attempts[attempt.id]


def set_member_phase(
    cluster: ClusterState, attempt: Attempt, rank: int, phase: MemberPhase
) -> Attempt:
    """Set a member's phase; on an end phase, release its capacity.

    Does nothing if the member has already ended.
    """
    member = attempt.members[rank]
    if member.phase in ENDED_MEMBER_PHASES:
        return attempt
    changed = attrs.evolve(member, phase=phase)
    members = (*attempt.members[:rank], changed, *attempt.members[rank + 1 :])
    attempt = attrs.evolve(attempt, members=members)
    cluster.attempts[attempt.id] = attempt
    if phase in ENDED_MEMBER_PHASES:
        release_member(cluster, attempt, member)
        remove_member(cluster, attempt, member)
    return attempt


def members_on(attempt: Attempt, worker: str) -> tuple[Member, ...]:
    """Return the active members of an attempt on one worker."""
    return tuple(
        m
        for m in attempt.members
        if m.worker == worker and m.phase not in ENDED_MEMBER_PHASES
    )
