"""Measure how calls are placed on shared vms, in virtual time.

Usage:
  placing [--seeds=N] [--only=TEXT]
  placing --ablate [--seeds=N] [--only=TEXT] [--jobs=N]

Options:
  --seeds=N    Runs of each load pattern [default: 3].
  --only=TEXT  Run only patterns whose name contains this.
  --ablate     Disable each mechanism in turn.
  --jobs=N     Number of processes that run patterns [default: 2].

Noisy neighbours on an endpoint's vm make work five times as long for 150 ms
at a time. A call keeps the speed at which it starts, and the last free slot
is slower. Each answer reports the load and the stretch. Entries run real
balancers and share only the totals that control computes. Refused callers
retry after the time in the refusal; their latency counts from the first try.

The columns "in time" and "worst 2 s" are the share of calls answered within
their objective, in the whole run and in its worst two seconds; "cold" is the
maximum of calls to a cold endpoint in any second; "reset" is the share of
calls whose connection a full endpoint reset, "lost" that of calls without an
answer that may have run.
"""

import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from copy import copy
from math import exp
from math import pi
from math import sin
from random import Random
from typing import Any

from docopt import docopt
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import ExtraLimit
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.entry_groups import group_of
from nutmegchute_core.members import Announcement
from nutmegchute_core.policies import Policy
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.routes import Route
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service

from .policy import geometric_mean
from .policy_arrivals import Arrival
from .policy_baselines import LoadBalancer
from .policy_oracle import Oracle
from .policy_oracle import OracleEntry
from .policy_upstreams import Endpoint
from .policy_upstreams import Job
from .policy_upstreams import Simulation

SERVICE = "prestamos"
ZONES = ("miraflores", "san-isidro", "surco", "la-molina", "jesus-maria")
WORK_SIGMA = 0.3
NOISY_SHARE = 0.25
NOISY_FACTOR = 5.0
NOISY_SPAN_S = 0.15
LAST_SLOT_FACTOR = 1.7
PROBES_PER_S = 60.0
# Slot time of a load query at endpoints that handle it as a normal call.
PROBE_AS_CALL_S = 0.006
EXTRA_RATIO = 0.2
EXTRA_FIXED = 60.0
RUN_S = 12.0
GRACE_S = 4.0
SETTLE_S = 2.0
EVENT_AT_S = 5.0
# For COLD_S after a restart an endpoint is COLD_FACTOR times slower; its
# service declares a warm-up rate of WARM_UP_PER_S calls per second.
COLD_S = 3.0
COLD_FACTOR = 2.0
WARM_UP_PER_S = 6.1
WARM_UP_OVERAGE = 1.5
WARM_UP_SLACK_PER_S = 8.0
WINDOW_S = 2.0
WAVE_S = 5.0
SLOW_FACTOR = 4.5

POLICY = "policy"
NO_QUERIES = "asking nobody"
ORACLE = "oracle"


class Deployment:
    """Describe the entries and callers of each zone, and their times.

    ``entries`` are counts and ``callers`` shares of the calls, by zone.
    ``one_way_s`` is the one-way delay between a caller and its entry. A
    ``once_share`` of the calls may run only once. ``repeats_at_once`` says
    that callers ignore Retry-After.
    """

    __slots__ = (
        "callers",
        "deadline_s",
        "entries",
        "most_entries",
        "noisy_share",
        "objective_s",
        "once_share",
        "one_way_s",
        "queue_limit",
        "repeats_at_once",
        "resets",
        "retries",
        "slots",
        "timeout_s",
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
        one_way_s: float,
        retries: int,
        slots: int = 3,
        noisy_share: float = NOISY_SHARE,
        queue_limit: int | None = None,
        resets: bool = False,
        once_share: float = 0.0,
        repeats_at_once: bool = False,
        most_entries: int | None = None,
    ) -> None:
        self.most_entries = most_entries
        self.noisy_share = noisy_share
        self.queue_limit = queue_limit
        self.resets = resets
        self.once_share = once_share
        self.repeats_at_once = repeats_at_once
        self.entries = entries
        self.callers = callers
        self.objective_s = objective_s
        self.timeout_s = timeout_s
        self.deadline_s = deadline_s
        self.work_s = work_s
        self.one_way_s = one_way_s
        self.retries = retries
        self.slots = slots

    @property
    def zones(self) -> list[str]:
        """Return the zone of each entry."""
        zones = []
        for zone, count in zip(ZONES, self.entries, strict=False):
            zones.extend([zone] * count)
        return zones

    @property
    def weights(self) -> list[float]:
        """Return the share of the calls that each entry gets."""
        weights = []
        for share, count in zip(self.callers, self.entries, strict=True):
            weights.extend([share / count] * count)
        return weights


# Long work, long deadlines, similar zones.
LONG_WORK = Deployment(
    entries=(6, 5, 5),
    callers=(0.375, 0.3125, 0.3125),
    objective_s=0.3,
    timeout_s=1.2,
    deadline_s=2.5,
    work_s=0.13,
    one_way_s=0.008,
    retries=2,
)
# Short work, one retry by callers, and a zone with few entries but many
# callers.
SHORT_WORK = Deployment(
    entries=(6, 5, 3),
    callers=(0.32, 0.29, 0.39),
    objective_s=0.2,
    timeout_s=0.8,
    deadline_s=0.8,
    work_s=0.065,
    one_way_s=0.003,
    retries=1,
)
# Hundreds of entries, each with about one call per second, and 142
# endpoints.
MANY_ENTRIES = Deployment(
    entries=(59, 59, 66, 62, 66),
    callers=(0.21, 0.18, 0.23, 0.19, 0.19),
    objective_s=0.8,
    timeout_s=3.0,
    deadline_s=6.0,
    work_s=0.3,
    one_way_s=0.008,
    retries=2,
)


# Over a hundred entries and endpoints with four slots, modelled on a service
# where half of the calls are loans.
FOUR_SLOTS = Deployment(
    entries=(45, 48, 42),
    callers=(0.35, 0.35, 0.3),
    objective_s=0.45,
    timeout_s=1.6,
    deadline_s=3.2,
    work_s=0.17,
    one_way_s=0.003,
    retries=2,
    slots=4,
)


# Endpoints that reset connections when full, at 117 entries with eight calls
# a second each.
RESETTING = Deployment(
    entries=(39, 39, 39),
    callers=(1 / 3, 1 / 3, 1 / 3),
    objective_s=0.67,
    timeout_s=2.4,
    deadline_s=4.0,
    work_s=0.24,
    one_way_s=0.003,
    retries=2,
    slots=4,
    noisy_share=0.3,
    queue_limit=8,
    resets=True,
    once_share=0.3,
)
IMPATIENT = copy(RESETTING)
IMPATIENT.repeats_at_once = True
# Endpoints of the three zones.
RESETTING_COUNTS = (65, 65, 65)
RESETTING_PER_S = 936.0


class SharedEndpoint(Endpoint):
    """Run jobs on a vm that is slow while its neighbours are noisy."""

    def __init__(
        self, name: str, zone: str, random: Random, deployment: Deployment
    ) -> None:
        super().__init__(name, zone, deployment.slots)
        self.resets = deployment.resets
        if deployment.queue_limit is not None:
            self.queue_limit = deployment.queue_limit
        # Slowdown that the reports do not show.
        self.hidden_factor = 1.0
        self.shed_share = 0.0
        self.cold_until = 0.0
        # Arrival times of calls while the endpoint was cold.
        self.cold_arrivals: list[float] = []
        spans = int((RUN_S + GRACE_S) / NOISY_SPAN_S) + 1
        self._noisy_spans = [
            random.random() < deployment.noisy_share for _ in range(spans)
        ]
        self._offset_s = random.random() * NOISY_SPAN_S

    def stretch(self, now: float) -> float:
        """Return the stretch that noisy neighbours cause now."""
        span = int((now + self._offset_s) / NOISY_SPAN_S)
        noisy = self._noisy_spans[min(span, len(self._noisy_spans) - 1)]
        return NOISY_FACTOR if noisy else 1.0

    def cold_slowdown(self, now: float) -> float:
        """Return the slowdown that a recent restart causes now."""
        cold_factor = COLD_FACTOR if now < self.cold_until else 1.0
        return cold_factor * self.hidden_factor

    def slowdown(self, now: float) -> float:
        """Return the slowdown of a job that starts now, from all causes."""
        last = self.busy + 1 >= self.slots
        factor = self.stretch(now) * (LAST_SLOT_FACTOR if last else 1.0)
        return factor * self.cold_slowdown(now)

    def completion_time(self, work_s: float, now: float) -> float:
        """Return when a job that has just taken its slot ends."""
        last = self.busy >= self.slots
        factor = self.stretch(now) * (LAST_SLOT_FACTOR if last else 1.0)
        return now + work_s * factor * self.cold_slowdown(now)


class Caller:
    """Track one caller's request through its tries."""

    __slots__ = ("first_at", "in_time", "lost", "once", "served", "tries")

    def __init__(self, first_at: float, once: bool) -> None:
        self.first_at = first_at
        self.once = once
        self.lost = False
        self.tries = 1
        self.served = False
        self.in_time = False


class SharedSimulation(Simulation):
    """Add callers that retry and endpoints that report their stretch."""

    def __init__(
        self,
        balancers: list[LoadBalancer],
        zones: list[str],
        endpoints: list[SharedEndpoint],
        random: Random,
        is_oracle: bool,
        deployment: Deployment,
        reports_load: bool,
        reports_stretch: bool,
    ) -> None:
        super().__init__(SERVICE, balancers, zones, list(endpoints), 0)
        self._rng = random
        self._is_oracle = is_oracle
        self._deployment = deployment
        self._reports_load = reports_load
        self._reports_stretch = reports_stretch
        self._rule = _build_rule(deployment, True)
        self._once_rule = _build_rule(deployment, False)
        self._callers_by_arrival: dict[Arrival, Caller] = {}
        self.callers: list[Caller] = []
        self.cross_zone_calls = 0

    @property
    def zones(self) -> list[str]:
        """Return the zone of each entry."""
        return self._zones

    def add_caller(self, at: float, entry: int, first_at: float) -> None:
        """Schedule a request whose caller first tried at ``first_at``."""
        share = self._deployment.once_share
        caller = Caller(first_at, share > 0 and self._rng.random() < share)
        self.callers.append(caller)
        self._schedule_try(at, entry, caller)

    def _schedule_try(self, at: float, entry: int, caller: Caller) -> None:
        sigma = WORK_SIGMA
        work_s = self._deployment.work_s * exp(
            self._rng.gauss(-sigma * sigma / 2, sigma)
        )
        left_s = caller.first_at + self._deployment.deadline_s - at
        arrival = Arrival(at, entry, "GET", work_s, left_s, (1.0,) * 3)
        self._callers_by_arrival[arrival] = caller
        self.schedule(at, self._arrive, arrival)

    def _arrive(self, arrival: Arrival) -> None:
        caller = self._callers_by_arrival[arrival]
        balancer = self._balancers[arrival.entry]
        if isinstance(balancer, Balancer):
            rule = self._once_rule if caller.once else self._rule
            call_id, actions = balancer.arrive_with_rule(
                SERVICE, rule, self.now, arrival.deadline_s
            )
        else:
            # The oracle serves only calls that can still meet the objective.
            deployment = self._deployment
            objective_at = (
                caller.first_at + deployment.objective_s - deployment.one_way_s
            )
            left_s = objective_at - self.now
            call_id, actions = balancer.arrive(
                SERVICE, "GET", "/", self.now, max(0.001, left_s)
            )
        self._arrivals[arrival.entry, call_id] = arrival
        self.perform(arrival.entry, actions)

    def _deliver(self, job: Job, endpoint: Endpoint) -> None:
        assert isinstance(endpoint, SharedEndpoint)
        if self.now < endpoint.cold_until:
            endpoint.cold_arrivals.append(self.now)
        if self._rng.random() < endpoint.shed_share:
            self._respond(job, endpoint, NOT_RUN, False)
            return
        self.cross_zone_calls += endpoint.zone != self._zones[job.entry]
        super()._deliver(job, endpoint)

    def _schedule_reply(
        self,
        at: float,
        job: Job,
        endpoint: Endpoint,
        outcome: str,
        load: int | None = None,
        failed: bool = False,
        stretch: float | None = None,
        loss: str = "",
    ) -> None:
        if not self._reports_load:
            load = stretch = None
        if not self._reports_stretch:
            stretch = None
        super()._schedule_reply(
            at, job, endpoint, outcome, load, failed, stretch, loss
        )

    def _probe(self, entry: int, name: str) -> None:
        endpoint = self._endpoints[name]
        self.probes.append(self.now)
        if not self._reports_load:
            endpoint.probe_debt_s += PROBE_AS_CALL_S
        delay_s = self._delay(entry, endpoint)
        self.schedule(
            self.now + delay_s, self._read_load, entry, endpoint, delay_s
        )

    def _read_load(
        self, entry: int, endpoint: Endpoint, delay_s: float
    ) -> None:
        if endpoint.dead:
            return
        load: int | None = None
        stretch: float | None = None
        if self._reports_load:
            load = endpoint.load(self.now)
            if self._reports_stretch:
                stretch = endpoint.stretch(self.now)
        at = self.now + delay_s
        self.schedule(
            at, self._receive_load, entry, endpoint.name, load, stretch
        )

    def _receive_load(
        self, entry: int, name: str, load: int | None, stretch: float | None
    ) -> None:
        balancer = self._balancers[entry]
        if isinstance(balancer, Balancer):
            actions = balancer.record_probe(
                SERVICE, name, load, 0.002, self.now, stretch, True
            )
            self.perform(entry, actions)

    def _complete(self, entry: int, action: CallAction) -> None:
        arrival = self._arrivals.pop((entry, action.call_id))
        caller = self._callers_by_arrival.pop(arrival)
        deployment = self._deployment
        if isinstance(action, Finish):
            caller.served = True
            elapsed_s = self.now + deployment.one_way_s - caller.first_at
            caller.in_time = elapsed_s <= deployment.objective_s
            return
        caller.lost = isinstance(action, Lose)
        if not isinstance(action, Refuse) or caller.tries > deployment.retries:
            return
        if self._is_oracle:
            return
        caller.tries += 1
        # One way for the answer, two to open a new connection, one to retry.
        at = self.now + 4 * deployment.one_way_s
        if not deployment.repeats_at_once:
            at += action.retry_after_s
        if at + deployment.work_s < caller.first_at + deployment.deadline_s:
            self._schedule_try(at, entry, caller)


class Pattern:
    """Define a load and the faults injected into the endpoints.

    With ``outage_s``, callers have waited that long for a system without
    power. Their calls arrive all at once, at entries that have no data yet.
    ``reports_load`` says whether answers report the load and the stretch,
    ``reports_stretch`` whether they report the latter at all. With ``wave``,
    the load of each zone varies by this share, with a third of a period
    between the phases of two zones.
    """

    __slots__ = (
        "deployment",
        "endpoints_per_zone",
        "inject_faults",
        "name",
        "outage_s",
        "per_s",
        "reports_load",
        "reports_stretch",
        "wave",
    )

    def __init__(
        self,
        name: str,
        per_s: Callable[[float], float],
        endpoints_per_zone: tuple[int, ...] = (6, 7, 4),
        inject_faults: Callable[[SharedSimulation], None] | None = None,
        outage_s: float = 0.0,
        deployment: Deployment = LONG_WORK,
        reports_load: bool = True,
        wave: float = 0.0,
        reports_stretch: bool = True,
    ) -> None:
        self.reports_stretch = reports_stretch
        self.reports_load = reports_load
        self.wave = wave
        self.deployment = deployment
        self.name = name
        self.per_s = per_s
        self.endpoints_per_zone = endpoints_per_zone
        self.inject_faults = inject_faults
        self.outage_s = outage_s


def _build_rule(deployment: Deployment, idempotent: bool) -> Rule:
    document = {
        "host": "h",
        "path_prefix": "/",
        "idempotent": idempotent,
        "timeout_ms": deployment.timeout_s * 1000,
        "objective_ms": deployment.objective_s * 1000,
        "attempts": 2,
        "service": SERVICE,
    }
    name = "lookup" if idempotent else "loan"
    return Route(name, document, 0.0).rule


def _shed_calls(simulation: SharedSimulation) -> None:
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        endpoint.shed_share = 0.45


def _kill_half(simulation: SharedSimulation) -> None:
    names = list(simulation.endpoints)[::2]
    simulation.kill(names)


def _kill_third(simulation: SharedSimulation) -> None:
    names = list(simulation.endpoints)[::3]
    simulation.kill(names)


def _slow_third(simulation: SharedSimulation) -> None:
    for endpoint in list(simulation.endpoints.values())[::3]:
        assert isinstance(endpoint, SharedEndpoint)
        endpoint.hidden_factor = SLOW_FACTOR


def _resetting_burst(now: float) -> float:
    factor = 1.7 if 0 < now - EVENT_AT_S < 4.0 else 1.0
    return RESETTING_PER_S * factor


def _restart_zone_cold(simulation: SharedSimulation) -> None:
    """Restart all endpoints of one zone, about a third, cold at once."""
    announcements = []
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        restarted = endpoint.zone == ZONES[0]
        if restarted:
            endpoint.cold_until = simulation.now + COLD_S
        announcements.append(
            _build_announcement(endpoint, 2 if restarted else 1)
        )
    for entry in range(len(simulation.zones)):
        simulation.announce(entry, announcements)


def _build_announcement(
    endpoint: SharedEndpoint, incarnation: int
) -> Announcement:
    return Announcement(
        SERVICE,
        endpoint.name,
        endpoint.zone,
        endpoint.slots,
        incarnation,
        cold_s=COLD_S if incarnation > 1 else 0.0,
    )


PATTERNS = [
    Pattern("calm", lambda _: 100.0),
    Pattern("crowded zone", lambda _: 110.0, (5, 5, 3)),
    Pattern(
        "burst", lambda now: 170.0 if 0 < now - EVENT_AT_S < 3.0 else 100.0
    ),
    Pattern("half dark", lambda _: 90.0, inject_faults=_kill_half),
    Pattern("all shed 45 in 100", lambda _: 90.0, inject_faults=_shed_calls),
    Pattern("power comes back", lambda _: 110.0, outage_s=1.6),
    Pattern("nothing told", lambda _: 90.0, reports_load=False),
    Pattern(
        "nothing told, half dark",
        lambda _: 70.0,
        inject_faults=_kill_half,
        reports_load=False,
    ),
    Pattern(
        "nothing told, unequal",
        lambda _: 170.0,
        (5, 6, 5),
        deployment=SHORT_WORK,
        reports_load=False,
    ),
    Pattern(
        "unequal zones", lambda _: 200.0, (5, 6, 5), deployment=SHORT_WORK
    ),
    Pattern(
        "unequal burst",
        lambda now: 270.0 if 0 < now - EVENT_AT_S < 3.0 else 190.0,
        (5, 6, 5),
        deployment=SHORT_WORK,
    ),
    Pattern(
        "unequal, all shed",
        lambda _: 190.0,
        (5, 6, 5),
        _shed_calls,
        deployment=SHORT_WORK,
    ),
    Pattern(
        "unequal, a third dark",
        lambda _: 190.0,
        (5, 6, 5),
        _kill_third,
        deployment=SHORT_WORK,
    ),
    Pattern(
        "unequal, dark burst",
        lambda now: 260.0 if 0 < now - EVENT_AT_S < 3.0 else 190.0,
        (5, 6, 5),
        _kill_third,
        deployment=SHORT_WORK,
    ),
    Pattern(
        "unequal power",
        lambda _: 200.0,
        (5, 6, 5),
        outage_s=0.7,
        deployment=SHORT_WORK,
    ),
    Pattern(
        "four slots, power",
        lambda _: 500.0,
        (28, 24, 22),
        outage_s=2.0,
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
        _kill_third,
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "four slots, zone back cold",
        lambda _: 650.0,
        (28, 24, 22),
        _restart_zone_cold,
        deployment=FOUR_SLOTS,
    ),
    Pattern(
        "hundreds",
        lambda _: 320.0,
        (28, 32, 25, 30, 27),
        deployment=MANY_ENTRIES,
    ),
    Pattern(
        "hundreds, burst",
        lambda now: 560.0 if 0 < now - EVENT_AT_S < 3.0 else 320.0,
        (28, 32, 25, 30, 27),
        deployment=MANY_ENTRIES,
    ),
    Pattern(
        "hundreds, half dark",
        lambda _: 320.0,
        (28, 32, 25, 30, 27),
        _kill_half,
        deployment=MANY_ENTRIES,
    ),
    Pattern(
        "resetting",
        lambda _: RESETTING_PER_S,
        RESETTING_COUNTS,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, burst",
        _resetting_burst,
        RESETTING_COUNTS,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, waves",
        lambda _: RESETTING_PER_S * 1.5,
        RESETTING_COUNTS,
        deployment=RESETTING,
        wave=0.15,
    ),
    Pattern(
        "resetting, knee",
        lambda _: RESETTING_PER_S * 1.9,
        RESETTING_COUNTS,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, no stretch",
        _resetting_burst,
        RESETTING_COUNTS,
        deployment=RESETTING,
        reports_stretch=False,
    ),
    Pattern(
        "resetting, third dark",
        lambda _: RESETTING_PER_S,
        RESETTING_COUNTS,
        _kill_third,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, third slow",
        lambda _: RESETTING_PER_S,
        RESETTING_COUNTS,
        _slow_third,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, dark burst",
        _resetting_burst,
        RESETTING_COUNTS,
        _kill_third,
        deployment=RESETTING,
    ),
    Pattern(
        "resetting, impatient",
        _resetting_burst,
        RESETTING_COUNTS,
        _kill_third,
        deployment=IMPATIENT,
    ),
]


def _build_policy(strategy: str) -> Policy:
    if strategy == NO_QUERIES:
        return Policy("inquiries")
    return Policy() if strategy == POLICY else Policy(strategy)


def build_balancers(
    strategy: str, seed: int, oracle: Oracle, deployment: Deployment
) -> list[LoadBalancer]:
    """Build the balancer of each entry."""
    balancers: list[LoadBalancer] = []
    weights = deployment.weights
    document = {"warm_up_per_s": WARM_UP_PER_S, "warm_up_s": COLD_S}
    if deployment.most_entries is not None:
        document["most_entries"] = deployment.most_entries
    group = group_of(
        {str(entry): zone for entry, zone in enumerate(deployment.zones)}
    )
    for entry, zone in enumerate(deployment.zones):
        if strategy == ORACLE:
            balancers.append(OracleEntry(oracle, entry))
            continue
        balancer = Balancer(
            seed * 100 + entry, zone, _build_policy(strategy), str(entry)
        )
        balancer.warm_ups.set_margin(WARM_UP_OVERAGE, WARM_UP_SLACK_PER_S)
        balancer.groups.update(group, 0.0)
        balancer.configure({SERVICE: Service(SERVICE, document)}, 0.0)
        limit = ExtraLimit(EXTRA_RATIO, EXTRA_FIXED)
        balancer.limit_extra_sends(limit.share, limit.burst(len(weights)))
        probe_share = ProbeShare()
        probe_share.reported = weights[entry]
        probe_share.set_total(1.0, len(weights))
        balancer.limit_inquiries(PROBES_PER_S, probe_share.share(len(weights)))
        balancers.append(balancer)
    return balancers


def run(pattern: Pattern, strategy: str, seed: int) -> tuple[float, ...]:
    """Simulate a pattern once; return its figures in printed order."""
    random = Random(seed)
    endpoints = []
    for zone, count in zip(ZONES, pattern.endpoints_per_zone, strict=False):
        for number in range(count):
            name = f"{zone}-{number}:1"
            endpoints.append(
                SharedEndpoint(name, zone, random, pattern.deployment)
            )
    oracle = Oracle()
    deployment = pattern.deployment
    zones = deployment.zones
    simulation = SharedSimulation(
        build_balancers(strategy, seed, oracle, deployment),
        zones,
        endpoints,
        random,
        strategy == ORACLE,
        deployment,
        pattern.reports_load,
        pattern.reports_stretch,
    )
    if strategy == ORACLE:
        oracle.attach(simulation)
    announcements = [_build_announcement(one, 1) for one in endpoints]
    for entry in range(len(zones)):
        simulation.announce(entry, announcements)
    if pattern.inject_faults is not None:
        simulation.schedule(EVENT_AT_S, pattern.inject_faults, simulation)
    _schedule_callers(pattern, simulation, Random(seed + 1))
    simulation.run([], RUN_S + GRACE_S)
    return _summarize(pattern, simulation)


def _schedule_callers(
    pattern: Pattern, simulation: SharedSimulation, random: Random
) -> None:
    weights = pattern.deployment.weights
    now = -pattern.outage_s
    peak = max(pattern.per_s(at / 10) for at in range(int(RUN_S * 10)))
    while now < RUN_S:
        now += random.expovariate(peak)
        if random.random() * peak > pattern.per_s(now):
            continue
        # Callers that could not connect retry within 0.1 s of the start.
        at = now if now > 0 else random.random() * 0.1
        entry = random.choices(range(len(weights)), weights)[0]
        if pattern.wave:
            entry = _draw_entry(pattern, simulation.zones, random, now)
        simulation.add_caller(at, entry, now)


def _draw_entry(
    pattern: Pattern, zones: list[str], random: Random, now: float
) -> int:
    """Draw the entry of a call while waves run through the zones."""
    while True:
        entry = random.randrange(len(zones))
        phase = now / WAVE_S + ZONES.index(zones[entry]) / 3
        factor = 1.0 + pattern.wave * sin(2 * pi * phase)
        if random.random() * (1.0 + pattern.wave) < factor:
            return entry


def _summarize(
    pattern: Pattern, simulation: SharedSimulation
) -> tuple[float, ...]:
    start_s = 0.0 if pattern.outage_s else SETTLE_S
    measured = [
        one for one in simulation.callers if start_s <= one.first_at < RUN_S
    ]
    windows: dict[int, list[bool]] = {}
    for one in measured:
        windows.setdefault(int(one.first_at / WINDOW_S), []).append(
            one.in_time
        )
    worst = min(sum(ones) / len(ones) for ones in windows.values())
    calls = len(measured)
    return (
        sum(one.in_time for one in measured) / calls,
        worst,
        sum(one.served for one in measured) / calls,
        simulation.cross_zone_calls / calls,
        len(simulation.probes) / calls,
        float(_max_cold_per_s(simulation)),
        sum(at >= start_s for at in simulation.resets) / calls,
        sum(one.lost for one in measured) / calls,
    )


def _max_cold_per_s(simulation: SharedSimulation) -> int:
    """Return the maximum of calls to a cold endpoint in any second."""
    maximum = 0
    for endpoint in simulation.endpoints.values():
        assert isinstance(endpoint, SharedEndpoint)
        for first, at in enumerate(endpoint.cold_arrivals):
            later = [
                one
                for one in endpoint.cold_arrivals[first:]
                if one <= at + 1.0
            ]
            maximum = max(maximum, len(later))
    return maximum


def _mean_figures(task: tuple[str, str, range]) -> list[float]:
    """Return the mean figures of the named pattern over all seeds."""
    name, strategy, seeds = task
    pattern = next(one for one in PATTERNS if one.name == name)
    runs = [run(pattern, strategy, seed) for seed in seeds]
    return [sum(ones) / len(ones) for ones in zip(*runs, strict=True)]


def ablate(names: list[str], seeds: range, jobs: int) -> None:
    """Print what each pattern loses without each mechanism."""
    strategies = [POLICY, *Policy.__slots__]
    tasks = [
        (name, strategy, seeds) for strategy in strategies for name in names
    ]
    with ProcessPoolExecutor(jobs) as pool:
        found = dict(zip(tasks, pool.map(_mean_figures, tasks), strict=True))
    print("in time and worst 2 s with all, then what each loses without")
    for name in names:
        full = found[name, POLICY, seeds]
        print(f"\n{name}: {full[0]:.3f} {full[1]:.3f}")
        for strategy in strategies[1:]:
            figures = found[name, strategy, seeds]
            print(
                f"    {strategy:12}{full[0] - figures[0]:+8.3f}"
                f"{full[1] - figures[1]:+8.3f}"
            )


def main() -> int:
    """Run the command."""
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
        f"{'reset':>9}{'lost':>9}"
    )
    for pattern in PATTERNS:
        if text not in pattern.name:
            continue
        worst = {}
        for strategy in (NO_QUERIES, POLICY, ORACLE):
            means = _mean_figures((pattern.name, strategy, seeds))
            worst[strategy] = means[1]
            print(
                f"{pattern.name:20}{strategy:14}{means[0]:9.3f}"
                f"{means[1]:11.3f}{means[2]:9.3f}{means[3]:9.2f}"
                f"{means[4]:7.1f}{means[5]:6.1f}"
                f"{means[6]:9.4f}{means[7]:9.4f}"
            )
        ratios.append(worst[POLICY] / worst[ORACLE])
    print(
        f"\nplacing worst-window goodput versus oracle "
        f"{geometric_mean(ratios):.2f}, lowest {min(ratios):.2f}"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
