"""Preemption of long borrowers, with a checkpoint, for short jobs."""

from collections.abc import Iterator
from itertools import islice

from crocuswell_core.cluster.attempts import stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState, Reservation
from crocuswell_core.cluster.index_updates import (
    PREEMPTION_GRACE_MS,
    index_of,
    requirements_of,
)
from crocuswell_core.cluster.records import Attempt, AttemptPhase, Request, StopReason
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.runtime.effects import ClusterEffect, Count

# Longest expected run time in ms of a job for which others are preempted.
SHORT_JOB_RUN_MS = 90_000

# Time in ms that a short job waits before others are preempted for it. It is
# divided by the preset's completion weight.
SHORT_JOB_WAIT_MS = 10_000

# Minimum ratios of the preempted job's remaining time to the run time of the
# short job, and of its elapsed time to its checkpoint time. They bound the
# share of time that is spent on checkpoints.
MIN_REMAINING_TO_RUN_RATIO = 4
MIN_ELAPSED_TO_CHECKPOINT_RATIO = 20

# Minimum time in ms between two checks of the queues, and maximum number of
# attempts examined for each short job. They bound the cost in a large fleet.
CHECK_INTERVAL_MS = 200
ATTEMPT_SEARCH_LIMIT = 96

# Number of reservations beyond which no more jobs are preempted, and maximum
# number of requests examined in each ready queue.
PENDING_START_LIMIT = 8


def preempt_for_short_jobs(cluster: ClusterState) -> list[ClusterEffect]:
    """Preempt long borrowers for short jobs that have waited too long."""
    weight = cluster.configuration.preset().completion_weight
    if weight <= 0 or not cluster.configuration.preset().borrowing:
        return []
    if cluster.now_ms - cluster.short_jobs_checked_at_ms < CHECK_INTERVAL_MS:
        return []
    cluster.short_jobs_checked_at_ms = cluster.now_ms
    wait_limit_ms = SHORT_JOB_WAIT_MS / weight
    latest_start_ms = cluster.now_ms + wait_limit_ms
    effects: list[ClusterEffect] = []
    index = index_of(cluster)
    for workspace in sorted(index.ready_queues):
        for ready_queue in sorted(
            index.ready_queues[workspace].values(), key=lambda x: x.entries[0]
        ):
            head = cluster.requests[ready_queue.entries[0][1]]
            if expected_run_ms(cluster, head) > SHORT_JOB_RUN_MS:
                continue
            for accepted_ms, request_id in ready_queue.entries[:PENDING_START_LIMIT]:
                if cluster.now_ms - accepted_ms < wait_limit_ms:
                    break
                if len(cluster.reservations) > PENDING_START_LIMIT:
                    return effects
                request = cluster.requests[request_id]
                reservation = cluster.reservations.get(request_id)
                if reservation is None or reservation.start_ms > latest_start_ms:
                    effects += _preempt_for(cluster, request)
    return effects


def _preempt_for(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    run_ms = expected_run_ms(cluster, request)
    if run_ms > SHORT_JOB_RUN_MS or request.spec.shape.members > 1:
        return []
    if not within_quota(cluster, request, guaranteed=False):
        return []
    victim = _find_victim(cluster, request, run_ms)
    if victim is None:
        return []
    checkpoint_ms = _checkpoint_ms(cluster, victim)
    cluster.reservations[request.id] = Reservation(
        request.spec.shape.per_member,
        (victim.members[0].worker,),
        cluster.now_ms + checkpoint_ms,
    )
    stop_effects = stop_attempt(cluster, victim, StopReason.PREEMPTED)
    return [Count("yields_total"), *stop_effects]


def _find_victim(
    cluster: ClusterState, request: Request, run_ms: int
) -> Attempt | None:
    """Return the cheapest borrower whose stop frees enough resources.

    Returns None if there is none among the attempts examined.
    """
    requirements = requirements_of(request.spec)
    candidates = [
        attempt
        for attempt in _sample_attempts(cluster)
        if _is_preemption_candidate(cluster, attempt, run_ms)
        and _frees_enough(cluster, attempt, request, requirements.preemptible)
    ]
    return min(candidates, key=lambda a: _preemption_cost(cluster, a), default=None)


def _sample_attempts(cluster: ClusterState) -> Iterator[Attempt]:
    """Return a window of the attempts, whose position changes with time."""
    count = len(cluster.attempts)
    start = (
        0
        if count <= ATTEMPT_SEARCH_LIMIT
        else cluster.now_ms % (count - ATTEMPT_SEARCH_LIMIT)
    )
    return islice(cluster.attempts.values(), start, start + ATTEMPT_SEARCH_LIMIT)


def _is_preemption_candidate(
    cluster: ClusterState, attempt: Attempt, run_ms: int
) -> bool:
    if attempt.guarantee is not None or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if len(attempt.members) > 1 or attempt.started_at_ms is None:
        return False
    checkpoint_ms = _checkpoint_ms(cluster, attempt)
    return (
        checkpoint_ms <= PREEMPTION_GRACE_MS
        and attempt.expected_end_ms - cluster.now_ms
        >= MIN_REMAINING_TO_RUN_RATIO * run_ms
        and cluster.now_ms - attempt.started_at_ms
        >= MIN_ELAPSED_TO_CHECKPOINT_RATIO * checkpoint_ms
    )


def _frees_enough(
    cluster: ClusterState, attempt: Attempt, request: Request, preemptible: bool
) -> bool:
    worker_capacity = index_of(cluster).worker_capacities.get(attempt.members[0].worker)
    if worker_capacity is None or not worker_capacity.usable:
        return False
    amount = request.spec.shape.per_member
    available = worker_capacity.free.minus(worker_capacity.held)
    available.add(cluster.requests[attempt.id.request_id].spec.shape.per_member)
    if not available.count_fitting(amount):
        return False
    unplanned = worker_capacity.capacity.minus(
        worker_capacity.planned, worker_capacity.non_preemptible
    )
    return preemptible or unplanned.count_fitting(amount) > 0


def _preemption_cost(cluster: ClusterState, attempt: Attempt) -> tuple[int, int, str]:
    """Return the sort key of a victim: smallest, then longest remaining."""
    spec = cluster.requests[attempt.id.request_id].spec
    size = spec.shape.total.accelerators
    return (size, -attempt.expected_end_ms, attempt.id.request_id)


def _checkpoint_ms(cluster: ClusterState, attempt: Attempt) -> int:
    """Return a job's checkpoint time in ms.

    A job without checkpoints gets a time that rules out its preemption.
    """
    spec = cluster.requests[attempt.id.request_id].spec
    if spec.checkpoint_ms is None:
        return PREEMPTION_GRACE_MS + 1
    return spec.checkpoint_ms
