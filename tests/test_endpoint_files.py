"""Keep endpoints over a control replica's restart."""

import asyncio
from pathlib import Path

import pytest
from nutmegchute_core.members import Announcement
from nutmegchute_daemon.disks import Disk
from nutmegchute_daemon.endpoint_files import EndpointFile
from nutmegchute_daemon.endpoint_files import ENDPOINTS_FILE
from nutmegchute_daemon.registrars import Registrar

ENDPOINT = Announcement("prestamos", "10.0.0.1:80", "surco", 3, 0)


def registrar() -> Registrar:
    """Build a registrar that is in contact."""
    return Registrar("10.1.0.1:7000", lambda: True, lambda: None)


async def keep(disk: Disk, owner: Registrar) -> None:
    """Write what a registrar knows."""
    endpoint_file = EndpointFile(disk, owner)
    owner.restore_endpoints([ENDPOINT])
    endpoint_file.save()
    await asyncio.gather(*asyncio.all_tasks() - {asyncio.current_task()})


def test_endpoints_are_recalled(tmp_path: Path) -> None:
    """Know after a start what was known before it."""
    disk = Disk(tmp_path)
    asyncio.run(keep(disk, registrar()))
    after = registrar()
    EndpointFile(disk, after).load()
    assert after.present() == [ENDPOINT]


def test_first_start_recalls_nothing(tmp_path: Path) -> None:
    """Start without a list."""
    owner = registrar()
    EndpointFile(Disk(tmp_path), owner).load()
    assert owner.present() == []


@pytest.mark.parametrize("data", [b"", b"\xc1\x00", b"\x91\x01"])
def test_damaged_list_is_left_alone(tmp_path: Path, data: bytes) -> None:
    """Start although the list cannot be read: it is only a help."""
    (tmp_path / ENDPOINTS_FILE).write_bytes(data)
    owner = registrar()
    EndpointFile(Disk(tmp_path), owner).load()
    assert owner.present() == []


def test_disk_that_refuses_holds_nobody(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Go on hearing endpoints while the list cannot be written."""

    def refuse(*_: object) -> None:
        raise OSError(28, "no space left")

    disk = Disk(tmp_path)
    owner = registrar()
    monkeypatch.setattr(Disk, "replace", refuse)
    asyncio.run(keep(disk, owner))
    assert owner.present() == [ENDPOINT]
