"""Stand on the loop between the worker threads and the balancer."""

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import NOT_RUN as CLAIM_NOT_RUN
from nutmegchute_core.claims import RAN
from nutmegchute_core.claims import UNKNOWN
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Report
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.rules import Rule

from .connections import Exchange
from .events import Event
from .events import log
from .metrics import Metrics
from .pending_calls import PendingCall
from .sockets import is_peer_closed

HEDGE_THREADS = 8
SWEEP_S = 0.1
# A caller that is still there after so long is looked for at each sweep.
LOOK_AFTER_S = 0.1
CUT_RETRY_S = 1.0

Hedge = Callable[[PendingCall, Send, Exchange], None]
QueryLoad = Callable[[Probe], None]
Settle = Callable[[PendingCall, str], None]
SubmitReports = Callable[[list[Report]], None]


class Dispatcher:
    """Hand the balancer's actions to those that carry them out."""

    __slots__ = (
        "_armed_at",
        "_ask_load",
        "_balancer",
        "_calls",
        "_ending",
        "_hedge",
        "_hedges",
        "_hedging",
        "_loop",
        "_metrics",
        "_opened",
        "_settle",
        "_timer",
        "on_reports",
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
        self._ask_load = query_load
        self._settle = settle
        self._loop = asyncio.get_running_loop()
        self._calls: dict[int, PendingCall] = {}
        # Tickets whose call has no outcome yet, and all whose worker has
        # not written its answer yet, the oldest first.
        self._opened: dict[int, tuple[float, PendingCall]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._armed_at = 0.0
        self._hedging = 0
        # Takes what control must hear of requests that crash endpoints.
        self.on_reports: SubmitReports
        self._ending = False
        self._hedges = ThreadPoolExecutor(HEDGE_THREADS, "hedge")

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
        )
        self._open(call, call_id, actions, now)

    def admit_with_rule(
        self, call: PendingCall, service: str, rule: Rule
    ) -> None:
        """Admit a call whose service and rule a route gives."""
        arrival = call.arrival
        now = self._loop.time()
        call_id, actions = self._balancer.arrive_with_rule(
            service,
            rule,
            now,
            arrival.deadline_s,
            arrival.attempt,
            call.fingerprint,
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
        self._opened[call_id] = (now, call)
        self._metrics.count("calls")
        self.perform(actions)

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Take the end of an attempt."""
        if call.worker_attempt == result.attempt:
            call.worker_attempt = None
        self._metrics.count(f"attempts.{result.outcome}")
        self._metrics.time_ms("attempt", result.latency_s * 1000)
        send = call.record.sends.get(result.attempt)
        if send is not None:
            send["outcome"] = result.outcome
            send["ms"] = round(result.latency_s * 1000, 1)
            send["load"] = result.load
            send["then"] = result.stretch
            if result.loss:
                send["loss"] = result.loss
            if result.crashed:
                self._report_crash(call, send)
        self.perform(self._balancer.finish(result, self._loop.time()))

    def apply_quarantine(self, news: QuarantineUpdate) -> None:
        """Take the requests that may crash endpoints, as control tells."""
        log(
            Event.QUARANTINE_APPLIED,
            index=news.index,
            cases=[[one.fingerprint, one.state] for one in news.cases],
            ended=[fingerprint for _, fingerprint in news.ended],
        )
        now = self._loop.time()
        self.perform(self._balancer.apply_quarantine(news, now))

    def apply_evacuations(self, news: EvacuationUpdate) -> None:
        """Take the evacuated availability zones, as control tells."""
        log(
            Event.EVACUATIONS_APPLIED,
            index=news.index,
            availability_zones=news.availability_zones,
        )
        now = self._loop.time()
        self.perform(self._balancer.apply_evacuations(news, now))

    def apply_ruling(
        self, request: TrialRequest, ruling: Ruling | None
    ) -> None:
        """Take control's answer to a trial request; None: there is none."""
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
    ) -> None:
        """Take a probe's end; without load and answer it has failed."""
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
            )
        )

    def close_call(self, call: PendingCall) -> None:
        """Forget a call whose worker has written its answer."""
        if call.call_id in self._calls:
            self._abandon(call.call_id)
        self._opened.pop(call.call_id, None)
        for exchange in call.exchanges.values():
            exchange.end()

    def perform(self, actions: list[Action]) -> None:
        """Hand on actions and see to the next wake-up."""
        for action in actions:
            if isinstance(action, Probe):
                self._ask_load(action)
                continue
            if isinstance(action, Cancel):
                self._cancel(action)
                continue
            call = self._calls.get(action.call_id)
            if call is None:
                continue
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
            elif isinstance(action, Lose):
                self._settle(call, UNKNOWN)
                self._metrics.count("unknown")
                log(Event.CALL_LOST, "warning", reason=action.reason)
        reports = self._balancer.drain_reports()
        if reports:
            self.on_reports(reports)
        self._arm()

    def sweep(self) -> None:
        """End waits that are over, and calls whose caller has gone."""
        now = time.monotonic()
        gone_before = self._loop.time() - LOOK_AFTER_S
        for call_id, (opened_at, call) in list(self._opened.items()):
            if opened_at > gone_before:
                break
            for exchange in call.exchanges.values():
                until = exchange.wait_until
                if until is not None and now > until:
                    exchange.end()
            if call_id not in self._calls or call.claimed:
                # A claimed call goes on without its caller: its outcome
                # is recorded and told when the key comes again.
                continue
            if is_peer_closed(call.socket_number):
                self._metrics.count("abandoned")
                self._abandon(call_id)

    def end_all(self) -> None:
        """End every call now: what was sent is lost, the rest not run."""
        self._ending = True
        for call_id, (_, call) in list(self._opened.items()):
            for exchange in call.exchanges.values():
                exchange.end()
            if self._calls.pop(call_id, None) is None:
                continue
            self._balancer.abandon(call_id, self._loop.time())
            if call.exchanges:
                self._settle(call, UNKNOWN)
                end_call(call, Lose(call_id, "entry is stopping"))
                continue
            self._settle(call, CLAIM_NOT_RUN)
            end_call(call, Refuse(call_id, "entry is stopping", CUT_RETRY_S))

    def stop(self) -> None:
        """Let go of the hedging threads."""
        self._hedges.shutdown(wait=False, cancel_futures=True)

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
        if self._ending:
            exchange.end()
        if call.worker_attempt is None:
            call.worker_attempt = send.attempt
            call.put(send, exchange)
            return
        if self._hedging >= HEDGE_THREADS:
            # A hedge that waits for a thread comes too late to help.
            result = Result(send.call_id, send.attempt, NOT_RUN, 0.0)
            self._loop.call_soon(self.end_attempt, call, result)
            return
        self._hedging += 1
        self._metrics.count("hedges")
        future = self._hedges.submit(self._hedge, call, send, exchange)
        future.add_done_callback(
            lambda _: self._loop.call_soon_threadsafe(self._end_hedge)
        )

    def _end_hedge(self) -> None:
        self._hedging -= 1

    def _cancel(self, cancel: Cancel) -> None:
        _, call = self._opened.get(cancel.call_id, (0.0, None))
        if call is not None:
            call.exchanges[cancel.attempt].end()

    def _abandon(self, call_id: int) -> None:
        actions = self._balancer.abandon(call_id, self._loop.time())
        self.perform(actions)
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._settle(call, UNKNOWN)
            end_call(call, Lose(call_id, "caller has gone"))

    def _arm(self) -> None:
        at = self._balancer.next_wakeup()
        if at is None:
            return
        if self._timer is not None:
            if self._armed_at <= at:
                return
            self._timer.cancel()
        self._armed_at = at
        self._timer = self._loop.call_at(at, self._wake)

    def _wake(self) -> None:
        self._timer = None
        self.perform(self._balancer.tick(self._loop.time()))


def end_call(call: PendingCall, action: CallAction) -> None:
    """Queue the final action of a call and record it for the log."""
    call.record.outcome = type(action).__name__.lower()
    call.record.reason = getattr(action, "reason", "")
    call.put(action)
