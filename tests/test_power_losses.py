"""Test with real processes that disks lose nothing acknowledged.

SERIES sets how many seeds run, FIRST_SEED the first of them.
"""

import os
import threading
import time
from pathlib import Path
from random import Random
from typing import Any

import msgspec
import pytest
import urllib3
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.lossy_disks import ALL_KEPT
from nutmegchute_fakes.lossy_disks import DiskFaults
from nutmegchute_fakes.lossy_disks import LossyFolder
from nutmegchute_fakes.lossy_disks import NONE_KEPT
from nutmegchute_fakes.lossy_disks import SNAPSHOT_ENTRIES
from nutmegchute_fakes.lossy_disks import SOME_KEPT
from support import rule
from support import team
from urllib3.exceptions import HTTPError

FIRST_SEED = int(os.environ.get("FIRST_SEED", "0"))
SERIES = int(os.environ.get("SERIES", "2"))
ROUNDS = 4
ZONES = ["a", "b", "c"]
HEADERS = {"Nutmegchute-Operator": OPERATOR_KEY}
REQUEST_TIMEOUT_S = 1.0
RETRY_S = 0.01
# A start takes some eight operations; later ones meet the first changes.
MAX_KILL_AFTER = 16
KILLED_START_S = 2.5
SLOW_SYNCS_S = (0.0, 0.004, 0.015)
MAX_LAG_S = 6.0
REPLACE_S = 8.0


class Operator:
    """Change one branch again and again, each change until it is answered."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._pool = urllib3.PoolManager(
            timeout=REQUEST_TIMEOUT_S, retries=False
        )
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self.accepted = 0
        # Answers other than that a change is accepted.
        self.refused: list[str] = []

    def start(self) -> None:
        """Start to send changes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending; the last change may have no answer."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._stopping.is_set():
            target = self._cluster.controls[number % len(ZONES)]
            if not self._send(target):
                number += 1
                time.sleep(RETRY_S)

    def _send(self, target: Process) -> bool:
        base = self.accepted
        document = team(catalogo=[rule(deadline_ms=base + 1)])
        body = {
            "change_id": f"change-{base}",
            "bases": {"lending": base},
            "documents": {"lending": document},
        }
        answer = self.post(target, "/changes", body)
        if answer is None:
            return False
        if answer["outcome"] == "accepted":
            self.accepted += 1
        else:
            self.refused.append(f"{body['change_id']}: {answer}")
            self._stopping.set()
        return True

    def post(self, target: Process, path: str, body: Any) -> Any | None:
        """Return a replica's answer, None if the outcome is not known."""
        try:
            answer = self._pool.request(
                "POST",
                f"http://{target.address}{path}",
                headers=HEADERS,
                body=msgspec.json.encode(body),
                redirect=False,
            )
        except HTTPError:
            return None
        if answer.status != 200:
            return None
        return msgspec.json.decode(answer.data)


class Series:
    """Play kills, faults of disks and losses of power on three replicas."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._random = Random(seed)
        self._cluster = Cluster(
            folder, ZONES, launcher="nutmegchute_fakes.lossy_disks"
        )
        self._operator = Operator(self._cluster)
        self._disks: list[LossyFolder] = []
        self._folder = folder
        # Whether all replicas hold all that is committed, so that the disk
        # of one may be lost.
        self._is_whole = True
        # What was done, for the message of a failure.
        self.steps: list[str] = []

    def run(self) -> None:
        """Play the rounds; check after each that nothing is lost."""
        cluster = self._cluster
        try:
            cluster.start(controls=len(ZONES), entries=0)
            for number, process in enumerate(cluster.controls):
                self._disks.append(
                    LossyFolder(
                        self._folder / process.name,
                        self._random.getrandbits(32) + number,
                    )
                )
            self._operator.start()
            for _ in range(ROUNDS):
                self._run_round()
        finally:
            self._operator.stop()
            cluster.stop()

    def _run_round(self) -> None:
        for disk in self._disks:
            sync_s = self._random.choice(SLOW_SYNCS_S)
            disk.set_faults(DiskFaults(sync_s=sync_s))
        time.sleep(self._random.uniform(0.3, 1.2))
        plays = [
            self._fail_syncs,
            self._fill,
            self._hang,
            self._lag,
            self._pause,
        ]
        if self._is_whole:
            plays.append(self._replace)
        self._random.choice(plays)()
        self._kill_all()
        for _ in range(self._random.randint(0, 2)):
            self._kill_starts()
        if self._random.random() < 0.7:
            self._lose_power()
        self._check()

    def _pick(self) -> int:
        return self._random.randrange(len(ZONES))

    def _set_faults(self, faults: DiskFaults) -> None:
        """Let one or two disks fail."""
        first = self._pick()
        failing = {first}
        if self._random.random() < 0.5:
            failing.add((first + 1) % len(ZONES))
        self.steps.append(f"{sorted(failing)} {faults}")
        for number in failing:
            self._disks[number].set_faults(faults)

    def _pause(self) -> None:
        self.steps.append("nothing fails")

    def _fail_syncs(self) -> None:
        self._set_faults(DiskFaults(fails_syncs=True))
        time.sleep(self._random.uniform(0.05, 0.6))
        if self._random.random() < 0.6:
            self._heal()

    def _fill(self) -> None:
        self._set_faults(DiskFaults(is_full=True))
        time.sleep(self._random.uniform(0.05, 0.6))
        if self._random.random() < 0.6:
            self._heal()

    def _hang(self) -> None:
        self._set_faults(DiskFaults(hangs=True))
        time.sleep(self._random.uniform(0.05, 0.6))

    def _lag(self) -> None:
        """Stop a replica until the others have compacted their logs."""
        number = self._pick()
        process = self._cluster.controls[number]
        self.steps.append(f"{process.name} lags")
        process.kill()
        wanted = self._operator.accepted + 2 * SNAPSHOT_ENTRIES
        until = time.monotonic() + MAX_LAG_S
        while time.monotonic() < until:
            if self._operator.accepted >= wanted:
                break
            time.sleep(0.02)
        self._disks[number].set_faults(DiskFaults(sync_s=0.02))
        process.restart()
        time.sleep(self._random.uniform(0.8, 1.6))

    def _replace(self) -> None:
        """Lose a disk and let a new replica take the place of the old one."""
        number = self._pick()
        process = self._cluster.controls[number]
        old = self._find_row(process)
        if old is None:
            return
        self.steps.append(f"{process.name} loses its disk")
        self._is_whole = False
        process.kill()
        self._disks[number].wipe()
        process.restart()
        until = time.monotonic() + REPLACE_S
        while time.monotonic() < until and not self._is_whole:
            time.sleep(0.05)
            self._is_whole = self._is_replaced(process, old["identity"])
        self.steps.append(f"it is replaced: {self._is_whole}")

    def _is_replaced(self, process: Process, old: str) -> bool:
        found = self._find_row(process)
        if found is None:
            return False
        if found["identity"] != old:
            return bool(found["voter"] and found["match_index"])
        request = {"action": "replace", "name": process.name}
        for target in self._cluster.controls:
            self._operator.post(target, "/replicas", request)
        return False

    def _find_row(self, process: Process) -> Any | None:
        """Return how the leader lists a replica, None without a leader."""
        cluster = self._cluster
        leader = cluster.leader()
        found = None if leader is None else cluster.fetch(leader, "/replicas")
        for row in [] if found is None else found["replicas"]:
            if row["name"] == process.name:
                return row
        return None

    def _heal(self) -> None:
        for disk in self._disks:
            disk.set_faults(DiskFaults())
        time.sleep(self._random.uniform(0.0, 1.5))

    def _kill_all(self) -> None:
        controls = list(self._cluster.controls)
        self._random.shuffle(controls)
        for process in controls:
            process.kill()

    def _kill_starts(self) -> None:
        """Start all replicas; kill each at an operation of its disk."""
        counts = [self._random.randint(1, MAX_KILL_AFTER) for _ in ZONES]
        self.steps.append(f"starts killed at operations {counts}")
        for disk, count in zip(self._disks, counts, strict=True):
            disk.set_faults(DiskFaults(sync_s=0.002, kill_after=count))
        for process in self._cluster.controls:
            process.restart()
        until = time.monotonic() + KILLED_START_S
        while time.monotonic() < until:
            if not any(one.is_running for one in self._cluster.controls):
                break
            time.sleep(0.02)
        self._kill_all()

    def _lose_power(self) -> None:
        forms = [NONE_KEPT, ALL_KEPT, SOME_KEPT]
        if self._random.random() < 0.5:
            forms = [self._random.choice(forms)]
        for disk in self._disks:
            kept = self._random.choice(forms)
            left = disk.lose_power(kept)
            self.steps.append(f"power lost, {kept} kept: {left}")

    def _check(self) -> None:
        cluster = self._cluster
        for disk in self._disks:
            disk.set_faults(DiskFaults())
        for process in cluster.controls:
            process.restart()
        accepted = self._operator.accepted
        revision = cluster.wait_for("the configuration", self._read_revision)
        self.steps.append(f"{accepted} accepted, {revision} read")
        assert revision >= accepted
        cluster.wait_for("the next change", lambda: self._is_changed(accepted))
        assert not self._operator.refused
        for process in cluster.controls:
            assert process.is_running, process.name

    def _is_changed(self, accepted: int) -> bool:
        return self._operator.accepted > accepted or bool(
            self._operator.refused
        )

    def _read_revision(self) -> int | None:
        """Return the revision at the leader, None while there is none.

        :raises AssertionError: a replica does not start
        """
        cluster = self._cluster
        for process in cluster.controls:
            assert process.is_running, f"{process.name} ended by itself"
        leader = cluster.leader()
        tree = None if leader is None else cluster.fetch(leader, "/tree")
        if tree is None:
            return None
        found = tree["revisions"].get("lending")
        return None if found is None else int(found)


@pytest.mark.parametrize("seed", range(FIRST_SEED, FIRST_SEED + SERIES))
def test_series_of_losses_keep_accepted_changes(
    tmp_path: Path, seed: int
) -> None:
    """Replicas lost accepted changes that no sync of theirs had covered."""
    series = Series(tmp_path, seed)
    try:
        series.run()
    except Exception:
        print(f"seed {seed}", *series.steps, sep="\n")
        raise
