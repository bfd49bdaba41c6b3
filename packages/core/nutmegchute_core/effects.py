"""List what a replica asks its driver to do."""

from .messages import HardState
from .messages import LogEntry
from .messages import Message
from .messages import Snapshot


class Effects:
    """List what the driver must do, in this order.

    First make ``hard_state``, ``snapshot`` and ``entries`` durable
    (``entries`` replace all that the log held from the first one's index
    on; an installed ``snapshot`` replaces the whole log), then send
    ``messages``, then restore ``snapshot`` and apply ``committed``.
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
