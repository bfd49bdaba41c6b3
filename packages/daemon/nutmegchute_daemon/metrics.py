"""Count and time what the daemon does, by statsd over UDP."""

import statsd

from .settings import split_address

PREFIX = "nutmegchute"

COUNTER = "counter"
GAUGE = "gauge"
TIMER = "timer"

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
    "in_flight": (GAUGE, "calls"),
    "upstreams": (GAUGE, "endpoints"),
    "entries": (GAUGE, "entries"),
    "config_index": (GAUGE, "log index"),
    "leads": (GAUGE, "0 or 1"),
    "commit": (GAUGE, "log index"),
    "entries_behind": (GAUGE, "entries"),
}


class Metrics:
    """Send counters, gauges and timings; a dead listener harms nothing."""

    __slots__ = ("_client",)

    def __init__(self, address: str, name: str) -> None:
        host, port = split_address(address)
        prefix = f"{PREFIX}.{name}"
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self._client.incr(name, by)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._client.gauge(name, value)

    def time_ms(self, name: str, value_ms: float) -> None:
        """Record a duration, in milliseconds."""
        self._client.timing(name, value_ms)
