"""Query endpoints for their load, a few at a time."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.notices import Notice
from nutmegchute_core.reachability import ANSWERED
from nutmegchute_core.reachability import CHECK_TIMEOUT_S
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import SILENT
from nutmegchute_core.reachability import UNCONNECTED

from .connections import Exchange
from .senders import Sender
from .servers import LoopRunner

LOAD_PATH = "/nutmegchute/load"
PROBE_THREADS = 6
# Covers both rounds of a check of the links, which may overlap.
CHECK_THREADS = 5
# An endpoint that takes longer to report is no candidate for a call.
PROBE_TIMEOUT_S = 0.1
MAX_PENDING = 32
# A load query that waits longer for a thread may be answered too late for its
# call, whose wait is QUERY_TIMEOUT_S of core's inquiries.
MAX_WAIT_S = 0.005

OnResult = Callable[
    [
        Probe,
        int | None,
        float,
        float | None,
        bool,
        float | None,
        Notice | None,
        bool,
        bool,
    ],
    None,
]
OnCheck = Callable[[LinkCheck, str], None]


class Prober:
    """Query loads on threads; drop queries that would be answered too late."""

    __slots__ = (
        "_check_threads",
        "_dropped",
        "_path",
        "_pending",
        "_runner",
        "_sender",
        "_threads",
        "_untried",
        "on_check",
        "on_result",
    )

    def __init__(
        self, runner: LoopRunner, sender: Sender, path: str | None = None
    ) -> None:
        # Receives the result of each probe, on the loop.
        self.on_result: OnResult
        # Receives the result of each check of a link, on the loop.
        self.on_check: OnCheck
        self._runner = runner
        self._sender = sender
        self._path = path
        self._threads = ThreadPoolExecutor(PROBE_THREADS, "probe")
        # A check that waits for load queries to silent endpoints would be
        # taken for one that got no answer.
        self._check_threads = ThreadPoolExecutor(CHECK_THREADS, "check")
        # Changed by the loop and the probing threads without a lock; a count
        # that is briefly off by one only shifts the limit by one.
        self._pending = 0
        # Queries that were dropped, and those that did not get a thread in
        # time. Threads remove from the set, which the loop copies.
        self._dropped: list[Probe] = []
        self._untried: set[Probe] = set()

    def enqueue(self, probe: Probe) -> None:
        """Queue a load query for the threads; the loop calls this."""
        if self._pending >= MAX_PENDING:
            # All threads wait for slow endpoints. A late report is useless,
            # and a call that waits for this one waits only briefly.
            self._dropped.append(probe)
            return
        self._pending += 1
        self._untried.add(probe)
        self._threads.submit(self._query, probe, time.monotonic())

    def pop_untried(self) -> list[Probe]:
        """Return queries that had no thread in time; the loop calls this."""
        dropped, self._dropped = self._dropped, []
        return [*dropped, *self._untried.copy()]

    def check(self, check: LinkCheck) -> None:
        """Query an endpoint over a new connection; the loop calls this."""
        self._check_threads.submit(self._check, check)

    def stop(self) -> None:
        """Drop the probes and checks that have not started."""
        for threads in (self._threads, self._check_threads):
            threads.shutdown(wait=False, cancel_futures=True)

    def _query(self, probe: Probe, queued_at: float) -> None:
        started = time.monotonic()
        if started - queued_at <= MAX_WAIT_S:
            self._untried.discard(probe)
        request = self._sender.build_query(self._path or probe.path)
        load = None
        stretch = None
        cold_s = None
        notice = None
        answered = False
        try:
            reply = self._sender.send(
                request,
                probe.endpoint,
                PROBE_TIMEOUT_S,
                Exchange(),
                fresh=probe.is_fresh,
            )
            answered = reply.status == 200
            if answered:
                load = reply.load
                stretch = reply.stretch
                cold_s = reply.cold_s
            notice = reply.notice(
                probe.process_key, probe.sent_at, to_query=True
            )
            reply.close()
        finally:
            self._pending -= 1
            self._untried.discard(probe)
        latency_s = time.monotonic() - started
        self._runner.schedule(
            self.on_result,
            probe,
            load,
            latency_s,
            stretch,
            answered,
            cold_s,
            notice,
            not reply.reused,
            reply.is_attributed,
        )

    def _check(self, check: LinkCheck) -> None:
        request = self._sender.build_query(self._path or check.path)
        reply = self._sender.send(
            request, check.endpoint, CHECK_TIMEOUT_S, Exchange(), fresh=True
        )
        result = SILENT
        if reply.status:
            result = ANSWERED
        elif reply.outcome == NOT_RUN:
            result = UNCONNECTED
        reply.close()
        self._runner.schedule(self.on_check, check, result)
