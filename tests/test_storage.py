"""Storage: lost, resurrected or misread records in the data folder."""

import errno
import os
from pathlib import Path

import pytest

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    AdvanceTime,
    EntryHost,
    LogEntry,
    NoOperation,
    Proposal,
)
from crocuswell_core.runtime.effects import EntriesRecord, SnapshotRecord, TermRecord
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import EntryBooted
from crocuswell_daemon import wire
from crocuswell_daemon.disk_identity import load_identity
from crocuswell_daemon.frames import DiskFullError
from crocuswell_daemon.storage import Storage, StorageError, SystemDisk
from tests.power_disk import PowerDisk

HOST = EntryHost("a", "127.0.0.1:1", "d1")


def entry(index: int, term: int = 1) -> LogEntry:
    return LogEntry(term, index, index * 10, Proposal(f"c{index}", "", AdvanceTime()))


def entries(first: int, last: int, term: int = 1) -> EntriesRecord:
    return EntriesRecord(tuple(entry(i, term) for i in range(first, last + 1)))


def snapshot(index: int, term: int = 1) -> SnapshotRecord:
    state = ClusterState(now_ms=index)
    return SnapshotRecord(index, term, (HOST,), ("a",), wire.encode(state))


class FailingDisk(SystemDisk):
    """Writes short, and fails from the chosen call on."""

    def __init__(self, call: str, after: int = 0, code: int = errno.EIO) -> None:
        self.call, self.after, self.code = call, after, code

    def _count(self, call: str) -> None:
        if call != self.call:
            return
        if self.after == 0:
            raise OSError(self.code, os.strerror(self.code))
        self.after -= 1

    def write(self, fd: int, data: bytes) -> int:
        self._count("write")
        return super().write(fd, data[:7])

    def fdatasync(self, fd: int) -> None:
        self._count("fdatasync")
        super().fdatasync(fd)

    def rename(self, source: Path, target: Path) -> None:
        self._count("rename")
        super().rename(source, target)


def write(folder: Path, *batches: object) -> None:
    with Storage(folder) as storage:
        storage.load()
        for batch in batches:
            storage.append(batch if isinstance(batch, list) else [batch])
            storage.sync()


def load(folder: Path) -> EntryBooted:
    with Storage(folder) as storage:
        return storage.load()


def test_an_empty_folder_boots_empty(tmp_path: Path) -> None:
    """Guards against a first start that fails."""
    assert load(tmp_path / "new") == EntryBooted()


def test_records_survive_a_restart(tmp_path: Path) -> None:
    """Guards against a lost vote or entry."""
    write(tmp_path, [TermRecord(3, "b"), entries(1, 2)], entries(3, 3, 3))
    booted = load(tmp_path)
    assert (booted.term, booted.voted_for) == (3, "b")
    assert booted.entries == (entry(1), entry(2), entry(3, 3))


def test_entries_replace_those_from_their_first_index_on(tmp_path: Path) -> None:
    """Guards against entries of a deposed leader that reappear."""
    write(tmp_path, entries(1, 5), entries(3, 4, 2))
    assert load(tmp_path).entries == (entry(1), entry(2), entry(3, 2), entry(4, 2))


def test_records_that_were_not_synced_are_not_kept(tmp_path: Path) -> None:
    """Guards against records on disk that were not synced as a batch."""
    with Storage(tmp_path) as storage:
        storage.load()
        storage.append([entries(1, 2)])
    assert load(tmp_path).entries == ()


def test_a_gap_between_entries_is_refused(tmp_path: Path) -> None:
    """Guards against a log that can't be replayed after a restart."""
    with Storage(tmp_path) as storage:
        storage.load()
        storage.append([entries(1, 2)])
        with pytest.raises(ValueError, match="follow"):
            storage.append([entries(4, 4)])


def test_a_tail_torn_at_any_byte_is_truncated(tmp_path: Path) -> None:
    """Guards against a host that doesn't start after a power failure."""
    write(tmp_path, [TermRecord(1, "a"), entries(1, 2)])
    log = tmp_path / "log"
    intact_size = log.stat().st_size
    write(tmp_path, [TermRecord(2, None), entries(3, 4)])
    data = log.read_bytes()
    for length in range(intact_size, len(data)):
        log.write_bytes(data[:length])
        with Storage(tmp_path) as storage:
            booted = storage.load()
            assert (booted.term, len(booted.entries)) == (1, 2)
            assert (storage.torn_tail is not None) == (length > intact_size)
            if storage.torn_tail:
                assert storage.torn_tail.offset == intact_size
                assert storage.torn_tail.length == length - intact_size
            storage.append([entries(3, 3, 5)])
            storage.sync()
        assert load(tmp_path).entries == (entry(1), entry(2), entry(3, 5))


def test_a_last_record_with_any_flipped_byte_is_truncated(tmp_path: Path) -> None:
    """Guards against partially written sectors that are read as records."""
    write(tmp_path, entries(1, 2))
    log = tmp_path / "log"
    intact_size = log.stat().st_size
    write(tmp_path, entries(3, 4))
    data = log.read_bytes()
    for position in range(intact_size, len(data)):
        log.write_bytes(flip(data, position))
        assert load(tmp_path).entries == (entry(1), entry(2)), position


def test_a_flipped_byte_in_the_middle_stops_the_start(tmp_path: Path) -> None:
    """Guards against corruption that silently drops acknowledged entries."""
    log = tmp_path / "log"
    write(tmp_path, entries(1, 2))
    start = log.stat().st_size
    write(tmp_path, entries(3, 4))
    end = log.stat().st_size
    write(tmp_path, entries(5, 5))
    data = log.read_bytes()
    for position in range(start, end):
        log.write_bytes(flip(data, position))
        with pytest.raises(StorageError) as caught:
            load(tmp_path)
        assert caught.value.kind is ErrorKind.CORRUPT_STATE
        assert str(log) in str(caught.value)
        assert f"offset {start}" in str(caught.value)
        assert "rebuild" in str(caught.value)
        assert log.read_bytes() == flip(data, position)


def test_a_flipped_byte_in_the_header_stops_the_start(tmp_path: Path) -> None:
    """Guards against truncating the complete log as a torn tail."""
    write(tmp_path, entries(1, 2))
    log = tmp_path / "log"
    data = log.read_bytes()
    for position in range(20):
        log.write_bytes(flip(data, position))
        with pytest.raises(StorageError) as caught:
            load(tmp_path)
        assert caught.value.kind is ErrorKind.CORRUPT_STATE


def flip(data: bytes, position: int) -> bytes:
    changed = bytearray(data)
    changed[position] ^= 0x10
    return bytes(changed)


def test_a_frame_inside_a_payload_does_not_look_like_damage(tmp_path: Path) -> None:
    """Guards against a caller whose payload imitates a frame."""
    write(tmp_path, entries(1, 1))
    old = (tmp_path / "log").read_bytes()
    other = tmp_path / "other"
    imitating_entry = LogEntry(1, 1, 0, Proposal("c", old[20:].hex(), NoOperation()))
    write(other, EntriesRecord((imitating_entry,)))
    log = other / "log"
    log.write_bytes(log.read_bytes()[:-1])
    assert load(other).entries == ()


@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_a_failed_sync_raises_and_stays_failed(tmp_path: Path, call: str) -> None:
    """Guards against a retried sync that succeeds without the lost pages."""
    write(tmp_path, entries(1, 1))
    disk = FailingDisk(call, after=0, code=errno.EIO)
    with Storage(tmp_path, disk) as storage:
        storage.load()
        storage.append([entries(2, 2)])
        with pytest.raises(StorageError, match="Input/output error") as caught:
            storage.sync()
        assert caught.value.kind is ErrorKind.STORAGE_FAILED
        disk.call = ""
        with pytest.raises(StorageError):
            storage.sync()
        with pytest.raises(StorageError):
            storage.append([entries(3, 3)])


@pytest.mark.parametrize("call", ["write", "fdatasync"])
@pytest.mark.parametrize("after", [0, 1, 3])
def test_records_are_written_once_a_full_disk_has_room(
    tmp_path: Path, call: str, after: int
) -> None:
    """Guards against a host that ends, or loses records, with a full disk."""
    write(tmp_path, [TermRecord(3, "b"), entries(1, 1)])
    disk = FailingDisk(call, after, errno.ENOSPC)
    with Storage(tmp_path, disk) as storage:
        storage.load()
        for index in range(2, 7):
            storage.append([TermRecord(3 + index, "b"), entries(index, index)])
            try:
                storage.sync()
            except DiskFullError:
                disk.call = ""
                storage.sync()
                disk.call, disk.after = call, index
    booted = load(tmp_path)
    assert [e.index for e in booted.entries] == [1, 2, 3, 4, 5, 6]
    assert (booted.term, booted.voted_for) == (9, "b")


@pytest.mark.parametrize("call", ["write", "fdatasync"])
@pytest.mark.parametrize("index", [3, 5, 9])
def test_a_snapshot_is_written_once_a_full_disk_has_room(
    tmp_path: Path, call: str, index: int
) -> None:
    """Guards against entries that do not follow a half-written snapshot."""
    for after in range(60):
        folder = tmp_path / f"{after}"
        write(folder, [TermRecord(7, "b"), entries(1, 5)])
        disk = FailingDisk(call, after, errno.ENOSPC)
        following = max(5, index) + 1
        with Storage(folder, disk) as storage:
            storage.load()
            try:
                storage.append([snapshot(index), entries(following, following)])
                storage.sync()
            except DiskFullError:
                assert not list(folder.glob("*.tmp"))
                disk.call = ""
                storage.sync()
        booted = load(folder)
        assert (booted.term, booted.voted_for) == (7, "b")
        assert booted.snapshot_index == index
        expected = range(index + 1, following + 1)
        assert [e.index for e in booted.entries] == list(expected)


def test_a_disk_that_fills_up_within_a_record_leaves_a_torn_tail(
    tmp_path: Path,
) -> None:
    """Guards against a restart that fails after the disk was full."""
    write(tmp_path, entries(1, 1))
    with Storage(tmp_path, FailingDisk("write", after=3)) as storage:
        storage.load()
        storage.append([entries(2, 2)])
        with pytest.raises(StorageError):
            storage.sync()
    with Storage(tmp_path) as storage:
        assert storage.load().entries == (entry(1),)
        assert storage.torn_tail is not None


def test_a_snapshot_replaces_the_log_up_to_its_index(tmp_path: Path) -> None:
    """Guards against entries that a snapshot loses or fails to replace."""
    write(tmp_path, [TermRecord(1, "a"), entries(1, 5)], snapshot(3), entries(6, 6))
    booted = load(tmp_path)
    assert booted.snapshot_index == 3
    assert booted.snapshot_state == ClusterState(now_ms=3)
    assert (booted.hosts, booted.voters) == ((HOST,), ("a",))
    assert [e.index for e in booted.entries] == [4, 5, 6]
    assert (booted.term, booted.voted_for) == (1, "a")


def test_a_snapshot_from_another_host_drops_a_log_that_differs(
    tmp_path: Path,
) -> None:
    """Guards against entries of a deposed leader that outlive a snapshot."""
    write(tmp_path, entries(1, 5), [snapshot(3, term=2), entries(4, 4, 2)])
    assert load(tmp_path).entries == (entry(4, 2),)
    write(tmp_path, [snapshot(10, term=2), entries(11, 11, 2)])
    assert load(tmp_path).entries == (entry(11, 2),)


def test_an_older_snapshot_is_ignored(tmp_path: Path) -> None:
    """Guards against a gap in the log after an outdated snapshot."""
    write(tmp_path, entries(1, 5), snapshot(4), snapshot(2))
    assert load(tmp_path).snapshot_index == 4


@pytest.mark.parametrize("call", ["write", "fdatasync", "rename"])
@pytest.mark.parametrize("index", [3, 5, 9])
def test_a_crash_at_any_step_of_a_snapshot_keeps_all_entries(
    tmp_path: Path, call: str, index: int
) -> None:
    """Guards against lost entries after a crash while replacing the files."""
    crashes = 0
    for after in range(200):
        folder = tmp_path / f"{after}"
        write(folder, [TermRecord(7, "b"), entries(1, 5)])
        with Storage(folder, FailingDisk(call, after)) as storage:
            storage.load()
            try:
                storage.append([snapshot(index)])
            except StorageError:
                crashes += 1
            else:
                break
        booted = load(folder)
        assert (booted.term, booted.voted_for) == (7, "b")
        assert booted.snapshot_index in (0, index)
        expected = range(booted.snapshot_index + 1, 6)
        assert [e.index for e in booted.entries] == list(expected)
        following = max(5, booted.snapshot_index) + 1
        write(folder, entries(following, following))
        assert load(folder).entries[-1] == entry(following)
    else:
        pytest.fail("the snapshot was never written")
    assert crashes


class KilledInSync(PowerDisk):
    """Ends the process in the sync after `syncs_left` more."""

    syncs_left = 1_000

    def fsync(self, fd: int) -> None:
        if not self.syncs_left:
            raise OSError(errno.EINTR, "killed")
        self.syncs_left -= 1
        super().fsync(fd)
        self.finish()


def test_what_a_restart_has_read_outlasts_a_loss_of_power(tmp_path: Path) -> None:
    """Guards against entries acknowledged after a kill within their sync.

    The restarted host read and acknowledged them, then lost its power.
    """
    for syncs in range(8):
        folder = tmp_path / f"{syncs}"
        disk = KilledInSync(folder)
        with Storage(folder, disk) as storage:
            storage.load()
            disk.syncs_left = syncs
            for records in ([TermRecord(1, "a"), entries(1, 2)], [snapshot(2)]):
                try:
                    storage.append([*records, entries(3, 3)])
                    storage.sync()
                except StorageError:
                    break
        disk.syncs_left = 1_000
        with Storage(folder, disk) as storage:
            booted = storage.load()
        disk.lose_power()
        assert load(folder) == booted, syncs
        disk.close()


def test_an_identity_that_was_read_outlasts_a_loss_of_power(tmp_path: Path) -> None:
    """Guards against a voter that returns under another id, without a vote."""
    for syncs in range(3):
        folder = tmp_path / f"{syncs}"
        disk = KilledInSync(folder)
        disk.syncs_left = syncs
        with pytest.raises(OSError, match="killed"):
            load_identity(folder, True, disk)
        disk.syncs_left = 1_000
        identity = load_identity(folder, False, disk)
        disk.lose_power()
        assert load_identity(folder) == identity
        disk.close()


def test_a_damaged_snapshot_stops_the_start(tmp_path: Path) -> None:
    """Guards against a host that starts empty and votes a second time."""
    write(tmp_path, entries(1, 5), snapshot(3))
    path = tmp_path / "snapshot"
    data = path.read_bytes()
    for position in range(len(data)):
        path.write_bytes(flip(data, position))
        with pytest.raises(StorageError) as caught:
            load(tmp_path)
        assert caught.value.kind is ErrorKind.CORRUPT_STATE
        assert str(path) in str(caught.value)


@pytest.mark.parametrize("name", ["log", "snapshot"])
def test_a_missing_file_stops_the_start(tmp_path: Path, name: str) -> None:
    """Guards against a host that forgets its vote or half its state."""
    write(tmp_path, [TermRecord(1, "a"), entries(1, 5)], snapshot(3))
    (tmp_path / name).unlink()
    with pytest.raises(StorageError) as caught:
        load(tmp_path)
    assert caught.value.kind is ErrorKind.CORRUPT_STATE


def test_two_processes_cannot_use_one_folder(tmp_path: Path) -> None:
    """Guards against two writers of one log."""
    with Storage(tmp_path), pytest.raises(StorageError, match="another process"):
        Storage(tmp_path).__enter__()
    assert load(tmp_path) == EntryBooted()


def test_a_snapshot_leaves_no_open_files(tmp_path: Path) -> None:
    """Guards against file descriptors that leak with each snapshot."""
    with Storage(tmp_path) as storage:
        storage.load()
        storage.append([entries(1, 5)])
        before = len(os.listdir("/proc/self/fd"))
        for index in (1, 2, 3):
            storage.append([snapshot(index)])
        assert len(os.listdir("/proc/self/fd")) == before
