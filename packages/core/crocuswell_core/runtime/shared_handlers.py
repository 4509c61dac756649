"""Handlers of events that all roles share, which dispatch on the state."""

from crocuswell_core.runtime.dispatch import (
    State,
    abandon_call,
    close_stream,
    handle,
    handle_timer,
    lose_client,
    note_time,
    open_stream,
    receive_call,
    receive_client,
    receive_message,
    take_seeds,
    tick_uplink,
)
from crocuswell_core.runtime.effects import Effect, Label, LogChange
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
    return note_time(state)


@handle.register
def _(event: TimerFired, state: State) -> list[Effect]:
    return handle_timer(event.timer, state)


@handle_timer.register
def _(timer: UplinkTimer, state: State) -> list[Effect]:
    return tick_uplink(state)


@handle.register
def _(event: SeedsChanged, state: State) -> list[Effect]:
    labels = (Label("seeds", ",".join(event.seeds)),)
    take_seeds(state, event.seeds)
    return [LogChange("seeds_changed", labels)]


@handle.register
def _(event: EntryStreamOpened, state: State) -> list[Effect]:
    return open_stream(state, event)


@handle.register
def _(event: EntryStreamClosed, state: State) -> list[Effect]:
    return close_stream(state, event)


@handle.register
def _(event: EntryMessageReceived, state: State) -> list[Effect]:
    return receive_message(state, event)


@handle.register
def _(event: AgentMessageReceived, state: State) -> list[Effect]:
    return receive_client(state, event)


@handle.register
def _(event: AgentStreamClosed, state: State) -> list[Effect]:
    return lose_client(state, event)


@handle.register
def _(event: CallReceived, state: State) -> list[Effect]:
    return receive_call(state, event)


@handle.register
def _(event: CallAbandoned, state: State) -> list[Effect]:
    return abandon_call(state, event)
