"""Measure how calls are placed on shared vms, on virtual time.

Usage:
  placing [--seeds=N] [--only=TEXT]
  placing --ablate [--seeds=N] [--only=TEXT] [--jobs=N]

Options:
  --seeds=N    Runs of each load pattern [default: 3].
  --only=TEXT  Run only patterns whose name has this.
  --ablate     Switch off each mechanism in turn.
  --jobs=N     Processes that run patterns side by side [default: 2].

Neighbours on an endpoint's vm stretch work fivefold for 150 ms at a time, a
call keeps the pace it begins with, the last slot is slow, and each answer
tells what runs and at which pace. Routers run real balancers and share
nothing but what control adds up for them. Callers that are refused come back
when they were told to, and count from their first try. A figure is the share
of calls answered within their objective, over the whole run and in its worst
two seconds; "cold" is the most calls that a cold endpoint got in a second.
"""

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from math import exp
from random import Random
from typing import Any

from docopt import docopt
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import ExtraLimit
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.members import Announcement
from nutmegchute_core.policies import Policy
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.routes import Route
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service
from nutmegchute_core.warmups import group_of

from .policy import geometric_mean
from .policy_arrivals import Arrival
from .policy_baselines import Decider
from .policy_oracle import Oracle
from .policy_oracle import OracleEntry
from .policy_upstreams import Endpoint
from .policy_upstreams import Job
from .policy_upstreams import Simulation

SERVICE = "prestamos"
ZONES = ("miraflores", "san-isidro", "surco", "la-molina", "jesus-maria")
WORK_SIGMA = 0.3
NEIGHBOURS_SHARE = 0.25
NEIGHBOURS_FACTOR = 5.0
NEIGHBOURS_S = 0.15
LAST_SLOT_FACTOR = 1.7
PROBES_PER_S = 60.0
# What a question takes of a slot where it is treated as any call.
UNTOLD_PROBE_S = 0.006
EXTRA_RATIO = 0.2
EXTRA_FIXED = 60.0
RUN_S = 12.0
TAIL_S = 4.0
WARM_S = 2.0
EVENT_AT_S = 5.0
# A cold endpoint: for how long, how much slower, what it declares to bear.
COLD_S = 3.0
COLD_FACTOR = 2.0
WARM_UP_PER_S = 6.1
WARM_UP_OVERAGE = 1.5
WARM_UP_SLACK = 8.0
WINDOW_S = 2.0

POLICY = "policy"
BLIND = "asking nobody"
ORACLE = "oracle"


class Deployment:
    """Describe callers and entries: who is where, and who waits how long.

    Times are in seconds. ``entries`` and ``callers`` are by zone, callers
    as a share; ``way_s`` is one way between a caller and its entry.
    """

    __slots__ = (
        "callers",
        "deadline_s",
        "entries",
        "objective_s",
        "retries",
        "slots",
        "timeout_s",
        "way_s",
        "work_s",
    )

    def __init__(
        self,
        *,
        entries: tuple[int, ...],
        callers: tuple[float, ...],
        objective_s: float,
        timeout_s: float,
        deadline_s: float,
        work_s: float,
        way_s: float,
        retries: int,
        slots: int = 3,
    ) -> None:
        self.entries = entries
        self.callers = callers
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        self.way_s = way_s
        self.retries = retries
        self.slots = slots

    @property
    def zones(self) -> list[str]:
        """List the zone of each entry."""
        found = []
        for zone, count in zip(ZONES, self.entries, strict=False):
            found.extend([zone] * count)
        return found

    @property
    def weights(self) -> list[float]:
        """List the share of the calls that each entry gets."""
        found = []
        for share, count in zip(self.callers, self.entries, strict=True):
            found.extend([share / count] * count)
        return found


# Long work, patient callers, zones alike.
LOANS = Deployment(
    entries=(6, 5, 5),
    callers=(0.375, 0.3125, 0.3125),
    objective_s=0.3,
    timeout_s=1.2,
    deadline_s=2.5,
    work_s=0.13,
    way_s=0.008,
    retries=2,
)
# Short work, callers that come back once, a zone of few entries and many
# callers.
PARTS = Deployment(
    entries=(6, 5, 3),
    callers=(0.32, 0.29, 0.39),
    objective_s=0.2,
    timeout_s=0.8,
    deadline_s=0.8,
    work_s=0.065,
    way_s=0.003,
    retries=1,
)
# Hundreds of entries, each with a call a second and 142 endpoints.
HUNDREDS = Deployment(
    entries=(59, 59, 66, 62, 66),
    callers=(0.21, 0.18, 0.23, 0.19, 0.19),
    objective_s=0.8,
    timeout_s=3.0,
    deadline_s=6.0,
    work_s=0.3,
    way_s=0.008,
    retries=2,
)


# Over a hundred entries, endpoints with four slots, half of the calls loans.
FOUR_SLOTS = Deployment(
    entries=(45, 48, 42),
    callers=(0.35, 0.35, 0.3),
    objective_s=0.45,
    timeout_s=1.6,
    deadline_s=3.2,
    work_s=0.17,
    way_s=0.003,
    retries=2,
    slots=4,
)


class SharedEndpoint(Endpoint):
    """Run jobs on a vm whose neighbours come and go."""

    def __init__(
        self, name: str, zone: str, random: Random, slots: int
    ) -> None:
        super().__init__(name, zone, slots)
        self.shed_share = 0.0
        self.cold_until = 0.0
        # When calls came while it was cold.
        self.came: list[float] = []
        spans = int((RUN_S + TAIL_S) / NEIGHBOURS_S) + 1
        self._noisy = [
            random.random() < NEIGHBOURS_SHARE for _ in range(spans)
        ]
        self._offset_s = random.random() * NEIGHBOURS_S

    def stretch(self, now: float) -> float:
        """Tell how much longer than usual work takes."""
        span = int((now + self._offset_s) / NEIGHBOURS_S)
        noisy = self._noisy[min(span, len(self._noisy) - 1)]
        return NEIGHBOURS_FACTOR if noisy else 1.0

    def coldness(self, now: float) -> float:
        """Give by how much work takes longer after a start."""
        return COLD_FACTOR if now < self.cold_until else 1.0

    def factor(self, now: float) -> float:
        """Give by how much a job that begins now is slower than usual."""
        last = self.busy + 1 >= self.slots
        factor = self.stretch(now) * (LAST_SLOT_FACTOR if last else 1.0)
        return factor * self.coldness(now)

    def end_of(self, work_s: float, now: float) -> float:
        """Give when a job that has just taken its slot ends."""
        last = self.busy >= self.slots
        factor = self.stretch(now) * (LAST_SLOT_FACTOR if last else 1.0)
        return now + work_s * factor * self.coldness(now)


class Caller:
    """Follow one caller's request through its tries."""

    __slots__ = ("first_at", "in_time", "served", "tries")

    def __init__(self, first_at: float) -> None:
        self.first_at = first_at
        self.tries = 1
        self.served = False
        self.in_time = False


class SharedSimulation(Simulation):
    """Let callers come back, and endpoints tell their pace."""

    def __init__(
        self,
        deciders: list[Decider],
        zones: list[str],
        endpoints: list[SharedEndpoint],
        random: Random,
        oracle: bool,
        deployment: Deployment,
        tells: bool,
    ) -> None:
        super().__init__(SERVICE, deciders, zones, list(endpoints), 0)
        self._draw = random
        self._oracle = oracle
        self._deployment = deployment
        self._tells = tells
        self._rule = _rule(deployment)
        self._of_arrival: dict[Arrival, Caller] = {}
        self.callers: list[Caller] = []
        self.crossed = 0

    @property
    def zones(self) -> list[str]:
        """List the zone of each entry."""
        return self._zones

    def offer(self, at: float, entry: int, first_at: float) -> None:
        """Let a request come whose caller first tried at a time."""
        caller = Caller(first_at)
        self.callers.append(caller)
        self._schedule(at, entry, caller)

    def _schedule(self, at: float, entry: int, caller: Caller) -> None:
        sigma = WORK_SIGMA
        work_s = self._deployment.work_s * exp(
            self._draw.gauss(-sigma * sigma / 2, sigma)
        )
        left_s = caller.first_at + self._deployment.deadline_s - at
        arrival = Arrival(at, entry, "GET", work_s, left_s, (1.0,) * 3)
        self._of_arrival[arrival] = caller
        self.at(at, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        caller = self._of_arrival[arrival]
        decider = self._deciders[arrival.entry]
        if isinstance(decider, Balancer):
            call_id, actions = decider.arrive_with_rule(
                SERVICE, self._rule, self.now, arrival.deadline_s
            )
        else:
            # The oracle serves whom it can serve in time.
            plan = self._deployment
            until = caller.first_at + plan.objective_s - plan.way_s
            left_s = until - self.now
            call_id, actions = decider.arrive(
                SERVICE, "GET", "/", self.now, max(0.001, left_s)
            )
        self._arrivals[arrival.entry, call_id] = arrival
        self.perform(arrival.entry, actions)

    def _reach(self, job: Job, endpoint: Endpoint) -> None:
        assert isinstance(endpoint, SharedEndpoint)
        if self.now < endpoint.cold_until:
            endpoint.came.append(self.now)
        if self._draw.random() < endpoint.shed_share:
            self._return(job, endpoint, NOT_RUN, False)
            return
        self.crossed += endpoint.zone != self._zones[job.entry]
        super()._reach(job, endpoint)

    def _reply_at(
        self,
        at: float,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None = None,
        failed: bool = False,
        stretch: float | None = None,
    ) -> None:
        if not self._tells:
            load = stretch = None
        super()._reply_at(at, job, endpoint, outcome, load, failed, stretch)

    def _probe(self, entry: int, name: str) -> None:
        endpoint = self._endpoints[name]
        self.probes.append(self.now)
        if not self._tells:
            endpoint.probe_debt_s += UNTOLD_PROBE_S
        delay_s = self._delay(entry, endpoint)
        self.at(self.now + delay_s, self._look, entry, endpoint, delay_s)

    def _look(self, entry: int, endpoint: Endpoint, delay_s: float) -> None:
        if endpoint.dead:
            return
        load: int | None = None
        stretch: float | None = None
        if self._tells:
            load = endpoint.load(self.now)
            stretch = endpoint.stretch(self.now)
        at = self.now + delay_s
        self.at(at, self._tell, entry, endpoint.name, load, stretch)

    def _tell(
        self, entry: int, name: str, load: int | None, stretch: float | None
    ) -> None:
        decider = self._deciders[entry]
        if isinstance(decider, Balancer):
            actions = decider.record_probe(
                SERVICE, name, load, 0.002, self.now, stretch, True
            )
            self.perform(entry, actions)

    def _conclude(self, entry: int, action: CallAction) -> None:
        arrival = self._arrivals.pop((entry, action.call_id))
        caller = self._of_arrival.pop(arrival)
        plan = self._deployment
        if isinstance(action, Finish):
            caller.served = True
            elapsed_s = self.now + plan.way_s - caller.first_at
            caller.in_time = elapsed_s <= plan.objective_s
            return
        if not isinstance(action, Refuse) or caller.tries > plan.retries:
            return
        if self._oracle:
            return
        caller.tries += 1
        # On a new connection, which takes a way there and back to open.
        at = self.now + 4 * plan.way_s + action.retry_after_s
        if at + plan.work_s < caller.first_at + plan.deadline_s:
            self._schedule(at, entry, caller)


class Pattern:
    """Describe a load and what happens to the endpoints."""

    __slots__ = (
        "act",
        "counts",
        "deployment",
        "name",
        "per_s",
        "returning_s",
        "tells",
    )

    def __init__(
        self,
        name: str,
        per_s: Callable[[float], float],
        counts: tuple[int, ...] = (6, 7, 4),
        act: Callable[[SharedSimulation], None] | None = None,
        returning_s: float = 0.0,
        deployment: Deployment = LOANS,
        tells: bool = True,
    ) -> None:
        # Whether answers tell what runs at an endpoint and at which pace.
        self.tells = tells
        self.deployment = deployment
        self.name = name
        self.per_s = per_s
        self.counts = counts
        self.act = act
        # The calls of so long come all at once, from callers that have
        # waited for a system without power; entries know nothing yet.
        self.returning_s = returning_s


def _rule(deployment: Deployment) -> Rule:
    document = {
        "host": "h",
        "path_prefix": "/",
        "idempotent": True,
        "timeout_ms": deployment.timeout_s * 1000,
        "objective_ms": deployment.objective_s * 1000,
        "attempts": 2,
        "service": SERVICE,
    }
    return Route("lookup", document, 0.0).rule


def _shed(simulation: SharedSimulation) -> None:
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        endpoint.shed_share = 0.45


def _halve(simulation: SharedSimulation) -> None:
    names = list(simulation.endpoints)[::2]
    simulation.kill(names)


def _lose_third(simulation: SharedSimulation) -> None:
    names = list(simulation.endpoints)[::3]
    simulation.kill(names)


def _return_cold(simulation: SharedSimulation) -> None:
    """Bring a third of the endpoints, of one zone, back cold at once."""
    live = []
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        back = endpoint.zone == ZONES[0]
        if back:
            endpoint.cold_until = simulation.now + COLD_S
        live.append(_announcement(endpoint, 2 if back else 1))
    for entry in range(len(simulation.zones)):
        simulation.announce(entry, live)


def _announcement(endpoint: SharedEndpoint, start: int) -> Announcement:
    return Announcement(
        SERVICE,
        endpoint.name,
        endpoint.zone,
        endpoint.slots,
        start,
        cold_s=COLD_S if start > 1 else 0.0,
    )


PATTERNS = [
    Pattern("calm", lambda _: 100.0),
    Pattern("crowded zone", lambda _: 110.0, (5, 5, 3)),
    Pattern(
        "burst", lambda now: 170.0 if 0 < now - EVENT_AT_S < 3.0 else 100.0
    ),
    Pattern("half dark", lambda _: 90.0, act=_halve),
    Pattern("all shed 45 in 100", lambda _: 90.0, act=_shed),
    Pattern("power comes back", lambda _: 110.0, returning_s=1.6),
    Pattern("nothing told", lambda _: 90.0, tells=False),
    Pattern(
        "nothing told, half dark", lambda _: 70.0, act=_halve, tells=False
    ),
    Pattern(
        "nothing told, unequal",
        lambda _: 170.0,
        (5, 6, 5),
        deployment=PARTS,
        tells=False,
    ),
    Pattern("unequal zones", lambda _: 200.0, (5, 6, 5), deployment=PARTS),
    Pattern(
        "unequal burst",
        lambda now: 270.0 if 0 < now - EVENT_AT_S < 3.0 else 190.0,
        (5, 6, 5),
        deployment=PARTS,
    ),
    Pattern(
        "unequal, all shed",
        lambda _: 190.0,
        (5, 6, 5),
        _shed,
        deployment=PARTS,
    ),
    Pattern(
        "unequal, a third dark",
        lambda _: 190.0,
        (5, 6, 5),
        _lose_third,
        deployment=PARTS,
    ),
    Pattern(
        "unequal, dark burst",
        lambda now: 260.0 if 0 < now - EVENT_AT_S < 3.0 else 190.0,
        (5, 6, 5),
        _lose_third,
        deployment=PARTS,
    ),
    Pattern(
        "unequal power",
        lambda _: 200.0,
        (5, 6, 5),
        returning_s=0.7,
        deployment=PARTS,
    ),
    Pattern(
        "four slots, power",
        lambda _: 500.0,
        (28, 24, 22),
        returning_s=2.0,
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "four slots, burst",
        lambda now: 900.0 if 0 < now - EVENT_AT_S < 3.0 else 550.0,
        (28, 24, 22),
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "four slots, third dark",
        lambda _: 550.0,
        (28, 24, 22),
        _lose_third,
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "four slots, zone back cold",
        lambda _: 650.0,
        (28, 24, 22),
        _return_cold,
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "hundreds",
        lambda _: 320.0,
        (28, 32, 25, 30, 27),
        deployment=HUNDREDS,
    ),
    Pattern(
        "hundreds, burst",
        lambda now: 560.0 if 0 < now - EVENT_AT_S < 3.0 else 320.0,
        (28, 32, 25, 30, 27),
        deployment=HUNDREDS,
    ),
    Pattern(
        "hundreds, half dark",
        lambda _: 320.0,
        (28, 32, 25, 30, 27),
        _halve,
        deployment=HUNDREDS,
    ),
]


def _policy(way: str) -> Policy:
    if way == BLIND:
        return Policy("inquiries")
    return Policy() if way == POLICY else Policy(way)


def build(
    way: str, seed: int, oracle: Oracle, deployment: Deployment
) -> list[Decider]:
    """Build the routers of a run."""
    deciders: list[Decider] = []
    weights = deployment.weights
    document = {"warm_up_per_s": WARM_UP_PER_S, "warm_up_s": COLD_S}
    group = group_of(
        {str(entry): zone for entry, zone in enumerate(deployment.zones)}
    )
    for entry, zone in enumerate(deployment.zones):
        if way == ORACLE:
            deciders.append(OracleEntry(oracle, entry))
            continue
        balancer = Balancer(seed * 100 + entry, zone, _policy(way), str(entry))
        balancer.warm_ups.set_margin(WARM_UP_OVERAGE, WARM_UP_SLACK)
        balancer.warm_ups.update_group(group, 0.0)
        balancer.configure({SERVICE: Service(SERVICE, document)}, 0.0)
        limit = ExtraLimit(EXTRA_RATIO, EXTRA_FIXED)
        balancer.limit_extra(limit.share, limit.burst(len(weights)))
        shares = ProbeShare()
        shares.reported = weights[entry]
        shares.set_total(1.0, len(weights))
        balancer.limit_inquiries(PROBES_PER_S, shares.share(len(weights)))
        deciders.append(balancer)
    return deciders


def run(pattern: Pattern, way: str, seed: int) -> tuple[float, ...]:
    """Play a pattern; return the figures."""
    random = Random(seed)
    endpoints = []
    for zone, count in zip(ZONES, pattern.counts, strict=False):
        for number in range(count):
            name = f"{zone}-{number}:1"
            endpoints.append(
                SharedEndpoint(name, zone, random, pattern.deployment.slots)
            )
    oracle = Oracle()
    deployment = pattern.deployment
    zones = deployment.zones
    simulation = SharedSimulation(
        build(way, seed, oracle, deployment),
        zones,
        endpoints,
        random,
        way == ORACLE,
        deployment,
        pattern.tells,
    )
    if way == ORACLE:
        oracle.watch(simulation)
    live = [_announcement(one, 1) for one in endpoints]
    for entry in range(len(zones)):
        simulation.announce(entry, live)
    if pattern.act is not None:
        simulation.at(EVENT_AT_S, pattern.act, simulation)
    _offer(pattern, simulation, Random(seed + 1))
    simulation.run([], RUN_S + TAIL_S)
    return _figures(pattern, simulation)


def _offer(
    pattern: Pattern, simulation: SharedSimulation, random: Random
) -> None:
    weights = pattern.deployment.weights
    now = -pattern.returning_s
    most = max(pattern.per_s(at / 10) for at in range(int(RUN_S * 10)))
    while now < RUN_S:
        now += random.expovariate(most)
        if random.random() * most > pattern.per_s(now):
            continue
        # Those that could not connect try again within a tenth of a second.
        at = now if now > 0 else random.random() * 0.1
        entry = random.choices(range(len(weights)), weights)[0]
        simulation.offer(at, entry, now)


def _figures(
    pattern: Pattern, simulation: SharedSimulation
) -> tuple[float, ...]:
    begin_s = 0.0 if pattern.returning_s else WARM_S
    counted = [
        one for one in simulation.callers if begin_s <= one.first_at < RUN_S
    ]
    windows: dict[int, list[bool]] = {}
    for one in counted:
        windows.setdefault(int(one.first_at / WINDOW_S), []).append(
            one.in_time
        )
    worst = min(sum(ones) / len(ones) for ones in windows.values())
    calls = len(counted)
    return (
        sum(one.in_time for one in counted) / calls,
        worst,
        sum(one.served for one in counted) / calls,
        simulation.crossed / calls,
        len(simulation.probes) / calls,
        float(_most_in_a_second(simulation)),
    )


def _most_in_a_second(simulation: SharedSimulation) -> int:
    """Count the most calls that came to a cold endpoint in any second."""
    most = 0
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        for first, at in enumerate(endpoint.came):
            later = [one for one in endpoint.came[first:] if one <= at + 1.0]
            most = max(most, len(later))
    return most


def _run_all(job: tuple[str, str, range]) -> list[float]:
    """Give a pattern's mean figures over seeds; the pattern by name."""
    name, way, seeds = job
    pattern = next(one for one in PATTERNS if one.name == name)
    runs = [run(pattern, way, seed) for seed in seeds]
    return [sum(ones) / len(ones) for ones in zip(*runs, strict=True)]


def ablate(names: list[str], seeds: range, jobs: int) -> None:
    """Show what each pattern loses without each mechanism."""
    ways = [POLICY, *Policy.__slots__]
    plan = [(name, way, seeds) for way in ways for name in names]
    with ProcessPoolExecutor(jobs) as pool:
        found = dict(zip(plan, pool.map(_run_all, plan), strict=True))
    print("in time and worst 2 s with all, then what each loses without")
    for name in names:
        whole = found[name, POLICY, seeds]
        print(f"\n{name}: {whole[0]:.3f} {whole[1]:.3f}")
        for way in ways[1:]:
            figures = found[name, way, seeds]
            print(
                f"    {way:12}{whole[0] - figures[0]:+8.3f}"
                f"{whole[1] - figures[1]:+8.3f}"
            )


def main() -> int:
    """Run what the arguments ask for."""
    arguments: dict[str, Any] = docopt(__doc__)
    seeds = range(1, int(arguments["--seeds"]) + 1)
    text = arguments["--only"] or ""
    if arguments["--ablate"]:
        names = [one.name for one in PATTERNS if text in one.name]
        ablate(names, seeds, int(arguments["--jobs"]))
        return 0
    ratios = []
    print(
        f"{'':34}{'in time':>9}{'worst 2 s':>11}{'served':>9}"
        f"{'crossed':>9}{'asked':>7}{'cold':>6}"
    )
    for pattern in PATTERNS:
        if text not in pattern.name:
            continue
        worst = {}
        for way in (BLIND, POLICY, ORACLE):
            means = _run_all((pattern.name, way, seeds))
            worst[way] = means[1]
            print(
                f"{pattern.name:20}{way:14}{means[0]:9.3f}{means[1]:11.3f}"
                f"{means[2]:9.3f}{means[3]:9.2f}{means[4]:7.1f}"
                f"{means[5]:6.1f}"
            )
        ratios.append(worst[POLICY] / worst[ORACLE])
    print(
        f"\nplacing worst-window goodput versus oracle "
        f"{geometric_mean(ratios):.2f}, lowest {min(ratios):.2f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
