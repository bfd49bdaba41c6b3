"""Access and sync the files of one folder."""

import contextlib
import fcntl
import os
from pathlib import Path

LOCK_FILE = "lock"


class Disk:
    """Provide the file operations of durable storage.

    Data is durable only once ``sync`` (a file's bytes) and ``sync_folder``
    (its name) have returned. Every method may raise OSError.
    """

    __slots__ = ("_folder", "_handles", "_lock")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._handles: dict[str, int] = {}
        # The files hold keys of callers. They are created for their owner
        # only, so that a folder that exists may stay as it is.
        if not (folder / LOCK_FILE).exists():
            folder.mkdir(0o700, parents=True, exist_ok=True)
            _sync_names_of(folder)
        self._lock = os.open(folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            # Two daemons appending to one log would overwrite entries that
            # the other one has acknowledged.
            fcntl.lockf(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise

    @property
    def path(self) -> str:
        """Return the folder's path, for error messages."""
        return str(self._folder)

    def names(self) -> list[str]:
        """List the files, in order."""
        return sorted(os.listdir(self._folder))

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self._folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; create it if it is missing."""
        handle = self._handle(name)
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[os.write(handle, remaining) :]

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to a size in bytes."""
        os.ftruncate(self._handle(name), size)

    def sync(self, name: str) -> None:
        """Sync the bytes of a file, which makes them durable."""
        os.fsync(self._handle(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any file that has the new name."""
        self._close_handle(old)
        self._close_handle(new)
        os.replace(self._folder / old, self._folder / new)

    def replace(self, name: str, new: str, data: bytes) -> None:
        """Write a new file, sync it and rename it over an old one.

        The rename is not synced: after a loss of power either file may be
        there. This uses no cached handle and may run on another thread.
        """
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
        handle = os.open(self._folder / new, flags, 0o600)
        try:
            remaining = memoryview(data)
            while remaining:
                remaining = remaining[os.write(handle, remaining) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.replace(self._folder / new, self._folder / name)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_handle(name)
        (self._folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Sync the names of the files, which makes them durable."""
        _sync_folder(self._folder)

    def close(self) -> None:
        """Close all files and release the folder's lock."""
        for name in list(self._handles):
            self._close_handle(name)
        os.close(self._lock)

    def _handle(self, name: str) -> int:
        handle = self._handles.get(name)
        if handle is None:
            flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
            handle = os.open(self._folder / name, flags, 0o600)
            self._handles[name] = handle
        return handle

    def _close_handle(self, name: str) -> None:
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _sync_names_of(folder: Path) -> None:
    """Make a folder's own name and those of its parents durable."""
    path = folder.resolve()
    while not path.is_mount():
        path = path.parent
        # A parent that may not be read was not made by this process.
        with contextlib.suppress(PermissionError):
            _sync_folder(path)


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
