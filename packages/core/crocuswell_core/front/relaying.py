"""A front's relaying of streams for processes that reach no control host."""

from crocuswell_core.front.front_state import FrontState, RelayedStream
from crocuswell_core.links.link_messages import (
    Attach,
    ClientMessage,
    HostMessage,
    Redirect,
)
from crocuswell_core.runtime.dispatch import lose_client, receive_client
from crocuswell_core.runtime.effects import (
    CloseAgentStream,
    CloseEntryStream,
    Effect,
    Label,
    LogChange,
    OpenEntryStream,
    SendAgent,
    SendEntry,
)
from crocuswell_core.runtime.events import AgentMessageReceived, AgentStreamClosed

# All workers of a failure domain may be cut off at the same time.
RELAY_LIMIT = 256


@receive_client.register
def _(state: FrontState, event: AgentMessageReceived) -> list[Effect]:
    if isinstance(event.message, Attach):
        return _begin(state, event.stream_id, event.message)
    relayed = state.relayed.get(event.stream_id)
    if relayed is None:
        return [CloseAgentStream(event.stream_id)]
    return [SendEntry(relayed.leader_id, event.message)]


def _begin(state: FrontState, client_id: int, message: Attach) -> list[Effect]:
    if not state.uplink.is_attached or len(state.relayed) >= RELAY_LIMIT:
        return [
            SendAgent(client_id, Redirect("", state.uplink.hosts)),
            CloseAgentStream(client_id),
        ]
    state.relay_count += 1
    state.relayed[client_id] = RelayedStream(client_id, state.relay_count, message)
    labels = (Label("sender", message.sender), Label("leader", state.uplink.address))
    return [
        LogChange("stream_relayed", labels),
        OpenEntryStream(state.relay_count, state.uplink.address),
    ]


@lose_client.register
def _(state: FrontState, event: AgentStreamClosed) -> list[Effect]:
    relayed = state.relayed.pop(event.stream_id, None)
    return [CloseEntryStream(relayed.leader_id)] if relayed else []


def find_relayed(state: FrontState, leader_id: int) -> RelayedStream | None:
    """Return the relayed stream with a half to the leader."""
    for relayed in state.relayed.values():
        if relayed.leader_id == leader_id:
            return relayed
    return None


def pass_attach(relayed: RelayedStream) -> list[Effect]:
    """Send the client's first message on the half that is now open."""
    attach, relayed.attach = relayed.attach, None
    return [SendEntry(relayed.leader_id, attach)] if attach else []


def pass_message(
    relayed: RelayedStream, message: HostMessage | ClientMessage
) -> list[Effect]:
    """Pass a message of the leader to the client."""
    if isinstance(message, Redirect):
        # The client cannot reach the hosts itself, so it comes back here.
        return [CloseAgentStream(relayed.client_id)]
    return [SendAgent(relayed.client_id, message)]  # type: ignore[arg-type]


def end_relayed(state: FrontState, relayed: RelayedStream) -> list[Effect]:
    """Close the client's half after the leader's half ended."""
    state.relayed.pop(relayed.client_id, None)
    return [CloseAgentStream(relayed.client_id)]
