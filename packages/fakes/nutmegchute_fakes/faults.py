"""Draw a schedule of faults and play it on the processes of a cluster."""

import signal
import threading
import time
from collections.abc import Callable
from random import Random

from .clusters import Cluster
from .clusters import Process

KILL = "kill"
FREEZE = "freeze"
DRAIN = "drain"
RACE = "race"

PAUSE_S = (0.3, 2.0)
DOWN_S = (0.5, 4.0)
STOP_S = 15.0
STEP_S = 0.05
CRASHED_S = 0.5
RETRY_S = 1.0
# Faults of controls are rarer, so that much runs with a quorum as well.
FAULT_CHOICES = (
    ("entry", KILL),
    ("entry", FREEZE),
    ("entry", DRAIN),
    ("upstream", KILL),
    ("upstream", KILL),
    ("upstream", FREEZE),
    ("upstream", DRAIN),
    ("control", KILL),
    ("control", FREEZE),
    ("operator", RACE),
)


class Fault:
    """Say what happens to which process, when and for how long."""

    __slots__ = ("at_s", "deed", "down_s", "place", "role")

    def __init__(
        self, at_s: float, role: str, place: int, deed: str, down_s: float
    ) -> None:
        self.at_s = at_s
        self.role = role
        self.place = place
        self.deed = deed
        self.down_s = down_s

    def __str__(self) -> str:
        """Give the fault in one line."""
        return (
            f"{self.at_s:6.2f} s {self.deed} {self.role}-{self.place + 1} "
            f"for {self.down_s:.2f} s"
        )


def draw_schedule(
    random: Random, seconds: float, sizes: dict[str, int]
) -> list[Fault]:
    """Draw the faults of a run; equal seeds draw equal ones."""
    faults = []
    at_s = random.uniform(*PAUSE_S)
    while at_s < seconds:
        role, deed = random.choice(FAULT_CHOICES)
        place = random.randrange(sizes.get(role, 1))
        down_s = random.uniform(*DOWN_S)
        faults.append(Fault(at_s, role, place, deed, down_s))
        at_s += random.uniform(*PAUSE_S)
    return faults


class Repair:
    """Bring a process back after a fault."""

    __slots__ = ("_deed", "_started_at", "at_s", "process")

    def __init__(self, process: Process, deed: str, at_s: float) -> None:
        self.process = process
        self.at_s = at_s
        self._deed = deed
        self._started_at: float | None = None

    def done(self, now: float) -> bool:
        """Take the next step; tell whether the process runs again."""
        if self._deed == FREEZE:
            self.process.signal(signal.SIGCONT)
            return True
        if not self.process.is_running:
            # It may end again at once: its port can be in use by a
            # connection of some other process for a moment.
            self.process.restart()
            self._started_at = now
            return False
        if self._started_at is not None:
            return now - self._started_at > RETRY_S
        if now - self.at_s > STOP_S:
            print(f"{self.process.name} did not stop in time", flush=True)
            self.process.kill()
        return False


class Player:
    """Play faults in time and mend each after its down time."""

    def __init__(
        self, cluster: Cluster, faults: list[Fault], race: Callable[[], None]
    ) -> None:
        self._processes = {
            "entry": cluster.entries,
            "control": cluster.controls,
            "upstream": cluster.upstreams,
        }
        self._faults = list(faults)
        self._race = race
        self._mends: list[Repair] = []
        self._busy: set[str] = set()
        self._now = 0.0

    def run(self) -> None:
        """Play to the end; all processes run again when it returns."""
        started = time.monotonic()
        while self._faults or self._mends:
            self._now = time.monotonic() - started
            self._note_crashes()
            self._mend()
            if self._faults and self._faults[0].at_s <= self._now:
                self._break(self._faults.pop(0))
            time.sleep(STEP_S)

    def _break(self, fault: Fault) -> None:
        print(fault, flush=True)
        if fault.deed == RACE:
            threading.Thread(target=self._race, daemon=True).start()
            return
        process = self._processes[fault.role][fault.place]
        if process.name in self._busy or not process.is_running:
            return
        self._busy.add(process.name)
        if fault.deed == KILL:
            process.kill()
        elif fault.deed == FREEZE:
            process.signal(signal.SIGSTOP)
        else:
            process.signal(signal.SIGTERM)
        mend_at = self._now + fault.down_s
        self._mends.append(Repair(process, fault.deed, mend_at))

    def _note_crashes(self) -> None:
        """See to upstreams that ended by themselves."""
        for process in self._processes["upstream"]:
            if process.is_running or process.name in self._busy:
                continue
            self._busy.add(process.name)
            back_at = self._now + CRASHED_S
            self._mends.append(Repair(process, KILL, back_at))

    def _mend(self) -> None:
        waiting = []
        for repair in self._mends:
            if self._now < repair.at_s or not repair.done(self._now):
                waiting.append(repair)
                continue
            self._busy.discard(repair.process.name)
        self._mends = waiting
