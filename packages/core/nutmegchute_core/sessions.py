"""Know, on a control replica, which entries ask it and what they know."""

import msgspec

from .directories import EntryWord
from .fleets import FollowReply
from .registries import Delta

# How long a question is held when there is nothing new: an entry and a
# replica at rest exchange one pair of messages in that time. Within an
# availability zone bytes cost nothing and a silent connection is found soon;
# between zones they are dear, and half a second more is lost with each.
WATCH_NEAR_S = 1.0
WATCH_FAR_S = 3.0
# An entry asks again once its question was answered; one that is late by
# this much is gone, frozen or cut off.
SESSION_MARGIN_S = 0.5
# How long an entry counts among those that share the extra sends. Too high
# a count only leaves a part of the budget unused.
COUNTED_S = 60.0
# Fewer entries of a caller's availability zone than this are not named
# alone: all its callers would depend on one process.
LEAST_OF_ZONE = 2


class WatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask a control replica for what an entry does not know yet.

    ``epoch`` and ``generation`` are those held of the replica's registry,
    ``index`` that of the tree in force here, ``members`` that of the
    membership known. The answer may be held for ``hold_s`` seconds.
    ``calls_per_s`` is what the entry has to place.
    """

    entry: EntryWord
    epoch: int
    generation: int
    index: int
    members: int
    hold_s: float
    calls_per_s: float = 0.0


class WatchReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell an entry what is new.

    ``tree`` is None where nothing is newer, or where this replica has no
    contact with a majority and may know an old tree only. ``replicas``
    lists the gRPC addresses of all replicas, None where nothing changed.
    ``zone`` is the replica's own. ``calls_per_s`` adds up what entries told.
    """

    delta: Delta | None
    entries: int
    tree: FollowReply | None = None
    members: int = 0
    replicas: list[str] | None = None
    zone: str = ""
    calls_per_s: float = 0.0


class EntrySession:
    """Hold what one entry said last."""

    __slots__ = (
        "calls_per_s",
        "closed",
        "due_at",
        "generation",
        "heard_at",
        "index",
        "word",
    )

    def __init__(self, word: EntryWord) -> None:
        self.word = word
        self.generation = 0
        self.index = 0
        self.heard_at = 0.0
        self.calls_per_s = 0.0
        # When it asks again at the latest.
        self.due_at = 0.0
        self.closed = False


class EntrySessions:
    """Record the entries that ask and which generation each has seen."""

    __slots__ = ("_sessions",)

    def __init__(self) -> None:
        self._sessions: dict[str, EntrySession] = {}

    def hear(
        self,
        word: EntryWord,
        generation: int,
        index: int,
        hold_s: float,
        now: float,
        calls_per_s: float = 0.0,
    ) -> None:
        """Take an entry's word; ``generation`` is 0 for another epoch."""
        session = self._sessions.get(word.name)
        if session is None:
            session = self._sessions[word.name] = EntrySession(word)
        session.word = word
        session.generation = generation
        session.index = index
        session.heard_at = now
        session.due_at = now + hold_s + SESSION_MARGIN_S
        session.calls_per_s = calls_per_s
        session.closed = False

    def answered(self, name: str, now: float) -> None:
        """Take word that an entry's question got its answer."""
        session = self._sessions.get(name)
        if session is not None:
            due_at = now + SESSION_MARGIN_S
            session.due_at = min(session.due_at, due_at)

    def close(self, name: str) -> None:
        """Take word that an entry's connection ended."""
        session = self._sessions.get(name)
        if session is not None:
            session.closed = True

    def behind(self, generation: int, now: float) -> list[str]:
        """Name the entries in touch that have not seen a generation."""
        found = []
        for name, session in self._sessions.items():
            if session.closed or now > session.due_at:
                continue
            if session.generation < generation:
                found.append(name)
        return found

    def applied(self, now: float) -> dict[str, int]:
        """Map the entries in touch to the tree each has in force."""
        found = {}
        for name, session in self._sessions.items():
            if not session.closed and now <= session.due_at:
                found[name] = session.index
        return found

    def count(self, now: float) -> int:
        """Count the entries heard of lately, rather too many than too few."""
        for name, session in list(self._sessions.items()):
            if now - session.heard_at > COUNTED_S:
                del self._sessions[name]
        return len(self._sessions)

    def calls_per_s(self, now: float) -> float:
        """Add up what the entries heard of lately have to place."""
        self.count(now)
        return sum(one.calls_per_s for one in self._sessions.values())

    def any_open(self, now: float) -> bool:
        """Tell whether any entry is in touch."""
        for session in self._sessions.values():
            if not session.closed and now <= session.due_at:
                return True
        return False

    def usable(self, zone: str | None, most: int, now: float) -> list[str]:
        """Return the addresses that a caller in a zone should use."""
        near: list[str] = []
        others: list[str] = []
        for session in self._sessions.values():
            word = session.word
            if word.draining or session.closed:
                continue
            if now > session.due_at:
                continue
            (near if word.availability_zone == zone else others).append(
                word.address
            )
        if len(near) >= LEAST_OF_ZONE:
            return near[:most]
        return (near + others)[:most]
