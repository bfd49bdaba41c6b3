"""Reach the files of one folder, and sync them."""

import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"


class Disk:
    """Offer the file operations that durability rests on.

    Nothing lasts before ``sync`` (a file's bytes) and ``sync_folder`` (its
    name) have returned. Every method may raise OSError.
    """

    __slots__ = ("_folder", "_handles", "_lock")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._handles: dict[str, int] = {}
        folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            # Two daemons appending to one log would each overwrite what
            # the other has acknowledged.
            fcntl.lockf(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise

    @property
    def path(self) -> str:
        """Name the folder, for error messages."""
        return str(self._folder)

    def names(self) -> list[str]:
        """List the files, in order."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; the file is made when it is missing."""
        handle = self._handle(name)
        left = memoryview(data)
        while left:
            left = left[os.write(handle, left) :]

    def truncate(self, name: str, size: int) -> None:
        """Cut a file."""
        os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Make a file's bytes durable."""
        os.fsync(self._handle(name))

    def rename(self, old: str, new: str) -> None:
        """Give a file another name, in place of any file that has it."""
        self._forget(old)
        self._forget(new)
        os.replace(self._folder / old, self._folder / new)

    def replace(self, name: str, new: str, data: bytes) -> None:
        """Put a whole file in place of another, the new one synced first.

        The name is not synced: after a loss of power either file is there.
        It uses no handle of the others and may run on another thread.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        handle = os.open(self._folder / new, flags, 0o600)
        try:
            left = memoryview(data)
            while left:
                left = left[os.write(handle, left) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(self._folder / new, self._folder / name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._forget(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Make the files' names durable."""
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self) -> None:
        """Close all files and release the lock."""
        for name in list(self._handles):
            self._forget(name)
        os.close(self._lock)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            handle = os.open(self._folder / name, flags, 0o600)
            self._handles[name] = handle
        return handle

    def _forget(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)
