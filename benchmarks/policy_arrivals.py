"""Describe calls as they come, before anything is decided."""


class Arrival:
    """Describe one call, the same for every policy compared."""

    __slots__ = ("at", "deadline_s", "entry", "method", "noises", "work_s")

    def __init__(
        self,
        at: float,
        entry: int,
        method: str,
        work_s: float,
        deadline_s: float,
        noises: tuple[float, float, float],
    ) -> None:
        self.at = at
        self.entry = entry
        self.method = method
        self.work_s = work_s
        self.deadline_s = deadline_s
        self.noises = noises
