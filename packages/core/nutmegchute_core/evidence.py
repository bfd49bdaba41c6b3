"""Say why an attempt of a call is known not to have run."""

# No byte of the attempt was written to a connection.
UNSENT = "unsent"
# The endpoint's answer to this attempt says so.
REJECTED = "rejected"
# The answer of the entry to which the call was passed says so.
RELAYED = "relayed"


class Evidence:
    """Show that one attempt of a call did not run and never will.

    ``kind`` is one of the constants above.
    """

    __slots__ = ("attempt", "call_id", "kind")

    def __init__(self, kind: str, call_id: int, attempt: int) -> None:
        self.kind = kind
        self.call_id = call_id
        self.attempt = attempt

    def names(self, call_id: int, attempt: int) -> bool:
        """Return whether this is the evidence of one attempt."""
        return (self.call_id, self.attempt) == (call_id, attempt)
