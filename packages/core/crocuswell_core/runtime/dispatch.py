"""The dispatch functions of the reducer; each part registers its cases.

They stand apart from `reducer`, so that parts can register handlers
without importing one another.
"""

from functools import singledispatch

from crocuswell_core.agent.agent_messages import AgentMessage, EntryMessage
from crocuswell_core.agent.agent_state import AgentState
from crocuswell_core.agreement.peer_messages import PeerMessage
from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import Command, LogEntry
from crocuswell_core.entry.calls import Call, ReadCall
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.runtime.effects import Applied, ClusterEffect, Effect
from crocuswell_core.runtime.events import Event
from crocuswell_core.runtime.notices import Notice
from crocuswell_core.runtime.timers import Timer


@singledispatch
def handle(event: Event, state: EntryState | AgentState) -> list[Effect]:
    """Change the state by an event and return the effects, in order."""
    raise NotImplementedError(type(event).__name__)


@singledispatch
def handle_timer(timer: Timer, state: EntryState | AgentState) -> list[Effect]:
    """Handle a timer that is due."""
    raise NotImplementedError(type(timer).__name__)


@singledispatch
def handle_peer(message: PeerMessage, state: EntryState, sender: str) -> list[Effect]:
    """Handle a message from another entry host."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_agent(
    message: AgentMessage, state: EntryState, stream_id: int
) -> list[Effect]:
    """Handle a message from an agent, on an entry host."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_entry(message: EntryMessage, state: AgentState) -> list[Effect]:
    """Handle a message from the entry host, on an agent."""
    raise NotImplementedError(type(message).__name__)


@singledispatch
def handle_call(call: Call, state: EntryState, call_id: int) -> list[Effect]:
    """Handle a call of a caller or operator."""
    raise NotImplementedError(type(call).__name__)


@singledispatch
def apply_command(command: Command, cluster: ClusterState, entry: LogEntry) -> Applied:
    """Apply a committed command; must be deterministic.

    No handler may iterate over a set, read a clock or use a generator.
    """
    raise NotImplementedError(type(command).__name__)


@singledispatch
def pass_on(effect: ClusterEffect, state: EntryState) -> list[Effect]:
    """Turn a result of applying a command into effects of this host."""
    raise NotImplementedError(type(effect).__name__)


@singledispatch
def answer_read(call: ReadCall, state: EntryState) -> ReadReply:
    """Answer a read from this host's applied state."""
    raise NotImplementedError(type(call).__name__)


@singledispatch
def notify(notice: Notice, state: EntryState) -> list[Effect]:
    """Tell other parts of this entry host what happened."""
    raise NotImplementedError(type(notice).__name__)
