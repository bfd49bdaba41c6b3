"""Follow latencies by a mean and quantiles that cost no memory."""

MEAN_WEIGHT = 0.05
QUANTILE_STEP = 0.1
INITIAL_LATENCY_S = 0.02


class Quantile:
    """Follow one quantile: up at a larger value, down at a smaller one."""

    __slots__ = ("_share", "_value_s")

    def __init__(
        self, share: float, first_s: float = INITIAL_LATENCY_S
    ) -> None:
        self._share = share
        self._value_s = first_s

    @property
    def value_s(self) -> float:
        """Give the present estimate, in seconds."""
        return self._value_s

    def record(self, latency_s: float) -> None:
        """Take one latency, in seconds."""
        if latency_s > self._value_s:
            self._value_s *= 1.0 + QUANTILE_STEP * self._share
        else:
            self._value_s *= 1.0 - QUANTILE_STEP * (1.0 - self._share)


class Mean:
    """Follow a mean that forgets."""

    __slots__ = ("_seen", "_value", "_weight")

    def __init__(self, value: float, weight: float = MEAN_WEIGHT) -> None:
        self._value = value
        self._weight = weight
        self._seen = 0

    @property
    def value(self) -> float:
        """Give the present estimate."""
        return self._value

    def record(self, value: float) -> None:
        """Take one value; the first ones count for more."""
        self._seen += 1
        weight = max(self._weight, 1.0 / self._seen)
        self._value += weight * (value - self._value)
