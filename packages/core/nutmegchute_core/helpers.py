"""Choose the entries that serve the calls of one that is cut off."""

import msgspec
import xxhash

from .directories import EntryInfo

# Helpers that each entry knows.
MAX_HELPERS = 4
# How long a helper that could not serve a call is avoided.
AVOID_S = 1.0

_ENCODER = msgspec.msgpack.Encoder()


def choose_helpers(
    name: str, zone: str, entries: list[EntryInfo], limit: int = MAX_HELPERS
) -> list[EntryInfo]:
    """Choose the helpers of an entry among all entries.

    Entries of its own zone come first, up to their fair share of all calls
    that need help. Entries with different names get different helpers.
    """
    usable = []
    helped = {zone: 1}
    for one in entries:
        if one.name == name:
            continue
        if one.cut_off:
            other = one.availability_zone
            helped[other] = helped.get(other, 0) + 1
        elif one.relay is not None and not one.draining:
            usable.append(one)
    usable.sort(key=lambda one: _rank(name, one.name))
    near = [one for one in usable if one.availability_zone == zone]
    far = [one for one in usable if one.availability_zone != zone]
    if not usable:
        return []
    capacity = len(near) / len(usable)
    demand = helped[zone] / sum(helped.values())
    share = round(limit * min(1.0, capacity / demand))
    chosen = near[:share]
    chosen += far[: limit - len(chosen)]
    return chosen + near[share : share + limit - len(chosen)]


def digest_of(helpers: list[EntryInfo]) -> int:
    """Return a hash that is equal for the same helpers."""
    if not helpers:
        return 0
    return xxhash.xxh32_intdigest(_ENCODER.encode(helpers))


class Helpers:
    """Spread the calls of one entry over its helpers."""

    __slots__ = ("_avoided_until", "_entries", "_in_flight", "_last_used")

    def __init__(self) -> None:
        self._entries: dict[str, EntryInfo] = {}
        self._in_flight: dict[str, int] = {}
        self._avoided_until: dict[str, float] = {}
        # Number of the last call that each helper got.
        self._last_used: dict[str, int] = {}

    @property
    def digest(self) -> int:
        """Return the digest of the helpers."""
        return digest_of(list(self._entries.values()))

    def update(self, entries: list[EntryInfo]) -> None:
        """Replace the helpers."""
        self._entries = {one.name: one for one in entries}
        for kept in (self._avoided_until, self._last_used):
            for name in list(kept):
                if name not in self._entries:
                    del kept[name]

    def any_usable(self, now: float) -> bool:
        """Return whether a helper may be tried."""
        return any(self._is_usable(name, now) for name in self._entries)

    def choose(self, avoid: list[str], now: float) -> EntryInfo | None:
        """Return the helper with the fewest calls in flight, if any."""
        best = None
        best_load = (0, 0)
        for name, one in self._entries.items():
            if name in avoid or not self._is_usable(name, now):
                continue
            load = self._in_flight.get(name, 0), self._last_used.get(name, 0)
            if best is None or load < best_load:
                best = one
                best_load = load
        return best

    def record_send(self, name: str, number: int) -> None:
        """Record a call that a helper gets; later ones have higher numbers."""
        self._in_flight[name] = self._in_flight.get(name, 0) + 1
        self._last_used[name] = number

    def record_end(self, name: str) -> None:
        """Record the end of a call at a helper."""
        left = self._in_flight.get(name, 0) - 1
        if left > 0:
            self._in_flight[name] = left
        else:
            self._in_flight.pop(name, None)

    def avoid(self, name: str, now: float) -> None:
        """Avoid a helper that could not serve a call."""
        if name in self._entries:
            self._avoided_until[name] = now + AVOID_S

    def _is_usable(self, name: str, now: float) -> bool:
        relay = self._entries[name].relay
        if relay is None or not relay.names_calls:
            # Its answers would leave open whether a call has run.
            return False
        return self._avoided_until.get(name, now) <= now


def _rank(name: str, other: str) -> int:
    return xxhash.xxh32_intdigest(f"{name} {other}".encode())
