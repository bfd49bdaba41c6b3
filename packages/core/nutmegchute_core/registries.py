"""Keep, on a control replica, the endpoints that announce there.

Nothing of this is durable: an endpoint announces itself anew within a
second or two. Entries ask what changed since the generation they hold.
"""

import msgspec

from .histories import Delta
from .histories import History
from .histories import MAX_TOMBSTONES
from .members import Announcement
from .members import DRAINING
from .members import Process

# An endpoint announces every 1.5 s and a word may be a second or two late;
# one that is silent for longer has crashed. Entries notice a crash by its
# failures long before, so this need not be short.
ENDPOINT_LEASE_S = 4.0
MAX_INSTANCES = 4096

# How long endpoints hold that were known before this replica started. Each
# announces itself within that time, and an entry that started as well is not
# relied on yet, so that one which left meanwhile gets no calls for long.
RESTORED_TTL_S = 2.0

# An endpoint that is cold for so much longer than it told has become cold
# anew; a word that was late moves the end of its warm-up by less.
COLD_TOLERANCE_S = 0.5

RENEWED = "taken"
CHANGED = "changed"
STALE = "stale"
FULL = "full"
# A later start of the instance is known.
OUTDATED = "outdated"
# A process does not change its service or address: another one says so.
FOREIGN = "foreign"


class Record:
    """Hold a process's newest word and when it came."""

    __slots__ = ("announcement", "cold_until", "heard_at", "sequence")

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.sequence = -1
        self.heard_at = 0.0
        self.cold_until = 0.0

    def cold_s(self, now: float) -> float:
        """Give for how many seconds more the process is cold."""
        return max(0.0, self.cold_until - now)


class Registry:
    """Take endpoints' words; tell what changed since a generation.

    An instance may start again under its name. Each start is a process of
    its own: nothing that was heard of an earlier one holds for it.
    ``epoch`` must differ at every start of the replica.
    """

    __slots__ = (
        "_epoch",
        "_generation",
        "_history",
        "_latest",
        "_records",
    )

    def __init__(self, epoch: int) -> None:
        self._epoch = epoch
        self._generation = 1
        self._history = History(self._generation)
        self._records: dict[Process, Record] = {}
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

    def is_registered(self, process: Process) -> bool:
        """Tell whether a process announces here."""
        return process in self._records

    def changed_in(self, process: Process) -> int:
        """Give the generation in which a process changed or went last."""
        return self._history.changed_in(process)

    def is_superseded(self, process: Process) -> bool:
        """Tell whether a later start of the instance is known."""
        instance, incarnation = process
        return incarnation < self._latest.get(instance, 0)

    def register(
        self, announcement: Announcement, sequence: int, now: float
    ) -> str:
        """Take a process's word.

        Return TAKEN or CHANGED, else why not: STALE, OUTDATED, FOREIGN or
        FULL.
        """
        process = announcement.process
        if self.is_superseded(process):
            return OUTDATED
        if self._history.has_ended(process):
            return STALE
        before = self._generation
        record = self._records.get(process)
        if record is None:
            if len(self._records) >= MAX_INSTANCES:
                return FULL
            self._supersede(process, now)
            record = self._records[process] = Record(announcement)
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
        elif announcement.cold_s > record.cold_s(now) + COLD_TOLERANCE_S:
            self._change(process)
        record.announcement = announcement
        record.sequence = sequence
        record.heard_at = now
        record.cold_until = now + announcement.cold_s
        return RENEWED if self._generation == before else CHANGED

    def restore(self, announcement: Announcement, now: float) -> None:
        """Take an endpoint that was known before this replica started."""
        if len(self._records) >= MAX_INSTANCES:
            return
        process = announcement.process
        self._supersede(process, now)
        record = self._records[process] = Record(announcement)
        record.heard_at = now + RESTORED_TTL_S - ENDPOINT_LEASE_S
        record.cold_until = now + announcement.cold_s
        self._change(process)

    def end(self, process: Process, now: float) -> bool:
        """Take a process's farewell; return whether it is news."""
        if self.is_superseded(process):
            return False
        if self._history.has_ended(process):
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
        for process in self._history.prune(now, MAX_TOMBSTONES):
            if self.latest(process[0]) == process:
                self._latest.pop(process[0], None)
        return bool(silent)

    def since(self, epoch: int, generation: int, now: float) -> Delta:
        """Tell what changed since a generation of an epoch."""
        base = generation if epoch == self._epoch else 0
        lead = self._history.since(base)
        return Delta(
            epoch=self._epoch,
            base=lead.base,
            generation=self._generation,
            present=[_cold(self._records[one], now) for one in lead.changed],
            ended=lead.ended,
            lapsed=lead.lapsed,
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
        self._history.change(process, self._generation)

    def _remove(self, process: Process, now: float, ended: bool) -> None:
        self._generation += 1
        self._records.pop(process, None)
        self._history.remove(process, self._generation, now, ended)


def _differ(before: Announcement, after: Announcement) -> bool:
    return before != msgspec.structs.replace(after, cold_s=before.cold_s)


def _cold(record: Record, now: float) -> Announcement:
    return msgspec.structs.replace(
        record.announcement, cold_s=record.cold_s(now)
    )
