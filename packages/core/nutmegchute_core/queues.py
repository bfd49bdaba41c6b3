"""Queue waiting calls by priority with aging."""

import heapq
from math import inf

from .rules import PRIORITIES

# Added to a call's arrival time for ordering: background work yields to calls
# that arrive within this delay and goes before later ones.
PRIORITY_DELAY_S = {"interactive": 0.0, "action": 0.02, "background": 1.0}


class WaitQueue:
    """Order waiting calls by arrival plus the delay of their priority.

    Calls that can still meet their objective go before those that cannot.
    Under overload, oldest first would make every call wait until it is
    late; in this order most are served in time, and late calls are served
    when no others wait.
    """

    __slots__ = ("_heap", "_late_at", "_late_heap", "_waiting")

    def __init__(self) -> None:
        self._heap: list[tuple[float, int]] = []
        self._late_heap: list[tuple[float, int]] = []
        self._late_at: dict[int, float] = {}
        self._waiting: dict[int, str] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def count_ahead(
        self, priority: str, late_at: float = inf, now: float = -inf
    ) -> int:
        """Return about how many queued calls go before a new one.

        Late calls go before it only if it is late too.
        """
        rank = PRIORITIES.index(priority)
        late = late_at < now
        count = 0
        for call_id, name in self._waiting.items():
            if PRIORITIES.index(name) > rank:
                continue
            if late or self._late_at[call_id] >= now:
                count += 1
        return count

    def count_late(self, now: float) -> int:
        """Return the number of calls that cannot meet their objective."""
        return sum(late_at < now for late_at in self._late_at.values())

    def push(
        self,
        call_id: int,
        priority: str,
        arrived_at: float,
        late_at: float = inf,
    ) -> None:
        """Add a call; a retry is ordered by the call's arrival.

        Sent after ``late_at``, the call misses its objective.
        """
        key = arrived_at + PRIORITY_DELAY_S[priority]
        heapq.heappush(self._heap, (key, call_id))
        self._waiting[call_id] = priority
        self._late_at[call_id] = late_at

    def remove(self, call_id: int) -> bool:
        """Remove a call; return whether it was queued."""
        if self._waiting.pop(call_id, None) is None:
            return False
        del self._late_at[call_id]
        return True

    def peek(self, now: float = -inf) -> int | None:
        """Return the next call without removing it, if any."""
        while self._heap:
            key, call_id = self._heap[0]
            if call_id in self._waiting:
                if self._late_at[call_id] >= now:
                    return call_id
                heapq.heappush(self._late_heap, (key, call_id))
            heapq.heappop(self._heap)
        while self._late_heap:
            call_id = self._late_heap[0][1]
            if call_id in self._waiting:
                return call_id
            heapq.heappop(self._late_heap)
        return None
