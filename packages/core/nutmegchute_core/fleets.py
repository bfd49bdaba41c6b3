"""Know, on the leader, which configuration each entry has in force."""

from typing import Any

import msgspec

FLEET_LEASE_S = 2.0


class FollowRequest(msgspec.Struct, frozen=True):
    """Ask for the tree when it is newer than what the entry applied."""

    entry: str
    index: int


class FollowReply(msgspec.Struct, frozen=True):
    """Give the tree as of ``index``, or only name the leader.

    ``documents`` is None where the replica does not lead or nothing is
    newer than what was asked for.
    """

    leader: str | None
    index: int
    revisions: dict[str, int]
    documents: dict[str, Any] | None


class Fleet:
    """Record what each entry applied and when it last asked."""

    __slots__ = ("_applied", "_heard")

    def __init__(self) -> None:
        self._applied: dict[str, int] = {}
        self._heard: dict[str, float] = {}

    def hear(self, request: FollowRequest, now: float) -> None:
        """Take an entry's word about the index it has in force."""
        known = self._applied.get(request.entry, 0)
        self._applied[request.entry] = max(known, request.index)
        self._heard[request.entry] = now

    def in_force(self, index: int, now: float) -> bool:
        """Tell whether no live entry still acts on an older index."""
        for entry, applied in self._applied.items():
            if applied >= index:
                continue
            if now - self._heard[entry] <= FLEET_LEASE_S:
                return False
        return True

    def applied(self) -> dict[str, int]:
        """Map each entry heard of to the index it has in force."""
        return dict(self._applied)
