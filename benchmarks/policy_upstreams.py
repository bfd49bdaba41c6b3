"""Fake upstreams on virtual time: slots, a short queue, noise, lies.

One heap of events. Calls arrive at entries, an entry's balancer decides,
attempts reach endpoints after a one-way delay and come back after another.
Nothing here is a model of a cluster: entries share no state, and what they
know of endpoints they learn from answers and probes alone.
"""

import heapq
from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any

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
from nutmegchute_core.members import Announcement

from .policy_arrivals import Arrival
from .policy_baselines import Decider

SAME_ZONE_S = 0.00025
OTHER_ZONE_S = 0.001
CONNECT_S = 0.001
CONNECT_TIMEOUT_S = 0.25
PROBE_S = 0.005
FAIL_S = 0.0005
MEAN_WORK_S = 0.02
QUEUE_PER_SLOT = 4
COLD_FACTOR = 4.0
COLD_S = 2.0
IDLE_CONNECTIONS = 15

HONEST = "honest"
STUCK = "stuck"
ZERO = "zero"
OLD = "old"
OLD_S = 2.0
STUCK_LOAD = 5


class Job:
    """Follow one attempt through an endpoint."""

    __slots__ = (
        "attempt",
        "call_id",
        "cancelled",
        "deadline_at",
        "entry",
        "running",
        "shed",
        "sent_at",
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
    """Run jobs on a few slots; queue a few more; shed the rest."""

    def __init__(self, name: str, zone: str, slots: int) -> None:
        self.name = name
        self.zone = zone
        self.slots = slots
        self.busy = 0
        self.queue: deque[Job] = deque()
        self.slow: list[tuple[float, float, float]] = []
        self.cold_at: float | None = None
        self.failing = False
        self.dead = False
        self.leaving = False
        self.report = HONEST
        self.probe_debt_s = 0.0
        self.history: deque[tuple[float, int]] = deque([(0.0, 0)])

    def factor(self, now: float) -> float:
        """Give by how much the endpoint is slower than usual."""
        factor = 1.0
        for start, end, slow in self.slow:
            if start <= now < end:
                factor = slow
        return factor * self._cold(now)

    def end_of(self, work_s: float, now: float) -> float:
        """Give when work that starts now ends; slow spells may end first."""
        left_s = work_s * self._cold(now)
        at = now
        for start, end, slow in self.slow:
            if end <= at:
                continue
            if at + left_s <= start:
                break
            if start > at:
                left_s -= start - at
                at = start
            if left_s * slow <= end - at:
                return at + left_s * slow
            left_s -= (end - at) / slow
            at = end
        return at + left_s

    def stretch(self, now: float) -> float | None:
        """Tell how much longer than usual work takes; this kind does not."""
        return None

    def load(self, now: float) -> int:
        """Report the jobs running and queued, or lie."""
        true = self.busy + len(self.queue)
        if self.report == STUCK:
            return STUCK_LOAD
        if self.report == ZERO:
            return 0
        if self.report != OLD:
            return true
        self.history.append((now, true))
        while len(self.history) > 1 and self.history[1][0] <= now - OLD_S:
            self.history.popleft()
        return self.history[0][1]

    def _cold(self, now: float) -> float:
        if self.cold_at is None or now - self.cold_at >= COLD_S:
            return 1.0
        left = 1.0 - (now - self.cold_at) / COLD_S
        return 1.0 + (COLD_FACTOR - 1.0) * left


class Simulation:
    """Carry calls between entries and endpoints in virtual time."""

    def __init__(
        self,
        service: str,
        deciders: list[Decider],
        zones: list[str],
        endpoints: list[Endpoint],
        seed: int,
    ) -> None:
        self._service = service
        self._deciders = deciders
        self._zones = zones
        self._endpoints = {one.name: one for one in endpoints}
        self._random = Random(seed)
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._count = 0
        self.now = 0.0
        self._wakeups: list[float | None] = [None] * len(deciders)
        self._jobs: dict[tuple[int, int, int], tuple[Job, Endpoint]] = {}
        self._idle: dict[tuple[int, str], int] = {}
        self._arrivals: dict[tuple[int, int], Arrival] = {}
        self.ends: list[tuple[Arrival, float, bool]] = []
        self.sends: list[int] = []
        self.first_sends = 0
        self.probes: list[float] = []
        self._failed: set[tuple[int, int, int]] = set()
        # For the oracle: no delay on the way to an endpoint, and a word
        # at the moment a slot falls free.
        self.on_idle: Callable[[], None] | None = None

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Map names to endpoints."""
        return self._endpoints

    def at(self, at: float, run: Callable[..., None], *args: Any) -> None:
        """Run something at a time."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, run, args))

    def run(self, arrivals: list[Arrival], until: float) -> None:
        """Let every call arrive and time pass."""
        for arrival in arrivals:
            self.at(arrival.at, self._arrive, arrival)
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, run, args = heapq.heappop(heap)
            run(*args)

    def announce(self, entry: int, announcements: list[Announcement]) -> None:
        """Tell one entry which endpoints live."""
        decider = self._deciders[entry]
        self.perform(entry, decider.update_upstreams(announcements, self.now))

    def kill(self, names: list[str]) -> None:
        """Let endpoints vanish without a word."""
        for name in names:
            endpoint = self._endpoints[name]
            endpoint.dead = True
            endpoint.queue.clear()
            endpoint.busy = 0
        for job, endpoint in self._jobs.values():
            if endpoint.dead:
                at = max(job.deadline_at, self.now)
                self._reply_at(at, job, endpoint, LOST)

    def _arrive(self, arrival: Arrival) -> None:
        entry = arrival.entry
        call_id, actions = self._deciders[entry].arrive(
            self._service, arrival.method, "/", self.now, arrival.deadline_s
        )
        self._arrivals[(entry, call_id)] = arrival
        self.perform(entry, actions)

    def perform(self, entry: int, actions: list[Action]) -> None:
        """Carry out what an entry decided."""
        for action in actions:
            if isinstance(action, Send):
                self._send(entry, action)
            elif isinstance(action, Cancel):
                self._cancel(entry, action)
            elif isinstance(action, Probe):
                self._probe(entry, action.endpoint)
            else:
                self._conclude(entry, action)
        at = self._deciders[entry].next_wakeup()
        if at is None:
            return
        known = self._wakeups[entry]
        if known is None or at < known:
            at = max(at, self.now)
            self._wakeups[entry] = at
            self.at(at, self._wake, entry, at)

    def _conclude(self, entry: int, action: CallAction) -> None:
        """Take a call's final action."""
        arrival = self._arrivals.pop((entry, action.call_id))
        answered = isinstance(action, Finish)
        if isinstance(action, Finish) and self._failed:
            key = (entry, action.call_id, action.attempt)
            answered = key not in self._failed
        self.ends.append((arrival, self.now, answered))

    def _wake(self, entry: int, at: float) -> None:
        if self._wakeups[entry] != at:
            return
        self._wakeups[entry] = None
        self.perform(entry, self._deciders[entry].tick(self.now))

    def _delay(self, entry: int, endpoint: Endpoint) -> float:
        if self._zones[entry] == endpoint.zone:
            return SAME_ZONE_S
        return OTHER_ZONE_S

    def _send(self, entry: int, send: Send) -> None:
        arrival = self._arrivals[(entry, send.call_id)]
        endpoint = self._endpoints[send.endpoint]
        noise = arrival.noises[min(send.attempt, 3) - 1]
        job = Job(entry, send, arrival.work_s * noise, self.now)
        self.sends.append(send.attempt)
        if send.attempt == 1:
            self.first_sends += 1
        self._jobs[(entry, send.call_id, send.attempt)] = (job, endpoint)
        delay_s = self._delay(entry, endpoint)
        idle = self._idle.get((entry, endpoint.name), 0)
        if idle:
            self._idle[(entry, endpoint.name)] = idle - 1
        else:
            delay_s += CONNECT_S
        if self.on_idle is not None:
            self._reach(job, endpoint)
            return
        if endpoint.dead:
            wait_s = min(CONNECT_TIMEOUT_S, send.remaining_s)
            outcome = NOT_RUN
            if idle:
                wait_s = send.remaining_s
                outcome = LOST
            at = self.now + wait_s
            self._reply_at(at, job, endpoint, outcome)
            return
        self.at(self.now + delay_s, self._reach, job, endpoint)

    def _reach(self, job: Job, endpoint: Endpoint) -> None:
        if endpoint.dead or job.cancelled:
            return
        if endpoint.failing:
            at = self.now + FAIL_S
            self.at(at, self._return, job, endpoint, ANSWERED, True)
            return
        if endpoint.busy < endpoint.slots:
            self._start(job, endpoint)
        elif len(endpoint.queue) < endpoint.slots * QUEUE_PER_SLOT:
            endpoint.queue.append(job)
        else:
            self._return(job, endpoint, NOT_RUN, False)

    def _start(self, job: Job, endpoint: Endpoint) -> None:
        endpoint.busy += 1
        job.running = True
        work_s = job.work_s + endpoint.probe_debt_s
        endpoint.probe_debt_s = 0.0
        at = endpoint.end_of(work_s, self.now)
        self.at(at, self._end, job, endpoint)

    def _end(self, job: Job, endpoint: Endpoint) -> None:
        if job.cancelled or endpoint.dead:
            return
        endpoint.busy -= 1
        job.running = False
        self._return(job, endpoint, ANSWERED, False)
        self._next(endpoint)
        if self.on_idle is not None:
            self.on_idle()

    def _next(self, endpoint: Endpoint) -> None:
        while endpoint.queue and endpoint.busy < endpoint.slots:
            job = endpoint.queue.popleft()
            if self.now >= job.deadline_at:
                self._return(job, endpoint, NOT_RUN, False)
                continue
            self._start(job, endpoint)

    def _return(
        self, job: Job, endpoint: Endpoint, outcome: str, failed: bool
    ) -> None:
        load = 0 if failed else endpoint.load(self.now)
        stretch = endpoint.stretch(self.now)
        job.shed = outcome == NOT_RUN
        at = self.now + self._delay(job.entry, endpoint)
        self._reply_at(at, job, endpoint, outcome, load, failed, stretch)

    def _reply_at(
        self,
        at: float,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None = None,
        failed: bool = False,
        stretch: float | None = None,
    ) -> None:
        self.at(at, self._reply, job, endpoint, outcome, load, failed, stretch)

    def _reply(
        self,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None,
        failed: bool,
        stretch: float | None,
    ) -> None:
        key = (job.entry, job.call_id, job.attempt)
        if self._jobs.pop(key, None) is None:
            return
        if outcome == ANSWERED:
            idle = self._idle.get((job.entry, endpoint.name), 0)
            self._idle[(job.entry, endpoint.name)] = min(
                IDLE_CONNECTIONS, idle + 1
            )
        if failed:
            self._failed.add(key)
        latency_s = self.now - job.sent_at
        result = Result(
            job.call_id,
            job.attempt,
            outcome,
            latency_s,
            load,
            failed,
            stretch,
            job.shed,
        )
        decider = self._deciders[job.entry]
        self.perform(job.entry, decider.finish(result, self.now))

    def _cancel(self, entry: int, cancel: Cancel) -> None:
        found = self._jobs.pop((entry, cancel.call_id, cancel.attempt), None)
        if found is None:
            return
        job, endpoint = found
        at = self.now + self._delay(entry, endpoint)
        self.at(at, self._stop, job, endpoint)
        result = Result(job.call_id, job.attempt, CANCELLED, 0.0)
        decider = self._deciders[entry]
        self.perform(entry, decider.finish(result, self.now))

    def _stop(self, job: Job, endpoint: Endpoint) -> None:
        job.cancelled = True
        if endpoint.dead:
            return
        if job.running:
            job.running = False
            endpoint.busy -= 1
            self._next(endpoint)
        elif job in endpoint.queue:
            endpoint.queue.remove(job)

    def _probe(self, entry: int, name: str) -> None:
        self.probes.append(self.now)
        endpoint = self._endpoints[name]
        endpoint.probe_debt_s += PROBE_S
        delay_s = self._delay(entry, endpoint)
        at = self.now + PROBE_S + 2 * delay_s
        self.at(at, self._probed, entry, endpoint, self.now)

    def _probed(self, entry: int, endpoint: Endpoint, sent: float) -> None:
        load = None if endpoint.dead else endpoint.load(self.now)
        actions = self._deciders[entry].record_probe(
            self._service, endpoint.name, load, self.now - sent, self.now
        )
        self.perform(entry, actions)
