"""Track live endpoints by leases and spread them by gossip.

An endpoint announces itself to one entry, which holds a lease for it in its
own set. Entries gossip only the generation of that set; announcements are
sent when the set changes. No message has a timestamp: each acknowledges the
last message from its receiver, and the receiver takes the time at which it
sent that one, by its own clock, as the time of the reply.
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

# How long an address keeps its incarnation floor after the last announcement.
FLOOR_S = 60.0
# A longer gap between two calls means that this process was suspended.
PAUSE_S = 1.0
# How long announcements are refused after a suspension, and after how long a
# refused endpoint retries.
ANNOUNCE_RETRY_S = 0.5

MAX_ENDPOINTS = 4096
MAX_PEERS = 64
MAX_FLOORS = 8192
MAX_SENT_SEQUENCES = 16

RENEWED = "taken"
CHANGED = "changed"
STALE = "stale"
FULL = "full"
PAUSED = "paused"


class Floor:
    """Hold the lowest incarnation that an address may announce."""

    __slots__ = ("drained", "incarnation", "updated_at")

    def __init__(
        self, incarnation: int, drained: bool, updated_at: float
    ) -> None:
        self.incarnation = incarnation
        self.drained = drained
        self.updated_at = updated_at


class Roster:
    """Merge announcements and gossip into the set of live endpoints.

    ``epoch`` must differ at every start of the entry.
    """

    __slots__ = (
        "_checked_at",
        "_drains",
        "_floors",
        "_own",
        "_paused_until",
        "_peers",
        "_sequence",
    )

    def __init__(self, epoch: int) -> None:
        self._own = OwnSet(epoch)
        self._sequence = epoch
        self._peers: dict[str, PeerSet] = {}
        self._floors: OrderedDict[Key, Floor] = OrderedDict()
        self._drains = 0
        self._paused_until = 0.0
        self._checked_at: float | None = None

    @property
    def generation(self) -> int:
        """Return the generation of this entry's own set."""
        return self._own.generation

    def floor(self, key: Key) -> int:
        """Return the highest incarnation seen at an address, else 0."""
        floor = self._floors.get(key)
        return floor.incarnation if floor is not None else 0

    def announce(self, announcement: Announcement, now: float) -> str:
        """Renew an endpoint's lease.

        Return RENEWED, CHANGED, STALE (a newer incarnation is known), FULL
        or PAUSED (announce again in ANNOUNCE_RETRY_S).
        """
        self._detect_pause(now)
        if now < self._paused_until:
            return PAUSED
        key = announcement.key
        floor = self._floors.get(key)
        if floor is not None and announcement.incarnation < floor.incarnation:
            return STALE
        if self._own.get(key) is None and len(self._own) >= MAX_ENDPOINTS:
            return FULL
        self._raise_floor(announcement, now)
        changed = self._own.put(self._apply_drain(announcement), now)
        return CHANGED if changed else RENEWED

    def expire(self, now: float) -> bool:
        """Drop expired leases; return whether the own set changed."""
        self._detect_pause(now)
        expired = self._own.expired(now)
        for key in expired:
            self._own.remove(key)
        for peer in self._peers.values():
            if not peer.is_fresh(now):
                peer.clear()
        while self._floors:
            key, floor = next(iter(self._floors.items()))
            if now - floor.updated_at <= FLOOR_S:
                break
            del self._floors[key]
        return bool(expired)

    def build_message(self, peer_name: str, now: float) -> GossipMessage:
        """Build the gossip message to another entry."""
        self.expire(now)
        peer = self._peer(peer_name)
        changes = Changes(self._own.generation, [], [])
        if peer is not None and peer.acknowledged:
            changes = self._changes_for(peer)
        self._sequence += 1
        message = GossipMessage(
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
            peer.sent_at[message.sequence] = now
            if len(peer.sent_at) > MAX_SENT_SEQUENCES:
                peer.sent_at.popitem(last=False)
        return message

    def receive(
        self, name: str, message: GossipMessage, now: float
    ) -> float | None:
        """Merge a gossip message from another entry.

        Return the time, by this entry's clock, as of which it is valid;
        None if that is unknown.
        """
        peer = self._peer(name)
        if peer is None:
            return None
        if (
            message.epoch != peer.acknowledged_epoch
            or message.sequence > peer.acknowledged
        ):
            peer.acknowledged = message.sequence
            peer.acknowledged_epoch = message.epoch
            peer.received = (
                message.received_epoch,
                message.received_generation,
            )
        valid_at = peer.sent_at.get(message.acknowledged)
        # A message that acknowledges none of this entry's may have been
        # delayed for any time or be from an earlier run of its sender. Merged,
        # it would restore endpoints that have left.
        if valid_at is None:
            return None
        if peer.valid_at is not None and valid_at < peer.valid_at:
            return None
        if self._merge(peer, message, now):
            peer.valid_at = valid_at
        return valid_at

    def live(self, now: float) -> list[Announcement]:
        """Return the live endpoints in any set, by service and address."""
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
            listed.append(self._apply_drain(found[key]))
        return listed

    def version(self, now: float) -> tuple[object, ...]:
        """Return a value that changes whenever ``live`` does."""
        peers = []
        for name, peer in self._peers.items():
            if peer.is_fresh(now):
                peers.append((name, peer.epoch, peer.generation))
        return self._own.generation, self._drains, tuple(peers)

    def _merge(
        self, peer: PeerSet, message: GossipMessage, now: float
    ) -> bool:
        if message.epoch != peer.epoch:
            peer.clear()
            peer.epoch = message.epoch
        if message.generation < peer.generation:
            return False
        if message.base > peer.generation:
            return False
        if message.base == 0:
            peer.clear()
        for key in message.removed:
            peer.remove(key)
        for announcement in message.changed:
            peer.put(announcement)
            self._raise_floor(announcement, now)
        peer.generation = message.generation
        if peer.digest == message.digest:
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

    def _apply_drain(self, announcement: Announcement) -> Announcement:
        floor = self._floors.get(announcement.key)
        if floor is None or not floor.drained:
            return announcement
        if announcement.incarnation > floor.incarnation:
            return announcement
        # Draining is final within an incarnation: a delayed "up", or one
        # still gossiped by the entry from which the endpoint has moved,
        # must not revoke it.
        return msgspec.structs.replace(announcement, state=DRAINING)

    def _raise_floor(self, announcement: Announcement, now: float) -> None:
        drained = announcement.state == DRAINING
        self._drains += drained
        floor = self._floors.pop(announcement.key, None)
        if floor is None or floor.incarnation < announcement.incarnation:
            floor = Floor(announcement.incarnation, drained, now)
        elif floor.incarnation == announcement.incarnation:
            floor.drained = floor.drained or drained
            floor.updated_at = now
        self._floors[announcement.key] = floor
        if len(self._floors) > MAX_FLOORS:
            self._floors.popitem(last=False)

    def _detect_pause(self, now: float) -> None:
        # After a suspension the sockets hold old announcements. Endpoints
        # that sent them may have drained at another entry since; live ones
        # announce again.
        if self._checked_at is not None and now - self._checked_at > PAUSE_S:
            self._paused_until = now + ANNOUNCE_RETRY_S
        self._checked_at = now


def _rank(announcement: Announcement) -> tuple[int, bool]:
    return announcement.incarnation, announcement.state == DRAINING
