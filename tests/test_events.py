"""Test that docs/events.rst lists exactly the events in the code."""

import re
from pathlib import Path

import nutmegchute_daemon
from nutmegchute_daemon.events import Event

PAGE = Path(__file__).parent.parent / "docs" / "events.rst"
ENTRY = re.compile(r"^(NC\d{4}) (.+)\n((?:    .+\n)+)", re.MULTILINE)


def test_code_and_catalogue_agree() -> None:
    """The page lists every event with its text, and no other."""
    entries = [(number, text) for number, text, _ in _entries()]
    assert sorted(entries) == sorted(
        (event.number, event.text) for event in Event
    )


def test_each_event_has_cause_and_action() -> None:
    """The page gives a cause and an action for every event."""
    for number, _, body in _entries():
        assert re.search(r"^    Cause: \S", body, re.MULTILINE), number
        assert re.search(r"^    Do: \S", body, re.MULTILINE), number


def test_numbers_are_unique() -> None:
    """No two events share a number."""
    numbers = [event.number for event in Event]
    assert len(set(numbers)) == len(numbers)


def test_each_event_is_logged_somewhere() -> None:
    """The catalogue has no event that no code logs."""
    folder = Path(nutmegchute_daemon.__file__).parent
    code = ""
    for path in folder.glob("*.py"):
        if path.name != "events.py":
            code += path.read_text()
    unused = [
        event.name
        for event in Event
        if not re.search(rf"\bEvent\.{event.name}\b", code)
    ]
    assert unused == []


def _entries() -> list[tuple[str, str, str]]:
    return ENTRY.findall(PAGE.read_text())
