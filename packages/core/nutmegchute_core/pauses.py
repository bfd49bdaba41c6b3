"""Detect that this process was paused, and hold calls after it."""

# Longer than any turn of the event loop and any delay on a busy vm.
PAUSE_S = 1.0
# Covers one round trip to a replica. An unreachable replica must not hold
# calls longer.
HOLD_S = 0.6


class PauseDetector:
    """Hold calls after a pause until a replica in contact has answered.

    A vm that was frozen resumes with callers' requests waiting and with
    outdated routes and endpoints. An endpoint whose drain was acknowledged
    during the pause, while this entry was out of contact, would get calls
    again.
    """

    __slots__ = ("_awaiting", "_seen_at", "_until")

    def __init__(self, now: float) -> None:
        self._seen_at = now
        self._awaiting = False
        self._until = now

    def observe(self, now: float) -> float | None:
        """Return how long this process was paused, in seconds, if it was."""
        paused_s = now - self._seen_at
        self._seen_at = now
        if paused_s <= PAUSE_S:
            return None
        self._awaiting = True
        self._until = now + HOLD_S
        return paused_s

    def confirm_contact(self) -> None:
        """Record that a replica in contact has answered."""
        self._awaiting = False

    def is_holding(self, now: float) -> bool:
        """Return whether calls are to be held."""
        return self._awaiting and now < self._until
