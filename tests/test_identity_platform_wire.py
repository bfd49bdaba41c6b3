"""Test over loopback that tenants are identified by their keys."""

import http.client
import itertools
import json
import re
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for
from test_platform_wire import build_configuration
from test_platform_wire import build_route
from test_platform_wire import HeartbeatSender
from test_platform_wire import LOAN
from test_platform_wire import LOOK

NAMES = itertools.count()
KEY = "k1-cusco-0123456789abcdef"
SECOND = "k2-cusco-fedcba9876543210"
OTHER = "k3-lima-00112233445566"
LATER = "k4-lima-66554433221100"
UNKNOWN = "k9-nobody-aabbccddeeff"
ACCENTED = "k5-cusco-canción-à"
KEYS = (KEY, SECOND, OTHER, LATER, UNKNOWN, ACCENTED)
OPEN = build_route("open", "safe", allowAnonymous=True)
SLOW = build_route("slow", "unsafe", timeoutMs=8000)
CALLERS = 4
GUESSES = 1000
LOG_S = 2.0
MEMORY_BYTES = 8_000_000
# Longer than an unknown key is denied after the last contact with control.
OUTDATED_S = 2.5

Headers = list[tuple[str, str]]


class Deployment:
    """Run a control replica, a router and an endpoint with tenants."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.version = 0
        self.site = Site(folder, 1, 1)
        self.site.start_all()
        self.desk = Endpoint("i-1", "desk")
        # One request at a time; the others wait at the router.
        self.desk.capacity = 1
        self._heartbeats = HeartbeatSender(self.site, self.desk)

    def stop(self) -> None:
        """Stop the daemons and the endpoint."""
        self._heartbeats.stop()
        self.site.stop()
        self.desk.stop()

    def replace(self, tenants: Any) -> None:
        """Replace the configuration and wait until the router has it."""
        body = build_configuration(
            self.version + 1, self.version, LOAN, LOOK, OPEN, SLOW
        )
        if tenants is not None:
            body["tenants"] = tenants
        wait_for(partial(self._is_accepted, "/Config.Replace", body), "200")
        self._wait_in_force()

    def update(self, *tenants: Any, remove: tuple[str, ...] = ()) -> None:
        """Change tenants by name and wait until the router has them."""
        body = {
            "version": f"r{self.version + 1}",
            "baseVersion": f"r{self.version}",
            "upsert": {"tenants": list(tenants)},
            "remove": {"tenants": list(remove)},
        }
        wait_for(partial(self._is_accepted, "/Config.Update", body), "200")
        self._wait_in_force()

    def send(
        self, headers: Headers, path: str = "/look/1", method: str = "GET"
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request on a new connection; return the answer."""
        connection = self.connect()
        try:
            return exchange(connection, headers, path, method)
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        """Open a connection to the router."""
        return http.client.HTTPConnection(self.site.router(), timeout=20)

    def received(self) -> Headers:
        """Return the headers that the endpoint received last."""
        return self.desk.received[-1]

    def read_log(self) -> str:
        """Return what the daemons have logged."""
        texts = [path.read_text() for path in self.folder.glob("*.log")]
        return "\n".join(texts)

    def _is_accepted(self, path: str, body: Any) -> bool:
        answer = self.site.post(path, body)
        return answer is not None and answer.status == 200

    def _wait_in_force(self) -> None:
        self.version += 1
        wait_for(self._has_version, f"r{self.version} at the router")

    def _has_version(self) -> bool:
        path = self.folder / f"router-{self.site.routers[0].split('.')[-1]}"
        log = path.with_suffix(".log").read_text()
        applied = re.findall(r'"revisions": ?\{"platform": ?(\d+)', log)
        return bool(applied) and int(applied[-1]) >= self.version


def exchange(
    connection: http.client.HTTPConnection,
    headers: Headers,
    path: str = "/look/1",
    method: str = "GET",
) -> tuple[int, dict[str, str], bytes]:
    """Send a request; return status, headers and body of the answer."""
    connection.putrequest(method, path, skip_host=True)
    fields = [("Host", HOST), ("Request-Id", f"i{next(NAMES)}")]
    fields += [("Deadline-Ms", "8000"), *headers]
    for name, value in fields:
        connection.putheader(name, value.encode())
    connection.endheaders()
    answer = connection.getresponse()
    return answer.status, dict(answer.getheaders()), answer.read()


def bearer(key: str, scheme: str = "Bearer") -> Headers:
    """Build the headers of a caller that has a key."""
    return [("Authorization", f"{scheme} {key}")]


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Build a tenant with keys."""
    return {"name": name, "apiKeys": list(keys), **fields}


def values_of(headers: Headers, wanted: str) -> list[str]:
    """Return the values of a header, whatever its capitals."""
    return [value for name, value in headers if name.lower() == wanted]


CUSCO = tenant("cusco", KEY, SECOND, ACCENTED)
LIMA = tenant("lima", OTHER)


@pytest.fixture(scope="module")
def running(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    """Run a deployment for all tests."""
    deployment = Deployment(tmp_path_factory.mktemp("identity"))
    try:
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def deployment(running: Deployment) -> Deployment:
    """Return the deployment with two tenants and a ready endpoint."""
    running.desk.gate.set()
    running.replace([CUSCO, LIMA])
    wait_for(lambda: running.send(bearer(KEY))[0] == 200, "served")
    return running


def test_router_without_a_configuration_refuses(tmp_path: Path) -> None:
    """Answer 503 and not 401 while no keys are known."""
    site = Site(tmp_path, 1, 1)
    site.start_all()
    try:
        address = site.router()
        wait_for(partial(send_request, "GET", f"http://{address}/"), "answer")
        for headers in ({}, {"Authorization": f"Bearer {KEY}"}):
            answer = send_request("GET", f"http://{address}/look/1", **headers)
            assert answer.status == 503
            assert "WWW-Authenticate" not in answer.headers
    finally:
        site.stop()


@pytest.mark.parametrize(
    ("headers", "name"),
    [
        (bearer(KEY), "cusco"),
        (bearer(SECOND), "cusco"),
        (bearer(ACCENTED), "cusco"),
        (bearer(OTHER), "lima"),
        (bearer(KEY, "bEARER"), "cusco"),
        (bearer(f"  {KEY}  "), "cusco"),
        ([("aUTHORIZATION", f"Bearer {KEY}")], "cusco"),
        ([*bearer(KEY), ("Connection", "authorization")], "cusco"),
        ([*bearer(KEY), ("Connection", "tenant")], "cusco"),
        ([("Tenant", "lima"), *bearer(KEY), ("tENANT", "x")], "cusco"),
        ([("TENANT", "lima"), ("tenant", "lima"), *bearer(KEY)], "cusco"),
    ],
)
def test_endpoint_gets_the_name_and_no_key(
    deployment: Deployment, headers: Headers, name: str
) -> None:
    """Name the tenant once, whatever the caller wrote into that header."""
    for path, method in (("/look/1", "GET"), ("/loan/1", "POST")):
        assert deployment.send(headers, path, method)[0] == 200
        received = deployment.received()
        assert values_of(received, "tenant") == [name]
        assert values_of(received, "authorization") == []
        assert not any(key in str(received) for key in KEYS)


@pytest.mark.parametrize(
    "headers",
    [
        [],
        bearer(UNKNOWN),
        bearer(KEY.upper()),
        bearer(KEY[:-1]),
        bearer(f"{KEY}x"),
        bearer(f"{KEY} {KEY}"),
        bearer(f"{KEY},{KEY}"),
        bearer(KEY, "Basic"),
        bearer("", "Bearer"),
        bearer("   "),
        [("Authorization", "")],
        [("Authorization", KEY)],
        [("Authorization", f"Bearer{KEY}")],
        [("Proxy-Authorization", f"Bearer {KEY}")],
        [("Tenant", "cusco")],
        [("Cookie", f"Authorization=Bearer {KEY}")],
        [*bearer(KEY), *bearer(KEY)],
        [*bearer(KEY), *bearer(UNKNOWN)],
        [*bearer(UNKNOWN), *bearer(KEY)],
        [*bearer(KEY), ("authorization", "Basic x")],
        bearer("\u00ff\u0100"),
        bearer("x" * 8000),
    ],
)
def test_requests_without_a_valid_key_are_denied(
    deployment: Deployment, headers: Headers
) -> None:
    """Deny missing, unknown and ambiguous keys, before anything is sent."""
    count = len(deployment.desk.received)
    status, answer, body = deployment.send(headers)
    assert status == 401
    assert answer["WWW-Authenticate"] == "Bearer"
    assert not any(key.encode() in body for key in KEYS)
    assert len(deployment.desk.received) == count


def test_anonymous_route_needs_no_key(deployment: Deployment) -> None:
    """Serve an anonymous route without a key, and name no tenant there.

    A key that is sent all the same is checked and named.
    """
    for headers in (
        [],
        [("tenant", "lima"), ("Tenant", "cusco")],
        bearer("dXNlcjpwYXNz", "Basic"),
    ):
        assert deployment.send(headers, "/open/1")[0] == 200
        assert values_of(deployment.received(), "tenant") == []
        assert values_of(deployment.received(), "authorization") == []
    assert deployment.send(bearer(KEY), "/open/1")[0] == 200
    assert values_of(deployment.received(), "tenant") == ["cusco"]
    for headers in (bearer(UNKNOWN), bearer(KEY) + bearer(OTHER)):
        assert deployment.send(headers, "/open/1")[0] == 401


def test_changes_apply_to_an_open_connection(deployment: Deployment) -> None:
    """Identify each request anew: a connection stays open over changes."""
    connection = deployment.connect()
    assert exchange(connection, bearer(LATER))[0] == 401
    deployment.update(tenant("lima", OTHER, LATER))
    assert exchange(connection, bearer(LATER))[0] == 200
    assert values_of(deployment.received(), "tenant") == ["lima"]
    assert exchange(connection, bearer(KEY))[0] == 200
    moved = (tenant("cusco", SECOND), tenant("lima", OTHER, KEY))
    deployment.update(*moved)
    assert exchange(connection, bearer(KEY))[0] == 200
    assert values_of(deployment.received(), "tenant") == ["lima"]
    deployment.update(tenant("lima", OTHER))
    assert exchange(connection, bearer(KEY))[0] == 401
    deployment.update(remove=("cusco",))
    assert exchange(connection, bearer(SECOND))[0] == 401
    assert exchange(connection, bearer(OTHER))[0] == 200
    connection.close()


class WaitingCalls:
    """Hold one request at the endpoint and another at the router."""

    def __init__(self, deployment: Deployment, first: str, other: str) -> None:
        self.deployment = deployment
        desk = deployment.desk
        desk.gate.clear()
        count = len(desk.received)
        self.at_endpoint = _Background(partial(self._send, first))
        wait_for(lambda: len(desk.received) == count + 1, "a running request")
        self.waiting = _Background(partial(self._send, other))
        # Long enough for the request to reach the router's queue.
        time.sleep(0.3)
        assert len(desk.received) == count + 1

    def _send(self, key: str) -> int:
        return self.deployment.send(bearer(key), "/slow/1", "POST")[0]


class _Background:
    def __init__(self, call: Callable[[], int]) -> None:
        self._call = call
        self._status = 0
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def join(self, timeout_s: float) -> int:
        """Return the status, 0 if there is no answer yet."""
        self._thread.join(timeout_s)
        return self._status

    def _run(self) -> None:
        self._status = self._call()


def test_withdrawn_key_ends_waiting_requests(deployment: Deployment) -> None:
    """Answer a waiting request at once, and the running one in full."""
    deployment.replace([CUSCO, LIMA])
    calls = WaitingCalls(deployment, KEY, KEY)
    count = len(deployment.desk.received)
    deployment.update(tenant("cusco", SECOND))
    assert calls.waiting.join(1.0) == 401
    deployment.desk.gate.set()
    assert calls.at_endpoint.join(5.0) == 200
    assert deployment.send(bearer(SECOND))[0] == 200
    assert len(deployment.desk.received) == count + 1


def test_moved_key_changes_the_tenant_of_waiting_requests(
    deployment: Deployment,
) -> None:
    """Send a waiting request for the tenant that has its key now."""
    deployment.replace([CUSCO, LIMA])
    calls = WaitingCalls(deployment, SECOND, KEY)
    deployment.update(tenant("cusco", SECOND), tenant("lima", OTHER, KEY))
    deployment.desk.gate.set()
    assert calls.at_endpoint.join(5.0) == 200
    assert calls.waiting.join(5.0) == 200
    assert values_of(deployment.received(), "tenant") == ["lima"]


def test_key_of_a_waiting_request_is_removed_with_the_first_tenant(
    deployment: Deployment,
) -> None:
    """Send no key that was accepted while no tenants were declared."""
    deployment.replace(None)
    calls = WaitingCalls(deployment, KEY, KEY)
    deployment.replace([CUSCO, LIMA])
    deployment.desk.gate.set()
    assert calls.at_endpoint.join(5.0) == 200
    assert calls.waiting.join(5.0) == 200
    assert values_of(deployment.received(), "tenant") == ["cusco"]
    assert values_of(deployment.received(), "authorization") == []


def test_unknown_key_is_refused_out_of_contact(deployment: Deployment) -> None:
    """Refuse an unknown key where a newer configuration may have it.

    Known keys are served, and a missing key is denied, as no configuration
    would accept it.
    """
    control = deployment.site.controls[0]
    deployment.site.signal(control, signal.SIGSTOP)
    try:
        time.sleep(OUTDATED_S)
        status, answer, _ = deployment.send(bearer(LATER))
        assert status == 503
        assert "WWW-Authenticate" not in answer
        assert float(answer["Retry-After"]) > 0
        assert deployment.send(bearer(KEY))[0] == 200
        for headers in ([], bearer(KEY) + bearer(KEY), bearer("")):
            assert deployment.send(headers)[0] == 401
    finally:
        deployment.site.signal(control, signal.SIGCONT)
    wait_for(lambda: deployment.send(bearer(LATER))[0] == 401, "contact")


def test_deployment_without_tenants_passes_the_headers_on(
    deployment: Deployment,
) -> None:
    """Change nothing where no tenants are declared."""
    deployment.replace(None)
    for headers in (
        [],
        bearer(UNKNOWN),
        [("Tenant", "x"), ("tENANT", "y"), ("Authorization", "Basic ab")],
    ):
        assert deployment.send(headers)[0] == 200
        received = deployment.received()
        for name in ("authorization", "tenant"):
            expected = ", ".join(values_of(headers, name))
            assert ", ".join(values_of(received, name)) == expected


def test_empty_list_of_tenants_denies_all(deployment: Deployment) -> None:
    """Require keys by the section, as its last tenant may be removed."""
    deployment.replace([])
    assert deployment.send(bearer(KEY))[0] == 401
    assert deployment.send([], "/open/1")[0] == 200


def test_tenants_are_read_back_as_sent(deployment: Deployment) -> None:
    """Return each field that was sent, known or not, and no other."""
    tenants = [
        tenant("a", KEY, ratePerS=0.5, burst=3, priority=2, plan={"x": [1]}),
        {"name": "b"},
        {"name": "c", "apiKeys": [], "note": None, "annotations": 1},
        tenant("d ñ", OTHER, ratePerS=0),
    ]
    deployment.replace(tenants)
    assert _read(deployment)["tenants"] == tenants
    added = tenant("e", LATER, ratePerS=7, contact="x@y")
    deployment.update(added, remove=("b", "nobody"))
    kept = [tenants[0], tenants[2], tenants[3], added]
    assert _read(deployment)["tenants"] == kept
    deployment.replace(None)
    assert "tenants" not in _read(deployment)
    deployment.update(remove=("nobody",))
    assert "tenants" not in _read(deployment)
    assert deployment.send([])[0] == 200


def _read(deployment: Deployment) -> Any:
    url = f"http://{deployment.site.control()}/Config.Read"
    return send_request("GET", url).json()


@pytest.mark.parametrize(
    ("tenants", "place"),
    [
        ([CUSCO, tenant("lima", KEY)], "organisations/lima/keys/0"),
        ([CUSCO, tenant("lima", OTHER, KEY)], "organisations/lima/keys/1"),
        ([CUSCO, tenant("cusco", OTHER)], "organisations/cusco"),
        ([{"name": "a", "ratePerS": -1}], "organisations/a/rate_per_s"),
        ([{"name": "a", "ratePerS": KEY}], "organisations/a"),
        ([{"name": "a", "apiKeys": KEY}], "organisations/a"),
        ([{"name": "a", "apiKeys": [f"{KEY}\n"]}], "organisations/a/keys/0"),
        ([{"name": "a\r\nX: y"}], "organisations"),
        ([{"apiKeys": [KEY]}], "organisations/None"),
        (KEY, "(body)"),
        ([KEY], "(body)"),
    ],
)
def test_invalid_tenants_are_refused_as_a_whole(
    deployment: Deployment, tenants: Any, place: str
) -> None:
    """Answer 400 with the place and without a key, and change nothing."""
    body = build_configuration(
        deployment.version + 1, deployment.version, LOOK
    )
    before = _read(deployment)
    update = {
        "version": body["version"],
        "baseVersion": body["baseVersion"],
        "upsert": {"tenants": tenants},
    }
    for path, sent in (
        ("/Config.Replace", {**body, "tenants": tenants}),
        ("/Config.Update", update),
    ):
        answer = deployment.site.post(path, sent)
        assert answer.status == 400, path
        assert place in answer.json()["reason"]
        assert KEY not in answer.json()["reason"]
    assert _read(deployment) == before


@pytest.mark.parametrize(
    "values",
    [
        {"service": "nowhere"},
        {"service": None, "trafficSplit": [{"service": "x", "weight": 1}]},
        {"timeoutMs": 0},
        {"timeoutMs": -1},
        {"pathPrefix": "look/"},
        {"pathPrefix": ""},
        {"kind": "other"},
        {"kind": None},
        {"allowAnonymous": "yes"},
        {"allowAnonymous": 1},
    ],
)
def test_invalid_routes_are_refused(
    deployment: Deployment, values: dict[str, Any]
) -> None:
    """Refuse a route that could not be served, and change nothing."""
    fields = {**LOOK, **values}
    route = {name: one for name, one in fields.items() if one is not None}
    number, base = deployment.version + 1, deployment.version
    before = _read(deployment)
    update = {
        "version": f"r{number}",
        "baseVersion": f"r{base}",
        "upsert": {"virtualHosts": [{"hostname": HOST, "paths": [route]}]},
    }
    replacement = build_configuration(number, base, route)
    answers = [
        deployment.site.post("/Config.Replace", replacement),
        deployment.site.post("/Config.Update", update),
    ]
    assert [one.status for one in answers] == [400, 400]
    assert _read(deployment) == before


@pytest.mark.parametrize("step", [0, -1])
def test_version_must_be_above_the_current_one(
    deployment: Deployment, step: int
) -> None:
    """Refuse a version that is in force already, or an older one."""
    base = deployment.version
    before = _read(deployment)
    body = build_configuration(base + step, base, LOOK)
    update = {"version": base + step, "baseVersion": base}
    for path, sent in (("/Config.Replace", body), ("/Config.Update", update)):
        assert deployment.site.post(path, sent).status == 400
    assert _read(deployment) == before


def test_truncated_configurations_are_refused(deployment: Deployment) -> None:
    """Refuse a configuration of which only the beginning arrived."""
    body = build_configuration(
        deployment.version + 1, deployment.version, LOOK
    )
    data = json.dumps({**body, "tenants": [CUSCO]}).encode()
    before = _read(deployment)
    for size in (0, 1, len(data) // 2, data.index(KEY.encode()) + 5):
        connection = http.client.HTTPConnection(
            deployment.site.control(), timeout=20
        )
        connection.request("POST", "/Config.Replace", body=data[:size])
        answer = connection.getresponse()
        assert answer.status == 400
        assert KEY[:5].encode() not in answer.read()
        connection.close()
    connection = http.client.HTTPConnection(
        deployment.site.control(), timeout=20
    )
    connection.putrequest("POST", "/Config.Replace")
    connection.putheader("Content-Length", str(len(data)))
    connection.endheaders(data[:-9])
    connection.close()
    assert _read(deployment) == before


def test_no_log_line_metric_or_page_holds_a_key(
    deployment: Deployment,
) -> None:
    """Log nothing of a key: no part of it and no digest.

    Two keys of a tenant give one fingerprint, so that a request that crashes
    endpoints is recognised after its key was exchanged. The line of a denied
    request has the fingerprint of one without a key.
    """
    path = f"/look/{next(NAMES)}"
    for headers in (
        bearer(KEY),
        bearer(SECOND),
        bearer(OTHER),
        bearer(UNKNOWN),
        [],
    ):
        deployment.send(headers, path)
    lines = wait_for(partial(_find_ended, deployment), "log lines")
    prints = [line["fingerprint"] for line in lines]
    assert prints[0] == prints[1]
    assert prints[3] == prints[4]
    assert len(set(prints)) == 3
    metrics = send_request(
        "GET", f"http://{deployment.site.routers[0]}:7005/metrics"
    )
    assert b"nutmegchute_denied_total" in metrics.data
    log = deployment.read_log() + metrics.data.decode()
    assert not any(key in log for key in KEYS)
    folder = deployment.site.data(deployment.site.controls[0])
    for one in (folder, *folder.iterdir()):
        assert one.stat().st_mode & 0o077 == 0


def _find_ended(deployment: Deployment) -> Any:
    ended = []
    for line in deployment.read_log().splitlines():
        if '"sends"' in line:
            ended.append(json.loads(line))
    last = ended[-5:]
    outcomes = [line["outcome"] for line in last]
    return last if outcomes == ["finish"] * 3 + ["deny"] * 2 else None


def test_unknown_keys_cost_no_memory(deployment: Deployment) -> None:
    """Keep nothing of unknown keys, also long ones and those of any bytes."""
    pid = deployment.site.processes[deployment.site.routers[0]].pid

    def send_all() -> set[int]:
        # All callers share the keys, as one that waits for a newer
        # configuration would hold up the rest of its own.
        numbers = iter(range(GUESSES))
        with ThreadPoolExecutor(CALLERS) as pool:
            guess = partial(_guess, deployment, numbers)
            found = list(pool.map(lambda _: guess(), range(CALLERS)))
        assert sum(len(statuses) for statuses in found) == GUESSES
        return {status for statuses in found for status in statuses}

    assert send_all() == {401}
    before = _resident_bytes(pid)
    for _ in range(2):
        assert send_all() == {401}
        assert deployment.send(bearer(KEY))[0] == 200
    assert _resident_bytes(pid) - before < MEMORY_BYTES
    # So many calls a second lose log lines, also those that tests wait for.
    time.sleep(LOG_S)


def _guess(deployment: Deployment, numbers: Iterator[int]) -> list[int]:
    connection = deployment.connect()
    statuses = []
    for number in numbers:
        character = chr(0xA1 + number % 90)
        key = f"{number}-" + character * (number * 7 % 2000)
        statuses.append(exchange(connection, bearer(key))[0])
    connection.close()
    return statuses


def test_key_is_served_from_its_acceptance_on(
    deployment: Deployment,
) -> None:
    """Never deny a key that control has just accepted.

    The router gets the change some milliseconds after its operator has the
    answer. A caller that is denied does not try again.
    """
    for number in range(10):
        deployment.version += 1
        body = {
            "version": deployment.version,
            "baseVersion": deployment.version - 1,
            "upsert": {"tenants": [tenant("new", f"new-{number}")]},
        }
        assert deployment.site.post("/Config.Update", body).status == 200
        assert deployment.send(bearer(f"new-{number}"))[0] == 200


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * 4096
