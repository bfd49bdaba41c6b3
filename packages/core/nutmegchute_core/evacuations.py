"""Keep which availability zones operators have evacuated.

Nothing is sent to the endpoints of an evacuated availability zone. The
orders are part of the replicated log; entries are told the whole list, for
there are only a few availability zones.
"""

import re

import msgspec

from .errors import EvacuationError
from .members import NAME_PATTERN

MOST_NAME = 63


class EvacuationOrder(msgspec.Struct, frozen=True, tag=True):
    """Hold an operator's order to evacuate a zone, or to take it back."""

    availability_zone: str
    evacuate: bool
    operator: str
    at_unix_s: float

    def describe(self) -> str:
        """Say what the order does."""
        verb = "evacuated" if self.evacuate else "taken back"
        return f"availability zone {self.availability_zone} {verb}"


class EvacuationOutcome(msgspec.Struct, frozen=True):
    """Tell whether an order changed anything.

    An order that is sent again changes nothing and is accepted all the same.
    """

    changed: bool


class Evacuation(msgspec.Struct, frozen=True):
    """Hold who evacuated an availability zone, and when."""

    availability_zone: str
    operator: str
    at_unix_s: float


class EvacuationUpdate(msgspec.Struct, frozen=True, array_like=True):
    """List all evacuated availability zones as of a log index."""

    index: int
    availability_zones: list[str]


class EvacuationState(msgspec.Struct, frozen=True):
    """Hold all evacuations in the form that snapshots keep."""

    index: int = 0
    evacuations: list[Evacuation] = []


class Evacuations:
    """Apply orders in log order; every replica reaches the same list."""

    __slots__ = ("_by_zone", "_index")

    def __init__(self) -> None:
        self._by_zone: dict[str, Evacuation] = {}
        self._index = 0

    @property
    def index(self) -> int:
        """Give the log index of the last change that entries must hear."""
        return self._index

    @property
    def evacuations(self) -> list[Evacuation]:
        """List what is evacuated, in the order of the orders."""
        return list(self._by_zone.values())

    @property
    def zones(self) -> list[str]:
        """Name the availability zones that are evacuated."""
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
        """List what is evacuated, if that changed since a log index."""
        if self._index <= index:
            return None
        return EvacuationUpdate(self._index, self.zones)

    def snapshot(self) -> EvacuationState:
        """Give the list in the form that snapshots keep."""
        return EvacuationState(self._index, self.evacuations)

    def restore(self, state: EvacuationState) -> None:
        """Take a snapshot's list in place of the present one."""
        self._index = state.index
        self._by_zone = {
            one.availability_zone: one for one in state.evacuations
        }


def check_zone(name: str) -> None:
    """Check the name of an availability zone.

    One that no endpoint has named yet is taken: endpoints may come there.

    :raises EvacuationError: no availability zone can have this name
    """
    if len(name) > MOST_NAME or not re.fullmatch(NAME_PATTERN, name):
        raise EvacuationError(
            f"{name!r} is not the name of an availability zone: small "
            f"letters, digits and dashes, at most {MOST_NAME}"
        )
