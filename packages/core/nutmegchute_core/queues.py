"""Queue waiting calls by organisation and priority with aging."""

import heapq
from collections.abc import Iterable
from math import inf

from .fair_shares import ANONYMOUS
from .fair_shares import FairShares
from .fair_shares import Kind
from .fair_shares import ServedRates
from .organisations import Organisation
from .rules import PRIORITIES

# Added to a call's arrival time for ordering: background work yields to calls
# that arrive within this delay and goes before later ones.
PRIORITY_DELAY_S = {"interactive": 0.0, "action": 0.02, "background": 1.0}
# The same for calls of organisations. With a delay of 0.02 s, a burst of less
# urgent calls with a long objective goes before urgent ones with a short one:
# 0.80 of the urgent ones meet their objective, and 0.88 with 1.5 s.
KIND_DELAY_S = {"interactive": 0.0, "action": 1.5, "background": 1.9}
# Delay of one priority of organisations. It exceeds the delays of the routes'
# priorities and MAX_LEAD_S, the delay of a share that is used up.
ORGANISATION_DELAY_S = 2.0
# Priorities beyond this have the same delay.
MAX_ORGANISATION_PRIORITY = 4
# An organisation is louder than another with more than this multiple of its
# waiting calls, each divided by its weight.
LOUDER_FACTOR = 2.0
# Waiting calls of one organisation that make a backlog.
MIN_BACKLOG = 3


class Line:
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

    def describe(self, call_id: int) -> tuple[str, float, float]:
        """Return a call's priority, order time and latest time to be sent."""
        key = self._heap[0][0] if self._heap else self._late_heap[0][0]
        return self._waiting[call_id], key, self._late_at[call_id]

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


class Place:
    """Hold what orders a call of an organisation among others.

    ``tried_at`` is when the caller is estimated to have tried first, which
    orders the calls of one kind. Only a call that is not ``sent`` yet may be
    refused for another.
    """

    __slots__ = (
        "arrived_at",
        "kind",
        "late_at",
        "organisation",
        "priority",
        "sent",
        "tried_at",
    )

    def __init__(
        self,
        organisation: Organisation,
        rule: str,
        tried_at: float,
        sent: bool = False,
    ) -> None:
        self.organisation = organisation
        self.kind: Kind = (organisation.name, rule)
        self.tried_at = tried_at
        self.sent = sent
        # Set once the call is in the queue.
        self.arrived_at = tried_at
        self.late_at = inf
        self.priority = PRIORITIES[0]


class Head:
    """Hold the next call of a line, for comparison with other lines."""

    __slots__ = ("call_id", "is_late", "kind", "key", "organisation", "rank")

    def __init__(
        self,
        call_id: int,
        place: Place,
        is_late: bool,
        key: float,
    ) -> None:
        self.call_id = call_id
        self.kind = place.kind
        self.organisation = place.organisation
        self.rank = PRIORITIES.index(place.priority)
        self.is_late = is_late
        self.key = key

    @property
    def order(self) -> tuple[bool, float, int]:
        """Return the order among calls of any organisation."""
        return self.is_late, self.key, self.call_id


class WaitQueue:
    """Order the waiting calls of all organisations.

    Calls without an organisation are in one line. Once an organisation's
    call waits, each kind of call of each organisation has its own line. The
    next call is chosen between the first of each by the organisation's
    priority, the route's priority and the organisation's fair start time.
    Starved kinds go first.
    """

    __slots__ = ("_line", "_lines", "_places", "_served", "_shares")

    def __init__(self) -> None:
        self._line = Line()
        self._lines: dict[Kind, Line] = {}
        self._places: dict[int, Place] = {}
        self._shares = FairShares()
        self._served = ServedRates()

    def __len__(self) -> int:
        return len(self._line) + len(self._places)

    @property
    def organisations(self) -> Iterable[str]:
        """Return the names of the organisations whose calls wait."""
        return self._shares.waiting

    def push(
        self,
        call_id: int,
        priority: str,
        arrived_at: float,
        late_at: float = inf,
        place: Place | None = None,
    ) -> None:
        """Add a call; a retry is ordered by the call's arrival.

        Sent after ``late_at``, the call misses its objective.
        """
        if place is None:
            self._line.push(call_id, priority, arrived_at, late_at)
            return
        place.arrived_at = arrived_at
        place.late_at = late_at
        place.priority = priority
        line = self._lines.get(place.kind)
        if line is None:
            line = self._lines[place.kind] = Line()
        line.push(call_id, priority, place.tried_at, late_at)
        self._places[call_id] = place
        self._shares.add(place.organisation)

    def remove(self, call_id: int) -> bool:
        """Remove a call; return whether it was queued."""
        place = self._places.pop(call_id, None)
        if place is None:
            return self._line.remove(call_id)
        line = self._lines[place.kind]
        line.remove(call_id)
        if not line:
            del self._lines[place.kind]
        self._shares.remove(place.organisation)
        return True

    def peek(self, now: float = -inf) -> int | None:
        """Return the next call without removing it, if any."""
        if not self._places:
            return self._line.peek(now)
        heads = list(self._heads(now))
        starved = self._first_starved(heads)
        if starved is not None:
            return starved.call_id
        first = min(heads, key=lambda head: head.order)
        return self._first_of_kinds(
            self._first_of_quieter(first, heads), heads
        ).call_id

    def count_ahead(
        self,
        priority: str,
        late_at: float = inf,
        now: float = -inf,
        organisation: Organisation | None = None,
    ) -> int:
        """Return about how many queued calls go before a new one.

        Late calls go before it only if it is late too. Of another
        organisation, no more calls count than its share allows.
        """
        count = self._line.count_ahead(priority, late_at, now)
        if not self._places:
            return count
        rank = PRIORITIES.index(priority)
        late = late_at < now
        caller = organisation or ANONYMOUS
        waiting: dict[str, int] = {}
        for place in self._places.values():
            if place.organisation.priority > caller.priority:
                continue
            is_equal = place.organisation.priority == caller.priority
            if is_equal and PRIORITIES.index(place.priority) > rank:
                continue
            if late or place.late_at >= now:
                name = place.organisation.name
                waiting[name] = waiting.get(name, 0) + 1
        own = waiting.pop(caller.name, 0)
        for name, calls in waiting.items():
            other = self._shares.organisation(name)
            if other.priority == caller.priority:
                calls = self._shares.count_before(caller, own, name, calls)
            count += calls
        return count + own

    def count_late(
        self, now: float, organisation: Organisation | None = None
    ) -> int:
        """Return the number of calls that cannot meet their objective.

        For an organisation, only its own calls count.
        """
        if organisation is None:
            return self._line.count_late(now)
        count = 0
        for place in self._places.values():
            is_own = place.organisation.name == organisation.name
            count += is_own and place.late_at < now
        return count

    def has_backlog(self, organisation: Organisation) -> bool:
        """Return whether an organisation has more calls than its share.

        Its calls wait, or some were refused recently.
        """
        if not self.has_share(organisation):
            return False
        if self.count_own(organisation) >= MIN_BACKLOG:
            return True
        return self._served.is_refused(organisation)

    def count_own(self, organisation: Organisation | None) -> int:
        """Return the number of waiting calls of an organisation."""
        if organisation is None:
            return len(self._line)
        return self._shares.waiting.get(organisation.name, 0)

    def find_surplus(
        self, organisation: Organisation, more: int = 0
    ) -> int | None:
        """Return the call to refuse for one of an organisation, if any.

        ``more`` calls of the organisation are about to wait. The result is
        the last call of the organisation that is furthest over its share,
        None if that is the given one, or if its calls have been sent.
        """
        furthest = self._shares.backlog(organisation, more)
        found = None
        for name in self._shares.waiting:
            other = self._shares.organisation(name)
            if name == organisation.name:
                continue
            backlog = self._shares.backlog(other)
            if backlog > furthest:
                furthest, found = backlog, name
        if found is None:
            return None
        last: tuple[int, float, int] | None = None
        for call_id, place in self._places.items():
            if place.organisation.name != found or place.sent:
                continue
            rank = PRIORITIES.index(place.priority)
            order = (rank, place.tried_at, call_id)
            if last is None or order > last:
                last = order
        return None if last is None else last[2]

    def is_starved(self, organisation: Organisation, rule: str) -> bool:
        """Return whether a kind of call is sent far less often than all.

        An organisation that gets its share of the calls that are sent is not
        starved, however many it would like to send.
        """
        if not self._served.is_starved((organisation.name, rule)):
            return False
        return not self.has_share(organisation)

    def record_arrival(
        self, organisation: Organisation, rule: str, now: float
    ) -> None:
        """Count a call of an organisation that arrived."""
        self._served.record(organisation, rule, 1, 0, now)
        self._served.forget_idle(now)

    def record_send(
        self, organisation: Organisation, rule: str, gap_s: float, now: float
    ) -> None:
        """Count a call of an organisation that is sent.

        ``gap_s`` is the time between two sends while calls wait.
        """
        self._served.record(organisation, rule, 0, 1, now)
        self._shares.record_send(organisation, gap_s)

    def _heads(self, now: float) -> Iterable[Head]:
        """Yield the next call of each line."""
        call_id = self._line.peek(now)
        if call_id is not None:
            yield self._line_head(call_id, now)
        for line in self._lines.values():
            call_id = line.peek(now)
            assert call_id is not None
            place = self._places[call_id]
            organisation = place.organisation
            start = place.arrived_at
            lead_s = self._shares.lead_s(organisation)
            if lead_s > 0:
                start = max(start, now + lead_s)
            level = min(organisation.priority, MAX_ORGANISATION_PRIORITY)
            key = start + level * ORGANISATION_DELAY_S
            key += KIND_DELAY_S[place.priority]
            yield Head(call_id, place, place.late_at < now, key)

    def _line_head(self, call_id: int, now: float) -> Head:
        """Return the next call without an organisation."""
        priority, key, late_at = self._line.describe(call_id)
        place = Place(ANONYMOUS, "", key)
        place.priority = priority
        return Head(call_id, place, late_at < now, key)

    def _first_starved(self, heads: list[Head]) -> Head | None:
        """Return the next call of the kind that is starved most, if any."""
        found = None
        for head in heads:
            if not self.is_starved(head.organisation, head.kind[1]):
                continue
            share = self._served.share(head.kind)
            if found is None or share < self._served.share(found.kind):
                found = head
        return found

    def _first_of_quieter(self, first: Head, heads: list[Head]) -> Head:
        """Return the late call of a quieter organisation, else the first.

        Calls of a louder organisation are in time for as long as it sends
        new ones, and late ones of others would never go.
        """
        if first.is_late:
            return first
        found = first
        for head in heads:
            if not head.is_late:
                continue
            if head.organisation.priority > first.organisation.priority:
                continue
            if not self._is_louder(first.organisation, head.organisation):
                continue
            if found is first or head.order < found.order:
                found = head
        return found

    def _first_of_kinds(self, first: Head, heads: list[Head]) -> Head:
        """Return the next call of the same organisation by served rates.

        A starved kind goes first, and a more urgent one that is served less
        often than the first.
        """
        found = first
        for head in heads:
            if head.kind[0] != first.kind[0] or head is first:
                continue
            if self._served.is_starved(head.kind) or head.rank < first.rank:
                share = self._served.share(head.kind)
                if share < self._served.share(found.kind):
                    found = head
        return found

    def has_share(self, organisation: Organisation) -> bool:
        """Return whether an organisation gets its share of the calls sent."""
        weights = sum(map(self._shares.weight, self._served.organisations))
        if not weights:
            # The call arrived before organisations were declared.
            return True
        share = self._shares.weight(organisation) / weights
        return self._served.sent_part(organisation.name) >= share

    def _is_louder(
        self, other: Organisation, organisation: Organisation
    ) -> bool:
        if other.name == organisation.name:
            return False
        own = self._shares.backlog(organisation)
        return self._shares.backlog(other) > LOUDER_FACTOR * own
