"""Keep the rests for which endpoints asked this entry.

An endpoint that turns a call away may say for how long it wants nothing more
from this entry. It answers fast and reports no load, so without a rest it
would look idle and draw the next call.
"""

from math import inf

from .endpoints import Endpoint
from .members import ProcessKey
from .notices import Notice

# How long the end of a rest is kept for an endpoint that gets no call.
ENDED_TTL_S = 60.0


class Rests:
    """Decide when this entry may send to endpoints that asked for rest.

    After its rest an endpoint gets one call at a time, until it has answered
    one: all the calls that waited would only make it ask again.
    """

    __slots__ = ("_changes", "_until")

    def __init__(self) -> None:
        self._until: dict[ProcessKey, float] = {}
        # Notices that began or prolonged a rest, for the log.
        self._changes: list[Notice] = []

    @property
    def any_known(self) -> bool:
        """Return whether any endpoint rests or ended its rest lately."""
        return bool(self._until)

    def pop_changes(self) -> list[Notice]:
        """Return and clear the notices that began or prolonged a rest."""
        changes, self._changes = self._changes, []
        return changes

    def record(self, notice: Notice, now: float) -> bool:
        """Record an answer; return whether it changes a rest.

        Of several rests that an endpoint asks for, the last to end counts.
        """
        known = self._until.get(notice.process, -inf)
        if notice.rest_s is None:
            if notice.to_query or now < known:
                return False
            return self._until.pop(notice.process, None) is not None
        until = now + notice.rest_s
        if until <= known:
            return False
        self._until[notice.process] = until
        self._changes.append(notice)
        return True

    def retain(self, processes: set[ProcessKey], now: float) -> None:
        """Forget the rests of processes that are gone, and old ones."""
        for key, until in list(self._until.items()):
            ttl_s = ENDED_TTL_S if key in processes else 0.0
            if now - until > ttl_s:
                del self._until[key]

    def is_resting(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether nothing may be sent to an endpoint."""
        if not self._until:
            return False
        key = endpoint.announcement.process_key
        return now < self._until.get(key, -inf)

    def call_at(self, endpoint: Endpoint, now: float) -> float:
        """Return when a call may be sent to an endpoint, at the earliest."""
        if not self._until:
            return now
        key = endpoint.announcement.process_key
        return max(now, self._until.get(key, now))

    def allows(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a call may be sent to an endpoint now."""
        if not self._until:
            return True
        until = self._until.get(endpoint.announcement.process_key)
        if until is None:
            return True
        return now >= until and not endpoint.in_flight
