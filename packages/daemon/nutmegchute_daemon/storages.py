"""Store a replica's log, snapshot and identity in one folder."""

from pathlib import Path
from typing import Any

import msgspec
from nutmegchute_core.memberships import Membership
from nutmegchute_core.messages import HardState
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.messages import Snapshot
from nutmegchute_core.nodes import StoredState

from .disks import Disk
from .errors import StorageError
from .frames import encode_frame
from .frames import has_frame_after
from .frames import HEADER_BYTES
from .frames import read_frame

IDENTITY_FILE = "identity"
TEMPORARY_FILE = "new"
SEGMENT_PREFIX = "log-"
SNAPSHOT_PREFIX = "snapshot-"

_ENCODER = msgspec.msgpack.Encoder()


class Identity(msgspec.Struct, frozen=True):
    """Identify a folder's replica, its group and the group's first members.

    ``group`` is None until a group was formed or joined. ``founding`` is
    set if the folder was created at the deployment's first start.
    """

    identity: str
    group: str | None = None
    genesis: Membership = Membership()
    founding: bool = True


class SaveRecord(msgspec.Struct, frozen=True):
    """Hold the content of one save, which is durable as a whole.

    A record that ``is_base`` replaces all that was saved before it.
    """

    hard_state: HardState | None
    entries: list[LogEntry]
    is_base: bool = False


_SAVE_DECODER = msgspec.msgpack.Decoder(SaveRecord)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_IDENTITY_DECODER = msgspec.msgpack.Decoder(Identity)


class Storage:
    """Append frames to log segments and sync them before returning.

    A frame holds all of one save, so a save that a crash interrupted is
    dropped as a whole. Entries are never overwritten in place: a frame
    replaces the entries of earlier frames from its first index on. The first
    frame of a segment may replace all segments before it.
    """

    __slots__ = (
        "_disk",
        "_hard_state",
        "_last_indexes",
        "_segments",
        "_synced_bytes",
    )

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._hard_state = HardState()
        self._segments: list[str] = []
        self._last_indexes: dict[str, int] = {}
        self._synced_bytes = 0

    @property
    def disk(self) -> Disk:
        """Return the folder, for files that are not part of the log."""
        return self._disk

    def identity(self) -> Identity | None:
        """Return the folder's identity, None if the folder is empty.

        :raises StorageError: the file is damaged or not durable, or missing
            beside a log or snapshot
        """
        names = self._disk.names()
        if IDENTITY_FILE not in names:
            for name in names:
                if name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX)):
                    raise StorageError(
                        f"{self._disk.path}/{IDENTITY_FILE}: missing "
                        f"beside {name}"
                    )
            return None
        found: Identity = self._read_file(IDENTITY_FILE, _IDENTITY_DECODER)
        if found.group is None:
            # The process before may have been killed before it synced the
            # name. With a group, load() syncs the folder.
            self._sync_names()
        return found

    def save_identity(self, identity: Identity) -> None:
        """Write and sync the identity.

        :raises StorageError: it is not durable and must not be used
        """
        try:
            self._write_file(IDENTITY_FILE, identity)
        except OSError as error:
            raise self._storage_error(error) from error

    def load(self, genesis: Membership) -> StoredState:
        """Load all that was saved and make it durable once more.

        :raises StorageError: data before the last frame is damaged
        """
        try:
            snapshot = self._load_snapshot(genesis)
            entries = self._entries_after(snapshot, self._load_segments())
            # The process before may have been killed before a sync returned.
            # First the name of its snapshot, which the new log continues.
            self._disk.sync_folder()
            self._replace_segments(entries)
        except OSError as error:
            # No save has failed: recover() must truncate no segment.
            self._segments = []
            raise self._storage_error(error) from error
        return StoredState(
            hard_state=self._hard_state,
            snapshot=snapshot,
            entries=entries,
        )

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Append and sync the hard state and the entries.

        :raises StorageError: they must not be acknowledged
        """
        try:
            self._append(SaveRecord(hard_state, entries))
        except OSError as error:
            raise self._storage_error(error) from error
        if hard_state is not None:
            self._hard_state = hard_state

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a leader's snapshot.

        :raises StorageError: the snapshot must not be acknowledged
        """
        try:
            self._save_snapshot(snapshot)
            self._replace_segments([])
        except OSError as error:
            raise self._storage_error(error) from error

    def compact(self, snapshot: Snapshot) -> None:
        """Save this replica's snapshot and remove the segments before it.

        :raises StorageError: the replica must be reloaded from the disk
        """
        try:
            self._save_snapshot(snapshot)
            # Repeat the hard state: the segment that holds it may be removed.
            self._start_segment(SaveRecord(self._hard_state, []))
            old = []
            for segment in self._segments[:-1]:
                if self._last_indexes[segment] > snapshot.index:
                    break
                old.append(segment)
            self._remove_segments(old)
        except OSError as error:
            raise self._storage_error(error) from error

    def recover(self) -> None:
        """Truncate what a failed save may have left in the last segment.

        After a failed sync the page cache may hold bytes that are not on
        the disk; loading them would restore data that was never durable.

        :raises StorageError: the disk still fails
        """
        if not self._segments:
            return
        try:
            self._disk.truncate(self._segments[-1], self._synced_bytes)
            self._disk.sync(self._segments[-1])
        except OSError as error:
            raise self._storage_error(error) from error
        self._segments = []
        self._last_indexes = {}

    def close(self) -> None:
        """Close the files and release the folder's lock."""
        self._disk.close()

    def _append(self, record: SaveRecord) -> None:
        segment = self._segments[-1]
        data = encode_frame(_ENCODER.encode(record))
        self._disk.append(segment, data)
        self._disk.sync(segment)
        self._synced_bytes += len(data)
        for entry in record.entries:
            self._last_indexes[segment] = max(
                self._last_indexes[segment], entry.index
            )

    def _start_segment(self, first: SaveRecord) -> None:
        number = 0
        if self._segments:
            number = int(self._segments[-1].removeprefix(SEGMENT_PREFIX)) + 1
        segment = f"{SEGMENT_PREFIX}{number:012d}"
        # The first frame is complete before the segment has its name, so a
        # crash leaves no segment that hides the end of the one before.
        self._synced_bytes = self._write_file(segment, first)
        self._segments.append(segment)
        self._last_indexes[segment] = 0
        if first.entries:
            self._last_indexes[segment] = first.entries[-1].index

    def _replace_segments(self, entries: list[LogEntry]) -> None:
        # Written anew, not only synced: after a failed sync Linux takes the
        # pages for clean, and the next sync returns without writing them.
        self._start_segment(SaveRecord(self._hard_state, entries, True))
        # Not synced: a segment that returns is ignored on loading, and the
        # next segment syncs the folder before this one can be removed.
        for segment in self._segments[:-1]:
            self._disk.remove(segment)
        del self._segments[:-1]

    def _remove_segments(self, segments: list[str]) -> None:
        # Oldest first: if a later segment were removed and an earlier one
        # left, entries that the later one replaced would reappear. Only
        # syncs of the folder keep the order over a loss of power.
        for segment in segments:
            self._disk.remove(segment)
            self._segments.remove(segment)
            self._disk.sync_folder()

    def _save_snapshot(self, snapshot: Snapshot) -> None:
        name = f"{SNAPSHOT_PREFIX}{snapshot.index:012d}"
        self._write_file(name, snapshot)
        for other in self._disk.names():
            if other.startswith(SNAPSHOT_PREFIX) and other < name:
                self._disk.remove(other)

    def _load_snapshot(self, genesis: Membership) -> Snapshot:
        names = [
            file_name
            for file_name in self._disk.names()
            if file_name.startswith(SNAPSHOT_PREFIX)
        ]
        if not names:
            return Snapshot(membership=genesis)
        found: Snapshot = self._read_file(names[-1], _SNAPSHOT_DECODER)
        return found

    def _load_segments(self) -> list[LogEntry]:
        # Until the load is over, recover() has nothing to truncate.
        self._segments = []
        self._last_indexes = {}
        self._hard_state = HardState()
        names = [
            name
            for name in self._disk.names()
            if name.startswith(SEGMENT_PREFIX)
        ]
        loaded: list[list[SaveRecord]] = []
        for name in reversed(names):
            records = self._load_segment(name, name == names[-1])
            if not records and len(names) == 1:
                # No segment has its name before its first frame is durable.
                raise StorageError(
                    f"{self._disk.path}/{name}: damaged at byte 0"
                )
            loaded.append(records)
            if records and records[0].is_base:
                # Older segments are those whose removal was interrupted.
                break
        entries: list[LogEntry] = []
        for records in reversed(loaded):
            for record in records:
                if record.hard_state is not None:
                    self._hard_state = record.hard_state
                self._replace_tail(record.entries, entries)
        self._segments = names
        return entries

    def _load_segment(self, segment: str, last: bool) -> list[SaveRecord]:
        data = self._disk.read(segment)
        records: list[SaveRecord] = []
        offset = 0
        while offset < len(data):
            payload = read_frame(data, offset)
            if payload is None:
                if not last or has_frame_after(data, offset):
                    raise StorageError(
                        f"{self._disk.path}/{segment}: damaged at byte "
                        f"{offset}"
                    )
                # The end of a save that was not synced. It goes with this
                # segment once the new one is durable.
                return records
            records.append(_SAVE_DECODER.decode(payload))
            offset += HEADER_BYTES + len(payload)
        return records

    def _replace_tail(
        self, new: list[LogEntry], entries: list[LogEntry]
    ) -> None:
        while new and entries and entries[-1].index >= new[0].index:
            entries.pop()
        entries.extend(new)

    def _entries_after(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> list[LogEntry]:
        later = [one for one in entries if one.index > snapshot.index]
        for entry in entries:
            # After a crash between installing a snapshot and removing the
            # old log, the entries left do not continue the snapshot.
            if entry.index == snapshot.index and entry.term != snapshot.term:
                return []
        expected = snapshot.index + 1
        for entry in later:
            if entry.index != expected:
                raise StorageError(
                    f"{self._disk.path}: entry {expected} is missing"
                )
            expected += 1
        return later

    def _write_file(self, name: str, value: Any) -> int:
        """Write a file of one frame; return its size in bytes."""
        data = encode_frame(_ENCODER.encode(value))
        self._disk.remove(TEMPORARY_FILE)
        self._disk.append(TEMPORARY_FILE, data)
        self._disk.sync(TEMPORARY_FILE)
        self._disk.rename(TEMPORARY_FILE, name)
        self._disk.sync_folder()
        return len(data)

    def _read_file(self, name: str, decoder: Any) -> Any:
        try:
            data = self._disk.read(name)
        except OSError as error:
            raise self._storage_error(error) from error
        payload = read_frame(data, 0)
        if payload is None:
            raise StorageError(f"{self._disk.path}/{name}: damaged at byte 0")
        return decoder.decode(payload)

    def _sync_names(self) -> None:
        try:
            self._disk.sync_folder()
        except OSError as error:
            raise self._storage_error(error) from error

    def _storage_error(self, error: OSError) -> StorageError:
        return StorageError(f"{self._disk.path}: {error.strerror}")


def open_storage(folder: Path) -> Storage:
    """Open and lock a data folder.

    :raises StorageError: another daemon uses it, or it cannot be opened
    """
    try:
        return Storage(Disk(folder))
    except BlockingIOError as error:
        raise StorageError(f"{folder}: in use by another daemon") from error
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
