"""Test that endpoints are kept across a control replica's restart."""

import asyncio
from pathlib import Path

import pytest
from nutmegchute_core.members import Announcement
from nutmegchute_daemon.disks import Disk
from nutmegchute_daemon.endpoint_files import EndpointFile
from nutmegchute_daemon.endpoint_files import ENDPOINTS_FILE
from nutmegchute_daemon.registrars import Registrar
from nutmegchute_daemon.transfers import TreeOffers

ENDPOINT = Announcement("prestamos", "10.0.0.1:80", "surco", 3, 0)


def registrar() -> Registrar:
    """Build a registrar that is in contact."""
    return Registrar("10.1.0.1:7000", lambda: True, lambda: None, TreeOffers())


async def save_endpoints(disk: Disk, owner: Registrar) -> None:
    """Register an endpoint and save the registrar's endpoints."""
    endpoint_file = EndpointFile(disk, owner)
    owner.restore_endpoints([ENDPOINT])
    endpoint_file.save()
    await asyncio.gather(*asyncio.all_tasks() - {asyncio.current_task()})


def test_endpoints_are_restored(tmp_path: Path) -> None:
    """The endpoints saved before a restart are present after it."""
    disk = Disk(tmp_path)
    asyncio.run(save_endpoints(disk, registrar()))
    after = registrar()
    EndpointFile(disk, after).load()
    assert after.list_announcements() == [ENDPOINT]


def test_first_start_restores_nothing(tmp_path: Path) -> None:
    """A missing file is no error."""
    owner = registrar()
    EndpointFile(Disk(tmp_path), owner).load()
    assert owner.list_announcements() == []


@pytest.mark.parametrize("data", [b"", b"\xc1\x00", b"\x91\x01"])
def test_damaged_file_is_ignored(tmp_path: Path, data: bytes) -> None:
    """A file that can't be read does not prevent a start: it is optional."""
    (tmp_path / ENDPOINTS_FILE).write_bytes(data)
    owner = registrar()
    EndpointFile(Disk(tmp_path), owner).load()
    assert owner.list_announcements() == []


def test_endpoints_register_while_the_disk_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A file that can't be written does not affect the registry."""

    def refuse(*_: object) -> None:
        raise OSError(28, "no space left")

    disk = Disk(tmp_path)
    owner = registrar()
    monkeypatch.setattr(Disk, "replace", refuse)
    asyncio.run(save_endpoints(disk, owner))
    assert owner.list_announcements() == [ENDPOINT]
