"""Simulate the platform's endpoints, operators and clients."""

import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

import msgspec
import urllib3
from nutmegchute_fakes.clusters import find_free_address
from nutmegchute_fakes.partitions import Partitions
from nutmegchute_fakes.reservations import RESERVATIONS

WAIT_S = 30.0
HOST = "a.example"
HEARTBEAT_S = 0.4

POOL = urllib3.PoolManager(retries=False, timeout=5.0)


def wait_for(condition: Callable[[], Any], description: str) -> Any:
    """Wait until a condition holds, and return its value."""
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"not within {WAIT_S} s: {description}")


def send_request(
    method: str, url: str, body: Any = None, **headers: str
) -> Any:
    """Send a request, following two redirects; None if unanswered."""
    fields = {key.replace("_", "-"): one for key, one in headers.items()}
    data = None if body is None else msgspec.json.encode(body)
    answer = None
    for _ in range(3):
        try:
            answer = POOL.request(method, url, body=data, headers=fields)
        except urllib3.exceptions.HTTPError:
            return None
        if answer.status != 307:
            return answer
        url = answer.headers["Location"]
    return answer


class Endpoint:
    """Answer requests as an endpoint of the platform does.

    ``address`` may be that of an endpoint that has ended.
    """

    def __init__(self, instance: str, service: str, address: str = "") -> None:
        self.instance = instance
        self.service = service
        self.ran: Counter[str] = Counter()
        self.mode = "well"
        self.state = "ready"
        self.zone = "surco"
        self.capacity = 3
        # The remaining warm-up on its health page, in milliseconds.
        self.warm_up_ms = 0
        # The Retry-After of an endpoint in mode "rest".
        self.rest = "3"
        # Further headers of its answers.
        self.headers: dict[str, str] = {}
        # Zeros behind the body of its answers.
        self.padding_bytes = 0
        # The sizes of the bodies that it read, by id.
        self.body_sizes: dict[str, int] = {}
        # When requests, health checks included, arrived, by the monotonic
        # clock.
        self.arrivals: list[float] = []
        # The headers of each request that it accepted, in order.
        self.received: list[list[tuple[str, str]]] = []
        # Requests are answered only while it is set.
        self.gate = threading.Event()
        self.gate.set()
        self.sequence = 0
        self.connections: list[socket.socket] = []
        # Returns, for its id, whether a request is rejected.
        self.sheds: Callable[[str], bool] = lambda name: False
        # The requests that were rejected, by status.
        self.rejected: Counter[int] = Counter()
        # Whether each rejection is sent a second time, late: when the next
        # request has arrived on its connection.
        self.repeats_rejections = False
        # Whether load queries get no such second answer.
        self.spares_queries = False
        # The second answers that were sent, by status.
        self.repeated: Counter[int] = Counter()
        # Returns, for path and body, whether a request ends this process.
        self.crashes: Callable[[str, bytes], bool] = lambda path, body: False
        self.crashed = threading.Event()
        host, _, port = (address or find_free_address()).rpartition(":")
        self._server = ThreadingHTTPServer(
            (host, int(port)), _build_handler_class(self)
        )
        self._server.daemon_threads = True
        self.address = f"{host}:{port}"
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def stop(self) -> None:
        """End like a process: close the connections and free the address."""
        self._server.shutdown()
        self._server.server_close()
        for connection in self.connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def send_heartbeat(self, control: str, **values: Any) -> Any:
        """Send a heartbeat of this endpoint to a control address."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "capacity": self.capacity,
            "state": self.state,
            "warmupLeftMs": self.warm_up_ms,
            "sequence": self.sequence,
            **values,
        }
        url = f"http://{control}/Instances.Heartbeat/{self.instance}"
        return send_request("POST", url, body)

    def deregister(self, control: str) -> Any:
        """Deregister this endpoint at a control address."""
        url = f"http://{control}/Instances.Deregister/{self.instance}"
        return send_request("POST", url)


def _build_handler_class(endpoint: Endpoint) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def setup(self) -> None:
            super().setup()
            endpoint.connections.append(self.connection)
            # The rejection that is due a second time on this connection.
            self._repeated: tuple[int, dict[str, str]] | None = None

        def do_GET(self) -> None:  # noqa: N802
            content = self._read_content()
            if self.path != "/healthz" or not endpoint.spares_queries:
                self._send_late_copy()
            if self.path == "/healthz":
                endpoint.arrivals.append(time.monotonic())
                warm_up = str(endpoint.warm_up_ms)
                self._respond(200, b"", Warmup_Ms=warm_up, **endpoint.headers)
                return
            name = self.headers.get("Request-Id", "")
            sheds = endpoint.sheds(name)
            target_instance = self.headers.get("Target-Instance")
            if target_instance != endpoint.instance:
                self._reject(421, **endpoint.headers)
                return
            endpoint.arrivals.append(time.monotonic())
            endpoint.received.append(list(self.headers.items()))
            endpoint.gate.wait(WAIT_S)
            if endpoint.mode == "full" or sheds:
                self._reject(503, **endpoint.headers)
                return
            if endpoint.mode == "rest":
                self._reject(
                    503, Retry_After=endpoint.rest, **endpoint.headers
                )
                return
            endpoint.ran[name] += 1
            endpoint.body_sizes[name] = len(content)
            if endpoint.crashes(self.path, content):
                endpoint.crashed.set()
                self.close_connection = True
                endpoint.stop()
                return
            if endpoint.mode == "lose":
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            if endpoint.mode == "cross":
                name = "somebody-else"
            body = f"{endpoint.instance} {self.path}".encode()
            body += bytes(endpoint.padding_bytes)
            self._respond(
                200,
                body,
                Request_Id=name,
                Server_Signature=endpoint.instance,
                **endpoint.headers,
            )

        do_POST = do_DELETE = do_GET  # noqa: N815

        def _read_content(self) -> bytes:
            if "chunked" not in self.headers.get("Transfer-Encoding", ""):
                length = int(self.headers.get("Content-Length", 0))
                return self.rfile.read(length)
            pieces = []
            while size := int(self.rfile.readline() or b"0", 16):
                pieces.append(self.rfile.read(size))
                self.rfile.readline()
            self.rfile.readline()
            return b"".join(pieces)

        def _reject(self, status: int, **headers: str) -> None:
            endpoint.rejected[status] += 1
            headers["Not_Executed"] = "1"
            name = self.headers.get("Request-Id")
            if name is not None:
                headers["Request_Id"] = name
            self._respond(status, b"", **headers)
            if endpoint.repeats_rejections:
                self._repeated = (status, headers)

        def _send_late_copy(self) -> None:
            if self._repeated is None:
                return
            status, headers = self._repeated
            self._repeated = None
            endpoint.repeated[status] += 1
            self._respond(status, b"", **headers)

        def _respond(self, status: int, body: bytes, **headers: str) -> None:
            self.send_response(status)
            self.send_header("Content-Length", str(len(body)))
            self.send_header("Instance-Id", endpoint.instance)
            self.send_header("Instance-Load", "0,0,3,100")
            for key, value in headers.items():
                self.send_header(key.replace("_", "-"), value)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            pass

    return Handler


class Site:
    """Run control replicas and routers, each on its own loopback address.

    ``partitions`` may cut routers off by their addresses.
    """

    def __init__(
        self,
        folder: Path,
        controls: int,
        routers: int,
        partitions: Partitions | None = None,
    ) -> None:
        self._folder = folder
        self._partitions = partitions
        network = RESERVATIONS.take_network()
        self.controls = [f"{network}.{n}" for n in range(1, controls + 1)]
        self.routers = [f"{network}.{n}" for n in range(101, 101 + routers)]
        self.seeds = self.controls[:3]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Further settings by role, and the limit of open files.
        self.settings: dict[str, dict[str, Any]] = {}
        self.open_files: int | None = None
        self.starts: Counter[str] = Counter()

    def control(self, number: int = 0) -> str:
        """Return the address for operators and endpoints."""
        return f"{self.controls[number]}:7001"

    def router(self, number: int = 0) -> str:
        """Return the address for clients."""
        return f"{self.routers[number]}:7002"

    def start(self, ip: str, founding: bool) -> None:
        """Start the daemon at an address."""
        self.starts[ip] += 1
        role = "control" if ip in self.controls else "router"
        name = self._name(ip)
        settings = {
            "role": role,
            "name": name,
            "availability_zone": "surco",
            "http_address": f"{ip}:{7001 if role == 'control' else 7002}",
            "grpc_address": f"{ip}:7000",
            "statsd_address": None,
            "seeds": [f"{one}:7001" for one in self.seeds],
            "founding": founding,
            "grace_s": 6,
            "http_threads": 12,
        }
        if role == "control":
            settings["directory_address"] = f"{ip}:7003"
            settings["data_folder"] = str(self.data(ip))
        else:
            settings["health_address"] = f"{ip}:7004"
            settings["relay_address"] = f"{ip}:7006"
            settings["metrics_address"] = f"{ip}:7005"
            settings["extra_fixed"] = 60
            settings["probes_per_s"] = 60
        settings.update(self.settings.get(role, {}))
        command = [sys.executable, "-m", "nutmegchute_platform"]
        if self._partitions is not None and role == "router":
            command = self._partitions.build_command(
                ip, "nutmegchute_platform"
            )
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        with self.log(ip).open("ab") as output:
            self.processes[ip] = subprocess.Popen(
                command,
                env={**os.environ, "NUTMEGCHUTE_BOOT": str(path)},
                stdout=output,
                stderr=output,
            )
        if self.open_files is not None:
            limit = (self.open_files, self.open_files)
            pid = self.processes[ip].pid
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)

    def log(self, ip: str) -> Path:
        """Return the log file of a daemon."""
        return self._folder / f"{self._name(ip)}.log"

    def _name(self, ip: str) -> str:
        role = "control" if ip in self.controls else "router"
        return f"{role}-{ip.rpartition('.')[2]}"

    def data(self, ip: str) -> Path:
        """Return the data folder of a control replica."""
        return self._folder / f"data-{ip}"

    def start_all(self) -> None:
        """Start all daemons for the first time."""
        for ip in [*self.controls, *self.routers]:
            self.start(ip, True)

    def kill(self, ip: str) -> None:
        """Kill a daemon and wait until it has ended."""
        process = self.processes.pop(ip)
        process.kill()
        process.wait()

    def signal(self, ip: str, number: int) -> None:
        """Send a signal to a daemon."""
        self.processes[ip].send_signal(number)

    def stop(self) -> None:
        """Kill the daemons that still run."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    def resolve(self, number: int = 0) -> list[str]:
        """Return the addresses of entries that a control replica lists."""
        url = f"http://{self.controls[number]}:7003/resolve"
        answer = send_request(
            "GET", f"{url}?name={HOST}&region=lima&zone=surco"
        )
        if answer is None or answer.status != 200:
            return []
        found: list[str] = answer.json()["addresses"]
        return found

    def post(self, path: str, body: Any, number: int = 0) -> Any:
        """Send an operator's request, following redirects to the leader."""
        return send_request(
            "POST", f"http://{self.control(number)}{path}", body
        )

    def request(
        self,
        path: str,
        name: str,
        number: int = 0,
        method: str = "GET",
        host: str = HOST,
    ) -> Any:
        """Send a client's request to a router."""
        return send_request(
            method,
            f"http://{self.router(number)}{path}",
            Host=host,
            Request_Id=name,
            Deadline_Ms="3000",
        )
