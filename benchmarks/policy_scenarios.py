"""Define the services, the scenarios and the faults that they inject."""

from collections.abc import Callable
from math import exp
from random import Random
from typing import Any

from nutmegchute_core.members import Announcement
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP

from .policy_arrivals import Arrival
from .policy_upstreams import DELAYED
from .policy_upstreams import Endpoint
from .policy_upstreams import MEAN_WORK_S
from .policy_upstreams import Simulation
from .policy_upstreams import STUCK
from .policy_upstreams import ZERO

ENTRIES = 16
SETTLE_S = 0.5
MAX_ANNOUNCE_DELAY_S = 0.3
WORK_SIGMA = 0.4
NOISE_SIGMA = 0.5
PROBE_LOAD_SHARE = 0.01
PROBE_S = 0.005

LOOKUP = "GET"
ACTION = "POST"
BACKGROUND = "PUT"
DEADLINES_S = {LOOKUP: 0.5, ACTION: 1.0, BACKGROUND: 8.0}

DRAIN_AT_S = 1.0
REMOVE_AT_S = 1.5
RESTART_AT_S = 2.0
KILL_AT_S = 1.0
LEASE_S = 3.0


class ServiceProfile:
    """Describe a service at the size at which an organisation runs it."""

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
        """Return the calls per second that all slots can serve."""
        return self.count * self.slots / MEAN_WORK_S

    @property
    def probes_per_s(self) -> float:
        """Return the probe budget of all entries, set by PROBE_LOAD_SHARE."""
        return self.count * self.slots * PROBE_LOAD_SHARE / PROBE_S

    def build_document(self) -> dict[str, Any]:
        """Build the declaration of the service."""
        rules = [
            _build_rule("action", ACTION, False, "action"),
            _build_rule("sync", BACKGROUND, True, "background"),
            _build_rule("lookup", LOOKUP, True, "interactive"),
        ]
        return {
            "slots": self.slots,
            "queue": 256,
            "probes_per_s": self.probes_per_s,
            "most_entries": ENTRIES,
            "rules": rules,
        }

    def build_endpoints(self) -> list[Endpoint]:
        """Build the endpoints, spread evenly over the zones."""
        return [
            Endpoint(f"{number}:1", self.zones[number % 3], self.slots)
            for number in range(self.count)
        ]


def _build_rule(
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
PROFILES = {
    "prestamos": ServiceProfile(
        "prestamos", LIMA, 18, 3, {LOOKUP: 0.6, ACTION: 0.3, BACKGROUND: 0.1}
    ),
    "catalogo": ServiceProfile(
        "catalogo",
        LIMA,
        18,
        3,
        {LOOKUP: 0.85, ACTION: 0.05, BACKGROUND: 0.1},
    ),
    "catalog": ServiceProfile(
        "catalog",
        DK_EAST,
        15,
        2,
        {LOOKUP: 0.75, ACTION: 0.15, BACKGROUND: 0.1},
    ),
    "player": ServiceProfile(
        "player", DK_EAST, 15, 2, {LOOKUP: 0.6, ACTION: 0.3, BACKGROUND: 0.1}
    ),
}


class FaultInjector:
    """Inject faults and membership changes into one simulation."""

    def __init__(
        self, profile: ServiceProfile, simulation: Simulation, random: Random
    ) -> None:
        self.profile = profile
        self.simulation = simulation
        self.random = random
        self._states = dict.fromkeys(simulation.endpoints, UP)
        self._incarnations = dict.fromkeys(simulation.endpoints, 1)

    def sample(self, share: float) -> list[Endpoint]:
        """Draw a random share of the endpoints."""
        endpoints = list(self.simulation.endpoints.values())
        return self.random.sample(endpoints, round(len(endpoints) * share))

    def announce(self, max_delay_s: float = MAX_ANNOUNCE_DELAY_S) -> None:
        """Announce the live endpoints to each entry, after a random delay."""
        announcements = []
        for name, state in self._states.items():
            endpoint = self.simulation.endpoints[name]
            announcements.append(
                Announcement(
                    self.profile.service,
                    name,
                    endpoint.zone,
                    endpoint.slots,
                    self._incarnations[name],
                    state,
                )
            )
        simulation = self.simulation
        for entry in range(ENTRIES):
            at = simulation.now + self.random.random() * max_delay_s
            simulation.schedule(at, simulation.announce, entry, announcements)

    def drain(self, endpoints: list[Endpoint]) -> None:
        """Mark endpoints as draining and announce it."""
        for endpoint in endpoints:
            endpoint.draining = True
            self._states[endpoint.name] = DRAINING
        self.announce()

    def remove(self, endpoints: list[Endpoint]) -> None:
        """Remove endpoints and announce the others."""
        for endpoint in endpoints:
            self._states.pop(endpoint.name, None)
        self.announce()

    def restart(self, endpoints: list[Endpoint]) -> None:
        """Restart endpoints as new, cold processes and announce them."""
        for endpoint in endpoints:
            endpoint.draining = False
            endpoint.cold_since = self.simulation.now
            self._states[endpoint.name] = UP
            self._incarnations[endpoint.name] += 1
        self.announce()


class Scenario:
    """Define a load over time, as a share of capacity, and its faults."""

    def __init__(
        self,
        name: str,
        load: Callable[[float], float] | float,
        run_s: float = 3.0,
        inject_faults: Callable[[FaultInjector], None] | None = None,
    ) -> None:
        self.name = name
        self.run_s = run_s
        self._load = load
        self._inject_faults = inject_faults

    def load(self, now: float) -> float:
        """Return the offered load, as a share of capacity."""
        if callable(self._load):
            return self._load(now)
        return self._load

    def start(self, injector: FaultInjector) -> None:
        """Announce all endpoints and schedule the faults."""
        injector.announce(0.0)
        if self._inject_faults is not None:
            self._inject_faults(injector)

    def draw_arrivals(
        self, profile: ServiceProfile, seed: int
    ) -> list[Arrival]:
        """Draw the calls, the same for every strategy."""
        random = Random(seed)
        arrivals: list[Arrival] = []
        peak_load = max(self.load(0.0), self.load(self.run_s))
        methods = list(profile.mix)
        weights = list(profile.mix.values())
        now = 0.0
        while True:
            now += random.expovariate(peak_load * profile.capacity)
            if now >= self.run_s:
                return arrivals
            if random.random() * peak_load > self.load(now):
                continue
            method = random.choices(methods, weights)[0]
            noise_factors = (_noise(random), _noise(random), _noise(random))
            arrivals.append(
                Arrival(
                    now,
                    random.randrange(ENTRIES),
                    method,
                    MEAN_WORK_S * _lognormal(random, WORK_SIGMA),
                    DEADLINES_S[method],
                    noise_factors,
                )
            )


def _lognormal(random: Random, sigma: float) -> float:
    return exp(random.gauss(-sigma * sigma / 2, sigma))


def _noise(random: Random) -> float:
    return _lognormal(random, NOISE_SIGMA)


def _brief_slowdowns(injector: FaultInjector) -> None:
    for endpoint in injector.sample(1 / 3):
        now = 0.0
        while now < 10.0:
            now += injector.random.expovariate(1 / 0.07)
            length_s = injector.random.uniform(0.005, 0.05)
            endpoint.slow_spans.append((now, now + length_s, 5.0))
            now += length_s


def _long_slowdown(injector: FaultInjector) -> None:
    for endpoint in injector.sample(1 / 3):
        endpoint.slow_spans.append((1.0, 3.0, 5.0))


def _fail_fast(injector: FaultInjector) -> None:
    injector.sample(1.01 / injector.profile.count)[0].failing = True


def _hang(injector: FaultInjector) -> None:
    names = [
        one.name for one in injector.sample(1.01 / injector.profile.count)
    ]
    injector.simulation.schedule(KILL_AT_S, injector.simulation.kill, names)


def _misreport(mode: str) -> Callable[[FaultInjector], None]:
    def inject_faults(injector: FaultInjector) -> None:
        for endpoint in injector.sample(1 / 3):
            endpoint.report_mode = mode

    return inject_faults


def _replace(injector: FaultInjector) -> None:
    endpoints = injector.sample(0.2)
    simulation = injector.simulation
    simulation.schedule(DRAIN_AT_S, injector.drain, endpoints)
    simulation.schedule(REMOVE_AT_S, injector.remove, endpoints)
    simulation.schedule(RESTART_AT_S, injector.restart, endpoints)


def _lose_zone(injector: FaultInjector) -> None:
    simulation = injector.simulation
    zone = injector.profile.zones[0]
    endpoints = [
        one for one in simulation.endpoints.values() if one.zone == zone
    ]
    names = [one.name for one in endpoints]
    simulation.schedule(KILL_AT_S, simulation.kill, names)
    simulation.schedule(KILL_AT_S + LEASE_S, injector.remove, endpoints)


def _doubling_load(now: float) -> float:
    return 0.42 * (1.0 + min(1.0, max(0.0, now - 1.0)))


OVERLOAD = "overload 1.5x"
SCENARIOS = [
    Scenario("steady 50 %", 0.5),
    Scenario("steady 70 %", 0.7),
    Scenario("steady 85 %", 0.85),
    Scenario("steady 95 %", 0.95),
    Scenario("noisy third, 5-50 ms", 0.7, inject_faults=_brief_slowdowns),
    Scenario("noisy third, 2 s", 0.5, 4.0, _long_slowdown),
    Scenario("one fails fast", 0.7, inject_faults=_fail_fast),
    Scenario("one hangs", 0.7, 5.0, inject_faults=_hang),
    Scenario("reports stuck", 0.7, inject_faults=_misreport(STUCK)),
    Scenario("reports zero", 0.7, inject_faults=_misreport(ZERO)),
    Scenario("reports 2 s old", 0.7, inject_faults=_misreport(DELAYED)),
    Scenario("traffic doubles", _doubling_load, 3.5),
    Scenario("20 % replaced cold", 0.65, 4.0, _replace),
    Scenario("zone lost", 0.5, 3.0, _lose_zone),
    Scenario(OVERLOAD, 1.5, 3.0),
]
