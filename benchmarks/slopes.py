"""Measure what each role costs as the deployment grows.

Usage:
  slopes [--seconds=S] [--json=FILE]

Options:
  --seconds=S  Seconds per point [default: 1.5].
  --json=FILE  Also write the points and slopes to a file.

Real daemons on loopback; each slope has at least three points. Processor
time comes from the kernel's account of each process, bytes from that of
each connection between daemons, headers included.
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
ENTRY_POINTS = (3, 8, 17)
ENDPOINT_POINTS = (240, 480, 730)
CHANGE_POINTS = (2, 5, 10)
CALLER_POINTS = (16, 64, 256)
CALL_POINTS = (50, 100, 200)
CLAIM_POINTS = (20, 40, 80)
LEDGER_POINTS = (10_000, 20_000, 40_000)
TREE_POINTS = (100, 200, 400)
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
    """Gather points by name, print them and fit lines through them."""

    def __init__(self) -> None:
        self._points: dict[str, list[Point]] = {}

    def add(self, name: str, size: float, cost: Cost) -> None:
        """Note one point and print it."""
        self._points.setdefault(name, []).append(Point(size, cost))
        print(
            f"{name:28} {size:7.6g}: cpu {cost.cpu_percent:6.2f} %, "
            f"memory {cost.memory_mb:6.1f} MB, "
            f"sent {cost.sent_bps / 1000:7.2f} KB/s, "
            f"received {cost.received_bps / 1000:7.2f} KB/s"
        )

    def fit(self) -> dict[str, Any]:
        """Print and return the line through each slope's points."""
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
            for field, (slope, base) in lines.items():
                print(f"  {field:13} {slope:12.6f}  ({base:.3f})")
        return found


class Rig:
    """Run a deployment and measure its daemons."""

    def __init__(self, folder: Path, seconds: float) -> None:
        self._seconds = seconds
        self.cluster = Cluster(folder, ZONES)
        self.pool = urllib3.PoolManager(
            timeout=TIMEOUT_S, retries=False, maxsize=CALLERS
        )

    def start(self, entries: int) -> None:
        """Start control and entries, with all services declared."""
        self.cluster.start(CONTROLS, entries, entries_keep_s=0.1)
        self.change({"sizing": declaration(0)})
        for entry in self.cluster.entries:
            self.cluster.wait_for(
                f"{entry.name} to follow",
                lambda one=entry: (self.cluster.fetch(one) or {}).get("index"),
            )

    def change(self, documents: dict[str, Any]) -> Any:
        """Change branches at the leader; return its answer."""
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
        """Give the replica that leads."""
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
    """Run the processes that stand in for the upstreams."""

    def __init__(self, addresses: list[str], endpoints: int) -> None:
        self._processes = []
        for first in range(ANNOUNCERS):
            words = [",".join(addresses), first, ANNOUNCERS]
            words += [endpoints, SERVICES]
            command = [sys.executable, "-m", "benchmarks.announcers"]
            self._processes.append(
                subprocess.Popen(
                    [*command, *map(str, words)],
                    stdout=subprocess.PIPE,
                    text=True,
                )
            )

    def stop(self) -> float:
        """Stop; return by how much one was late at most, in seconds."""
        for process in self._processes:
            process.terminate()
        late_s = 0.0
        for process in self._processes:
            out, _ = process.communicate(timeout=TIMEOUT_S)
            late_s = max(late_s, float(out))
        return late_s


def declaration(number: int) -> dict[str, Any]:
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
                    "deadline_ms": 1000 + number % 1000,
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
    """Let the number of entries grow, with nothing announced."""
    for entries in ENTRY_POINTS[:-1]:
        with _rig(folder / f"entries-{entries}", seconds, entries) as rig:
            _add(slopes, "per entry", entries, rig)


def measure_full(slopes: Slopes, folder: Path, seconds: float) -> None:
    """Let endpoints and changes grow at the full number of entries."""
    most = ENTRY_POINTS[-1]
    with _rig(folder / "full", seconds, most) as rig:
        _add(slopes, "per entry", most, rig)
        _measure_changes(slopes, rig, seconds)
        for endpoints in ENDPOINT_POINTS:
            addresses = [one.address for one in rig.cluster.entries]
            announcers = Announcers(addresses, endpoints)
            time.sleep(SETTLE_S)
            _add(slopes, "per endpoint", endpoints, rig)
            print(f"announcements late by {announcers.stop():.2f} s at most")


def measure_callers(slopes: Slopes, folder: Path, seconds: float) -> None:
    """Let connections, then calls, grow at one entry."""
    with _rig(folder / "callers", seconds, 1) as rig:
        entry = rig.cluster.entries[0]
        for callers in CALLER_POINTS:
            pool = urllib3.connectionpool.HTTPConnectionPool(
                *_host_port(entry.address), maxsize=callers
            )
            held = [
                pool.request("GET", "/entries", preload_content=False)
                for _ in range(callers)
            ]
            _add(slopes, "per caller connection", callers, rig)
            for answer in held:
                answer.drain_conn()
                answer.release_conn()
            pool.close()
        rig.cluster.add_upstream("service-0", slots=64)
        rig.cluster.wait_for(
            "the upstream",
            lambda: (rig.cluster.fetch(entry) or {}).get("upstreams"),
        )
        for rate in CALL_POINTS:
            with _calls(entry.address, rate, "GET", "/kind-1"):
                time.sleep(0.5)
                _add(slopes, "per call a second", rate, rig)
        for rate in CLAIM_POINTS:
            with _calls(entry.address, rate, "POST", "/loans"):
                time.sleep(0.5)
                _add(slopes, "per keyed call a second", rate, rig)


def measure_ledger() -> None:
    """Print what a claim costs in a replica's state, without the wire."""
    for claims in LEDGER_POINTS:
        tracemalloc.start()
        ledger = Ledger()
        started = time.process_time()
        for number in range(claims):
            digest = number.to_bytes(16, "big")
            claim = Claim(digest, digest, number)
            request = ClaimRequest([claim], [])
            ledger.apply(ClaimBatch(0.001, request))
        cpu_us = 1e6 * (time.process_time() - started) / claims
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        snapshot = len(msgspec.msgpack.encode(ledger.snapshot()))
        print(
            f"ledger of {claims} claims: {held / claims:.0f} bytes of memory "
            f"and {snapshot / claims:.0f} of snapshot each, "
            f"{cpu_us:.0f} us to apply (memory traced)"
        )


def measure_tree() -> None:
    """Print what a change leaves in a replica's state, without the wire."""
    held = []
    started = time.process_time()
    for changes in TREE_POINTS:
        tracemalloc.start()
        tree = Tree()
        for number in range(changes):
            service = declaration(number)["services"]["service-0"]
            change = Change(
                change_id=f"change-{number}",
                operator="operator",
                bases={"sizing": number},
                documents={"sizing": {"services": {"service-0": service}}},
                at_unix_s=0.0,
            )
            tree.apply(number + 1, change)
        held.append(tracemalloc.get_traced_memory()[0])
        tracemalloc.stop()
    line = linear_regression(TREE_POINTS, held)
    cpu_ms = 1e3 * (time.process_time() - started) / sum(TREE_POINTS)
    print(
        f"tree: {line.slope:.0f} bytes of memory kept per change, "
        f"{cpu_ms:.2f} ms to apply one of one service (memory traced)"
    )


def _measure_changes(slopes: Slopes, rig: Rig, seconds: float) -> None:
    for rate in CHANGE_POINTS:
        ended = threading.Event()
        thread = threading.Thread(target=_change, args=(rig, rate, ended))
        thread.start()
        _add(slopes, "per change a second", rate, rig)
        ended.set()
        thread.join()
    started = time.monotonic()
    index = rig.change({"sizing": declaration(999)})["index"]
    rig.cluster.wait_for("the change in force", lambda: _in_force(rig, index))
    elapsed_s = time.monotonic() - started
    print(f"one change in force everywhere after {elapsed_s:.2f} s")
    print(f"tree {len(msgspec.json.encode(declaration(0))) / 1000:.1f} KB")


def _in_force(rig: Rig, index: int) -> bool:
    status = rig.cluster.fetch(rig.leader)
    assert status is not None
    return bool(status["index"] >= index and status["in_force"])


def _change(rig: Rig, rate: int, ended: threading.Event) -> None:
    number = 0
    while not ended.wait(1 / rate):
        number += 1
        rig.change({"sizing": declaration(number)})


@contextlib.contextmanager
def _rig(folder: Path, seconds: float, entries: int) -> Iterator[Rig]:
    folder.mkdir()
    rig = Rig(folder, seconds)
    try:
        rig.start(entries)
        yield rig
    finally:
        rig.cluster.stop()


@contextlib.contextmanager
def _calls(address: str, rate: int, method: str, path: str) -> Iterator[None]:
    ended = threading.Event()
    url = f"http://{address}/call/service-0{path}"

    def call() -> None:
        pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
        due = time.monotonic()
        while not ended.is_set():
            headers = {}
            if method == "POST":
                headers["Idempotency-Key"] = secrets.token_hex(8)
            answer = pool.request(method, url, headers=headers)
            assert answer.status == 200, answer.data
            due += CALLERS / rate
            ended.wait(max(0.0, due - time.monotonic()))

    threads = [threading.Thread(target=call) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    yield
    ended.set()
    for thread in threads:
        thread.join()


def _add(slopes: Slopes, name: str, size: float, rig: Rig) -> None:
    entry, leader = rig.measure()
    slopes.add(f"entry, {name}", size, entry)
    slopes.add(f"leader, {name}", size, leader)


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def main() -> int:
    """Measure every slope and print the lines."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    slopes = Slopes()
    started = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="nutmegchute-") as name:
        folder = Path(name)
        measure_entries(slopes, folder, seconds)
        measure_full(slopes, folder, seconds)
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
