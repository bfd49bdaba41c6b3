"""Log announcements that were refused, a line a while."""

from .events import Event
from .events import log

# A writer that goes wrong may send many announcements a second; one line in
# so many seconds tells of all.
REFUSALS_TOLD_S = 10.0


class Refusals:
    """Count refused announcements and log them in one line a while."""

    __slots__ = ("_count", "_reason", "_told_at")

    def __init__(self) -> None:
        self._count = 0
        self._reason = ""
        self._told_at = -REFUSALS_TOLD_S

    def record(self, reason: str, now: float) -> None:
        """Count one; the first after a while is logged at once."""
        self._count += 1
        self._reason = reason
        self.report(now)

    def report(self, now: float) -> None:
        """Log what was counted, if it is time."""
        if not self._count or now - self._told_at < REFUSALS_TOLD_S:
            return
        log(
            Event.WORDS_REFUSED,
            "warning",
            words=self._count,
            reason=self._reason,
        )
        self._told_at = now
        self._count = 0
