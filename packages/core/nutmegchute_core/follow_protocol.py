"""Know, on the leader, which configuration each entry has in force."""

from typing import Any

import msgspec

from .evacuations import EvacuationUpdate
from .patches import Step
from .quarantines import QuarantineUpdate

# How long an entry acts on a tree after it last asked a leader. It outlasts
# one lost question (hold, time-out, retry) and leaves room for a failover
# within the 12 s in which a change must be in force.
TREE_LEASE_S = 9.5
# How long the leader holds a question when nothing is newer.
HOLD_S = 4.0
HOLD_MARGIN_S = 0.5
# The leader counts a little longer than the entry: clocks drift.
TREE_LEASE_WAIT_S = TREE_LEASE_S * 1.05


class FollowRequest(msgspec.Struct, frozen=True):
    """Ask for the tree when it is newer than what the entry applied.

    ``quarantine`` is the index of the cases that it knows, ``evacuations``
    that of the evacuated availability zones.
    """

    entry: str
    index: int
    leaving: bool = False
    hold: bool = True
    quarantine: int = 0
    evacuations: int = 0


class FollowReply(msgspec.Struct, frozen=True):
    """Give what changed up to ``index``, or only name the leader.

    ``documents`` holds the branches that changed since the index that was
    asked for, None for a removed one; it is None where nothing did. In its
    place ``steps`` may lead there, a fraction of the bytes where branches
    hold thousands of items and a change one of them.
    Only a ``current`` reply comes from a leader that a quorum confirmed
    after the question arrived; no other may be acted on. ``quarantine``
    lists the requests that crash endpoints, ``evacuations`` the evacuated
    availability zones, each where that is news.
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


class Enroll(msgspec.Struct, frozen=True, tag=True):
    """Remember, before its first tree, that an entry exists."""

    entry: str


class Withdraw(msgspec.Struct, frozen=True, tag=True):
    """Forget an entry that left or has long been silent."""

    entry: str


class EntryProgress:
    """Record what each entry applied and when it last asked this leader.

    A leader starts one when it takes over. Entries that it has not heard
    from may hold a lease that its predecessor gave, so each counts as
    live for one lease from then on.
    """

    __slots__ = ("_applied", "_began", "_heard")

    def __init__(self, now: float) -> None:
        self._began = now
        self._applied: dict[str, int] = {}
        self._heard: dict[str, float] = {}

    def record(self, request: FollowRequest, now: float) -> None:
        """Take an entry's word about the index it has in force."""
        known = self._applied.get(request.entry, 0)
        self._applied[request.entry] = max(known, request.index)
        self._heard[request.entry] = now

    def forget(self, entry: str) -> None:
        """Drop an entry that has left."""
        self._applied.pop(entry, None)
        self._heard.pop(entry, None)

    def in_force(self, index: int, enrolled: set[str], now: float) -> bool:
        """Tell whether no live entry still acts on an older index."""
        for entry in enrolled:
            if self._applied.get(entry, 0) >= index:
                continue
            if now - self._heard.get(entry, self._began) <= TREE_LEASE_WAIT_S:
                return False
        return True

    def silence_s(self, entry: str, now: float) -> float:
        """Tell for how many seconds an entry has not asked."""
        return now - self._heard.get(entry, self._began)

    def applied(self) -> dict[str, int]:
        """Map each entry heard of to the index it has in force."""
        return dict(self._applied)


class RelayReply(msgspec.Struct, frozen=True):
    """Give what a leader answered to another entry's question.

    ``reply`` is None where the asked entry finds no leader either.
    """

    reply: FollowReply | None


class TreeLease:
    """Decide, on an entry, whether it may act on the tree it has.

    With a lease it may. Without one, somewhere a newer tree may be in
    force: it stops, unless more than half of all entries are in reach and
    find no leader either. Then control is lost for everybody, and all
    entries stopping would turn its loss into an outage.
    """

    __slots__ = ("_lease_until", "_others", "_reached")

    def __init__(self, others: int) -> None:
        self._others = others
        self._lease_until = 0.0
        self._reached: dict[str, float] = {}

    def renew(self, asked_at: float) -> None:
        """Hold a lease, counted from before the question was sent."""
        until = asked_at + TREE_LEASE_S
        self._lease_until = max(self._lease_until, until)

    def record_leaderless(self, entry: str, now: float) -> None:
        """Remember that another entry answered and found no leader."""
        self._reached[entry] = now

    def has_lease(self, now: float) -> bool:
        """Tell whether a leader confirmed the tree lately."""
        return now < self._lease_until

    def may_hold(self, now: float) -> bool:
        """Tell whether the lease outlasts a question that is held.

        After a lost question it does not: the answer that renews the
        lease would be held until after its end.
        """
        return now + HOLD_S + HOLD_MARGIN_S < self._lease_until

    def may_act(self, now: float) -> bool:
        """Tell whether calls may be sent by the tree at hand."""
        if self.has_lease(now):
            return True
        together = 1
        for reached_at in self._reached.values():
            if now - reached_at <= TREE_LEASE_S:
                together += 1
        return 2 * together > self._others + 1
