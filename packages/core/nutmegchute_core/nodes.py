"""Connect a replica to its storage and the replicated state machine."""

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
# Entries kept before a snapshot, so that a replica which lags a little is
# sent entries instead of the whole state.
TRAILING_ENTRIES = 500

_ENCODER = msgspec.msgpack.Encoder()
_STATE_DECODER = msgspec.msgpack.Decoder(MachineState)


class StoredState(msgspec.Struct, frozen=True):
    """Hold the state loaded from disk at start."""

    hard_state: HardState
    snapshot: Snapshot
    entries: list[LogEntry]


class Store(Protocol):
    """Make state durable; it is synced when a method returns."""

    def save(
        self, hard_state: HardState | None, entries: list[LogEntry]
    ) -> None:
        """Store the hard state and append the entries."""

    def install(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot from the leader."""

    def compact(self, snapshot: Snapshot) -> None:
        """Store a local snapshot; the log before it may be removed."""


class AppliedEntry(msgspec.Struct, frozen=True):
    """Hold a committed entry and the outcome of applying it."""

    entry: LogEntry
    outcome: Outcome


class FlushResult(msgspec.Struct, frozen=True):
    """Hold the messages to send and the entries applied by a flush."""

    messages: list[Message]
    decided: list[AppliedEntry]
    restored: bool


class Node:
    """Run one replica: make its state durable, then apply and send."""

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
        """Return the replica that this node runs."""
        return self._replica

    @property
    def machine(self) -> StateMachine:
        """Return the state machine with all entries applied so far."""
        return self._machine

    def propose(self, command: Command) -> tuple[int, int]:
        """Append a command and return its index and term."""
        return self._replica.propose(command), self._replica.term

    def flush(self) -> FlushResult:
        """Store and apply all pending effects; return what is to be sent.

        Errors of the store propagate. The node must not be used after one,
        since it holds votes and entries that the disk does not.
        """
        effects = self._replica.take_effects()
        # Sync before sending: otherwise a crash could lose a vote or an
        # acknowledgement already sent, and the replica could contradict it.
        if effects.snapshot is not None:
            # It replaces the log; the entries continue it.
            self._store.install(effects.snapshot)
            self._restore(effects.snapshot)
        if effects.hard_state is not None or effects.entries:
            self._store.save(effects.hard_state, effects.entries)
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
