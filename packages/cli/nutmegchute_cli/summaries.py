"""Summarize the logs of daemons per time window."""

from collections import Counter
from datetime import datetime
from pathlib import Path
from typing import Any

from .errors import EXIT_DONE
from .errors import UsageError
from .explanations import CALL_ENDED
from .explanations import Line
from .explanations import read_lines
from .options import Options
from .tables import print_rows

# Names of the events of daemons, rather than of calls, in a summary.
DAEMON_EVENTS = {
    "NC1001": "started",
    "NC1002": "stopping",
    "NC2001": "leads",
    "NC2009": "data folder unusable",
    "NC3001": "configuration in force",
    "NC3012": "control unreachable",
    "NC3018": "paused",
}
MAX_REASONS = 3
MAX_ENDPOINTS = 5
# A call whose first send was later than this has waited for capacity here.
WAIT_THRESHOLD_MS = 50.0


class Window:
    """Count calls and events of daemons in one time window."""

    __slots__ = (
        "daemon_events",
        "endpoints",
        "outcomes",
        "reasons",
        "waits_ms",
    )

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        # Time until the first send, or until the end of a call without one.
        self.waits_ms: list[float] = []
        # Durations of attempts in milliseconds, by endpoint.
        self.endpoints: dict[str, list[float]] = {}
        self.daemon_events: Counter[str] = Counter()

    def add(self, line: Line) -> None:
        """Count one line."""
        if line["number"] in DAEMON_EVENTS:
            self.daemon_events[DAEMON_EVENTS[line["number"]]] += 1
        if line["number"] != CALL_ENDED:
            return
        self.outcomes[line["outcome"]] += 1
        if line.get("reason"):
            self.reasons[line["reason"]] += 1
        sends = line["sends"]
        self.waits_ms.append(sends[0]["at_ms"] if sends else line["ms"])
        for send in sends:
            durations_ms = self.endpoints.setdefault(send["to"], [])
            durations_ms.append(send.get("ms", 0.0))

    @property
    def calls(self) -> int:
        """Return the number of calls that ended."""
        return self.outcomes.total()

    def describe(self, start_s: float) -> dict[str, Any]:
        """Return the row of the window, which starts at ``start_s``."""
        waited = sum(one > WAIT_THRESHOLD_MS for one in self.waits_ms)
        reasons = self.reasons.most_common(MAX_REASONS)
        return {
            "from_s": round(start_s, 1),
            "calls": self.calls,
            "answered": self.outcomes["finish"],
            "refused": self.outcomes["refuse"],
            "lost": self.outcomes["lose"],
            "waited": waited,
            "wait_p90_ms": round(_quantile(self.waits_ms, 0.9)),
            "reasons": ", ".join(f"{one} {count}" for one, count in reasons),
            "slowest": ", ".join(self._slowest()),
            "daemons": ", ".join(
                f"{one} {count}" for one, count in self.daemon_events.items()
            ),
        }

    def _slowest(self) -> list[str]:
        means = {
            name: sum(durations_ms) / len(durations_ms)
            for name, durations_ms in self.endpoints.items()
        }
        names = sorted(means, key=lambda name: -means[name])
        return [
            f"{name} {means[name]:.0f} ms" for name in names[:MAX_ENDPOINTS]
        ]


def summarize(options: Options) -> int:
    """Print a row for each time window that has log lines."""
    lines: list[Line] = []
    for path in options.texts("FILE"):
        lines.extend(read_lines(Path(path)))
    windows = split_into_windows(lines, options.window_s)
    if not windows:
        raise UsageError("no log line of a daemon in these files")
    rows = [window.describe(start_s) for start_s, window in windows]
    print_rows(rows, list(rows[0]), options.json)
    return EXIT_DONE


def split_into_windows(
    lines: list[Line], window_s: float
) -> list[tuple[float, Window]]:
    """Return the start and the counts of each time window with lines.

    The first window starts at the earliest line.
    """
    times_s = {}
    for position, line in enumerate(lines):
        try:
            logged_at = datetime.fromisoformat(str(line.get("timestamp")))
        except ValueError:
            # A line without a time belongs to no window.
            continue
        times_s[position] = logged_at.timestamp()
    if not times_s:
        return []
    first_s = min(times_s.values())
    windows: dict[int, Window] = {}
    for position, time_s in times_s.items():
        index = int((time_s - first_s) / window_s)
        windows.setdefault(index, Window()).add(lines[position])
    return [(index * window_s, windows[index]) for index in sorted(windows)]


def _quantile(values: list[float], fraction: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[int(fraction * (len(ordered) - 1))]
