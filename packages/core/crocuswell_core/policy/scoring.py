"""Choice among workers by what a placement leaves behind."""

import math

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import index_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.cluster.spaces import SchedulingIndex
from crocuswell_core.policy.placement import Offer

# Most recent shapes of several accelerators that placement takes into account.
SHAPE_LIMIT = 8

# Share of a lost member in the cost of a lost whole shape: it tells apart
# placements that break no whole shape yet.
MEMBER_SHARE = 0.25

# Weight of the accelerators left over on the chosen workers. On tuning seeds
# 1.0 gave less fragmentation than 0.01 (0.147 and 0.166 for Bracketworks).
LEFTOVER_WEIGHT = 1.0

# Weight of the mismatch of remaining times with the work nearby, see
# `_mismatch`; an empty worker counts as a mismatch of this size.
MISMATCH_WEIGHT = 1.0
EMPTY_MISMATCH = 3.0

# Least remaining time in ms of work that runs longer than expected.
LEAST_REST_MS = 1_000


def note_shape(cluster: ClusterState, shape: Shape) -> None:
    """Remember a shape of several accelerators that was asked for."""
    if shape.total.accelerators < 2:
        return
    cluster.shapes.pop(shape, None)
    cluster.shapes[shape] = cluster.now_ms
    if len(cluster.shapes) > SHAPE_LIMIT:
        del cluster.shapes[next(iter(cluster.shapes))]


def choose_best_fit(
    cluster: ClusterState, request: Request, offers: list[Offer]
) -> tuple[str, ...]:
    """Return the workers with the fewest accelerators left over."""
    index = index_of(cluster)
    candidates = [_pack(index, offer, request.spec.shape.members) for offer in offers]
    amount = request.spec.shape.per_member
    return min(
        candidates, key=lambda workers: (_leftover(index, workers, amount), workers)
    )


def choose_by_shapes(
    cluster: ClusterState, shape: Shape, offers: list[Offer], end_ms: int
) -> tuple[str, ...]:
    """Return the workers that leave most room for the recent shapes."""
    index = index_of(cluster)
    members, amount = shape.members, shape.per_member
    candidates = dict.fromkeys(_pack(index, offer, members) for offer in offers)
    if len(candidates) == 1:
        return next(iter(candidates))
    weight = cluster.configuration.preset().fragmentation_weight
    shapes = [other for other in cluster.shapes if other != shape]

    def cost(workers: tuple[str, ...]) -> tuple[float, tuple[str, ...]]:
        loss = sum(_loss(index, workers, amount, other) for other in shapes)
        leftover = _leftover(index, workers, amount)
        mismatch = _mismatch(cluster, workers, end_ms)
        total = weight * loss + LEFTOVER_WEIGHT * leftover + MISMATCH_WEIGHT * mismatch
        return total, workers

    return min(candidates, key=cost)


def _pack(index: SchedulingIndex, offer: Offer, members: int) -> tuple[str, ...]:
    """Fill the tightest workers first."""
    order = sorted(
        offer.fits,
        key=lambda name: (index.spaces[name].free.accelerators, offer.fits[name], name),
    )
    workers: list[str] = []
    for name in order:
        workers += [name] * min(offer.fits[name], members - len(workers))
        if len(workers) == members:
            break
    return tuple(workers)


def _leftover(
    index: SchedulingIndex, workers: tuple[str, ...], amount: Resources
) -> int:
    names = dict.fromkeys(workers)
    free = sum(index.spaces[name].free.accelerators for name in names)
    return free - amount.accelerators * len(workers)


def _loss(
    index: SchedulingIndex, workers: tuple[str, ...], amount: Resources, shape: Shape
) -> float:
    """Return the accelerators that can no longer hold `shape`."""
    if not amount.accelerators:
        return 0.0
    per_member = shape.per_member
    lost_by_unit: dict[str, int] = {}
    for name in dict.fromkeys(workers):
        space = index.spaces[name]
        after = space.free.less()
        after.add(amount, -workers.count(name))
        lost = space.free.members(per_member) - after.members(per_member)
        unit = space.unit[shape.adjacency]
        lost_by_unit[unit] = lost_by_unit.get(unit, 0) + lost
    members = 0.0
    for unit, lost in lost_by_unit.items():
        members += MEMBER_SHARE * lost
        if lost and shape.adjacency is not Adjacency.NONE:
            room = sum(
                index.spaces[name].free.members(per_member)
                for name in index.units[shape.adjacency][unit]
            )
            whole = room // shape.members - (room - lost) // shape.members
            members += whole * shape.members
    return members * per_member.accelerators


def _mismatch(cluster: ClusterState, workers: tuple[str, ...], end_ms: int) -> float:
    """Return how far the ends of the jobs nearby are from a job's own end.

    The distance is that of the logarithms of the remaining times, so that
    short work gathers on some workers and long work on others.
    """
    rest = math.log(max(1, end_ms - cluster.now_ms))
    total = 0.0
    names = dict.fromkeys(workers)
    for name in names:
        ends = [
            cluster.attempts[i].expected_end_ms - cluster.now_ms
            for i in cluster.rooms[name].attempts
        ]
        if not ends:
            total += EMPTY_MISMATCH
            continue
        distances = [abs(rest - math.log(max(LEAST_REST_MS, end))) for end in ends]
        total += sum(distances) / len(distances)
    return total / len(names)
