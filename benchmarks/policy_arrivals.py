"""Define the arrivals that drive a simulation."""


class Arrival:
    """Describe one call, the same for every strategy compared.

    ``noise_factors`` multiply ``work_s`` in the first, second and any
    further attempt.
    """

    __slots__ = (
        "at",
        "deadline_s",
        "entry",
        "method",
        "noise_factors",
        "work_s",
    )

    def __init__(
        self,
        at: float,
        entry: int,
        method: str,
        work_s: float,
        deadline_s: float,
        noise_factors: tuple[float, float, float],
    ) -> None:
        self.at = at
        self.entry = entry
        self.method = method
        self.work_s = work_s
        self.deadline_s = deadline_s
        self.noise_factors = noise_factors
