"""Implement the common strategies that the policy is compared with.

Every baseline sends a call at once, retries a failed call once at another
endpoint if that is safe, and uses all announced endpoints that don't drain.
They differ only in how they choose an endpoint.
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

IDEMPOTENT_METHOD = "GET"
DEFAULT_DEADLINE_S = 10.0
MAX_POOLED_PROBES = 16
PROBE_TTL_S = 1.0
HOT_QUANTILE = 0.75


class LoadBalancer(Protocol):
    """Define what the simulation calls in a balancer or a baseline."""

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
    ) -> tuple[int, list[Action]]:
        """Admit a call; return its id and the first actions."""

    def finish(self, result: Result, now: float) -> list[Action]:
        """Record the end of an attempt."""

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Record the end of a probe."""

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Apply the live endpoints."""

    def tick(self, now: float) -> list[Action]:
        """Run the timers that are due."""

    def next_wakeup(self) -> float | None:
        """Return when tick must run next, if ever."""


class EndpointStats:
    """Hold a baseline's data about one endpoint."""

    __slots__ = ("in_flight", "latency_s", "load", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.in_flight = 0
        self.load = 0
        self.latency_s = 0.0


class Baseline:
    """Send each call at once to the endpoint that ``pick`` chooses."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.endpoints: dict[str, EndpointStats] = {}
        self.available: list[EndpointStats] = []
        self._calls: dict[int, tuple[str, list[str], float]] = {}
        self._next_id = 1

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return the endpoint for the next attempt."""
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
        deadline_at = now + (caller_deadline_s or DEFAULT_DEADLINE_S)
        self._calls[call_id] = (method, [], deadline_at)
        return call_id, self._send(call_id, now)

    def finish(self, result: Result, now: float) -> list[Action]:
        """Record the end of an attempt; retry once if that is safe."""
        call = self._calls.get(result.call_id)
        if call is None or result.outcome == CANCELLED:
            return []
        method, tried, _ = call
        stats = self.endpoints.get(tried[-1])
        if stats is not None:
            stats.in_flight = max(0, stats.in_flight - 1)
            self.record_result(stats, result)
        if result.outcome == ANSWERED and not result.failed:
            del self._calls[result.call_id]
            return [Finish(result.call_id, result.attempt)]
        is_retryable = method == IDEMPOTENT_METHOD or result.outcome not in (
            LOST,
            ANSWERED,
        )
        if is_retryable and len(tried) == 1:
            return self._send(result.call_id, now)
        del self._calls[result.call_id]
        if result.outcome == ANSWERED:
            return [Finish(result.call_id, result.attempt)]
        if result.outcome == LOST:
            return [Lose(result.call_id, "lost")]
        return [Refuse(result.call_id, "shed", 0.0)]

    def record_result(self, stats: EndpointStats, result: Result) -> None:
        """Record the load that an attempt's result reports."""
        if result.load is not None:
            stats.load = result.load

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Ignore probes."""
        return []

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Apply the live endpoints."""
        kept = {}
        self.available = []
        for one in announcements:
            stats = self.endpoints.get(one.endpoint) or EndpointStats(
                one.endpoint
            )
            kept[one.endpoint] = stats
            if one.state != DRAINING:
                self.available.append(stats)
        self.endpoints = kept
        return []

    def tick(self, now: float) -> list[Action]:
        """Do nothing; no timer is needed."""
        return []

    def next_wakeup(self) -> float | None:
        """Return None: no tick is needed."""
        return None

    def _send(self, call_id: int, now: float) -> list[Action]:
        _, tried, deadline_at = self._calls[call_id]
        candidates = self.available
        if tried:
            candidates = [one for one in candidates if one.name not in tried]
        if not candidates or now >= deadline_at:
            del self._calls[call_id]
            return [Refuse(call_id, "none", 0.0)]
        stats = self.pick(candidates, now)
        stats.in_flight += 1
        tried.append(stats.name)
        return [Send(call_id, len(tried), stats.name, deadline_at - now)]


class RandomChoice(Baseline):
    """Pick endpoints at random."""

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return a random endpoint."""
        return self.random.choice(candidates)


class RoundRobin(Baseline):
    """Pick each endpoint in turn, from a random start."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._position = random.randrange(1000)

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return the next endpoint in turn."""
        self._position += 1
        return candidates[self._position % len(candidates)]


class PowerOfTwo(Baseline):
    """Pick from two random endpoints by the entry's calls in flight."""

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return the one of two with fewer calls in flight."""
        sampled = self.random.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=lambda one: one.in_flight)


class LeastReported(Baseline):
    """Pick the endpoint that last reported the least load."""

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return the least loaded endpoint; break ties at random."""
        min_load = min(one.load for one in candidates)
        least_loaded = [one for one in candidates if one.load == min_load]
        return self.random.choice(least_loaded)


class Probing(Baseline):
    """Keep a pool of probe replies; pick a cold endpoint by its latency.

    Endpoints whose load is above the pool's HOT_QUANTILE are hot, the others
    cold. The cold endpoint with the least latency is picked, of equals the
    less loaded. Probes go to random endpoints, within the policy's budget.
    """

    def __init__(self, random: Random, budget: ProbeBudget) -> None:
        super().__init__(random)
        self._budget = budget
        self._pool: deque[tuple[float, str, int, float]] = deque()

    def record_result(self, stats: EndpointStats, result: Result) -> None:
        """Record the reported load and average the latency of answers."""
        super().record_result(stats, result)
        if result.outcome == ANSWERED:
            stats.latency_s += 0.3 * (result.latency_s - stats.latency_s)

    def tick(self, now: float) -> list[Action]:
        """Probe a random endpoint if the budget allows."""
        if not self.available or not self._budget.spend(now):
            return []
        return [Probe("", self.random.choice(self.available).name)]

    def next_wakeup(self) -> float | None:
        """Return when the next probe may be sent."""
        return self._budget.next_at

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Add a probe's reply to the pool."""
        stats = self.endpoints.get(endpoint)
        if load is not None and stats is not None:
            self._pool.append((now, endpoint, load, stats.latency_s))
            if len(self._pool) > MAX_POOLED_PROBES:
                self._pool.popleft()
        return []

    def pick(
        self, candidates: list[EndpointStats], now: float
    ) -> EndpointStats:
        """Return the best probed endpoint.

        With fewer than two fresh replies, pick as PowerOfTwo does.
        """
        while self._pool and now - self._pool[0][0] > PROBE_TTL_S:
            self._pool.popleft()
        by_name = {one.name: one for one in candidates}
        fresh = [one for one in self._pool if one[1] in by_name]
        if len(fresh) < 2:
            sampled = self.random.sample(candidates, min(2, len(candidates)))
            return min(sampled, key=lambda one: one.in_flight)
        loads = sorted(one[2] for one in fresh)
        hot = loads[int(HOT_QUANTILE * (len(loads) - 1))]
        cold = [one for one in fresh if one[2] <= hot]
        best = min(cold, key=lambda one: (one[3], one[2]))
        self._pool.remove(best)
        return by_name[best[1]]


BASELINES: dict[str, Callable[[Random], Baseline]] = {
    "random": RandomChoice,
    "round robin": RoundRobin,
    "power of two": PowerOfTwo,
    "least reported": LeastReported,
}
