"""The workers that may get tasks, with indexes of their free resources.

The indexes are kept up to date by the changes of single workers, so that a
plan looks only at the workers that could hold a task.
"""

from collections.abc import Iterable

import attrs

from crocuswell_core.dispatching.worker_view import WorkerView
from crocuswell_core.jobs.job_records import (
    ResourceVector,
    StepKey,
    StepSpec,
    TaskId,
)
from crocuswell_core.links.link_messages import WorkerDescription

# Service, required label and demand of a task.
DemandKey = tuple[str, str, ResourceVector]
# Demands that no waiting step has are dropped beyond this number.
MAX_DEMANDS = 64


@attrs.frozen
class Hold:
    """A worker is kept free for a waiting step, except for backfill.

    Attributes
    ----------
    rank : tuple
        Sort key of the step; steps that come before it ignore the hold.
    until_ms : int
        Time in ms by which backfilled tasks must end.
    """

    rank: tuple[int, int, int]
    until_ms: int


@attrs.define
class PreemptibleWork:
    """Runs of one priority on a worker that may be stopped.

    Attributes
    ----------
    demand : ResourceVector
        Resources that they use.
    cores : float
        Cores of the runs that would lose their work.
    core_ms : float
        Sum of these cores, each times the time in ms of the run's placement.
    """

    demand: ResourceVector = attrs.field(factory=ResourceVector)
    cores: float = 0.0
    core_ms: float = 0.0

    def add(self, step: StepSpec, placed_ms: int) -> None:
        """Add a run."""
        self.demand = self.demand + step.demand
        if not step.checkpointing:
            cores = step.demand.core_equivalents
            self.cores += cores
            self.core_ms += cores * placed_ms

    def lost_core_s(self, now_ms: int) -> float:
        """Return an upper estimate of the work in core seconds."""
        return max(0.0, self.cores * now_ms - self.core_ms) / 1_000


@attrs.define(eq=False)
class CandidateWorker:
    """A worker that may get tasks, with its free resources.

    Attributes
    ----------
    key : str
        Key of the worker's boot.
    worker : WorkerDescription
        Description by which the indexes know the worker.
    free : ResourceVector
        Resources that no run uses.
    placed : dict
        Demand of the placed tasks, which is not part of `free`.
    reservations : dict
        Free resources that are reserved for a step, by its key.
    holds : dict
        Steps for which the worker is kept free, by their keys.
    preemptible : dict
        Runs that may be stopped, by the priority of their queue.
    is_closed : bool
        Whether a task on trial has the worker to itself.
    spare : ResourceVector
        Free resources without all reservations; none if it is closed.
    available : ResourceVector
        Resources that the step under consideration may use.
    speed_rank : int
        Place among the workers by how their speed suits that step; workers
        with the same place suit it alike.
    pace : float
        Time that a task takes there, as a multiple of the usual time.
    """

    key: str
    worker: WorkerDescription
    view: WorkerView
    free: ResourceVector
    placed: dict[TaskId, ResourceVector] = attrs.Factory(dict)
    reservations: dict[StepKey, ResourceVector] = attrs.Factory(dict)
    holds: dict[StepKey, Hold] = attrs.Factory(dict)
    preemptible: dict[int, PreemptibleWork] = attrs.Factory(dict)
    is_closed: bool = False
    spare: ResourceVector = attrs.field(init=False, factory=ResourceVector)
    available: ResourceVector = attrs.field(init=False, factory=ResourceVector)
    speed_rank: int = attrs.field(init=False, default=0)
    pace: float = attrs.field(init=False, default=1.0)

    def is_held_from(
        self, key: StepKey, rank: tuple[int, int, int], end_ms: int
    ) -> bool:
        """Tell whether the worker is kept free for a step of higher rank.

        Parameters
        ----------
        key : StepKey
            The step under consideration.
        rank : tuple
            Its sort key.
        end_ms : int
            Expected end in ms of its tasks.
        """
        if not self.holds or key in self.reservations:
            return False
        return any(
            hold.rank < rank and end_ms > hold.until_ms
            for holder, hold in self.holds.items()
            if holder != key
        )

    def unreserved(self, key: StepKey) -> ResourceVector:
        """Return the free resources that are not reserved for other steps."""
        own = None if self.is_closed else self.reservations.get(key)
        return self.spare if own is None else self.spare + own


@attrs.define(eq=False)
class FittingWorkers:
    """The workers that could hold a task of one demand now.

    Attributes
    ----------
    copies : dict
        Number of tasks that fit into a worker's spare resources, by the key
        of its boot; workers that cannot hold one are left out.
    total : int
        Sum of `copies`.
    capacity : dict
        Number of tasks that fit onto a worker without runs, by the key of
        its boot.
    total_capacity : int
        Sum of `capacity`.
    opened : int
        Increases when a worker could hold more tasks than before.
    """

    service: str
    label: str
    demand: ResourceVector
    copies: dict[str, int] = attrs.Factory(dict)
    total: int = 0
    capacity: dict[str, int] = attrs.Factory(dict)
    total_capacity: int = 0
    opened: int = 0

    def accepts(self, candidate: CandidateWorker) -> bool:
        """Tell whether a worker has the service and the label."""
        worker = candidate.worker
        return worker.service == self.service and (
            not self.label or self.label in worker.labels
        )

    def update(self, candidate: CandidateWorker) -> None:
        """Count a worker's spare resources anew."""
        key = candidate.key
        before = self.copies.get(key, 0)
        after = candidate.spare.max_copies(self.demand)
        if after == before:
            return
        self.total += after - before
        self.opened += after > before
        if after:
            self.copies[key] = after
        else:
            del self.copies[key]

    def add(self, candidate: CandidateWorker) -> None:
        """Count a worker that was not counted before."""
        copies = candidate.worker.capacity.max_copies(self.demand)
        self.capacity[candidate.key] = copies
        self.total_capacity += copies
        self.update(candidate)

    def remove(self, key: str) -> None:
        """Forget a worker, if it was counted."""
        self.total -= self.copies.pop(key, 0)
        self.total_capacity -= self.capacity.pop(key, 0)


@attrs.define
class ServiceTotals:
    """Resources of all workers of a service."""

    free: ResourceVector = attrs.field(factory=ResourceVector)
    capacity: ResourceVector = attrs.field(factory=ResourceVector)


@attrs.define
class Fleet:
    """The workers that may get tasks.

    Attributes
    ----------
    candidates : dict
        Workers by the key of their boot.
    racks : dict
        Workers of each rack, by the key of their boot.
    rack_accelerators : dict
        Free accelerators of each rack.
    services : dict
        Resources of each service's workers.
    by_demand : dict
        Demands that were looked up, with the workers that could hold them.
    membership : int
        Increases when a worker joins, leaves or changes its capacity.
    released : int
        Increases when a worker is no longer held for a step.
    """

    candidates: dict[str, CandidateWorker] = attrs.Factory(dict)
    racks: dict[str, dict[str, CandidateWorker]] = attrs.Factory(dict)
    rack_accelerators: dict[str, int] = attrs.Factory(dict)
    services: dict[str, ServiceTotals] = attrs.Factory(dict)
    by_demand: dict[DemandKey, FittingWorkers] = attrs.Factory(dict)
    membership: int = 0
    released: int = 0

    def put(
        self,
        view: WorkerView,
        free: ResourceVector,
        placed: dict[TaskId, ResourceVector],
        is_closed: bool = False,
    ) -> None:
        """Add a worker, or set its free resources and placed tasks."""
        worker = view.worker
        key = worker.key
        candidate = self.candidates.get(key)
        if candidate is not None and _is_described_alike(candidate.worker, worker):
            candidate.view = view
            candidate.placed = placed
            candidate.is_closed = is_closed
            self.set_free(candidate, free)
            return
        reservations, holds = {}, {}
        if candidate is not None:
            reservations, holds = candidate.reservations, candidate.holds
            self.remove(key)
        candidate = CandidateWorker(
            key, worker, view, free, placed, reservations, holds, is_closed=is_closed
        )
        self._add(candidate)

    def _add(self, candidate: CandidateWorker) -> None:
        worker = candidate.worker
        self.membership += 1
        self.candidates[candidate.key] = candidate
        self.racks.setdefault(worker.rack, {})[candidate.key] = candidate
        self.rack_accelerators.setdefault(worker.rack, 0)
        self.rack_accelerators[worker.rack] += candidate.free.accelerators
        totals = self.services.setdefault(worker.service, ServiceTotals())
        totals.free = totals.free + candidate.free
        totals.capacity = totals.capacity + worker.capacity
        candidate.spare = spare_resources(candidate)
        for fitting in self.by_demand.values():
            if fitting.accepts(candidate):
                fitting.add(candidate)

    def remove(self, key: str) -> None:
        """Remove a worker, if it is known."""
        candidate = self.candidates.pop(key, None)
        if candidate is None:
            return
        worker = candidate.worker
        self.membership += 1
        rack = self.racks[worker.rack]
        del rack[key]
        self.rack_accelerators[worker.rack] -= candidate.free.accelerators
        if not rack:
            del self.racks[worker.rack], self.rack_accelerators[worker.rack]
        totals = self.services[worker.service]
        totals.free = totals.free - candidate.free
        totals.capacity = totals.capacity - worker.capacity
        for fitting in self.by_demand.values():
            fitting.remove(key)

    def set_free(self, candidate: CandidateWorker, free: ResourceVector) -> None:
        """Set a worker's free resources and update the indexes."""
        if free != candidate.free:
            worker = candidate.worker
            change = free - candidate.free
            self.rack_accelerators[worker.rack] += change.accelerators
            totals = self.services[worker.service]
            totals.free = totals.free + change
            candidate.free = free
        self.update_spare(candidate)

    def update_spare(self, candidate: CandidateWorker) -> None:
        """Update the indexes after a change of resources or reservations."""
        spare = spare_resources(candidate)
        if spare == candidate.spare:
            return
        candidate.spare = spare
        for fitting in self.by_demand.values():
            if candidate.key in fitting.capacity:
                fitting.update(candidate)

    def fitting_workers(
        self, service: str, label: str, demand: ResourceVector
    ) -> FittingWorkers:
        """Return the workers that could hold a task; the index is kept."""
        key = (service, label, demand)
        fitting = self.by_demand.pop(key, None)
        if fitting is None:
            fitting = FittingWorkers(service, label, demand)
            for candidate in self.candidates.values():
                if fitting.accepts(candidate):
                    fitting.add(candidate)
        # The demand that was not used for longest comes first.
        self.by_demand[key] = fitting
        if len(self.by_demand) > MAX_DEMANDS:
            del self.by_demand[next(iter(self.by_demand))]
        return fitting

    def hold(self, keys: Iterable[str], step: StepKey, hold: Hold) -> None:
        """Keep workers free for a step."""
        for key in keys:
            self.candidates[key].holds[step] = hold

    def release(self, keys: Iterable[str], step: StepKey) -> None:
        """No longer keep workers free for a step."""
        for key in keys:
            candidate = self.candidates.get(key)
            if candidate is not None and candidate.holds.pop(step, None) is not None:
                self.released += 1

    def reserve(self, key: str, step: StepKey, demand: ResourceVector) -> None:
        """Reserve a worker's resources for a step."""
        candidate = self.candidates.get(key)
        if candidate is not None:
            candidate.reservations[step] = demand
            self.update_spare(candidate)

    def cancel_reservation(self, key: str, step: StepKey) -> None:
        """Let other steps use the resources that were reserved for a step."""
        candidate = self.candidates.get(key)
        if candidate is not None and step in candidate.reservations:
            del candidate.reservations[step]
            self.update_spare(candidate)


def spare_resources(candidate: CandidateWorker) -> ResourceVector:
    """Return a worker's free resources without all reservations."""
    if candidate.is_closed:
        return ResourceVector()
    spare = candidate.free
    for reserved in candidate.reservations.values():
        spare = spare - reserved
    return spare


def _is_described_alike(old: WorkerDescription, new: WorkerDescription) -> bool:
    """Tell whether a worker has the same place in the indexes."""
    return (
        old.service == new.service
        and old.rack == new.rack
        and old.labels == new.labels
        and old.capacity == new.capacity
    )
