"""Check that the oracle of the soak finds each kind of violation."""

from pathlib import Path
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
from nutmegchute_fakes.organisations import find_lines
from nutmegchute_fakes.organisations import KeyOracle
from nutmegchute_fakes.organisations import KeyPeriod
from nutmegchute_fakes.organisations import KeyUse
from nutmegchute_fakes.organisations import MAX_RUN_DELAY_S
from nutmegchute_fakes.organisations import OrganisationRun
from nutmegchute_fakes.organisations import SMALL
from nutmegchute_fakes.quotas import bound
from nutmegchute_fakes.soak import find_late_crashes
from nutmegchute_fakes.soak import KEYED
from nutmegchute_fakes.soak import LOOKUP
from nutmegchute_fakes.soak import OutcomeOracle
from nutmegchute_fakes.soak import QUARANTINE_DELAY_S
from nutmegchute_fakes.soak import RequestRecord
from nutmegchute_fakes.upstreams import KEY_PREFIX

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


def test_oracle_finds_calls_of_wrong_organisations() -> None:
    """Find a key of another organisation, of none, and one withdrawn."""
    moved = KeyPeriod("north", 100.0)
    moved.ended_at = 110.0
    periods = {"moving": [moved, KeyPeriod("south", 109.0)]}
    late = moved.ended_at + MAX_RUN_DELAY_S + 1.0
    cases = [
        ("moving", "north", 101.0, None),
        ("moving", "south", 108.0, "misnamed"),
        ("moving", "south", 109.5, None),
        ("moving", "north", 109.5, None),
        ("moving", "north", late, "misnamed"),
        ("moving", "-", 101.0, "misnamed"),
        ("strange", "north", 101.0, "unknown_ran"),
    ]
    for key, name, at, violation in cases:
        uses = {"a.0": KeyUse(key, at)}
        runs = [OrganisationRun(at, name, "a.0")]
        oracle = KeyOracle(periods, uses, runs)
        for check in ("misnamed", "unknown_ran", "refused_ran"):
            found = getattr(oracle, check)()
            assert bool(found) == (check == violation), (key, name, at)


def test_oracle_finds_refused_calls_that_ran() -> None:
    """Find an answer for refused calls to one that ran, and no other."""
    uses = {}
    for status in (0, 200, 401, 429, 502, 503):
        uses[f"a.{status}"] = KeyUse("key", 1.0)
        uses[f"a.{status}"].status = status
    runs = [OrganisationRun(1.0, "north", one) for one in uses]
    found = KeyOracle({}, uses, runs).refused_ran()
    assert found == ["a.401", "a.429", "a.503"]


def test_oracle_finds_windows_over_the_quota() -> None:
    """Count each call once, and only in windows that it was sent in."""
    allowed = int(bound(SMALL))
    sent = [100.0 + number / 100 for number in range(allowed + 1)]
    for runs_at, delay_s, violations in (
        (sent[1:], 0.1, 0),
        (sent, 0.1, 1),
        # An upstream that was frozen runs them together.
        ([200.0] * len(sent), 90.0, 0),
    ):
        uses = {}
        runs = []
        for number, at in enumerate(runs_at):
            uses[f"a.{number}"] = KeyUse("key", at - delay_s)
            # A call that is sent twice counts once.
            for _ in range(2):
                run = OrganisationRun(at, SMALL.name, f"a.{number}")
                runs.append(run)
        assert len(KeyOracle({}, uses, runs).over_quota(SMALL)) == violations


def test_oracle_finds_keys_in_logs(tmp_path: Path) -> None:
    """Find the line of a log that contains a key."""
    (tmp_path / "entry-1.log").write_text(f"one\ntwo {KEY_PREFIX}1\n")
    assert find_lines(tmp_path, KEY_PREFIX) == [
        f"entry-1.log.two {KEY_PREFIX}1"
    ]
