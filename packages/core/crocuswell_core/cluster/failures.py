"""Failures and successes compared across jobs and workers."""

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState, WorkerHealth
from crocuswell_core.cluster.records import Attempt, MemberPhase, Request

# Factor by which earlier ends on a worker count less with each new one; the
# window is then about ten jobs.
DECAY = 0.9

# Failures below this count are forgotten.
NEGLIGIBLE_FAILURES = 0.05


def note_failure(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Count failed members against their workers, or against the job.

    A job that already failed on another worker is the likelier cause, so its
    earlier failures are taken back from the workers.
    """
    failed = dict.fromkeys(
        m.worker for m in attempt.members if m.phase is MemberPhase.FAILED
    )
    earlier = [name for name in dict.fromkeys(request.failed_on) if name not in failed]
    if earlier and not failed.keys() & set(request.failed_on):
        for name in earlier if len(request.failed_on) == 1 else ():
            _shift(cluster, name, -1.0)
        return
    for name in failed:
        if name not in request.failed_on:
            _count(cluster, name, 1.0, 0.0)


def note_success(cluster: ClusterState, request: Request, attempt: Attempt) -> None:
    """Count a success for the workers, and against those where it failed."""
    if len(request.failed_on) > 1:
        for name in dict.fromkeys(request.failed_on):
            _shift(cluster, name, 1.0)
    for name in dict.fromkeys(m.worker for m in attempt.members):
        if name in cluster.health:
            _count(cluster, name, 0.0, 1.0)


def _count(cluster: ClusterState, name: str, failures: float, successes: float) -> None:
    window = 1 / (1 - DECAY)
    health = cluster.health.get(name) or WorkerHealth(successes=window / 4)
    health = attrs.evolve(
        health,
        failures=health.failures * DECAY + failures,
        successes=health.successes * DECAY + successes,
    )
    cluster.health[name] = health
    _forget_if_well(cluster, name)


def _shift(cluster: ClusterState, name: str, failures: float) -> None:
    health = cluster.health.get(name)
    if health is None:
        return
    rest = max(0.0, health.failures + failures)
    cluster.health[name] = attrs.evolve(health, failures=rest)
    _forget_if_well(cluster, name)


def _forget_if_well(cluster: ClusterState, name: str) -> None:
    health = cluster.health[name]
    if health.quarantined_at_ms is None and health.failures < NEGLIGIBLE_FAILURES:
        del cluster.health[name]
