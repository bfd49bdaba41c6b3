"""Notice that this process stood still, and wait for what it missed."""

# Longer than any turn of the loop or a busy vm's delay.
PAUSE_S = 1.0
# How long calls are held for the replicas' answers, which take a way there
# and back; a replica that is gone must not hold them longer.
QUIET_S = 0.6


class Pause:
    """Hold calls after a pause until every replica was heard again.

    A vm that was frozen wakes with its callers' requests before it and
    with routes and endpoints as they were. An endpoint whose leaving was
    acknowledged meanwhile, since this entry was out of touch, would get
    calls again.
    """

    __slots__ = ("_awaited", "_seen_at", "_until")

    def __init__(self, now: float) -> None:
        self._seen_at = now
        self._awaited: set[str] = set()
        self._until = now

    def look(self, now: float, replicas: list[str]) -> float | None:
        """Tell how long this process stood still, if it did."""
        stood_s = now - self._seen_at
        self._seen_at = now
        if stood_s <= PAUSE_S:
            return None
        self._awaited = set(replicas)
        self._until = now + QUIET_S
        return stood_s

    def hear(self, replica: str) -> None:
        """Take word that a replica has answered."""
        self._awaited.discard(replica)

    def quiet(self, now: float) -> bool:
        """Tell whether calls are to be held."""
        return bool(self._awaited) and now < self._until
