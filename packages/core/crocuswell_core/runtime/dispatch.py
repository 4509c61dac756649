"""The generic functions of the reducer, for which modules register handlers.

They are separate from `reducer`, so that modules can register handlers
without importing one another.
"""

from __future__ import annotations

from functools import singledispatch
from typing import TYPE_CHECKING

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Command, LogEntry
from crocuswell_core.consensus.peer_messages import PeerMessage
from crocuswell_core.entry.calls import Call, ReadCall
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.links.link_messages import ClientMessage, HostMessage
from crocuswell_core.runtime.effects import ApplyResult, ClusterEffect, Effect
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    CallAbandoned,
    CallReceived,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
)
from crocuswell_core.runtime.notices import Notice
from crocuswell_core.runtime.timers import Timer

if TYPE_CHECKING:
    from crocuswell_core.agent.agent_state import AgentState
    from crocuswell_core.entry.entry_state import EntryState
    from crocuswell_core.front.front_state import FrontState
    from crocuswell_core.runner.runner_state import RunnerState

    State = EntryState | AgentState | FrontState | RunnerState
else:
    # A process loads only the state of its own role.
    State = object


@singledispatch
def handle(event: Event, state: State) -> list[Effect]:
    """Update the state for an event and return the effects, in order."""
    raise NotImplementedError(type(event).__name__)


@singledispatch
def rewrite_effects(state: State, effects: list[Effect]) -> list[Effect]:
    """Rewrite the effects of an event before they are returned.

    The default returns them unchanged.
    """
    return effects


@singledispatch
def handle_clock_advance(state: State) -> list[Effect]:
    """Handle a clock advance."""
    return []


@singledispatch
def replace_seeds(state: State, seeds: tuple[str, ...]) -> None:
    """Replace the seed hosts, through which the group is discovered."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_stream_opened(state: State, event: EntryStreamOpened) -> list[Effect]:
    """Handle the opening of a stream to a host."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_stream_closed(state: State, event: EntryStreamClosed) -> list[Effect]:
    """Handle the end of a stream to a host."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_stream_message(state: State, event: EntryMessageReceived) -> list[Effect]:
    """Handle a message that a host sent on a stream."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_client_message(state: State, event: AgentMessageReceived) -> list[Effect]:
    """Handle a message on a stream that another process opened."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_client_closed(state: State, event: AgentStreamClosed) -> list[Effect]:
    """Handle the end of a stream that another process opened."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_call_received(state: State, event: CallReceived) -> list[Effect]:
    """Handle a call received by a listener of this process."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def handle_call_abandoned(state: State, event: CallAbandoned) -> list[Effect]:
    """Drop a call whose caller no longer waits for the answer."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def tick_uplink(state: State) -> list[Effect]:
    """Do the periodic work for the stream to the leader."""
    raise NotImplementedError(type(state).__name__)


@singledispatch
def review_command(command: Command, state: EntryState) -> Command:
    """Return the command that the leader appends instead of another one."""
    return command


@singledispatch
def may_append(command: Command, state: EntryState) -> bool:
    """Tell whether the leader may append a command now; it drops it if not."""
    return True


@singledispatch
def handle_timer(timer: Timer, state: State) -> list[Effect]:
    """Handle an expired timer."""
    raise NotImplementedError(type(timer).__name__)


@singledispatch
def handle_peer_message(
    message: PeerMessage, state: EntryState, sender: str
) -> list[Effect]:
    """Handle a message from another entry host."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_agent_message(
    message: AgentMessage | ClientMessage, state: EntryState, stream_id: int
) -> list[Effect]:
    """Handle a message from an agent or client, on an entry host."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_entry_message(
    message: EntryMessage | HostMessage, state: AgentState
) -> list[Effect]:
    """Handle a message from the entry host, on an agent."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_call(call: Call, state: EntryState, call_id: int) -> list[Effect]:
    """Handle a call from a caller or operator."""
    raise NotImplementedError(type(call).__name__)


@singledispatch
def apply_command(
    command: Command, cluster: ClusterState, entry: LogEntry
) -> ApplyResult:
    """Apply a committed command to the replicated state.

    Handlers must be deterministic: they may not iterate over a set, read a
    clock or use a random generator.
    """
    raise NotImplementedError(type(command).__name__)


@singledispatch
def translate_effect(effect: ClusterEffect, state: EntryState) -> list[Effect]:
    """Translate an effect of an applied command into effects of this host."""
    raise NotImplementedError(type(effect).__name__)


@singledispatch
def answer_read(call: ReadCall, state: EntryState) -> ReadReply:
    """Answer a read from this host's applied state."""
    raise NotImplementedError(type(call).__name__)


@singledispatch
def notify(notice: Notice, state: EntryState) -> list[Effect]:
    """Notify other modules of this entry host of what happened."""
    raise NotImplementedError(type(notice).__name__)
