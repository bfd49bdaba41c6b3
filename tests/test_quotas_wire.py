"""Test over loopback that organisations get no more calls than their quota."""

import itertools
import json
import signal
import threading
import time
from collections.abc import Callable
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration
from nutmegchute_fakes.quotas import bound
from nutmegchute_fakes.quotas import max_in_window
from nutmegchute_fakes.quotas import organisation
from nutmegchute_fakes.quotas import TERMS
from nutmegchute_fakes.upstreams import SEEN_PATH
from platform_standins import Endpoint
from platform_standins import HOST
from platform_standins import send_request
from platform_standins import Site
from platform_standins import wait_for
from test_platform_wire import build_configuration
from test_platform_wire import HeartbeatSender
from test_platform_wire import LOOK
from test_rate_limits_wire import has_accepted

NAMES = itertools.count()
ENTRIES = 3
QUOTA = organisation("small", 4.0, 2.0)
# Enough for an entry to obtain permits ahead of its calls.
BUSY_QUOTA = organisation("busy", 20.0, 20.0)
LOAD_S = 8.0
CALL_GAP_S = 0.03
LIMITED = "key-of-small"
FREE = "key-of-free"

Answer = tuple[int, str]
SendCall = Callable[[int, str], Answer]


def read_answer(answer: Any) -> Answer:
    """Return an answer's status and Retry-After; status 0 without one."""
    if answer is None:
        return 0, ""
    return answer.status, answer.headers.get("Retry-After", "")


def call_router(site: Site, router: int, key: str) -> Answer:
    """Send a request with a key to a router."""
    return read_answer(
        send_request(
            "GET",
            f"http://{site.router(router)}/look/1",
            Host=HOST,
            Request_Id=f"quota-{next(NAMES)}",
            Deadline_Ms="3000",
            Authorization=f"Bearer {key}",
        )
    )


def call_entry(cluster: Cluster, entry: int, key: str) -> Answer:
    """Send a request with a key to an entry."""
    url = f"http://{cluster.entries[entry].address}/call/prestamos/shelf"
    return read_answer(send_request("GET", url, Authorization=f"Bearer {key}"))


def serves(call: SendCall, entry: int, key: str) -> bool:
    """Return whether an entry serves a call."""
    return call(entry, key)[0] == 200


def run_load(call: SendCall, key: str, seconds: float) -> list[Answer]:
    """Send calls to every entry, one after the other at each."""
    answers: list[Answer] = []
    until = time.monotonic() + seconds

    def run(entry: int) -> None:
        while time.monotonic() < until:
            answers.append(call(entry, key))
            time.sleep(CALL_GAP_S)

    threads = [
        threading.Thread(target=run, args=(entry,)) for entry in range(ENTRIES)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return answers


def check_load(call: SendCall, list_runs: Callable[[], list[float]]) -> None:
    """Send far more calls than the quota and check answers and runs."""
    for entry in range(ENTRIES):
        wait_for(partial(serves, call, entry, LIMITED), f"entry {entry}")
    before = len(list_runs())
    answers = run_load(call, LIMITED, LOAD_S)
    runs = sorted(list_runs())
    assert {status for status, _ in answers} == {200, 429}
    served = sum(status == 200 for status, _ in answers)
    assert len(runs) - before == served
    assert len(answers) > 2 * served
    assert served >= 0.8 * QUOTA.rate_per_s * LOAD_S
    assert max_in_window(runs, TERMS.window_s) <= bound(QUOTA)
    for status, retry_after in answers:
        if status == 429:
            assert 0 < float(retry_after) < 10
    free = {status for status, _ in run_load(call, FREE, 1.0)}
    assert free == {200}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    """Run control and routers with a limited and a free organisation."""
    found = Site(tmp_path, 3, ENTRIES)
    found.start_all()
    configuration = build_configuration(1, 0, LOOK)
    configuration["tenants"] = [
        {
            "name": QUOTA.name,
            "apiKeys": [LIMITED],
            "ratePerS": QUOTA.rate_per_s,
            "burst": QUOTA.burst,
        },
        {"name": "free", "apiKeys": [FREE]},
    ]
    try:
        wait_for(partial(has_accepted, found, configuration), "r1")
        yield found
    finally:
        found.stop()


def test_routers_together_keep_to_a_quota(site: Site, tmp_path: Path) -> None:
    """Guard against routers that each admit an organisation's whole quota."""
    endpoint = Endpoint("i-1", "desk")
    runs: list[float] = []

    def record_run(path: str, body: bytes) -> bool:
        runs.append(time.monotonic())
        return False

    endpoint.crashes = record_run
    heartbeats = HeartbeatSender(site, endpoint)
    call = partial(call_router, site)
    try:
        check_load(call, lambda: runs)
        for ip in site.controls:
            site.kill(ip)
        time.sleep(TERMS.lifetime_s)
        # Not 429: nobody knows whether the quota is used up.
        for _ in range(10):
            assert call(0, LIMITED)[0] == 503
            assert call(0, FREE)[0] == 200
    finally:
        heartbeats.stop()
        endpoint.stop()
    lines: list[dict[str, Any]] = []
    for path in tmp_path.glob("router-*.log"):
        lines.extend(json.loads(one) for one in path.read_text().splitlines())
    refused = [one for one in lines if one.get("outcome") == "throttle"]
    assert refused
    for line in refused:
        assert line["organisation"] == QUOTA.name
        assert line["quota"]["rate_per_s"] == QUOTA.rate_per_s
        assert line["quota"]["replica"].startswith("127.")
        assert line["quota"]["age_ms"] < 2500


def test_entries_together_keep_to_a_quota(tmp_path: Path) -> None:
    """Guard against the same failure through the entries' own interface."""
    cluster = Cluster(tmp_path, ["miraflores", "surco"])
    try:
        cluster.start(3, ENTRIES, entries_keep_s=1.0)
        controls = [one.address for one in cluster.controls]
        declaration = build_declaration(2000)
        declaration["organisations"] = {
            QUOTA.name: {
                "keys": [LIMITED],
                "rate_per_s": QUOTA.rate_per_s,
                "burst": QUOTA.burst,
            },
            "free": {"keys": [FREE]},
        }
        apply_declaration(tmp_path, declaration, controls, OPERATOR_KEY)
        for _ in range(2):
            cluster.add_upstream("prestamos")

        def list_runs() -> list[float]:
            runs: list[float] = []
            for one in cluster.upstreams:
                # It may still start.
                url = f"http://{one.address}{SEEN_PATH}"
                answer = wait_for(partial(send_request, "GET", url), url)
                runs.extend(answer.json())
            return runs

        check_load(partial(call_entry, cluster), list_runs)
    finally:
        cluster.stop()


def list_record(folder: Path) -> list[float]:
    """Return the Unix times at which calls of the organisation ran."""
    times = []
    for path in folder.glob("ran-*"):
        for line in path.read_text().splitlines():
            fields = line.split()
            if fields[3] == BUSY_QUOTA.name:
                times.append(float(fields[0]))
    return sorted(times)


def test_stopped_entry_and_killed_replica_keep_to_a_quota(
    tmp_path: Path,
) -> None:
    """Guard against permits that a stopped entry uses once it continues.

    Meanwhile a replica is killed, so others must not grant its part anew.
    """
    cluster = Cluster(tmp_path, ["miraflores", "surco"])
    call = partial(call_entry, cluster)
    try:
        cluster.start(3, ENTRIES, entries_keep_s=1.0)
        controls = [one.address for one in cluster.controls]
        declaration = build_declaration(2000)
        declaration["organisations"] = {
            BUSY_QUOTA.name: {
                "keys": [LIMITED],
                "rate_per_s": BUSY_QUOTA.rate_per_s,
                "burst": BUSY_QUOTA.burst,
            }
        }
        apply_declaration(tmp_path, declaration, controls, OPERATOR_KEY)
        for number in range(2):
            record = tmp_path / f"ran-{number}"
            cluster.add_upstream("prestamos", record=record)
        for entry in range(ENTRIES):
            wait_for(partial(serves, call, entry, LIMITED), f"entry {entry}")
        # Below the quota, so that the entry obtains permits ahead.
        for _ in range(20):
            call(0, LIMITED)
            time.sleep(0.1)
        cluster.entries[0].signal(signal.SIGSTOP)
        answers: list[Answer] = []
        load = threading.Thread(
            target=lambda: answers.extend(run_load(call, LIMITED, LOAD_S))
        )
        load.start()
        time.sleep(1.0)
        cluster.controls[0].kill()
        time.sleep(1.0)
        cluster.entries[0].signal(signal.SIGCONT)
        load.join()
    finally:
        cluster.entries[0].signal(signal.SIGCONT)
        cluster.stop()
    assert {200, 429} <= {status for status, _ in answers}
    runs = list_record(tmp_path)
    assert len(runs) >= sum(status == 200 for status, _ in answers)
    assert max_in_window(runs, TERMS.window_s) <= bound(BUSY_QUOTA)
