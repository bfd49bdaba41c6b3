"""Test how organisations share scarce capacity, in virtual time.

An endpoint serves about 8.7 calls a second while all its slots are in use.
"""

import pytest
from fair_loads import Load
from fair_loads import Replay
from support import rule

ENDPOINTS = 6
# Usual rate of one of five organisations: 0.8 of the capacity in all.
USUAL = 8.5
QUIET = "bcde"
SEEDS = [1, 2]


def others() -> list[Load]:
    """Build the loads of four organisations that send as usual."""
    return [Load(name, USUAL, quota=USUAL) for name in QUIET]


@pytest.mark.parametrize("seed", SEEDS)
def test_loud_organisation_takes_nothing_of_others(seed: int) -> None:
    """One organisation at six times its usual makes others' calls late."""
    loud = Load("a", 6 * USUAL, quota=USUAL)
    replay = Replay([loud, *others()], seed, ENDPOINTS)
    for name in QUIET:
        assert replay.share(replay.answered, name) > 0.97
        assert replay.share(replay.in_time, name) > 0.94
    assert replay.share(replay.answered, "a") > 0.3


@pytest.mark.parametrize("seed", SEEDS)
def test_repeating_callers_do_not_displace_others(seed: int) -> None:
    """Callers that repeat at once get a larger part than those that wait."""
    loud = Load("a", 3 * USUAL, quota=USUAL, repeat_s=0.02)
    replay = Replay([loud, *others()], seed, ENDPOINTS, until=12)
    for name in QUIET:
        assert replay.share(replay.answered, name) > 0.95
        assert replay.share(replay.in_time, name) > 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_priority_goes_first_and_starves_nobody(seed: int) -> None:
    """Under overload both priorities are served alike, or one not at all."""
    first = Load("a", 39, priority=0)
    second = Load("b", 39, priority=1)
    replay = Replay([first, second], seed, ENDPOINTS)
    assert replay.share(replay.answered, "a") > 0.97
    answered = replay.share(replay.answered)
    assert replay.share(replay.answered, "b") >= 0.25 * answered


@pytest.mark.parametrize("seed", SEEDS)
def test_starved_priority_is_served(seed: int) -> None:
    """A priority that takes all capacity leaves nothing to the next."""
    first = Load("a", 90, priority=0)
    second = Load("b", 20, priority=1)
    replay = Replay([first, second], seed, ENDPOINTS)
    answered = replay.share(replay.answered)
    assert replay.share(replay.answered, "b") >= 0.25 * answered
    assert replay.share(replay.answered, "a") > answered


@pytest.mark.parametrize("seed", SEEDS)
def test_organisations_without_quota_share_equally(seed: int) -> None:
    """Without quotas, the organisation that sends most gets most."""
    loads = [Load("a", 78), Load("b", 13), Load("c", 13)]
    replay = Replay(loads, seed, ENDPOINTS, until=20)
    for name in "bc":
        assert replay.share(replay.answered, name) > 0.97
        assert replay.share(replay.in_time, name) > 0.94


@pytest.mark.parametrize("seed", SEEDS)
def test_idle_organisation_saves_up_no_credit(seed: int) -> None:
    """One that returns after a pause displaces those that went on."""
    loads = [
        Load("a", 60, quota=20, begin=10),
        Load("b", 22, quota=20),
    ]
    replay = Replay(loads, seed, ENDPOINTS, until=20, warm_s=10)
    assert replay.share(replay.answered, "b") > 0.96
    assert replay.share(replay.in_time, "b") > 0.94


@pytest.mark.parametrize("seed", SEEDS)
def test_sole_sender_is_not_charged_for_unused_capacity(seed: int) -> None:
    """One that used what nobody wanted waits once another returns."""
    loads = [
        Load("a", 40, quota=20, end=10),
        Load("a", 22, quota=20, begin=10),
        Load("b", 60, quota=20, begin=10),
    ]
    replay = Replay(loads, seed, ENDPOINTS, until=16, warm_s=10)
    assert replay.share(replay.answered, "a") > 0.96


@pytest.mark.parametrize("seed", [1, 3])
def test_quiet_organisation_at_two_of_17_entries(seed: int) -> None:
    """A loud organisation at all entries takes the slots of a quiet one."""
    loud = Load("a", 262, quota=50)
    quiet = Load("b", 4.4, entries=[0, 1], quota=50)
    replay = Replay([loud, quiet], seed, 20, entries=17, until=14)
    assert replay.share(replay.answered, "b") > 0.95
    assert replay.share(replay.in_time, "b") > 0.85
    assert replay.share(replay.answered, "a") > 0.63


@pytest.mark.parametrize("seed", SEEDS)
def test_urgent_kind_is_not_served_worse(seed: int) -> None:
    """A burst of less urgent calls makes urgent ones late and refused."""
    rules = [
        rule(
            name="urgent",
            deadline_ms=3000,
            objective_ms=670,
            priority="interactive",
        ),
        rule(
            name="long",
            deadline_ms=5000,
            objective_ms=2500,
            priority="action",
        ),
    ]
    loads = []
    for name in "abc":
        loads.append(Load(name, 7, quota=14, rule_name="urgent"))
        loads.append(Load(name, 17, quota=14, rule_name="long", begin=6))
    replay = Replay(loads, seed, ENDPOINTS, until=14, warm_s=6, rules=rules)
    long = replay.share(replay.answered, rule="long")
    assert replay.share(replay.answered, rule="urgent") >= long
