"""The one reducer over all events, for both roles."""

from typing import TypeVar

# The modules register their handlers.
from crocuswell_core.agent import agent  # noqa: F401
from crocuswell_core.agent.agent_state import AgentState
from crocuswell_core.agreement import election, members, replication  # noqa: F401
from crocuswell_core.cluster import changes, fleet, requests  # noqa: F401
from crocuswell_core.entry import (  # noqa: F401
    callers,
    lifecycle,
    liveness,
    sessions,
    views,
)
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime import clock  # noqa: F401
from crocuswell_core.runtime.dispatch import handle
from crocuswell_core.runtime.effects import Effect
from crocuswell_core.runtime.events import Event

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
