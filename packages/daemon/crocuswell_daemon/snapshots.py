"""Encodes the replicated state in effects and decodes it in events.

The reducer changes the state in place, so the runtime encodes it right after
the event that emitted the effect. Received state is decoded before the reducer
handles the event.
"""

from functools import singledispatch

from crocuswell_core.consensus.peer_messages import InstallSnapshot
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
def encode_effect_state(effect: Effect) -> Effect:
    """Replace an effect that refers to the state by one with encoded state."""
    return effect


@encode_effect_state.register
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


@encode_effect_state.register
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
def decode_event_state(event: Event) -> Event:
    """Replace an event with encoded state by one with decoded state.

    Raises
    ------
    CodecError
        If the state is malformed or has an unsupported version.
    """
    return event


@decode_event_state.register
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
