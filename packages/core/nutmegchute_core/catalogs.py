"""Merge, on an entry, what the control replicas tell of endpoints."""

from collections import OrderedDict

import msgspec

from .members import Announcement
from .members import DRAINING
from .members import Key
from .registries import Delta
from .registries import ENDED_KEPT_S
from .registries import MOST_ENDED

# A replica that restarts knows no endpoint until each has announced itself
# again, to it or to another. What it told before holds for so long, or its
# restart would take a third of the endpoints away for a second or two.
ORPHAN_S = 6.0
# What a silent replica told holds for so long while others are heard: its
# endpoints announce themselves to those meanwhile. Where none is heard,
# all holds on, since losing control must not end the service.
SILENT_S = 10.0


class Source:
    """Hold what one control replica told."""

    __slots__ = ("epoch", "generation", "heard_at", "instances")

    def __init__(self) -> None:
        self.epoch = 0
        self.generation = 0
        self.heard_at = 0.0
        self.instances: dict[str, Announcement] = {}


class Catalog:
    """Know the endpoints that any control replica vouches for."""

    __slots__ = (
        "_draining",
        "_ended",
        "_next",
        "_order",
        "_orphans",
        "_sources",
        "_version",
    )

    def __init__(self) -> None:
        self._sources: dict[str, Source] = {}
        self._orphans: dict[str, tuple[Announcement, float]] = {}
        # The end of an instance, and its leaving, are final: words of it
        # that another replica still has, or hears late, change nothing.
        self._ended: OrderedDict[str, float] = OrderedDict()
        self._draining: OrderedDict[str, float] = OrderedDict()
        self._order: dict[str, int] = {}
        self._next = 1
        self._version = 0

    @property
    def version(self) -> int:
        """Count the changes of what is known."""
        return self._version

    @property
    def complete(self) -> bool:
        """Tell whether any replica has told its endpoints."""
        return any(one.generation for one in self._sources.values())

    def mark(self, replica: str) -> tuple[int, int]:
        """Give the epoch and generation held of a replica."""
        source = self._sources.get(replica)
        if source is None:
            return 0, 0
        return source.epoch, source.generation

    def hear(self, replica: str, delta: Delta, now: float) -> bool:
        """Take a replica's word; return whether something changed."""
        source = self._sources.setdefault(replica, Source())
        source.heard_at = now
        if delta.base and (delta.epoch, delta.base) != self.mark(replica):
            # It leads on from another generation; asking again gives all.
            source.generation = 0
            return False
        before = self._version
        if delta.base == 0:
            self._start_over(source, delta, now)
        for announcement in delta.present:
            self._put(source, announcement, now)
        for instance in delta.lapsed:
            if source.instances.pop(instance, None) is not None:
                self._version += 1
        for instance in delta.ended:
            self.end(instance, now)
        source.epoch = delta.epoch
        source.generation = delta.generation
        return self._version != before

    def end(self, instance: str, now: float) -> bool:
        """Take word that an instance is gone for good."""
        if instance in self._ended:
            return False
        _remember(self._ended, instance, now)
        self._version += 1
        return True

    def expire(self, now: float) -> bool:
        """Drop what nobody vouches for any more."""
        before = self._version
        for instance, (_, until) in list(self._orphans.items()):
            if now > until:
                del self._orphans[instance]
                self._version += 1
        newest = max(
            (one.heard_at for one in self._sources.values()), default=0
        )
        for replica, source in list(self._sources.items()):
            if newest - source.heard_at <= SILENT_S:
                continue
            if now - newest > SILENT_S / 2:
                continue
            del self._sources[replica]
            self._version += bool(source.instances)
        self._forget_orders()
        return self._version != before

    def live(self) -> list[Announcement]:
        """List the endpoints, the newest instance of each address."""
        found: dict[Key, Announcement] = {}
        for announcement in self._vouched():
            instance = announcement.instance
            if instance in self._ended:
                continue
            if instance in self._draining:
                announcement = msgspec.structs.replace(
                    announcement, state=DRAINING
                )
            announcement = msgspec.structs.replace(
                announcement, incarnation=self._order[instance]
            )
            other = found.get(announcement.key)
            if other is None or _rank(other) < _rank(announcement):
                found[announcement.key] = announcement
        return [found[key] for key in sorted(found)]

    def _vouched(self) -> list[Announcement]:
        found = [announcement for announcement, _ in self._orphans.values()]
        for source in self._sources.values():
            found.extend(source.instances.values())
        return found

    def _start_over(self, source: Source, delta: Delta, now: float) -> None:
        present = {one.instance for one in delta.present}
        for instance, announcement in source.instances.items():
            if instance in present:
                continue
            self._version += 1
            if delta.epoch != source.epoch:
                self._orphans[instance] = (announcement, now + ORPHAN_S)
        source.instances = {
            instance: announcement
            for instance, announcement in source.instances.items()
            if instance in present
        }

    def _put(
        self, source: Source, announcement: Announcement, now: float
    ) -> None:
        instance = announcement.instance
        if announcement.state == DRAINING:
            _remember(self._draining, instance, now)
        if instance not in self._order:
            self._order[instance] = self._next
            self._next += 1
        self._orphans.pop(instance, None)
        if source.instances.get(instance) != announcement:
            self._version += 1
        source.instances[instance] = announcement

    def _forget_orders(self) -> None:
        if len(self._order) <= MOST_ENDED:
            return
        vouched = {one.instance for one in self._vouched()}
        self._order = {
            instance: order
            for instance, order in self._order.items()
            if instance in vouched
        }


def _rank(announcement: Announcement) -> tuple[bool, int]:
    # An instance that still announces itself goes before one that leaves;
    # of two that do, the one heard of later is the newer process.
    return announcement.state != DRAINING, announcement.incarnation


def _remember(
    kept: OrderedDict[str, float], instance: str, now: float
) -> None:
    kept.setdefault(instance, now)
    while kept:
        oldest, at = next(iter(kept.items()))
        if now - at <= ENDED_KEPT_S and len(kept) <= MOST_ENDED:
            return
        del kept[oldest]
