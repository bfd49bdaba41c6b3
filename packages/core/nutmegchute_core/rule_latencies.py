"""Hold what is usual for a rule's calls, and what a send met."""

from .endpoints import Endpoint
from .inquiries import FRESH_S
from .inquiries import is_nearly_full
from .latencies import Quantile

HEDGE_QUANTILE = 0.92
# What is taken for usual and for slow at first, as shares of the objective.
INITIAL_MEDIAN_SHARE = 0.4
INITIAL_TAIL_SHARE = 0.6


class RuleLatency:
    """Follow how long calls of one rule take, and what callers allow.

    ``deadline_s`` is the longest deadline that a caller gave.
    """

    __slots__ = ("deadline_s", "median", "tail")

    def __init__(self, objective_s: float) -> None:
        # Until answers tell more: an entry sees few calls of a rule, and a
        # guess that is too low would hedge each of the first ones.
        self.median = Quantile(0.5, objective_s * INITIAL_MEDIAN_SHARE)
        self.tail = Quantile(HEDGE_QUANTILE, objective_s * INITIAL_TAIL_SHARE)
        self.deadline_s = 0.0

    def record(self, latency_s: float) -> None:
        """Take the time of an answer, in seconds."""
        self.median.record(latency_s)
        self.tail.record(latency_s)


class SentAttempt:
    """Hold where an attempt went and whether that was nearly full then.

    ``full`` is None where the endpoint's load was not known.
    """

    __slots__ = ("endpoint", "nearly_full")

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        self.nearly_full: bool | None = None
        age_s = endpoint.report_age_s(now)
        if age_s is not None and age_s <= FRESH_S:
            load = endpoint.in_flight + endpoint.reported_others
            self.nearly_full = is_nearly_full(endpoint, load)
