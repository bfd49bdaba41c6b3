"""Divide what all entries may ask of endpoints by what each has to place.

Zones have unequal shares of the callers, and so entries of the calls. With
equal shares of the questions the entries of a crowded zone run out of them
while those of others leave most of theirs unused.
"""

from math import exp

# How far back calls count: a burst shows within seconds, and the rate of an
# entry with few calls is still a rate.
RATE_WINDOW_S = 3.0
# Of the questions this much is divided equally: an entry that has had no
# calls yet must be able to ask for its first ones. What an entry told is a
# question's hold old at most.
EQUAL_SHARE = 0.2


class CallRate:
    """Follow how many calls a second come; older ones fade."""

    __slots__ = ("_at", "_sum")

    def __init__(self) -> None:
        self._sum = 0.0
        self._at = 0.0

    def count(self, now: float) -> None:
        """Count a call."""
        self._fade(now)
        self._sum += 1.0

    def per_s(self, now: float) -> float:
        """Give the calls a second."""
        self._fade(now)
        return self._sum / RATE_WINDOW_S

    def _fade(self, now: float) -> None:
        self._sum *= exp((self._at - now) / RATE_WINDOW_S)
        self._at = now


class ProbeShare:
    """Say, on an entry, which share of the questions is its own.

    Control replicas add up what entries tell of their calls. The share
    rests on what this entry told, which is in the sum, and on the sum that
    its replica gave last; ``entries`` must never be too low. So the shares
    of all entries come to one, but for what changed within a hold.

    A replica that has just started has heard of a few entries only. Taken as
    it is, its sum would give the first entry that asks nearly all of the
    questions; entries not in it are held to have as many calls as others.
    """

    __slots__ = ("_counted", "_total", "reported")

    def __init__(self) -> None:
        # Calls a second, as told last.
        self.reported = 0.0
        self._total = 0.0
        # How many entries are in the sum.
        self._counted = 1

    def set_total(self, total: float, entries: int) -> None:
        """Take the calls a second that the replica has heard of in all."""
        self._total = total
        self._counted = max(1, entries)

    def share(self, entries: int) -> float:
        """Give this entry's share of the questions, from 0 to 1."""
        equal = 1.0 / max(1, entries)
        total = self._total * max(1.0, entries / self._counted)
        if total <= 0.0 or self.reported > total:
            return equal
        own = self.reported / total
        return EQUAL_SHARE * equal + (1.0 - EQUAL_SHARE) * own
