"""Stops long borrowers with a checkpoint when short work waits."""

from collections.abc import Iterator
from itertools import islice

from crocuswell_core.cluster.attempts import stop_attempt
from crocuswell_core.cluster.cluster_state import ClusterState, Reservation
from crocuswell_core.cluster.index import RECLAIM_STOP_MS, index_of, need_of
from crocuswell_core.cluster.records import Attempt, AttemptPhase, Request, StopReason
from crocuswell_core.policy.forecast import expected_run_ms
from crocuswell_core.policy.quotas import within_quota
from crocuswell_core.runtime.effects import ClusterEffect, Count

# Longest expected run time in ms of work that others make way for.
SHORT_MS = 90_000

# Time in ms that short work waits before others make way, for a completion
# weight of 1; more weight makes it shorter.
PATIENCE_MS = 10_000

# The stopped job's expected rest must be this many times the run time of the
# short work, and it must have run this many times its checkpoint since it
# started: both bound the share of time that goes into checkpoints.
LEAST_REST_RATIO = 4
LEAST_RUN_RATIO = 20

# Least time in ms between two looks at what waits, and most attempts that one
# look considers; they bound the cost in a large fleet.
PAUSE_MS = 200
ATTEMPTS_TRIED = 96

# Most starts that are being made way for at once.
OPEN_LIMIT = 8


def make_way(cluster: ClusterState) -> list[ClusterEffect]:
    """Stop long borrowers for short work that waited too long."""
    weight = cluster.configuration.preset().completion_weight
    if weight <= 0 or not cluster.configuration.preset().borrowing:
        return []
    if cluster.now_ms - cluster.made_way_at_ms < PAUSE_MS:
        return []
    cluster.made_way_at_ms = cluster.now_ms
    patience_ms = PATIENCE_MS / weight
    soon_ms = cluster.now_ms + patience_ms
    effects: list[ClusterEffect] = []
    index = index_of(cluster)
    for workspace in sorted(index.lanes):
        for lane in sorted(index.lanes[workspace].values(), key=lambda x: x.order[0]):
            head = cluster.requests[lane.order[0][1]]
            if expected_run_ms(cluster, head) > SHORT_MS:
                continue
            for accepted_ms, request_id in lane.order[:OPEN_LIMIT]:
                if cluster.now_ms - accepted_ms < patience_ms:
                    break
                if len(cluster.reservations) > OPEN_LIMIT:
                    return effects
                request = cluster.requests[request_id]
                reserved = cluster.reservations.get(request_id)
                if reserved is None or reserved.start_ms > soon_ms:
                    effects += _make_way_for(cluster, request)
    return effects


def _make_way_for(cluster: ClusterState, request: Request) -> list[ClusterEffect]:
    run_ms = expected_run_ms(cluster, request)
    if run_ms > SHORT_MS or request.spec.shape.members > 1:
        return []
    if not within_quota(cluster, request, guaranteed=False):
        return []
    victim = _find_victim(cluster, request, run_ms)
    if victim is None:
        return []
    checkpoint_ms = _checkpoint_ms(cluster, victim)
    cluster.reservations[request.id] = Reservation(
        request.spec.shape.per_member,
        (victim.members[0].worker,),
        cluster.now_ms + checkpoint_ms,
    )
    stopped = stop_attempt(cluster, victim, StopReason.PREEMPTED)
    return [Count("yields_total"), *stopped]


def _find_victim(
    cluster: ClusterState, request: Request, run_ms: int
) -> Attempt | None:
    """Return the borrower whose stop costs least and makes enough room."""
    need = need_of(request.spec)
    candidates = [
        attempt
        for attempt in _some_attempts(cluster)
        if _may_yield(cluster, attempt, run_ms)
        and _makes_room(cluster, attempt, request, need.movable)
    ]
    return min(candidates, key=lambda a: _cost(cluster, a), default=None)


def _some_attempts(cluster: ClusterState) -> Iterator[Attempt]:
    """Return attempts from a start that moves on with time."""
    count = len(cluster.attempts)
    start = 0 if count <= ATTEMPTS_TRIED else cluster.now_ms % (count - ATTEMPTS_TRIED)
    return islice(cluster.attempts.values(), start, start + ATTEMPTS_TRIED)


def _may_yield(cluster: ClusterState, attempt: Attempt, run_ms: int) -> bool:
    if attempt.guarantee is not None or attempt.phase is not AttemptPhase.RUNNING:
        return False
    if len(attempt.members) > 1 or attempt.started_at_ms is None:
        return False
    checkpoint_ms = _checkpoint_ms(cluster, attempt)
    return (
        checkpoint_ms <= RECLAIM_STOP_MS
        and attempt.expected_end_ms - cluster.now_ms >= LEAST_REST_RATIO * run_ms
        and cluster.now_ms - attempt.started_at_ms >= LEAST_RUN_RATIO * checkpoint_ms
    )


def _makes_room(
    cluster: ClusterState, attempt: Attempt, request: Request, movable: bool
) -> bool:
    space = index_of(cluster).spaces.get(attempt.members[0].worker)
    if space is None or not space.usable:
        return False
    amount = request.spec.shape.per_member
    room = space.free.less(space.held)
    room.add(cluster.requests[attempt.id.request_id].spec.shape.per_member)
    if not room.members(amount):
        return False
    rest = space.capacity.less(space.planned, space.fixed)
    return movable or rest.members(amount) > 0


def _cost(cluster: ClusterState, attempt: Attempt) -> tuple[int, int, str]:
    """Order victims: least room stopped, then the longest rest."""
    spec = cluster.requests[attempt.id.request_id].spec
    size = spec.shape.total.accelerators
    return (size, -attempt.expected_end_ms, attempt.id.request_id)


def _checkpoint_ms(cluster: ClusterState, attempt: Attempt) -> int:
    spec = cluster.requests[attempt.id.request_id].spec
    if spec.checkpoint_ms is None:
        return RECLAIM_STOP_MS + 1
    return spec.checkpoint_ms
