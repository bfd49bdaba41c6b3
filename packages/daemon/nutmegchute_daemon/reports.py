"""Report the CPU time, memory and loop lag of a daemon as metrics."""

import resource
import time
from collections.abc import Callable

from .metrics import Metrics

REPORT_PERIOD_S = 5.0
BYTES_PER_KILOBYTE = 1024
PERCENT = 100.0


class Reporter:
    """Report the daemon's resource usage and its role's gauges."""

    __slots__ = ("_cpu_s", "_gauges", "_metrics", "_now", "_reported_at")

    def __init__(
        self,
        metrics: Metrics,
        gauges: Callable[[], dict[str, float]],
        now: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._gauges = gauges
        self._now = now
        self._reported_at = now()
        self._cpu_s = time.process_time()

    def report(self) -> None:
        """Set all gauges; to be called every REPORT_PERIOD_S."""
        now = self._now()
        cpu_s = time.process_time()
        elapsed_s = now - self._reported_at
        self._metrics.gauge("alive", 1)
        if elapsed_s > 0:
            share = PERCENT * (cpu_s - self._cpu_s) / elapsed_s
            self._metrics.gauge("cpu_percent", round(share, 2))
            # A late loop delays every call. The lateness of this report
            # measures the lag without a second timer.
            lag_ms = max(0.0, elapsed_s - REPORT_PERIOD_S) * 1000
            self._metrics.gauge("loop_lag_ms", round(lag_ms, 1))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        memory_bytes = usage.ru_maxrss * BYTES_PER_KILOBYTE
        self._metrics.gauge("memory_bytes", memory_bytes)
        for name, value in self._gauges().items():
            self._metrics.gauge(name, value)
        self._reported_at = now
        self._cpu_s = cpu_s
