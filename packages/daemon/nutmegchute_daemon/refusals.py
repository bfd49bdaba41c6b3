"""Log refused announcements at a limited rate."""

from .events import Event
from .events import log

# A faulty sender may send many announcements a second; one line per interval
# reports all that were refused.
LOG_INTERVAL_S = 10.0


class Refusals:
    """Count refused announcements and log the count once per interval."""

    __slots__ = ("_count", "_logged_at", "_reason")

    def __init__(self) -> None:
        self._count = 0
        self._reason = ""
        self._logged_at = -LOG_INTERVAL_S

    def record(self, reason: str, now: float) -> None:
        """Count one; log it at once if the interval has passed."""
        self._count += 1
        self._reason = reason
        self.report(now)

    def report(self, now: float) -> None:
        """Log the count if it is not zero and the interval has passed."""
        if not self._count or now - self._logged_at < LOG_INTERVAL_S:
            return
        log(
            Event.ANNOUNCEMENTS_REFUSED,
            "warning",
            words=self._count,
            reason=self._reason,
        )
        self._logged_at = now
        self._count = 0
