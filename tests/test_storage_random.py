"""Model-based test of the storage with random operations and crashes.

Guards against sequences of writes, snapshots and crashes after which a
restart loses a synced record or restores a replaced one.
"""

import tempfile
from pathlib import Path
from typing import Any

import attrs
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import AdvanceTime, LogEntry, Proposal
from crocuswell_core.runtime.effects import EntriesRecord, SnapshotRecord, TermRecord
from crocuswell_daemon import wire
from crocuswell_daemon.storage import Storage, StorageError, SystemDisk

STATE = wire.encode(ClusterState())


class CrashingDisk(SystemDisk):
    """Fails after a chosen number of calls and writes short before that."""

    def __init__(self) -> None:
        self.calls_left: int | None = None

    def _count(self) -> None:
        if self.calls_left is None:
            return
        if self.calls_left == 0:
            raise OSError(5, "crashed")
        self.calls_left -= 1

    def write(self, fd: int, data: bytes) -> int:
        self._count()
        # Short writes, so that a crash leaves a partial record.
        return super().write(fd, data if self.calls_left is None else data[:23])

    def fdatasync(self, fd: int) -> None:
        self._count()
        super().fdatasync(fd)

    def rename(self, source: Path, target: Path) -> None:
        self._count()
        super().rename(source, target)


@attrs.frozen
class Content:
    """The records that a restart must find."""

    term: int = 0
    voted_for: str | None = None
    snapshot_index: int = 0
    snapshot_term: int = 0
    entries: tuple[LogEntry, ...] = ()

    @property
    def last_index(self) -> int:
        return self.snapshot_index + len(self.entries)

    def with_entries(self, entries: tuple[LogEntry, ...]) -> "Content":
        kept = entries[0].index - self.snapshot_index - 1
        return attrs.evolve(self, entries=self.entries[:kept] + entries)

    def with_snapshot(self, index: int, term: int) -> "Content":
        position = index - self.snapshot_index
        later_entries: tuple[LogEntry, ...] = ()
        if position <= len(self.entries) and self.entries[position - 1].term == term:
            later_entries = self.entries[position:]
        return attrs.evolve(
            self, snapshot_index=index, snapshot_term=term, entries=later_entries
        )


class DataFolder(RuleBasedStateMachine):
    """Writes, syncs, snapshots, restarts and crashes in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.folder = tempfile.TemporaryDirectory(prefix="crocuswell-test-")
        self.path = Path(self.folder.name) / "data"
        self.synced = Content()
        self.written = Content()
        self.term = 1
        self.open()

    def teardown(self) -> None:
        self.storage.__exit__(None, None, None)
        self.folder.cleanup()

    def open(self) -> None:
        self.disk = CrashingDisk()
        self.storage = Storage(self.path, self.disk).__enter__()
        booted = self.storage.load()
        found = Content(
            booted.term,
            booted.voted_for,
            booted.snapshot_index,
            booted.snapshot_term,
            booted.entries,
        )
        assert found in self.possible_contents(), (found, self.possible_contents())
        self.synced = self.written = found

    def possible_contents(self) -> list[Content]:
        return self.outcomes if hasattr(self, "outcomes") else [self.synced]

    def reopen(self, *outcomes: Content) -> None:
        self.outcomes = list(outcomes)
        self.storage.__exit__(None, None, None)
        self.open()

    def entries_from(self, first: int, count: int) -> tuple[LogEntry, ...]:
        proposal = Proposal("c", "d" * 30, AdvanceTime())
        return tuple(LogEntry(self.term, first + i, 0, proposal) for i in range(count))

    @rule(candidate=st.sampled_from(["a", None]))
    def write_term(self, candidate: str | None) -> None:
        self.term += 1
        self.storage.append([TermRecord(self.term, candidate)])
        self.written = attrs.evolve(self.written, term=self.term, voted_for=candidate)

    @rule(back=st.integers(0, 3), count=st.integers(1, 4))
    def write_entries(self, back: int, count: int) -> None:
        first = max(self.written.snapshot_index, self.written.last_index - back) + 1
        entries = self.entries_from(first, count)
        self.storage.append([EntriesRecord(entries)])
        self.written = self.written.with_entries(entries)

    @rule()
    def sync(self) -> None:
        self.storage.sync()
        self.synced = self.written

    @precondition(lambda self: self.written.entries)
    @rule(data=st.data())
    def save_own_snapshot(self, data: Any) -> None:
        entry = data.draw(st.sampled_from(self.written.entries))
        self.take_snapshot(entry.index, entry.term)

    @rule(ahead=st.integers(-2, 3))
    def install_foreign_snapshot(self, ahead: int) -> None:
        index = max(self.written.snapshot_index + 1, self.written.last_index + ahead)
        self.term += 1
        self.take_snapshot(index, self.term)

    def take_snapshot(self, index: int, term: int) -> None:
        self.storage.append([SnapshotRecord(index, term, (), (), STATE)])
        self.synced = self.written = self.written.with_snapshot(index, term)

    @rule()
    def restart(self) -> None:
        self.reopen(self.synced)

    @rule(calls=st.integers(0, 12))
    def crash_in_sync(self, calls: int) -> None:
        self.disk.calls_left = calls
        try:
            self.storage.sync()
        except StorageError:
            # Records may have reached the disk completely without a sync.
            self.reopen(self.synced, self.written)
        else:
            self.reopen(self.written)

    @precondition(lambda self: self.written.entries)
    @rule(data=st.data(), calls=st.integers(0, 60))
    def crash_in_own_snapshot(self, data: Any, calls: int) -> None:
        entry = data.draw(st.sampled_from(self.written.entries))
        self.crash_in_snapshot(entry.index, entry.term, calls)

    @rule(ahead=st.integers(-2, 3), calls=st.integers(0, 60))
    def crash_in_foreign_snapshot(self, ahead: int, calls: int) -> None:
        index = max(self.written.snapshot_index + 1, self.written.last_index + ahead)
        self.term += 1
        self.crash_in_snapshot(index, self.term, calls)

    def crash_in_snapshot(self, index: int, term: int, calls: int) -> None:
        after = self.written.with_snapshot(index, term)
        self.disk.calls_left = calls
        try:
            self.storage.append([SnapshotRecord(index, term, (), (), STATE)])
        except StorageError:
            self.reopen(self.synced, self.written, after)
        else:
            self.reopen(after)


TestDataFolder = DataFolder.TestCase
TestDataFolder.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
