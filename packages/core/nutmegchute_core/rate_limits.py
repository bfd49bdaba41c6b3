"""Keep this entry's part of the rate limits that endpoints name.

A limit holds for the calls of all entries together, and entries are not
informed of one another's calls. So only a few entries call a limited
endpoint, and each keeps to an equal part of its limit. The few are chosen by
hashing, as those that warm up a cold endpoint are.
"""

from math import inf

from .endpoints import Endpoint
from .entry_groups import EntryGroups
from .entry_groups import Membership
from .limit_boards import LimitBoard
from .limit_boards import LimitReport
from .limit_boards import LimitUpdate
from .members import ProcessKey
from .notices import Notice

# Entries that call a limited endpoint: this many, and more by its limit. Each
# may send one call at any moment, so the more there are, the larger the burst
# that an endpoint may get; the fewer, the more of a limit is left unused by
# entries without a call.
MIN_MEMBERS = 2
MEMBERS_PER_LIMIT = 1.5
# Load queries keep up this rate, over all entries, at an endpoint with a lower
# limit: without an answer no entry would learn that the limit has ended. Calls
# do where answers to load queries do not name limits.
MIN_CONTACTS_PER_S = 0.5
# Lowest rate of calls, over all entries, to an endpoint that takes none.
MIN_CALLS_PER_S = 0.1
# Age of an endpoint's last answer here after which the next call prefers it,
# so that the end of its limit is noticed.
MAX_SILENCE_S = 1.0

# Where a limit was learned.
BY_ANSWER = "answer"
BY_QUERY = "load query"
BY_OTHERS = "other entries"


class LimitChange:
    """Hold a limit that appeared, changed or ended, for log and reports."""

    __slots__ = ("report", "source")

    def __init__(self, report: LimitReport, source: str) -> None:
        self.report = report
        self.source = source


class Pace:
    """Hold when this entry last called and last contacted a process.

    Before the first call, these are times at which the first one is due in
    turn with those of the other members: all learn of a limit at once.
    """

    __slots__ = ("called_at", "contacted_at")

    def __init__(self, called_at: float, contacted_at: float) -> None:
        self.called_at = called_at
        self.contacted_at = contacted_at


class RateLimits:
    """Decide when this entry may call endpoints that named a limit."""

    __slots__ = (
        "_board",
        "_changes",
        "_groups",
        "_paces",
        "_told_by_query",
        "_untold_by_query",
    )

    def __init__(self, groups: EntryGroups, epoch: int = 0) -> None:
        self._groups = groups
        self._board = LimitBoard(epoch)
        self._paces: dict[ProcessKey, Pace] = {}
        # Processes whose answers to load queries name limits: only at these
        # does such an answer without a limit show that it has ended.
        self._told_by_query: set[ProcessKey] = set()
        # Limited processes that answered a load query without naming it.
        self._untold_by_query: set[ProcessKey] = set()
        self._changes: list[LimitChange] = []

    @property
    def board(self) -> LimitBoard:
        """Return the limits known to this entry."""
        return self._board

    def pop_changes(self) -> list[LimitChange]:
        """Return and clear the changes since the last time."""
        changes, self._changes = self._changes, []
        return changes

    def record(self, notice: Notice, now: float) -> bool:
        """Record what an answer named; return whether it is a change."""
        key = notice.process
        if notice.to_query:
            if notice.rate_limit is not None:
                self._told_by_query.add(key)
            elif key not in self._told_by_query:
                self._note_untold(key)
                return False
        observed_at = now
        if self._is_relaxed(notice):
            # An answer may be read long after it was given, as by an entry
            # that was frozen. Only one to a request sent since the stricter
            # limit became known is surely newer.
            observed_at = notice.sent_at
        if not self._board.record(key, notice.rate_limit, observed_at, True):
            return False
        source = BY_QUERY if notice.to_query else BY_ANSWER
        report = LimitReport(*key, notice.rate_limit, now - observed_at)
        self._note_change(report, source)
        return True

    def apply(self, update: LimitUpdate, now: float) -> bool:
        """Apply limits known to others; return whether any is a change."""
        changed = self._board.apply(update.reports, now, False)
        for report in changed:
            self._note_change(report, BY_OTHERS)
        return bool(changed)

    def retain(self, processes: set[ProcessKey], now: float) -> None:
        """Forget the pace of processes that are gone, and expired limits."""
        self._board.expire(now)
        for key in list(self._paces):
            if key not in processes:
                del self._paces[key]
        self._told_by_query &= processes
        self._untold_by_query &= processes

    def is_limited(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's limit holds."""
        return self.limit_of(endpoint) is not None

    def begin(self, endpoint: Endpoint, now: float) -> bool:
        """Begin to pace an endpoint's calls; return whether it is limited."""
        limit = self.limit_of(endpoint)
        if limit is None:
            return False
        self._pace_of(endpoint, limit, now)
        return True

    def limit_of(self, endpoint: Endpoint) -> float | None:
        """Return the calls a second that an endpoint takes, if limited."""
        if not self._board:
            return None
        record = self._board.find(endpoint.announcement.process_key)
        return None if record is None else record.per_s

    def call_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when a call may be sent to an endpoint, at the earliest.

        This is infinite for an endpoint that is left to other entries.
        """
        limit = self.limit_of(endpoint)
        if limit is None:
            return now
        pace = self._pace_of(endpoint, limit, now)
        gap_s = self._call_gap_s(endpoint, limit, now)
        return max(
            pace.called_at + gap_s, self._contact_at(endpoint, limit, now)
        )

    def query_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when a load query may be sent to an endpoint."""
        limit = self.limit_of(endpoint)
        if limit is None:
            return now
        return self._contact_at(endpoint, limit, now)

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a call may be sent to an endpoint now."""
        return self.call_at(endpoint, now) <= now

    def rate(self, endpoint: Endpoint, now: float) -> float:
        """Return this entry's part of a limit, in calls a second."""
        limit = self.limit_of(endpoint)
        if limit is None:
            return inf
        return 1.0 / self._call_gap_s(endpoint, limit, now)

    def is_silent(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether no answer of an endpoint has come here lately."""
        record = self._board.find(endpoint.announcement.process_key)
        return record is None or now - record.observed_at > MAX_SILENCE_S

    def needs_query(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether only a load query may show the end of a limit."""
        limit = self.limit_of(endpoint)
        if limit is None or limit >= MIN_CONTACTS_PER_S:
            return False
        return (
            self.query_at(endpoint, now) <= now < self.call_at(endpoint, now)
        )

    def count_call(self, endpoint: Endpoint, now: float) -> None:
        """Count a call that is sent to an endpoint."""
        limit = self.limit_of(endpoint)
        if limit is not None:
            pace = self._pace_of(endpoint, limit, now)
            pace.called_at = pace.contacted_at = now

    def count_query(self, endpoint: Endpoint, now: float) -> None:
        """Count a load query that is sent to an endpoint."""
        limit = self.limit_of(endpoint)
        if limit is not None:
            self._pace_of(endpoint, limit, now).contacted_at = now

    def _contact_at(
        self, endpoint: Endpoint, limit: float, now: float
    ) -> float:
        pace = self._pace_of(endpoint, limit, now)
        return pace.contacted_at + self._contact_gap_s(endpoint, limit, now)

    def _call_gap_s(
        self, endpoint: Endpoint, limit: float, now: float
    ) -> float:
        """Return the time between two calls of this entry, in seconds."""
        key = endpoint.announcement.process_key
        if key in self._untold_by_query and key not in self._told_by_query:
            return self._contact_gap_s(endpoint, limit, now)
        return self._gap_s(endpoint, limit, MIN_CALLS_PER_S, now)

    def _contact_gap_s(
        self, endpoint: Endpoint, limit: float, now: float
    ) -> float:
        """Return the time between two calls or queries, in seconds."""
        return self._gap_s(endpoint, limit, MIN_CONTACTS_PER_S, now)

    def _gap_s(
        self, endpoint: Endpoint, limit: float, min_per_s: float, now: float
    ) -> float:
        memberships = self._memberships(endpoint, limit, now)
        count = max((one.count for one in memberships), default=inf)
        return count / max(limit, min_per_s)

    def _memberships(
        self, endpoint: Endpoint, limit: float, now: float
    ) -> list[Membership]:
        wanted = MIN_MEMBERS + int(MEMBERS_PER_LIMIT * limit)
        return self._groups.find(endpoint, wanted, now)

    def _pace_of(self, endpoint: Endpoint, limit: float, now: float) -> Pace:
        key = endpoint.announcement.process_key
        pace = self._paces.get(key)
        if pace is None:
            pace = self._begin_pace(endpoint, limit, now)
            self._paces[key] = pace
        return pace

    def _begin_pace(
        self, endpoint: Endpoint, limit: float, now: float
    ) -> Pace:
        memberships = self._memberships(endpoint, limit, now)
        if not memberships:
            return Pace(now, now)
        newest = memberships[-1]
        turns_ahead = (newest.rank + 1) / newest.count
        call_gap_s = self._call_gap_s(endpoint, limit, now)
        contact_gap_s = self._contact_gap_s(endpoint, limit, now)
        return Pace(
            now - call_gap_s * (1.0 - turns_ahead),
            now - contact_gap_s * (1.0 - turns_ahead),
        )

    def _note_untold(self, key: ProcessKey) -> None:
        known = self._board.find(key)
        if known is not None and known.per_s is not None:
            self._untold_by_query.add(key)

    def _is_relaxed(self, notice: Notice) -> bool:
        """Return whether an answer allows more than the known limit."""
        known = self._board.find(notice.process)
        if known is None or known.per_s is None:
            return False
        return notice.rate_limit is None or notice.rate_limit > known.per_s

    def _note_change(self, report: LimitReport, source: str) -> None:
        if report.per_s is None:
            self._paces.pop(report.process_key, None)
            self._untold_by_query.discard(report.process_key)
        self._changes.append(LimitChange(report, source))
