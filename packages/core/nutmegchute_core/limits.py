"""Limit one entry's calls in flight by the endpoints' load reports."""

# Window sizes as multiples of this entry's equal share of the slots.
INITIAL_SHARE = 2.0
MIN_SHARE = 0.5
INCREASE = 1.0
SHRINK_FACTOR = 0.9


class Window:
    """Adjust the window by additive increase, multiplicative decrease.

    Each report counts as one bit: whether the endpoint is overloaded.
    Entries that share endpoints converge to equal shares by this rule
    without coordination ("Congestion avoidance in computer networks",
    sections 5.1 and 5.2).
    """

    __slots__ = ("_min_size", "_shrunk_at", "_size")

    def __init__(self) -> None:
        self._min_size = 1.0
        self._size: float | None = None
        self._shrunk_at = 0.0

    @property
    def size(self) -> float:
        """Return the maximum number of calls in flight."""
        return self._min_size if self._size is None else self._size

    def set_share(self, slots: float, endpoint_slots: int) -> None:
        """Set this entry's equal share of all slots.

        A new entry starts above its share, or with one endpoint's slots,
        as there may be fewer entries than configured.
        """
        self._min_size = max(1.0, slots * MIN_SHARE)
        if self._size is None and endpoint_slots:
            self._size = max(float(endpoint_slots), slots * INITIAL_SHARE)
        elif self._size is not None:
            self._size = max(self._size, self._min_size)

    def record(
        self, overloaded: bool, in_flight: int, now: float, pause_s: float
    ) -> None:
        """Record one report; shrink at most once per ``pause_s``."""
        if not overloaded:
            if in_flight + 1 >= self.size / 2:
                self._size = self.size + INCREASE / self.size
            return
        if now - self._shrunk_at < pause_s:
            return
        self._shrunk_at = now
        self._size = max(self._min_size, self.size * SHRINK_FACTOR)
