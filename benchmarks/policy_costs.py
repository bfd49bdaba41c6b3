"""Measure the cost of decisions and how retries multiply across layers."""

import time
from collections import deque

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement
from nutmegchute_core.rules import read_services

SERVICE = "catalogo"
POOL_SIZES = (15, 150, 730)
SLOTS = 2
MEASURED_CALLS = 8000
LAYERS = 16
CALLS_AT_TOP = 500
GAP_S = 0.001


def build_balancer(endpoints: int, seed: int, now: float = 0.0) -> Balancer:
    """Build one entry's balancer with this number of endpoints."""
    rule = {
        "name": "lookup",
        "reason": "benchmark",
        "idempotent": True,
        "hedge": True,
        "attempts": 2,
    }
    service = {"slots": SLOTS, "most_entries": 1, "rules": [rule]}
    balancer = Balancer(seed, "surco")
    documents = {"team": {"services": {SERVICE: service}}}
    balancer.configure(read_services(documents), now)
    announcements = [
        Announcement(SERVICE, f"{number}:1", "surco", SLOTS, 1)
        for number in range(endpoints)
    ]
    balancer.update_upstreams(announcements, now)
    return balancer


def decision_us(endpoints: int) -> float:
    """Return the time of all decisions on one call, in microseconds."""
    balancer = build_balancer(endpoints, 1)
    in_flight: deque[Send] = deque()
    now = 0.0
    started = 0.0
    for number in range(MEASURED_CALLS + endpoints):
        if number == endpoints:
            started = time.perf_counter()
        now += GAP_S
        _, actions = balancer.arrive(SERVICE, "GET", "/", now)
        in_flight.extend(one for one in actions if isinstance(one, Send))
        if len(in_flight) <= endpoints // 2:
            continue
        send = in_flight.popleft()
        result = Result(send.call_id, send.attempt, ANSWERED, 0.02, 1)
        balancer.finish(result, now)
        balancer.next_wakeup()
    return (time.perf_counter() - started) / MEASURED_CALLS * 1e6


class LayerChain:
    """Chain services, each behind a balancer; the lowest always fails.

    With ``marks_retries`` each layer passes the attempt number on.
    """

    def __init__(self, marks_retries: bool) -> None:
        self._marks_retries = marks_retries
        self._layers = [build_balancer(15, seed) for seed in range(LAYERS)]
        self._now = 0.0
        self.calls_at_lowest = 0

    def call(self, layer: int, attempt: int) -> None:
        """Send a call through a layer and all layers below."""
        balancer = self._layers[layer]
        reported_attempt = attempt if self._marks_retries else 1
        _, actions = balancer.arrive(
            SERVICE, "GET", "/", self._now, None, reported_attempt
        )
        pending: deque[Action] = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, Lose) or not isinstance(action, Send):
                continue
            if layer + 1 < LAYERS:
                self.call(layer + 1, max(attempt, action.attempt))
            else:
                self.calls_at_lowest += 1
            result = Result(action.call_id, action.attempt, LOST, 0.001)
            pending.extend(balancer.finish(result, self._now))

    def amplification(self) -> float:
        """Return the calls at the lowest layer per call at the top layer."""
        for _ in range(CALLS_AT_TOP):
            self._now += GAP_S
            self.call(0, 1)
        return self.calls_at_lowest / CALLS_AT_TOP


def print_costs() -> None:
    """Print the cost of decisions and the retry amplification."""
    print("\ncost of a call's decisions (arrival, answer, wake-up)")
    for size in POOL_SIZES:
        best = min(decision_us(size) for _ in range(3))
        print(f"{size:5} endpoints {best:6.1f} us")
    print(f"\ncalls at the lowest of {LAYERS} failing layers per call")
    print(f"budget and retry mark {LayerChain(True).amplification():6.2f}")
    print(f"budget alone          {LayerChain(False).amplification():6.2f}")
    print(f"neither (2 attempts)  {2**LAYERS:6}")
