"""Know, on a control replica, the other replicas and what they told.

Each replica holds an open question at each other one. Entries ask one
replica only; what announces elsewhere reaches them through it.
"""

import msgspec

from .directories import EntryInfo
from .histories import Delta
from .mirrors import Mirror
from .mirrors import Watermark
from .sessions import ENTRY_TTL_S
from .sessions import EntryState

# How long a question between replicas is held when there is nothing new.
PEER_HOLD_S = 1.0
# A replica that answered within this time is heard: a hold, a busy replica
# and one try more.
REACHABLE_S = 2.0
# A replica silent for so long has no entries any more. It was alive a hold
# before at the most, and its entries gave it up within 1.4 s of its end.
GONE_AFTER_S = 3.0
# What a silent replica told is passed on for so long; entries drop it then.
MIRROR_TTL_S = 10.0
# Longer between two looks means that this replica stood still.
PAUSE_S = 1.0


class PeerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask another replica for what announces and asks there.

    ``mark`` is what is held of its registry, ``sessions`` the generation of
    its entries' sessions, ``confirm`` the generation that it wants to be
    confirmed. ``hears`` lists the replicas that the asking one hears and
    ``applied`` is the oldest tree in force at its entries.
    """

    replica: str
    watermark: Watermark
    sessions: int
    confirm: int
    reachable: list[str]
    applied: int
    hold_s: float


class PeerReply(msgspec.Struct, frozen=True, array_like=True):
    """Tell another replica what announces and asks here.

    Entries must have seen generation ``confirm`` of the registry before
    something is acknowledged; who asked says so by ``Seen``.
    """

    epoch: int
    delta: Delta | None
    sessions: int
    entries: list[EntryState]
    calls_per_s: float
    confirm: int


class Confirmation(msgspec.Struct, frozen=True, array_like=True):
    """Say that all entries of a replica have seen a generation.

    ``epoch`` and ``generation`` are those of the receiver's registry.
    """

    replica: str
    epoch: int
    generation: int


class Acknowledgement(msgspec.Struct, frozen=True, array_like=True):
    """Say that a message has arrived."""


class PeerEntry:
    """Hold what another replica told of an entry, and when."""

    __slots__ = ("at", "state")

    def __init__(self, state: EntryState, at: float) -> None:
        self.state = state
        self.at = at


class Peer:
    """Hold what is known of one other replica."""

    __slots__ = (
        "answered_at",
        "applied",
        "calls_per_s",
        "confirm",
        "confirmed",
        "entries",
        "heard_at",
        "reachable",
        "mirror",
        "seen_generation",
        "sessions",
    )

    def __init__(self, now: float) -> None:
        self.mirror = Mirror()
        self.entries: dict[str, PeerEntry] = {}
        self.sessions = 0
        # Any message of it counts; it may be heard and not hear.
        self.heard_at = now
        self.answered_at: float | None = None
        self.reachable: frozenset[str] = frozenset()
        self.applied: int | None = None
        self.calls_per_s = 0.0
        # The generation of its registry that it wants to be confirmed, and
        # the one that was.
        self.confirm = 0
        self.confirmed = 0
        # The generation of our registry that its entries have seen.
        self.seen_generation = 0


class Peers:
    """Follow the other replicas; ``own`` is this one's gRPC address."""

    __slots__ = ("_looked_at", "_own", "_peers")

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        self._looked_at = now
        self._peers: dict[str, Peer] = {}

    @property
    def addresses(self) -> list[str]:
        """List the other replicas."""
        return list(self._peers)

    def find(self, address: str) -> Peer | None:
        """Return what is known of a replica."""
        return self._peers.get(address)

    def update(self, addresses: list[str], now: float) -> None:
        """Take which replicas the group consists of.

        One that was removed may still have entries for as long as it is
        heard.
        """
        for address in addresses:
            if address != self._own and address not in self._peers:
                self._peers[address] = Peer(now)
        for address in list(self._peers):
            if address not in addresses and self._is_gone(address, now):
                del self._peers[address]

    def detect_pause(self, now: float) -> bool:
        """Tell whether this replica stood still since it looked last.

        Every other one seems silent then, and its entries would be passed
        over in what is acknowledged next; so each is heard out anew.
        """
        paused = now - self._looked_at > PAUSE_S
        self._looked_at = now
        if paused:
            for peer in self._peers.values():
                peer.heard_at = now
                peer.answered_at = None
        return paused

    def record_request(self, request: PeerRequest, now: float) -> None:
        """Take another replica's question."""
        peer = self._peers.get(request.replica)
        if peer is None:
            # A member that this replica has not read of yet.
            peer = self._peers[request.replica] = Peer(now)
        peer.heard_at = now
        peer.reachable = frozenset(request.reachable)
        peer.applied = request.applied

    def record_confirmation(
        self, confirmation: Confirmation, epoch: int, now: float
    ) -> None:
        """Take a confirmation; ``epoch`` is that of the own registry."""
        peer = self._peers.get(confirmation.replica)
        if peer is None or confirmation.epoch != epoch:
            return
        peer.heard_at = now
        peer.seen_generation = max(
            peer.seen_generation, confirmation.generation
        )

    def apply_reply(self, address: str, reply: PeerReply, now: float) -> bool:
        """Take an answer; return whether it is news for entries."""
        peer = self._peers.get(address)
        if peer is None:
            return False
        peer.heard_at = now
        peer.answered_at = now
        peer.calls_per_s = reply.calls_per_s
        if reply.epoch != peer.mirror.watermark[0]:
            peer.confirmed = 0
            for known in peer.entries.values():
                known.state = EntryState(known.state.info, False)
        peer.confirm = reply.confirm
        peer.sessions = reply.sessions
        for state in reply.entries:
            peer.entries[state.info.name] = PeerEntry(state, now)
        if reply.delta is None:
            return False
        return peer.mirror.apply(reply.delta, now)

    def expire(self, now: float) -> None:
        """Forget the entries that left long ago."""
        for peer in self._peers.values():
            for name, known in list(peer.entries.items()):
                if (
                    known.state.is_connected
                    and now - peer.heard_at <= ENTRY_TTL_S
                ):
                    continue
                if now - known.at > ENTRY_TTL_S:
                    del peer.entries[name]

    def unconfirmed(self, generation: int, now: float) -> list[str]:
        """Name the replicas whose entries may not have seen a generation."""
        found = []
        for address, peer in self._peers.items():
            if peer.seen_generation < generation and not self._is_gone(
                address, now
            ):
                found.append(address)
        return found

    def reachable_replicas(self, now: float) -> list[str]:
        """List the replicas that are heard, be it one way."""
        found = []
        for address, peer in self._peers.items():
            if now - peer.heard_at <= REACHABLE_S:
                found.append(address)
        return found

    def responsive_replicas(self, now: float) -> list[str]:
        """List the replicas that answer this one."""
        found = []
        for address, peer in self._peers.items():
            if _answers(peer, now):
                found.append(address)
        return found

    def count_answered(self, now: float) -> tuple[int, int]:
        """Count who answered since the last pause, and all that are there.

        One that was replaced and is still listed would be waited for as
        long as it is; with another one lost, entries were refused a tree
        on which the rest agrees.
        """
        answered = 0
        asked = 0
        for address, peer in self._peers.items():
            if self._is_gone(address, now):
                continue
            asked += 1
            answered += peer.answered_at is not None
        return answered, asked

    def mirrors(self, now: float) -> dict[str, Mirror]:
        """Map the replicas that were heard lately to their mirrors."""
        found = {}
        for address, peer in self._peers.items():
            if now - peer.heard_at <= MIRROR_TTL_S:
                found[address] = peer.mirror
        return found

    def connected_entries(self, now: float) -> list[EntryInfo]:
        """List the entries that ask the replicas that answer."""
        found = []
        for peer in self._peers.values():
            if not _answers(peer, now):
                continue
            for known in peer.entries.values():
                if known.state.is_connected:
                    found.append(known.state.info)
        return found

    def entry_names(self, now: float) -> set[str]:
        """Name the entries heard of lately."""
        found = set()
        for peer in self._peers.values():
            for name, known in peer.entries.items():
                if known.state.is_connected or now - known.at <= ENTRY_TTL_S:
                    found.add(name)
        return found

    def entry_zones(self, now: float) -> dict[str, str]:
        """Map the entries heard of lately to their availability zones."""
        found = {}
        for peer in self._peers.values():
            for name, known in peer.entries.items():
                if known.state.is_connected or now - known.at <= ENTRY_TTL_S:
                    found[name] = known.state.info.availability_zone
        return found

    def calls_per_s(self, now: float) -> float:
        """Add up what the entries of the replicas that answer have."""
        total = 0.0
        for peer in self._peers.values():
            if _answers(peer, now):
                total += peer.calls_per_s
        return total

    def has_lagging_entry(self, index: int, now: float) -> bool:
        """Tell whether another replica's entries have an older tree."""
        for address, peer in self._peers.items():
            if self._is_gone(address, now) or peer.applied is None:
                continue
            if peer.applied < index:
                return True
        return False

    def _is_gone(self, address: str, now: float) -> bool:
        """Tell whether a replica has no entries any more.

        One that is cut off from this replica alone may well have some;
        then others hear it, and this replica cannot speak for it.
        """
        if now - self._peers[address].heard_at <= GONE_AFTER_S:
            return False
        for other, peer in self._peers.items():
            if other == address or now - peer.heard_at > REACHABLE_S:
                continue
            if address in peer.reachable:
                return False
        return True


def _answers(peer: Peer, now: float) -> bool:
    return (
        peer.answered_at is not None and now - peer.answered_at <= REACHABLE_S
    )
