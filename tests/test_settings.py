"""Test that wrong settings end in one clear line and start nothing."""

import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import pytest
from nutmegchute_cli.__main__ import main as nutmegchute
from nutmegchute_daemon.documents import SettingsDocument
from nutmegchute_daemon.settings import DEFAULTS
from nutmegchute_daemon.settings import read_settings
from nutmegchute_fakes.clusters import digest
from nutmegchute_fakes.clusters import free_address
from returns.result import Failure
from returns.result import Success

DOCS = Path(__file__).parent.parent / "docs"
RUN_S = 30

GOOD: dict[str, Any] = {
    "role": "entry",
    "name": "entry-1",
    "availability_zone": "surco",
    "http_address": "127.0.0.1:8101",
    "grpc_address": "127.0.0.1:8201",
}
PEER = {
    "name": "control-1",
    "grpc_address": "127.0.0.1:8201",
    "http_address": "127.0.0.1:8101",
}


_SCHEMAS = msgspec.json.schema(SettingsDocument)["$defs"]
SCHEMA = _SCHEMAS[SettingsDocument.__name__]


def write(folder: Path, **values: Any) -> Path:
    """Write settings to a file."""
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode({**GOOD, **values}))
    return path


def read(folder: Path, **values: Any) -> Any:
    """Write settings and read them."""
    return read_settings(write(folder, **values))


def start(path: Path) -> subprocess.Popen[str]:
    """Start a daemon from a settings file."""
    command = [sys.executable, "-m", "nutmegchute_daemon", str(path)]
    pipe = subprocess.PIPE
    return subprocess.Popen(command, stdout=pipe, stderr=pipe, text=True)


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


@pytest.mark.parametrize(
    ("values", "line"),
    [
        ({"http_address": "10.0.0.300:80"}, "http_address: '10.0.0.300:80'"),
        ({"http_address": "host:80"}, "http_address: 'host:80' is not an a"),
        ({"http_address": "0.0.0.0:80"}, "cannot be given to others"),
        ({"grpc_address": "127.0.0.1:8101"}, "must differ"),
        ({"entries": ["10.0.0.1:0"]}, "entries: '10.0.0.1:0'"),
        ({"control": [PEER, PEER]}, "control: lists a name twice"),
        ({"name": "Entry 1"}, "name: 'Entry 1' is not a name"),
        ({"unheard_of": 1}, "unheard_of"),
    ],
)
def test_contradictions_are_refused(
    tmp_path: Path, values: dict[str, Any], line: str
) -> None:
    """Refuse what could never work, and say where."""
    assert line in str(read(tmp_path, **values).failure())


def test_replica_must_be_listed_at_its_address(tmp_path: Path) -> None:
    """Refuse a replica that the others would look for elsewhere."""
    peer = {**PEER, "grpc_address": "127.0.0.1:9"}
    control = {"role": "control", "name": "control-1", "data_folder": "x"}
    wrong = read(tmp_path, **control, control=[peer])
    assert "control: lists this replica at" in str(wrong.failure())
    assert isinstance(read(tmp_path, **control, control=[PEER]), Success)


def test_doubtful_settings_warn(tmp_path: Path) -> None:
    """Warn of what is allowed and still likely a mistake."""
    settings = read(
        tmp_path,
        control=[PEER, {**PEER, "name": "control-2"}],
        entries_keep_s=600,
    ).unwrap()
    warnings = "\n".join(settings.warnings())
    assert "survive no more losses" in warnings
    assert "entries: none" in warnings
    assert "a drain lasts at least 600 s" in warnings


def test_reference_page_and_schema_agree() -> None:
    """Reference page and schema agree.

    Hold docs/settings.rst to the settings, in both directions, and
    every default to the one that the code has.
    """
    text = (DOCS / "settings.rst").read_text()
    entries = re.findall(r"^``(\w+)`` \((.+)\)$", text, re.MULTILINE)
    assert sorted(name for name, _ in entries) == sorted(SCHEMA["properties"])
    for name, kind in entries:
        if name in SCHEMA["required"]:
            assert kind == "required", name
            continue
        default = msgspec.json.encode(DEFAULTS[name]).decode()
        assert kind == f"default {default}", name


def test_names_carry_their_units() -> None:
    """Tell seconds from milliseconds and bytes by a number's name."""
    counts = {"http_threads", "entries_answer"}
    counts |= {"extra_ratio", "extra_fixed", "warm_up_overage"}
    for name, schema in SCHEMA["properties"].items():
        kinds = {one.get("type") for one in schema.get("anyOf", [schema])}
        if not {"number", "integer"} & kinds:
            continue
        assert name in counts or name.endswith(("_ms", "_s", "_bytes")), name


@pytest.mark.parametrize("place", ["http_address", "grpc_address"])
def test_address_in_use(tmp_path: Path, place: str) -> None:
    """Address in use.

    An operator starts a second daemon on a vm. The address is taken,
    so it ends at once with one line that names the setting, and the
    exit status says that nothing was started.
    """
    addresses = {
        "http_address": free_address(),
        "grpc_address": free_address(),
    }
    host, port = addresses[place].split(":")
    with socket.create_server((host, int(port))):
        path = write(tmp_path, **addresses)
        process = start(path)
        _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    line = err.splitlines()[-1]
    assert line.startswith(f"{path}: {place}: cannot listen on")
    assert "Traceback" not in err


def test_unwritable_data_folder(tmp_path: Path) -> None:
    """Unwritable data folder.

    The data folder's place is taken by a file (or may not be written).
    A replica that cannot keep its vote must not start.
    """
    (tmp_path / "data").write_text("not a folder")
    own = {
        "name": "control-1",
        "http_address": free_address(),
        "grpc_address": free_address(),
    }
    path = write(
        tmp_path,
        role="control",
        data_folder=str(tmp_path / "data"),
        control=[own],
        **own,
    )
    process = start(path)
    _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    assert f"{path}: data_folder:" in err.splitlines()[-1]
    assert "Traceback" not in err


def test_processor_that_is_not_there(tmp_path: Path) -> None:
    """End with one line that names the vm's processors."""
    addresses = {
        "http_address": free_address(),
        "grpc_address": free_address(),
    }
    path = write(tmp_path, cpus=[99999], **addresses)
    process = start(path)
    _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    line = err.splitlines()[-1]
    assert line.startswith(f"{path}: cpus: [99999] not among [")


def test_daemon_stays_on_its_processors(tmp_path: Path) -> None:
    """Hold every thread to the processors that the settings name."""
    cpu = min(os.sched_getaffinity(0))
    addresses = {
        "http_address": free_address(),
        "grpc_address": free_address(),
    }
    process = start(write(tmp_path, cpus=[cpu], **addresses))
    try:
        assert process.stdout is not None
        while "daemon started" not in process.stdout.readline():
            assert process.poll() is None
        threads = list(Path(f"/proc/{process.pid}/task").iterdir())
        assert len(threads) > 1
        for thread in threads:
            assert os.sched_getaffinity(int(thread.name)) == {cpu}
    finally:
        process.kill()
        process.communicate()


def test_wrong_command_line_of_the_daemon() -> None:
    """End with the usage and status 2."""
    command = [sys.executable, "-m", "nutmegchute_daemon"]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2
    assert "Usage:" in done.stderr


def test_operator_drains_an_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operator drains an entry.

    An operator without a login on the vm drains an entry. A key for
    one branch is refused, since an entry carries every team's calls; the
    operators' key ends the daemon with status 0, as SIGTERM does.
    """
    address = free_address()
    operators = [
        {"name": "ana", "key_sha256": digest("all"), "branches": ["*"]},
        {"name": "bo", "key_sha256": digest("one"), "branches": ["lending"]},
    ]
    path = write(
        tmp_path,
        http_address=address,
        grpc_address=free_address(),
        operators=operators,
        entries_keep_s=0.2,
    )
    process = start(path)
    assert process.stdout is not None
    while "NC1001" not in process.stdout.readline():
        assert process.poll() is None
    try:
        for key, status in (("none", 1), ("one", 1), ("all", 0)):
            monkeypatch.setenv("NUTMEGCHUTE_KEY", key)
            assert nutmegchute(["drain", f"--entry={address}"]) == status
        assert process.wait(RUN_S) == 0
    finally:
        if process.poll() is None:
            os.kill(process.pid, signal.SIGKILL)
        out, _ = process.communicate()
    events = [msgspec.json.decode(line) for line in out.splitlines()]
    told = {one["number"]: one for one in events}
    assert told["NC2012"]["remote"] == "127.0.0.1"
    assert told["NC1006"]["operator"] == "ana"
    assert told["NC1006"]["daemon"] == "entry-1"
