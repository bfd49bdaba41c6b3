"""Answer callers that ask which entries to use."""

import math
from collections.abc import Collection

import msgspec

ENTRY_LEASE_S = 2.5
DEMAND_HALF_LIFE_S = 20.0
PRIOR_ASKS = 0.5
MAX_ENTRIES = 64


class EntryInfo(msgspec.Struct, frozen=True):
    """Describe one entry as callers may use it."""

    name: str
    address: str
    availability_zone: str
    draining: bool = False


class Demand:
    """Count callers' questions by availability zone, the old ones fading."""

    __slots__ = ("_at", "_counts")

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._at = 0.0

    def add(self, availability_zone: str, now: float) -> None:
        """Count one question."""
        self._fade(now)
        known = self._counts.get(availability_zone, 0.0)
        self._counts[availability_zone] = known + 1.0

    def counts(self, now: float) -> dict[str, float]:
        """Map zones to their faded counts."""
        self._fade(now)
        return self._counts

    def _fade(self, now: float) -> None:
        share = math.exp2((self._at - now) / DEMAND_HALF_LIFE_S)
        self._at = now
        for zone in self._counts:
            self._counts[zone] *= share


def exclude_evacuated(
    words: list[EntryInfo], evacuated: Collection[str]
) -> list[EntryInfo]:
    """Leave out the entries of evacuated zones, if others are there.

    Each of their calls would go between zones, which is dear.
    """
    kept = [one for one in words if one.availability_zone not in evacuated]
    return kept or words


class Directory:
    """Keep the entries heard of lately and choose a subset per caller."""

    __slots__ = ("_credits", "_demand", "_heard", "_phase", "_self")

    def __init__(self, own: EntryInfo, phase: float = 0.0) -> None:
        self._self = own
        self._phase = phase
        self._heard: dict[str, tuple[EntryInfo, dict[str, float], float]] = {}
        self._demand = Demand()
        self._credits: dict[str | None, dict[str, float]] = {}

    def update(
        self, word: EntryInfo, demand: dict[str, float], dated_at: float
    ) -> None:
        """Take an entry's word about itself, true at ``dated_at``."""
        if word.name == self._self.name:
            return
        known = self._heard.get(word.name)
        if known is None and len(self._heard) >= MAX_ENTRIES:
            return
        if known is not None and dated_at < known[2]:
            return
        self._heard[word.name] = (word, demand, dated_at)

    def remove(self, name: str) -> None:
        """Forget an entry that did not answer, until it is heard again."""
        self._heard.pop(name, None)

    def expire(self, now: float) -> None:
        """Forget entries that vanished."""
        for name, (_, _, dated_at) in list(self._heard.items()):
            if now - dated_at > ENTRY_LEASE_S:
                del self._heard[name]

    def drain(self) -> None:
        """Mark this entry as leaving."""
        self._self = msgspec.structs.replace(self._self, draining=True)

    @property
    def own(self) -> EntryInfo:
        """Describe this entry itself."""
        return self._self

    def demand(self, now: float) -> dict[str, float]:
        """Map zones to the questions that this entry was asked lately."""
        counts = self._demand.counts(now)
        return {zone: round(count, 1) for zone, count in counts.items()}

    def usable(self, now: float) -> list[EntryInfo]:
        """List the entries that callers may be given, by name."""
        words = [] if self._self.draining else [self._self]
        for word, _, dated_at in self._heard.values():
            if word.draining or now - dated_at > ENTRY_LEASE_S:
                continue
            words.append(word)
        return sorted(words, key=lambda word: word.name)

    def choose(
        self,
        availability_zone: str | None,
        most: int,
        now: float,
        evacuated: Collection[str] = (),
    ) -> list[EntryInfo]:
        """Choose up to ``most`` entries for one caller.

        The caller's zone comes first as far as its entries' fair share of
        all callers goes; the rest spills over to zones with room.
        """
        words = exclude_evacuated(self.usable(now), evacuated)
        zones = {word.availability_zone for word in words}
        zone = availability_zone if availability_zone in zones else None
        if zone is not None:
            self._demand.add(zone, now)
        weights = self._weights(words, zone, now)
        return self._take(words, weights, zone, most)

    def _weights(
        self, words: list[EntryInfo], zone: str | None, now: float
    ) -> dict[str, float]:
        if zone is None:
            return {word.name: 1.0 for word in words}
        room, asked = self._shares(words, now)
        local = min(1.0, room[zone] / asked[zone])
        spare = {}
        for name in room:
            spare[name] = max(0.0, room[name] - asked[name])
        spare[zone] = 0.0
        total = sum(spare.values())
        weights = {}
        for word in words:
            place = word.availability_zone
            size = sum(1 for one in words if one.availability_zone == place)
            share = local if place == zone else 0.0
            if total > 0.0:
                share += (1.0 - local) * spare[place] / total
            weights[word.name] = share / size
        return weights

    def _shares(
        self, words: list[EntryInfo], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        room: dict[str, float] = {}
        for word in words:
            place = word.availability_zone
            room[place] = room.get(place, 0.0) + 1.0 / len(words)
        counts = {zone: PRIOR_ASKS * room[zone] for zone in room}
        heard = [demand for _, demand, _ in self._heard.values()]
        for demand in [self._demand.counts(now), *heard]:
            for zone in room:
                counts[zone] += demand.get(zone, 0.0)
        total = sum(counts.values())
        return room, {zone: counts[zone] / total for zone in counts}

    def _take(
        self,
        words: list[EntryInfo],
        weights: dict[str, float],
        zone: str | None,
        most: int,
    ) -> list[EntryInfo]:
        # Smooth weighted round robin: every entry earns its weight with
        # each answer and pays for being named, so that no run of answers
        # strays from the weights by more than one. The phase keeps the
        # entries that answer from naming the same ones in step.
        known = self._credits.get(zone, {})
        credits = {}
        for place, word in enumerate(words):
            start = (self._phase + place / len(words)) % 1.0
            credits[word.name] = known.get(word.name, start)
        for name, weight in weights.items():
            # Without a bound an entry whose weight is more than one place
            # in each answer would gather credit that outlives the cause.
            credits[name] = min(most, credits[name] + weight * most)
        useful = [word for word in words if weights[word.name] > 0.0]
        useful.sort(key=lambda word: (-credits[word.name], word.name))
        chosen = useful[:most]
        price = sum(weights.values()) * most / max(1, len(chosen))
        for word in chosen:
            credits[word.name] -= price
        self._credits[zone] = credits
        return chosen
