"""Test what storage keeps over crashes and which damage it reports."""

import contextlib
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from nutmegchute_core.commands import NoOp
from nutmegchute_core.memberships import Membership
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Snapshot
from nutmegchute_daemon.disks import Disk
from nutmegchute_daemon.errors import StorageError
from nutmegchute_daemon.frames import encode_frame
from nutmegchute_daemon.storages import Identity
from nutmegchute_daemon.storages import open_storage
from nutmegchute_daemon.storages import SaveRecord
from nutmegchute_daemon.storages import Storage
from nutmegchute_fakes.disks import FakeDisk
from nutmegchute_fakes.disks import PowerCutError

GENESIS = Membership()
ENTRIES = [LogEntry(1, index, NoOp()) for index in range(1, 4)]


def save_entries(folder: Path) -> Path:
    """Save a few entries, one by one, and return the log's path."""
    storage = open_storage(folder)
    storage.load(GENESIS)
    storage.save(HardState(1, "r1"), ENTRIES[:1])
    storage.save(None, ENTRIES[1:2])
    storage.save(None, ENTRIES[2:])
    storage.close()
    return folder / "log-000000000000"


def load_entries(folder: Path) -> list[LogEntry]:
    """Load the entries and close the folder."""
    storage = open_storage(folder)
    try:
        return storage.load(GENESIS).entries
    finally:
        storage.close()


def test_saved_state_is_loaded(tmp_path: Path) -> None:
    """The hard state and the entries are read back."""
    save_entries(tmp_path)
    storage = open_storage(tmp_path)
    stored = storage.load(GENESIS)
    assert stored.hard_state == HardState(1, "r1")
    assert stored.entries == ENTRIES


def test_later_save_replaces_the_tail(tmp_path: Path) -> None:
    """Entries of a former leader are dropped once others replace them."""
    save_entries(tmp_path)
    storage = open_storage(tmp_path)
    storage.load(GENESIS)
    storage.save(None, [LogEntry(2, 2, NoOp())])
    storage.close()
    assert load_entries(tmp_path) == [ENTRIES[0], LogEntry(2, 2, NoOp())]


@pytest.mark.parametrize("cut", [1, 3, 17, 20])
def test_incomplete_last_frame_is_truncated(tmp_path: Path, cut: int) -> None:
    """A power cut during the last write loses only that save.

    The write was not synced, so it was never acknowledged. The replica
    starts with everything before it.
    """
    path = save_entries(tmp_path)
    path.write_bytes(path.read_bytes()[:-cut])
    assert load_entries(tmp_path) == ENTRIES[:-1]
    assert load_entries(tmp_path) == ENTRIES[:-1]


def test_damaged_middle_is_refused(tmp_path: Path) -> None:
    """A corrupt byte in an early save must not drop acknowledged entries.

    Truncating there would lose them, so the daemon refuses to start and
    names file and offset.
    """
    path = save_entries(tmp_path)
    data = bytearray(path.read_bytes())
    second = data.index(b"NCF1", 4)
    data[second + 20] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"{path}: damaged at byte"):
        load_entries(tmp_path)


def test_damaged_length_is_refused(tmp_path: Path) -> None:
    """A corrupt length looks like an incomplete frame but is an error."""
    path = save_entries(tmp_path)
    data = bytearray(path.read_bytes())
    second = data.index(b"NCF1", 4)
    data[second + 4] ^= 0x40
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"damaged at byte {second}"):
        load_entries(tmp_path)


def test_damage_before_the_last_segment_is_refused(tmp_path: Path) -> None:
    """An incomplete frame is accepted in the last segment only.

    A compaction starts a new segment, so the end of the one before was
    synced; an incomplete frame there is damage, not the effect of a power
    cut.
    """
    save_entries(tmp_path)
    storage = open_storage(tmp_path)
    assert storage.load(GENESIS).entries == ENTRIES
    path = tmp_path / "log-000000000001"
    storage.compact(Snapshot(2, 1, GENESIS, b"own"))
    storage.close()
    assert (tmp_path / "log-000000000002").exists()
    path.write_bytes(path.read_bytes()[:-3])
    with pytest.raises(StorageError, match=path.name):
        load_entries(tmp_path)


@pytest.mark.parametrize("kept", [0, 20, None])
def test_damage_of_the_only_frame_is_refused(
    tmp_path: Path, kept: int | None
) -> None:
    """A start writes the whole log as one frame, which nothing replaces.

    Taken for the end of an interrupted save, its damage would drop all that
    the replica acknowledged, and its votes.
    """
    save_entries(tmp_path)
    assert load_entries(tmp_path) == ENTRIES
    path = tmp_path / "log-000000000001"
    data = bytearray(path.read_bytes()[:kept])
    if kept is None:
        data[-1] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"{path}: damaged at byte 0"):
        load_entries(tmp_path)


def test_start_syncs_what_it_read_back(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process killed before its sync returned leaves unsynced entries.

    They can be read, and the replica counts them after its start; a loss of
    power would take them if no file that holds them was synced.
    """
    save_entries(tmp_path)
    synced = {}
    sync = os.fsync

    def record(handle: int) -> None:
        sync(handle)
        synced[os.fstat(handle).st_ino] = os.fstat(handle).st_size

    monkeypatch.setattr(os, "fsync", record)
    assert load_entries(tmp_path) == ENTRIES
    segments = list(tmp_path.glob("log-*"))
    assert len(segments) == 1
    for path in (segments[0], tmp_path):
        assert synced[path.stat().st_ino] == path.stat().st_size


def test_second_daemon_is_refused(tmp_path: Path) -> None:
    """Two daemons in one folder would overwrite each other's log."""
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


def test_snapshot_replaces_the_log_before_it(tmp_path: Path) -> None:
    """Only entries after a snapshot are loaded; older files are removed."""
    save_entries(tmp_path)
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
    """The log before a snapshot is removed, so nothing can replace it."""
    save_entries(tmp_path)
    storage = open_storage(tmp_path)
    storage.load(GENESIS)
    storage.compact(Snapshot(3, 1, GENESIS, b"state"))
    storage.close()
    path = tmp_path / "snapshot-000000000003"
    data = bytearray(path.read_bytes())
    data[-1] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match=f"{path}: damaged"):
        load_entries(tmp_path)


def test_lost_identity_beside_a_log_is_refused(tmp_path: Path) -> None:
    """A replica with a log must not vote under a new identity."""
    storage = open_storage(tmp_path)
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    assert storage.identity() == Identity("r1")
    storage.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="identity: missing"):
        open_storage(tmp_path).identity()


@pytest.mark.parametrize("operation", range(1, 7))
@pytest.mark.parametrize("seed", range(8))
def test_identity_read_back_survives_a_loss_of_power(
    seed: int, operation: int
) -> None:
    """A replica lost the identity by which the others had formed a group.

    It had been killed before its first start synced the name of the file.
    """
    disk = FakeDisk(seed)
    disk.power_cut_after = operation
    storage = Storage(disk)  # type: ignore[arg-type]
    with contextlib.suppress(PowerCutError):
        storage.save_identity(Identity("r1"))
    disk.kill()
    known = Storage(disk).identity()  # type: ignore[arg-type]
    disk.crash()
    if known is not None:
        assert Storage(disk).identity() == known  # type: ignore[arg-type]


class Script:
    """Run a fixed sequence of saves and record what was acknowledged."""

    def __init__(self, disk: FakeDisk) -> None:
        self._disk = disk
        self.identity: Identity | None = None
        self.hard_state = HardState()
        self.last_entry = LogEntry(0, 0, NoOp())

    def run(self) -> None:
        """Save, replace a tail, compact and install until a power cut."""
        storage = Storage(self._disk)  # type: ignore[arg-type]
        storage.save_identity(Identity("r1"))
        self.identity = Identity("r1")
        storage.load(GENESIS)
        for term in (1, 2, 3):
            self.save(storage, HardState(term, "r2"), self.next(term, 3))
            self.save(storage, None, self.next(term, 2))
        self.save(storage, None, [LogEntry(3, self.last_entry.index, NoOp())])
        snapshot = Snapshot(self.last_entry.index - 3, 3, GENESIS, b"own")
        storage.compact(snapshot)
        self.save(storage, None, self.next(3, 2))
        installed = Snapshot(
            self.last_entry.index + 50, 4, GENESIS, b"leader's"
        )
        storage.install(installed)
        self.last_entry = LogEntry(4, installed.index, NoOp())
        self.save(storage, HardState(4, None), self.next(4, 2))

    def next(self, term: int, count: int) -> list[LogEntry]:
        """Build the next entries."""
        first = self.last_entry.index + 1
        return [LogEntry(term, first + n, NoOp()) for n in range(count)]

    def save(
        self,
        storage: Storage,
        hard_state: HardState | None,
        entries: list[LogEntry],
    ) -> None:
        """Save, and only then record the state as acknowledged."""
        storage.save(hard_state, entries)
        self.hard_state = hard_state or self.hard_state
        self.last_entry = entries[-1]

    def check(self) -> None:
        """Check that a restart finds all that was acknowledged, or more."""
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
        assert last >= (self.last_entry.term, self.last_entry.index)


@pytest.mark.parametrize("seed", range(8))
def test_power_cut_at_any_operation_loses_nothing_acknowledged(
    seed: int,
) -> None:
    """The power fails at each write, sync, rename and removal in turn.

    The replica has acknowledged entries and votes. The disk keeps what was
    synced and any part of the rest, and the replica must start with all
    that it acknowledged.
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


def test_bytes_of_a_failed_save_are_removed() -> None:
    """A save fails half way on a full disk; after recovery, saves continue.

    The bytes already written look like an incomplete frame. If they were
    left, the next save would follow them, and the next restart would find
    damage before the last frame and refuse.
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


def test_bytes_of_a_failed_sync_are_not_loaded() -> None:
    """After a failed sync the page cache holds bytes the disk lacks.

    If they were loaded, they would be acknowledged although a power cut
    would lose them.
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


def test_log_replaced_by_an_installed_snapshot_is_not_loaded() -> None:
    """A crash right after an install leaves the log that it replaces.

    That log has another term at the snapshot's index, so its later entries
    do not continue the snapshot and must not be loaded.
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
def test_entries_saved_after_an_interrupted_install_are_kept(
    operations: int,
) -> None:
    """A kill between an install and the removal of the log it replaces.

    The old log has another term at the snapshot's index. If it stayed, all
    that was saved after the restart would be dropped with it.
    """
    disk = FakeDisk(operations)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(HardState(1, None), ENTRIES)
    disk.power_cut_after = operations
    try:
        storage.install(Snapshot(2, 5, GENESIS, b"leader's"))
    except PowerCutError:
        disk.kill()
    disk.power_cut_after = None
    storage = Storage(disk)  # type: ignore[arg-type]
    stored = storage.load(GENESIS)
    later = [LogEntry(5, stored.snapshot.index + 1, NoOp())]
    storage.save(None, later)
    for _ in range(2):
        storage = Storage(disk)  # type: ignore[arg-type]
        assert storage.load(GENESIS).entries == later


def test_entries_replaced_after_an_installed_snapshot_are_dropped() -> None:
    """A folder of an earlier version holds the log before a snapshot.

    That log ends before the snapshot, and an entry after the snapshot was
    saved twice. The first of the two was kept, and the start ended with
    "entry is missing".
    """
    disk = FakeDisk(1)
    storage = Storage(disk)  # type: ignore[arg-type]
    storage.save_identity(Identity("r1"))
    storage.load(GENESIS)
    storage.save(HardState(1, None), ENTRIES)
    storage.install(Snapshot(50, 5, GENESIS, b"leader's"))
    for name in disk.names():
        if name.startswith("log-"):
            disk.remove(name)
    later = [LogEntry(5, 51, NoOp()), LogEntry(5, 52, NoOp())]
    replacing = LogEntry(6, 52, NoOp())
    for number, entries in enumerate((ENTRIES, later, [replacing])):
        record = SaveRecord(None, entries)
        frame = encode_frame(msgspec.msgpack.encode(record))
        disk.append(f"log-{number:012d}", frame)
    storage = Storage(disk)  # type: ignore[arg-type]
    assert storage.load(GENESIS).entries == [later[0], replacing]


@pytest.mark.parametrize("operations", range(1, 16))
def test_interrupted_removal_restores_no_replaced_entry(
    operations: int,
) -> None:
    """The power fails while segments before a snapshot are removed.

    An older segment holds an entry that a later segment replaced. If the
    later one were removed first, the replaced entry would differ from the
    snapshot's term after the restart; the log would count as another
    leader's, and all that was saved since would be dropped with it.
    """
    for seed in range(200):
        disk = FakeDisk(seed)
        storage = Storage(disk)  # type: ignore[arg-type]
        storage.save_identity(Identity("r1"))
        storage.load(GENESIS)
        storage.save(HardState(2, None), ENTRIES)
        storage.compact(Snapshot(1, 1, GENESIS, b"own"))
        storage.save(None, [LogEntry(2, 3, NoOp())])
        storage.compact(Snapshot(2, 1, GENESIS, b"own"))
        storage.save(None, [LogEntry(2, 4, NoOp())])
        segments = [one for one in disk.names() if one.startswith("log-")]
        assert len(segments) == 3
        disk.power_cut_after = operations
        try:
            storage.compact(Snapshot(3, 2, GENESIS, b"own"))
        except PowerCutError:
            disk.crash()
        disk.power_cut_after = None
        for last in (4, 5):
            storage = Storage(disk)  # type: ignore[arg-type]
            entries = storage.load(GENESIS).entries
            assert entries[-1:] == [LogEntry(2, last, NoOp())]
            storage.save(None, [LogEntry(2, last + 1, NoOp())])


def test_files_and_folder_belong_to_their_owner(tmp_path: Path) -> None:
    """Let no other user of the vm read the log, which holds callers' keys."""
    folder = tmp_path / "data"
    storage = open_storage(folder)
    storage.load(GENESIS)
    storage.save(HardState(1, "r1"), ENTRIES)
    storage.close()
    disk = Disk(folder)
    disk.replace("endpoints", "endpoints.new", b"")
    disk.close()
    assert folder.stat().st_mode & 0o077 == 0
    paths = list(folder.iterdir())
    assert len(paths) > 2
    for path in paths:
        assert path.stat().st_mode & 0o077 == 0, path


def test_existing_folder_keeps_its_mode(tmp_path: Path) -> None:
    """Open a folder that an earlier version or an operator has made."""
    folder = tmp_path / "data"
    folder.mkdir(0o755)
    open_storage(folder).close()
    assert folder.stat().st_mode & 0o777 == 0o755
