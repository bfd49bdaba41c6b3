"""Run the tests that prove what must always hold, point by point.

Usage:
  proofs PAGE [--quiet]

Options:
  --quiet  Leave out pytest's own report.

PAGE has a section for each point, titled "N. promise", that names the ids
of its tests as ``tests/...::...``. A point holds when it names a test and
all its tests were run and passed. The status is 0 when every point holds.
"""

import re
import sys
from pathlib import Path

import pytest
from docopt import docopt

POINTS = 7
TITLE = re.compile(r"^(\d+)\. .+\n[~=-]+$", re.MULTILINE)
NODE = re.compile(r"``(tests/[\w/.]+::[\w:.\[\]-]+)``")
PASSED = "passed"


class OutcomeCollector:
    """Collect each test's outcome from pytest."""

    def __init__(self) -> None:
        self._worst: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Take a phase's outcome; a failure or skip in any phase stays."""
        if self._worst.get(report.nodeid, PASSED) == PASSED:
            self._worst[report.nodeid] = report.outcome

    def has_passed(self, node: str) -> bool:
        """Tell whether a node's tests, at least one, all passed."""
        outcomes = []
        for name, outcome in self._worst.items():
            if name == node or name.startswith((f"{node}[", f"{node}::")):
                outcomes.append(outcome)
        return bool(outcomes) and set(outcomes) == {PASSED}


def read_points(page: str) -> dict[int, list[str]]:
    """Map each point to the ids of its tests."""
    points: dict[int, list[str]] = {}
    titles = list(TITLE.finditer(page))
    for place, title in enumerate(titles):
        end = len(page)
        if place + 1 < len(titles):
            end = titles[place + 1].start()
        points[int(title.group(1))] = NODE.findall(page, title.end(), end)
    return points


def check_points(
    points: dict[int, list[str]], outcomes: OutcomeCollector
) -> list[int]:
    """List the points that hold, and say why others do not."""
    holding = []
    for point in range(1, POINTS + 1):
        nodes = points.get(point, [])
        if not nodes:
            print(f"point {point}: no test")
            continue
        wrong = [node for node in nodes if not outcomes.has_passed(node)]
        for node in wrong:
            print(f"point {point}: did not pass: {node}")
        if not wrong:
            holding.append(point)
    return holding


def main() -> int:
    """Run the page's tests and count the points that hold."""
    arguments = docopt(__doc__)
    points = read_points(Path(arguments["PAGE"]).read_text())
    nodes: list[str] = []
    for listed in points.values():
        nodes.extend(node for node in listed if node not in nodes)
    outcomes = OutcomeCollector()
    options = ["-p", "no:terminal"] if arguments["--quiet"] else []
    status = pytest.main([*options, *nodes], plugins=[outcomes])
    holding = check_points(points, outcomes)
    print(f"proofs {len(holding)} of {POINTS} points hold")
    return 0 if len(holding) == POINTS and status == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
