"""Decide, on the leader, how the group of control replicas changes.

No operator is there at night: a replica that lost its disk, or one that
stands in for a lost machine, is taken in without being asked for.
"""

from .memberships import Member
from .memberships import Membership
from .memberships import ReplicaWish
from .replicas import Replica

# A namesake that introduces itself under a new identity proves that the old
# identity's disk is gone; this only rules out words that were under way.
NAMESAKE_SILENT_S = 1.0
# A voter silent for so long is replaced by a newcomer, where one waits. Were
# it only cut off, it comes back as a newcomer itself: no more is lost than
# the time it takes to catch up.
REPLACED_SILENT_S = 3.0
# With an even number of voters one more loss is borne without the silent
# one than with it.
REMOVED_SILENT_S = 15.0


def due_change(
    replica: Replica, waiting: dict[str, Member], now: float
) -> ReplicaWish | None:
    """Return the next change that a leader should make, if one is due."""
    silent_s = {}
    for member in replica.membership.members:
        heard_at = replica.heard_at(member.identity)
        if heard_at is not None:
            silent_s[member.identity] = now - heard_at
    return next_change(replica.membership, waiting, silent_s)


def next_change(
    membership: Membership,
    waiting: dict[str, Member],
    silent_s: dict[str, float],
) -> ReplicaWish | None:
    """Return the next change of the membership, if one is due.

    ``waiting`` maps names to those that ask to be taken in, ``silent_s``
    the identities of the others to how long they have been silent. One
    change at a time, so that any two majorities share a replica.
    """
    for name in sorted(waiting):
        old = membership.named(name)
        if old is None:
            return _take_in(name, membership, silent_s)
        if silent_s.get(old.identity, 0.0) >= NAMESAKE_SILENT_S:
            return ReplicaWish("replace", name)
    if len(membership.voters) % 2:
        return None
    for member in membership.members:
        if silent_s.get(member.identity, 0.0) >= REMOVED_SILENT_S:
            return ReplicaWish("remove", member.name)
    return None


def _take_in(
    name: str, membership: Membership, silent_s: dict[str, float]
) -> ReplicaWish:
    lost: Member | None = None
    longest_s = REPLACED_SILENT_S
    for member in membership.members:
        member_s = silent_s.get(member.identity, 0.0)
        if member_s >= longest_s:
            lost = member
            longest_s = member_s
    if lost is None:
        return ReplicaWish("add", name)
    return ReplicaWish("replace", name, replaces=lost.name)
