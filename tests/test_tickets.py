"""Test what a call carries to the loop."""

import pytest
from nutmegchute_daemon.tickets import Arrival
from nutmegchute_daemon.tickets import Story


@pytest.mark.parametrize(
    ("own_s", "expected_s"), [(None, 2.0), (0.0, 0.0), (1.0, 1.0), (5.0, 2.0)]
)
def test_the_shorter_deadline_holds(
    own_s: float | None, expected_s: float
) -> None:
    """A call whose time ran out waiting for a worker has none left.

    Its 0.0 s once counted as "none given", and a purchase that nobody
    waited for any more was claimed and sent with the rule's deadline.
    """
    arrival = Arrival("catalog", "POST", "/purchases", own_s, 1)
    assert arrival.bound_s(2.0) == expected_s


def test_logged_time_ends_with_the_answer() -> None:
    """Log the time until the answer was written, not until it was noted.

    The loop hears of an answer at its next sweep, up to 0.1 s later. Logged
    then, an answer of 140 ms stood there as one of 230 ms, and an engineer
    looked for 90 ms that no caller had waited.
    """
    story = Story()
    assert story.ms == 0.0
    story.opened_at = 7.0
    story.ended_at = 7.14
    assert story.ms == 140.0
