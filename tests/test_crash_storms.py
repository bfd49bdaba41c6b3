"""Simulate crashing requests, and crashes that no request causes.

The balancers and the quarantine are the real ones, in virtual time.
"""

from collections import Counter
from collections.abc import Callable
from functools import partial
from itertools import count

import pytest
from crash_model import Model

BAD = "bad"
# Time until all entries know of a quarantine.
PROPAGATION_S = 3.0
# Sends that may still reach an endpoint after the propagation time.
MAX_LATE = 3
# Three crashes for the quarantine, and those of sends by a second entry from
# before the first crash was known.
MAX_CRASHES = 6
CALLS_PER_ENDPOINT = 12
RETRY_S = 0.08
LOOKUPS = 5


def _is_bad(fingerprint: str) -> bool:
    return fingerprint.startswith(BAD)


def _name_source(prefix: str, kinds: int | None = None) -> Callable[[], str]:
    """Return a source of request names, all different or ``kinds`` of them."""
    numbers = count()

    def name() -> str:
        number = next(numbers)
        return f"{prefix}-{number if kinds is None else number % kinds}"

    return name


def _bad_name() -> str:
    return BAD


def _schedule_load(model: Model, until: float) -> None:
    """Schedule background requests that all differ."""
    gap_s = 1 / (CALLS_PER_ENDPOINT * len(model.servers))
    model.schedule_requests(gap_s, until, _name_source("own"))


def _harmless_outcomes(model: Model) -> Counter[str]:
    found: Counter[str] = Counter()
    for (fingerprint, outcome), times in model.outcomes.items():
        if not _is_bad(fingerprint):
            found[outcome] += times
    return found


@pytest.mark.parametrize("seed", range(4))
def test_crashing_request_at_every_entry(seed: int) -> None:
    """Guard against entries that each allow a request three crashes."""
    model = Model(17, 17, seed, _is_bad)
    _schedule_load(model, 20.0)
    model.schedule_requests(RETRY_S, 20.0, _bad_name)
    model.run(24.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE
    assert len(model.crashed_at[BAD]) <= MAX_CRASHES
    # Retry-After is long, as an early retry would be refused again.
    assert model.retry_after[BAD][-1] > 60.0


def test_crashing_request_among_hundreds_of_entries() -> None:
    """Guard against entries that each allow a request three crashes."""
    model = Model(312, 270, 1, _is_bad)
    model.schedule_requests(0.01, 6.0, _name_source("own"))
    model.schedule_requests(RETRY_S, 6.0, _bad_name)
    model.run(9.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE
    assert len(model.crashed_at[BAD]) <= MAX_CRASHES


@pytest.mark.parametrize("seed", range(3))
def test_many_crashing_requests(seed: int) -> None:
    """Guard against several crashing requests at the same time."""
    model = Model(17, 17, seed, _is_bad)
    _schedule_load(model, 25.0)
    model.schedule_requests(RETRY_S, 25.0, _name_source(BAD, 3))
    model.run(30.0)
    for name in [f"{BAD}-{number}" for number in range(3)]:
        assert model.count_late(name, PROPAGATION_S) <= MAX_LATE
        assert len(model.crashed_at[name]) <= MAX_CRASHES


@pytest.mark.parametrize("seed", range(3))
def test_neighbours_of_a_crashing_request_are_answered(seed: int) -> None:
    """Guard against refusing requests that ran beside a crashing one."""
    outcomes = {}
    for bad in (True, False):
        model = Model(17, 17, seed, _is_bad)
        until = 20.0
        # Half of the endpoints' capacity, all of it with five lookups.
        model.schedule_requests(0.004, until, _name_source("popular", LOOKUPS))
        if bad:
            model.schedule_requests(RETRY_S, until, _bad_name)
        model.run(until + 4.0)
        outcomes[bad] = _harmless_outcomes(model)
    total = sum(outcomes[True].values())
    assert outcomes[True]["answered"] >= 0.97 * total
    assert outcomes[False]["answered"] >= 0.99 * sum(outcomes[False].values())


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("entries", [17, 60])
def test_storm_without_a_crashing_request(seed: int, entries: int) -> None:
    """Guard against quarantines if endpoints end for other reasons.

    All endpoints are killed three times while five lookups repeat.
    """
    answered = {}
    in_time = {}
    for detect_crashes in (True, False):
        model = Model(entries, 17, seed, _is_bad, detect_crashes)
        until = 30.0
        model.schedule_requests(0.01, until, _name_source("popular", LOOKUPS))
        for at in (5.0, 12.0, 19.0):
            for server in model.servers:
                model.schedule(at, partial(model.end_process, server))
        model.run(until + 4.0)
        in_time[detect_crashes] = model.in_time
        answered[detect_crashes] = _harmless_outcomes(model)["answered"]
        assert model.quarantine.count == 0
    assert in_time[True] >= 0.995 * in_time[False]
    assert answered[True] >= 0.995 * answered[False]


@pytest.mark.parametrize("seed", range(3))
def test_endpoints_that_flap(seed: int) -> None:
    """Guard against quarantined lookups because of flapping endpoints."""
    answered = {}
    for detect_crashes in (True, False):
        model = Model(17, 17, seed, _is_bad, detect_crashes)
        until = 30.0
        model.schedule_requests(0.008, until, _name_source("popular", LOOKUPS))
        for turn in range(25):
            for server in model.servers[:4]:
                model.schedule(
                    1.0 + turn * 1.1,
                    partial(model.end_process, server, restart_s=0.5),
                )
        model.run(until + 4.0)
        answered[detect_crashes] = _harmless_outcomes(model)["answered"]
        assert model.quarantine.count == 0
    assert answered[True] >= 0.995 * answered[False]


@pytest.mark.parametrize("seed", range(3))
def test_entries_that_restart_after_the_quarantine(seed: int) -> None:
    """Guard against losing a quarantine when all entries restart."""
    model = Model(17, 17, seed, _is_bad)
    _schedule_load(model, 20.0)
    model.schedule_requests(RETRY_S, 20.0, _bad_name)
    for entry in range(17):
        model.schedule(8.0 + entry * 0.1, partial(model.restart, entry))
    model.run(24.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_while_control_is_unavailable(seed: int) -> None:
    """Guard against endless crashes while control is unavailable.

    Each entry then decides by the crashes that it detected; once control is
    back, one quarantine applies to all.
    """
    model = Model(17, 17, seed, _is_bad)
    _schedule_load(model, 30.0)
    model.schedule_requests(RETRY_S, 30.0, _bad_name)
    model.control = False

    def restore_control() -> None:
        model.control = True

    model.schedule(10.0, restore_control)
    model.run(34.0)
    late = [
        at for at in model.crashed_at[BAD] if at > 10.0 + 2 * PROPAGATION_S
    ]
    assert len(late) <= MAX_LATE
    assert _harmless_outcomes(model)["answered"] > 0


@pytest.mark.parametrize("seed", range(3))
def test_service_with_one_endpoint(seed: int) -> None:
    """Guard against starving other requests of a single endpoint."""
    model = Model(5, 1, seed, _is_bad)
    model.schedule_requests(0.25, 60.0, _name_source("own"))
    model.schedule_requests(RETRY_S, 60.0, _bad_name)
    model.run(64.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE
    assert len(model.crashed_at[BAD]) <= 3 + 1
    found = _harmless_outcomes(model)
    assert found["answered"] >= 0.6 * sum(found.values())


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_within_a_storm(seed: int) -> None:
    """Guard against extra crashes if endpoints also end for other reasons.

    A crashing request repeats while all endpoints are killed twice, a quarter
    of them flap and entries restart.
    """
    model = Model(17, 17, seed, _is_bad)
    until = 30.0
    model.schedule_requests(0.01, until, _name_source("popular", LOOKUPS))
    model.schedule_requests(RETRY_S, until, _bad_name)
    for at in (2.0, 12.0):
        for server in model.servers:
            model.schedule(at, partial(model.end_process, server))
    for turn in range(25):
        for server in model.servers[:4]:
            model.schedule(
                1.0 + turn, partial(model.end_process, server, restart_s=0.5)
            )
    for entry in range(17):
        model.schedule(8.0 + entry * 0.5, partial(model.restart, entry))
    model.run(until + 4.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE
    assert model.quarantine.count == 1


@pytest.mark.parametrize("seed", range(3))
def test_leader_changes_while_a_request_is_on_trial(seed: int) -> None:
    """Guard against a crash count that restarts with each leader."""
    model = Model(17, 17, seed, _is_bad)
    _schedule_load(model, 25.0)
    model.schedule_requests(RETRY_S, 25.0, _bad_name)

    def set_control(available: bool) -> None:
        model.control = available

    for turn in range(12):
        model.schedule(0.2 + turn * 0.9, partial(set_control, False))
        model.schedule(0.6 + turn * 0.9, partial(set_control, True))
    model.run(29.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_of_a_split_route(seed: int) -> None:
    """Guard against separate crash counts for each service of a split."""
    model = Model(17, 24, seed, _is_bad, services=("old", "new", "next"))
    _schedule_load(model, 20.0)
    model.schedule_requests(RETRY_S, 20.0, _bad_name)
    model.run(24.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE


@pytest.mark.parametrize("seed", range(3))
def test_crashing_request_of_a_route_that_moves(seed: int) -> None:
    """Guard against a crash count that restarts when a route moves."""
    model = Model(17, 24, seed, _is_bad, services=("old", "new", "next"))
    _schedule_load(model, 40.0)
    for turn in range(400):
        at = turn * 0.1
        service = model.services[int(at / 5) % len(model.services)]
        model.schedule(at, partial(model.call, BAD, service))
    model.run(44.0)
    assert model.count_late(BAD, PROPAGATION_S) <= MAX_LATE
