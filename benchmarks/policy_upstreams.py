"""Simulate entries and endpoints in virtual time, as discrete events.

Calls arrive at entries and each entry's balancer decides. An attempt reaches
its endpoint after a one-way delay, and its answer takes another. Endpoints
have slots and a short queue, can slow down and can report a wrong load.
Entries share no state: they know endpoints only from announcements, answers
and probes.
"""

import heapq
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import REJECTED
from nutmegchute_core.members import Announcement
from nutmegchute_core.reachability import ANSWERED as ANSWERED_CHECK
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import UNCONNECTED

from .policy_arrivals import Arrival
from .policy_baselines import LoadBalancer

SAME_ZONE_DELAY_S = 0.00025
CROSS_ZONE_DELAY_S = 0.001
CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.25
PROBE_S = 0.005
ERROR_LATENCY_S = 0.0005
MEAN_WORK_S = 0.02
QUEUE_PER_SLOT = 4
COLD_FACTOR = 4.0
COLD_S = 2.0
MAX_IDLE_CONNECTIONS = 15

ACCURATE = "accurate"
STUCK = "stuck"
ZERO = "zero"
DELAYED = "delayed"
REPORT_DELAY_S = 2.0
# Loss of a call whose connection the endpoint closed, as senders report it.
RESET = "closed"
STUCK_LOAD = 5


class Job:
    """Track one attempt at an endpoint."""

    __slots__ = (
        "attempt",
        "call_id",
        "cancelled",
        "deadline_at",
        "entry",
        "running",
        "sent_at",
        "shed",
        "work_s",
    )

    def __init__(
        self,
        entry: int,
        send: Send,
        work_s: float,
        now: float,
    ) -> None:
        self.entry = entry
        self.call_id = send.call_id
        self.attempt = send.attempt
        self.work_s = work_s
        self.sent_at = now
        self.deadline_at = now + send.remaining_s
        self.cancelled = False
        self.running = False
        self.shed = False


class Endpoint:
    """Run jobs on slots, queue a few more and shed the rest.

    ``slow_spans`` lists start, end and slowdown. ``probe_debt_s`` is the
    work of probes, added to the next job that starts.
    """

    def __init__(self, name: str, zone: str, slots: int) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.queue_limit = slots * QUEUE_PER_SLOT
        # Whether the connection is reset when slots and queue are full;
        # otherwise the call is answered "not run".
        self.resets = False
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.slow_spans: list[tuple[float, float, float]] = []
        self.cold_since: float | None = None
        self.failing = False
        self.dead = False
        self.draining = False
        self.report_mode = ACCURATE
        self.probe_debt_s = 0.0
        self.load_history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def slowdown(self, now: float) -> float:
        """Return the present service time as a multiple of the usual."""
        factor = 1.0
        for start, end, slowdown in self.slow_spans:
            if start <= now < end:
                factor = slowdown
        return factor * self._cold_slowdown(now)

    def completion_time(self, work_s: float, now: float) -> float:
        """Return when work that starts now ends.

        The speed changes with each slow span that begins or ends meanwhile.
        """
        left_s = work_s * self._cold_slowdown(now)
        at = now
        for start, end, slowdown in self.slow_spans:
            if end <= at:
                continue
            if at + left_s <= start:
                break
            if start > at:
                left_s -= start - at
                at = start
            if left_s * slowdown <= end - at:
                return at + left_s * slowdown
            left_s -= (end - at) / slowdown
            at = end
        return at + left_s

    def stretch(self, now: float) -> float | None:
        """Return None: these endpoints report no stretch."""
        return None

    def load(self, now: float) -> int:
        """Return the load to report, wrong unless the mode is ACCURATE."""
        actual = self.busy + len(self.queue)
        if self.report_mode == STUCK:
            return STUCK_LOAD
        if self.report_mode == ZERO:
            return 0
        if self.report_mode != DELAYED:
            return actual
        self.load_history.append((now, actual))
        while (
            len(self.load_history) > 1
            and self.load_history[1][0] <= now - REPORT_DELAY_S
        ):
            self.load_history.popleft()
        return self.load_history[0][1]

    def _cold_slowdown(self, now: float) -> float:
        if self.cold_since is None or now - self.cold_since >= COLD_S:
            return 1.0
        left = 1.0 - (now - self.cold_since) / COLD_S
        return 1.0 + (COLD_FACTOR - 1.0) * left


class Simulation:
    """Run calls between entries and endpoints, event by event."""

    def __init__(
        self,
        service: str,
        balancers: list[LoadBalancer],
        zones: list[str],
        endpoints: list[Endpoint],
        seed: int,
    ) -> None:
        self._service = service
        self._balancers = balancers
        self._zones = zones
        self._endpoints = {one.name: one for one in endpoints}
        self._random = Random(seed)
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._event_count = 0
        self.now = 0.0
        self._wakeups: list[float | None] = [None] * len(balancers)
        self._jobs: dict[tuple[int, int, int], tuple[Job, Endpoint]] = {}
        self._idle_connections: dict[tuple[int, str], int] = {}
        self._arrivals: dict[tuple[int, int], Arrival] = {}
        self.completions: list[tuple[Arrival, float, bool]] = []
        self.sends: list[int] = []
        self.first_sends = 0
        self.probes: list[float] = []
        # Times at which full endpoints reset a connection.
        self.resets: list[float] = []
        self._failed_attempts: set[tuple[int, int, int]] = set()
        # Called when a slot becomes free. If set, attempts reach endpoints
        # without delay. Only the oracle uses this.
        self.on_slot_free: Callable[[], None] | None = None

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Return the endpoints by name."""
        return self._endpoints

    def schedule(
        self, at: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Schedule a function call in virtual time."""
        self._event_count += 1
        heapq.heappush(self._heap, (at, self._event_count, callback, args))

    def run(self, arrivals: list[Arrival], end_at: float) -> None:
        """Process all arrivals and events up to a time."""
        for arrival in arrivals:
            self.schedule(arrival.at, self._arrive, arrival)
        heap = self._heap
        while heap and heap[0][0] <= end_at:
            self.now, _, callback, args = heapq.heappop(heap)
            callback(*args)

    def announce(self, entry: int, announcements: list[Announcement]) -> None:
        """Announce the live endpoints to one entry."""
        balancer = self._balancers[entry]
        self.perform(entry, balancer.update_upstreams(announcements, self.now))

    def kill(self, names: list[str]) -> None:
        """Stop endpoints at once, without an announcement."""
        for name in names:
            endpoint = self._endpoints[name]
            endpoint.dead = True
            endpoint.queue.clear()
            endpoint.busy = 0
        for job, endpoint in self._jobs.values():
            if endpoint.dead:
                at = max(job.deadline_at, self.now)
                self._schedule_reply(at, job, endpoint, LOST)

    def _arrive(self, arrival: Arrival) -> None:
        entry = arrival.entry
        call_id, actions = self._balancers[entry].arrive(
            self._service, arrival.method, "/", self.now, arrival.deadline_s
        )
        self._arrivals[(entry, call_id)] = arrival
        self.perform(entry, actions)

    def perform(self, entry: int, actions: list[Action]) -> None:
        """Carry out an entry's actions and schedule its next tick."""
        for action in actions:
            if isinstance(action, Send):
                self._send(entry, action)
            elif isinstance(action, Cancel):
                self._cancel(entry, action)
            elif isinstance(action, Probe):
                self._probe(entry, action.endpoint)
            elif isinstance(action, LinkCheck):
                self._check_link(entry, action)
            else:
                self._complete(entry, action)
        at = self._balancers[entry].next_wakeup()
        if at is None:
            return
        scheduled_at = self._wakeups[entry]
        if scheduled_at is None or at < scheduled_at:
            at = max(at, self.now)
            self._wakeups[entry] = at
            self.schedule(at, self._wake, entry, at)

    def _check_link(self, entry: int, check: LinkCheck) -> None:
        """Answer a check of a link after a round trip."""
        endpoint = next(
            one
            for one in self._endpoints.values()
            if one.name == check.endpoint
        )
        at = self.now + 2 * self._delay(entry, endpoint) + CONNECT_S
        result = UNCONNECTED if endpoint.dead else ANSWERED_CHECK
        self.schedule(at, self._record_check, entry, check, result)

    def _record_check(self, entry: int, check: LinkCheck, result: str) -> None:
        balancer = self._balancers[entry]
        # The baselines check no links.
        assert isinstance(balancer, Balancer)
        self.perform(
            entry, balancer.record_check(check.endpoint, result, self.now)
        )

    def _complete(self, entry: int, action: CallAction) -> None:
        """Record a call's final action."""
        arrival = self._arrivals.pop((entry, action.call_id))
        answered = isinstance(action, Finish)
        if isinstance(action, Finish) and self._failed_attempts:
            key = (entry, action.call_id, action.attempt)
            answered = key not in self._failed_attempts
        self.completions.append((arrival, self.now, answered))

    def _wake(self, entry: int, at: float) -> None:
        if self._wakeups[entry] != at:
            return
        self._wakeups[entry] = None
        self.perform(entry, self._balancers[entry].tick(self.now))

    def _delay(self, entry: int, endpoint: Endpoint) -> float:
        if self._zones[entry] == endpoint.zone:
            return SAME_ZONE_DELAY_S
        return CROSS_ZONE_DELAY_S

    def _send(self, entry: int, send: Send) -> None:
        arrival = self._arrivals[(entry, send.call_id)]
        endpoint = self._endpoints[send.endpoint]
        noise = arrival.noise_factors[min(send.attempt, 3) - 1]
        job = Job(entry, send, arrival.work_s * noise, self.now)
        self.sends.append(send.attempt)
        if send.attempt == 1:
            self.first_sends += 1
        self._jobs[(entry, send.call_id, send.attempt)] = (job, endpoint)
        delay_s = self._delay(entry, endpoint)
        idle = self._idle_connections.get((entry, endpoint.name), 0)
        if idle:
            self._idle_connections[(entry, endpoint.name)] = idle - 1
        else:
            delay_s += CONNECT_S
        if self.on_slot_free is not None:
            self._deliver(job, endpoint)
            return
        if endpoint.dead:
            wait_s = min(CONNECT_TIMEOUT_S, send.remaining_s)
            outcome = NOT_RUN
            if idle:
                wait_s = send.remaining_s
                outcome = LOST
            at = self.now + wait_s
            self._schedule_reply(at, job, endpoint, outcome)
            return
        self.schedule(self.now + delay_s, self._deliver, job, endpoint)

    def _deliver(self, job: Job, endpoint: Endpoint) -> None:
        if endpoint.dead or job.cancelled:
            return
        if endpoint.failing:
            at = self.now + ERROR_LATENCY_S
            self.schedule(at, self._respond, job, endpoint, ANSWERED, True)
            return
        if endpoint.busy < endpoint.slots:
            self._start_job(job, endpoint)
        elif len(endpoint.queue) < endpoint.queue_limit:
            endpoint.queue.append(job)
        elif endpoint.resets:
            self.resets.append(self.now)
            at = self.now + self._delay(job.entry, endpoint)
            self._schedule_reply(at, job, endpoint, LOST, loss=RESET)
        else:
            self._respond(job, endpoint, NOT_RUN, False)

    def _start_job(self, job: Job, endpoint: Endpoint) -> None:
        endpoint.busy += 1
        job.running = True
        work_s = job.work_s + endpoint.probe_debt_s
        endpoint.probe_debt_s = 0.0
        at = endpoint.completion_time(work_s, self.now)
        self.schedule(at, self._finish_job, job, endpoint)

    def _finish_job(self, job: Job, endpoint: Endpoint) -> None:
        if job.cancelled or endpoint.dead:
            return
        endpoint.busy -= 1
        job.running = False
        self._respond(job, endpoint, ANSWERED, False)
        self._start_queued(endpoint)
        if self.on_slot_free is not None:
            self.on_slot_free()

    def _start_queued(self, endpoint: Endpoint) -> None:
        while endpoint.queue and endpoint.busy < endpoint.slots:
            job = endpoint.queue.popleft()
            if self.now >= job.deadline_at:
                self._respond(job, endpoint, NOT_RUN, False)
                continue
            self._start_job(job, endpoint)

    def _respond(
        self, job: Job, endpoint: Endpoint, outcome: str, failed: bool
    ) -> None:
        load = 0 if failed else endpoint.load(self.now)
        stretch = endpoint.stretch(self.now)
        job.shed = outcome == NOT_RUN
        at = self.now + self._delay(job.entry, endpoint)
        self._schedule_reply(at, job, endpoint, outcome, load, failed, stretch)

    def _schedule_reply(
        self,
        at: float,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None = None,
        failed: bool = False,
        stretch: float | None = None,
        loss: str = "",
    ) -> None:
        self.schedule(
            at,
            self._receive_reply,
            job,
            endpoint,
            outcome,
            load,
            failed,
            stretch,
            loss,
        )

    def _receive_reply(
        self,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None,
        failed: bool,
        stretch: float | None,
        loss: str = "",
    ) -> None:
        key = (job.entry, job.call_id, job.attempt)
        if self._jobs.pop(key, None) is None:
            return
        if outcome == ANSWERED:
            idle = self._idle_connections.get((job.entry, endpoint.name), 0)
            self._idle_connections[(job.entry, endpoint.name)] = min(
                MAX_IDLE_CONNECTIONS, idle + 1
            )
        if failed:
            self._failed_attempts.add(key)
        latency_s = self.now - job.sent_at
        evidence = None
        if outcome == NOT_RUN:
            evidence = Evidence(REJECTED, job.call_id, job.attempt)
        result = Result(
            job.call_id,
            job.attempt,
            outcome,
            latency_s,
            load,
            failed,
            stretch,
            job.shed,
            loss,
            evidence=evidence,
        )
        balancer = self._balancers[job.entry]
        self.perform(job.entry, balancer.finish(result, self.now))

    def _cancel(self, entry: int, cancel: Cancel) -> None:
        cancelled = self._jobs.pop(
            (entry, cancel.call_id, cancel.attempt), None
        )
        if cancelled is None:
            return
        job, endpoint = cancelled
        at = self.now + self._delay(entry, endpoint)
        self.schedule(at, self._abort, job, endpoint)
        result = Result(job.call_id, job.attempt, CANCELLED, 0.0)
        balancer = self._balancers[entry]
        self.perform(entry, balancer.finish(result, self.now))

    def _abort(self, job: Job, endpoint: Endpoint) -> None:
        job.cancelled = True
        if endpoint.dead:
            return
        if job.running:
            job.running = False
            endpoint.busy -= 1
            self._start_queued(endpoint)
        elif job in endpoint.queue:
            endpoint.queue.remove(job)

    def _probe(self, entry: int, name: str) -> None:
        self.probes.append(self.now)
        endpoint = self._endpoints[name]
        endpoint.probe_debt_s += PROBE_S
        delay_s = self._delay(entry, endpoint)
        at = self.now + PROBE_S + 2 * delay_s
        self.schedule(at, self._record_probe, entry, endpoint, self.now)

    def _record_probe(
        self, entry: int, endpoint: Endpoint, sent: float
    ) -> None:
        load = None if endpoint.dead else endpoint.load(self.now)
        actions = self._balancers[entry].record_probe(
            self._service, endpoint.name, load, self.now - sent, self.now
        )
        self.perform(entry, actions)
