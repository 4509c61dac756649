"""Order of borrowers: dominant resource fairness, then response ratio."""

from crocuswell_core.forecast import expected_run_ms
from crocuswell_core.index import index_of, workspace_of
from crocuswell_core.policies import StandingPolicy
from crocuswell_core.spaces import Lane, Quantity, Usage
from crocuswell_core.state import ClusterState


def dominant_share(cluster: ClusterState, workspace: str) -> float:
    """Return the largest share of any resource that a workspace borrows.

    The share is divided by the workspace's weight.
    """
    declared = workspace_of(cluster, workspace)
    if declared is None:
        return 0.0
    index = index_of(cluster)
    borrowed = index.usage.get(workspace, Usage()).borrowed
    return _largest_share(borrowed, index.capacity) / declared.weight


def lane_priority(cluster: ClusterState, lane: Lane) -> tuple[bool, float, int, str]:
    """Order the lanes of one workspace; the smallest goes first.

    The response ratio (time since acceptance over expected run time) lets
    short work pass long work, and long work rises as it waits.
    """
    accepted_ms, request_id = lane.order[0]
    policy = cluster.policy
    if isinstance(policy, StandingPolicy) and not policy.response_ratio:
        return (not lane.urgent, 0.0, accepted_ms, request_id)
    weight = cluster.configuration.preset().completion_weight
    run_ms = expected_run_ms(cluster, cluster.requests[request_id])
    ratio = 1 + weight * (cluster.now_ms - accepted_ms + 1) / max(run_ms, 1)
    return (not lane.urgent, -ratio, accepted_ms, request_id)


def _largest_share(used: Quantity, capacity: Quantity) -> float:
    shares = [
        part / whole
        for part, whole in (
            (used.accelerators, capacity.accelerators),
            (used.processors, capacity.processors),
            (used.memory_mb, capacity.memory_mb),
        )
        if whole > 0
    ]
    return max(shares, default=0.0)
