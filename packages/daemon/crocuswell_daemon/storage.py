"""Durable log and snapshot of an entry host, in one data folder.

The file `log` holds one frame per sync (see `frames`) and `snapshot` a single
frame. Either file is replaced only by renaming a synced file over it.
"""

import fcntl
import os
from collections import deque
from collections.abc import Iterable
from contextlib import AbstractContextManager, ExitStack
from functools import singledispatchmethod
from pathlib import Path
from types import TracebackType
from typing import Protocol, Self

import attrs

from crocuswell_core.cluster.commands import LogEntry
from crocuswell_core.runtime.effects import (
    EntriesRecord,
    Record,
    SnapshotRecord,
    TermRecord,
)
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import EntryBooted
from crocuswell_daemon import wire
from crocuswell_daemon.frames import (
    MARKER_BYTES,
    StorageError,
    corruption_error,
    find_frame,
    header_length,
    pack_frame,
    pack_header,
    read_frame,
    read_header,
    system_call_error,
)

LOG_MAGIC = b"CWLOG001"
SNAPSHOT_MAGIC = b"CWSNP001"
LOG_FILE, SNAPSHOT_FILE, LOCK_FILE = "log", "snapshot", "lock"
TEMPORARY_SUFFIX = ".tmp"
NO_TERM = TermRecord(0, None)


class Disk(Protocol):
    """System calls that tests replace to inject failures."""

    def write(self, fd: int, data: bytes) -> int:
        """Write some of the data and return the number of bytes."""

    def fdatasync(self, fd: int) -> None:
        """Bring a file's data and length to disk."""

    def fsync(self, fd: int) -> None:
        """Bring a file, or the names in a folder, to disk."""

    def rename(self, source: Path, target: Path) -> None:
        """Replace a file by another one."""


class SystemDisk:
    """The system calls of the operating system."""

    def write(self, fd: int, data: bytes) -> int:
        """Write some of the data and return the number of bytes."""
        return os.write(fd, data)

    def fdatasync(self, fd: int) -> None:
        """Bring a file's data and length to disk."""
        os.fdatasync(fd)

    def fsync(self, fd: int) -> None:
        """Bring a file, or the names in a folder, to disk."""
        os.fsync(fd)

    def rename(self, source: Path, target: Path) -> None:
        """Replace a file by another one."""
        os.rename(source, target)


@attrs.frozen
class TornTail:
    """An incomplete last frame that was truncated at start."""

    path: str
    offset: int
    length: int


@attrs.define
class _StoredState:
    """In-memory copy of the stored records, from which the log is rewritten.

    The state in the snapshot is left out.
    """

    term: TermRecord = NO_TERM
    snapshot: SnapshotRecord | None = None
    entries: list[LogEntry] = attrs.Factory(list)

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index if self.snapshot else 0

    def replace_entries(self, entries: tuple[LogEntry, ...]) -> None:
        """Replace all entries from the index of the first new entry on."""
        if not entries:
            return
        position = entries[0].index - self.snapshot_index - 1
        if not 0 <= position <= len(self.entries):
            raise ValueError(
                f"entry {entries[0].index} does not follow entry "
                f"{self.snapshot_index + len(self.entries)}"
            )
        self.entries[position:] = entries

    def install(self, snapshot: SnapshotRecord) -> None:
        """Replace the entries up to the snapshot; see `SnapshotRecord`."""
        self.entries = _entries_after(self.entries, snapshot)
        self.snapshot = attrs.evolve(snapshot, state=b"")


def _entries_after(entries: list[LogEntry], snapshot: SnapshotRecord) -> list[LogEntry]:
    for position, entry in enumerate(entries):
        if entry.index == snapshot.index and entry.term == snapshot.term:
            return entries[position + 1 :]
        if entry.index == snapshot.index + 1 and position == 0:
            return entries
    return []


@attrs.define
class _Replay:
    """State rebuilt from the records of the log."""

    path: Path
    term: TermRecord = NO_TERM
    entries: list[LogEntry] = attrs.Factory(list)

    def apply(self, record: Record, offset: int) -> None:
        """Apply a record that was read at `offset`."""
        if isinstance(record, TermRecord):
            self.term = record
        elif isinstance(record, EntriesRecord) and record.entries:
            self._replace(record.entries, offset)

    def _replace(self, entries: tuple[LogEntry, ...], offset: int) -> None:
        first = entries[0].index
        position = first - self.entries[0].index if self.entries else 0
        if not 0 <= position <= len(self.entries):
            raise corruption_error(
                self.path, offset, f"entry {first} does not follow the one before"
            )
        self.entries[position:] = entries


class VolatileStorage:
    """Storage of an entry host without a disk; it is empty at each start."""

    torn_tail: TornTail | None = None

    def load(self) -> EntryBooted:
        """Return an empty state."""
        return EntryBooted()

    def append(self, records: Iterable[Record]) -> None:
        """Do nothing."""

    def sync(self) -> None:
        """Do nothing."""


class Storage(AbstractContextManager["Storage"]):
    """The data folder of one process; use as a context manager.

    After a failed write or sync every later call fails as well, because the
    kernel may have dropped the dirty pages and a retry could succeed
    without them. A full disk is no such failure: what was not synced is cut
    off the log, and the next `sync` writes it again from memory.

    Parameters
    ----------
    folder : Path
        The data folder; created if its parent exists.
    disk : Disk, optional
        System calls to use.
    """

    def __init__(self, folder: Path, disk: Disk | None = None) -> None:
        self._folder = folder
        self._disk = disk or SystemDisk()
        self._stored = _StoredState()
        self._deferred: deque[Record] = deque()
        self._pending: list[bytes] = []
        self._log_fd = -1
        self._log_length = 0
        self._log_is_outdated = False
        self._lock_fd = -1
        self._marker = b""
        self._failure: StorageError | None = None
        self.torn_tail: TornTail | None = None

    def __enter__(self) -> Self:
        """Create the folder if needed and lock it.

        Raises
        ------
        StorageError
            If another process uses the folder or it can't be opened.
        """
        try:
            self._folder.mkdir(exist_ok=True)
            self._lock_fd = os.open(
                self._folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600
            )
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as exc:
            self._close()
            raise StorageError(
                ErrorKind.STORAGE_FAILED,
                f"{self._folder}: another process uses this data folder",
            ) from exc
        except OSError as exc:
            self._close()
            raise system_call_error(f"open {self._folder}", exc) from exc
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the files and release the lock."""
        self._close()

    def load(self) -> EntryBooted:
        """Read the snapshot and the log, and truncate a torn tail.

        Raises
        ------
        StorageError
            If a file is damaged or can't be read or written.
        """
        try:
            return self._load()
        except OSError as exc:
            raise self._record_failure(f"read {self._folder}", exc) from exc

    def append(self, records: Iterable[Record]) -> None:
        """Buffer records, in order, for the next `sync`.

        A snapshot is written at once, after the records before it.

        Raises
        ------
        StorageError
            If a snapshot among the records can't be written.
        """
        self._raise_if_failed()
        self._deferred.extend(records)
        self._append_deferred()

    def sync(self) -> None:
        """Write the buffered records as one frame and sync it.

        Raises
        ------
        DiskFullError
            If the disk is full; the records stay buffered for the next call.
        StorageError
            If the write or the sync fails.
        """
        self._raise_if_failed()
        self._append_deferred()
        self._sync_pending()

    def _append_deferred(self) -> None:
        while self._deferred:
            self._append_record(self._deferred[0])
            self._deferred.popleft()

    def _sync_pending(self) -> None:
        if not self._pending:
            return
        frame = pack_frame(self._marker, self._pending)
        try:
            self._write_all(self._log_fd, frame)
            self._disk.fdatasync(self._log_fd)
        except OSError as exc:
            error = self._record_failure(f"write {self._folder / LOG_FILE}", exc)
            self._cut_unsynced_tail()
            raise error from exc
        self._log_length += len(frame)
        self._pending.clear()

    def _cut_unsynced_tail(self) -> None:
        """Cut an incomplete frame off the log, unless the log has failed."""
        if self._failure:
            return
        try:
            os.ftruncate(self._log_fd, self._log_length)
        except OSError as exc:
            raise self._record_failure(f"cut {self._folder / LOG_FILE}", exc) from exc

    # --- records ---------------------------------------------------------

    @singledispatchmethod
    def _append_record(self, record: Record) -> None:
        raise TypeError(type(record).__name__)

    @_append_record.register
    def _(self, record: TermRecord) -> None:
        self._stored.term = record
        self._pending.append(wire.encode(record))

    @_append_record.register
    def _(self, record: EntriesRecord) -> None:
        self._stored.replace_entries(record.entries)
        self._pending.append(wire.encode(record))

    @_append_record.register
    def _(self, record: SnapshotRecord) -> None:
        self._sync_pending()
        try:
            if record.index > self._stored.snapshot_index:
                self._write_file(SNAPSHOT_FILE, SNAPSHOT_MAGIC, [wire.encode(record)])
                self._stored.install(record)
                self._log_is_outdated = True
            if self._log_is_outdated:
                # Entries after the snapshot need a log that starts there.
                self._rewrite_log()
                self._log_is_outdated = False
        except OSError as exc:
            raise self._record_failure(
                f"write {self._folder / SNAPSHOT_FILE}", exc
            ) from exc

    # --- files -----------------------------------------------------------

    def _raise_if_failed(self) -> None:
        if self._failure:
            raise self._failure

    def _record_failure(self, action: str, exc: OSError) -> StorageError:
        """Return the error; all later calls fail, unless it can pass."""
        error = system_call_error(action, exc)
        if error.is_final:
            self._failure = error
        return error

    def _write_all(self, fd: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._disk.write(fd, view) :]  # type: ignore[arg-type]

    def _write_file(self, name: str, magic: bytes, records: list[bytes]) -> bytes:
        """Write a file under a temporary name and rename it.

        Returns
        -------
        bytes
            The marker of the new file.
        """
        marker = os.urandom(MARKER_BYTES)
        data = pack_header(magic, marker)
        if records:
            data += pack_frame(marker, records)
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        fd = os.open(
            temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600
        )
        with ExitStack() as stack:
            stack.callback(os.close, fd)
            # Room that an incomplete file takes would be missed elsewhere.
            unlink = stack.enter_context(ExitStack())
            unlink.callback(temporary.unlink)
            self._write_all(fd, data)
            self._disk.fdatasync(fd)
            unlink.pop_all()
        self._disk.rename(temporary, self._folder / name)
        self._sync_folder()
        return marker

    def _sync_folder(self) -> None:
        fd = os.open(self._folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            self._disk.fsync(fd)
        finally:
            os.close(fd)

    def _rewrite_log(self) -> None:
        """Replace the log by one with only the current records."""
        stored = self._stored
        records: list[bytes] = []
        if stored.term != NO_TERM:
            records.append(wire.encode(stored.term))
        if stored.entries:
            records.append(wire.encode(EntriesRecord(tuple(stored.entries))))
        self._marker = self._write_file(LOG_FILE, LOG_MAGIC, records)
        self._open_log()

    def _open_log(self) -> None:
        if self._log_fd >= 0:
            os.close(self._log_fd)
        self._log_fd = os.open(
            self._folder / LOG_FILE, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC
        )
        self._log_length = os.fstat(self._log_fd).st_size

    def _close(self) -> None:
        for fd in (self._log_fd, self._lock_fd):
            if fd >= 0:
                os.close(fd)
        self._log_fd = self._lock_fd = -1

    # --- load ------------------------------------------------------------

    def _load(self) -> EntryBooted:
        snapshot = self._read_snapshot()
        if snapshot:
            self._stored.snapshot = attrs.evolve(snapshot, state=b"")
        path = self._folder / LOG_FILE
        if path.exists():
            is_outdated = self._replay_log(path, path.read_bytes())
            self._open_log()
            # The process before may have ended between a write or a rename
            # and its sync; what it left is about to be acknowledged.
            self._disk.fsync(self._log_fd)
            self._sync_folder()
        elif snapshot:
            raise corruption_error(
                path, 0, "the log is missing, and with it term and vote"
            )
        else:
            is_outdated = True
        if is_outdated:
            self._rewrite_log()
        return self._make_boot_event(snapshot)

    def _make_boot_event(self, snapshot: SnapshotRecord | None) -> EntryBooted:
        term, entries = self._stored.term, tuple(self._stored.entries)
        if snapshot is None:
            return EntryBooted(term.term, term.voted_for, entries=entries)
        try:
            state = wire.decode_state(snapshot.state)
        except wire.CodecError as exc:
            raise corruption_error(self._folder / SNAPSHOT_FILE, 0, str(exc)) from exc
        return EntryBooted(
            term=term.term,
            voted_for=term.voted_for,
            snapshot_index=snapshot.index,
            snapshot_term=snapshot.term,
            snapshot_state=state,
            hosts=snapshot.hosts,
            voters=snapshot.voters,
            entries=entries,
        )

    def _read_snapshot(self) -> SnapshotRecord | None:
        path = self._folder / SNAPSHOT_FILE
        if not path.exists():
            return None
        data = path.read_bytes()
        marker = read_header(path, data, SNAPSHOT_MAGIC)
        start = header_length(SNAPSHOT_MAGIC)
        records, end = read_frame(path, data, start, marker)
        if len(records) != 1 or end != len(data):
            raise corruption_error(path, start, "the snapshot is damaged")
        if not isinstance(records[0], SnapshotRecord):
            raise corruption_error(path, start, "the file is not a snapshot")
        return records[0]

    def _replay_log(self, path: Path, data: bytes) -> bool:
        """Read the log and truncate a torn tail.

        Returns
        -------
        bool
            Whether the log still holds entries that the snapshot replaces,
            as after a crash between writing the snapshot and the log.
        """
        self._marker = read_header(path, data, LOG_MAGIC)
        offset = header_length(LOG_MAGIC)
        replay = _Replay(path)
        while offset < len(data):
            records, end = read_frame(path, data, offset, self._marker)
            if not records:
                self._truncate_tail(path, data, offset)
                break
            for record in records:
                replay.apply(record, offset)
            offset = end
        stored = self._stored
        stored.term = replay.term
        stored.entries = replay.entries
        if stored.snapshot:
            stored.entries = _entries_after(replay.entries, stored.snapshot)
        if stored.entries and stored.entries[0].index != stored.snapshot_index + 1:
            raise corruption_error(
                path,
                header_length(LOG_MAGIC),
                f"the log starts at entry {stored.entries[0].index}, but the "
                f"snapshot ends at {stored.snapshot_index}",
            )
        return len(stored.entries) != len(replay.entries)

    def _truncate_tail(self, path: Path, data: bytes, offset: int) -> None:
        next_frame = find_frame(data, offset + 1, self._marker)
        if next_frame is not None:
            raise corruption_error(
                path, offset, f"damaged record before a valid one at {next_frame}"
            )
        self.torn_tail = TornTail(str(path), offset, len(data) - offset)
        fd = os.open(path, os.O_WRONLY | os.O_CLOEXEC)
        try:
            os.ftruncate(fd, offset)
        finally:
            os.close(fd)
