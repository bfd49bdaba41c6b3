"""Measure what a decision costs and how retries multiply over layers."""

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
SIZES = (15, 150, 730)
SLOTS = 2
DECISIONS = 8000
LAYERS = 16
TOP_CALLS = 500
GAP_S = 0.001


def build(endpoints: int, seed: int, now: float = 0.0) -> Balancer:
    """Build one entry's balancer with a pool of some size."""
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
    found = [
        Announcement(SERVICE, f"{number}:1", "surco", SLOTS, 1)
        for number in range(endpoints)
    ]
    balancer.update_upstreams(found, now)
    return balancer


def decision_us(endpoints: int) -> float:
    """Return the time of one call's decisions, arrival to end, in us."""
    balancer = build(endpoints, 1)
    under_way: deque[Send] = deque()
    now = 0.0
    started = 0.0
    for number in range(DECISIONS + endpoints):
        if number == endpoints:
            started = time.perf_counter()
        now += GAP_S
        _, actions = balancer.arrive(SERVICE, "GET", "/", now)
        under_way.extend(one for one in actions if isinstance(one, Send))
        if len(under_way) <= endpoints // 2:
            continue
        send = under_way.popleft()
        result = Result(send.call_id, send.attempt, ANSWERED, 0.02, 1)
        balancer.finish(result, now)
        balancer.next_wakeup()
    return (time.perf_counter() - started) / DECISIONS * 1e6


class Layers:
    """Chain layers, each behind a balancer; the lowest always fails."""

    def __init__(self, marked: bool) -> None:
        self._marked = marked
        self._layers = [build(15, seed) for seed in range(LAYERS)]
        self._now = 0.0
        self.lowest = 0

    def call(self, layer: int, attempt: int) -> None:
        """Run a call through a layer and all below it."""
        balancer = self._layers[layer]
        number = attempt if self._marked else 1
        _, actions = balancer.arrive(
            SERVICE, "GET", "/", self._now, None, number
        )
        pending: deque[Action] = deque(actions)
        while pending:
            action = pending.popleft()
            if isinstance(action, Lose) or not isinstance(action, Send):
                continue
            if layer + 1 < LAYERS:
                self.call(layer + 1, max(attempt, action.attempt))
            else:
                self.lowest += 1
            result = Result(action.call_id, action.attempt, LOST, 0.001)
            pending.extend(balancer.finish(result, self._now))

    def factor(self) -> float:
        """Return the calls at the lowest layer per call at the top."""
        for _ in range(TOP_CALLS):
            self._now += GAP_S
            self.call(0, 1)
        return self.lowest / TOP_CALLS


def report() -> None:
    """Print both tables."""
    print("\ncost of a call's decisions (arrival, answer, wake-up)")
    for size in SIZES:
        best = min(decision_us(size) for _ in range(3))
        print(f"{size:5} endpoints {best:6.1f} us")
    print(f"\ncalls at the lowest of {LAYERS} failing layers per call")
    print(f"budget and retry mark {Layers(True).factor():6.2f}")
    print(f"budget alone          {Layers(False).factor():6.2f}")
    print(f"neither (2 attempts)  {2**LAYERS:6}")
