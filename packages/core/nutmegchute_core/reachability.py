"""Decide whether an entry has lost its links to all endpoints.

Single failures have many causes. Where endpoints of several zones fail at
once without a contact in between, a few others are queried over new
connections, and their answers decide.
"""

from collections.abc import Callable
from math import inf
from random import Random

from .members import Announcement

# Endpoints that fail without a contact in between before others are queried.
SUSPECT_AFTER = 2
# Age at which a failure no longer counts.
EVIDENCE_S = 3.0
# Endpoints queried in each round of a check; the entry is cut off if none of
# any round answers. The rounds take at most CHECK_TIMEOUT_S each.
ROUNDS = (1, 4)
CHECK_TIMEOUT_S = 0.3
# Pause after a check that found a link, doubled while checks follow.
CHECK_PAUSE_S = 0.3
MAX_CHECK_PAUSE_S = 0.6
# Time between two checks of whether the links are back, and the endpoints
# queried in each.
RECHECK_S = 0.25
RECHECK_SIZE = 2
# Time since the last answer after which endpoints that take connections and
# stay silent count as lost.
SILENT_S = 1.2
# How long after an answer on an open connection such connections are taken
# to work.
HEARD_S = 0.5

CONNECTED = "connected"
SUSPECTED = "suspected"
CUT_OFF = "cut off"

# Results of a query over a new connection: an answer, no connection, or a
# connection without an answer. A full endpoint may close new connections and
# answer on open ones.
ANSWERED = "answered"
UNCONNECTED = "unconnected"
SILENT = "silent"


# Returns whether an endpoint may be queried now: one that rests, limits its
# calls or leaves is not disturbed.
MayQuery = Callable[[Announcement, float], bool]


class LinkCheck:
    """Query an endpoint over a new connection."""

    __slots__ = ("endpoint", "path", "service")

    def __init__(self, service: str, endpoint: str, path: str) -> None:
        self.service = service
        self.endpoint = endpoint
        self.path = path


class LinkChange:
    """Report that the links to all endpoints were lost or are back.

    ``failed`` lists the endpoints whose failures led to it, ``age_s`` is the
    time since the last contact, None if there was none.
    """

    __slots__ = ("age_s", "failed", "is_cut_off")

    def __init__(
        self, is_cut_off: bool, failed: list[str], age_s: float | None
    ) -> None:
        self.is_cut_off = is_cut_off
        self.failed = failed
        self.age_s = age_s


class Reachability:
    """Track failures and contacts of one entry at all its endpoints."""

    __slots__ = (
        "_changes",
        "_check_at",
        "_contact_at",
        "_endpoints",
        "_failures",
        "_is_certain",
        "_is_due",
        "_may_query",
        "_new_failures",
        "_pause_s",
        "_paths",
        "_pending",
        "_queried",
        "_random",
        "_results",
        "_round",
        "_round_ends_at",
        "_state",
    )

    def __init__(self, random: Random, may_query: MayQuery) -> None:
        self._random = random
        self._may_query = may_query
        self._state = CONNECTED
        self._endpoints: dict[str, Announcement] = {}
        # Paths of load queries by service.
        self._paths: dict[str, str] = {}
        # When an endpoint last failed on a new connection, and otherwise.
        self._new_failures: dict[str, float] = {}
        self._failures: dict[str, float] = {}
        self._contact_at = -inf
        # Whether the last check found no connection at all.
        self._is_certain = False
        # Whether a check is due at _check_at.
        self._is_due = False
        self._check_at = -inf
        self._pause_s = CHECK_PAUSE_S
        self._round = 0
        self._round_ends_at = inf
        self._pending: set[str] = set()
        self._queried: set[str] = set()
        self._results: list[str] = []
        self._changes: list[LinkChange] = []

    @property
    def is_cut_off(self) -> bool:
        """Return whether no endpoint takes a new connection."""
        return self._state == CUT_OFF

    @property
    def is_certain(self) -> bool:
        """Return whether a call sent from here would find no connection.

        Otherwise endpoints took connections and did not answer in time.
        """
        return self._is_certain

    @property
    def is_suspected(self) -> bool:
        """Return whether a check is under way."""
        return self._state == SUSPECTED

    def is_doubtful(self, now: float) -> bool:
        """Return whether this entry may reach no endpoint."""
        return self._state != CONNECTED or self._has_evidence(now)

    @property
    def next_at(self) -> float | None:
        """Return when ``tick`` is due, in seconds, if ever."""
        if self._state == CONNECTED:
            return self._check_at if self._is_due else None
        if self._pending:
            return self._round_ends_at
        return self._check_at if self._state == CUT_OFF else None

    def heard_since(self, since: float) -> bool:
        """Return whether an endpoint has answered since a time."""
        return self._contact_at >= since

    def hears(self, now: float) -> bool:
        """Return whether an endpoint answered a moment ago."""
        return now - self._contact_at <= HEARD_S

    def pop_changes(self) -> list[LinkChange]:
        """Return and clear the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def update(
        self, announcements: list[Announcement], paths: dict[str, str]
    ) -> None:
        """Replace the live endpoints; ``paths`` are those of load queries."""
        self._paths = paths
        self._endpoints = {
            one.endpoint: one for one in announcements if one.service in paths
        }
        for failures in (self._failures, self._new_failures):
            for address in list(failures):
                if address not in self._endpoints:
                    del failures[address]

    def record_contact(self, is_new: bool, now: float) -> None:
        """Record an answer; ``is_new`` says that its connection was new.

        Open connections may outlive the loss of all links. Their answers
        say nothing about new ones.
        """
        self._contact_at = now
        self._failures.clear()
        self._is_due = False
        if not is_new:
            return
        self._new_failures.clear()
        if self._state != CONNECTED:
            self._connect(now)

    def record_failure(self, address: str, is_new: bool, now: float) -> bool:
        """Record a failed connection or a missing answer.

        Return whether a check is due.
        """
        if address not in self._endpoints:
            return False
        failures = self._new_failures if is_new else self._failures
        failures[address] = now
        if self._state != CONNECTED:
            return False
        self._is_due = self._has_evidence(now)
        return self._is_due and now >= self._check_at

    def begin_check(self, now: float) -> list[LinkCheck]:
        """Begin a check unless one is under way; return its first queries."""
        if self._state != CONNECTED or not self._endpoints:
            return []
        self._state = SUSPECTED
        self._is_due = False
        self._round = 0
        self._results = []
        self._queried = set()
        queries = self._begin_round(ROUNDS[0], now)
        if not queries:
            self._connect(now)
        return queries

    def record_check(
        self, address: str, result: str, now: float
    ) -> list[LinkCheck]:
        """Record the end of a query; return the next ones."""
        if result == ANSWERED:
            self.record_contact(True, now)
            return []
        if address not in self._pending:
            return []
        self._pending.discard(address)
        self._results.append(result)
        if self._pending:
            return []
        return self._end_round(now)

    def tick(self, now: float) -> list[LinkCheck]:
        """End an overdue round or begin the next check while cut off."""
        if self._pending:
            if now < self._round_ends_at:
                return []
            self._results.extend(SILENT for _ in self._pending)
            self._pending = set()
            return self._end_round(now)
        if now < self._check_at:
            return []
        if self._state == CONNECTED and self._is_due:
            self._is_due = False
            return self.begin_check(now) if self._has_evidence(now) else []
        if self._state != CUT_OFF:
            return []
        self._queried = set()
        self._results = []
        self._check_at = now + RECHECK_S
        return self._begin_round(RECHECK_SIZE, now)

    def _begin_round(self, size: int, now: float) -> list[LinkCheck]:
        chosen = self._choose(size, now)
        self._pending = {one.endpoint for one in chosen}
        self._queried |= self._pending
        self._round_ends_at = now + CHECK_TIMEOUT_S
        return [
            LinkCheck(one.service, one.endpoint, self._paths[one.service])
            for one in chosen
        ]

    def _end_round(self, now: float) -> list[LinkCheck]:
        if self._state == CUT_OFF:
            self._is_certain = SILENT not in self._results
            self._check_at = now + RECHECK_S
            return []
        if self._state != SUSPECTED:
            return []
        self._round += 1
        if self._round < len(ROUNDS):
            found = self._begin_round(ROUNDS[self._round], now)
            if found:
                return found
        self._is_certain = SILENT not in self._results
        if not self._is_certain and now - self._contact_at <= SILENT_S:
            # Full endpoints close new connections and answer on open ones;
            # busy ones answer late.
            self._connect(now)
            return []
        self._state = CUT_OFF
        self._check_at = now + RECHECK_S
        self._note_change(now)
        return []

    def _connect(self, now: float) -> None:
        was_cut_off = self._state == CUT_OFF
        if now > self._check_at + MAX_CHECK_PAUSE_S:
            self._pause_s = CHECK_PAUSE_S
        self._state = CONNECTED
        self._check_at = now + self._pause_s
        self._pause_s = min(MAX_CHECK_PAUSE_S, 2 * self._pause_s)
        self._pending = set()
        if was_cut_off:
            self._note_change(now)

    def _note_change(self, now: float) -> None:
        age_s = None
        if self._contact_at > -inf:
            age_s = now - self._contact_at
        failed = self._failed(now)
        self._changes.append(LinkChange(self.is_cut_off, failed, age_s))

    def _has_evidence(self, now: float) -> bool:
        needed = min(SUSPECT_AFTER, len(self._endpoints))
        return len(self._failed(now)) >= needed

    def _failed(self, now: float) -> list[str]:
        """Return the endpoints that failed since the last contact."""
        found = []
        for failures in (self._new_failures, self._failures):
            for address, at in failures.items():
                if now - at <= EVIDENCE_S and address not in found:
                    found.append(address)
        return found

    def _choose(self, size: int, now: float) -> list[Announcement]:
        """Choose endpoints spread over zones and services.

        Those that have failed come last: others tell more.
        """
        groups: dict[tuple[str, str], list[Announcement]] = {}
        for address, one in self._endpoints.items():
            if address not in self._queried and self._may_query(one, now):
                key = one.availability_zone, one.service
                groups.setdefault(key, []).append(one)
        ranked = []
        for members in groups.values():
            self._random.shuffle(members)
            members.sort(key=self._has_failed)
            for position, one in enumerate(members):
                ranked.append((self._has_failed(one), position, one))
        self._random.shuffle(ranked)
        ranked.sort(key=lambda found: found[:2])
        return [one for _, _, one in ranked[:size]]

    def _has_failed(self, one: Announcement) -> bool:
        address = one.endpoint
        return address in self._failures or address in self._new_failures
