"""Count and time what the daemon does, by statsd over UDP."""

import threading
from collections import Counter

import statsd

from .exposures import COUNTER
from .exposures import Exposure
from .exposures import GAUGE
from .exposures import TIMER
from .settings import split_address

PREFIX = "nutmegchute"
TIMINGS = 200

# Name, kind and unit of everything sent; docs/metrics.rst gives meaning
# and alert. A part in capitals stands for one of several words.
CATALOGUE: dict[str, tuple[str, str]] = {
    "alive": (GAUGE, "1"),
    "cpu_percent": (GAUGE, "percent of a core"),
    "memory_bytes": (GAUGE, "bytes"),
    "loop_lag_ms": (GAUGE, "milliseconds"),
    "calls": (COUNTER, "calls"),
    "attempts.OUTCOME": (COUNTER, "attempts"),
    "attempt": (TIMER, "milliseconds"),
    "refused": (COUNTER, "calls"),
    "unknown": (COUNTER, "calls"),
    "abandoned": (COUNTER, "calls"),
    "crashes": (COUNTER, "attempts"),
    "hedges": (COUNTER, "attempts"),
    "probes": (COUNTER, "probes"),
    "in_flight": (GAUGE, "calls"),
    "upstreams": (GAUGE, "endpoints"),
    "entries": (GAUGE, "entries"),
    "config_index": (GAUGE, "log index"),
    "leads": (GAUGE, "0 or 1"),
    "commit": (GAUGE, "log index"),
    "voters": (GAUGE, "replicas"),
    "quarantined": (GAUGE, "requests"),
    "evacuated_zones": (GAUGE, "availability zones"),
    "entries_behind": (GAUGE, "entries"),
}


class Metrics:
    """Gather counters and timings; a dead listener harms nothing.

    One datagram per count cost three system calls per request on the loop,
    and each of them handed the interpreter lock to another thread. What is
    gathered leaves in one datagram each time it is flushed.
    """

    __slots__ = (
        "_client",
        "_counts",
        "_exposure",
        "_gauges",
        "_lock",
        "_timings",
    )

    def __init__(self, address: str | None, name: str) -> None:
        self._client = None
        if address is not None:
            host, port = split_address(address)
            prefix = f"{PREFIX}.{name}"
            self._client = statsd.StatsClient(host, port, prefix=prefix)
        self._exposure = Exposure(CATALOGUE)
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._exposure.count(name, by)
        with self._lock:
            self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._exposure.gauge(name, value)
        with self._lock:
            self._gauges[name] = value

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration, in milliseconds.

        Only TIMINGS of them are kept between two flushes: the listener's
        percentiles need a sample, and memory must have a bound.
        """
        self._exposure.time_ms(name, value_ms)
        with self._lock:
            if len(self._timings) < TIMINGS:
                self._timings.append((name, value_ms))

    def text(self) -> bytes:
        """Give all metrics as text, for those that ask."""
        return self._exposure.text()

    def flush(self) -> None:
        """Send what was gathered since the last flush."""
        with self._lock:
            counts, self._counts = self._counts, Counter()
            gauges, self._gauges = self._gauges, {}
            timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, by in counts.items():
                pipeline.incr(name, by)
            for name, value in gauges.items():
                pipeline.gauge(name, value)
            for name, value_ms in timings:
                pipeline.timing(name, value_ms)
