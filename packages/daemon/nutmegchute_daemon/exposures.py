"""Keep metrics as text that a monitoring system fetches."""

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import generate_latest
from prometheus_client import Histogram

COUNTER = "counter"
GAUGE = "gauge"
TIMER = "timer"

PREFIX = "nutmegchute"
# A word in capitals in a catalogue name becomes this label.
LABEL = "outcome"
# Upper bounds in seconds: from a connection within a vm to the longest
# deadline that deployments declare.
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


class Exposure:
    """Count, set and time by the names of a catalogue."""

    __slots__ = ("_families", "_registry")

    def __init__(self, catalogue: dict[str, tuple[str, str]]) -> None:
        self._registry = CollectorRegistry()
        self._families: dict[str, Counter | Gauge | Histogram] = {}
        for name, (kind, _) in catalogue.items():
            base = name.partition(".")[0]
            labels = [LABEL] if "." in name else []
            self._families[base] = self._build(kind, base, labels)

    def count(self, name: str, by: int) -> None:
        """Add to a counter."""
        base, _, label = name.partition(".")
        family = self._families[base]
        assert isinstance(family, Counter)
        (family.labels(label) if label else family).inc(by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        family = self._families[name]
        assert isinstance(family, Gauge)
        family.set(value)

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration, in milliseconds."""
        family = self._families[name]
        assert isinstance(family, Histogram)
        family.observe(value_ms / 1000)

    def text(self) -> bytes:
        """Give all of it as text."""
        return bytes(generate_latest(self._registry))

    def _build(
        self, kind: str, base: str, labels: list[str]
    ) -> Counter | Gauge | Histogram:
        name = f"{PREFIX}_{base}"
        if kind == COUNTER:
            return Counter(name, base, labels, registry=self._registry)
        if kind == GAUGE:
            return Gauge(name, base, labels, registry=self._registry)
        return Histogram(
            f"{name}_seconds",
            base,
            labels,
            registry=self._registry,
            buckets=BUCKETS_S,
        )
