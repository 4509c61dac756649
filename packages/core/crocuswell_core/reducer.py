"""The one reducer over all events, for both roles."""

from typing import TypeVar

from crocuswell_core import (  # noqa: F401  (the modules register their handlers)
    agent,
    callers,
    changes,
    clock,
    election,
    fleet,
    lifecycle,
    liveness,
    members,
    replication,
    requests,
    sessions,
    views,
)
from crocuswell_core.agent_state import AgentState
from crocuswell_core.dispatch import handle
from crocuswell_core.effects import Effect
from crocuswell_core.entry_state import EntryState
from crocuswell_core.events import Event

State = TypeVar("State", EntryState, AgentState)


def reduce(state: State, event: Event) -> tuple[State, list[Effect]]:
    """Change the state by one event.

    Parameters
    ----------
    state : EntryState or AgentState
        The state; only the reducer writes it, and it is changed in place.
    event : Event
        What happened.

    Returns
    -------
    tuple
        The same state object and the effects, in order.
    """
    return state, handle(event, state)
