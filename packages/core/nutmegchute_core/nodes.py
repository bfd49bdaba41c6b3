"""Tie a replica, its disk and the state machine together."""

from typing import Protocol

import msgspec

from .commands import Command
from .logs import Log
from .machines import MachineState
from .machines import Outcome
from .machines import StateMachine
from .messages import HardState
from .messages import LogEntry
from .messages import Message
from .messages import Snapshot
from .replicas import Replica

SNAPSHOT_ENTRIES = 1000
SNAPSHOT_BYTES = 8 * 1024 * 1024
# Entries kept behind a snapshot, so that a replica which lags a little is
# sent entries and not the whole state.
TRAILING_ENTRIES = 500

_ENCODER = msgspec.msgpack.Encoder()
_STATE_DECODER = msgspec.msgpack.Decoder(MachineState)


class StoredState(msgspec.Struct, frozen=True):
    """Hold what a disk gave back after a start."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry]


class Store(Protocol):
    """Make things durable; all is synced when a method returns."""

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Keep the hard state and the entries."""

    def install(self, snapshot: Snapshot) -> None:
        """Keep a leader's snapshot in place of the whole log."""

    def compact(self, snapshot: Snapshot) -> None:
        """Keep an own snapshot; the log before it may go."""


class AppliedEntry(msgspec.Struct, frozen=True):
    """Tell what became of a committed entry."""

    entry: LogEntry
    outcome: Outcome


class FlushResult(msgspec.Struct, frozen=True):
    """Hold what the driver sends and reports after a flush."""

    messages: list[Message]
    decided: list[AppliedEntry]
    restored: bool


class Node:
    """Run one replica: durable first, then messages, then the machine."""

    __slots__ = ("_machine", "_replica", "_store")

    def __init__(
        self,
        identity: str,
        stored: StoredState,
        store: Store,
        now: float,
        seed: int,
    ) -> None:
        self._store = store
        self._machine = StateMachine()
        self._restore(stored.snapshot)
        log = Log(stored.snapshot, stored.entries)
        self._replica = Replica(identity, stored.hard_state, log, now, seed)

    @property
    def replica(self) -> Replica:
        """Give the replica."""
        return self._replica

    @property
    def machine(self) -> StateMachine:
        """Give the replicated state as applied here."""
        return self._machine

    def propose(self, command: Command) -> tuple[int, int]:
        """Append a command and return its index and term."""
        return self._replica.propose(command), self._replica.term

    def flush(self) -> FlushResult:
        """Make durable, apply, and return what is to be sent.

        An error of the store passes through: this node must not be used
        any further, since it holds promises that the disk does not.
        """
        effects = self._replica.take_effects()
        # Durable first: a vote or an acknowledgement that leaves before
        # the sync could be forgotten by a crash and given twice.
        if effects.hard_state is not None or effects.entries:
            self._store.save(effects.hard_state, effects.entries)
        if effects.snapshot is not None:
            self._store.install(effects.snapshot)
            self._restore(effects.snapshot)
        decided = []
        for entry in effects.committed:
            outcome = self._machine.apply(entry)
            decided.append(AppliedEntry(entry, outcome))
        self._compact()
        return FlushResult(
            messages=effects.messages,
            decided=decided,
            restored=effects.snapshot is not None,
        )

    def _compact(self) -> None:
        log = self._replica.log
        entries = self._machine.applied - log.snapshot.index
        large = log.size_bytes > SNAPSHOT_BYTES and entries > 0
        if entries < SNAPSHOT_ENTRIES and not large:
            return
        state = _ENCODER.encode(self._machine.snapshot())
        trailing = 0 if large else TRAILING_ENTRIES
        self._store.compact(self._replica.compact(state, trailing))

    def _restore(self, snapshot: Snapshot) -> None:
        if not snapshot.state:
            return
        self._machine.restore(_STATE_DECODER.decode(snapshot.state))
