"""Hold one service's endpoints, queue, limits and budgets."""

from math import inf
from random import Random

from .budgets import ExtraBudget
from .budgets import ProbeBudget
from .calls import ANSWERED
from .calls import Call
from .calls import CANCELLED
from .calls import CLOSED
from .calls import CUT_SHORT
from .calls import LOST
from .calls import NOT_RUN
from .calls import Result
from .choosers import Chooser
from .demands import Demands
from .eligibility import Eligibility
from .eligibility import Unavailable
from .endpoints import Endpoint
from .inquiries import FREE_SLOT
from .inquiries import LAST_SLOT
from .inquiries import NO_SLOT
from .inquiry_planners import InquiryPlanner
from .latencies import Mean
from .latencies import Quantile
from .limits import Window
from .members import Announcement
from .members import ProcessKey
from .policies import Policy
from .queues import Place
from .queues import WaitQueue
from .rule_latencies import RuleLatency
from .rule_latencies import SentAttempt
from .rules import Rule
from .rules import Service
from .warmups import WarmUps

# Calls of other entries per slot above which a hedge only lengthens queues.
HEDGE_MAX_LOAD = 0.5
# A hedge is sent after at least this multiple of the median latency.
HEDGE_MIN_FACTOR = 1.5
# Cap on a call's expected latency, as a share of its deadline.
TYPICAL_MAX_SHARE = 0.5
MIN_RETRY_AFTER_S = 0.2
# With an empty queue, a call was refused by endpoints that shed at random or
# are draining, and slots are free at once; the pause lets entries receive a
# change. With every endpoint shedding 45 of 100 calls, 0.90 of the calls meet
# their objective in the worst two seconds, and 0.86 at 0.05 s.
EMPTY_QUEUE_RETRY_S = 0.01
# A caller that retries has used more than this of its deadline, for a round
# trip and a new connection. The deadlines of first tries differ by less: by
# the wait for a thread here.
MIN_RETRY_ELAPSED_S = 0.01
# A lost attempt that took this share of its remaining time has timed out.
TIMED_OUT_SHARE = 0.9
# Retry-After of a call that is shed while others wait: soon enough to meet
# its objective, and after the first reports of a free slot.
# Callers that are refused together come back spread over this span: in a
# burst over unequal zones, 0.949 of the calls meet their objective in the
# worst two seconds, and 0.933 if all come back after 0.02 s.
SHED_RETRY_S = (0.01, 0.03)
QUEUE_FULL = "queue full"
TOO_LATE = "cannot be answered in time"
STOPPING = "entry stops before an answer is likely"
# Other entries can serve the call at once.
STOPPING_RETRY_S = 0.1
# A call may take this multiple of the longest latency known.
LONGEST_MARGIN = 1.25
# Share of its remaining time that a call may be expected to wait.
ADMIT_SHARE = 0.5
# Where calls are held until an endpoint has a free slot, those that can still
# meet their objective go first, and wait less than the queue length suggests.
HELD_ADMIT_SHARE = 0.9
# Share of the time between its objective and its deadline in which a late
# call leaves one slot of each endpoint to others. Credit for the answers in
# the two seconds after a power loss: 0.39 without yielding, 0.50 at a share of
# 0.5; in simulation 0.68 at 0.5 and 0.77 at 0.8.
YIELD_SHARE = 0.8
# Time between two sends while calls wait: the initial estimate, and the cap
# on a single gap.
INITIAL_SEND_GAP_S = 0.05
MAX_SEND_GAP_S = 1.0
# How long a late call may wait for endpoints that limit their calls.
MAX_LIMITED_WAIT_S = 0.5
# Bounds the latency estimates kept for rules that a newer configuration no
# longer has.
MAX_RULES = 1024


class Pool:
    """Make the decisions for one service; the balancer owns the calls."""

    __slots__ = (
        "_chooser",
        "_demands",
        "_end_at",
        "_endpoints",
        "_extra",
        "_in_flight",
        "_median",
        "_policy",
        "_probes",
        "_rule_latencies",
        "_send_gap",
        "_sent_at",
        "_service",
        "_window",
        "_zone",
        "eligibility",
        "planner",
        "queue",
    )

    def __init__(
        self,
        service: Service,
        random: Random,
        zone: str | None,
        policy: Policy,
        warm_ups: WarmUps,
        demands: Demands,
    ) -> None:
        self._service = service
        self._policy = policy
        self._zone = zone
        self._demands = demands
        self._chooser = Chooser(
            random, policy, self._may_probe(service), demands
        )
        self.eligibility = Eligibility(
            self._chooser, random, warm_ups, service
        )
        # When this entry ends its calls, as it stops.
        self._end_at = inf
        self._extra = ExtraBudget()
        self.planner = InquiryPlanner(self._chooser, policy)
        self._probes = ProbeBudget(service.probes_per_s, service.most_entries)
        self._window = Window()
        self._median = Quantile(0.5)
        # By rule: what is late for one kind of call is normal for another.
        self._rule_latencies: dict[str, RuleLatency] = {}
        self._send_gap = Mean(INITIAL_SEND_GAP_S)
        self._sent_at: float | None = None
        self._endpoints: dict[str, Endpoint] = {}
        self._in_flight: dict[tuple[int, int], SentAttempt] = {}
        self.queue = WaitQueue()

    @property
    def service(self) -> Service:
        """Return the service as the configuration in force declares it."""
        return self._service

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """Return the known endpoints by address."""
        return self._endpoints

    @property
    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return len(self._in_flight)

    def retry_after_s(self, call: Call, now: float) -> float:
        """Return when to retry: the estimated time to clear the queue.

        For a call of an organisation, only the calls before it count.
        """
        if self.outlasts_stop(call, now):
            return STOPPING_RETRY_S
        if not self.queue:
            return EMPTY_QUEUE_RETRY_S
        ahead = len(self.queue)
        if call.organisation is not None:
            ahead = self.count_ahead(call, now)
        wait_s = ahead * self._send_gap_s + self._median.value_s
        return max(MIN_RETRY_AFTER_S, wait_s)

    @property
    def next_probe_at(self) -> float | None:
        """Return when the next probe may be sent, in seconds, if ever."""
        return self._probes.next_at

    def reconfigure(self, service: Service) -> None:
        """Apply the service's declaration from a newer configuration."""
        if len(self._rule_latencies) > MAX_RULES:
            self._rule_latencies.clear()
        self._service = service
        probes = ProbeBudget(service.probes_per_s, service.most_entries)
        probes.continue_from(self._probes)
        self._probes = probes
        self._chooser.probing_enabled = self._may_probe(service)
        self.eligibility.configure(service)

    @property
    def may_query(self) -> bool:
        """Return whether endpoints may be queried at all."""
        return self.holds_calls and self.planner.has_budget

    def end_at(self, at: float) -> None:
        """Send only calls that are likely to end before a time."""
        self._end_at = at

    def limit_extra_sends(self, share: float, burst: float) -> None:
        """Set this entry's share of the retries and hedges."""
        self._extra.limit(share, burst)

    def update(self, announcements: list[Announcement], now: float) -> None:
        """Apply the live endpoints and keep the data on known ones.

        An endpoint with a new incarnation is a new process: cold, and
        without the calls and failures of its predecessor.
        """
        first = not self._endpoints
        kept = {}
        slots = 0
        max_slots = 0
        for announcement in announcements:
            address = announcement.endpoint
            endpoint = self._endpoints.get(address)
            if (
                endpoint is None
                or endpoint.announcement.process != announcement.process
            ):
                local = (
                    announcement.availability_zone == self._zone
                    or not self._policy.zones
                )
                cold = self._policy.warm_up and not first
                joined_at = now if cold else None
                endpoint = Endpoint(announcement, local, joined_at)
                self.eligibility.record_cold(
                    endpoint, announcement.cold_s, now
                )
            elif endpoint.announcement is not announcement:
                self.eligibility.record_cold(
                    endpoint, announcement.cold_s, now
                )
            endpoint.announcement = announcement
            kept[address] = endpoint
            slots += announcement.slots
            max_slots = max(max_slots, announcement.slots)
        self._endpoints = kept
        self.eligibility.update(kept, now)
        share = slots / self._service.most_entries
        self._window.set_share(share, max_slots)
        self.planner.update(kept)

    def admit(self, call: Call, now: float) -> str | None:
        """Earn the call's extra tokens; return why to refuse it, or None."""
        if not call.is_retry:
            self._extra.earn()
        organisation = call.organisation
        if organisation is not None:
            self.queue.record_arrival(organisation, call.rule.name, now)
        waiting = len(self.queue)
        if waiting >= self._service.queue and (
            organisation is None
            or self.queue.find_surplus(organisation, 1) is None
        ):
            return QUEUE_FULL
        if not waiting or not self._policy.admission:
            return None
        if self._is_starved(call):
            return None
        ahead = self.count_ahead(call, now)
        wait_s = ahead * self._send_gap_s + self._typical_s(call)
        share = HELD_ADMIT_SHARE if self.holds_calls else ADMIT_SHARE
        if wait_s > (call.deadline_at - now) * share:
            return TOO_LATE
        return None

    def count_ahead(self, call: Call, now: float) -> int:
        """Return about how many queued calls go before a call."""
        return self.queue.count_ahead(
            call.rule.priority, self.late_at(call), now, call.organisation
        )

    def enqueue(self, call: Call) -> None:
        """Add a call to the queue."""
        place = None
        if call.organisation is not None:
            place = Place(
                call.organisation,
                call.rule.name,
                min(
                    call.arrived_at, call.objective_at - call.rule.objective_s
                ),
                bool(call.attempts) or call.alone,
            )
        self.queue.push(
            call.call_id,
            call.rule.priority,
            call.arrived_at,
            self.late_at(call),
            place,
        )

    def find_surplus(self, call: Call) -> int | None:
        """Return the queued call to refuse for another, if any."""
        if call.organisation is None:
            return None
        if len(self.queue) <= self._service.queue:
            return None
        return self.queue.find_surplus(call.organisation)

    def _is_starved(self, call: Call) -> bool:
        if call.organisation is None:
            return False
        return self.queue.is_starved(call.organisation, call.rule.name)

    def record_deadline(self, call: Call, deadline_s: float | None) -> None:
        """Estimate from the caller's deadline how long it has been trying.

        A caller that retries sends the time it has left. Its objective
        counts from its first try, so the difference to the longest deadline
        seen for the rule has been used up already.
        """
        if deadline_s is None:
            return
        rule_latency = self._latency_of(call)
        rule_latency.deadline_s = max(rule_latency.deadline_s, deadline_s)
        used_s = rule_latency.deadline_s - deadline_s
        call.objective_at -= used_s
        call.is_first_try = used_s < MIN_RETRY_ELAPSED_S

    def is_late(self, rule: Rule, deadline_s: float | None) -> bool:
        """Return whether a caller that retries cannot meet its objective.

        ``deadline_s`` is the time that it has left, as in record_deadline.
        """
        if deadline_s is None:
            return False
        latency = self._latency_of_rule(rule)
        used_s = latency.deadline_s - deadline_s
        return used_s + latency.median.value_s > rule.objective_s

    def late_at(self, call: Call) -> float:
        """Return the latest send time to meet the objective."""
        return call.objective_at - self._typical_s(call)

    def latest_send_at(self, call: Call) -> float:
        """Return the latest send time to meet the deadline."""
        latest_at = call.deadline_at
        if self._policy.admission:
            latest_at -= self._typical_s(call)
        return min(latest_at, self._end_at - self._longest_s(call))

    def outlasts_stop(self, call: Call, now: float) -> bool:
        """Return whether a call sent now may not end before this entry."""
        return now >= self._end_at - self._longest_s(call)

    def too_late(self, call: Call, now: float) -> bool:
        """Return whether a call sent now would miss its deadline."""
        return now >= self.latest_send_at(call)

    def unavailable(self, call: Call, now: float) -> Unavailable | None:
        """Return why a queued call cannot be served, or None."""
        if self.outlasts_stop(call, now):
            return Unavailable(STOPPING, STOPPING_RETRY_S)
        if self.too_late(call, now):
            return Unavailable(TOO_LATE)
        until = self.latest_send_at(call)
        if not self._chooser.limited_count:
            return self.eligibility.unavailable(now, until, 0)
        # A call that waits beyond its objective may lose its turn to calls
        # in time, and another entry may be able to send it at once.
        until = min(until, max(self.late_at(call), now + MAX_LIMITED_WAIT_S))
        # The call itself is in the queue and counts.
        ahead = self.count_ahead(call, now)
        return self.eligibility.unavailable(now, until, max(0, ahead - 1))

    @property
    def limited_count(self) -> int:
        """Return the number of endpoints whose rate limit holds."""
        return self._chooser.limited_count

    def count_resting(self, now: float) -> int:
        """Count the endpoints that rest."""
        rests = self._demands.rests
        found = 0
        for endpoint in self._endpoints.values():
            found += rests.is_resting(endpoint, now)
        return found

    @property
    def must_poll(self) -> bool:
        """Return whether waiting calls need a timer to be sent."""
        if self.holds_calls or self._chooser.limited_count:
            return True
        return self._demands.rests.any_known

    def update_demands(self, now: float) -> None:
        """Apply a change of what endpoints ask for."""
        self.eligibility.update(self._endpoints, now)

    def limited_to_query(self, now: float) -> str | None:
        """Return a limited endpoint that a load query is due at, if any.

        Its query is counted as sent.
        """
        endpoint = self._chooser.limited_to_query(now)
        if endpoint is None:
            return None
        self._demands.count_query(endpoint, now)
        return endpoint.address

    def should_shed(
        self, call: Call, starts_waiting: bool, now: float
    ) -> bool:
        """Return whether to refuse a call that found no free slot.

        Under overload, calls that can meet their objective go first, and
        most late ones are not sent before their deadline. So a late call waits
        only if it is alone in the queue, and a call that ``starts_waiting``
        is refused while a late one waits: it can still meet its objective
        on a retry, most often at another entry. With a third of the
        endpoints unreachable in a burst, 0.68 of the calls meet their
        objective in the worst two seconds, and 0.63 if all wait. Calls of
        an organisation are refused only for others of the same.
        """
        if not self.holds_calls or call.may_have_run:
            return False
        if not self._policy.sending_away or self._is_starved(call):
            return False
        if self.late_at(call) < now:
            return self.queue.count_own(call.organisation) > 1
        if not starts_waiting:
            return False
        return self.queue.count_late(now, call.organisation) > 0

    def has_room(self) -> bool:
        """Return whether the window allows one more attempt."""
        if not self._policy.limit:
            return True
        return self.in_flight < self._window.size

    def has_untried_endpoint(self, call: Call, now: float) -> bool:
        """Return whether there is an endpoint the call was not sent to.

        Without one, a retry would wait in the queue in vain, and its caller
        would get the failure only at the deadline.
        """
        tried = call.attempts.values()
        latest_at = self.latest_send_at(call)
        for address, endpoint in self._endpoints.items():
            if address in tried or not endpoint.accepts_calls:
                continue
            if self._demands.call_at(endpoint, now) <= latest_at:
                return True
        return False

    @property
    def holds_calls(self) -> bool:
        """Return whether calls wait here until an endpoint is free."""
        return self._policy.inquiries and self._chooser.shows_free_slots

    def may_send(
        self, call: Call, address: str, exempt: bool, now: float
    ) -> bool:
        """Return whether a call may be sent to an endpoint now.

        Where endpoints report their load, the reports decide, unless none
        could be queried for an ``exempt`` call. Otherwise the window decides,
        as the calls of other entries are unknown. A last slot, offered only
        when no other was found, is used by calls that meet their objective
        even at its lower speed; others would be late there and wait.
        """
        slot = self.planner.slot_kind(address, now)
        endpoint = self._endpoints[address]
        if slot > NO_SLOT and self._demands.rate_limits.is_limited(endpoint):
            return True
        if slot > NO_SLOT and self._should_yield(call, now):
            return endpoint.spare_slots > min(1, endpoint.slots - 1)
        if slot == FREE_SLOT:
            return True
        if slot == LAST_SLOT:
            expected_s = self._typical_s(call) * self._chooser.fullness.factor
            in_time = now + expected_s <= call.objective_at
            if in_time or not self._chooser.fullness.is_significant:
                return True
            if call.organisation is not None:
                # Organisations with a backlog leave the last slots to it, and
                # free slots are rare.
                return not self.queue.has_share(call.organisation)
        if self.holds_calls and not exempt:
            return False
        return self.has_room()

    def _should_yield(self, call: Call, now: float) -> bool:
        """Return whether a late call leaves a slot to calls in time.

        After a power loss all callers retry at once, each already late. If
        they took every slot, all later calls would have to wait and be late
        too, for as long as the load lasts. Close to its deadline a late
        call takes any slot.
        """
        if not self._policy.yielding:
            return False
        if call.organisation is not None:
            if self._leaves_last_slot(call):
                return True
            if not self.queue.has_share(call.organisation):
                return False
        late_at = self.late_at(call)
        latest_at = self.latest_send_at(call)
        return late_at < now < late_at + (latest_at - late_at) * YIELD_SHARE

    def _leaves_last_slot(self, call: Call) -> bool:
        """Return whether to leave one slot of each endpoint to others.

        An entry does not know which organisations wait at others. The calls
        of one with a backlog here would take every slot that becomes free,
        and a quieter one at another entry would find none. Where work takes
        longer in the last slot, leaving it costs no capacity.
        """
        if (
            call.organisation is None
            or not self._chooser.fullness.is_significant
        ):
            return False
        return self.queue.has_backlog(call.organisation)

    def choose(self, call: Call, now: float) -> str | None:
        """Return the address to send the call to, if any."""
        if call.alone:
            return self.eligibility.find_idle(
                list(call.attempts.values()), now
            )
        avoid = list(call.attempts.values())
        within_s = call.objective_at - now
        endpoint = self._chooser.choose(
            avoid, call.rule.idempotent, now, within_s
        )
        return None if endpoint is None else endpoint.address

    def process_of(self, call: Call, attempt: int) -> str:
        """Return the id of the process that an attempt was sent to.

        It is empty if the service was removed from the configuration since.
        """
        sent = self._in_flight.get((call.call_id, attempt))
        if sent is None:
            return ""
        announcement = sent.endpoint.announcement
        name = announcement.instance or announcement.endpoint
        return f"{name}#{announcement.incarnation}"

    def process_at(self, address: str) -> ProcessKey | None:
        """Return the process at an address, if there is one."""
        endpoint = self._endpoints.get(address)
        return None if endpoint is None else endpoint.announcement.process_key

    def basis(self, address: str, now: float) -> dict[str, float]:
        """Return the data known about an endpoint, for the log."""
        endpoint = self._endpoints.get(address)
        return {} if endpoint is None else endpoint.load_basis(now)

    def may_hedge(self, call: Call, now: float) -> bool:
        """Record that an answer is late; return whether a hedge may follow."""
        address = next(iter(call.attempts.values()))
        endpoint = self._endpoints.get(address)
        if endpoint is not None:
            elapsed_s = now - call.sent_at(1)
            self._chooser.record_stall(endpoint, elapsed_s, now)
        if not call.rule.hedge or call.is_retry or self.queue:
            return False
        if self._chooser.never_reports:
            # Free slots are unknown, and a hedge that takes a slot makes
            # another call late. With unequal zones, 0.68 of the calls meet
            # their objective without hedges, 0.64 with them.
            return False
        if len(call.attempts) >= call.rule.attempts:
            return False
        if self.too_late(call, now) or not self.has_room():
            return False
        return self._chooser.load_per_slot <= HEDGE_MAX_LOAD

    def choose_hedge(self, call: Call, now: float) -> str | None:
        """Return the address for a hedge, if any, and spend its budget."""
        if len(call.attempts) >= call.rule.attempts:
            return None
        found = self.choose(call, now)
        if found is None or not self._extra.spend_hedge():
            return None
        return found

    def hedge_delay_s(self, call: Call) -> float | None:
        """Return the delay until a first attempt is late, in seconds."""
        if not self._policy.hedging or len(call.attempts) > 1:
            return None
        rule_latency = self._latency_of(call)
        return max(
            rule_latency.tail.value_s,
            HEDGE_MIN_FACTOR * rule_latency.median.value_s,
        )

    def may_retry(self, call: Call, is_free: bool) -> bool:
        """Spend one retry if the rule's attempts and the budget allow it.

        A retry that ``is_free`` does not use the budget.
        """
        if call.is_retry or len(call.attempts) >= call.rule.attempts:
            return False
        if is_free:
            return True
        first_try = call.is_first_try and self._policy.returning
        return self._extra.spend_retry(first_try)

    def record_attempt(self, call: Call, attempt: int, now: float) -> None:
        """Record an attempt that is sent."""
        if self._sent_at is not None and self.queue:
            # Without waiting calls a pause shows a lack of calls, not of
            # free slots; counted as a gap it would refuse the next calls.
            waited_s = now - max(self._sent_at, call.arrived_at)
            self._send_gap.record(min(waited_s, MAX_SEND_GAP_S))
        self._sent_at = now
        if call.organisation is not None and attempt == 1:
            self.queue.record_send(
                call.organisation, call.rule.name, self._send_gap_s, now
            )
        endpoint = self._endpoints[call.attempts[attempt]]
        self._in_flight[call.call_id, attempt] = SentAttempt(
            endpoint, call.sent_at(attempt)
        )
        endpoint.count_send(now)
        self._demands.count_call(endpoint, now)

    def record_cancel(self, call: Call, attempt: int, now: float) -> None:
        """Record an attempt that was cancelled."""
        sent = self._release(call.call_id, attempt)
        if sent is not None and self._policy.latency:
            sent.endpoint.record_late(now - call.sent_at(attempt), now)

    def record_result(self, call: Call, result: Result, now: float) -> bool:
        """Record how an attempt ended; return whether a full endpoint lost it.

        Full endpoints of some services reset connections. Nothing is wrong
        with them, so this is no failure.
        """
        sent = self._release(call.call_id, result.attempt)
        if sent is None:
            return False
        endpoint = sent.endpoint
        if self._is_full_reset(endpoint, result, now):
            self._chooser.record_full_reset(endpoint, now)
            self._record_overload(True, now)
            return True
        self._record_end(call, sent, result, now)
        return False

    def _is_full_reset(
        self, endpoint: Endpoint, result: Result, now: float
    ) -> bool:
        if result.outcome != LOST or result.loss != CLOSED or result.crashed:
            return False
        if not self._policy.resets:
            return False
        return self._chooser.is_reset_when_full(endpoint, now)

    def _record_end(
        self, call: Call, sent: SentAttempt, result: Result, now: float
    ) -> None:
        endpoint = sent.endpoint
        if result.outcome == ANSWERED:
            self._latency_of(call).longest.record(result.latency_s)
        if result.load is not None and self._policy.reports:
            self._chooser.record_load(
                endpoint, result.load, now, result.stretch
            )
        elif result.outcome == ANSWERED:
            self._chooser.record_no_report()
        elif result.shed:
            self._record_shed_without_load(endpoint, now)
        if result.outcome == ANSWERED and not result.failed:
            self._record_answer(endpoint, result, now)
            if not endpoint.is_cold(now):
                # A cold endpoint's latencies are not typical of the rule.
                self._record_latency(call, sent, result.latency_s)
            return
        if not self._is_endpoint_failure(call, result):
            return
        if result.outcome == NOT_RUN:
            self._mark_unreachable(endpoint, now)
        self._chooser.record_failure(endpoint, now)

    def record_probe(
        self,
        address: str,
        load: int | None,
        now: float,
        stretch: float | None = None,
        answered: bool = False,
        cold_s: float | None = None,
    ) -> None:
        """Record a probe; one that was ``answered`` may carry no load."""
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            return
        if cold_s is not None:
            self.eligibility.record_cold(endpoint, cold_s, now)
        if load is None:
            if not answered:
                self._mark_unreachable(endpoint, now)
                return
            self._chooser.record_no_report()
            self._chooser.record_probe_answer(endpoint)
            return
        self._chooser.record_load(endpoint, load, now, stretch)
        self._chooser.record_probe_answer(endpoint)

    def forgive(self, now: float) -> None:
        """Forget the failures at endpoints that this entry did not reach."""
        self._chooser.forgive(list(self._endpoints.values()))

    def next_probe(self, now: float) -> str | None:
        """Return the endpoint to probe now, if one is due."""
        at = self._probes.next_at
        if at is None or now < at:
            return None
        ejected = self._chooser.next_ejected(now)
        if ejected is None:
            self._probes.postpone(now)
            return None
        self._probes.spend(now)
        self._demands.count_query(ejected, now)
        ejected.probed_at = now
        return ejected.address

    def _record_answer(
        self, endpoint: Endpoint, result: Result, now: float
    ) -> None:
        self._chooser.record_answer(endpoint, result.latency_s, now)
        self._median.record(result.latency_s)
        # Without load reports, only endpoints that shed count as overloaded.
        overloaded = result.load is not None and self._chooser.is_overloaded(
            endpoint, result.load
        )
        self._record_overload(overloaded, now)

    def _mark_unreachable(self, endpoint: Endpoint, now: float) -> None:
        if self._policy.silence:
            endpoint.mark_unreachable(now)

    def _record_shed_without_load(
        self, endpoint: Endpoint, now: float
    ) -> None:
        """Record "not run" from an endpoint that does not report its load.

        The endpoint is assumed to have all slots in use and calls waiting.
        """
        endpoint.record_load(endpoint.slots + endpoint.in_flight, now)
        self._record_overload(True, now)

    def _record_overload(self, overloaded: bool, now: float) -> None:
        self._window.record(
            overloaded, self.in_flight, now, self._median.value_s
        )

    def _may_probe(self, service: Service) -> bool:
        return service.probes_per_s > 0 and self._policy.probing

    def _is_endpoint_failure(self, call: Call, result: Result) -> bool:
        """Return whether a failed attempt counts against the endpoint."""
        if result.outcome == CANCELLED or result.is_untried:
            return False
        if result.loss == CUT_SHORT:
            return False
        if result.notice is not None and result.notice.rest_s is not None:
            # An endpoint that asks for rest is busy, not broken.
            return False
        if result.outcome == NOT_RUN:
            # An endpoint that sheds is busy, not broken.
            return not result.shed and result.load is None
        if result.outcome != LOST:
            return True
        # Calls with a deadline of two milliseconds are all lost. Counted as
        # failures, a few of them would eject healthy endpoints.
        allowed_s = call.deadline_at - call.sent_at(result.attempt)
        timed_out = result.latency_s >= allowed_s * TIMED_OUT_SHARE
        return (
            not timed_out or allowed_s >= self._latency_of(call).tail.value_s
        )

    @property
    def _send_gap_s(self) -> float:
        """Return the estimated time between two sends when calls wait."""
        if self.holds_calls:
            return self._send_gap.value
        return self._chooser.latency_s / self._window.size

    def _typical_s(self, call: Call) -> float:
        # Capped: if a slow phase raised this above the whole deadline,
        # nothing would be sent and no lower latency could be recorded.
        max_s = (call.deadline_at - call.arrived_at) * TYPICAL_MAX_SHARE
        return min(max_s, self._latency_of(call).median.value_s)

    def _longest_s(self, call: Call) -> float:
        """Return how long an attempt of a call may take."""
        max_s = call.deadline_at - call.arrived_at
        longest_s = self._latency_of(call).longest.value_s
        if longest_s is None:
            return max_s
        return min(max_s, longest_s * LONGEST_MARGIN)

    def _record_latency(
        self, call: Call, sent: SentAttempt, latency_s: float
    ) -> None:
        rule_latency = self._latency_of(call)
        rule_latency.record(latency_s)
        if sent.nearly_full is not None and self._policy.fullness:
            multiple = latency_s / rule_latency.median.value_s
            self._chooser.fullness.record(sent.nearly_full, multiple)

    def _latency_of(self, call: Call) -> RuleLatency:
        return self._latency_of_rule(call.rule)

    def _latency_of_rule(self, rule: Rule) -> RuleLatency:
        rule_latency = self._rule_latencies.get(rule.name)
        if rule_latency is None:
            rule_latency = RuleLatency(rule.objective_s)
            self._rule_latencies[rule.name] = rule_latency
        return rule_latency

    def _release(self, call_id: int, attempt: int) -> SentAttempt | None:
        # By attempt, not by address: ends of calls sent to a previous
        # process at the address would otherwise free slots of the present
        # one, which would then get more calls than it has slots.
        sent = self._in_flight.pop((call_id, attempt), None)
        if sent is not None:
            sent.endpoint.in_flight -= 1
        return sent
