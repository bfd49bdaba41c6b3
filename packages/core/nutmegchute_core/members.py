"""Define announcements and the sets of them that entries gossip."""

from collections import OrderedDict
from typing import Annotated

import msgspec
import xxhash

UP = "up"
DRAINING = "draining"

# How long an announcement keeps an endpoint in the set of its entry.
LEASE_S = 3.0
# How long a gossip message keeps another entry's set valid.
GOSSIP_LEASE_S = 2.5

MAX_CHANGES = 256

# No endpoint is slow for longer after its start; a larger value is an error.
MAX_COLD_S = 3600.0


_ADDRESS = r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$"
NAME_PATTERN = "^[a-z][a-z0-9-]*$"

# A service's name and the address of one of its endpoints.
Key = tuple[str, str]
# An instance's name and incarnation: one start of one endpoint.
Process = tuple[str, int]
# An endpoint's address and process: unique also where endpoints are unnamed.
ProcessKey = tuple[str, str, int]

_ENCODER = msgspec.msgpack.Encoder()


class Announcement(msgspec.Struct, frozen=True):
    """Announce that an endpoint is alive, and its state.

    ``incarnation`` rises at every start of the endpoint, so that newer
    announcements supersede those of an earlier process at the same address
    or of the same instance. ``instance`` names the endpoint where several
    use one address in turn; ``cold_s`` is the remaining time during which
    it is slow after its start.
    """

    service: Annotated[str, msgspec.Meta(pattern=NAME_PATTERN, max_length=63)]
    endpoint: Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
    availability_zone: Annotated[
        str, msgspec.Meta(pattern=NAME_PATTERN, max_length=63)
    ]
    slots: Annotated[int, msgspec.Meta(ge=1, le=1024)]
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    state: Annotated[str, msgspec.Meta(pattern="^(up|draining)$")] = UP
    instance: Annotated[str, msgspec.Meta(max_length=128)] = ""
    cold_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_S)] = 0.0

    @property
    def key(self) -> Key:
        """Return service and address, which identify the endpoint."""
        return (self.service, self.endpoint)

    @property
    def process(self) -> Process:
        """Return instance and incarnation, which identify the process."""
        return (self.instance, self.incarnation)

    @property
    def process_key(self) -> ProcessKey:
        """Return address, instance and incarnation."""
        return (self.endpoint, self.instance, self.incarnation)


class GossipMessage(msgspec.Struct, frozen=True, array_like=True):
    """Carry the state of an entry's own set to another entry.

    ``changed`` and ``removed`` are the delta from generation ``base`` (0:
    from the empty set) to ``generation``; without changes both are empty.
    ``digest`` is that of the whole set. ``acknowledged`` is the sequence of
    the last message from the receiver; ``received_epoch`` and
    ``received_generation`` are what the sender holds of the receiver's set.
    """

    epoch: int
    generation: int
    digest: int
    base: int
    changed: list[Announcement]
    removed: list[Key]
    sequence: int
    acknowledged: int
    received_epoch: int
    received_generation: int


class Changes:
    """Hold the delta from a generation of a set to the newest one."""

    __slots__ = ("base", "changed", "removed")

    def __init__(
        self, base: int, changed: list[Announcement], removed: list[Key]
    ) -> None:
        self.base = base
        self.changed = changed
        self.removed = removed


class OwnSet:
    """Hold the endpoints that announce themselves to this entry."""

    __slots__ = (
        "_changes",
        "_digest",
        "_epoch",
        "_generation",
        "_leases",
        "_pruned_to",
    )

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._generation = 1
        self._pruned_to = 1
        self._digest = 0
        self._leases: dict[Key, tuple[Announcement, float]] = {}
        self._changes: OrderedDict[Key, int] = OrderedDict()

    @property
    def epoch(self) -> int:
        """Return the epoch, which differs at every start of the entry."""
        return self._epoch

    @property
    def generation(self) -> int:
        """Return the generation, which counts changes from 1."""
        return self._generation

    @property
    def digest(self) -> int:
        """Return the digest of the whole set."""
        return self._digest

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return len(self._leases)

    def get(self, key: Key) -> Announcement | None:
        """Return the newest announcement of an endpoint, if any."""
        known = self._leases.get(key)
        return known[0] if known is not None else None

    def announcements(self) -> list[Announcement]:
        """Return the newest announcement of each endpoint."""
        return [announcement for announcement, _ in self._leases.values()]

    def put(self, announcement: Announcement, now: float) -> bool:
        """Renew a lease; return whether the set changed."""
        old = self.get(announcement.key)
        self._leases[announcement.key] = (announcement, now)
        if old == announcement:
            return False
        if old is not None:
            self._digest ^= digest_of(old)
        self._digest ^= digest_of(announcement)
        self._mark_changed(announcement.key)
        return True

    def remove(self, key: Key) -> None:
        """Remove an endpoint from the set."""
        announcement, _ = self._leases.pop(key)
        self._digest ^= digest_of(announcement)
        self._mark_changed(key)

    def expired(self, now: float) -> list[Key]:
        """Return the endpoints whose lease has expired."""
        return [
            key
            for key, (_, announced_at) in self._leases.items()
            if now - announced_at > LEASE_S
        ]

    def since(self, base: int) -> Changes | None:
        """Return the delta from a generation, None if it was pruned."""
        if base < self._pruned_to:
            return None
        changed: list[Announcement] = []
        removed: list[Key] = []
        for key, generation in reversed(self._changes.items()):
            if generation <= base:
                break
            announcement = self.get(key)
            if announcement is None:
                removed.append(key)
                continue
            changed.append(announcement)
        return Changes(base, changed, removed)

    def _mark_changed(self, key: Key) -> None:
        self._generation += 1
        self._changes.pop(key, None)
        self._changes[key] = self._generation
        if len(self._changes) > MAX_CHANGES:
            _, self._pruned_to = self._changes.popitem(last=False)


class PeerSet:
    """Hold the set that another entry gossips and its validity."""

    __slots__ = (
        "acknowledged",
        "acknowledged_epoch",
        "announcements_by_key",
        "digest",
        "epoch",
        "generation",
        "received",
        "sent_at",
        "valid_at",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.generation = 0
        self.digest = 0
        self.announcements_by_key: dict[Key, Announcement] = {}
        self.valid_at: float | None = None
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        self.acknowledged = 0
        self.acknowledged_epoch = 0
        self.received = (0, 0)

    def is_fresh(self, now: float) -> bool:
        """Return whether the set was valid within GOSSIP_LEASE_S."""
        return (
            self.valid_at is not None and now - self.valid_at <= GOSSIP_LEASE_S
        )

    def clear(self) -> None:
        """Clear the set; the next message carries it whole."""
        self.generation = 0
        self.digest = 0
        self.announcements_by_key = {}

    def put(self, announcement: Announcement) -> None:
        """Add or replace the announcement of an endpoint."""
        self.remove(announcement.key)
        self.announcements_by_key[announcement.key] = announcement
        self.digest ^= digest_of(announcement)

    def remove(self, key: Key) -> None:
        """Remove an endpoint from the set, if present."""
        old = self.announcements_by_key.pop(key, None)
        if old is not None:
            self.digest ^= digest_of(old)


def digest_of(announcement: Announcement) -> int:
    """Return a 64-bit digest; a set's is the XOR of its members'."""
    return xxhash.xxh64_intdigest(_ENCODER.encode(announcement))
