"""Know which endpoints live: leases by announcement, spread by gossip.

An endpoint announces itself to one entry, which keeps it in its own set
for a lease. Entries tell each other only which generation of that set
they vouch for; announcements travel when the set changes. No timestamp
ever travels: each word names the last word heard from its receiver, and
the receiver dates it by its own clock at the moment it sent that one.
"""

from collections import OrderedDict

import msgspec

from .members import Announcement
from .members import Changes
from .members import DRAINING
from .members import Key
from .members import OwnSet
from .members import PeerSet
from .members import Vouch

FLOOR_S = 60.0
PAUSE_S = 1.0
QUIET_S = 0.5

MAX_ENDPOINTS = 4096
MAX_PEERS = 64
MAX_FLOORS = 8192
MAX_MARKS = 16

TAKEN = "taken"
CHANGED = "changed"
STALE = "stale"
FULL = "full"
PAUSED = "paused"


class Floor:
    """Hold the least incarnation that an address may still show."""

    __slots__ = ("drained", "heard_at", "incarnation")

    def __init__(
        self, incarnation: int, drained: bool, heard_at: float
    ) -> None:
        self.incarnation = incarnation
        self.drained = drained
        self.heard_at = heard_at


class Roster:
    """Merge announcements and vouches into the set of live endpoints.

    ``epoch`` must differ at every start of the entry.
    """

    __slots__ = (
        "_drains",
        "_floors",
        "_mark",
        "_own",
        "_peers",
        "_quiet_until",
        "_seen",
    )

    def __init__(self, epoch: int) -> None:
        self._own = OwnSet(epoch)
        self._mark = epoch
        self._peers: dict[str, PeerSet] = {}
        self._floors: OrderedDict[Key, Floor] = OrderedDict()
        self._drains = 0
        self._quiet_until = 0.0
        self._seen: float | None = None

    @property
    def generation(self) -> int:
        """Count the changes of this entry's own set."""
        return self._own.generation

    def floor(self, key: Key) -> int:
        """Give the highest incarnation heard of at an address."""
        floor = self._floors.get(key)
        return floor.incarnation if floor is not None else 0

    def announce(self, announcement: Announcement, now: float) -> str:
        """Take an endpoint's own word.

        Return TAKEN, CHANGED, STALE (a newer incarnation is known), FULL
        or PAUSED (announce again in QUIET_S).
        """
        self._watch(now)
        if now < self._quiet_until:
            return PAUSED
        key = announcement.key
        floor = self._floors.get(key)
        if floor is not None and announcement.incarnation < floor.incarnation:
            return STALE
        if self._own.get(key) is None and len(self._own) >= MAX_ENDPOINTS:
            return FULL
        self._raise_floor(announcement, now)
        changed = self._own.put(self._settle(announcement), now)
        return CHANGED if changed else TAKEN

    def expire(self, now: float) -> bool:
        """Drop what lapsed; return whether this entry's own set changed."""
        self._watch(now)
        lapsed = self._own.lapsed(now)
        for key in lapsed:
            self._own.remove(key)
        for peer in self._peers.values():
            if not peer.fresh(now):
                peer.forget()
        while self._floors:
            key, floor = next(iter(self._floors.items()))
            if now - floor.heard_at <= FLOOR_S:
                break
            del self._floors[key]
        return bool(lapsed)

    def vouch(self, peer_name: str, now: float) -> Vouch:
        """Build the word for another entry."""
        self.expire(now)
        peer = self._peer(peer_name)
        changes = Changes(self._own.generation, [], [])
        if peer is not None and peer.echo:
            changes = self._changes_for(peer)
        self._mark += 1
        vouch = Vouch(
            epoch=self._own.epoch,
            generation=self._own.generation,
            digest=self._own.digest,
            base=changes.base,
            changed=changes.changed,
            removed=changes.removed,
            mark=self._mark,
            echo=peer.echo if peer is not None else 0,
            seen_epoch=peer.epoch if peer is not None else 0,
            seen_generation=peer.generation if peer is not None else 0,
        )
        if peer is not None:
            peer.marks[vouch.mark] = now
            if len(peer.marks) > MAX_MARKS:
                peer.marks.popitem(last=False)
        return vouch

    def hear(self, name: str, vouch: Vouch, now: float) -> float | None:
        """Take another entry's word.

        Return when it was true at the latest by this entry's clock, None
        where that cannot be told yet.
        """
        peer = self._peer(name)
        if peer is None:
            return None
        if vouch.epoch != peer.echo_epoch or vouch.mark > peer.echo:
            peer.echo = vouch.mark
            peer.echo_epoch = vouch.epoch
            peer.seen = (vouch.seen_epoch, vouch.seen_generation)
        dated_at = peer.marks.get(vouch.echo)
        # A word that answers none of ours may have been under way for any
        # time, or come from an earlier run of the entry: taken as new, it
        # would bring back endpoints that have left.
        if dated_at is None:
            return None
        if peer.dated_at is not None and dated_at < peer.dated_at:
            return None
        if self._merge(peer, vouch, now):
            peer.dated_at = dated_at
        return dated_at

    def live(self, now: float) -> list[Announcement]:
        """List every endpoint someone vouches for, by service and address."""
        found: dict[Key, Announcement] = {}
        for announcement in self._own.announcements():
            found[announcement.key] = announcement
        for peer in self._peers.values():
            if not peer.fresh(now):
                continue
            for key, announcement in peer.heard.items():
                old = found.get(key)
                if old is None or _rank(old) < _rank(announcement):
                    found[key] = announcement
        listed = []
        for key in sorted(found):
            listed.append(self._settle(found[key]))
        return listed

    def stamp(self, now: float) -> tuple[object, ...]:
        """Give a value that differs whenever ``live`` does."""
        peers = []
        for name, peer in self._peers.items():
            if peer.fresh(now):
                peers.append((name, peer.epoch, peer.generation))
        return self._own.generation, self._drains, tuple(peers)

    def _merge(self, peer: PeerSet, vouch: Vouch, now: float) -> bool:
        if vouch.epoch != peer.epoch:
            peer.forget()
            peer.epoch = vouch.epoch
        if vouch.generation < peer.generation:
            return False
        if vouch.base > peer.generation:
            return False
        if vouch.base == 0:
            peer.forget()
        for key in vouch.removed:
            peer.remove(key)
        for announcement in vouch.changed:
            peer.put(announcement)
            self._raise_floor(announcement, now)
        peer.generation = vouch.generation
        if peer.digest == vouch.digest:
            return True
        peer.forget()
        return False

    def _changes_for(self, peer: PeerSet) -> Changes:
        epoch, generation = peer.seen
        if epoch == self._own.epoch and generation:
            changes = self._own.since(generation)
            if changes is not None:
                return changes
        return Changes(0, self._own.announcements(), [])

    def _peer(self, name: str) -> PeerSet | None:
        peer = self._peers.get(name)
        if peer is None and len(self._peers) < MAX_PEERS:
            peer = self._peers[name] = PeerSet()
        return peer

    def _settle(self, announcement: Announcement) -> Announcement:
        floor = self._floors.get(announcement.key)
        if floor is None or not floor.drained:
            return announcement
        if announcement.incarnation > floor.incarnation:
            return announcement
        # Drain is final within an incarnation: a delayed "up", or one
        # still vouched for by the entry the endpoint has moved away from,
        # must not bring it back.
        return msgspec.structs.replace(announcement, state=DRAINING)

    def _raise_floor(self, announcement: Announcement, now: float) -> None:
        drained = announcement.state == DRAINING
        self._drains += drained
        floor = self._floors.pop(announcement.key, None)
        if floor is None or floor.incarnation < announcement.incarnation:
            floor = Floor(announcement.incarnation, drained, now)
        elif floor.incarnation == announcement.incarnation:
            floor.drained = floor.drained or drained
            floor.heard_at = now
        self._floors[announcement.key] = floor
        if len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)

    def _watch(self, now: float) -> None:
        # A process that was stopped for a while wakes to announcements
        # that waited in its sockets. The endpoints that sent them may have
        # drained at another entry since; those that live announce again.
        if self._seen is not None and now - self._seen > PAUSE_S:
            self._quiet_until = now + QUIET_S
        self._seen = now


def _rank(announcement: Announcement) -> tuple[int, bool]:
    return announcement.incarnation, announcement.state == DRAINING
