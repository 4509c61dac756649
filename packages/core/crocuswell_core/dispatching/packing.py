"""Bin packing of tasks onto workers, which keeps space for large gangs."""

from crocuswell_core.dispatching.dispatch_state import CandidateWorker
from crocuswell_core.dispatching.ranking import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import ResourceVector

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


def exclude_failed_workers(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[CandidateWorker]:
    """Leave out workers on which a waiting task failed, if others suffice.

    The failure may be the worker's fault, and the next attempt may be the
    task's last one.
    """
    failed_on = {
        worker for index in ranked.waiting for worker in ranked.tasks[index].failed_on
    }
    others = [
        candidate
        for candidate in candidates
        if candidate.view.worker.id not in failed_on
    ]
    suffices = any(
        _fits_when_empty(ranked, workers)
        for workers in candidate_groups(ranked, others)
    )
    return others if suffices else candidates


def choose_placements(
    ranked: RankedStep, candidates: list[CandidateWorker], limit: int
) -> Placements:
    """Return a worker for each task to start; empty if none can start.

    A gang is placed as a whole or not at all. Of other steps, at most
    `limit` tasks are placed.
    """
    if not ranked.step.gang:
        return _place_independent_tasks(ranked, candidates, limit)
    if ranked.step.prefers_one_rack:
        return _place_gang_in_rack(ranked, candidates)
    return _place_gang(ranked, candidates)


def start_limit(ranked: RankedStep, candidates: list[CandidateWorker]) -> int:
    """Return how many tasks of a step may start now.

    Deferrable steps leave part of the fleet free, so that urgent steps can
    start without preemption. Unless they are gangs, they also use only a
    share of the fleet at a time.
    """
    if not ranked.is_deferrable:
        return ranked.waiting_count
    demand = ranked.step.demand
    total_copies = sum(
        candidate.view.worker.capacity.max_copies(demand) for candidate in candidates
    )
    free = sum(candidate.free.max_copies(demand) for candidate in candidates)
    spare = free - round(total_copies * URGENT_HEADROOM_SHARE)
    if ranked.step.gang:
        return ranked.waiting_count if spare >= ranked.waiting_count else 0
    running = ranked.step.count - ranked.waiting_count - ranked.done
    remaining_share = max(1, round(total_copies * DEFERRABLE_STEP_SHARE)) - running
    return max(0, min(remaining_share, spare))


def _place_independent_tasks(
    ranked: RankedStep, candidates: list[CandidateWorker], max_tasks: int
) -> Placements:
    """Place as many tasks as fit, preferring full workers (best fit)."""
    placements: Placements = {}
    free = {id(candidate): candidate.available for candidate in candidates}
    free_by_rack = _free_accelerators_by_rack(candidates)
    tasks_per_worker = _count_tasks_per_worker(ranked, candidates)
    worker_limit = ranked.step.per_worker_limit
    for index in ranked.waiting[:max_tasks]:
        failed_on = ranked.tasks[index].failed_on
        fitting = [
            candidate
            for candidate in candidates
            if free[id(candidate)].can_hold(ranked.step.demand)
            and (not worker_limit or tasks_per_worker[id(candidate)] < worker_limit)
        ]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda c: (
                c.view.worker.id in failed_on,
                _is_remote(ranked, c),
                free[id(c)].accelerators,
                free[id(c)].cpu_millis,
                # Fill partly used racks first to keep whole racks for gangs.
                free_by_rack[c.view.worker.rack],
            ),
        )
        placements[index] = best
        free[id(best)] = free[id(best)] - ranked.step.demand
        tasks_per_worker[id(best)] += 1
    return placements


def _is_remote(ranked: RankedStep, candidate: CandidateWorker) -> bool:
    rack = ranked.step.data_rack
    return bool(rack) and rack != candidate.view.worker.rack


def _count_tasks_per_worker(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> dict[int, int]:
    """Return how many tasks of the step are already on each worker."""
    return {
        id(candidate): sum(task.step_key == ranked.key for task in candidate.placed)
        for candidate in candidates
    }


def candidate_groups(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[list[CandidateWorker]]:
    """Return groups of workers; a single group must hold the whole step."""
    if not ranked.needs_one_rack:
        return [candidates]
    return list(by_rack(candidates).values())


def by_rack(candidates: list[CandidateWorker]) -> dict[str, list[CandidateWorker]]:
    """Return the workers of each rack."""
    racks: dict[str, list[CandidateWorker]] = {}
    for candidate in candidates:
        racks.setdefault(candidate.view.worker.rack, []).append(candidate)
    return racks


def _free_accelerators_by_rack(candidates: list[CandidateWorker]) -> dict[str, int]:
    """Return the free accelerators of each rack."""
    return {
        rack: sum(candidate.free.accelerators for candidate in rack_workers)
        for rack, rack_workers in by_rack(candidates).items()
    }


def max_copies_on(ranked: RankedStep, candidate: CandidateWorker) -> int:
    """Return how many tasks of the step fit on a worker now."""
    return _max_copies_in(ranked, candidate.available)


def _max_copies_in(ranked: RankedStep, available: ResourceVector) -> int:
    limit = ranked.step.per_worker_limit
    copies = available.max_copies(ranked.step.demand)
    return min(copies, limit) if limit else copies


def _place_gang_in_rack(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> Placements:
    """Place a gang in one rack, preferring full racks (best fit).

    A gang that no rack could hold even when empty is spread over racks.
    """
    racks = by_rack(candidates)
    fitting_racks = [
        rack_workers
        for rack_workers in racks.values()
        if sum(max_copies_on(ranked, c) for c in rack_workers) >= ranked.waiting_count
    ]
    if fitting_racks:
        tightest = min(
            fitting_racks,
            key=lambda rack_workers: (
                _has_failed_worker(ranked, rack_workers),
                sum(c.available.accelerators for c in rack_workers),
            ),
        )
        return _place_gang(ranked, tightest)
    if any(_fits_when_empty(ranked, rack_workers) for rack_workers in racks.values()):
        return {}
    return _place_gang(ranked, candidates)


def _failed_worker_ids(ranked: RankedStep) -> set[str]:
    """Return the ids of the workers on which runs of the step failed."""
    return {worker for task in ranked.tasks for worker in task.failed_on}


def _has_failed_worker(ranked: RankedStep, candidates: list[CandidateWorker]) -> bool:
    failed_on = _failed_worker_ids(ranked)
    return any(candidate.view.worker.id in failed_on for candidate in candidates)


def _fits_when_empty(ranked: RankedStep, candidates: list[CandidateWorker]) -> bool:
    """Tell whether the workers could hold all tasks if they were empty."""
    copies = sum(_max_copies_in(ranked, c.view.worker.capacity) for c in candidates)
    return copies >= ranked.waiting_count


def _place_gang(ranked: RankedStep, candidates: list[CandidateWorker]) -> Placements:
    """Place all tasks, filling the fullest workers first."""
    failed_on = _failed_worker_ids(ranked)
    free_by_rack = _free_accelerators_by_rack(candidates)
    ordered = sorted(
        (candidate for candidate in candidates if max_copies_on(ranked, candidate)),
        key=lambda c: (
            c.view.worker.id in failed_on,
            _is_remote(ranked, c),
            c.available.accelerators,
            free_by_rack[c.view.worker.rack],
        ),
    )
    placements: Placements = {}
    waiting = list(ranked.waiting)
    for candidate in ordered:
        for _ in range(min(max_copies_on(ranked, candidate), len(waiting))):
            placements[waiting.pop(0)] = candidate
        if not waiting:
            return placements
    return {}


def place_on_idle_fleet(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker], limit: int
) -> Placements:
    """Place a step on resources that an idle fleet keeps free for others.

    A step of which no task runs may also use the share that is left free for
    urgent work, one task at a time.
    """
    if not limit and ranked.waiting_count < ranked.step.count - ranked.done:
        return {}
    since_by_step = state.dispatch.ample_since_ms
    for candidate in candidates:
        candidate.available = candidate.unreserved(ranked.key)
    copies = sum(max_copies_on(ranked, candidate) for candidate in candidates)
    needed = ranked.waiting_count if ranked.step.gang else 1
    if copies < AMPLE_CAPACITY_FACTOR * needed or not _is_idle(candidates):
        since_by_step.pop(ranked.key, None)
        return {}
    idle_since_ms = since_by_step.setdefault(ranked.key, state.now_ms)
    if state.now_ms - idle_since_ms < AMPLE_CAPACITY_MS:
        return {}
    placements = choose_placements(ranked, candidates, limit or 1)
    if placements or not ranked.step.gang:
        return placements
    return _place_gang(ranked, candidates)


def _is_idle(candidates: list[CandidateWorker]) -> bool:
    """Tell whether most of the processors or the accelerators are free."""
    free, capacity = ResourceVector(), ResourceVector()
    for candidate in candidates:
        free = free + candidate.free
        capacity = capacity + candidate.view.worker.capacity
    return (
        free.cpu_millis > capacity.cpu_millis * IDLE_SHARE
        or free.accelerators > capacity.accelerators * IDLE_SHARE
    )


def limit_backfill(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker]
) -> None:
    """Keep resources free for a waiting step, except for backfill.

    For a gang that needs one rack, the rack with the smallest shortfall is
    kept free. Tasks that should end before the step can start may use the
    resources until then.
    """
    if not candidates:
        return
    group = candidates
    if ranked.needs_one_rack:
        group = _choose_reserved_rack(state, ranked, candidates)
    if not _fits_when_empty(ranked, group):
        # The step cannot start on the present workers, so holding resources
        # for it would only delay others.
        return
    chosen: list[CandidateWorker] = []
    unplaced = ranked.waiting_count
    for candidate in sorted(
        group, key=lambda c: -c.available.max_copies(ranked.step.demand)
    ):
        if unplaced <= 0:
            break
        unplaced -= max(1, candidate.available.max_copies(ranked.step.demand))
        chosen.append(candidate)
    until_ms = max((_remaining_ms(state, candidate) for candidate in chosen), default=0)
    for candidate in chosen:
        candidate.backfill_limit_ms = (
            until_ms
            if candidate.backfill_limit_ms is None
            else min(candidate.backfill_limit_ms, until_ms)
        )


def _choose_reserved_rack(
    state: EntryState, ranked: RankedStep, candidates: list[CandidateWorker]
) -> list[CandidateWorker]:
    """Return the workers of the rack that is reserved for a gang."""
    racks = by_rack(candidates)
    reserved = state.dispatch.reserved_racks
    rack = reserved.get(ranked.key, "")
    if rack not in racks or not _fits_when_empty(ranked, racks[rack]):
        rack = min(racks, key=lambda name: _shortfall(ranked, racks[name]))
        reserved[ranked.key] = rack
    return racks[rack]


def _remaining_ms(state: EntryState, candidate: CandidateWorker) -> int:
    """Return the expected time in ms until a worker's last run ends."""
    jobs = state.cluster.jobs.jobs
    longest_ms = 0
    for run, progress in candidate.view.running.items():
        job = jobs.get(run.task.job_id)
        if job is not None:
            estimated_ms = job.steps[run.task.step].estimated_ms
            longest_ms = max(longest_ms, progress.estimate_remaining_ms(estimated_ms))
    return longest_ms


def _shortfall(
    ranked: RankedStep, candidates: list[CandidateWorker]
) -> tuple[bool, int]:
    fitting = sum(
        candidate.available.max_copies(ranked.step.demand) for candidate in candidates
    )
    return (not _fits_when_empty(ranked, candidates), -fitting)
