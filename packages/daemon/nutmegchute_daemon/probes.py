"""Ask endpoints about their load, a few at a time."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import urllib3
from nutmegchute_core.calls import Probe
from urllib3.exceptions import HTTPError

from .protocols import LOAD_HEADER

LOAD_PATH = "/nutmegchute/load"
THREADS = 4
TIMEOUT_S = 0.5
WAITING = 16

Told = Callable[[Probe, int | None, float], None]


class Prober:
    """Carry out probes; what cannot be asked in time is dropped."""

    __slots__ = ("_pool", "_tell", "_threads", "_waiting")

    def __init__(self, tell: Told) -> None:
        self._tell = tell
        self._pool = urllib3.PoolManager(
            num_pools=1024, retries=False, timeout=TIMEOUT_S
        )
        self._threads = ThreadPoolExecutor(THREADS, "probe")
        # Changed by the loop and the probing threads; a count that is off
        # by one for a moment only moves the bound by one.
        self._waiting = 0

    def ask(self, probe: Probe) -> None:
        """Ask in the background; the loop calls this."""
        if self._waiting >= WAITING:
            # The threads hang on slow endpoints. An old report is worth
            # nothing, so the probe ends as failed at once.
            self._tell(probe, None, 0.0)
            return
        self._waiting += 1
        self._threads.submit(self._ask, probe)

    def stop(self) -> None:
        """Drop what was not asked yet."""
        self._threads.shutdown(wait=False, cancel_futures=True)

    def _ask(self, probe: Probe) -> None:
        started = time.monotonic()
        load = None
        try:
            answer = self._pool.request(
                "GET", f"http://{probe.endpoint}{LOAD_PATH}"
            )
            load = _read_load(answer)
        except HTTPError:
            pass
        finally:
            self._waiting -= 1
        self._tell(probe, load, time.monotonic() - started)


def _read_load(answer: urllib3.BaseHTTPResponse) -> int | None:
    text = answer.headers.get(LOAD_HEADER, "")
    if answer.status != 200 or not text.isdecimal() or len(text) > 9:
        return None
    return int(text)
