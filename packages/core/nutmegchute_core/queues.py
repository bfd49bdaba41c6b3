"""Keep calls waiting: urgent ones first, old ones in the end too."""

import heapq
from math import inf

from .rules import PRIORITIES

# A waiting call passes as one of higher priority that arrived this much
# later, so background work yields for a while and then arrives.
PRIORITY_DELAY_S = {"interactive": 0.0, "action": 0.02, "background": 1.0}


class WaitQueue:
    """Order waiting calls by arrival plus what their priority adds.

    Calls that can still be answered within their objective go before those
    that cannot. When more comes than can be served, the oldest first would
    make every call wait until it is late; so most are served in time, and
    who is late already is served when nobody else waits.
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
        """Count the calls that go before a new one, roughly.

        Those that are late already go before it only if it is late too.
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
        """Count the calls that cannot be answered within their objective."""
        return sum(late_at < now for late_at in self._late_at.values())

    def push(
        self,
        call_id: int,
        priority: str,
        arrived_at: float,
        late_at: float = inf,
    ) -> None:
        """Let a call wait; a retry keeps the place of its arrival.

        Sent after ``late_at`` it cannot be answered within its objective.
        """
        key = arrived_at + PRIORITY_DELAY_S[priority]
        heapq.heappush(self._heap, (key, call_id))
        self._waiting[call_id] = priority
        self._late_at[call_id] = late_at

    def remove(self, call_id: int) -> bool:
        """Take a call out; return whether it waited."""
        if self._waiting.pop(call_id, None) is None:
            return False
        del self._late_at[call_id]
        return True

    def peek(self, now: float = -inf) -> int | None:
        """Return the call that is next, if any; it stays."""
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
