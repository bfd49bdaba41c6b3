"""Keep a replica's log and hard state durable under one folder."""

import os
from pathlib import Path
from typing import BinaryIO

import msgspec
import xxhash
from nutmegchute_core.replicas import HardState
from nutmegchute_core.replicas import LogEntry

from .errors import StorageError

LOG_FILE = "log"
HARD_STATE_FILE = "hard-state"
HEADER_BYTES = 12

_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.msgpack.Decoder(LogEntry)
_STATE_DECODER = msgspec.msgpack.Decoder(HardState)


class Storage:
    """Append checksummed records and sync them before returning."""

    __slots__ = ("_folder", "_log", "_offsets")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._offsets: list[int] = []
        try:
            folder.mkdir(parents=True, exist_ok=True)
            path = folder / LOG_FILE
            self._log: BinaryIO = path.open("a+b")
            _sync_folder(folder)
        except OSError as error:
            raise StorageError(f"{folder}: {error.strerror}") from error

    def load(self) -> tuple[HardState, list[LogEntry]]:
        """Read all that was synced; cut a torn last record.

        :raises StorageError: a record before the last is damaged
        """
        self._log.seek(0)
        data = self._log.read()
        entries: list[LogEntry] = []
        offset = 0
        while offset < len(data):
            payload = _read_record(data, offset)
            if payload is None:
                self._cut_tail(data, offset)
                break
            entries.append(_ENTRY_DECODER.decode(payload))
            self._offsets.append(offset)
            offset += HEADER_BYTES + len(payload)
        return self._load_hard_state(), entries

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Make the hard state and the entries durable.

        :raises StorageError: nothing may be acknowledged
        """
        try:
            if hard_state is not None:
                self._save_hard_state(hard_state)
            if entries:
                self._save_entries(entries)
        except OSError as error:
            raise StorageError(f"{self._folder}: {error.strerror}") from error

    def close(self) -> None:
        """Close the log file."""
        self._log.close()

    def _save_entries(self, entries: list[LogEntry]) -> None:
        kept = entries[0].index - 1
        if kept < len(self._offsets):
            self._log.truncate(self._offsets[kept])
            del self._offsets[kept:]
        self._log.seek(0, os.SEEK_END)
        offset = self._log.tell()
        buffer = bytearray()
        for entry in entries:
            self._offsets.append(offset + len(buffer))
            buffer += _record(_ENCODER.encode(entry))
        self._log.write(buffer)
        self._log.flush()
        os.fsync(self._log.fileno())

    def _save_hard_state(self, hard_state: HardState) -> None:
        path = self._folder / HARD_STATE_FILE
        new = path.with_suffix(".new")
        with new.open("wb") as file:
            file.write(_record(_ENCODER.encode(hard_state)))
            file.flush()
            os.fsync(file.fileno())
        new.replace(path)
        _sync_folder(self._folder)

    def _load_hard_state(self) -> HardState:
        path = self._folder / HARD_STATE_FILE
        if not path.exists():
            return HardState()
        payload = _read_record(path.read_bytes(), 0)
        if payload is None:
            raise StorageError(f"{path}: damaged at byte 0")
        return _STATE_DECODER.decode(payload)

    def _cut_tail(self, data: bytes, offset: int) -> None:
        length = int.from_bytes(data[offset : offset + 4], "big")
        if offset + HEADER_BYTES + length < len(data):
            raise StorageError(
                f"{self._folder / LOG_FILE}: damaged at byte {offset}"
            )
        self._log.truncate(offset)


def _record(payload: bytes) -> bytes:
    digest = xxhash.xxh64_digest(payload)
    return len(payload).to_bytes(4, "big") + digest + payload


def _read_record(data: bytes, offset: int) -> bytes | None:
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    length = int.from_bytes(data[offset : offset + 4], "big")
    payload = data[start : start + length]
    digest = data[offset + 4 : start]
    if len(payload) < length or xxhash.xxh64_digest(payload) != digest:
        return None
    return payload


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
