"""Ask endpoints about their load, a few at a time."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from nutmegchute_core.calls import Probe
from urllib3 import HTTPHeaderDict

from .connections import Exchange
from .senders import Request
from .senders import Sender
from .senders import suppress_user_agent
from .servers import LoopRunner

LOAD_PATH = "/nutmegchute/load"
THREADS = 6
# An endpoint that takes longer to tell is no place for a call.
TIMEOUT_S = 0.1
MAX_PENDING = 32

OnResult = Callable[
    [Probe, int | None, float, float | None, bool, float | None], None
]


class Prober:
    """Carry out probes; what cannot be asked in time is dropped."""

    __slots__ = (
        "_path",
        "_pending",
        "_runner",
        "_sender",
        "_threads",
        "on_result",
    )

    def __init__(
        self, runner: LoopRunner, sender: Sender, path: str | None = None
    ) -> None:
        # Takes the end of each probe, on the loop.
        self.on_result: OnResult
        self._runner = runner
        self._sender = sender
        self._path = path
        self._threads = ThreadPoolExecutor(THREADS, "probe")
        # Changed by the loop and the probing threads; a count that is off
        # by one for a moment only moves the bound by one.
        self._pending = 0

    def enqueue(self, probe: Probe) -> None:
        """Ask in the background; the loop calls this."""
        if self._pending >= MAX_PENDING:
            # The threads hang on slow endpoints. An old report is worth
            # nothing, and who waits for this one waits a moment only.
            return
        self._pending += 1
        self._threads.submit(self._query, probe)

    def stop(self) -> None:
        """Drop what was not asked yet."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _query(self, probe: Probe) -> None:
        started = time.monotonic()
        headers = HTTPHeaderDict()
        suppress_user_agent(headers)
        request = Request("GET", self._path or probe.path, headers)
        load = None
        stretch = None
        cold_s = None
        answered = False
        try:
            reply = self._sender.send(
                request, probe.endpoint, TIMEOUT_S, Exchange()
            )
            answered = reply.status == 200
            if answered:
                load = reply.load
                stretch = reply.stretch
                cold_s = reply.cold_s
            reply.close()
        finally:
            self._pending -= 1
        latency_s = time.monotonic() - started
        self._runner.schedule(
            self.on_result, probe, load, latency_s, stretch, answered, cold_s
        )
