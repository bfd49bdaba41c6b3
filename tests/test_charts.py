"""Test the state charts and their use in the code."""

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
    """All states are reachable, and all targets are states."""
    chart = load_chart(name)
    assert sorted(reachable(chart, chart.initial)) == sorted(chart.states)


@pytest.mark.parametrize("name", NAMES)
def test_every_state_leads_to_a_final_one(name: str) -> None:
    """If a chart has final states, every state leads to one."""
    chart = load_chart(name)
    finals = {state for state in chart.states if chart.is_final(state)}
    if not finals:
        return
    for state in chart.states:
        assert finals & set(reachable(chart, state)), state


@pytest.mark.parametrize("name", NAMES)
def test_unknown_event_is_rejected(name: str) -> None:
    """Reject an event without a transition in the current state."""
    chart = load_chart(name)
    with pytest.raises(ChartError):
        chart.step(chart.initial, "no such event")


def test_charts_and_code_use_the_same_events() -> None:
    """The code uses all events of the charts, and no others."""
    chart_events: set[str] = set()
    for name in NAMES:
        for events in load_chart(name).states.values():
            chart_events.update(events)
    code_events, strings = _events_in_code()
    assert code_events <= chart_events
    assert chart_events <= strings


def test_page_is_up_to_date() -> None:
    """The page matches what is rendered from the charts."""
    assert PAGE.read_text() == render(NAMES)


def _events_in_code() -> tuple[set[str], set[str]]:
    """Return the literal events passed to ``step``, and all strings."""
    code_events: set[str] = set()
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
                code_events.add(str(last.value))
    return code_events, strings
