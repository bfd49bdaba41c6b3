"""Test that a crashing request soon reaches no more endpoints."""

import itertools
import threading
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration
from nutmegchute_fakes.upstreams import CRASH_PATH
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for

ROUTERS = 2
ENDPOINTS = 8
RESTART_S = 0.5
HEARTBEAT_S = 0.4
RETRY_S = 0.15
# Retries that may still reach endpoints, and how long it may take until all
# routers know that a request has crashed a third endpoint.
MAX_RETRIES = 3
PROPAGATION_S = 3.0
# How long a caller continues after that.
EXTRA_S = 4.0
CRASHING = "crashing"

REQUEST_NUMBERS = itertools.count()


class Service:
    """Run endpoints that crash at one path and restart after a while."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self.endpoints = [self._start() for _ in range(ENDPOINTS)]
        # Times at which a crashing request reached an endpoint.
        self.crashes: list[float] = []
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop all endpoints."""
        self._stopped.set()
        self._thread.join()
        for endpoint in self.endpoints:
            endpoint.stop()

    def _start(self) -> Endpoint:
        endpoint = Endpoint(f"i-{next(self._numbers)}", "desk")
        endpoint.crashes = self._crash
        return endpoint

    def _crash(self, path: str, body: bytes) -> bool:
        if not path.startswith("/look/crash"):
            return False
        with self._lock:
            self.crashes.append(time.monotonic())
        return True

    def _run(self) -> None:
        restarts_at: dict[int, float] = {}
        while not self._stopped.wait(HEARTBEAT_S / 2):
            for place, endpoint in enumerate(self.endpoints):
                if not endpoint.crashed.is_set():
                    self._announce(endpoint)
                    continue
                now = time.monotonic()
                if now >= restarts_at.setdefault(place, now + RESTART_S):
                    del restarts_at[place]
                    self.endpoints[place] = self._start()

    def _announce(self, endpoint: Endpoint) -> None:
        for number in range(len(self._site.controls)):
            answer = endpoint.send_heartbeat(self._site.control(number))
            if answer is not None and answer.status == 200:
                return


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run control replicas and routers with one safe route."""
    found = Site(tmp_path, 3, ROUTERS)
    found.start_all()
    path = {
        "name": "look",
        "pathPrefix": "/look/",
        "kind": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": "desk",
        "maxAttempts": 2,
    }
    order = {
        "version": "r1",
        "baseVersion": "r0",
        "services": [
            {"name": "desk", "healthPath": "/healthz", "maxConnections": 99}
        ],
        "limits": {},
        "virtualHosts": [{"hostname": HOST, "paths": [path]}],
    }
    try:
        wait_for(lambda: _is_accepted(found, order), "configuration")
        yield found
    finally:
        found.stop()


def test_crashing_request_resent_by_every_router(site: Site) -> None:
    """Guard against resending a request that crashed three endpoints."""
    service = Service(site)
    try:
        for number in range(ROUTERS):
            wait_for(partial(_is_served, site, number), f"router {number}")
        tries = itertools.count()
        until = float("inf")
        while time.monotonic() < until:
            site.request("/look/crash", _request_name(), next(tries) % ROUTERS)
            if until == float("inf") and len(service.crashes) >= 3:
                until = time.monotonic() + PROPAGATION_S + EXTRA_S
            time.sleep(RETRY_S)
        late = service.crashes[2] + PROPAGATION_S
        late_crashes = [at for at in service.crashes if at > late]
        assert len(late_crashes) <= MAX_RETRIES
        for number in range(ROUTERS):
            wait_for(partial(_is_served, site, number), f"router {number}")
    finally:
        service.stop()


def _request_name() -> str:
    return f"q{next(REQUEST_NUMBERS)}"


def _is_accepted(site: Site, order: Any) -> bool:
    answer = site.post("/Config.Replace", order)
    return answer is not None and answer.status == 200


def _is_served(site: Site, number: int) -> bool:
    answer = site.request("/look/well", _request_name(), number)
    return answer is not None and answer.status == 200


class CrashingCluster:
    """Run entries and upstreams, and restart crashed upstreams."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.cluster = Cluster(folder, ["miraflores", "surco"])
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start and configure everything."""
        self.cluster.start(3, ROUTERS, entries_keep_s=1.0)
        controls = [one.address for one in self.cluster.controls]
        apply_declaration(
            self.folder, build_declaration(2000), controls, OPERATOR_KEY
        )
        for number in range(ENDPOINTS):
            record = self.folder / f"ran-{number}"
            self.cluster.add_upstream("prestamos", record=record)
        for entry in self.cluster.entries:
            self.cluster.wait_for(entry.name, partial(self._lists_all, entry))
        self._thread.start()

    def stop(self) -> None:
        """Stop everything."""
        self._stopped.set()
        if self._thread.is_alive():
            self._thread.join()
        self.cluster.stop()

    def crashes(self) -> list[float]:
        """Return the times at which an upstream ran the crashing request."""
        found = []
        for path in self.folder.glob("ran-*"):
            for line in path.read_text().splitlines():
                at, *_, name = line.split()
                if name.startswith(CRASHING):
                    found.append(float(at))
        return sorted(found)

    def _lists_all(self, entry: Process) -> bool:
        status = self.cluster.fetch(entry)
        return status is not None and len(status["upstreams"]) == ENDPOINTS

    def _run(self) -> None:
        while not self._stopped.wait(RESTART_S):
            for upstream in self.cluster.upstreams:
                if not upstream.is_running:
                    upstream.restart()


def test_crashing_request_resent_by_every_entry(tmp_path: Path) -> None:
    """Guard against the same failure through the entries' own interface."""
    crashing = CrashingCluster(tmp_path)
    try:
        crashing.start()
        entries = crashing.cluster.entries
        tries = itertools.count()
        until = float("inf")
        while time.time() < until:
            number = next(tries)
            entry = entries[number % ROUTERS].address
            name = f"{CRASHING}-{number}"
            url = f"http://{entry}/call/prestamos{CRASH_PATH}"
            send_request("GET", url, X_Request_Id=name)
            crashed_at = crashing.crashes()
            if until == float("inf") and len(crashed_at) >= 3:
                until = time.time() + PROPAGATION_S + EXTRA_S
            time.sleep(RETRY_S)
        crashed_at = crashing.crashes()
        late_crashes = [
            at for at in crashed_at if at > crashed_at[2] + PROPAGATION_S
        ]
        assert len(late_crashes) <= MAX_RETRIES
        for one in entries:
            url = f"http://{one.address}/call/prestamos/shelf"
            answer = wait_for(partial(send_request, "GET", url), "a lookup")
            assert answer.status == 200
    finally:
        crashing.stop()
