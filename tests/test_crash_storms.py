"""Replay requests that crash endpoints, and crashes without such a request.

Real balancers and the real state of control decide on virtual time.
"""

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

import pytest
from crash_model import Model

BAD = "bad"
CONTACT_S = 3.0
MOST_LATE = 3
# Three endpoints for the verdict, and those that a second entry had sent it
# to before the first crash was known.
MOST_ENDED = 6
CALLS_PER_ENDPOINT = 12
RETRY_S = 0.08
LOOKUPS = 5


def _is_bad(fingerprint: str) -> bool:
    return fingerprint.startswith(BAD)


def _names(prefix: str, kinds: int | None = None) -> Callable[[], str]:
    """Name requests in turn, all different or of so many kinds."""
    numbers = count()

    def name() -> str:
        number = next(numbers)
        return f"{prefix}-{number if kinds is None else number % kinds}"

    return name


def _bad() -> str:
    return BAD


def _load(model: Model, until: float) -> None:
    """Let requests arrive that all differ."""
    gap_s = 1 / (CALLS_PER_ENDPOINT * len(model.places))
    model.every(gap_s, until, _names("own"))


def _innocent(model: Model) -> Counter[str]:
    found: Counter[str] = Counter()
    for (fingerprint, outcome), times in model.outcomes.items():
        if not _is_bad(fingerprint):
            found[outcome] += times
    return found


@pytest.mark.parametrize("seed", range(4))
def test_crashing_request_at_every_entry(seed: int) -> None:
    """Guard against entries that each count to three by themselves."""
    model = Model(17, 17, seed, _is_bad)
    _load(model, 20.0)
    model.every(RETRY_S, 20.0, _bad)
    model.run(24.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE
    assert len(model.ended[BAD]) <= MOST_ENDED
    # Refused for long: a caller that comes back soon comes for nothing.
    assert model.retry_after[BAD][-1] > 60.0


def test_crashing_request_among_hundreds_of_entries() -> None:
    """Guard against entries that each count to three by themselves."""
    model = Model(312, 270, 1, _is_bad)
    model.every(0.01, 6.0, _names("own"))
    model.every(RETRY_S, 6.0, _bad)
    model.run(9.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE
    assert len(model.ended[BAD]) <= MOST_ENDED


@pytest.mark.parametrize("seed", range(3))
def test_many_crashing_requests(seed: int) -> None:
    """Guard each of several such requests that come at the same time."""
    model = Model(17, 17, seed, _is_bad)
    _load(model, 25.0)
    model.every(RETRY_S, 25.0, _names(BAD, 3))
    model.run(30.0)
    for name in [f"{BAD}-{number}" for number in range(3)]:
        assert model.late(name, CONTACT_S) <= MOST_LATE
        assert len(model.ended[name]) <= MOST_ENDED


@pytest.mark.parametrize("seed", range(3))
def test_neighbours_of_a_crashing_request_go_on(seed: int) -> None:
    """Guard against refusing the requests that ran beside a crash."""
    seen = {}
    for bad in (True, False):
        model = Model(17, 17, seed, _is_bad)
        until = 20.0
        # Half of the endpoints' capacity, all of it five lookups.
        model.every(0.004, until, _names("popular", LOOKUPS))
        if bad:
            model.every(RETRY_S, until, _bad)
        model.run(until + 4.0)
        seen[bad] = _innocent(model)
    total = sum(seen[True].values())
    assert seen[True]["answered"] >= 0.97 * total
    assert seen[False]["answered"] >= 0.99 * sum(seen[False].values())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("entries", [17, 60])
def test_storm_without_a_crashing_request(seed: int, entries: int) -> None:
    """Guard against suspects where endpoints end for other reasons.

    All endpoints are killed three times over while five lookups repeat.
    """
    answered = {}
    in_time = {}
    for told in (True, False):
        model = Model(entries, 17, seed, _is_bad, told)
        until = 30.0
        model.every(0.01, until, _names("popular", LOOKUPS))
        for at in (5.0, 12.0, 19.0):
            for place in model.places:
                model.at(at, partial(model.end, place))
        model.run(until + 4.0)
        in_time[told] = model.in_time
        answered[told] = _innocent(model)["answered"]
        assert model.quarantine.count == 0
    assert in_time[True] >= 0.995 * in_time[False]
    assert answered[True] >= 0.995 * answered[False]


@pytest.mark.parametrize("seed", range(3))
def test_endpoints_that_flap(seed: int) -> None:
    """Guard against verdicts on lookups that meet flapping endpoints."""
    answered = {}
    for told in (True, False):
        model = Model(17, 17, seed, _is_bad, told)
        until = 30.0
        model.every(0.008, until, _names("popular", LOOKUPS))
        for turn in range(25):
            for place in model.places[:4]:
                model.at(
                    1.0 + turn * 1.1,
                    partial(model.end, place, back_s=0.5),
                )
        model.run(until + 4.0)
        answered[told] = _innocent(model)["answered"]
        assert model.quarantine.count == 0
    assert answered[True] >= 0.995 * answered[False]


@pytest.mark.parametrize("seed", range(3))
def test_entries_that_start_after_the_verdict(seed: int) -> None:
    """Guard against a verdict that is lost with the entries' processes."""
    model = Model(17, 17, seed, _is_bad)
    _load(model, 20.0)
    model.every(RETRY_S, 20.0, _bad)
    for entry in range(17):
        model.at(8.0 + entry * 0.1, partial(model.restart, entry))
    model.run(24.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE


@pytest.mark.parametrize("seed", range(3))
def test_control_is_away_meanwhile(seed: int) -> None:
    """Guard against crashes for as long as control is not there.

    Each entry decides by its own crashes then; once control is back one
    verdict holds for all.
    """
    model = Model(17, 17, seed, _is_bad)
    _load(model, 30.0)
    model.every(RETRY_S, 30.0, _bad)
    model.control = False

    def back() -> None:
        model.control = True

    model.at(10.0, back)
    model.run(34.0)
    late = [at for at in model.ended[BAD] if at > 10.0 + 2 * CONTACT_S]
    assert len(late) <= MOST_LATE
    assert _innocent(model)["answered"] > 0


@pytest.mark.parametrize("seed", range(3))
def test_service_with_one_endpoint(seed: int) -> None:
    """Guard the other requests of a service that has one endpoint."""
    model = Model(5, 1, seed, _is_bad)
    model.every(0.25, 60.0, _names("own"))
    model.every(RETRY_S, 60.0, _bad)
    model.run(64.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE
    assert len(model.ended[BAD]) <= 3 + 1
    found = _innocent(model)
    assert found["answered"] >= 0.6 * sum(found.values())


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_within_a_storm(seed: int) -> None:
    """Guard the bound where endpoints end for other reasons as well.

    A crashing request comes all the time; all endpoints are killed twice, a
    quarter of them flap, and entries start anew.
    """
    model = Model(17, 17, seed, _is_bad)
    until = 30.0
    model.every(0.01, until, _names("popular", LOOKUPS))
    model.every(RETRY_S, until, _bad)
    for at in (2.0, 12.0):
        for place in model.places:
            model.at(at, partial(model.end, place))
    for turn in range(25):
        for place in model.places[:4]:
            model.at(1.0 + turn, partial(model.end, place, back_s=0.5))
    for entry in range(17):
        model.at(8.0 + entry * 0.5, partial(model.restart, entry))
    model.run(until + 4.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE
    assert model.quarantine.count == 1


@pytest.mark.parametrize("seed", range(3))
def test_leader_changes_while_a_request_is_on_trial(seed: int) -> None:
    """Guard against a count that begins anew with each leader."""
    model = Model(17, 17, seed, _is_bad)
    _load(model, 25.0)
    model.every(RETRY_S, 25.0, _bad)

    def lead(leads: bool) -> None:
        model.control = leads

    for turn in range(12):
        model.at(0.2 + turn * 0.9, partial(lead, False))
        model.at(0.6 + turn * 0.9, partial(lead, True))
    model.run(29.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_of_a_split_route(seed: int) -> None:
    """Guard against a count that begins anew at each service of a split."""
    model = Model(17, 24, seed, _is_bad, services=("old", "new", "next"))
    _load(model, 20.0)
    model.every(RETRY_S, 20.0, _bad)
    model.run(24.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_of_a_route_that_moves(seed: int) -> None:
    """Guard against a count that begins anew where a route is moved."""
    model = Model(17, 24, seed, _is_bad, services=("old", "new", "next"))
    _load(model, 40.0)
    for turn in range(400):
        at = turn * 0.1
        service = model.services[int(at / 5) % len(model.services)]
        model.at(at, partial(model.call, BAD, service))
    model.run(44.0)
    assert model.late(BAD, CONTACT_S) <= MOST_LATE
