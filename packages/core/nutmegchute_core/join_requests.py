"""Remember which replicas ask to be taken into the group."""

from .formations import Introduction
from .memberships import Member
from .memberships import Membership

# A replica that waits introduces itself far more often.
JOIN_REQUEST_TTL_S = 5.0


class JoinRequests:
    """Hold who introduced itself lately."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, tuple[Member, float]] = {}

    def record(self, introduction: Introduction, now: float) -> None:
        """Take an introduction.

        Founders introduce themselves as well, but before they belong to
        the group; once removed they would seem to ask to come back.
        """
        if introduction.group is None:
            return
        member = introduction.member
        self._requests[member.name] = (member, now)

    def pending(self, membership: Membership, now: float) -> dict[str, Member]:
        """Map names to the replicas that wait to become members."""
        found = {}
        for name, (member, received_at) in self._requests.items():
            if now - received_at > JOIN_REQUEST_TTL_S:
                continue
            if membership.find(member.identity) is None:
                found[name] = member
        return found
