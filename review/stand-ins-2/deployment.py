"""Run a small deployment on loopback with the commands of the deploy file.

The processes are started as ``deploy/system.toml`` says: its ``run`` command
at the repository root, ``target/deps`` on ``PYTHONPATH``, and a settings file
rendered from the role's template. Each machine has a loopback address of its
own, with the same ports everywhere.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
# After this time a case ends as one that could not run.
LIMIT_S = 114.0

FRONT, READINESS, CONTROL, DIRECTORY = 8144, 8140, 8146, 8142
INTERNAL = (7660, 7675)

SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


class NotRunError(Exception):
    """Report why a case could not run."""


class Record:
    """Write what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self._begun = time.monotonic()
        self.write(f"machine {os.uname().machine}, TROUBLE={int(TROUBLE)}")

    def write(self, line):
        now = time.monotonic() - self._begun
        with self._lock:
            self._file.write(f"{now:8.3f} {line}\n")
            self._file.flush()


def _look_up(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        else:
            value = value.get(part) if value is not None else None
    return value


def render(text, fields):
    """Fill in the placeholders that the project's templates use."""

    def section(found):
        value = _look_up(fields, found[1])
        if value is None or value is False:
            return ""
        items = value if isinstance(value, list) else [value]
        parts = []
        for number, item in enumerate(items):
            comma = "," if number < len(items) - 1 else ""
            part = found[2].replace("{{,}}", comma)
            parts.append(part.replace("{{.}}", str(item)))
        return "".join(parts)

    def value(found):
        one = _look_up(fields, found[1])
        if found[2]:
            return json.dumps(one)
        return "" if one is None else str(one)

    return VALUE.sub(value, SECTION.sub(section, text))


def free_network():
    """Return the first three parts of a loopback network not in use."""
    for _ in range(200):
        network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 2, 3, 101, 102, 103):
                for port in (FRONT, CONTROL, INTERNAL[0], INTERNAL[1]):
                    with socket.socket() as one:
                        one.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        one.bind((f"{network}.{host}", port))
        except OSError:
            continue
        return network
    raise NotRunError("no free loopback network")


class Deployment:
    """Start, signal and stop the control replicas and the routers."""

    started = []

    def __init__(self, record, controls=3, routers=2, limits=None, bounds=None):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="nutmegchute-case-"))
        self.network = free_network()
        self.controls = [f"{self.network}.{n}" for n in range(1, controls + 1)]
        self.routers = [
            f"{self.network}.{n}" for n in range(101, 101 + routers)
        ]
        self.limits = limits or {}
        self.bounds = {
            "graceS": 6,
            "ttl_max_s": 5,
            "budgetRatio": 0.2,
            "budgetExtraTries": 62,
            "probesPerS": 60,
            **(bounds or {}),
        }
        self.zones = ["miraflores", "san-isidro", "surco"]
        self.processes = {}
        self.started.append(self)
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        if not (ROOT / "target/deps").is_dir():
            raise NotRunError("target/deps is missing: build first")

    def zone(self, ip):
        """Return the zone of a machine: the machines take turns."""
        return self.zones[(int(ip.rpartition(".")[2]) - 1) % 100 % 3]

    def start(self, ip, bootstrap):
        """Start the process of a machine."""
        is_control = ip in self.controls
        role = self._roles["control" if is_control else "router"]
        data = self.folder / f"data-{ip}"
        fields = {
            "nodeName": ("core-" if is_control else "front-")
            + ip.rpartition(".")[2],
            "region": "lima",
            "zone": self.zone(ip),
            "ip": ip,
            "bootstrap": bootstrap,
            "dataDir": str(data) if is_control else None,
            "internalPortRange": list(INTERNAL),
            "seeds": [f"{one}:{CONTROL}" for one in self.controls[:3]],
            "listen": {
                "front": f"{ip}:{FRONT}",
                "readiness": f"{ip}:{READINESS}",
                "control": f"{ip}:{CONTROL}",
                "directory": f"{ip}:{DIRECTORY}",
            },
            "limits": {"memoryMb": 300, "maxFds": 4096, **self.limits},
            "bounds": self.bounds,
        }
        path = self.folder / f"boot-{ip}.json"
        path.write_text(render((ROOT / role["template"]).read_text(), fields))
        if is_control:
            data.mkdir(exist_ok=True)
        log = open(self.folder / f"log-{ip}", "ab")
        keep = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in keep if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["NUTMEGCHUTE_BOOT"] = str(path)
        self.processes[ip] = subprocess.Popen(
            role["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self.record.write(f"start {fields['nodeName']}")

    def start_all(self):
        """Start all machines for the first time."""
        for ip in [*self.controls, *self.routers]:
            self.start(ip, True)

    def signal(self, ip, number):
        """Send a signal to the process of a machine."""
        name = signal.Signals(number).name
        self.record.write(f"{name} to {ip.rpartition('.')[2]}")
        self.processes[ip].send_signal(number)

    def kill(self, ip):
        """Kill the process of a machine."""
        self.signal(ip, signal.SIGKILL)
        self.processes.pop(ip).wait()

    def stop(self):
        """End all processes that were started, and remove their files."""
        for process in list(self.processes.values()):
            process.kill()
        for process in list(self.processes.values()):
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """Hold an answer as it was read: its status, headers and body.

    ``is_whole`` says whether its framing shows that it is complete.
    """

    def __init__(self, status, headers, body, is_whole, detail=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.detail = detail

    def __str__(self):
        whole = "whole" if self.is_whole else "not whole"
        return f"{self.status} {len(self.body)} B {whole} {self.detail}".strip()


def read_answer(sock):
    """Read one answer; one that is cut is returned as not whole."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            piece = sock.recv(65536)
            if not piece:
                return Answer(0, {}, b"", False, "closed before an answer")
            data += piece
    except OSError as error:
        return Answer(0, {}, b"", False, repr(error))
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    if status == 100:
        raise NotRunError("interim answer")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = bytearray()

    def more():
        nonlocal rest
        piece = sock.recv(65536)
        if not piece:
            raise EOFError("closed within the body")
        rest += piece

    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            while True:
                while b"\r\n" not in rest:
                    more()
                line, _, rest = rest.partition(b"\r\n")
                size = int(line, 16)
                while len(rest) < size + 2:
                    more()
                body += rest[:size]
                rest = rest[size + 2 :]
                if not size:
                    return Answer(status, headers, bytes(body), True)
        length = int(headers["content-length"])
        while len(rest) < length:
            more()
        return Answer(status, headers, rest[:length], True)
    except (OSError, EOFError) as error:
        return Answer(status, headers, bytes(body) + rest, False, repr(error))


def exchange(address, method, path, headers, body=b"", timeout_s=5.0):
    """Send one request on a new connection and read its answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode()
    try:
        sock = socket.create_connection((host, int(port)), timeout_s)
    except OSError as error:
        return Answer(0, {}, b"", False, f"no connection: {error!r}")
    with sock:
        sock.settimeout(timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            sock.sendall(head + body)
        except OSError:
            pass
        return read_answer(sock)


class Operator:
    """Send orders as the operator does: again until there is an answer."""

    FINAL = (200, 400, 409, 412, 413, 422)

    def __init__(self, deployment):
        self._deployment = deployment
        self.record = deployment.record
        # The machine that acknowledged last; orders go to it first.
        self.last_acknowledged = None

    def order(self, path, document=None, within_s=15.0, first=0):
        """Send an order until it has a clear answer; return its status."""
        body = b"" if document is None else json.dumps(document).encode()
        end = time.monotonic() + within_s
        number = first
        controls = list(self._deployment.controls)
        if self.last_acknowledged is not None:
            number = controls.index(self.last_acknowledged)
        while time.monotonic() < end:
            address = f"{controls[number % len(controls)]}:{CONTROL}"
            number += 1
            answer = self.send(address, path, body)
            if answer.status in self.FINAL:
                return answer.status
            time.sleep(0.1)
        raise NotRunError(f"no clear answer to {path}")

    def read(self, address):
        """Read the configuration at one daemon, following two redirects."""
        for _ in range(3):
            headers = {"Host": address}
            answer = exchange(
                address, "GET", "/Config.Read", headers, b"", 3.0
            )
            self.record.write(f"read at {address}: {answer}")
            if answer.status != 307:
                break
            location = answer.headers["location"]
            address = location.removeprefix("http://").partition("/")[0]
        return answer

    def send(self, address, path, body=b""):
        """Send an order to one daemon, following two redirects."""
        for _ in range(3):
            headers = {"Host": address, "Content-Type": "application/json"}
            # More than a second where the body is large.
            timeout_s = 1.0 + len(body) / 100_000
            answer = exchange(address, "POST", path, headers, body, timeout_s)
            self.record.write(f"order {path} to {address}: {answer}")
            if answer.status == 200:
                self.last_acknowledged = address.partition(":")[0]
            if answer.status != 307:
                break
            location = answer.headers["location"]
            address = location.removeprefix("http://").partition("/")[0]
        return answer


class Heartbeats:
    """Send the heartbeats of endpoints, each 1.5 s, to any daemon."""

    def __init__(self, deployment, endpoints):
        self._deployment = deployment
        self._stop = threading.Event()
        self._threads = []
        for endpoint in endpoints:
            self.add(endpoint)

    def add(self, endpoint):
        """Begin the heartbeats of an endpoint."""
        thread = threading.Thread(
            target=self._run, args=(endpoint,), daemon=True
        )
        thread.start()
        self._threads.append(thread)

    def beat(self, endpoint, control):
        """Send one heartbeat and return its answer."""
        endpoint.sequence += 1
        body = {
            "service": endpoint.service,
            "address": endpoint.address,
            "zone": endpoint.zone,
            "version": "v1",
            "capacity": endpoint.capacity,
            "state": endpoint.state,
            "warmupLeftMs": 0,
            "sequence": endpoint.sequence,
        }
        path = f"/Instances.Heartbeat/{endpoint.instance}"
        headers = {"Host": control, "Content-Type": "application/json"}
        return exchange(
            control, "POST", path, headers, json.dumps(body).encode(), 1.0
        )

    def _run(self, endpoint):
        number = 0
        controls = self._deployment.controls
        wait_s = 0.0
        while not self._stop.wait(wait_s) and not endpoint.is_gone:
            wait_s = 1.5
            for _ in controls:
                control = f"{controls[number % len(controls)]}:{CONTROL}"
                if self.beat(endpoint, control).status == 200:
                    break
                number += 1

    def stop(self):
        """Stop all heartbeats."""
        self._stop.set()


class Endpoint:
    """Answer requests as the platform's endpoints do.

    ``faults`` maps the id of a request to a function that is called with the
    connection and the request once the head and ``fault_after`` bytes of the
    body were read; it returns after it has closed the connection.
    """

    def __init__(self, record, network, number, service, zone, work_s=0.05):
        self.record = record
        self.instance = f"i-{service}-{number}"
        self.service = service
        self.zone = zone
        self.capacity = 4
        self.state = "ready"
        self.sequence = 0
        self.is_gone = False
        self.work_s = work_s
        self.faults = {}
        self.ran = []
        self._server = socket.socket()
        self._server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._server.bind((f"{network}.{150 + number}", 0))
        self._server.listen(512)
        host, port = self._server.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._server.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True
            ).start()

    def _serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        file = conn.makefile("rb")
        try:
            while self._serve_one(conn, file):
                continue
        except (OSError, ValueError):
            pass
        finally:
            file.close()
            conn.close()

    def _serve_one(self, conn, file):
        line = file.readline().decode("latin-1")
        if not line:
            return False
        method, path, _ = line.split(" ", 2)
        headers = {}
        while (field := file.readline()) not in (b"\r\n", b""):
            name, _, value = field.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        name = headers.get("request-id", "")
        fault = self.faults.get(name)
        if fault is not None:
            return fault(self, conn, file, method, path, headers)
        body = self.read_body(file, headers)
        if path == "/healthz":
            self.answer(conn, 200, name, b"", signed=False)
            return True
        if headers.get("target-instance") not in (None, self.instance):
            self.answer(
                conn, 421, name, b"", signed=False, extra="Not-Executed: 1\r\n"
            )
            return True
        self.note_run(name, method, path, len(body), headers)
        time.sleep(self.work_s)
        self.answer(conn, 200, name, f"{self.instance} {path}".encode())
        return True

    def note_run(self, name, method, path, size, headers):
        """Record that a request has begun to run."""
        self.ran.append((time.monotonic(), name))
        self.record.write(
            f"{self.instance} runs {name} {method} {path} {size} B body"
        )

    def read_body(self, file, headers):
        """Read a request's body."""
        if "chunked" in headers.get("transfer-encoding", ""):
            pieces = []
            while size := int(file.readline(), 16):
                pieces.append(file.read(size))
                file.readline()
            file.readline()
            return b"".join(pieces)
        length = int(headers.get("content-length", 0))
        body = file.read(length)
        if len(body) < length:
            raise ValueError("body was cut")
        return body

    def answer(self, conn, status, name, body, signed=True, extra=""):
        """Write an answer with a length."""
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += f"Instance-Id: {self.instance}\r\nInstance-Load: 0,0,4,100\r\n"
        if name:
            head += f"Request-Id: {name}\r\n"
        if signed:
            head += f"Server-Signature: {self.instance}.{name}\r\n"
        conn.sendall((head + extra + "\r\n").encode() + body)

    def stop(self):
        """Stop accepting connections."""
        self.is_gone = True
        self._server.close()


def build_route(name, service, kind, timeout_ms=3000, **values):
    """Build a route of a configuration."""
    return {
        "name": name,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **values,
    }


def build_configuration(version, base, host, services, routes):
    """Build a whole configuration."""
    return {
        "version": f"r{version}",
        "baseVersion": f"r{base}",
        "services": [
            {
                "name": one,
                "healthPath": "/healthz",
                "maxConnections": 260,
                "protocol": "h1",
                "tls": False,
            }
            for one in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"hostname": host, "paths": routes}],
    }


def wait_until(condition, what, within_s=20.0):
    """Wait until a condition holds."""
    end = time.monotonic() + within_s
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.1)
    raise NotRunError(f"not within {within_s} s: {what}")


def _give_up(record, reason):
    """End all processes and the case itself."""
    record.write(f"could not run: {reason}")
    for site in Deployment.started:
        site.stop()
    os._exit(NOT_RUN)


def run(folder, case):
    """Run a case and exit with its result."""
    record = Record(folder)
    result = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: _give_up(record, "SIGTERM"))
    timer = threading.Timer(LIMIT_S, _give_up, (record, "out of time"))
    timer.daemon = True
    timer.start()
    try:
        result = case(record)
    except NotRunError as error:
        record.write(f"could not run: {error}")
    record.write(f"exit {result}")
    print(f"exit {result}")
    os._exit(result)
