"""Test what a call carries to the loop."""

import pytest
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import CallRecord


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
    assert arrival.min_deadline_s(2.0) == expected_s


def test_logged_time_ends_with_the_answer() -> None:
    """Log the time until the answer was written, not until it was noted.

    The loop hears of an answer at its next sweep, up to 0.1 s later. Logged
    then, an answer of 140 ms stood there as one of 230 ms, and an engineer
    looked for 90 ms that no caller had waited.
    """
    record = CallRecord()
    assert record.ms == 0.0
    record.opened_at = 7.0
    record.ended_at = 7.14
    assert record.ms == 140.0
