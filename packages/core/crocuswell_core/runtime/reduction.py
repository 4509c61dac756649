"""The reducer over all events.

Each process imports the modules that register the handlers of its role.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from crocuswell_core.runtime.dispatch import handle, rewrite_effects
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import Event

if TYPE_CHECKING:
    from crocuswell_core.agent.agent_state import AgentState
    from crocuswell_core.entry.entry_state import EntryState
    from crocuswell_core.front.front_state import FrontState
    from crocuswell_core.runner.runner_state import RunnerState

    State = TypeVar("State", EntryState, AgentState, FrontState, RunnerState)
else:
    # A process loads only the state of its own role.
    State = TypeVar("State")


def reduce(state: State, event: Event) -> tuple[State, list[Effect]]:
    """Update the state for one event and return the effects.

    Parameters
    ----------
    state : EntryState, AgentState, FrontState or RunnerState
        The state; it is changed in place, by the reducer only.
    event : Event
        The event to handle.

    Returns
    -------
    tuple
        The same state object and the effects, in order.
    """
    return state, rewrite_effects(state, handle(event, state))
