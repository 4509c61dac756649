"""Start and planned stop of an entry host.

A planned stop transfers leadership and lets calls in flight finish.
"""

from crocuswell_core.consensus import election, leadership
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.call_handlers import SHUTDOWN_DELAY_MS, answer_waiting_reads
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.entry.sessions import send_goodbyes
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_clock_advance,
    handle_timer,
    notify,
)
from crocuswell_core.runtime.effects import (
    Effect,
    EmitLogEvent,
    Halt,
    SetReady,
    StartTimer,
)
from crocuswell_core.runtime.events import EntryStopRequested
from crocuswell_core.runtime.notices import HostBooted
from crocuswell_core.runtime.timers import (
    ControlTimer,
    LivenessTimer,
    RetryTimer,
    SessionTimer,
    StopTimer,
)

STOP_CHECK_MS = 100


@handle_clock_advance.register
def _(state: EntryState) -> list[Effect]:
    return leadership.check_lease(state)


@notify.register
def _(notice: HostBooted, state: EntryState) -> list[Effect]:
    effects: list[Effect] = [
        StartTimer(RetryTimer(), state.cfg.retry_ms),
        StartTimer(LivenessTimer(), state.cfg.liveness_ms),
        StartTimer(SessionTimer(), state.cfg.agent_heartbeat_ms),
    ]
    if state.cfg.seeds:
        effects.append(StartTimer(ControlTimer(), 0))
    return effects


@handle.register
def _(event: EntryStopRequested, state: EntryState) -> list[Effect]:
    if state.stopping:
        return []
    state.stopping = True
    state.stopping_since_ms = state.now_ms
    return [
        EmitLogEvent("stopping"),
        SetReady(False),
        *answer_waiting_reads(state),
        *election.transfer_leadership(state),
        *send_goodbyes(state),
        StartTimer(StopTimer(), STOP_CHECK_MS),
    ]


@handle_timer.register
def _(timer: StopTimer, state: EntryState) -> list[Effect]:
    elapsed_ms = state.now_ms - state.stopping_since_ms
    busy = (
        bool(state.calls)
        or bool(state.proposals)
        or state.consensus.role is Role.LEADER
    )
    if elapsed_ms >= state.cfg.stop_limit_ms:
        return [Halt()]
    if not busy and elapsed_ms >= SHUTDOWN_DELAY_MS:
        return [Halt()]
    effects = [*answer_waiting_reads(state), StartTimer(timer, STOP_CHECK_MS)]
    if state.consensus.role is Role.LEADER:
        effects += election.transfer_leadership(state)
    return effects
