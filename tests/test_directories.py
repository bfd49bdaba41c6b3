"""Spread callers over the entries, whatever their zones."""

from random import Random

import pytest
from nutmegchute_core.directories import Directory
from nutmegchute_core.directories import ENTRY_LEASE_S
from nutmegchute_core.directories import EntryInfo

ENTRIES = 16
CALLERS = 500
KEEP_S = 5.0
MOST = 4
ROUNDS = 24

EVEN = {"miraflores": 0.34, "san-isidro": 0.33, "surco": 0.33}
UNEVEN = {"miraflores": 0.8, "san-isidro": 0.1, "surco": 0.1}


def word(number: int, zone: str, draining: bool = False) -> EntryInfo:
    """Build an entry's word."""
    return EntryInfo(f"entry-{number}", f"10.0.0.{number}:80", zone, draining)


class Town:
    """Run entries' directories and callers on virtual time."""

    def __init__(self, shares: dict[str, float]) -> None:
        self._random = Random(7)
        zones = list(shares)
        self.directories = []
        for number in range(1, ENTRIES + 1):
            own = word(number, zones[number % len(zones)])
            phase = self._random.random()
            self.directories.append(Directory(own, phase))
        self.callers: list[tuple[str, list[int]]] = []
        for zone, share in shares.items():
            for _ in range(round(CALLERS * share)):
                self.callers.append((zone, []))
        self.now = 0.0

    def gossip(self) -> None:
        """Let every directory hear every other."""
        for one in self.directories:
            demand = one.demand(self.now)
            for other in self.directories:
                other.update(one.own, dict(demand), self.now)

    def round(self) -> None:
        """Let every caller ask once within the time to keep."""
        for zone, kept in self._random.sample(self.callers, CALLERS):
            self.now += KEEP_S / CALLERS
            if self._random.random() < 0.1:
                self.gossip()
            place = self._random.choice(kept or range(ENTRIES))
            words = self.directories[place].choose(zone, MOST, self.now)
            kept[:] = [int(one.name[6:]) - 1 for one in words]
        self.gossip()

    def spread(self) -> tuple[float, float]:
        """Give max/mean load of the entries and the share kept local."""
        loads = [0.0] * ENTRIES
        local = 0.0
        for zone, kept in self.callers:
            for place in kept:
                loads[place] += 1 / len(kept)
                own = self.directories[place].own
                if own.availability_zone == zone:
                    local += 1 / len(kept)
        mean = sum(loads) / ENTRIES
        return max(loads) / mean, local / CALLERS


@pytest.mark.parametrize(
    ("shares", "most_spread", "least_local"),
    [(EVEN, 1.15, 0.9), (UNEVEN, 1.25, 0.4)],
)
def test_callers_spread_evenly(
    shares: dict[str, float], most_spread: float, least_local: float
) -> None:
    """Keep the busiest entry near the mean, callers near their zone.

    Most callers of one zone would overload its third of the entries while
    the others idle, if the zone always came first.
    """
    town = Town(shares)
    for _ in range(ROUNDS):
        town.round()
    spread, local = town.spread()
    print(f"max/mean {spread:.2f}, in their own zone {local:.2f}")
    assert spread <= most_spread
    assert local >= least_local


def test_draining_and_vanished_entries_leave() -> None:
    """Name no entry that said it drains or fell silent."""
    directory = Directory(word(1, "surco"))
    directory.update(word(2, "surco"), {}, 10.0)
    directory.update(word(3, "surco"), {}, 10.0)
    assert len(directory.choose("surco", MOST, 10.0)) == 3
    directory.update(word(2, "surco", draining=True), {}, 10.1)
    directory.update(word(2, "surco"), {}, 9.9)
    names = [one.name for one in directory.choose(None, MOST, 10.1)]
    assert sorted(names) == ["entry-1", "entry-3"]
    late = 10.1 + ENTRY_LEASE_S
    directory.expire(late)
    assert [one.name for one in directory.usable(late)] == ["entry-1"]
    directory.drain()
    assert directory.choose("surco", MOST, late) == []


def test_unknown_zones_cost_no_memory() -> None:
    """Treat made-up zones as none."""
    directory = Directory(word(1, "surco"))
    for number in range(1000):
        assert directory.choose(f"zone-{number}", MOST, 1.0)
    assert directory.demand(1.0) == {}
    assert set(directory._credits) == {None}
