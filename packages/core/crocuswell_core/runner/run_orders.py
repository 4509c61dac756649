"""Start and stop orders for the worker, and the end of its lease."""

from crocuswell_core.jobs.job_records import RunId
from crocuswell_core.jobs.job_table import LATE_CALL_MS
from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    StartOrder,
    StopOrder,
)
from crocuswell_core.runner.worker_calls import (
    StartOnWorker,
    StopOnWorker,
)
from crocuswell_core.runtime.call_window import MAX_SEND_DELAY_MS
from crocuswell_core.runtime.effects import (
    CallWorker,
    Effect,
    StartTimer,
)
from crocuswell_core.runtime.timers import OrderTimer

# No start is sent to the worker with less than this left of the grant.
MIN_REMAINING_GRANT_MS = 500
# Where failure domains may be evacuated, no start is sent to the worker
# without an answer from the leader to a report of this last time: the leader
# may have withdrawn it.
MAX_CONTACT_AGE_MS = 2_000


def drop_unsent_starts(state: RunnerState) -> None:
    """Drop the unsent starts of a leader that can no longer be reached.

    A start that was sent may have been carried out, so it stays; the next
    leader finds the run in a report, or orders it again.
    """
    for run, start in list(state.starts.items()):
        if start.phase is not OrderPhase.CALLING:
            drop_start(state, run)


def drop_start(state: RunnerState, run: RunId) -> None:
    """Drop a start, which the worker may nevertheless have carried out."""
    start = state.starts.pop(run, None)
    if start is not None and may_have_reached_worker(start):
        state.confirmed_ms.setdefault(run, state.now_ms)
        state.unanswered_ms[run] = state.now_ms


def withdraw_start(state: RunnerState, run: RunId) -> None:
    """Do not carry out a start; the stop makes the run absent for sure."""
    drop_start(state, run)
    state.stops.setdefault(run, StopOrder())


def has_grant(state: RunnerState) -> bool:
    """Tell whether the leader's newest grant has not ended.

    After its end the leader may have given up all runs, also those whose
    starts are not yet carried out.
    """
    return state.now_ms < state.granted_until_ms


def _withdraw_invalid_starts(state: RunnerState) -> None:
    """Withdraw the starts that must not be sent any more.

    A draining worker must not start runs. The stop makes a run absent, which
    is reported to the leader.
    """
    if state.heartbeat is None or not state.uplink.is_attached:
        return
    if has_grant(state) and not state.heartbeat.draining:
        return
    for run, start in list(state.starts.items()):
        if start.phase is OrderPhase.WAITING:
            withdraw_start(state, run)


def stop_all_runs(state: RunnerState) -> None:
    """Order a stop of each run that the worker or its next boot may have.

    A call for the start of a run names the worker's id only, so that a later
    boot may carry it out. Its list proves nothing about calls on their way;
    once it has accepted a stop it refuses the run.
    """
    ordered = list(state.starts)
    for run in ordered:
        drop_start(state, run)
    runs = {
        # The leader does not repeat an order, and waits for the absence.
        **dict.fromkeys(ordered),
        **state.running,
        **state.confirmed_ms,
        **state.unanswered_ms,
        **state.stops,
        **state.absent,
    }
    state.stops = {run: StopOrder() for run in runs}


def forget_late_starts(state: RunnerState) -> None:
    """Forget unanswered calls that no worker will carry out any more."""
    cutoff_ms = state.now_ms - LATE_CALL_MS
    for run, sent_ms in list(state.unanswered_ms.items()):
        if sent_ms < cutoff_ms:
            del state.unanswered_ms[run]


def may_have_reached_worker(start: StartOrder) -> bool:
    """Tell whether the worker may have the run of a start."""
    return start.was_sent or start.phase is OrderPhase.CALLING


def _may_be_withdrawn(state: RunnerState) -> bool:
    """Tell whether an evacuation may have withdrawn the starts."""
    age_ms = state.now_ms - state.contact_ms
    return state.cfg.may_be_evacuated and age_ms > MAX_CONTACT_AGE_MS


def _may_have_restarted(state: RunnerState) -> bool:
    """Tell whether another boot of the same id may take the starts.

    Orders name the worker's id only.
    """
    if state.other_born_ms:
        return True
    candidate, served = state.candidate, state.heartbeat
    return candidate is not None and served is not None and candidate.id == served.id


def send_due_orders(state: RunnerState) -> list[Effect]:
    """Send the worker the orders that are due, as far as there is room.

    Stops go first. An order without room stays as it is, so that it can still
    be withdrawn; what it says is decided when it leaves.
    """
    _withdraw_invalid_starts(state)
    effects = [*_send_due_stops(state), *_send_due_starts(state)]
    room_at_ms = state.orders_in_flight.room_at_ms(state.now_ms)
    if room_at_ms is not None and room_at_ms > state.now_ms:
        effects.append(StartTimer(OrderTimer(), room_at_ms - state.now_ms))
    return effects


def _send_due_starts(state: RunnerState) -> list[Effect]:
    if state.heartbeat is None or not state.uplink.is_attached:
        return []
    if (
        state.granted_until_ms - state.now_ms < MIN_REMAINING_GRANT_MS
        or _may_be_withdrawn(state)
        or _may_have_restarted(state)
        or not state.clock.read_ms
    ):
        return []
    effects: list[Effect] = []
    for run, start in state.starts.items():
        if not state.orders_in_flight.has_room(state.now_ms):
            break
        if start.phase is not OrderPhase.WAITING or state.now_ms < start.retry_at_ms:
            continue
        start.phase = OrderPhase.CALLING
        state.orders_in_flight.add(state.now_ms)
        call = StartOnWorker(
            worker=state.heartbeat.id,
            run=run,
            payload=start.order.payload,
            lease_end_ms=extend_worker_lease(state),
            fence=state.fence,
            checkpoint=start.order.checkpoint,
            served_ms=state.served_ms,
            send_by_ms=min(state.granted_until_ms, state.now_ms + MAX_SEND_DELAY_MS),
            made_ms=state.now_ms,
        )
        effects.append(CallWorker(call))
    return effects


def _send_due_stops(state: RunnerState) -> list[Effect]:
    if state.heartbeat is None:
        return []
    effects: list[Effect] = []
    for run, stop in state.stops.items():
        if not state.orders_in_flight.has_room(state.now_ms):
            break
        if stop.phase is OrderPhase.WAITING and state.now_ms >= stop.retry_at_ms:
            stop.phase = OrderPhase.CALLING
            state.orders_in_flight.add(state.now_ms)
            call = StopOnWorker(
                worker=state.heartbeat.id,
                run=run,
                fence=state.fence,
                served_ms=state.served_ms,
                send_by_ms=state.now_ms + MAX_SEND_DELAY_MS,
                made_ms=state.now_ms,
            )
            effects.append(CallWorker(call))
    return effects


def extend_worker_lease(state: RunnerState) -> int:
    """Extend the worker's lease to the grant; return its end.

    The end is in ms on the worker's clock. That clock may run slow, so the
    remaining time is shortened by the largest drift.
    """
    clock_rate = 1 - state.cfg.clock_drift
    left_ms = state.granted_until_ms - state.clock.read_ms
    state.lease_until_ms = max(state.lease_until_ms, state.granted_until_ms)
    return state.clock.clock_ms + int(left_ms * clock_rate)
