"""Choose a few entries for each process that few entries may call.

Entries are not informed of one another's calls. Where a bound holds for the
calls of all entries to a process, only a few entries call it: every entry
determines them by hashing the names of all entries.
"""

import msgspec
import xxhash

from .endpoints import Endpoint
from .members import ProcessKey

# How long a replaced group still counts: until every connected entry has the
# newer one, which takes 1.8 s.
SETTLE_S = 2.5

# Processes whose members are cached.
MAX_CACHED = 4096

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class EntryGroup(msgspec.Struct, frozen=True, array_like=True):
    """List all entries by availability zone, as hashes of their names."""

    by_zone: dict[str, list[int]] = {}

    @property
    def digest(self) -> int:
        """Return a hash that is equal for the same entries."""
        return xxhash.xxh32_intdigest(_ENCODER.encode(self.by_zone))


def group_of(zones: dict[str, str]) -> EntryGroup:
    """Build a group from a mapping of entry names to zones."""
    by_zone: dict[str, list[int]] = {}
    for name, zone in zones.items():
        by_zone.setdefault(zone, []).append(entry_id(name))
    return EntryGroup({zone: sorted(ids) for zone, ids in by_zone.items()})


def entry_id(name: str) -> int:
    """Return the hash of an entry's name."""
    return xxhash.xxh32_intdigest(name.encode())


class Membership:
    """Hold an entry's rank among the members that may call a process."""

    __slots__ = ("count", "rank")

    def __init__(self, rank: int, count: int) -> None:
        self.rank = rank
        self.count = count


class GroupView:
    """Hold a group and the members that may call each process."""

    __slots__ = ("_group", "_members", "replaced_at")

    def __init__(self, group: EntryGroup) -> None:
        self._group = group
        # Entries that may call a process, by rank.
        self._members: dict[tuple[ProcessKey, int], list[int]] = {}
        self.replaced_at: float | None = None

    @property
    def group(self) -> EntryGroup:
        """Return the group of entries."""
        return self._group

    def find(
        self, entry: int, endpoint: Endpoint, wanted: int
    ) -> Membership | None:
        """Return an entry's membership among ``wanted`` members, if any."""
        members = self._members_of(endpoint, wanted)
        if entry not in members:
            return None
        return Membership(members.index(entry), len(members))

    def _members_of(self, endpoint: Endpoint, wanted: int) -> list[int]:
        key = endpoint.announcement.process_key, wanted
        found = self._members.get(key)
        if found is None:
            if len(self._members) >= MAX_CACHED:
                self._members.clear()
            found = self._members[key] = self._choose(endpoint, wanted)
        return found

    def _choose(self, endpoint: Endpoint, wanted: int) -> list[int]:
        """Choose members by rendezvous hashing, the endpoint's zone first.

        Adding or removing an entry changes at most one member.
        """
        instance = endpoint.announcement.instance
        name = f"{instance} {endpoint.address}".encode()
        local = self._group.by_zone.get(endpoint.zone, [])
        found = sorted(local, key=lambda one: _rank(name, one))[:wanted]
        if len(found) == wanted:
            return found
        remote: list[int] = []
        for zone, ids in self._group.by_zone.items():
            if zone != endpoint.zone:
                remote += ids
        remote.sort(key=lambda one: _rank(name, one))
        return found + remote[: wanted - len(found)]


class EntryGroups:
    """Hold the groups of entries that some entry may still use.

    ``name`` is this entry's name. Without one, as in a deployment with a
    single entry, it is the only member for every process.
    """

    __slots__ = ("_own_id", "_views")

    def __init__(self, name: str | None = None) -> None:
        self._own_id = None if name is None else entry_id(name)
        # Groups in use, the newest last.
        self._views = [GroupView(EntryGroup())]

    @property
    def is_single(self) -> bool:
        """Return whether this entry is the only one."""
        return self._own_id is None

    @property
    def digest(self) -> int:
        """Return the digest of the newest group."""
        return self._views[-1].group.digest

    @property
    def count(self) -> int:
        """Return the number of groups in use."""
        return len(self._views)

    def update(self, group: EntryGroup, now: float) -> None:
        """Replace the group by a newer one."""
        if group.digest == self.digest:
            return
        self._drop_replaced(now)
        self._views[-1].replaced_at = now
        self._views.append(GroupView(group))

    def find(
        self, endpoint: Endpoint, wanted: int, now: float
    ) -> list[Membership]:
        """Return this entry's membership in each group in use.

        The list is empty if this entry is no member in one of the groups.
        """
        if self._own_id is None:
            return [Membership(0, 1)]
        self._drop_replaced(now)
        found = []
        for view in self._views:
            membership = view.find(self._own_id, endpoint, wanted)
            if membership is None:
                return []
            found.append(membership)
        return found

    def _drop_replaced(self, now: float) -> None:
        while self._views[0].replaced_at is not None:
            if now - self._views[0].replaced_at < SETTLE_S:
                return
            del self._views[0]


def _rank(name: bytes, entry: int) -> int:
    return xxhash.xxh32_intdigest(name, entry)
