"""Test what a call carries to the loop."""

import pytest
from nutmegchute_daemon.tickets import Arrival


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
