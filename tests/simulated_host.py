"""Simulated host: process, clock, event queue and disk."""

import copy
from collections import deque
from collections.abc import Callable

import attrs

from crocuswell_core.cluster.commands import (
    LogEntry,
)
from crocuswell_core.entry.entry_state import EntryConfig, EntryState
from crocuswell_core.runtime.effects import (
    Effect,
    EntriesRecord,
    Persist,
    SaveSnapshot,
    TermRecord,
)
from crocuswell_core.runtime.events import (
    EntryBooted,
    Event,
)
from crocuswell_core.runtime.timers import Timer

Action = Callable[[EntryState], list[Effect]]
Durable = Persist | SaveSnapshot


class InvariantError(Exception):
    """Raised if an invariant is violated; the first argument names it."""


@attrs.define
class Disk:
    """Durable state, and records that are not yet synced."""

    term: int = 0
    voted_for: str | None = None
    snapshot: SaveSnapshot | None = None
    entries: list[LogEntry] = attrs.Factory(list)
    unsynced: list[Durable] = attrs.Factory(list)

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index if self.snapshot else 0

    def sync(self, count: int) -> None:
        """Make the oldest `count` unsynced records durable."""
        for record in self.unsynced[:count]:
            self._write(record)
        del self.unsynced[:count]

    def _write(self, record: Durable) -> None:
        match record:
            case Persist(TermRecord(term, voted_for)):
                self.term, self.voted_for = term, voted_for
            case Persist(EntriesRecord(entries)):
                del self.entries[max(0, entries[0].index - self.snapshot_index - 1) :]
                self.entries.extend(entries)
                expected = self.snapshot_index + len(self.entries)
                if self.entries[-1].index != expected:
                    raise InvariantError("gap on disk", entries[0].index, expected)
            case SaveSnapshot():
                self.snapshot = record
                self.entries = [e for e in self.entries if e.index > record.index]

    def holds(self, index: int, term: int) -> bool:
        """Return whether an entry, or a snapshot covering it, is durable."""
        offset = index - self.snapshot_index - 1
        if offset < 0:
            return True
        return offset < len(self.entries) and self.entries[offset].term == term

    def booted(self) -> EntryBooted:
        boot = EntryBooted(self.term, self.voted_for, entries=tuple(self.entries))
        if self.snapshot is None:
            return boot
        return attrs.evolve(
            boot,
            snapshot_index=self.snapshot.index,
            snapshot_term=self.snapshot.term,
            snapshot_state=copy.deepcopy(self.snapshot.state),
            hosts=self.snapshot.hosts,
            voters=self.snapshot.voters,
        )


@attrs.define(eq=False)
class Host:
    """A simulated process with its clock, event queue and disk."""

    cfg: EntryConfig
    rate: float
    offset_ms: int = 0
    disk: Disk = attrs.Factory(Disk)
    state: EntryState | None = None
    incarnation: int = 0
    queue: deque[Event | Action] = attrs.Factory(deque)
    timers: dict[Timer, int] = attrs.Factory(dict)
    busy: bool = False
    paused_until: float = 0

    @property
    def id(self) -> str:
        return self.cfg.host.id

    def local_ms(self, time_ms: float) -> int:
        return self.offset_ms + int(time_ms * self.rate)
