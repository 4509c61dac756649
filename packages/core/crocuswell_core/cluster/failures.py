"""Attribution of failures to workers or to jobs."""

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState, WorkerHealth
from crocuswell_core.cluster.records import Attempt, MemberPhase, Request

# Weight of the earlier counts of a worker after each job that ends on it; the
# effective window is ten jobs.
DECAY_FACTOR = 0.9

# Decayed count of failures below which the record of a worker is dropped.
NEGLIGIBLE_FAILURES = 0.05


def record_failure(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Count failed members against their workers, unless the job is at fault.

    A job that has already failed on another worker is the more likely
    cause: the failure is not counted, and the earlier one is subtracted
    from its worker.
    """
    failed = dict.fromkeys(
        m.worker for m in attempt.members if m.phase is MemberPhase.FAILED
    )
    earlier = [name for name in dict.fromkeys(request.failed_on) if name not in failed]
    if earlier and not failed.keys() & set(request.failed_on):
        for name in earlier if len(request.failed_on) == 1 else ():
            _adjust_failures(cluster, name, -1.0)
        return
    for name in failed:
        if name not in request.failed_on:
            _add_counts(cluster, name, 1.0, 0.0)


def record_success(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Count a success for the workers of an attempt that have a record.

    A job that had failed on several workers was not the cause, so its
    failures that were not counted are added to those workers.
    """
    if len(request.failed_on) > 1:
        for name in dict.fromkeys(request.failed_on):
            _adjust_failures(cluster, name, 1.0)
    for name in dict.fromkeys(m.worker for m in attempt.members):
        if name in cluster.health:
            _add_counts(cluster, name, 0.0, 1.0)


def _add_counts(
    cluster: ClusterState, name: str, failures: float, successes: float
) -> None:
    window = 1 / (1 - DECAY_FACTOR)
    health = cluster.health.get(name) or WorkerHealth(successes=window / 4)
    health = attrs.evolve(
        health,
        failures=health.failures * DECAY_FACTOR + failures,
        successes=health.successes * DECAY_FACTOR + successes,
    )
    cluster.health[name] = health
    _discard_if_healthy(cluster, name)


def _adjust_failures(cluster: ClusterState, name: str, failures: float) -> None:
    health = cluster.health.get(name)
    if health is None:
        return
    remaining = max(0.0, health.failures + failures)
    cluster.health[name] = attrs.evolve(health, failures=remaining)
    _discard_if_healthy(cluster, name)


def _discard_if_healthy(cluster: ClusterState, name: str) -> None:
    health = cluster.health[name]
    if health.quarantined_at_ms is None and health.failures < NEGLIGIBLE_FAILURES:
        del cluster.health[name]
