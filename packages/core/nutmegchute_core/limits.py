"""Limit one entry's calls in flight by what the endpoints report."""

# Shares of what is one entry's if all entries get the same.
INITIAL_SHARE = 2.0
MIN_SHARE = 0.5
INCREASE = 1.0
SHRINK_FACTOR = 0.9


class Window:
    """Grow by addition and shrink by multiplication on one bit a report.

    The bit says whether the endpoint that answered has more work than
    does it good. Entries that share endpoints reach
    equal shares by this rule without knowing one another ("Congestion
    avoidance in computer networks", sections 5.1 and 5.2).
    """

    __slots__ = ("_min_size", "_shrunk_at", "_size")

    def __init__(self) -> None:
        self._min_size = 1.0
        self._size: float | None = None
        self._shrunk_at = 0.0

    @property
    def size(self) -> float:
        """Give the most calls in flight."""
        return self._min_size if self._size is None else self._size

    def set_share(self, slots: float, endpoint_slots: int) -> None:
        """Take the slots that would be this entry's equal share.

        A new entry starts above its share, or with one endpoint's slots:
        entries may be fewer than configured.
        """
        self._min_size = max(1.0, slots * MIN_SHARE)
        if self._size is None and endpoint_slots:
            self._size = max(float(endpoint_slots), slots * INITIAL_SHARE)
        elif self._size is not None:
            self._size = max(self._size, self._min_size)

    def record(
        self, crowded: bool, in_flight: int, now: float, pause_s: float
    ) -> None:
        """Take one report's bit; shrink at most once in ``pause_s``."""
        if not crowded:
            if in_flight + 1 >= self.size / 2:
                self._size = self.size + INCREASE / self.size
            return
        if now - self._shrunk_at < pause_s:
            return
        self._shrunk_at = now
        self._size = max(self._min_size, self.size * SHRINK_FACTOR)
