"""Keep a replica's log, snapshot and identity under one folder."""

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
NEW_FILE = "new"
SEGMENT = "log-"
SNAPSHOT = "snapshot-"

_ENCODER = msgspec.msgpack.Encoder()


class Identity(msgspec.Struct, frozen=True):
    """Say which replica a folder belongs to and how its group began.

    ``group`` is None until a group was formed or joined. ``founding``
    tells whether this folder was made at the deployment's first start.
    """

    identity: str
    group: str | None = None
    genesis: Membership = Membership()
    founding: bool = True


class Saved(msgspec.Struct, frozen=True):
    """Hold what one save made durable, all of it or nothing."""

    hard_state: HardState | None
    entries: list[LogEntry]


_SAVED_DECODER = msgspec.msgpack.Decoder(Saved)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_IDENTITY_DECODER = msgspec.msgpack.Decoder(Identity)


class Storage:
    """Append frames to segments and sync them before returning.

    A frame holds all of one save, so a save that a crash cut short is
    gone as a whole. Entries are never overwritten in place: a later frame
    replaces what earlier ones hold from its first index on.
    """

    __slots__ = ("_disk", "_hard_state", "_segments", "_synced", "_tops")

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._hard_state = HardState()
        self._segments: list[str] = []
        self._tops: dict[str, int] = {}
        self._synced = 0

    @property
    def disk(self) -> Disk:
        """Give the folder, for what is not part of the log."""
        return self._disk

    def identity(self) -> Identity | None:
        """Return the folder's identity; None says the folder is empty.

        :raises StorageError: the file is damaged, or is gone where a log
            is left
        """
        names = self._disk.names()
        if IDENTITY_FILE not in names:
            for name in names:
                if name.startswith((SEGMENT, SNAPSHOT)):
                    raise StorageError(
                        f"{self._disk.path}/{IDENTITY_FILE}: missing "
                        f"beside {name}"
                    )
            return None
        found: Identity = self._read_one(IDENTITY_FILE, _IDENTITY_DECODER)
        return found

    def save_identity(self, identity: Identity) -> None:
        """Make the identity durable.

        :raises StorageError: it may not be used
        """
        try:
            self._write_one(IDENTITY_FILE, identity)
        except OSError as error:
            raise self._error(error) from error

    def load(self, genesis: Membership) -> StoredState:
        """Read all that was synced; cut a torn last frame.

        :raises StorageError: something before the last frame is damaged
        """
        try:
            snapshot = self._load_snapshot(genesis)
            entries = self._load_segments()
            self._roll()
        except OSError as error:
            raise self._error(error) from error
        return StoredState(
            hard_state=self._hard_state,
            snapshot=snapshot,
            entries=self._continue(snapshot, entries),
        )

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Make the hard state and the entries durable.

        :raises StorageError: nothing may be acknowledged
        """
        try:
            self._append(Saved(hard_state, entries))
        except OSError as error:
            raise self._error(error) from error
        if hard_state is not None:
            self._hard_state = hard_state

    def install(self, snapshot: Snapshot) -> None:
        """Keep a leader's snapshot in place of the whole log.

        :raises StorageError: nothing may be acknowledged
        """
        try:
            self._keep_snapshot(snapshot)
            self._roll()
            self._drop(self._segments[:-1])
        except OSError as error:
            raise self._error(error) from error

    def compact(self, snapshot: Snapshot) -> None:
        """Keep an own snapshot and remove the segments before it.

        :raises StorageError: the replica must start anew from the disk
        """
        try:
            self._keep_snapshot(snapshot)
            self._roll()
            old = []
            for segment in self._segments[:-1]:
                if self._tops[segment] > snapshot.index:
                    break
                old.append(segment)
            self._drop(old)
        except OSError as error:
            raise self._error(error) from error

    def recover(self) -> None:
        """Cut what a failed save may have left behind.

        After a failed sync the page cache can show bytes that are not on
        the disk; loading them would bring back what was never durable.

        :raises StorageError: the disk still refuses
        """
        if not self._segments:
            return
        try:
            self._disk.truncate(self._segments[-1], self._synced)
            self._disk.sync(self._segments[-1])
        except OSError as error:
            raise self._error(error) from error
        self._segments = []
        self._tops = {}

    def close(self) -> None:
        """Close the files and let another daemon have the folder."""
        self._disk.close()

    def _append(self, saved: Saved) -> None:
        segment = self._segments[-1]
        data = encode_frame(_ENCODER.encode(saved))
        self._disk.append(segment, data)
        self._disk.sync(segment)
        self._synced += len(data)
        for entry in saved.entries:
            self._tops[segment] = max(self._tops[segment], entry.index)

    def _roll(self) -> None:
        number = 0
        if self._segments:
            number = int(self._segments[-1].removeprefix(SEGMENT)) + 1
        segment = f"{SEGMENT}{number:012d}"
        self._segments.append(segment)
        self._tops[segment] = 0
        self._synced = 0
        # The hard state comes along: the segment that holds it otherwise
        # may be removed.
        self._append(Saved(self._hard_state, []))
        self._disk.sync_folder()

    def _drop(self, segments: list[str]) -> None:
        # In order: were a later segment gone and an earlier one left, its
        # replaced entries would come back.
        for segment in segments:
            self._disk.remove(segment)
            self._segments.remove(segment)
        self._disk.sync_folder()

    def _keep_snapshot(self, snapshot: Snapshot) -> None:
        name = f"{SNAPSHOT}{snapshot.index:012d}"
        self._write_one(name, snapshot)
        for other in self._disk.names():
            if other.startswith(SNAPSHOT) and other < name:
                self._disk.remove(other)

    def _load_snapshot(self, genesis: Membership) -> Snapshot:
        names = [n for n in self._disk.names() if n.startswith(SNAPSHOT)]
        if not names:
            return Snapshot(membership=genesis)
        found: Snapshot = self._read_one(names[-1], _SNAPSHOT_DECODER)
        return found

    def _load_segments(self) -> list[LogEntry]:
        self._segments = [
            name for name in self._disk.names() if name.startswith(SEGMENT)
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
        self._tops[segment] = 0
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
            saved = _SAVED_DECODER.decode(payload)
            if saved.hard_state is not None:
                self._hard_state = saved.hard_state
            self._take(segment, saved.entries, entries)
            offset += HEADER_BYTES + len(payload)

    def _take(
        self, segment: str, new: list[LogEntry], entries: list[LogEntry]
    ) -> None:
        if not new:
            return
        self._tops[segment] = max(self._tops[segment], new[-1].index)
        if entries:
            kept = new[0].index - entries[0].index
            del entries[max(0, kept) :]
        entries.extend(new)

    def _continue(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> list[LogEntry]:
        later = [one for one in entries if one.index > snapshot.index]
        for entry in entries:
            # A crash between an installed snapshot and the removal of the
            # old log leaves entries that do not continue the snapshot.
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

    def _write_one(self, name: str, value: Any) -> None:
        self._disk.remove(NEW_FILE)
        self._disk.append(NEW_FILE, encode_frame(_ENCODER.encode(value)))
        self._disk.sync(NEW_FILE)
        self._disk.rename(NEW_FILE, name)
        self._disk.sync_folder()

    def _read_one(self, name: str, decoder: Any) -> Any:
        try:
            data = self._disk.read(name)
        except OSError as error:
            raise self._error(error) from error
        payload = read_frame(data, 0)
        if payload is None:
            raise StorageError(f"{self._disk.path}/{name}: damaged at byte 0")
        return decoder.decode(payload)

    def _error(self, error: OSError) -> StorageError:
        return StorageError(f"{self._disk.path}: {error.strerror}")


def open_storage(folder: Path) -> Storage:
    """Open a data folder that no other daemon uses.

    :raises StorageError: it is in use or cannot be opened
    """
    try:
        return Storage(Disk(folder))
    except BlockingIOError as error:
        raise StorageError(f"{folder}: in use by another daemon") from error
    except OSError as error:
        raise StorageError(f"{folder}: {error.strerror}") from error
