"""Decide, for one entry, which upstream runs each call and when."""

import heapq
from random import Random

from .calls import Action
from .calls import ANSWERED
from .calls import Call
from .calls import Cancel
from .calls import Finish
from .calls import Lose
from .calls import LOST
from .calls import NOT_RUN
from .calls import Refuse
from .calls import Result
from .calls import Send
from .members import Announcement
from .members import DRAINING
from .rules import PRIORITIES
from .rules import Service

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
RETRY_AFTER_S = 0.5
CHOICES = 2


class RetryBudget:
    """Bound extra sends to a share of recent calls."""

    __slots__ = ("_tokens",)

    def __init__(self) -> None:
        self._tokens = RETRY_BURST

    @property
    def tokens(self) -> float:
        """Give the extra sends allowed now."""
        return self._tokens

    def earn(self) -> None:
        """Add the share that one arriving call earns."""
        self._tokens = min(RETRY_BURST, self._tokens + RETRY_SHARE)

    def spend(self) -> bool:
        """Take one extra send, if there is one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Endpoint:
    """Count what this entry has in flight at one endpoint."""

    __slots__ = ("_announcement", "in_flight")

    def __init__(self, announcement: Announcement) -> None:
        self._announcement = announcement
        self.in_flight = 0

    @property
    def announcement(self) -> Announcement:
        """Give the endpoint's newest announcement."""
        return self._announcement

    @announcement.setter
    def announcement(self, announcement: Announcement) -> None:
        self._announcement = announcement

    @property
    def accepts(self) -> bool:
        """Tell whether new work may go there."""
        if self._announcement.state == DRAINING:
            return False
        return self.in_flight < self._announcement.slots


class Pool:
    """Hold one service's endpoints, queue and budget."""

    __slots__ = ("_endpoints", "_order", "budget", "queue", "service")

    def __init__(self, service: Service) -> None:
        self.service = service
        self.budget = RetryBudget()
        self.queue: list[tuple[int, float, int]] = []
        self._endpoints: dict[str, Endpoint] = {}
        self._order: list[Endpoint] = []

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Map addresses to the endpoints known."""
        return self._endpoints

    def update(self, announcements: list[Announcement]) -> None:
        """Take the live endpoints; counts of the staying ones stay."""
        kept = {}
        for announcement in announcements:
            address = announcement.endpoint
            endpoint = self._endpoints.get(address)
            if endpoint is None:
                endpoint = Endpoint(announcement)
            endpoint.announcement = announcement
            kept[address] = endpoint
        self._endpoints = kept
        self._order = list(kept.values())

    def choose(self, random: Random, avoid: set[str]) -> Endpoint | None:
        """Pick the least busy of a few random endpoints with a free slot."""
        free = []
        for endpoint in self._order:
            if not endpoint.accepts:
                continue
            if endpoint.announcement.endpoint in avoid:
                continue
            free.append(endpoint)
        if not free:
            return None
        few = random.sample(free, min(CHOICES, len(free)))
        return min(few, key=lambda endpoint: endpoint.in_flight)


class Balancer:
    """Turn arrivals, results and time into sends and final answers."""

    __slots__ = (
        "_availability_zone",
        "_calls",
        "_next_id",
        "_pools",
        "_random",
    )

    def __init__(
        self, seed: int, availability_zone: str | None = None
    ) -> None:
        self._random = Random(seed)
        self._availability_zone = availability_zone
        self._pools: dict[str, Pool] = {}
        self._calls: dict[int, Call] = {}
        self._next_id = 1

    @property
    def in_flight(self) -> int:
        """Count the calls without an outcome."""
        return len(self._calls)

    def configure(self, services: dict[str, Service], now: float) -> None:
        """Take the services that the configuration in force declares."""
        pools = {}
        for name, service in services.items():
            pool = self._pools.get(name)
            if pool is None:
                pool = Pool(service)
            pool.service = service
            pools[name] = pool
        self._pools = pools

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Take the live endpoints of every service."""
        by_service: dict[str, list[Announcement]] = {}
        for announcement in announcements:
            by_service.setdefault(announcement.service, []).append(
                announcement
            )
        actions: list[Action] = []
        for name, pool in self._pools.items():
            pool.update(by_service.get(name, []))
            actions.extend(self._dispatch(pool, now))
        return actions

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
    ) -> tuple[int, list[Action]]:
        """Admit a call; return its id and the first actions.

        ``attempt`` is the number the call arrived with. Over 1, a layer
        above is retrying already and the call earns no retry here: each
        of 16 layers sending twice would make 65,536 calls of one.
        """
        call_id = self._next_id
        self._next_id += 1
        pool = self._pools.get(service)
        if pool is None:
            return call_id, [Refuse(call_id, "unknown service", 0.0)]
        rule = pool.service.rule_for(method, path)
        if rule is None:
            return call_id, [Refuse(call_id, "no rule", 0.0)]
        deadline_s = rule.deadline_s
        if caller_deadline_s is not None:
            deadline_s = min(deadline_s, caller_deadline_s)
        call = Call(call_id, service, rule, now, deadline_s)
        pool.budget.earn()
        self._calls[call_id] = call
        if len(pool.queue) >= pool.service.queue:
            return call_id, [self._give_up(call, "queue full")]
        self._enqueue(pool, call)
        return call_id, self._dispatch(pool, now)

    def finish(self, result: Result, now: float) -> list[Action]:
        """Take an attempt's end and decide what follows from it."""
        call = self._calls.get(result.call_id)
        if call is None:
            return []
        pool = self._pools.get(call.service)
        call.outstanding.discard(result.attempt)
        self._release(pool, call.attempts[result.attempt])
        actions = [self._conclude(pool, call, result, now)]
        if pool is not None:
            actions.extend(self._dispatch(pool, now))
        return [action for action in actions if action is not None]

    def take_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
    ) -> list[Action]:
        """Take a probe's end; a load of None says that it failed."""
        return []

    def abandon(self, call_id: int, now: float) -> list[Action]:
        """Forget a call whose caller has gone; cancel what is in flight."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return []
        actions: list[Action] = []
        pool = self._pools.get(call.service)
        for attempt in sorted(call.outstanding):
            self._release(pool, call.attempts[attempt])
            actions.append(Cancel(call_id, attempt))
        if pool is not None:
            actions.extend(self._dispatch(pool, now))
        return actions

    def next_wakeup(self) -> float | None:
        """Give the time by which tick must run, in seconds, if any."""
        times = []
        for pool in self._pools.values():
            if pool.queue:
                times.append(min(item[1] for item in pool.queue))
        return min(times, default=None)

    def tick(self, now: float) -> list[Action]:
        """Refuse queued calls that can no longer be answered in time."""
        actions: list[Action] = []
        for pool in self._pools.values():
            actions.extend(self._dispatch(pool, now))
        return actions

    def _conclude(
        self, pool: Pool | None, call: Call, result: Result, now: float
    ) -> Action | None:
        if result.outcome == ANSWERED:
            call.step("answer")
            del self._calls[call.call_id]
            return Finish(call.call_id, result.attempt)
        may_repeat = result.outcome == NOT_RUN or call.rule.idempotent
        if result.outcome == LOST:
            call.may_have_run = True
        if pool is not None and may_repeat and self._may_retry(pool, call):
            call.step("retry")
            self._enqueue(pool, call)
            return None
        return self._give_up(call, "no upstream answered")

    def _may_retry(self, pool: Pool, call: Call) -> bool:
        if len(call.attempts) >= call.rule.attempts:
            return False
        return pool.budget.spend()

    def _enqueue(self, pool: Pool, call: Call) -> None:
        if call.state == "admitted":
            call.step("queue")
        rank = PRIORITIES.index(call.rule.priority)
        heapq.heappush(pool.queue, (rank, call.deadline_at, call.call_id))

    def _dispatch(self, pool: Pool, now: float) -> list[Action]:
        actions: list[Action] = []
        while pool.queue:
            call = self._calls.get(pool.queue[0][2])
            if call is None:
                heapq.heappop(pool.queue)
                continue
            if now >= call.deadline_at:
                heapq.heappop(pool.queue)
                actions.append(self._give_up(call, "deadline passed"))
                continue
            avoid = set(call.attempts.values())
            endpoint = pool.choose(self._random, avoid)
            if endpoint is None:
                break
            heapq.heappop(pool.queue)
            endpoint.in_flight += 1
            call.step("send")
            address = endpoint.announcement.endpoint
            attempt = call.record_send(address)
            remaining_s = call.deadline_at - now
            actions.append(Send(call.call_id, attempt, address, remaining_s))
        return actions

    def _give_up(self, call: Call, reason: str) -> Action:
        del self._calls[call.call_id]
        if call.may_have_run:
            # An earlier attempt was lost after bytes had left: "not run"
            # could be false, and a loan repeated on its word would run
            # twice. "Unknown" is the only true answer.
            call.step("lose")
            return Lose(call.call_id, reason)
        call.step("refuse")
        return Refuse(call.call_id, reason, RETRY_AFTER_S)

    def _release(self, pool: Pool | None, address: str) -> None:
        if pool is None:
            return
        endpoint = pool.endpoints.get(address)
        if endpoint is not None and endpoint.in_flight > 0:
            endpoint.in_flight -= 1
