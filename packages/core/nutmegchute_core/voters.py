"""Decide, on the leader, which replicas of the group are voters.

A voter that never returns lowers the number of failures that the group
tolerates: with one of four voters gone, the next lost disk leaves no majority
for ever. So new replicas join as learners and replace voters that stop or no
longer reply; a replaced voter becomes a learner, if it comes back.
"""

from .memberships import Member
from .memberships import Membership

# Five heartbeats without a reply. Replacing a voter by mistake costs two log
# entries; one that was only slow stays a learner and can be promoted again.
VOTER_TIMEOUT_S = 1.0
# A group is not reduced below this: three voters tolerate the loss of one, two
# tolerate none.
MIN_VOTERS = 3


def next_voters(
    membership: Membership,
    silent_s: dict[str, float],
    caught_up: set[str],
    leaving: set[str],
) -> Membership | None:
    """Return the membership with one voter added or removed, if due.

    ``silent_s`` maps the other replicas to the time since their last reply,
    ``caught_up`` names the learners with nearly all of the log, and
    ``leaving`` the replicas that are about to stop. One voter changes at a
    time, so that consecutive majorities share a replica.
    """
    voters = membership.voters
    even = len(voters) % 2 == 0
    promotable = _promotable_learners(membership, caught_up, leaving)
    silent = _longest_silent(voters, silent_s)
    if silent is not None and (promotable or _is_dispensable(voters)):
        # Demote first: if the new voter were lost right after its promotion,
        # the remaining ones must still be a majority.
        return membership.demoted(silent)
    for voter in voters:
        if voter not in leaving:
            continue
        if _is_dispensable(voters):
            return membership.demoted(voter)
        if promotable:
            # The leaving voter still replies: promote first, so that the
            # group tolerates a loss all the time.
            return membership.promoted(promotable[0].identity)
    if promotable and (even or len(promotable) > 1):
        return membership.promoted(promotable[0].identity)
    return None


def _is_dispensable(voters: list[str]) -> bool:
    """Return whether a voter may be removed without a replacement."""
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
