"""Divide the questions to endpoints by what entries have to place."""

import pytest
from nutmegchute_core.probe_shares import CallRate
from nutmegchute_core.probe_shares import ProbeShare
from nutmegchute_core.probe_shares import RATE_WINDOW_S


def test_rate_follows_calls() -> None:
    """Come to the true rate within some seconds, and down again."""
    rate = CallRate()
    for number in range(400):
        rate.count(number / 20)
    assert rate.per_s(20.0) == pytest.approx(20.0, rel=0.1)
    assert rate.per_s(20.0 + 5 * RATE_WINDOW_S) < 0.2


def test_crowded_entries_get_more_of_the_questions() -> None:
    """Give three entries that have half of the calls nearly half.

    One zone has three entries and half of all callers, the others have
    eleven. With equal shares the three would ask twice a call and send the
    rest to endpoints nobody has looked at.
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


def test_equal_shares_until_control_has_told() -> None:
    """Divide by the count where no sum is known, or it lacks this entry."""
    shares = ProbeShare()
    assert shares.share(4) == 0.25
    shares.reported = 10.0
    shares.set_total(4.0, 4)
    assert shares.share(4) == 0.25


def test_sum_of_another_replica_replaces_the_one_before() -> None:
    """Follow the replica that is asked now."""
    shares = ProbeShare()
    shares.reported = 10.0
    shares.set_total(1000.0, 2)
    shares.set_total(20.0, 2)
    assert shares.share(2) == pytest.approx(0.5)


def test_replica_that_knows_few_entries_gives_nobody_more() -> None:
    """Keep the shares of all entries at one while control starts anew.

    All replicas are killed and come back. The first entry that asks is the
    only one in their sums; with nearly all of the questions for it, and then
    for the next, endpoints would be asked far more than is allowed.
    """
    shares = ProbeShare()
    shares.reported = 30.0
    shares.set_total(30.0, 1)
    assert shares.share(14) == pytest.approx(1 / 14)
    shares.set_total(60.0, 2)
    assert shares.share(14) == pytest.approx(1 / 14)
