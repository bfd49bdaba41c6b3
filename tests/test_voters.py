"""Test which replicas vote as others join, stop or are lost."""

from nutmegchute_core.memberships import Member
from nutmegchute_core.memberships import Membership
from nutmegchute_core.voters import next_voters
from nutmegchute_core.voters import VOTER_TIMEOUT_S


def build_group(voters: str, learners: str = "") -> Membership:
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
    """Apply changes until none is due; return the voters after each."""
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
    """Keep three voters, also when one of them is silent."""
    assert apply_changes(build_group("abc")) == []
    assert apply_changes(build_group("abc"), silent="b") == []


def test_fourth_replica_stays_learner() -> None:
    """Four voters tolerate no more losses than three."""
    assert apply_changes(build_group("abc", "d"), caught_up="d") == []


def test_learner_replaces_a_silent_voter() -> None:
    """Demote the silent voter before the learner is promoted.

    If the learner is lost in between, the two other voters are a majority.
    """
    steps = apply_changes(build_group("abc", "d"), silent="b", caught_up="d")
    assert steps == ["ac", "acd"]
    assert apply_changes(build_group("abc", "d"), silent="b") == []


def test_learner_replaces_a_leaving_voter() -> None:
    """Promote the learner first, as the leaving voter still works."""
    steps = apply_changes(build_group("abc", "d"), caught_up="d", leaving="a")
    assert steps == ["abcd", "bcd"]
    assert apply_changes(build_group("abc"), leaving="a") == []


def test_two_learners_are_promoted() -> None:
    """Grow a group by two voters, so that it tolerates one more loss."""
    assert apply_changes(build_group("abc", "de"), caught_up="de") == [
        "abcd",
        "abcde",
    ]


def test_group_shrinks_to_three_voters() -> None:
    """Demote silent voters as long as three remain.

    With two of five voters gone for good, one more lost disk leaves no
    majority; a group of three tolerates it.
    """
    assert apply_changes(build_group("abcde"), silent="a") == ["bcde"]
    assert apply_changes(build_group("abcde"), silent="ab") == ["bcde", "cde"]
    assert apply_changes(build_group("abcde"), silent="abc") == ["bcde", "cde"]


def test_four_become_three_or_five() -> None:
    """Keep an even number of voters no longer than necessary."""
    assert apply_changes(build_group("abcd"), silent="c") == ["abd"]
    assert apply_changes(build_group("abcd"), leaving="c") == ["abd"]
    assert apply_changes(build_group("abcd", "e"), caught_up="e") == ["abcde"]


def test_two_voters_are_not_made_one() -> None:
    """Keep two voters: with a single one, its disk holds the only copy."""
    assert apply_changes(build_group("ab"), silent="b") == []
    assert apply_changes(build_group("ab"), leaving="b") == []
    assert apply_changes(build_group("ab", "c"), caught_up="c") == ["abc"]


def test_returned_replica_is_promoted_again() -> None:
    """Promote a demoted replica again if the group needs a voter."""
    assert apply_changes(build_group("bcde", "a"), caught_up="a") == ["abcde"]
    assert apply_changes(build_group("acd", "b"), caught_up="b") == []
