"""Define the effects that a driver carries out for a replica."""

from .messages import HardState
from .messages import LogEntry
from .messages import Message
from .messages import Snapshot


class Effects:
    """Hold what to store, send and apply; storing comes first.

    Make ``hard_state``, ``snapshot`` and ``entries`` durable before sending
    ``messages`` and before restoring ``snapshot``, then apply ``committed``.
    Stored entries from the index of the first of ``entries`` on are
    replaced; a ``snapshot`` replaces the whole log.
    """

    __slots__ = ("committed", "entries", "hard_state", "messages", "snapshot")

    def __init__(
        self,
        hard_state: HardState | None,
        snapshot: Snapshot | None,
        entries: list[LogEntry],
        messages: list[Message],
        committed: list[LogEntry],
    ) -> None:
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.entries = entries
        self.messages = messages
        self.committed = committed
