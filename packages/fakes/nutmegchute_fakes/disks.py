"""Simulate a disk that may lose data that was not synced."""

import errno
from random import Random


class PowerCutError(Exception):
    """Stop a fake replica during a disk operation."""


class FakeFile:
    """Hold a file's content and the part that survives a crash."""

    __slots__ = ("content", "durable")

    def __init__(self, durable: bytes = b"") -> None:
        self.durable = durable
        self.content = durable

    def crash(self, random: Random) -> None:
        """Keep the synced bytes and a random part of the rest."""
        rest = self.content[len(self.durable) :]
        if self.content.startswith(self.durable):
            kept = random.randint(0, len(rest))
            torn = bytearray(rest[:kept])
            if torn and random.random() < 0.3:
                # Pages reach a disk in any order, which can leave zeros.
                torn[random.randrange(len(torn)) :] = bytes(1)
            self.durable += bytes(torn)
        self.content = self.durable


class FakeDisk:
    """Implement the daemon's Disk in memory, with faults.

    ``power_cut_after`` counts operations down to a power cut, which happens
    before or after the last one. While ``full`` is set, an append writes half
    of its data and fails.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._files: dict[str, FakeFile] = {}
        self._durable_files: dict[str, FakeFile] = {}
        self._unsynced_folders: list[dict[str, FakeFile]] = []
        self.power_cut_after: int | None = None
        self.full = False
        self.failing_syncs = 0
        self.syncs = 0

    @property
    def path(self) -> str:
        """Return the name of the folder, for error messages."""
        return "fake"

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return self._files[name].content

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is missing."""
        if self.full:
            self._write(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._run_operation(lambda: self._write(name, data))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size."""
        file = self._files[name]
        self._run_operation(
            lambda: setattr(file, "content", file.content[:size])
        )

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        file = self._files[name]
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.syncs += 1
        self._run_operation(lambda: setattr(file, "durable", file.content))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file with the new name."""

        def apply() -> None:
            self._files[new] = self._files.pop(old)
            self._unsynced_folders.append(dict(self._files))

        self._run_operation(apply)

    def remove(self, name: str) -> None:
        """Remove a file."""

        def apply() -> None:
            self._files.pop(name, None)
            self._unsynced_folders.append(dict(self._files))

        self._run_operation(apply)

    def sync_folder(self) -> None:
        """Make created, renamed and removed names durable."""

        def apply() -> None:
            self._durable_files = dict(self._files)
            self._unsynced_folders = []

        self._run_operation(apply)

    def close(self) -> None:
        """Do nothing; there is nothing to release."""

    def crash(self) -> None:
        """Lose any part of the names and data that were not synced."""
        self._files = dict(
            self._random.choice([self._durable_files, *self._unsynced_folders])
        )
        for file in self._files.values():
            file.crash(self._random)
        self._durable_files = dict(self._files)
        self._unsynced_folders = []
        self.power_cut_after = None

    def wipe(self) -> None:
        """Remove all files, as if the disk was replaced."""
        self._files = {}
        self._durable_files = {}
        self._unsynced_folders = []
        self.power_cut_after = None
        self.full = False

    def damage(self, name: str, offset: int) -> None:
        """Flip one bit of a file."""
        data = bytearray(self._files[name].content)
        data[offset] ^= 1
        self._files[name].content = bytes(data)

    def _write(self, name: str, data: bytes) -> None:
        file = self._files.get(name)
        if file is None:
            file = FakeFile()
            self._files[name] = file
            self._unsynced_folders.append(dict(self._files))
        file.content += data

    def _run_operation(self, apply: object) -> None:
        assert callable(apply)
        if self.power_cut_after is None:
            apply()
            return
        self.power_cut_after -= 1
        if self.power_cut_after > 0:
            apply()
            return
        if self._random.random() < 0.5:
            apply()
        raise PowerCutError
