"""Form a group of control replicas from empty disks, once."""

import msgspec

from .memberships import group_of
from .memberships import Member
from .memberships import Membership


class Introduction(msgspec.Struct, frozen=True):
    """Say who a replica is and, once formed, how its group began."""

    member: Member
    group: str | None = None
    genesis: Membership = Membership()


class Formation:
    """Decide, on an empty disk, between forming and joining a group.

    A group is formed only when every listed replica is there with an
    empty disk. A replica whose disk was lost can therefore not take part
    in forming a second group beside the first: some other replica holds
    the first and says so.
    """

    __slots__ = ("_heard", "_names", "_own")

    def __init__(self, own: Member, names: list[str]) -> None:
        self._own = own
        self._names = names
        self._heard: dict[str, Introduction] = {own.name: Introduction(own)}

    def hear(self, introduction: Introduction) -> None:
        """Take another replica's introduction."""
        self._heard[introduction.member.name] = introduction

    def result(self) -> Introduction | None:
        """Return the group to form or join, or None while it is open."""
        for introduction in self._heard.values():
            if introduction.group is not None:
                return introduction
        members = []
        for name in sorted(self._names):
            heard = self._heard.get(name)
            if heard is None:
                return None
            members.append(heard.member)
        genesis = Membership(members)
        return Introduction(self._own, group_of(genesis), genesis)
