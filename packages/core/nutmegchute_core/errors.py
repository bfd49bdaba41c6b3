"""Errors of the decision layer."""


class CoreError(Exception):
    """Stand at the root of every error the core raises."""


class DeclarationError(CoreError):
    """Say which place of a declaration is wrong and what is allowed."""

    __slots__ = ("_path", "_reason")

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self._path = path
        self._reason = reason

    @property
    def path(self) -> str:
        """Name the place, as a path from the root of the document."""
        return self._path

    @property
    def reason(self) -> str:
        """Tell what is allowed there."""
        return self._reason


class ChartError(CoreError):
    """Report an event that the present state of a chart does not take."""


class NotLeaderError(CoreError):
    """Refuse a proposal at a replica that does not lead."""

    __slots__ = ("_leader",)

    def __init__(self, leader: str | None) -> None:
        super().__init__(f"not the leader; leader: {leader or 'unknown'}")
        self._leader = leader

    @property
    def leader(self) -> str | None:
        """Name the leader this replica last heard of, if any."""
        return self._leader


class EvacuationError(CoreError):
    """Refuse an order about an availability zone and say why."""


class ReconfigurationError(CoreError):
    """Refuse a change of the control replicas and say why."""
