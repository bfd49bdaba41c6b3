"""Define how entries follow the tree, and the lease on which they act."""

from typing import Any

import msgspec

from .evacuations import EvacuationUpdate
from .patches import Step
from .quarantines import QuarantineUpdate
from .transfers import Offer

# An entry's lease, from its last confirmed request. It outlasts one lost
# request (hold, timeout, retry) and leaves time for a failover within the
# 12 s in which a change must be in force.
TREE_LEASE_S = 9.5
# How long the leader holds a request while it has no changes to send.
HOLD_S = 4.0
HOLD_MARGIN_S = 0.5
# The leader waits longer than the lease, as clocks run at different rates.
TREE_LEASE_WAIT_S = TREE_LEASE_S * 1.05


class FollowRequest(msgspec.Struct, frozen=True):
    """Request what changed after the log indexes that an entry has applied.

    ``index`` is that of the tree, ``quarantine`` that of the quarantine
    cases, ``evacuations`` that of the evacuated availability zones.
    ``leaving`` withdraws the entry. Without ``hold`` the leader replies even
    if nothing changed. ``fetching`` says whether the entry fetches an offered
    tree, None if it cannot fetch any.
    """

    entry: str
    index: int
    leaving: bool = False
    hold: bool = True
    quarantine: int = 0
    evacuations: int = 0
    fetching: bool | None = None


class FollowReply(msgspec.Struct, frozen=True):
    """Return the changes up to ``index``, or only name the leader.

    ``documents`` holds the branches that changed after the requested index,
    None for a removed branch; it is None if no branch changed. ``steps`` may
    replace it: where branches hold thousands of items and a change touches
    one, they take a fraction of the bytes.
    Only a ``current`` reply may be acted on: it comes from a leader that a
    quorum confirmed after the request arrived. ``quarantine`` lists the
    requests that crash endpoints, ``evacuations`` the evacuated availability
    zones; each is None if unchanged. ``offer`` replaces ``documents`` that
    are too long for a reply.
    """

    leader: str | None
    leader_address: str | None
    current: bool
    index: int = 0
    revisions: dict[str, int] = {}
    documents: dict[str, Any] | None = None
    steps: list[Step] | None = None
    quarantine: QuarantineUpdate | None = None
    evacuations: EvacuationUpdate | None = None
    offer: Offer | None = None


class Enroll(msgspec.Struct, frozen=True, tag=True):
    """Register an entry before it gets its first tree."""

    entry: str


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Remove an entry that left or has long been silent."""

    entry: str


class EntryProgress:
    """Track what each entry applied and when it last sent a request.

    A new leader starts with an empty one. An entry that has sent it nothing
    may hold a lease from its predecessor, so it counts as live for one lease
    from the start of the term.
    """

    __slots__ = ("_applied", "_requested_at", "_started_at")

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._applied: dict[str, int] = {}
        self._requested_at: dict[str, float] = {}

    def record(self, request: FollowRequest, now: float) -> None:
        """Record an entry's request and the index that it has in force."""
        known = self._applied.get(request.entry, 0)
        self._applied[request.entry] = max(known, request.index)
        self._requested_at[request.entry] = now

    def forget(self, entry: str) -> None:
        """Remove an entry that left."""
        self._applied.pop(entry, None)
        self._requested_at.pop(entry, None)

    def in_force(self, index: int, enrolled: set[str], now: float) -> bool:
        """Return whether every live entry has applied an index."""
        for entry in enrolled:
            if self._applied.get(entry, 0) >= index:
                continue
            if (
                now - self._requested_at.get(entry, self._started_at)
                <= TREE_LEASE_WAIT_S
            ):
                return False
        return True

    def silence_s(self, entry: str, now: float) -> float:
        """Return the time since an entry's last request, in seconds."""
        return now - self._requested_at.get(entry, self._started_at)

    def applied(self) -> dict[str, int]:
        """Return the index that each known entry has in force."""
        return dict(self._applied)


class RelayReply(msgspec.Struct, frozen=True):
    """Return a leader's reply to a request relayed for another entry.

    ``reply`` is None if the relaying entry has no leader either.
    """

    reply: FollowReply | None


class TreeLease:
    """Decide whether this entry may route calls by its tree.

    It may while it holds a lease. Without one, a newer tree may be in force
    elsewhere, so the entry stops, unless more than half of all entries are
    reachable and have no leader either. Then control is down for all, and
    stopping every entry would turn that into an outage.
    """

    __slots__ = ("_leaderless", "_lease_until", "_other_entries")

    def __init__(self, other_entries: int) -> None:
        self._other_entries = other_entries
        self._lease_until = 0.0
        self._leaderless: dict[str, float] = {}

    def renew(self, sent_at: float) -> None:
        """Extend the lease, counted from when the request was sent."""
        until = sent_at + TREE_LEASE_S
        self._lease_until = max(self._lease_until, until)

    def record_leaderless(self, entry: str, now: float) -> None:
        """Record that another entry answered that it has no leader."""
        self._leaderless[entry] = now

    def has_lease(self, now: float) -> bool:
        """Return whether a leader confirmed the tree within the lease."""
        return now < self._lease_until

    def may_hold(self, now: float) -> bool:
        """Return whether the lease outlasts a request that is held.

        After a lost request it may not: the reply that renews the lease
        would be held until after it expired.
        """
        return now + HOLD_S + HOLD_MARGIN_S < self._lease_until

    def may_route(self, now: float) -> bool:
        """Return whether calls may be routed by the current tree."""
        if self.has_lease(now):
            return True
        reachable = 1
        for answered_at in self._leaderless.values():
            if now - answered_at <= TREE_LEASE_S:
                reachable += 1
        return 2 * reachable > self._other_entries + 1
