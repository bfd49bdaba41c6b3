"""Carry out the balancer's actions for the calls of worker threads."""

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.calls import Throttle
from nutmegchute_core.claims import NOT_RUN as CLAIM_NOT_RUN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import UNKNOWN
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.limit_boards import LimitUpdate
from nutmegchute_core.members import ProcessKey
from nutmegchute_core.notices import Notice
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Report
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.rate_limits import BY_ANSWER
from nutmegchute_core.rate_limits import BY_OTHERS
from nutmegchute_core.rate_limits import BY_QUERY
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import Rule

from .answers import NAMES_REQUEST
from .connections import Exchange
from .events import Event
from .events import log
from .metrics import Metrics
from .pending_calls import PendingCall
from .sockets import is_peer_closed

HEDGE_THREADS = 8
SWEEP_S = 0.1
# Age of a call from which sweeps check that its caller is connected.
CALLER_CHECK_AGE_S = 0.1
STOPPING_RETRY_S = 1.0

Hedge = Callable[[PendingCall, Send, Exchange], None]
QueryLoad = Callable[[Probe], None]
Settle = Callable[[PendingCall, str], None]
SubmitReports = Callable[[list[Report]], None]
SubmitLimits = Callable[[list[ProcessKey]], None]


class Dispatcher:
    """Pass calls and results to the balancer and carry out its actions."""

    __slots__ = (
        "_balancer",
        "_calls",
        "_ending",
        "_hedge",
        "_hedge_threads",
        "_hedges_in_flight",
        "_loop",
        "_metrics",
        "_open_calls",
        "_query_load",
        "_settle",
        "_timer",
        "_wakeup_at",
        "check_link",
        "on_limits",
        "on_links",
        "on_reports",
        "on_not_run",
        "pop_untried_queries",
    )

    def __init__(
        self,
        *,
        balancer: Balancer,
        metrics: Metrics,
        hedge: Hedge,
        query_load: QueryLoad,
        settle: Settle,
    ) -> None:
        self._balancer = balancer
        self._metrics = metrics
        self._hedge = hedge
        self._query_load = query_load
        self._settle = settle
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, PendingCall] = {}
        # Calls without an outcome, and calls whose worker has not finished
        # writing the answer, the oldest first.
        self._open_calls: dict[int, tuple[float, PendingCall]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._wakeup_at = 0.0
        self._hedges_in_flight = 0
        # Called with the crash reports to submit to control.
        self.on_reports: SubmitReports
        # Called with the processes whose limits changed by answers here.
        self.on_limits: SubmitLimits
        # Queries an endpoint over a new connection.
        self.check_link: Callable[[LinkCheck], None]
        # Called when the links to all endpoints were lost or are back.
        self.on_links: Callable[[], None] = _ignore_links
        # Called with each call that has ended without having run.
        self.on_not_run: Callable[[PendingCall], None] = _ignore_not_run
        # Returns load queries for which no thread was free.
        self.pop_untried_queries: Callable[[], list[Probe]] = list
        self._ending = False
        self._hedge_threads = ThreadPoolExecutor(HEDGE_THREADS, "hedge")

    def admit(self, call: PendingCall, deadline_s: float | None) -> None:
        """Admit a call; its actions are queued on it."""
        arrival = call.arrival
        now = self._loop.time()
        call_id, actions = self._balancer.arrive(
            arrival.service,
            arrival.method,
            arrival.path,
            now,
            deadline_s,
            arrival.attempt,
            call.fingerprint,
            call.organisation,
            call.is_relayed,
        )
        self._open(call, call_id, actions, now)

    def admit_with_rule(
        self, call: PendingCall, service: str, rule: Rule
    ) -> None:
        """Admit a call whose service and rule are set by a route."""
        arrival = call.arrival
        now = self._loop.time()
        call_id, actions = self._balancer.arrive_with_rule(
            service,
            rule,
            now,
            arrival.deadline_s,
            arrival.attempt,
            call.fingerprint,
            call.organisation,
            call.is_relayed,
        )
        self._open(call, call_id, actions, now)

    def _open(
        self,
        call: PendingCall,
        call_id: int,
        actions: list[Action],
        now: float,
    ) -> None:
        call.call_id = call_id
        call.record.opened_at = now
        self._calls[call_id] = call
        self._open_calls[call_id] = (now, call)
        self._metrics.count("calls")
        self.perform(actions)

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Record the end of an attempt."""
        if call.worker_attempt == result.attempt:
            call.worker_attempt = None
        self._metrics.count(f"attempts.{result.outcome}")
        if result.naming not in ("", NAMES_REQUEST) or result.strays:
            self._metrics.count("misnamed")
        self._metrics.time_ms("attempt", result.latency_s * 1000)
        send = call.record.sends.get(result.attempt)
        if send is not None:
            send["outcome"] = result.outcome
            send["ms"] = round(result.latency_s * 1000, 1)
            send["load"] = result.load
            send["then"] = result.stretch
            if result.notice is not None:
                _log_notice(send, result.notice)
            if result.loss:
                send["loss"] = result.loss
            if result.reused:
                send["reused"] = True
            if result.evidence is not None:
                send["evidence"] = result.evidence.kind
            if result.status:
                send["status"] = result.status
            if result.naming:
                send["names"] = result.naming
            if result.carried is not None:
                send["carried"] = result.carried
            if result.strays:
                send["strays"] = result.strays
            if result.crashed:
                self._report_crash(call, send)
        self.perform(self._balancer.finish(result, self._loop.time()))

    def apply_quarantine(self, received: QuarantineUpdate) -> None:
        """Apply the quarantine cases received from control."""
        log(
            Event.QUARANTINE_APPLIED,
            index=received.index,
            cases=[[one.fingerprint, one.state] for one in received.cases],
            ended=[fingerprint for _, fingerprint in received.ended],
        )
        now = self._loop.time()
        self.perform(self._balancer.apply_quarantine(received, now))

    def apply_evacuations(self, received: EvacuationUpdate) -> None:
        """Apply the evacuated availability zones received from control."""
        log(
            Event.EVACUATIONS_APPLIED,
            index=received.index,
            availability_zones=received.availability_zones,
        )
        now = self._loop.time()
        self.perform(self._balancer.apply_evacuations(received, now))

    def apply_limits(self, update: LimitUpdate) -> None:
        """Apply the rate limits of endpoints that others have learned."""
        now = self._loop.time()
        self.perform(self._balancer.apply_limits(update, now))

    def apply_ruling(
        self, request: TrialRequest, ruling: Ruling | None
    ) -> None:
        """Apply control's ruling on a trial request, None if it gave none."""
        now = self._loop.time()
        self.perform(self._balancer.apply_ruling(request, ruling, now))

    def record_probe(
        self,
        probe: Probe,
        load: int | None,
        latency_s: float,
        stretch: float | None,
        answered: bool,
        cold_s: float | None,
        notice: Notice | None,
        is_new: bool,
        is_attributed: bool,
    ) -> None:
        """Record a probe's result; without load or answer it has failed."""
        self._metrics.count("probes")
        self.perform(
            self._balancer.record_probe(
                probe.service,
                probe.endpoint,
                load,
                latency_s,
                self._loop.time(),
                stretch,
                answered,
                cold_s,
                notice,
                is_new,
                is_attributed,
            )
        )

    def record_check(self, check: LinkCheck, result: str) -> None:
        """Record the result of a query that checks the links."""
        self._metrics.count("probes")
        now = self._loop.time()
        self.perform(self._balancer.record_check(check.endpoint, result, now))

    def close_call(self, call: PendingCall) -> None:
        """Remove a call whose worker has written its answer."""
        if call.call_id in self._calls:
            self._abandon(call.call_id)
        self._open_calls.pop(call.call_id, None)
        for exchange in call.exchanges.values():
            exchange.end()

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions and schedule the next wake-up."""
        for action in actions:
            if isinstance(action, Probe):
                self._query_load(action)
                continue
            if isinstance(action, LinkCheck):
                self.check_link(action)
                continue
            if isinstance(action, Cancel):
                self._cancel(action)
                continue
            call = self._calls.get(action.call_id)
            if call is None:
                continue
            if isinstance(action, Relay) and not action.may_have_run:
                # The helper obtains a permit of its own.
                self.on_not_run(call)
            if isinstance(action, Send):
                self._send(call, action)
                continue
            del self._calls[action.call_id]
            end_call(call, action)
            if isinstance(action, Finish):
                self._settle(call, RAN)
            elif isinstance(action, Refuse):
                self._settle(call, CLAIM_NOT_RUN)
                self._metrics.count("refused")
            elif isinstance(action, Deny | Throttle | Reject):
                self._settle(call, CLAIM_NOT_RUN)
            elif isinstance(action, Lose):
                self._settle(call, UNKNOWN)
                self._metrics.count("unknown")
                log(Event.CALL_LOST, "warning", reason=action.reason)
            if not call.exchanges or isinstance(action, Refuse | Deny):
                self.on_not_run(call)
        self._log_links()
        reports = self._balancer.pop_reports()
        if reports:
            self.on_reports(reports)
        self._log_departures()
        self._log_rests()
        self._report_limits()
        self._schedule_wakeup()

    def _log_links(self) -> None:
        changes = self._balancer.pop_link_changes()
        for change in changes:
            age_s = change.age_s
            log(
                Event.LINKS_LOST if change.is_cut_off else Event.LINKS_BACK,
                "warning",
                failed=change.failed,
                age_ms=None if age_s is None else round(age_s * 1000, 1),
            )
        if changes:
            self.on_links()

    def _log_departures(self) -> None:
        for notice in self._balancer.demands.departures.pop_changes():
            endpoint, instance, _ = notice.process
            log(
                Event.ENDPOINT_LEAVING,
                endpoint=endpoint,
                instance=instance,
                source=BY_QUERY if notice.to_query else BY_ANSWER,
            )

    def _log_rests(self) -> None:
        for notice in self._balancer.demands.rests.pop_changes():
            endpoint, instance, _ = notice.process
            log(
                Event.REST_BEGUN,
                endpoint=endpoint,
                instance=instance,
                rest_s=notice.rest_s,
                source=BY_QUERY if notice.to_query else BY_ANSWER,
            )

    def _report_limits(self) -> None:
        learned = []
        for change in self._balancer.demands.rate_limits.pop_changes():
            report = change.report
            log(
                Event.LIMIT_CHANGED,
                endpoint=report.endpoint,
                instance=report.instance,
                limit=report.per_s,
                source=change.source,
                age_ms=round(report.age_s * 1000, 1),
            )
            if change.source != BY_OTHERS:
                learned.append(report.process_key)
        if learned:
            self.on_limits(learned)

    def withdraw(self, confirm: Callable[[PendingCall], bool]) -> None:
        """End calls whose key is no longer valid, or send them no more.

        ``confirm`` identifies the organisation of a call anew and returns
        whether its key is still valid.
        """
        withdrawn = []
        for call_id, call in self._calls.items():
            if confirm(call):
                self._balancer.assign(call_id, call.organisation)
                continue
            self._metrics.count("withdrawn")
            withdrawn.append(call_id)
        now = self._loop.time()
        self.perform(self._balancer.withdraw(withdrawn, now))

    def sweep(self) -> None:
        """End overdue exchanges and calls whose caller has disconnected."""
        now = time.monotonic()
        opened_before = self._loop.time() - CALLER_CHECK_AGE_S
        for call_id, (opened_at, call) in list(self._open_calls.items()):
            if opened_at > opened_before:
                break
            for exchange in call.exchanges.values():
                until = exchange.wait_until
                if until is not None and now > until:
                    exchange.end()
            if self._has_left(call):
                self._end_departed(call_id)

    def end_at(self, at: float) -> None:
        """Send only calls that are likely to end before a time."""
        self.perform(self._balancer.end_at(at, self._loop.time()))

    def end_all(self) -> None:
        """End every call now and interrupt the answers under way."""
        self._ending = True
        for _, call in self._open_calls.values():
            for exchange in call.exchanges.values():
                exchange.end()
        now = self._loop.time()
        self.perform(
            self._balancer.end_all("entry is stopping", STOPPING_RETRY_S, now)
        )

    def stop(self) -> None:
        """Shut down the hedging threads."""
        self._hedge_threads.shutdown(wait=False, cancel_futures=True)

    def _has_left(self, call: PendingCall) -> bool:
        """Return whether an endpoint works for a caller that has left."""
        if call.record.ended_at is not None or call.record.left_ms is not None:
            return False
        if call.claimed and call.call_id in self._calls:
            # It continues without its caller: its outcome is recorded, and
            # returned when the key is sent again.
            return False
        return is_peer_closed(call.socket_number)

    def _end_departed(self, call_id: int) -> None:
        """End a call whose caller has left, also within its answer."""
        opened_at, call = self._open_calls.get(call_id, (0.0, None))
        if call is None:
            return
        self._metrics.count("abandoned")
        left_s = self._loop.time() - opened_at
        call.record.left_ms = round(left_s * 1000, 1)
        self._abandon(call_id)
        for exchange in call.exchanges.values():
            exchange.end()

    def _report_crash(self, call: PendingCall, send: dict[str, Any]) -> None:
        send["crashed"] = True
        self._metrics.count("crashes")
        log(
            Event.ENDPOINT_CRASHED,
            "warning",
            request=call.name,
            fingerprint=call.fingerprint,
            service=call.record.service or call.arrival.service,
            endpoint=send["to"],
            instance=send["instance"],
        )

    def _send(self, call: PendingCall, send: Send) -> None:
        if self._has_left(call):
            # Not here, since actions are being carried out.
            self._loop.call_soon(self._end_departed, call.call_id)
            return
        exchange = Exchange()
        call.exchanges[send.attempt] = exchange
        now = self._loop.time()
        at_s = now - (call.record.opened_at or now)
        call.record.sends[send.attempt] = {
            "to": send.endpoint,
            "instance": send.instance,
            "at_ms": round(at_s * 1000, 1),
            **send.basis,
        }
        if isinstance(send, Relay):
            self._metrics.count("relayed")
        if self._ending:
            exchange.end()
        if call.needs_helper and not isinstance(send, Relay):
            # The links are back, and the key of the call is not claimed.
            self._end_unsent(call, send)
            return
        if call.worker_attempt is None:
            call.worker_attempt = send.attempt
            call.put(send, exchange)
            return
        if self._hedges_in_flight >= HEDGE_THREADS:
            # A hedge that has to wait for a thread is too late to help.
            self._end_unsent(call, send)
            return
        self._hedges_in_flight += 1
        self._metrics.count("hedges")
        future = self._hedge_threads.submit(self._hedge, call, send, exchange)
        future.add_done_callback(
            lambda _: self._loop.call_soon_threadsafe(self._count_hedge_end)
        )

    def _end_unsent(self, call: PendingCall, send: Send) -> None:
        evidence = Evidence(UNSENT, send.call_id, send.attempt)
        result = Result(
            send.call_id, send.attempt, NOT_RUN, 0.0, evidence=evidence
        )
        self._loop.call_soon(self.end_attempt, call, result)

    def _count_hedge_end(self) -> None:
        self._hedges_in_flight -= 1

    def _cancel(self, cancel: Cancel) -> None:
        _, call = self._open_calls.get(cancel.call_id, (0.0, None))
        if call is None:
            return
        exchange = call.exchanges.get(cancel.attempt)
        if exchange is not None:
            exchange.end()
        if call.worker_attempt == cancel.attempt:
            # The worker is free for what follows.
            call.worker_attempt = None

    def _abandon(self, call_id: int) -> None:
        actions = self._balancer.abandon(call_id, self._loop.time())
        self.perform(actions)
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._settle(call, UNKNOWN)
            end_call(call, Lose(call_id, "caller has gone"))
            if not call.exchanges:
                self.on_not_run(call)

    def _schedule_wakeup(self) -> None:
        at = self._balancer.next_wakeup()
        if at is None:
            return
        if self._timer is not None:
            if self._wakeup_at <= at:
                return
            self._timer.cancel()
        self._wakeup_at = at
        self._timer = self._loop.call_at(at, self._wake_up)

    def _wake_up(self) -> None:
        self._timer = None
        for probe in self.pop_untried_queries():
            self._balancer.record_untried_probe(probe)
        self.perform(self._balancer.tick(self._loop.time()))


def _log_notice(send: dict[str, Any], notice: Notice) -> None:
    if notice.rate_limit is not None:
        send["limit"] = notice.rate_limit
    if notice.rest_s is not None:
        send["rest_s"] = notice.rest_s


def _ignore_links() -> None:
    """Do nothing: nobody else needs to know of the links."""


def _ignore_not_run(call: PendingCall) -> None:
    """Do nothing: no organisation has a quota here."""


def end_call(call: PendingCall, action: CallAction) -> None:
    """Queue the final action of a call and record it for the log."""
    call.record.outcome = type(action).__name__.lower()
    call.record.reason = getattr(action, "reason", "")
    if isinstance(action, Refuse):
        call.record.ahead = action.ahead
        call.record.priority = action.priority
    call.put(action)
