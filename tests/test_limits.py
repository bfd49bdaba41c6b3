"""Test the window that bounds one entry's calls in flight."""

from nutmegchute_core.limits import MIN_SHARE
from nutmegchute_core.limits import SHRINK_FACTOR
from nutmegchute_core.limits import Window


def grown() -> Window:
    """Build a window for an equal share of 8 slots."""
    window = Window()
    window.set_share(8.0, 2)
    return window


def test_shrinks_once_per_pause() -> None:
    """One congested spell is answered once, not at each of its reports.

    Every answer of a spell reports it; shrinking at each would bring an
    entry to its least within a few milliseconds and idle the slots.
    """
    window = grown()
    before = window.size
    for _ in range(5):
        window.record(crowded=True, in_flight=16, now=1.0, pause_s=0.02)
    assert window.size == before * SHRINK_FACTOR


def test_never_falls_below_its_part_of_the_share() -> None:
    """Endpoints that report high loads for ever do not stop an entry."""
    window = grown()
    for step in range(500):
        window.record(crowded=True, in_flight=9, now=float(step), pause_s=0.1)
    assert window.size == 8.0 * MIN_SHARE


def test_grows_only_while_in_use() -> None:
    """A quiet night does not open the window for the morning's rush."""
    window = grown()
    before = window.size
    window.record(crowded=False, in_flight=0, now=1.0, pause_s=0.1)
    assert window.size == before
    window.record(crowded=False, in_flight=15, now=1.0, pause_s=0.1)
    assert window.size > before


def test_first_endpoint_opens_the_window() -> None:
    """An entry that starts before any upstream is not left at one call."""
    window = Window()
    window.set_share(0.0, 0)
    assert window.size == 1.0
    window.set_share(0.5, 3)
    assert window.size == 3.0
