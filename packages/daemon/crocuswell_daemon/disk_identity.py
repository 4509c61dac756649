"""Identity of a data folder; distinguishes a new disk at the same address."""

import os
from pathlib import Path

IDENTITY_FILE = "identity"
IDENTITY_BYTES = 6


def load_identity(folder: Path) -> str:
    """Return the identity of a data folder; create one if it has none.

    A new identity is synced before this function returns, so that no vote is
    cast under an identity that a power failure would erase.

    Raises
    ------
    OSError
        If the folder can't be read or written.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        text = path.read_text(encoding="ascii").strip()
        if text:
            return text
    identity = os.urandom(IDENTITY_BYTES).hex()
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        os.write(fd, identity.encode("ascii"))
        os.fsync(fd)
    finally:
        os.close(fd)
    for directory in (folder, folder.parent):
        _sync_directory(directory)
    return identity


def _sync_directory(directory: Path) -> None:
    fd = os.open(directory, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)
