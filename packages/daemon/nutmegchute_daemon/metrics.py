"""Collect metrics, for statsd over UDP and as text over HTTP."""

import re
import threading
from collections import Counter

import statsd

from .exporters import COUNTER
from .exporters import Exporter
from .exporters import GAUGE
from .exporters import TIMER
from .settings import split_address

PREFIX = "nutmegchute"
# Names of organisations may have characters that separate fields in statsd.
_UNSAFE = re.compile(r"[^\w.-]")
MAX_TIMINGS = 200

# Type and unit of each metric by name; docs/metrics.rst has meanings and
# alerts. A part in capitals stands for one of several values.
CATALOGUE: dict[str, tuple[str, str]] = {
    "alive": (GAUGE, "1"),
    "cpu_percent": (GAUGE, "percent of a core"),
    "memory_bytes": (GAUGE, "bytes"),
    "loop_lag_ms": (GAUGE, "milliseconds"),
    "calls": (COUNTER, "calls"),
    "attempts.OUTCOME": (COUNTER, "attempts"),
    "attempt": (TIMER, "milliseconds"),
    "misnamed": (COUNTER, "attempts"),
    "refused": (COUNTER, "calls"),
    "denied": (COUNTER, "calls"),
    "withdrawn": (COUNTER, "calls"),
    "unknown": (COUNTER, "calls"),
    "abandoned": (COUNTER, "calls"),
    "permits_asked": (COUNTER, "permits"),
    "permits_granted": (COUNTER, "permits"),
    "permits_refused": (COUNTER, "calls"),
    "permits_unconfirmed": (COUNTER, "calls"),
    "crashes": (COUNTER, "attempts"),
    "hedges": (COUNTER, "attempts"),
    "relayed": (COUNTER, "calls"),
    "probes": (COUNTER, "probes"),
    "clients_ended.REASON": (COUNTER, "requests"),
    "sent_bytes.METHOD": (COUNTER, "bytes"),
    "held_bytes": (GAUGE, "bytes"),
    "held_bytes_bound": (GAUGE, "bytes"),
    "connections": (GAUGE, "connections"),
    "in_flight": (GAUGE, "calls"),
    "upstreams": (GAUGE, "endpoints"),
    "limited": (GAUGE, "endpoints"),
    "cut_off": (GAUGE, "0 or 1"),
    "relayed_in_flight": (GAUGE, "calls"),
    "resting": (GAUGE, "endpoints"),
    "waiting": (GAUGE, "calls"),
    "waiting_organisations": (GAUGE, "organisations"),
    "permits_waiting": (GAUGE, "calls"),
    "organisations_at_quota": (GAUGE, "organisations"),
    "entries": (GAUGE, "entries"),
    "config_index": (GAUGE, "log index"),
    "config_missing_bytes": (GAUGE, "bytes"),
    "control_age_s": (GAUGE, "seconds"),
    "leads": (GAUGE, "0 or 1"),
    "commit": (GAUGE, "log index"),
    "voters": (GAUGE, "replicas"),
    "quarantined": (GAUGE, "requests"),
    "evacuated_zones": (GAUGE, "availability zones"),
    "entries_behind": (GAUGE, "entries"),
    "demand.ORGANISATION": (GAUGE, "permits per second"),
    "granted.ORGANISATION": (GAUGE, "permits per second"),
}


class Metrics:
    """Collect counters, gauges and timings; needs no running listener.

    One datagram per count would cost three system calls per request on the
    event loop, each of which hands the interpreter lock to another thread.
    Each flush sends everything that was collected in one datagram.
    """

    __slots__ = (
        "_client",
        "_counts",
        "_exporter",
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
        self._exporter = Exporter(CATALOGUE)
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._exporter.count(name, by)
        with self._lock:
            self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._exporter.gauge(name, value)
        with self._lock:
            self._gauges[name] = value

    def remove_gauge(self, name: str) -> None:
        """Export a gauge no longer; statsd keeps its last value, so send 0."""
        self._exporter.remove_gauge(name)
        with self._lock:
            self._gauges[name] = 0.0

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration, in milliseconds.

        At most MAX_TIMINGS are kept between two flushes, to bound memory. A
        sample suffices for the listener's percentiles.
        """
        self._exporter.time_ms(name, value_ms)
        with self._lock:
            if len(self._timings) < MAX_TIMINGS:
                self._timings.append((name, value_ms))

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self._exporter.text()

    def flush(self) -> None:
        """Send what was collected since the last flush."""
        with self._lock:
            counts, self._counts = self._counts, Counter()
            gauges, self._gauges = self._gauges, {}
            timings, self._timings = self._timings, []
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, by in counts.items():
                pipeline.incr(_UNSAFE.sub("_", name), by)
            for name, value in gauges.items():
                pipeline.gauge(_UNSAFE.sub("_", name), value)
            for name, value_ms in timings:
                pipeline.timing(name, value_ms)
