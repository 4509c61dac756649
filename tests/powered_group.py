"""A group of hosts on simulated disks that sync late and lose power."""

import random
import tempfile
from collections import deque
from contextlib import ExitStack
from pathlib import Path
from unittest import mock

import attrs

from crocuswell_core.cluster.commands import Command, LogEntry, Proposal
from crocuswell_core.consensus import consensus_log, replication
from crocuswell_core.runtime.effects import (
    Effect,
    EntriesRecord,
    Persist,
    Record,
    SaveSnapshot,
)
from crocuswell_core.runtime.events import EntriesSynced, EntryBooted, Event
from crocuswell_daemon.disk_identity import DiskIdentity, load_identity
from crocuswell_daemon.snapshots import encode_effect_state
from crocuswell_daemon.storage import Storage
from tests.group_harness import Disk, Group, Host
from tests.power_disk import PowerDisk

SYNC_MS = (1, 3, 40)


@attrs.frozen(order=True)
class Promise:
    """What the others may rely on: the term, and the newest entry."""

    term: int = 0
    last_term: int = 0
    last_index: int = 0


class StoredDisk(Disk):
    """The files of a host, written by its real storage."""

    promise = Promise()

    def __init__(self, folder: Path, founds_group: bool) -> None:
        folder.mkdir()
        self.folder = folder
        self.power = PowerDisk(folder)
        found = load_identity(folder, founds_group, self.power)
        super().__init__(found.id, found.founds_group)
        self.power.finish()
        self.storage: Storage | None = None

    def booted(self) -> EntryBooted:
        identity = load_identity(self.folder, False, self.power)
        assert identity == DiskIdentity(self.identity, self.founds_group)
        self.storage = Storage(self.folder, self.power).__enter__()
        event = self.storage.load()
        self.power.finish()
        last = event.entries[-1] if event.entries else None
        found = Promise(
            event.term,
            last.term if last else event.snapshot_term,
            last.index if last else event.snapshot_index,
        )
        assert found.term >= self.promise.term
        assert attrs.evolve(found, term=self.promise.term) >= self.promise
        return event

    def sync(self, records: list[Record]) -> None:
        assert self.storage
        self.storage.append(records)
        self.storage.sync()

    def close(self) -> None:
        if self.storage:
            self.storage.__exit__(None, None, None)
            self.storage = None


@attrs.define
class Batch:
    """Effects that wait for the sync of their records."""

    effects: list[Effect]
    backlog: deque[Event] = attrs.Factory(deque)


class PoweredGroup(Group):
    """Runs hosts as their runtime does: effects follow the sync of a batch.

    Attributes
    ----------
    acknowledged : dict
        By index, the entries that a host has applied, and of which it may
        have told somebody.
    """

    def __init__(
        self, seeds: tuple[str, ...], rng: random.Random, stack: ExitStack
    ) -> None:
        super().__init__(seeds)
        self.rng = rng
        self.acknowledged: dict[int, LogEntry] = {}
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._stack = stack
        # Identities and markers are part of what a seed determines.
        stack.enter_context(mock.patch("os.urandom", rng.randbytes))
        self._batches: dict[str, Batch] = {}

    def make_disk(self, name: str, founds_group: bool) -> Disk:
        folder = self._folder / f"{name}{next(self._order)}"
        disk = StoredDisk(folder, founds_group)
        self._stack.callback(disk.power.close)
        self._stack.callback(disk.close)
        return disk

    def stored(self, name: str) -> StoredDisk:
        disk = self.disks[name]
        assert isinstance(disk, StoredDisk)
        return disk

    def crash(self, name: str) -> None:
        """Kill the process of a host, perhaps within a sync."""
        self._stop(name)
        self.stored(name).power.kill(self.rng)

    def lose_power(self, *names: str) -> None:
        """Cut the power of hosts; some of what is not synced may stay."""
        kept = self.rng if self.rng.random() < 0.5 else None
        for name in names:
            self._stop(name)
            self.stored(name).power.lose_power(kept)

    def lose_disk(self, name: str) -> None:
        self._stop(name)
        del self.disks[name]

    def submit(self, command: Command) -> None:
        """Propose a command on the leader, if there is one."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.is_leader and host.name not in self._batches
        ]
        if leaders:
            leader = max(leaders, key=lambda host: host.state.consensus.term)
            proposal = Proposal("", "", command)
            effects = replication.propose(leader.state, proposal)
            self._execute_effects(leader, effects)

    def post(self, host: Host, event: Event) -> None:
        batch = self._batches.get(host.name)
        if batch and self.hosts.get(host.name) is host:
            batch.backlog.append(event)
        else:
            super().post(host, event)

    def _stop(self, name: str) -> None:
        self._batches.pop(name, None)
        self.stored(name).close()
        if name in self.hosts:
            self.kill(name)

    def _execute_effects(self, host: Host, effects: list[Effect]) -> None:
        self._note_applied(host)
        encoded = [
            encode_effect_state(effect) if isinstance(effect, SaveSnapshot) else effect
            for effect in effects
        ]
        records = [effect.record for effect in encoded if isinstance(effect, Persist)]
        if not records:
            self._complete(host, effects)
            return
        batch = self._batches[host.name] = Batch(effects)
        self.stored(host.name).sync(records)
        self._schedule(self.rng.choice(SYNC_MS), lambda: self._synced(host, batch))

    def _note_applied(self, host: Host) -> None:
        consensus = host.state.consensus
        for index in range(consensus.snapshot_index + 1, consensus.applied_index + 1):
            entry = consensus_log.entry_at(consensus, index)
            assert entry is not None
            assert self.acknowledged.setdefault(index, entry) == entry

    def _synced(self, host: Host, batch: Batch) -> None:
        if self._batches.get(host.name) is not batch:
            return
        del self._batches[host.name]
        self.stored(host.name).power.finish()
        self._complete(host, batch.effects)
        written = [
            effect.record.entries[-1]
            for effect in batch.effects
            if isinstance(effect, Persist) and isinstance(effect.record, EntriesRecord)
        ]
        if written:
            synced = EntriesSynced(written[-1].index, written[-1].term)
            batch.backlog.append(synced)
        while batch.backlog and host.name not in self._batches:
            super().post(host, batch.backlog.popleft())
        if batch.backlog:
            self._batches[host.name].backlog.extendleft(reversed(batch.backlog))

    def _complete(self, host: Host, effects: list[Effect]) -> None:
        consensus = host.state.consensus
        self.stored(host.name).promise = Promise(
            consensus.term,
            consensus_log.last_term(consensus),
            consensus_log.last_index(consensus),
        )
        for effect in effects:
            self._execute(host, effect)
