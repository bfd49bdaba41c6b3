"""Know, on a control replica, which entries ask it and what they know."""

from collections.abc import Collection

import msgspec

from .directories import EntryInfo
from .directories import exclude_evacuated
from .evacuations import EvacuationUpdate
from .follow_protocol import FollowReply
from .histories import Delta
from .mirrors import NO_WATERMARK
from .mirrors import Watermark
from .quarantines import QuarantineUpdate
from .warmups import EntryGroup

# How long a question is held when there is nothing new. An entry asks one
# replica only, so this and the margin bound how long it goes on by old news
# after that replica froze: 1.4 s, where an endpoint that leaves and a change
# of the configuration allow 2 s.
WATCH_HOLD_S = 0.8
# An entry asks again once its question was answered; one that is late by
# this much is gone, frozen, cut off or asks another replica. It outlasts
# what the entry itself waits beyond the hold.
SESSION_MARGIN_S = 0.8
# Once answered it asks again within this time, or it has not got the answer:
# its link is full, or it is gone. A leaving is acknowledged within 0.8 s or
# not at all, and must not wait for that. Such an entry gives its question up
# 1.4 s after it asked and is told by another replica, while what was
# acknowledged binds it 2 s later.
ANSWERED_MARGIN_S = 0.5
# How long an entry counts among those that share the extra sends. Too high
# a count only leaves a part of the budget unused.
ENTRY_TTL_S = 60.0
# Fewer entries of a caller's availability zone than this are not named
# alone: all its callers would depend on one process.
MIN_ZONE_ENTRIES = 2


class ReplicaInfo(msgspec.Struct, frozen=True, array_like=True):
    """Name a control replica as entries reach it."""

    address: str
    availability_zone: str


class WatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a control replica for what an entry does not know yet.

    ``marks`` maps replicas' addresses to the epoch and generation held of
    their registries, ``index`` is that of the tree in force here,
    ``members`` that of the membership known. The answer may be held for
    ``hold_s`` seconds. ``calls_per_s`` is what the entry has to place,
    ``quarantine`` the index of the cases that it knows, ``evacuations`` that
    of the evacuated availability zones, ``group`` the digest of the list of
    entries that it has.
    """

    entry: EntryInfo
    watermarks: dict[str, Watermark]
    index: int
    members: int
    hold_s: float
    calls_per_s: float = 0.0
    quarantine: int = 0
    evacuations: int = 0
    group: int = 0


class WatchReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell an entry what is new.

    ``deltas`` maps replicas' addresses to what changed at each. ``current``
    says that this replica is in contact with the others; one that is not
    may know an old state only, gives no tree, and an entry asks another.
    ``replicas`` lists all replicas, None where nothing changed. ``silent``
    names those that the entry knows of and this replica does not hear.
    ``entries`` counts the entries of all replicas and ``calls_per_s`` adds
    up what they told; ``counted`` says that none of them is left out.
    ``quarantine`` lists the requests that crash endpoints, ``evacuations``
    the evacuated availability zones, ``group`` all entries, each where it is
    news.
    """

    deltas: dict[str, Delta]
    entries: int
    tree: FollowReply | None = None
    members: int = 0
    replicas: list[ReplicaInfo] | None = None
    unreachable: list[str] = []
    calls_per_s: float = 0.0
    current: bool = True
    counted: bool = True
    quarantine: QuarantineUpdate | None = None
    evacuations: EvacuationUpdate | None = None
    group: EntryGroup | None = None


class EntryState(msgspec.Struct, frozen=True, array_like=True):
    """Describe an entry and whether it asks the replica that says so."""

    info: EntryInfo
    is_connected: bool


class EntrySession:
    """Hold what one entry said last."""

    __slots__ = (
        "calls_per_s",
        "changed",
        "closed",
        "due_at",
        "requested_at",
        "held",
        "index",
        "watermarks",
        "info",
    )

    def __init__(self, info: EntryInfo) -> None:
        self.info = info
        self.watermarks: dict[str, Watermark] = {}
        self.index = 0
        self.requested_at = 0.0
        self.calls_per_s = 0.0
        # When it asks again at the latest.
        self.due_at = 0.0
        self.closed = True
        self.held = False
        # The generation of the sessions in which other replicas must hear
        # of this one anew.
        self.changed = 0

    def is_connected(self, now: float) -> bool:
        """Tell whether the entry is in touch."""
        return not self.closed and now <= self.due_at

    def has_seen(self, replica: str, watermark: Watermark) -> bool:
        """Tell whether the entry knows a generation of a registry."""
        epoch, generation = self.watermarks.get(replica, NO_WATERMARK)
        return epoch == watermark[0] and generation >= watermark[1]


class EntrySessions:
    """Record the entries that ask and what each has seen."""

    __slots__ = ("_generation", "_sessions")

    def __init__(self) -> None:
        self._generation = 1
        self._sessions: dict[str, EntrySession] = {}

    @property
    def generation(self) -> int:
        """Count the changes that other replicas are told, from 1."""
        return self._generation

    def record_request(
        self,
        info: EntryInfo,
        watermarks: dict[str, Watermark],
        index: int,
        hold_s: float,
        now: float,
        calls_per_s: float = 0.0,
    ) -> None:
        """Take an entry's question."""
        session = self._sessions.get(info.name)
        if session is None:
            session = self._sessions[info.name] = EntrySession(info)
        if session.closed or session.info != info:
            self._note(session)
        session.info = info
        session.watermarks = watermarks
        session.index = index
        session.requested_at = now
        session.due_at = now + hold_s + SESSION_MARGIN_S
        session.calls_per_s = calls_per_s
        session.closed = False
        session.held = True

    def record_answer(self, name: str, now: float) -> None:
        """Take word that an entry's question got its answer."""
        session = self._sessions.get(name)
        if session is not None:
            due_at = now + ANSWERED_MARGIN_S
            session.due_at = min(session.due_at, due_at)
            session.held = False

    def release(self, name: str) -> None:
        """Take word that an entry asks another replica.

        It is not waited for here any more, unless it has come back.
        """
        session = self._sessions.get(name)
        if session is not None and not session.held:
            self.close(name)

    def close(self, name: str) -> None:
        """Take word that an entry's connection ended."""
        session = self._sessions.get(name)
        if session is not None and not session.closed:
            session.closed = True
            self._note(session)

    def expire(self, now: float) -> bool:
        """Close the sessions of entries that are late; tell if any was."""
        before = self._generation
        for name, session in list(self._sessions.items()):
            if not session.is_connected(now):
                self.close(name)
            if now - session.requested_at > ENTRY_TTL_S:
                del self._sessions[name]
        return self._generation != before

    def since(self, generation: int) -> list[EntryState]:
        """List the entries that changed since a generation."""
        found = []
        for session in self._sessions.values():
            if session.changed > generation:
                found.append(EntryState(session.info, not session.closed))
        return found

    def unconfirmed(
        self, replica: str, watermark: Watermark, now: float
    ) -> list[str]:
        """Name the entries in touch that have not seen a generation."""
        found = []
        for name, session in self._sessions.items():
            if session.is_connected(now) and not session.has_seen(
                replica, watermark
            ):
                found.append(name)
        return found

    def applied(self, now: float) -> dict[str, int]:
        """Map the entries in touch to the tree each has in force."""
        found = {}
        for name, session in self._sessions.items():
            if session.is_connected(now):
                found[name] = session.index
        return found

    def names(self, now: float) -> set[str]:
        """Name the entries heard of lately, rather too many than too few."""
        found = set()
        for name, session in self._sessions.items():
            if now - session.requested_at <= ENTRY_TTL_S:
                found.add(name)
        return found

    def zones(self, now: float) -> dict[str, str]:
        """Map the entries heard of lately to their availability zones."""
        found = {}
        for name, session in self._sessions.items():
            if now - session.requested_at <= ENTRY_TTL_S:
                found[name] = session.info.availability_zone
        return found

    def calls_per_s(self, now: float) -> float:
        """Add up what the entries in touch have to place."""
        total = 0.0
        for session in self._sessions.values():
            if session.is_connected(now):
                total += session.calls_per_s
        return total

    def any_connected(self, now: float) -> bool:
        """Tell whether any entry is in touch."""
        return any(one.is_connected(now) for one in self._sessions.values())

    def connected_entries(self, now: float) -> list[EntryInfo]:
        """List the entries in touch."""
        found = []
        for session in self._sessions.values():
            if session.is_connected(now):
                found.append(session.info)
        return found

    def _note(self, session: EntrySession) -> None:
        self._generation += 1
        session.changed = self._generation


def choose_entries(
    words: list[EntryInfo],
    zone: str | None,
    most: int,
    turn: int,
    evacuated: Collection[str] = (),
) -> list[str]:
    """Return the addresses that a caller in a zone should use.

    Where there are more than ``most``, each turn begins with another one.
    """
    near: list[str] = []
    others: list[str] = []
    staying = [info for info in words if not info.draining]
    for info in exclude_evacuated(staying, evacuated):
        same = info.availability_zone == zone
        (near if same else others).append(info.address)
    if len(near) >= MIN_ZONE_ENTRIES:
        return _some(near, most, turn)
    return [*near, *_some(others, most - len(near), turn)]


def _some(addresses: list[str], most: int, turn: int) -> list[str]:
    if len(addresses) <= most:
        return addresses
    start = turn * most % len(addresses)
    return (addresses[start:] + addresses[:start])[:most]
