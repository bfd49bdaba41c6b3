"""Make sure that the soak's oracle can find what it looks for."""

from random import Random

import pytest
from nutmegchute_fakes.callers import ANSWERED
from nutmegchute_fakes.callers import RAN
from nutmegchute_fakes.callers import REFUSED
from nutmegchute_fakes.callers import UNKNOWN
from nutmegchute_fakes.callers import WRONG
from nutmegchute_fakes.evacuations import BOUND_S
from nutmegchute_fakes.evacuations import reached
from nutmegchute_fakes.evacuations import Span
from nutmegchute_fakes.faults import schedule
from nutmegchute_fakes.soak import crashed_on
from nutmegchute_fakes.soak import KEYED
from nutmegchute_fakes.soak import KNOWN_S
from nutmegchute_fakes.soak import LOOKUP
from nutmegchute_fakes.soak import Told
from nutmegchute_fakes.soak import Verdict

SIZES = {"entry": 4, "control": 3, "upstream": 6}


@pytest.mark.parametrize(
    ("kind", "said", "ran", "fault"),
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
def test_the_oracle_finds(
    kind: str, said: list[str], ran: list[str], fault: str | None
) -> None:
    """Find each fault where it is, and none where it is not."""
    told = Told("a", kind)
    for place, outcome in enumerate(said):
        told.attempts.append((f"a.{place}", outcome))
    verdict = Verdict([told], ran)
    for name in ("ran_twice", "lost", "crossed", "false_not_run"):
        found = getattr(verdict, name)()
        assert bool(found) == (name == fault), name


def test_a_seed_gives_one_schedule() -> None:
    """Play the same faults again for the same seed."""
    one, again, other = (
        [str(fault) for fault in schedule(Random(seed), 60.0, SIZES)]
        for seed in (7, 7, 8)
    )
    assert one == again
    assert one != other
    assert len(one) > 20


def test_the_oracle_finds_a_request_that_goes_on_crashing() -> None:
    """Allow three ends of upstreams, and three more a while after."""
    first = [100.0, 100.1, 100.2]
    late = [100.2 + KNOWN_S + second for second in range(1, 5)]
    assert crashed_on([]) == []
    assert crashed_on([*first, *late[:3]]) == []
    assert len(crashed_on([*late, *first])) == len(late)


def test_the_oracle_finds_what_runs_in_an_evacuated_zone() -> None:
    """Allow what runs before the bound, elsewhere or after the end."""
    span = Span("surco", 100.0)
    span.taken_back_at = 120.0
    late = 100.0 + BOUND_S + 1.0
    runs = [
        ("surco", 100.0 + BOUND_S - 1.0, "soon"),
        ("surco", late, "late"),
        ("miraflores", late, "elsewhere"),
        ("surco", 121.0, "after"),
    ]
    assert reached([span], runs) == ["late"]
    assert reached([], runs) == []
