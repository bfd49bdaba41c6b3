"""Test that invalid settings give a one-line error and start nothing."""

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
from nutmegchute_fakes.clusters import find_free_address
from returns.result import Failure
from returns.result import Success

DOCS = Path(__file__).parent.parent / "docs"
RUN_S = 30

VALID: dict[str, Any] = {
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


def write_settings(folder: Path, **values: Any) -> Path:
    """Write a settings file."""
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode({**VALID, **values}))
    return path


def write_and_read(folder: Path, **values: Any) -> Any:
    """Write a settings file and read it."""
    return read_settings(write_settings(folder, **values))


def start_daemon(path: Path) -> subprocess.Popen[str]:
    """Start a daemon with a settings file."""
    command = [sys.executable, "-m", "nutmegchute_daemon", str(path)]
    pipe = subprocess.PIPE
    return subprocess.Popen(command, stdout=pipe, stderr=pipe, text=True)


def test_defaults_are_applied(tmp_path: Path) -> None:
    """Settings that are left out take their defaults."""
    settings = write_and_read(tmp_path)
    assert isinstance(settings, Success)
    assert settings.unwrap().http_threads > 0


def test_invalid_setting_is_named(tmp_path: Path) -> None:
    """The error names the file, the setting and what it allows."""
    settings = write_and_read(tmp_path, http_threads=0)
    assert isinstance(settings, Failure)
    line = str(settings.failure())
    assert "settings.json: http_threads: 0 is less than" in line
    assert "\n" not in line


def test_control_needs_a_data_folder(tmp_path: Path) -> None:
    """A control replica without a data folder could not store changes."""
    settings = write_and_read(tmp_path, role="control")
    assert "data_folder" in str(settings.failure())


@pytest.mark.parametrize(
    ("values", "line"),
    [
        ({"http_address": "10.0.0.300:80"}, "http_address: '10.0.0.300:80'"),
        ({"http_address": "host:80"}, "http_address: 'host:80' is not an a"),
        ({"http_address": "0.0.0.0:80"}, "cannot be reached from other vms"),
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
    """Settings that could never work are refused by name."""
    assert line in str(write_and_read(tmp_path, **values).failure())


def test_replica_must_be_listed_at_its_address(tmp_path: Path) -> None:
    """The other replicas could not reach a replica at another address."""
    peer = {**PEER, "grpc_address": "127.0.0.1:9"}
    control = {"role": "control", "name": "control-1", "data_folder": "x"}
    wrong = write_and_read(tmp_path, **control, control=[peer])
    assert "control: lists this replica at" in str(wrong.failure())
    assert isinstance(
        write_and_read(tmp_path, **control, control=[PEER]), Success
    )


def test_likely_mistakes_are_warned_of(tmp_path: Path) -> None:
    """Valid settings that are likely mistakes give warnings."""
    settings = write_and_read(
        tmp_path,
        control=[PEER, {**PEER, "name": "control-2"}],
        entries_keep_s=600,
    ).unwrap()
    warnings = "\n".join(settings.warnings())
    assert "survive no more losses" in warnings
    assert "entries: none" in warnings
    assert "a drain lasts at least 600 s" in warnings


def test_reference_page_and_schema_agree() -> None:
    """docs/settings.rst lists exactly the settings, with their defaults."""
    text = (DOCS / "settings.rst").read_text()
    entries = re.findall(r"^``(\w+)`` \((.+)\)$", text, re.MULTILINE)
    assert sorted(name for name, _ in entries) == sorted(SCHEMA["properties"])
    for name, kind in entries:
        if name in SCHEMA["required"]:
            assert kind == "required", name
            continue
        default = msgspec.json.encode(DEFAULTS[name]).decode()
        assert kind == f"default {default}", name


def test_setting_names_end_in_their_units() -> None:
    """The name of each numeric setting ends in its unit."""
    counts = {"http_threads", "entries_answer", "open_files"}
    counts |= {"extra_ratio", "extra_fixed", "warm_up_overage"}
    counts |= {"quota_overage", "quota_slack"}
    for name, schema in SCHEMA["properties"].items():
        kinds = {one.get("type") for one in schema.get("anyOf", [schema])}
        if not {"number", "integer"} & kinds:
            continue
        assert name in counts or name.endswith(("_ms", "_s", "_bytes")), name


@pytest.mark.parametrize("place", ["http_address", "grpc_address"])
def test_address_in_use_is_refused(tmp_path: Path, place: str) -> None:
    """A daemon whose address is in use exits with an error.

    This happens when an operator starts a second daemon on a vm. One line
    names the setting, and exit status 2 says that nothing was started.
    """
    addresses = {
        "http_address": find_free_address(),
        "grpc_address": find_free_address(),
    }
    host, port = addresses[place].split(":")
    with socket.create_server((host, int(port))):
        path = write_settings(tmp_path, **addresses)
        process = start_daemon(path)
        _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    line = err.splitlines()[-1]
    assert line.startswith(f"{path}: {place}: cannot listen on")
    assert "Traceback" not in err


def test_unwritable_data_folder_is_refused(tmp_path: Path) -> None:
    """A replica whose data folder cannot be written does not start.

    A replica that cannot store its vote could vote twice in a term. Here the
    path of the data folder is a file.
    """
    (tmp_path / "data").write_text("not a folder")
    own = {
        "name": "control-1",
        "http_address": find_free_address(),
        "grpc_address": find_free_address(),
    }
    path = write_settings(
        tmp_path,
        role="control",
        data_folder=str(tmp_path / "data"),
        control=[own],
        **own,
    )
    process = start_daemon(path)
    _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    assert f"{path}: data_folder:" in err.splitlines()[-1]
    assert "Traceback" not in err


def test_unknown_cpu_is_refused(tmp_path: Path) -> None:
    """The daemon exits with a line that lists the vm's CPUs."""
    addresses = {
        "http_address": find_free_address(),
        "grpc_address": find_free_address(),
    }
    path = write_settings(tmp_path, cpus=[99999], **addresses)
    process = start_daemon(path)
    _, err = process.communicate(timeout=RUN_S)
    assert process.returncode == 2
    line = err.splitlines()[-1]
    assert line.startswith(f"{path}: cpus: [99999] not among [")


def test_daemon_stays_on_its_cpus(tmp_path: Path) -> None:
    """Every thread is restricted to the CPUs in the settings."""
    cpu = min(os.sched_getaffinity(0))
    addresses = {
        "http_address": find_free_address(),
        "grpc_address": find_free_address(),
    }
    process = start_daemon(write_settings(tmp_path, cpus=[cpu], **addresses))
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


def test_invalid_command_line_prints_the_usage() -> None:
    """The daemon prints its usage and exits with status 2."""
    command = [sys.executable, "-m", "nutmegchute_daemon"]
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 2
    assert "Usage:" in done.stderr


def test_operator_drains_an_entry(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """An operator without a login on the vm drains an entry.

    A key for one branch is refused, since an entry serves the calls of every
    team. A key for all branches stops the daemon with status 0, as SIGTERM
    does.
    """
    address = find_free_address()
    operators = [
        {"name": "ana", "key_sha256": digest("all"), "branches": ["*"]},
        {"name": "bo", "key_sha256": digest("one"), "branches": ["lending"]},
    ]
    path = write_settings(
        tmp_path,
        http_address=address,
        grpc_address=find_free_address(),
        operators=operators,
        entries_keep_s=0.2,
    )
    process = start_daemon(path)
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
    logged = {one["number"]: one for one in events}
    assert logged["NC2012"]["remote"] == "127.0.0.1"
    assert logged["NC1006"]["operator"] == "ana"
    assert logged["NC1006"]["daemon"] == "entry-1"
