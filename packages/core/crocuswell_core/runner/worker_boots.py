"""Which boot of the local worker a runner serves.

Heartbeats may come from other processes. A runner serves a boot only once the
process at the worker's address has answered as that boot.
"""

from functools import singledispatch

from crocuswell_core.runner.crash_witness import witness_crash
from crocuswell_core.runner.run_lists import (
    apply_run_list,
    count_event,
    send_report,
)
from crocuswell_core.runner.run_orders import send_due_orders, stop_all_runs
from crocuswell_core.runner.runner_state import RunnerState, WorkerClock
from crocuswell_core.runner.worker_calls import (
    ConfirmBoot,
    OtherWorker,
    RunsListed,
    WorkerHeartbeat,
    WorkerReply,
)
from crocuswell_core.runtime.call_window import MAX_SEND_DELAY_MS
from crocuswell_core.runtime.effects import CallWorker, Effect, EmitLogEvent, Label

CONFIRM_RETRY_MS = 200
# Workers send a heartbeat about every 1.5 s.
CANDIDATE_RETENTION_MS = 3_000
# Largest difference between the clock in a heartbeat and the worker's clock by
# its newest list with which the heartbeat counts as one of this moment.
MAX_CLOCK_DEVIATION_MS = 1_000


def receive_heartbeat(state: RunnerState, heartbeat: WorkerHeartbeat) -> list[Effect]:
    """Update the served boot, or ask the worker whether it is another one."""
    served = state.heartbeat
    if served is not None and served.is_of_same_boot(heartbeat):
        if _is_outdated(state, served, heartbeat):
            return []
        state.heartbeat = heartbeat
        # The announcement of an end names the id only: it was another boot's.
        state.is_leaving = state.is_leaving and heartbeat.draining
        return send_report(state) if served.draining != heartbeat.draining else []
    if (
        served is not None
        and heartbeat.born_ms < served.born_ms
        and heartbeat.born_ms != state.other_born_ms
    ):
        # The time of day may have been set back; a list has to show it.
        return []
    state.candidate = heartbeat
    state.candidate_ms = state.now_ms
    return _ask_candidate(state, heartbeat)


def _is_outdated(
    state: RunnerState, served: WorkerHeartbeat, heartbeat: WorkerHeartbeat
) -> bool:
    """Tell whether a newer heartbeat of the boot was received before.

    The sequence number decides, unless the clocks show that the number of the
    earlier heartbeat was wrong.
    """
    if heartbeat.sequence > served.sequence:
        return False
    clock_ms = state.clock.clock_ms + state.now_ms - state.clock.read_ms
    latest_ms = clock_ms + MAX_CLOCK_DEVIATION_MS
    is_current = clock_ms - MAX_CLOCK_DEVIATION_MS <= heartbeat.clock_ms <= latest_ms
    is_later = served.clock_ms < heartbeat.clock_ms or served.clock_ms > latest_ms
    return not (is_current and is_later)


def confirm_candidate(state: RunnerState) -> list[Effect]:
    """Ask the worker again whether it is the candidate, if that is due."""
    candidate = state.candidate
    if candidate is None or state.now_ms < state.confirm_at_ms:
        return []
    if state.now_ms - state.candidate_ms > CANDIDATE_RETENTION_MS:
        state.candidate = None
        return []
    return _ask_candidate(state, candidate)


def _ask_candidate(state: RunnerState, candidate: WorkerHeartbeat) -> list[Effect]:
    state.confirm_at_ms = state.now_ms + CANDIDATE_RETENTION_MS
    call = ConfirmBoot(
        candidate, state.fence, state.served_ms, state.now_ms + MAX_SEND_DELAY_MS
    )
    return [CallWorker(call)]


@singledispatch
def settle_candidate(
    reply: WorkerReply, state: RunnerState, heartbeat: WorkerHeartbeat
) -> list[Effect]:
    """Handle the answer to `ConfirmBoot`; ask again if there is none."""
    state.confirm_at_ms = state.now_ms + CONFIRM_RETRY_MS
    return []


@settle_candidate.register
def _(
    reply: RunsListed, state: RunnerState, heartbeat: WorkerHeartbeat
) -> list[Effect]:
    if reply.born_ms not in (0, heartbeat.born_ms):
        return _refuse_candidate(state, heartbeat)
    served = state.heartbeat
    if served is not None and served.is_of_same_boot(heartbeat):
        return []
    crashed = witness_crash(state)
    stop_all_runs(state)
    stops = state.stops if served is not None and served.id == heartbeat.id else {}
    state.heartbeat = heartbeat
    _reset_boot_state(state)
    state.stops = stops
    labels = (
        Label("worker", heartbeat.id),
        Label("born_ms", str(heartbeat.born_ms)),
        Label("service", heartbeat.service),
        Label("rack", heartbeat.rack),
    )
    registered = EmitLogEvent("worker_registered", labels)
    return [
        *crashed,
        registered,
        *apply_run_list(state, reply),
        *send_due_orders(state),
    ]


@settle_candidate.register
def _(
    reply: OtherWorker, state: RunnerState, heartbeat: WorkerHeartbeat
) -> list[Effect]:
    return _refuse_candidate(state, heartbeat)


def note_other_boot(
    state: RunnerState, reply: RunsListed, acknowledged_end: int
) -> list[Effect]:
    """Note that another boot answered a call for a run list.

    It is served once its heartbeat describes it. Until then nothing is
    started, and the runs that it may have taken over are stopped.

    Parameters
    ----------
    acknowledged_end : int
        Number of the end up to which the call acknowledged ends, which were
        those of the served boot.
    """
    served = state.heartbeat
    if served is None or state.other_born_ms == reply.born_ms:
        return []
    state.other_born_ms = reply.born_ms
    if state.reachable:
        state.reachable = False
        state.unreachable_since_ms = state.now_ms
    stop_all_runs(state)
    count_event(state, "other boot listed")
    labels = (
        Label("worker", served.id),
        Label("served_ms", str(served.born_ms)),
        Label("born_ms", str(reply.born_ms)),
        Label("runs", str(len(reply.running))),
        Label("ends", str(len(reply.ended))),
        Label("acknowledged", str(acknowledged_end)),
    )
    return [
        EmitLogEvent("other_boot_listed", labels),
        *send_due_orders(state),
        *send_report(state),
    ]


def is_foreign_clock(state: RunnerState, clock_ms: int) -> bool:
    """Tell whether a reading is too early to be of the served boot's clock."""
    latest_ms = state.clock.clock_ms - MAX_CLOCK_DEVIATION_MS
    return state.clock.read_ms > 0 and 0 < clock_ms < latest_ms


def _refuse_candidate(state: RunnerState, heartbeat: WorkerHeartbeat) -> list[Effect]:
    """Drop a heartbeat that does not come from the worker."""
    if state.candidate is not None and state.candidate.is_of_same_boot(heartbeat):
        state.candidate = None
    count_event(state, "heartbeat refused")
    labels = (
        Label("worker", heartbeat.id),
        Label("born_ms", str(heartbeat.born_ms)),
        Label("service", heartbeat.service),
    )
    return [EmitLogEvent("heartbeat_refused", labels)]


def _reset_boot_state(state: RunnerState) -> None:
    """Reset what belongs to a boot; a new one has no runs, ends or lease."""
    state.candidate = None
    state.other_born_ms = 0
    state.reachable = False
    state.unreachable_since_ms = None
    state.is_leaving = False
    state.has_exited = False
    state.clock = WorkerClock()
    state.lease_until_ms = 0
    state.acknowledged_end = 0
    state.acknowledged_to_worker = 0
    state.list_in_flight = False
    state.list_sent_ms = state.now_ms
    state.next_list_ms = state.now_ms
    state.running.clear()
    state.confirmed_ms.clear()
    state.ended = ()
    state.lists_all_ends = False
    state.starts.clear()
    state.absent.clear()
    state.refused.clear()
