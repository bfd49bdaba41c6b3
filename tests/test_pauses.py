"""Hold calls after a process stood still."""

from nutmegchute_core.pauses import HOLD_S
from nutmegchute_core.pauses import PAUSE_S
from nutmegchute_core.pauses import PauseDetector


def test_calls_are_held_until_a_replica_was_heard() -> None:
    """Hold calls of a process that wakes with old endpoints.

    A vm is frozen for three seconds. An endpoint says meanwhile that it
    leaves, and is told that this is known. The vm wakes with a caller's
    request before it; sent by what was known, it would reach the endpoint.
    """
    pause = PauseDetector(0.0)
    assert pause.observe(0.1) is None
    assert not pause.is_holding(0.1)
    assert pause.observe(3.2) is not None
    assert pause.is_holding(3.2)
    pause.confirm_contact()
    assert not pause.is_holding(3.21)


def test_lost_replica_holds_calls_for_a_moment_only() -> None:
    """Go on without a replica that does not answer."""
    pause = PauseDetector(0.0)
    pause.observe(PAUSE_S + 0.1)
    assert pause.is_holding(PAUSE_S + HOLD_S)
    assert not pause.is_holding(PAUSE_S + 0.1 + HOLD_S)
