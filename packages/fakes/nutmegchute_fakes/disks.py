"""Simulate a disk that may lose data that was not synced."""

import errno
from random import Random


class PowerCutError(Exception):
    """Stop a fake replica during a disk operation."""


class FakeFile:
    """Hold a file's content and the part that survives a crash."""

    __slots__ = ("content", "durable", "lost")

    def __init__(self, durable: bytes = b"") -> None:
        self.durable = durable
        self.content = durable
        self.lost: list[tuple[int, int]] = []

    def truncate(self, size: int) -> None:
        """Remove the bytes from an offset on."""
        self.content = self.content[:size]
        self.lost = [
            (start, min(end, size)) for start, end in self.lost if start < size
        ]

    def sync(self) -> None:
        """Make the content durable, except what a failed sync has lost."""
        self.durable = self._on_disk()

    def fail_sync(self) -> None:
        """Lose what was written since the last sync.

        Linux takes the pages of a failed sync for clean: they can be read,
        but a later sync returns without having written them.
        """
        if len(self.content) > len(self.durable):
            self.lost.append((len(self.durable), len(self.content)))

    def crash(self, random: Random) -> None:
        """Keep the synced bytes and a random part of the rest."""
        written = self._on_disk()
        if written.startswith(self.durable):
            rest = written[len(self.durable) :]
            kept = random.randint(0, len(rest))
            if random.random() < 0.2:
                kept = random.choice([0, len(rest)])
            torn = bytearray(rest[:kept])
            if torn and random.random() < 0.3:
                # Pages reach a disk in any order, which can leave zeros.
                torn[random.randrange(len(torn)) :] = bytes(1)
            self.durable += bytes(torn)
        elif self.durable.startswith(written) and random.random() < 0.5:
            self.durable = written
        self.content = self.durable
        self.lost = []

    def _on_disk(self) -> bytes:
        written = bytearray(self.content)
        for start, end in self.lost:
            written[start:end] = bytes(end - start)
        return bytes(written)


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
        part = data
        if self.power_cut_after == 1:
            part = data[: self._random.randint(0, len(data))]
        self._run_operation(lambda: self._write(name, part))

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size."""
        file = self._files[name]
        self._run_operation(lambda: file.truncate(size))

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        file = self._files[name]
        if self.failing_syncs:
            self.failing_syncs -= 1
            file.fail_sync()
            raise OSError(errno.EIO, "Input/output error")
        self.syncs += 1
        self._run_operation(file.sync)

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

        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self._run_operation(apply)

    def close(self) -> None:
        """Do nothing; there is nothing to release."""

    def kill(self) -> None:
        """End the process that uses the disk: all stays as it is."""
        self.power_cut_after = None

    def stop(self) -> None:
        """End the process by a kill or a loss of power."""
        if self._random.random() < 0.5:
            self.kill()
        else:
            self.crash()

    def crash(self) -> None:
        """Lose any part of the names and data that were not synced."""
        folders = [self._durable_files, *self._unsynced_folders]
        names = {name: None for folder in folders for name in folder}
        self._files = {}
        for name in names:
            # A file system may write the names of a folder in any order.
            file = self._random.choice(folders).get(name)
            if file is not None:
                self._files[name] = file
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
