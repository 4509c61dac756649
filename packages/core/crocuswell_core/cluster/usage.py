"""Comparison of the usage that workers report with their leases."""

from crocuswell_core.agent.agent_messages import TaskUsage
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.records import ENDED_MEMBER_PHASES
from crocuswell_core.runtime.effects import Count, Effect, Label


def check_usage(
    cluster: ClusterState, worker: str, usage: tuple[TaskUsage, ...]
) -> list[Effect]:
    """Count reported usage that contradicts the lease of its task.

    Reports lag behind, so they may still contain a task that ended
    recently. That is counted separately from a task that exceeds its
    allocation.
    """
    effects: list[Effect] = []
    for item in usage:
        kind = _contradiction(cluster, worker, item)
        if kind:
            labels = (Label("kind", kind),)
            effects.append(Count("usage_contradictions_total", labels=labels))
    return effects


def _contradiction(cluster: ClusterState, worker: str, item: TaskUsage) -> str:
    attempt = cluster.attempts.get(item.attempt)
    if attempt is None or not 0 <= item.rank < len(attempt.members):
        return "no_lease"
    member = attempt.members[item.rank]
    if member.worker != worker or member.phase in ENDED_MEMBER_PHASES:
        return "no_lease"
    spec = cluster.requests[item.attempt.request_id].spec
    return "" if item.used.fits_in(spec.shape.per_member) else "above_lease"
