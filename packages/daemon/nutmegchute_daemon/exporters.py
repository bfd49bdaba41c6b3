"""Export metrics as text that a monitoring system fetches."""

import contextlib
import threading
from collections import Counter
from typing import Any

COUNTER = "counter"
GAUGE = "gauge"
TIMER = "timer"

PREFIX = "nutmegchute"
# Upper bounds, from a connection within a vm to the longest deadline that
# deployments declare.
BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)
# Durations buffered before they are sorted into buckets; a busy entry records
# this many in a few seconds.
MAX_BUFFERED_TIMINGS = 2000


class Exporter:
    """Buffer the metrics of a catalogue and render them as text.

    The library is imported when the text is first requested or the buffer is
    full: it takes 1.8 MB and 27 ms of CPU time, a tenth of a router's start.
    """

    __slots__ = (
        "_catalogue",
        "_counts",
        "_families",
        "_gauges",
        "_lock",
        "_registry",
        "_timings",
    )

    def __init__(self, catalogue: dict[str, tuple[str, str]]) -> None:
        self._catalogue = catalogue
        self._families: dict[str, Any] = {}
        self._registry: Any = None
        self._lock = threading.Lock()
        self._counts: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: list[tuple[str, float]] = []

    def count(self, name: str, by: int) -> None:
        """Add to a counter."""
        with self._lock:
            self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name] = value

    def remove_gauge(self, name: str) -> None:
        """Export one value of a labelled gauge no longer."""
        base, _, label = name.partition(".")
        with self._lock:
            self._gauges.pop(name, None)
            if self._registry is None:
                return
            # It may have been set and not flushed yet.
            with contextlib.suppress(KeyError):
                self._families[base].remove(label)

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration, in milliseconds."""
        with self._lock:
            self._timings.append((name, value_ms))
            if len(self._timings) >= MAX_BUFFERED_TIMINGS:
                self._flush()

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        with self._lock:
            self._flush()
            return bytes(generate_latest(self._registry))

    def _flush(self) -> None:
        """Pass the buffered values to the library."""
        if self._registry is None:
            self._create_registry()
        for name, by in self._counts.items():
            base, _, label = name.partition(".")
            family = self._families[base]
            (family.labels(label) if label else family).inc(by)
        for name, value in self._gauges.items():
            base, _, label = name.partition(".")
            family = self._families[base]
            (family.labels(label) if label else family).set(value)
        for name, value_ms in self._timings:
            self._families[name].observe(value_ms / 1000)
        self._counts.clear()
        self._gauges.clear()
        self._timings.clear()

    def _create_registry(self) -> None:
        from prometheus_client import CollectorRegistry

        self._registry = CollectorRegistry()
        for name, (kind, _) in self._catalogue.items():
            # The part in capitals of a catalogue name is the label's name.
            base, _, label = name.partition(".")
            labels = [label.lower()] if label else []
            self._families[base] = self._create_family(kind, base, labels)

    def _create_family(self, kind: str, base: str, labels: list[str]) -> Any:
        from prometheus_client import Counter as CounterFamily
        from prometheus_client import Gauge
        from prometheus_client import Histogram

        name = f"{PREFIX}_{base}"
        if kind == COUNTER:
            return CounterFamily(name, base, labels, registry=self._registry)
        if kind == GAUGE:
            return Gauge(name, base, labels, registry=self._registry)
        return Histogram(
            f"{name}_seconds",
            base,
            labels,
            registry=self._registry,
            buckets=BUCKETS_S,
        )
