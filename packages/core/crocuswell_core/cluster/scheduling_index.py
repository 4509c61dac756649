"""Aggregates and indexes that bound the cost of a scheduling decision.

All of them are derived from the replicated state: they are not part of a
snapshot and are rebuilt when missing.
"""

import attrs

from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape


@attrs.define
class Quantity:
    """A mutable amount of resources and slots; memory is in MB."""

    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0
    slots: int = 0

    def add(self, amount: Resources, members: int = 1) -> None:
        """Add the resources of `members` members, or subtract if negative."""
        self.accelerators += amount.accelerators * members
        self.processors += amount.processors * members
        self.memory_mb += amount.memory_mb * members
        self.slots += members

    def merge(self, other: "Quantity", sign: int = 1) -> None:
        """Add another quantity, or subtract it if `sign` is -1."""
        self.accelerators += other.accelerators * sign
        self.processors += other.processors * sign
        self.memory_mb += other.memory_mb * sign
        self.slots += other.slots * sign

    def minus(self, *others: "Quantity") -> "Quantity":
        """Return this quantity minus the others."""
        remaining = Quantity(
            self.accelerators, self.processors, self.memory_mb, self.slots
        )
        for other in others:
            remaining.merge(other, -1)
        return remaining

    def count_fitting(self, amount: Resources) -> int:
        """Return how many members fit that need `amount` each."""
        count = self.slots
        if amount.accelerators:
            count = min(count, self.accelerators // amount.accelerators)
        if amount.processors:
            count = min(count, self.processors // amount.processors)
        if amount.memory_mb:
            count = min(count, self.memory_mb // amount.memory_mb)
        return max(count, 0)

    def is_negative(self) -> bool:
        """Return whether any component is negative."""
        return min(self.accelerators, self.processors, self.memory_mb, self.slots) < 0


@attrs.define
class WorkerCapacity:
    """Capacity of one worker, by use.

    Attributes
    ----------
    unit : dict
        Unit that the worker belongs to at each topology level.
    usable : bool
        Whether new work may be placed on the worker.
    planned : Quantity
        Capacity that the plan assigns to guaranteed shapes.
    non_preemptible : Quantity
        Capacity used by borrowers that cannot be preempted.
    held : Quantity
        Capacity kept for claims that wait for borrowers to be stopped.
    stopping : Quantity
        Capacity used by members that were ordered to stop.
    """

    unit: dict[Adjacency, str]
    usable: bool
    capacity: Quantity
    free: Quantity
    planned: Quantity = attrs.Factory(Quantity)
    non_preemptible: Quantity = attrs.Factory(Quantity)
    held: Quantity = attrs.Factory(Quantity)
    stopping: Quantity = attrs.Factory(Quantity)

    def projected_free(self) -> Quantity:
        """Return the capacity left after all stops and all held claims.

        While a component is negative, more borrowers must be stopped.
        """
        remaining = self.free.minus(self.held)
        remaining.merge(self.stopping)
        return remaining

    def count_borrowable(self, amount: Resources, preemptible: bool) -> int:
        """Return how many members of a borrower fit on the worker now.

        Capacity that the plan assigns to guarantees is open to preemptible
        borrowers only.
        """
        if not self.usable:
            return 0
        count = self.free.count_fitting(amount)
        if count and self.held.slots:
            count = self.free.minus(self.held).count_fitting(amount)
        if (
            count
            and not preemptible
            and (self.planned.slots or self.non_preemptible.slots)
        ):
            remaining = self.capacity.minus(self.planned, self.non_preemptible)
            count = min(count, remaining.count_fitting(amount))
        return count


@attrs.frozen(cache_hash=True)
class PlacementRequirements:
    """Placement requirements that make requests interchangeable.

    If there is no capacity for a request, there is none for any other
    request with equal requirements.

    Attributes
    ----------
    preemptible : bool
        Whether the job can be preempted in time; see `is_preemptible`.
    """

    shape: Shape
    preemptible: bool


@attrs.define
class ReadyQueue:
    """Requests of one workspace with the same requirements and job class.

    Attributes
    ----------
    entries : list
        Pairs of acceptance time in ms and request id, ascending.
    """

    requirements: PlacementRequirements
    job_class: str
    urgent: bool
    entries: list[tuple[int, str]] = attrs.Factory(list)


@attrs.define
class Usage:
    """Resources in use by one workspace.

    Attributes
    ----------
    total : Quantity
        Resources of all its members that have not ended.
    borrowed : Quantity
        The part used by borrowers, outside its guarantees.
    active : dict
        Ids of its attempts.
    """

    total: Quantity = attrs.Factory(Quantity)
    borrowed: Quantity = attrs.Factory(Quantity)
    active: dict[AttemptId, None] = attrs.Factory(dict)


@attrs.define
class SchedulingIndex:
    """All derived aggregates and indexes.

    Attributes
    ----------
    worker_capacities : dict
        Capacity by worker.
    buckets : dict
        Names of usable workers, ascending, by number of free accelerators
        and free slots; workers without a free slot are left out.
    units : dict
        Names of workers, ascending, by topology level and unit.
    claims : dict
        Ids of the attempts on each planned shape, by its key.
    usage : dict
        Resources in use by workspace.
    ready_queues : dict
        Queues of the requests that may start now, by workspace and then by
        requirements, job class and urgency.
    capacity : Quantity
        Total capacity of usable workers.
    free : Quantity
        Free capacity of usable workers.
    freed_workers : list of str
        Log of workers on which capacity was freed since
        `failed_search_positions` was cleared.
    failed_search_positions : dict
        Length of `freed_workers` when a search for capacity failed, by
        requirements; the search is repeated only on workers that were added
        since.
    ever_fits : dict
        Cache of whether the idle fleet can hold a shape; cleared when the
        fleet changes.
    number : int
        Configuration number that `workspaces` was read from.
    workspaces : dict
        Declared workspaces by name.
    plan_keys : dict
        Cache of the keys of each workspace's planned shapes, smallest
        first; cleared when the plan changes.
    dirty_workspaces : dict
        Workspaces whose claims the next scheduling pass must examine.
    """

    worker_capacities: dict[str, WorkerCapacity] = attrs.Factory(dict)
    buckets: dict[tuple[int, int], list[str]] = attrs.Factory(dict)
    units: dict[Adjacency, dict[str, list[str]]] = attrs.Factory(
        lambda: {adjacency: {} for adjacency in Adjacency}
    )
    claims: dict[str, dict[AttemptId, None]] = attrs.Factory(dict)
    usage: dict[str, Usage] = attrs.Factory(dict)
    ready_queues: dict[
        str, dict[tuple[PlacementRequirements, str, bool], ReadyQueue]
    ] = attrs.Factory(dict)
    capacity: Quantity = attrs.Factory(Quantity)
    free: Quantity = attrs.Factory(Quantity)
    freed_workers: list[str] = attrs.Factory(list)
    failed_search_positions: dict[PlacementRequirements, int] = attrs.Factory(dict)
    ever_fits: dict[Shape, bool] = attrs.Factory(dict)
    number: int = -1
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    plan_keys: dict[str, list[str]] = attrs.Factory(dict)
    dirty_workspaces: dict[str, None] = attrs.Factory(dict)
