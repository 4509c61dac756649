"""The scheduling pass that follows each applied command."""

from functools import singledispatch

import attrs

from crocuswell_core.attempts import place_request
from crocuswell_core.effects import ClusterEffect
from crocuswell_core.fairness import dominant_share, lane_priority
from crocuswell_core.forecast import expected_run_ms
from crocuswell_core.guarantees import (
    serve_claims,
    update_plan,
    within_quota,
)
from crocuswell_core.index import index_of, need_of
from crocuswell_core.placement import can_ever_borrow, find_offers
from crocuswell_core.policies import Policy, StandingPolicy
from crocuswell_core.records import Request, RequestPhase
from crocuswell_core.reservations import (
    drop_stale,
    reserve_start,
    respect_reservations,
)
from crocuswell_core.scoring import choose_best_fit, choose_by_shapes
from crocuswell_core.spaces import Lane
from crocuswell_core.state import ClusterState

# Most lanes that one pass tries; the rest follow with the next event.
LANES_PER_PASS = 64


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
    if policy.guarantees:
        update_plan(cluster)
    if not cluster.configuration.preset().placement:
        return []
    effects = serve_claims(cluster) if policy.guarantees else []
    if cluster.configuration.preset().borrowing or not policy.guarantees:
        effects += _start_borrowers(policy, cluster)
    return effects


def _start_borrowers(
    policy: StandingPolicy, cluster: ClusterState
) -> list[ClusterEffect]:
    """Start work above the guarantees, the smallest dominant share first."""
    drop_stale(cluster)
    effects: list[ClusterEffect] = []
    waiting = _waiting_lanes(cluster)
    tries = 0
    while waiting and tries < LANES_PER_PASS:
        workspace = min(waiting, key=lambda name: (dominant_share(cluster, name), name))
        lanes = waiting[workspace]
        lane = min(lanes, key=lambda lane: lane_priority(cluster, lane))
        request = cluster.requests[lane.order[0][1]]
        workers = _find_workers(policy, cluster, request)
        if workers:
            effects += place_request(cluster, request, workers)
        else:
            tries += 1
            _reserve(policy, cluster, request)
        if not workers or not lane.order:
            lanes.remove(lane)
        if not lanes:
            del waiting[workspace]
    return effects


def _waiting_lanes(cluster: ClusterState) -> dict[str, list[Lane]]:
    return {
        workspace: list(lanes.values())
        for workspace, lanes in index_of(cluster).lanes.items()
        if lanes
    }


def _find_workers(
    policy: StandingPolicy, cluster: ClusterState, request: Request
) -> tuple[str, ...]:
    """Return workers on which a borrower may start now, or nothing."""
    if _reserve_would_shrink(cluster, request):
        return ()
    offers = find_offers(cluster, need_of(request.spec))
    if not offers or not within_quota(cluster, request, guaranteed=False):
        return ()
    end_ms = cluster.now_ms + expected_run_ms(cluster, request)
    offers = respect_reservations(cluster, request, offers, end_ms)
    if not offers:
        return ()
    if policy.shape_scoring:
        return choose_by_shapes(cluster, request, offers, end_ms)
    return choose_best_fit(cluster, request, offers)


def _reserve_would_shrink(cluster: ClusterState, request: Request) -> bool:
    share = cluster.configuration.preset().reserve_share
    if share <= 0:
        return False
    index = index_of(cluster)
    wanted = request.spec.shape.total.accelerators
    return index.free.accelerators - wanted < share * index.capacity.accelerators


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
    if _reserve_would_shrink(cluster, request):
        return f"the preset {preset.name} keeps a share of accelerators idle"
    if not find_offers(cluster, need):
        return "free room for all members at once"
    if cluster.reservations and request.id not in cluster.reservations:
        return "the free room is reserved for work that waits longer"
    return "work of other workspaces with a smaller share goes first"
