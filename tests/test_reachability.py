"""Test when an entry takes itself as cut off from all endpoints."""

from random import Random

import pytest
from nutmegchute_core.members import Announcement
from nutmegchute_core.reachability import ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import Reachability
from nutmegchute_core.reachability import RECHECK_S
from nutmegchute_core.reachability import SILENT
from nutmegchute_core.reachability import UNCONNECTED
from support import announcement

ZONES = ("miraflores", "san-isidro", "surco")
PATHS = {"catalogo": "/health", "prestamos": "/health"}
# The cut must be known this long after its first failures.
CONTACT_S = 3.0
STEP_S = 0.01


class Links:
    """Answer the checks of one entry; some endpoints cannot be reached."""

    def __init__(self, seed: int, count: int = 12) -> None:
        self.now = 0.0
        self.resting: set[str] = set()
        self.lost: dict[str, str] = {}
        self.queried: list[str] = []
        self.endpoints = []
        for number in range(count):
            self.endpoints.append(
                announcement(
                    f"10.0.0.{number}:80",
                    service=("catalogo", "prestamos")[number % 2],
                    availability_zone=ZONES[number % 3],
                )
            )
        self.reachability = Reachability(Random(seed), self._may_query)
        self.reachability.update(self.endpoints, PATHS)

    def _may_query(self, one: Announcement, now: float) -> bool:
        return one.endpoint not in self.resting

    def lose(self, result: str, zone: str | None = None) -> None:
        """Lose the links to all endpoints, or to those of a zone."""
        for one in self.endpoints:
            if zone in (None, one.availability_zone):
                self.lost[one.endpoint] = result

    def fail(self, number: int, is_new: bool = True) -> None:
        """Let an attempt fail at an endpoint."""
        address = self.endpoints[number].endpoint
        if self.reachability.record_failure(address, is_new, self.now):
            self._answer(self.reachability.begin_check(self.now))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            due_at = self.reachability.next_at
            if due_at is not None and due_at <= self.now:
                self._answer(self.reachability.tick(self.now))

    def _answer(self, checks: list[LinkCheck]) -> None:
        pending = list(checks)
        while pending:
            check = pending.pop(0)
            self.queried.append(check.endpoint)
            result = self.lost.get(check.endpoint, ANSWERED)
            if result == "no answer":
                continue
            pending += self.reachability.record_check(
                check.endpoint, result, self.now
            )


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("result", [UNCONNECTED, SILENT, "no answer"])
def test_loss_of_all_links_is_noticed(result: str, seed: int) -> None:
    """Guard against an entry that refuses calls and takes itself as well."""
    links = Links(seed)
    links.lose(result)
    for number in (0, 1):
        links.fail(number)
    links.run(CONTACT_S / 2)
    assert links.reachability.is_cut_off
    (change,) = links.reachability.pop_changes()
    assert change.is_cut_off and len(change.failed) >= 2
    assert change.age_s is None


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("zone", ZONES)
def test_loss_of_one_zone_is_no_cut(zone: str, seed: int) -> None:
    """Guard against calls passed on while other zones can be reached."""
    links = Links(seed)
    links.lose(UNCONNECTED, zone)
    for _ in range(20):
        for number, one in enumerate(links.endpoints):
            if one.availability_zone == zone:
                links.fail(number)
        links.run(0.2)
        assert not links.reachability.is_cut_off
    assert links.reachability.pop_changes() == []


def test_one_endpoint_that_fails_is_not_checked() -> None:
    """Guard against checks that cost connections for each crash."""
    links = Links(0)
    for _ in range(10):
        links.fail(3)
        links.run(0.1)
    assert links.queried == []


def test_answers_on_open_connections_do_not_hide_the_loss() -> None:
    """Guard against kept connections taken as proof that new ones work."""
    links = Links(0)
    links.lose(UNCONNECTED)
    for number in (0, 1):
        links.fail(number)
        links.reachability.record_contact(False, links.now)
    links.run(CONTACT_S / 2)
    assert links.reachability.is_cut_off
    assert links.reachability.hears(0.0)


def test_full_endpoints_are_no_cut() -> None:
    """Guard against a cut seen in endpoints that close new connections."""
    links = Links(0)
    links.lose(SILENT)
    for number in (0, 1):
        links.fail(number)
        links.reachability.record_contact(False, links.now)
    for _ in range(10):
        links.fail(2)
        links.fail(3)
        links.reachability.record_contact(False, links.now)
        links.run(0.1)
        assert not links.reachability.is_cut_off


def test_return_of_a_link_ends_the_cut() -> None:
    """Guard against an entry that passes calls on after the cut."""
    links = Links(0)
    links.lose(UNCONNECTED)
    for number in (0, 1):
        links.fail(number)
    links.run(1.0)
    assert links.reachability.is_cut_off
    links.lost = {}
    links.run(2 * RECHECK_S)
    assert not links.reachability.is_cut_off
    assert [one.is_cut_off for one in links.reachability.pop_changes()] == [
        True,
        False,
    ]


@pytest.mark.parametrize("seed", range(5))
def test_flapping_links_are_noticed_each_time(seed: int) -> None:
    """Guard against pauses that grow while links come and go."""
    links = Links(seed)
    for _ in range(30):
        links.lose(UNCONNECTED)
        for number in (0, 1):
            links.fail(number)
        links.run(1.0)
        assert links.reachability.is_cut_off
        links.lost = {}
        links.run(1.0)
        assert not links.reachability.is_cut_off


def test_resting_endpoints_are_not_queried() -> None:
    """Guard against checks at endpoints that asked for rest."""
    links = Links(0)
    links.lose(UNCONNECTED)
    links.resting = {one.endpoint for one in links.endpoints[2:]}
    for number in (0, 1):
        links.fail(number)
    links.run(2.0)
    assert set(links.queried) <= {"10.0.0.0:80", "10.0.0.1:80"}
