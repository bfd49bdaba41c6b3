"""Track, on the leader, how far each other replica has come."""


class Progress:
    """Hold what the leader knows of one replica."""

    __slots__ = (
        "last_contact_at",
        "install_offset",
        "leaving_until",
        "match",
        "next",
        "round",
    )

    def __init__(self, following: int, now: float) -> None:
        self.next = following
        self.match = 0
        self.last_contact_at = now
        self.leaving_until = now
        self.round = 0
        self.install_offset: int | None = None
