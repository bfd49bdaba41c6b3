"""Test how entries divide the budget of load queries."""

import pytest
from nutmegchute_core.probe_shares import CallRate
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.probe_shares import RATE_WINDOW_S


def test_rate_follows_calls() -> None:
    """Converge to the true rate within seconds, and decay again."""
    rate = CallRate()
    for number in range(400):
        rate.count(number / 20)
    assert rate.per_s(20.0) == pytest.approx(20.0, rel=0.1)
    assert rate.per_s(20.0 + 5 * RATE_WINDOW_S) < 0.2


def test_busy_entries_get_a_larger_share() -> None:
    """Give three entries with half of the calls nearly half of the budget.

    One zone has three entries and half of all callers, the others have
    eleven entries. With equal shares the three would exhaust theirs and send
    the remaining calls to endpoints whose load is unknown.
    """
    reported = [30.0] * 3 + [8.2] * 11
    shares = []
    for one in reported:
        found = ProbeShare()
        found.reported = one
        found.set_total(sum(reported), 14)
        shares.append(found.share(len(reported)))
    assert sum(shares) == pytest.approx(1.0)
    assert sum(shares[:3]) > 0.4
    assert min(shares) > 0.04


def test_shares_are_equal_without_a_usable_sum() -> None:
    """Divide by the count if the sum is unknown or lacks this entry."""
    shares = ProbeShare()
    assert shares.share(4) == 0.25
    shares.reported = 10.0
    shares.set_total(4.0, 4)
    assert shares.share(4) == 0.25


def test_sum_of_another_replica_replaces_the_last() -> None:
    """Use the sum of the replica that is watched now."""
    shares = ProbeShare()
    shares.reported = 10.0
    shares.set_total(1000.0, 2)
    shares.set_total(20.0, 2)
    assert shares.share(2) == pytest.approx(0.5)


def test_partial_sum_of_a_restarted_replica_enlarges_no_share() -> None:
    """Keep the sum of all shares at one while the control replicas restart.

    All replicas restart, and the first entry that sends a watch is the only
    one in their sums. If it, and then the next one, took nearly the whole
    budget, endpoints would receive far more load queries than allowed.
    """
    shares = ProbeShare()
    shares.reported = 30.0
    shares.set_total(30.0, 1)
    assert shares.share(14) == pytest.approx(1 / 14)
    shares.set_total(60.0, 2)
    assert shares.share(14) == pytest.approx(1 / 14)
