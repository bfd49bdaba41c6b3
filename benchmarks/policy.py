"""Measure the decisions under load, on virtual time.

Usage:
  policy [--seeds=N] [--processes=N] [--only=TEXT] [--switch-off]

Options:
  --seeds=N      Runs per service and scenario [default: 1].
  --processes=N  Processes at once [default: 3].
  --only=TEXT    Run only scenarios whose name has this.
  --switch-off   Run the policy with each mechanism off in turn.

Each of 16 entries runs a real balancer; they share nothing. All ways get
the same calls, so a row compares like with like. Latencies are those of
lookups and actions, from arrival at the entry to the answer; a call not
answered counts as its deadline, but for the overload, where a third
cannot be answered by anyone and the goodput tells.
"""

import sys
from collections import Counter
from math import exp
from math import log
from multiprocessing import Pool
from random import Random

from docopt import docopt
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import ProbeBudget
from nutmegchute_core.policies import Policy
from nutmegchute_core.rules import read_services

from . import policy_costs
from .policy_baselines import BASELINES
from .policy_baselines import Decider
from .policy_baselines import Probing
from .policy_oracle import Oracle
from .policy_oracle import OracleEntry
from .policy_scenarios import BACKGROUND
from .policy_scenarios import ENTRIES
from .policy_scenarios import OVERLOAD
from .policy_scenarios import PROBE_S
from .policy_scenarios import Scenario
from .policy_scenarios import SCENARIOS
from .policy_scenarios import Site
from .policy_scenarios import SITES
from .policy_scenarios import WARM_S
from .policy_scenarios import World
from .policy_upstreams import Simulation

POLICY = "policy"
PROBING = "probing"
ORACLE = "oracle"
WAYS = [*BASELINES, PROBING, POLICY, ORACLE]
TAIL_S = 8.0
USERS = {
    "Red Andina": ("prestamos", "catalogo"),
    "Stillekilde": ("catalog", "player"),
}
PERCENTS = (50.0, 99.0, 99.9)


class Task:
    """Name one run."""

    def __init__(
        self, way: str, site: str, scenario: int, seed: int, off: str = ""
    ) -> None:
        self.way = way
        self.site = site
        self.scenario = scenario
        self.seed = seed
        self.off = off


class Outcome:
    """Hold what one run or several gave."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.calls = 0
        self.answered = 0
        self.extra = 0
        self.in_time = 0
        self.capacity = 0.0
        self.probe_peak = 0.0
        self.probe_cost = 0.0
        self.background = 0
        self.background_in_time = 0
        self.runs = 0

    def add(self, other: "Outcome") -> None:
        """Take in another run."""
        self.latencies.extend(other.latencies)
        self.calls += other.calls
        self.answered += other.answered
        self.extra += other.extra
        self.in_time += other.in_time
        self.capacity += other.capacity
        self.probe_peak = max(self.probe_peak, other.probe_peak)
        self.probe_cost += other.probe_cost
        self.background += other.background
        self.background_in_time += other.background_in_time
        self.runs += other.runs

    def percentile_ms(self, percent: float) -> float:
        """Give a percentile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies)
        return ordered[int(len(ordered) * percent / 100)] * 1000

    @property
    def mean_cost(self) -> float:
        """Give the share of the slots' time that probes took."""
        return self.probe_cost / self.runs

    @property
    def extra_share(self) -> float:
        """Give the retries and hedges per call."""
        return self.extra / self.calls

    @property
    def background_share(self) -> float:
        """Give the share of background calls answered in time."""
        return self.background_in_time / self.background

    @property
    def goodput(self) -> float:
        """Give in-time answers over what the slots could get through."""
        return self.in_time / self.capacity


def build(task: Task, site: Site) -> list[Decider]:
    """Build the entries of a run."""
    deciders: list[Decider] = []
    oracle = Oracle()
    for entry in range(ENTRIES):
        seed = task.seed * 1000 + entry
        zone = site.zones[entry % 3]
        if task.way == ORACLE:
            deciders.append(OracleEntry(oracle, entry))
        elif task.way == PROBING:
            budget = ProbeBudget(site.probes_per_s, ENTRIES)
            deciders.append(Probing(Random(seed), budget))
        elif task.way == POLICY:
            policy = Policy(task.off) if task.off else Policy()
            balancer = Balancer(seed, zone, policy)
            document = {"services": {site.service: site.document()}}
            balancer.configure(read_services({"team": document}), 0.0)
            deciders.append(balancer)
        else:
            deciders.append(BASELINES[task.way](Random(seed)))
    return deciders


def run(task: Task) -> Outcome:
    """Run one task."""
    site = SITES[task.site]
    scenario = SCENARIOS[task.scenario]
    deciders = build(task, site)
    zones = [site.zones[entry % 3] for entry in range(ENTRIES)]
    simulation = Simulation(
        site.service, deciders, zones, site.endpoints(), task.seed
    )
    first = deciders[0]
    if isinstance(first, OracleEntry):
        first.oracle.watch(simulation)
    world = World(site, simulation, Random(task.seed + 77))
    scenario.begin(world)
    arrivals = scenario.arrivals(site, task.seed)
    simulation.run(arrivals, scenario.run_s + TAIL_S)
    return judge(simulation, scenario, site)


def judge(simulation: Simulation, scenario: Scenario, site: Site) -> Outcome:
    """Draw the figures from a run."""
    outcome = Outcome()
    outcome.runs = 1
    for arrival, ended_at, answered in simulation.ends:
        elapsed_s = ended_at - arrival.at
        in_time = answered and elapsed_s <= arrival.deadline_s
        if in_time and WARM_S <= ended_at < scenario.run_s:
            outcome.in_time += 1
        if arrival.at < WARM_S:
            continue
        outcome.calls += 1
        outcome.answered += in_time
        if arrival.method == BACKGROUND:
            outcome.background += 1
            outcome.background_in_time += in_time
            continue
        if in_time:
            outcome.latencies.append(elapsed_s)
        elif scenario.name != OVERLOAD:
            outcome.latencies.append(arrival.deadline_s)
    outcome.extra = len(simulation.sends) - simulation.first_sends
    outcome.capacity = site.capacity * (scenario.run_s - WARM_S)
    seconds = Counter(int(at) for at in simulation.probes)
    busiest = max(seconds.values(), default=0)
    outcome.probe_peak = busiest / site.probes_per_s
    slots = site.count * site.slots
    cost = len(simulation.probes) * PROBE_S / slots
    outcome.probe_cost = cost / (scenario.run_s + TAIL_S)
    return outcome


def gather(
    tasks: list[Task], processes: int
) -> dict[tuple[str, str, int, str], Outcome]:
    """Run all tasks; add up by way, user, scenario and switch."""
    found: dict[tuple[str, str, int, str], Outcome] = {}
    users = {site: user for user, sites in USERS.items() for site in sites}
    with Pool(processes) as pool:
        outcomes = pool.map(run, tasks, chunksize=1)
    for task, outcome in zip(tasks, outcomes, strict=True):
        key = (task.way, users[task.site], task.scenario, task.off)
        found.setdefault(key, Outcome()).add(outcome)
    return found


def geometric_mean(values: list[float]) -> float:
    """Give the geometric mean."""
    if not values:
        return float("nan")
    return exp(sum(log(value) for value in values) / len(values))


def row(outcome: Outcome) -> str:
    """Format one outcome."""
    half, high, highest = (outcome.percentile_ms(one) for one in PERCENTS)
    return (
        f"{half:8.1f} {high:8.1f} {highest:8.1f} "
        f"{100 * outcome.answered / outcome.calls:8.2f} "
        f"{outcome.goodput:8.3f} "
        f"{100 * outcome.extra_share:7.2f} "
        f"{outcome.probe_peak:6.2f} {100 * outcome.mean_cost:6.2f}"
    )


def priorities(outcome: Outcome) -> str:
    """Format the shares answered in time by priority."""
    urgent = outcome.calls - outcome.background
    in_time = outcome.answered - outcome.background_in_time
    return (
        f"in time: lookups and actions {100 * in_time / urgent:5.1f} %, "
        f"background {100 * outcome.background_share:5.1f} %"
    )


HEADER = (
    f"{'p50 ms':>8} {'p99 ms':>8} {'p99.9':>8} {'in time%':>8} "
    f"{'goodput':>8} {'extra%':>7} {'peak':>6} {'cost%':>6}"
)


def compare(seeds: int, processes: int, chosen: list[int]) -> None:
    """Run every way through every scenario and print the figures."""
    tasks = []
    for number in chosen:
        for site in SITES:
            for seed in range(1, seeds + 1):
                for way in WAYS:
                    tasks.append(Task(way, site, number, seed))
    found = gather(tasks, processes)
    ratios: dict[str, list[float]] = {"power of two": [], ORACLE: []}
    peak = 0.0
    goodputs = []
    for number in chosen:
        scenario = SCENARIOS[number]
        for user in USERS:
            print(f"\n{scenario.name}, {user}")
            print(f"{'':16}{HEADER}")
            for way in WAYS:
                print(f"{way:16}{row(found[way, user, number, ''])}")
            own = found[POLICY, user, number, ""]
            peak = max(peak, own.probe_peak)
            if scenario.name == OVERLOAD:
                goodputs.append(own.goodput)
                for way in WAYS:
                    print(
                        f"{way:16}{priorities(found[way, user, number, ''])}"
                    )
                continue
            for way, values in ratios.items():
                other = found[way, user, number, ""].percentile_ms(99.0)
                values.append(own.percentile_ms(99.0) / other)
    policy_costs.report()
    print(
        f"\npolicy p99 versus power-of-two "
        f"{geometric_mean(ratios['power of two']):.2f}, versus oracle "
        f"{geometric_mean(ratios[ORACLE]):.2f}, probe cost {peak:.2f} of "
        f"budget, in-time goodput at 1.5x {geometric_mean(goodputs):.3f}"
    )


def switch_off(seeds: int, processes: int, chosen: list[int]) -> None:
    """Run the policy whole and with each mechanism off in turn."""
    names = ["", *Policy.__slots__]
    tasks = []
    for number in chosen:
        for site in SITES:
            for seed in range(1, seeds + 1):
                for off in names:
                    tasks.append(Task(POLICY, site, number, seed, off))
    found = gather(tasks, processes)
    print(
        "p99 with the mechanism off over that of the whole policy "
        "(overload: goodput), most extra sends in any scenario in %, "
        "least background work in time in %"
    )
    for number in chosen:
        print(f"  column: {SCENARIOS[number].name}")
    for off in names[1:]:
        ratios = []
        parts = []
        for number in chosen:
            scenario = SCENARIOS[number]
            values = []
            for user in USERS:
                whole = found[POLICY, user, number, ""]
                without = found[POLICY, user, number, off]
                if scenario.name == OVERLOAD:
                    values.append(without.goodput / whole.goodput)
                else:
                    values.append(
                        without.percentile_ms(99) / whole.percentile_ms(99)
                    )
            if scenario.name != OVERLOAD:
                ratios.extend(values)
            parts.append(f"{geometric_mean(values):5.2f}")
        extra = max(
            found[POLICY, user, n, off].extra_share
            for user in USERS
            for n in chosen
        )
        late = min(
            found[POLICY, user, n, off].background_share
            for user in USERS
            for n in chosen
        )
        print(
            f"{off:10} {geometric_mean(ratios):6.3f} {100 * extra:6.1f} "
            f"{100 * late:6.1f} | {' '.join(parts)}"
        )


def main() -> int:
    """Run what the arguments ask for."""
    arguments = docopt(__doc__)
    seeds = int(arguments["--seeds"])
    processes = int(arguments["--processes"])
    text = arguments["--only"] or ""
    chosen = [
        number
        for number, scenario in enumerate(SCENARIOS)
        if text in scenario.name
    ]
    if arguments["--switch-off"]:
        switch_off(seeds, processes, chosen)
    else:
        compare(seeds, processes, chosen)
    return 0


if __name__ == "__main__":
    sys.exit(main())
