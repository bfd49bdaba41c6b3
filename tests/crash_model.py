"""Play entries, endpoints that crash and control on virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.quarantines import QuarantineBatch
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service

SERVICE = "desk"
SLOTS = 3
QUEUE = 6
WORK_S = 0.1
CRASH_S = 0.04
BACK_S = 4.0
WAY_S = 0.001
REPORT_S = 0.004
NEWS_S = 0.05
ANNOUNCED_S = 0.3
SILENT_S = 2.5
NO_CONTROL_S = 0.6
DEADLINE_S = 2.5
OBJECTIVE_S = 0.3
ATTEMPTS = 2


class Place:
    """Hold an endpoint's address and the process that has it."""

    def __init__(self, address: str, service: str) -> None:
        self.address = address
        self.service = service
        self.starts = 1
        self.alive = True
        # Calls that run and wait: entry, send, fingerprint.
        self.running: dict[tuple[int, int, int], str] = {}
        self.waiting: list[tuple[tuple[int, int, int], str]] = []

    @property
    def instance(self) -> str:
        """Name the process."""
        return f"{self.address}/{self.starts}"

    @property
    def load(self) -> int:
        """Count what runs and waits."""
        return len(self.running) + len(self.waiting)


class Model:
    """Play services on virtual time.

    ``crashes`` names by fingerprint what ends an endpoint that runs it.
    ``told`` False takes the evidence away, as if nobody looked for it.
    """

    def __init__(
        self,
        entries: int,
        endpoints: int,
        seed: int,
        crashes: Callable[[str], bool],
        told: bool = True,
        services: tuple[str, ...] = (SERVICE,),
    ) -> None:
        self.now = 0.0
        self.services = services
        self.random = Random(seed)
        self.crashes = crashes
        self.told = told
        self.control = True
        self.quarantine = Quarantine()
        self.places = [
            Place(f"10.0.{n // 250}.{n % 250}:80", services[n % len(services)])
            for n in range(endpoints)
        ]
        self.balancers = [Balancer(seed + n) for n in range(entries)]
        # When a request reached an endpoint, and ended one, by fingerprint.
        self.reached: dict[str, list[float]] = {}
        self.ended: dict[str, list[float]] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()
        # Calls answered within their objective.
        self.in_time = 0
        self.retry_after: dict[str, list[float]] = {}
        self.reports = 0
        self.news = 0
        self._names: dict[tuple[int, int], tuple[str, float]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._index = 0
        self._applied_at = 0.0
        self._armed: dict[int, float] = {}
        rule = Rule(
            {
                "name": "look",
                "idempotent": True,
                "deadline_ms": DEADLINE_S * 1000,
                "objective_ms": OBJECTIVE_S * 1000,
                "attempts": ATTEMPTS,
                "hedge": True,
            }
        )
        self._rule = rule
        for number in range(entries):
            self._configure(number)

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something at a time."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, what))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = until

    def _configure(self, entry: int) -> None:
        services = {
            name: Service(name, {"slots": SLOTS}) for name in self.services
        }
        self.balancers[entry].configure(services, self.now)
        self._announce(entry)

    def call(self, fingerprint: str, service: str = "") -> None:
        """Let a request for a service, or for any, arrive at any entry."""
        entry = self.random.randrange(len(self.balancers))
        call_id, actions = self.balancers[entry].arrive_with_rule(
            service or self.random.choice(self.services),
            self._rule,
            self.now,
            DEADLINE_S,
            fingerprint=fingerprint,
        )
        self._names[entry, call_id] = fingerprint, self.now
        self._perform(entry, actions)

    def every(
        self, gap_s: float, until: float, name: Callable[[], str]
    ) -> None:
        """Let requests arrive again and again, at any entry."""
        when = self.now + self.random.random() * gap_s
        while when < until:
            self.at(when, lambda: self.call(name()))
            when += gap_s * self.random.uniform(0.5, 1.5)

    def end(self, place: Place, back_s: float = BACK_S) -> None:
        """End a process; another starts at its address after a while."""
        if not place.alive:
            return
        place.alive = False
        lost = [*place.running, *(key for key, _ in place.waiting)]
        place.running.clear()
        place.waiting.clear()
        for key in lost:
            self._result(key, LOST, crashed=self.told)
        self.at(self.now + back_s, lambda: self._start(place))
        instance = place.instance
        self.at(self.now + SILENT_S, lambda: self._forget(place, instance))

    def restart(self, entry: int) -> None:
        """Start an entry anew; it is told all that control knows."""
        fresh = Balancer(self.random.getrandbits(30))
        self.balancers[entry] = fresh
        self._armed.pop(entry, None)
        for key in [key for key in self._names if key[0] == entry]:
            del self._names[key]
        self._configure(entry)
        self._perform(
            entry, fresh.apply_quarantine(self.quarantine.since(0), self.now)
        )

    def late(self, fingerprint: str, contact_s: float) -> int:
        """Count the sends long after the third end of an endpoint."""
        ended = self.ended.get(fingerprint, [])
        if len(ended) < 3:
            return 0
        after = ended[2] + contact_s
        return sum(at > after for at in self.reached[fingerprint])

    def _start(self, place: Place) -> None:
        place.starts += 1
        place.alive = True
        self.at(self.now + ANNOUNCED_S, self._announce_all)

    def _forget(self, place: Place, instance: str) -> None:
        if place.instance == instance and not place.alive:
            self._announce_all()

    def _announce_all(self) -> None:
        for number in range(len(self.balancers)):
            self._announce(number)

    def _announce(self, entry: int) -> None:
        live = [
            Announcement(
                place.service,
                place.address,
                "surco",
                SLOTS,
                place.starts,
                instance=place.instance,
            )
            for place in self.places
            if place.alive
        ]
        balancer = self.balancers[entry]
        self._perform(entry, balancer.update_upstreams(live, self.now))

    def _perform(self, entry: int, actions: list[Any]) -> None:
        balancer = self.balancers[entry]
        for action in actions:
            if isinstance(action, Send):
                self._send(entry, action)
            elif isinstance(action, Probe):
                self._probe(entry, action)
            elif not isinstance(action, Cancel):
                self._end(entry, action)
        reports = balancer.drain_reports()
        if reports:
            self.reports += len(reports)
            self.at(self.now + REPORT_S, lambda: self._report(entry, reports))
        self._arm(entry)

    def _end(self, entry: int, action: Any) -> None:
        named = self._names.pop((entry, action.call_id), None)
        if named is None:
            return
        fingerprint, arrived_at = named
        outcome = "lost"
        if isinstance(action, Refuse):
            outcome = "refused"
            self.retry_after.setdefault(fingerprint, []).append(
                action.retry_after_s
            )
        elif isinstance(action, Finish):
            outcome = "answered"
            self.in_time += self.now - arrived_at <= OBJECTIVE_S
        self.outcomes[fingerprint, outcome] += 1

    def _arm(self, entry: int) -> None:
        at = self.balancers[entry].next_wakeup()
        if at is None:
            return
        at = max(at, self.now)
        if self._armed.get(entry, -1.0) >= self.now and (
            self._armed[entry] <= at
        ):
            return
        self._armed[entry] = at
        self.at(at, lambda: self._tick(entry, at))

    def _tick(self, entry: int, at: float) -> None:
        if self._armed.get(entry) != at:
            return
        del self._armed[entry]
        balancer = self.balancers[entry]
        self._perform(entry, balancer.tick(self.now))

    def _place(self, address: str) -> Place:
        for place in self.places:
            if place.address == address:
                return place
        raise AssertionError(address)

    def _probe(self, entry: int, probe: Probe) -> None:
        place = self._place(probe.endpoint)
        balancer = self.balancers[entry]

        def answer() -> None:
            load = place.load if place.alive else None
            self._perform(
                entry,
                balancer.record_probe(
                    probe.service,
                    probe.endpoint,
                    load,
                    2 * WAY_S,
                    self.now,
                    1.0 if place.alive else None,
                    place.alive,
                ),
            )

        self.at(self.now + 2 * WAY_S, answer)

    def _send(self, entry: int, send: Send) -> None:
        key = entry, send.call_id, send.attempt
        named = self._names.get((entry, send.call_id))
        assert named is not None
        fingerprint = named[0]
        place = self._place(send.endpoint)
        instance = send.instance
        self.at(
            self.now + WAY_S,
            lambda: self._reach(key, fingerprint, place, instance),
        )

    def _reach(
        self,
        key: tuple[int, int, int],
        fingerprint: str,
        place: Place,
        instance: str,
    ) -> None:
        if not place.alive or place.instance != instance:
            self._result(key, NOT_RUN)
            return
        self.reached.setdefault(fingerprint, []).append(self.now)
        if len(place.running) < SLOTS:
            self._begin(key, fingerprint, place)
        elif len(place.waiting) < QUEUE:
            place.waiting.append((key, fingerprint))
        else:
            self._result(key, NOT_RUN, load=place.load, shed=True)

    def _begin(
        self, key: tuple[int, int, int], fingerprint: str, place: Place
    ) -> None:
        place.running[key] = fingerprint
        crash = self.crashes(fingerprint)
        mean_s = CRASH_S if crash else WORK_S
        takes_s = mean_s * self.random.uniform(0.5, 1.5)
        self.at(self.now + takes_s, lambda: self._finish(key, place, crash))

    def _finish(
        self, key: tuple[int, int, int], place: Place, crash: bool
    ) -> None:
        fingerprint = place.running.get(key)
        if fingerprint is None:
            return
        if crash:
            self.ended.setdefault(fingerprint, []).append(self.now)
            self.end(place)
            return
        del place.running[key]
        self._result(key, ANSWERED, load=place.load)
        if place.waiting:
            following, name = place.waiting.pop(0)
            self._begin(following, name, place)

    def _result(
        self,
        key: tuple[int, int, int],
        outcome: str,
        load: int | None = None,
        shed: bool = False,
        crashed: bool = False,
    ) -> None:
        entry, call_id, attempt = key
        result = Result(
            call_id,
            attempt,
            outcome,
            WORK_S,
            load=load,
            stretch=None if load is None else 1.0,
            shed=shed,
            crashed=crashed,
        )
        balancer = self.balancers[entry]

        def take() -> None:
            if self.balancers[entry] is balancer:
                self._perform(entry, balancer.finish(result, self.now))

        self.at(self.now + WAY_S, take)

    def _report(self, entry: int, reports: list[Any]) -> None:
        balancer = self.balancers[entry]
        if not self.control:
            self._report_later(entry, reports)
            return
        self._index += 1
        elapsed_s = self.now - self._applied_at
        self._applied_at = self.now
        before = self.quarantine.index
        batch = QuarantineBatch(elapsed_s, QuarantineRequest(reports))
        rulings = self.quarantine.apply(self._index, batch).rulings

        def answer() -> None:
            if self.balancers[entry] is not balancer:
                return
            for report, ruling in zip(reports, rulings, strict=True):
                if isinstance(report, TrialRequest):
                    self._perform(
                        entry, balancer.apply_ruling(report, ruling, self.now)
                    )

        self.at(self.now + REPORT_S, answer)
        if self.quarantine.index != before:
            self.at(self.now + NEWS_S, self._tell)

    def _report_later(self, entry: int, reports: list[Any]) -> None:
        balancer = self.balancers[entry]
        asked = [one for one in reports if isinstance(one, TrialRequest)]
        others = [one for one in reports if not isinstance(one, TrialRequest)]

        def give_up() -> None:
            if self.balancers[entry] is not balancer:
                return
            for one in asked:
                self._perform(
                    entry, balancer.apply_ruling(one, None, self.now)
                )
            if others:
                self._report(entry, others)

        self.at(self.now + NO_CONTROL_S, give_up)

    def _tell(self) -> None:
        if not self.control:
            self.at(self.now + NO_CONTROL_S, self._tell)
            return
        self.news += 1
        for number, balancer in enumerate(self.balancers):
            news = self.quarantine.since(balancer.quarantine_index)
            self._perform(number, balancer.apply_quarantine(news, self.now))
