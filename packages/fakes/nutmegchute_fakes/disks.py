"""Stand in for a disk that forgets what was not synced."""

import errno
from random import Random


class PowerCutError(Exception):
    """End a fake replica in the middle of a disk operation."""


class FakeFile:
    """Hold what a file shows and what of it would survive."""

    __slots__ = ("durable", "content")

    def __init__(self, durable: bytes = b"") -> None:
        self.durable = durable
        self.content = durable

    def crash(self, random: Random) -> None:
        """Keep the synced bytes and any part of those after them."""
        rest = self.content[len(self.durable) :]
        if self.content.startswith(self.durable):
            kept = random.randint(0, len(rest))
            torn = bytearray(rest[:kept])
            if torn and random.random() < 0.3:
                # Pages reach a disk in any order: a hole of zeros.
                torn[random.randrange(len(torn)) :] = bytes(1)
            self.durable += bytes(torn)
        self.content = self.durable


class FakeDisk:
    """Offer what the daemon's Disk does, in memory.

    ``cut_in`` counts operations down to a power cut, which hits before or
    after the operation; ``full`` refuses every byte, half a write late.
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
        """Name the folder, for error messages."""
        return "fake"

    def names(self) -> list[str]:
        """List the files, in order."""
        return sorted(self._files)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return self._files[name].content

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; the file is made when it is missing."""
        if self.full:
            self._write(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._run_operation(lambda: self._write(name, data))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        file = self._files[name]
        self._run_operation(
            lambda: setattr(file, "content", file.content[:size])
        )

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        file = self._files[name]
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.syncs += 1
        self._run_operation(lambda: setattr(file, "durable", file.content))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any file that has it."""

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
        """Make the files' names durable."""

        def apply() -> None:
            self._durable_files = dict(self._files)
            self._unsynced_folders = []

        self._run_operation(apply)

    def close(self) -> None:
        """Release nothing."""

    def crash(self) -> None:
        """Lose what was not synced, in any way a disk may lose it."""
        self._files = dict(
            self._random.choice([self._durable_files, *self._unsynced_folders])
        )
        for file in self._files.values():
            file.crash(self._random)
        self._durable_files = dict(self._files)
        self._unsynced_folders = []
        self.power_cut_after = None

    def wipe(self) -> None:
        """Lose everything."""
        self._files = {}
        self._durable_files = {}
        self._unsynced_folders = []
        self.power_cut_after = None
        self.full = False

    def damage(self, name: str, offset: int) -> None:
        """Flip one bit."""
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
