"""Run the tests that prove each point that must always hold.

Usage:
  proofs PAGE [--quiet]

Options:
  --quiet  Omit the report of pytest.

PAGE has a section for each point, titled "N. promise", that lists the node
ids of its tests as ``tests/...::...``. A point holds when it lists at least
one test and all its tests ran and passed. The exit status is 0 when every
point holds and pytest succeeds.
"""

import re
import sys
from pathlib import Path

import pytest
from docopt import docopt

POINTS = 7
TITLE = re.compile(r"^(\d+)\. .+\n[~=-]+$", re.MULTILINE)
NODE_ID = re.compile(r"``(tests/[\w/.]+::[\w:.\[\]-]+)``")
PASSED = "passed"


class OutcomeCollector:
    """Collect the outcome of each test, as a pytest plugin."""

    def __init__(self) -> None:
        self._outcomes: dict[str, str] = {}

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Record the outcome of a phase; a failure or skip is kept."""
        if self._outcomes.get(report.nodeid, PASSED) == PASSED:
            self._outcomes[report.nodeid] = report.outcome

    def has_passed(self, node: str) -> bool:
        """Return whether a node has tests and all of them passed."""
        outcomes = []
        for name, outcome in self._outcomes.items():
            if name == node or name.startswith((f"{node}[", f"{node}::")):
                outcomes.append(outcome)
        return bool(outcomes) and set(outcomes) == {PASSED}


def read_points(page: str) -> dict[int, list[str]]:
    """Return the node ids of the tests of each point."""
    points: dict[int, list[str]] = {}
    titles = list(TITLE.finditer(page))
    for index, title in enumerate(titles):
        end = len(page)
        if index + 1 < len(titles):
            end = titles[index + 1].start()
        points[int(title.group(1))] = NODE_ID.findall(page, title.end(), end)
    return points


def check_points(
    points: dict[int, list[str]], outcomes: OutcomeCollector
) -> list[int]:
    """Return the points that hold; print why the others do not."""
    holding = []
    for point in range(1, POINTS + 1):
        nodes = points.get(point, [])
        if not nodes:
            print(f"point {point}: no test")
            continue
        failed = [node for node in nodes if not outcomes.has_passed(node)]
        for node in failed:
            print(f"point {point}: did not pass: {node}")
        if not failed:
            holding.append(point)
    return holding


def main() -> int:
    """Run the tests of the page and count the points that hold."""
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
