"""Choose the endpoint where a call is expected to end first."""

from math import sqrt
from random import Random

from .endpoints import Endpoint
from .latencies import FIRST_S
from .latencies import Mean
from .policies import Policy

# Both bounds keep the cost of a decision the same at any pool size. The
# endpoints heard last are those of which anything is known: at a pool's
# mean load a report says little after a few service times.
RECENT = 8
SAMPLE = 8

# A report's age of half weight, in mean latencies.
REPORT_KEPT = 1.0
# Spread of the load estimate: even below its slots an endpoint may queue.
SPREAD = 1.0
OTHER_ZONE_S = 0.002
SUSPECT_FACTOR = 1.0
EJECTED_MOST_SHARE = 0.5


class Chooser:
    """Score a bounded set of candidates, the best one wins."""

    __slots__ = (
        "_ejected",
        "_latency",
        "_order",
        "_others",
        "_policy",
        "_random",
        "_recent",
    )

    def __init__(self, random: Random, policy: Policy) -> None:
        self._random = random
        self._policy = policy
        self._order: list[Endpoint] = []
        self._recent: dict[str, Endpoint] = {}
        self._ejected: set[str] = set()
        self._latency = Mean(FIRST_S)
        self._others = Mean(0.0)

    @property
    def latency_s(self) -> float:
        """Give the mean latency of answers, in seconds."""
        return self._latency.value

    @property
    def ejected(self) -> set[str]:
        """Name the endpoints that are ejected or on trial."""
        return self._ejected

    def update(self, endpoints: list[Endpoint]) -> None:
        """Take the endpoints that may be chosen."""
        self._order = endpoints
        known = {endpoint.address for endpoint in endpoints}
        self._ejected &= known
        for address in list(self._recent):
            if address not in known:
                del self._recent[address]

    def choose(
        self, avoid: list[str], trial: bool, now: float
    ) -> Endpoint | None:
        """Return the best endpoint; ``trial`` allows one on trial."""
        best = None
        best_score = 0.0
        floor = self._below_floor()
        for endpoint in self._candidates():
            if endpoint.in_flight >= endpoint.slots:
                continue
            if endpoint.address in avoid:
                continue
            if not floor and not self._open(endpoint, trial, now):
                continue
            score = self.score(endpoint, now)
            if best is None or score < best_score:
                best = endpoint
                best_score = score
        if best is None:
            best = self._any(avoid, trial, floor, now)
        return best

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Estimate when a call sent now would be answered, in seconds."""
        mean_s = self._latency.value
        latency_s = mean_s
        if self._policy.latency:
            latency_s = endpoint.latency(mean_s, now)
        load = float(endpoint.in_flight)
        mean = self._others.value
        if self._policy.reports and not (
            self._policy.trust and endpoint.stuck
        ):
            load += endpoint.others(mean, REPORT_KEPT * mean_s, now)
        else:
            load += mean
        slots = endpoint.slots
        over = load + 1.0 - slots
        waiting = (over + sqrt(over * over + SPREAD)) / 2.0
        score = latency_s * (1.0 + waiting / slots)
        if self._policy.suspicion:
            score *= 1.0 + SUSPECT_FACTOR * endpoint.stalled
        if self._policy.warm_up:
            score *= endpoint.coldness(now)
        if self._policy.zones and not endpoint.local:
            score += OTHER_ZONE_S
        return score

    def hear_load(self, endpoint: Endpoint, load: int, now: float) -> None:
        """Take an endpoint's load report."""
        self._others.learn(endpoint.hear_load(load, now))
        self._recent.pop(endpoint.address, None)
        self._recent[endpoint.address] = endpoint
        if len(self._recent) > RECENT:
            del self._recent[next(iter(self._recent))]

    def hear_answer(
        self, endpoint: Endpoint, latency_s: float, now: float
    ) -> None:
        """Take the time of an answer, in seconds."""
        endpoint.hear_latency(latency_s, now)
        self._latency.learn(latency_s)
        endpoint.succeed()
        self._ejected.discard(endpoint.address)

    def hear_failure(self, endpoint: Endpoint, now: float) -> None:
        """Take word that an attempt failed at an endpoint."""
        if self._policy.ejection and endpoint.fail(now):
            self._ejected.add(endpoint.address)

    def stalest(self, before: float) -> Endpoint | None:
        """Return the endpoint unheard for longest, if before a time."""
        best = None
        best_at = before
        for endpoint in self._order:
            heard_at = endpoint.heard_at
            if heard_at is None:
                return endpoint
            if heard_at < best_at:
                best = endpoint
                best_at = heard_at
        return best

    def _open(self, endpoint: Endpoint, trial: bool, now: float) -> bool:
        if endpoint.address not in self._ejected:
            return True
        if now < endpoint.ejected_until or not trial:
            return False
        return endpoint.in_flight == 0

    def _below_floor(self) -> bool:
        # When most of the pool fails, the cause is rarely the endpoints;
        # sending all to the few left would take these down as well.
        most = len(self._order) * EJECTED_MOST_SHARE
        return len(self._ejected) > most

    def _candidates(self) -> list[Endpoint]:
        order = self._order
        if len(order) <= RECENT + SAMPLE:
            found = order
        else:
            found = list(self._recent.values())
            for _ in range(SAMPLE):
                found.append(order[int(self._random.random() * len(order))])
        start = int(self._random.random() * len(found)) if found else 0
        return found[start:] + found[:start]

    def _any(
        self, avoid: list[str], trial: bool, floor: bool, now: float
    ) -> Endpoint | None:
        if len(self._order) <= RECENT + SAMPLE:
            return None
        for endpoint in self._order:
            if endpoint.in_flight >= endpoint.slots:
                continue
            if endpoint.address in avoid:
                continue
            if floor or self._open(endpoint, trial, now):
                return endpoint
        return None
