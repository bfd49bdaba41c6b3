"""Measure changes, failover, restart and idle cost of the control role.

Usage:
  control [--seconds=S]

Options:
  --seconds=S  Seconds per idle window [default: 4].

Runs three real replicas on loopback, with fsync on this machine's disk.
Entries are simulated by the daemon's follower code, each with its own
connection.
"""

import asyncio
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

import msgspec
import urllib3
from docopt import docopt
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.nodes import Node
from nutmegchute_core.trees import Change
from nutmegchute_daemon.events import configure_logs
from nutmegchute_daemon.followers import Follower
from nutmegchute_daemon.links import Links
from nutmegchute_daemon.settings import Settings
from nutmegchute_daemon.storages import open_storage
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from urllib3.exceptions import HTTPError

from .costs import measure

FOLLOWER_COUNTS = (16, 200)
IN_FORCE_CHANGES = 30
WRITERS = 16
WRITE_S = 2.5
FAILOVERS = 2
# Each leaves half a snapshot interval of log entries for a restart to replay.
RESTART_CHANGES = (1500, 10500)
# 31 services of 8 teams; a change affects one team.
SERVICES = 31
TEAMS = 8
TEAM_SERVICES = 4
FLUSH_EVERY = 50
# 1,100 changes a day.
CHANGE_EVERY_S = 86400 / 1100
SETTLE_S = 2.0


def build_document(number: int, services: int = 1, prefix: str = "s") -> Any:
    """Build a team's document; ``number`` varies the content."""
    rule = {
        "name": "lookup",
        "idempotent": True,
        "deadline_ms": 1000 + number % 1000,
        "reason": "a measurement",
    }
    return {
        "services": {
            f"{prefix}{one}": {"slots": 2, "rules": [rule]}
            for one in range(services)
        }
    }


class Operators:
    """Send changes over HTTP as operators do."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pool = urllib3.PoolManager(
            timeout=5.0, retries=False, maxsize=WRITERS
        )
        self._revisions: dict[str, int] = {}
        self._sent = 0

    def change(self, leader: Process, team: str, body: Any) -> int:
        """Send a change of a branch to the leader; return its log index."""
        self._sent += 1
        base = self._revisions.get(team, 0)
        answer = self._pool.request(
            "POST",
            f"http://{leader.address}/changes",
            headers={"Nutmegchute-Operator": OPERATOR_KEY},
            body=msgspec.json.encode(
                {
                    "change_id": f"{team}-{base}",
                    "bases": {team: base},
                    "documents": {team: body},
                }
            ),
            redirect=False,
        )
        if answer.status != 200:
            raise HTTPError(f"{answer.status}")
        found = msgspec.json.decode(answer.data)
        self._revisions[team] = found["revisions"][team]
        return int(found["index"])

    def is_in_force(self, leader: Process, index: int) -> bool:
        """Return whether a log index is in force at all entries."""
        status = self._cluster.fetch(leader)
        return bool(status and status["index"] >= index and status["in_force"])


class Followers:
    """Simulate the followers of many entries on one event loop."""

    def __init__(self, cluster: Cluster) -> None:
        self._peers = cluster.peers
        self._loop = asyncio.new_event_loop()
        self._followers: list[Follower] = []
        thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        thread.start()

    def start_up_to(self, number: int) -> None:
        """Start followers until there are ``number``."""
        while len(self._followers) < number:
            name = f"stand-in-{len(self._followers)}"
            asyncio.run_coroutine_threadsafe(
                self._start(name), self._loop
            ).result()

    def are_caught_up(self, index: int) -> bool:
        """Return whether every follower has a log index."""
        return all(one.index >= index for one in self._followers)

    async def _start(self, name: str) -> None:
        settings = Settings(
            {
                "role": "entry",
                "name": name,
                "availability_zone": "surco",
                "http_address": "127.0.0.1:1",
                "grpc_address": "127.0.0.1:2",
                "control": self._peers,
            }
        )
        follower = Follower(settings, Links(), _ignore)
        self._followers.append(follower)
        self._loop.create_task(self._follow(follower))

    async def _follow(self, follower: Follower) -> None:
        while True:
            await follower.follow()


def _ignore(reply: FollowReply) -> None:
    assert reply.documents is not None


class GroupBenchmark:
    """Run all measurements on one group of replicas."""

    def __init__(self, folder: Path, seconds: float) -> None:
        self._folder = folder
        self._seconds = seconds
        self._cluster = Cluster(folder / "group", ["a", "b", "c"])
        self.idle_percent = 0.0
        self.idle_bps = 0.0
        self.failover_s = 0.0

    def run(self) -> None:
        """Run the measurements; stop the group even after an error."""
        (self._folder / "group").mkdir()
        try:
            self._cluster.start(controls=3, entries=0)
            self._operators = Operators(self._cluster)
            self._followers = Followers(self._cluster)
            for team in range(TEAMS):
                first = self._change_plan(team, 0)
            for number in FOLLOWER_COUNTS:
                self._followers.start_up_to(number)
                self._wait_in_force(first)
                time.sleep(SETTLE_S)
                self._measure_idle(number)
            self._measure_in_force()
            self._measure_writes()
            self._measure_failover()
        finally:
            self._cluster.stop()

    def _change_plan(self, team: int, number: int) -> int:
        name = f"plan-{team}"
        return self._change(name, build_document(number, TEAM_SERVICES, name))

    def _leader(self) -> Process:
        found: Process = self._cluster.wait_for(
            "a leader", self._cluster.leader
        )
        return found

    def _change(self, team: str, body: Any) -> int:
        return self._operators.change(self._leader(), team, body)

    def _wait_in_force(self, index: int) -> None:
        leader = self._leader()
        self._cluster.wait_for(
            "in force", lambda: self._operators.is_in_force(leader, index)
        )
        self._cluster.wait_for(
            "the followers", lambda: self._followers.are_caught_up(index)
        )

    def _measure_idle(self, followers: int) -> None:
        leader = self._leader()
        for pace in ("idle", "1 change in the window"):
            if pace != "idle":
                threading.Timer(1.0, self._change_plan, (0, followers)).start()
            costs = measure(
                self._cluster.controls,
                set(self._cluster.grpc_ports),
                self._seconds,
            )
            if pace == "idle":
                idle = costs[leader.name]
            else:
                extra = costs[leader.name].wire_bps - idle.wire_bps
                at_pace_bps = (
                    idle.wire_bps + extra * self._seconds / CHANGE_EVERY_S
                )
                print(
                    f"{followers} entries, at pace: wire {at_pace_bps:.0f} B/s"
                )
            for process in self._cluster.controls:
                cost = costs[process.name]
                role = "leader" if process is leader else "follower"
                print(
                    f"{followers} entries, {pace}, {role}: "
                    f"cpu {cost.cpu_percent:.2f} %, "
                    f"wire {cost.wire_bps:.0f} B/s, "
                    f"memory {cost.memory_mb:.0f} MB"
                )
            if followers == FOLLOWER_COUNTS[0] and pace == "idle":
                values = costs.values()
                self.idle_percent = max(one.cpu_percent for one in values)
                self.idle_bps = max(one.wire_bps for one in values)

    def _measure_in_force(self) -> None:
        leader = self._leader()
        durations_s = []
        for number in range(IN_FORCE_CHANGES):
            body = build_document(number, TEAM_SERVICES, "plan-1")
            started = time.perf_counter()
            index = self._operators.change(leader, "plan-1", body)
            while not self._operators.is_in_force(leader, index):
                time.sleep(0.005)
            durations_s.append(time.perf_counter() - started)
            time.sleep(0.02)
        _print_percentiles(
            f"in force at {FOLLOWER_COUNTS[-1]} entries", durations_s
        )

    def _measure_writes(self) -> None:
        leader = self._leader()
        end = time.perf_counter() + WRITE_S

        def write(team: str) -> list[float]:
            durations_s: list[float] = []
            while time.perf_counter() < end:
                body = build_document(len(durations_s), 1, f"{team}-")
                started = time.perf_counter()
                self._operators.change(leader, team, body)
                durations_s.append(time.perf_counter() - started)
            return durations_s

        for writers in (1, WRITERS):
            end = time.perf_counter() + WRITE_S
            teams = [f"w{writers}-{one}" for one in range(writers)]
            with ThreadPoolExecutor(writers) as pool:
                results = list(pool.map(write, teams))
            durations_s = [one for result in results for one in result]
            print(
                f"{writers} writers: "
                f"{len(durations_s) / WRITE_S:.0f} changes/s"
            )
            _print_percentiles(f"accepted, {writers} writers", durations_s)

    def _measure_failover(self) -> None:
        killed = []
        stopped = []
        for number in range(FAILOVERS):
            killed.append(self._stop_leader(signal.SIGKILL, 2 * number))
            stopped.append(self._stop_leader(signal.SIGTERM, 2 * number + 1))
        self.failover_s = max(killed)
        for name, durations_s in (("killed", killed), ("stopped", stopped)):
            shown = ", ".join(f"{one:.2f}" for one in durations_s)
            print(f"leader {name}, until a change is accepted: {shown} s")

    def _stop_leader(self, signal_number: int, number: int) -> float:
        leader = self._leader()
        started = time.perf_counter()
        leader.signal(signal_number)
        while not self._try_change(number):
            time.sleep(0.01)
        duration_s = time.perf_counter() - started
        leader.wait()
        leader.restart()
        time.sleep(1.5)
        return duration_s

    def _try_change(self, number: int) -> bool:
        leader = self._cluster.leader()
        if leader is None:
            return False
        try:
            self._operators.change(
                leader, "failover", build_document(number, 1, "f")
            )
        except HTTPError:
            return False
        return True


def measure_restart(folder: Path, changes: int) -> float:
    """Return the seconds from start to leadership after many changes."""
    folder.mkdir()
    cluster = Cluster(folder, ["a"])
    cluster.start(controls=1, entries=0)
    process = cluster.controls[0]
    process.signal(15)
    process.wait()
    data = folder / process.name
    storage = open_storage(data)
    identity = storage.identity()
    assert identity is not None
    started = time.perf_counter()
    node = Node(
        identity.identity, storage.load(identity.genesis), storage, 0.0, 1
    )
    node.replica.tick(60.0)
    node.flush()
    for number in range(changes):
        node.propose(
            Change(
                change_id=f"change-{number}",
                operator="operator",
                bases={"plan": number},
                documents={"plan": build_document(number, SERVICES, "plan")},
                at_unix_s=0.0,
                checked=True,
            )
        )
        if number % FLUSH_EVERY == FLUSH_EVERY - 1:
            node.flush()
    node.flush()
    setup_s = time.perf_counter() - started
    index = node.machine.tree.index
    storage.close()
    size = sum(one.stat().st_size for one in data.iterdir())
    started = time.perf_counter()
    try:
        process.restart()

        def is_ready() -> bool:
            found = cluster.fetch(process) or {}
            leads = found.get("state") == "leader"
            return leads and found.get("index") == index

        cluster.wait_for("a leader with every change", is_ready)
        duration_s = time.perf_counter() - started
    finally:
        cluster.stop()
    print(
        f"restart after {changes}: {duration_s:.2f} s, folder "
        f"{size / 1e6:.1f} MB (made in {setup_s:.1f} s)"
    )
    return duration_s


def _print_percentiles(name: str, durations_s: list[float]) -> None:
    ordered = sorted(durations_s)
    p99 = ordered[min(len(ordered) - 1, int(len(ordered) * 0.99))]
    print(
        f"{name}: p50 {1000 * median(ordered):.1f} ms, p99 {1000 * p99:.1f} ms"
    )


def main() -> int:
    """Run all measurements and print the summary line."""
    arguments = docopt(__doc__)
    configure_logs("error", "bench")
    with tempfile.TemporaryDirectory(prefix="nutmegchute-") as name:
        folder = Path(name)
        benchmark = GroupBenchmark(folder, float(arguments["--seconds"]))
        benchmark.run()
        durations_s = [
            measure_restart(folder / f"r{one}", one) for one in RESTART_CHANGES
        ]
    print(
        f"control failover {benchmark.failover_s:.2f} s, "
        f"restart-10k {durations_s[-1]:.2f} s, "
        f"idle core share {benchmark.idle_percent:.2f} %, "
        f"bytes/s {benchmark.idle_bps:.0f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
