"""Define which mechanisms of the load balancing policy are enabled."""


class Policy:
    """Hold one switch per mechanism; all are on except in benchmarks.

    The switches let a benchmark show the effect of each mechanism; one
    without an effect is removed.
    """

    __slots__ = (
        "admission",
        "ejection",
        "fullness",
        "hedging",
        "inquiries",
        "latency",
        "limit",
        "probing",
        "reports",
        "resets",
        "returning",
        "sending_away",
        "silence",
        "suspicion",
        "warm_up",
        "yielding",
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
    fullness: bool
    hedging: bool
    inquiries: bool
    latency: bool
    limit: bool
    probing: bool
    reports: bool
    resets: bool
    returning: bool
    sending_away: bool
    silence: bool
    suspicion: bool
    warm_up: bool
    yielding: bool
    zones: bool
