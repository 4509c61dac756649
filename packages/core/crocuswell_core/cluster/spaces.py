"""Sums and indexes over the tables that keep a decision's cost bounded.

Everything here is derived from the replicated tables: it is not part of a
snapshot and is built again from them when it is missing.
"""

import attrs

from crocuswell_core.cluster.configuration import Workspace
from crocuswell_core.cluster.records import AttemptId
from crocuswell_core.cluster.resources import Adjacency, Resources, Shape


@attrs.define
class Quantity:
    """A changing amount of resources and slots; memory is in MB."""

    accelerators: int = 0
    processors: int = 0
    memory_mb: int = 0
    slots: int = 0

    def add(self, amount: Resources, members: int = 1) -> None:
        """Add `members` members of `amount`; a negative number takes."""
        self.accelerators += amount.accelerators * members
        self.processors += amount.processors * members
        self.memory_mb += amount.memory_mb * members
        self.slots += members

    def merge(self, other: "Quantity", sign: int = 1) -> None:
        """Add another quantity, or take it with `sign` -1."""
        self.accelerators += other.accelerators * sign
        self.processors += other.processors * sign
        self.memory_mb += other.memory_mb * sign
        self.slots += other.slots * sign

    def less(self, *others: "Quantity") -> "Quantity":
        """Return this quantity without the others."""
        rest = Quantity(self.accelerators, self.processors, self.memory_mb, self.slots)
        for other in others:
            rest.merge(other, -1)
        return rest

    def members(self, amount: Resources) -> int:
        """Return how many members of `amount` fit."""
        count = self.slots
        if amount.accelerators:
            count = min(count, self.accelerators // amount.accelerators)
        if amount.processors:
            count = min(count, self.processors // amount.processors)
        if amount.memory_mb:
            count = min(count, self.memory_mb // amount.memory_mb)
        return max(count, 0)

    def is_negative(self) -> bool:
        """Tell whether any part is below zero."""
        return min(self.accelerators, self.processors, self.memory_mb, self.slots) < 0


@attrs.define
class WorkerSpace:
    """How the room on one worker is committed.

    Attributes
    ----------
    usable : bool
        Whether new work may be placed here.
    planned : Quantity
        Room that the standing plan assigns to guaranteed shapes.
    fixed : Quantity
        Room of borrowers that cannot be moved in time.
    held : Quantity
        Room kept for claims that wait for borrowers to leave.
    leaving : Quantity
        Room of attempts that were ordered to stop.
    """

    unit: dict[Adjacency, str]
    usable: bool
    capacity: Quantity
    free: Quantity
    planned: Quantity = attrs.Factory(Quantity)
    fixed: Quantity = attrs.Factory(Quantity)
    held: Quantity = attrs.Factory(Quantity)
    leaving: Quantity = attrs.Factory(Quantity)

    def missing(self) -> Quantity:
        """Return the room left once all leave and holds are used.

        It is negative as long as more borrowers must be stopped.
        """
        rest = self.free.less(self.held)
        rest.merge(self.leaving)
        return rest

    def borrowable(self, amount: Resources, movable: bool) -> int:
        """Return how many members of a borrower fit here now."""
        if not self.usable:
            return 0
        count = self.free.members(amount)
        if count and self.held.slots:
            count = self.free.less(self.held).members(amount)
        if count and not movable and (self.planned.slots or self.fixed.slots):
            rest = self.capacity.less(self.planned, self.fixed)
            count = min(count, rest.members(amount))
        return count


@attrs.frozen(cache_hash=True)
class Need:
    """What requests must share so that one cannot start if another can't."""

    shape: Shape
    movable: bool


@attrs.define
class Lane:
    """Requests of one workspace with the same need and class, in order.

    Attributes
    ----------
    order : list
        Pairs of acceptance time and request id, ascending.
    """

    need: Need
    job_class: str
    urgent: bool
    order: list[tuple[int, str]] = attrs.Factory(list)


@attrs.define
class Usage:
    """What one workspace holds: all of it, and the part above guarantees."""

    total: Quantity = attrs.Factory(Quantity)
    borrowed: Quantity = attrs.Factory(Quantity)
    active: dict[AttemptId, None] = attrs.Factory(dict)


@attrs.define
class SchedulingIndex:
    """All derived sums.

    Attributes
    ----------
    buckets : dict
        For each pair of free accelerators and free slots the names of
        usable workers, ascending; workers without a free slot are absent.
    units : dict
        For each adjacency and unit the names of workers, ascending.
    claims : dict
        For each planned shape the attempts that run in it.
    capacity : Quantity
        Sum over usable workers.
    free : Quantity
        Free room on usable workers.
    opened : list of str
        Workers whose room grew, in order, since `blocked` was cleared.
    blocked : dict
        For each need that found no room the length of `opened` then.
    ever_fits : dict
        Whether the idle fleet can hold a shape; empty when it changed.
    workspaces : dict
        The declared workspaces as of `number`.
    plan_keys : dict
        For each workspace its planned shapes, smallest first; empty when
        the plan changed.
    claim_workspaces : dict
        Workspaces whose claims must be looked at in the next pass.
    """

    spaces: dict[str, WorkerSpace] = attrs.Factory(dict)
    buckets: dict[tuple[int, int], list[str]] = attrs.Factory(dict)
    units: dict[Adjacency, dict[str, list[str]]] = attrs.Factory(
        lambda: {adjacency: {} for adjacency in Adjacency}
    )
    claims: dict[str, dict[AttemptId, None]] = attrs.Factory(dict)
    usage: dict[str, Usage] = attrs.Factory(dict)
    lanes: dict[str, dict[tuple[Need, str, bool], Lane]] = attrs.Factory(dict)
    capacity: Quantity = attrs.Factory(Quantity)
    free: Quantity = attrs.Factory(Quantity)
    opened: list[str] = attrs.Factory(list)
    blocked: dict[Need, int] = attrs.Factory(dict)
    ever_fits: dict[Shape, bool] = attrs.Factory(dict)
    number: int = -1
    workspaces: dict[str, Workspace] = attrs.Factory(dict)
    plan_keys: dict[str, list[str]] = attrs.Factory(dict)
    claim_workspaces: dict[str, None] = attrs.Factory(dict)
