"""The scheduling pass that runs after each applied command."""

import heapq
from functools import singledispatch

import attrs

from crocuswell_core.cluster.attempts import place_request
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.health import update_quarantine
from crocuswell_core.cluster.index_updates import index_of, requirements_of
from crocuswell_core.cluster.records import Request, RequestPhase
from crocuswell_core.cluster.scheduling_index import ReadyQueue
from crocuswell_core.policy.borrowing import (
    FailedSearches,
    find_workers,
    uses_idle_reserve,
)
from crocuswell_core.policy.consolidation import consolidate, restart_moved_jobs
from crocuswell_core.policy.fairness import dominant_share, ready_queue_sort_key
from crocuswell_core.policy.guarantees import schedule_claims, update_plan
from crocuswell_core.policy.placement import can_ever_borrow, find_offers
from crocuswell_core.policy.policies import DefaultPolicy, Policy
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.reservations import (
    replan_stale_reservations,
    reserve_earliest_start,
)
from crocuswell_core.policy.short_job_preemption import preempt_for_short_jobs
from crocuswell_core.runtime.effects import ClusterEffect

# Maximum number of searches per pass that may fail because all free resources
# are reserved. Bounds the cost of a pass.
FAILED_SEARCH_LIMIT = 12

# Maximum number of requests that are tried for backfill behind the blocked
# head of a ready queue.
BACKFILL_DEPTH = 8


def schedule(cluster: ClusterState) -> list[ClusterEffect]:
    """Start the requests that can start now.

    Does nothing if the state has not changed since the last pass.
    """
    if not cluster.needs_scheduling:
        return []
    cluster.needs_scheduling = False
    return run_pass(cluster.policy, cluster)


@singledispatch
def run_pass(policy: Policy, cluster: ClusterState) -> list[ClusterEffect]:
    """Run one scheduling pass under the given policy."""
    raise NotImplementedError(type(policy).__name__)


@run_pass.register
def _(policy: DefaultPolicy, cluster: ClusterState) -> list[ClusterEffect]:
    placement = cluster.configuration.preset().placement
    effects = update_quarantine(cluster) if placement else []
    if policy.guarantees:
        update_plan(cluster)
    if not placement:
        return effects
    if policy.guarantees:
        effects += schedule_claims(cluster)
    effects += restart_moved_jobs(cluster)
    if cluster.configuration.preset().borrowing:
        effects += _schedule_borrowers(policy, cluster)
    if policy.short_job_preemption:
        effects += preempt_for_short_jobs(cluster)
    if policy.consolidation:
        effects += consolidate(cluster)
    return effects


def _schedule_borrowers(
    policy: DefaultPolicy, cluster: ClusterState
) -> list[ClusterEffect]:
    """Start borrowers, by ascending dominant share of their workspaces.

    A borrower is an attempt that uses resources beyond the guarantees of its
    workspace.
    """
    replan_stale_reservations(cluster)
    effects: list[ClusterEffect] = []
    waiting = _waiting_ready_queues(policy, cluster)
    shares = [(dominant_share(cluster, name), name) for name in waiting]
    heapq.heapify(shares)
    failed_searches = FailedSearches()
    while shares and failed_searches.count < FAILED_SEARCH_LIMIT:
        _, workspace = shares[0]
        ready_queues = waiting[workspace]
        ready_queue = _next_ready_queue(policy, cluster, ready_queues)
        if ready_queue is None:
            heapq.heappop(shares)
            continue
        request = cluster.requests[ready_queue.entries[0][1]]
        workers = find_workers(cluster, request, failed_searches)
        if workers:
            effects += place_request(cluster, request, workers)
            share = dominant_share(cluster, workspace)
            heapq.heapreplace(shares, (share, workspace))
        else:
            _try_reserve(policy, cluster, request)
            effects += _backfill(cluster, ready_queue, failed_searches)
        if not workers or not ready_queue.entries:
            ready_queues.remove(ready_queue)
    return effects


def _backfill(
    cluster: ClusterState, ready_queue: ReadyQueue, failed_searches: FailedSearches
) -> list[ClusterEffect]:
    """Start requests behind a ready queue's blocked head.

    `find_workers` admits only those that delay no reserved start.
    """
    effects: list[ClusterEffect] = []
    for _, request_id in ready_queue.entries[1 : 1 + BACKFILL_DEPTH]:
        request = cluster.requests[request_id]
        workers = find_workers(cluster, request, failed_searches)
        if workers:
            effects += place_request(cluster, request, workers)
    return effects


def _waiting_ready_queues(
    policy: DefaultPolicy, cluster: ClusterState
) -> dict[str, list[ReadyQueue]]:
    return {
        workspace: ready_queues
        for workspace, all_ready_queues in index_of(cluster).ready_queues.items()
        if (ready_queues := [*all_ready_queues.values()])
        and any(
            _can_progress(policy, cluster, ready_queue) for ready_queue in ready_queues
        )
    }


def _next_ready_queue(
    policy: DefaultPolicy, cluster: ClusterState, ready_queues: list[ReadyQueue]
) -> ReadyQueue | None:
    ready_queues[:] = [
        ready_queue
        for ready_queue in ready_queues
        if _can_progress(policy, cluster, ready_queue)
    ]
    return min(ready_queues, key=ready_queue_sort_key, default=None)


def _can_progress(
    policy: DefaultPolicy, cluster: ClusterState, ready_queue: ReadyQueue
) -> bool:
    """Return whether a ready queue's head could start or get a reservation."""
    index = index_of(cluster)
    if index.failed_search_positions.get(ready_queue.requirements) != len(
        index.freed_workers
    ):
        return True
    return len(cluster.reservations) < policy.max_reservations


def _try_reserve(
    policy: DefaultPolicy, cluster: ClusterState, request: Request
) -> None:
    """Reserve a start for a blocked request unless the limit is reached."""
    if request.id in cluster.reservations:
        return
    if len(cluster.reservations) >= policy.max_reservations:
        return
    if within_quota(cluster, request, guaranteed=False):
        reserve_earliest_start(cluster, request)


@attrs.frozen
class WaitExplanation:
    """Why a request has not started.

    Attributes
    ----------
    reason : str
        One sentence; empty if the request is not queued.
    expected_start_ms : int or None
        Cluster time in ms at which the request may start, if known.
    """

    reason: str = ""
    expected_start_ms: int | None = None


def explain_waiting(cluster: ClusterState, request: Request) -> WaitExplanation:
    """Return why a request is queued and, if known, when it can start."""
    if request.phase is not RequestPhase.QUEUED:
        return WaitExplanation()
    if request.not_before_ms:
        return WaitExplanation("back-off after a failed attempt", request.not_before_ms)
    preset = cluster.configuration.preset()
    if not preset.placement:
        return WaitExplanation(f"the preset {preset.name} places no new work")
    if not cluster.workers:
        return WaitExplanation("no worker has announced itself")
    if request.id in cluster.holds:
        return WaitExplanation(
            "borrowers are leaving its guaranteed room", cluster.now_ms
        )
    reservation = cluster.reservations.get(request.id)
    expected = reservation.start_ms if reservation else None
    return WaitExplanation(_blocking_reason(cluster, request), expected)


def _blocking_reason(cluster: ClusterState, request: Request) -> str:
    preset = cluster.configuration.preset()
    if not within_quota(cluster, request, guaranteed=False):
        return "the quota of its workspace is used up"
    if not preset.borrowing:
        return f"the preset {preset.name} starts work inside guarantees only"
    requirements = requirements_of(request.spec)
    if not can_ever_borrow(cluster, requirements):
        return (
            "it cannot be moved in time, and all room that would hold it is "
            "planned for guarantees"
        )
    if uses_idle_reserve(cluster, request):
        return f"the preset {preset.name} keeps a share of accelerators idle"
    if not find_offers(cluster, requirements):
        evacuated = ", ".join(cluster.evacuations)
        note = f"; evacuated: {evacuated}" if evacuated else ""
        return f"free room for all members at once{note}"
    if cluster.reservations and request.id not in cluster.reservations:
        return "the free room is reserved for work that waits longer"
    return "work of other workspaces with a smaller share goes first"
