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
    storage.keep_identity(Identity("r1"))
    storage.load(GENESIS)
    assert storage.identity() == Identity("r1")
    storage.close()
    (tmp_path / "identity").unlink()
    with pytest.raises(StorageError, match="identity: missing"):
        open_storage(tmp_path).identity()
