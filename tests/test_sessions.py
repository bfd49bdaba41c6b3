"""Know which entries ask, what they know, and whom callers may use."""

from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.sessions import choose_entries
from nutmegchute_core.sessions import ENTRY_TTL_S
from nutmegchute_core.sessions import EntrySessions
from nutmegchute_core.sessions import SESSION_MARGIN_S

HOLD_S = 3.0
REPLICA = "10.1.0.1:7000"
EPOCH = 77


def entry(name: str, zone: str = "surco", draining: bool = False) -> EntryInfo:
    """Build an entry's word."""
    return EntryInfo(name, f"{name}:80", zone, draining)


def seen(generation: int) -> dict[str, tuple[int, int]]:
    """Say which generation an entry knows."""
    return {REPLICA: (EPOCH, generation)}


def unconfirmed(
    sessions: EntrySessions, generation: int, now: float
) -> list[str]:
    """Name the entries in touch that have not seen a generation."""
    return sessions.unconfirmed(REPLICA, (EPOCH, generation), now)


def usable(
    sessions: EntrySessions, zone: str | None, most: int, now: float
) -> list[str]:
    """Return the addresses that a caller in a zone should use."""
    return choose_entries(sessions.connected_entries(now), zone, most, 0)


def test_leaving_waits_for_entries_in_touch() -> None:
    """Name the entries that have not seen a generation.

    An endpoint says that it drains. One entry has asked again from the
    generation that holds it, one is frozen with the answer unread. The
    frozen one is waited for a moment, then it is out of touch.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(4), 7, HOLD_S, 0.0)
    assert unconfirmed(sessions, 5, 0.1) == ["a", "b"]
    sessions.record_answer("a", 0.1)
    sessions.record_answer("b", 0.1)
    sessions.record_request(entry("a"), seen(5), 7, HOLD_S, 0.11)
    assert unconfirmed(sessions, 5, 0.2) == ["b"]
    assert unconfirmed(sessions, 5, 0.2 + SESSION_MARGIN_S) == []


def test_held_question_counts_as_in_touch() -> None:
    """Wait for an entry whose question is held, however long ago it came."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(4), 7, HOLD_S, 0.0)
    assert unconfirmed(sessions, 5, HOLD_S) == ["a"]
    assert unconfirmed(sessions, 5, HOLD_S + SESSION_MARGIN_S + 0.1) == []


def test_closed_connection_ends_attendance() -> None:
    """Neither wait for nor name an entry whose connection ended."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(4), 7, HOLD_S, 0.0)
    sessions.close("b")
    assert unconfirmed(sessions, 5, 0.1) == ["a"]
    assert usable(sessions, "surco", 64, 0.1) == ["a:80"]
    sessions.record_request(entry("b"), seen(4), 7, HOLD_S, 0.2)
    assert usable(sessions, "surco", 64, 0.2) == ["a:80", "b:80"]


def test_callers_get_entries_of_their_zone() -> None:
    """Name the zone's entries, and all where the zone has hardly any."""
    sessions = EntrySessions()
    for name in ("a", "b"):
        sessions.record_request(entry(name), seen(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("c", "lima"), seen(1), 7, HOLD_S, 0.0)
    sessions.record_request(
        entry("d", "surco", draining=True), seen(1), 7, HOLD_S, 0.0
    )
    assert usable(sessions, "surco", 64, 0.1) == ["a:80", "b:80"]
    assert usable(sessions, "lima", 64, 0.1) == ["c:80", "a:80", "b:80"]
    assert usable(sessions, None, 2, 0.1) == ["a:80", "b:80"]


def test_count_is_rather_too_high() -> None:
    """Count an entry for a minute after its last word.

    Entries divide what they may save up by the count; one that is cut off
    from control goes on spending its part.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(1), 7, HOLD_S, 50.0)
    sessions.expire(ENTRY_TTL_S)
    assert len(sessions.names(ENTRY_TTL_S)) == 2
    sessions.expire(ENTRY_TTL_S + 1)
    assert len(sessions.names(ENTRY_TTL_S + 1)) == 1


def test_entries_tell_which_tree_they_have_in_force() -> None:
    """Know whether a change is in force at every entry in touch."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(1), 6, HOLD_S, 0.0)
    assert sessions.applied(0.1) == {"a": 7, "b": 6}
    sessions.close("b")
    assert sessions.applied(0.1) == {"a": 7}


def test_generation_of_another_epoch_is_not_seen() -> None:
    """Wait for an entry that knows an earlier run of the replica only."""
    sessions = EntrySessions()
    sessions.record_request(
        entry("a"), {REPLICA: (EPOCH - 1, 9)}, 7, HOLD_S, 0.0
    )
    assert unconfirmed(sessions, 5, 0.1) == ["a"]


def test_entry_that_moved_is_not_waited_for() -> None:
    """Leave an entry to the replica that it asks now.

    An entry got its answer here and asks another replica from then on.
    Waited for until it is late, it would hold back an endpoint's leaving.
    One whose question is held here has come back meanwhile.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(4), 7, HOLD_S, 0.0)
    sessions.record_answer("a", 0.1)
    sessions.release("a")
    sessions.release("b")
    assert unconfirmed(sessions, 5, 0.1) == ["b"]


def test_callers_get_other_entries_in_turn() -> None:
    """Name each entry as often where there are more than fit."""
    words = [entry(str(number)) for number in range(6)]
    counts: dict[str, int] = {}
    for turn in range(3):
        for address in choose_entries(words, "surco", 4, turn):
            counts[address] = counts.get(address, 0) + 1
    assert set(counts.values()) == {2}


def test_replicas_are_told_who_came_and_went() -> None:
    """Tell of entries that came, changed or are late, once each."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), seen(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), seen(4), 7, HOLD_S, 0.0)
    known = sessions.generation
    assert len(sessions.since(0)) == 2
    sessions.record_request(entry("a"), seen(5), 7, HOLD_S, 1.0)
    assert sessions.since(known) == []
    assert sessions.expire(HOLD_S + SESSION_MARGIN_S + 0.1)
    late = sessions.since(known)
    assert [(one.info.name, one.is_connected) for one in late] == [
        ("b", False)
    ]
