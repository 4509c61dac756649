"""Places tasks on workers so that large gangs find room later."""

from crocuswell_core.dispatching.dispatch_state import Space
from crocuswell_core.dispatching.ranking import RankedStep
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.jobs.job_records import Room

Places = dict[int, Space]
# Share of the fleet that one step which can wait takes at a time.
WAVE_SHARE = 0.25
# Share of the fleet that work which can wait leaves free.
RESERVED_SHARE = 0.2
# A step takes room that is held for others or left free for urgent work, and
# a gang is spread over racks, once most of the fleet was idle and had room
# for it this many times.
AMPLE_ROOM = 2
AMPLE_ROOM_MS = 1_500
IDLE_SHARE = 0.5


def without_failures(ranked: RankedStep, spaces: list[Space]) -> list[Space]:
    """Leave out workers on which a waiting task failed, if others could do.

    The worker may be at fault; another try there may be the task's last.
    """
    failed_on = {
        worker for index in ranked.waiting for worker in ranked.tasks[index].failed_on
    }
    sound = [space for space in spaces if space.view.worker.id not in failed_on]
    enough = any(_could_hold(ranked, g) for g in candidate_groups(ranked, sound))
    return sound if enough else spaces


def choose_places(ranked: RankedStep, spaces: list[Space], limit: int) -> Places:
    """Return a worker for each task to start; empty if none can start.

    A gang is placed as a whole or not at all; of other steps at most `limit`
    tasks start.
    """
    if not ranked.step.gang:
        return _place_singles(ranked, spaces, limit)
    if ranked.step.same_rack:
        return _place_in_rack(ranked, spaces)
    return _place_gang(ranked, spaces)


def start_limit(ranked: RankedStep, spaces: list[Space]) -> int:
    """Return how many tasks of a step may start now.

    Work that can wait leaves some of the fleet free, so that urgent work
    finds room without evictions; without a gang it also takes only a share
    of the fleet at a time.
    """
    if not ranked.can_wait:
        return ranked.missing
    demand = ranked.step.demand
    fleet = sum(space.view.worker.capacity.max_copies(demand) for space in spaces)
    free = sum(space.free.max_copies(demand) for space in spaces)
    spare = free - round(fleet * RESERVED_SHARE)
    if ranked.step.gang:
        return ranked.missing if spare >= ranked.missing else 0
    running = ranked.step.count - ranked.missing - ranked.done
    share = max(1, round(fleet * WAVE_SHARE)) - running
    return max(0, min(share, spare))


def _place_singles(ranked: RankedStep, spaces: list[Space], most: int) -> Places:
    """Place as many tasks as fit, on the fullest workers that hold them."""
    places: Places = {}
    free = {id(space): space.room for space in spaces}
    rack_room = _rack_room(spaces)
    counts = _counts(ranked, spaces)
    limit = ranked.step.per_worker_limit
    for index in ranked.waiting[:most]:
        failed_on = ranked.tasks[index].failed_on
        fitting = [
            space
            for space in spaces
            if free[id(space)].can_hold(ranked.step.demand)
            and (not limit or counts[id(space)] < limit)
        ]
        if not fitting:
            break
        best = min(
            fitting,
            key=lambda s: (
                s.view.worker.id in failed_on,
                _is_remote(ranked, s),
                free[id(s)].accelerators,
                free[id(s)].cpu_millis,
                # Whole racks stay free for gangs.
                rack_room[s.view.worker.rack],
            ),
        )
        places[index] = best
        free[id(best)] = free[id(best)] - ranked.step.demand
        counts[id(best)] += 1
    return places


def _is_remote(ranked: RankedStep, space: Space) -> bool:
    rack = ranked.step.data_rack
    return bool(rack) and rack != space.view.worker.rack


def _counts(ranked: RankedStep, spaces: list[Space]) -> dict[int, int]:
    """Return how many tasks of the step each worker holds already."""
    return {
        id(space): sum(task.step_key == ranked.key for task in space.placed)
        for space in spaces
    }


def candidate_groups(ranked: RankedStep, spaces: list[Space]) -> list[list[Space]]:
    """Return the groups of workers of which one must hold the whole step."""
    if not ranked.needs_one_rack:
        return [spaces]
    return list(by_rack(spaces).values())


def by_rack(spaces: list[Space]) -> dict[str, list[Space]]:
    """Return the workers of each rack."""
    racks: dict[str, list[Space]] = {}
    for space in spaces:
        racks.setdefault(space.view.worker.rack, []).append(space)
    return racks


def _rack_room(spaces: list[Space]) -> dict[str, int]:
    """Return the free accelerators of each rack."""
    return {
        rack: sum(space.free.accelerators for space in members)
        for rack, members in by_rack(spaces).items()
    }


def copies_on(ranked: RankedStep, space: Space) -> int:
    """Return how many tasks of the step fit on a worker now."""
    return _copies_in(ranked, space.room)


def _copies_in(ranked: RankedStep, room: Room) -> int:
    limit = ranked.step.per_worker_limit
    copies = room.max_copies(ranked.step.demand)
    return min(copies, limit) if limit else copies


def _place_in_rack(ranked: RankedStep, spaces: list[Space]) -> Places:
    """Place a gang in the rack that it leaves with the least free room."""
    racks = by_rack(spaces)
    holding = [
        members
        for members in racks.values()
        if sum(copies_on(ranked, s) for s in members) >= ranked.missing
    ]
    if holding:
        tightest = min(
            holding,
            key=lambda members: (
                _failed_here(ranked, members),
                sum(s.room.accelerators for s in members),
            ),
        )
        return _place_gang(ranked, tightest)
    if any(_could_hold(ranked, members) for members in racks.values()):
        return {}
    return _place_gang(ranked, spaces)


def _failed_on(ranked: RankedStep) -> set[str]:
    """Return the ids of the workers on which runs of the step failed."""
    return {worker for task in ranked.tasks for worker in task.failed_on}


def _failed_here(ranked: RankedStep, spaces: list[Space]) -> bool:
    failed_on = _failed_on(ranked)
    return any(space.view.worker.id in failed_on for space in spaces)


def _could_hold(ranked: RankedStep, spaces: list[Space]) -> bool:
    """Tell whether workers hold all tasks once they are empty."""
    copies = sum(_copies_in(ranked, s.view.worker.capacity) for s in spaces)
    return copies >= ranked.missing


def _place_gang(ranked: RankedStep, spaces: list[Space]) -> Places:
    """Place all tasks on few workers, the fullest of them first."""
    failed_on = _failed_on(ranked)
    rack_room = _rack_room(spaces)
    ordered = sorted(
        (space for space in spaces if copies_on(ranked, space)),
        key=lambda s: (
            s.view.worker.id in failed_on,
            _is_remote(ranked, s),
            s.room.accelerators,
            rack_room[s.view.worker.rack],
        ),
    )
    places: Places = {}
    waiting = list(ranked.waiting)
    for space in ordered:
        for _ in range(min(copies_on(ranked, space), len(waiting))):
            places[waiting.pop(0)] = space
        if not waiting:
            return places
    return {}


def take_ample_room(
    state: EntryState, ranked: RankedStep, spaces: list[Space], limit: int
) -> Places:
    """Place a step in a fleet that is idle but for what it is held for.

    A step of which nothing runs also takes from what is left free for urgent
    work, one task at a time.
    """
    if not limit and ranked.missing < ranked.step.count - ranked.done:
        return {}
    since_ms = state.dispatch.roomy_since_ms
    for space in spaces:
        space.room = space.unclaimed(ranked.key)
    copies = sum(copies_on(ranked, space) for space in spaces)
    needed = ranked.missing if ranked.step.gang else 1
    if copies < AMPLE_ROOM * needed or not _is_idle(spaces):
        since_ms.pop(ranked.key, None)
        return {}
    begun_ms = since_ms.setdefault(ranked.key, state.now_ms)
    if state.now_ms - begun_ms < AMPLE_ROOM_MS:
        return {}
    places = choose_places(ranked, spaces, limit or 1)
    if places or not ranked.step.gang:
        return places
    return _place_gang(ranked, spaces)


def _is_idle(spaces: list[Space]) -> bool:
    """Tell whether most of some resource of the workers is free."""
    free, capacity = Room(), Room()
    for space in spaces:
        free = free + space.free
        capacity = capacity + space.view.worker.capacity
    return (
        free.cpu_millis > capacity.cpu_millis * IDLE_SHARE
        or free.accelerators > capacity.accelerators * IDLE_SHARE
    )


def hold_room(state: EntryState, ranked: RankedStep, spaces: list[Space]) -> None:
    """Keep room free of other work for a step that has to wait.

    For a gang in one rack that is the rack that is nearest to holding it.
    Work that ends before the room is complete may use it meanwhile.
    """
    if not spaces:
        return
    group = spaces
    if ranked.needs_one_rack:
        group = _rack_to_hold(state, ranked, spaces)
    if not _could_hold(ranked, group):
        # It needs workers that are away; others would wait for nothing.
        return
    chosen: list[Space] = []
    missing = ranked.missing
    for space in sorted(group, key=lambda s: -s.room.max_copies(ranked.step.demand)):
        if missing <= 0:
            break
        missing -= max(1, space.room.max_copies(ranked.step.demand))
        chosen.append(space)
    until_ms = max((_remaining_ms(state, space) for space in chosen), default=0)
    for space in chosen:
        space.held_ms = (
            until_ms if space.held_ms is None else min(space.held_ms, until_ms)
        )


def _rack_to_hold(
    state: EntryState, ranked: RankedStep, spaces: list[Space]
) -> list[Space]:
    """Return the workers of the rack that a gang waits for from now on."""
    racks = by_rack(spaces)
    held = state.dispatch.held_racks
    rack = held.get(ranked.key, "")
    if rack not in racks or not _could_hold(ranked, racks[rack]):
        rack = min(racks, key=lambda name: _shortfall(ranked, racks[name]))
        held[ranked.key] = rack
    return racks[rack]


def _remaining_ms(state: EntryState, space: Space) -> int:
    """Return the time in ms until the last run on a worker should end."""
    jobs = state.cluster.jobs.jobs
    longest = 0
    for run, progress in space.view.running.items():
        job = jobs.get(run.task.job_id)
        if job is not None:
            estimated_ms = job.steps[run.task.step].estimated_ms
            longest = max(longest, progress.left_ms(estimated_ms))
    return longest


def _shortfall(ranked: RankedStep, spaces: list[Space]) -> tuple[bool, int]:
    fitting = sum(space.room.max_copies(ranked.step.demand) for space in spaces)
    return (not _could_hold(ranked, spaces), -fitting)
