"""Hold all that endpoints ask of their callers."""

from .departures import Departures
from .endpoints import Endpoint
from .entry_groups import EntryGroups
from .members import ProcessKey
from .notices import Notice
from .rate_limits import RateLimits
from .rests import Rests


class Demands:
    """Decide when this entry may send to endpoints that make demands."""

    __slots__ = ("departures", "rate_limits", "rests")

    def __init__(self, groups: EntryGroups, epoch: int = 0) -> None:
        self.rate_limits = RateLimits(groups, epoch)
        self.rests = Rests()
        self.departures = Departures()

    def record(self, notice: Notice, now: float) -> bool:
        """Record an answer; return whether it changes any demand."""
        limited = self.rate_limits.record(notice, now)
        rested = self.rests.record(notice, now)
        departed = self.departures.record(notice)
        return limited or rested or departed

    def retain(self, processes: set[ProcessKey], now: float) -> None:
        """Forget the demands of processes that are gone."""
        self.rate_limits.retain(processes, now)
        self.rests.retain(processes, now)

    def call_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when a call may be sent to an endpoint, at the earliest.

        This is infinite for an endpoint that is left to other entries.
        """
        return max(
            self.rate_limits.call_at(endpoint, now),
            self.rests.call_at(endpoint, now),
        )

    def query_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when a load query may be sent, at the earliest."""
        return max(
            self.rate_limits.query_at(endpoint, now),
            self.rests.call_at(endpoint, now),
        )

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a call may be sent to an endpoint now."""
        if not self.rests.allows(endpoint, now):
            return False
        return self.rate_limits.allows(endpoint, now)

    def count_call(self, endpoint: Endpoint, now: float) -> None:
        """Count a call that is sent to an endpoint."""
        self.rate_limits.count_call(endpoint, now)

    def count_query(self, endpoint: Endpoint, now: float) -> None:
        """Count a load query that is sent to an endpoint."""
        self.rate_limits.count_query(endpoint, now)
