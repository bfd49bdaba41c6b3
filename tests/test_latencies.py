"""Test the latency estimates."""

from random import Random

from nutmegchute_core.latencies import Mean
from nutmegchute_core.latencies import Quantile


def test_quantile_converges() -> None:
    """The hedge delay converges to where 8 of 100 answers are later."""
    random = Random(7)
    quantile = Quantile(0.92)
    later = 0
    for step in range(20000):
        latency_s = random.expovariate(1 / 0.02)
        if step >= 5000 and latency_s > quantile.value_s:
            later += 1
        quantile.record(latency_s)
    assert 0.06 < later / 15000 < 0.10


def test_quantile_follows_a_slowdown() -> None:
    """If all answers get five times slower, the estimate follows soon.

    Until then every call counts as late and would be hedged.
    """
    quantile = Quantile(0.92)
    for _ in range(200):
        quantile.record(0.02)
    late = 0
    for _ in range(200):
        late += quantile.value_s < 0.1
        quantile.record(0.1)
    assert late < 40


def test_mean_starts_with_the_first_value() -> None:
    """The initial estimate is replaced by the first value."""
    mean = Mean(99.0)
    mean.record(0.02)
    assert abs(mean.value - 0.02) < 1e-9
