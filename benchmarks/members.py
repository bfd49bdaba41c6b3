"""Measure the cost of membership at an entry without calls.

Usage:
  members [--entries=N] [--seconds=S] [--endpoints=LIST]

Options:
  --entries=N       Entry processes [default: 16].
  --seconds=S       Seconds measured per size [default: 8].
  --endpoints=LIST  Endpoint counts, comma-separated [default: 0,18,150,730].

Every endpoint announces itself once a second, each to one entry. The kernel
counts the bytes of the TCP connections between entries; 52 bytes of headers
are added for each segment. Processor time is that of the entry's process and
includes the cost of announcements.
"""

import asyncio
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
from docopt import docopt
from nutmegchute_fakes.clusters import Cluster
from nutmegchute_fakes.clusters import OPERATOR_KEY
from nutmegchute_fakes.clusters import Process
from nutmegchute_fakes.demo import apply_declaration
from nutmegchute_fakes.demo import build_declaration

ZONES = ["miraflores", "san-isidro", "surco"]
REFRESH_S = 1.0
SETTLE_S = 4.0
SEGMENT_BYTES = 52
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MAX_BYTES_PER_S = 20_000


class Meter:
    """Read an entry's network bytes, processor time and memory."""

    def __init__(self, process: Process, ports: set[str]) -> None:
        self._process = process
        self._ports = ports

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def memory_mb(self) -> float:
        """Return the resident memory, in megabytes."""
        text = Path(f"/proc/{self._process.pid}/statm").read_text()
        pages = int(text.split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def wire_bytes(self) -> int:
        """Return the bytes exchanged with other entries so far."""
        listed = subprocess.run(
            ["ss", "-tinpH"], check=True, capture_output=True, text=True
        ).stdout
        total = 0
        for one in re.split(r"\n(?=\S)", listed):
            if f"pid={self._process.pid}," not in one:
                continue
            ports = set(re.findall(r"127\.0\.0\.1\]?:(\d+)", one))
            if not ports & self._ports:
                continue
            for name, weight in (
                ("bytes_sent", 1),
                ("bytes_received", 1),
                ("segs_out", SEGMENT_BYTES),
                ("segs_in", SEGMENT_BYTES),
            ):
                found = re.search(rf"\b{name}:(\d+)", one)
                total += weight * int(found.group(1)) if found else 0
        return total


class Announcer:
    """Announce many endpoints that don't run."""

    def __init__(self, entries: list[str]) -> None:
        self._entries = entries
        self.count = 0

    async def run(self) -> None:
        """Announce each endpoint every REFRESH_S to its entry."""
        await asyncio.gather(
            *map(self._announce_to, range(len(self._entries)))
        )

    async def _announce_to(self, index: int) -> None:
        host, _, port = self._entries[index].rpartition(":")
        while True:
            started = time.monotonic()
            # A new connection each round, as entries close idle ones.
            reader, writer = await asyncio.open_connection(host, int(port))
            for number in range(index, self.count, len(self._entries)):
                writer.write(_build_request(number))
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                assert length is not None and b" 200 " in head, head
                await reader.readexactly(int(length.group(1)))
            writer.close()
            wait_s = REFRESH_S - (time.monotonic() - started)
            await asyncio.sleep(max(0.0, wait_s))


def _build_request(number: int) -> bytes:
    body = msgspec.json.encode(
        {
            "service": "prestamos" if number % 2 else "catalogo",
            "endpoint": f"10.1.{number // 250}.{number % 250 + 1}:8080",
            "availability_zone": ZONES[number % len(ZONES)],
            "slots": 3,
            "incarnation": 1700000000000000000 + number,
        }
    )
    head = f"POST /announce HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}"
    return head.encode() + b"\r\n\r\n" + body


async def _measure(cluster: Cluster, sizes: list[int], seconds: float) -> bool:
    entries = cluster.entries
    ports = {one.grpc_address.rpartition(":")[2] for one in entries}
    meters = [Meter(one, ports) for one in entries]
    announcer = Announcer([one.address for one in entries])
    announcing = asyncio.create_task(announcer.run())
    passed = True
    print("endpoints  KB/s per entry  % of a core  MB   known")
    for size in sizes:
        announcer.count = size
        await asyncio.sleep(SETTLE_S)
        before = [(one.wire_bytes(), one.cpu_s()) for one in meters]
        started = time.monotonic()
        await asyncio.sleep(seconds)
        if announcing.done():
            announcing.result()
        elapsed_s = time.monotonic() - started
        after = [(one.wire_bytes(), one.cpu_s()) for one in meters]
        rates = []
        shares = []
        for old, new in zip(before, after, strict=True):
            rates.append((new[0] - old[0]) / elapsed_s)
            shares.append((new[1] - old[1]) / elapsed_s)
        rate = sum(rates) / len(rates)
        share = sum(shares) / len(shares)
        memory = max(one.memory_mb() for one in meters)
        status = await asyncio.to_thread(cluster.fetch, entries[-1])
        known = len(status["upstreams"]) if status else 0
        passed &= known == size and rate < MAX_BYTES_PER_S
        print(
            f"{size:9}  {rate / 1000:14.2f}  {share:11.2%}  "
            f"{memory:3.0f}  {known:5}"
        )
    announcing.cancel()
    return passed


def main() -> int:
    """Measure all sizes.

    Return 1 if the last entry lists a wrong number of endpoints or the
    entries' mean rate reaches MAX_BYTES_PER_S.
    """
    arguments = docopt(__doc__)
    sizes = [int(size) for size in arguments["--endpoints"].split(",")]
    with tempfile.TemporaryDirectory() as name:
        cluster = Cluster(Path(name), ZONES)
        try:
            count = int(arguments["--entries"])
            cluster.start(controls=1, entries=count, http_threads=4)
            controls = [one.address for one in cluster.controls]
            apply_declaration(
                Path(name), build_declaration(2000), controls, OPERATOR_KEY
            )
            seconds = float(arguments["--seconds"])
            passed = asyncio.run(_measure(cluster, sizes, seconds))
        finally:
            cluster.stop()
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
