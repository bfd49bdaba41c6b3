"""Count and time what the daemon does, by statsd over UDP."""

import statsd

from .settings import split_address

PREFIX = "nutmegchute"


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
