"""Limit one entry's calls in flight by what the endpoints report."""

# Shares of what is one entry's if all entries get the same.
FIRST_SHARE = 2.0
LEAST_SHARE = 0.5
GAIN = 1.0
BACK_OFF = 0.9
# Work that may wait at an endpoint, as a share of its slots, before the
# entry keeps its calls back. Too little lets slots run dry between two
# calls; too much lets calls wait where none can overtake them.
QUEUE_SHARE = 0.5


class Window:
    """Grow by addition and shrink by multiplication on one bit a report.

    The bit says whether the endpoint that answered has more work than
    its slots and a little queue. Entries that share endpoints reach
    equal shares by this rule without knowing one another ("Congestion
    avoidance in computer networks", sections 5.1 and 5.2).
    """

    __slots__ = ("_least", "_shrunk_at", "_size")

    def __init__(self) -> None:
        self._least = 1.0
        self._size = 0.0
        self._shrunk_at = 0.0

    @property
    def size(self) -> float:
        """Give the most calls in flight."""
        return self._size

    def set_share(self, slots: float) -> None:
        """Take the slots that would be this entry's equal share."""
        self._least = max(1.0, slots * LEAST_SHARE)
        if self._size == 0.0:
            self._size = max(1.0, slots * FIRST_SHARE)
        self._size = max(self._size, self._least)

    def learn(
        self, load: int, slots: int, in_flight: int, now: float, pause_s: float
    ) -> None:
        """Take one report; shrink at most once in ``pause_s``."""
        if load <= slots * (1.0 + QUEUE_SHARE):
            if in_flight + 1 >= self._size / 2:
                self._size += GAIN / self._size
            return
        if now - self._shrunk_at < pause_s:
            return
        self._shrunk_at = now
        self._size = max(self._least, self._size * BACK_OFF)
