"""Tell entries, from one control replica, what announces at any of them.

Every entry asks one replica. A replica keeps what announces there, holds a
copy of what announces at the others, and passes both on. An endpoint that
leaves is acknowledged once every entry in touch with any replica has seen
it: each replica confirms for its own entries.
"""

from collections.abc import Collection

from .histories import Delta
from .mirrors import NO_WATERMARK
from .mirrors import Watermark
from .peers import Confirmation
from .peers import PeerReply
from .peers import PeerRequest
from .peers import Peers
from .registries import Registry
from .sessions import choose_entries
from .sessions import EntrySessions
from .sessions import WatchRequest
from .warmups import EntryGroup
from .warmups import group_of

# A tree newer than any, of a replica that has no entries.
MAX_TREE_INDEX = 2**62
# A replica that has just started knows no entries of the others. Naming only
# those that were quickest would send them the callers of all.
SETTLE_S = 0.7
# The list of entries is put together anew at most once in so long: while a
# deployment starts it changes with every entry that comes.
GROUP_REFRESH_S = 1.0


class Discovery:
    """Hold what one replica knows of endpoints, entries and replicas.

    ``own`` is its gRPC address; ``epoch`` differs at every start.
    """

    __slots__ = (
        "_confirm",
        "_group",
        "_group_at",
        "_own",
        "_started_at",
        "_rotation",
        "peers",
        "registry",
        "sessions",
    )

    def __init__(self, own: str, epoch: int, now: float) -> None:
        self._own = own
        self._started_at = now
        self._confirm = 0
        self._group = EntryGroup()
        self._group_at = now - GROUP_REFRESH_S
        self._rotation = 0
        self.registry = Registry(epoch)
        self.sessions = EntrySessions()
        self.peers = Peers(own, now)

    @property
    def own(self) -> str:
        """Give this replica's gRPC address."""
        return self._own

    @property
    def watermark(self) -> Watermark:
        """Give the epoch and generation of the own registry."""
        return self.registry.epoch, self.registry.generation

    def is_settled(self, now: float) -> bool:
        """Tell whether what the other replicas know is in."""
        if now - self._started_at >= SETTLE_S:
            return True
        answered, asked = self.peers.count_answered(now)
        return asked > 0 and answered == asked

    def is_caught_up(self, now: float) -> bool:
        """Tell whether half of the other replicas answered lately.

        With this one they are a majority: what most know is known here.
        """
        answered, asked = self.peers.count_answered(now)
        return 2 * answered >= asked

    def record_watch(self, request: WatchRequest, now: float) -> None:
        """Take an entry's question."""
        self.sessions.record_request(
            request.entry,
            request.watermarks,
            request.index,
            request.hold_s,
            now,
            request.calls_per_s,
        )

    def has_changes(self, request: WatchRequest, now: float) -> bool:
        """Tell whether an entry lacks something of endpoints."""
        if request.watermarks.get(self._own, NO_WATERMARK) != self.watermark:
            return True
        for address, mirror in self.peers.mirrors(now).items():
            if mirror.is_ahead_of(
                request.watermarks.get(address, NO_WATERMARK)
            ):
                return True
        return False

    def deltas(self, request: WatchRequest, now: float) -> dict[str, Delta]:
        """Tell an entry what it lacks, by the replica it announces at."""
        found = {}
        own = request.watermarks.get(self._own, NO_WATERMARK)
        if own != self.watermark:
            found[self._own] = self.registry.since(*own, now)
        for address, mirror in self.peers.mirrors(now).items():
            watermark = request.watermarks.get(address, NO_WATERMARK)
            if mirror.is_ahead_of(watermark):
                found[address] = mirror.since(watermark, now)
        return found

    def group(self, known: int, now: float) -> EntryGroup | None:
        """List all entries, if that is not the list with a digest.

        None as well while the other replicas may know more of them.
        """
        if now - self._group_at >= GROUP_REFRESH_S and self.is_settled(now):
            self._group_at = now
            zones = {**self.peers.entry_zones(now), **self.sessions.zones(now)}
            self._group = group_of(zones)
        if not self._group.by_zone or self._group.digest == known:
            return None
        return self._group

    def unreachable(self, request: WatchRequest, now: float) -> list[str]:
        """Name the replicas an entry knows of and this one does not hear."""
        heard = {self._own, *self.peers.responsive_replicas(now)}
        return [one for one in request.watermarks if one not in heard]

    def build_request(
        self, address: str, hold_s: float, now: float
    ) -> PeerRequest:
        """Build the question for another replica."""
        peer = self.peers.find(address)
        applied = self.sessions.applied(now).values()
        return PeerRequest(
            replica=self._own,
            watermark=NO_WATERMARK if peer is None else peer.mirror.watermark,
            sessions=0 if peer is None else peer.sessions,
            confirm=0 if peer is None else peer.confirm,
            reachable=self.peers.reachable_replicas(now),
            applied=min(applied, default=MAX_TREE_INDEX),
            hold_s=hold_s,
        )

    def has_peer_changes(self, request: PeerRequest) -> bool:
        """Tell whether another replica lacks something."""
        if (
            request.watermark != self.watermark
            or request.confirm < self._confirm
        ):
            return True
        return request.sessions != self.sessions.generation

    def build_reply(self, request: PeerRequest, now: float) -> PeerReply:
        """Tell another replica what it lacks."""
        delta = None
        if request.watermark != self.watermark:
            delta = self.registry.since(*request.watermark, now)
        known = request.sessions
        if request.watermark[0] != self.registry.epoch:
            known = 0
        return PeerReply(
            epoch=self.registry.epoch,
            delta=delta,
            sessions=self.sessions.generation,
            entries=self.sessions.since(known),
            calls_per_s=self.sessions.calls_per_s(now),
            confirm=self._confirm,
        )

    def apply_reply(self, address: str, reply: PeerReply, now: float) -> bool:
        """Take another replica's answer; return whether it is news."""
        for state in reply.entries:
            if state.is_connected:
                self.sessions.release(state.info.name)
        return self.peers.apply_reply(address, reply, now)

    def request_confirmation(self, generation: int) -> None:
        """Ask the other replicas to confirm a generation."""
        self._confirm = max(self._confirm, generation)

    def unconfirmed(self, generation: int, now: float) -> list[str]:
        """Name the entries and replicas that may not know a generation."""
        watermark = (self.registry.epoch, generation)
        entries = self.sessions.unconfirmed(self._own, watermark, now)
        return [*entries, *self.peers.unconfirmed(generation, now)]

    def pending_confirmations(self, now: float) -> dict[str, Confirmation]:
        """Give what can be confirmed now, by the replica that wants it."""
        found = {}
        for address in self.peers.addresses:
            peer = self.peers.find(address)
            if peer is None or peer.confirm <= peer.confirmed:
                continue
            epoch, generation = peer.mirror.watermark
            if generation < peer.confirm:
                continue
            if self.sessions.unconfirmed(address, (epoch, peer.confirm), now):
                continue
            found[address] = Confirmation(self._own, epoch, peer.confirm)
        return found

    def record_acknowledged(self, address: str, seen: Confirmation) -> None:
        """Take word that a confirmation arrived."""
        peer = self.peers.find(address)
        if peer is not None and peer.mirror.watermark[0] == seen.epoch:
            peer.confirmed = max(peer.confirmed, seen.generation)

    def has_lagging_entry(self, index: int, now: float) -> bool:
        """Tell whether an entry in touch has an older tree in force."""
        if any(one < index for one in self.sessions.applied(now).values()):
            return True
        return self.peers.has_lagging_entry(index, now)

    def count_entries(self, now: float) -> int:
        """Count the entries heard of lately by any replica."""
        return len(self.sessions.names(now) | self.peers.entry_names(now))

    def calls_per_s(self, now: float) -> float:
        """Add up what all entries have to place."""
        return self.sessions.calls_per_s(now) + self.peers.calls_per_s(now)

    def usable_entries(
        self,
        zone: str | None,
        most: int,
        now: float,
        evacuated: Collection[str] = (),
    ) -> list[str]:
        """Return the addresses that a caller in a zone should use."""
        if not self.is_settled(now):
            return []
        self._rotation += 1
        words = {one.name: one for one in self.peers.connected_entries(now)}
        for info in self.sessions.connected_entries(now):
            words[info.name] = info
        return choose_entries(
            list(words.values()), zone, most, self._rotation, evacuated
        )

    def expire(self, now: float) -> bool:
        """Drop who is silent; return whether any of it is news."""
        self.peers.expire(now)
        late = self.sessions.expire(now)
        return self.registry.expire(now) or late
