"""Measure what a call's line in the log costs.

Usage:
  lines [--count=N]

Options:
  --count=N  Lines of a run [default: 20000].

Renders the line of a call with two attempts as a router does and hands it
to the sink, which writes to nowhere; least of five runs, by processor time
of all threads. ``off`` is the same call at a level that is not logged.
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
MICRO = 1e6
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
    # The bound of a second would drop what is to be measured.
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
    return (time.process_time() - started) / count * MICRO


def main() -> int:
    """Run what the arguments ask for."""
    count = int(docopt(__doc__)["--count"])
    shown = os.dup(sys.stdout.fileno())
    nowhere = os.open(os.devnull, os.O_WRONLY)
    os.dup2(nowhere, sys.stdout.fileno())
    on_us = min(line_us("info", count) for _ in range(RUNS))
    off_us = min(line_us("error", count) for _ in range(RUNS))
    os.dup2(shown, sys.stdout.fileno())
    share = 100 * on_us * MAX_LINES_PER_S / MICRO
    print(
        f"a call's line {on_us:.1f} us, off {off_us:.1f} us; at the bound of "
        f"{MAX_LINES_PER_S} lines a second {share:.1f} % of a core"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
