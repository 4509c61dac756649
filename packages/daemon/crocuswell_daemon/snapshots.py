"""Replicated state to bytes and back, on its way out of and into the core.

The reducer changes the state in place, so the runtime encodes it right
after the event that emitted it and decodes it before the reducer sees it.
"""

from functools import singledispatch

from crocuswell_core.agreement.peer_messages import InstallSnapshot
from crocuswell_core.runtime.effects import (
    Effect,
    Persist,
    SaveSnapshot,
    SendPeer,
    SendSnapshot,
    SnapshotRecord,
)
from crocuswell_core.runtime.events import Event, PeerMessageReceived, SnapshotReceived
from crocuswell_daemon import wire


@singledispatch
def encode_state_in(effect: Effect) -> Effect:
    """Replace an effect that refers to the state by one with its bytes."""
    return effect


@encode_state_in.register
def _(effect: SaveSnapshot) -> Effect:
    return Persist(
        SnapshotRecord(
            index=effect.index,
            term=effect.term,
            hosts=effect.hosts,
            voters=effect.voters,
            state=wire.encode(effect.state),
        )
    )


@encode_state_in.register
def _(effect: SendSnapshot) -> Effect:
    message = InstallSnapshot(
        term=effect.term,
        index=effect.index,
        entry_term=effect.entry_term,
        hosts=effect.hosts,
        voters=effect.voters,
        state=wire.encode(effect.state),
        round=effect.round,
    )
    return SendPeer(effect.to, message)


@singledispatch
def decode_state_in(event: Event) -> Event:
    """Replace an event that carries an encoded state by one with the state.

    Raises
    ------
    CodecError
        If the state is malformed or of another version.
    """
    return event


@decode_state_in.register
def _(event: PeerMessageReceived) -> Event:
    message = event.message
    if not isinstance(message, InstallSnapshot):
        return event
    return SnapshotReceived(
        sender=event.sender,
        term=message.term,
        index=message.index,
        entry_term=message.entry_term,
        hosts=message.hosts,
        voters=message.voters,
        state=wire.decode_state(message.state),
        round=message.round,
    )
