"""Replicate which availability zones operators have evacuated.

Nothing is sent to the endpoints of an evacuated availability zone. Orders
are commands of the replicated log; entries always get the whole list, as
there are only a few availability zones.
"""

import re

import msgspec

from .errors import EvacuationError
from .members import NAME_PATTERN

MAX_NAME_LENGTH = 63


class EvacuationOrder(msgspec.Struct, frozen=True, tag=True):
    """Evacuate an availability zone, or end its evacuation."""

    availability_zone: str
    evacuate: bool
    operator: str
    at_unix_s: float

    def describe(self) -> str:
        """Return the order's description for the audit trail."""
        verb = "evacuated" if self.evacuate else "taken back"
        return f"availability zone {self.availability_zone} {verb}"


class EvacuationOutcome(msgspec.Struct, frozen=True):
    """Report whether an order changed anything.

    An order that is resent is accepted, but changes nothing.
    """

    changed: bool


class Evacuation(msgspec.Struct, frozen=True):
    """Hold an evacuated zone, the operator and the time of the order."""

    availability_zone: str
    operator: str
    at_unix_s: float


class EvacuationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Hold all evacuated availability zones as of a log index."""

    index: int
    availability_zones: list[str]


class EvacuationState(msgspec.Struct, frozen=True):
    """Hold all evacuations as they are stored in snapshots."""

    index: int = 0
    evacuations: list[Evacuation] = []


class Evacuations:
    """Apply orders in log order, so that all replicas hold the same list."""

    __slots__ = ("_by_zone", "_index")

    def __init__(self) -> None:
        self._by_zone: dict[str, Evacuation] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Return the log index of the last change of the list."""
        return self._index

    @property
    def evacuations(self) -> list[Evacuation]:
        """Return the evacuations in force, the earliest order first."""
        return list(self._by_zone.values())

    @property
    def zones(self) -> list[str]:
        """Return the names of the evacuated availability zones."""
        return list(self._by_zone)

    def apply(self, index: int, order: EvacuationOrder) -> EvacuationOutcome:
        """Apply a committed order."""
        zone = order.availability_zone
        if order.evacuate == (zone in self._by_zone):
            return EvacuationOutcome(False)
        self._index = index
        if order.evacuate:
            self._by_zone[zone] = Evacuation(
                zone, order.operator, order.at_unix_s
            )
        else:
            del self._by_zone[zone]
        return EvacuationOutcome(True)

    def since(self, index: int) -> EvacuationUpdate | None:
        """Return the evacuated zones, None if unchanged after an index."""
        if self._index <= index:
            return None
        return EvacuationUpdate(self._index, self.zones)

    def snapshot(self) -> EvacuationState:
        """Return the evacuations as they are stored in snapshots."""
        return EvacuationState(self._index, self.evacuations)

    def restore(self, state: EvacuationState) -> None:
        """Replace the evacuations by a snapshot's."""
        self._index = state.index
        self._by_zone = {
            one.availability_zone: one for one in state.evacuations
        }


def check_zone(name: str) -> None:
    """Check the name of an availability zone.

    A zone without endpoints is valid, as endpoints may start there later.

    :raises EvacuationError: the name is invalid
    """
    if len(name) > MAX_NAME_LENGTH or not re.fullmatch(NAME_PATTERN, name):
        raise EvacuationError(
            f"{name!r} is not the name of an availability zone: small "
            f"letters, digits and dashes, at most {MAX_NAME_LENGTH}"
        )
