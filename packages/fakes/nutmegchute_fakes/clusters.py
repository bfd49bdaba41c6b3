"""Start and stop a small deployment on loopback, for demo and tests."""

import contextlib
import hashlib
import socket
import subprocess
import sys
import time
from pathlib import Path
from random import SystemRandom
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

READY_S = 20.0
STOP_S = 20.0
LOG_LINES = 12
OPERATOR_KEY = "loopback-operator-key"
PORTS = (10000, 32000)
PORT_TRIES = 1000

_RANDOM = SystemRandom()
_GIVEN: set[int] = set()


class ClusterError(Exception):
    """Say which part of the deployment did not come up or go down."""


class Process:
    """Hold one process of the deployment and its addresses."""

    __slots__ = (
        "_command",
        "_log",
        "_name",
        "_process",
        "address",
        "grpc_address",
    )

    def __init__(
        self, name: str, command: list[str], address: str, log: Path
    ) -> None:
        self._name = name
        self._command = command
        self._log = log
        self.address = address
        self.grpc_address = ""
        self._process = self._start()

    @property
    def name(self) -> str:
        """Name the process."""
        return self._name

    @property
    def pid(self) -> int:
        """Give the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = STOP_S) -> int:
        """Wait for the end and return the exit status."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self.is_running:
            self._process.kill()
        self._process.wait()

    def restart(self) -> None:
        """Start the process again after its end."""
        self._process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log.open("ab") as log:
            return subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )


class Cluster:
    """Start control replicas, entries and fake upstreams."""

    def __init__(self, folder: Path, zones: list[str]) -> None:
        self.folder = folder
        self._zones = zones
        self._pool = urllib3.PoolManager(timeout=2.0, retries=False)
        self.grpc_ports: list[int] = []
        self.peers: list[dict[str, str]] = []
        self.controls: list[Process] = []
        self.entries: list[Process] = []
        self.upstreams: list[Process] = []

    def start(self, controls: int, entries: int, **extra: Any) -> None:
        """Start the daemons and wait until a leader is there.

        ``extra`` goes into the settings of the entries.
        """
        peers = []
        for number in range(1, controls + 1):
            peers.append(
                {
                    "name": f"control-{number}",
                    "grpc_address": free_address(),
                    "http_address": free_address(),
                }
            )
        self.peers = peers
        seeds = [free_address() for _ in range(entries)]
        for address in [*seeds, *(peer["grpc_address"] for peer in peers)]:
            self.grpc_ports.append(int(address.rpartition(":")[2]))
        for number, peer in enumerate(peers):
            self._start_control(number, peer, peers)
        for number, address in enumerate(seeds):
            own = {
                "name": f"entry-{number + 1}",
                "grpc_address": address,
                "http_address": free_address(),
            }
            document = self._settings("entry", number, own, peers)
            document["entries"] = seeds
            document.update(extra)
            self.entries.append(self._daemon(document))
        self.wait_for("a leader", self.leader)
        for entry in self.entries:
            self.wait_for(entry.name, lambda one=entry: self.fetch(one))

    def add_control(self, name: str) -> dict[str, str]:
        """Start a control replica with an empty folder; return its line."""
        own = {
            "name": name,
            "grpc_address": free_address(),
            "http_address": free_address(),
        }
        self._start_control(len(self.controls), own, [*self.peers, own])
        return own

    def add_upstream(self, service: str, **options: Any) -> Process:
        """Start a fake upstream; options become command-line options."""
        address = free_address()
        number = len(self.upstreams)
        command = [
            sys.executable,
            "-m",
            "nutmegchute_fakes.upstreams",
            f"--service={service}",
            f"--address={address}",
            f"--zone={self._zones[number % len(self._zones)]}",
            "--entries=" + ",".join(one.address for one in self.entries),
        ]
        for name, value in options.items():
            command.append(f"--{name.replace('_', '-')}={value}")
        log = self.folder / f"upstream-{number + 1}.log"
        process = Process(f"upstream-{number + 1}", command, address, log)
        self.upstreams.append(process)
        return process

    def fetch(self, process: Process, path: str = "/status") -> Any | None:
        """Ask a process over HTTP; None says that it did not answer."""
        try:
            answer = self._pool.request(
                "GET", f"http://{process.address}{path}"
            )
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)

    def leader(self) -> Process | None:
        """Return the control replica that leads, if one does."""
        for process in self.controls:
            status = self.fetch(process) if process.is_running else None
            if status is not None and status["state"] == "leader":
                return process
        return None

    def wait_for(self, what: str, probe: Any) -> Any:
        """Probe until something true comes back.

        :raises ClusterError: nothing came in READY_S
        """
        deadline = time.monotonic() + READY_S
        while time.monotonic() < deadline:
            found = probe()
            if found:
                return found
            time.sleep(0.05)
        raise ClusterError(
            f"waited {READY_S} s in vain for {what}\n{self._last_words()}"
        )

    def stop(self) -> None:
        """Stop every process, by force where asking does not do."""
        everyone = [*self.upstreams, *self.entries, *self.controls]
        for process in everyone:
            if process.is_running:
                process.signal(15)
        deadline = time.monotonic() + STOP_S
        for process in everyone:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
            process.kill()

    def _last_words(self) -> str:
        lines = []
        for path in sorted(self.folder.glob("*.log")):
            lines.append(f"{path.name}:")
            lines.extend(path.read_text().splitlines()[-LOG_LINES:])
        return "\n".join(lines)

    def _start_control(
        self, number: int, own: dict[str, str], peers: list[dict[str, str]]
    ) -> None:
        self.peers = peers
        document = self._settings("control", number, own, peers)
        document["data_folder"] = str(self.folder / own["name"])
        document["operators"] = [
            {
                "name": "operator",
                "key_sha256": digest(OPERATOR_KEY),
                "branches": ["*"],
            }
        ]
        self.controls.append(self._daemon(document))

    def _settings(
        self, role: str, number: int, own: dict[str, str], peers: list[Any]
    ) -> dict[str, Any]:
        return {
            "role": role,
            "availability_zone": self._zones[number % len(self._zones)],
            "control": peers,
            **own,
        }

    def _daemon(self, document: dict[str, Any]) -> Process:
        name = document["name"]
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
        command = [sys.executable, "-m", "nutmegchute_daemon", str(path)]
        log = self.folder / f"{name}.log"
        process = Process(name, command, document["http_address"], log)
        process.grpc_address = document["grpc_address"]
        return process


def digest(key: str) -> str:
    """Return the digest under which settings keep a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def free_address() -> str:
    """Return a loopback address that nothing listens on.

    Each is given once in a process. The ports lie below those that the
    kernel gives to outgoing connections, so that a daemon which is down
    for a moment finds its port free when it starts again.

    :raises ClusterError: none was free
    """
    for _ in range(PORT_TRIES):
        port = _RANDOM.randrange(*PORTS)
        if port in _GIVEN or not _is_free(port):
            continue
        _GIVEN.add(port)
        return f"127.0.0.1:{port}"
    raise ClusterError("no free port on loopback")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
