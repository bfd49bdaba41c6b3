"""Decide, on the leader, which replicas of the group vote.

A voter that is gone for good takes away a loss that the group could bear:
of four voters with one gone, the next lost disk leaves no majority for
ever. So newcomers learn first, and take the vote of one that stops or falls
silent; that one learns from then on, if it comes back.
"""

from .memberships import Member
from .memberships import Membership

# Five heartbeats without a reply. A mistaken exchange costs two log entries:
# who was only slow goes on learning, and is the next to vote.
VOTER_TIMEOUT_S = 1.0
# A group is not made smaller than this: it bears the loss of one voter, and
# two voters bear none.
MIN_VOTERS = 3


def next_voters(
    membership: Membership,
    silent_s: dict[str, float],
    caught_up: set[str],
    leaving: set[str],
) -> Membership | None:
    """Return the membership with one voter more or less, if it is due.

    ``silent_s`` tells how long each other replica has been silent,
    ``caught_up`` which learners hold nearly all of the log, and ``leaving``
    which replicas stop. One voter at a time, so that any two majorities in
    a row share a replica.
    """
    voters = membership.voters
    even = len(voters) % 2 == 0
    promotable = _promotable_learners(membership, caught_up, leaving)
    silent = _longest_silent(voters, silent_s)
    if silent is not None and (promotable or _is_dispensable(voters)):
        # Before the newcomer votes: were it lost at this moment, the others
        # would be enough by themselves.
        return membership.demoted(silent)
    for voter in voters:
        if voter not in leaving:
            continue
        if _is_dispensable(voters):
            return membership.demoted(voter)
        if promotable:
            # It still acknowledges, so the group bears a loss all the while.
            return membership.promoted(promotable[0].identity)
    if promotable and (even or len(promotable) > 1):
        return membership.promoted(promotable[0].identity)
    return None


def _is_dispensable(voters: list[str]) -> bool:
    """Tell whether a group bears as many losses with a voter less."""
    return len(voters) > MIN_VOTERS


def _promotable_learners(
    membership: Membership, caught_up: set[str], leaving: set[str]
) -> list[Member]:
    found = []
    for member in membership.members:
        if member.voter or member.identity in leaving:
            continue
        if member.identity in caught_up:
            found.append(member)
    return found


def _longest_silent(
    voters: list[str], silent_s: dict[str, float]
) -> str | None:
    found: str | None = None
    longest_s = 0.0
    for voter in voters:
        voter_s = silent_s.get(voter, 0.0)
        if voter_s < VOTER_TIMEOUT_S or voter_s <= longest_s:
            continue
        found = voter
        longest_s = voter_s
    return found
