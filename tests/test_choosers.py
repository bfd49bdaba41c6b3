"""Test the choice of an endpoint in virtual time."""

from collections import Counter
from random import Random

from nutmegchute_core.choosers import Chooser
from nutmegchute_core.demands import Demands
from nutmegchute_core.endpoints import EJECT_AFTER
from nutmegchute_core.endpoints import Endpoint
from nutmegchute_core.endpoints import FIRST_EJECTION_S
from nutmegchute_core.endpoints import WARM_UP_S
from nutmegchute_core.entry_groups import EntryGroups
from nutmegchute_core.policies import Policy
from support import announcement

MEAN_S = 0.02


def build_chooser(
    count: int, probed: bool = False, zone: str = "surco"
) -> tuple[Chooser, list[Endpoint]]:
    """Build a chooser whose endpoints all have the same latency and load."""
    chooser = Chooser(Random(5), Policy(), probed, Demands(EntryGroups()))
    endpoints = [
        Endpoint(
            announcement(f"{number}:1", availability_zone=zone), True, None
        )
        for number in range(count)
    ]
    chooser.update(endpoints, 0.0)
    for endpoint in endpoints:
        chooser.record_load(endpoint, 1, 0.0)
        chooser.record_answer(endpoint, MEAN_S, 0.0)
    return chooser, endpoints


def count_choices(
    chooser: Chooser, now: float, trial: bool = True
) -> Counter[str]:
    """Count where 200 calls would go."""
    found: Counter[str] = Counter()
    for _ in range(200):
        endpoint = chooser.choose([], trial, now)
        assert endpoint is not None
        found[endpoint.address] += 1
    return found


def test_fast_failures_do_not_attract_calls() -> None:
    """Guard against an endpoint that fails at once and looks idle.

    It answers in half a millisecond and reports no load, so by load or
    latency alone it would attract every call. It is ejected after a few
    failures, and each failed trial doubles the pause.
    """
    chooser, endpoints = build_chooser(6)
    bad = endpoints[0]
    for _ in range(EJECT_AFTER):
        chooser.record_load(bad, 0, 0.1)
        chooser.record_failure(bad, 0.1)
    assert bad.address not in count_choices(chooser, 0.2)
    later = 0.11 + FIRST_EJECTION_S
    assert bad.address in count_choices(chooser, later)
    assert bad.address not in count_choices(chooser, later, trial=False)
    chooser.record_failure(bad, later)
    assert bad.address not in count_choices(
        chooser, later + FIRST_EJECTION_S * 1.5
    )


def test_trial_waits_for_a_probe_if_probing_is_on() -> None:
    """Guard against a trial with a caller's request before a probe."""
    chooser, endpoints = build_chooser(6, probed=True)
    bad = endpoints[0]
    for _ in range(EJECT_AFTER):
        chooser.record_failure(bad, 0.1)
    assert chooser.next_ejected(0.2) is None
    later = 0.11 + FIRST_EJECTION_S
    assert bad.address not in count_choices(chooser, later)
    assert chooser.next_ejected(later) is bad
    chooser.record_probe_answer(bad)
    assert bad.address in count_choices(chooser, later)


def test_ejection_stops_at_half_the_pool() -> None:
    """Guard against ejecting nearly all endpoints.

    If a faulty release of a caller makes every endpoint answer 500, ejecting
    them one by one would send all calls to the last one.
    """
    chooser, endpoints = build_chooser(6)
    for endpoint in endpoints[:4]:
        for _ in range(EJECT_AFTER):
            chooser.record_failure(endpoint, 0.1)
    for endpoint in endpoints[4:]:
        endpoint.in_flight = endpoint.slots
    assert len(count_choices(chooser, 0.2)) == 4


def test_reports_lose_weight_with_age() -> None:
    """Avoid a busy endpoint after its report, but not an hour later."""
    chooser, endpoints = build_chooser(4)
    busy = endpoints[0]
    for endpoint in endpoints:
        load = 9 if endpoint is busy else 1
        chooser.record_load(endpoint, load, 1.0)
    mean = sum((9, 1, 1, 1)) / 4
    assert abs(busy.estimate_others(mean, MEAN_S, 1.0) - 9) < 1e-9
    assert abs(busy.estimate_others(mean, MEAN_S, 3600.0) - mean) < 0.01
    assert busy.address not in count_choices(chooser, 1.0)


def test_two_stalls_make_a_zone_suspect() -> None:
    """Guard against losing one call at each endpoint of a lost zone.

    No endpoint there answers or refuses a connection, so each one looks
    idle. After two late answers and none in time, all endpoints of the zone
    rank behind the others until one answers.
    """
    chooser, endpoints = build_chooser(6)
    far = [
        Endpoint(announcement(f"far-{number}:1"), True, None)
        for number in range(4)
    ]
    for endpoint in endpoints[:3]:
        endpoint.announcement = announcement(
            endpoint.address, availability_zone="miraflores"
        )
    chooser.update([*endpoints[:3], *far], 0.0)
    for endpoint in far:
        chooser.record_load(endpoint, 1, 1.0)
    for endpoint in far[:2]:
        chooser.record_stall(endpoint, 0.06, 1.0)
    used = count_choices(chooser, 1.0)
    assert set(used) == {one.address for one in endpoints[:3]}
    chooser.record_answer(far[3], MEAN_S, 1.1)
    assert far[3].address in count_choices(chooser, 1.1)


def test_new_endpoint_warms_up() -> None:
    """Guard against 16 entries that all flood a new, idle endpoint."""
    chooser, endpoints = build_chooser(3)
    cold = Endpoint(announcement("cold:1"), True, 10.0)
    chooser.update([*endpoints, cold], 0.0)
    assert "cold:1" not in count_choices(chooser, 10.0)
    assert "cold:1" in count_choices(chooser, 10.1 + WARM_UP_S)


def test_local_zone_is_preferred_until_it_is_busier() -> None:
    """Send calls to other zones only when the local endpoints are busier."""
    chooser, endpoints = build_chooser(4)
    for endpoint in endpoints[2:]:
        endpoint.local = False
    local = {one.address for one in endpoints[:2]}
    assert set(count_choices(chooser, 0.0)) == local
    for endpoint in endpoints[:2]:
        chooser.record_load(endpoint, 6, 1.0)
    for endpoint in endpoints[2:]:
        chooser.record_load(endpoint, 1, 1.0)
    assert not set(count_choices(chooser, 1.0)) & local


def test_large_pool_drops_draining_endpoints() -> None:
    """Guard against a draining endpoint that still reports its load."""
    chooser, endpoints = build_chooser(100)
    draining = endpoints[-1]
    chooser.update(endpoints[:-1], 0.0)
    chooser.record_load(draining, 0, 1.0)
    assert draining.address not in count_choices(chooser, 1.0)
