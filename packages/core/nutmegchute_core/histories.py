"""Remember in which generation of a set each of its processes changed."""

from collections import OrderedDict

import msgspec

from .members import Announcement
from .members import Process

# How long the end of a process is remembered, so that a heartbeat of it that
# was under way meanwhile does not bring it back. A partition holds heartbeats
# back for as long as it lasts and TCP goes on trying for a minute.
TOMBSTONE_TTL_S = 120.0
MAX_TOMBSTONES = 8192


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Lead from generation ``base`` of a registry to ``generation``.

    A base of 0 means that ``present`` is all there is. ``ended`` names
    processes that will never come back, ``lapsed`` those that are silent
    here and may live on elsewhere.
    """

    epoch: int
    base: int
    generation: int
    present: list[Announcement] = []
    ended: list[Process] = []
    lapsed: list[Process] = []


class Tombstone:
    """Hold when and in which generation a process went."""

    __slots__ = ("at", "ended", "generation")

    def __init__(self, at: float, generation: int, ended: bool) -> None:
        self.at = at
        self.generation = generation
        self.ended = ended


class ProcessChanges:
    """Name what leads from generation ``base`` to the newest one.

    A base of 0 means that ``changed`` names all there is.
    """

    __slots__ = ("base", "changed", "ended", "lapsed")

    def __init__(self, base: int) -> None:
        self.base = base
        self.changed: list[Process] = []
        self.ended: list[Process] = []
        self.lapsed: list[Process] = []


class History:
    """Know the generation in which each process came, changed or went."""

    __slots__ = ("_changes", "_pruned_to", "_removals")

    def __init__(self, pruned_to: int) -> None:
        # Removals up to this generation are not known any more.
        self._pruned_to = pruned_to
        self._changes: dict[Process, int] = {}
        self._removals: OrderedDict[Process, Tombstone] = OrderedDict()

    def has_ended(self, process: Process) -> bool:
        """Tell whether a process is known to be gone for good."""
        removal = self._removals.get(process)
        return removal is not None and removal.ended

    def changed_in(self, process: Process) -> int:
        """Give the generation in which a process changed or went; else 0."""
        removal = self._removals.get(process)
        if removal is not None:
            return removal.generation
        return self._changes.get(process, 0)

    def change(self, process: Process, generation: int) -> None:
        """Note that a process came or changed."""
        self._removals.pop(process, None)
        self._changes[process] = generation

    def remove(
        self, process: Process, generation: int, now: float, ended: bool
    ) -> None:
        """Note that a process went."""
        self._changes.pop(process, None)
        self._removals.pop(process, None)
        self._removals[process] = Tombstone(now, generation, ended)

    def prune(self, now: float, most: int) -> list[Process]:
        """Drop old removals; return whose."""
        dropped = []
        while self._removals:
            process, removal = next(iter(self._removals.items()))
            young = now - removal.at <= TOMBSTONE_TTL_S
            if young and len(self._removals) <= most:
                break
            del self._removals[process]
            self._pruned_to = max(self._pruned_to, removal.generation)
            dropped.append(process)
        return dropped

    def since(self, base: int) -> ProcessChanges:
        """Name what changed since a generation."""
        lead = ProcessChanges(0 if base < self._pruned_to else base)
        for process, generation in self._changes.items():
            if generation > lead.base:
                lead.changed.append(process)
        for process, removal in self._removals.items():
            if removal.generation <= lead.base:
                continue
            (lead.ended if removal.ended else lead.lapsed).append(process)
        return lead
