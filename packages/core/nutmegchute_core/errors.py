"""Errors of the core."""


class CoreError(Exception):
    """Base class of all errors that the core raises."""


class DeclarationError(CoreError):
    """Report an invalid value in a declaration."""

    __slots__ = ("_path", "_reason")

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self._path = path
        self._reason = reason

    @property
    def path(self) -> str:
        """Return the path from the document's root to the invalid value."""
        return self._path

    @property
    def reason(self) -> str:
        """Return what is wrong with the value, or what is allowed."""
        return self._reason


class ChartError(CoreError):
    """Report an event without a transition in the current state."""


class NotLeaderError(CoreError):
    """Reject a proposal at a replica that is not the leader."""

    __slots__ = ("_leader",)

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; leader: {leader or 'unknown'}")
        self._leader = leader

    @property
    def leader(self) -> str | None:
        """Return the identity of the leader, if known."""
        return self._leader


class EvacuationError(CoreError):
    """Reject an evacuation order, with the reason."""


class ReconfigurationError(CoreError):
    """Reject a change of the control replicas, with the reason."""
