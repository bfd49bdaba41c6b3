"""Test the order of waiting calls."""

from nutmegchute_core.queues import PRIORITY_DELAY_S
from nutmegchute_core.queues import WaitQueue


def pop_all(queue: WaitQueue) -> list[int]:
    """Remove all calls; return them in order."""
    found: list[int] = []
    while True:
        call_id = queue.peek()
        if call_id is None:
            return found
        queue.remove(call_id)
        found.append(call_id)


def test_background_call_is_not_starved() -> None:
    """A background call is not starved under constant load.

    It yields to every lookup that arrives within its delay and goes before
    later ones. Strict priority would starve it as long as lookups arrive.
    """
    queue = WaitQueue()
    queue.push(1, "background", 0.0)
    queue.push(2, "interactive", PRIORITY_DELAY_S["background"] - 0.1)
    queue.push(3, "interactive", PRIORITY_DELAY_S["background"] + 0.1)
    assert pop_all(queue) == [2, 1, 3]


def test_a_retry_keeps_its_place() -> None:
    """A retry is ordered by the arrival of its call."""
    queue = WaitQueue()
    queue.push(1, "interactive", 1.0)
    queue.push(2, "interactive", 0.5)
    assert pop_all(queue) == [2, 1]


def test_count_ahead_excludes_lower_priorities() -> None:
    """Waiting calls of lower priority do not count."""
    queue = WaitQueue()
    queue.push(1, "background", 0.0)
    queue.push(2, "action", 0.0)
    queue.push(3, "interactive", 0.0)
    assert queue.count_ahead("interactive") == 1
    assert queue.count_ahead("background") == 3
    assert queue.remove(3)
    assert not queue.remove(3)
    assert queue.count_ahead("interactive") == 0
    assert len(queue) == 2


def test_late_calls_do_not_count_ahead_of_one_in_time() -> None:
    """Late calls, which go after a call in time, do not count for it."""
    queue = WaitQueue()
    for call_id in range(5):
        queue.push(call_id, "interactive", 0.0, late_at=0.3)
    queue.push(5, "interactive", 0.9, late_at=1.2)
    assert queue.count_ahead("interactive", late_at=1.3, now=1.0) == 1
    assert queue.count_ahead("interactive", late_at=0.9, now=1.0) == 6
