"""Test which entries serve the calls of those that are cut off."""

from collections import Counter
from random import Random

import pytest
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.directories import RelayAddress
from nutmegchute_core.helpers import choose_helpers
from nutmegchute_core.helpers import Helpers
from nutmegchute_core.helpers import MAX_HELPERS
from nutmegchute_core.sessions import choose_entries

ZONES = ("miraflores", "san-isidro", "surco", "callao", "lince")
SIZES = [(17, 3), (117, 5), (312, 5)]
# The busiest helper gets at most this many times the mean.
MAX_UNEVENNESS = 2.5


def build_entry(number: int, zone: str, cut_off: bool) -> EntryInfo:
    """Describe an entry."""
    relay = RelayAddress(f"10.0.0.{number}:81", f"n.token-{number}")
    return EntryInfo(
        f"entry-{number}",
        f"10.0.0.{number}:80",
        zone,
        cut_off=cut_off,
        relay=relay,
    )


def build_entries(count: int, zones: int, cut: set[int]) -> list[EntryInfo]:
    """Describe all entries; some are cut off."""
    return [
        build_entry(number, ZONES[number % zones], number in cut)
        for number in range(count)
    ]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(("count", "zones"), SIZES)
def test_two_thirds_of_the_entries_are_spread_over_the_rest(
    count: int, zones: int, seed: int
) -> None:
    """Guard against a helper that gets the calls of most cut-off entries."""
    cut = set(Random(seed).sample(range(count), 2 * count // 3))
    entries = build_entries(count, zones, cut)
    loads: Counter[str] = Counter()
    for number in cut:
        one = entries[number]
        helpers = choose_helpers(one.name, one.availability_zone, entries)
        assert len(helpers) == MAX_HELPERS
        assert not any(helper.cut_off for helper in helpers)
        for helper in helpers:
            loads[helper.name] += 1
    mean = sum(loads.values()) / (count - len(cut))
    assert max(loads.values()) <= MAX_UNEVENNESS * mean


@pytest.mark.parametrize(("count", "zones"), SIZES)
def test_a_single_entry_is_helped_from_its_zone(
    count: int, zones: int
) -> None:
    """Guard against traffic between zones that no load asks for."""
    entries = build_entries(count, zones, {0})
    helpers = choose_helpers("entry-0", ZONES[0], entries)
    # Its share of the calls that need help is larger than its zone's share.
    near = [one for one in helpers if one.availability_zone == ZONES[0]]
    assert near and helpers[: len(near)] == near


@pytest.mark.parametrize(("count", "zones"), SIZES)
def test_entries_of_a_lost_zone_are_helped_from_others(
    count: int, zones: int
) -> None:
    """Guard against a zone whose entries choose one another."""
    cut = set(range(0, count, zones))
    entries = build_entries(count, zones, cut)
    for number in cut:
        helpers = choose_helpers(f"entry-{number}", ZONES[0], entries)
        assert len(helpers) == MAX_HELPERS
        assert all(one.availability_zone != ZONES[0] for one in helpers)


def test_entries_that_cannot_help_are_not_chosen() -> None:
    """Guard against calls passed to a build that takes none, or leaves."""
    old = EntryInfo("entry-1", "10.0.0.1:80", ZONES[0])
    leaving = build_entry(2, ZONES[0], False)
    leaving = EntryInfo(
        leaving.name, leaving.address, ZONES[0], True, relay=leaving.relay
    )
    own = build_entry(0, ZONES[0], True)
    assert choose_helpers("entry-0", ZONES[0], [own, old, leaving]) == []


def test_calls_go_to_helpers_in_turn() -> None:
    """Guard against one helper that gets all calls while others idle."""
    helpers = Helpers()
    helpers.update(build_entries(4, 1, set()))
    used = []
    for number in range(1, 9):
        found = helpers.choose([], 0.0)
        assert found is not None
        used.append(found.name)
        helpers.record_send(found.name, number)
        helpers.record_end(found.name)
    assert Counter(used) == Counter({f"entry-{one}": 2 for one in range(4)})


def test_callers_are_given_entries_that_reach_endpoints() -> None:
    """Guard against a list that names only entries that are cut off."""
    entries = build_entries(6, 3, {0, 1, 2, 3})
    found = choose_entries(entries, ZONES[0], 4, 1)
    assert set(found) == {"10.0.0.4:80", "10.0.0.5:80"}
    all_cut = build_entries(6, 3, set(range(6)))
    assert choose_entries(all_cut, ZONES[0], 64, 1)


def test_helper_whose_answers_name_no_calls_gets_none() -> None:
    """Pass no call to an earlier build, whose "not run" proves nothing."""
    helpers = Helpers()
    earlier = EntryInfo(
        "entry-1",
        "10.0.0.1:80",
        "surco",
        relay=RelayAddress("10.0.0.1:81", "token-1"),
    )
    helpers.update([earlier])
    assert not helpers.any_usable(0.0)
    assert helpers.choose([], 0.0) is None
    helpers.update([earlier, build_entry(2, "surco", False)])
    chosen = helpers.choose([], 0.0)
    assert chosen is not None and chosen.name == "entry-2"
