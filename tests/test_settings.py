"""Test that wrong settings end in one clear line."""

from pathlib import Path
from typing import Any

import msgspec
from nutmegchute_daemon.settings import read_settings
from returns.result import Failure
from returns.result import Success

GOOD: dict[str, Any] = {
    "role": "entry",
    "name": "entry-1",
    "availability_zone": "surco",
    "http_address": "127.0.0.1:8101",
    "grpc_address": "127.0.0.1:8201",
}


def read(folder: Path, **values: Any) -> Any:
    """Write settings and read them."""
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode({**GOOD, **values}))
    return read_settings(path)


def test_good_settings_are_completed(tmp_path: Path) -> None:
    """Fill in the defaults."""
    settings = read(tmp_path)
    assert isinstance(settings, Success)
    assert settings.unwrap().http_threads > 0


def test_wrong_place_is_named(tmp_path: Path) -> None:
    """Name file, place and what is allowed."""
    settings = read(tmp_path, http_threads=0)
    assert isinstance(settings, Failure)
    line = str(settings.failure())
    assert "settings.json: http_threads: 0 is less than" in line
    assert "\n" not in line


def test_control_needs_a_folder(tmp_path: Path) -> None:
    """Refuse a control role that could not keep what it accepts."""
    settings = read(tmp_path, role="control")
    assert "data_folder" in str(settings.failure())
