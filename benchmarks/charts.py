"""Draw the state charts into docs/charts.rst.

Usage:
  charts [--check]

Options:
  --check  Only check that the page is up to date.
"""

import importlib.resources
import sys
from pathlib import Path

import nutmegchute_core
from docopt import docopt
from nutmegchute_core.charts import Chart
from nutmegchute_core.charts import load_chart

PAGE = Path(__file__).parent.parent / "docs" / "charts.rst"

HEAD = """\
State charts
============

Drawn from the files that the code interprets, by ``make charts``; a test
fails when this page is older than they are. ``*`` marks the state in which
an object starts, double lines a state that nothing leaves.
"""


def chart_names() -> list[str]:
    """Return the names of the charts in the core package."""
    found = []
    for file in importlib.resources.files(nutmegchute_core).iterdir():
        name = file.name
        if name.startswith("chart_") and name.endswith(".json"):
            found.append(name.removeprefix("chart_").removesuffix(".json"))
    return sorted(found)


def reachable(chart: Chart, start: str) -> list[str]:
    """Return the states reachable from a state, nearest first."""
    found = [start]
    for state in found:
        for target in chart.states[state].values():
            if target not in found:
                found.append(target)
    return found


def render(names: list[str]) -> str:
    """Render the page of the named charts."""
    parts = [HEAD]
    for name in names:
        chart = load_chart(name)
        title = name.replace("_", " ").capitalize()
        parts.append(f"{title}\n{'-' * len(title)}\n")
        parts.append(f"``chart_{name}.json``::\n")
        parts.append("\n".join(_draw(chart)) + "\n")
    return "\n".join(parts)


def _draw(chart: Chart) -> list[str]:
    lines: list[str] = []
    for state in reachable(chart, chart.initial):
        lines.extend(_draw_state(chart, state))
    return [f"    {line}".rstrip() for line in lines]


def _draw_state(chart: Chart, state: str) -> list[str]:
    final = chart.is_final(state)
    label = f" {state}{' *' if state == chart.initial else ''} "
    edge = ("=" if final else "-") * len(label)
    side = "‖" if final else "|"
    box = [f"+{edge}+", f"{side}{label}{side}", f"+{edge}+"]
    events = list(chart.states[state].items())
    if not events:
        return [*box, ""]
    longest = max(len(event) for event, _ in events)
    padding = " " * len(box[0])
    lines = [box[0]]
    for number, (event, target) in enumerate(events):
        if number == 0:
            left, stem = box[1], "--+--"
        else:
            left = box[2] if number == 1 else padding
            stem = "  +--"
        fill = "-" * (longest - len(event))
        lines.append(f"{left}{stem} {event} {fill}--> {target}")
    if len(events) == 1:
        lines.append(box[2])
    return [*lines, ""]


def main() -> int:
    """Write or check the page."""
    arguments = docopt(__doc__)
    page = render(chart_names())
    if not arguments["--check"]:
        PAGE.write_text(page)
        return 0
    if PAGE.read_text() == page:
        return 0
    print("docs/charts.rst is out of date: run make charts", file=sys.stderr)
    return 1


if __name__ == "__main__":
    sys.exit(main())
