"""Test what the disk keeps and what it refuses."""

from pathlib import Path

import pytest
from nutmegchute_core.commands import NoOp
from nutmegchute_core.replicas import HardState
from nutmegchute_core.replicas import LogEntry
from nutmegchute_daemon.errors import StorageError
from nutmegchute_daemon.storages import Storage

ENTRIES = [LogEntry(1, index, NoOp()) for index in range(1, 4)]


def fill(folder: Path) -> Path:
    """Save a few entries and return the log's path."""
    storage = Storage(folder)
    storage.load()
    storage.save(HardState(1, "r1"), ENTRIES)
    storage.close()
    return folder / "log"


def test_saved_is_loaded(tmp_path: Path) -> None:
    """Read back hard state and entries."""
    fill(tmp_path)
    assert Storage(tmp_path).load() == (HardState(1, "r1"), ENTRIES)


def test_torn_tail_is_cut(tmp_path: Path) -> None:
    """A power cut in the last write loses only what was not promised.

    The replica starts and knows all but the last record: the write of
    that record was not synced, so nobody was told that it is safe.
    """
    path = fill(tmp_path)
    path.write_bytes(path.read_bytes()[:-3])
    assert Storage(tmp_path).load()[1] == ENTRIES[:-1]


def test_damaged_middle_is_refused(tmp_path: Path) -> None:
    """A flipped byte in the first record must not drop promised ones.

    The daemon does not start and names file and offset: cutting there
    would forget entries that were acknowledged.
    """
    path = fill(tmp_path)
    data = bytearray(path.read_bytes())
    data[14] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(StorageError, match="damaged at byte 0"):
        Storage(tmp_path).load()
