"""Check that the oracle of the soak finds each kind of violation."""

from random import Random

import pytest
from nutmegchute_fakes.callers import ANSWERED
from nutmegchute_fakes.callers import RAN
from nutmegchute_fakes.callers import REFUSED
from nutmegchute_fakes.callers import UNKNOWN
from nutmegchute_fakes.callers import WRONG
from nutmegchute_fakes.evacuations import EvacuationPeriod
from nutmegchute_fakes.evacuations import find_forbidden_runs
from nutmegchute_fakes.evacuations import MAX_EFFECT_DELAY_S
from nutmegchute_fakes.faults import draw_schedule
from nutmegchute_fakes.soak import find_late_crashes
from nutmegchute_fakes.soak import KEYED
from nutmegchute_fakes.soak import LOOKUP
from nutmegchute_fakes.soak import OutcomeOracle
from nutmegchute_fakes.soak import QUARANTINE_DELAY_S
from nutmegchute_fakes.soak import RequestRecord

SIZES = {"entry": 4, "control": 3, "upstream": 6}


@pytest.mark.parametrize(
    ("kind", "reported", "ran", "violation"),
    [
        (KEYED, [UNKNOWN, RAN], ["a.0"], None),
        (KEYED, [REFUSED, ANSWERED], ["a.1"], None),
        (KEYED, [UNKNOWN, ANSWERED], ["a.0", "a.1"], "ran_twice"),
        (KEYED, [UNKNOWN], ["a.0", "a.0"], "ran_twice"),
        (KEYED, [ANSWERED], [], "lost"),
        (KEYED, [RAN], [], "lost"),
        (KEYED, [REFUSED], ["a.0"], "false_not_run"),
        (KEYED, [REFUSED, UNKNOWN], ["a.0"], "false_not_run"),
        (LOOKUP, [REFUSED, UNKNOWN], [], "lost"),
        (LOOKUP, [UNKNOWN, ANSWERED], ["a.0", "a.1"], None),
        (LOOKUP, [WRONG, ANSWERED], ["a.0", "a.1"], "crossed"),
    ],
)
def test_oracle_finds_violation(
    kind: str, reported: list[str], ran: list[str], violation: str | None
) -> None:
    """Find exactly the given violation, or none."""
    request = RequestRecord("a", kind)
    for number, outcome in enumerate(reported):
        request.attempts.append((f"a.{number}", outcome))
    oracle = OutcomeOracle([request], ran)
    for name in ("ran_twice", "lost", "crossed", "false_not_run"):
        found = getattr(oracle, name)()
        assert bool(found) == (name == violation), name


def test_seed_determines_schedule() -> None:
    """Draw the same faults for the same seed, others for another seed."""
    one, again, other = (
        [str(fault) for fault in draw_schedule(Random(seed), 60.0, SIZES)]
        for seed in (7, 7, 8)
    )
    assert one == again
    assert one != other
    assert len(one) > 20


def test_oracle_finds_late_crashes() -> None:
    """Allow three crashes, and three more after the quarantine delay."""
    first = [100.0, 100.1, 100.2]
    late = [100.2 + QUARANTINE_DELAY_S + second for second in range(1, 5)]
    assert find_late_crashes([]) == []
    assert find_late_crashes([*first, *late[:3]]) == []
    assert len(find_late_crashes([*late, *first])) == len(late)


def test_oracle_finds_runs_in_evacuated_zone() -> None:
    """Allow runs before the maximum delay, elsewhere or after the end."""
    period = EvacuationPeriod("surco", 100.0)
    period.ended_at = 120.0
    late = 100.0 + MAX_EFFECT_DELAY_S + 1.0
    runs = [
        ("surco", 100.0 + MAX_EFFECT_DELAY_S - 1.0, "soon"),
        ("surco", late, "late"),
        ("miraflores", late, "elsewhere"),
        ("surco", 121.0, "after"),
    ]
    assert find_forbidden_runs([period], runs) == ["late"]
    assert find_forbidden_runs([], runs) == []
