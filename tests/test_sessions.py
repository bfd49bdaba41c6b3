"""Know which entries ask, what they know, and whom callers may use."""

from nutmegchute_core.directories import EntryWord
from nutmegchute_core.sessions import COUNTED_S
from nutmegchute_core.sessions import EntrySessions
from nutmegchute_core.sessions import SESSION_MARGIN_S

HOLD_S = 3.0


def entry(name: str, zone: str = "surco", draining: bool = False) -> EntryWord:
    """Build an entry's word."""
    return EntryWord(name, f"{name}:80", zone, draining)


def test_leaving_waits_for_entries_in_touch() -> None:
    """Name the entries that have not seen a generation.

    An endpoint says that it drains. One entry has asked again from the
    generation that holds it, one is frozen with the answer unread. The
    frozen one is waited for half a second, then it is out of touch.
    """
    sessions = EntrySessions()
    sessions.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    sessions.hear(entry("b"), 4, 7, HOLD_S, 0.0)
    assert sessions.behind(5, 0.1) == ["a", "b"]
    sessions.answered("a", 0.1)
    sessions.answered("b", 0.1)
    sessions.hear(entry("a"), 5, 7, HOLD_S, 0.11)
    assert sessions.behind(5, 0.2) == ["b"]
    assert sessions.behind(5, 0.2 + SESSION_MARGIN_S) == []


def test_held_question_counts_as_in_touch() -> None:
    """Wait for an entry whose question is held, however long ago it came."""
    sessions = EntrySessions()
    sessions.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    assert sessions.behind(5, HOLD_S) == ["a"]
    assert sessions.behind(5, HOLD_S + SESSION_MARGIN_S + 0.1) == []


def test_closed_connection_ends_attendance() -> None:
    """Neither wait for nor name an entry whose connection ended."""
    sessions = EntrySessions()
    sessions.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    sessions.hear(entry("b"), 4, 7, HOLD_S, 0.0)
    sessions.close("b")
    assert sessions.behind(5, 0.1) == ["a"]
    assert sessions.usable("surco", 64, 0.1) == ["a:80"]
    sessions.hear(entry("b"), 4, 7, HOLD_S, 0.2)
    assert sessions.usable("surco", 64, 0.2) == ["a:80", "b:80"]


def test_callers_get_entries_of_their_zone() -> None:
    """Name the zone's entries, and all where the zone has hardly any."""
    sessions = EntrySessions()
    for name in ("a", "b"):
        sessions.hear(entry(name), 1, 7, HOLD_S, 0.0)
    sessions.hear(entry("c", "lima"), 1, 7, HOLD_S, 0.0)
    sessions.hear(entry("d", "surco", draining=True), 1, 7, HOLD_S, 0.0)
    assert sessions.usable("surco", 64, 0.1) == ["a:80", "b:80"]
    assert sessions.usable("lima", 64, 0.1) == ["c:80", "a:80", "b:80"]
    assert sessions.usable(None, 2, 0.1) == ["a:80", "b:80"]


def test_count_is_rather_too_high() -> None:
    """Count an entry for a minute after its last word.

    Entries divide what they may save up by the count; one that is cut off
    from control goes on spending its part.
    """
    sessions = EntrySessions()
    sessions.hear(entry("a"), 1, 7, HOLD_S, 0.0)
    sessions.hear(entry("b"), 1, 7, HOLD_S, 50.0)
    assert sessions.count(COUNTED_S) == 2
    assert sessions.count(COUNTED_S + 1) == 1


def test_entries_tell_which_tree_they_have_in_force() -> None:
    """Know whether a change is in force at every entry in touch."""
    sessions = EntrySessions()
    sessions.hear(entry("a"), 1, 7, HOLD_S, 0.0)
    sessions.hear(entry("b"), 1, 6, HOLD_S, 0.0)
    assert sessions.applied(0.1) == {"a": 7, "b": 6}
    sessions.close("b")
    assert sessions.applied(0.1) == {"a": 7}
