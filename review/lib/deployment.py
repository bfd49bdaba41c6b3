"""Start the daemons of a small deployment on loopback addresses.

The processes are started with the command of the deploy file, with settings
like those that its templates render for the site named in claim.txt.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-OO", "-m", "nutmegchute_platform"]
HOST = "case.example"
ZONES = ["miraflores", "san-isidro", "surco"]
REGION = "lima"


class CannotRunError(Exception):
    """Report that the case could not be run."""


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, text):
        with self._lock:
            at = time.monotonic() - self._started
            self._file.write(f"{at:9.3f} {text}\n")
            self._file.flush()

    def close(self):
        with self._lock:
            self._file.close()


def free_network():
    """Return a /24 prefix of loopback addresses on which ports are free."""
    for _ in range(200):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        taken = False
        for port in (7000, 7001, 7002, 7003, 7004, 7006):
            for host in (1, 101):
                with socket.socket() as probe:
                    try:
                        probe.bind((f"{prefix}.{host}", port))
                    except OSError:
                        taken = True
        if not taken:
            return prefix
    raise CannotRunError("no free loopback addresses")


class Deployment:
    """Run control replicas and routers as separate processes."""

    def __init__(self, record, controls=3, routers=3, bounds=None):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.prefix = free_network()
        self.controls = [f"{self.prefix}.{n}" for n in range(1, controls + 1)]
        self.routers = [
            f"{self.prefix}.{100 + n}" for n in range(1, routers + 1)
        ]
        self.bounds = {
            "graceS": 6,
            "ttl_max_s": 5,
            "budgetRatio": 0.2,
            "budgetExtraTries": 62,
            "probesPerS": 60,
            **(bounds or {}),
        }
        self.processes = {}
        self._logs = []

    def control(self, number=0):
        return f"{self.controls[number]}:7001"

    def directory(self, number=0):
        return f"{self.controls[number]}:7003"

    def router(self, number=0):
        return f"{self.routers[number]}:7002"

    def ready(self, number=0):
        return f"{self.routers[number]}:7004"

    def settings(self, ip, founding):
        is_control = ip in self.controls
        listed = self.controls if is_control else self.routers
        index = listed.index(ip)
        bounds = self.bounds
        found = {
            "role": "control" if is_control else "router",
            "name": f"{'core' if is_control else 'front'}-{index + 1}",
            "region": REGION,
            "availability_zone": ZONES[index % len(ZONES)],
            "grpc_address": f"{ip}:7000",
            "metrics_address": f"{ip}:9464",
            "statsd_address": None,
            "seeds": [f"{one}:7001" for one in self.controls[:3]],
            "grace_s": bounds["graceS"],
        }
        for name, key in (
            ("quotaWindowS", "quota_window_s"),
            ("quotaOverage", "quota_overage"),
            ("quotaSlack", "quota_slack"),
        ):
            if name in bounds:
                found[key] = bounds[name]
        if is_control:
            found["http_address"] = f"{ip}:7001"
            found["directory_address"] = f"{ip}:7003"
            found["data_folder"] = str(self.folder / f"data-{index + 1}")
            found["founding"] = founding
            found["entries_keep_s"] = bounds["ttl_max_s"]
            found["request_body_bytes"] = 16777216
            return found
        found["http_address"] = f"{ip}:7002"
        found["health_address"] = f"{ip}:7004"
        found["relay_address"] = f"{ip}:7006"
        found["extra_ratio"] = bounds["budgetRatio"]
        found["extra_fixed"] = bounds["budgetExtraTries"]
        found["probes_per_s"] = bounds["probesPerS"]
        found["link_mbit_per_s"] = 1000.0
        found["request_body_bytes"] = 67108864
        return found

    def start(self, ip, founding=False):
        settings = self.settings(ip, founding)
        path = self.folder / f"{settings['name']}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        log = open(self.folder / f"{settings['name']}.log", "ab")
        self._logs.append(log)
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "NUTMEGCHUTE_BOOT": str(path),
        }
        self.processes[ip] = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.write(f"start {settings['name']}")

    def start_all(self):
        if not (ROOT / "target" / "deps" / "nutmegchute_platform").exists():
            raise CannotRunError("the deploy file has not been built")
        for ip in [*self.controls, *self.routers]:
            self.start(ip, founding=True)

    def log_of(self, ip):
        name = self.settings(ip, False)["name"]
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def signal(self, ip, number):
        self.record.write(f"signal {signal.Signals(number).name} to {ip}")
        self.processes[ip].send_signal(number)

    def kill(self, ip):
        self.record.write(f"kill {ip}")
        process = self.processes.pop(ip)
        process.kill()
        process.wait()

    def ended(self):
        """Return the daemons that ended by themselves."""
        return {
            ip: one.returncode
            for ip, one in self.processes.items()
            if one.poll() is not None
        }

    def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self._logs:
            log.close()
        self._folder.cleanup()


class Answer:
    """Hold an answer; status 0 means that the connection ended first."""

    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


def read_answer(file, method="GET"):
    """Read one answer with a strict reader of HTTP/1.1."""
    line = file.readline(65536)
    if not line.startswith(b"HTTP/1."):
        return Answer()
    status = int(line.split()[1])
    headers = {}
    while True:
        line = file.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if status == 100:
        return read_answer(file, method)
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers, b"", True)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size_line = file.readline(1024)
            if not size_line.strip():
                return Answer(status, headers, b"".join(parts), False)
            size = int(size_line.split(b";")[0], 16)
            if size == 0:
                while file.readline(65536) not in (b"\r\n", b"\n", b""):
                    pass
                return Answer(status, headers, b"".join(parts), True)
            piece = file.read(size)
            parts.append(piece)
            if len(piece) < size:
                return Answer(status, headers, b"".join(parts), False)
            file.readline(16)
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = file.read(length) if length else b""
        return Answer(status, headers, body, len(body) == length)
    body = file.read()
    return Answer(status, headers, body, True)


def open_connection(address, timeout=1.0):
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def http(method, address, path, body=None, headers=None, timeout=5.0):
    """Send one request on a new connection; status 0 if it has no answer."""
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    if body is not None:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(data)}")
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    try:
        with open_connection(address, min(1.0, timeout)) as sock:
            sock.settimeout(timeout)
            sock.sendall(head + data)
            with sock.makefile("rb") as file:
                return read_answer(file, method)
    except (OSError, ValueError):
        return Answer()


def order(deployment, method, path, body=None, timeout_s=15.0):
    """Send an operator's order until it gets a clear answer."""
    deadline = time.monotonic() + timeout_s
    number = 0
    pause = 0.05
    last = Answer()
    while time.monotonic() < deadline:
        address = deployment.control(number % len(deployment.controls))
        number += 1
        for _ in range(3):
            last = http(method, address, path, body, timeout=1.0)
            if last.status != 307:
                break
            target = last.headers.get("location", "")
            address = target.removeprefix("http://").partition("/")[0]
        if last.status in (200, 400, 409, 412, 413, 422):
            return last
        time.sleep(pause)
        pause = min(0.5, pause * 1.5)
    return last


def route(name, kind, service, **values):
    return {
        "name": f"r-{name}",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **values,
    }


def configuration(version, base, services, routes, **values):
    return {
        "version": f"r{version}",
        "baseVersion": f"r{base}" if base else 0,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 260,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"hostname": HOST, "paths": routes}],
        **values,
    }


def wait_until(condition, what, timeout_s=20.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise CannotRunError(f"not within {timeout_s} s: {what}")
