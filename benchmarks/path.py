"""Measure the latency that one entry adds to a call.

Usage:
  path [--seconds=S] [--callers=N] [--rates=LIST] [--cpus=LIST]

Options:
  --seconds=S  Seconds per rate [default: 6].
  --callers=N  Caller connections [default: 32].
  --rates=LIST  Calls per second, comma-separated [default: 100,300,600].
  --cpus=LIST   Processors to pin the entry to, comma-separated; else all.

Measurements of the fake upstreams alone and of the path through the entry
alternate every half second, so that a noisy neighbour affects both alike.
"""

import asyncio
import sys
import tempfile
from pathlib import Path

from docopt import docopt
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration

from .loads import build_request
from .loads import LoadGenerator

REPORTED_RATE = 300
SLICE_S = 0.5
SETTLE_S = 1.0
UPSTREAMS = 6
CEILING_S = 4.0


async def measure(
    entry: str, upstreams: list[str], rate: int, seconds: float, callers: int
) -> tuple[float, float]:
    """Return the added p50 and p99 at a rate, in milliseconds."""
    generators = (
        LoadGenerator(upstreams, build_request("/shelf"), callers),
        LoadGenerator([entry], build_request("/call/catalogo/shelf"), callers),
    )
    for generator in generators:
        await generator.offer(rate, SETTLE_S)
        generator.reset()
    for _ in range(int(seconds / SLICE_S)):
        for generator in generators:
            await generator.offer(rate, SLICE_S)
    added = []
    for percent in (50.0, 99.0):
        values = [generator.percentile_ms(percent) for generator in generators]
        added.append(values[1] - values[0])
        print(
            f"{rate}/s p{percent:g}: alone {values[0]:.2f} ms, "
            f"through the entry {values[1]:.2f} ms, "
            f"added {values[1] - values[0]:.2f} ms"
        )
    print(
        f"{rate}/s failed: {generators[0].failed} alone, "
        f"{generators[1].failed}"
    )
    for generator in generators:
        generator.close()
    return added[0], added[1]


async def measure_ceiling(
    addresses: list[str], path: str, callers: int
) -> float:
    """Return the calls per second that closed-loop callers reach."""
    generator = LoadGenerator(addresses, build_request(path), callers)
    rate = await generator.run_closed_loop(CEILING_S)
    generator.close()
    return rate


def prepare(cluster: Cluster, folder: Path, cpus: list[int]) -> Process:
    """Start one entry, one replica and the upstreams; return the entry."""
    cluster.start(controls=1, entries=1, cpus=cpus)
    entry = cluster.entries[0]
    controls = [one.address for one in cluster.controls]
    apply_declaration(folder, build_declaration(2000), controls, OPERATOR_KEY)
    for _ in range(UPSTREAMS):
        cluster.add_upstream("catalogo", service_ms=0)

    def is_complete() -> bool:
        status = cluster.fetch(entry)
        return status is not None and len(status["upstreams"]) == UPSTREAMS

    cluster.wait_for("the upstreams", is_complete)
    return entry


def main() -> int:
    """Measure all rates and print the summary line."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    callers = int(arguments["--callers"])
    cpus = [int(cpu) for cpu in (arguments["--cpus"] or "").split(",") if cpu]
    rates = [int(rate) for rate in arguments["--rates"].split(",")]
    with tempfile.TemporaryDirectory(prefix="nutmegchute-") as name:
        folder = Path(name)
        cluster = Cluster(folder, ["surco"])
        try:
            entry = prepare(cluster, folder, cpus).address
            upstreams = [one.address for one in cluster.upstreams]
            p99 = {}
            for rate in rates:
                _, p99[rate] = asyncio.run(
                    measure(entry, upstreams, rate, seconds, callers)
                )
            alone_rate = asyncio.run(
                measure_ceiling(upstreams, "/shelf", callers)
            )
            max_rate = asyncio.run(
                measure_ceiling([entry], "/call/catalogo/shelf", callers)
            )
        finally:
            cluster.stop()
    print(f"ceiling of the upstreams alone {alone_rate:.0f}/s")
    reported_rate = REPORTED_RATE if REPORTED_RATE in p99 else rates[-1]
    print(
        f"path added-p99-ms {p99[reported_rate]:.2f} at {reported_rate}/s, "
        f"ceiling {max_rate:.0f}/s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
