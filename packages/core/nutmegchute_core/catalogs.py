"""Merge, on an entry, what the control replicas tell of endpoints."""

from collections import OrderedDict

import msgspec

from .histories import Delta
from .histories import MAX_TOMBSTONES
from .histories import TOMBSTONE_TTL_S
from .members import Announcement
from .members import DRAINING
from .members import Key
from .members import Process

# A replica that restarts knows no endpoint until each has announced itself
# again, to it or to another. What it told before holds for so long, or its
# restart would take a third of the endpoints away for a second or two.
ORPHAN_TTL_S = 6.0
# What a silent replica told holds for so long while others are heard: its
# endpoints announce themselves to those meanwhile. Where none is heard,
# all holds on, since losing control must not end the service.
SOURCE_TTL_S = 10.0


class Source:
    """Hold what one control replica told."""

    __slots__ = ("epoch", "generation", "heard_at", "processes")

    def __init__(self) -> None:
        self.epoch = 0
        self.generation = 0
        self.heard_at = 0.0
        self.processes: dict[Process, Announcement] = {}


class Catalog:
    """Know the endpoints that any control replica vouches for.

    An instance that starts again under its name is another process. What
    any replica still tells of the earlier one names no endpoint.
    """

    __slots__ = (
        "_draining",
        "_ended",
        "_latest",
        "_next",
        "_order",
        "_orphans",
        "_sources",
        "_version",
    )

    def __init__(self) -> None:
        self._sources: dict[str, Source] = {}
        self._orphans: dict[Process, tuple[Announcement, float]] = {}
        # The end of a process, and its leaving, are final: words of it
        # that another replica still has, or hears late, change nothing.
        self._ended: OrderedDict[Process, float] = OrderedDict()
        self._draining: OrderedDict[Process, float] = OrderedDict()
        self._order: dict[Process, int] = {}
        # The latest incarnation heard of by instance.
        self._latest: dict[str, int] = {}
        self._next = 1
        self._version = 0

    @property
    def version(self) -> int:
        """Count the changes of what is known."""
        return self._version

    @property
    def has_synced(self) -> bool:
        """Return whether any replica has told its endpoints."""
        return any(one.generation for one in self._sources.values())

    def watermark(self, replica: str) -> tuple[int, int]:
        """Return the epoch and generation held of a replica."""
        source = self._sources.get(replica)
        if source is None:
            return 0, 0
        return source.epoch, source.generation

    @property
    def watermarks(self) -> dict[str, tuple[int, int]]:
        """Map the replicas to the epoch and generation held of each."""
        return {replica: self.watermark(replica) for replica in self._sources}

    def refresh(self, silent: list[str], now: float) -> bool:
        """Take word that all replicas but the silent ones are heard.

        Return whether something changed.
        """
        for replica, source in self._sources.items():
            if replica not in silent:
                source.heard_at = now
        return self.expire(now)

    def apply(self, replica: str, delta: Delta, now: float) -> bool:
        """Take a replica's word; return whether something changed."""
        source = self._sources.setdefault(replica, Source())
        source.heard_at = now
        if delta.base and (delta.epoch, delta.base) != self.watermark(replica):
            # It leads on from another generation; asking again gives all.
            source.generation = 0
            return False
        before = self._version
        if delta.base == 0:
            self._start_over(source, delta, now)
        for announcement in delta.present:
            self._put(source, announcement, now)
        for process in delta.lapsed:
            if source.processes.pop(process, None) is not None:
                self._version += 1
        for process in delta.ended:
            self.end(process, now)
        source.epoch = delta.epoch
        source.generation = delta.generation
        return self._version != before

    def end(self, process: Process, now: float) -> bool:
        """Take word that a process is gone for good."""
        if process in self._ended:
            return False
        # The end of a later start is the end of the earlier ones as well.
        self._note_latest(process)
        _remember(self._ended, process, now)
        self._version += 1
        return True

    def remove_instance(self, instance: str, address: str, now: float) -> bool:
        """Take word that an instance is no longer at an address.

        One that started again elsewhere meanwhile is not meant.
        """
        left = False
        for announcement in self._vouched():
            if announcement.instance != instance:
                continue
            if announcement.endpoint == address:
                left |= self.end(announcement.process, now)
        return left

    def expire(self, now: float) -> bool:
        """Drop what nobody vouches for any more."""
        before = self._version
        for process, (_, until) in list(self._orphans.items()):
            if now > until:
                del self._orphans[process]
                self._version += 1
        newest = max(
            (one.heard_at for one in self._sources.values()), default=0
        )
        for replica, source in list(self._sources.items()):
            if newest - source.heard_at <= SOURCE_TTL_S:
                continue
            if now - newest > SOURCE_TTL_S / 2:
                continue
            del self._sources[replica]
            self._version += bool(source.processes)
        self._forget_orders()
        return self._version != before

    def live(self) -> list[Announcement]:
        """List the endpoints, the newest process of each address."""
        found: dict[Key, Announcement] = {}
        for announcement in self._vouched():
            process = announcement.process
            if process in self._ended or self._outdated(process):
                continue
            if process in self._draining:
                announcement = msgspec.structs.replace(
                    announcement, state=DRAINING
                )
            other = found.get(announcement.key)
            if other is None or self._rank(other) < self._rank(announcement):
                found[announcement.key] = announcement
        return [found[key] for key in sorted(found)]

    def _note_latest(self, process: Process) -> None:
        instance, incarnation = process
        latest = self._latest.get(instance, 0)
        self._latest[instance] = max(latest, incarnation)

    def _outdated(self, process: Process) -> bool:
        instance, incarnation = process
        return incarnation < self._latest.get(instance, 0)

    def _rank(self, announcement: Announcement) -> tuple[bool, int]:
        # One that still announces itself goes before one that leaves; of
        # two that do, the one heard of later is the newer process.
        order = self._order[announcement.process]
        return announcement.state != DRAINING, order

    def _vouched(self) -> list[Announcement]:
        found = [announcement for announcement, _ in self._orphans.values()]
        for source in self._sources.values():
            found.extend(source.processes.values())
        return found

    def _start_over(self, source: Source, delta: Delta, now: float) -> None:
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

    def _put(
        self, source: Source, announcement: Announcement, now: float
    ) -> None:
        process = announcement.process
        self._note_latest(process)
        if announcement.state == DRAINING:
            _remember(self._draining, process, now)
        if process not in self._order:
            self._order[process] = self._next
            self._next += 1
        self._orphans.pop(process, None)
        if source.processes.get(process) != announcement:
            self._version += 1
        source.processes[process] = announcement

    def _forget_orders(self) -> None:
        if len(self._order) <= MAX_TOMBSTONES:
            return
        vouched = {one.process for one in self._vouched()}
        self._order = {
            process: order
            for process, order in self._order.items()
            if process in vouched
        }
        names = {instance for instance, _ in vouched}
        self._latest = {
            instance: incarnation
            for instance, incarnation in self._latest.items()
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
