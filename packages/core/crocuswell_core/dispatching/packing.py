"""Bin packing of tasks onto workers, which keeps space for large gangs."""

from collections.abc import Iterable

from crocuswell_core.dispatching import trials
from crocuswell_core.dispatching.fleet import (
    CandidateWorker,
    FittingWorkers,
    Fleet,
)
from crocuswell_core.dispatching.speed_fit import (
    GangFit,
    GangGroup,
    gang_groups,
    rank_by_speed,
)
from crocuswell_core.dispatching.waiting_steps import RankedStep, WaitingStep
from crocuswell_core.entry.entry_state import EntryState

Placements = dict[int, CandidateWorker]
# Largest share of the fleet that one deferrable step may use at a time.
DEFERRABLE_STEP_SHARE = 0.25
# Share of the fleet that deferrable steps leave free for urgent ones.
URGENT_HEADROOM_SHARE = 0.2
# Once most of the fleet has been idle for AMPLE_CAPACITY_MS and could hold a
# step this many times over, the step may use resources that are kept free for
# other steps, and a gang may be spread over racks.
AMPLE_CAPACITY_FACTOR = 2
AMPLE_CAPACITY_MS = 1_500
IDLE_SHARE = 0.5


def fitting_workers(state: EntryState, ranked: RankedStep) -> FittingWorkers:
    """Return the index of the workers that could hold a task of the step."""
    return state.dispatch.fleet.fitting_workers(
        ranked.service, ranked.step.required_label, ranked.step.demand
    )


def update_fit(fleet: Fleet, waiting: WaitingStep, fitting: FittingWorkers) -> None:
    """Update which workers could hold the step if they were empty."""
    if waiting.fit_membership == fleet.membership:
        return
    waiting.fit_membership = fleet.membership
    waiting.fits, waiting.fitting_racks = _fit(
        fleet, waiting.ranked, fitting, fitting.capacity
    )


def _fit(
    fleet: Fleet, ranked: RankedStep, fitting: FittingWorkers, keys: Iterable[str]
) -> tuple[bool, frozenset[str]]:
    """Return whether workers could hold the step, and the racks that could."""
    total = 0
    by_rack_copies: dict[str, int] = {}
    for key in keys:
        copies = _limit_copies(ranked, fitting.capacity[key])
        total += copies
        rack = fleet.candidates[key].worker.rack
        by_rack_copies[rack] = by_rack_copies.get(rack, 0) + copies
    needed = ranked.waiting_count
    racks = frozenset(r for r, copies in by_rack_copies.items() if copies >= needed)
    return (bool(racks) if ranked.needs_one_rack else total >= needed), racks


def exclude_failed_workers(
    fleet: Fleet,
    ranked: RankedStep,
    fitting: FittingWorkers,
    candidates: list[CandidateWorker],
) -> list[CandidateWorker]:
    """Leave out workers on which a waiting task failed, if others suffice.

    The failure may be the worker's fault, and the next attempt may be the
    task's last one.
    """
    if not ranked.failed_on:
        return candidates
    others = [
        key
        for key in fitting.capacity
        if fleet.candidates[key].worker.id not in ranked.failed_on
    ]
    if not _fit(fleet, ranked, fitting, others)[0]:
        return candidates
    return [c for c in candidates if c.worker.id not in ranked.failed_on]


def choose_placements(
    state: EntryState,
    waiting: WaitingStep,
    candidates: list[CandidateWorker],
    limit: int,
) -> Placements:
    """Return a worker for each task to start; empty if none can start.

    A gang is placed as a whole or not at all. Of other steps, at most
    `limit` tasks are placed, and only one that needs a trial.
    """
    fleet, ranked = state.dispatch.fleet, waiting.ranked
    if trials.is_held_back(state, ranked):
        return {}
    rank_by_speed(state, ranked, candidates)
    if ranked.suspects and not ranked.step.gang:
        return _place_on_trial(state, ranked, candidates, ranked.suspects[0])
    if not ranked.step.gang:
        return _place_independent_tasks(fleet, ranked, candidates, limit)
    if ranked.step.prefers_one_rack:
        return _place_gang_in_rack(fleet, waiting, candidates)
    return place_gang(fleet, ranked, candidates)


def _place_on_trial(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker], index: int
) -> Placements:
    fleet = state.dispatch.fleet
    with_room = [c for c in candidates if _copies_left(ranked, c)]
    with_room.sort(key=lambda candidate: _preference(fleet, ranked, candidate))
    is_busy = not _is_idle(fleet, ranked.service)
    chosen = trials.choose_trial_worker(state, ranked, index, with_room, is_busy)
    if chosen is None:
        return {}
    state.dispatch.last_trial_ms = state.now_ms
    state.dispatch.trial_waits.pop(ranked.key, None)
    return {index: chosen}


def start_limit(ranked: RankedStep, fitting: FittingWorkers) -> int:
    """Return how many tasks of a step may start now.

    Deferrable steps leave part of the fleet free, so that urgent steps can
    start without preemption. Unless they are gangs, they also use only a
    share of the fleet at a time.
    """
    if not ranked.is_deferrable:
        return ranked.waiting_count
    spare = fitting.total - round(fitting.total_capacity * URGENT_HEADROOM_SHARE)
    if ranked.step.gang:
        return ranked.waiting_count if spare >= ranked.waiting_count else 0
    running = ranked.step.count - ranked.waiting_count - ranked.done
    share = max(1, round(fitting.total_capacity * DEFERRABLE_STEP_SHARE))
    return max(0, min(share - running, spare))


def _place_independent_tasks(
    fleet: Fleet, ranked: RankedStep, candidates: list[CandidateWorker], max_tasks: int
) -> Placements:
    """Place as many tasks as fit, preferring full workers (best fit).

    A worker stays the best fit until it is full.
    """
    placements: Placements = {}
    ordered = sorted(candidates, key=lambda c: _preference(fleet, ranked, c))
    room = [_copies_left(ranked, candidate) for candidate in ordered]
    position = 0
    for index in ranked.waiting[:max_tasks]:
        while position < len(ordered) and not room[position]:
            position += 1
        chosen = _first_sound(ranked, index, ordered, room, position)
        if chosen is None:
            break
        placements[index] = ordered[chosen]
        room[chosen] -= 1
    return placements


def _first_sound(
    ranked: RankedStep,
    index: int,
    ordered: list[CandidateWorker],
    room: list[int],
    start: int,
) -> int | None:
    """Return the position of the first worker on which a task did not fail.

    Without one, the first worker with room; None if there is no room.
    """
    if start >= len(ordered):
        return None
    failed_on = ranked.tasks[index].failed_on
    if not failed_on:
        return start
    return next(
        (
            position
            for position in range(start, len(ordered))
            if room[position] and ordered[position].worker.id not in failed_on
        ),
        start,
    )


def _preference(
    fleet: Fleet, ranked: RankedStep, candidate: CandidateWorker
) -> tuple[bool, int, int, int, int]:
    return (
        _is_remote(ranked, candidate),
        candidate.speed_rank,
        candidate.available.accelerators,
        candidate.available.cpu_millis,
        # Fill partly used racks first to keep whole racks for gangs.
        fleet.rack_accelerators[candidate.worker.rack],
    )


def _is_remote(ranked: RankedStep, candidate: CandidateWorker) -> bool:
    rack = ranked.step.data_rack
    return bool(rack) and rack != candidate.worker.rack


def _copies_left(ranked: RankedStep, candidate: CandidateWorker) -> int:
    """Return how many tasks of the step a worker can hold beside its own."""
    copies = candidate.available.max_copies(ranked.step.demand)
    limit = ranked.step.per_worker_limit
    if not limit:
        return copies
    present = sum(task.step_key == ranked.key for task in candidate.placed)
    return max(0, min(copies, limit - present))


def by_rack(
    candidates: Iterable[CandidateWorker],
) -> dict[str, list[CandidateWorker]]:
    """Return the workers of each rack."""
    racks: dict[str, list[CandidateWorker]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.worker.rack, []).append(candidate)
    return racks


def max_copies_on(ranked: RankedStep, candidate: CandidateWorker) -> int:
    """Return how many tasks of the step fit on a worker now."""
    copies = candidate.available.max_copies(ranked.step.demand)
    return _limit_copies(ranked, copies)


def _limit_copies(ranked: RankedStep, copies: int) -> int:
    limit = ranked.step.per_worker_limit
    return min(copies, limit) if limit else copies


def _place_gang_in_rack(
    fleet: Fleet, waiting: WaitingStep, candidates: list[CandidateWorker]
) -> Placements:
    """Place a gang in one rack, preferring full racks (best fit).

    A gang that no rack could hold even when empty is spread over racks.
    """
    ranked = waiting.ranked
    fitting_racks = [
        rack_workers
        for rack_workers in by_rack(candidates).values()
        if sum(max_copies_on(ranked, c) for c in rack_workers) >= ranked.waiting_count
    ]
    if fitting_racks:
        tightest = min(
            fitting_racks,
            key=lambda rack_workers: (
                _has_failed_worker(ranked, rack_workers),
                _gang_fit(ranked, rack_workers),
                fleet.rack_accelerators[rack_workers[0].worker.rack],
            ),
        )
        return place_gang(fleet, ranked, tightest)
    if waiting.fitting_racks:
        return {}
    return place_gang(fleet, ranked, candidates)


def _gang_fit(ranked: RankedStep, candidates: list[CandidateWorker]) -> GangFit:
    """Return how well the speeds of workers that can hold a gang suit it."""
    return _gang_groups(ranked, candidates)[0].fit


def _gang_groups(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[GangGroup]:
    copies = {c.key: max_copies_on(ranked, c) for c in candidates}
    with_room = [candidate for candidate in candidates if copies[candidate.key]]
    return gang_groups(with_room, copies, ranked.waiting_count)


def _failed_worker_ids(ranked: RankedStep) -> set[str]:
    """Return the ids of the workers on which runs of the step failed."""
    return {worker for task in ranked.tasks for worker in task.failed_on}


def _has_failed_worker(ranked: RankedStep, candidates: list[CandidateWorker]) -> bool:
    failed_on = _failed_worker_ids(ranked)
    return any(candidate.worker.id in failed_on for candidate in candidates)


def place_gang(
    fleet: Fleet, ranked: RankedStep, candidates: list[CandidateWorker]
) -> Placements:
    """Place all tasks, on workers of one speed if possible."""
    for group in _gang_groups(ranked, candidates):
        placements = _fill_workers(fleet, ranked, group.candidates)
        if placements:
            return placements
    return {}


def _fill_workers(
    fleet: Fleet, ranked: RankedStep, candidates: list[CandidateWorker]
) -> Placements:
    """Place all tasks of a gang, filling the fullest workers first."""
    failed_on = _failed_worker_ids(ranked)
    is_suspect = bool(ranked.suspects)
    crashed = {name for task in ranked.tasks for name in task.crashed_machines}
    ordered = sorted(
        (candidate for candidate in candidates if max_copies_on(ranked, candidate)),
        key=lambda c: (
            # What a suspect gang may crash should run nothing else.
            is_suspect and bool(c.placed),
            is_suspect and c.worker.machine in crashed,
            c.worker.id in failed_on,
            _is_remote(ranked, c),
            c.speed_rank,
            c.available.accelerators,
            fleet.rack_accelerators[c.worker.rack],
        ),
    )
    placements: Placements = {}
    waiting = list(reversed(ranked.waiting))
    for candidate in ordered:
        for _ in range(min(max_copies_on(ranked, candidate), len(waiting))):
            placements[waiting.pop()] = candidate
        if not waiting:
            return placements
    return {}


def place_on_idle_fleet(
    state: EntryState,
    waiting: WaitingStep,
    candidates: list[CandidateWorker],
    unheld: list[CandidateWorker],
    limit: int,
) -> Placements:
    """Place a step on resources that an idle fleet keeps free for others.

    A step of which no task runs may also use the share that is left free for
    urgent work, one task at a time. While no urgent job is open, so may a step
    that has its share already, but not on workers held for other steps.

    Parameters
    ----------
    candidates : list of CandidateWorker
        Workers that could hold a task, held for other steps or not.
    unheld : list of CandidateWorker
        Those of them that are not held for other steps.
    limit : int
        Tasks that may start now, from `start_limit`.
    """
    ranked = waiting.ranked
    exceeds_share = not limit and ranked.waiting_count < ranked.step.count - ranked.done
    if exceeds_share:
        if state.dispatch.waiting.has_urgent_jobs:
            return {}
        candidates = unheld
    since_by_step = state.dispatch.ample_since_ms
    copies = sum(max_copies_on(ranked, candidate) for candidate in candidates)
    needed = ranked.waiting_count if ranked.step.gang else 1
    is_idle = _is_idle(state.dispatch.fleet, ranked.service)
    if copies < AMPLE_CAPACITY_FACTOR * needed or not is_idle:
        since_by_step.pop(ranked.key, None)
        return {}
    idle_since_ms = since_by_step.setdefault(ranked.key, state.now_ms)
    if state.now_ms - idle_since_ms < AMPLE_CAPACITY_MS:
        return {}
    fleet = state.dispatch.fleet
    placements = choose_placements(state, waiting, candidates, limit or 1)
    if placements or not ranked.step.gang:
        return placements
    return place_gang(fleet, ranked, candidates)


def _is_idle(fleet: Fleet, service: str) -> bool:
    """Tell whether most of the processors or the accelerators are free."""
    totals = fleet.services.get(service)
    if totals is None:
        return False
    free, capacity = totals.free, totals.capacity
    return (
        free.cpu_millis > capacity.cpu_millis * IDLE_SHARE
        or free.accelerators > capacity.accelerators * IDLE_SHARE
    )
