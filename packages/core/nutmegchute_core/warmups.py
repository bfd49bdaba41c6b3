"""Bound the rate of calls from all entries to a cold endpoint.

An endpoint that has just started crashes under more than a few calls a
second, and entries are not informed of one another's calls. So only a few
entries use each cold endpoint. Every entry determines them by hashing the
names of all entries, and each keeps to a rate at which the sum stays within
the bound.
"""

import msgspec
import xxhash

from .endpoints import Endpoint

# Span over which an entry counts its sends: a second and the delay that a send
# may have.
PACING_SPAN_S = 1.05
# Entries that use a cold endpoint, as a share of its bound in calls a second.
# The other half is left to entries that still use an older group.
MEMBERS_SHARE = 0.5
# How long a replaced group still counts: until every connected entry has the
# newer one, which takes 1.8 s.
SETTLE_S = 2.5
# Work time of a cold endpoint, as a multiple of that of a warm one.
COLD_SLOWDOWN = 2.0

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


class GroupView:
    """Hold a group and the members that may use each cold process."""

    __slots__ = ("_group", "_members", "replaced_at")

    def __init__(self, group: EntryGroup) -> None:
        self._group = group
        # Entries that may use a process, by rank.
        self._members: dict[tuple[str, int], list[int]] = {}
        self.replaced_at: float | None = None

    @property
    def group(self) -> EntryGroup:
        """Return the group of entries."""
        return self._group

    def share(self, own_id: int, endpoint: Endpoint, max_per_s: int) -> int:
        """Return the calls a second that an entry may send to an endpoint."""
        wanted = max(1, int(max_per_s * MEMBERS_SHARE))
        members = self._members_of(endpoint, wanted)
        if own_id not in members:
            return 0
        each, over = divmod(wanted, len(members))
        return each + (members.index(own_id) < over)

    def _members_of(self, endpoint: Endpoint, wanted: int) -> list[int]:
        key = endpoint.address, endpoint.announcement.incarnation
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


class WarmUps:
    """Decide which cold endpoints this entry may use, and at which rate.

    ``name`` is the entry's name. Without one, as in a deployment with a single
    entry, it may use the whole bound.
    """

    __slots__ = ("_overage", "_own_id", "_slack", "_views")

    def __init__(self, name: str | None = None) -> None:
        self._own_id = None if name is None else entry_id(name)
        self._overage = 1.0
        self._slack = 0.0
        # Groups in use, the newest last.
        self._views = [GroupView(EntryGroup())]

    @property
    def digest(self) -> int:
        """Return the digest of the newest group."""
        return self._views[-1].group.digest

    @property
    def group_count(self) -> int:
        """Return the number of groups in use."""
        return len(self._views)

    def set_margin(self, overage: float, slack: float) -> None:
        """Set the load that endpoints bear beyond the declared rate."""
        self._overage = overage
        self._slack = slack

    def max_per_s(self, per_s: float) -> int:
        """Return the calls that a cold endpoint bears in any second."""
        return max(1, int(per_s * self._overage + self._slack))

    def update_group(self, group: EntryGroup, now: float) -> None:
        """Replace the group by a newer one."""
        if group.digest == self.digest:
            return
        self._drop_replaced(now)
        self._views[-1].replaced_at = now
        self._views.append(GroupView(group))

    def share(self, endpoint: Endpoint, per_s: float, now: float) -> int:
        """Return the calls a second that this entry may send to an endpoint.

        This is the minimum over all groups that some entry may still use.
        """
        max_per_s = self.max_per_s(per_s)
        if self._own_id is None:
            return max_per_s
        self._drop_replaced(now)
        shares = [
            view.share(self._own_id, endpoint, max_per_s)
            for view in self._views
        ]
        return min(shares)

    def _drop_replaced(self, now: float) -> None:
        while self._views[0].replaced_at is not None:
            if now - self._views[0].replaced_at < SETTLE_S:
                return
            del self._views[0]


class WarmUpLimit:
    """Bound one service's calls to its cold endpoints.

    ``per_s`` is the rate that the service declares, or None without a bound.
    """

    __slots__ = ("_per_s", "_warm_ups")

    def __init__(self, warm_ups: WarmUps, per_s: float | None) -> None:
        self._warm_ups = warm_ups
        self._per_s = per_s

    @property
    def applies(self) -> bool:
        """Return whether the service has a bound."""
        return self._per_s is not None

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a call may be sent to an endpoint now."""
        if self._per_s is None or not endpoint.is_cold(now):
            return True
        share = self._warm_ups.share(endpoint, self._per_s, now)
        return endpoint.sent_within(PACING_SPAN_S, now) < share

    def excludes(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a cold endpoint is left to other entries."""
        if self._per_s is None or not endpoint.is_cold(now):
            return False
        return self._warm_ups.share(endpoint, self._per_s, now) == 0


def _rank(name: bytes, entry: int) -> int:
    return xxhash.xxh32_intdigest(name, entry)
