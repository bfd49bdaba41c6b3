"""Measure the time that one entry adds to a call.

Usage:
  path [--seconds=S] [--callers=N]

Options:
  --seconds=S  Seconds per rate [default: 6].
  --callers=N  Caller connections [default: 32].

The fake upstream alone and the path through the entry are measured turn
by turn, half a second each, so that a noisy neighbour hits both alike.
"""

import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import urllib3
from docopt import docopt
from hdrh.histogram import HdrHistogram
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import declaration
from nutmegchute_fakes.demo import declare

RATES = (100, 300, 600)
GOAL_RATE = 300
TURN_S = 0.5
WARM_S = 1.0
UPSTREAMS = 6
CEILING_S = 4.0
MAX_US = 60_000_000


class Run:
    """Collect latencies of one side at one rate."""

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._histogram = HdrHistogram(1, MAX_US, 3)
        self._pool = urllib3.PoolManager(maxsize=64, retries=False)
        self._failed = 0

    @property
    def failed(self) -> int:
        """Count the calls not answered with 200."""
        return self._failed

    def percentile_ms(self, percent: float) -> float:
        """Give a percentile, in milliseconds."""
        value = self._histogram.get_value_at_percentile(percent)
        return float(value) / 1000

    def shoot(self, number: int, due: float) -> None:
        """Send one call, timed from when it was due."""
        url = self._urls[number % len(self._urls)]
        answer = self._pool.request("GET", url)
        if answer.status != 200:
            self._failed += 1
            return
        micros = int((time.perf_counter() - due) * 1_000_000)
        self._histogram.record_value(max(1, micros))

    def offer(self, rate: int, seconds: float, pool: object) -> None:
        """Offer calls at a steady rate."""
        assert isinstance(pool, ThreadPoolExecutor)
        start = time.perf_counter()
        futures = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            time.sleep(max(0.0, due - time.perf_counter()))
            futures.append(pool.submit(self.shoot, number, due))
        for future in futures:
            future.result()


def measure(
    entry: str, upstreams: list[str], rate: int, seconds: float, callers: int
) -> tuple[float, float]:
    """Return the added p50 and p99 at a rate, in milliseconds."""
    alone = [f"http://{address}/shelf" for address in upstreams]
    path = [f"http://{entry}/call/catalogo/shelf"]
    with ThreadPoolExecutor(callers) as pool:
        for urls in (alone, path):
            Run(urls).offer(rate, WARM_S, pool)
        sides = (Run(alone), Run(path))
        for _ in range(int(seconds / TURN_S)):
            for side in sides:
                side.offer(rate, TURN_S, pool)
    added = []
    for percent in (50.0, 99.0):
        values = [side.percentile_ms(percent) for side in sides]
        added.append(values[1] - values[0])
        print(
            f"{rate}/s p{percent:g}: alone {values[0]:.2f} ms, "
            f"through the entry {values[1]:.2f} ms, "
            f"added {values[1] - values[0]:.2f} ms"
        )
    print(f"{rate}/s failed: {sides[0].failed} alone, {sides[1].failed}")
    return added[0], added[1]


def ceiling(entry: str, callers: int) -> float:
    """Return the calls a second that closed-loop callers get through."""
    run = Run([f"http://{entry}/call/catalogo/shelf"])
    end = time.perf_counter() + CEILING_S

    def keep_on() -> int:
        done = 0
        while time.perf_counter() < end:
            run.shoot(done, time.perf_counter())
            done += 1
        return done

    with ThreadPoolExecutor(callers) as pool:
        futures = [pool.submit(keep_on) for _ in range(callers)]
        total = sum(future.result() for future in futures)
    return (total - run.failed) / CEILING_S


def prepare(cluster: Cluster, folder: Path) -> Process:
    """Start one entry, one replica and the upstreams; return the entry."""
    cluster.start(controls=1, entries=1)
    entry = cluster.entries[0]
    controls = [one.address for one in cluster.controls]
    declare(folder, declaration(2000), controls, OPERATOR_KEY)
    for _ in range(UPSTREAMS):
        cluster.add_upstream("catalogo", service_ms=0)

    def complete() -> bool:
        status = cluster.ask(entry)
        return status is not None and len(status["upstreams"]) == UPSTREAMS

    cluster.wait_for("the upstreams", complete)
    return entry


def main() -> int:
    """Measure every rate and print the closing line."""
    arguments = docopt(__doc__)
    seconds = float(arguments["--seconds"])
    callers = int(arguments["--callers"])
    with tempfile.TemporaryDirectory(prefix="nutmegchute-") as name:
        folder = Path(name)
        cluster = Cluster(folder, ["surco"])
        try:
            entry = prepare(cluster, folder).address
            upstreams = [one.address for one in cluster.upstreams]
            p99 = {}
            for rate in RATES:
                _, p99[rate] = measure(
                    entry, upstreams, rate, seconds, callers
                )
            most = ceiling(entry, callers)
        finally:
            cluster.stop()
    print(
        f"path added-p99-ms {p99[GOAL_RATE]:.2f} at {GOAL_RATE}/s, "
        f"ceiling {most:.0f}/s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
