"""Bound what all entries together send to an endpoint that is cold.

An endpoint that has just started crashes under more than a few calls a
second, and entries know nothing of one another's calls. So each cold
endpoint gets calls from a few entries only. Every entry finds them by
itself, by hashing the names of all, and each sends at a pace at which the
sum stays within the bound.
"""

import msgspec
import xxhash

from .endpoints import Endpoint

# The span over which an entry counts its sends: a second, and what a send
# may be late by.
PACE_S = 1.05
# Entries that use an endpoint, as a share of the calls a second that it
# bears. The other half is for those that go by an older list of entries.
MEMBERS_SHARE = 0.5
# An older list counts for so long beside a newer one: until every entry in
# touch has the newer one, which takes 1.8 s.
SETTLE_S = 2.5
# Cold work takes about so many times as long as warm work.
COLD_SLOWDOWN = 2.0

# Processes whose members are remembered.
MOST_KNOWN = 4096

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class EntryGroup(msgspec.Struct, frozen=True, array_like=True):
    """List all entries, by availability zone, by digests of their names."""

    by_zone: dict[str, list[int]] = {}

    @property
    def digest(self) -> int:
        """Return the same number for the same entries."""
        return xxhash.xxh32_intdigest(_ENCODER.encode(self.by_zone))


def group_of(zones: dict[str, str]) -> EntryGroup:
    """Build the group of the entries whose names map to their zones."""
    by_zone: dict[str, list[int]] = {}
    for name, zone in zones.items():
        by_zone.setdefault(zone, []).append(entry_id(name))
    return EntryGroup({zone: sorted(ids) for zone, ids in by_zone.items()})


def entry_id(name: str) -> int:
    """Digest the name of an entry."""
    return xxhash.xxh32_intdigest(name.encode())


class View:
    """Hold a list of entries and what follows from it."""

    __slots__ = ("_group", "_members", "replaced_at")

    def __init__(self, group: EntryGroup) -> None:
        self._group = group
        # The entries that may use a process, in order.
        self._members: dict[tuple[str, int], list[int]] = {}
        self.replaced_at: float | None = None

    @property
    def group(self) -> EntryGroup:
        """Return the list."""
        return self._group

    def share(self, own: int, endpoint: Endpoint, most: int) -> int:
        """Return how many calls a second an entry may send to an endpoint."""
        wanted = max(1, int(most * MEMBERS_SHARE))
        members = self._members_of(endpoint, wanted)
        if own not in members:
            return 0
        each, over = divmod(wanted, len(members))
        return each + (members.index(own) < over)

    def _members_of(self, endpoint: Endpoint, wanted: int) -> list[int]:
        key = endpoint.address, endpoint.announcement.incarnation
        found = self._members.get(key)
        if found is None:
            if len(self._members) >= MOST_KNOWN:
                self._members.clear()
            found = self._members[key] = self._choose(endpoint, wanted)
        return found

    def _choose(self, endpoint: Endpoint, wanted: int) -> list[int]:
        """Choose by rendezvous hashing, first from the endpoint's zone.

        An entry more or less changes one member at most.
        """
        instance = endpoint.announcement.instance
        name = f"{instance} {endpoint.address}".encode()
        near = self._group.by_zone.get(endpoint.zone, [])
        found = sorted(near, key=lambda one: _rank(name, one))[:wanted]
        if len(found) == wanted:
            return found
        others: list[int] = []
        for zone, ids in self._group.by_zone.items():
            if zone != endpoint.zone:
                others += ids
        others.sort(key=lambda one: _rank(name, one))
        return found + others[: wanted - len(found)]


class WarmUps:
    """Know which cold endpoints this entry may use, and how often.

    ``name`` is the entry's; without one, as in a deployment of one entry,
    it may use all that the bound allows.
    """

    __slots__ = ("_overage", "_own", "_slack", "_views")

    def __init__(self, name: str | None = None) -> None:
        self._own = None if name is None else entry_id(name)
        self._overage = 1.0
        self._slack = 0.0
        # The newest list comes last.
        self._views = [View(EntryGroup())]

    @property
    def digest(self) -> int:
        """Return the digest of the newest list of entries."""
        return self._views[-1].group.digest

    @property
    def view_count(self) -> int:
        """Count the lists of entries that hold."""
        return len(self._views)

    def set_margin(self, overage: float, slack: float) -> None:
        """Take what an endpoint bears beyond the calls that it declares."""
        self._overage = overage
        self._slack = slack

    def most(self, per_s: float) -> int:
        """Return the calls that a cold endpoint bears in any second."""
        return max(1, int(per_s * self._overage + self._slack))

    def update_group(self, group: EntryGroup, now: float) -> None:
        """Take a newer list of entries."""
        if group.digest == self.digest:
            return
        self._forget(now)
        self._views[-1].replaced_at = now
        self._views.append(View(group))

    def share(self, endpoint: Endpoint, per_s: float, now: float) -> int:
        """Return how many calls a second this entry may send to an endpoint.

        Those that another entry may still go by count as well.
        """
        most = self.most(per_s)
        if self._own is None:
            return most
        self._forget(now)
        shares = [
            view.share(self._own, endpoint, most) for view in self._views
        ]
        return min(shares)

    def _forget(self, now: float) -> None:
        while self._views[0].replaced_at is not None:
            if now - self._views[0].replaced_at < SETTLE_S:
                return
            del self._views[0]


class WarmUpLimit:
    """Bound one service's calls to its cold endpoints.

    ``per_s`` is what the service declares; None: it has no bound.
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
        """Return whether a call may go to an endpoint now."""
        if self._per_s is None or not endpoint.is_cold(now):
            return True
        share = self._warm_ups.share(endpoint, self._per_s, now)
        return endpoint.sent_within(PACE_S, now) < share

    def excludes(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a cold endpoint is left to other entries."""
        if self._per_s is None or not endpoint.is_cold(now):
            return False
        return self._warm_ups.share(endpoint, self._per_s, now) == 0


def _rank(name: bytes, entry: int) -> int:
    return xxhash.xxh32_intdigest(name, entry)
