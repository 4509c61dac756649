"""Framing of the files in the data folder.

A file starts with a header (kind, mark, checksum) and continues with frames:
mark, length, checksum, payload. All records of one sync share a frame, and a
frame is written only after the one before it is on disk. An invalid last
frame is therefore a write that was never acknowledged, while an invalid
frame in front of a valid one is damage.
"""

import struct
import zlib
from collections.abc import Sequence
from pathlib import Path

import msgpack

from crocuswell_core.runtime.effects import Record
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_daemon import wire

# The mark is random for each file: a payload from outside can't contain a
# valid frame, which would make a torn last frame look like damage.
MARK_BYTES = 8
_HEAD = struct.Struct(">II")
_CHECKSUM = struct.Struct(">I")

REBUILD = (
    "to rebuild, wait until the other hosts have replaced this one as a voter, "
    "move the folder away and start again; the state is then copied from them"
)


class StorageError(Exception):
    """The data folder can't be used.

    Attributes
    ----------
    kind : ErrorKind
        `CORRUPT_STATE` for damage, `STORAGE_FAILED` for everything else.
    """

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.kind = kind


def corrupt(path: Path, offset: int, detail: str) -> StorageError:
    """Return the error for damage found in a file."""
    return StorageError(
        ErrorKind.CORRUPT_STATE, f"{path}: offset {offset}: {detail}; {REBUILD}"
    )


def failed(action: str, exc: OSError) -> StorageError:
    """Return the error for a failed system call."""
    return StorageError(ErrorKind.STORAGE_FAILED, f"{action}: {exc.strerror or exc}")


def header_length(magic: bytes) -> int:
    """Return the length of a file's header in bytes."""
    return len(magic) + MARK_BYTES + _CHECKSUM.size


def pack_header(magic: bytes, mark: bytes) -> bytes:
    """Return the header of a file."""
    return magic + mark + _CHECKSUM.pack(zlib.crc32(magic + mark))


def read_header(path: Path, data: bytes, magic: bytes) -> bytes:
    """Return the file's mark.

    Raises
    ------
    StorageError
        If the file is of another kind; a header can't be torn, because a
        file gets its name only after it was synced.
    """
    mark = data[len(magic) : len(magic) + MARK_BYTES]
    if not data.startswith(pack_header(magic, mark)):
        raise corrupt(path, 0, f"no header {magic.decode()}, or a damaged one")
    return mark


def pack_frame(mark: bytes, records: Sequence[bytes]) -> bytes:
    """Return one frame with encoded records."""
    payload = msgpack.packb(records)
    return mark + _HEAD.pack(len(payload), zlib.crc32(payload)) + payload


def read_frame(
    path: Path, data: bytes, offset: int, mark: bytes
) -> tuple[list[Record], int]:
    """Read the frame at an offset.

    Returns
    -------
    tuple
        The records, none if the frame is invalid, and the offset after it.

    Raises
    ------
    StorageError
        If the checksum is right but the content is unknown, as after a
        return to an older version of the program.
    """
    payload = _find_payload(data, offset, mark)
    if payload is None:
        return [], offset
    try:
        records = [wire.decode(item, Record) for item in msgpack.unpackb(payload)]
    except (wire.CodecError, ValueError, TypeError) as exc:
        raise corrupt(path, offset, f"unreadable record: {exc}") from exc
    return records, offset + MARK_BYTES + _HEAD.size + len(payload)


def find_frame(data: bytes, offset: int, mark: bytes) -> int | None:
    """Return the offset of the first valid frame from `offset` on."""
    while (offset := data.find(mark, offset)) >= 0:
        if _find_payload(data, offset, mark) is not None:
            return offset
        offset += 1
    return None


def _find_payload(data: bytes, offset: int, mark: bytes) -> bytes | None:
    start = offset + MARK_BYTES + _HEAD.size
    if len(data) < start or not data.startswith(mark, offset):
        return None
    length, checksum = _HEAD.unpack_from(data, offset + MARK_BYTES)
    payload = data[start : start + length]
    if not length or len(payload) != length or zlib.crc32(payload) != checksum:
        return None
    return payload
