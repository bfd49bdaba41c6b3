"""Register, on a control replica, the endpoints that announce to it.

Nothing here is durable: endpoints announce themselves again within a second
or two. Entries request the changes since the generation that they hold.
"""

import msgspec

from .histories import Delta
from .histories import History
from .histories import MAX_TOMBSTONES
from .members import Announcement
from .members import DRAINING
from .members import Process

# An endpoint sends a heartbeat every 1.5 s, which may be a second or two late;
# one that is silent for longer has crashed. Entries detect a crash by failed
# calls long before, so this need not be short.
ENDPOINT_LEASE_S = 4.0
MAX_INSTANCES = 4096

# How long endpoints restored at the start of this replica are kept. Each live
# one announces itself within that time, and an entry that has just started is
# not relied on yet, so an endpoint which left meanwhile gets calls only
# briefly.
RESTORED_TTL_S = 2.0

# An endpoint whose announced cold time ends so much later than before has
# become cold again; a late heartbeat moves the end by less.
COLD_TOLERANCE_S = 0.5

RENEWED = "taken"
CHANGED = "changed"
STALE = "stale"
FULL = "full"
# A later start of the instance is known.
OUTDATED = "outdated"
# A process never changes its service or address: another process sent this.
FOREIGN = "foreign"


class Record:
    """Hold the newest announcement of a process and its arrival."""

    __slots__ = ("announced_at", "announcement", "cold_until", "sequence")

    def __init__(self, announcement: Announcement) -> None:
        self.announcement = announcement
        self.sequence = -1
        self.announced_at = 0.0
        self.cold_until = 0.0

    def cold_s(self, now: float) -> float:
        """Return for how many seconds more the process is cold."""
        return max(0.0, self.cold_until - now)


class Registry:
    """Hold the leases of endpoints and the history of their changes.

    An instance may restart under its name. Each start is a separate process;
    messages about an earlier one do not apply to it. ``epoch`` must differ at
    every start of the replica.
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
        # The latest incarnation by instance, kept as long as the record or
        # the tombstone of that process.
        self._latest: dict[str, int] = {}

    @property
    def epoch(self) -> int:
        """Return the epoch, which differs at every start of the replica."""
        return self._epoch

    @property
    def generation(self) -> int:
        """Return the generation, which counts changes from 1."""
        return self._generation

    def __len__(self) -> int:
        """Return the number of registered processes."""
        return len(self._records)

    def list_announcements(self, now: float) -> list[Announcement]:
        """Return the announcements of the registered processes."""
        return [_with_cold_s(record, now) for record in self._records.values()]

    def latest(self, instance: str) -> Process:
        """Return the latest known process of an instance."""
        return instance, self._latest.get(instance, 0)

    def is_registered(self, process: Process) -> bool:
        """Return whether a process is registered."""
        return process in self._records

    def generation_of(self, process: Process) -> int:
        """Return the generation in which a process last changed, else 0."""
        return self._history.generation_of(process)

    def is_superseded(self, process: Process) -> bool:
        """Return whether a later start of the instance is known."""
        instance, incarnation = process
        return incarnation < self._latest.get(instance, 0)

    def register(
        self, announcement: Announcement, sequence: int, now: float
    ) -> str:
        """Register a process or renew its lease.

        Return RENEWED or CHANGED; if refused, STALE, OUTDATED, FOREIGN or
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
                # Draining is final: a later announcement cannot revoke it.
                announcement = msgspec.structs.replace(
                    announcement, state=DRAINING
                )
            self._change(process)
        elif announcement.cold_s > record.cold_s(now) + COLD_TOLERANCE_S:
            self._change(process)
        record.announcement = announcement
        record.sequence = sequence
        record.announced_at = now
        record.cold_until = now + announcement.cold_s
        return RENEWED if self._generation == before else CHANGED

    def restore(self, announcement: Announcement, now: float) -> None:
        """Add an endpoint known before this replica started."""
        if len(self._records) >= MAX_INSTANCES:
            return
        process = announcement.process
        self._supersede(process, now)
        record = self._records[process] = Record(announcement)
        record.announced_at = now + RESTORED_TTL_S - ENDPOINT_LEASE_S
        record.cold_until = now + announcement.cold_s
        self._change(process)

    def end(self, process: Process, now: float) -> bool:
        """End a process permanently; return whether the registry changed."""
        if self.is_superseded(process):
            return False
        if self._history.has_ended(process):
            return False
        self._supersede(process, now)
        self._remove(process, now, True)
        return True

    def expire(self, now: float) -> bool:
        """Remove processes with expired leases; return whether any was."""
        expired = []
        for process, record in self._records.items():
            if now - record.announced_at > ENDPOINT_LEASE_S:
                expired.append(process)
        for process in expired:
            # A draining process is expected to end, and a late heartbeat
            # must not bring it back.
            record = self._records[process]
            ended = record.announcement.state == DRAINING
            self._remove(process, now, ended)
        for process in self._history.prune(now, MAX_TOMBSTONES):
            if self.latest(process[0]) == process:
                self._latest.pop(process[0], None)
        return bool(expired)

    def since(self, epoch: int, generation: int, now: float) -> Delta:
        """Return the delta from a generation of an epoch."""
        base = generation if epoch == self._epoch else 0
        changes = self._history.since(base)
        return Delta(
            epoch=self._epoch,
            base=changes.base,
            generation=self._generation,
            present=[
                _with_cold_s(self._records[one], now)
                for one in changes.changed
            ],
            ended=changes.ended,
            lapsed=changes.lapsed,
        )

    def _supersede(self, process: Process, now: float) -> None:
        """End the registered earlier process of the instance, if any."""
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


def _with_cold_s(record: Record, now: float) -> Announcement:
    return msgspec.structs.replace(
        record.announcement, cold_s=record.cold_s(now)
    )
