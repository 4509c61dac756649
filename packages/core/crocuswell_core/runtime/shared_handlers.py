"""Handlers of events that all roles share, which dispatch on the state."""

from crocuswell_core.runtime.dispatch import (
    State,
    handle,
    handle_call_abandoned,
    handle_call_received,
    handle_client_closed,
    handle_client_message,
    handle_clock_advance,
    handle_stream_closed,
    handle_stream_message,
    handle_stream_opened,
    handle_timer,
    replace_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import Effect, EmitLogEvent, Label
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    CallAbandoned,
    CallReceived,
    ClockAdvanced,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    SeedsChanged,
    TimerFired,
)
from crocuswell_core.runtime.timers import UplinkTimer


@handle.register
def _(event: ClockAdvanced, state: State) -> list[Effect]:
    state.now_ms = max(state.now_ms, event.now_ms)
    state.wall_ms = max(state.wall_ms, event.wall_ms)
    return handle_clock_advance(state)


@handle.register
def _(event: TimerFired, state: State) -> list[Effect]:
    return handle_timer(event.timer, state)


@handle_timer.register
def _(timer: UplinkTimer, state: State) -> list[Effect]:
    return tick_uplink(state)


@handle.register
def _(event: SeedsChanged, state: State) -> list[Effect]:
    labels = (Label("seeds", ",".join(event.seeds)),)
    replace_seeds(state, event.seeds)
    return [EmitLogEvent("seeds_changed", labels)]


@handle.register
def _(event: EntryStreamOpened, state: State) -> list[Effect]:
    return handle_stream_opened(state, event)


@handle.register
def _(event: EntryStreamClosed, state: State) -> list[Effect]:
    return handle_stream_closed(state, event)


@handle.register
def _(event: EntryMessageReceived, state: State) -> list[Effect]:
    return handle_stream_message(state, event)


@handle.register
def _(event: AgentMessageReceived, state: State) -> list[Effect]:
    return handle_client_message(state, event)


@handle.register
def _(event: AgentStreamClosed, state: State) -> list[Effect]:
    return handle_client_closed(state, event)


@handle.register
def _(event: CallReceived, state: State) -> list[Effect]:
    return handle_call_received(state, event)


@handle.register
def _(event: CallAbandoned, state: State) -> list[Effect]:
    return handle_call_abandoned(state, event)
