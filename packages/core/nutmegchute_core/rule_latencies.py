"""Estimate the latencies of a rule's calls and describe sent attempts."""

from .endpoints import Endpoint
from .inquiries import is_nearly_full
from .inquiries import MAX_REPORT_AGE_S
from .latencies import Peak
from .latencies import Quantile

HEDGE_QUANTILE = 0.92
# Initial estimates as shares of the rule's objective.
INITIAL_MEDIAN_SHARE = 0.4
INITIAL_TAIL_SHARE = 0.6


class RuleLatency:
    """Estimate the median, tail and longest latency of one rule's calls.

    ``deadline_s`` is the longest deadline that a caller has sent. The longest
    latency includes those of cold endpoints.
    """

    __slots__ = ("deadline_s", "longest", "median", "tail")

    def __init__(self, objective_s: float) -> None:
        # An entry sees few calls of a rule, and initial estimates that are
        # too low would hedge each of the first ones.
        self.median = Quantile(0.5, objective_s * INITIAL_MEDIAN_SHARE)
        self.tail = Quantile(HEDGE_QUANTILE, objective_s * INITIAL_TAIL_SHARE)
        self.longest = Peak()
        self.deadline_s = 0.0

    def record(self, latency_s: float) -> None:
        """Record a latency, in seconds."""
        self.median.record(latency_s)
        self.tail.record(latency_s)


class SentAttempt:
    """Hold an attempt's endpoint and whether it was nearly full at sending.

    ``nearly_full`` is None if the endpoint's load was not known.
    """

    __slots__ = ("endpoint", "nearly_full")

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        self.nearly_full: bool | None = None
        age_s = endpoint.report_age_s(now)
        if age_s is not None and age_s <= MAX_REPORT_AGE_S:
            load = endpoint.in_flight + endpoint.reported_others
            self.nearly_full = is_nearly_full(endpoint, load)
