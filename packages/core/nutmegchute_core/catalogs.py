"""Merge the endpoints that the control replicas report to an entry."""

from collections import OrderedDict

import msgspec

from .histories import Delta
from .histories import MAX_TOMBSTONES
from .histories import TOMBSTONE_TTL_S
from .members import Announcement
from .members import DRAINING
from .members import Key
from .members import Process

# How long the endpoints of a restarted replica are kept. The replica has none
# until they have announced themselves again, to it or to another replica; its
# restart would otherwise remove a third of them for a second or two.
ORPHAN_TTL_S = 6.0
# How long the endpoints of an unreachable replica are kept while others are
# reachable; they announce themselves to those in the meantime. If no replica
# is reachable all are kept, since calls must continue without control.
SOURCE_TTL_S = 10.0


class Source:
    """Hold the endpoints that one control replica reported."""

    __slots__ = ("epoch", "generation", "last_contact_at", "processes")

    def __init__(self) -> None:
        self.epoch = 0
        self.generation = 0
        self.last_contact_at = 0.0
        self.processes: dict[Process, Announcement] = {}


class Catalog:
    """Merge the endpoints that any control replica reports.

    An instance that restarts under its name is a new process. Reports of the
    old process are then ignored, from every replica.
    """

    __slots__ = (
        "_draining",
        "_ended",
        "_latest_incarnations",
        "_next_sequence",
        "_orphans",
        "_sequence",
        "_sources",
        "_version",
    )

    def __init__(self) -> None:
        self._sources: dict[str, Source] = {}
        self._orphans: dict[Process, tuple[Announcement, float]] = {}
        # The end and the draining of a process are final: late reports, and
        # those of a replica that has not received either, change nothing.
        self._ended: OrderedDict[Process, float] = OrderedDict()
        self._draining: OrderedDict[Process, float] = OrderedDict()
        self._sequence: dict[Process, int] = {}
        # The latest known incarnation by instance.
        self._latest_incarnations: dict[str, int] = {}
        self._next_sequence = 1
        self._version = 0

    @property
    def version(self) -> int:
        """Return a number that grows with each change."""
        return self._version

    @property
    def has_synced(self) -> bool:
        """Return whether any replica has reported its endpoints."""
        return any(one.generation for one in self._sources.values())

    def watermark(self, replica: str) -> tuple[int, int]:
        """Return the epoch and generation applied from a replica."""
        source = self._sources.get(replica)
        if source is None:
            return 0, 0
        return source.epoch, source.generation

    @property
    def watermarks(self) -> dict[str, tuple[int, int]]:
        """Return the watermark of each replica."""
        return {replica: self.watermark(replica) for replica in self._sources}

    def refresh(self, unreachable: list[str], now: float) -> bool:
        """Record contact with all replicas but the unreachable ones.

        Return whether an endpoint changed.
        """
        for replica, source in self._sources.items():
            if replica not in unreachable:
                source.last_contact_at = now
        return self.expire(now)

    def apply(self, replica: str, delta: Delta, now: float) -> bool:
        """Apply a replica's delta; return whether an endpoint changed."""
        source = self._sources.setdefault(replica, Source())
        source.last_contact_at = now
        if delta.base and (delta.epoch, delta.base) != self.watermark(replica):
            # The delta has another base; the next request returns everything.
            source.generation = 0
            return False
        before = self._version
        if delta.base == 0:
            self._replace_all(source, delta, now)
        for announcement in delta.present:
            self._add(source, announcement, now)
        for process in delta.lapsed:
            if source.processes.pop(process, None) is not None:
                self._version += 1
        for process in delta.ended:
            self.end(process, now)
        source.epoch = delta.epoch
        source.generation = delta.generation
        return self._version != before

    def end(self, process: Process, now: float) -> bool:
        """Record the end of a process; return whether it is new."""
        if process in self._ended:
            return False
        # This also ends all earlier processes of the instance.
        self._record_incarnation(process)
        _remember(self._ended, process, now)
        self._version += 1
        return True

    def remove_instance(self, instance: str, address: str, now: float) -> bool:
        """End an instance's process at an address.

        A process of the instance at another address is kept: it may have
        restarted there.
        """
        changed = False
        for announcement in self._announcements():
            if announcement.instance != instance:
                continue
            if announcement.endpoint == address:
                changed |= self.end(announcement.process, now)
        return changed

    def expire(self, now: float) -> bool:
        """Drop endpoints that no replica reports any more."""
        before = self._version
        for process, (_, until) in list(self._orphans.items()):
            if now > until:
                del self._orphans[process]
                self._version += 1
        last_contact = max(
            (one.last_contact_at for one in self._sources.values()), default=0
        )
        for replica, source in list(self._sources.items()):
            if last_contact - source.last_contact_at <= SOURCE_TTL_S:
                continue
            if now - last_contact > SOURCE_TTL_S / 2:
                continue
            del self._sources[replica]
            self._version += bool(source.processes)
        self._prune()
        return self._version != before

    def live(self) -> list[Announcement]:
        """Return the endpoints, with the newest process of each address."""
        found: dict[Key, Announcement] = {}
        for announcement in self._announcements():
            process = announcement.process
            if process in self._ended or self._is_superseded(process):
                continue
            if process in self._draining:
                announcement = msgspec.structs.replace(
                    announcement, state=DRAINING
                )
            other = found.get(announcement.key)
            if other is None or self._rank(other) < self._rank(announcement):
                found[announcement.key] = announcement
        return [found[key] for key in sorted(found)]

    def _record_incarnation(self, process: Process) -> None:
        instance, incarnation = process
        latest = self._latest_incarnations.get(instance, 0)
        self._latest_incarnations[instance] = max(latest, incarnation)

    def _is_superseded(self, process: Process) -> bool:
        instance, incarnation = process
        return incarnation < self._latest_incarnations.get(instance, 0)

    def _rank(self, announcement: Announcement) -> tuple[bool, int]:
        # An active process ranks above a draining one; of two active ones,
        # the one first reported later is newer.
        order = self._sequence[announcement.process]
        return announcement.state != DRAINING, order

    def _announcements(self) -> list[Announcement]:
        found = [announcement for announcement, _ in self._orphans.values()]
        for source in self._sources.values():
            found.extend(source.processes.values())
        return found

    def _replace_all(self, source: Source, delta: Delta, now: float) -> None:
        present = {one.process for one in delta.present}
        for process, announcement in source.processes.items():
            if process in present:
                continue
            self._version += 1
            if delta.epoch != source.epoch:
                self._orphans[process] = (announcement, now + ORPHAN_TTL_S)
        source.processes = {
            process: announcement
            for process, announcement in source.processes.items()
            if process in present
        }

    def _add(
        self, source: Source, announcement: Announcement, now: float
    ) -> None:
        process = announcement.process
        self._record_incarnation(process)
        if announcement.state == DRAINING:
            _remember(self._draining, process, now)
        if process not in self._sequence:
            self._sequence[process] = self._next_sequence
            self._next_sequence += 1
        self._orphans.pop(process, None)
        if source.processes.get(process) != announcement:
            self._version += 1
        source.processes[process] = announcement

    def _prune(self) -> None:
        if len(self._sequence) <= MAX_TOMBSTONES:
            return
        announced_processes = {one.process for one in self._announcements()}
        self._sequence = {
            process: order
            for process, order in self._sequence.items()
            if process in announced_processes
        }
        names = {instance for instance, _ in announced_processes}
        self._latest_incarnations = {
            instance: incarnation
            for instance, incarnation in self._latest_incarnations.items()
            if instance in names
        }


def _remember(
    kept: OrderedDict[Process, float], process: Process, now: float
) -> None:
    kept.setdefault(process, now)
    while kept:
        oldest, at = next(iter(kept.items()))
        if now - at <= TOMBSTONE_TTL_S and len(kept) <= MAX_TOMBSTONES:
            return
        del kept[oldest]
