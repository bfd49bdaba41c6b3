"""Choose with perfect knowledge and one queue: the limit for any policy."""

from collections import deque
from typing import TYPE_CHECKING

from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement

from .policy_baselines import DEADLINE_S

if TYPE_CHECKING:
    from .policy_upstreams import Endpoint
    from .policy_upstreams import Simulation

# A call handed out with less left than this would often end too late.
LATE_S = 0.1


class Waiting:
    """Hold a call in the one queue."""

    __slots__ = ("attempts", "call_id", "deadline_at", "entry", "method")

    def __init__(
        self, entry: int, call_id: int, method: str, deadline_at: float
    ) -> None:
        self.entry = entry
        self.call_id = call_id
        self.method = method
        self.deadline_at = deadline_at
        self.attempts = 0


class Oracle:
    """See every endpoint as it is; hand a slot out as it falls free."""

    def __init__(self) -> None:
        self._simulation: Simulation | None = None
        self._queue: deque[Waiting] = deque()

    def watch(self, simulation: "Simulation") -> None:
        """See through a simulation."""
        self._simulation = simulation
        simulation.on_idle = self.dispatch

    def dispatch(self) -> None:
        """Hand out the free slots."""
        assert self._simulation is not None
        now = self._simulation.now
        while self._queue:
            call = self._queue[0]
            if now + LATE_S > call.deadline_at:
                self._queue.popleft()
                action: Action = Refuse(call.call_id, "late", 0.0)
                self._simulation.perform(call.entry, [action])
                continue
            endpoint = self._best(now)
            if endpoint is None:
                return
            self._queue.popleft()
            call.attempts += 1
            remaining_s = call.deadline_at - now
            action = Send(
                call.call_id, call.attempts, endpoint.name, remaining_s
            )
            self._simulation.perform(call.entry, [action])

    def enqueue(self, call: Waiting) -> None:
        """Let a call wait or go."""
        assert self._simulation is not None
        self._queue.append(call)
        self._simulation.at(self._simulation.now, self.dispatch)

    def _best(self, now: float) -> "Endpoint | None":
        assert self._simulation is not None
        best = None
        best_factor = 0.0
        fast_slots = 0
        for endpoint in self._simulation.endpoints.values():
            if endpoint.dead or endpoint.failing or endpoint.leaving:
                continue
            factor = endpoint.factor(now)
            if factor < 2.0:
                fast_slots += endpoint.slots
            if endpoint.busy >= endpoint.slots:
                continue
            if best is None or factor < best_factor:
                best = endpoint
                best_factor = factor
        wait = len(self._queue) / max(1, fast_slots)
        if best_factor > 1.0 + wait and best_factor >= 2.0:
            # Waiting for a fast slot ends sooner than a slow one now.
            return None
        return best


class OracleEntry:
    """Stand at one entry for the oracle."""

    def __init__(self, oracle: Oracle, entry: int) -> None:
        self.oracle = oracle
        self._entry = entry
        self._calls: dict[int, Waiting] = {}
        self._next_id = 1

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
    ) -> tuple[int, list[Action]]:
        """Put a call into the one queue."""
        call_id = self._next_id
        self._next_id += 1
        deadline_at = now + (caller_deadline_s or DEADLINE_S)
        call = Waiting(self._entry, call_id, method, deadline_at)
        self._calls[call_id] = call
        self.oracle.enqueue(call)
        return call_id, []

    def finish(self, result: Result, now: float) -> list[Action]:
        """Take an attempt's end."""
        if result.outcome == ANSWERED:
            return [Finish(result.call_id, result.attempt)]
        call = self._calls[result.call_id]
        if result.outcome == LOST and call.method != "GET":
            return [Lose(result.call_id, "lost")]
        self.oracle.enqueue(call)
        return []

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Need no probe."""
        return []

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Need no announcement."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing."""
        return []

    def next_wakeup(self) -> float | None:
        """Ask for no tick."""
        return None
