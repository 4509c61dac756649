"""The stream of a client to the leader: opening, redirects and timeouts."""

import enum
from functools import singledispatch

import attrs

from crocuswell_core.links.link_messages import (
    Attach,
    Attached,
    ClientMessage,
    HostMessage,
    LinkKeepalive,
    Redirect,
)
from crocuswell_core.runtime.effects import (
    CloseEntryStream,
    Effect,
    EmitLogEvent,
    Label,
    Observe,
    OpenEntryStream,
    SendEntry,
    StartTimer,
)
from crocuswell_core.runtime.events import EntryStreamClosed, EntryStreamOpened
from crocuswell_core.runtime.timers import UplinkTimer

UPLINK_TICK_MS = 200
# Two keepalives of the leader in a row may be lost before the timeout.
KEEPALIVE_INTERVAL_MS = 500
SILENCE_TIMEOUT_MS = 1_500
# Long enough for a usual election, if the host knew no leader.
REOPEN_DELAY_MS = 100
# At startup the first hosts may not be listening yet, so a short timeout moves
# on to the next one.
OPEN_TIMEOUT_MS = 800


class UplinkPhase(enum.Enum):
    """State of the connection."""

    IDLE = "idle"
    OPENING = "opening"
    OPEN = "open"
    ATTACHED = "attached"


@attrs.define
class Uplink:
    """State of a client's stream.

    Attributes
    ----------
    sender : str
        Name of this process.
    seeds : tuple of str
        `host:port` of the hosts named in the settings.
    hosts : tuple of str
        `host:port` of the hosts in the newest answer from the group.
    relays : tuple of str
        `host:port` of the clients that relay streams to the leader.
    relay : str
        `host:port` at which this process relays; empty if it does not.
    next_address : str
        Host for the next stream; empty for the next candidate in rotation.
    rotation : int
        Number of candidates tried so far.
    last_attached_ms, last_lost_ms : int
        Time in ms at which the leader last attached this client, and at
        which it was last lost.
    last_leader_ms : int
        Time in ms of the newest message of a leader that had attached this
        client; at first the start of the process.
    known_index : int
        Highest index of a log entry that is known to be committed.
    """

    sender: str
    seeds: tuple[str, ...]
    hosts: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()
    relay: str = ""
    next_address: str = ""
    address: str = ""
    rotation: int = 0
    stream_id: int = 0
    phase: UplinkPhase = UplinkPhase.IDLE
    term: int = 0
    phase_changed_ms: int = 0
    last_received_ms: int = 0
    last_sent_ms: int = 0
    last_attached_ms: int = 0
    last_lost_ms: int = 0
    last_leader_ms: int = 0
    known_index: int = 0

    @property
    def is_attached(self) -> bool:
        """Whether the leader has attached this client."""
        return self.phase is UplinkPhase.ATTACHED


def leaderless_ms(uplink: Uplink, now_ms: int) -> int:
    """Return for how long in ms no leader was heard; 0 while attached."""
    return 0 if uplink.is_attached else now_ms - uplink.last_leader_ms


def start(uplink: Uplink, now_ms: int) -> list[Effect]:
    """Open the first stream and start the timer."""
    uplink.last_lost_ms = uplink.last_leader_ms = now_ms
    return [*_open(uplink, now_ms), StartTimer(UplinkTimer(), UPLINK_TICK_MS)]


def tick(uplink: Uplink, now_ms: int) -> list[Effect]:
    """Replace a silent stream, reopen a closed one, send due keepalives."""
    effects: list[Effect] = [StartTimer(UplinkTimer(), UPLINK_TICK_MS)]
    if uplink.phase is UplinkPhase.IDLE:
        if now_ms - uplink.phase_changed_ms >= REOPEN_DELAY_MS:
            effects += _open(uplink, now_ms)
        return effects
    is_connecting = uplink.phase is not UplinkPhase.ATTACHED
    if is_connecting and now_ms - uplink.phase_changed_ms >= OPEN_TIMEOUT_MS:
        return [*effects, *_close(uplink, now_ms, "no answer"), *_open(uplink, now_ms)]
    if uplink.is_attached and now_ms - uplink.last_received_ms >= SILENCE_TIMEOUT_MS:
        return [*effects, *_close(uplink, now_ms, "silence"), *_open(uplink, now_ms)]
    if uplink.is_attached and now_ms - uplink.last_sent_ms >= KEEPALIVE_INTERVAL_MS:
        effects += send(uplink, now_ms, LinkKeepalive())
    return effects


def send(uplink: Uplink, now_ms: int, message: ClientMessage) -> list[Effect]:
    """Send a message to the leader; a no-op while not attached."""
    if not uplink.is_attached:
        return []
    uplink.last_sent_ms = now_ms
    return [SendEntry(uplink.stream_id, message)]


def handle_opened(
    uplink: Uplink, now_ms: int, event: EntryStreamOpened
) -> list[Effect]:
    """Send `Attach` on a stream that was just opened."""
    if event.stream_id != uplink.stream_id or uplink.phase is not UplinkPhase.OPENING:
        return [CloseEntryStream(event.stream_id)]
    uplink.phase = UplinkPhase.OPEN
    uplink.phase_changed_ms = uplink.last_received_ms = now_ms
    return [SendEntry(uplink.stream_id, Attach(uplink.sender, uplink.relay))]


def handle_closed(
    uplink: Uplink, now_ms: int, event: EntryStreamClosed
) -> list[Effect]:
    """Record that the stream ended; the timer opens the next one."""
    if event.stream_id != uplink.stream_id or uplink.phase is UplinkPhase.IDLE:
        return []
    return _mark_idle(uplink, now_ms, event.detail)


def handle_message(
    uplink: Uplink, now_ms: int, stream_id: int, message: HostMessage
) -> list[Effect]:
    """Handle a message of a host; each counts as received."""
    if stream_id != uplink.stream_id or uplink.phase is UplinkPhase.IDLE:
        return []
    uplink.last_received_ms = now_ms
    if uplink.is_attached:
        uplink.last_leader_ms = now_ms
    return _follow(message, uplink, now_ms)


@singledispatch
def _follow(message: HostMessage, uplink: Uplink, now_ms: int) -> list[Effect]:
    return []


@_follow.register
def _(message: LinkKeepalive, uplink: Uplink, now_ms: int) -> list[Effect]:
    uplink.known_index = max(uplink.known_index, message.commit_index)
    return []


@_follow.register
def _(message: Attached, uplink: Uplink, now_ms: int) -> list[Effect]:
    uplink.hosts = message.hosts
    uplink.relays = tuple(r for r in message.relays if r != uplink.relay)
    uplink.term = message.term
    if uplink.is_attached:
        return []
    uplink.phase = UplinkPhase.ATTACHED
    uplink.phase_changed_ms = uplink.last_attached_ms = now_ms
    uplink.last_leader_ms = now_ms
    labels = (
        Label("address", uplink.address),
        Label("term", str(message.term)),
        Label("without_ms", str(now_ms - uplink.last_lost_ms)),
    )
    absence_s = (now_ms - uplink.last_lost_ms) / 1_000
    return [
        EmitLogEvent("leader_attached", labels),
        Observe("leader_absence_seconds", absence_s),
    ]


@_follow.register
def _(message: Redirect, uplink: Uplink, now_ms: int) -> list[Effect]:
    uplink.hosts = message.hosts or uplink.hosts
    uplink.next_address = message.leader if message.leader != uplink.address else ""
    effects = _close(uplink, now_ms, "redirected")
    if uplink.next_address:
        effects += _open(uplink, now_ms)
    return effects


def _open(uplink: Uplink, now_ms: int) -> list[Effect]:
    uplink.stream_id += 1
    uplink.phase = UplinkPhase.OPENING
    uplink.phase_changed_ms = now_ms
    uplink.address = uplink.next_address or _next_candidate(uplink)
    uplink.next_address = ""
    return [OpenEntryStream(uplink.stream_id, uplink.address)]


def _next_candidate(uplink: Uplink) -> str:
    uplink.rotation += 1
    rotation = uplink.rotation
    if uplink.relays:
        # Every second attempt goes to a relay, which may still be reachable
        # when no host is.
        rotation, is_relay = divmod(rotation, 2)
        if is_relay:
            return uplink.relays[rotation % len(uplink.relays)]
    # A group whose members were all replaced can be found through the seeds
    # only, so they stay among the candidates.
    candidates = [*uplink.hosts, *(s for s in uplink.seeds if s not in uplink.hosts)]
    return candidates[rotation % len(candidates)]


def _close(uplink: Uplink, now_ms: int, detail: str) -> list[Effect]:
    closing = CloseEntryStream(uplink.stream_id)
    return [*_mark_idle(uplink, now_ms, detail), closing]


def _mark_idle(uplink: Uplink, now_ms: int, detail: str) -> list[Effect]:
    was_attached = uplink.is_attached
    uplink.phase = UplinkPhase.IDLE
    uplink.phase_changed_ms = now_ms
    if not was_attached:
        return []
    uplink.last_lost_ms = now_ms
    labels = (Label("address", uplink.address), Label("reason", detail))
    return [EmitLogEvent("leader_lost", labels)]
