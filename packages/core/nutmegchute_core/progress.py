"""Track, on the leader, the replication progress of each member."""


class Progress:
    """Hold the replication state of one other member."""

    __slots__ = (
        "acked_index",
        "install_offset",
        "last_contact_at",
        "leaving_until",
        "next_index",
        "round",
        "searched_until",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.acked_index = 0
        self.last_contact_at = now
        self.leaving_until = now
        self.round = 0
        # Round of the last message sent before the search for the last entry
        # on which both logs agree went on.
        self.searched_until = 0
        self.install_offset: int | None = None
