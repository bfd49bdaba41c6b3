"""Stand in for a disk that forgets what was not synced."""

import errno
from random import Random


class PowerCutError(Exception):
    """End a fake replica in the middle of a disk operation."""


class FakeFile:
    """Hold what a file shows and what of it would survive."""

    __slots__ = ("durable", "shown")

    def __init__(self, durable: bytes = b"") -> None:
        self.durable = durable
        self.shown = durable

    def crash(self, random: Random) -> None:
        """Keep the synced bytes and any part of those after them."""
        rest = self.shown[len(self.durable) :]
        if self.shown.startswith(self.durable):
            kept = random.randint(0, len(rest))
            torn = bytearray(rest[:kept])
            if torn and random.random() < 0.3:
                # Pages reach a disk in any order: a hole of zeros.
                torn[random.randrange(len(torn)) :] = bytes(1)
            self.durable += bytes(torn)
        self.shown = self.durable


class FakeDisk:
    """Offer what the daemon's Disk does, in memory.

    ``cut_in`` counts operations down to a power cut, which hits before or
    after the operation; ``full`` refuses every byte, half a write late.
    """

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._shown: dict[str, FakeFile] = {}
        self._durable: dict[str, FakeFile] = {}
        self._folders: list[dict[str, FakeFile]] = []
        self.cut_in: int | None = None
        self.full = False
        self.failing_syncs = 0
        self.syncs = 0

    @property
    def place(self) -> str:
        """Name the folder, for error messages."""
        return "fake"

    def names(self) -> list[str]:
        """List the files, in order."""
        return sorted(self._shown)

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return self._shown[name].shown

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; the file is made when it is missing."""
        if self.full:
            self._write(name, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._operate(lambda: self._write(name, data))

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        file = self._shown[name]
        self._operate(lambda: setattr(file, "shown", file.shown[:size]))

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        file = self._shown[name]
        if self.failing_syncs:
            self.failing_syncs -= 1
            raise OSError(errno.EIO, "Input/output error")
        self.syncs += 1
        self._operate(lambda: setattr(file, "durable", file.shown))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any file that has it."""

        def apply() -> None:
            self._shown[new] = self._shown.pop(old)
            self._folders.append(dict(self._shown))

        self._operate(apply)

    def remove(self, name: str) -> None:
        """Remove a file."""

        def apply() -> None:
            self._shown.pop(name, None)
            self._folders.append(dict(self._shown))

        self._operate(apply)

    def sync_folder(self) -> None:
        """Make the files' names durable."""

        def apply() -> None:
            self._durable = dict(self._shown)
            self._folders = []

        self._operate(apply)

    def close(self) -> None:
        """Release nothing."""

    def crash(self) -> None:
        """Lose what was not synced, in any way a disk may lose it."""
        self._shown = dict(
            self._random.choice([self._durable, *self._folders])
        )
        for file in self._shown.values():
            file.crash(self._random)
        self._durable = dict(self._shown)
        self._folders = []
        self.cut_in = None

    def lose(self) -> None:
        """Lose everything."""
        self._shown = {}
        self._durable = {}
        self._folders = []
        self.cut_in = None
        self.full = False

    def damage(self, name: str, offset: int) -> None:
        """Flip one bit."""
        data = bytearray(self._shown[name].shown)
        data[offset] ^= 1
        self._shown[name].shown = bytes(data)

    def _write(self, name: str, data: bytes) -> None:
        file = self._shown.get(name)
        if file is None:
            file = FakeFile()
            self._shown[name] = file
            self._folders.append(dict(self._shown))
        file.shown += data

    def _operate(self, apply: object) -> None:
        assert callable(apply)
        if self.cut_in is None:
            apply()
            return
        self.cut_in -= 1
        if self.cut_in > 0:
            apply()
            return
        if self._random.random() < 0.5:
            apply()
        raise PowerCutError
