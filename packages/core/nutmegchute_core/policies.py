"""Say which mechanisms of the policy are on."""


class Policy:
    """Hold a switch per mechanism; all on, but for measurements.

    Each switch exists so that the benchmark can show what its mechanism
    is worth; a mechanism whose row shows nothing does not stay.
    """

    __slots__ = (
        "admission",
        "ejection",
        "hedging",
        "inquiries",
        "latency",
        "limit",
        "probing",
        "reports",
        "suspicion",
        "warm_up",
        "zones",
    )

    def __init__(self, *off: str) -> None:
        for name in self.__slots__:
            setattr(self, name, name not in off)
        unknown = set(off) - set(self.__slots__)
        if unknown:
            raise ValueError(f"no such mechanism: {sorted(unknown)}")

    admission: bool
    ejection: bool
    hedging: bool
    inquiries: bool
    latency: bool
    limit: bool
    probing: bool
    reports: bool
    suspicion: bool
    warm_up: bool
    zones: bool
