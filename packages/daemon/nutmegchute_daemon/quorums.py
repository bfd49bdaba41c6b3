"""Log which control replicas vote, and which votes are missing."""

from nutmegchute_core.memberships import Membership
from nutmegchute_core.replicas import Replica

from .events import Event
from .events import log

# Longer than any election; also the period at which the event repeats.
LEADERLESS_S = 5.0


class QuorumReport:
    """Log changes of the voters and whether this replica is current."""

    __slots__ = ("_leaderless_since", "_membership", "_staleness")

    def __init__(self, now: float) -> None:
        self._membership = Membership()
        self._leaderless_since = now
        # None until the first update.
        self._staleness: str | None = None

    def update(self, replica: Replica, now: float) -> None:
        """Log what has changed, or that there has long been no leader."""
        self._log_staleness(replica, now)
        membership = replica.membership
        if membership != self._membership:
            self._membership = membership
            log(
                Event.VOTERS_CHANGED,
                voters=_names(membership, membership.voters),
                learners=_names(membership, membership.learners),
                majority=membership.quorum,
                index=replica.log.membership_index,
            )
        if not membership.voters or replica.in_contact(now):
            self._leaderless_since = now
            return
        if now - self._leaderless_since < LEADERLESS_S:
            return
        self._leaderless_since = now
        log(
            Event.LEADERLESS,
            "warning",
            voters=_names(membership, membership.voters),
            granted=_names(membership, sorted(replica.votes)),
            majority=membership.quorum,
            term=replica.term,
            last_index=replica.last_index,
        )

    def _log_staleness(self, replica: Replica, now: float) -> None:
        staleness = replica.staleness(now)
        if staleness == self._staleness:
            return
        self._staleness = staleness
        log(
            Event.STATE_OUTDATED if staleness else Event.STATE_CURRENT,
            reason=staleness,
            state=replica.state,
            term=replica.term,
            committed=replica.commit_index,
            last_index=replica.last_index,
        )


def _names(membership: Membership, identities: list[str]) -> list[str]:
    names = []
    for identity in identities:
        member = membership.find(identity)
        names.append(member.name if member is not None else identity)
    return names
