"""Check that points without passing tests are not counted."""

from types import SimpleNamespace
from typing import Any

import pytest
from nutmegchute_fakes.proofs import check_points
from nutmegchute_fakes.proofs import OutcomeCollector
from nutmegchute_fakes.proofs import POINTS
from nutmegchute_fakes.proofs import read_points

PAGE = """
What must always hold
=====================

1. Measuring stays cheap
------------------------

``tests/test_a.py::test_one`` and ``tests/test_a.py::TestFleet::runTest``

2. No answer is another's
-------------------------

Nothing yet.
"""


def collect(*reports: tuple[str, str]) -> OutcomeCollector:
    """Collect outcomes as pytest reports them."""
    collector = OutcomeCollector()
    for node, outcome in reports:
        report: Any = SimpleNamespace(nodeid=node, outcome=outcome)
        collector.pytest_runtest_logreport(report)
    return collector


def test_points_are_read() -> None:
    """Find the tests of each point on the page."""
    assert read_points(PAGE) == {
        1: [
            "tests/test_a.py::test_one",
            "tests/test_a.py::TestFleet::runTest",
        ],
        2: [],
    }


@pytest.mark.parametrize(
    ("reports", "holds"),
    [
        ([("t::a", "passed"), ("t::b", "passed")], True),
        (
            [("t::a[x]", "passed"), ("t::a[y]", "passed"), ("t::b", "passed")],
            True,
        ),
        (
            [("t::a[x]", "passed"), ("t::a[y]", "failed"), ("t::b", "passed")],
            False,
        ),
        ([("t::a", "passed")], False),
        ([("t::a", "passed"), ("t::b", "skipped")], False),
        ([("t::a", "passed"), ("t::b", "passed"), ("t::b", "failed")], False),
        ([("t::a", "passed"), ("t::b", "failed"), ("t::b", "passed")], False),
        ([("t::a", "passed"), ("t::bc", "passed")], False),
        ([], False),
    ],
)
def test_a_point_holds_when_all_its_tests_passed(
    reports: list[tuple[str, str]], holds: bool
) -> None:
    """Count no point whose tests failed, were skipped or did not run."""
    points = {1: ["t::a", "t::b"]}
    assert check_points(points, collect(*reports)) == ([1] if holds else [])


def test_a_point_without_a_test_does_not_hold() -> None:
    """Count no point that lists no test."""
    assert (
        check_points(dict.fromkeys(range(1, POINTS + 1), []), collect()) == []
    )
