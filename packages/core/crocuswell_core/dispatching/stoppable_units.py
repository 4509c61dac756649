"""Choice of a set of runs and gangs to stop, by what each of them loses.

A gang is stopped as a whole: it is counted once, and all of the room that its
members leave counts.
"""

from collections import Counter
from collections.abc import Container, Iterable
from functools import partial

import attrs

from crocuswell_core.dispatching.victims import core_equivalents
from crocuswell_core.jobs.job_records import ResourceVector, RunId, StepKey, StepSpec


@attrs.frozen(eq=False)
class StoppableUnit:
    """A run without a gang, or a whole gang.

    Attributes
    ----------
    room : dict
        Resources that it leaves, by the key of the worker's boot.
    lost_core_s : float
        Lost work in core seconds.
    loss : float
        The same, more for work that was stopped before.
    caller_loss : float
        What the job's caller loses by the delay, in core seconds; once,
        however many units of the step are stopped.
    """

    runs: tuple[RunId, ...]
    room: dict[str, ResourceVector]
    lost_core_s: float
    loss: float
    caller_loss: float = 0.0

    @property
    def step_key(self) -> StepKey:
        """Key of its step."""
        return self.runs[0].task.step_key


def total_loss(
    units: Iterable[StoppableUnit], charged: Container[StepKey] = ()
) -> float:
    """Return what stopping some units loses altogether, in core seconds.

    Parameters
    ----------
    charged : container of StepKey
        Steps of which other units are stopped anyway.
    """
    loss = 0.0
    caller_losses: dict[StepKey, float] = {}
    for unit in units:
        loss += unit.loss
        key = unit.step_key
        if key not in charged:
            caller_losses[key] = max(caller_losses.get(key, 0.0), unit.caller_loss)
    return loss + sum(caller_losses.values())


@attrs.frozen
class NextUnits:
    """Units that let more tasks fit.

    Attributes
    ----------
    copies : int
        Number of tasks.
    """

    units: tuple[StoppableUnit, ...]
    copies: int


def copies_on(step: StepSpec, free: ResourceVector) -> int:
    """Return how many tasks of a step fit into a worker's resources."""
    copies = free.max_copies(step.demand)
    return min(copies, step.per_worker_limit) if step.per_worker_limit else copies


def choose_units(
    step: StepSpec,
    count: int,
    free: dict[str, ResourceVector],
    units: Iterable[StoppableUnit],
) -> tuple[StoppableUnit, ...] | None:
    """Return the units to stop so that some tasks of a step fit.

    Parameters
    ----------
    count : int
        Number of tasks.
    free : dict
        Free resources by the key of the worker's boot. Room on other workers
        does not count.

    Returns
    -------
    tuple of StoppableUnit or None
        The units with the least loss for each task, without those that the
        later ones make superfluous; None if all together do not suffice.
    """
    free = dict(free)
    needed = count - sum(copies_on(step, room) for room in free.values())
    if needed <= 0:
        return ()
    on_worker = _units_by_worker(step, needed, free, units)
    choices = {key: _next_units(step, free, key, on_worker[key]) for key in on_worker}
    chosen: list[StoppableUnit] = []
    charged: set[StepKey] = set()
    while needed > 0:
        usable = [choice for choice in choices.values() if choice is not None]
        if not usable:
            return None
        best = min(usable, key=partial(_loss_per_task, needed=needed, charged=charged))
        charged.update(unit.step_key for unit in best.units)
        changed = dict.fromkeys(key for unit in best.units for key in unit.room)
        before = sum(copies_on(step, free[key]) for key in changed if key in free)
        _add_room(free, best.units)
        after = sum(copies_on(step, free[key]) for key in changed if key in free)
        needed -= after - before
        chosen += best.units
        for key in changed:
            if key in on_worker:
                left = [unit for unit in on_worker[key] if unit not in best.units]
                on_worker[key] = left
                choices[key] = _next_units(step, free, key, left)
    return _without_superfluous(step, free, chosen, -needed)


def _loss_per_task(choice: NextUnits, needed: int, charged: set[StepKey]) -> float:
    """Return the loss for each of the tasks that are needed."""
    return total_loss(choice.units, charged) / min(choice.copies, needed)


def _units_by_worker(
    step: StepSpec,
    needed: int,
    free: dict[str, ResourceVector],
    units: Iterable[StoppableUnit],
) -> dict[str, list[StoppableUnit]]:
    """Return the units on each worker, those with the least loss first."""
    units = tuple(units)
    most_cores = core_equivalents(step.demand) * needed
    of_step = Counter(unit.step_key for unit in units)

    def loss_per_core(unit: StoppableUnit) -> float:
        cores = sum(core_equivalents(r) for key, r in unit.room.items() if key in free)
        loss = unit.loss + unit.caller_loss / of_step[unit.step_key]
        return loss / min(cores, most_cores)

    on_worker: dict[str, list[StoppableUnit]] = {}
    for unit in units:
        for key in unit.room:
            if key in free:
                on_worker.setdefault(key, []).append(unit)
    for listed in on_worker.values():
        listed.sort(key=loss_per_core)
    return on_worker


def _next_units(
    step: StepSpec,
    free: dict[str, ResourceVector],
    key: str,
    listed: list[StoppableUnit],
) -> NextUnits | None:
    """Return the first units on a worker that let one more task fit there."""
    room = free[key]
    target = copies_on(step, room) + 1
    taken: list[StoppableUnit] = []
    for unit in listed:
        taken.append(unit)
        room = room + unit.room[key]
        if copies_on(step, room) >= target:
            return NextUnits(tuple(taken), _added_copies(step, free, taken))
    return None


def _added_copies(
    step: StepSpec, free: dict[str, ResourceVector], units: list[StoppableUnit]
) -> int:
    changed = {key: free[key] for unit in units for key in unit.room if key in free}
    before = sum(copies_on(step, room) for room in changed.values())
    _add_room(changed, units)
    return sum(copies_on(step, room) for room in changed.values()) - before


def _add_room(free: dict[str, ResourceVector], units: Iterable[StoppableUnit]) -> None:
    for unit in units:
        for key, room in unit.room.items():
            if key in free:
                free[key] = free[key] + room


def _without_superfluous(
    step: StepSpec,
    free: dict[str, ResourceVector],
    chosen: list[StoppableUnit],
    spare: int,
) -> tuple[StoppableUnit, ...]:
    """Leave out units without which the tasks fit, the dearest first.

    Parameters
    ----------
    free : dict
        Free resources once all chosen units are stopped.
    spare : int
        Number of tasks that fit beyond those that are needed.
    """
    kept = list(chosen)
    for unit in sorted(chosen, key=lambda unit: -unit.loss):
        without = {
            key: free[key] - room for key, room in unit.room.items() if key in free
        }
        copies = sum(copies_on(step, free[key]) for key in without)
        dropped = copies - sum(copies_on(step, room) for room in without.values())
        if dropped <= spare:
            spare -= dropped
            free.update(without)
            kept.remove(unit)
    return tuple(kept)
