"""Queue of actions due at a cluster time: retries, deadlines, expiry."""

import heapq
from collections.abc import Iterator

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.due import Due, DueItem
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Effect, StartTimer
from crocuswell_core.runtime.timers import ClusterTimer


def add_due(cluster: ClusterState, at_ms: int, due: Due) -> None:
    """Schedule `due` for cluster time `at_ms`."""
    cluster.due_sequence += 1
    heapq.heappush(cluster.due_queue, DueItem(at_ms, cluster.due_sequence, due))


def next_due_ms(cluster: ClusterState) -> int | None:
    """Return the cluster time in ms of the earliest item, or None."""
    return cluster.due_queue[0].at_ms if cluster.due_queue else None


def pop_due(cluster: ClusterState) -> Iterator[Due]:
    """Remove and yield every item that is due, in order."""
    while cluster.due_queue and cluster.due_queue[0].at_ms <= cluster.now_ms:
        yield heapq.heappop(cluster.due_queue).due


def start_cluster_timer(state: EntryState) -> list[Effect]:
    """Start the leader's timer for the earliest item.

    Does nothing if a timer for that time or an earlier one is running.
    """
    due_ms = next_due_ms(state.cluster)
    if state.consensus.role is not Role.LEADER or due_ms is None:
        return []
    if state.cluster_timer_at_ms is not None and state.cluster_timer_at_ms <= due_ms:
        return []
    state.cluster_timer_at_ms = due_ms
    return [StartTimer(ClusterTimer(), max(0, due_ms - state.wall_ms))]
