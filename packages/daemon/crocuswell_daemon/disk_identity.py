"""Identity of a data folder; distinguishes a new disk at the same address."""

import os
import re
from pathlib import Path

from crocuswell_daemon.storage import Disk, SystemDisk

IDENTITY_FILE = "identity"
IDENTITY_BYTES = 6
_IDENTITY = re.compile(rb"[0-9a-f]{%d}" % (2 * IDENTITY_BYTES))


def load_identity(folder: Path, disk: Disk | None = None) -> str:
    """Return the identity of a data folder; create one if it has none.

    The identity is synced before this function returns, so that no vote is
    cast under an identity that a power failure would erase. One that is read
    may have been written by a process that was killed before its sync.

    Raises
    ------
    OSError
        If the folder can't be read or written.
    """
    disk = disk or SystemDisk()
    folder.mkdir(parents=True, exist_ok=True)
    fd = os.open(folder / IDENTITY_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        identity = os.read(fd, 2 * IDENTITY_BYTES)
        if not _IDENTITY.fullmatch(identity):
            identity = os.urandom(IDENTITY_BYTES).hex().encode("ascii")
            os.lseek(fd, 0, os.SEEK_SET)
            disk.write(fd, identity)
        disk.fsync(fd)
    finally:
        os.close(fd)
    for directory in (folder, folder.parent):
        _sync_directory(directory, disk)
    return identity.decode("ascii")


def _sync_directory(directory: Path, disk: Disk) -> None:
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        disk.fsync(fd)
    finally:
        os.close(fd)
