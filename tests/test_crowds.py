"""Test daemons beside clients that do not behave; run one at a time."""

import itertools
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import crowds
import msgspec
import pytest
from crowds import Crowd
from crowds import MB
from crowds import Meter
from crowds import MIB
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import POOL
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for

pytestmark = pytest.mark.crowd

ENTRY_MB = 200
CONTROL_MB = 296
ENTRY_BODY_BYTES = 64 * MIB
CONTROL_BODY_BYTES = 16 * MIB
# Longer than any limit.
DOOR_BYTES = 256 * MIB
ENTRY_THREADS = 12
CONTROL_THREADS = 48
ENTRY_CROWD = 16
SMALL_CROWD = 64
CONTROL_CROWD = 32
OPEN_FILES = 256
CONNECTIONS = 400
ANSWER_BYTES = 16 * MIB
CALL = ["POST", "/loan/1", "Deadline-Ms: 60000"]
FORMS = [
    crowds.known_length,
    crowds.one_chunk,
    crowds.many_chunks,
    crowds.tiny_chunks,
]
NAMES = itertools.count()


def build_configuration(version: int) -> dict[str, Any]:
    """Build the configuration that the site starts with, or a later one."""
    paths = []
    for name, kind in (("loan", "upload"), ("look", "safe")):
        paths.append(
            {
                "name": name,
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": 60000,
                "targetLatencyMs": 300,
                "priority": 1,
                "service": "desk",
                "maxAttempts": 2,
            }
        )
    return {
        "version": version,
        "baseVersion": version - 1,
        "services": [{"name": "desk", "healthPath": "/healthz"}],
        "limits": {"maxBodyBytes": ENTRY_BODY_BYTES, "maxHeaderBytes": 16384},
        "virtualHosts": [{"hostname": HOST, "paths": paths}],
    }


class Deployment:
    """Run one control replica, one router and an endpoint."""

    def __init__(self, folder: Path, open_files: int | None = None) -> None:
        self.site = Site(folder, 1, 1)
        self.site.open_files = open_files
        self.site.settings = {
            "router": {
                "request_body_bytes": ENTRY_BODY_BYTES,
                "http_threads": ENTRY_THREADS,
                "memory_bytes": ENTRY_MB * MB,
            },
            "control": {
                "request_body_bytes": CONTROL_BODY_BYTES,
                "http_threads": CONTROL_THREADS,
                "memory_bytes": CONTROL_MB * MB,
            },
        }
        self.site.start_all()
        self.endpoints = [Endpoint(f"i-{n}", "desk") for n in range(4)]
        for endpoint in self.endpoints:
            endpoint.capacity = 64
        wait_for(partial(self.configure, 1), "the first configuration")
        wait_for(self.announce, "the endpoints announced")
        wait_for(self.call, "a call answered")

    def configure(self, version: int) -> bool:
        """Return whether a configuration is accepted."""
        body = build_configuration(version)
        answer = self.site.post("/Config.Replace", body)
        return answer is not None and answer.status == 200

    def announce(self) -> bool:
        """Return whether the endpoints' announcements are accepted."""
        for endpoint in self.endpoints:
            answer = endpoint.send_heartbeat(self.site.control())
            if answer is None or answer.status != 200:
                return False
        return True

    def call(self) -> bool:
        """Return whether an ordinary call is answered."""
        self.announce()
        answer = self.site.request("/look/1", f"q{next(NAMES)}")
        return answer is not None and answer.status == 200

    def is_running(self) -> bool:
        """Return whether both daemons are running."""
        return all(one.poll() is None for one in self.site.processes.values())

    def measure_entry(self) -> Meter:
        """Measure the router."""
        ip = self.site.routers[0]
        peers = [one.address for one in self.endpoints]
        return Meter(self.site.processes[ip].pid, ip, peers)

    def measure_control(self) -> Meter:
        """Measure the control replica."""
        ip = self.site.controls[0]
        return Meter(self.site.processes[ip].pid, ip)

    def stop(self) -> None:
        """End all processes and endpoints."""
        self.site.stop()
        for endpoint in self.endpoints:
            endpoint.stop()


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Run a deployment with the smallest vms."""
    found = Deployment(tmp_path)
    try:
        yield found
    finally:
        found.stop()


@pytest.fixture
def small_deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Run a deployment with few descriptors."""
    found = Deployment(tmp_path, OPEN_FILES)
    try:
        yield found
    finally:
        found.stop()


def endure(
    deployment: Deployment,
    meter: Meter,
    crowd: Crowd,
    serve: Callable[[], bool],
) -> None:
    """Check that ordinary requests are served beside and after a crowd."""
    try:
        crowd.wait_sent()
        wait_for(serve, "an ordinary request beside the crowd")
    finally:
        crowd.stop()
    wait_for(serve, "an ordinary request after the crowd")
    meter.stop()
    assert deployment.is_running()


def endure_at_entry(deployment: Deployment, crowd: Crowd) -> None:
    """Check the router's memory and service beside and after a crowd."""
    meter = deployment.measure_entry()
    endure(deployment, meter, crowd, deployment.call)
    assert meter.memory_bytes <= ENTRY_MB * MB, f"{meter.peak_mb:.0f} MB"


def endure_at_control(deployment: Deployment, crowd: Crowd) -> None:
    """Check control's memory and service beside and after a crowd."""
    meter = deployment.measure_control()
    versions = itertools.count(2)
    last = [1]

    def serve() -> bool:
        if not deployment.announce():
            return False
        if deployment.configure(last[0] + 1):
            last[0] = next(versions)
            return True
        return False

    endure(deployment, meter, crowd, serve)
    assert meter.memory_bytes <= CONTROL_MB * MB, f"{meter.peak_mb:.0f} MB"


@pytest.mark.parametrize("form", FORMS, ids=lambda one: one.__name__)
def test_entry_bears_unfinished_bodies(
    deployment: Deployment, form: Any
) -> None:
    """Calls whose bodies stop short held 1 GB or all worker threads."""
    pieces = partial(form, CALL, 63 * MIB)
    crowd = Crowd(deployment.site.router(), ENTRY_CROWD, pieces)
    endure_at_entry(deployment, crowd)


@pytest.mark.parametrize("form", FORMS[:2], ids=lambda one: one.__name__)
def test_entry_bears_bodies_of_refused_calls(
    deployment: Deployment, form: Any
) -> None:
    """The unread body of a call that is refused was read as a whole."""
    pieces = partial(form, ["POST", "/nowhere/1"], 63 * MIB)
    crowd = Crowd(deployment.site.router(), ENTRY_CROWD, pieces)
    endure_at_entry(deployment, crowd)


@pytest.mark.parametrize("port", [7004, 7005, 7006])
def test_entry_bears_bodies_at_other_doors(
    deployment: Deployment, port: int
) -> None:
    """The doors for health, metrics and relays accepted bodies of any size."""
    pieces = partial(crowds.known_length, ["POST", "/metrics"], DOOR_BYTES)
    address = f"{deployment.site.routers[0]}:{port}"
    crowd = Crowd(address, ENTRY_CROWD, pieces)
    url = f"http://{deployment.site.routers[0]}:7004/readyz"

    def serve() -> bool:
        answer = send_request("GET", url)
        return deployment.call() and answer is not None

    meter = deployment.measure_entry()
    endure(deployment, meter, crowd, serve)
    assert meter.memory_bytes <= ENTRY_MB * MB, f"{meter.peak_mb:.0f} MB"


def test_entry_bears_unfinished_heads(deployment: Deployment) -> None:
    """Heads that do not end held all worker threads."""
    head = crowds.build_head(*CALL, "X-Padding: " + "x" * 15000)[:-4]
    crowd = Crowd(deployment.site.router(), SMALL_CROWD, lambda: [head])
    endure_at_entry(deployment, crowd)


def test_entry_bears_silent_connections(deployment: Deployment) -> None:
    """Connections without a request held all worker threads."""
    crowd = Crowd(deployment.site.router(), SMALL_CROWD, list)
    endure_at_entry(deployment, crowd)


def test_entry_bears_unread_answers(deployment: Deployment) -> None:
    """Long answers that clients do not read held all worker threads."""
    for endpoint in deployment.endpoints:
        endpoint.padding_bytes = ANSWER_BYTES
    head = crowds.build_head("GET", "/look/1", "Request-Id: q")
    crowd = Crowd(
        deployment.site.router(), ENTRY_CROWD, lambda: [head], reads=False
    )
    endure_at_entry(deployment, crowd)


def test_entry_keeps_descriptors_free(small_deployment: Deployment) -> None:
    """Idle connections took all descriptors, those to endpoints included."""
    deployment = small_deployment
    meter = deployment.measure_entry()
    crowd = Crowd(deployment.site.router(), CONNECTIONS, list)
    endure(deployment, meter, crowd, deployment.call)
    assert meter.open_files < OPEN_FILES


@pytest.mark.parametrize("form", FORMS[:3], ids=lambda one: one.__name__)
@pytest.mark.parametrize(
    "path", ["/Config.Replace", "/Instances.Heartbeat/i-1", "/changes"]
)
def test_control_bears_unfinished_bodies(
    deployment: Deployment, path: str, form: Any
) -> None:
    """Bodies that stop short at the address for operators held 568 MB."""
    pieces = partial(form, ["POST", path], CONTROL_BODY_BYTES)
    crowd = Crowd(deployment.site.control(), CONTROL_CROWD, pieces)
    endure_at_control(deployment, crowd)


def test_control_bears_bodies_at_the_directory(
    deployment: Deployment,
) -> None:
    """The directory read bodies of any size as a whole."""
    pieces = partial(crowds.known_length, ["POST", "/resolve"], DOOR_BYTES)
    address = f"{deployment.site.controls[0]}:7003"
    crowd = Crowd(address, CONTROL_CROWD, pieces)
    meter = deployment.measure_control()
    endure(deployment, meter, crowd, lambda: bool(deployment.site.resolve()))
    assert meter.memory_bytes <= CONTROL_MB * MB, f"{meter.peak_mb:.0f} MB"


def test_control_keeps_descriptors_free(small_deployment: Deployment) -> None:
    """Idle connections took the descriptors of the disk and of peers."""
    deployment = small_deployment
    meter = deployment.measure_control()
    crowd = Crowd(deployment.site.control(), CONNECTIONS, list)
    endure(deployment, meter, crowd, partial(deployment.configure, 2))
    assert meter.open_files < OPEN_FILES


@pytest.mark.parametrize("value", [b"[]", b"{}"])
def test_control_bears_bodies_of_many_values(
    deployment: Deployment, value: bytes
) -> None:
    """A body of 15 MB that held only empty lists took 440 MB when decoded."""
    meter = deployment.measure_control()
    values = b",".join([value] * 5000000)
    document = msgspec.json.encode(build_configuration(2))
    body = document.replace(
        b'"services":[{', b'"services":[{"x":[%s],' % values
    )
    url = f"http://{deployment.site.control()}/Config.Replace"
    assert POOL.request("POST", url, body=body, timeout=60.0).status == 413
    assert deployment.configure(2)
    meter.stop()
    assert deployment.is_running()
    assert meter.memory_bytes <= CONTROL_MB * MB, f"{meter.peak_mb:.0f} MB"


@pytest.mark.parametrize("form", FORMS[:3], ids=lambda one: one.__name__)
def test_entry_bears_unfinished_bodies_with_a_key(
    tmp_path: Path, form: Any
) -> None:
    """Bodies with idempotency keys, which are held whole, held 596 MB."""
    cluster = Cluster(tmp_path, ["surco"])
    try:
        cluster.start(
            controls=1,
            entries=1,
            request_body_bytes=CONTROL_BODY_BYTES,
            memory_bytes=ENTRY_MB * MB,
        )
        controls = [process.address for process in cluster.controls]
        declaration = build_declaration(3000)
        apply_declaration(tmp_path, declaration, controls, OPERATOR_KEY)
        cluster.add_upstream("prestamos")
        (entry,) = cluster.entries
        meter = Meter(entry.pid, entry.address)
        head = ["POST", "/call/prestamos/loans", "Idempotency-Key: crowd"]
        pieces = partial(form, head, CONTROL_BODY_BYTES)
        crowd = Crowd(entry.address, CONTROL_CROWD, pieces)

        def serve() -> bool:
            key = f"k{next(NAMES)}"
            url = f"http://{entry.address}/call/prestamos/loans"
            headers = {"X-Request-Id": key, "Idempotency-Key": key}
            answer = POOL.request("POST", url, body=b"x", headers=headers)
            return answer.status == 200

        try:
            crowd.wait_sent()
            wait_for(serve, "an ordinary loan beside the crowd")
        finally:
            crowd.stop()
        wait_for(serve, "an ordinary loan after the crowd")
        meter.stop()
        assert entry.is_running
        assert meter.memory_bytes <= ENTRY_MB * MB, f"{meter.peak_mb:.0f} MB"
    finally:
        cluster.stop()


@pytest.mark.parametrize("chunked", [False, True])
def test_entry_serves_the_largest_bodies(
    deployment: Deployment, chunked: bool
) -> None:
    """Serve bodies of the largest size, alone and two at once."""
    meter = deployment.measure_entry()
    body = bytes(ENTRY_BODY_BYTES)
    for members in (1, 2):
        names = [f"big-{chunked}-{members}-{n}" for n in range(members)]
        address = deployment.site.router()
        sends = [
            partial(crowds.upload, address, name, body, chunked)
            for name in names
        ]
        assert crowds.run_at_once(sends) == [200] * members
        sizes: dict[str, int] = {}
        for endpoint in deployment.endpoints:
            sizes.update(endpoint.body_sizes)
        assert [sizes[name] for name in names] == [len(body)] * members
    meter.stop()
    assert meter.memory_bytes <= ENTRY_MB * MB, f"{meter.peak_mb:.0f} MB"


@pytest.mark.parametrize("chunked", [False, True])
def test_control_serves_the_largest_bodies(
    deployment: Deployment, chunked: bool
) -> None:
    """Accept a configuration of the largest size."""
    meter = deployment.measure_control()
    body = crowds.pad_document(build_configuration(2), CONTROL_BODY_BYTES)
    address = deployment.site.control()
    url = f"http://{address}/Config.Replace"
    headers = {"Transfer-Encoding": "chunked"} if chunked else {}
    data = iter([body]) if chunked else body
    answer = POOL.request("POST", url, body=data, headers=headers)
    assert answer.status == 200, answer.data
    meter.stop()
    assert meter.memory_bytes <= CONTROL_MB * MB, f"{meter.peak_mb:.0f} MB"
    wait_for(deployment.call, "a call after the change")
