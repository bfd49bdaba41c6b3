"""Compare load balancing strategies under load, in virtual time.

Usage:
  policy [--seeds=N] [--processes=N] [--only=TEXT] [--switch-off]

Options:
  --seeds=N      Runs per service and scenario [default: 1].
  --processes=N  Number of worker processes [default: 3].
  --only=TEXT    Run only scenarios whose name contains this.
  --switch-off   Run the policy with each mechanism disabled in turn.

Each of 16 entries runs a real balancer; they share no state. All strategies
get the same calls. Latencies are those of lookups and actions, from arrival
at the entry to the answer. A call without an answer in time counts with its
deadline as latency. The overload scenario leaves these calls out: no strategy
can answer a third of its calls, so goodput is the figure to compare.
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
from .policy_baselines import LoadBalancer
from .policy_baselines import Probing
from .policy_oracle import Oracle
from .policy_oracle import OracleEntry
from .policy_scenarios import BACKGROUND
from .policy_scenarios import ENTRIES
from .policy_scenarios import FaultInjector
from .policy_scenarios import OVERLOAD
from .policy_scenarios import PROBE_S
from .policy_scenarios import PROFILES
from .policy_scenarios import Scenario
from .policy_scenarios import SCENARIOS
from .policy_scenarios import ServiceProfile
from .policy_scenarios import SETTLE_S
from .policy_upstreams import Simulation

POLICY = "policy"
PROBING = "probing"
ORACLE = "oracle"
STRATEGIES = [*BASELINES, PROBING, POLICY, ORACLE]
# Lets calls end after the last arrival.
GRACE_S = 8.0
ORGANISATIONS = {
    "Red Andina": ("prestamos", "catalogo"),
    "Stillekilde": ("catalog", "player"),
}
PERCENTILES = (50.0, 99.0, 99.9)


class Task:
    """Describe one run."""

    def __init__(
        self,
        strategy: str,
        profile: str,
        scenario: int,
        seed: int,
        disabled: str = "",
    ) -> None:
        self.strategy = strategy
        self.profile = profile
        self.scenario = scenario
        self.seed = seed
        self.disabled = disabled


class RunResult:
    """Hold the measurements of one or more runs."""

    def __init__(self) -> None:
        self.latencies: list[float] = []
        self.calls = 0
        self.answered = 0
        self.extra_sends = 0
        self.in_time = 0
        self.capacity = 0.0
        self.probe_peak = 0.0
        self.probe_cost = 0.0
        self.background = 0
        self.background_in_time = 0
        self.runs = 0

    def add(self, other: "RunResult") -> None:
        """Add the measurements of other runs."""
        self.latencies.extend(other.latencies)
        self.calls += other.calls
        self.answered += other.answered
        self.extra_sends += other.extra_sends
        self.in_time += other.in_time
        self.capacity += other.capacity
        self.probe_peak = max(self.probe_peak, other.probe_peak)
        self.probe_cost += other.probe_cost
        self.background += other.background
        self.background_in_time += other.background_in_time
        self.runs += other.runs

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies)
        return ordered[int(len(ordered) * percent / 100)] * 1000

    @property
    def mean_probe_cost(self) -> float:
        """Return the share of slot time used by probes."""
        return self.probe_cost / self.runs

    @property
    def extra_share(self) -> float:
        """Return the retries and hedges per call."""
        return self.extra_sends / self.calls

    @property
    def background_share(self) -> float:
        """Return the share of background calls answered in time."""
        return self.background_in_time / self.background

    @property
    def goodput(self) -> float:
        """Return in-time answers as a share of what the slots can serve."""
        return self.in_time / self.capacity


def build_balancers(task: Task, profile: ServiceProfile) -> list[LoadBalancer]:
    """Build the balancer of each entry."""
    balancers: list[LoadBalancer] = []
    oracle = Oracle()
    for entry in range(ENTRIES):
        seed = task.seed * 1000 + entry
        zone = profile.zones[entry % 3]
        if task.strategy == ORACLE:
            balancers.append(OracleEntry(oracle, entry))
        elif task.strategy == PROBING:
            budget = ProbeBudget(profile.probes_per_s, ENTRIES)
            balancers.append(Probing(Random(seed), budget))
        elif task.strategy == POLICY:
            policy = Policy(task.disabled) if task.disabled else Policy()
            balancer = Balancer(seed, zone, policy)
            document = {
                "services": {profile.service: profile.build_document()}
            }
            balancer.configure(read_services({"team": document}), 0.0)
            balancers.append(balancer)
        else:
            balancers.append(BASELINES[task.strategy](Random(seed)))
    return balancers


def run(task: Task) -> RunResult:
    """Simulate one run."""
    profile = PROFILES[task.profile]
    scenario = SCENARIOS[task.scenario]
    balancers = build_balancers(task, profile)
    zones = [profile.zones[entry % 3] for entry in range(ENTRIES)]
    simulation = Simulation(
        profile.service, balancers, zones, profile.build_endpoints(), task.seed
    )
    first = balancers[0]
    if isinstance(first, OracleEntry):
        first.oracle.attach(simulation)
    injector = FaultInjector(profile, simulation, Random(task.seed + 77))
    scenario.start(injector)
    arrivals = scenario.draw_arrivals(profile, task.seed)
    simulation.run(arrivals, scenario.run_s + GRACE_S)
    return measure(simulation, scenario, profile)


def measure(
    simulation: Simulation, scenario: Scenario, profile: ServiceProfile
) -> RunResult:
    """Compute the measurements of a run."""
    result = RunResult()
    result.runs = 1
    for arrival, ended_at, answered in simulation.completions:
        elapsed_s = ended_at - arrival.at
        in_time = answered and elapsed_s <= arrival.deadline_s
        if in_time and SETTLE_S <= ended_at < scenario.run_s:
            result.in_time += 1
        if arrival.at < SETTLE_S:
            continue
        result.calls += 1
        result.answered += in_time
        if arrival.method == BACKGROUND:
            result.background += 1
            result.background_in_time += in_time
            continue
        if in_time:
            result.latencies.append(elapsed_s)
        elif scenario.name != OVERLOAD:
            result.latencies.append(arrival.deadline_s)
    result.extra_sends = len(simulation.sends) - simulation.first_sends
    result.capacity = profile.capacity * (scenario.run_s - SETTLE_S)
    seconds = Counter(int(at) for at in simulation.probes)
    busiest = max(seconds.values(), default=0)
    result.probe_peak = busiest / profile.probes_per_s
    slots = profile.count * profile.slots
    cost = len(simulation.probes) * PROBE_S / slots
    result.probe_cost = cost / (scenario.run_s + GRACE_S)
    return result


def run_all(
    tasks: list[Task], processes: int
) -> dict[tuple[str, str, int, str], RunResult]:
    """Run all tasks.

    Results are added up by strategy, organisation, scenario and disabled
    mechanism.
    """
    totals: dict[tuple[str, str, int, str], RunResult] = {}
    org_of = {
        profile: org
        for org, services in ORGANISATIONS.items()
        for profile in services
    }
    with Pool(processes) as pool:
        results = pool.map(run, tasks, chunksize=1)
    for task, result in zip(tasks, results, strict=True):
        key = (
            task.strategy,
            org_of[task.profile],
            task.scenario,
            task.disabled,
        )
        totals.setdefault(key, RunResult()).add(result)
    return totals


def geometric_mean(values: list[float]) -> float:
    """Return the geometric mean, NaN without values."""
    if not values:
        return float("nan")
    return exp(sum(log(value) for value in values) / len(values))


def format_row(result: RunResult) -> str:
    """Format the measurements as a table row."""
    p50, p99, p999 = (result.percentile_ms(percent) for percent in PERCENTILES)
    return (
        f"{p50:8.1f} {p99:8.1f} {p999:8.1f} "
        f"{100 * result.answered / result.calls:8.2f} "
        f"{result.goodput:8.3f} "
        f"{100 * result.extra_share:7.2f} "
        f"{result.probe_peak:6.2f} {100 * result.mean_probe_cost:6.2f}"
    )


def format_shares(result: RunResult) -> str:
    """Format the shares of calls answered in time, by priority."""
    urgent = result.calls - result.background
    in_time = result.answered - result.background_in_time
    return (
        f"in time: lookups and actions {100 * in_time / urgent:5.1f} %, "
        f"background {100 * result.background_share:5.1f} %"
    )


HEADER = (
    f"{'p50 ms':>8} {'p99 ms':>8} {'p99.9':>8} {'in time%':>8} "
    f"{'goodput':>8} {'extra%':>7} {'peak':>6} {'cost%':>6}"
)


def compare(seeds: int, processes: int, chosen: list[int]) -> None:
    """Run every strategy in the chosen scenarios and print the results."""
    tasks = []
    for index in chosen:
        for profile in PROFILES:
            for seed in range(1, seeds + 1):
                for strategy in STRATEGIES:
                    tasks.append(Task(strategy, profile, index, seed))
    totals = run_all(tasks, processes)
    ratios: dict[str, list[float]] = {"power of two": [], ORACLE: []}
    peak = 0.0
    goodputs = []
    for index in chosen:
        scenario = SCENARIOS[index]
        for org in ORGANISATIONS:
            print(f"\n{scenario.name}, {org}")
            print(f"{'':16}{HEADER}")
            for strategy in STRATEGIES:
                print(
                    f"{strategy:16}"
                    f"{format_row(totals[strategy, org, index, ''])}"
                )
            own = totals[POLICY, org, index, ""]
            peak = max(peak, own.probe_peak)
            if scenario.name == OVERLOAD:
                goodputs.append(own.goodput)
                for strategy in STRATEGIES:
                    print(
                        f"{strategy:16}"
                        f"{format_shares(totals[strategy, org, index, ''])}"
                    )
                continue
            for strategy, values in ratios.items():
                other = totals[strategy, org, index, ""].percentile_ms(99.0)
                values.append(own.percentile_ms(99.0) / other)
    policy_costs.print_costs()
    print(
        f"\npolicy p99 versus power-of-two "
        f"{geometric_mean(ratios['power of two']):.2f}, versus oracle "
        f"{geometric_mean(ratios[ORACLE]):.2f}, probe cost {peak:.2f} of "
        f"budget, in-time goodput at 1.5x {geometric_mean(goodputs):.3f}"
    )


def ablate(seeds: int, processes: int, chosen: list[int]) -> None:
    """Print what the policy loses with each mechanism off in turn."""
    names = ["", *Policy.__slots__]
    tasks = []
    for index in chosen:
        for profile in PROFILES:
            for seed in range(1, seeds + 1):
                for disabled in names:
                    tasks.append(Task(POLICY, profile, index, seed, disabled))
    totals = run_all(tasks, processes)
    print(
        "p99 with the mechanism off over that of the whole policy "
        "(overload: goodput), most extra sends in any scenario in %, "
        "least background work in time in %"
    )
    for index in chosen:
        print(f"  column: {SCENARIOS[index].name}")
    for disabled in names[1:]:
        ratios = []
        parts = []
        for index in chosen:
            scenario = SCENARIOS[index]
            values = []
            for org in ORGANISATIONS:
                whole = totals[POLICY, org, index, ""]
                without = totals[POLICY, org, index, disabled]
                if scenario.name == OVERLOAD:
                    values.append(without.goodput / whole.goodput)
                else:
                    values.append(
                        without.percentile_ms(99) / whole.percentile_ms(99)
                    )
            if scenario.name != OVERLOAD:
                ratios.extend(values)
            parts.append(f"{geometric_mean(values):5.2f}")
        extra_share = max(
            totals[POLICY, org, n, disabled].extra_share
            for org in ORGANISATIONS
            for n in chosen
        )
        background_share = min(
            totals[POLICY, org, n, disabled].background_share
            for org in ORGANISATIONS
            for n in chosen
        )
        print(
            f"{disabled:10} {geometric_mean(ratios):6.3f} "
            f"{100 * extra_share:6.1f} {100 * background_share:6.1f} | "
            f"{' '.join(parts)}"
        )


def main() -> int:
    """Run the command."""
    arguments = docopt(__doc__)
    seeds = int(arguments["--seeds"])
    processes = int(arguments["--processes"])
    text = arguments["--only"] or ""
    chosen = [
        index
        for index, scenario in enumerate(SCENARIOS)
        if text in scenario.name
    ]
    if arguments["--switch-off"]:
        ablate(seeds, processes, chosen)
    else:
        compare(seeds, processes, chosen)
    return 0


if __name__ == "__main__":
    sys.exit(main())
