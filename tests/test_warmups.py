"""Bound the calls to cold endpoints over all entries together."""

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
from nutmegchute_core.evacuations import EvacuationUpdate
from nutmegchute_core.members import Announcement
from nutmegchute_core.registries import CHANGED
from nutmegchute_core.registries import Registry
from nutmegchute_core.registries import RENEWED
from nutmegchute_core.rules import read_services
from nutmegchute_core.sessions import WatchRequest
from nutmegchute_core.warmups import EntryGroup
from nutmegchute_core.warmups import group_of
from nutmegchute_core.warmups import SETTLE_S
from nutmegchute_core.warmups import WarmUpLimit
from nutmegchute_core.warmups import WarmUps
from support import rule
from support import team

SERVICE = "catalogo"
PER_S = 6.1
OVERAGE = 1.5
SLACK = 8
# What an endpoint bears in any second: 17.15.
BOUND = 17
ZONES = ["az-1", "az-2", "az-3"]
# How late an entry in touch hears of other entries.
NEWS_S = 2.0
TRY_S = 0.02
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


def names(count: int) -> dict[str, str]:
    """Map the names of entries to their zones."""
    return {f"entry-{n}": ZONES[n % 3] for n in range(count)}


def told(entry: str, zones: dict[str, str], now: float) -> WarmUps:
    """Build what an entry knows that was told of others at a time."""
    found = WarmUps(entry)
    found.set_margin(OVERAGE, SLACK)
    found.update_group(group_of(zones), now)
    return found


class Greedy:
    """Send to one cold endpoint whenever that is allowed."""

    def __init__(self, warm_ups: WarmUps, phase: float) -> None:
        self.warm_ups = warm_ups
        self.phase = phase
        self._limit = WarmUpLimit(warm_ups, PER_S)
        self._endpoint = Endpoint(endpoint(), True, None)
        self._endpoint.cold_until = 1e9
        self._ends: list[float] = []

    def step(self, now: float) -> bool:
        """Send if that is allowed; return whether it was."""
        while self._ends and self._ends[0] <= now:
            self._ends.pop(0)
            self._endpoint.in_flight -= 1
        if not self._limit.allows(self._endpoint, now):
            return False
        self._endpoint.count_send(now)
        self._ends.append(now + WORK_S)
        return True


def worst_second(sent: list[float]) -> int:
    """Count the most sends in any second."""
    sent.sort()
    most = 0
    first = 0
    for last, at in enumerate(sent):
        while at - sent[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def play(entries: list[Greedy], begin: float, end: float) -> list[float]:
    """Let all entries try again and again; return when they sent."""
    sent = []
    for turn in range(int((end - begin) / TRY_S)):
        for entry in entries:
            now = begin + turn * TRY_S + entry.phase
            if entry.step(now):
                sent.append(now)
    return sent


@pytest.mark.parametrize("count", [1, 3, 17, 135, 312])
def test_entries_together_keep_the_bound_and_use_it(count: int) -> None:
    """Guard against many entries that each send only a little."""
    random = Random(count)
    zones = names(count)
    entries = [
        Greedy(told(one, zones, 0.0), random.random() * TRY_S) for one in zones
    ]
    sent = play(entries, SETTLE_S + 0.1, SETTLE_S + 5.1)
    assert worst_second(sent) <= BOUND
    assert len(sent) / 5.0 >= PER_S


@pytest.mark.parametrize("count", [17, 135, 312])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_bound_holds_while_entries_come_and_start_anew(
    count: int, seed: int
) -> None:
    """Guard against lists of entries that are late, or lost in a restart.

    A third of the entries comes during the warm-up, each heard of late by
    the others; a tenth is out of touch and never hears of them; a tenth
    starts again and knows nothing.
    """
    random = Random(seed)
    zones = names(count)
    here = dict(list(zones.items())[: 2 * count // 3])
    entries = []
    news: list[tuple[float, int, dict[str, str]]] = []
    for number, name in enumerate(zones):
        comes_at = 0.0 if name in here else SETTLE_S + random.random()
        first = here if name in here else zones
        entries.append(
            Greedy(told(name, first, comes_at), random.random() * TRY_S)
        )
        if random.random() > 0.1:
            heard_at = SETTLE_S + 1.0 + random.random() * NEWS_S
            news.append((heard_at, number, zones))
        if random.random() < 0.1:
            news.append((SETTLE_S + 3.0 * random.random(), number, {}))
    news.sort(key=lambda one: one[0])
    sent: list[float] = []
    now = SETTLE_S + 0.1
    while now < SETTLE_S + 8.0:
        while news and news[0][0] <= now:
            at, number, heard = news.pop(0)
            if heard:
                entries[number].warm_ups.update_group(group_of(heard), at)
                continue
            name = list(zones)[number]
            phase = random.random() * TRY_S
            entries[number] = Greedy(told(name, zones, at), phase)
        sent += play(entries, now, now + TRY_S)
        now += TRY_S
    assert sent
    assert worst_second(sent) <= BOUND


def test_entry_that_starts_uses_no_cold_endpoint_yet() -> None:
    """Guard against entries that start together and know of no others."""
    zones = names(3)
    entry = Greedy(told("entry-0", zones, 10.0), 0.0)
    assert not entry.step(10.0)
    assert not entry.step(10.0 + SETTLE_S - 0.1)
    assert entry.step(10.0 + SETTLE_S + 0.1)


def test_lists_that_hold_no_more_are_forgotten() -> None:
    """Guard against a list kept for each entry that ever came or left."""
    warm_ups = WarmUps("entry-0")
    for second in range(100):
        warm_ups.update_group(group_of(names(second % 7 + 1)), float(second))
    assert warm_ups.view_count <= SETTLE_S + 2


def test_entries_of_the_endpoints_zone_go_first() -> None:
    """Guard against calls between zones where those near would do."""
    zones = names(135)
    members = [
        zone
        for name, zone in zones.items()
        if Greedy(told(name, zones, 0.0), 0.0).step(SETTLE_S + 1.0)
    ]
    assert len(members) == BOUND // 2
    assert set(members) == {ZONES[0]}


def entry_of(count: int) -> Balancer:
    """Build the decisions of the first of some entries."""
    built = Balancer(1, ZONES[0], name="entry-0")
    built.warm_ups.set_margin(OVERAGE, SLACK)
    built.warm_ups.update_group(group_of(names(count)), 0.0)
    document = team(**{SERVICE: [rule()]})
    document["services"][SERVICE].update(warm_up_per_s=PER_S, warm_up_s=3.0)
    built.configure(read_services({"lending": document}), 0.0)
    return built


def sends(actions: list[Action]) -> list[Send]:
    """Pick what is sent to endpoints."""
    return [one for one in actions if isinstance(one, Send)]


def call(balancer: Balancer, now: float) -> list[str]:
    """Make a call that is answered at once; return where it went."""
    call_id, actions = balancer.arrive(SERVICE, "GET", "/a", now)
    reached = []
    for send in sends(actions):
        reached.append(send.endpoint)
        result = Result(call_id, send.attempt, "answered", 0.001)
        balancer.finish(result, now + 0.001)
    balancer.abandon(call_id, now + 0.001)
    return reached


def test_calls_go_to_warm_endpoints_beyond_the_pace() -> None:
    """Guard against a newcomer that gets calls as the least loaded."""
    balancer = entry_of(17)
    warm = [endpoint(number, 0.0) for number in range(2, 5)]
    balancer.update_upstreams([endpoint(1), *warm], 5.0)
    reached = []
    for number in range(100):
        reached += call(balancer, 5.0 + number * 0.02)
    assert len(reached) == 100
    assert reached.count("10.0.0.1:80") <= 2


def test_call_is_refused_at_once_where_others_warm_the_endpoints() -> None:
    """Guard against a wait for endpoints that this entry will not use."""
    balancer = entry_of(135)
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


def test_endpoint_that_becomes_cold_is_told_by_its_health_page() -> None:
    """Guard against calls to an endpoint that turned cold unannounced."""
    balancer = entry_of(135)
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


def test_zone_that_is_taken_back_is_held_for_cold() -> None:
    """Guard against a zone's whole load on endpoints that turned cold."""
    balancer = entry_of(135)
    known = [endpoint(number, 0.0) for number in range(1, 13)]
    balancer.update_upstreams(known, 5.0)
    balancer.apply_evacuations(EvacuationUpdate(1, [ZONES[0]]), 6.0)
    assert not call(balancer, 7.0)
    balancer.apply_evacuations(EvacuationUpdate(2, []), 8.0)
    reached = []
    for number in range(50):
        reached += call(balancer, 8.0 + number * 0.01)
    assert len(reached) < 12
    assert call(balancer, 11.1)


def test_word_that_an_endpoint_is_cold_anew_is_news() -> None:
    """Guard against entries that never hear of a second warm-up."""
    registry = Registry(1)
    assert registry.register(endpoint(1, 3.0), 1, 0.0) == CHANGED
    assert registry.register(endpoint(1, 1.4), 2, 1.5) == RENEWED
    assert registry.register(endpoint(1, 0.0), 3, 3.1) == RENEWED
    assert registry.register(endpoint(1, 3.0), 4, 9.0) == CHANGED
    (present,) = registry.since(1, registry.generation - 1, 10.0).present
    assert present.cold_s == pytest.approx(2.0)


def test_replica_lists_all_entries_once_the_others_have_told() -> None:
    """Guard against a list that names only who was quickest."""
    discovery = Discovery("a:1", 1, 0.0)
    discovery.peers.update(["b:1"], 0.0)
    for name, zone in names(5).items():
        info = EntryInfo(name, f"{name}:1", zone)
        discovery.record_watch(WatchRequest(info, {}, 0, 0, 0.8), 0.1)
    assert discovery.group(0, 0.2) is None
    found = discovery.group(0, 2.0)
    assert found == group_of(names(5))
    assert discovery.group(found.digest, 2.1) is None
    assert EntryGroup().digest != found.digest
