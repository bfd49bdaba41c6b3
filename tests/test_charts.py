"""Hold the state charts to the code that steps through them."""

import ast
from pathlib import Path

import nutmegchute_core
import pytest
from nutmegchute_core.charts import load_chart
from nutmegchute_core.errors import ChartError

from benchmarks.charts import chart_names
from benchmarks.charts import PAGE
from benchmarks.charts import reachable
from benchmarks.charts import render

NAMES = chart_names()


@pytest.mark.parametrize("name", NAMES)
def test_every_state_is_reachable(name: str) -> None:
    """Reach each state, and nothing that is not a state."""
    chart = load_chart(name)
    assert sorted(reachable(chart, chart.initial)) == sorted(chart.states)


@pytest.mark.parametrize("name", NAMES)
def test_an_end_stays_in_reach(name: str) -> None:
    """Where a chart has final states, let every state lead to one."""
    chart = load_chart(name)
    finals = {state for state in chart.states if chart.is_final(state)}
    if not finals:
        return
    for state in chart.states:
        assert finals & set(reachable(chart, state)), state


@pytest.mark.parametrize("name", NAMES)
def test_events_not_drawn_are_refused(name: str) -> None:
    """Refuse an event that the present state does not take."""
    chart = load_chart(name)
    with pytest.raises(ChartError):
        chart.step(chart.initial, "no such event")


def test_charts_and_code_know_the_same_events() -> None:
    """Step by every event that is drawn, and by none besides."""
    drawn: set[str] = set()
    for name in NAMES:
        for events in load_chart(name).states.values():
            drawn.update(events)
    stepped, strings = _events_in_code()
    assert stepped <= drawn
    assert drawn <= strings


def test_page_is_up_to_date() -> None:
    """Draw the same page again from the files."""
    assert PAGE.read_text() == render(NAMES)


def _events_in_code() -> tuple[set[str], set[str]]:
    """Return the literal arguments of steps, and all other strings."""
    stepped: set[str] = set()
    strings: set[str] = set()
    for path in Path(nutmegchute_core.__file__).parent.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                strings.add(node.value)
            if not isinstance(node, ast.Call):
                continue
            function = node.func
            if not isinstance(function, ast.Attribute) or not node.args:
                continue
            if function.attr.lstrip("_") != "step":
                continue
            last = node.args[-1]
            if isinstance(last, ast.Constant):
                stepped.add(str(last.value))
    return stepped, strings
