"""Test what the disk keeps and what it refuses."""

import subprocess
import sys
from pathlib import Path

import pytest
from nutmegchute_core.commands import NoOp
from nutmegchute_core.memberships import Membership
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Snapshot
from nutmegchute_daemon.errors import StorageError
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import open_storage
from nutmegchute_daemon.storages import Storage
from nutmegchute_fakes.disks import FakeDisk
from nutmegchute_fakes.disks import PowerCutError

GENESIS = Membership()
ENTRIES = [LogEntry(1, index, NoOp()) for index in range(1, 4)]


def fill(folder: Path) -> Path:
    """Save a few entries, one by one, and return the log's path."""
    storage = open_storage(folder)
    storage.load(GENESIS)
    storage.save(HardState(1, "r1"), ENTRIES[:1])
    storage.save(None, ENTRIES[1:2])
    storage.save(None, ENTRIES[2:])
    storage.close()
    return folder / "log-000000000000"


def load(folder: Path) -> list[LogEntry]:
    """Load the entries and close the folder."""
    storage = open_storage(folder)
    try:
        return storage.load(GENESIS).entries
    finally:
        storage.close()


def test_saved_is_loaded(tmp_path: Path) -> None:
    """Read back hard state and entries."""
    fill(tmp_path)
    storage = open_storage(tmp_path)
    stored = storage.load(GENESIS)
    assert stored.hard_state == HardState(1, "r1")
    assert stored.entries == ENTRIES


def test_later_save_replaces_the_tail(tmp_path: Path) -> None:
    """Entries of a deposed leader are gone once others took their place."""
    fill(tmp_path)
    storage = open_storage(tmp_path)
    storage.load(GENESIS)
    storage.save(None, [LogEntry(2, 2, NoOp())])
    storage.close()
    assert load(tmp_path) == [ENTRIES[0], LogEntry(2, 2, NoOp())]


@pytest.mark.parametrize("cut", [1, 3, 17, 20])
def test_torn_tail_is_cut(tmp_path: Path, cut: int) -> None:
    """A power cut in the last write loses only what was not promised.

    The replica starts and knows all but the last save: that write was not
    synced, so nobody was told that it is safe.
    """
    path = fill(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    assert load(tmp_path) == ENTRIES[:-1]
    assert load(tmp_path) == ENTRIES[:-1]


def test_damaged_middle_is_refused(tmp_path: Path) -> None:
    """A flipped byte in an early save must not drop promised entries.

    The daemon does not start and names file and offset: cutting there
    would forget entries that were acknowledged.
    """
    path = fill(tmp_path)
    data = bytearray(path.read_bytes())
    second = data.index(b"NCF1", 4)
    data[second + 20] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"{path}: damaged at byte"):
        load(tmp_path)


def test_damaged_length_is_refused(tmp_path: Path) -> None:
    """A flipped length makes the rest look torn; it is not cut either."""
    path = fill(tmp_path)
    data = bytearray(path.read_bytes())
    second = data.index(b"NCF1", 4)
    data[second + 4] ^= 0x40
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"damaged at byte {second}"):
        load(tmp_path)


def test_damage_before_the_last_segment_is_refused(tmp_path: Path) -> None:
    """A torn end is allowed in the last segment only.

    A restart began a new segment, so the older one's end had been synced;
    a hole there is a fault of the disk, not of a power cut.
    """
    path = fill(tmp_path)
    assert load(tmp_path) == ENTRIES
    path.write_bytes(path.read_bytes()[:-3])
    with pytest.raises(StorageError, match=path.name):
        load(tmp_path)


def test_second_daemon_is_refused(tmp_path: Path) -> None:
    """Two daemons on one folder would overwrite each other's log."""
    storage = open_storage(tmp_path)
    script = (
        "import sys, pathlib\n"
        "from nutmegchute_daemon.storages import open_storage\n"
        "open_storage(pathlib.Path(sys.argv[1]))\n"
    )
    second = subprocess.run(
        [sys.executable, "-c", script, str(tmp_path)],
        capture_output=True,
        text=True,
        check=False,
    )
    storage.close()
    assert "in use by another daemon" in second.stderr


def test_snapshot_stands_for_the_log_before_it(tmp_path: Path) -> None:
    """After a snapshot only what follows it is read, and old files go."""
    fill(tmp_path)
    storage = open_storage(tmp_path)
    storage.load(GENESIS)
    storage.compact(Snapshot(3, 1, GENESIS, b"state"))
    storage.save(None, [LogEntry(1, 4, NoOp())])
    storage.close()
    assert not (tmp_path / "log-000000000000").exists()
    storage = open_storage(tmp_path)
    stored = storage.load(GENESIS)
    storage.close()
    assert stored.snapshot.state == b"state"
    assert stored.hard_state == HardState(1, "r1")
    assert [entry.index for entry in stored.entries] == [4]


def test_damaged_snapshot_is_refused(tmp_path: Path) -> None:
    """The log before a snapshot is gone, so nothing can stand in for it."""
    fill(tmp_path)
    storage = open_storage(tmp_path)
    storage.load(GENESIS)
    storage.compact(Snapshot(3, 1, GENESIS, b"state"))
    storage.close()
    path = tmp_path / "snapshot-000000000003"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"{path}: damaged"):
        load(tmp_path)


def test_lost_identity_beside_a_log_is_refused(tmp_path: Path) -> None:
    """A log without its identity must not vote under a new name."""
    storage = open_storage(tmp_path)
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    assert storage.identity() == Identity("r1")
    storage.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="identity: missing"):
        open_storage(tmp_path).identity()


class Script:
    """Run a fixed life of a replica's disk and note what was promised."""

    def __init__(self, disk: FakeDisk) -> None:
        self._disk = disk
        self.identity: Identity | None = None
        self.hard_state = HardState()
        self.top = LogEntry(0, 0, NoOp())

    def run(self) -> None:
        """Save, replace a tail, compact, install; a power cut ends it."""
        storage = Storage(self._disk)  # type: ignore[arg-type]
        storage.save_identity(Identity("r1"))
        self.identity = Identity("r1")
        storage.load(GENESIS)
        for term in (1, 2, 3):
            self.save(storage, HardState(term, "r2"), self.next(term, 3))
            self.save(storage, None, self.next(term, 2))
        self.save(storage, None, [LogEntry(3, self.top.index, NoOp())])
        snapshot = Snapshot(self.top.index - 3, 3, GENESIS, b"own")
        storage.compact(snapshot)
        self.save(storage, None, self.next(3, 2))
        installed = Snapshot(self.top.index + 50, 4, GENESIS, b"leader's")
        storage.install(installed)
        self.top = LogEntry(4, installed.index, NoOp())
        self.save(storage, HardState(4, None), self.next(4, 2))

    def next(self, term: int, count: int) -> list[LogEntry]:
        """Build the entries that follow."""
        first = self.top.index + 1
        return [LogEntry(term, first + n, NoOp()) for n in range(count)]

    def save(
        self,
        storage: Storage,
        hard_state: HardState | None,
        entries: list[LogEntry],
    ) -> None:
        """Save, and only then count it as promised."""
        storage.save(hard_state, entries)
        self.hard_state = hard_state or self.hard_state
        self.top = entries[-1]

    def check(self) -> None:
        """Find after a restart all that was promised, or more."""
        storage = Storage(self._disk)  # type: ignore[arg-type]
        identity = storage.identity()
        assert self.identity in (None, identity)
        if identity is None:
            return
        stored = storage.load(GENESIS)
        assert stored.hard_state.term >= self.hard_state.term
        last = (stored.snapshot.term, stored.snapshot.index)
        if stored.entries:
            last = (stored.entries[-1].term, stored.entries[-1].index)
        assert last >= (self.top.term, self.top.index)


@pytest.mark.parametrize("seed", range(8))
def test_power_cut_at_every_operation_keeps_promises(seed: int) -> None:
    """The power fails at each write, sync, rename and removal in turn.

    The replica told others that it holds entries and how it voted; after
    the cut the disk keeps what was synced and any part of the rest, and
    the replica starts with all that it had told.
    """
    operations = 0
    while True:
        operations += 1
        disk = FakeDisk(seed * 1000 + operations)
        disk.power_cut_after = operations
        script = Script(disk)
        try:
            script.run()
        except PowerCutError:
            disk.crash()
            script.check()
            continue
        break
    assert operations > 40


def test_failed_save_leaves_nothing_behind() -> None:
    """A full disk refuses a save half way; room is made and it goes on.

    The bytes written before the refusal look like a torn end. Were they
    left there, the next save would follow them, and the restart after it
    would find a damaged middle and refuse.
    """
    disk = FakeDisk(1)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(HardState(1, "r1"), ENTRIES[:2])
    disk.full = True
    with pytest.raises(StorageError, match="No space left"):
        storage.save(None, ENTRIES[2:])
    disk.full = False
    storage.recover()
    assert storage.load(GENESIS).entries == ENTRIES[:2]
    storage.save(None, ENTRIES[2:])
    storage = Storage(disk)  # type: ignore[arg-type]
    assert storage.load(GENESIS).entries == ENTRIES


def test_unsynced_bytes_of_a_failed_sync_are_not_believed() -> None:
    """A sync fails; the page cache still shows the bytes, the disk not.

    Loaded as they are shown, they would be acknowledged although a power
    cut takes them away.
    """
    disk = FakeDisk(1)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(None, ENTRIES[:2])
    disk.failing_syncs = 1
    with pytest.raises(StorageError, match="Input/output error"):
        storage.save(None, ENTRIES[2:])
    storage.recover()
    assert storage.load(GENESIS).entries == ENTRIES[:2]


def test_old_log_is_void_beside_an_installed_snapshot() -> None:
    """A crash right after an install leaves the log it replaced.

    That log differs from the snapshot at the snapshot's own place, so
    what follows there does not continue it and must not be loaded.
    """
    disk = FakeDisk(1)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(HardState(1, None), ENTRIES)
    disk.power_cut_after = 6
    with pytest.raises(PowerCutError):
        storage.install(Snapshot(2, 5, GENESIS, b"leader's"))
    disk.power_cut_after = None
    storage = Storage(disk)  # type: ignore[arg-type]
    stored = storage.load(GENESIS)
    assert (stored.snapshot.index, stored.snapshot.term) == (2, 5)
    assert stored.entries == []


@pytest.mark.parametrize("operations", range(1, 16))
def test_interrupted_removal_brings_nothing_old_back(operations: int) -> None:
    """The power fails while segments before a snapshot are removed.

    An older segment holds an entry that a later one replaced. Were the
    later one removed first, the replaced entry would stand beside the
    snapshot after the restart, look like another leader's log, and take
    all that was saved since with it.
    """
    disk = FakeDisk(operations)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(HardState(2, None), ENTRIES)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.load(GENESIS)
    storage.save(None, [LogEntry(2, 3, NoOp())])
    disk.power_cut_after = operations
    try:
        storage.compact(Snapshot(3, 2, GENESIS, b"own"))
    except PowerCutError:
        disk.crash()
    disk.power_cut_after = None
    for _ in range(2):
        storage = Storage(disk)  # type: ignore[arg-type]
        storage.load(GENESIS)
        storage.save(None, [LogEntry(2, 4, NoOp())])
    storage = Storage(disk)  # type: ignore[arg-type]
    assert storage.load(GENESIS).entries[-1:] == [LogEntry(2, 4, NoOp())]
