"""Test the window that limits one entry's calls in flight."""

from nutmegchute_core.limits import MIN_SHARE
from nutmegchute_core.limits import SHRINK_FACTOR
from nutmegchute_core.limits import Window


def build_window() -> Window:
    """Build a window for an equal share of 8 slots."""
    window = Window()
    window.set_share(8.0, 2)
    return window


def test_shrinks_once_per_pause() -> None:
    """The window shrinks once per pause, not on each report.

    While an endpoint is overloaded every answer reports it. Shrinking on
    each would reach the minimum within milliseconds and leave slots idle.
    """
    window = build_window()
    before = window.size
    for _ in range(5):
        window.record(overloaded=True, in_flight=16, now=1.0, pause_s=0.02)
    assert window.size == before * SHRINK_FACTOR


def test_never_falls_below_the_minimum() -> None:
    """Constant overload does not shrink the window below its minimum."""
    window = build_window()
    for step in range(500):
        window.record(
            overloaded=True, in_flight=9, now=float(step), pause_s=0.1
        )
    assert window.size == 8.0 * MIN_SHARE


def test_grows_only_while_in_use() -> None:
    """The window does not grow while few calls are in flight.

    Otherwise it would be far too large when the load rises again.
    """
    window = build_window()
    before = window.size
    window.record(overloaded=False, in_flight=0, now=1.0, pause_s=0.1)
    assert window.size == before
    window.record(overloaded=False, in_flight=15, now=1.0, pause_s=0.1)
    assert window.size > before


def test_first_endpoint_sets_the_window() -> None:
    """The first endpoint sets the window of an entry that started alone."""
    window = Window()
    window.set_share(0.0, 0)
    assert window.size == 1.0
    window.set_share(0.5, 3)
    assert window.size == 3.0
