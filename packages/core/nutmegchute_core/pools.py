"""Hold one service's endpoints, waiting calls, limits and budgets."""

from random import Random

from .budgets import ExtraBudget
from .budgets import ProbeBudget
from .calls import ANSWERED
from .calls import Call
from .calls import NOT_RUN
from .calls import Result
from .choosers import Chooser
from .endpoints import Endpoint
from .latencies import Quantile
from .limits import Window
from .members import Announcement
from .policies import Policy
from .queues import WaitQueue
from .rules import Service

HEDGE_QUANTILE = 0.92
HEDGE_LEAST_FACTOR = 1.5
TYPICAL_MOST_SHARE = 0.5
PROBE_AGE_S = 0.5
RETRY_AFTER_LEAST_S = 0.2
FIRST_SHARE = 1.5


class Pool:
    """Decide within one service; the balancer keeps the calls."""

    __slots__ = (
        "_chooser",
        "_endpoints",
        "_extra",
        "_half",
        "_in_flight",
        "_policy",
        "_probes",
        "_service",
        "_slow",
        "_window",
        "_zone",
        "queue",
    )

    def __init__(
        self,
        service: Service,
        random: Random,
        zone: str | None,
        policy: Policy,
    ) -> None:
        self._service = service
        self._policy = policy
        self._zone = zone
        self._chooser = Chooser(random, policy)
        self._extra = ExtraBudget()
        self._probes = ProbeBudget(service.probes_per_s, service.most_entries)
        self._window = Window()
        self._half = Quantile(0.5)
        self._slow = Quantile(HEDGE_QUANTILE)
        self._endpoints: dict[str, Endpoint] = {}
        self._in_flight = 0
        self.queue = WaitQueue()

    @property
    def service(self) -> Service:
        """Give what the configuration in force says of the service."""
        return self._service

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Map addresses to the endpoints known."""
        return self._endpoints

    @property
    def extra_tokens(self) -> float:
        """Give the retries and hedges allowed now."""
        return self._extra.tokens

    @property
    def in_flight(self) -> int:
        """Count the attempts under way."""
        return self._in_flight

    @property
    def retry_after_s(self) -> float:
        """Estimate when the calls waiting now will be through."""
        wait_s = len(self.queue) * self._gap_s + self._half.value_s
        return max(RETRY_AFTER_LEAST_S, wait_s)

    @property
    def next_probe_at(self) -> float | None:
        """Give when the next probe may go, in seconds, if any."""
        return self._probes.next_at

    def reconfigure(self, service: Service) -> None:
        """Take what a newer configuration says."""
        self._service = service
        probes = ProbeBudget(service.probes_per_s, service.most_entries)
        probes.follow(self._probes)
        self._probes = probes

    def update(self, announcements: list[Announcement], now: float) -> None:
        """Take the live endpoints; what is known of the staying ones stays.

        An endpoint with a new incarnation is a new process: cold, and
        with none of the calls or failures of the one before.
        """
        first = not self._endpoints
        kept = {}
        slots = 0
        for announcement in announcements:
            address = announcement.endpoint
            endpoint = self._endpoints.get(address)
            if (
                endpoint is None
                or endpoint.announcement.incarnation
                != announcement.incarnation
            ):
                local = announcement.availability_zone == self._zone
                joined_at = None if first else now
                previous = endpoint
                endpoint = Endpoint(announcement, local, joined_at)
                if previous is not None:
                    endpoint.in_flight = previous.in_flight
            endpoint.announcement = announcement
            kept[address] = endpoint
            slots += announcement.slots
        for address, endpoint in self._endpoints.items():
            if address not in kept and endpoint.in_flight:
                # Its attempts still end one by one; forgetting it now
                # would let the count of calls in flight run off.
                self._in_flight -= endpoint.in_flight
        self._endpoints = kept
        open_ones = [one for one in kept.values() if not one.draining]
        self._chooser.update(open_ones)
        self._window.set_share(slots / self._service.most_entries)

    def admit(self, call: Call, now: float) -> str | None:
        """Earn the call's share of extra sends; say why it is refused."""
        if not call.is_retry:
            self._extra.earn()
        waiting = len(self.queue)
        if waiting >= self._service.queue:
            return "queue full"
        if not waiting or not self._policy.admission:
            return None
        ahead = self.queue.ahead_of(call.rule.priority)
        wait_s = ahead * self._gap_s + self._typical_s(call)
        if now + wait_s > call.deadline_at:
            return "cannot be answered in time"
        return None

    def latest_send_at(self, call: Call) -> float:
        """Give until when a send may still be answered in time."""
        if not self._policy.admission:
            return call.deadline_at
        return call.deadline_at - self._typical_s(call)

    def too_late(self, call: Call, now: float) -> bool:
        """Tell whether a call sent now would be answered in vain."""
        return now >= self.latest_send_at(call)

    def has_room(self) -> bool:
        """Tell whether the window lets one more attempt go."""
        if not self._policy.limit:
            return True
        return self._in_flight < self._window.size

    def choose(self, call: Call, now: float) -> str | None:
        """Return the address that the call should go to, if any."""
        avoid = list(call.attempts.values())
        endpoint = self._chooser.choose(avoid, call.rule.idempotent, now)
        return None if endpoint is None else endpoint.address

    def choose_hedge(self, call: Call, now: float) -> str | None:
        """Note that an answer is late; return where to send besides."""
        address = next(iter(call.attempts.values()))
        endpoint = self._endpoints.get(address)
        if endpoint is not None:
            endpoint.stalled += 1
            endpoint.hear_late(now - call.sent_at(1), now)
        if not call.rule.hedge or call.is_retry or self.queue:
            return None
        if len(call.attempts) >= call.rule.attempts:
            return None
        if self.too_late(call, now) or not self.has_room():
            return None
        found = self.choose(call, now)
        if found is None or not self._extra.spend_hedge():
            return None
        return found

    def hedge_delay_s(self, call: Call) -> float | None:
        """Give after what time a call's first attempt is late."""
        if not self._policy.hedging or len(call.attempts) > 1:
            return None
        return max(self._slow.value_s, HEDGE_LEAST_FACTOR * self._half.value_s)

    def may_retry(self, call: Call) -> bool:
        """Take one retry from the rule's attempts and the budget."""
        if call.is_retry or len(call.attempts) >= call.rule.attempts:
            return False
        return self._extra.spend_retry()

    def take_send(self, address: str) -> None:
        """Count an attempt that starts."""
        self._endpoints[address].in_flight += 1
        self._in_flight += 1

    def take_cancel(self, call: Call, attempt: int, now: float) -> None:
        """Count an attempt that ends without an answer."""
        endpoint = self._release(call.attempts[attempt])
        if endpoint is not None:
            endpoint.hear_late(now - call.sent_at(attempt), now)

    def take_result(self, call: Call, result: Result, now: float) -> None:
        """Learn from how an attempt ended."""
        endpoint = self._release(call.attempts[result.attempt])
        if endpoint is None:
            return
        if result.load is not None and self._policy.reports:
            self._chooser.hear_load(endpoint, result.load, now)
        if result.outcome == ANSWERED and not result.failed:
            self._take_answer(endpoint, result, now)
            return
        if result.outcome == NOT_RUN and result.load is not None:
            return
        self._chooser.hear_failure(endpoint, now)

    def take_probe(self, address: str, load: int | None, now: float) -> None:
        """Learn from a probe."""
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            return
        if load is None:
            self._chooser.hear_failure(endpoint, now)
            return
        self._chooser.hear_load(endpoint, load, now)

    def next_probe(self, now: float) -> str | None:
        """Return the endpoint to probe now, if budget and need allow."""
        at = self._probes.next_at
        if at is None or now < at:
            return None
        stalest = self._chooser.stalest(now - PROBE_AGE_S)
        self._probes.spend(now)
        return None if stalest is None else stalest.address

    def _take_answer(
        self, endpoint: Endpoint, result: Result, now: float
    ) -> None:
        self._chooser.hear_answer(endpoint, result.latency_s, now)
        self._half.learn(result.latency_s)
        self._slow.learn(result.latency_s)
        if result.load is None or endpoint.stuck and self._policy.trust:
            return
        self._window.learn(
            result.load,
            endpoint.slots,
            self._in_flight,
            now,
            self._half.value_s,
        )

    @property
    def _gap_s(self) -> float:
        """Estimate the time between two answers when calls wait."""
        return self._chooser.latency_s / self._window.size

    def _typical_s(self, call: Call) -> float:
        # Were a slow spell to raise this over the whole deadline, nothing
        # would be sent any more and so nothing faster ever learned.
        most_s = (call.deadline_at - call.arrived_at) * TYPICAL_MOST_SHARE
        return min(most_s, self._half.value_s)

    def _release(self, address: str) -> Endpoint | None:
        endpoint = self._endpoints.get(address)
        if endpoint is None or endpoint.in_flight <= 0:
            return None
        endpoint.in_flight -= 1
        self._in_flight -= 1
        return endpoint
