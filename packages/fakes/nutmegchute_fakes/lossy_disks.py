"""Run a control replica on a disk that loses what was not synced.

Usage:
  lossy_disks MODULE [ARGUMENT...]

The daemon of MODULE runs as it is, but for its Disk: beside the data folder
a record is kept of what each sync covered. Once the process has ended,
``LossyFolder.lose_power`` leaves of the folder what a disk may have kept.
"""

import contextlib
import errno
import os
import runpy
import shutil
import signal
import sys
import time
from pathlib import Path
from random import Random

import msgspec
from nutmegchute_core import leaderships
from nutmegchute_core import nodes
from nutmegchute_daemon import storages
from nutmegchute_daemon.disks import Disk
from nutmegchute_daemon.disks import LOCK_FILE

RECORD_SUFFIX = ".record"
OPERATIONS_FILE = "operations"
FAULTS_FILE = "faults"
LINKS_FOLDER = "links"

# So low that a short run plays compaction and the installation of snapshots
# that arrive in parts.
SNAPSHOT_ENTRIES = 40
SMALL_SIZES = (
    (nodes, "SNAPSHOT_ENTRIES", SNAPSHOT_ENTRIES),
    (nodes, "TRAILING_ENTRIES", 10),
    (leaderships, "CHUNK_BYTES", 4096),
)
HANG_CHECK_S = 0.01

# What a loss of power leaves of the writes that no sync covered.
NONE_KEPT = "none"
ALL_KEPT = "all"
SOME_KEPT = "some"

Names = dict[str, int]


class DiskFaults(msgspec.Struct, frozen=True):
    """Hold how a disk fails while its process runs.

    ``kill_after`` counts operations until the process is killed, which
    happens before, within or after the last one.
    """

    sync_s: float = 0.0
    is_full: bool = False
    fails_syncs: bool = False
    hangs: bool = False
    kill_after: int | None = None


class Operation(msgspec.Struct, frozen=True):
    """Record an operation: the names after it, or the size of a file."""

    kind: str
    names: Names = {}
    file: int = 0
    size: int = 0


NAMES_CHANGED = "names changed"
NAMES_SYNCED = "names synced"
FILE_SYNCED = "file synced"
FILE_TRUNCATED = "file truncated"
SYNC_FAILED = "sync failed"

_DECODER = msgspec.json.Decoder(Operation)
_FAULTS_DECODER = msgspec.json.Decoder(DiskFaults)


class LossyDisk(Disk):
    """Record what each sync covers, and fail as the faults say."""

    __slots__ = ("_left", "_operations", "_random", "_record")

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self._record = find_record(folder)
        (self._record / LINKS_FOLDER).mkdir(parents=True, exist_ok=True)
        self._operations = os.open(
            self._record / OPERATIONS_FILE,
            os.O_WRONLY | os.O_CREAT | os.O_APPEND,
            0o600,
        )
        self._left = self._read_faults().kill_after
        self._random = Random(self._left)
        self._write(Operation(NAMES_CHANGED, self._list()))

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; a kill or a full disk leaves a part of it."""
        is_new = not (self._folder / name).exists()
        number = os.fstat(self._handle(name)).st_ino
        if is_new:
            # A second name keeps the number from being used again.
            link = self._record / LINKS_FOLDER / str(number)
            os.link(self._folder / name, link)
            self._write(Operation(NAMES_CHANGED, self._list()))
        faults = self._begin()
        if faults.is_full or self._is_last():
            super().append(name, data[: self._random.randint(0, len(data))])
        if faults.is_full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        if self._is_last():
            os.kill(os.getpid(), signal.SIGKILL)
        super().append(name, data)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file and record it."""
        self._begin()
        super().truncate(name, size)
        number = os.fstat(self._handle(name)).st_ino
        self._write(Operation(FILE_TRUNCATED, file=number, size=size))
        self._end()

    def sync(self, name: str) -> None:
        """Sync a file and record which bytes of it are durable."""
        found = os.fstat(self._handle(name))
        faults = self._begin()
        if faults.fails_syncs:
            self._write(
                Operation(SYNC_FAILED, file=found.st_ino, size=found.st_size)
            )
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self._wait_for_sync(faults)
        super().sync(name)
        self._write(
            Operation(FILE_SYNCED, file=found.st_ino, size=found.st_size)
        )
        self._end()

    def rename(self, old: str, new: str) -> None:
        """Rename a file and record the names."""
        self._begin()
        super().rename(old, new)
        self._write(Operation(NAMES_CHANGED, self._list()))
        self._end()

    def replace(self, name: str, new: str, data: bytes) -> None:
        """Replace a file, which is synced before it has its name."""
        super().replace(name, new, data)
        found = (self._folder / name).stat()
        with contextlib.suppress(FileExistsError):
            link = self._record / LINKS_FOLDER / str(found.st_ino)
            os.link(self._folder / name, link)
        self._write(
            Operation(FILE_SYNCED, file=found.st_ino, size=found.st_size)
        )
        self._write(Operation(NAMES_CHANGED, self._list()))

    def remove(self, name: str) -> None:
        """Remove a file and record the names."""
        self._begin()
        super().remove(name)
        self._write(Operation(NAMES_CHANGED, self._list()))
        self._end()

    def sync_folder(self) -> None:
        """Sync the names and record them as durable."""
        faults = self._begin()
        if faults.fails_syncs:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        names = self._list()
        self._wait_for_sync(faults)
        super().sync_folder()
        self._write(Operation(NAMES_SYNCED, names))
        self._end()

    def close(self) -> None:
        """Close all files and the record."""
        super().close()
        os.close(self._operations)

    def _begin(self) -> DiskFaults:
        """Count an operation; end the process if it does not take place."""
        if self._left is not None:
            self._left -= 1
            if self._is_last() and self._random.random() < 0.3:
                os.kill(os.getpid(), signal.SIGKILL)
        return self._read_faults()

    def _end(self) -> None:
        if self._is_last():
            os.kill(os.getpid(), signal.SIGKILL)

    def _is_last(self) -> bool:
        return self._left is not None and self._left <= 0

    def _wait_for_sync(self, faults: DiskFaults) -> None:
        time.sleep(faults.sync_s)
        while self._read_faults().hangs:
            time.sleep(HANG_CHECK_S)

    def _read_faults(self) -> DiskFaults:
        try:
            data = (self._record / FAULTS_FILE).read_bytes()
        except FileNotFoundError:
            return DiskFaults()
        return _FAULTS_DECODER.decode(data)

    def _list(self) -> Names:
        return list_names(self._folder)

    def _write(self, operation: Operation) -> None:
        os.write(self._operations, msgspec.json.encode(operation) + b"\n")


class LossyFolder:
    """Set the faults of a replica's disk, and take its power away."""

    __slots__ = ("_folder", "_random", "_record")

    def __init__(self, folder: Path, seed: int) -> None:
        self._folder = folder
        self._record = find_record(folder)
        self._random = Random(seed)

    def set_faults(self, faults: DiskFaults) -> None:
        """Let the disk fail in this way from the next operation on."""
        self._record.mkdir(parents=True, exist_ok=True)
        new = self._record / "new"
        new.write_bytes(msgspec.json.encode(faults))
        new.replace(self._record / FAULTS_FILE)

    def lose_power(self, kept: str) -> str:
        """Lose what was not synced; return what is left, for reports.

        The process must have ended. Names and bytes that were not synced are
        lost, kept or, with SOME_KEPT, each at random, torn ones included.
        """
        if not (self._record / OPERATIONS_FILE).exists():
            return "never started"
        durable = DurableState(self._record, list_names(self._folder))
        files: dict[str, bytes] = {}
        for name in sorted(durable.list_known()):
            number = durable.pick(name, kept, self._random)
            if number is not None:
                files[name] = self._read(durable, number, kept)
        self._replace(files)
        return " ".join(f"{name}:{len(files[name])}" for name in files)

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        shutil.rmtree(self._folder, ignore_errors=True)
        shutil.rmtree(self._record, ignore_errors=True)

    def _read(self, durable: "DurableState", number: int, kept: str) -> bytes:
        data = bytearray(
            (self._record / LINKS_FOLDER / str(number)).read_bytes()
        )
        for start, end in durable.find_gaps(number):
            data[start:end] = bytes(len(data[start:end]))
        synced = min(durable.size(number), len(data))
        length = len(data)
        if kept == NONE_KEPT:
            length = synced
        elif kept == SOME_KEPT:
            length = self._random.randint(synced, len(data))
            if length > synced and self._random.random() < 0.3:
                # Pages reach a disk in any order, which can leave zeros.
                start = self._random.randrange(synced, length)
                data[start : start + 64] = bytes(len(data[start : start + 64]))
        return bytes(data[:length])

    def _replace(self, files: dict[str, bytes]) -> None:
        for path in self._folder.iterdir():
            if path.name != LOCK_FILE:
                path.unlink()
        shutil.rmtree(self._record / LINKS_FOLDER)
        (self._record / LINKS_FOLDER).mkdir()
        lines = []
        for name, data in files.items():
            path = self._folder / name
            path.write_bytes(data)
            number = path.stat().st_ino
            os.link(path, self._record / LINKS_FOLDER / str(number))
            lines.append(Operation(FILE_SYNCED, file=number, size=len(data)))
        lines.append(Operation(NAMES_SYNCED, list_names(self._folder)))
        (self._record / OPERATIONS_FILE).write_bytes(
            b"".join(msgspec.json.encode(one) + b"\n" for one in lines)
        )


class DurableState:
    """Replay a record: what is durable and what may be."""

    __slots__ = ("_durable", "_gaps", "_later", "_sizes")

    def __init__(self, record: Path, present: Names) -> None:
        self._durable: Names = {}
        # The names after each operation since the last sync of the folder.
        self._later: list[Names] = []
        self._sizes: dict[int, int] = {}
        self._gaps: dict[int, list[tuple[int, int]]] = {}
        for line in (record / OPERATIONS_FILE).read_bytes().splitlines():
            self._add(_DECODER.decode(line))
        # The process may have been killed before it recorded the last one.
        self._later.append(present)

    def list_known(self) -> set[str]:
        """Return all names that may be there."""
        return {name for one in self._states() for name in one}

    def pick(self, name: str, kept: str, random: Random) -> int | None:
        """Return the file that has a name afterwards, None without one."""
        if kept == NONE_KEPT:
            return self._durable.get(name)
        if kept == ALL_KEPT:
            return self._later[-1].get(name)
        # A file system may write the names of a folder in any order.
        return random.choice(self._states()).get(name)

    def size(self, number: int) -> int:
        """Return how many bytes of a file are durable."""
        return self._sizes.get(number, 0)

    def find_gaps(self, number: int) -> list[tuple[int, int]]:
        """Return the ranges of a file that no sync can write any more."""
        return self._gaps.get(number, [])

    def _states(self) -> list[Names]:
        return [self._durable, *self._later]

    def _add(self, operation: Operation) -> None:
        file, size = operation.file, operation.size
        if operation.kind == NAMES_CHANGED:
            self._later.append(operation.names)
        elif operation.kind == NAMES_SYNCED:
            self._durable = operation.names
            self._later = []
        elif operation.kind == FILE_SYNCED:
            self._sizes[file] = size
        elif operation.kind == FILE_TRUNCATED:
            self._sizes[file] = min(self.size(file), size)
            self._gaps[file] = [
                (start, min(end, size))
                for start, end in self.find_gaps(file)
                if start < size
            ]
        else:
            # Linux takes the pages of a failed sync for clean: they can be
            # read, but a later sync returns without having written them.
            gap = self.size(file), size
            self._gaps.setdefault(file, []).append(gap)


def find_record(folder: Path) -> Path:
    """Return the folder that holds the record of a data folder."""
    return folder.with_name(folder.name + RECORD_SUFFIX)


def list_names(folder: Path) -> Names:
    """Return the names in a data folder, each with the number of its file."""
    found: Names = {}
    for name in os.listdir(folder):
        if name == LOCK_FILE:
            continue
        with contextlib.suppress(FileNotFoundError):
            found[name] = (folder / name).stat().st_ino
    return found


def main() -> None:
    """Run the module that the command line names on a lossy disk."""
    module, *arguments = sys.argv[1:]
    for place, name, value in (*SMALL_SIZES, (storages, "Disk", LossyDisk)):
        setattr(place, name, value)
    sys.argv = [module, *arguments]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
