"""Divide the questions to endpoints by what entries have to place."""

import pytest
from nutmegchute_core.demands import KEPT_S
from nutmegchute_core.demands import Rate
from nutmegchute_core.demands import Shares


def test_rate_follows_calls() -> None:
    """Come to the true rate within some seconds, and down again."""
    rate = Rate()
    for number in range(400):
        rate.count(number / 20)
    assert rate.per_s(20.0) == pytest.approx(20.0, rel=0.1)
    assert rate.per_s(20.0 + 5 * KEPT_S) < 0.2


def test_crowded_entries_get_more_of_the_questions() -> None:
    """Give three entries that have half of the calls nearly half.

    One zone has three entries and half of all callers, the others have
    eleven. With equal shares the three would ask twice a call and send the
    rest to endpoints nobody has looked at.
    """
    told = [30.0] * 3 + [8.2] * 11
    shares = []
    for one in told:
        found = Shares()
        found.told = one
        found.hear(sum(told), 14)
        shares.append(found.share(len(told)))
    assert sum(shares) == pytest.approx(1.0)
    assert sum(shares[:3]) > 0.4
    assert min(shares) > 0.04


def test_equal_shares_until_control_has_told() -> None:
    """Divide by the count where no sum is known, or it lacks this entry."""
    shares = Shares()
    assert shares.share(4) == 0.25
    shares.told = 10.0
    shares.hear(4.0, 4)
    assert shares.share(4) == 0.25


def test_sum_of_another_replica_replaces_the_one_before() -> None:
    """Follow the replica that is asked now."""
    shares = Shares()
    shares.told = 10.0
    shares.hear(1000.0, 2)
    shares.hear(20.0, 2)
    assert shares.share(2) == pytest.approx(0.5)


def test_replica_that_knows_few_entries_gives_nobody_more() -> None:
    """Keep the shares of all entries at one while control starts anew.

    All replicas are killed and come back. The first entry that asks is the
    only one in their sums; with nearly all of the questions for it, and then
    for the next, endpoints would be asked far more than is allowed.
    """
    shares = Shares()
    shares.told = 30.0
    shares.hear(30.0, 1)
    assert shares.share(14) == pytest.approx(1 / 14)
    shares.hear(60.0, 2)
    assert shares.share(14) == pytest.approx(1 / 14)
