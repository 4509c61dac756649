"""Handlers that both roles share: time and the dispatch of timers."""

from crocuswell_core.agent.agent_state import AgentState
from crocuswell_core.agreement import leadership
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.dispatch import handle, handle_timer
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import ClockAdvanced, TimerFired


@handle.register
def _(event: ClockAdvanced, state: EntryState | AgentState) -> list[Effect]:
    state.now_ms = max(state.now_ms, event.now_ms)
    state.wall_ms = max(state.wall_ms, event.wall_ms)
    if isinstance(state, EntryState):
        return leadership.check_lease(state)
    return []


@handle.register
def _(event: TimerFired, state: EntryState | AgentState) -> list[Effect]:
    return handle_timer(event.timer, state)
