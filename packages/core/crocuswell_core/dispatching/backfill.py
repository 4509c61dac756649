"""Workers that are kept free for a waiting step, except for backfill."""

import heapq
import math
from collections.abc import Iterable

from crocuswell_core.dispatching.expectations import expected_remaining_ms
from crocuswell_core.dispatching.expected_ends import time_until_fit_ms
from crocuswell_core.dispatching.fleet import CandidateWorker, FittingWorkers, Hold
from crocuswell_core.dispatching.waiting_steps import WaitingStep
from crocuswell_core.entry.entry_state import EntryState

# Bounds the racks whose runs are looked at one by one.
MAX_AWAITED_RACKS = 8


def limit_backfill(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> None:
    """Keep workers free for a waiting step, except for backfill.

    For a gang that needs one rack, the rack with the smallest shortfall is
    kept free. Tasks that should end before the step can start may use the
    resources until then, but not those that an urgent step waits for: it
    might have to stop them again a moment later.
    """
    dispatch, ranked = state.dispatch, waiting.ranked
    if not waiting.fits:
        # The step cannot start on the present workers, so holding resources
        # for it would only delay others.
        release_holds(state, waiting)
        return
    chosen: list[CandidateWorker] = []
    unplaced = ranked.waiting_count
    for candidate in _workers_to_hold(state, waiting, fitting):
        if unplaced <= 0:
            break
        unplaced -= max(1, fitting.copies.get(candidate.key, 0))
        chosen.append(candidate)
    left_ms = 0
    if not ranked.may_preempt:
        left_ms = max(
            (_remaining_ms(state, candidate) for candidate in chosen), default=0
        )
    keys = tuple(candidate.key for candidate in chosen)
    held_before = dispatch.held_workers.get(ranked.key, ())
    # Workers that stay held are not released, which would have every waiting
    # step considered again.
    dispatch.fleet.release(set(held_before).difference(keys), ranked.key)
    dispatch.held_workers[ranked.key] = keys
    dispatch.fleet.hold(keys, ranked.key, Hold(ranked.sort_key, state.now_ms + left_ms))


def release_holds(state: EntryState, waiting: WaitingStep) -> None:
    """No longer keep workers free for a step."""
    key = waiting.ranked.key
    keys = state.dispatch.held_workers.pop(key, ())
    state.dispatch.fleet.release(keys, key)


def _workers_to_hold(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> Iterable[CandidateWorker]:
    """Yield the workers on which a step may start first, most room first."""
    fleet = state.dispatch.fleet
    if waiting.ranked.needs_one_rack:
        rack = fleet.racks[_choose_reserved_rack(state, waiting, fitting)]
        keys = sorted(
            (key for key in rack if key in fitting.capacity),
            key=lambda key: -fitting.copies.get(key, 0),
        )
        yield from (fleet.candidates[key] for key in keys)
        return
    with_room = sorted(fitting.copies, key=lambda key: -fitting.copies[key])
    yield from (fleet.candidates[key] for key in with_room)
    for key in fitting.capacity:
        if key not in fitting.copies:
            yield fleet.candidates[key]


def _choose_reserved_rack(
    state: EntryState, waiting: WaitingStep, fitting: FittingWorkers
) -> str:
    """Return the rack that is reserved for a gang."""
    reserved = state.dispatch.reserved_racks
    key = waiting.ranked.key
    rack = reserved.get(key, "")
    if rack not in waiting.fitting_racks:
        room = dict.fromkeys(sorted(waiting.fitting_racks), 0)
        for worker_key, copies in fitting.copies.items():
            worker_rack = state.dispatch.fleet.candidates[worker_key].worker.rack
            if worker_rack in room:
                room[worker_rack] += copies
        rack = max(room, key=lambda name: room[name])
        if state.cfg.features.weighed_preemption:
            rack = _soonest_rack(state, waiting, fitting, room)
        reserved[key] = rack
    return rack


def _soonest_rack(
    state: EntryState,
    waiting: WaitingStep,
    fitting: FittingWorkers,
    room: dict[str, int],
) -> str:
    """Return the rack, of those with most room, that fits a gang first."""
    fleet = state.dispatch.fleet
    waits_ms: dict[str, float] = {}
    for rack in heapq.nlargest(MAX_AWAITED_RACKS, room, key=lambda name: room[name]):
        workers = [
            candidate
            for key, candidate in fleet.racks[rack].items()
            if key in fitting.capacity
        ]
        wait_ms = time_until_fit_ms(state, waiting.ranked, workers)
        waits_ms[rack] = math.inf if wait_ms is None else wait_ms
    return min(waits_ms, key=lambda name: waits_ms[name])


def _remaining_ms(state: EntryState, candidate: CandidateWorker) -> int:
    """Return the expected time in ms until a worker's last run ends."""
    return max(
        (
            expected_remaining_ms(state, candidate.view, progress)
            for run, progress in candidate.view.running.items()
            if state.cluster.jobs.step_of(run.task) is not None
        ),
        default=0,
    )
