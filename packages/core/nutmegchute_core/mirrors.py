"""Mirror, on a control replica, the registry of another replica."""

import msgspec

from .histories import Delta
from .histories import History
from .histories import MAX_TOMBSTONES
from .members import Announcement
from .members import Process

# Epoch and generation up to which a registry has been received.
Watermark = tuple[int, int]
NO_WATERMARK: Watermark = (0, 0)


class MirroredRecord:
    """Hold an announcement and the end of the endpoint's cold time."""

    __slots__ = ("announcement", "cold_until")

    def __init__(self, announcement: Announcement, now: float) -> None:
        self.announcement = announcement
        self.cold_until = now + announcement.cold_s


class Mirror:
    """Hold a copy of another replica's registry and serve its deltas.

    Epoch and generations are those of the registry, so that an entry that
    switches to another replica does not receive anything twice.
    """

    __slots__ = ("_epoch", "_generation", "_history", "_records")

    def __init__(self) -> None:
        self._epoch = 0
        self._generation = 0
        self._history = History(0)
        self._records: dict[Process, MirroredRecord] = {}

    @property
    def watermark(self) -> Watermark:
        """Return the epoch and generation held of the registry."""
        return self._epoch, self._generation

    def apply(self, delta: Delta, now: float) -> bool:
        """Apply a delta; return False if it has another base."""
        if delta.base and (delta.epoch, delta.base) != self.watermark:
            # The delta has another base; the next request fetches all.
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
        """Return whether the mirror has changes beyond a watermark.

        An entry that switched replicas may be ahead of this mirror.
        """
        epoch, generation = watermark
        if self._generation == 0:
            return False
        return epoch != self._epoch or generation < self._generation

    def since(self, watermark: Watermark, now: float) -> Delta:
        """Return the delta from a watermark."""
        epoch, generation = watermark
        changes = self._history.since(
            generation if epoch == self._epoch else 0
        )
        present = []
        for process in changes.changed:
            record = self._records[process]
            left_s = max(0.0, record.cold_until - now)
            present.append(
                msgspec.structs.replace(record.announcement, cold_s=left_s)
            )
        return Delta(
            epoch=self._epoch,
            base=changes.base,
            generation=self._generation,
            present=present,
            ended=changes.ended,
            lapsed=changes.lapsed,
        )

    def _remove(self, process: Process, now: float, ended: bool) -> None:
        self._records.pop(process, None)
        self._history.remove(process, self._generation, now, ended)
