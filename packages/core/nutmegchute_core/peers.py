"""Track, on a control replica, the other replicas and their registries.

Each replica keeps a long poll open at every other one. An entry watches one
replica only and receives the endpoints of the others' registries from it.
"""

import msgspec

from .directories import EntryInfo
from .histories import Delta
from .limit_boards import LimitUpdate
from .mirrors import Mirror
from .mirrors import NO_WATERMARK
from .mirrors import Watermark
from .sessions import ENTRY_TTL_S
from .sessions import EntryState

# How long a long poll between replicas is held while nothing changes.
PEER_HOLD_S = 1.0
# A replica counts as reachable this long after its last message: one hold, a
# busy replica and one retry.
REACHABLE_S = 2.0
# A replica counts as gone, and without entries, this long after its last
# message: it stopped at most one hold after that message, and its entries
# watch another replica within 1.4 s of its end.
GONE_AFTER_S = 3.0
# How long the mirror of a silent replica is served; entries drop its
# endpoints then.
MIRROR_TTL_S = 10.0
# A longer gap between two checks means that this process was suspended.
PAUSE_S = 1.0


class PeerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request the changes of another replica's registry and sessions.

    ``watermark``, ``sessions`` and ``awaited_generation`` are what the sender
    holds of the receiver: the watermark of its registry, the generation of
    its entry sessions and the registry generation for which it awaits a
    ``Confirmation``. ``reachable`` lists the replicas from which the sender
    receives messages, ``applied`` is the index of the oldest tree in force
    at the sender's entries. ``limits`` is the watermark of the receiver's
    board of rate limits, None from a sender that does not know of limits.
    """

    replica: str
    watermark: Watermark
    sessions: int
    awaited_generation: int
    reachable: list[str]
    applied: int
    hold_s: float
    limits: Watermark | None = None


class PeerReply(msgspec.Struct, frozen=True, array_like=True):
    """Carry the changes of this replica's registry and sessions.

    The receiver sends a ``Confirmation`` once its entries hold
    ``awaited_generation`` of the registry; only then can the sender
    acknowledge a drain. ``limits`` holds the rate limits of endpoints that
    the sender's entries reported, None if unchanged.
    """

    epoch: int
    delta: Delta | None
    sessions: int
    entries: list[EntryState]
    calls_per_s: float
    awaited_generation: int
    limits: LimitUpdate | None = None


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """Confirm that all entries of a replica hold a registry generation.

    ``epoch`` and ``generation`` are those of the receiver's registry.
    """

    replica: str
    epoch: int
    generation: int


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Acknowledge a message."""


class PeerEntry:
    """Hold the state of an entry of another replica and its time."""

    __slots__ = ("at", "state")

    def __init__(self, state: EntryState, at: float) -> None:
        self.state = state
        self.at = at


class Peer:
    """Hold the state of one other replica."""

    __slots__ = (
        "applied",
        "awaited_generation",
        "calls_per_s",
        "confirmed_generation",
        "entries",
        "last_answer_at",
        "last_message_at",
        "limits",
        "mirror",
        "reachable",
        "received_generation",
        "sessions",
    )

    def __init__(self, now: float) -> None:
        self.mirror = Mirror()
        # Watermark up to which its board of rate limits has been received.
        self.limits = NO_WATERMARK
        self.entries: dict[str, PeerEntry] = {}
        self.sessions = 0
        # Time of the last message, request or reply: a link may fail in one
        # direction only.
        self.last_message_at = now
        self.last_answer_at: float | None = None
        self.reachable: frozenset[str] = frozenset()
        self.applied: int | None = None
        self.calls_per_s = 0.0
        # Generation of its registry that it needs confirmed, and the newest
        # one whose confirmation it has acknowledged.
        self.awaited_generation = 0
        self.confirmed_generation = 0
        # Generation of this replica's registry that its entries hold.
        self.received_generation = 0


class Peers:
    """Track the other replicas; ``own`` is this one's gRPC address."""

    __slots__ = ("_checked_at", "_entry_changes", "_own", "_peers")

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        # Number of changes of entries that peers have reported.
        self._entry_changes = 0
        self._checked_at = now
        self._peers: dict[str, Peer] = {}

    @property
    def addresses(self) -> list[str]:
        """Return the addresses of the other replicas."""
        return list(self._peers)

    def find(self, address: str) -> Peer | None:
        """Return the state of a replica, if it is known."""
        return self._peers.get(address)

    def update(self, addresses: list[str], now: float) -> None:
        """Apply the members of the group.

        A removed replica is kept until it is gone: it may have entries.
        """
        for address in addresses:
            if address != self._own and address not in self._peers:
                self._peers[address] = Peer(now)
        for address in list(self._peers):
            if address not in addresses and self._is_gone(address, now):
                del self._peers[address]

    def detect_pause(self, now: float) -> bool:
        """Return whether this process was suspended since the last check.

        All peers seem silent after a suspension, and the next drain would be
        acknowledged without their entries. So their timeouts restart.
        """
        paused = now - self._checked_at > PAUSE_S
        self._checked_at = now
        if paused:
            for peer in self._peers.values():
                peer.last_message_at = now
                peer.last_answer_at = None
        return paused

    def record_request(self, request: PeerRequest, now: float) -> None:
        """Record the request of another replica."""
        peer = self._peers.get(request.replica)
        if peer is None:
            # A new member whose membership change has not arrived here yet.
            peer = self._peers[request.replica] = Peer(now)
        peer.last_message_at = now
        peer.reachable = frozenset(request.reachable)
        peer.applied = request.applied

    def record_confirmation(
        self, confirmation: Confirmation, epoch: int, now: float
    ) -> None:
        """Record a confirmation, if it is for this registry's ``epoch``."""
        peer = self._peers.get(confirmation.replica)
        if peer is None or confirmation.epoch != epoch:
            return
        peer.last_message_at = now
        peer.received_generation = max(
            peer.received_generation, confirmation.generation
        )

    def apply_reply(self, address: str, reply: PeerReply, now: float) -> bool:
        """Apply a reply; return whether the mirror of its registry changed."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        peer.last_message_at = now
        peer.last_answer_at = now
        peer.calls_per_s = reply.calls_per_s
        if reply.epoch != peer.mirror.watermark[0]:
            peer.confirmed_generation = 0
            for known in peer.entries.values():
                known.state = EntryState(known.state.info, False)
        peer.awaited_generation = reply.awaited_generation
        peer.sessions = reply.sessions
        if reply.limits is not None:
            peer.limits = reply.limits.watermark
        for state in reply.entries:
            self._entry_changes += 1
            peer.entries[state.info.name] = PeerEntry(state, now)
        if reply.delta is None:
            return False
        return peer.mirror.apply(reply.delta, now)

    def expire(self, now: float) -> None:
        """Drop the entries that disconnected ENTRY_TTL_S ago."""
        for peer in self._peers.values():
            for name, known in list(peer.entries.items()):
                if (
                    known.state.is_connected
                    and now - peer.last_message_at <= ENTRY_TTL_S
                ):
                    continue
                if now - known.at > ENTRY_TTL_S:
                    del peer.entries[name]

    def unconfirmed(self, generation: int, now: float) -> list[str]:
        """Return the replicas that have not confirmed a generation."""
        found = []
        for address, peer in self._peers.items():
            if peer.received_generation < generation and not self._is_gone(
                address, now
            ):
                found.append(address)
        return found

    def reachable_replicas(self, now: float) -> list[str]:
        """Return the replicas whose messages arrive, even if only one way."""
        found = []
        for address, peer in self._peers.items():
            if now - peer.last_message_at <= REACHABLE_S:
                found.append(address)
        return found

    def responsive_replicas(self, now: float) -> list[str]:
        """Return the replicas that reply to this one."""
        found = []
        for address, peer in self._peers.items():
            if _is_responsive(peer, now):
                found.append(address)
        return found

    def count_answered(self, now: float) -> tuple[int, int]:
        """Count the replicas that replied since the last pause, and all.

        Replicas that are gone count in neither. If one that was replaced
        but is still listed counted, the loss of another would keep entries
        from the tree on which the remaining replicas agree.
        """
        answered = 0
        counted = 0
        for address, peer in self._peers.items():
            if self._is_gone(address, now):
                continue
            counted += 1
            answered += peer.last_answer_at is not None
        return answered, counted

    def mirrors(self, now: float) -> dict[str, Mirror]:
        """Return the mirrors of replicas not silent for MIRROR_TTL_S."""
        found = {}
        for address, peer in self._peers.items():
            if now - peer.last_message_at <= MIRROR_TTL_S:
                found[address] = peer.mirror
        return found

    def connected_entries(self, now: float) -> list[EntryInfo]:
        """Return the entries connected to responsive replicas."""
        found = []
        for peer in self._peers.values():
            if not _is_responsive(peer, now):
                continue
            for known in peer.entries.values():
                if known.state.is_connected:
                    found.append(known.state.info)
        return found

    def entry_version(self, now: float) -> tuple[int, int]:
        """Return a value that changes with the connected entries."""
        return self._entry_changes, len(self.responsive_replicas(now))

    def entry_names(self, now: float) -> set[str]:
        """Return the entries that other replicas saw within ENTRY_TTL_S."""
        found = set()
        for peer in self._peers.values():
            for name, known in peer.entries.items():
                if known.state.is_connected or now - known.at <= ENTRY_TTL_S:
                    found.add(name)
        return found

    def entry_zones(self, now: float) -> dict[str, str]:
        """Return the zones of the entries seen within ENTRY_TTL_S."""
        found = {}
        for peer in self._peers.values():
            for name, known in peer.entries.items():
                if known.state.is_connected or now - known.at <= ENTRY_TTL_S:
                    found[name] = known.state.info.availability_zone
        return found

    def calls_per_s(self, now: float) -> float:
        """Return the calls per second reported by responsive replicas."""
        total = 0.0
        for peer in self._peers.values():
            if _is_responsive(peer, now):
                total += peer.calls_per_s
        return total

    def has_lagging_entry(self, index: int, now: float) -> bool:
        """Return whether an entry of a peer has a tree older than an index."""
        for address, peer in self._peers.items():
            if self._is_gone(address, now) or peer.applied is None:
                continue
            if peer.applied < index:
                return True
        return False

    def _is_gone(self, address: str, now: float) -> bool:
        """Return whether a replica is gone and thus has no entries.

        A replica that is unreachable from this one alone may have entries.
        It is not gone while another reachable replica receives its messages.
        """
        if now - self._peers[address].last_message_at <= GONE_AFTER_S:
            return False
        for other, peer in self._peers.items():
            if other == address or now - peer.last_message_at > REACHABLE_S:
                continue
            if address in peer.reachable:
                return False
        return True


def _is_responsive(peer: Peer, now: float) -> bool:
    return (
        peer.last_answer_at is not None
        and now - peer.last_answer_at <= REACHABLE_S
    )
