"""A disk that loses power: what was not synced is kept, torn or lost."""

import os
import random
import stat
from pathlib import Path

import attrs

from crocuswell_daemon.storage import SystemDisk

Files = dict[str, tuple[int, bytes]]


@attrs.frozen
class DiskImage:
    """Files that processes see, and what is durable of them.

    Attributes
    ----------
    files : dict
        File number and content by name.
    contents : dict
        Synced content by file number.
    names : dict
        File number by synced name.
    """

    files: Files
    contents: dict[int, bytes] = attrs.Factory(dict)
    names: dict[str, int] = attrs.Factory(dict)

    def survivors(self, rng: random.Random | None) -> dict[str, bytes]:
        """Return the content by name after a loss of power.

        All that was not synced is gone, or what `rng` draws of it.
        """
        found: dict[str, bytes] = {}
        for name in sorted(set(self.files) | set(self.names)):
            number = self.names.get(name)
            if name in self.files and (rng and rng.random() < 0.5):
                number = self.files[name][0]
            if number is None or number not in self.contents:
                continue
            synced = self.contents[number]
            seen = dict(self.files.values()).get(number, synced)
            kept = rng.randint(0, max(0, len(seen) - len(synced))) if rng else 0
            found[name] = (
                seen[: len(synced) + kept] if seen.startswith(synced) else synced
            )
        return found


class PowerDisk(SystemDisk):
    """Runs the system calls on a folder and notes what each sync covers.

    Attributes
    ----------
    syncing : list of DiskImage
        The state before each sync since the last call of `finish`: a loss of
        power at that time may come before any of them returns.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.image = DiskImage({})
        self.syncing: list[DiskImage] = []
        # Numbers of files that are open are not given to other files.
        self._held: dict[int, int] = {}

    def fdatasync(self, fd: int) -> None:
        self.fsync(fd)

    def fsync(self, fd: int) -> None:
        status = os.fstat(fd)
        files = self._files()
        before = attrs.evolve(self.image, files=files)
        self.syncing.append(before)
        if stat.S_ISDIR(status.st_mode):
            names = {name: number for name, (number, _) in files.items()}
            self.image = attrs.evolve(before, names=names)
            return
        number = status.st_ino
        if number not in self._held:
            self._held[number] = os.dup(fd)
        content = {number: dict(files.values())[number]}
        self.image = attrs.evolve(before, contents=before.contents | content)

    def finish(self) -> None:
        """Let the syncs that are under way return."""
        self.syncing.clear()

    def kill(self, rng: random.Random) -> None:
        """End the process within a sync, if one is under way."""
        if self.syncing:
            image = rng.choice(self.syncing)
            self._restore({name: data for name, (_, data) in image.files.items()})
            numbers = {name: number for name, (number, _) in self._files().items()}
            renumbered = {image.files[name][0]: numbers[name] for name in numbers}
            self.image = DiskImage(
                self._files(),
                {renumbered.get(n, -n): data for n, data in image.contents.items()},
                {name: renumbered.get(n, -n) for name, n in image.names.items()},
            )
        self.finish()

    def lose_power(self, rng: random.Random | None = None) -> None:
        """Keep what was synced, and what `rng` draws of the rest."""
        image = attrs.evolve(self.image, files=self._files())
        if self.syncing:
            image = rng.choice(self.syncing) if rng else self.syncing[0]
        self._restore(image.survivors(rng))
        files = self._files()
        self.image = DiskImage(
            files,
            dict(files.values()),
            {name: number for name, (number, _) in files.items()},
        )
        self.finish()

    def close(self) -> None:
        for fd in self._held.values():
            os.close(fd)
        self._held.clear()

    def _files(self) -> Files:
        return {
            path.name: (path.stat().st_ino, path.read_bytes())
            for path in self.folder.iterdir()
        }

    def _restore(self, contents: dict[str, bytes]) -> None:
        for path in self.folder.iterdir():
            path.unlink()
        self.close()
        for name, data in contents.items():
            (self.folder / name).write_bytes(data)
