"""Start and stop a small deployment on loopback for demo and tests."""

import contextlib
import hashlib
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from .partitions import Partitions
from .reservations import RESERVATIONS

READY_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
LOG_TAIL_LINES = 12
OPERATOR_KEY = "loopback-operator-key"


class ClusterError(Exception):
    """Report that a condition was not met in time."""


class Process:
    """Control one process of the deployment and hold its addresses."""

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
        """Return the name of the process."""
        return self._name

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until the process exits; return its exit status."""
        return self._process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.is_running:
            self._process.kill()
        self._process.wait()

    def restart(self) -> None:
        """Start the process again after it has exited."""
        self._process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log.open("ab") as log:
            return subprocess.Popen(
                self._command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )


class Cluster:
    """Start control replicas, entries and fake upstreams.

    ``partitions`` may cut entries off by their names. ``launcher`` is a
    module that runs the control replicas.
    """

    def __init__(
        self,
        folder: Path,
        zones: list[str],
        partitions: Partitions | None = None,
        launcher: str | None = None,
    ) -> None:
        self.folder = folder
        self._launcher = launcher
        self._partitions = partitions
        self._zones = zones
        self._pool = urllib3.PoolManager(timeout=2.0, retries=False)
        self.grpc_ports: list[int] = []
        self.peers: list[dict[str, str]] = []
        self.controls: list[Process] = []
        self.entries: list[Process] = []
        self.upstreams: list[Process] = []

    def start(self, controls: int, entries: int, **extra: Any) -> None:
        """Start the daemons; wait for a leader and for all entries.

        ``extra`` is added to the settings of the entries.
        """
        peers = []
        for number in range(1, controls + 1):
            peers.append(
                {
                    "name": f"control-{number}",
                    "grpc_address": find_free_address(),
                    "http_address": find_free_address(),
                }
            )
        self.peers = peers
        seeds = [find_free_address() for _ in range(entries)]
        for address in [*seeds, *(peer["grpc_address"] for peer in peers)]:
            self.grpc_ports.append(int(address.rpartition(":")[2]))
        for number, peer in enumerate(peers):
            self._start_control(number, peer, peers)
        for number, address in enumerate(seeds):
            own = {
                "name": f"entry-{number + 1}",
                "grpc_address": address,
                "http_address": find_free_address(),
                "relay_address": find_free_address(),
            }
            document = self._build_settings("entry", number, own, peers)
            document["entries"] = seeds
            document.update(extra)
            self.entries.append(self._start_daemon(document))
        self.wait_for("a leader", self.leader)
        for entry in self.entries:
            self.wait_for(entry.name, lambda one=entry: self.fetch(one))

    def add_control(self, name: str) -> dict[str, str]:
        """Start a replica with an empty folder; return name and addresses."""
        own = {
            "name": name,
            "grpc_address": find_free_address(),
            "http_address": find_free_address(),
        }
        self._start_control(len(self.controls), own, [*self.peers, own])
        return own

    def add_upstream(self, service: str, **options: Any) -> Process:
        """Start a fake upstream; ``options`` are command-line options."""
        address = options.pop("address", None) or find_free_address()
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
        """Return a page decoded from JSON; None when the request fails."""
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
        """Return the control replica that is leader, if there is one."""
        for process in self.controls:
            status = self.fetch(process) if process.is_running else None
            if status is not None and status["state"] == "leader":
                return process
        return None

    def wait_for(self, description: str, condition: Any) -> Any:
        """Call ``condition`` until its result is true; return the result.

        :raises ClusterError: still false after READY_TIMEOUT_S
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(0.05)
        raise ClusterError(
            f"timed out after {READY_TIMEOUT_S} s waiting for {description}\n"
            f"{self._tail_logs()}"
        )

    def stop(self) -> None:
        """Terminate every process; kill those that do not exit in time."""
        processes = [*self.upstreams, *self.entries, *self.controls]
        for process in processes:
            if process.is_running:
                process.signal(15)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in processes:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.1, deadline - time.monotonic()))
            process.kill()

    def _tail_logs(self) -> str:
        lines = []
        for path in sorted(self.folder.glob("*.log")):
            lines.append(f"{path.name}:")
            lines.extend(path.read_text().splitlines()[-LOG_TAIL_LINES:])
        return "\n".join(lines)

    def _start_control(
        self, number: int, own: dict[str, str], peers: list[dict[str, str]]
    ) -> None:
        self.peers = peers
        document = self._build_settings("control", number, own, peers)
        document["data_folder"] = str(self.folder / own["name"])
        document["operators"] = [
            {
                "name": "operator",
                "key_sha256": digest(OPERATOR_KEY),
                "branches": ["*"],
            }
        ]
        self.controls.append(self._start_daemon(document))

    def _build_settings(
        self, role: str, number: int, own: dict[str, str], peers: list[Any]
    ) -> dict[str, Any]:
        return {
            "role": role,
            "availability_zone": self._zones[number % len(self._zones)],
            "control": peers,
            **own,
        }

    def _start_daemon(self, document: dict[str, Any]) -> Process:
        name = document["name"]
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(document)))
        command = [sys.executable, "-m", "nutmegchute_daemon"]
        if self._launcher is not None and document["role"] == "control":
            command.insert(2, self._launcher)
        if self._partitions is not None and document["role"] == "entry":
            command = self._partitions.build_command(
                name, "nutmegchute_daemon"
            )
        command.append(str(path))
        log = self.folder / f"{name}.log"
        process = Process(name, command, document["http_address"], log)
        process.grpc_address = document["grpc_address"]
        return process


def digest(key: str) -> str:
    """Return the SHA-256 digest of a key, as settings hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_free_address() -> str:
    """Return a loopback address with a free port.

    No process of the machine gets the port again while this one lives.

    :raises ReservationError: no port was free
    """
    return f"127.0.0.1:{RESERVATIONS.take_port()}"
