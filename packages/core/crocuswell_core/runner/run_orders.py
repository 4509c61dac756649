"""Orders to the worker: starts and stops that wait, and lease ends."""

from crocuswell_core.runner.runner_state import (
    OrderPhase,
    RunnerState,
    StopOrder,
)
from crocuswell_core.runner.worker_calls import (
    BeginRun,
    EndRun,
)
from crocuswell_core.runtime.effects import (
    CallWorker,
    Effect,
)

# A start is not begun with less than this left of the grant.
LEAST_GRANT_MS = 500


def drop_unsent_starts(state: RunnerState) -> None:
    """Forget starts of a leader that is out of reach.

    A start that was sent may have been carried out; the next leader sees
    the run in the worker's list, or orders it again.
    """
    state.starts = {
        run: start
        for run, start in state.starts.items()
        if start.phase is OrderPhase.CALLING
    }


def begin_waiting(state: RunnerState) -> list[Effect]:
    """Call the worker for the starts whose time has come."""
    if state.beat is None or not state.uplink.is_attached:
        return []
    if (
        state.granted_until_ms - state.now_ms < LEAST_GRANT_MS
        or not state.clock.read_ms
    ):
        return []
    effects: list[Effect] = []
    for run, start in list(state.starts.items()):
        if start.phase is not OrderPhase.WAITING or state.now_ms < start.retry_at_ms:
            continue
        if state.beat.draining:
            # It must not begin anything new; the stop settles the order.
            del state.starts[run]
            state.stops.setdefault(run, StopOrder())
            continue
        start.phase = OrderPhase.CALLING
        call = BeginRun(
            worker=state.beat.id,
            run=run,
            payload=start.order.payload,
            lease_end_ms=lease_end_ms(state),
            fence=state.fence,
            checkpoint=start.order.checkpoint,
        )
        effects.append(CallWorker(call))
    return effects


def end_waiting(state: RunnerState) -> list[Effect]:
    """Call the worker for the stops whose time has come."""
    if state.beat is None:
        return []
    effects: list[Effect] = []
    for run, stop in state.stops.items():
        if stop.phase is OrderPhase.WAITING and state.now_ms >= stop.retry_at_ms:
            stop.phase = OrderPhase.CALLING
            effects.append(CallWorker(EndRun(state.beat.id, run, state.fence)))
    return effects


def lease_end_ms(state: RunnerState) -> int:
    """Return the end of the grant on the worker's clock, and note it.

    The worker's clock may run slow, so that the same number of its
    milliseconds takes longer.
    """
    pace = 1 - state.cfg.clock_drift
    left_ms = state.granted_until_ms - state.clock.read_ms
    state.lease_until_ms = max(state.lease_until_ms, state.granted_until_ms)
    return state.clock.clock_ms + int(left_ms * pace)
