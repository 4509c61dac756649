"""Order of borrowers: dominant resource fairness, then age."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import index_of, workspace_of
from crocuswell_core.cluster.spaces import Lane, Quantity, Usage


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


def lane_order(lane: Lane) -> tuple[bool, int, str]:
    """Order the lanes of one workspace: urgent first, then the oldest head."""
    return (not lane.urgent, *lane.order[0])


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
