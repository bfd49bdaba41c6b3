"""Serve the endpoints registered at all control replicas to entries.

Each entry watches one replica. A replica keeps a registry of the endpoints
that announce to it, mirrors the registries of the other replicas, and
serves both. An endpoint's drain is acknowledged once every entry connected
to any replica has received it: each replica confirms for its own entries.
"""

from collections.abc import Collection

from .directories import EntryInfo
from .entry_groups import EntryGroup
from .entry_groups import group_of
from .helpers import choose_helpers
from .helpers import digest_of
from .histories import Delta
from .limit_boards import LimitBoard
from .limit_boards import LimitReport
from .limit_boards import LimitUpdate
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

# Tree index reported by a replica that has no entries: above any real one.
MAX_TREE_INDEX = 2**62
# How long a starting replica waits for the others' entries before it lists
# any. A list of the first entries alone would direct all callers to them.
SETTLE_S = 0.7
# Changed processes, of some 150 bytes each, from which on a reply leaves the
# changes of further registries to the next one.
LONG_DELTAS = 400
# Shortest time between two builds of the list of entries, which changes
# with every entry that starts during a deployment.
GROUP_REFRESH_S = 1.0


class Discovery:
    """Combine a replica's registry, its entry sessions and its peers.

    ``own_address`` is its gRPC address; ``epoch`` must differ at every start.
    """

    __slots__ = (
        "_awaited_generation",
        "_group",
        "_group_at",
        "_helpers",
        "_own_address",
        "_rotation",
        "_started_at",
        "limits",
        "peers",
        "registry",
        "sessions",
    )

    def __init__(self, own_address: str, epoch: int, now: float) -> None:
        self._own_address = own_address
        self._started_at = now
        self._awaited_generation = 0
        self._group = EntryGroup()
        self._group_at = now - GROUP_REFRESH_S
        self._rotation = 0
        # By entry: its helpers, their digest, and the changes of entries
        # after which they were chosen.
        self._helpers: dict[
            str, tuple[tuple[int, tuple[int, int]], list[EntryInfo], int]
        ] = {}
        self.registry = Registry(epoch)
        # Rate limits of endpoints, as the entries of all replicas report.
        self.limits = LimitBoard(epoch)
        self.sessions = EntrySessions()
        self.peers = Peers(own_address, now)

    @property
    def own_address(self) -> str:
        """Return the gRPC address of this replica."""
        return self._own_address

    @property
    def watermark(self) -> Watermark:
        """Return the epoch and generation of this replica's registry."""
        return self.registry.epoch, self.registry.generation

    def is_settled(self, now: float) -> bool:
        """Return whether all peers answered or SETTLE_S has passed."""
        if now - self._started_at >= SETTLE_S:
            return True
        answered, counted = self.peers.count_answered(now)
        return counted > 0 and answered == counted

    def is_caught_up(self, now: float) -> bool:
        """Return whether at least half of the peers have answered.

        Together with this replica they are a majority, so that it holds
        the endpoints of most replicas.
        """
        answered, counted = self.peers.count_answered(now)
        return 2 * answered >= counted

    def record_watch(self, request: WatchRequest, now: float) -> None:
        """Record an entry's watch request in its session."""
        self.sessions.record_request(
            request.entry,
            request.watermarks,
            request.index,
            request.hold_s,
            now,
            request.calls_per_s,
        )

    def has_changes(self, request: WatchRequest, now: float) -> bool:
        """Return whether any registry has changes for an entry."""
        if (
            request.watermarks.get(self._own_address, NO_WATERMARK)
            != self.watermark
        ):
            return True
        if request.limits not in (None, self.limits.watermark):
            return True
        if request.entry.cut_off and self.helpers(
            request.entry, request.helpers, now
        ):
            return True
        for address, mirror in self.peers.mirrors(now).items():
            if mirror.is_ahead_of(
                request.watermarks.get(address, NO_WATERMARK)
            ):
                return True
        return False

    def deltas(self, request: WatchRequest, now: float) -> dict[str, Delta]:
        """Return the deltas that an entry lacks, by replica address.

        If they are long, some are left to the next reply: a starting entry
        would not get all of them over a narrow link in time.
        """
        found = {}
        processes = 0
        own = request.watermarks.get(self._own_address, NO_WATERMARK)
        if own != self.watermark:
            delta = self.registry.since(*own, now)
            found[self._own_address] = delta
            processes += delta.size
        for address, mirror in self.peers.mirrors(now).items():
            watermark = request.watermarks.get(address, NO_WATERMARK)
            if processes >= LONG_DELTAS or not mirror.is_ahead_of(watermark):
                continue
            found[address] = mirror.since(watermark, now)
            processes += found[address].size
        return found

    def limits_since(
        self, known: Watermark | None, now: float
    ) -> LimitUpdate | None:
        """Return the rate limits that changed after a watermark.

        None is the watermark of an entry that does not know of limits.
        """
        return None if known is None else self.limits.since(known, now)

    def record_limits(self, reports: list[LimitReport], now: float) -> bool:
        """Record the limits that an entry reports; return if any changed."""
        return bool(self.limits.apply(reports, now, is_own=True))

    def group(self, known: int, now: float) -> EntryGroup | None:
        """Return the list of all entries unless its digest is ``known``.

        Return None also while entries of other replicas may be missing.
        """
        if now - self._group_at >= GROUP_REFRESH_S and self.is_settled(now):
            self._group_at = now
            zones = {**self.peers.entry_zones(now), **self.sessions.zones(now)}
            self._group = group_of(zones)
        if not self._group.by_zone or self._group.digest == known:
            return None
        return self._group

    def helpers(
        self, entry: EntryInfo, known: int | None, now: float
    ) -> list[EntryInfo] | None:
        """Return the helpers of an entry unless their digest is ``known``.

        None is the digest of an entry that does not know of helpers.
        """
        if known is None or not self.is_settled(now):
            return None
        version = self.sessions.generation, self.peers.entry_version(now)
        cached = self._helpers.get(entry.name)
        if cached is None or cached[0] != version:
            found = choose_helpers(
                entry.name,
                entry.availability_zone,
                self._connected_entries(now),
            )
            self._helpers[entry.name] = cached = (
                version,
                found,
                digest_of(found),
            )
        return None if cached[2] == known else cached[1]

    def _connected_entries(self, now: float) -> list[EntryInfo]:
        infos = {one.name: one for one in self.peers.connected_entries(now)}
        for info in self.sessions.connected_entries(now):
            infos[info.name] = info
        return list(infos.values())

    def unreachable(self, request: WatchRequest, now: float) -> list[str]:
        """Return the replicas in an entry's watermarks that do not respond."""
        responsive = {self._own_address, *self.peers.responsive_replicas(now)}
        return [one for one in request.watermarks if one not in responsive]

    def build_request(
        self, address: str, hold_s: float, now: float
    ) -> PeerRequest:
        """Build the request to another replica."""
        peer = self.peers.find(address)
        applied = self.sessions.applied(now).values()
        return PeerRequest(
            replica=self._own_address,
            watermark=NO_WATERMARK if peer is None else peer.mirror.watermark,
            sessions=0 if peer is None else peer.sessions,
            awaited_generation=0 if peer is None else peer.awaited_generation,
            reachable=self.peers.reachable_replicas(now),
            applied=min(applied, default=MAX_TREE_INDEX),
            hold_s=hold_s,
            limits=NO_WATERMARK if peer is None else peer.limits,
        )

    def has_peer_changes(self, request: PeerRequest) -> bool:
        """Return whether the reply to a peer would have changes."""
        if (
            request.watermark != self.watermark
            or request.awaited_generation < self._awaited_generation
        ):
            return True
        if request.limits not in (None, self.limits.own_watermark):
            return True
        return request.sessions != self.sessions.generation

    def build_reply(self, request: PeerRequest, now: float) -> PeerReply:
        """Build the reply to a peer, with the changes that it lacks."""
        delta = None
        if request.watermark != self.watermark:
            delta = self.registry.since(*request.watermark, now)
        known = request.sessions
        if request.watermark[0] != self.registry.epoch:
            known = 0
        limits = None
        if request.limits is not None:
            limits = self.limits.since(request.limits, now, own_only=True)
        return PeerReply(
            epoch=self.registry.epoch,
            delta=delta,
            sessions=self.sessions.generation,
            entries=self.sessions.since(known),
            calls_per_s=self.sessions.calls_per_s(now),
            awaited_generation=self._awaited_generation,
            limits=limits,
        )

    def apply_reply(self, address: str, reply: PeerReply, now: float) -> bool:
        """Apply a peer's reply; return whether entries must be notified."""
        limited = False
        if reply.limits is not None:
            reports = reply.limits.reports
            limited = bool(self.limits.apply(reports, now, is_own=False))
        for state in reply.entries:
            if state.is_connected:
                self.sessions.release(state.info.name)
        return self.peers.apply_reply(address, reply, now) or limited

    def request_confirmation(self, generation: int) -> None:
        """Request that the peers confirm a generation of the registry."""
        self._awaited_generation = max(self._awaited_generation, generation)

    def unconfirmed(self, generation: int, now: float) -> list[str]:
        """Return entries and peers that have not confirmed a generation."""
        watermark = (self.registry.epoch, generation)
        entries = self.sessions.unconfirmed(self._own_address, watermark, now)
        return [*entries, *self.peers.unconfirmed(generation, now)]

    def pending_confirmations(self, now: float) -> dict[str, Confirmation]:
        """Return the confirmations that are due, by peer address."""
        found = {}
        for address in self.peers.addresses:
            peer = self.peers.find(address)
            if (
                peer is None
                or peer.awaited_generation <= peer.confirmed_generation
            ):
                continue
            epoch, generation = peer.mirror.watermark
            if generation < peer.awaited_generation:
                continue
            if self.sessions.unconfirmed(
                address, (epoch, peer.awaited_generation), now
            ):
                continue
            found[address] = Confirmation(
                self._own_address, epoch, peer.awaited_generation
            )
        return found

    def record_acknowledged(
        self, address: str, confirmation: Confirmation
    ) -> None:
        """Record that a peer acknowledged a confirmation."""
        peer = self.peers.find(address)
        if peer is not None and peer.mirror.watermark[0] == confirmation.epoch:
            peer.confirmed_generation = max(
                peer.confirmed_generation, confirmation.generation
            )

    def has_lagging_entry(self, index: int, now: float) -> bool:
        """Return whether a connected entry has a tree older than an index."""
        if any(one < index for one in self.sessions.applied(now).values()):
            return True
        return self.peers.has_lagging_entry(index, now)

    def count_entries(self, now: float) -> int:
        """Count the entries seen by any replica within ENTRY_TTL_S."""
        return len(self.sessions.names(now) | self.peers.entry_names(now))

    def calls_per_s(self, now: float) -> float:
        """Return the calls per second reported by all entries."""
        return self.sessions.calls_per_s(now) + self.peers.calls_per_s(now)

    def usable_entries(
        self,
        zone: str | None,
        limit: int,
        now: float,
        evacuated: Collection[str] = (),
    ) -> list[str]:
        """Return up to ``limit`` entry addresses for a caller in a zone."""
        if not self.is_settled(now):
            return []
        self._rotation += 1
        infos = self._connected_entries(now)
        return choose_entries(infos, zone, limit, self._rotation, evacuated)

    def expire(self, now: float) -> bool:
        """Expire sessions and leases; return whether any changed."""
        self.limits.expire(now)
        self.peers.expire(now)
        disconnected = self.sessions.expire(now)
        return self.registry.expire(now) or disconnected
