"""Know which endpoints live: leases by announcement, spread by gossip."""

import msgspec

UP = "up"
DRAINING = "draining"

LEASE_S = 3.0


class Announcement(msgspec.Struct, frozen=True):
    """Say that an endpoint lives, and in which state.

    ``incarnation`` rises at every start of the endpoint, so that words
    about an earlier process at the same address lose against newer ones.
    """

    service: str
    endpoint: str
    availability_zone: str
    slots: int
    incarnation: int
    state: str = UP


class Vouch(msgspec.Struct, frozen=True):
    """Pass on the announcement one entry took, with its age."""

    announcement: Announcement
    age_s: float


class Gossip(msgspec.Struct, frozen=True):
    """Carry what an entry vouches for, and whether it drains."""

    entry: str
    address: str
    availability_zone: str
    draining: bool
    vouches: list[Vouch]


class Upstream:
    """Hold what is known of one endpoint."""

    __slots__ = ("_announcement", "_heard_at")

    def __init__(self, announcement: Announcement, heard_at: float) -> None:
        self._announcement = announcement
        self._heard_at = heard_at

    @property
    def announcement(self) -> Announcement:
        """Give the newest announcement."""
        return self._announcement

    @property
    def heard_at(self) -> float:
        """Give when the endpoint last spoke, in local seconds."""
        return self._heard_at


class Members:
    """Merge announcements and gossip into the set of live endpoints."""

    __slots__ = ("_own", "_upstreams")

    def __init__(self) -> None:
        self._upstreams: dict[tuple[str, str], Upstream] = {}
        self._own: set[tuple[str, str]] = set()

    def announce(self, announcement: Announcement, now: float) -> bool:
        """Take an endpoint's own word; return whether anything changed."""
        key = (announcement.service, announcement.endpoint)
        self._own.add(key)
        return self._merge(announcement, now)

    def hear(self, gossip: Gossip, now: float) -> bool:
        """Take another entry's word; return whether anything changed."""
        changed = False
        for vouch in gossip.vouches:
            heard_at = now - vouch.age_s
            changed |= self._merge(vouch.announcement, heard_at)
        return changed

    def expire(self, now: float) -> bool:
        """Drop endpoints whose lease ran out; return whether any did."""
        dead = []
        for key, upstream in self._upstreams.items():
            if now - upstream.heard_at <= LEASE_S:
                continue
            dead.append(key)
        for key in dead:
            del self._upstreams[key]
            self._own.discard(key)
        return bool(dead)

    def vouches(self, now: float) -> list[Vouch]:
        """List what this entry heard from the endpoints themselves."""
        found = []
        for key in sorted(self._own):
            upstream = self._upstreams[key]
            age_s = now - upstream.heard_at
            found.append(Vouch(upstream.announcement, age_s))
        return found

    def live(self) -> list[Announcement]:
        """List every endpoint with a lease, by service and address."""
        return [
            self._upstreams[key].announcement
            for key in sorted(self._upstreams)
        ]

    def _merge(self, announcement: Announcement, heard_at: float) -> bool:
        key = (announcement.service, announcement.endpoint)
        known = self._upstreams.get(key)
        if known is None:
            self._upstreams[key] = Upstream(announcement, heard_at)
            return True
        old = known.announcement
        if announcement.incarnation < old.incarnation:
            return False
        if announcement.incarnation == old.incarnation:
            if heard_at <= known.heard_at:
                return False
            if old.state == DRAINING and announcement.state == UP:
                # Drain is final within an incarnation: a delayed "up"
                # from another entry must not bring the endpoint back.
                announcement = old
        self._upstreams[key] = Upstream(announcement, heard_at)
        return old != announcement
