"""Measure processor time, memory and network bytes of processes."""

import os
import re
import subprocess
import time
from pathlib import Path

from nutmegchute_fakes.clusters import Process

NANOSECONDS_PER_S = 1_000_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# IPv4 and TCP headers of a segment, with the timestamps option.
SEGMENT_BYTES = 52
BYTES_PER_MB = 1_000_000

_SOCKET = re.compile(r"\S+:(\d+) +\S+:(\d+) .*?pid=(\d+)")
_FIELD = re.compile(r"(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


class Cost:
    """Hold the cost of one process in a period; bps is bytes per second."""

    __slots__ = ("cpu_percent", "memory_mb", "received_bps", "sent_bps")

    def __init__(
        self,
        cpu_percent: float,
        memory_mb: float,
        sent_bps: float,
        received_bps: float,
    ) -> None:
        self.cpu_percent = cpu_percent
        self.memory_mb = memory_mb
        self.sent_bps = sent_bps
        self.received_bps = received_bps

    @property
    def wire_bps(self) -> float:
        """Return the bytes per second, sent and received together."""
        return self.sent_bps + self.received_bps


def measure(
    processes: list[Process], ports: set[int], seconds: float
) -> dict[str, Cost]:
    """Return the cost of each process, by name, over some seconds.

    Bytes are those of connections from or to the given ports.
    """
    start = time.monotonic()
    before = {one.name: _cpu_s(one.pid) for one in processes}
    wire_before = _wire_bytes(ports)
    time.sleep(seconds)
    elapsed_s = time.monotonic() - start
    wire_after = _wire_bytes(ports)
    costs = {}
    for process in processes:
        cpu_s = _cpu_s(process.pid) - before[process.name]
        sent, received = wire_after.get(process.pid, (0, 0))
        sent_0, received_0 = wire_before.get(process.pid, (0, 0))
        costs[process.name] = Cost(
            cpu_percent=100 * cpu_s / elapsed_s,
            memory_mb=_memory_bytes(process.pid) / BYTES_PER_MB,
            sent_bps=(sent - sent_0) / elapsed_s,
            received_bps=(received - received_0) / elapsed_s,
        )
    return costs


def mean(costs: list[Cost]) -> Cost:
    """Return the mean cost of several processes."""
    count = len(costs)
    return Cost(
        cpu_percent=sum(one.cpu_percent for one in costs) / count,
        memory_mb=sum(one.memory_mb for one in costs) / count,
        sent_bps=sum(one.sent_bps for one in costs) / count,
        received_bps=sum(one.received_bps for one in costs) / count,
    )


def _cpu_s(pid: int) -> float:
    """Return the processor time of all threads, in seconds.

    schedstat counts nanoseconds; /proc/PID/stat only has clock ticks.
    """
    run_ns = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        run_ns += int((task / "schedstat").read_text().split()[0])
    return run_ns / NANOSECONDS_PER_S


def _memory_bytes(pid: int) -> int:
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def _wire_bytes(ports: set[int]) -> dict[int, tuple[int, int]]:
    """Return the bytes sent and received, with headers, by process id."""
    command = ["ss", "-tinpHO", "state", "established"]
    text = subprocess.run(command, capture_output=True, text=True).stdout
    found: dict[int, tuple[int, int]] = {}
    for line in text.splitlines():
        match = _SOCKET.search(line)
        if match is None:
            continue
        local_port, remote_port, pid = map(int, match.groups())
        if local_port not in ports and remote_port not in ports:
            continue
        fields = {name: int(value) for name, value in _FIELD.findall(line)}
        sent, received = found.get(pid, (0, 0))
        sent += fields.get("bytes_sent", 0)
        sent += SEGMENT_BYTES * fields.get("segs_out", 0)
        received += fields.get("bytes_received", 0)
        received += SEGMENT_BYTES * fields.get("segs_in", 0)
        found[pid] = (sent, received)
    return found
