"""Hold the replicated log in memory."""

import msgspec

from .memberships import Membership
from .memberships import Reconfigure
from .messages import LogEntry
from .messages import Snapshot

BATCH_ENTRIES = 256
BATCH_BYTES = 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()


class Log:
    """Hold the last snapshot and the log entries that are not compacted.

    The first entries may be older than the snapshot: some of those that it
    covers are kept for replicas that lag a little.
    """

    __slots__ = (
        "_base_index",
        "_base_term",
        "_bytes",
        "_entries",
        "_memberships",
        "_sizes",
        "_snapshot",
    )

    def __init__(self, snapshot: Snapshot, entries: list[LogEntry]) -> None:
        self._snapshot = snapshot
        self._base_index = snapshot.index
        self._base_term = snapshot.term
        self._entries: list[LogEntry] = []
        self._sizes: list[int] = []
        self._bytes = 0
        self._memberships = [(snapshot.index, snapshot.membership)]
        for entry in entries:
            if entry.index > snapshot.index:
                self.append(entry)

    @property
    def snapshot(self) -> Snapshot:
        """Return the last snapshot."""
        return self._snapshot

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self._base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self._entries[-1].term if self._entries else self._base_term

    @property
    def size_bytes(self) -> int:
        """Return the encoded size of the entries in memory, in bytes."""
        return self._bytes

    @property
    def membership(self) -> Membership:
        """Return the newest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Return the index of the newest membership."""
        return self._memberships[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in force at an index."""
        found = self._memberships[0][1]
        for entry_index, membership in self._memberships:
            if entry_index <= index:
                found = membership
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term at an index, or None if it is not in this log."""
        if index == self._base_index:
            return self._base_term
        if index == self._snapshot.index:
            return self._snapshot.term
        if index < self._base_index or index > self.last_index:
            return None
        return self._entries[index - self._base_index - 1].term

    def last_before_term_of(self, index: int) -> int:
        """Return the last index before the term of the entry at an index.

        That is the last index of all if the log ends before it.
        """
        if index > self.last_index:
            return self.last_index
        term = self.term_at(index)
        while index > self._base_index and self.term_at(index) == term:
            index -= 1
        return index

    def append(self, entry: LogEntry) -> None:
        """Append the next entry."""
        size = len(_ENCODER.encode(entry))
        self._entries.append(entry)
        self._sizes.append(size)
        self._bytes += size
        if isinstance(entry.command, Reconfigure):
            self._memberships.append((entry.index, entry.command.membership))

    def truncate(self, index: int) -> None:
        """Remove the entries from an index on."""
        kept = index - self._base_index - 1
        del self._entries[kept:]
        self._bytes -= sum(self._sizes[kept:])
        del self._sizes[kept:]
        self._memberships = [
            one for one in self._memberships if one[0] < index
        ] or self._memberships[:1]

    def entries_between(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries between two indexes, both included."""
        start = first - self._base_index - 1
        return self._entries[start : last - self._base_index]

    def batch(self, first: int) -> list[LogEntry]:
        """Return the entries from an index on that fit in one message."""
        start = first - self._base_index - 1
        total = 0
        batch: list[LogEntry] = []
        for entry in self._entries[start : start + BATCH_ENTRIES]:
            total += self._sizes[start + len(batch)]
            if batch and total > BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def compact(self, snapshot: Snapshot, trailing: int) -> None:
        """Replace entries by a snapshot; keep ``trailing`` of them."""
        first = max(self._base_index, snapshot.index - trailing)
        term = self.term_at(first)
        assert term is not None
        dropped = first - self._base_index
        del self._entries[:dropped]
        self._bytes -= sum(self._sizes[:dropped])
        del self._sizes[:dropped]
        later = [one for one in self._memberships if one[0] > snapshot.index]
        self._memberships = [(snapshot.index, snapshot.membership), *later]
        self._snapshot = snapshot
        self._base_index = first
        self._base_term = term
