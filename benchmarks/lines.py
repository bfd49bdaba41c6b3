"""Measure the cost of the log line of a call.

Usage:
  lines [--count=N]

Options:
  --count=N  Lines per run [default: 20000].

Logs the line of a call with two attempts as an entry does, to a sink that
writes to /dev/null. Prints the least processor time of five runs, all threads
included. ``off`` is the same call at a level that is not logged.
"""

import os
import sys
import time

from docopt import docopt
from nutmegchute_daemon.events import configure_logs
from nutmegchute_daemon.events import Event
from nutmegchute_daemon.events import log
from nutmegchute_daemon.sinks import MAX_LINES_PER_S

RUNS = 5
MICROSECONDS_PER_S = 1e6
SEND = {
    "to": "10.1.64.12:8703",
    "instance": "i-5e16a49178",
    "at_ms": 1.7,
    "own": 0.0,
    "others": 1.0,
    "stretch": 1.0,
    "age_ms": 0.0,
    "outcome": "answered",
    "ms": 141.9,
    "load": 1,
    "then": 1.0,
}


def line_us(level: str, count: int) -> float:
    """Return the processor time of one line, in microseconds."""
    sink = configure_logs(level, "router-1")
    # With a clock in nanoseconds each line falls into a new second, so that
    # the limit of lines per second drops none.
    sink._clock = time.perf_counter_ns
    started = time.process_time()
    for number in range(count):
        log(
            Event.CALL_ENDED,
            request=f"{number:016x}",
            route="r-njfh66d",
            service="goje41a",
            outcome="finish",
            status=200,
            reason="",
            ms=143.3,
            sends=[SEND, SEND],
            index=3,
            known=33,
        )
    sink.close()
    return (time.process_time() - started) / count * MICROSECONDS_PER_S


def main() -> int:
    """Run the command."""
    count = int(docopt(__doc__)["--count"])
    stdout = os.dup(sys.stdout.fileno())
    devnull = os.open(os.devnull, os.O_WRONLY)
    os.dup2(devnull, sys.stdout.fileno())
    on_us = min(line_us("info", count) for _ in range(RUNS))
    off_us = min(line_us("error", count) for _ in range(RUNS))
    os.dup2(stdout, sys.stdout.fileno())
    share = 100 * on_us * MAX_LINES_PER_S / MICROSECONDS_PER_S
    print(
        f"a call's line {on_us:.1f} us, off {off_us:.1f} us; at the bound of "
        f"{MAX_LINES_PER_S} lines a second {share:.1f} % of a core"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
