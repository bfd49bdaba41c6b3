"""Form a group of control replicas from empty disks, once."""

import msgspec

from .memberships import group_id
from .memberships import Member
from .memberships import Membership


class Introduction(msgspec.Struct, frozen=True):
    """Say who a replica is and, once formed, how its group began.

    ``leader`` is the gRPC address of the leader, where one is known: it
    alone takes members in, and a newcomer may be told of followers only.
    """

    member: Member
    group: str | None = None
    genesis: Membership = Membership()
    leader: str = ""


class Formation:
    """Decide, on an empty disk, between forming and joining a group.

    A group is formed only by the listed replicas, when every one of them
    is there with an empty disk; others wait until they are taken in. A
    replica whose disk was lost can therefore not take part in forming a
    second group beside the first: some other replica holds the first and
    says so.
    """

    __slots__ = ("_founders", "_introductions", "_own")

    def __init__(self, own: Member, founders: list[str]) -> None:
        self._own = own
        self._founders = founders
        self._introductions: dict[str, Introduction] = {
            own.grpc_address: Introduction(own)
        }

    def record(self, introduction: Introduction) -> None:
        """Take another replica's introduction."""
        self._introductions[introduction.member.grpc_address] = introduction

    def result(self) -> Introduction | None:
        """Return the group to form or join, or None while it is open."""
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
