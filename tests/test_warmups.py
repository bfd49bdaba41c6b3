"""Test the bound on calls from all entries to a cold endpoint."""

from random import Random

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.discovery import Discovery
from nutmegchute_core.endpoints import Endpoint
from nutmegchute_core.entry_groups import EntryGroup
from nutmegchute_core.entry_groups import EntryGroups
from nutmegchute_core.entry_groups import group_of
from nutmegchute_core.entry_groups import SETTLE_S
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.members import Announcement
from nutmegchute_core.registries import CHANGED
from nutmegchute_core.registries import Registry
from nutmegchute_core.registries import RENEWED
from nutmegchute_core.rules import read_services
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_core.warmups import WarmUpLimit
from nutmegchute_core.warmups import WarmUps
from support import rule
from support import team

SERVICE = "catalogo"
CALLS_PER_S = 6.1
OVERAGE = 1.5
SLACK = 8
# Most calls that an endpoint may get in any second: 17.15, rounded down.
BOUND = 17
ZONES = ["az-1", "az-2", "az-3"]
# Longest delay until a connected entry knows of another.
MAX_DELAY_S = 2.0
TRY_INTERVAL_S = 0.02
WORK_S = 0.3


def endpoint(number: int = 1, cold_s: float = 3.0) -> Announcement:
    """Build an endpoint's announcement."""
    return Announcement(
        service=SERVICE,
        endpoint=f"10.0.0.{number}:80",
        availability_zone=ZONES[0],
        slots=4,
        incarnation=1,
        instance=f"i-{number}",
        cold_s=cold_s,
    )


def zones_by_entry(count: int) -> dict[str, str]:
    """Build a mapping of entry names to zones."""
    return {f"entry-{n}": ZONES[n % 3] for n in range(count)}


def build_groups(entry: str, zones: dict[str, str], now: float) -> EntryGroups:
    """Build the groups of an entry that knows the given entries."""
    found = EntryGroups(entry)
    found.update(group_of(zones), now)
    return found


class GreedyEntry:
    """Send to one cold endpoint whenever the limit allows it."""

    def __init__(self, groups: EntryGroups, phase: float) -> None:
        self.groups = groups
        self.phase = phase
        warm_ups = WarmUps(groups)
        warm_ups.set_margin(OVERAGE, SLACK)
        self._limit = WarmUpLimit(warm_ups, CALLS_PER_S)
        self._endpoint = Endpoint(endpoint(), True, None)
        self._endpoint.cold_until = 1e9
        self._ends: list[float] = []

    def step(self, now: float) -> bool:
        """Send if the limit allows it; return whether it did."""
        while self._ends and self._ends[0] <= now:
            self._ends.pop(0)
            self._endpoint.in_flight -= 1
        if not self._limit.allows(self._endpoint, now):
            return False
        self._endpoint.count_send(now)
        self._ends.append(now + WORK_S)
        return True


def max_per_second(sent: list[float]) -> int:
    """Return the largest number of sends in any second."""
    sent.sort()
    most = 0
    first = 0
    for last, at in enumerate(sent):
        while at - sent[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def run_entries(
    entries: list[GreedyEntry], begin: float, end: float
) -> list[float]:
    """Let all entries try to send repeatedly; return the times of sends."""
    sent = []
    for turn in range(int((end - begin) / TRY_INTERVAL_S)):
        for entry in entries:
            now = begin + turn * TRY_INTERVAL_S + entry.phase
            if entry.step(now):
                sent.append(now)
    return sent


@pytest.mark.parametrize("count", [1, 3, 17, 135, 312])
def test_entries_together_keep_the_bound_and_use_it(count: int) -> None:
    """Guard against many entries whose small rates add up to too much."""
    random = Random(count)
    zones = zones_by_entry(count)
    entries = [
        GreedyEntry(
            build_groups(one, zones, 0.0), random.random() * TRY_INTERVAL_S
        )
        for one in zones
    ]
    sent = run_entries(entries, SETTLE_S + 0.1, SETTLE_S + 5.1)
    assert max_per_second(sent) <= BOUND
    assert len(sent) / 5.0 >= CALLS_PER_S


@pytest.mark.parametrize("count", [17, 135, 312])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bound_holds_while_entries_join_and_restart(
    count: int, seed: int
) -> None:
    """Guard against groups that arrive late or are lost in a restart.

    A third of the entries joins during the warm-up and becomes known to the
    others late. A tenth is disconnected and never knows of them, and a tenth
    restarts without any state.
    """
    random = Random(seed)
    zones = zones_by_entry(count)
    first_zones = dict(list(zones.items())[: 2 * count // 3])
    entries = []
    updates: list[tuple[float, int, dict[str, str]]] = []
    for number, name in enumerate(zones):
        comes_at = 0.0 if name in first_zones else SETTLE_S + random.random()
        first = first_zones if name in first_zones else zones
        entries.append(
            GreedyEntry(
                build_groups(name, first, comes_at),
                random.random() * TRY_INTERVAL_S,
            )
        )
        if random.random() > 0.1:
            arrives_at = SETTLE_S + 1.0 + random.random() * MAX_DELAY_S
            updates.append((arrives_at, number, zones))
        if random.random() < 0.1:
            updates.append((SETTLE_S + 3.0 * random.random(), number, {}))
    updates.sort(key=lambda one: one[0])
    sent: list[float] = []
    now = SETTLE_S + 0.1
    while now < SETTLE_S + 8.0:
        while updates and updates[0][0] <= now:
            at, number, known_zones = updates.pop(0)
            if known_zones:
                entries[number].groups.update(group_of(known_zones), at)
                continue
            name = list(zones)[number]
            phase = random.random() * TRY_INTERVAL_S
            entries[number] = GreedyEntry(build_groups(name, zones, at), phase)
        sent += run_entries(entries, now, now + TRY_INTERVAL_S)
        now += TRY_INTERVAL_S
    assert sent
    assert max_per_second(sent) <= BOUND


def test_new_entry_uses_no_cold_endpoint_at_first() -> None:
    """Guard against entries that start together and know only themselves."""
    zones = zones_by_entry(3)
    entry = GreedyEntry(build_groups("entry-0", zones, 10.0), 0.0)
    assert not entry.step(10.0)
    assert not entry.step(10.0 + SETTLE_S - 0.1)
    assert entry.step(10.0 + SETTLE_S + 0.1)


def test_replaced_groups_are_dropped() -> None:
    """Guard against groups that pile up with each change of entries."""
    groups = EntryGroups("entry-0")
    for second in range(100):
        groups.update(group_of(zones_by_entry(second % 7 + 1)), float(second))
    assert groups.count <= SETTLE_S + 2


def test_entries_of_the_endpoints_zone_go_first() -> None:
    """Guard against calls from other zones where local entries suffice."""
    zones = zones_by_entry(135)
    members = [
        zone
        for name, zone in zones.items()
        if GreedyEntry(build_groups(name, zones, 0.0), 0.0).step(
            SETTLE_S + 1.0
        )
    ]
    assert len(members) == BOUND // 2
    assert set(members) == {ZONES[0]}


def build_balancer(count: int) -> Balancer:
    """Build the balancer of the first of ``count`` entries."""
    built = Balancer(1, ZONES[0], name="entry-0")
    built.warm_ups.set_margin(OVERAGE, SLACK)
    built.groups.update(group_of(zones_by_entry(count)), 0.0)
    document = team(**{SERVICE: [rule()]})
    document["services"][SERVICE].update(
        warm_up_per_s=CALLS_PER_S, warm_up_s=3.0
    )
    built.configure(read_services({"lending": document}), 0.0)
    return built


def sends(actions: list[Action]) -> list[Send]:
    """Return the sends among actions."""
    return [one for one in actions if isinstance(one, Send)]


def call(balancer: Balancer, now: float) -> list[str]:
    """Make a call that is answered at once; return where it was sent."""
    call_id, actions = balancer.arrive(SERVICE, "GET", "/a", now)
    reached = []
    for send in sends(actions):
        reached.append(send.endpoint)
        result = Result(call_id, send.attempt, "answered", 0.001)
        balancer.finish(result, now + 0.001)
    balancer.abandon(call_id, now + 0.001)
    return reached


def test_calls_beyond_the_bound_go_to_warm_endpoints() -> None:
    """Guard against a cold endpoint that gets calls as the least loaded."""
    balancer = build_balancer(17)
    warm = [endpoint(number, 0.0) for number in range(2, 5)]
    balancer.update_upstreams([endpoint(1), *warm], 5.0)
    reached = []
    for number in range(100):
        reached += call(balancer, 5.0 + number * 0.02)
    assert len(reached) == 100
    assert reached.count("10.0.0.1:80") <= 2


def test_call_is_refused_if_others_warm_up_the_endpoints() -> None:
    """Guard against queueing for endpoints that this entry may not use."""
    balancer = build_balancer(135)
    refused = 0
    for number in range(1, 13):
        balancer.update_upstreams([endpoint(number)], 5.0)
        _, actions = balancer.arrive(SERVICE, "GET", "/a", 5.0)
        for action in actions:
            if isinstance(action, Refuse):
                assert "warming up" in action.reason
                assert action.retry_after_s > 0
                refused += 1
    assert refused >= 6


def test_health_page_reports_that_an_endpoint_is_cold() -> None:
    """Guard against calls to an endpoint that became cold unannounced."""
    balancer = build_balancer(135)
    cold = [endpoint(number, 0.0) for number in range(1, 13)]
    balancer.update_upstreams(cold, 5.0)
    assert call(balancer, 5.0)
    for one in cold:
        balancer.record_probe(
            SERVICE, one.endpoint, 0, 0.001, 6.0, 1.0, True, 2.0
        )
    reached = []
    for number in range(50):
        reached += call(balancer, 6.0 + number * 0.01)
    assert len(reached) < 12
    for one in cold:
        balancer.record_probe(
            SERVICE, one.endpoint, 0, 0.001, 7.0, 1.0, True, 0.0
        )
    assert call(balancer, 7.0)


def test_zone_counts_as_cold_after_its_evacuation() -> None:
    """Guard against a zone's whole load on endpoints that became cold."""
    balancer = build_balancer(135)
    announced = [endpoint(number, 0.0) for number in range(1, 13)]
    balancer.update_upstreams(announced, 5.0)
    balancer.apply_evacuations(EvacuationUpdate(1, [ZONES[0]]), 6.0)
    assert not call(balancer, 7.0)
    balancer.apply_evacuations(EvacuationUpdate(2, []), 8.0)
    reached = []
    for number in range(50):
        reached += call(balancer, 8.0 + number * 0.01)
    assert len(reached) < 12
    assert call(balancer, 11.1)


def test_second_warm_up_counts_as_a_change() -> None:
    """Guard against a second warm-up that does not reach the entries."""
    registry = Registry(1)
    assert registry.register(endpoint(1, 3.0), 1, 0.0) == CHANGED
    assert registry.register(endpoint(1, 1.4), 2, 1.5) == RENEWED
    assert registry.register(endpoint(1, 0.0), 3, 3.1) == RENEWED
    assert registry.register(endpoint(1, 3.0), 4, 9.0) == CHANGED
    (present,) = registry.since(1, registry.generation - 1, 10.0).present
    assert present.cold_s == pytest.approx(2.0)


def test_replica_builds_a_group_once_the_others_have_reported() -> None:
    """Guard against a group of only the first entries to connect."""
    discovery = Discovery("a:1", 1, 0.0)
    discovery.peers.update(["b:1"], 0.0)
    for name, zone in zones_by_entry(5).items():
        info = EntryInfo(name, f"{name}:1", zone)
        discovery.record_watch(WatchRequest(info, {}, 0, 0, 0.8), 0.1)
    assert discovery.group(0, 0.2) is None
    found = discovery.group(0, 2.0)
    assert found == group_of(zones_by_entry(5))
    assert discovery.group(found.digest, 2.1) is None
    assert EntryGroup().digest != found.digest
