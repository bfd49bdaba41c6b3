"""Copy, on a control replica, the endpoints that announce at another."""

import msgspec

from .histories import Delta
from .histories import History
from .histories import MAX_TOMBSTONES
from .members import Announcement
from .members import Process

# What of a registry is known: its epoch and the generation.
Watermark = tuple[int, int]
NO_WATERMARK: Watermark = (0, 0)


class MirroredRecord:
    """Hold an endpoint and until when it is slow after its start."""

    __slots__ = ("announcement", "cold_until")

    def __init__(self, announcement: Announcement, now: float) -> None:
        self.announcement = announcement
        self.cold_until = now + announcement.cold_s


class Mirror:
    """Follow another replica's registry and tell of it in its own terms.

    Epoch and generations stay those of the registry, so that an entry that
    asks another replica from now on need not be told anything twice.
    """

    __slots__ = ("_epoch", "_generation", "_history", "_records")

    def __init__(self) -> None:
        self._epoch = 0
        self._generation = 0
        self._history = History(0)
        self._records: dict[Process, MirroredRecord] = {}

    @property
    def watermark(self) -> Watermark:
        """Give the epoch and generation that are held."""
        return self._epoch, self._generation

    def apply(self, delta: Delta, now: float) -> bool:
        """Take what the registry told; return whether it fits."""
        if delta.base and (delta.epoch, delta.base) != self.watermark:
            # It leads on from another generation; asking again gives all.
            self._generation = 0
            return False
        if delta.base == 0:
            self._records = {}
            self._history = History(delta.generation)
        self._epoch = delta.epoch
        self._generation = delta.generation
        for announcement in delta.present:
            process = announcement.process
            self._records[process] = MirroredRecord(announcement, now)
            self._history.change(process, delta.generation)
        for process in delta.ended:
            self._remove(process, now, True)
        for process in delta.lapsed:
            self._remove(process, now, False)
        self._history.prune(now, MAX_TOMBSTONES)
        return True

    def is_ahead_of(self, watermark: Watermark) -> bool:
        """Tell whether an entry that holds a mark lacks something.

        One that was told by another replica may be ahead.
        """
        epoch, generation = watermark
        if self._generation == 0:
            return False
        return epoch != self._epoch or generation < self._generation

    def since(self, watermark: Watermark, now: float) -> Delta:
        """Tell what changed since a mark."""
        epoch, generation = watermark
        lead = self._history.since(generation if epoch == self._epoch else 0)
        present = []
        for process in lead.changed:
            record = self._records[process]
            left_s = max(0.0, record.cold_until - now)
            present.append(
                msgspec.structs.replace(record.announcement, cold_s=left_s)
            )
        return Delta(
            epoch=self._epoch,
            base=lead.base,
            generation=self._generation,
            present=present,
            ended=lead.ended,
            lapsed=lead.lapsed,
        )

    def _remove(self, process: Process, now: float, ended: bool) -> None:
        self._records.pop(process, None)
        self._history.remove(process, self._generation, now, ended)
