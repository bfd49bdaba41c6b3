"""Let upstreams make demands in turn and find calls that ignored them."""

import threading
import time
from collections.abc import Sequence
from random import Random

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from .clusters import Process
from .upstreams import Demands
from .upstreams import DEMANDS_PATH
from .upstreams import SEEN_PATH

INTERVAL_S = (0.5, 2.0)
DURATION_S = 9.0
LIMITS_PER_S = (0.0, 2.5)
TIMEOUT_S = 1.0

# An endpoint may get more than its limit in any WINDOW_S by this factor and
# this many calls, from LEARN_S after it first named it.
WINDOW_S = 4.0
LEARN_S = 3.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Calls that were under way when an upstream asked for rest arrive within this
# time. Then each entry may be turned away once, and may send two more.
REST_GRACE_S = 0.5
CALLS_PER_REST = 3
# From this time after an upstream first said that it leaves, each entry may be
# told once.
DRAIN_S = 2.0
# Calls that an entry may send that restarts or thaws and must learn anew.
CALLS_PER_FAULT = 6
# How long before a period such a fault still matters.
FAULT_AGE_S = 3.0


class DemandPeriod:
    """Hold what an upstream asked for and when calls arrived there."""

    __slots__ = ("address", "began_at", "demands", "seen")

    def __init__(self, address: str, demands: Demands) -> None:
        self.address = address
        self.demands = demands
        self.began_at = time.time()
        # Unix times of calls and load queries.
        self.seen: list[float] = []

    def excess(self, entries: int, faults: Sequence[float]) -> float:
        """Return how many calls too many arrived.

        ``faults`` are the Unix times at which entries were disturbed.
        """
        end = self.began_at + DURATION_S
        relevant = [
            at for at in faults if self.began_at - FAULT_AGE_S < at < end
        ]
        allowed = CALLS_PER_FAULT * len(relevant)
        demands = self.demands
        if demands.limit is not None:
            allowed_calls = LIMIT_FACTOR * demands.limit * WINDOW_S
            allowed_calls += LIMIT_SLACK
            return self._max_in_window() - allowed_calls - allowed
        if demands.draining:
            return self._count_after(DRAIN_S) - entries - allowed
        after = self._count_after(REST_GRACE_S)
        return after - entries * CALLS_PER_REST - allowed

    def _count_after(self, delay_s: float) -> int:
        return sum(at > self.began_at + delay_s for at in self.seen)

    def _max_in_window(self) -> int:
        times = [at for at in self.seen if at > self.began_at + LEARN_S]
        most = 0
        first = 0
        for last, at in enumerate(times):
            while at - times[first] > WINDOW_S:
                first += 1
            most = max(most, last - first + 1)
        return most


class Demander:
    """Let one upstream after the other make a demand chosen at random."""

    def __init__(self, upstreams: list[Process], random: Random) -> None:
        self._upstreams = upstreams
        self._random = random
        self._stopping = threading.Event()
        self._pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
        self.periods: list[DemandPeriod] = []

    def run(self, seconds: float) -> None:
        """Make demands for some seconds; none holds on return."""
        until = time.monotonic() + seconds
        while not self._stopping.wait(self._random.uniform(*INTERVAL_S)):
            if time.monotonic() + DURATION_S >= until:
                return
            upstream = self._random.choice(self._upstreams)
            demands = self._draw()
            if not self._send(upstream.address, demands):
                continue
            print(f"{upstream.name} asks for {demands}", flush=True)
            period = DemandPeriod(upstream.address, demands)
            self._stopping.wait(DURATION_S)
            self._record(period)
            self._end(upstream, demands)

    def _draw(self) -> Demands:
        kind = self._random.randrange(3)
        limit = round(self._random.uniform(*LIMITS_PER_S), 1)
        if kind == 0:
            return Demands(limit=limit)
        if kind == 1:
            return Demands(rest_s=DURATION_S)
        return Demands(draining=True)

    def _end(self, upstream: Process, demands: Demands) -> None:
        self._send(upstream.address, Demands())
        if demands.draining and upstream.is_running:
            # It leaves for good; the fault injector starts the next process.
            upstream.kill()

    def _send(self, address: str, demands: Demands) -> bool:
        body = msgspec.json.encode(demands)
        try:
            answer = self._pool.request(
                "POST", f"http://{address}{DEMANDS_PATH}", body=body
            )
        except HTTPError:
            # The upstream is down or frozen by another fault.
            return False
        return answer.status == 200

    def _record(self, period: DemandPeriod) -> None:
        """Record a period, unless the upstream ended or restarted in it.

        A restarted upstream is another process and makes no demands.
        """
        url = f"http://{period.address}"
        try:
            demands = self._pool.request("GET", url + DEMANDS_PATH)
            seen = self._pool.request("GET", url + SEEN_PATH)
        except HTTPError:
            return
        if msgspec.json.decode(demands.data, type=Demands) != period.demands:
            return
        period.seen = msgspec.json.decode(seen.data, type=list[float])
        self.periods.append(period)


def find_excess(
    periods: list[DemandPeriod], entries: int, faults: Sequence[float]
) -> list[str]:
    """Return the demands that calls ignored, with the number too many."""
    found = []
    for period in periods:
        excess = period.excess(entries, faults)
        if excess > 0:
            found.append(f"{period.address}.{period.demands}: {excess:g}")
    return found
