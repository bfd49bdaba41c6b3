"""Test the deadline and the record of a pending call."""

import pytest
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import CallRecord


@pytest.mark.parametrize(
    ("caller_s", "expected_s"),
    [(None, 2.0), (0.0, 0.0), (1.0, 1.0), (5.0, 2.0)],
)
def test_shorter_deadline_applies(
    caller_s: float | None, expected_s: float
) -> None:
    """Treat 0.0 s left as an expired deadline, not as no deadline.

    A call can use up its deadline while it waits for a worker. Mistaken for
    a call without one, a purchase that no caller waits for is claimed and sent
    with the rule's deadline.
    """
    arrival = Arrival("catalog", "POST", "/purchases", caller_s, 1)
    assert arrival.min_deadline_s(2.0) == expected_s


def test_logged_time_ends_with_the_answer() -> None:
    """Log the time until the answer was written, not until the next sweep.

    The loop closes a call at its next sweep, up to 0.1 s later. With that
    time an answer after 140 ms is logged as one after 230 ms, though its
    caller did not wait for the other 90 ms.
    """
    record = CallRecord()
    assert record.ms == 0.0
    record.opened_at = 7.0
    record.ended_at = 7.14
    assert record.ms == 140.0
