"""Simulate entries, control and crashing endpoints in virtual time."""

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
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.quarantines import QuarantineBatch
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.reachability import ANSWERED as ANSWERED_CHECK
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import UNCONNECTED
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service
from support import build_result

SERVICE = "desk"
SLOTS = 3
QUEUE = 6
WORK_S = 0.1
CRASH_S = 0.04
RESTART_S = 4.0
NETWORK_S = 0.001
REPORT_S = 0.004
UPDATE_S = 0.05
ANNOUNCE_S = 0.3
EXPIRY_S = 2.5
CONTROL_TIMEOUT_S = 0.6
DEADLINE_S = 2.5
OBJECTIVE_S = 0.3
ATTEMPTS = 2


class Server:
    """Simulate the processes of one endpoint address."""

    def __init__(self, address: str, service: str) -> None:
        self.address = address
        self.service = service
        self.starts = 1
        self.alive = True
        # Running and queued calls: entry, call, attempt; fingerprint.
        self.running: dict[tuple[int, int, int], str] = {}
        self.waiting: list[tuple[tuple[int, int, int], str]] = []

    @property
    def instance(self) -> str:
        """Return the name of the current process."""
        return f"{self.address}/{self.starts}"

    @property
    def load(self) -> int:
        """Return the number of running and queued calls."""
        return len(self.running) + len(self.waiting)


class Model:
    """Simulate services in virtual time.

    ``crashes`` decides by fingerprint which requests end an endpoint that runs
    them. Without ``detect_crashes`` entries do not detect crashes.
    """

    def __init__(
        self,
        entries: int,
        endpoints: int,
        seed: int,
        crashes: Callable[[str], bool],
        detect_crashes: bool = True,
        services: tuple[str, ...] = (SERVICE,),
    ) -> None:
        self.now = 0.0
        self.services = services
        self.random = Random(seed)
        self.crashes = crashes
        self.detect_crashes = detect_crashes
        self.control = True
        self.quarantine = Quarantine()
        self.servers = [
            Server(
                f"10.0.{n // 250}.{n % 250}:80", services[n % len(services)]
            )
            for n in range(endpoints)
        ]
        self.balancers = [Balancer(seed + n) for n in range(entries)]
        # Times at which a request reached or crashed an endpoint, by
        # fingerprint.
        self.reached_at: dict[str, list[float]] = {}
        self.crashed_at: dict[str, list[float]] = {}
        self.outcomes: Counter[tuple[str, str]] = Counter()
        # Number of calls answered within their objective.
        self.in_time = 0
        self.retry_after: dict[str, list[float]] = {}
        self.reports = 0
        self.updates = 0
        self._calls: dict[tuple[int, int], tuple[str, float]] = {}
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

    def schedule(self, when: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        self._count += 1
        heapq.heappush(self._events, (when, self._count, event))

    def run(self, until: float) -> None:
        """Run all events until a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = until

    def _configure(self, entry: int) -> None:
        services = {
            name: Service(name, {"slots": SLOTS}) for name in self.services
        }
        self.balancers[entry].configure(services, self.now)
        self._announce(entry)

    def call(self, fingerprint: str, service: str = "") -> None:
        """Send a request for a service, or a random one, to a random entry."""
        entry = self.random.randrange(len(self.balancers))
        call_id, actions = self.balancers[entry].arrive_with_rule(
            service or self.random.choice(self.services),
            self._rule,
            self.now,
            DEADLINE_S,
            fingerprint=fingerprint,
        )
        self._calls[entry, call_id] = fingerprint, self.now
        self._perform(entry, actions)

    def schedule_requests(
        self, gap_s: float, until: float, name: Callable[[], str]
    ) -> None:
        """Schedule repeated requests to random entries."""
        when = self.now + self.random.random() * gap_s
        while when < until:
            self.schedule(when, lambda: self.call(name()))
            when += gap_s * self.random.uniform(0.5, 1.5)

    def end_process(
        self, server: Server, restart_s: float = RESTART_S
    ) -> None:
        """End a process and start another at its address after a while."""
        if not server.alive:
            return
        server.alive = False
        lost = [*server.running, *(key for key, _ in server.waiting)]
        server.running.clear()
        server.waiting.clear()
        for key in lost:
            self._result(key, LOST, crashed=self.detect_crashes)
        self.schedule(self.now + restart_s, lambda: self._start(server))
        instance = server.instance
        self.schedule(
            self.now + EXPIRY_S, lambda: self._expire(server, instance)
        )

    def restart(self, entry: int) -> None:
        """Restart an entry and send it all cases."""
        restarted = Balancer(self.random.getrandbits(30))
        self.balancers[entry] = restarted
        self._armed.pop(entry, None)
        for key in [key for key in self._calls if key[0] == entry]:
            del self._calls[key]
        self._configure(entry)
        self._perform(
            entry,
            restarted.apply_quarantine(self.quarantine.since(0), self.now),
        )

    def count_late(self, fingerprint: str, propagation_s: float) -> int:
        """Count sends more than ``propagation_s`` after the third crash."""
        crashed_at = self.crashed_at.get(fingerprint, [])
        if len(crashed_at) < 3:
            return 0
        after = crashed_at[2] + propagation_s
        return sum(at > after for at in self.reached_at[fingerprint])

    def _start(self, server: Server) -> None:
        server.starts += 1
        server.alive = True
        self.schedule(self.now + ANNOUNCE_S, self._announce_all)

    def _expire(self, server: Server, instance: str) -> None:
        if server.instance == instance and not server.alive:
            self._announce_all()

    def _announce_all(self) -> None:
        for number in range(len(self.balancers)):
            self._announce(number)

    def _announce(self, entry: int) -> None:
        live = [
            Announcement(
                server.service,
                server.address,
                "surco",
                SLOTS,
                server.starts,
                instance=server.instance,
            )
            for server in self.servers
            if server.alive
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
            elif isinstance(action, LinkCheck):
                self._check_link(entry, action)
            elif not isinstance(action, Cancel):
                self._end(entry, action)
        reports = balancer.pop_reports()
        if reports:
            self.reports += len(reports)
            self.schedule(
                self.now + REPORT_S, lambda: self._report(entry, reports)
            )
        self._arm(entry)

    def _end(self, entry: int, action: Any) -> None:
        pending = self._calls.pop((entry, action.call_id), None)
        if pending is None:
            return
        fingerprint, arrived_at = pending
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
        self.schedule(at, lambda: self._tick(entry, at))

    def _tick(self, entry: int, at: float) -> None:
        if self._armed.get(entry) != at:
            return
        del self._armed[entry]
        balancer = self.balancers[entry]
        self._perform(entry, balancer.tick(self.now))

    def _find_server(self, address: str) -> Server:
        for server in self.servers:
            if server.address == address:
                return server
        raise AssertionError(address)

    def _check_link(self, entry: int, check: LinkCheck) -> None:
        balancer = self.balancers[entry]

        def answer() -> None:
            alive = self._find_server(check.endpoint).alive
            result = ANSWERED_CHECK if alive else UNCONNECTED
            actions = balancer.record_check(check.endpoint, result, self.now)
            self._perform(entry, actions)

        self.schedule(self.now + 2 * NETWORK_S, answer)

    def _probe(self, entry: int, probe: Probe) -> None:
        server = self._find_server(probe.endpoint)
        balancer = self.balancers[entry]

        def answer() -> None:
            load = server.load if server.alive else None
            self._perform(
                entry,
                balancer.record_probe(
                    probe.service,
                    probe.endpoint,
                    load,
                    2 * NETWORK_S,
                    self.now,
                    1.0 if server.alive else None,
                    server.alive,
                ),
            )

        self.schedule(self.now + 2 * NETWORK_S, answer)

    def _send(self, entry: int, send: Send) -> None:
        key = entry, send.call_id, send.attempt
        pending = self._calls.get((entry, send.call_id))
        assert pending is not None
        fingerprint = pending[0]
        server = self._find_server(send.endpoint)
        instance = send.instance
        self.schedule(
            self.now + NETWORK_S,
            lambda: self._arrive(key, fingerprint, server, instance),
        )

    def _arrive(
        self,
        key: tuple[int, int, int],
        fingerprint: str,
        server: Server,
        instance: str,
    ) -> None:
        if not server.alive or server.instance != instance:
            self._result(key, NOT_RUN)
            return
        self.reached_at.setdefault(fingerprint, []).append(self.now)
        if len(server.running) < SLOTS:
            self._begin(key, fingerprint, server)
        elif len(server.waiting) < QUEUE:
            server.waiting.append((key, fingerprint))
        else:
            self._result(key, NOT_RUN, load=server.load, shed=True)

    def _begin(
        self, key: tuple[int, int, int], fingerprint: str, server: Server
    ) -> None:
        server.running[key] = fingerprint
        crash = self.crashes(fingerprint)
        mean_s = CRASH_S if crash else WORK_S
        takes_s = mean_s * self.random.uniform(0.5, 1.5)
        self.schedule(
            self.now + takes_s, lambda: self._finish(key, server, crash)
        )

    def _finish(
        self, key: tuple[int, int, int], server: Server, crash: bool
    ) -> None:
        fingerprint = server.running.get(key)
        if fingerprint is None:
            return
        if crash:
            self.crashed_at.setdefault(fingerprint, []).append(self.now)
            self.end_process(server)
            return
        del server.running[key]
        self._result(key, ANSWERED, load=server.load)
        if server.waiting:
            following, name = server.waiting.pop(0)
            self._begin(following, name, server)

    def _result(
        self,
        key: tuple[int, int, int],
        outcome: str,
        load: int | None = None,
        shed: bool = False,
        crashed: bool = False,
    ) -> None:
        entry, call_id, attempt = key
        result = build_result(
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

        def deliver() -> None:
            if self.balancers[entry] is balancer:
                self._perform(entry, balancer.finish(result, self.now))

        self.schedule(self.now + NETWORK_S, deliver)

    def _report(self, entry: int, reports: list[Any]) -> None:
        balancer = self.balancers[entry]
        if not self.control:
            self._fail_reports(entry, reports)
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

        self.schedule(self.now + REPORT_S, answer)
        if self.quarantine.index != before:
            self.schedule(self.now + UPDATE_S, self._send_updates)

    def _fail_reports(self, entry: int, reports: list[Any]) -> None:
        balancer = self.balancers[entry]
        trial_requests = [
            one for one in reports if isinstance(one, TrialRequest)
        ]
        others = [one for one in reports if not isinstance(one, TrialRequest)]

        def give_up() -> None:
            if self.balancers[entry] is not balancer:
                return
            for one in trial_requests:
                self._perform(
                    entry, balancer.apply_ruling(one, None, self.now)
                )
            if others:
                self._report(entry, others)

        self.schedule(self.now + CONTROL_TIMEOUT_S, give_up)

    def _send_updates(self) -> None:
        if not self.control:
            self.schedule(self.now + CONTROL_TIMEOUT_S, self._send_updates)
            return
        self.updates += 1
        for number, balancer in enumerate(self.balancers):
            updates = self.quarantine.since(balancer.quarantine_index)
            self._perform(number, balancer.apply_quarantine(updates, self.now))
