"""Track, on the leader, how far each other replica has come."""


class Progress:
    """Hold what the leader knows of one replica."""

    __slots__ = (
        "last_contact_at",
        "install_offset",
        "leaving_until",
        "acked_index",
        "next_index",
        "round",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.next_index = next_index
        self.acked_index = 0
        self.last_contact_at = now
        self.leaving_until = now
        self.round = 0
        self.install_offset: int | None = None
