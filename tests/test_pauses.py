"""Test that calls are held after a pause of the process."""

from nutmegchute_core.pauses import HOLD_S
from nutmegchute_core.pauses import PAUSE_S
from nutmegchute_core.pauses import PauseDetector


def test_calls_are_held_until_a_replica_answers() -> None:
    """Hold calls of a process that resumes with outdated endpoints.

    A vm is frozen for three seconds, during which an endpoint's drain is
    acknowledged. A caller's request is waiting when the vm resumes, and
    without a hold it would be sent to that endpoint.
    """
    pause = PauseDetector(0.0)
    assert pause.observe(0.1) is None
    assert not pause.is_holding(0.1)
    assert pause.observe(3.2) is not None
    assert pause.is_holding(3.2)
    pause.confirm_contact()
    assert not pause.is_holding(3.21)


def test_lost_replica_holds_calls_only_briefly() -> None:
    """An unreachable replica does not hold calls for long."""
    pause = PauseDetector(0.0)
    pause.observe(PAUSE_S + 0.1)
    assert pause.is_holding(PAUSE_S + HOLD_S)
    assert not pause.is_holding(PAUSE_S + 0.1 + HOLD_S)
