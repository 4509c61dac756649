"""Framing of the files in the data folder.

A file starts with a header (magic bytes, marker, checksum) that is followed
by frames (marker, length, checksum, payload). All records of one sync share a
frame, and a frame is written only after the previous one is on disk. An
invalid last frame is therefore a write that was never acknowledged, whereas an
invalid frame before a valid one is corruption.
"""

import errno
import struct
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgpack

from crocuswell_core.runtime.effects import Record
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon import wire

# The marker is random for each file, so that a payload chosen by a caller
# can't contain a valid frame, which would make a torn last frame look like
# corruption.
MARKER_BYTES = 8
_FRAME_HEADER = struct.Struct(">II")
_CHECKSUM = struct.Struct(">I")

REBUILD_HINT = (
    "to rebuild, wait until the other hosts have replaced this one as a voter, "
    "move the folder away and start again; the state is then copied from them"
)


class StorageError(Exception):
    """The data folder can't be used.

    Attributes
    ----------
    kind : ErrorKind
        `CORRUPT_STATE` for corruption, `STORAGE_FAILED` for everything else.
    is_final : bool
        Whether no later call can succeed.
    """

    is_final = True

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind


class DiskFullError(StorageError):
    """The disk takes no bytes now; nothing that was synced is lost."""

    is_final = False


# Errors after which a write succeeds once there is room again.
NO_SPACE_CODES = frozenset({errno.ENOSPC, errno.EDQUOT})


def corruption_error(path: Path, offset: int, detail: str) -> StorageError:
    """Return the error for corruption found in a file."""
    return StorageError(
        ErrorKind.CORRUPT_STATE, f"{path}: offset {offset}: {detail}; {REBUILD_HINT}"
    )


def system_call_error(action: str, exc: OSError) -> StorageError:
    """Return the error for a failed system call."""
    detail = f"{action}: {exc.strerror or exc}"
    if exc.errno in NO_SPACE_CODES:
        return DiskFullError(ErrorKind.STORAGE_FAILED, detail)
    return StorageError(ErrorKind.STORAGE_FAILED, detail)


def header_length(magic: bytes) -> int:
    """Return the length of a file's header in bytes."""
    return len(magic) + MARKER_BYTES + _CHECKSUM.size


def pack_header(magic: bytes, marker: bytes) -> bytes:
    """Return the header of a file."""
    return magic + marker + _CHECKSUM.pack(zlib.crc32(magic + marker))


def read_header(path: Path, data: bytes, magic: bytes) -> bytes:
    """Check the header of a file and return the file's marker.

    Raises
    ------
    StorageError
        If the header is invalid. A header can't be torn, because a file is
        renamed into place only after it was synced.
    """
    marker = data[len(magic) : len(magic) + MARKER_BYTES]
    if not data.startswith(pack_header(magic, marker)):
        raise corruption_error(path, 0, f"no header {magic.decode()}, or a damaged one")
    return marker


def pack_frame(marker: bytes, records: Sequence[bytes]) -> bytes:
    """Return a frame with encoded records."""
    payload = msgpack.packb(records)
    return marker + _FRAME_HEADER.pack(len(payload), zlib.crc32(payload)) + payload


def read_frame(
    path: Path, data: bytes, offset: int, marker: bytes
) -> tuple[list[Record], int]:
    """Read the frame at an offset.

    Returns
    -------
    tuple
        The records and the offset after the frame; no records and the
        given offset if the frame is invalid.

    Raises
    ------
    StorageError
        If the checksum is valid but a record can't be decoded, as after a
        downgrade to an older version of the program.
    """
    payload = _read_payload(data, offset, marker)
    if payload is None:
        return [], offset
    try:
        records = [wire.decode(item, Record) for item in msgpack.unpackb(payload)]
    except (wire.CodecError, ValueError, TypeError) as exc:
        raise corruption_error(path, offset, f"unreadable record: {exc}") from exc
    return records, offset + MARKER_BYTES + _FRAME_HEADER.size + len(payload)


def find_frame(data: bytes, offset: int, marker: bytes) -> int | None:
    """Return the offset of the first valid frame at or after `offset`."""
    while (offset := data.find(marker, offset)) >= 0:
        if _read_payload(data, offset, marker) is not None:
            return offset
        offset += 1
    return None


def _read_payload(data: bytes, offset: int, marker: bytes) -> bytes | None:
    start = offset + MARKER_BYTES + _FRAME_HEADER.size
    if len(data) < start or not data.startswith(marker, offset):
        return None
    length, checksum = _FRAME_HEADER.unpack_from(data, offset + MARKER_BYTES)
    payload = data[start : start + length]
    if not length or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload
