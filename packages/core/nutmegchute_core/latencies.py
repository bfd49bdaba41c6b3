"""Estimate means and quantiles of latencies in constant memory."""

MEAN_WEIGHT = 0.05
QUANTILE_STEP = 0.1
INITIAL_LATENCY_S = 0.02
PEAK_DECAY = 0.005


class Quantile:
    """Estimate a quantile: raise it on larger values, lower it on others."""

    __slots__ = ("_share", "_value_s")

    def __init__(
        self, share: float, initial_s: float = INITIAL_LATENCY_S
    ) -> None:
        self._share = share
        self._value_s = initial_s

    @property
    def value_s(self) -> float:
        """Return the current estimate, in seconds."""
        return self._value_s

    def record(self, latency_s: float) -> None:
        """Record one latency, in seconds."""
        if latency_s > self._value_s:
            self._value_s *= 1.0 + QUANTILE_STEP * self._share
        else:
            self._value_s *= 1.0 - QUANTILE_STEP * (1.0 - self._share)


class Peak:
    """Estimate the longest latency: raise it at once, lower it slowly."""

    __slots__ = ("_value_s",)

    def __init__(self) -> None:
        self._value_s: float | None = None

    @property
    def value_s(self) -> float | None:
        """Return the estimate, in seconds; None before the first latency."""
        return self._value_s

    def record(self, latency_s: float) -> None:
        """Record one latency, in seconds."""
        lowered_s = (self._value_s or 0.0) * (1.0 - PEAK_DECAY)
        self._value_s = max(latency_s, lowered_s)


class Mean:
    """Estimate an exponentially weighted moving mean."""

    __slots__ = ("_count", "_value", "_weight")

    def __init__(self, value: float, weight: float = MEAN_WEIGHT) -> None:
        self._value = value
        self._weight = weight
        self._count = 0

    @property
    def value(self) -> float:
        """Return the current estimate."""
        return self._value

    def record(self, value: float) -> None:
        """Record one value; the first ones weigh more."""
        self._count += 1
        weight = max(self._weight, 1.0 / self._count)
        self._value += weight * (value - self._value)
