"""Decide for one entry where and when each call is sent."""

from random import Random

from .calls import Action
from .calls import ANSWERED
from .calls import Call
from .calls import Cancel
from .calls import Deny
from .calls import Finish
from .calls import Lose
from .calls import Probe
from .calls import Refuse
from .calls import Result
from .calls import Send
from .calls import UnrunAction
from .demands import Demands
from .directories import EntryInfo
from .entry_groups import EntryGroups
from .evacuations import EvacuationUpdate
from .inquiries import Inquiry
from .inquiries import QUERY_TIMEOUT_S
from .inquiries import REQUERY_S
from .isolations import Isolation
from .isolations import Release
from .limit_boards import LimitUpdate
from .members import Announcement
from .notices import Notice
from .organisations import Organisation
from .policies import Policy
from .pool_sets import PoolSet
from .pools import Pool
from .pools import QUEUE_FULL
from .pools import SHED_RETRY_S
from .pools import STOPPING
from .quarantines import FREE
from .quarantines import QUARANTINED
from .quarantines import QuarantineUpdate
from .quarantines import Report
from .quarantines import Ruling
from .quarantines import TrialRequest
from .quarantines import WAIT_S
from .reachability import LinkChange
from .relays import CUT_OFF
from .relays import final_action
from .relays import is_elsewhere
from .relays import Relays
from .rules import Rule
from .rules import Service
from .timers import EXPIRY
from .timers import HEDGE
from .timers import QUERY_TIMEOUT
from .timers import REQUERY
from .timers import REQUEST_TRIAL
from .timers import Timers
from .warmups import WarmUps

ADMITTED = "admitted"
QUEUED = "queued"
# Retries and trials that one dispatch skips because no endpoint may run them.
MAX_UNPLACED = 4
CRASHES = "crashes the endpoints that run it"
WITHDRAWN = "the key is no longer valid"
TOO_MANY_SUSPECTS = "too many suspects wait"
# Reasons for which any other entry would refuse a call as well.
DECIDED = frozenset({CRASHES, STOPPING, TOO_MANY_SUSPECTS})


class Balancer:
    """Turn arrivals, results and timers into sends and final answers."""

    __slots__ = (
        "_calls",
        "_inquiries",
        "_isolation",
        "_link_changes",
        "_next_id",
        "_policy",
        "_pools",
        "_random",
        "_relays",
        "_timers",
        "demands",
        "groups",
        "warm_ups",
    )

    def __init__(
        self,
        seed: int,
        availability_zone: str | None = None,
        policy: Policy | None = None,
        name: str | None = None,
    ) -> None:
        self._random = Random(seed)
        self._policy = policy or Policy()
        self.groups = EntryGroups(name)
        self.warm_ups = WarmUps(self.groups)
        self.demands = Demands(self.groups, seed)
        self._pools = PoolSet(
            self._random,
            availability_zone,
            self._policy,
            self.warm_ups,
            self.demands,
        )
        self._calls: dict[int, Call] = {}
        self._timers = Timers()
        self._next_id = 1
        self._inquiries: dict[int, Inquiry] = {}
        self._isolation = Isolation(self._random, self._timers)
        self._relays = Relays(Random(seed + 1), self._may_query)
        # Changes of the links to endpoints that the daemon has not logged.
        self._link_changes: list[LinkChange] = []

    @property
    def is_cut_off(self) -> bool:
        """Return whether this entry reaches no endpoint."""
        return self._relays.is_cut_off

    @property
    def helpers_digest(self) -> int:
        """Return the digest of the known helpers."""
        return self._relays.helpers.digest

    @property
    def relayed_in_flight(self) -> int:
        """Return the number of calls that helpers serve now."""
        return self._relays.in_flight

    def has_helper(self, now: float) -> bool:
        """Return whether a helper may serve the calls of this entry."""
        return self._relays.helpers.any_usable(now)

    def update_helpers(self, helpers: list[EntryInfo]) -> None:
        """Replace the entries that serve calls while this one is cut off."""
        self._relays.helpers.update(helpers)

    def pop_link_changes(self) -> list[LinkChange]:
        """Return and clear the losses and returns of all links."""
        changes, self._link_changes = self._link_changes, []
        return changes

    @property
    def quarantine_index(self) -> int:
        """Return the log index of the known quarantine cases."""
        return self._isolation.index

    @property
    def evacuations(self) -> EvacuationUpdate:
        """Return the evacuated availability zones known to this entry."""
        return self._pools.evacuations

    def pop_reports(self) -> list[Report]:
        """Return and clear the reports to control.

        They are held back while the links of this entry are checked: a
        connection that its own link has lost looks like a crash.
        """
        if self._relays.reachability.is_suspected:
            return []
        return self._isolation.pop_reports()

    @property
    def in_flight(self) -> int:
        """Return the number of calls without an outcome."""
        return len(self._calls)

    def count_limited(self) -> int:
        """Count the endpoints whose rate limit holds."""
        return sum(pool.limited_count for pool in self._pools.values())

    def count_resting(self, now: float) -> int:
        """Count the endpoints that rest."""
        return sum(pool.count_resting(now) for pool in self._pools.values())

    def count_waiting(self) -> int:
        """Count the calls that wait for an endpoint."""
        return sum(len(pool.queue) for pool in self._pools.values())

    def count_waiting_organisations(self) -> int:
        """Count the organisations that waiting calls belong to."""
        found: set[str] = set()
        for pool in self._pools.values():
            found.update(pool.queue.organisations)
        return len(found)

    def configure(self, services: dict[str, Service], now: float) -> None:
        """Apply the services that the configuration in force declares."""
        self._pools.configure(services, now)
        self._relays.configure(
            {name: one.probe_path for name, one in services.items()}
        )

    def apply_evacuations(
        self, received: EvacuationUpdate, now: float
    ) -> list[Action]:
        """Apply the evacuated availability zones received from control."""
        if not self._pools.evacuate(received, now):
            return []
        return self._dispatch_all(now)

    def apply_limits(self, update: LimitUpdate, now: float) -> list[Action]:
        """Apply the rate limits of endpoints that others have learned."""
        actions: list[Action] = []
        if self.demands.rate_limits.apply(update, now):
            self._apply_changed_demands(now, actions)
        return actions

    def end_at(self, at: float, now: float) -> list[Action]:
        """Send only calls that are likely to end before a time.

        The entry stops then. Others are refused, as are queued ones when
        their latest send time has passed.
        """
        self._pools.end_at(at)
        for call in self._calls.values():
            pool = self._pools.get(call.service)
            if pool is not None:
                self._schedule_expiry(pool, call)
        return self._dispatch_all(now)

    def limit_extra_sends(self, share: float, burst: float) -> None:
        """Set this entry's share of each service's retries and hedges."""
        self._pools.limit_extra_sends(share, burst)

    def limit_inquiries(self, per_endpoint: float, share: float) -> None:
        """Set the load queries allowed per second and endpoint.

        ``per_endpoint`` is for all entries together; ``share`` of it is
        this entry's.
        """
        self._pools.limit_inquiries(per_endpoint, share)

    def update_upstreams(
        self, announcements: list[Announcement], now: float
    ) -> list[Action]:
        """Apply the live endpoints of every service."""
        self._pools.update(announcements, now)
        self._relays.update(announcements)
        return self._dispatch_all(now)

    def arrive(
        self,
        service: str,
        method: str,
        path: str,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
        fingerprint: str = "",
        organisation: Organisation | None = None,
        is_relayed: bool = False,
    ) -> tuple[int, list[Action]]:
        """Admit a call; return its id and the first actions.

        ``fingerprint`` is the same for every repetition of a request.
        ``attempt`` is the attempt number from the request. Above 1 a layer
        in front is already retrying, and the call gets no retry here: 16
        layers that each send twice would make 65,536 calls out of one.
        """
        pool = self._pools.get(service)
        rule = None if pool is None else pool.service.rule_for(method, path)
        return self.arrive_with_rule(
            service,
            rule,
            now,
            caller_deadline_s,
            attempt,
            fingerprint,
            organisation,
            is_relayed,
        )

    def arrive_with_rule(
        self,
        service: str,
        rule: Rule | None,
        now: float,
        caller_deadline_s: float | None = None,
        attempt: int = 1,
        fingerprint: str = "",
        organisation: Organisation | None = None,
        is_relayed: bool = False,
    ) -> tuple[int, list[Action]]:
        """Admit a call whose rule is already known; see ``arrive``."""
        call_id = self._next_id
        self._next_id += 1
        pool = self._pools.get(service)
        if pool is None:
            return call_id, [Refuse(call_id, "unknown service", 0.0)]
        if rule is None:
            return call_id, [Refuse(call_id, "no rule", 0.0)]
        deadline_s = rule.deadline_s
        if caller_deadline_s is not None:
            deadline_s = min(deadline_s, caller_deadline_s)
        call = Call(
            call_id,
            service,
            rule,
            now,
            deadline_s,
            attempt > 1,
            fingerprint,
            organisation,
        )
        call.is_relayed = is_relayed
        self._calls[call_id] = call
        if pool.outlasts_stop(call, now):
            refusal = self._refuse_or_lose(pool, call, now, STOPPING)
            return call_id, [refusal]
        if self.is_cut_off:
            passed_on = self._pass_on(call, now)
            if passed_on is not None:
                return call_id, [passed_on]
        pool.record_deadline(call, caller_deadline_s)
        reason = pool.admit(call, now)
        if reason is not None:
            return call_id, [self._refuse_or_lose(pool, call, now, reason)]
        actions: list[Action] = []
        self._query_limited(pool, now, actions)
        if self._hold_or_refuse(pool, call, now, actions):
            return call_id, actions
        if self._send_queries(pool, call, Inquiry([]), now, actions):
            return call_id, actions
        self._enqueue(pool, call)
        self._dispatch(pool, now, actions, self._exempt_call(pool, call))
        self._refuse_surplus(pool, call, now, actions)
        self._schedule_expiry(pool, call)
        self._schedule_requery(pool, call, now)
        return call_id, actions

    def finish(self, result: Result, now: float) -> list[Action]:
        """Record the end of an attempt and return the next actions."""
        actions: list[Action] = []
        if result.notice is not None:
            self._record_notice(result.notice, now, actions)
        call = self._calls.get(result.call_id)
        if call is None or result.attempt not in call.outstanding:
            # The call was abandoned or another attempt answered first; the
            # slot was released on cancellation.
            return actions
        call.end_attempt(result)
        pool = self._pools.get(call.service)
        if self._relays.is_relay(call.call_id, result.attempt):
            self._finish_relay(call, result, now, actions)
            return actions
        address = call.attempts[result.attempt]
        if self.is_cut_off:
            # A connection that the entry's own link has lost is no crash.
            result.crashed = False
        if self._relays.record_attempt(address, result, now):
            actions.extend(self._relays.begin_check(now))
        full = False
        if pool is not None:
            process = ""
            if result.crashed:
                process = pool.process_of(call, result.attempt)
            full = pool.record_result(call, result, now)
            was_tried = not full and not result.is_untried
            releases = self._isolation.finish_attempt(
                call, result, process, now, was_tried
            )
            self._release(releases, now, actions)
        self._resolve_attempt(pool, call, result, now, actions, full)
        if pool is not None:
            self._dispatch(pool, now, actions)
            self._schedule_expiry(pool, call)
        # Only now, as the call above may have run.
        self._apply_link_changes(now, actions)
        return actions

    def apply_quarantine(
        self, received: QuarantineUpdate, now: float
    ) -> list[Action]:
        """Apply the suspect and quarantined requests from control."""
        actions: list[Action] = []
        self._release(
            self._isolation.apply_update(received, now), now, actions
        )
        return actions

    def apply_ruling(
        self, request: TrialRequest, ruling: Ruling | None, now: float
    ) -> list[Action]:
        """Apply the ruling on a trial request, None without a reply."""
        actions: list[Action] = []
        releases = self._isolation.apply_ruling(request, ruling, now)
        self._release(releases, now, actions)
        return actions

    def record_probe(
        self,
        service: str,
        endpoint: str,
        load: int | None,
        latency_s: float,
        now: float,
        stretch: float | None = None,
        answered: bool = False,
        cold_s: float | None = None,
        notice: Notice | None = None,
        is_new: bool = False,
        is_attributed: bool = True,
    ) -> list[Action]:
        """Record a probe's result; without load or answer it has failed.

        ``is_new`` says that its connection was opened for it. Unless it
        ``is_attributed``, what was read may answer an earlier request: it
        shows no failure, only that the endpoint is reached.
        """
        actions: list[Action] = []
        if notice is not None:
            self._record_notice(notice, now, actions)
        pool = self._pools.get(service)
        was_answered = answered or notice is not None or not is_attributed
        if self._relays.record_probe(endpoint, was_answered, is_new, now):
            actions.extend(self._relays.begin_check(now))
        self._apply_link_changes(now, actions)
        if pool is not None:
            if answered or is_attributed:
                pool.record_probe(
                    endpoint, load, now, stretch, answered, cold_s
                )
            has_load = load is not None
            self._record_query_answer(pool, endpoint, has_load, now, actions)
            self._dispatch(pool, now, actions)
        return actions

    def record_untried_probe(self, probe: Probe) -> None:
        """Record that no thread was free for a load query.

        That it has no answer in time says nothing of its endpoint.
        """
        for inquiry in self._inquiries.values():
            inquiry.record_untried(probe.endpoint)

    def record_check(
        self, endpoint: str, result: str, now: float
    ) -> list[Action]:
        """Record the result of a query that checks the links."""
        actions: list[Action] = []
        actions.extend(
            self._relays.reachability.record_check(endpoint, result, now)
        )
        self._apply_link_changes(now, actions)
        return actions

    def abandon(self, call_id: int, now: float) -> list[Action]:
        """Drop a call whose caller has disconnected; cancel its attempts."""
        call = self._calls.pop(call_id, None)
        if call is None:
            return []
        actions: list[Action] = []
        pool = self._pools.get(call.service)
        self._cancel(pool, call, now, actions)
        self._isolation.end_call(call, call.state != QUEUED)
        if pool is not None:
            pool.queue.remove(call_id)
            self._dispatch(pool, now, actions)
        self._inquiries.pop(call_id, None)
        return actions

    def end_all(
        self, reason: str, retry_after_s: float, now: float
    ) -> list[Action]:
        """End all calls; cancel their attempts."""
        actions: list[Action] = []
        for call in list(self._calls.values()):
            pool = self._pools.get(call.service)
            self._cancel(pool, call, now, actions)
            self._isolation.end_call(call, call.state != QUEUED)
            if pool is not None:
                pool.queue.remove(call.call_id)
            refuse = Refuse(call.call_id, reason, retry_after_s)
            actions.append(self._end_unrun(call, refuse))
        self._inquiries.clear()
        return actions

    def is_late(
        self, service: str, rule: Rule, deadline_s: float | None
    ) -> bool:
        """Return whether a call that arrives now misses its objective."""
        pool = self._pools.get(service)
        return pool is not None and pool.is_late(rule, deadline_s)

    def assign(self, call_id: int, organisation: Organisation | None) -> None:
        """Set the organisation that the key of a call belongs to now."""
        call = self._calls.get(call_id)
        if call is not None:
            call.organisation = organisation

    def withdraw(self, call_ids: list[int], now: float) -> list[Action]:
        """End the calls whose key is no longer valid, or send them no more.

        All of them end before any other call is sent: the place of one in a
        queue must not pass to another.
        """
        actions: list[Action] = []
        for call_id in call_ids:
            call = self._calls.get(call_id)
            if call is None:
                continue
            call.is_withdrawn = True
            self._inquiries.pop(call_id, None)
            if call.outstanding:
                continue
            pool = self._pools.get(call.service)
            if pool is not None:
                pool.queue.remove(call_id)
            actions.append(self._deny_or_lose(call))
        if actions:
            actions.extend(self._dispatch_all(now))
        return actions

    def _deny_or_lose(self, call: Call) -> Action:
        self._isolation.end_call(call, call.state != QUEUED)
        return self._end_unrun(call, Deny(call.call_id, WITHDRAWN))

    def next_wakeup(self) -> float | None:
        """Return the time by which tick must run, in seconds, if any."""
        soonest = self._timers.next_at
        check_at = self._relays.reachability.next_at
        if check_at is not None and (soonest is None or check_at < soonest):
            soonest = check_at
        if not self._policy.probing:
            return soonest
        for pool in self._pools.values():
            at = pool.next_probe_at
            if at is not None and (soonest is None or at < soonest):
                soonest = at
        return soonest

    def tick(self, now: float) -> list[Action]:
        """Run due timers and send due probes."""
        actions: list[Action] = []
        actions.extend(self._relays.reachability.tick(now))
        self._apply_link_changes(now, actions)
        while True:
            due = self._timers.pop_due(now)
            if due is None:
                break
            kind, call_id = due
            call = self._calls.get(call_id)
            if call is None:
                self._inquiries.pop(call_id, None)
                continue
            if kind == HEDGE:
                self._begin_hedge(call, now, actions)
            elif kind == EXPIRY:
                self._expire(call, now, actions)
            elif kind == QUERY_TIMEOUT and call_id in self._inquiries:
                self._end_query_round(call, now, actions)
            elif kind == REQUERY:
                call.requery_pending = False
                self._requery(call, now, actions)
            elif kind == REQUEST_TRIAL:
                self._isolation.request_trial(call.key, now)
        for pool in self._pools.values():
            if pool.queue:
                self._dispatch(pool, now, actions)
            if not self._policy.probing:
                continue
            address = pool.next_probe(now)
            if address is not None:
                actions.append(self._build_probe(pool, address, "/", now))
        return actions

    def _record_notice(
        self, notice: Notice, now: float, actions: list[Action]
    ) -> None:
        if self.demands.record(notice, now):
            self._apply_changed_demands(now, actions)

    def _apply_changed_demands(
        self, now: float, actions: list[Action]
    ) -> None:
        """Send, hold or refuse the queued calls by the present demands."""
        self._pools.update_demands(now)
        actions.extend(self._dispatch_all(now))
        for call in self._calls.values():
            pool = self._pools.get(call.service)
            if pool is not None:
                self._schedule_requery(pool, call, now)

    def _send_queries(
        self,
        pool: Pool,
        call: Call,
        inquiry: Inquiry,
        now: float,
        actions: list[Action],
    ) -> bool:
        """Send load queries for a call; return whether it waits for them."""
        addresses = pool.planner.select(inquiry, now)
        if not addresses:
            return False
        inquiry.begin_round(addresses, now + QUERY_TIMEOUT_S)
        self._inquiries[call.call_id] = inquiry
        self._timers.add(now + QUERY_TIMEOUT_S, QUERY_TIMEOUT, call.call_id)
        path = pool.service.probe_path
        for address in addresses:
            actions.append(self._build_probe(pool, address, path, now))
        return True

    def _query_limited(
        self, pool: Pool, now: float, actions: list[Action]
    ) -> None:
        """Query an endpoint whose limit allows too few calls to show it."""
        address = pool.limited_to_query(now)
        if address is not None:
            path = pool.service.probe_path
            probe = self._build_probe(pool, address, path, now)
            probe.is_fresh = True
            actions.append(probe)

    def _build_probe(
        self, pool: Pool, address: str, path: str, now: float
    ) -> Probe:
        process_key = pool.process_at(address)
        return Probe(pool.service.name, address, path, process_key, now)

    def _record_query_answer(
        self,
        pool: Pool,
        address: str,
        has_load: bool,
        now: float,
        actions: list[Action],
    ) -> None:
        for call_id, inquiry in list(self._inquiries.items()):
            call = self._calls.get(call_id)
            if call is None or call.service != pool.service.name:
                continue
            if not inquiry.record_answer(address, has_load):
                continue
            if pool.planner.has_free_slot(address, now):
                self._end_inquiry(call, now, actions)
                continue
            if not inquiry.is_round_over:
                continue
            if not self._query_more(pool, call, inquiry, now, actions):
                self._end_inquiry(call, now, actions)

    def _query_more(
        self,
        pool: Pool,
        call: Call,
        inquiry: Inquiry,
        now: float,
        actions: list[Action],
    ) -> bool:
        if not inquiry.has_rounds_left or pool.planner.can_stop(inquiry, now):
            return False
        return self._send_queries(pool, call, inquiry, now, actions)

    def _end_query_round(
        self, call: Call, now: float, actions: list[Action]
    ) -> None:
        """Query other endpoints in place of those that did not answer."""
        inquiry = self._inquiries[call.call_id]
        if now < inquiry.round_ends_at:
            # The timer belongs to an earlier round.
            return
        pool = self._pools.get(call.service)
        if pool is not None:
            for address in inquiry.unanswered:
                pool.planner.record_timeout(address, now)
            if self._query_more(pool, call, inquiry, now, actions):
                return
        self._end_inquiry(call, now, actions)

    def _end_inquiry(
        self, call: Call, now: float, actions: list[Action]
    ) -> None:
        """Dispatch a call with the load reports received so far."""
        inquiry = self._inquiries.pop(call.call_id)
        if inquiry.for_hedge:
            self._send_hedge(call, now, actions)
            return
        if call.state not in (ADMITTED, QUEUED):
            # Sent meanwhile, after an answer to another call's query.
            return
        pool = self._pools.get(call.service)
        if pool is None:
            actions.append(
                self._refuse_or_lose(None, call, now, "unknown service")
            )
            return
        if call.state == ADMITTED:
            self._enqueue(pool, call)
        # Endpoints that answer no load query may still run calls.
        exempt = None if inquiry.has_load else call.call_id
        self._dispatch(pool, now, actions, exempt)
        if self._shed_waiting(pool, call, True, now, actions):
            return
        self._refuse_surplus(pool, call, now, actions)
        self._schedule_expiry(pool, call)
        self._schedule_requery(pool, call, now)

    def _shed_waiting(
        self,
        pool: Pool,
        call: Call,
        starts_waiting: bool,
        now: float,
        actions: list[Action],
    ) -> bool:
        """Refuse a call that should be shed; return whether it was refused."""
        if call.state != QUEUED or not pool.should_shed(
            call, starts_waiting, now
        ):
            return False
        pool.queue.remove(call.call_id)
        reason = "too many wait"
        pause_s = self._random.uniform(*SHED_RETRY_S)
        actions.append(self._refuse_or_lose(pool, call, now, reason, pause_s))
        return True

    def _refuse_surplus(
        self, pool: Pool, call: Call, now: float, actions: list[Action]
    ) -> None:
        """Refuse a call of another organisation if the queue is too long."""
        surplus_id = pool.find_surplus(call)
        if surplus_id is None:
            return
        pool.queue.remove(surplus_id)
        surplus = self._calls[surplus_id]
        actions.append(self._refuse_or_lose(pool, surplus, now, QUEUE_FULL))

    def _requery(self, call: Call, now: float, actions: list[Action]) -> None:
        """Query endpoints again for a call held in the queue."""
        pool = self._pools.get(call.service)
        if pool is None or call.state != QUEUED:
            return
        if self._isolation.holds(call):
            return
        if self._shed_waiting(pool, call, False, now, actions):
            return
        if self._refuse_unavailable(pool, call, now, actions):
            return
        if pool.queue.peek(now) != call.call_id and not call.alone:
            self._schedule_requery(pool, call, now)
            return
        self._query_limited(pool, now, actions)
        inquiry = Inquiry(list(call.attempts.values()), held=True)
        if self._send_queries(pool, call, inquiry, now, actions):
            return
        # The query budget is used up, or a free slot is known already.
        self._dispatch(pool, now, actions, self._exempt_call(pool, call))
        self._schedule_requery(pool, call, now)

    def _exempt_call(self, pool: Pool, call: Call) -> int | None:
        """Return the call's id if it may be sent without a current report.

        That is so only where no query is allowed at all. If the budget is
        used up for a moment, the call waits: calls sent without a report
        would fill the endpoints' queues, and later queries would find only
        full endpoints.
        """
        return None if pool.may_query else call.call_id

    def _schedule_requery(self, pool: Pool, call: Call, now: float) -> None:
        if call.requery_pending or call.state != QUEUED:
            return
        if pool.must_poll:
            call.requery_pending = True
            self._timers.add(now + REQUERY_S, REQUERY, call.call_id)

    def _resolve_attempt(
        self,
        pool: Pool | None,
        call: Call,
        result: Result,
        now: float,
        actions: list[Action],
        by_full_endpoint: bool,
    ) -> None:
        if result.outcome == ANSWERED:
            # The endpoint may have executed the call before it failed.
            if result.failed and self._retry(pool, call, now):
                return
            call.step("answer")
            del self._calls[call.call_id]
            actions.append(Finish(call.call_id, result.attempt))
            self._cancel(pool, call, now, actions)
            return
        # Without queries the retry might fill the next endpoint, so there it
        # uses the budget: 0.24 resets per call if it does not, 0.17 if so.
        may_query = pool is not None and pool.may_query
        is_free = result.is_untried or (by_full_endpoint and may_query)
        if self._retry(pool, call, now, is_free):
            return
        if call.outstanding:
            return
        if call.is_withdrawn:
            actions.append(self._deny_or_lose(call))
            return
        actions.append(
            self._refuse_or_lose(pool, call, now, "no upstream answered")
        )

    def _retry(
        self,
        pool: Pool | None,
        call: Call,
        now: float,
        is_free: bool = False,
    ) -> bool:
        """Queue a failed call again; return whether it is still open."""
        if call.outstanding:
            # Another attempt of the hedged call is still in flight.
            return True
        if call.is_withdrawn:
            return False
        may_repeat = call.is_unrun or call.rule.idempotent
        if (
            pool is None
            or not may_repeat
            or not pool.has_untried_endpoint(call, now)
        ):
            return False
        if not pool.may_retry(call, is_free):
            return False
        call.step("retry")
        self._enqueue(pool, call)
        if pool.must_poll:
            # Query at once: held calls are sent after answers to other calls,
            # and an entry with few calls may get none before the deadline.
            self._timers.add(now, REQUERY, call.call_id)
        return True

    def _enqueue(self, pool: Pool, call: Call) -> None:
        if call.state == ADMITTED:
            call.step("queue")
        pool.enqueue(call)

    def _dispatch_all(self, now: float) -> list[Action]:
        """Send or refuse queued calls of all services after a change."""
        actions: list[Action] = []
        for pool in self._pools.values():
            self._dispatch(pool, now, actions)
        return actions

    def _dispatch(
        self,
        pool: Pool,
        now: float,
        actions: list[Action],
        exempt: int | None = None,
    ) -> None:
        """Send queued calls; ``exempt`` needs no current load report."""
        unplaced: list[Call] = []
        while len(unplaced) <= MAX_UNPLACED:
            call_id = pool.queue.peek(now)
            if call_id is None:
                break
            call = self._calls[call_id]
            if self._refuse_unavailable(pool, call, now, actions):
                continue
            if self._hold_or_refuse(pool, call, now, actions):
                continue
            endpoint = pool.choose(call, now)
            if not self._may_send(
                pool, call, endpoint, call_id == exempt, now
            ):
                break
            pool.queue.remove(call_id)
            if endpoint is None:
                unplaced.append(call)
                if not call.attempts and not call.alone:
                    break
                # A retry avoids endpoints already tried. A call behind it
                # may use them and must not wait until the retry expires.
                continue
            call.step("send")
            actions.append(self._send(pool, call, endpoint, now))
            delay_s = pool.hedge_delay_s(call)
            if delay_s is not None:
                self._timers.add(now + delay_s, HEDGE, call_id)
        for call in unplaced:
            self._enqueue(pool, call)

    def _refuse_unavailable(
        self, pool: Pool, call: Call, now: float, actions: list[Action]
    ) -> bool:
        """Refuse a queued call that no endpoint takes in time, if so."""
        unavailable = pool.unavailable(call, now)
        if unavailable is None:
            return False
        pool.queue.remove(call.call_id)
        reason, after_s = unavailable.reason, unavailable.retry_after_s
        actions.append(self._refuse_or_lose(pool, call, now, reason, after_s))
        return True

    def _may_send(
        self,
        pool: Pool,
        call: Call,
        endpoint: str | None,
        exempt: bool,
        now: float,
    ) -> bool:
        if endpoint is None:
            return call.alone or pool.has_room()
        if call.alone:
            return True
        return pool.may_send(call, endpoint, exempt, now)

    def _schedule_expiry(self, pool: Pool, call: Call) -> None:
        """Schedule the refusal of a queued call for its latest send time."""
        if call.state == QUEUED:
            at = pool.latest_send_at(call)
            self._timers.add(at, EXPIRY, call.call_id)

    def _send(self, pool: Pool, call: Call, address: str, now: float) -> Send:
        attempt = call.record_send(address, now)
        basis = pool.basis(address, now)
        pool.record_attempt(call, attempt, now)
        return Send(
            call_id=call.call_id,
            attempt=attempt,
            endpoint=address,
            remaining_s=call.deadline_at - now,
            process_key=pool.process_at(address),
            basis=basis,
            sent_at=now,
        )

    def _begin_hedge(
        self, call: Call, now: float, actions: list[Action]
    ) -> None:
        pool = self._pools.get(call.service)
        if pool is None or len(call.outstanding) != 1 or call.is_withdrawn:
            return
        if call.helpers:
            return
        address, sent_at = call.attempts[1], call.sent_at(1)
        if self._relays.record_stall(address, sent_at, now):
            actions.extend(self._relays.begin_check(now))
        if not pool.may_hedge(call, now) or self._is_suspect(call, now):
            return
        inquiry = Inquiry(list(call.attempts.values()), True)
        if not self._send_queries(pool, call, inquiry, now, actions):
            self._send_hedge(call, now, actions)

    def _send_hedge(
        self, call: Call, now: float, actions: list[Action]
    ) -> None:
        pool = self._pools.get(call.service)
        if pool is None or len(call.outstanding) != 1 or call.is_withdrawn:
            return
        if call.helpers or self._is_suspect(call, now):
            return
        address = pool.choose_hedge(call, now)
        if address is None:
            return
        call.step("hedge")
        actions.append(self._send(pool, call, address, now))

    def _expire(self, call: Call, now: float, actions: list[Action]) -> None:
        if call.state != QUEUED:
            return
        pool = self._pools.get(call.service)
        if pool is not None:
            pool.queue.remove(call.call_id)
        reason = "deadline passed"
        if pool is not None and pool.outlasts_stop(call, now):
            reason = STOPPING
        actions.append(self._refuse_or_lose(pool, call, now, reason))

    def _cancel(
        self,
        pool: Pool | None,
        call: Call,
        now: float,
        actions: list[Action],
    ) -> None:
        for attempt in call.cancel_attempts():
            actions.append(Cancel(call.call_id, attempt))
            self._relays.record_cancel(call.call_id, attempt)
            if pool is not None:
                pool.record_cancel(call, attempt, now)

    def _refuse_or_lose(
        self,
        pool: Pool | None,
        call: Call,
        now: float,
        reason: str,
        retry_after_s: float | None = None,
    ) -> Action:
        if reason not in DECIDED and self._may_pass_on(pool, call, now):
            self._isolation.end_call(call, call.state != QUEUED)
            return self._relays.send(call, now)
        self._isolation.end_call(call, call.state != QUEUED)
        if retry_after_s is None:
            retry_after_s = 0.0
            if pool is not None:
                retry_after_s = pool.retry_after_s(call, now)
        refuse = Refuse(call.call_id, reason, retry_after_s)
        if call.is_relayed:
            links = self._relays.reachability
            refuse.elsewhere = reason == STOPPING or (
                reason not in DECIDED and links.is_doubtful(now)
            )
        if pool is not None and call.organisation is not None:
            refuse.ahead = pool.count_ahead(call, now)
            refuse.priority = call.organisation.priority
        return self._end_unrun(call, refuse)

    def _end_unrun(self, call: Call, final: UnrunAction) -> Action:
        """End a call with "not run", or "unknown" if it may have run.

        Every "not run" of an admitted call is returned from here. After it
        the caller may send the call again, and if an attempt ran, or still
        runs, the call would run twice.
        """
        del self._calls[call.call_id]
        if call.is_unrun:
            call.step("refuse")
            return final
        call.step("lose")
        return Lose(call.call_id, final.reason)

    def _may_query(self, announcement: Announcement, now: float) -> bool:
        """Return whether an endpoint may be queried to check the links."""
        pool = self._pools.get(announcement.service)
        if pool is None:
            return False
        endpoint = pool.endpoints.get(announcement.endpoint)
        if endpoint is None or not endpoint.accepts_calls:
            return False
        if self.demands.rests.is_resting(endpoint, now):
            return False
        return not self.demands.rate_limits.is_limited(endpoint)

    def _pass_on(self, call: Call, now: float) -> Action | None:
        """Pass a call to a helper or refuse it, unless it may wait here.

        It may wait only where no helper is known: otherwise it has neither a
        permit nor a claim of this entry.
        """
        if self._relays.may_pass_on(call, now):
            return self._relays.send(call, now)
        is_alone = not call.helpers and not self.has_helper(now)
        links = self._relays.reachability
        may_serve = links.hears(now) or not links.is_certain
        if is_alone and may_serve and not call.is_relayed:
            # Connections that are still open may serve it.
            return None
        self._isolation.end_call(call, call.state != QUEUED)
        return self._end_unrun(call, self._relays.refuse(call))

    def _may_pass_on(self, pool: Pool | None, call: Call, now: float) -> bool:
        """Return whether a helper gets a call that would be refused.

        If it may have run, that is a retry.
        """
        if not self._relays.may_pass_on(call, now):
            return False
        if call.is_unrun:
            return True
        if pool is None or not call.rule.idempotent:
            return False
        return pool.may_retry(call, False)

    def _finish_relay(
        self, call: Call, result: Result, now: float, actions: list[Action]
    ) -> None:
        """Record how the attempt at a helper ended."""
        self._relays.record_result(result, now)
        if result.outcome == ANSWERED:
            call.step("answer")
            del self._calls[call.call_id]
            actions.append(Finish(call.call_id, result.attempt))
            return
        if not call.is_unrun or call.is_withdrawn or is_elsewhere(result):
            actions.append(self._finish_unserved(call, now))
            return
        actions.append(self._end_unrun(call, final_action(call, result)))

    def _finish_unserved(self, call: Call, now: float) -> Action:
        """Pass a call that a helper could not serve to another, or end it."""
        if call.is_withdrawn:
            return self._deny_or_lose(call)
        if not call.is_unrun:
            # The helper has made the retries that the call may have.
            reason = "no answer from another entry"
            return self._end_unrun(call, Refuse(call.call_id, reason, 0.0))
        if self._relays.may_pass_on(call, now):
            return self._relays.send(call, now)
        return self._end_unrun(call, self._relays.refuse(call))

    def _apply_link_changes(self, now: float, actions: list[Action]) -> None:
        """Act on a loss or a return of the links to all endpoints."""
        for change in self._relays.reachability.pop_changes():
            self._link_changes.append(change)
            if change.is_cut_off:
                self._isolation.drop_crashes()
                self._pass_on_all(now, actions)
                continue
            for pool in self._pools.values():
                pool.forgive(now)
            actions.extend(self._dispatch_all(now))

    def _pass_on_all(self, now: float, actions: list[Action]) -> None:
        """Pass on the calls that wait here or for answers on lost links."""
        for call in list(self._calls.values()):
            if call.helpers or call.is_withdrawn:
                continue
            pool = self._pools.get(call.service)
            if call.outstanding:
                if not call.rule.idempotent:
                    # It may have run, and its answer may still come.
                    continue
                if not self._may_pass_on(pool, call, now):
                    continue
                self._cancel(pool, call, now, actions)
                self._isolation.end_call(call, True)
                actions.append(self._relays.send(call, now))
                continue
            if pool is not None:
                pool.queue.remove(call.call_id)
            if not call.is_unrun:
                actions.append(self._refuse_or_lose(pool, call, now, CUT_OFF))
                continue
            self._isolation.end_call(call, call.state != QUEUED)
            passed_on = self._pass_on(call, now)
            if passed_on is not None:
                actions.append(passed_on)
                continue
            if pool is not None:
                self._enqueue(pool, call)

    def _is_suspect(self, call: Call, now: float) -> bool:
        """Return whether a call's request may crash endpoints."""
        if call.trial_token:
            return True
        return self._isolation.check(call, now).outcome != FREE

    def _hold_or_refuse(
        self, pool: Pool, call: Call, now: float, actions: list[Action]
    ) -> bool:
        """Hold a suspect, refuse a quarantined call; return whether it did."""
        ruling = self._isolation.check(call, now)
        if ruling.outcome == FREE:
            return False
        pool.queue.remove(call.call_id)
        if ruling.outcome == QUARANTINED:
            actions.append(
                self._refuse_or_lose(pool, call, now, CRASHES, ruling.after_s)
            )
            return True
        if not self._isolation.hold(call, now):
            actions.append(
                self._refuse_or_lose(
                    pool, call, now, TOO_MANY_SUSPECTS, WAIT_S
                )
            )
            return True
        if call.state == ADMITTED:
            call.step("queue")
        self._schedule_expiry(pool, call)
        return True

    def _release(
        self, releases: list[Release], now: float, actions: list[Action]
    ) -> None:
        """Queue or refuse calls that were held as suspects."""
        for release in releases:
            call = release.call
            pool = self._pools.get(call.service)
            if pool is None:
                actions.append(
                    self._refuse_or_lose(None, call, now, "unknown service")
                )
                continue
            if release.ruling.outcome == QUARANTINED:
                after_s = release.ruling.after_s
                actions.append(
                    self._refuse_or_lose(pool, call, now, CRASHES, after_s)
                )
                continue
            self._enqueue(pool, call)
            if pool.must_poll:
                self._timers.add(now, REQUERY, call.call_id)
            self._dispatch(pool, now, actions)
