"""Keep which endpoints said in answers that they leave."""

from .endpoints import Endpoint
from .members import ProcessKey
from .notices import Notice

MAX_DEPARTURES = 4096


class Departures:
    """Hold the processes that leave.

    A process that leaves never comes back: a later process at its address has
    another incarnation. So it stays here also while announcements say
    otherwise, as those that are delayed or come from a replica in a minority.
    """

    __slots__ = ("_changes", "_processes")

    def __init__(self) -> None:
        # Ordered by the time of the first word, the oldest first.
        self._processes: dict[ProcessKey, None] = {}
        self._changes: list[Notice] = []

    def pop_changes(self) -> list[Notice]:
        """Return and clear the first notice of each process, for the log."""
        changes, self._changes = self._changes, []
        return changes

    def record(self, notice: Notice) -> bool:
        """Record an answer; return whether its process leaves only now."""
        if not notice.is_leaving or notice.process in self._processes:
            return False
        if len(self._processes) >= MAX_DEPARTURES:
            del self._processes[next(iter(self._processes))]
        self._processes[notice.process] = None
        self._changes.append(notice)
        return True

    def includes(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint's process leaves."""
        if not self._processes:
            return False
        return endpoint.announcement.process_key in self._processes
