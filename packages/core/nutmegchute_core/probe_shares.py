"""Divide the budget of load queries among entries by their call rates.

Zones have unequal shares of the callers, and so have entries of the calls.
With equal shares of the budget the entries of a crowded zone exhaust theirs
while the others leave most of theirs unused.
"""

from math import exp

# Time constant of the call rate: short enough to show a burst within seconds,
# long enough for a steady rate at an entry with few calls.
RATE_WINDOW_S = 3.0
# Part of the budget that is divided equally: an entry without calls so far
# must be able to query for its first ones. Reported rates are at most one
# hold of a watch old.
EQUAL_SHARE = 0.2


class CallRate:
    """Track the calls per second, with exponential decay."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Count a call."""
        self._decay(now)
        self._sum += 1.0

    def per_s(self, now: float) -> float:
        """Return the calls per second."""
        self._decay(now)
        return self._sum / RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        self._sum *= exp((self._at - now) / RATE_WINDOW_S)
        self._at = now


class ProbeShare:
    """Compute an entry's share of the budget of load queries.

    Control replicas add up the call rates that entries report. The share is
    the rate that this entry reported, which is part of the sum, over the
    sum that its replica sent last; ``entries`` must never be too low. So
    the shares of all entries add up to one, except for changes within a hold.

    A replica that has just started has requests of only a few entries, and
    its sum would give the first of them nearly the whole budget. So entries
    missing from the sum are assumed to have as many calls as the others.
    """

    __slots__ = ("_counted", "_total", "reported")

    def __init__(self) -> None:
        # Calls per second, as last reported.
        self.reported = 0.0
        self._total = 0.0
        # Number of entries in the sum.
        self._counted = 1

    def set_total(self, total: float, entries: int) -> None:
        """Set the sum of call rates and the number of entries in it."""
        self._total = total
        self._counted = max(1, entries)

    def share(self, entries: int) -> float:
        """Return this entry's share of the budget, from 0 to 1."""
        equal = 1.0 / max(1, entries)
        total = self._total * max(1.0, entries / self._counted)
        if total <= 0.0 or self.reported > total:
            return equal
        own = self.reported / total
        return EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * own
