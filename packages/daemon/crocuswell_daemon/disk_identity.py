"""Identity of a data folder; distinguishes a new disk at the same address."""

import os
import re
from pathlib import Path

import attrs

from crocuswell_daemon.storage import Disk, SystemDisk

IDENTITY_FILE = "identity"
IDENTITY_BYTES = 6
_FOUNDER_MARK = "founder "
_CONTENT = re.compile(f"({_FOUNDER_MARK})?([0-9a-f]{{{2 * IDENTITY_BYTES}}})")


@attrs.frozen
class DiskIdentity:
    """Content of the identity file.

    Attributes
    ----------
    founds_group : bool
        Whether the folder was created to found a group. Whether the group has
        been founded since is told by the log alone.
    """

    id: str
    founds_group: bool = False


def load_identity(
    folder: Path, founds_group: bool = False, disk: Disk | None = None
) -> DiskIdentity:
    """Return the identity of a data folder; create one if it has none.

    The identity is synced before this function returns, so that no vote is
    cast under an identity that a power failure would erase. One that is read
    may have been written by a process that was killed before its sync.

    Parameters
    ----------
    founds_group : bool
        Whether a new folder is that of a founder; ignored if the folder has
        an identity.

    Raises
    ------
    OSError
        If the folder can't be read or written.
    """
    disk = disk or SystemDisk()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        found = _CONTENT.fullmatch(path.read_text(encoding="ascii", errors="replace"))
        if found:
            identity = DiskIdentity(found[2], bool(found[1]))
        else:
            identity = DiskIdentity(os.urandom(IDENTITY_BYTES).hex(), founds_group)
            # The mark goes first, so that no part of it passes for the whole.
            mark = _FOUNDER_MARK if founds_group else ""
            os.ftruncate(fd, 0)
            disk.write(fd, (mark + identity.id).encode("ascii"))
        disk.fsync(fd)
    finally:
        os.close(fd)
    for directory in (folder, folder.parent):
        _sync_directory(directory, disk)
    return identity


def _sync_directory(directory: Path, disk: Disk) -> None:
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        disk.fsync(fd)
    finally:
        os.close(fd)
