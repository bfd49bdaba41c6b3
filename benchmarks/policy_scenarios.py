"""Say what happens in each scenario, in virtual time."""

from collections.abc import Callable
from math import exp
from random import Random
from typing import Any

from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP

from .policy_arrivals import Arrival
from .policy_upstreams import Endpoint
from .policy_upstreams import MEAN_WORK_S
from .policy_upstreams import OLD
from .policy_upstreams import Simulation
from .policy_upstreams import STUCK
from .policy_upstreams import ZERO

ENTRIES = 16
WARM_S = 0.5
SPREAD_S = 0.3
WORK_SIGMA = 0.4
NOISE_SIGMA = 0.5
PROBE_SHARE = 0.01
PROBE_S = 0.005

LOOKUP = "GET"
ACTION = "POST"
BACKGROUND = "PUT"
DEADLINES_S = {LOOKUP: 0.5, ACTION: 1.0, BACKGROUND: 8.0}

DRAIN_AT_S = 1.0
LEAVE_AT_S = 1.5
RETURN_AT_S = 2.0
LOST_AT_S = 1.0
LEASE_S = 3.0


class Site:
    """Describe one service at the size that a user runs today."""

    def __init__(
        self,
        service: str,
        zones: tuple[str, str, str],
        count: int,
        slots: int,
        mix: dict[str, float],
    ) -> None:
        self.service = service
        self.zones = zones
        self.count = count
        self.slots = slots
        self.mix = mix

    @property
    def capacity(self) -> float:
        """Give the calls a second that all slots get through."""
        return self.count * self.slots / MEAN_WORK_S

    @property
    def probes_per_s(self) -> float:
        """Give the agreed probe budget: a share of the capacity."""
        return self.count * self.slots * PROBE_SHARE / PROBE_S

    def document(self) -> dict[str, Any]:
        """Declare the service as its team would."""
        rules = [
            _rule("action", ACTION, False, "action"),
            _rule("sync", BACKGROUND, True, "background"),
            _rule("lookup", LOOKUP, True, "interactive"),
        ]
        return {
            "slots": self.slots,
            "queue": 256,
            "probes_per_s": self.probes_per_s,
            "most_entries": ENTRIES,
            "rules": rules,
        }

    def endpoints(self) -> list[Endpoint]:
        """Build the endpoints, spread over the zones."""
        return [
            Endpoint(f"{number}:1", self.zones[number % 3], self.slots)
            for number in range(self.count)
        ]


def _rule(
    name: str, method: str, idempotent: bool, priority: str
) -> dict[str, Any]:
    return {
        "name": name,
        "reason": "benchmark",
        "method": method,
        "idempotent": idempotent,
        "priority": priority,
        "deadline_ms": int(DEADLINES_S[method] * 1000),
        "attempts": 2,
        "hedge": idempotent and priority == "interactive",
    }


LIMA = ("miraflores", "san-isidro", "surco")
DK_EAST = ("hall-a", "hall-b", "hall-c")
SITES = {
    "prestamos": Site(
        "prestamos", LIMA, 18, 3, {LOOKUP: 0.6, ACTION: 0.3, BACKGROUND: 0.1}
    ),
    "catalogo": Site(
        "catalogo",
        LIMA,
        18,
        3,
        {LOOKUP: 0.85, ACTION: 0.05, BACKGROUND: 0.1},
    ),
    "catalog": Site(
        "catalog",
        DK_EAST,
        15,
        2,
        {LOOKUP: 0.75, ACTION: 0.15, BACKGROUND: 0.1},
    ),
    "player": Site(
        "player", DK_EAST, 15, 2, {LOOKUP: 0.6, ACTION: 0.3, BACKGROUND: 0.1}
    ),
}


class World:
    """Let a scenario act on one simulation."""

    def __init__(
        self, site: Site, simulation: Simulation, random: Random
    ) -> None:
        self.site = site
        self.simulation = simulation
        self.random = random
        self._states = dict.fromkeys(simulation.endpoints, UP)
        self._incarnations = dict.fromkeys(simulation.endpoints, 1)

    def some(self, share: float) -> list[Endpoint]:
        """Pick a share of the endpoints."""
        ones = list(self.simulation.endpoints.values())
        return self.random.sample(ones, round(len(ones) * share))

    def announce(self, spread_s: float = SPREAD_S) -> None:
        """Tell every entry who lives, each after a delay of its own."""
        found = []
        for name, state in self._states.items():
            endpoint = self.simulation.endpoints[name]
            found.append(
                Announcement(
                    self.site.service,
                    name,
                    endpoint.zone,
                    endpoint.slots,
                    self._incarnations[name],
                    state,
                )
            )
        simulation = self.simulation
        for entry in range(ENTRIES):
            at = simulation.now + self.random.random() * spread_s
            simulation.at(at, simulation.announce, entry, found)

    def drain(self, ones: list[Endpoint]) -> None:
        """Let endpoints say that they leave."""
        for endpoint in ones:
            endpoint.leaving = True
            self._states[endpoint.name] = DRAINING
        self.announce()

    def leave(self, ones: list[Endpoint]) -> None:
        """Let endpoints be gone."""
        for endpoint in ones:
            self._states.pop(endpoint.name, None)
        self.announce()

    def come_back(self, ones: list[Endpoint]) -> None:
        """Let endpoints arrive as new, cold processes."""
        for endpoint in ones:
            endpoint.leaving = False
            endpoint.cold_at = self.simulation.now
            self._states[endpoint.name] = UP
            self._incarnations[endpoint.name] += 1
        self.announce()


class Scenario:
    """Set a load, as a share of capacity over time, and a course."""

    def __init__(
        self,
        name: str,
        load: Callable[[float], float] | float,
        run_s: float = 3.0,
        act: Callable[[World], None] | None = None,
    ) -> None:
        self.name = name
        self.run_s = run_s
        self._load = load
        self._act = act

    def load(self, now: float) -> float:
        """Give the load offered, as a share of capacity."""
        if callable(self._load):
            return self._load(now)
        return self._load

    def begin(self, world: World) -> None:
        """Announce everyone and set the course."""
        world.announce(0.0)
        if self._act is not None:
            self._act(world)

    def arrivals(self, site: Site, seed: int) -> list[Arrival]:
        """Draw the calls; the same for every policy."""
        random = Random(seed)
        found: list[Arrival] = []
        most = max(self.load(0.0), self.load(self.run_s))
        methods = list(site.mix)
        weights = list(site.mix.values())
        now = 0.0
        while True:
            now += random.expovariate(most * site.capacity)
            if now >= self.run_s:
                return found
            if random.random() * most > self.load(now):
                continue
            method = random.choices(methods, weights)[0]
            noises = (_noise(random), _noise(random), _noise(random))
            found.append(
                Arrival(
                    now,
                    random.randrange(ENTRIES),
                    method,
                    MEAN_WORK_S * _lognormal(random, WORK_SIGMA),
                    DEADLINES_S[method],
                    noises,
                )
            )


def _lognormal(random: Random, sigma: float) -> float:
    return exp(random.gauss(-sigma * sigma / 2, sigma))


def _noise(random: Random) -> float:
    return _lognormal(random, NOISE_SIGMA)


def _short_bursts(world: World) -> None:
    for endpoint in world.some(1 / 3):
        now = 0.0
        while now < 10.0:
            now += world.random.expovariate(1 / 0.07)
            length_s = world.random.uniform(0.005, 0.05)
            endpoint.slow.append((now, now + length_s, 5.0))
            now += length_s


def _long_bursts(world: World) -> None:
    for endpoint in world.some(1 / 3):
        endpoint.slow.append((1.0, 3.0, 5.0))


def _fail_fast(world: World) -> None:
    world.some(1.01 / world.site.count)[0].failing = True


def _hang(world: World) -> None:
    names = [one.name for one in world.some(1.01 / world.site.count)]
    world.simulation.at(LOST_AT_S, world.simulation.kill, names)


def _lie(kind: str) -> Callable[[World], None]:
    def act(world: World) -> None:
        for endpoint in world.some(1 / 3):
            endpoint.report = kind

    return act


def _replace(world: World) -> None:
    ones = world.some(0.2)
    simulation = world.simulation
    simulation.at(DRAIN_AT_S, world.drain, ones)
    simulation.at(LEAVE_AT_S, world.leave, ones)
    simulation.at(RETURN_AT_S, world.come_back, ones)


def _lose_zone(world: World) -> None:
    simulation = world.simulation
    zone = world.site.zones[0]
    ones = [one for one in simulation.endpoints.values() if one.zone == zone]
    names = [one.name for one in ones]
    simulation.at(LOST_AT_S, simulation.kill, names)
    simulation.at(LOST_AT_S + LEASE_S, world.leave, ones)


def _doubling(now: float) -> float:
    return 0.42 * (1.0 + min(1.0, max(0.0, now - 1.0)))


OVERLOAD = "overload 1.5x"
SCENARIOS = [
    Scenario("steady 50 %", 0.5),
    Scenario("steady 70 %", 0.7),
    Scenario("steady 85 %", 0.85),
    Scenario("steady 95 %", 0.95),
    Scenario("noisy third, 5-50 ms", 0.7, act=_short_bursts),
    Scenario("noisy third, 2 s", 0.5, 4.0, _long_bursts),
    Scenario("one fails fast", 0.7, act=_fail_fast),
    Scenario("one hangs", 0.7, 5.0, act=_hang),
    Scenario("reports stuck", 0.7, act=_lie(STUCK)),
    Scenario("reports zero", 0.7, act=_lie(ZERO)),
    Scenario("reports 2 s old", 0.7, act=_lie(OLD)),
    Scenario("traffic doubles", _doubling, 3.5),
    Scenario("20 % replaced cold", 0.65, 4.0, _replace),
    Scenario("zone lost", 0.5, 3.0, _lose_zone),
    Scenario(OVERLOAD, 1.5, 3.0),
]
