"""Form a group of control replicas from empty disks."""

import msgspec

from .memberships import group_id
from .memberships import Member
from .memberships import Membership


class Introduction(msgspec.Struct, frozen=True):
    """Describe a replica and the founding members of its group, if any.

    ``leader`` is the gRPC address of the leader, if known: only the leader
    admits members, and a new replica's settings may list followers only.
    """

    member: Member
    group: str | None = None
    genesis: Membership = Membership()
    leader: str = ""


class Formation:
    """Decide, for an empty disk, between forming and joining a group.

    Only the listed founders form a group, once all of them are present with
    empty disks; other replicas wait to be admitted. So a founder that lost
    its disk cannot form a second group beside the first one, since another
    founder still belongs to the first and reports it.
    """

    __slots__ = ("_founders", "_introductions", "_own")

    def __init__(self, own: Member, founders: list[str]) -> None:
        self._own = own
        self._founders = founders
        self._introductions: dict[str, Introduction] = {
            own.grpc_address: Introduction(own)
        }

    def record(self, introduction: Introduction) -> None:
        """Record another replica's introduction."""
        self._introductions[introduction.member.grpc_address] = introduction

    def result(self) -> Introduction | None:
        """Return the group to form or join, or None while undecided."""
        for introduction in self._introductions.values():
            if introduction.group is not None:
                return introduction
        if self._own.grpc_address not in self._founders:
            return None
        members = []
        for address in sorted(self._founders):
            found = self._introductions.get(address)
            if found is None:
                return None
            members.append(found.member)
        genesis = Membership(members)
        return Introduction(self._own, group_id(genesis), genesis)
