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
    """Hold the content of one save, which is durable as a whole."""

    hard_state: HardState | None
    entries: list[LogEntry]


_SAVE_DECODER = msgspec.msgpack.Decoder(SaveRecord)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_IDENTITY_DECODER = msgspec.msgpack.Decoder(Identity)


class Storage:
    """Append frames to log segments and sync them before returning.

    A frame holds all of one save, so a save that a crash interrupted is
    dropped as a whole. Entries are never overwritten in place: a frame
    replaces the entries of earlier frames from its first index on.
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

        :raises StorageError: the file is damaged, or missing beside a log
            or snapshot
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
        """Load all that was synced; truncate an incomplete last frame.

        :raises StorageError: data before the last frame is damaged
        """
        try:
            snapshot = self._load_snapshot(genesis)
            entries = self._load_segments()
            self._start_segment()
        except OSError as error:
            raise self._storage_error(error) from error
        return StoredState(
            hard_state=self._hard_state,
            snapshot=snapshot,
            entries=self._entries_after(snapshot, entries),
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
            self._start_segment()
            self._remove_segments(self._segments[:-1])
        except OSError as error:
            raise self._storage_error(error) from error

    def compact(self, snapshot: Snapshot) -> None:
        """Save this replica's snapshot and remove the segments before it.

        :raises StorageError: the replica must be reloaded from the disk
        """
        try:
            self._save_snapshot(snapshot)
            self._start_segment()
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

    def _start_segment(self) -> None:
        number = 0
        if self._segments:
            number = int(self._segments[-1].removeprefix(SEGMENT_PREFIX)) + 1
        segment = f"{SEGMENT_PREFIX}{number:012d}"
        self._segments.append(segment)
        self._last_indexes[segment] = 0
        self._synced_bytes = 0
        # Repeat the hard state: the segment that holds it may be removed.
        self._append(SaveRecord(self._hard_state, []))
        self._disk.sync_folder()

    def _remove_segments(self, segments: list[str]) -> None:
        # Oldest first: if a later segment were removed and an earlier one
        # left, entries that the later one replaced would reappear.
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
        self._segments = [
            name
            for name in self._disk.names()
            if name.startswith(SEGMENT_PREFIX)
        ]
        self._hard_state = HardState()
        entries: list[LogEntry] = []
        for segment in self._segments:
            last = segment == self._segments[-1]
            self._load_segment(segment, last, entries)
        return entries

    def _load_segment(
        self, segment: str, last: bool, entries: list[LogEntry]
    ) -> None:
        data = self._disk.read(segment)
        self._last_indexes[segment] = 0
        offset = 0
        while offset < len(data):
            payload = read_frame(data, offset)
            if payload is None:
                if not last or has_frame_after(data, offset):
                    raise StorageError(
                        f"{self._disk.path}/{segment}: damaged at byte "
                        f"{offset}"
                    )
                self._disk.truncate(segment, offset)
                self._disk.sync(segment)
                return
            record = _SAVE_DECODER.decode(payload)
            if record.hard_state is not None:
                self._hard_state = record.hard_state
            self._replace_tail(segment, record.entries, entries)
            offset += HEADER_BYTES + len(payload)

    def _replace_tail(
        self, segment: str, new: list[LogEntry], entries: list[LogEntry]
    ) -> None:
        if not new:
            return
        self._last_indexes[segment] = max(
            self._last_indexes[segment], new[-1].index
        )
        if entries:
            kept = new[0].index - entries[0].index
            del entries[max(0, kept) :]
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

    def _write_file(self, name: str, value: Any) -> None:
        self._disk.remove(TEMPORARY_FILE)
        self._disk.append(TEMPORARY_FILE, encode_frame(_ENCODER.encode(value)))
        self._disk.sync(TEMPORARY_FILE)
        self._disk.rename(TEMPORARY_FILE, name)
        self._disk.sync_folder()

    def _read_file(self, name: str, decoder: Any) -> Any:
        try:
            data = self._disk.read(name)
        except OSError as error:
            raise self._storage_error(error) from error
        payload = read_frame(data, 0)
        if payload is None:
            raise StorageError(f"{self._disk.path}/{name}: damaged at byte 0")
        return decoder.decode(payload)

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
