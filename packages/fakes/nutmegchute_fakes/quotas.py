"""Simulate entries that obtain permits from control replicas.

Ledgers and allocators exchange their messages in virtual time; what was
admitted is recorded apart from their own counts.
"""

import bisect
import heapq
import itertools
import random
from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.quota_allocators import QuotaAllocator
from nutmegchute_core.quota_ledgers import Admitted
from nutmegchute_core.quota_ledgers import Exceeded
from nutmegchute_core.quota_ledgers import Outgoing
from nutmegchute_core.quota_ledgers import QuotaLedger
from nutmegchute_core.quota_ledgers import TIMEOUT_S
from nutmegchute_core.quotas import QuotaReply
from nutmegchute_core.quotas import QuotaTerms

TERMS = QuotaTerms()
OBSERVE_S = 0.1
MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.0015

Call = tuple[str, int]
RateAt = Callable[[float], float]


def organisation(name: str, rate: float, burst: float) -> Organisation:
    """Build an organisation with a quota."""
    return Organisation(name, {"rate_per_s": rate, "burst": burst})


def max_in_window(times: list[float], window_s: float) -> int:
    """Return the most of sorted times that lie in any window."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def max_within_window(
    calls: list[tuple[float, float]], window_s: float
) -> int:
    """Return the most calls that begin and end in one window.

    Each has the times at which its caller sent it and an endpoint got it.
    """
    most = 0
    begun: list[float] = []
    for begin, end in sorted(calls, key=lambda call: call[1]):
        bisect.insort(begun, begin)
        first = bisect.bisect_left(begun, end - window_s)
        most = max(most, len(begun) - first)
    return most


def bound(quota: Organisation) -> float:
    """Return how many calls may run in any window."""
    base = quota.rate_per_s * TERMS.window_s + quota.burst
    return base * (1 + TERMS.overage) + TERMS.slack


def ideal_admissions(times: list[float], quota: Organisation) -> int:
    """Return how many calls one token bucket for all entries admits."""
    tokens = depth = max(1.0, quota.burst)
    admitted = 0
    before = 0.0
    for at in times:
        tokens = min(depth, tokens + (at - before) * quota.rate_per_s)
        before = at
        if tokens >= 1:
            tokens -= 1
            admitted += 1
    return admitted


class Replica:
    """Run an allocator that is observed periodically."""

    def __init__(self, site: "Site", present: bool) -> None:
        self.site = site
        self.allocator = QuotaAllocator(TERMS, site.now)
        self.present = present
        self.busy_until = 0.0
        # Whether it runs, reaches the entries, and reaches a majority.
        self.runs = self.reachable = self.in_contact = True
        self.configure()
        self.observe()

    def configure(self) -> None:
        """Apply the site's organisations."""
        self.allocator.configure(
            self.site.organisations.values(), self.site.parts, self.site.now
        )

    def observe(self) -> None:
        """Record contact, again and again."""
        if self.runs:
            self.allocator.observe(
                self.in_contact, self.present, False, self.site.now
            )
        self.site.after(OBSERVE_S, self.observe)


class Site:
    """Run entries and replicas in virtual time and record every call."""

    def __init__(
        self,
        entries: int,
        quotas: list[Organisation],
        seed: int,
        replicas: int = 5,
        service_s: float = 0.0,
    ) -> None:
        # How long a replica takes for a message; others wait meanwhile.
        self.service_s = service_s
        self.now = 1000.0
        self.random = random.Random(seed)
        self.parts = replicas
        self.organisations = {one.name: one for one in quotas}
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.replicas: dict[str, Replica] = {}
        for number in range(replicas):
            self.replicas[f"r{number}"] = Replica(self, True)
        self.ledgers: list[QuotaLedger[Call]] = []
        self.frozen: dict[int, list[Callable[[], None]]] = {}
        self.offered: dict[str, list[float]] = defaultdict(list)
        self.admitted: dict[str, list[float]] = defaultdict(list)
        # When the callers sent the admitted calls, in the same order.
        self.sent: dict[str, list[float]] = defaultdict(list)
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.retry_after: list[float] = []
        self.waits: list[float] = []
        self._arrived: dict[int, float] = {}
        self.messages = self.bytes = 0
        self.asked: dict[str, list[float]] = defaultdict(list)
        self._wakeups: dict[int, float] = {}
        # Messages by replica.
        self.requests: Counter[str] = Counter()
        for number in range(entries):
            self.ledgers.append(self._start_entry(number))
            self._sweep(number)

    def after(self, delay_s: float, function: Callable[[], None]) -> None:
        """Call a function later."""
        event = (self.now + delay_s, next(self._order), function)
        heapq.heappush(self._events, event)

    def run(self, seconds: float) -> None:
        """Advance the time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, function = heapq.heappop(self._events)
            function()
        self.now = until

    def load(self, name: str, max_rate: float, rate_at: RateAt) -> None:
        """Send calls to random entries, at a rate that varies."""
        self.after(
            self.random.expovariate(max_rate),
            partial(self._arrive, name, max_rate, rate_at),
        )

    def restart_entry(self, number: int) -> None:
        """Kill an entry and start it again."""
        self.ledgers[number] = self._start_entry(number)

    def configure(self, *quotas: Organisation) -> None:
        """Replace the organisations everywhere."""
        self.organisations = {one.name: one for one in quotas}
        for replica in self.replicas.values():
            replica.configure()
        for number, ledger in enumerate(self.ledgers):
            ledger.configure(quotas)
            self.step(number)

    def step(self, number: int) -> None:
        """Carry out what an entry's ledger has decided."""
        if number in self.frozen:
            return
        ledger = self.ledgers[number]
        for outgoing in ledger.poll(self.now):
            self._send(number, outgoing)
        wakeup_at = ledger.next_wakeup(self.now)
        if wakeup_at is not None and self._wakeups.get(number) != wakeup_at:
            self._wakeups[number] = wakeup_at
            self.after(wakeup_at - self.now, partial(self.step, number))
        for decision in ledger.pop_decisions():
            name, at = decision.call[0], decision.call[1]
            arrived_at = self._arrived.pop(at)
            self.waits.append(self.now - arrived_at)
            if isinstance(decision, Admitted) and decision.permit is None:
                self.outcomes[name, "unlimited"] += 1
                continue
            self.outcomes[name, type(decision).__name__.lower()] += 1
            if isinstance(decision, Admitted):
                assert decision.permit is not None
                assert decision.permit.expires_at > self.now
                self.admitted[name].append(self.now)
                self.sent[name].append(arrived_at)
            elif isinstance(decision, Exceeded):
                self.retry_after.append(decision.retry_after_s)

    def count(self, outcome: str) -> int:
        """Return how many calls of all organisations had an outcome."""
        return sum(
            count
            for (_, one), count in self.outcomes.items()
            if one == outcome
        )

    def check_bound(self, quota: Organisation, begin: float = 0.0) -> int:
        """Return the most calls in a window; assert that it is in bounds."""
        times = [at for at in self.admitted[quota.name] if at >= begin]
        most = max_in_window(times, TERMS.window_s)
        assert most <= bound(quota)
        return most

    def _sweep(self, number: int) -> None:
        self.step(number)
        self.after(OBSERVE_S, partial(self._sweep, number))

    def _start_entry(self, number: int) -> QuotaLedger[Call]:
        # A zone's replica first, as the watcher does.
        names = list(self.replicas)

        def order() -> list[str]:
            known = list(self.replicas)
            first = names[number % len(names)] if names else ""
            if first not in known:
                return known
            return [first, *[one for one in known if one != first]]

        ledger: QuotaLedger[Call] = QuotaLedger(
            f"entry-{number}",
            self.random.getrandbits(32),
            order,
            TERMS.lifetime_s,
        )
        ledger.configure(self.organisations.values())
        return ledger

    def _arrive(self, name: str, max_rate: float, rate_at: RateAt) -> None:
        self.load(name, max_rate, rate_at)
        if self.random.random() * max_rate > rate_at(self.now):
            return
        number = self.random.randrange(len(self.ledgers))
        self.offered[name].append(self.now)
        call = (name, next(self._order))
        self._arrived[call[1]] = self.now
        self._at_entry(number, partial(self._open, number, call))

    def _open(self, number: int, call: Call) -> None:
        self.ledgers[number].open(call, call[0], self.now)
        self.step(number)

    def _at_entry(self, number: int, function: Callable[[], None]) -> None:
        """Run a function at an entry, after the entry resumes if frozen."""
        if number in self.frozen:
            self.frozen[number].append(function)
            return
        function()

    def resume(self, number: int) -> None:
        """Let a frozen entry handle what has waited."""
        for function in self.frozen.pop(number):
            function()

    def _send(self, number: int, outgoing: Outgoing) -> None:
        self.messages += 1
        self.bytes += len(msgspec.msgpack.encode(outgoing.request))
        state: dict[str, Any] = {"done": False}
        finish = partial(self._finish, number, outgoing, state)
        self.after(TIMEOUT_S, partial(finish, None))
        self.after(self._delay(), partial(self._handle, outgoing, finish))

    def _handle(
        self, outgoing: Outgoing, finish: Callable[[QuotaReply], None]
    ) -> None:
        replica = self.replicas.get(outgoing.replica)
        if replica is None or not (replica.runs and replica.reachable):
            return
        self.requests[outgoing.replica] += 1
        for ask in outgoing.request.asks:
            self.asked[outgoing.replica + ask.organisation].append(self.now)
        replica.busy_until = max(replica.busy_until, self.now) + self.service_s
        self.after(
            replica.busy_until - self.now,
            partial(self._reply, replica, outgoing, finish),
        )

    def _reply(
        self,
        replica: Replica,
        outgoing: Outgoing,
        finish: Callable[[QuotaReply], None],
    ) -> None:
        replica.allocator.observe(
            replica.in_contact, replica.present, False, self.now
        )
        reply = replica.allocator.grant(outgoing.request, self.now)
        self.bytes += len(msgspec.msgpack.encode(reply))
        self.after(self._delay(), partial(finish, reply))

    def _finish(
        self,
        number: int,
        outgoing: Outgoing,
        state: dict[str, Any],
        reply: QuotaReply | None,
    ) -> None:
        if state["done"]:
            return
        state["done"] = True
        ledger = self.ledgers[number]

        def apply() -> None:
            if self.ledgers[number] is not ledger:
                return
            if reply is None:
                ledger.record_silence(outgoing, self.now)
            else:
                ledger.record_reply(outgoing, reply, self.now)
            self.step(number)

        self._at_entry(number, apply)

    def _delay(self) -> float:
        return self.random.uniform(MIN_DELAY_S, MAX_DELAY_S)
