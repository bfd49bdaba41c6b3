"""Choose entries for the callers that look them up."""

import math
from collections.abc import Collection

import msgspec

ENTRY_LEASE_S = 2.5
DEMAND_HALF_LIFE_S = 20.0
PRIOR_LOOKUPS = 0.5
MAX_ENTRIES = 64


# Begins the tokens of entries whose answers name the calls that were passed
# on. Those of earlier builds have no full stop.
NAMING_MARK = "n."


class RelayAddress(msgspec.Struct, frozen=True, array_like=True):
    """Hold where an entry takes the calls of others, and with which token.

    The token is known to the daemons of the deployment only.
    """

    address: str
    token: str

    @property
    def names_calls(self) -> bool:
        """Return whether its answers name the calls, by its token."""
        return self.token.startswith(NAMING_MARK)


class EntryInfo(msgspec.Struct, frozen=True, omit_defaults=True):
    """Describe one entry to other daemons.

    ``cut_off`` says that it reaches no endpoint; ``relay`` is where it takes
    the calls of such entries, None if it takes none.
    """

    name: str
    address: str
    availability_zone: str
    draining: bool = False
    cut_off: bool = False
    relay: RelayAddress | None = None


class PublicEntry(msgspec.Struct, frozen=True):
    """Describe one entry to callers and operators."""

    name: str
    address: str
    availability_zone: str
    draining: bool
    cut_off: bool


def publish(info: EntryInfo) -> PublicEntry:
    """Return what callers and operators may know of an entry."""
    return PublicEntry(
        info.name,
        info.address,
        info.availability_zone,
        info.draining,
        info.cut_off,
    )


class Demand:
    """Count callers' lookups by availability zone, with exponential decay."""

    __slots__ = ("_at", "_counts")

    def __init__(self) -> None:
        self._counts: dict[str, float] = {}
        self._at = 0.0

    def add(self, availability_zone: str, now: float) -> None:
        """Count one lookup."""
        self._decay(now)
        known = self._counts.get(availability_zone, 0.0)
        self._counts[availability_zone] = known + 1.0

    def counts(self, now: float) -> dict[str, float]:
        """Return the decayed count of each zone."""
        self._decay(now)
        return self._counts

    def _decay(self, now: float) -> None:
        share = math.exp2((self._at - now) / DEMAND_HALF_LIFE_S)
        self._at = now
        for zone in self._counts:
            self._counts[zone] *= share


def exclude_evacuated(
    entries: list[EntryInfo], evacuated: Collection[str]
) -> list[EntryInfo]:
    """Exclude the entries of evacuated zones, unless none would remain.

    All calls through such an entry would cross zones, which is costly.
    """
    kept = [one for one in entries if one.availability_zone not in evacuated]
    return kept or entries


def exclude_cut_off(entries: list[EntryInfo]) -> list[EntryInfo]:
    """Exclude the entries that reach no endpoint, unless none would remain.

    Others must serve their calls, which takes longer.
    """
    return [one for one in entries if not one.cut_off] or entries


class Directory:
    """Track the live entries and choose a subset for each caller.

    ``phase``, from 0 to 1, offsets the choice from that of other entries.
    """

    __slots__ = ("_credits", "_demand", "_entries", "_own_entry", "_phase")

    def __init__(self, own_entry: EntryInfo, phase: float = 0.0) -> None:
        self._own_entry = own_entry
        self._phase = phase
        self._entries: dict[
            str, tuple[EntryInfo, dict[str, float], float]
        ] = {}
        self._demand = Demand()
        self._credits: dict[str | None, dict[str, float]] = {}

    def update(
        self, entry: EntryInfo, demand: dict[str, float], valid_at: float
    ) -> None:
        """Record an entry's description of itself as of ``valid_at``."""
        if entry.name == self._own_entry.name:
            return
        known = self._entries.get(entry.name)
        if known is None and len(self._entries) >= MAX_ENTRIES:
            return
        if known is not None and valid_at < known[2]:
            return
        self._entries[entry.name] = (entry, demand, valid_at)

    def remove(self, name: str) -> None:
        """Remove an entry that did not answer, until its next update."""
        self._entries.pop(name, None)

    def expire(self, now: float) -> None:
        """Remove the entries whose lease has expired."""
        for name, (_, _, valid_at) in list(self._entries.items()):
            if now - valid_at > ENTRY_LEASE_S:
                del self._entries[name]

    def drain(self) -> None:
        """Mark this entry as draining."""
        self._own_entry = msgspec.structs.replace(
            self._own_entry, draining=True
        )

    def set_cut_off(self, cut_off: bool) -> None:
        """Set whether this entry reaches no endpoint."""
        self._own_entry = msgspec.structs.replace(
            self._own_entry, cut_off=cut_off
        )

    @property
    def own_entry(self) -> EntryInfo:
        """Return the description of this entry."""
        return self._own_entry

    def demand(self, now: float) -> dict[str, float]:
        """Return the recent lookups at this entry, by the callers' zone."""
        counts = self._demand.counts(now)
        return {zone: round(count, 1) for zone, count in counts.items()}

    def usable(self, now: float) -> list[EntryInfo]:
        """Return the entries that callers may use, sorted by name."""
        entries = [] if self._own_entry.draining else [self._own_entry]
        for entry, _, valid_at in self._entries.values():
            if entry.draining or now - valid_at > ENTRY_LEASE_S:
                continue
            entries.append(entry)
        return sorted(entries, key=lambda entry: entry.name)

    def choose(
        self,
        availability_zone: str | None,
        max_entries: int,
        now: float,
        evacuated: Collection[str] = (),
    ) -> list[EntryInfo]:
        """Choose up to ``max_entries`` entries for one caller.

        Entries of the caller's zone are preferred up to their fair share of
        all callers; the rest spills over to zones with spare capacity.
        """
        entries = exclude_cut_off(self.usable(now))
        entries = exclude_evacuated(entries, evacuated)
        zones = {entry.availability_zone for entry in entries}
        zone = availability_zone if availability_zone in zones else None
        if zone is not None:
            self._demand.add(zone, now)
        weights = self._weights(entries, zone, now)
        return self._select(entries, weights, zone, max_entries)

    def _weights(
        self, entries: list[EntryInfo], zone: str | None, now: float
    ) -> dict[str, float]:
        if zone is None:
            return {entry.name: 1.0 / len(entries) for entry in entries}
        capacity, demand_share = self._shares(entries, now)
        local = min(1.0, capacity[zone] / demand_share[zone])
        spare = {}
        for name in capacity:
            spare[name] = max(0.0, capacity[name] - demand_share[name])
        spare[zone] = 0.0
        total = sum(spare.values())
        weights = {}
        for entry in entries:
            entry_zone = entry.availability_zone
            size = sum(
                1 for one in entries if one.availability_zone == entry_zone
            )
            share = local if entry_zone == zone else 0.0
            if total > 0.0:
                share += (1.0 - local) * spare[entry_zone] / total
            weights[entry.name] = share / size
        return weights

    def _shares(
        self, entries: list[EntryInfo], now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        capacity: dict[str, float] = {}
        for entry in entries:
            entry_zone = entry.availability_zone
            capacity[entry_zone] = capacity.get(entry_zone, 0.0) + 1.0 / len(
                entries
            )
        counts = {zone: PRIOR_LOOKUPS * capacity[zone] for zone in capacity}
        others_demand = [demand for _, demand, _ in self._entries.values()]
        for demand in [self._demand.counts(now), *others_demand]:
            for zone in capacity:
                counts[zone] += demand.get(zone, 0.0)
        total = sum(counts.values())
        return capacity, {zone: counts[zone] / total for zone in counts}

    def _select(
        self,
        entries: list[EntryInfo],
        weights: dict[str, float],
        zone: str | None,
        max_entries: int,
    ) -> list[EntryInfo]:
        # Smooth weighted round robin: with each answer every entry gains its
        # weight in credit and each chosen one pays, so that no run of
        # answers deviates from the weights by more than one. The phase keeps
        # answering entries from choosing the same ones in lockstep.
        known = self._credits.get(zone, {})
        credits = {}
        for position, entry in enumerate(entries):
            start = (self._phase + position / len(entries)) % 1.0
            credits[entry.name] = known.get(entry.name, start)
        for name, weight in weights.items():
            # Unbounded, an entry whose weight exceeds one place in each
            # answer would gather credit that outlives the cause.
            credits[name] = min(
                max_entries, credits[name] + weight * max_entries
            )
        eligible = [entry for entry in entries if weights[entry.name] > 0.0]
        eligible.sort(key=lambda entry: (-credits[entry.name], entry.name))
        chosen = eligible[:max_entries]
        cost = sum(weights.values()) * max_entries / max(1, len(chosen))
        for entry in chosen:
            credits[entry.name] -= cost
        self._credits[zone] = credits
        return chosen
