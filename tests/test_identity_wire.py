"""Test over loopback that entries identify organisations by their keys."""

import http.client
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_core.organisations import mask_key
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.demo import apply_declaration
from platform_standins import send_request
from platform_standins import wait_for
from support import rule
from support import team

KEY = "k1-cusco-0123456789abcdef"
SECOND = "k2-cusco-fedcba9876543210"
OTHER = "k3-lima-00112233445566"
UNKNOWN = "k9-nobody-aabbccddeeff"
KEYS = (KEY, SECOND, OTHER, UNKNOWN)
HEADER = "nutmegchute-organisation"
CALL = "/call/catalogo/loans/1"
OPEN_CALL = "/call/catalogo/open/1"
ANNOUNCE_S = 0.5
WAIT_S = 20.0
# Longer than an entry may act on its tree without control.
LEASE_S = 11.0

Headers = list[tuple[str, str]]
CUSCO = {"keys": [KEY, SECOND], "rate_per_s": 0}
LIMA = {"keys": [OTHER]}


class Upstream:
    """Record the headers of calls and answer them while a gate is open."""

    def __init__(self) -> None:
        self.received: list[Headers] = []
        self.gate = threading.Event()
        self.gate.set()
        self._stopped = threading.Event()
        self._server = ThreadingHTTPServer(
            ("127.0.0.1", 0), _build_handler_class(self)
        )
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        for run in (self._server.serve_forever, self._announce):
            threading.Thread(target=run, daemon=True).start()
        self.entry = ""

    def stop(self) -> None:
        """Stop announcing and answering."""
        self._stopped.set()
        self._server.shutdown()
        self._server.server_close()

    def values(self, wanted: str) -> list[str]:
        """Return the values of a header in the call received last."""
        last = self.received[-1]
        return [value for name, value in last if name.lower() == wanted]

    def _announce(self) -> None:
        body = {
            "service": "catalogo",
            "endpoint": self.address,
            "availability_zone": "surco",
            "slots": 1,
            "incarnation": 1,
            "state": "up",
        }
        while not self._stopped.wait(ANNOUNCE_S):
            if self.entry:
                send_request("POST", f"http://{self.entry}/announce", body)


def _build_handler_class(upstream: Upstream) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802
            self.rfile.read(int(self.headers.get("Content-Length", 0)))
            if self.path != "/nutmegchute/load":
                upstream.received.append(list(self.headers.items()))
                upstream.gate.wait(WAIT_S)
            self.send_response(200)
            self.send_header("Content-Length", "0")
            self.send_header("Nutmegchute-Load", "0")
            self.end_headers()

        do_POST = do_GET  # noqa: N815

        def log_message(self, *_: Any) -> None:
            pass

    return Handler


class Deployment:
    """Run a control replica, an entry and an upstream."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.upstream = Upstream()
        self.cluster = Cluster(folder, ["surco"])
        self.cluster.start(1, 1, entries_keep_s=0.1)
        self.upstream.entry = self.cluster.entries[0].address

    def stop(self) -> None:
        """Stop the daemons and the upstream."""
        self.upstream.gate.set()
        self.cluster.stop()
        self.upstream.stop()

    def declare(self, organisations: Any) -> None:
        """Apply the organisations; return once they are in force."""
        fields: dict[str, Any] = {"deadline_ms": 10000, "idempotent": False}
        rules = [
            rule(name="free", path_prefix="/open", anonymous=True, **fields),
            rule(name="loan", **fields),
        ]
        document: dict[str, Any] = team(catalogo=rules)
        document["services"]["catalogo"]["slots"] = 1
        document["services"]["catalogo"]["most_entries"] = 1
        if organisations is not None:
            document["organisations"] = organisations
        controls = [one.address for one in self.cluster.controls]
        apply_declaration(self.folder, document, controls, OPERATOR_KEY)

    def connect(self) -> http.client.HTTPConnection:
        """Open a connection to the entry."""
        return http.client.HTTPConnection(self.upstream.entry, timeout=WAIT_S)

    def send(self, headers: Headers, path: str = CALL) -> int:
        """Send a call on a new connection; return its status."""
        connection = self.connect()
        try:
            return exchange(connection, headers, path)[0]
        finally:
            connection.close()


def exchange(
    connection: http.client.HTTPConnection, headers: Headers, path: str = CALL
) -> tuple[int, dict[str, str]]:
    """Send a call; return the status and the headers of the answer."""
    connection.putrequest("POST", path)
    for name, value in [("Content-Length", "0"), *headers]:
        connection.putheader(name, value.encode())
    connection.endheaders()
    answer = connection.getresponse()
    answer.read()
    return answer.status, dict(answer.getheaders())


def bearer(key: str) -> Headers:
    """Build the headers of a caller that has a key."""
    return [("Authorization", f"Bearer {key}")]


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
    """Return the deployment with two organisations and a live upstream."""
    running.upstream.gate.set()
    running.declare({"cusco": CUSCO, "lima": LIMA})
    wait_for(lambda: running.send(bearer(KEY)) == 200, "served")
    return running


def test_upstream_gets_the_name_and_no_key(deployment: Deployment) -> None:
    """Name the organisation once, whatever the caller wrote there."""
    for headers, name in (
        (bearer(KEY), "cusco"),
        (bearer(SECOND), "cusco"),
        (bearer(OTHER), "lima"),
        (
            [
                ("NUTMEGCHUTE-ORGANISATION", "lima"),
                *bearer(KEY),
                ("nutmegchute-Organisation", "x"),
                ("Nutmegchute_Organisation", "lima"),
            ],
            "cusco",
        ),
        ([*bearer(KEY), ("Idempotency-Key", "loan-1")], "cusco"),
    ):
        assert deployment.send(headers) == 200
        assert deployment.upstream.values(HEADER) == [name]
        assert deployment.upstream.values("authorization") == []
        last = str(deployment.upstream.received[-1])
        assert not any(key in last for key in KEYS)
        assert "Nutmegchute_Organisation" not in last


@pytest.mark.parametrize(
    "headers",
    [
        [],
        bearer(UNKNOWN),
        [("Authorization", f"Basic {KEY}")],
        [*bearer(KEY), *bearer(OTHER)],
        [*bearer(KEY), *bearer(KEY)],
        [("Nutmegchute-Organisation", "cusco")],
        [*bearer(UNKNOWN), ("Idempotency-Key", "loan-2")],
    ],
)
def test_calls_without_a_valid_key_are_denied(
    deployment: Deployment, headers: Headers
) -> None:
    """Answer 401 "not run" with a challenge, and send nothing."""
    count = len(deployment.upstream.received)
    status, answer = exchange(deployment.connect(), headers)
    assert status == 401
    assert answer["WWW-Authenticate"] == "Bearer"
    assert answer["Nutmegchute-Outcome"] == "not-run"
    assert len(deployment.upstream.received) == count


def test_anonymous_rule_needs_no_key(deployment: Deployment) -> None:
    """Serve an anonymous rule without a key, and name nobody."""
    named = [("nutmegchute-ORGANISATION", "lima")]
    assert deployment.send(named, OPEN_CALL) == 200
    assert deployment.upstream.values(HEADER) == []
    assert deployment.send(bearer(KEY), OPEN_CALL) == 200
    assert deployment.upstream.values(HEADER) == ["cusco"]
    assert deployment.send(bearer(UNKNOWN), OPEN_CALL) == 401


def test_changes_apply_to_an_open_connection(deployment: Deployment) -> None:
    """Identify each call anew over changes of the declarations."""
    connection = deployment.connect()
    assert exchange(connection, bearer(UNKNOWN))[0] == 401
    deployment.declare(
        {"cusco": {"keys": [SECOND, UNKNOWN]}, "lima": {"keys": [OTHER, KEY]}}
    )
    assert exchange(connection, bearer(UNKNOWN))[0] == 200
    assert deployment.upstream.values(HEADER) == ["cusco"]
    assert exchange(connection, bearer(KEY))[0] == 200
    assert deployment.upstream.values(HEADER) == ["lima"]
    deployment.declare({"lima": {"keys": [OTHER]}})
    for key in (KEY, SECOND, UNKNOWN):
        assert exchange(connection, bearer(key))[0] == 401
    assert exchange(connection, bearer(OTHER))[0] == 200
    connection.close()


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


def test_withdrawn_key_ends_waiting_calls(deployment: Deployment) -> None:
    """Answer waiting calls at once, and the one that runs in full."""
    upstream = deployment.upstream
    count = len(upstream.received)
    upstream.gate.clear()
    send = partial(deployment.send, bearer(KEY))
    runs = _Background(send)
    wait_for(lambda: len(upstream.received) == count + 1, "a running call")
    waiting = [_Background(send) for _ in range(3)]
    time.sleep(0.3)
    deployment.declare({"cusco": {"keys": [SECOND]}})
    assert [one.join(2.0) for one in waiting] == [401, 401, 401]
    upstream.gate.set()
    assert runs.join(5.0) == 200
    assert len(upstream.received) == count + 1


def test_deployment_without_organisations_passes_the_headers_on(
    deployment: Deployment,
) -> None:
    """Change nothing where no organisations are declared."""
    deployment.declare(None)
    headers = [*bearer(UNKNOWN), ("Nutmegchute-Organisation", "x")]
    assert deployment.send(headers) == 200
    assert deployment.upstream.values("authorization") == [f"Bearer {UNKNOWN}"]
    assert deployment.upstream.values(HEADER) == ["x"]
    assert deployment.send([]) == 200
    assert deployment.upstream.values(HEADER) == []


def test_only_operators_read_the_keys(deployment: Deployment) -> None:
    """Show keys to operators only, and in no page, log line or audit."""
    control = deployment.cluster.controls[0].address
    entry = deployment.cluster.entries[0].address
    url = f"http://{control}/tree"
    for operator in ("", "wrong"):
        tree = send_request("GET", url, Nutmegchute_Operator=operator)
        assert not any(key.encode() in tree.data for key in KEYS)
        assert mask_key(KEY).encode() in tree.data
        assert tree.json()["masked"] is True
    tree = send_request("GET", url, Nutmegchute_Operator=OPERATOR_KEY)
    section = tree.json()["documents"]["lending"]["organisations"]
    assert section == {"cusco": CUSCO, "lima": LIMA}
    assert "masked" not in tree.json()
    pages = [
        send_request("GET", f"http://{address}/{page}").data.decode()
        for address, page in (
            (control, "audit"),
            (control, "status"),
            (entry, "status"),
        )
    ]
    logs = [path.read_text() for path in deployment.folder.glob("*.log")]
    text = "\n".join(pages + logs)
    assert not any(key in text for key in KEYS)


def test_unknown_key_is_refused_without_control(
    deployment: Deployment,
) -> None:
    """Answer 503 once control may have accepted another tree."""
    deployment.cluster.controls[0].kill()
    time.sleep(LEASE_S)
    status, answer = exchange(deployment.connect(), bearer(UNKNOWN))
    assert status == 503
    assert "WWW-Authenticate" not in answer
    deployment.cluster.controls[0].restart()
    deployment.cluster.wait_for("a leader", deployment.cluster.leader)
    wait_for(lambda: deployment.send(bearer(UNKNOWN)) == 401, "contact")
