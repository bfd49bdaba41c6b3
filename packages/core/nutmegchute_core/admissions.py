"""Decide, on the leader, which replicas are members of the group.

A replica that lost its disk, or that replaces a lost machine, is admitted
without an operator, who may not be there at night. New members are learners;
``voters`` decides which of them to promote.
"""

from .memberships import Member
from .memberships import Membership
from .memberships import MembershipChange
from .replicas import Replica

# A replica that returns under its name with a new identity proves that the
# old identity's disk is lost; the wait covers messages still in flight.
REPLACED_SILENT_S = 1.0
# Silent learners are removed, since endpoints and routers are referred to all
# members. One that returns later requests to join again.
LEARNER_SILENT_S = 5.0


def due_change(
    replica: Replica,
    pending: dict[str, Member],
    now: float,
    operator_managed: bool,
) -> MembershipChange | None:
    """Return the next membership change for a leader to make, if any."""
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
    """Return the next change of a membership, if one is due.

    ``pending`` maps names to replicas that request to join, ``silent_s``
    identities of members to the time since their last reply. One change is
    made at a time, so that consecutive majorities share a replica. In an
    ``operator_managed`` group only an operator adds or removes names.
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
