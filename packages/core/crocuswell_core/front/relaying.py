"""Relaying of streams for processes that cannot reach an entry host."""

from crocuswell_core.front.front_state import FrontState, RelayedStream
from crocuswell_core.links.link_messages import (
    Attach,
    ClientMessage,
    HostMessage,
    Redirect,
)
from crocuswell_core.runtime.dispatch import handle_client_closed, handle_client_message
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    CloseEntryStream,
    Effect,
    EmitLogEvent,
    Label,
    OpenEntryStream,
    SendAgent,
    SendEntry,
)
from crocuswell_core.runtime.events import AgentMessageReceived, AgentStreamClosed

# Leaves room for all workers of a failure domain, which may lose the entry
# hosts at the same time.
MAX_RELAYED_STREAMS = 256


@handle_client_message.register
def _(state: FrontState, event: AgentMessageReceived) -> list[Effect]:
    if isinstance(event.message, Attach):
        return _open_relayed(state, event.stream_id, event.message)
    relayed = state.relayed.get(event.stream_id)
    if relayed is None:
        return [CloseAgentStream(event.stream_id)]
    return [SendEntry(relayed.leader_stream_id, event.message)]


def _open_relayed(
    state: FrontState, client_stream_id: int, message: Attach
) -> list[Effect]:
    if not state.uplink.is_attached or len(state.relayed) >= MAX_RELAYED_STREAMS:
        return [
            SendAgent(client_stream_id, Redirect("", state.uplink.hosts)),
            CloseAgentStream(client_stream_id),
        ]
    state.newest_relay_stream_id += 1
    state.relayed[client_stream_id] = RelayedStream(
        client_stream_id, state.newest_relay_stream_id, message
    )
    labels = (Label("sender", message.sender), Label("leader", state.uplink.address))
    return [
        EmitLogEvent("stream_relayed", labels),
        OpenEntryStream(state.newest_relay_stream_id, state.uplink.address),
    ]


@handle_client_closed.register
def _(state: FrontState, event: AgentStreamClosed) -> list[Effect]:
    relayed = state.relayed.pop(event.stream_id, None)
    return [CloseEntryStream(relayed.leader_stream_id)] if relayed else []


def find_relayed(state: FrontState, leader_stream_id: int) -> RelayedStream | None:
    """Return the relayed stream with this id on the leader's side."""
    for relayed in state.relayed.values():
        if relayed.leader_stream_id == leader_stream_id:
            return relayed
    return None


def forward_attach(relayed: RelayedStream) -> list[Effect]:
    """Send the client's first message to the leader."""
    attach, relayed.attach = relayed.attach, None
    return [SendEntry(relayed.leader_stream_id, attach)] if attach else []


def forward_message(
    relayed: RelayedStream, message: HostMessage | ClientMessage
) -> list[Effect]:
    """Send a message of the leader to the client."""
    if isinstance(message, Redirect):
        # The client cannot follow the redirect, since it does not reach the
        # hosts; after the close it reconnects to a front.
        return [CloseAgentStream(relayed.client_stream_id)]
    return [SendAgent(relayed.client_stream_id, message)]  # type: ignore[arg-type]


def close_relayed(state: FrontState, relayed: RelayedStream) -> list[Effect]:
    """Close the client's stream after the leader's stream ended."""
    state.relayed.pop(relayed.client_stream_id, None)
    return [CloseAgentStream(relayed.client_stream_id)]
