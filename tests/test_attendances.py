"""Know which entries ask, what they know, and whom callers may use."""

from nutmegchute_core.attendances import Attendance
from nutmegchute_core.attendances import ATTENDANCE_MARGIN_S
from nutmegchute_core.attendances import COUNTED_S
from nutmegchute_core.directories import EntryWord

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
    attendance = Attendance()
    attendance.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    attendance.hear(entry("b"), 4, 7, HOLD_S, 0.0)
    assert attendance.behind(5, 0.1) == ["a", "b"]
    attendance.answered("a", 0.1)
    attendance.answered("b", 0.1)
    attendance.hear(entry("a"), 5, 7, HOLD_S, 0.11)
    assert attendance.behind(5, 0.2) == ["b"]
    assert attendance.behind(5, 0.2 + ATTENDANCE_MARGIN_S) == []


def test_held_question_counts_as_in_touch() -> None:
    """Wait for an entry whose question is held, however long ago it came."""
    attendance = Attendance()
    attendance.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    assert attendance.behind(5, HOLD_S) == ["a"]
    assert attendance.behind(5, HOLD_S + ATTENDANCE_MARGIN_S + 0.1) == []


def test_closed_connection_ends_attendance() -> None:
    """Neither wait for nor name an entry whose connection ended."""
    attendance = Attendance()
    attendance.hear(entry("a"), 4, 7, HOLD_S, 0.0)
    attendance.hear(entry("b"), 4, 7, HOLD_S, 0.0)
    attendance.close("b")
    assert attendance.behind(5, 0.1) == ["a"]
    assert attendance.usable("surco", 64, 0.1) == ["a:80"]
    attendance.hear(entry("b"), 4, 7, HOLD_S, 0.2)
    assert attendance.usable("surco", 64, 0.2) == ["a:80", "b:80"]


def test_callers_get_entries_of_their_zone() -> None:
    """Name the zone's entries, and all where the zone has hardly any."""
    attendance = Attendance()
    for name in ("a", "b"):
        attendance.hear(entry(name), 1, 7, HOLD_S, 0.0)
    attendance.hear(entry("c", "lima"), 1, 7, HOLD_S, 0.0)
    attendance.hear(entry("d", "surco", draining=True), 1, 7, HOLD_S, 0.0)
    assert attendance.usable("surco", 64, 0.1) == ["a:80", "b:80"]
    assert attendance.usable("lima", 64, 0.1) == ["c:80", "a:80", "b:80"]
    assert attendance.usable(None, 2, 0.1) == ["a:80", "b:80"]


def test_count_is_rather_too_high() -> None:
    """Count an entry for a minute after its last word.

    Entries divide what they may save up by the count; one that is cut off
    from control goes on spending its part.
    """
    attendance = Attendance()
    attendance.hear(entry("a"), 1, 7, HOLD_S, 0.0)
    attendance.hear(entry("b"), 1, 7, HOLD_S, 50.0)
    assert attendance.count(COUNTED_S) == 2
    assert attendance.count(COUNTED_S + 1) == 1


def test_entries_tell_which_tree_they_have_in_force() -> None:
    """Know whether a change is in force at every entry in touch."""
    attendance = Attendance()
    attendance.hear(entry("a"), 1, 7, HOLD_S, 0.0)
    attendance.hear(entry("b"), 1, 6, HOLD_S, 0.0)
    assert attendance.applied(0.1) == {"a": 7, "b": 6}
    attendance.close("b")
    assert attendance.applied(0.1) == {"a": 7}
