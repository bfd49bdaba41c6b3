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
from .members import GossipMessage
from .members import Key
from .members import OwnSet
from .members import PeerSet

FLOOR_S = 60.0
PAUSE_S = 1.0
QUIET_S = 0.5

MAX_ENDPOINTS = 4096
MAX_PEERS = 64
MAX_FLOORS = 8192
MAX_MARKS = 16

RENEWED = "taken"
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
        "_sequence",
        "_own",
        "_peers",
        "_quiet_until",
        "_checked_at",
    )

    def __init__(self, epoch: int) -> None:
        self._own = OwnSet(epoch)
        self._sequence = epoch
        self._peers: dict[str, PeerSet] = {}
        self._floors: OrderedDict[Key, Floor] = OrderedDict()
        self._drains = 0
        self._quiet_until = 0.0
        self._checked_at: float | None = None

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
        self._detect_pause(now)
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
        return CHANGED if changed else RENEWED

    def expire(self, now: float) -> bool:
        """Drop what lapsed; return whether this entry's own set changed."""
        self._detect_pause(now)
        lapsed = self._own.lapsed(now)
        for key in lapsed:
            self._own.remove(key)
        for peer in self._peers.values():
            if not peer.is_fresh(now):
                peer.clear()
        while self._floors:
            key, floor = next(iter(self._floors.items()))
            if now - floor.heard_at <= FLOOR_S:
                break
            del self._floors[key]
        return bool(lapsed)

    def build_message(self, peer_name: str, now: float) -> GossipMessage:
        """Build the word for another entry."""
        self.expire(now)
        peer = self._peer(peer_name)
        changes = Changes(self._own.generation, [], [])
        if peer is not None and peer.acknowledged:
            changes = self._changes_for(peer)
        self._sequence += 1
        build_message = GossipMessage(
            epoch=self._own.epoch,
            generation=self._own.generation,
            digest=self._own.digest,
            base=changes.base,
            changed=changes.changed,
            removed=changes.removed,
            sequence=self._sequence,
            acknowledged=peer.acknowledged if peer is not None else 0,
            received_epoch=peer.epoch if peer is not None else 0,
            received_generation=peer.generation if peer is not None else 0,
        )
        if peer is not None:
            peer.sent_at[build_message.sequence] = now
            if len(peer.sent_at) > MAX_MARKS:
                peer.sent_at.popitem(last=False)
        return build_message

    def receive(
        self, name: str, build_message: GossipMessage, now: float
    ) -> float | None:
        """Take another entry's word.

        Return when it was true at the latest by this entry's clock, None
        where that cannot be told yet.
        """
        peer = self._peer(name)
        if peer is None:
            return None
        if (
            build_message.epoch != peer.acknowledged_epoch
            or build_message.sequence > peer.acknowledged
        ):
            peer.acknowledged = build_message.sequence
            peer.acknowledged_epoch = build_message.epoch
            peer.received = (
                build_message.received_epoch,
                build_message.received_generation,
            )
        valid_at = peer.sent_at.get(build_message.acknowledged)
        # A word that answers none of ours may have been under way for any
        # time, or come from an earlier run of the entry: taken as new, it
        # would bring back endpoints that have left.
        if valid_at is None:
            return None
        if peer.valid_at is not None and valid_at < peer.valid_at:
            return None
        if self._merge(peer, build_message, now):
            peer.valid_at = valid_at
        return valid_at

    def live(self, now: float) -> list[Announcement]:
        """List every endpoint someone vouches for, by service and address."""
        found: dict[Key, Announcement] = {}
        for announcement in self._own.announcements():
            found[announcement.key] = announcement
        for peer in self._peers.values():
            if not peer.is_fresh(now):
                continue
            for key, announcement in peer.announcements_by_key.items():
                old = found.get(key)
                if old is None or _rank(old) < _rank(announcement):
                    found[key] = announcement
        listed = []
        for key in sorted(found):
            listed.append(self._settle(found[key]))
        return listed

    def version(self, now: float) -> tuple[object, ...]:
        """Give a value that differs whenever ``live`` does."""
        peers = []
        for name, peer in self._peers.items():
            if peer.is_fresh(now):
                peers.append((name, peer.epoch, peer.generation))
        return self._own.generation, self._drains, tuple(peers)

    def _merge(
        self, peer: PeerSet, build_message: GossipMessage, now: float
    ) -> bool:
        if build_message.epoch != peer.epoch:
            peer.clear()
            peer.epoch = build_message.epoch
        if build_message.generation < peer.generation:
            return False
        if build_message.base > peer.generation:
            return False
        if build_message.base == 0:
            peer.clear()
        for key in build_message.removed:
            peer.remove(key)
        for announcement in build_message.changed:
            peer.put(announcement)
            self._raise_floor(announcement, now)
        peer.generation = build_message.generation
        if peer.digest == build_message.digest:
            return True
        peer.clear()
        return False

    def _changes_for(self, peer: PeerSet) -> Changes:
        epoch, generation = peer.received
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

    def _detect_pause(self, now: float) -> None:
        # A process that was stopped for a while wakes to announcements
        # that waited in its sockets. The endpoints that sent them may have
        # drained at another entry since; those that live announce again.
        if self._checked_at is not None and now - self._checked_at > PAUSE_S:
            self._quiet_until = now + QUIET_S
        self._checked_at = now


def _rank(announcement: Announcement) -> tuple[int, bool]:
    return announcement.incarnation, announcement.state == DRAINING
