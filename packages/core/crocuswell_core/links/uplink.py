"""A client's stream to the leader: opening, redirects, silence, back-off."""

import enum

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
    Label,
    LogChange,
    Observe,
    OpenEntryStream,
    SendEntry,
    StartTimer,
)
from crocuswell_core.runtime.events import EntryStreamClosed, EntryStreamOpened
from crocuswell_core.runtime.timers import UplinkTimer

UPLINK_TICK_MS = 200
# The leader sends a keepalive in each interval, so that two may be lost.
KEEPALIVE_MS = 500
SILENCE_MS = 1_500
# A host that knows no leader is asked again after an election's usual time.
RETRY_MS = 100
# The first hosts may not be listening yet at a start.
OPEN_LIMIT_MS = 800


class UplinkPhase(enum.Enum):
    """Where the stream is."""

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
        `host:port` of the hosts that the settings name.
    hosts : tuple of str
        `host:port` of the hosts that the group named last.
    relays : tuple of str
        `host:port` of the clients that relay streams to the leader.
    relay : str
        `host:port` at which this process relays; empty for none.
    next_address : str
        Host to open a stream to next; empty takes the next in turn.
    attached_ms, lost_ms : int
        Time in ms of the newest attachment and of the newest loss.
    """

    sender: str
    seeds: tuple[str, ...]
    hosts: tuple[str, ...] = ()
    relays: tuple[str, ...] = ()
    relay: str = ""
    next_address: str = ""
    address: str = ""
    turn: int = 0
    stream_id: int = 0
    phase: UplinkPhase = UplinkPhase.IDLE
    term: int = 0
    changed_ms: int = 0
    heard_ms: int = 0
    sent_ms: int = 0
    attached_ms: int = 0
    lost_ms: int = 0

    @property
    def is_attached(self) -> bool:
        """Whether the leader has attached this client."""
        return self.phase is UplinkPhase.ATTACHED


def begin(uplink: Uplink, now_ms: int) -> list[Effect]:
    """Open the first stream and subscribe to the timer."""
    uplink.lost_ms = now_ms
    return [*_open(uplink, now_ms), StartTimer(UplinkTimer(), UPLINK_TICK_MS)]


def tick(uplink: Uplink, now_ms: int) -> list[Effect]:
    """Replace a silent stream, open a missing one, keep a quiet one alive."""
    effects: list[Effect] = [StartTimer(UplinkTimer(), UPLINK_TICK_MS)]
    if uplink.phase is UplinkPhase.IDLE:
        if now_ms - uplink.changed_ms >= RETRY_MS:
            effects += _open(uplink, now_ms)
        return effects
    waiting = uplink.phase is not UplinkPhase.ATTACHED
    if waiting and now_ms - uplink.changed_ms >= OPEN_LIMIT_MS:
        return [*effects, *_drop(uplink, now_ms, "no answer"), *_open(uplink, now_ms)]
    if uplink.is_attached and now_ms - uplink.heard_ms >= SILENCE_MS:
        return [*effects, *_drop(uplink, now_ms, "silence"), *_open(uplink, now_ms)]
    if uplink.is_attached and now_ms - uplink.sent_ms >= KEEPALIVE_MS:
        effects += send(uplink, now_ms, LinkKeepalive())
    return effects


def send(uplink: Uplink, now_ms: int, message: ClientMessage) -> list[Effect]:
    """Send a message to the leader; nothing is sent without a stream."""
    if not uplink.is_attached:
        return []
    uplink.sent_ms = now_ms
    return [SendEntry(uplink.stream_id, message)]


def take_opened(uplink: Uplink, now_ms: int, event: EntryStreamOpened) -> list[Effect]:
    """Ask to be attached on a stream that is open."""
    if event.stream_id != uplink.stream_id or uplink.phase is not UplinkPhase.OPENING:
        return [CloseEntryStream(event.stream_id)]
    uplink.phase = UplinkPhase.OPEN
    uplink.changed_ms = uplink.heard_ms = now_ms
    return [SendEntry(uplink.stream_id, Attach(uplink.sender, uplink.relay))]


def take_closed(uplink: Uplink, now_ms: int, event: EntryStreamClosed) -> list[Effect]:
    """Note that a stream ended; the timer opens the next one."""
    if event.stream_id != uplink.stream_id or uplink.phase is UplinkPhase.IDLE:
        return []
    return _forget(uplink, now_ms, event.detail)


def take_message(
    uplink: Uplink, now_ms: int, stream_id: int, message: HostMessage
) -> list[Effect]:
    """Follow redirects and note the attachment."""
    if stream_id != uplink.stream_id or uplink.phase is UplinkPhase.IDLE:
        return []
    uplink.heard_ms = now_ms
    if isinstance(message, Attached):
        return _attach(uplink, now_ms, message)
    if isinstance(message, Redirect):
        return _redirect(uplink, now_ms, message)
    return []


def _attach(uplink: Uplink, now_ms: int, message: Attached) -> list[Effect]:
    uplink.hosts = message.hosts
    uplink.relays = tuple(r for r in message.relays if r != uplink.relay)
    uplink.term = message.term
    if uplink.is_attached:
        return []
    uplink.phase = UplinkPhase.ATTACHED
    uplink.changed_ms = uplink.attached_ms = now_ms
    labels = (
        Label("address", uplink.address),
        Label("term", str(message.term)),
        Label("without_ms", str(now_ms - uplink.lost_ms)),
    )
    absence_s = (now_ms - uplink.lost_ms) / 1_000
    return [
        LogChange("leader_attached", labels),
        Observe("leader_absence_seconds", absence_s),
    ]


def _redirect(uplink: Uplink, now_ms: int, message: Redirect) -> list[Effect]:
    uplink.hosts = message.hosts or uplink.hosts
    uplink.next_address = message.leader if message.leader != uplink.address else ""
    effects = _drop(uplink, now_ms, "redirected")
    if uplink.next_address:
        effects += _open(uplink, now_ms)
    return effects


def _open(uplink: Uplink, now_ms: int) -> list[Effect]:
    uplink.stream_id += 1
    uplink.phase = UplinkPhase.OPENING
    uplink.changed_ms = now_ms
    uplink.address = uplink.next_address or _next_in_turn(uplink)
    uplink.next_address = ""
    return [OpenEntryStream(uplink.stream_id, uplink.address)]


def _next_in_turn(uplink: Uplink) -> str:
    uplink.turn += 1
    turn = uplink.turn
    if uplink.relays:
        # A process that is cut off from the hosts may still reach a relay.
        turn, is_relay = divmod(turn, 2)
        if is_relay:
            return uplink.relays[turn % len(uplink.relays)]
    # Seeds stay among the candidates: a group that was replaced as a whole
    # is found through them only.
    candidates = [*uplink.hosts, *(s for s in uplink.seeds if s not in uplink.hosts)]
    return candidates[turn % len(candidates)]


def _drop(uplink: Uplink, now_ms: int, detail: str) -> list[Effect]:
    closing = CloseEntryStream(uplink.stream_id)
    return [*_forget(uplink, now_ms, detail), closing]


def _forget(uplink: Uplink, now_ms: int, detail: str) -> list[Effect]:
    was_attached = uplink.is_attached
    uplink.phase = UplinkPhase.IDLE
    uplink.changed_ms = now_ms
    if not was_attached:
        return []
    uplink.lost_ms = now_ms
    labels = (Label("address", uplink.address), Label("reason", detail))
    return [LogChange("leader_lost", labels)]
