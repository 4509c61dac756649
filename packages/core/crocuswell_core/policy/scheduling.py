"""The scheduling pass that follows each applied command."""

import heapq
from functools import singledispatch

import attrs

from crocuswell_core.cluster.attempts import place_request
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.health import review_workers
from crocuswell_core.cluster.index import index_of, need_of
from crocuswell_core.cluster.records import Request, RequestPhase
from crocuswell_core.cluster.spaces import Lane
from crocuswell_core.policy.borrowing import Tries, find_workers, reserve_would_shrink
from crocuswell_core.policy.consolidation import consolidate, resume_moved
from crocuswell_core.policy.fairness import dominant_share, lane_order
from crocuswell_core.policy.guarantees import serve_claims, update_plan
from crocuswell_core.policy.placement import can_ever_borrow, find_offers
from crocuswell_core.policy.policies import Policy, StandingPolicy
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.policy.reservations import (
    drop_stale,
    reserve_start,
)
from crocuswell_core.policy.short_work import make_way
from crocuswell_core.runtime.effects import ClusterEffect

# Most searches for room that may fail in one pass although room is free; it
# bounds the cost of a pass when the free room is reserved.
TRIES_PER_PASS = 12

# Most requests behind a blocked one of the same need that are tried.
BACKFILL_DEPTH = 8


def schedule(cluster: ClusterState) -> list[ClusterEffect]:
    """Place what can start now; does nothing if nothing changed."""
    if not cluster.needs_scheduling:
        return []
    cluster.needs_scheduling = False
    return run_pass(cluster.policy, cluster)


@singledispatch
def run_pass(policy: Policy, cluster: ClusterState) -> list[ClusterEffect]:
    """Choose what starts now and where, by a policy."""
    raise NotImplementedError(type(policy).__name__)


@run_pass.register
def _(policy: StandingPolicy, cluster: ClusterState) -> list[ClusterEffect]:
    placement = cluster.configuration.preset().placement
    effects = review_workers(cluster) if placement else []
    if policy.guarantees:
        update_plan(cluster)
    if not placement:
        return effects
    if policy.guarantees:
        effects += serve_claims(cluster)
    effects += resume_moved(cluster)
    if cluster.configuration.preset().borrowing:
        effects += _start_borrowers(policy, cluster)
    if policy.short_first:
        effects += make_way(cluster)
    if policy.consolidation:
        effects += consolidate(cluster)
    return effects


def _start_borrowers(
    policy: StandingPolicy, cluster: ClusterState
) -> list[ClusterEffect]:
    """Start work above the guarantees, the smallest dominant share first."""
    drop_stale(cluster)
    effects: list[ClusterEffect] = []
    waiting = _waiting_lanes(policy, cluster)
    shares = [(dominant_share(cluster, name), name) for name in waiting]
    heapq.heapify(shares)
    tries = Tries()
    while shares and tries.failed < TRIES_PER_PASS:
        _, workspace = shares[0]
        lanes = waiting[workspace]
        lane = _next_lane(policy, cluster, lanes)
        if lane is None:
            heapq.heappop(shares)
            continue
        request = cluster.requests[lane.order[0][1]]
        workers = find_workers(cluster, request, tries)
        if workers:
            effects += place_request(cluster, request, workers)
            share = dominant_share(cluster, workspace)
            heapq.heapreplace(shares, (share, workspace))
        else:
            _reserve(policy, cluster, request)
            effects += _backfill(cluster, lane, tries)
        if not workers or not lane.order:
            lanes.remove(lane)
    return effects


def _backfill(cluster: ClusterState, lane: Lane, tries: Tries) -> list[ClusterEffect]:
    """Start shorter work of a lane whose head would delay a reserved start."""
    effects: list[ClusterEffect] = []
    for _, request_id in lane.order[1 : 1 + BACKFILL_DEPTH]:
        request = cluster.requests[request_id]
        workers = find_workers(cluster, request, tries)
        if workers:
            effects += place_request(cluster, request, workers)
    return effects


def _waiting_lanes(
    policy: StandingPolicy, cluster: ClusterState
) -> dict[str, list[Lane]]:
    return {
        workspace: lanes
        for workspace, all_lanes in index_of(cluster).lanes.items()
        if (lanes := [*all_lanes.values()])
        and any(_is_worth_trying(policy, cluster, lane) for lane in lanes)
    }


def _next_lane(
    policy: StandingPolicy, cluster: ClusterState, lanes: list[Lane]
) -> Lane | None:
    lanes[:] = [lane for lane in lanes if _is_worth_trying(policy, cluster, lane)]
    return min(lanes, key=lane_order, default=None)


def _is_worth_trying(policy: StandingPolicy, cluster: ClusterState, lane: Lane) -> bool:
    """Tell whether a lane's head may start, or may get a reserved start."""
    index = index_of(cluster)
    if index.blocked.get(lane.need) != len(index.opened):
        return True
    return len(cluster.reservations) < policy.reservations


def _reserve(policy: StandingPolicy, cluster: ClusterState, request: Request) -> None:
    """Give a blocked request a reserved start while there are any to give."""
    if request.id in cluster.reservations:
        return
    if len(cluster.reservations) >= policy.reservations:
        return
    if within_quota(cluster, request, guaranteed=False):
        reserve_start(cluster, request)


@attrs.frozen
class Waiting:
    """Why a request waits.

    Attributes
    ----------
    reason : str
        One sentence; empty if it does not wait.
    expected_start_ms : int or None
        Cluster time in ms of its reserved start.
    """

    reason: str = ""
    expected_start_ms: int | None = None


def explain_waiting(cluster: ClusterState, request: Request) -> Waiting:
    """Tell why a request waits and when it can start."""
    if request.phase is not RequestPhase.QUEUED:
        return Waiting()
    if request.not_before_ms:
        return Waiting("back-off after a failed attempt", request.not_before_ms)
    preset = cluster.configuration.preset()
    if not preset.placement:
        return Waiting(f"the preset {preset.name} places no new work")
    if not cluster.workers:
        return Waiting("no worker has announced itself")
    if request.id in cluster.holds:
        return Waiting("borrowers are leaving its guaranteed room", cluster.now_ms)
    reservation = cluster.reservations.get(request.id)
    expected = reservation.start_ms if reservation else None
    return Waiting(_blocking_reason(cluster, request), expected)


def _blocking_reason(cluster: ClusterState, request: Request) -> str:
    preset = cluster.configuration.preset()
    if not within_quota(cluster, request, guaranteed=False):
        return "the quota of its workspace is used up"
    if not preset.borrowing:
        return f"the preset {preset.name} starts work inside guarantees only"
    need = need_of(request.spec)
    if not can_ever_borrow(cluster, need):
        return (
            "it cannot be moved in time, and all room that would hold it is "
            "planned for guarantees"
        )
    if reserve_would_shrink(cluster, request):
        return f"the preset {preset.name} keeps a share of accelerators idle"
    if not find_offers(cluster, need):
        return "free room for all members at once"
    if cluster.reservations and request.id not in cluster.reservations:
        return "the free room is reserved for work that waits longer"
    return "work of other workspaces with a smaller share goes first"
