"""Test that callers are spread evenly over entries in all zones."""

from random import Random

import pytest
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import ENTRY_LEASE_S
from nutmegchute_core.directories import EntryInfo

ENTRIES = 16
CALLERS = 500
KEEP_S = 5.0
ENTRIES_PER_CALLER = 4
ROUNDS = 24

EVEN = {"miraflores": 0.34, "san-isidro": 0.33, "surco": 0.33}
UNEVEN = {"miraflores": 0.8, "san-isidro": 0.1, "surco": 0.1}


def entry(number: int, zone: str, draining: bool = False) -> EntryInfo:
    """Build an entry's description."""
    return EntryInfo(f"entry-{number}", f"10.0.0.{number}:80", zone, draining)


class Simulation:
    """Run the directories of many entries, and callers, on virtual time."""

    def __init__(self, shares: dict[str, float]) -> None:
        self._random = Random(7)
        zones = list(shares)
        self.directories = []
        for number in range(1, ENTRIES + 1):
            own = entry(number, zones[number % len(zones)])
            phase = self._random.random()
            self.directories.append(Directory(own, phase))
        self.callers: list[tuple[str, list[int]]] = []
        for zone, share in shares.items():
            for _ in range(round(CALLERS * share)):
                self.callers.append((zone, []))
        self.now = 0.0

    def gossip(self) -> None:
        """Update every directory from every other."""
        for one in self.directories:
            demand = one.demand(self.now)
            for other in self.directories:
                other.update(one.own_entry, dict(demand), self.now)

    def run_round(self) -> None:
        """Let every caller look up entries once within KEEP_S."""
        for zone, kept in self._random.sample(self.callers, CALLERS):
            self.now += KEEP_S / CALLERS
            if self._random.random() < 0.1:
                self.gossip()
            position = self._random.choice(kept or range(ENTRIES))
            chosen = self.directories[position].choose(
                zone, ENTRIES_PER_CALLER, self.now
            )
            kept[:] = [int(one.name[6:]) - 1 for one in chosen]
        self.gossip()

    def spread(self) -> tuple[float, float]:
        """Return the max/mean load of the entries and the zone-local share."""
        loads = [0.0] * ENTRIES
        local = 0.0
        for zone, kept in self.callers:
            for position in kept:
                loads[position] += 1 / len(kept)
                own = self.directories[position].own_entry
                if own.availability_zone == zone:
                    local += 1 / len(kept)
        mean = sum(loads) / ENTRIES
        return max(loads) / mean, local / CALLERS


@pytest.mark.parametrize(
    ("shares", "max_spread", "min_local"),
    [(EVEN, 1.15, 0.9), (UNEVEN, 1.25, 0.4)],
)
def test_callers_spread_evenly(
    shares: dict[str, float], max_spread: float, min_local: float
) -> None:
    """Guard against the overload of one zone's entries.

    Were a caller's own zone always preferred, a zone with most of the
    callers would overload its third of the entries while the others idle.
    """
    simulation = Simulation(shares)
    for _ in range(ROUNDS):
        simulation.run_round()
    spread, local = simulation.spread()
    print(f"max/mean {spread:.2f}, in their own zone {local:.2f}")
    assert spread <= max_spread
    assert local >= min_local


def test_draining_and_expired_entries_are_not_chosen() -> None:
    """Guard against sending callers to entries that drain or are gone."""
    directory = Directory(entry(1, "surco"))
    directory.update(entry(2, "surco"), {}, 10.0)
    directory.update(entry(3, "surco"), {}, 10.0)
    assert len(directory.choose("surco", ENTRIES_PER_CALLER, 10.0)) == 3
    directory.update(entry(2, "surco", draining=True), {}, 10.1)
    directory.update(entry(2, "surco"), {}, 9.9)
    names = [
        one.name for one in directory.choose(None, ENTRIES_PER_CALLER, 10.1)
    ]
    assert sorted(names) == ["entry-1", "entry-3"]
    late = 10.1 + ENTRY_LEASE_S
    directory.expire(late)
    assert [one.name for one in directory.usable(late)] == ["entry-1"]
    directory.drain()
    assert directory.choose("surco", ENTRIES_PER_CALLER, late) == []


def test_unknown_zones_cost_no_memory() -> None:
    """Guard against memory that grows with made-up zone names."""
    directory = Directory(entry(1, "surco"))
    for number in range(1000):
        assert directory.choose(f"zone-{number}", ENTRIES_PER_CALLER, 1.0)
    assert directory.demand(1.0) == {}
    assert set(directory._credits) == {None}


def test_first_lists_of_different_entries_differ() -> None:
    """Guard against callers of no zone that all get the same first names."""
    named = set()
    for number in range(20):
        directory = Directory(entry(1, "surco"), number / 20)
        for other in range(2, 7):
            directory.update(entry(other, "surco"), {}, 0.0)
        for one in directory.choose(None, 4, 0.0):
            named.add(one.name)
    assert len(named) == 6
