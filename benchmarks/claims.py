"""Measure the latency and memory that a claim in the ledger costs.

Usage:
  claims [--seconds=S] [--folder=PATH]

Options:
  --seconds=S    Seconds per rate [default: 10].
  --folder=PATH  Parent of the replicas' data folders [default: .].

Calls with and without an idempotency key alternate on the same path, so that
a noisy neighbour affects both alike.
"""

import sys
import tempfile
import time
import tracemalloc
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import urllib3
from docopt import docopt
from hdrh.histogram import HdrHistogram
from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import ClaimBatch
from nutmegchute_core.claims import ClaimRequest
from nutmegchute_core.ledgers import Ledger
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration

ZONES = ["miraflores", "san-isidro", "surco"]
RATES = (20, 100, 200)
CALLERS = 24
SETTLE_S = 1.0
UPSTREAMS = 6
MAX_US = 60_000_000
RECORDS = 100_000


class CallRun:
    """Send calls with and without a key at one rate."""

    def __init__(self, urls: list[str]) -> None:
        self._urls = urls
        self._pool = urllib3.PoolManager(maxsize=64, retries=False)
        self._histograms = [HdrHistogram(1, MAX_US, 3) for _ in range(2)]
        self.failed = 0

    def send(self, number: int, due: float, is_measured: bool) -> None:
        """Send one call; its latency counts from the due time."""
        keyed = number % 2
        headers = {}
        if keyed:
            headers["Idempotency-Key"] = f"{time.time_ns()}-{number}"
        url = self._urls[number // 2 % len(self._urls)]
        answer = self._pool.request("POST", url, body=b"x", headers=headers)
        if answer.status != 200:
            self.failed += 1
        if is_measured:
            elapsed_us = max(1, int((time.monotonic() - due) * 1e6))
            self._histograms[keyed].record_value(elapsed_us)

    def run(self, rate: int, seconds: float) -> None:
        """Send calls at a rate for some seconds."""
        started = time.monotonic()
        with ThreadPoolExecutor(CALLERS) as pool:
            for number in range(int(rate * seconds)):
                due = started + number / rate
                time.sleep(max(0.0, due - time.monotonic()))
                is_measured = due - started > SETTLE_S
                pool.submit(self.send, number, due, is_measured)

    def report(self, rate: int) -> None:
        """Print the percentiles and failures of a rate."""
        cells = []
        for percent in (50.0, 99.0):
            plain, keyed = (
                one.get_value_at_percentile(percent) / 1000
                for one in self._histograms
            )
            cells.append(f"{plain:8.2f} {keyed:8.2f} {keyed - plain:8.2f}")
        print(f"{rate:5}/s  {'   '.join(cells)}   {self.failed:6}")


def measure_records() -> None:
    """Print the size of records in memory and in a snapshot."""
    tracemalloc.start()
    ledger = Ledger()
    for number in range(RECORDS // 100):
        claims = []
        for offset in range(100):
            name = (number * 100 + offset).to_bytes(16, "big")
            token = 2**61 + number * 100 + offset
            claims.append(Claim(name, name[::-1], token))
        ledger.apply(ClaimBatch(0.01, ClaimRequest(claims, [])))
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started = time.perf_counter()
    data = msgspec.msgpack.encode(ledger.snapshot())
    encode_ms = (time.perf_counter() - started) * 1000
    print(
        f"{RECORDS} keys: {memory_bytes / RECORDS:.0f} bytes each in memory, "
        f"{len(data) / RECORDS:.0f} in a snapshot, which takes "
        f"{encode_ms:.0f} ms"
    )


def main() -> int:
    """Measure all rates; return 1 if a call failed."""
    arguments = docopt(__doc__)
    measure_records()
    failed = 0
    with tempfile.TemporaryDirectory(dir=arguments["--folder"]) as name:
        cluster = Cluster(Path(name), ZONES)
        try:
            cluster.start(controls=3, entries=2)
            controls = [one.address for one in cluster.controls]
            apply_declaration(
                Path(name), build_declaration(4000), controls, OPERATOR_KEY
            )
            for _ in range(UPSTREAMS):
                cluster.add_upstream("prestamos", slots=8)
            for one in cluster.entries:
                cluster.wait_for(
                    "upstreams",
                    lambda e=one: (
                        len((cluster.fetch(e) or {}).get("upstreams", ()))
                        == UPSTREAMS
                    ),
                )
            urls = [
                f"http://{one.address}/call/prestamos/loans"
                for one in cluster.entries
            ]
            print(
                "             p50 ms: plain, keyed, added   p99 ms: the same"
            )
            for rate in RATES:
                run = CallRun(urls)
                run.run(rate, float(arguments["--seconds"]))
                run.report(rate)
                failed += run.failed
        finally:
            cluster.stop()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
