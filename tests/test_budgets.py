"""Test that extra sends and probes stay within their budgets."""

import hypothesis.strategies as st
from hypothesis import given
from nutmegchute_core.budgets import EXTRA_BURST
from nutmegchute_core.budgets import EXTRA_SHARE
from nutmegchute_core.budgets import EXTRA_START
from nutmegchute_core.budgets import ExtraBudget
from nutmegchute_core.budgets import HEDGE_RESERVE
from nutmegchute_core.budgets import ProbeBudget

TIMES = st.lists(st.floats(0.0, 0.4), max_size=60)


@given(rate=st.floats(1.0, 400.0), entries=st.integers(1, 17), gaps=TIMES)
def test_no_second_holds_more_than_the_share(
    rate: float, entries: int, gaps: list[float]
) -> None:
    """In any second, the probes stay within the entry's share."""
    budget = ProbeBudget(rate, entries)
    now = 0.0
    spent = []
    for gap in gaps:
        now += gap
        if budget.spend(now):
            spent.append(now)
    most = max(1, int(rate / entries))
    for start in range(len(spent) - most):
        assert spent[start + most] - spent[start] >= 1.0


def test_new_configuration_does_not_refill_the_probe_budget() -> None:
    """A change of configuration does not allow an additional probe.

    If each change refilled the budget, probes would exceed it when many
    are applied at once, at 1,100 changes a day.
    """
    budget = ProbeBudget(1.0, 1)
    assert budget.spend(5.0)
    successor = ProbeBudget(1.0, 1)
    successor.continue_from(budget)
    assert not successor.spend(5.5)
    assert successor.spend(6.1)


def test_no_budget_means_no_probe() -> None:
    """Without a budget no probe is sent."""
    budget = ProbeBudget(0.0, 17)
    assert budget.next_at is None
    assert not budget.spend(100.0)


@given(st.lists(st.sampled_from(("earn", "retry", "hedge")), max_size=300))
def test_extra_sends_never_exceed_the_share(steps: list[str]) -> None:
    """Whatever the order of earning and spending, tokens stay in bounds."""
    budget = ExtraBudget()
    spent = 0
    for step in steps:
        if step == "earn":
            budget.earn()
        elif step == "retry":
            spent += budget.spend_retry()
        else:
            spent += budget.spend_hedge()
        assert 0.0 <= budget.tokens <= EXTRA_BURST
    earned = steps.count("earn") * EXTRA_SHARE
    assert spent <= EXTRA_START + earned + 1e-9


def test_hedges_leave_a_reserve_for_retries() -> None:
    """After all possible hedges, a failed call still gets a retry."""
    budget = ExtraBudget()
    for _ in range(100):
        budget.earn()
    while budget.spend_hedge():
        pass
    assert budget.tokens >= HEDGE_RESERVE
    assert budget.spend_retry()


def test_scarce_retries_are_reserved_for_repeated_calls() -> None:
    """Scarce retries are reserved for callers that may not retry again.

    Every endpoint sheds half of its calls. A caller that is refused on its
    first try retries at once; refused on its second try it gives up.
    """
    budget = ExtraBudget()
    budget.limit(0.2, 4.0)
    for _ in range(30):
        budget.earn()
    first = 0
    while budget.spend_retry(first_try=True):
        first += 1
    repeated = 0
    while budget.spend_retry():
        repeated += 1
    assert first == 2
    assert repeated == 2
