"""Search for workers with enough free resources for a shape."""

from collections.abc import Iterable

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.index_updates import index_of, quantity_of, unit_names
from crocuswell_core.cluster.resources import Adjacency, Shape
from crocuswell_core.cluster.scheduling_index import (
    PlacementRequirements,
    SchedulingIndex,
    WorkerCapacity,
)

# Maximum number of candidate units that are scored. Single workers are tried
# from the fewest free accelerators up, so further ones rarely score better.
CANDIDATE_LIMIT = 24

# Maximum number of cached results of `can_ever_fit`.
FIT_CACHE_LIMIT = 1_024


@attrs.frozen
class Offer:
    """Workers of one unit that together can hold all members of a shape.

    Attributes
    ----------
    unit : str
        Name of a rack, failure domain or worker, by the adjacency of the
        shape; the worker's name for a shape of one member.
    fits : dict
        Number of members that fit on each worker now.
    """

    unit: str
    fits: dict[str, int]

    @property
    def members(self) -> int:
        """Number of members that fit in the unit."""
        return sum(self.fits.values())


def can_ever_fit(cluster: ClusterState, shape: Shape) -> bool:
    """Return whether the known workers could hold the shape if idle."""
    index = index_of(cluster)
    if shape not in index.ever_fits:
        if len(index.ever_fits) >= FIT_CACHE_LIMIT:
            index.ever_fits.clear()
        index.ever_fits[shape] = _fits_idle_fleet(cluster, shape)
    return index.ever_fits[shape]


def can_ever_borrow(cluster: ClusterState, requirements: PlacementRequirements) -> bool:
    """Return whether a borrower could start if nothing else ran.

    A borrower that cannot be stopped in time may only use resources that
    are not planned for guarantees.
    """
    if requirements.preemptible:
        return can_ever_fit(cluster, requirements.shape)
    worker_capacities = index_of(cluster).worker_capacities
    counts: dict[str, int] = {}
    for name, worker in cluster.workers.items():
        unit = unit_names(worker)[requirements.shape.adjacency]
        remaining = quantity_of(worker.info.capacity, worker.info.slots)
        if name in worker_capacities:
            remaining.merge(worker_capacities[name].planned, -1)
        counts[unit] = counts.get(unit, 0) + remaining.count_fitting(
            requirements.shape.per_member
        )
        if counts[unit] >= requirements.shape.members:
            return True
    return False


def _fits_idle_fleet(cluster: ClusterState, shape: Shape) -> bool:
    counts: dict[str, int] = {}
    for worker in cluster.workers.values():
        unit = unit_names(worker)[shape.adjacency]
        capacity = quantity_of(worker.info.capacity, worker.info.slots)
        counts[unit] = counts.get(unit, 0) + capacity.count_fitting(shape.per_member)
        if counts[unit] >= shape.members:
            return True
    return False


def find_offers(
    cluster: ClusterState, requirements: PlacementRequirements
) -> list[Offer]:
    """Return the units that can hold a borrower with these requirements now.

    After a search without a result, only units with workers whose resources
    were freed since then are searched.
    """
    index = index_of(cluster)
    position = index.failed_search_positions.get(requirements)
    freed_workers = index.freed_workers[position:] if position is not None else []
    if position is not None and not freed_workers:
        return []
    if requirements.shape.members == 1:
        names = (
            _sort_by_free(index, freed_workers)
            if freed_workers
            else _names_by_free(index, requirements)
        )
        offers = _single_offers(index, requirements, names)
    else:
        offers = _gang_offers(index, requirements, freed_workers)
    if not offers:
        index.failed_search_positions[requirements] = len(index.freed_workers)
    return offers


def first_fit(cluster: ClusterState, shape: Shape) -> tuple[str, ...] | None:
    """Return the first free workers by unit and name, or None."""
    index = index_of(cluster)
    units = index.units[shape.adjacency]
    for unit in sorted(units):
        names = units[unit]
        workers: list[str] = []
        for name in names:
            worker_capacity = index.worker_capacities[name]
            count = (
                worker_capacity.free.count_fitting(shape.per_member)
                if worker_capacity.usable
                else 0
            )
            workers += [name] * min(count, shape.members - len(workers))
            if len(workers) == shape.members:
                return tuple(workers)
    return None


def _sort_by_free(index: SchedulingIndex, names: list[str]) -> Iterable[str]:
    """Return workers in the order of `_names_by_free`."""
    keys = sorted(
        (worker_capacity.free.accelerators, worker_capacity.free.slots, name)
        for name in dict.fromkeys(names)
        if (worker_capacity := index.worker_capacities.get(name)) is not None
    )
    return [name for _, _, name in keys]


def _names_by_free(
    index: SchedulingIndex, requirements: PlacementRequirements
) -> Iterable[str]:
    """Yield workers by ascending free accelerators, slots and name."""
    min_accelerators = requirements.shape.per_member.accelerators
    for key in sorted(index.buckets):
        if key[0] >= min_accelerators:
            yield from index.buckets[key]


def _single_offers(
    index: SchedulingIndex, requirements: PlacementRequirements, names: Iterable[str]
) -> list[Offer]:
    offers: list[Offer] = []
    for name in names:
        worker_capacity = index.worker_capacities.get(name)
        if worker_capacity is None:
            continue
        if worker_capacity.count_borrowable(
            requirements.shape.per_member, requirements.preemptible
        ):
            offers.append(Offer(name, {name: 1}))
            if len(offers) == CANDIDATE_LIMIT:
                break
    return offers


def _gang_offers(
    index: SchedulingIndex,
    requirements: PlacementRequirements,
    freed_workers: list[str],
) -> list[Offer]:
    shape = requirements.shape
    if not _may_fit(index, shape):
        return []
    units = index.units[shape.adjacency]
    if freed_workers and shape.adjacency is not Adjacency.NONE:
        affected_units = {
            index.worker_capacities[name].unit[shape.adjacency]: None
            for name in freed_workers
            if name in index.worker_capacities
        }
        units = {unit: units[unit] for unit in sorted(affected_units)}
    offers: list[Offer] = []
    for unit in sorted(units):
        fits = {
            name: count
            for name in units[unit]
            if (count := _fitting_members(index.worker_capacities[name], requirements))
        }
        if sum(fits.values()) >= shape.members:
            offers.append(Offer(unit, fits))
            if len(offers) == CANDIDATE_LIMIT:
                break
    return offers


def _may_fit(index: SchedulingIndex, shape: Shape) -> bool:
    """Return False if free accelerators and slots cannot hold a shape.

    This upper bound is computed per bucket, so that most gangs that must
    wait are rejected without looking at each worker.
    """
    member_accelerators = shape.per_member.accelerators
    count = 0
    for (accelerators, slots), names in index.buckets.items():
        members_per_worker = (
            min(slots, accelerators // member_accelerators)
            if member_accelerators
            else slots
        )
        count += members_per_worker * len(names)
        if count >= shape.members:
            return True
    return False


def _fitting_members(
    worker_capacity: WorkerCapacity, requirements: PlacementRequirements
) -> int:
    return worker_capacity.count_borrowable(
        requirements.shape.per_member, requirements.preemptible
    )
