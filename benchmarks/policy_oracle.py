"""Choose with full knowledge and one queue, as an upper bound.

No real strategy can do better: the oracle reads the state of every endpoint
without delay.
"""

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

from .policy_baselines import DEFAULT_DEADLINE_S

if TYPE_CHECKING:
    from .policy_upstreams import Endpoint
    from .policy_upstreams import Simulation

# A call sent with less time left than this would often miss its deadline.
MIN_REMAINING_S = 0.1


class QueuedCall:
    """Hold a call in the oracle's queue."""

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
    """Queue all calls and send each when a suitable slot is free."""

    def __init__(self) -> None:
        self._simulation: Simulation | None = None
        self._queue: deque[QueuedCall] = deque()

    def attach(self, simulation: "Simulation") -> None:
        """Use a simulation's endpoints; dispatch when a slot becomes free."""
        self._simulation = simulation
        simulation.on_slot_free = self.dispatch

    def dispatch(self) -> None:
        """Send queued calls to suitable free slots; refuse late ones."""
        assert self._simulation is not None
        now = self._simulation.now
        while self._queue:
            call = self._queue[0]
            if now + MIN_REMAINING_S > call.deadline_at:
                self._queue.popleft()
                action: Action = Refuse(call.call_id, "late", 0.0)
                self._simulation.perform(call.entry, [action])
                continue
            endpoint = self._best_endpoint(now)
            if endpoint is None:
                return
            self._queue.popleft()
            call.attempts += 1
            remaining_s = call.deadline_at - now
            action = Send(
                call.call_id, call.attempts, endpoint.name, remaining_s
            )
            self._simulation.perform(call.entry, [action])

    def enqueue(self, call: QueuedCall) -> None:
        """Queue a call and schedule a dispatch."""
        assert self._simulation is not None
        self._queue.append(call)
        self._simulation.schedule(self._simulation.now, self.dispatch)

    def _best_endpoint(self, now: float) -> "Endpoint | None":
        assert self._simulation is not None
        best = None
        min_slowdown = 0.0
        fast_slots = 0
        for endpoint in self._simulation.endpoints.values():
            if endpoint.dead or endpoint.failing or endpoint.draining:
                continue
            slowdown = endpoint.slowdown(now)
            if slowdown < 2.0:
                fast_slots += endpoint.slots
            if endpoint.busy >= endpoint.slots:
                continue
            if best is None or slowdown < min_slowdown:
                best = endpoint
                min_slowdown = slowdown
        wait = len(self._queue) / max(1, fast_slots)
        if min_slowdown > 1.0 + wait and min_slowdown >= 2.0:
            # A call that waits for a fast slot ends sooner than on this one.
            return None
        return best


class OracleEntry:
    """Pass one entry's calls and results to the oracle."""

    def __init__(self, oracle: Oracle, entry: int) -> None:
        self.oracle = oracle
        self._entry = entry
        self._calls: dict[int, QueuedCall] = {}
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
        """Queue a call."""
        call_id = self._next_id
        self._next_id += 1
        deadline_at = now + (caller_deadline_s or DEFAULT_DEADLINE_S)
        call = QueuedCall(self._entry, call_id, method, deadline_at)
        self._calls[call_id] = call
        self.oracle.enqueue(call)
        return call_id, []

    def finish(self, result: Result, now: float) -> list[Action]:
        """Finish or lose the call, or queue it again."""
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
        """Ignore probes; the oracle reads the load."""
        return []

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Ignore announcements; the oracle reads the endpoints."""
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing; the oracle has no timers."""
        return []

    def next_wakeup(self) -> float | None:
        """Return None: no tick is needed."""
        return None
