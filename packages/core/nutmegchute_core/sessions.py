"""Track the entries that watch a control replica and what each holds."""

from collections.abc import Collection

import msgspec

from .directories import EntryInfo
from .directories import exclude_cut_off
from .directories import exclude_evacuated
from .entry_groups import EntryGroup
from .evacuations import EvacuationUpdate
from .follow_protocol import FollowReply
from .histories import Delta
from .limit_boards import LimitUpdate
from .mirrors import NO_WATERMARK
from .mirrors import Watermark
from .quarantines import QuarantineUpdate
from .transfers import Offer

# How long a watch is held while nothing changes. An entry watches one replica
# only, so this and the entry's margin bound how long it uses stale data after
# that replica freezes: 1.4 s, where drains and configuration changes allow
# 2 s.
WATCH_HOLD_S = 0.8
# How long after the hold a session without a new request expires. The entry
# is then gone, frozen, partitioned or watching another replica. Longer than
# the entry itself waits beyond the hold.
SESSION_MARGIN_S = 0.8
# How long after a reply a session without a new request expires. The entry is
# gone, or its saturated link delays the reply. A drain is acknowledged within
# 0.8 s or not at all, and must not wait for such an entry. The entry times out
# 1.4 s after its request and watches another replica; an acknowledged drain
# binds it only after 2 s.
ANSWERED_MARGIN_S = 0.5
# How long after its last request an entry counts among those that share the
# budget of extra sends. Too high a count only leaves some of it unused.
ENTRY_TTL_S = 60.0
# Fewest entries of a caller's availability zone that are returned alone: with
# fewer, all callers of the zone would depend on one process.
MIN_ZONE_ENTRIES = 2


class ReplicaInfo(msgspec.Struct, frozen=True, array_like=True):
    """Describe a control replica as entries reach it."""

    address: str
    availability_zone: str


class WatchRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request from a control replica what an entry lacks.

    ``watermarks`` maps replica addresses to the epoch and generation
    received of their registries. ``index``, ``members``, ``quarantine`` and
    ``evacuations`` are the indexes of the tree in force at the entry, of
    the replicas' membership, of the quarantine cases and of the evacuated
    availability zones that it holds; ``group`` is the digest of its list of
    entries. The reply may be held for ``hold_s`` seconds. ``calls_per_s`` is
    the rate of calls that the entry receives. ``limits`` is the watermark of
    the replica's board of rate limits that the entry holds, None from an
    entry that does not know of limits. ``helpers`` is the digest of its
    helpers, None from an entry that does not know of them. ``fetching``
    says whether it fetches an offered tree, None from an entry that does not
    know of offers.
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
    limits: Watermark | None = None
    helpers: int | None = None
    fetching: bool | None = None


class WatchReply(msgspec.Struct, frozen=True, array_like=True):
    """Carry the changes that an entry lacks.

    ``deltas`` maps replica addresses to the changes of their registries.
    ``current`` says that this replica is in contact with a majority; if
    not, its state may be stale, it sends no tree, and the entry watches
    another. ``replicas`` lists all replicas, None if unchanged.
    ``unreachable`` lists the replicas in the entry's watermarks that do not
    respond to this one. ``entries`` counts the entries of all replicas,
    ``calls_per_s`` is the sum of the rates that they report, and ``counted``
    says that both are complete. ``quarantine`` lists the requests that crash
    endpoints, ``evacuations`` the evacuated availability zones, ``group``
    all entries, ``limits`` the rate limits of endpoints, ``helpers`` the
    entries that serve this one's calls while it is cut off; each is None if
    unchanged. ``offer`` replaces a tree that is too long for a reply.
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
    limits: LimitUpdate | None = None
    helpers: list[EntryInfo] | None = None
    offer: Offer | None = None


class EntryState(msgspec.Struct, frozen=True, array_like=True):
    """Describe an entry and whether it watches the sending replica."""

    info: EntryInfo
    is_connected: bool


class EntrySession:
    """Hold the last request of one entry."""

    __slots__ = (
        "calls_per_s",
        "changed",
        "closed",
        "due_at",
        "held",
        "index",
        "info",
        "requested_at",
        "watermarks",
    )

    def __init__(self, info: EntryInfo) -> None:
        self.info = info
        self.watermarks: dict[str, Watermark] = {}
        self.index = 0
        self.requested_at = 0.0
        self.calls_per_s = 0.0
        # Deadline of the next request.
        self.due_at = 0.0
        self.closed = True
        self.held = False
        # Generation of the sessions that last changed this one; replicas
        # that hold an earlier generation receive it again.
        self.changed = 0

    def is_connected(self, now: float) -> bool:
        """Return whether the session is open and its deadline not passed."""
        return not self.closed and now <= self.due_at

    def has_received(self, replica: str, watermark: Watermark) -> bool:
        """Return whether the entry holds a generation of a registry."""
        epoch, generation = self.watermarks.get(replica, NO_WATERMARK)
        return epoch == watermark[0] and generation >= watermark[1]


class EntrySessions:
    """Track the sessions of all entries that watch this replica."""

    __slots__ = ("_generation", "_sessions")

    def __init__(self) -> None:
        self._generation = 1
        self._sessions: dict[str, EntrySession] = {}

    @property
    def generation(self) -> int:
        """Return the generation, which counts session changes from 1."""
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
        """Record a watch request; open the entry's session if need be."""
        session = self._sessions.get(info.name)
        if session is None:
            session = self._sessions[info.name] = EntrySession(info)
        if session.closed or session.info != info:
            self._mark_changed(session)
        session.info = info
        session.watermarks = watermarks
        session.index = index
        session.requested_at = now
        session.due_at = now + hold_s + SESSION_MARGIN_S
        session.calls_per_s = calls_per_s
        session.closed = False
        session.held = True

    def record_answer(self, name: str, now: float) -> None:
        """Record that an entry's watch was replied to."""
        session = self._sessions.get(name)
        if session is not None:
            due_at = now + ANSWERED_MARGIN_S
            session.due_at = min(session.due_at, due_at)
            session.held = False

    def release(self, name: str) -> None:
        """Close the session of an entry that watches another replica.

        A session with a held watch stays open: the entry has returned.
        """
        session = self._sessions.get(name)
        if session is not None and not session.held:
            self.close(name)

    def close(self, name: str) -> None:
        """Close the session of an entry whose connection ended."""
        session = self._sessions.get(name)
        if session is not None and not session.closed:
            session.closed = True
            self._mark_changed(session)

    def expire(self, now: float) -> bool:
        """Close overdue sessions; return whether any was closed."""
        before = self._generation
        for name, session in list(self._sessions.items()):
            if not session.is_connected(now):
                self.close(name)
            if now - session.requested_at > ENTRY_TTL_S:
                del self._sessions[name]
        return self._generation != before

    def since(self, generation: int) -> list[EntryState]:
        """Return the entries whose session changed since a generation."""
        found = []
        for session in self._sessions.values():
            if session.changed > generation:
                found.append(EntryState(session.info, not session.closed))
        return found

    def unconfirmed(
        self, replica: str, watermark: Watermark, now: float
    ) -> list[str]:
        """Return connected entries that lack a generation of a registry."""
        found = []
        for name, session in self._sessions.items():
            if session.is_connected(now) and not session.has_received(
                replica, watermark
            ):
                found.append(name)
        return found

    def applied(self, now: float) -> dict[str, int]:
        """Return the index of the tree that each connected entry applies."""
        found = {}
        for name, session in self._sessions.items():
            if session.is_connected(now):
                found[name] = session.index
        return found

    def names(self, now: float) -> set[str]:
        """Return the entries seen within ENTRY_TTL_S, connected or not."""
        found = set()
        for name, session in self._sessions.items():
            if now - session.requested_at <= ENTRY_TTL_S:
                found.add(name)
        return found

    def zones(self, now: float) -> dict[str, str]:
        """Return the zones of the entries seen within ENTRY_TTL_S."""
        found = {}
        for name, session in self._sessions.items():
            if now - session.requested_at <= ENTRY_TTL_S:
                found[name] = session.info.availability_zone
        return found

    def calls_per_s(self, now: float) -> float:
        """Return the calls per second reported by connected entries."""
        total = 0.0
        for session in self._sessions.values():
            if session.is_connected(now):
                total += session.calls_per_s
        return total

    def any_connected(self, now: float) -> bool:
        """Return whether any entry is connected."""
        return any(one.is_connected(now) for one in self._sessions.values())

    def connected_entries(self, now: float) -> list[EntryInfo]:
        """Return the connected entries."""
        found = []
        for session in self._sessions.values():
            if session.is_connected(now):
                found.append(session.info)
        return found

    def _mark_changed(self, session: EntrySession) -> None:
        self._generation += 1
        session.changed = self._generation


def choose_entries(
    infos: list[EntryInfo],
    zone: str | None,
    limit: int,
    rotation: int,
    evacuated: Collection[str] = (),
) -> list[str]:
    """Return up to ``limit`` entry addresses for a caller in a zone.

    If there are more, successive ``rotation`` values start at later ones.
    """
    near: list[str] = []
    others: list[str] = []
    remaining = [info for info in infos if not info.draining]
    remaining = exclude_cut_off(remaining)
    for info in exclude_evacuated(remaining, evacuated):
        same = info.availability_zone == zone
        (near if same else others).append(info.address)
    if len(near) >= MIN_ZONE_ENTRIES:
        return _rotate(near, limit, rotation)
    return [*near, *_rotate(others, limit - len(near), rotation)]


def _rotate(addresses: list[str], limit: int, rotation: int) -> list[str]:
    if len(addresses) <= limit:
        return addresses
    start = rotation * limit % len(addresses)
    return (addresses[start:] + addresses[:start])[:limit]
