"""Test the sessions of entries and the choice of entries for callers."""

from nutmegchute_core.directories import EntryInfo
from nutmegchute_core.sessions import choose_entries
from nutmegchute_core.sessions import ENTRY_TTL_S
from nutmegchute_core.sessions import EntrySessions
from nutmegchute_core.sessions import SESSION_MARGIN_S

HOLD_S = 3.0
REPLICA = "10.1.0.1:7000"
EPOCH = 77


def entry(name: str, zone: str = "surco", draining: bool = False) -> EntryInfo:
    """Build an entry's description."""
    return EntryInfo(name, f"{name}:80", zone, draining)


def received(generation: int) -> dict[str, tuple[int, int]]:
    """Build the watermarks of an entry that holds a generation."""
    return {REPLICA: (EPOCH, generation)}


def unconfirmed(
    sessions: EntrySessions, generation: int, now: float
) -> list[str]:
    """List the connected entries that lack a generation."""
    return sessions.unconfirmed(REPLICA, (EPOCH, generation), now)


def usable(
    sessions: EntrySessions, zone: str | None, limit: int, now: float
) -> list[str]:
    """Return up to ``limit`` entry addresses for a caller in a zone."""
    return choose_entries(sessions.connected_entries(now), zone, limit, 0)


def test_drain_waits_for_connected_entries() -> None:
    """List the entries that lack a generation until they disconnect.

    An endpoint drains. One entry has sent its next watch from the generation
    of the drain, the other is frozen before it reads the reply. The frozen
    one is waited for briefly, then its session expires.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(4), 7, HOLD_S, 0.0)
    assert unconfirmed(sessions, 5, 0.1) == ["a", "b"]
    sessions.record_answer("a", 0.1)
    sessions.record_answer("b", 0.1)
    sessions.record_request(entry("a"), received(5), 7, HOLD_S, 0.11)
    assert unconfirmed(sessions, 5, 0.2) == ["b"]
    assert unconfirmed(sessions, 5, 0.2 + SESSION_MARGIN_S) == []


def test_entry_with_a_held_watch_is_connected() -> None:
    """Wait for an entry until its held watch is overdue."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(4), 7, HOLD_S, 0.0)
    assert unconfirmed(sessions, 5, HOLD_S) == ["a"]
    assert unconfirmed(sessions, 5, HOLD_S + SESSION_MARGIN_S + 0.1) == []


def test_closed_connection_closes_the_session() -> None:
    """Neither wait for nor return an entry whose connection ended."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(4), 7, HOLD_S, 0.0)
    sessions.close("b")
    assert unconfirmed(sessions, 5, 0.1) == ["a"]
    assert usable(sessions, "surco", 64, 0.1) == ["a:80"]
    sessions.record_request(entry("b"), received(4), 7, HOLD_S, 0.2)
    assert usable(sessions, "surco", 64, 0.2) == ["a:80", "b:80"]


def test_callers_get_entries_of_their_zone() -> None:
    """Return the zone's entries, or all if the zone has too few."""
    sessions = EntrySessions()
    for name in ("a", "b"):
        sessions.record_request(entry(name), received(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("c", "lima"), received(1), 7, HOLD_S, 0.0)
    sessions.record_request(
        entry("d", "surco", draining=True), received(1), 7, HOLD_S, 0.0
    )
    assert usable(sessions, "surco", 64, 0.1) == ["a:80", "b:80"]
    assert usable(sessions, "lima", 64, 0.1) == ["c:80", "a:80", "b:80"]
    assert usable(sessions, None, 2, 0.1) == ["a:80", "b:80"]


def test_silent_entry_is_counted_for_a_minute() -> None:
    """Count an entry for a minute after its last request.

    Entries divide the budget of extra sends by the count, and one that is
    partitioned from control goes on spending its part.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(1), 7, HOLD_S, 50.0)
    sessions.expire(ENTRY_TTL_S)
    assert len(sessions.names(ENTRY_TTL_S)) == 2
    sessions.expire(ENTRY_TTL_S + 1)
    assert len(sessions.names(ENTRY_TTL_S + 1)) == 1


def test_entries_report_the_tree_in_force() -> None:
    """Return the tree in force at every connected entry."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(1), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(1), 6, HOLD_S, 0.0)
    assert sessions.applied(0.1) == {"a": 7, "b": 6}
    sessions.close("b")
    assert sessions.applied(0.1) == {"a": 7}


def test_generation_of_another_epoch_does_not_count() -> None:
    """Wait for an entry that holds an earlier run's generation only."""
    sessions = EntrySessions()
    sessions.record_request(
        entry("a"), {REPLICA: (EPOCH - 1, 9)}, 7, HOLD_S, 0.0
    )
    assert unconfirmed(sessions, 5, 0.1) == ["a"]


def test_entry_that_moved_is_not_waited_for() -> None:
    """Do not wait for an entry that watches another replica now.

    An entry received its reply here and watches another replica from then
    on. Waiting until it is overdue would delay the acknowledgement of a
    drain. An entry whose watch is held here watches this replica again.
    """
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(4), 7, HOLD_S, 0.0)
    sessions.record_answer("a", 0.1)
    sessions.release("a")
    sessions.release("b")
    assert unconfirmed(sessions, 5, 0.1) == ["b"]


def test_callers_get_entries_in_rotation() -> None:
    """Return each entry equally often if there are more than fit."""
    infos = [entry(str(number)) for number in range(6)]
    counts: dict[str, int] = {}
    for rotation in range(3):
        for address in choose_entries(infos, "surco", 4, rotation):
            counts[address] = counts.get(address, 0) + 1
    assert set(counts.values()) == {2}


def test_session_changes_are_replicated() -> None:
    """List entries that connected, changed or expired, once each."""
    sessions = EntrySessions()
    sessions.record_request(entry("a"), received(4), 7, HOLD_S, 0.0)
    sessions.record_request(entry("b"), received(4), 7, HOLD_S, 0.0)
    known = sessions.generation
    assert len(sessions.since(0)) == 2
    sessions.record_request(entry("a"), received(5), 7, HOLD_S, 1.0)
    assert sessions.since(known) == []
    assert sessions.expire(HOLD_S + SESSION_MARGIN_S + 0.1)
    late = sessions.since(known)
    assert [(one.info.name, one.is_connected) for one in late] == [
        ("b", False)
    ]
