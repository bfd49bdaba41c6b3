"""Notice that this process stood still, and wait for what it missed."""

# Longer than any turn of the loop or a busy vm's delay.
PAUSE_S = 1.0
# How long calls are held for a replica's answer, which takes a way there
# and back; a replica that is gone must not hold them longer.
HOLD_S = 0.6


class PauseDetector:
    """Hold calls after a pause until a replica in contact was heard.

    A vm that was frozen wakes with its callers' requests before it and
    with routes and endpoints as they were. An endpoint whose leaving was
    acknowledged meanwhile, since this entry was out of touch, would get
    calls again.
    """

    __slots__ = ("_awaiting", "_seen_at", "_until")

    def __init__(self, now: float) -> None:
        self._seen_at = now
        self._awaiting = False
        self._until = now

    def observe(self, now: float) -> float | None:
        """Tell how long this process stood still, if it did."""
        stood_s = now - self._seen_at
        self._seen_at = now
        if stood_s <= PAUSE_S:
            return None
        self._awaiting = True
        self._until = now + HOLD_S
        return stood_s

    def confirm_contact(self) -> None:
        """Take word that a replica in contact has answered."""
        self._awaiting = False

    def is_holding(self, now: float) -> bool:
        """Tell whether calls are to be held."""
        return self._awaiting and now < self._until
