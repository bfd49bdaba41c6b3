"""Ask endpoints about their load, a few at a time."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from nutmegchute_core.calls import Probe
from urllib3 import HTTPHeaderDict

from .connections import Exchange
from .senders import Request
from .senders import Sender
from .senders import skip_user_agent
from .servers import LoopAsker

LOAD_PATH = "/nutmegchute/load"
THREADS = 6
# An endpoint that takes longer to tell is no place for a call.
TIMEOUT_S = 0.1
WAITING = 32

Told = Callable[
    [Probe, int | None, float, float | None, bool, float | None], None
]


class Prober:
    """Carry out probes; what cannot be asked in time is dropped."""

    __slots__ = ("_asker", "_path", "_sender", "_threads", "_waiting", "take")

    def __init__(
        self, asker: LoopAsker, sender: Sender, path: str | None = None
    ) -> None:
        # Takes the end of each probe, on the loop.
        self.take: Told
        self._asker = asker
        self._sender = sender
        self._path = path
        self._threads = ThreadPoolExecutor(THREADS, "probe")
        # Changed by the loop and the probing threads; a count that is off
        # by one for a moment only moves the bound by one.
        self._waiting = 0

    def ask(self, probe: Probe) -> None:
        """Ask in the background; the loop calls this."""
        if self._waiting >= WAITING:
            # The threads hang on slow endpoints. An old report is worth
            # nothing, and who waits for this one waits a moment only.
            return
        self._waiting += 1
        self._threads.submit(self._ask, probe)

    def stop(self) -> None:
        """Drop what was not asked yet."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _ask(self, probe: Probe) -> None:
        started = time.monotonic()
        headers = HTTPHeaderDict()
        skip_user_agent(headers)
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
            self._waiting -= 1
        latency_s = time.monotonic() - started
        self._asker.tell(
            self.take, probe, load, latency_s, stretch, answered, cold_s
        )
