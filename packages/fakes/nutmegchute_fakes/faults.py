"""Draw a schedule of faults and inject it into a cluster's processes."""

import signal
import threading
import time
from collections.abc import Callable
from random import Random

from .clusters import Cluster
from .clusters import Process
from .partitions import FORMS
from .partitions import Partitions

KILL = "kill"
FREEZE = "freeze"
DRAIN = "drain"
RACE = "race"
# An entry loses its links to all upstreams, in one of FORMS.
CUT = "cut"
# A process gets one of SERIES_FORMS: signals, each after seconds.
SERIES = "series"
SERIES_FORMS = {
    "double-drain": ((0.0, signal.SIGTERM), (0.4, signal.SIGTERM)),
    "drain-kill": ((0.0, signal.SIGTERM), (0.3, signal.SIGKILL)),
    "frozen-drain": (
        (0.0, signal.SIGSTOP),
        (0.1, signal.SIGTERM),
        (0.9, signal.SIGCONT),
    ),
    "freezes": (
        (0.0, signal.SIGSTOP),
        (0.3, signal.SIGCONT),
        (0.4, signal.SIGSTOP),
        (0.7, signal.SIGCONT),
        (0.8, signal.SIGTERM),
    ),
    "drain-freeze": (
        (0.0, signal.SIGTERM),
        (0.1, signal.SIGSTOP),
        (1.2, signal.SIGCONT),
    ),
}

INTERVAL_S = (0.3, 2.0)
DOWN_S = (0.5, 4.0)
STOP_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.05
CRASH_DOWN_S = 0.5
RESTART_CHECK_S = 1.0
# Control replicas fail less often, so that there is mostly a quorum.
FAULT_CHOICES = (
    ("entry", KILL),
    ("entry", FREEZE),
    ("entry", DRAIN),
    ("entry", CUT),
    ("entry", CUT),
    ("upstream", KILL),
    ("upstream", KILL),
    ("upstream", FREEZE),
    ("upstream", DRAIN),
    ("control", KILL),
    ("control", FREEZE),
    ("operator", RACE),
    ("entry", SERIES),
    ("upstream", SERIES),
    ("control", SERIES),
)


class Fault:
    """Hold the kind of a fault, its process, its start and its duration."""

    __slots__ = ("at_s", "down_s", "form", "index", "kind", "role")

    def __init__(
        self,
        at_s: float,
        role: str,
        index: int,
        kind: str,
        down_s: float,
        form: str = "",
    ) -> None:
        self.form = form
        self.at_s = at_s
        self.role = role
        self.index = index
        self.kind = kind
        self.down_s = down_s

    def __str__(self) -> str:
        """Return the fault in one line."""
        kind = f"{self.kind} {self.form}" if self.form else self.kind
        return (
            f"{self.at_s:6.2f} s {kind} {self.role}-{self.index + 1} "
            f"for {self.down_s:.2f} s"
        )


def draw_schedule(
    random: Random, seconds: float, sizes: dict[str, int]
) -> list[Fault]:
    """Draw the faults of a run; a seed always draws the same ones."""
    faults = []
    at_s = random.uniform(*INTERVAL_S)
    while at_s < seconds:
        role, kind = random.choice(FAULT_CHOICES)
        index = random.randrange(sizes.get(role, 1))
        down_s = random.uniform(*DOWN_S)
        form = ""
        if kind == CUT:
            form = random.choice(FORMS)
        elif kind == SERIES:
            form = random.choice(list(SERIES_FORMS))
        faults.append(Fault(at_s, role, index, kind, down_s, form))
        at_s += random.uniform(*INTERVAL_S)
    return faults


class Repair:
    """Restore a process after a fault."""

    __slots__ = ("_kind", "_started_at", "at_s", "process")

    def __init__(self, process: Process, kind: str, at_s: float) -> None:
        self.process = process
        self.at_s = at_s
        self._kind = kind
        self._started_at: float | None = None

    def advance(self, now: float) -> bool:
        """Take the next step; return whether the process runs again."""
        if self._kind == FREEZE:
            self.process.signal(signal.SIGCONT)
            return True
        if not self.process.is_running:
            # It may exit again at once: a connection of another process
            # can briefly occupy its port.
            self.process.restart()
            self._started_at = now
            return False
        if self._started_at is not None:
            return now - self._started_at > RESTART_CHECK_S
        if now - self.at_s > STOP_TIMEOUT_S:
            print(f"{self.process.name} did not stop in time", flush=True)
            self.process.kill()
        return False


class FaultInjector:
    """Inject faults on time and repair each after its down time."""

    def __init__(
        self,
        cluster: Cluster,
        faults: list[Fault],
        race: Callable[[], None],
        partitions: Partitions,
    ) -> None:
        self._partitions = partitions
        # When each cut of an entry ends, by its name.
        self._cuts: dict[str, float] = {}
        self._processes = {
            "entry": cluster.entries,
            "control": cluster.controls,
            "upstream": cluster.upstreams,
        }
        self._faults = list(faults)
        self._race = race
        self._repairs: list[Repair] = []
        self._under_repair: set[str] = set()
        # Signals of series that are still to be sent, with their times.
        self._signals: list[tuple[float, Process, signal.Signals]] = []
        self._now = 0.0
        # Unix times at which entries were disturbed or restored.
        self.entry_faults: list[float] = []

    def run(self) -> None:
        """Inject all faults; all processes run again when it returns."""
        started = time.monotonic()
        while self._faults or self._repairs or self._cuts:
            self._now = time.monotonic() - started
            self._heal_links()
            self._send_signals()
            self._schedule_restarts()
            self._run_repairs()
            if self._faults and self._faults[0].at_s <= self._now:
                self._inject(self._faults.pop(0))
            time.sleep(POLL_INTERVAL_S)

    def _inject(self, fault: Fault) -> None:
        print(fault, flush=True)
        if fault.kind == RACE:
            threading.Thread(target=self._race, daemon=True).start()
            return
        process = self._processes[fault.role][fault.index]
        if fault.kind == CUT:
            # Overlaps with the other faults of the entry.
            self._cuts[process.name] = self._now + fault.down_s
            self._partitions.cut([process.name], fault.form)
            self._note_fault(process)
            return
        if process.name in self._under_repair or not process.is_running:
            return
        self._under_repair.add(process.name)
        self._note_fault(process)
        repair_at = self._now + fault.down_s
        if fault.kind == SERIES:
            for after_s, number in SERIES_FORMS[fault.form]:
                at_s = self._now + after_s
                self._signals.append((at_s, process, number))
                repair_at = max(repair_at, at_s + POLL_INTERVAL_S)
            self._send_signals()
        elif fault.kind == KILL:
            process.kill()
        elif fault.kind == FREEZE:
            process.signal(signal.SIGSTOP)
        else:
            process.signal(signal.SIGTERM)
        self._repairs.append(Repair(process, fault.kind, repair_at))

    def _send_signals(self) -> None:
        waiting = []
        for at_s, process, number in self._signals:
            if self._now < at_s:
                waiting.append((at_s, process, number))
                continue
            process.signal(number)
        self._signals = waiting

    def _heal_links(self) -> None:
        for name, until in list(self._cuts.items()):
            if self._now >= until:
                del self._cuts[name]
                self._partitions.heal([name])

    def _schedule_restarts(self) -> None:
        """Schedule a restart of each upstream that exited by itself."""
        for process in self._processes["upstream"]:
            if process.is_running or process.name in self._under_repair:
                continue
            self._under_repair.add(process.name)
            restart_at = self._now + CRASH_DOWN_S
            self._repairs.append(Repair(process, KILL, restart_at))

    def _run_repairs(self) -> None:
        waiting = []
        for repair in self._repairs:
            if self._now < repair.at_s or not repair.advance(self._now):
                waiting.append(repair)
                continue
            self._under_repair.discard(repair.process.name)
            self._note_fault(repair.process)
        self._repairs = waiting

    def _note_fault(self, process: Process) -> None:
        if process in self._processes["entry"]:
            self.entry_faults.append(time.time())
