"""Choose upstreams in the known ways that the policy is measured against.

Every baseline sends at once, retries an idempotent call that failed once
elsewhere and believes the announcements; they differ in the choice alone.
"""

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Protocol

from nutmegchute_core.budgets import ProbeBudget
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING

IDEMPOTENT = "GET"
DEADLINE_S = 10.0
PROBES_KEPT = 16
PROBE_KEPT_S = 1.0
HOT_SHARE = 0.75


class Decider(Protocol):
    """Describe what drives an entry: a balancer or a baseline."""

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
    ) -> tuple[int, list[Action]]:
        """Admit a call."""

    def finish(self, result: Result, now: float) -> list[Action]:
        """Take an attempt's end."""

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Take a probe's end."""

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Take the live endpoints."""

    def tick(self, now: float) -> list[Action]:
        """Do what has fallen due."""

    def next_wakeup(self) -> float | None:
        """Give when tick must run."""


class Known:
    """Hold what a baseline knows of one endpoint."""

    __slots__ = ("in_flight", "latency_s", "load", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.in_flight = 0
        self.load = 0
        self.latency_s = 0.0


class Baseline:
    """Send each call at once to the endpoint that the rule picks."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.known: dict[str, Known] = {}
        self.open: list[Known] = []
        self._calls: dict[int, tuple[str, list[str], float]] = {}
        self._next_id = 1

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick one of the endpoints that may be used."""
        raise NotImplementedError

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
    ) -> tuple[int, list[Action]]:
        """Send a call."""
        call_id = self._next_id
        self._next_id += 1
        deadline_at = now + (caller_deadline_s or DEADLINE_S)
        self._calls[call_id] = (method, [], deadline_at)
        return call_id, self._send(call_id, now)

    def finish(self, result: Result, now: float) -> list[Action]:
        """Take an attempt's end; retry once elsewhere what may be."""
        call = self._calls.get(result.call_id)
        if call is None or result.outcome == CANCELLED:
            return []
        method, tried, _ = call
        known = self.known.get(tried[-1])
        if known is not None:
            known.in_flight = max(0, known.in_flight - 1)
            self.learn(known, result)
        if result.outcome == ANSWERED and not result.failed:
            del self._calls[result.call_id]
            return [Finish(result.call_id, result.attempt)]
        may_repeat = method == IDEMPOTENT or result.outcome not in (
            LOST,
            ANSWERED,
        )
        if may_repeat and len(tried) == 1:
            return self._send(result.call_id, now)
        del self._calls[result.call_id]
        if result.outcome == ANSWERED:
            return [Finish(result.call_id, result.attempt)]
        if result.outcome == LOST:
            return [Lose(result.call_id, "lost")]
        return [Refuse(result.call_id, "shed", 0.0)]

    def learn(self, known: Known, result: Result) -> None:
        """Take what an answer tells."""
        if result.load is not None:
            known.load = result.load

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Take a probe's end."""
        return []

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Take the live endpoints."""
        kept = {}
        self.open = []
        for one in announcements:
            known = self.known.get(one.endpoint) or Known(one.endpoint)
            kept[one.endpoint] = known
            if one.state != DRAINING:
                self.open.append(known)
        self.known = kept
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing."""
        return []

    def next_wakeup(self) -> float | None:
        """Ask for no tick."""
        return None

    def _send(self, call_id: int, now: float) -> list[Action]:
        _, tried, deadline_at = self._calls[call_id]
        open_ones = self.open
        if tried:
            open_ones = [one for one in open_ones if one.name not in tried]
        if not open_ones or now >= deadline_at:
            del self._calls[call_id]
            return [Refuse(call_id, "none", 0.0)]
        known = self.pick(open_ones, now)
        known.in_flight += 1
        tried.append(known.name)
        return [Send(call_id, len(tried), known.name, deadline_at - now)]


class RandomChoice(Baseline):
    """Pick any."""

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick any."""
        return self.random.choice(open_ones)


class RoundRobin(Baseline):
    """Pick each in turn, from a random start."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._turn = random.randrange(1000)

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick the next."""
        self._turn += 1
        return open_ones[self._turn % len(open_ones)]


class PowerOfTwo(Baseline):
    """Pick the one of two with fewer own calls in flight."""

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick the better of two."""
        few = self.random.sample(open_ones, min(2, len(open_ones)))
        return min(few, key=lambda one: one.in_flight)


class LeastReported(Baseline):
    """Pick the one with the least load in its last report."""

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick the least loaded, ties at random."""
        least = min(one.load for one in open_ones)
        few = [one for one in open_ones if one.load == least]
        return self.random.choice(few)


class Probing(Baseline):
    """Keep a pool of probe answers; pick a cold one by its latency.

    Endpoints whose load lies above the pool's HOT_SHARE quantile are
    hot. A cold one with the least latency wins; where all are hot, the
    least loaded. Probes go to random endpoints under the same budget.
    """

    def __init__(self, random: Random, budget: ProbeBudget) -> None:
        super().__init__(random)
        self._budget = budget
        self._pool: deque[tuple[float, str, int, float]] = deque()

    def learn(self, known: Known, result: Result) -> None:
        """Follow the latency of answers."""
        super().learn(known, result)
        if result.outcome == ANSWERED:
            known.latency_s += 0.3 * (result.latency_s - known.latency_s)

    def tick(self, now: float) -> list[Action]:
        """Probe a random endpoint."""
        if not self.open or not self._budget.spend(now):
            return []
        return [Probe("", self.random.choice(self.open).name)]

    def next_wakeup(self) -> float | None:
        """Ask for a tick when the next probe may go."""
        return self._budget.next_at

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Keep a probe's answer."""
        known = self.known.get(endpoint)
        if load is not None and known is not None:
            self._pool.append((now, endpoint, load, known.latency_s))
            if len(self._pool) > PROBES_KEPT:
                self._pool.popleft()
        return []

    def pick(self, open_ones: list[Known], now: float) -> Known:
        """Pick by load and latency; without fresh probes, of two."""
        while self._pool and now - self._pool[0][0] > PROBE_KEPT_S:
            self._pool.popleft()
        names = {one.name: one for one in open_ones}
        fresh = [one for one in self._pool if one[1] in names]
        if len(fresh) < 2:
            few = self.random.sample(open_ones, min(2, len(open_ones)))
            return min(few, key=lambda one: one.in_flight)
        loads = sorted(one[2] for one in fresh)
        hot = loads[int(HOT_SHARE * (len(loads) - 1))]
        cold = [one for one in fresh if one[2] <= hot]
        best = min(cold, key=lambda one: (one[3], one[2]))
        self._pool.remove(best)
        return names[best[1]]


BASELINES: dict[str, Callable[[Random], Baseline]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "power of two": PowerOfTwo,
    "least reported": LeastReported,
}
