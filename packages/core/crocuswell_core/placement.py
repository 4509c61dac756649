"""Finding workers for the members of a shape."""

from collections.abc import Callable, Iterable
from functools import partial

from crocuswell_core.resources import SLOTS_PER_WORKER, Adjacency, Resources, Shape
from crocuswell_core.rooms import takes_work
from crocuswell_core.state import ClusterState

RoomOf = Callable[[str], tuple[Resources, int]]


def can_ever_fit(cluster: ClusterState, shape: Shape) -> bool:
    """Tell whether the fleet could hold the shape if it were idle."""
    return find_workers(cluster, shape, partial(_whole_room, cluster)) is not None


def first_fit(cluster: ClusterState, shape: Shape) -> tuple[str, ...] | None:
    """Return the first workers with free room for all members, or None."""
    return find_workers(cluster, shape, partial(_free_room, cluster))


def find_workers(
    cluster: ClusterState, shape: Shape, room_of: RoomOf
) -> tuple[str, ...] | None:
    """Return a worker for each rank of the shape, or None."""
    for group in adjacency_groups(cluster, shape.adjacency):
        workers = _fill(group, shape, room_of)
        if workers is not None:
            return workers
    return None


def adjacency_groups(
    cluster: ClusterState, adjacency: Adjacency
) -> Iterable[tuple[str, ...]]:
    """Return the sets of workers within which the members must be placed."""
    if adjacency is Adjacency.NONE:
        return [tuple(cluster.workers)]
    groups: dict[str, list[str]] = {}
    for name, worker in cluster.workers.items():
        unit = {
            Adjacency.WORKER: name,
            Adjacency.RACK: f"{worker.info.failure_domain}/{worker.info.rack}",
            Adjacency.FAILURE_DOMAIN: worker.info.failure_domain,
        }[adjacency]
        groups.setdefault(unit, []).append(name)
    return [tuple(group) for group in groups.values()]


def members_that_fit(amount: Resources, free: Resources, slots: int) -> int:
    """Return how many members of `amount` fit in the free room."""
    count = slots
    if amount.accelerators:
        count = min(count, free.accelerators // amount.accelerators)
    if amount.processors:
        count = min(count, free.processors // amount.processors)
    if amount.memory_mb:
        count = min(count, free.memory_mb // amount.memory_mb)
    return max(count, 0)


def _fill(
    group: Iterable[str], shape: Shape, room_of: RoomOf
) -> tuple[str, ...] | None:
    workers: list[str] = []
    for name in group:
        free, slots = room_of(name)
        count = members_that_fit(shape.per_member, free, slots)
        workers += [name] * min(count, shape.members - len(workers))
        if len(workers) == shape.members:
            return tuple(workers)
    return None


def _free_room(cluster: ClusterState, name: str) -> tuple[Resources, int]:
    if not takes_work(cluster.workers[name]):
        return Resources(), 0
    room = cluster.rooms[name]
    return room.free, room.free_slots


def _whole_room(cluster: ClusterState, name: str) -> tuple[Resources, int]:
    info = cluster.workers[name].info
    return info.capacity, min(info.slots, SLOTS_PER_WORKER)
