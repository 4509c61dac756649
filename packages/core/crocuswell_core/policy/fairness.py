"""Order of borrowers by dominant resource fairness, then by age."""

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of, workspace_of
from crocuswell_core.cluster.scheduling_index import Quantity, ReadyQueue, Usage


def dominant_share(cluster: ClusterState, workspace: str) -> float:
    """Return the weighted dominant share of a workspace.

    This is its largest share of any resource, counting only what it uses
    beyond its guarantees, divided by its weight.
    """
    declared = workspace_of(cluster, workspace)
    if declared is None:
        return 0.0
    index = index_of(cluster)
    borrowed = index.usage.get(workspace, Usage()).borrowed
    return _largest_share(borrowed, index.capacity) / declared.weight


def ready_queue_sort_key(ready_queue: ReadyQueue) -> tuple[bool, int, str]:
    """Return the sort key of a ready queue: urgent, then the oldest head."""
    return (not ready_queue.urgent, *ready_queue.entries[0])


def _largest_share(used: Quantity, capacity: Quantity) -> float:
    shares = [
        used_amount / capacity_amount
        for used_amount, capacity_amount in (
            (used.accelerators, capacity.accelerators),
            (used.processors, capacity.processors),
            (used.memory_mb, capacity.memory_mb),
        )
        if capacity_amount > 0
    ]
    return max(shares, default=0.0)
