"""Streams of clients on an entry host: attaching, calls and joining."""

from functools import singledispatch
from typing import cast

from crocuswell_core.cluster.commands import (
    ChangeMembers,
    EndEvacuation,
    EntryHost,
    Proposal,
    Refused,
    StartEvacuation,
)
from crocuswell_core.consensus import election, replication
from crocuswell_core.entry.calls import CommandCall
from crocuswell_core.entry.entry_state import ClientStream, EntryState
from crocuswell_core.jobs.job_commands import (
    CancelJob,
    CountPending,
    GetCatalog,
    GetJob,
    PutCatalog,
    SubmitJob,
)
from crocuswell_core.links.link_messages import (
    Attach,
    Attached,
    CallAnswered,
    ForwardCall,
    ForwardedReply,
    GroupView,
    JoinGroup,
    LinkKeepalive,
    Redirect,
)
from crocuswell_core.runtime.dispatch import (
    handle,
    handle_agent_message,
    rewrite_effects,
)
from crocuswell_core.runtime.effects import (
    AnswerCall,
    CloseAgentStream,
    Effect,
    EmitLogEvent,
    Label,
    SendAgent,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallReceived

CLIENT_KEEPALIVE_MS = 500
# Clients send keepalives about as often.
MAX_SILENT_KEEPALIVES = 5


def redirect_client(state: EntryState, stream_id: int) -> list[Effect]:
    """Redirect a client to the leader, if known, and close its stream."""
    leader = state.consensus.leader
    address = next(
        (h.stream_address for h in state.consensus.hosts if h.id == leader), ""
    )
    if leader == state.cfg.host.id:
        address = ""
    state.clients.pop(stream_id, None)
    state.relays.pop(stream_id, None)
    return [
        SendAgent(stream_id, Redirect(address, _stream_addresses(state))),
        CloseAgentStream(stream_id),
    ]


def _stream_addresses(state: EntryState) -> tuple[str, ...]:
    return tuple(h.stream_address for h in state.consensus.hosts if h.stream_address)


@handle_agent_message.register
def _(message: Attach, state: EntryState, stream_id: int) -> list[Effect]:
    if not election.holds_lease(state):
        return redirect_client(state, stream_id)
    state.clients[stream_id] = ClientStream(message.sender)
    is_new_relay = bool(message.relay) and message.relay not in state.relays.values()
    if message.relay:
        state.relays[stream_id] = message.relay
    relays = tuple(sorted(set(state.relays.values())))
    attached = Attached(state.consensus.term, _stream_addresses(state), relays)
    recipients = state.clients if is_new_relay else (stream_id,)
    return [SendAgent(id_, attached) for id_ in recipients]


@handle_agent_message.register
def _(message: LinkKeepalive, state: EntryState, stream_id: int) -> list[Effect]:
    return []


def send_keepalives(state: EntryState) -> list[Effect]:
    """Send all clients a keepalive; close the streams on which none comes.

    A stream may be silent towards this host only. Its client would keep it as
    long as it hears the leader.
    """
    if state.now_ms - state.last_keepalive_ms < CLIENT_KEEPALIVE_MS:
        return []
    state.last_keepalive_ms = state.now_ms
    keepalive = LinkKeepalive(state.consensus.commit_index)
    effects: list[Effect] = []
    for stream_id, client in list(state.clients.items()):
        if client.silent_keepalives >= MAX_SILENT_KEEPALIVES:
            remove_client(state, stream_id)
            labels = (Label("client", client.sender),)
            effects.append(EmitLogEvent("client_silent", labels))
            effects.append(CloseAgentStream(stream_id))
            continue
        client.silent_keepalives += 1
        effects.append(SendAgent(stream_id, keepalive))
    return effects


def redirect_clients(state: EntryState) -> list[Effect]:
    """Redirect all clients of a host that no longer leads."""
    effects: list[Effect] = []
    for stream_id in list(state.clients):
        effects += redirect_client(state, stream_id)
    return effects


def remove_client(state: EntryState, stream_id: int) -> None:
    """Remove the client of a closed stream, with its pending calls."""
    if state.clients.pop(stream_id, None) is None:
        return
    state.relays.pop(stream_id, None)
    for call_id, (owner, _) in list(state.forwarded_calls.items()):
        if owner == stream_id:
            del state.forwarded_calls[call_id]


@handle_agent_message.register
def _(message: ForwardCall, state: EntryState, stream_id: int) -> list[Effect]:
    if not _may_be_forwarded(message.call):
        refused = Refused(ErrorKind.INVALID_REQUEST, "no caller may send this command")
        return [SendAgent(stream_id, CallAnswered(message.call_id, refused))]
    state.last_forwarded_call_id -= 1
    state.forwarded_calls[state.last_forwarded_call_id] = (stream_id, message.call_id)
    return handle(CallReceived(state.last_forwarded_call_id, message.call), state)


@singledispatch
def _may_be_forwarded(call: object) -> bool:
    """Tell whether a call is one of a caller or an operator.

    All other commands are proposed by hosts themselves.
    """
    return False


@_may_be_forwarded.register(SubmitJob)
@_may_be_forwarded.register(CancelJob)
@_may_be_forwarded.register(PutCatalog)
@_may_be_forwarded.register(StartEvacuation)
@_may_be_forwarded.register(EndEvacuation)
@_may_be_forwarded.register(GetJob)
@_may_be_forwarded.register(CountPending)
@_may_be_forwarded.register(GetCatalog)
def _(call: object) -> bool:
    return True


@_may_be_forwarded.register
def _(call: CommandCall) -> bool:
    return _may_be_forwarded(call.proposal.command)


@rewrite_effects.register
def _(state: EntryState, effects: list[Effect]) -> list[Effect]:
    # Answers to forwarded calls are sent as messages on the fronts' streams.
    if not state.forwarded_calls:
        return effects
    return [
        _to_call_answered(state, effect)
        if isinstance(effect, AnswerCall) and effect.call_id in state.forwarded_calls
        else effect
        for effect in effects
    ]


def _to_call_answered(state: EntryState, answer: AnswerCall) -> Effect:
    # The replies to all calls that fronts may forward are of the type
    # `ForwardedReply`.
    stream_id, call_id = state.forwarded_calls.pop(answer.call_id)
    return SendAgent(
        stream_id, CallAnswered(call_id, cast(ForwardedReply, answer.reply))
    )


# --- joining -------------------------------------------------------------


@handle_agent_message.register
def _(message: JoinGroup, state: EntryState, stream_id: int) -> list[Effect]:
    if not election.holds_lease(state):
        return redirect_client(state, stream_id)
    host = message.host
    view = SendAgent(stream_id, GroupView((*state.consensus.hosts, host)))
    change = _admission_change(state, host)
    if change is None:
        return [view]
    labels = (
        Label("host", host.id),
        Label("address", host.address),
        Label("voters", ",".join(change.voters)),
    )
    return [
        view,
        EmitLogEvent("host_joining", labels),
        *replication.propose(state, Proposal("", "", change)),
    ]


def _admission_change(state: EntryState, host: EntryHost) -> ChangeMembers | None:
    """Return the change that admits a host as a learner.

    A host that returns at a known address with another id has lost its
    disk. Its old id can never return, so the same change removes it, even
    if it was a voter. Returns None if the host is already a member.
    """
    consensus = state.consensus
    if any(known.id == host.id for known in consensus.hosts):
        return None
    replaced_ids = {
        known.id for known in consensus.hosts if known.address == host.address
    }
    remaining = tuple(
        known for known in consensus.hosts if known.id not in replaced_ids
    )
    voters = tuple(id_ for id_ in consensus.voters if id_ not in replaced_ids)
    return ChangeMembers((*remaining, host), voters)
