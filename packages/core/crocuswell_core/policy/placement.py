"""Finding workers for the members of a shape."""

from collections.abc import Iterable

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index import index_of, total_of, unit_names
from crocuswell_core.cluster.resources import Adjacency, Shape
from crocuswell_core.cluster.spaces import Need, SchedulingIndex, WorkerSpace

# Most workers that are scored for one member; in a large fleet the tightest
# fits come first, so that more candidates change little.
CANDIDATE_LIMIT = 24

# Most shapes for which it is remembered whether the fleet can hold them.
KNOWN_SHAPES_LIMIT = 1_024


@attrs.frozen
class Offer:
    """Workers of one unit on which members of a shape fit now.

    Attributes
    ----------
    fits : dict
        Number of members that fit on each worker.
    """

    unit: str
    fits: dict[str, int]

    @property
    def members(self) -> int:
        """Number of members that fit in the unit."""
        return sum(self.fits.values())


def can_ever_fit(cluster: ClusterState, shape: Shape) -> bool:
    """Tell whether the known fleet could hold the shape if it were idle."""
    index = index_of(cluster)
    if shape not in index.ever_fits:
        if len(index.ever_fits) >= KNOWN_SHAPES_LIMIT:
            index.ever_fits.clear()
        index.ever_fits[shape] = _fits_idle_fleet(cluster, shape)
    return index.ever_fits[shape]


def can_ever_borrow(cluster: ClusterState, need: Need) -> bool:
    """Tell whether a borrower could start if nothing else ran."""
    if need.movable:
        return can_ever_fit(cluster, need.shape)
    spaces = index_of(cluster).spaces
    counts: dict[str, int] = {}
    for name, worker in cluster.workers.items():
        unit = unit_names(worker)[need.shape.adjacency]
        rest = total_of(worker.info.capacity, worker.info.slots)
        if name in spaces:
            rest.merge(spaces[name].planned, -1)
        counts[unit] = counts.get(unit, 0) + rest.members(need.shape.per_member)
        if counts[unit] >= need.shape.members:
            return True
    return False


def _fits_idle_fleet(cluster: ClusterState, shape: Shape) -> bool:
    counts: dict[str, int] = {}
    for worker in cluster.workers.values():
        unit = unit_names(worker)[shape.adjacency]
        capacity = total_of(worker.info.capacity, worker.info.slots)
        counts[unit] = counts.get(unit, 0) + capacity.members(shape.per_member)
        if counts[unit] >= shape.members:
            return True
    return False


def find_offers(cluster: ClusterState, need: Need) -> list[Offer]:
    """Return the units that can hold a borrower with this need now.

    A need that found no room is not searched for again until room opened
    on a worker that matters to it.
    """
    index = index_of(cluster)
    position = index.blocked.get(need)
    opened = index.opened[position:] if position is not None else []
    if position is not None and not opened:
        return []
    if need.shape.members == 1:
        names = _by_tightness(index, opened) if opened else _tightest(index, need)
        offers = _single_offers(index, need, names)
    else:
        offers = _gang_offers(index, need, opened)
    if not offers:
        index.blocked[need] = len(index.opened)
    return offers


def first_fit(cluster: ClusterState, shape: Shape) -> tuple[str, ...] | None:
    """Return the first workers by name with free room, or None."""
    index = index_of(cluster)
    units = index.units[shape.adjacency]
    for unit in sorted(units):
        names = units[unit]
        workers: list[str] = []
        for name in names:
            space = index.spaces[name]
            count = space.free.members(shape.per_member) if space.usable else 0
            workers += [name] * min(count, shape.members - len(workers))
            if len(workers) == shape.members:
                return tuple(workers)
    return None


def _by_tightness(index: SchedulingIndex, names: list[str]) -> Iterable[str]:
    """Order workers as `_tightest` does."""
    keys = sorted(
        (space.free.accelerators, space.free.slots, name)
        for name in dict.fromkeys(names)
        if (space := index.spaces.get(name)) is not None
    )
    return [name for _, _, name in keys]


def _tightest(index: SchedulingIndex, need: Need) -> Iterable[str]:
    least = need.shape.per_member.accelerators
    for key in sorted(index.buckets):
        if key[0] >= least:
            yield from index.buckets[key]


def _single_offers(
    index: SchedulingIndex, need: Need, names: Iterable[str]
) -> list[Offer]:
    offers: list[Offer] = []
    for name in names:
        space = index.spaces.get(name)
        if space is None:
            continue
        if space.borrowable(need.shape.per_member, need.movable):
            offers.append(Offer(name, {name: 1}))
            if len(offers) == CANDIDATE_LIMIT:
                break
    return offers


def _gang_offers(index: SchedulingIndex, need: Need, opened: list[str]) -> list[Offer]:
    shape = need.shape
    if not _may_hold(index, shape):
        return []
    units = index.units[shape.adjacency]
    if opened and shape.adjacency is not Adjacency.NONE:
        touched = {
            index.spaces[name].unit[shape.adjacency]: None
            for name in opened
            if name in index.spaces
        }
        units = {unit: units[unit] for unit in sorted(touched)}
    offers: list[Offer] = []
    for unit in sorted(units):
        fits = {
            name: count
            for name in units[unit]
            if (count := _fits(index.spaces[name], need))
        }
        if sum(fits.values()) >= shape.members:
            offers.append(Offer(unit, fits))
            if len(offers) == CANDIDATE_LIMIT:
                break
    return offers


def _may_hold(index: SchedulingIndex, shape: Shape) -> bool:
    """Tell whether free accelerators and slots could hold a shape at all.

    An upper bound by bucket, so that most gangs that must wait are found
    out without a look at each worker.
    """
    each = shape.per_member.accelerators
    count = 0
    for (accelerators, slots), names in index.buckets.items():
        here = min(slots, accelerators // each) if each else slots
        count += here * len(names)
        if count >= shape.members:
            return True
    return False


def _fits(space: WorkerSpace, need: Need) -> int:
    return space.borrowable(need.shape.per_member, need.movable)
