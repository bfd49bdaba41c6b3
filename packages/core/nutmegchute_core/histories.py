"""Record the generation in which each process of a registry changed."""

from collections import OrderedDict

import msgspec

from .members import Announcement
from .members import Process

# How long the tombstone of a process is kept, so that a delayed heartbeat does
# not bring the process back. A partition delays heartbeats for as long as it
# lasts, and TCP retransmits for a minute.
TOMBSTONE_TTL_S = 120.0
MAX_TOMBSTONES = 8192


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """Carry the changes of a registry from ``base`` to ``generation``.

    If ``base`` is 0, ``present`` is the whole registry. ``ended`` lists
    processes that never come back, ``lapsed`` those whose lease expired
    here and that may announce to another replica.
    """

    epoch: int
    base: int
    generation: int
    present: list[Announcement] = []
    ended: list[Process] = []
    lapsed: list[Process] = []

    @property
    def size(self) -> int:
        """Return the number of processes that changed."""
        return len(self.present) + len(self.ended) + len(self.lapsed)


class Tombstone:
    """Hold the time and generation in which a process was removed."""

    __slots__ = ("at", "ended", "generation")

    def __init__(self, at: float, generation: int, ended: bool) -> None:
        self.at = at
        self.generation = generation
        self.ended = ended


class ProcessChanges:
    """List the processes that changed since generation ``base``.

    If ``base`` is 0, ``changed`` lists all processes of the set.
    """

    __slots__ = ("base", "changed", "ended", "lapsed")

    def __init__(self, base: int) -> None:
        self.base = base
        self.changed: list[Process] = []
        self.ended: list[Process] = []
        self.lapsed: list[Process] = []


class History:
    """Track in which generation processes were added, changed or removed."""

    __slots__ = ("_changes", "_pruned_to", "_tombstones")

    def __init__(self, pruned_to: int) -> None:
        # Tombstones up to this generation have been pruned.
        self._pruned_to = pruned_to
        self._changes: dict[Process, int] = {}
        self._tombstones: OrderedDict[Process, Tombstone] = OrderedDict()

    def has_ended(self, process: Process) -> bool:
        """Return whether a process has ended permanently."""
        tombstone = self._tombstones.get(process)
        return tombstone is not None and tombstone.ended

    def generation_of(self, process: Process) -> int:
        """Return the generation in which a process last changed, else 0."""
        tombstone = self._tombstones.get(process)
        if tombstone is not None:
            return tombstone.generation
        return self._changes.get(process, 0)

    def change(self, process: Process, generation: int) -> None:
        """Record that a process was added or changed."""
        self._tombstones.pop(process, None)
        self._changes[process] = generation

    def remove(
        self, process: Process, generation: int, now: float, ended: bool
    ) -> None:
        """Record the tombstone of a removed process."""
        self._changes.pop(process, None)
        self._tombstones.pop(process, None)
        self._tombstones[process] = Tombstone(now, generation, ended)

    def prune(self, now: float, limit: int) -> list[Process]:
        """Prune old tombstones; return their processes."""
        dropped = []
        while self._tombstones:
            process, tombstone = next(iter(self._tombstones.items()))
            is_recent = now - tombstone.at <= TOMBSTONE_TTL_S
            if is_recent and len(self._tombstones) <= limit:
                break
            del self._tombstones[process]
            self._pruned_to = max(self._pruned_to, tombstone.generation)
            dropped.append(process)
        return dropped

    def since(self, base: int) -> ProcessChanges:
        """Return the processes that changed since a generation."""
        changes = ProcessChanges(0 if base < self._pruned_to else base)
        for process, generation in self._changes.items():
            if generation > changes.base:
                changes.changed.append(process)
        for process, tombstone in self._tombstones.items():
            if tombstone.generation <= changes.base:
                continue
            (changes.ended if tombstone.ended else changes.lapsed).append(
                process
            )
        return changes
