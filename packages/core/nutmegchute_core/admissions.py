"""Decide, on the leader, how the group of control replicas changes.

No operator is there at night: a replica that lost its disk, or one that
stands in for a lost machine, is taken in without being asked for. Who is
taken in learns first; ``voters`` decides who votes.
"""

from .memberships import Member
from .memberships import Membership
from .memberships import MembershipChange
from .replicas import Replica

# A namesake that introduces itself under a new identity proves that the old
# identity's disk is gone; this only rules out words that were under way.
REPLACED_SILENT_S = 1.0
# Endpoints and routers are sent to every member. One that comes back later
# introduces itself anew.
LEARNER_SILENT_S = 5.0


def due_change(
    replica: Replica,
    pending: dict[str, Member],
    now: float,
    operator_managed: bool,
) -> MembershipChange | None:
    """Return the next change that a leader should make, if one is due."""
    silent_s = {}
    for member in replica.membership.members:
        last_contact_at = replica.last_contact_at(member.identity)
        if last_contact_at is not None:
            silent_s[member.identity] = now - last_contact_at
    return next_change(replica.membership, pending, silent_s, operator_managed)


def next_change(
    membership: Membership,
    pending: dict[str, Member],
    silent_s: dict[str, float],
    operator_managed: bool = False,
) -> MembershipChange | None:
    """Return the next change of the membership, if one is due.

    ``waiting`` maps names to those that ask to be taken in, ``silent_s``
    the identities of the others to how long they have been silent. One
    change at a time, so that any two majorities share a replica. Where an
    operator lists the replicas, ``listed``, only an operator brings names
    in or leaves them out.
    """
    for name in sorted(pending):
        old = membership.named(name)
        if old is None:
            if operator_managed:
                continue
            return MembershipChange("add", name)
        if silent_s.get(old.identity, 0.0) >= REPLACED_SILENT_S:
            return MembershipChange("replace", name)
    if operator_managed:
        return None
    for member in membership.members:
        if member.voter:
            continue
        if silent_s.get(member.identity, 0.0) >= LEARNER_SILENT_S:
            return MembershipChange("remove", member.name)
    return None
