"""Keep the timers of all calls in one heap."""

import heapq

REQUERY = "requery"
QUERY_TIMEOUT = "asked"
EXPIRY = "expiry"
HEDGE = "hedge"
REQUEST_TRIAL = "seek"


class Timers:
    """Order timers by time; the caller checks that one still applies."""

    __slots__ = ("_count", "_heap")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, str, int]] = []
        self._count = 0

    @property
    def next_at(self) -> float | None:
        """Return when the next timer is due, in seconds, if any."""
        return self._heap[0][0] if self._heap else None

    def add(self, at: float, kind: str, call_id: int) -> None:
        """Schedule a timer for a call."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, kind, call_id))

    def pop_due(self, now: float) -> tuple[str, int] | None:
        """Remove and return the next timer that is due, if any."""
        if not self._heap or self._heap[0][0] > now:
            return None
        _, _, kind, call_id = heapq.heappop(self._heap)
        return kind, call_id
