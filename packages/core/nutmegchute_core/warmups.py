"""Bound the rate of calls from all entries to a cold endpoint.

An endpoint that has just started crashes under more than a few calls a
second. So only a few entries use each cold endpoint, and each keeps to a rate
at which the sum stays within the bound.
"""

from .endpoints import Endpoint
from .entry_groups import EntryGroups

# Span over which an entry counts its sends: a second and the delay that a send
# may have.
PACING_SPAN_S = 1.05
# Entries that use a cold endpoint, as a share of its bound in calls a second.
# The other half is left to entries that still use an older group.
MEMBERS_SHARE = 0.5
# Work time of a cold endpoint, as a multiple of that of a warm one.
COLD_SLOWDOWN = 2.0


class WarmUps:
    """Decide which cold endpoints this entry may use, and at which rate."""

    __slots__ = ("_groups", "_overage", "_slack")

    def __init__(self, groups: EntryGroups) -> None:
        self._groups = groups
        self._overage = 1.0
        self._slack = 0.0

    def set_margin(self, overage: float, slack: float) -> None:
        """Set the load that endpoints bear beyond the declared rate."""
        self._overage = overage
        self._slack = slack

    def max_per_s(self, per_s: float) -> int:
        """Return the calls that a cold endpoint bears in any second."""
        return max(1, int(per_s * self._overage + self._slack))

    def share(self, endpoint: Endpoint, per_s: float, now: float) -> int:
        """Return the calls a second that this entry may send to an endpoint.

        This is the minimum over all groups that some entry may still use.
        """
        max_per_s = self.max_per_s(per_s)
        if self._groups.is_single:
            return max_per_s
        wanted = max(1, int(max_per_s * MEMBERS_SHARE))
        shares = []
        for membership in self._groups.find(endpoint, wanted, now):
            each, over = divmod(wanted, membership.count)
            shares.append(each + (membership.rank < over))
        return min(shares, default=0)


class WarmUpLimit:
    """Bound one service's calls to its cold endpoints.

    ``per_s`` is the rate that the service declares, or None without a bound.
    """

    __slots__ = ("_per_s", "_warm_ups")

    def __init__(self, warm_ups: WarmUps, per_s: float | None) -> None:
        self._warm_ups = warm_ups
        self._per_s = per_s

    @property
    def applies(self) -> bool:
        """Return whether the service has a bound."""
        return self._per_s is not None

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a call may be sent to an endpoint now."""
        if self._per_s is None or not endpoint.is_cold(now):
            return True
        share = self._warm_ups.share(endpoint, self._per_s, now)
        return endpoint.sent_within(PACING_SPAN_S, now) < share

    def excludes(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a cold endpoint is left to other entries."""
        if self._per_s is None or not endpoint.is_cold(now):
            return False
        return self._warm_ups.share(endpoint, self._per_s, now) == 0
