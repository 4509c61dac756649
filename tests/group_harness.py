"""In-process group of entry hosts that discover each other by seeds.

Messages take `DELAY_MS` and timers fire on time. A disk is a list of records
that survives a crash unless the test wipes it.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import cast

import attrs

from crocuswell_core.cluster.commands import Command, EntryHost, LogEntry, Proposal
from crocuswell_core.consensus import replication
from crocuswell_core.consensus.consensus_state import Role
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.runtime.effects import (
    CancelTimer,
    CloseAgentStream,
    CloseEntryStream,
    Effect,
    EntriesRecord,
    Observe,
    OpenEntryStream,
    Persist,
    SaveSnapshot,
    SendAgent,
    SendEntry,
    SendPeer,
    SendSnapshot,
    SetPeers,
    StartTimer,
    TermRecord,
)
from crocuswell_core.runtime.events import (
    AgentMessageReceived,
    AgentStreamClosed,
    ClockAdvanced,
    EntriesSynced,
    EntryBooted,
    EntryMessageReceived,
    EntryStreamClosed,
    EntryStreamOpened,
    Event,
    PeerMessageReceived,
    SnapshotReceived,
    TimerFired,
)
from crocuswell_core.runtime.reducer import reduce
from crocuswell_core.runtime.timers import Timer
from crocuswell_daemon import wire

DELAY_MS = 2


@attrs.define
class Disk:
    """Durable records of one disk, with its identity."""

    identity: str
    founds_group: bool = False
    term: TermRecord = attrs.Factory(lambda: TermRecord(0, None))
    entries: list[LogEntry] = attrs.Factory(list)
    snapshot: SaveSnapshot | None = None

    def write(self, record: object) -> None:
        if isinstance(record, TermRecord):
            self.term = record
        elif isinstance(record, EntriesRecord) and record.entries:
            first = record.entries[0].index
            kept = [entry for entry in self.entries if entry.index < first]
            self.entries = [*kept, *record.entries]

    def save(self, snapshot: SaveSnapshot) -> None:
        """Replace the entries that a snapshot covers; its state is encoded."""
        encoded = wire.encode(snapshot.state)
        self.snapshot = attrs.evolve(snapshot, state=encoded)
        self.entries = [e for e in self.entries if e.index > snapshot.index]

    def booted(self) -> EntryBooted:
        """Return the event that starts a host from this disk."""
        booted = EntryBooted(
            self.term.term, self.term.voted_for, entries=tuple(self.entries)
        )
        if self.snapshot is None:
            return booted
        return attrs.evolve(
            booted,
            snapshot_index=self.snapshot.index,
            snapshot_term=self.snapshot.term,
            snapshot_state=wire.decode_state(cast(bytes, self.snapshot.state)),
            hosts=self.snapshot.hosts,
            voters=self.snapshot.voters,
        )


@attrs.define
class Host:
    """A running entry host."""

    name: str
    state: EntryState
    disk: Disk
    peers: dict[str, str] = attrs.Factory(dict)
    timers: dict[Timer, int] = attrs.Factory(dict)
    uplinks: dict[int, "Stream"] = attrs.Factory(dict)
    accepted: dict[int, "Stream"] = attrs.Factory(dict)

    @property
    def is_leader(self) -> bool:
        return self.state.consensus.role is Role.LEADER


@attrs.define(eq=False)
class Stream:
    """A stream between two hosts, with its id on each side."""

    client: Host
    client_id: int
    server: Host
    server_id: int


class Group:
    """Runs entry hosts in virtual time, in ms."""

    snapshot_entries = 2_000
    snapshot_bytes = 16_000_000
    voter_target = 3

    def __init__(self, seeds: tuple[str, ...]) -> None:
        self.seeds = seeds
        self.now_ms = 1_000
        self.hosts: dict[str, Host] = {}
        self.disks: dict[str, Disk] = {}
        self.observed: dict[str, list[float]] = {}
        self._order = itertools.count()
        self._streams = itertools.count(1)
        self._queue: list[tuple[int, int, Callable[[], None]]] = []

    def start(self, name: str, founds: bool = False) -> None:
        """Start a host with its previous disk, or with an empty one."""
        if name not in self.disks:
            self.disks[name] = self.make_disk(name, founds)
        disk = self.disks[name]
        host = EntryHost(
            f"{name}~{disk.identity}", f"{name}:1", name, stream_address=f"{name}:2"
        )
        founder = disk.founds_group
        cfg = EntryConfig(
            host,
            (host,) if founder else (),
            (host.id,) if founder else (),
            voter_target=self.voter_target,
            replace_voter_ms=1_500,
            forget_host_ms=60_000,
            seeds=tuple(f"{seed}:2" for seed in self.seeds),
            founds_group=founder,
            snapshot_entries=self.snapshot_entries,
            snapshot_bytes=self.snapshot_bytes,
        )
        state = EntryState(cfg, random.Random(f"{name}{disk.identity}"))
        running = Host(name, state, disk)
        self.hosts[name] = running
        self.post(running, disk.booted())

    def make_disk(self, name: str, founds_group: bool) -> Disk:
        """Return an empty disk for a host."""
        return Disk(f"{next(self._order)}", founds_group)

    def kill(self, name: str, wipe: bool = False) -> None:
        """Stop a host at once; its pending messages and timers are lost."""
        host = self.hosts.pop(name)
        if wipe:
            del self.disks[name]
        for stream in [*host.uplinks.values(), *host.accepted.values()]:
            self._close(stream)

    def run(self, ms: int) -> None:
        """Advance the time by `ms`, running all events that fall due."""
        end_ms = self.now_ms + ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def leader(self) -> Host:
        """Return the leader of the highest term."""
        leaders = [host for host in self.hosts.values() if host.is_leader]
        return max(leaders, key=lambda host: host.state.consensus.term)

    def voters(self) -> set[str]:
        """Return the member ids of the leader's voters."""
        return set(self.leader().state.consensus.voters)

    def member(self, name: str) -> str:
        """Return the member id of a running host."""
        return self.hosts[name].state.cfg.host.id

    def propose(self, command: Command) -> None:
        """Propose a command on the leader and wait for its commit."""
        leader = self.leader()
        effects = replication.propose(leader.state, Proposal("", "", command))
        self._execute_effects(leader, effects)
        self.run(200)

    # --- events and effects ----------------------------------------------

    def post(self, host: Host, event: Event) -> None:
        if self.hosts.get(host.name) is not host:
            return
        effects: list[Effect] = []
        for each in (ClockAdvanced(self.now_ms, self.now_ms), event):
            host.state, new = reduce(host.state, each)
            effects += new
        self._execute_effects(host, effects)

    def _schedule(self, delay_ms: int, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._order), action))

    def _execute_effects(self, host: Host, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                host.disk.write(effect.record)
                self._note_synced(host, effect)
            elif isinstance(effect, SaveSnapshot):
                host.disk.save(effect)
        for effect in effects:
            self._execute(host, effect)

    def _note_synced(self, host: Host, effect: Persist) -> None:
        if isinstance(effect.record, EntriesRecord):
            entry = effect.record.entries[-1]
            synced = EntriesSynced(entry.index, entry.term)
            self._schedule(1, lambda: self.post(host, synced))

    def _execute(self, host: Host, effect: Effect) -> None:
        if isinstance(effect, StartTimer):
            self._start_timer(host, effect)
        elif isinstance(effect, CancelTimer):
            host.timers.pop(effect.timer, None)
        elif isinstance(effect, SetPeers):
            host.peers = {h.id: h.address.partition(":")[0] for h in effect.hosts}
        elif isinstance(effect, SendPeer):
            self._send_peer(host, effect)
        elif isinstance(effect, SendSnapshot):
            self._send_snapshot(host, effect)
        elif isinstance(effect, OpenEntryStream):
            self._open(host, effect)
        elif isinstance(effect, SendEntry):
            self._send_up(host, effect)
        elif isinstance(effect, SendAgent):
            self._send_down(host, effect)
        elif isinstance(effect, Observe):
            self.observed.setdefault(effect.histogram, []).append(effect.value)
        elif isinstance(effect, CloseEntryStream):
            self._close(host.uplinks.get(effect.stream_id))
        elif isinstance(effect, CloseAgentStream):
            stream = host.accepted.get(effect.stream_id)
            # Messages sent before the close still arrive.
            self._schedule(DELAY_MS + 1, lambda: self._close(stream))

    def _start_timer(self, host: Host, effect: StartTimer) -> None:
        number = next(self._order)
        host.timers[effect.timer] = number

        def fire() -> None:
            if host.timers.get(effect.timer) == number:
                del host.timers[effect.timer]
                self.post(host, TimerFired(effect.timer))

        self._schedule(effect.delay_ms, fire)

    def _send_peer(self, host: Host, effect: SendPeer) -> None:
        sender = host.state.cfg.host.id
        self._deliver_to_peer(
            host, effect.to, PeerMessageReceived(sender, effect.message)
        )

    def _send_snapshot(self, host: Host, effect: SendSnapshot) -> None:
        fields = attrs.asdict(effect, recurse=False)
        del fields["to"]
        fields["state"] = wire.decode_state(wire.encode(effect.state))
        received = SnapshotReceived(host.state.cfg.host.id, **fields)
        self._deliver_to_peer(host, effect.to, received)

    def _deliver_to_peer(self, host: Host, to: str, event: Event) -> None:
        name = host.peers.get(to)

        def arrive() -> None:
            target = self.hosts.get(name or "")
            if target is not None:
                self.post(target, event)

        self._schedule(DELAY_MS, arrive)

    def _open(self, host: Host, effect: OpenEntryStream) -> None:
        def arrive() -> None:
            server = self.hosts.get(effect.address.partition(":")[0])
            if server is None:
                self.post(host, EntryStreamClosed(effect.stream_id, "refused"))
                return
            stream = Stream(host, effect.stream_id, server, next(self._streams))
            host.uplinks[stream.client_id] = stream
            server.accepted[stream.server_id] = stream
            self.post(host, EntryStreamOpened(effect.stream_id))

        self._schedule(DELAY_MS, arrive)

    def _send_up(self, host: Host, effect: SendEntry) -> None:
        stream = host.uplinks.get(effect.stream_id)
        if stream is None:
            return
        event = AgentMessageReceived(stream.server_id, effect.message)
        self._schedule(DELAY_MS, lambda: self.post(stream.server, event))

    def _send_down(self, host: Host, effect: SendAgent) -> None:
        stream = host.accepted.get(effect.stream_id)
        if stream is None:
            return
        event = EntryMessageReceived(stream.client_id, effect.message)
        self._schedule(DELAY_MS, lambda: self.post(stream.client, event))

    def _close(self, stream: Stream | None) -> None:
        if stream is None or stream.client.uplinks.pop(stream.client_id, None) is None:
            return
        stream.server.accepted.pop(stream.server_id, None)
        closed = EntryStreamClosed(stream.client_id, "closed")
        self._schedule(DELAY_MS, lambda: self.post(stream.client, closed))
        ended = AgentStreamClosed(stream.server_id)
        self._schedule(DELAY_MS, lambda: self.post(stream.server, ended))
