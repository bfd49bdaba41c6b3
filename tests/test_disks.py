"""Test which names a disk makes durable."""

import errno
import os
from pathlib import Path

import pytest
from nutmegchute_daemon.disks import Disk
from nutmegchute_daemon.disks import LOCK_FILE


class Syncs:
    """Note the paths that are synced; fail while ``fails`` is set."""

    def __init__(self) -> None:
        self.paths: list[Path] = []
        self.fails = False

    def sync(self, handle: int) -> None:
        """Note the path of a handle."""
        if self.fails:
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        self.paths.append(Path(os.readlink(f"/proc/self/fd/{handle}")))


@pytest.fixture
def syncs(monkeypatch: pytest.MonkeyPatch) -> Syncs:
    """Note the syncs of this process."""
    found = Syncs()
    monkeypatch.setattr(os, "fsync", found.sync)
    return found


def test_new_folder_is_synced_in_its_parents(
    tmp_path: Path, syncs: Syncs
) -> None:
    """A loss of power after the first start took the whole data folder."""
    folder = tmp_path / "state" / "control-1"
    Disk(folder).close()
    assert syncs.paths[:2] == [tmp_path / "state", tmp_path]


def test_nothing_is_synced_beyond_the_file_system(
    tmp_path: Path, syncs: Syncs, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A daemon could not start if the root of its container was read-only."""
    folder = tmp_path / "volume" / "control-1"
    for mounted, expected in ((folder.parent, [folder.parent]), (folder, [])):
        folder.mkdir(parents=True, exist_ok=True)
        monkeypatch.setattr(
            Path, "is_mount", lambda path, root=mounted: path == root
        )
        syncs.paths.clear()
        Disk(folder).close()
        assert syncs.paths == expected
        (folder / LOCK_FILE).unlink()


def test_folder_of_an_interrupted_start_is_synced_by_the_next(
    tmp_path: Path, syncs: Syncs
) -> None:
    """A start trusted a folder whose name the one before had not synced."""
    folder = tmp_path / "state" / "control-1"
    syncs.fails = True
    with pytest.raises(OSError, match=os.strerror(errno.EIO)):
        Disk(folder)
    assert not (folder / LOCK_FILE).exists()
    syncs.fails = False
    Disk(folder).close()
    assert syncs.paths[:2] == [tmp_path / "state", tmp_path]


def test_parent_that_may_not_be_read_is_no_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A data folder below an unreadable folder could not be used."""
    opened = os.open

    def deny(path: Path, *values: int) -> int:
        if path == tmp_path:
            raise PermissionError(errno.EACCES, os.strerror(errno.EACCES))
        return opened(path, *values)

    monkeypatch.setattr(os, "open", deny)
    disk = Disk(tmp_path / "control-1")
    disk.append("a", b"data")
    disk.close()
