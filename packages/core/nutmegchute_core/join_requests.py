"""Track the replicas that request to join the group."""

from .formations import Introduction
from .memberships import Member
from .memberships import Membership

# A replica that waits to join introduces itself far more often.
JOIN_REQUEST_TTL_S = 5.0


class JoinRequests:
    """Hold the latest introduction of each replica until it expires."""

    __slots__ = ("_requests",)

    def __init__(self) -> None:
        self._requests: dict[str, tuple[Member, float]] = {}

    def record(self, introduction: Introduction, now: float) -> None:
        """Record an introduction if it names the group.

        Founders introduce themselves before the group exists. If that were
        recorded, a founder removed soon after would seem to request to rejoin.
        """
        if introduction.group is None:
            return
        member = introduction.member
        self._requests[member.name] = (member, now)

    def pending(self, membership: Membership, now: float) -> dict[str, Member]:
        """Return the replicas that wait to become members, by name."""
        found = {}
        for name, (member, received_at) in self._requests.items():
            if now - received_at > JOIN_REQUEST_TTL_S:
                continue
            if membership.find(member.identity) is None:
                found[name] = member
        return found
