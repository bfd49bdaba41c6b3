"""Say where a span of time went, from the logs of many daemons."""

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

# Lines about a daemon rather than a call, as they are named in a summary.
MOMENTS = {
    "NC1001": "started",
    "NC1002": "stopping",
    "NC2001": "leads",
    "NC2009": "disk refuses",
    "NC3001": "configuration in force",
    "NC3012": "control lost",
    "NC3018": "stood still",
}
MOST_REASONS = 3
MOST_ENDPOINTS = 5
# A call whose first send came later than this waited for room here.
WAITED_MS = 50.0


class Span:
    """Count what ended in one span of time."""

    __slots__ = ("endpoints", "moments", "outcomes", "reasons", "waits")

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        # Milliseconds until the first send, or until the end without one.
        self.waits: list[float] = []
        # Milliseconds that attempts took, by endpoint.
        self.endpoints: dict[str, list[float]] = {}
        self.moments: Counter[str] = Counter()

    def add(self, line: Line) -> None:
        """Count one line."""
        if line["number"] in MOMENTS:
            self.moments[MOMENTS[line["number"]]] += 1
        if line["number"] != CALL_ENDED:
            return
        self.outcomes[line["outcome"]] += 1
        if line.get("reason"):
            self.reasons[line["reason"]] += 1
        sends = line["sends"]
        self.waits.append(sends[0]["at_ms"] if sends else line["ms"])
        for send in sends:
            took = self.endpoints.setdefault(send["to"], [])
            took.append(send.get("ms", 0.0))

    @property
    def calls(self) -> int:
        """Count the calls that ended."""
        return self.outcomes.total()

    def describe(self, at_s: float) -> dict[str, Any]:
        """Give the figures of a span that begins at a second."""
        waited = sum(one > WAITED_MS for one in self.waits)
        reasons = self.reasons.most_common(MOST_REASONS)
        return {
            "from_s": round(at_s, 1),
            "calls": self.calls,
            "answered": self.outcomes["finish"],
            "refused": self.outcomes["refuse"],
            "lost": self.outcomes["lose"],
            "waited": waited,
            "wait_p90_ms": round(_quantile(self.waits, 0.9)),
            "reasons": ", ".join(f"{one} {count}" for one, count in reasons),
            "slowest": ", ".join(self._slowest()),
            "daemons": ", ".join(
                f"{one} {count}" for one, count in self.moments.items()
            ),
        }

    def _slowest(self) -> list[str]:
        means = {
            name: sum(took) / len(took)
            for name, took in self.endpoints.items()
        }
        names = sorted(means, key=lambda name: -means[name])
        return [
            f"{name} {means[name]:.0f} ms" for name in names[:MOST_ENDPOINTS]
        ]


def summarize(options: Options) -> int:
    """Print a row for each span of time that the logs cover."""
    lines: list[Line] = []
    for path in options.many("FILE"):
        lines.extend(read_lines(Path(path)))
    spans = divide(lines, options.window_s)
    if not spans:
        raise UsageError("no line of a daemon in these files")
    rows = [span.describe(at_s) for at_s, span in spans]
    print_rows(rows, list(rows[0]), options.json)
    return EXIT_DONE


def divide(lines: list[Line], window_s: float) -> list[tuple[float, Span]]:
    """Sort lines into spans of so many seconds from the first line on."""
    times = {}
    for number, line in enumerate(lines):
        try:
            at = datetime.fromisoformat(str(line.get("timestamp")))
        except ValueError:
            # A line without a time says nothing of when.
            continue
        times[number] = at.timestamp()
    if not times:
        return []
    first = min(times.values())
    spans: dict[int, Span] = {}
    for number, at_s in times.items():
        place = int((at_s - first) / window_s)
        spans.setdefault(place, Span()).add(lines[number])
    return [(place * window_s, spans[place]) for place in sorted(spans)]


def _quantile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[int(share * (len(ordered) - 1))]
