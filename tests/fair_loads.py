"""Replay loads of organisations on entries that share endpoints."""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.reachability import ANSWERED as ANSWERED_CHECK
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import read_services
from nutmegchute_core.rules import Rule
from support import announcement
from support import rule

SLOTS = 4
ENDPOINT_QUEUE = 8
SERVICE_S = 0.275
NEARLY_FULL_SLOWDOWN = 1.7
LINK_S = 0.001
# Covers the deadline of the last call that is counted.
DRAIN_S = 4.0
QUERIES_PER_S = 40.0
LOOKUP = rule(deadline_ms=4000, objective_ms=1000, attempts=2)


class Load:
    """Send calls of one organisation at a rate, from a time to another.

    With ``repeat_s``, a caller that is refused sends again after that time
    with the time that it has left.
    """

    def __init__(
        self,
        name: str,
        rate_per_s: float,
        entries: list[int] | None = None,
        begin: float = 0.0,
        end: float = 1e9,
        repeat_s: float | None = None,
        rule_name: str = "lookup",
        quota: float = 0.0,
        priority: int = 0,
    ) -> None:
        document = {"rate_per_s": quota, "priority": priority}
        self.organisation = Organisation(name, document)
        self.rate_per_s = rate_per_s
        self.entries = entries
        self.begin = begin
        self.end = end
        self.repeat_s = repeat_s
        self.rule_name = rule_name


class Caller:
    """Hold one request of a load until its answer."""

    def __init__(self, load: Load, at: float, rule: Rule) -> None:
        self.load = load
        self.at = at
        self.rule = rule


class Endpoint:
    """Run calls in slots and a queue; reset the connection when full."""

    def __init__(self, replay: "Replay", address: str) -> None:
        self._replay = replay
        self.address = address
        self.running = 0
        self.waiting: list[Callable[[], None]] = []

    @property
    def load(self) -> int:
        """Return the number of calls that run or wait."""
        return self.running + len(self.waiting)

    def start(self, end: Callable[[], None]) -> None:
        """Run a call; ``end`` is called at its end."""
        self.running += 1
        random = self._replay.random
        taken_s = SERVICE_S * random.lognormvariate(-0.045, 0.3)
        if self.running > 0.8 * SLOTS:
            taken_s *= NEARLY_FULL_SLOWDOWN

        def finish() -> None:
            self.running -= 1
            if self.waiting:
                self.start(self.waiting.pop(0))
            end()

        self._replay.after(taken_s, finish)


class Replay:
    """Replay loads in virtual time; count the outcomes after ``warm_s``."""

    def __init__(
        self,
        loads: list[Load],
        seed: int,
        endpoints: int,
        entries: int = 1,
        until: float = 30.0,
        warm_s: float = 5.0,
        queue: int = 64,
        rules: list[dict[str, Any]] | None = None,
        named: bool = True,
    ) -> None:
        self.random = Random(seed)
        self._now = 0.0
        self._named = named
        self._warm_s = warm_s
        self._until = until
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        service = {
            "rules": rules or [LOOKUP],
            "queue": queue,
            "most_entries": entries,
            "slots": SLOTS,
        }
        services = read_services({"a": {"services": {"catalogo": service}}})
        self._rules = {one.name: one for one in services["catalogo"].rules}
        found = [
            announcement(f"{number}:1", slots=SLOTS)
            for number in range(endpoints)
        ]
        self._endpoints = {
            one.endpoint: Endpoint(self, one.endpoint) for one in found
        }
        self._entries = []
        for number in range(entries):
            balancer = Balancer(seed * 100 + number)
            balancer.configure(services, 0.0)
            balancer.limit_inquiries(QUERIES_PER_S, 1 / entries)
            balancer.update_upstreams(found, 0.0)
            self._entries.append(balancer)
        self._callers: list[dict[int, Caller]] = [{} for _ in range(entries)]
        self.sent: Counter[tuple[str, str]] = Counter()
        self.answered: Counter[tuple[str, str]] = Counter()
        self.in_time: Counter[tuple[str, str]] = Counter()
        for load in loads:
            self._schedule(load, load.begin)
        while self._events and self._events[0][0] < until + DRAIN_S:
            self._now, _, event = heapq.heappop(self._events)
            event()

    def after(self, delay_s: float, event: Callable[[], None]) -> None:
        """Run an event after a time."""
        self._count += 1
        heapq.heappush(self._events, (self._now + delay_s, self._count, event))

    def share(
        self, counts: Counter[Any], name: str = "", rule: str = ""
    ) -> float:
        """Return a count as a share of the calls of a kind."""

        def total(counter: Counter[Any]) -> int:
            return sum(
                number
                for kind, number in counter.items()
                if name in ("", kind[0]) and rule in ("", kind[1])
            )

        return total(counts) / max(1, total(self.sent))

    def _schedule(self, load: Load, at: float) -> None:
        at += self.random.expovariate(load.rate_per_s)

        def arrive() -> None:
            entries = load.entries or range(len(self._entries))
            caller = Caller(load, at, self._rules[load.rule_name])
            self._count_one(self.sent, caller)
            self._arrive(self.random.choice(entries), caller)
            self._schedule(load, at)

        if at < load.end:
            self.after(at - self._now, arrive)

    def _count_one(self, counts: Counter[Any], caller: Caller) -> None:
        if self._warm_s <= caller.at < self._until:
            counts[caller.load.organisation.name, caller.rule.name] += 1

    def _arrive(self, entry: int, caller: Caller) -> None:
        left_s = caller.rule.deadline_s - (self._now - caller.at)
        if left_s <= 0:
            return
        balancer = self._entries[entry]
        call_id, actions = balancer.arrive_with_rule(
            "catalogo",
            caller.rule,
            self._now,
            left_s,
            organisation=caller.load.organisation if self._named else None,
        )
        self._callers[entry][call_id] = caller
        self._perform(entry, actions)

    def _perform(self, entry: int, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(entry, action)
                continue
            if isinstance(action, Probe):
                self._query(entry, action)
                continue
            if isinstance(action, LinkCheck):
                self._check_link(entry, action)
                continue
            if not isinstance(action, (Finish, Refuse)):
                continue
            caller = self._callers[entry].pop(action.call_id)
            if isinstance(action, Finish):
                self._count_one(self.answered, caller)
                if self._now - caller.at <= caller.rule.objective_s:
                    self._count_one(self.in_time, caller)
                continue
            if caller.load.repeat_s is not None:
                self._repeat(caller)
        wakeup = self._entries[entry].next_wakeup()
        if wakeup is not None:
            self.after(max(0.0, wakeup - self._now), self._tick(entry))

    def _repeat(self, caller: Caller) -> None:
        delay_s = caller.load.repeat_s
        assert delay_s is not None
        entries = caller.load.entries or range(len(self._entries))
        entry = self.random.choice(entries)
        self.after(delay_s, lambda: self._arrive(entry, caller))

    def _tick(self, entry: int) -> Callable[[], None]:
        def tick() -> None:
            wakeup = self._entries[entry].next_wakeup()
            if wakeup is not None and wakeup <= self._now:
                self._perform(entry, self._entries[entry].tick(self._now))

        return tick

    def _check_link(self, entry: int, check: LinkCheck) -> None:
        def answer() -> None:
            balancer = self._entries[entry]
            self._perform(
                entry,
                balancer.record_check(
                    check.endpoint, ANSWERED_CHECK, self._now
                ),
            )

        self.after(LINK_S, answer)

    def _query(self, entry: int, probe: Probe) -> None:
        def answer() -> None:
            load = self._endpoints[probe.endpoint].load
            actions = self._entries[entry].record_probe(
                "catalogo", probe.endpoint, load, LINK_S, self._now, 1.0
            )
            self._perform(entry, actions)

        self.after(LINK_S, answer)

    def _send(self, entry: int, send: Send) -> None:
        endpoint = self._endpoints[send.endpoint]
        sent_at = self._now

        def end(outcome: str = ANSWERED) -> None:
            result = Result(
                send.call_id,
                send.attempt,
                outcome,
                self._now - sent_at,
                endpoint.load,
                stretch=1.0,
            )
            self._perform(
                entry, self._entries[entry].finish(result, self._now)
            )

        if endpoint.running < SLOTS:
            endpoint.start(end)
        elif len(endpoint.waiting) < ENDPOINT_QUEUE:
            endpoint.waiting.append(end)
        else:
            self.after(LINK_S, lambda: end(LOST))
