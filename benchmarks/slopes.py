"""Measure how the cost of each role grows with the deployment.

Usage:
  slopes [--seconds=S] [--json=FILE]

Options:
  --seconds=S  Seconds per point [default: 1.5].
  --json=FILE  Also write the points and slopes to a file.

Runs real daemons on loopback; each slope has at least three points. The
kernel counts the processor time of each process and the bytes of each
connection between daemons; 52 bytes of headers are added for each segment.
"""

import contextlib
import secrets
import subprocess
import sys
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Iterator
from pathlib import Path
from statistics import linear_regression
from typing import Any

import msgspec
import urllib3
from docopt import docopt
from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import ClaimBatch
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.ledgers import Ledger
from nutmegchute_core.trees import Change
from nutmegchute_core.trees import Tree
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process

from .costs import Cost
from .costs import mean
from .costs import measure

ZONES = ["zone-a", "zone-b", "zone-c", "zone-d", "zone-e"]
CONTROLS = 3
ENTRY_COUNTS = (3, 8, 17)
ENDPOINT_COUNTS = (240, 480, 730)
CHANGE_RATES = (2, 5, 10)
CONNECTION_COUNTS = (16, 64, 256)
CALL_RATES = (50, 100, 200)
KEYED_CALL_RATES = (20, 40, 80)
LEDGER_SIZES = (10_000, 20_000, 40_000)
TREE_SIZES = (100, 200, 400)
SERVICES = 31
ANNOUNCERS = 8
CALLERS = 4
SETTLE_S = 2.0
TIMEOUT_S = 5.0


class Point:
    """Hold one measured point of a slope."""

    __slots__ = ("cost", "size")

    def __init__(self, size: float, cost: Cost) -> None:
        self.size = size
        self.cost = cost


class Slopes:
    """Collect and print points by name and fit lines through them."""

    def __init__(self) -> None:
        self._points: dict[str, list[Point]] = {}

    def add(self, name: str, size: float, cost: Cost) -> None:
        """Record and print one point."""
        self._points.setdefault(name, []).append(Point(size, cost))
        print(
            f"{name:28} {size:7.6g}: cpu {cost.cpu_percent:6.2f} %, "
            f"memory {cost.memory_mb:6.1f} MB, "
            f"sent {cost.sent_bps / 1000:7.2f} KB/s, "
            f"received {cost.received_bps / 1000:7.2f} KB/s"
        )

    def fit(self) -> dict[str, Any]:
        """Print and return the fitted line of each slope."""
        found: dict[str, Any] = {}
        for name, points in self._points.items():
            sizes = [point.size for point in points]
            lines = {}
            for field in Cost.__slots__:
                values = [getattr(point.cost, field) for point in points]
                line = linear_regression(sizes, values)
                lines[field] = [line.slope, line.intercept]
            found[name] = lines
            print(f"slope {name}, per unit (and at 0):")
            for field, (slope, intercept) in lines.items():
                print(f"  {field:13} {slope:12.6f}  ({intercept:.3f})")
        return found


class Deployment:
    """Run a deployment and measure its daemons."""

    def __init__(self, folder: Path, seconds: float) -> None:
        self._seconds = seconds
        self.cluster = Cluster(folder, ZONES)
        self.pool = urllib3.PoolManager(
            timeout=TIMEOUT_S, retries=False, maxsize=CALLERS
        )

    def start(self, entries: int) -> None:
        """Start control and entries and declare all services."""
        self.cluster.start(CONTROLS, entries, entries_keep_s=0.1)
        self.change({"sizing": build_declaration(0)})
        for entry in self.cluster.entries:
            self.cluster.wait_for(
                f"{entry.name} to follow",
                lambda one=entry: (self.cluster.fetch(one) or {}).get("index"),
            )

    def change(self, documents: dict[str, Any]) -> Any:
        """Send a change of branches to the leader and return its answer."""
        leader = self.leader
        tree = self.cluster.fetch(leader, "/tree")
        assert tree is not None
        body = {
            "change_id": f"slope-{time.monotonic_ns()}",
            "bases": {t: tree["revisions"].get(t, 0) for t in documents},
            "documents": documents,
        }
        answer = self.pool.request(
            "POST",
            f"http://{leader.address}/changes",
            body=msgspec.json.encode(body),
            headers={"Nutmegchute-Operator": OPERATOR_KEY},
        )
        found = msgspec.json.decode(answer.data)
        assert found["outcome"] == "accepted", found
        return found

    @property
    def leader(self) -> Process:
        """Return the leader, waiting for one if necessary."""
        found = self.cluster.wait_for("a leader", self.cluster.leader)
        assert isinstance(found, Process)
        return found

    def measure(self) -> tuple[Cost, Cost]:
        """Return the mean cost of an entry and that of the leader."""
        processes = [*self.cluster.entries, *self.cluster.controls]
        costs = measure(processes, self._ports(), self._seconds)
        entries = [costs[one.name] for one in self.cluster.entries]
        return mean(entries), costs[self.leader.name]

    def _ports(self) -> set[int]:
        return set(self.cluster.grpc_ports)


class Announcers:
    """Run the processes that announce endpoints of upstreams."""

    def __init__(self, addresses: list[str], endpoints: int) -> None:
        self._processes = []
        for first in range(ANNOUNCERS):
            arguments = [",".join(addresses), first, ANNOUNCERS]
            arguments += [endpoints, SERVICES]
            command = [sys.executable, "-m", "benchmarks.announcers"]
            self._processes.append(
                subprocess.Popen(
                    [*command, *map(str, arguments)],
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )

    def stop(self) -> float:
        """Stop them and return the maximum lateness, in seconds."""
        for process in self._processes:
            process.terminate()
        max_lateness_s = 0.0
        for process in self._processes:
            out, _ = process.communicate(timeout=TIMEOUT_S)
            max_lateness_s = max(max_lateness_s, float(out))
        return max_lateness_s


def build_declaration(revision: int) -> dict[str, Any]:
    """Build one team's document with all services, eight rules each."""
    services = {}
    for service in range(SERVICES):
        rules = []
        for rule in range(8):
            rules.append(
                {
                    "name": f"rule-{rule}",
                    "method": "GET",
                    "path_prefix": f"/kind-{rule}" if rule < 7 else "/",
                    "idempotent": True,
                    "deadline_ms": 1000 + revision % 1000,
                    "reason": "a rule of the size that the examples have",
                }
            )
        rules[0] = {
            "name": "loan",
            "method": "POST",
            "path_prefix": "/loans",
            "idempotent": False,
            "priority": "action",
            "deadline_ms": 4000,
            "reason": "a rule of the size that the examples have",
        }
        services[f"service-{service}"] = {"slots": 3, "rules": rules}
    return {"services": services}


def measure_entries(slopes: Slopes, folder: Path, seconds: float) -> None:
    """Measure at several numbers of entries, without endpoints."""
    for entries in ENTRY_COUNTS[:-1]:
        with _deploy(
            folder / f"entries-{entries}", seconds, entries
        ) as deployment:
            _add_point(slopes, "per entry", entries, deployment)


def measure_full_size(slopes: Slopes, folder: Path, seconds: float) -> None:
    """Measure changes and endpoints at the highest number of entries."""
    max_entries = ENTRY_COUNTS[-1]
    with _deploy(folder / "full", seconds, max_entries) as deployment:
        _add_point(slopes, "per entry", max_entries, deployment)
        _measure_changes(slopes, deployment, seconds)
        for endpoints in ENDPOINT_COUNTS:
            addresses = [one.address for one in deployment.cluster.entries]
            announcers = Announcers(addresses, endpoints)
            time.sleep(SETTLE_S)
            _add_point(slopes, "per endpoint", endpoints, deployment)
            print(f"announcements late by {announcers.stop():.2f} s at most")


def measure_callers(slopes: Slopes, folder: Path, seconds: float) -> None:
    """Measure at several numbers of connections, calls and keyed calls."""
    with _deploy(folder / "callers", seconds, 1) as deployment:
        entry = deployment.cluster.entries[0]
        for callers in CONNECTION_COUNTS:
            pool = urllib3.connectionpool.HTTPConnectionPool(
                *_host_port(entry.address), maxsize=callers
            )
            open_answers = [
                pool.request("GET", "/entries", preload_content=False)
                for _ in range(callers)
            ]
            _add_point(slopes, "per caller connection", callers, deployment)
            for answer in open_answers:
                answer.drain_conn()
                answer.release_conn()
            pool.close()
        deployment.cluster.add_upstream("service-0", slots=64)
        deployment.cluster.wait_for(
            "the upstream",
            lambda: (deployment.cluster.fetch(entry) or {}).get("upstreams"),
        )
        for rate in CALL_RATES:
            with _send_calls(entry.address, rate, "GET", "/kind-1"):
                time.sleep(0.5)
                _add_point(slopes, "per call a second", rate, deployment)
        for rate in KEYED_CALL_RATES:
            with _send_calls(entry.address, rate, "POST", "/loans"):
                time.sleep(0.5)
                _add_point(slopes, "per keyed call a second", rate, deployment)


def measure_ledger() -> None:
    """Print the cost of a claim in a replica's state, without network."""
    for claims in LEDGER_SIZES:
        tracemalloc.start()
        ledger = Ledger()
        started = time.process_time()
        for number in range(claims):
            digest = number.to_bytes(16, "big")
            claim = Claim(digest, digest, number)
            request = ClaimRequest([claim], [])
            ledger.apply(ClaimBatch(0.001, request))
        cpu_us = 1e6 * (time.process_time() - started) / claims
        memory_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        snapshot = len(msgspec.msgpack.encode(ledger.snapshot()))
        print(
            f"ledger of {claims} claims: {memory_bytes / claims:.0f} bytes "
            f"of memory and {snapshot / claims:.0f} of snapshot each, "
            f"{cpu_us:.0f} us to apply (memory traced)"
        )


def measure_tree() -> None:
    """Print the cost of a change in a replica's state, without network."""
    memory_bytes = []
    started = time.process_time()
    for changes in TREE_SIZES:
        tracemalloc.start()
        tree = Tree()
        for revision in range(changes):
            service = build_declaration(revision)["services"]["service-0"]
            change = Change(
                change_id=f"change-{revision}",
                operator="operator",
                bases={"sizing": revision},
                documents={"sizing": {"services": {"service-0": service}}},
                at_unix_s=0.0,
            )
            tree.apply(revision + 1, change)
        memory_bytes.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    line = linear_regression(TREE_SIZES, memory_bytes)
    cpu_ms = 1e3 * (time.process_time() - started) / sum(TREE_SIZES)
    print(
        f"tree: {line.slope:.0f} bytes of memory kept per change, "
        f"{cpu_ms:.2f} ms to apply one of one service (memory traced)"
    )


def _measure_changes(
    slopes: Slopes, deployment: Deployment, seconds: float
) -> None:
    for rate in CHANGE_RATES:
        stopped = threading.Event()
        thread = threading.Thread(
            target=_send_changes, args=(deployment, rate, stopped)
        )
        thread.start()
        _add_point(slopes, "per change a second", rate, deployment)
        stopped.set()
        thread.join()
    started = time.monotonic()
    index = deployment.change({"sizing": build_declaration(999)})["index"]
    deployment.cluster.wait_for(
        "the change in force", lambda: _is_in_force(deployment, index)
    )
    elapsed_s = time.monotonic() - started
    print(f"one change in force everywhere after {elapsed_s:.2f} s")
    print(
        f"tree {len(msgspec.json.encode(build_declaration(0))) / 1000:.1f} KB"
    )


def _is_in_force(deployment: Deployment, index: int) -> bool:
    status = deployment.cluster.fetch(deployment.leader)
    assert status is not None
    return bool(status["index"] >= index and status["in_force"])


def _send_changes(
    deployment: Deployment, rate: int, stopped: threading.Event
) -> None:
    revision = 0
    while not stopped.wait(1 / rate):
        revision += 1
        deployment.change({"sizing": build_declaration(revision)})


@contextlib.contextmanager
def _deploy(
    folder: Path, seconds: float, entries: int
) -> Iterator[Deployment]:
    folder.mkdir()
    deployment = Deployment(folder, seconds)
    try:
        deployment.start(entries)
        yield deployment
    finally:
        deployment.cluster.stop()


@contextlib.contextmanager
def _send_calls(
    address: str, rate: int, method: str, path: str
) -> Iterator[None]:
    stopped = threading.Event()
    url = f"http://{address}/call/service-0{path}"

    def call() -> None:
        pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
        due = time.monotonic()
        while not stopped.is_set():
            headers = {}
            if method == "POST":
                headers["Idempotency-Key"] = secrets.token_hex(8)
            answer = pool.request(method, url, headers=headers)
            assert answer.status == 200, answer.data
            due += CALLERS / rate
            stopped.wait(max(0.0, due - time.monotonic()))

    threads = [threading.Thread(target=call) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    yield
    stopped.set()
    for thread in threads:
        thread.join()


def _add_point(
    slopes: Slopes, name: str, size: float, deployment: Deployment
) -> None:
    entry, leader = deployment.measure()
    slopes.add(f"entry, {name}", size, entry)
    slopes.add(f"leader, {name}", size, leader)


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> int:
    """Measure all points and print the fitted slopes."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    slopes = Slopes()
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="nutmegchute-") as name:
        folder = Path(name)
        measure_entries(slopes, folder, seconds)
        measure_full_size(slopes, folder, seconds)
        measure_callers(slopes, folder, seconds)
    measure_ledger()
    measure_tree()
    found = slopes.fit()
    print(f"measured in {time.monotonic() - started:.0f} s")
    if arguments["--json"]:
        data = msgspec.json.format(msgspec.json.encode(found))
        Path(arguments["--json"]).write_bytes(data)
    return 0


if __name__ == "__main__":
    sys.exit(main())
