"""Keep, on a control replica, the endpoints that announce there.

Nothing of this is durable: an endpoint announces itself anew within a
second or two. Entries ask what changed since the generation they hold.
"""

from collections import OrderedDict

import msgspec

from .members import Announcement
from .members import DRAINING
from .members import Process

# An endpoint announces every 1.5 s and a word may be a second or two late;
# one that is silent for longer has crashed. Entries notice a crash by its
# failures long before, so this need not be short.
ENDPOINT_LEASE_S = 4.0
# How long the end of an instance is remembered, so that a word of it that
# was under way meanwhile does not bring it back. A partition holds words
# back for as long as it lasts and TCP goes on trying for a minute.
ENDED_KEPT_S = 120.0
MOST_ENDED = 8192
MOST_INSTANCES = 4096

# How long endpoints hold that were known before this replica started. Each
# announces itself within that time, and an entry that started as well is not
# relied on yet, so that one which left meanwhile gets no calls for long.
RECALLED_S = 2.0

TAKEN = "taken"
CHANGED = "changed"
STALE = "stale"
FULL = "full"
# A later start of the instance is known.
OUTDATED = "outdated"
# A process does not change its service or address: another one says so.
FOREIGN = "foreign"


class Delta(msgspec.Struct, frozen=True):
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


class Record:
    """Hold a process's newest word and when it came."""

    __slots__ = ("announcement", "cold_until", "heard_at", "sequence")

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.sequence = -1
        self.heard_at = 0.0
        self.cold_until = 0.0


class Removal:
    """Hold when and in which generation a process went."""

    __slots__ = ("at", "ended", "generation")

    def __init__(self, at: float, generation: int, ended: bool) -> None:
        self.at = at
        self.generation = generation
        self.ended = ended


class Registry:
    """Take endpoints' words; tell what changed since a generation.

    An instance may start again under its name. Each start is a process of
    its own: nothing that was heard of an earlier one holds for it.
    ``epoch`` must differ at every start of the replica.
    """

    __slots__ = (
        "_changes",
        "_epoch",
        "_forgotten",
        "_generation",
        "_latest",
        "_records",
        "_removals",
    )

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._generation = 1
        self._forgotten = 1
        self._records: dict[Process, Record] = {}
        self._changes: dict[Process, int] = {}
        self._removals: OrderedDict[Process, Removal] = OrderedDict()
        # The latest incarnation heard of by instance, kept as long as a
        # record or the removal of that process.
        self._latest: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """Give the number of this replica's run."""
        return self._epoch

    @property
    def generation(self) -> int:
        """Count the changes, from 1."""
        return self._generation

    def __len__(self) -> int:
        """Count the instances."""
        return len(self._records)

    def present(self, now: float) -> list[Announcement]:
        """List the processes that announce here."""
        return [_cold(record, now) for record in self._records.values()]

    def latest(self, instance: str) -> Process:
        """Give the latest process of an instance that was heard of."""
        return instance, self._latest.get(instance, 0)

    def knows(self, process: Process) -> bool:
        """Tell whether a process announces here."""
        return process in self._records

    def outdated(self, process: Process) -> bool:
        """Tell whether a later start of the instance is known."""
        instance, incarnation = process
        return incarnation < self._latest.get(instance, 0)

    def take(
        self, announcement: Announcement, sequence: int, now: float
    ) -> str:
        """Take a process's word.

        Return TAKEN or CHANGED, else why not: STALE, OUTDATED, FOREIGN or
        FULL.
        """
        process = announcement.process
        if self.outdated(process):
            return OUTDATED
        removal = self._removals.get(process)
        if removal is not None and removal.ended:
            return STALE
        before = self._generation
        record = self._records.get(process)
        if record is None:
            if len(self._records) >= MOST_INSTANCES:
                return FULL
            self._supersede(process, now)
            record = self._records[process] = Record(announcement)
            self._removals.pop(process, None)
            self._change(process)
        elif record.announcement.key != announcement.key:
            return FOREIGN
        elif sequence <= record.sequence:
            return STALE
        elif _differ(record.announcement, announcement):
            if record.announcement.state == DRAINING:
                # Draining is final: a later word cannot take it back.
                announcement = msgspec.structs.replace(
                    announcement, state=DRAINING
                )
            self._change(process)
        record.announcement = announcement
        record.sequence = sequence
        record.heard_at = now
        record.cold_until = now + announcement.cold_s
        return TAKEN if self._generation == before else CHANGED

    def recall(self, announcement: Announcement, now: float) -> None:
        """Take an endpoint that was known before this replica started."""
        if len(self._records) >= MOST_INSTANCES:
            return
        process = announcement.process
        self._supersede(process, now)
        record = self._records[process] = Record(announcement)
        record.heard_at = now + RECALLED_S - ENDPOINT_LEASE_S
        record.cold_until = now + announcement.cold_s
        self._change(process)

    def end(self, process: Process, now: float) -> bool:
        """Take a process's farewell; return whether it is news."""
        if self.outdated(process):
            return False
        removal = self._removals.get(process)
        if removal is not None and removal.ended:
            return False
        self._supersede(process, now)
        self._remove(process, now, True)
        return True

    def expire(self, now: float) -> bool:
        """Drop silent processes; return whether there were any."""
        silent = []
        for process, record in self._records.items():
            if now - record.heard_at > ENDPOINT_LEASE_S:
                silent.append(process)
        for process in silent:
            # The end of one that was leaving is no surprise, and a late
            # word must not bring it back.
            record = self._records[process]
            ended = record.announcement.state == DRAINING
            self._remove(process, now, ended)
        while self._removals:
            process, removal = next(iter(self._removals.items()))
            young = now - removal.at <= ENDED_KEPT_S
            if young and len(self._removals) <= MOST_ENDED:
                break
            del self._removals[process]
            if self.latest(process[0]) == process:
                self._latest.pop(process[0], None)
            self._forgotten = removal.generation
        return bool(silent)

    def since(self, epoch: int, generation: int, now: float) -> Delta:
        """Tell what changed since a generation of an epoch."""
        base = generation
        if epoch != self._epoch or generation < self._forgotten:
            base = 0
        present = []
        for process, record in self._records.items():
            if self._changes[process] > base:
                present.append(_cold(record, now))
        ended: list[Process] = []
        lapsed: list[Process] = []
        for process, removal in self._removals.items():
            if removal.generation <= base:
                continue
            (ended if removal.ended else lapsed).append(process)
        return Delta(
            epoch=self._epoch,
            base=base,
            generation=self._generation,
            present=present,
            ended=ended,
            lapsed=lapsed,
        )

    def _supersede(self, process: Process, now: float) -> None:
        """End the process that the instance was before, if any."""
        instance, incarnation = process
        earlier = self.latest(instance)
        if earlier != process and earlier in self._records:
            self._remove(earlier, now, True)
        self._latest[instance] = incarnation

    def _change(self, process: Process) -> None:
        self._generation += 1
        self._changes[process] = self._generation

    def _remove(self, process: Process, now: float, ended: bool) -> None:
        self._generation += 1
        self._records.pop(process, None)
        self._changes.pop(process, None)
        self._removals.pop(process, None)
        self._removals[process] = Removal(now, self._generation, ended)


def _differ(before: Announcement, after: Announcement) -> bool:
    return before != msgspec.structs.replace(after, cold_s=before.cold_s)


def _cold(record: Record, now: float) -> Announcement:
    left_s = max(0.0, record.cold_until - now)
    return msgspec.structs.replace(record.announcement, cold_s=left_s)
