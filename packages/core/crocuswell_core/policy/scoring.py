"""Choice among candidate workers by the fragmentation that results."""

import math

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of
from crocuswell_core.cluster.records import Request
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape
from crocuswell_core.cluster.scheduling_index import SchedulingIndex
from crocuswell_core.policy.placement import Offer

# Maximum number of recently requested shapes that placement keeps capacity
# for.
RECENT_SHAPE_LIMIT = 8

# Cost of capacity lost for a single member; the loss of a whole shape costs 1
# for each of its members. It ranks placements that do not lose a whole shape.
LOST_MEMBER_WEIGHT = 0.25

# Weight of the accelerators left free on the chosen workers. 1.0 instead of
# 0.01 lowers the fragmentation in the Bracketworks benchmark from 0.166 to
# 0.147.
LEFTOVER_WEIGHT = 1.0

# Weight of the difference in remaining times to the attempts on the same
# workers, see `_remaining_time_mismatch`.
MISMATCH_WEIGHT = 1.0

# Mismatch assumed for a worker without attempts.
EMPTY_MISMATCH = 3.0

# Lower bound in ms of the remaining time of an attempt, which may be overdue.
MIN_REMAINING_MS = 1_000


def record_shape(cluster: ClusterState, shape: Shape) -> None:
    """Record a requested shape with more than one accelerator.

    Only the `RECENT_SHAPE_LIMIT` newest shapes are kept.
    """
    if shape.total.accelerators < 2:
        return
    cluster.shapes.pop(shape, None)
    cluster.shapes[shape] = cluster.now_ms
    if len(cluster.shapes) > RECENT_SHAPE_LIMIT:
        del cluster.shapes[next(iter(cluster.shapes))]


def choose_best_fit(
    cluster: ClusterState, request: Request, offers: list[Offer]
) -> tuple[str, ...]:
    """Return the workers with the fewest accelerators left free."""
    index = index_of(cluster)
    candidates = [_pack(index, offer, request.spec.shape.members) for offer in offers]
    amount = request.spec.shape.per_member
    return min(
        candidates,
        key=lambda workers: (_leftover_accelerators(index, workers, amount), workers),
    )


def choose_by_shapes(
    cluster: ClusterState, shape: Shape, offers: list[Offer], end_ms: int
) -> tuple[str, ...]:
    """Return the workers whose use costs least.

    The cost counts lost capacity for recently requested shapes, accelerators
    left free on the workers, and the mismatch of remaining times.
    """
    index = index_of(cluster)
    members, amount = shape.members, shape.per_member
    candidates = dict.fromkeys(_pack(index, offer, members) for offer in offers)
    if len(candidates) == 1:
        return next(iter(candidates))
    weight = cluster.configuration.preset().fragmentation_weight
    shapes = [other for other in cluster.shapes if other != shape]

    def cost(workers: tuple[str, ...]) -> tuple[float, tuple[str, ...]]:
        loss = sum(
            _lost_accelerators(index, workers, amount, other) for other in shapes
        )
        leftover = _leftover_accelerators(index, workers, amount)
        mismatch = _remaining_time_mismatch(cluster, workers, end_ms)
        total = weight * loss + LEFTOVER_WEIGHT * leftover + MISMATCH_WEIGHT * mismatch
        return total, workers

    return min(candidates, key=cost)


def _pack(index: SchedulingIndex, offer: Offer, members: int) -> tuple[str, ...]:
    """Assign members to workers, fewest free accelerators first."""
    order = sorted(
        offer.fits,
        key=lambda name: (
            index.worker_capacities[name].free.accelerators,
            offer.fits[name],
            name,
        ),
    )
    workers: list[str] = []
    for name in order:
        workers += [name] * min(offer.fits[name], members - len(workers))
        if len(workers) == members:
            break
    return tuple(workers)


def _leftover_accelerators(
    index: SchedulingIndex, workers: tuple[str, ...], amount: Resources
) -> int:
    names = dict.fromkeys(workers)
    free = sum(index.worker_capacities[name].free.accelerators for name in names)
    return free - amount.accelerators * len(workers)


def _lost_accelerators(
    index: SchedulingIndex, workers: tuple[str, ...], amount: Resources, shape: Shape
) -> float:
    """Return the weighted accelerators that can no longer hold `shape`.

    They count as a fraction for each lost member, and in full for each
    whole shape that no longer fits in its unit.
    """
    if not amount.accelerators:
        return 0.0
    per_member = shape.per_member
    lost_by_unit: dict[str, int] = {}
    for name in dict.fromkeys(workers):
        worker_capacity = index.worker_capacities[name]
        after = worker_capacity.free.minus()
        after.add(amount, -workers.count(name))
        lost_members = worker_capacity.free.count_fitting(
            per_member
        ) - after.count_fitting(per_member)
        unit = worker_capacity.unit[shape.adjacency]
        lost_by_unit[unit] = lost_by_unit.get(unit, 0) + lost_members
    members = 0.0
    for unit, lost_members in lost_by_unit.items():
        members += LOST_MEMBER_WEIGHT * lost_members
        if lost_members and shape.adjacency is not Adjacency.NONE:
            fitting = sum(
                index.worker_capacities[name].free.count_fitting(per_member)
                for name in index.units[shape.adjacency][unit]
            )
            lost_shapes = (
                fitting // shape.members - (fitting - lost_members) // shape.members
            )
            members += lost_shapes * shape.members
    return members * per_member.accelerators


def _remaining_time_mismatch(
    cluster: ClusterState, workers: tuple[str, ...], end_ms: int
) -> float:
    """Return the mean difference in remaining time to neighbouring attempts.

    The difference is that of the logarithms, so that short jobs share some
    workers and long jobs share others.
    """
    log_remaining = math.log(max(1, end_ms - cluster.now_ms))
    total = 0.0
    names = dict.fromkeys(workers)
    for name in names:
        ends = [
            cluster.attempts[i].expected_end_ms - cluster.now_ms
            for i in cluster.allocations[name].attempts
        ]
        if not ends:
            total += EMPTY_MISMATCH
            continue
        distances = [
            abs(log_remaining - math.log(max(MIN_REMAINING_MS, end))) for end in ends
        ]
        total += sum(distances) / len(distances)
    return total / len(names)
