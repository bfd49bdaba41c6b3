"""Let the right replicas vote while others come, stop and fall silent."""

from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.voters import next_voters
from nutmegchute_core.voters import VOTER_TIMEOUT_S


def group(voters: str, learners: str = "") -> Membership:
    """Build a group; each letter is a replica."""
    members = [Member(name, name) for name in voters]
    members += [Member(name, name, voter=False) for name in learners]
    return Membership(members)


def apply_changes(
    membership: Membership,
    silent: str = "",
    caught_up: str = "",
    leaving: str = "",
) -> list[str]:
    """Change voters until nothing is due; list them after each step."""
    silent_s = dict.fromkeys(silent, VOTER_TIMEOUT_S)
    steps: list[str] = []
    while len(steps) < 9:
        after = next_voters(membership, silent_s, set(caught_up), set(leaving))
        if after is None:
            return steps
        changed = set(after.voters) ^ set(membership.voters)
        assert len(changed) == 1
        membership = after
        steps.append("".join(sorted(membership.voters)))
    raise AssertionError(f"never settles: {steps}")


def test_three_stay_three() -> None:
    """Change nothing while all are there, or one is silent."""
    assert apply_changes(group("abc")) == []
    assert apply_changes(group("abc"), silent="b") == []


def test_newcomer_only_learns() -> None:
    """Keep the fourth from voting: four bear no more than three."""
    assert apply_changes(group("abc", "d"), caught_up="d") == []


def test_newcomer_takes_the_vote_of_a_lost_one() -> None:
    """Exchange the votes, the lost one's first.

    Were the newcomer lost as well in between, the two that are left are
    all that is needed.
    """
    steps = apply_changes(group("abc", "d"), silent="b", caught_up="d")
    assert steps == ["ac", "acd"]
    assert apply_changes(group("abc", "d"), silent="b") == []


def test_newcomer_takes_the_vote_of_one_that_stops() -> None:
    """Exchange the votes, the newcomer's first: the old one still works."""
    steps = apply_changes(group("abc", "d"), caught_up="d", leaving="a")
    assert steps == ["abcd", "bcd"]
    assert apply_changes(group("abc"), leaving="a") == []


def test_two_newcomers_vote() -> None:
    """Let a group grow by two, so that it bears one loss more."""
    assert apply_changes(group("abc", "de"), caught_up="de") == [
        "abcd",
        "abcde",
    ]


def test_group_shrinks_with_its_losses() -> None:
    """Leave out who is silent as long as three remain.

    Of five voters with two gone for good, one more lost disk leaves no
    majority; the three that remain bear it.
    """
    assert apply_changes(group("abcde"), silent="a") == ["bcde"]
    assert apply_changes(group("abcde"), silent="ab") == ["bcde", "cde"]
    assert apply_changes(group("abcde"), silent="abc") == ["bcde", "cde"]


def test_four_become_three_or_five() -> None:
    """Leave no group with an even number for longer than need be."""
    assert apply_changes(group("abcd"), silent="c") == ["abd"]
    assert apply_changes(group("abcd"), leaving="c") == ["abd"]
    assert apply_changes(group("abcd", "e"), caught_up="e") == ["abcde"]


def test_two_voters_are_not_made_one() -> None:
    """Keep two: a single one would decide alone, and lose all alone."""
    assert apply_changes(group("ab"), silent="b") == []
    assert apply_changes(group("ab"), leaving="b") == []
    assert apply_changes(group("ab", "c"), caught_up="c") == ["abc"]


def test_returned_replica_votes_again() -> None:
    """Let one that was only slow take the place that became free."""
    assert apply_changes(group("bcde", "a"), caught_up="a") == ["abcde"]
    assert apply_changes(group("acd", "b"), caught_up="b") == []
