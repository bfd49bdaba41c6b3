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


def settle(
    membership: Membership,
    gone: str = "",
    caught_up: str = "",
    leaving: str = "",
) -> list[str]:
    """Change voters until nothing is due; list them after each step."""
    silent_s = dict.fromkeys(gone, VOTER_TIMEOUT_S)
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
    assert settle(group("abc")) == []
    assert settle(group("abc"), gone="b") == []


def test_newcomer_only_learns() -> None:
    """Keep the fourth from voting: four bear no more than three."""
    assert settle(group("abc", "d"), caught_up="d") == []


def test_newcomer_takes_the_vote_of_a_lost_one() -> None:
    """Exchange the votes, the lost one's first.

    Were the newcomer lost as well in between, the two that are left are
    all that is needed.
    """
    steps = settle(group("abc", "d"), gone="b", caught_up="d")
    assert steps == ["ac", "acd"]
    assert settle(group("abc", "d"), gone="b") == []


def test_newcomer_takes_the_vote_of_one_that_stops() -> None:
    """Exchange the votes, the newcomer's first: the old one still works."""
    steps = settle(group("abc", "d"), caught_up="d", leaving="a")
    assert steps == ["abcd", "bcd"]
    assert settle(group("abc"), leaving="a") == []


def test_two_newcomers_vote() -> None:
    """Let a group grow by two, so that it bears one loss more."""
    assert settle(group("abc", "de"), caught_up="de") == ["abcd", "abcde"]


def test_group_shrinks_with_its_losses() -> None:
    """Leave out who is silent as long as three remain.

    Of five voters with two gone for good, one more lost disk leaves no
    majority; the three that remain bear it.
    """
    assert settle(group("abcde"), gone="a") == ["bcde"]
    assert settle(group("abcde"), gone="ab") == ["bcde", "cde"]
    assert settle(group("abcde"), gone="abc") == ["bcde", "cde"]


def test_four_become_three_or_five() -> None:
    """Leave no group with an even number for longer than need be."""
    assert settle(group("abcd"), gone="c") == ["abd"]
    assert settle(group("abcd"), leaving="c") == ["abd"]
    assert settle(group("abcd", "e"), caught_up="e") == ["abcde"]


def test_two_voters_are_not_made_one() -> None:
    """Keep two: a single one would decide alone, and lose all alone."""
    assert settle(group("ab"), gone="b") == []
    assert settle(group("ab"), leaving="b") == []
    assert settle(group("ab", "c"), caught_up="c") == ["abc"]


def test_returned_replica_votes_again() -> None:
    """Let one that was only slow take the place that became free."""
    assert settle(group("bcde", "a"), caught_up="a") == ["abcde"]
    assert settle(group("acd", "b"), caught_up="b") == []
