"""Apply committed commands to the replicated state machine."""

from functools import singledispatchmethod

import msgspec

from .claims import ClaimAnswers
from .claims import ClaimBatch
from .commands import NoOp
from .evacuations import EvacuationOrder
from .evacuations import EvacuationOutcome
from .evacuations import Evacuations
from .evacuations import EvacuationState
from .follow_protocol import Enroll
from .follow_protocol import Withdraw
from .ledgers import Ledger
from .ledgers import LedgerState
from .memberships import Reconfigure
from .messages import LogEntry
from .quarantines import Lift
from .quarantines import Lifted
from .quarantines import Quarantine
from .quarantines import QuarantineBatch
from .quarantines import QuarantineState
from .quarantines import Rulings
from .trees import Answer
from .trees import Change
from .trees import Refusal
from .trees import Tree
from .trees import TreeState

Outcome = Answer | ClaimAnswers | Rulings | Lifted | EvacuationOutcome | None


class MachineState(msgspec.Struct, frozen=True):
    """Hold the whole replicated state as stored in snapshots.

    New fields need a default, so that older snapshots can be loaded.
    """

    applied: int = 0
    tree: TreeState = TreeState()
    entries: list[str] = []
    ledger: LedgerState = LedgerState()
    quarantine: QuarantineState = QuarantineState()
    evacuations: EvacuationState = EvacuationState()


class StateMachine:
    """Hold the replicated state, which depends on the log only."""

    __slots__ = (
        "_applied",
        "_entries",
        "_evacuations",
        "_ledger",
        "_quarantine",
        "_tree",
    )

    def __init__(self) -> None:
        self._tree = Tree()
        self._entries: set[str] = set()
        self._ledger = Ledger()
        self._quarantine = Quarantine()
        self._evacuations = Evacuations()
        self._applied = 0

    @property
    def tree(self) -> Tree:
        """Return the configuration tree."""
        return self._tree

    @property
    def entries(self) -> set[str]:
        """Return the enrolled entries, which may route by the tree."""
        return self._entries

    @property
    def ledger(self) -> Ledger:
        """Return the ledger of claims on idempotency keys."""
        return self._ledger

    @property
    def quarantine(self) -> Quarantine:
        """Return the cases of requests that may crash endpoints."""
        return self._quarantine

    @property
    def evacuations(self) -> Evacuations:
        """Return the evacuated availability zones."""
        return self._evacuations

    @property
    def applied(self) -> int:
        """Return the index of the last entry applied."""
        return self._applied

    def apply(self, entry: LogEntry) -> Outcome:
        """Apply the next entry and return its outcome."""
        self._applied = entry.index
        return self._apply(entry.command, entry.index)

    def snapshot(self) -> MachineState:
        """Return the state after the last entry applied."""
        return MachineState(
            applied=self._applied,
            tree=self._tree.snapshot(),
            entries=sorted(self._entries),
            ledger=self._ledger.snapshot(),
            quarantine=self._quarantine.snapshot(),
            evacuations=self._evacuations.snapshot(),
        )

    def restore(self, state: MachineState) -> None:
        """Replace the state by that of a snapshot."""
        self._applied = state.applied
        self._tree.restore(state.tree)
        self._entries = set(state.entries)
        self._ledger.restore(state.ledger)
        self._quarantine.restore(state.quarantine)
        self._evacuations.restore(state.evacuations)

    @singledispatchmethod
    def _apply(self, command: object, index: int) -> Outcome:
        raise TypeError(f"unknown command: {command!r}")

    @_apply.register
    def _(self, command: NoOp, index: int) -> Outcome:
        return None

    @_apply.register
    def _(self, command: Change, index: int) -> Outcome:
        return self._tree.apply(index, command)

    @_apply.register
    def _(self, command: Refusal, index: int) -> Outcome:
        self._tree.record_refusal(index, command)
        return None

    @_apply.register
    def _(self, command: Reconfigure, index: int) -> Outcome:
        self._tree.add_audit_record(
            index, command.operator, command.detail, command.at_unix_s
        )
        return None

    @_apply.register
    def _(self, command: ClaimBatch, index: int) -> Outcome:
        return self._ledger.apply(command)

    @_apply.register
    def _(self, command: QuarantineBatch, index: int) -> Outcome:
        return self._quarantine.apply(index, command)

    @_apply.register
    def _(self, command: Lift, index: int) -> Outcome:
        lifted = self._quarantine.lift(index, command)
        if lifted.found:
            detail = f"quarantine lifted: {command.fingerprint}"
            self._tree.add_audit_record(
                index,
                command.operator,
                f"{detail} of {command.service}",
                command.at_unix_s,
            )
        return lifted

    @_apply.register
    def _(self, command: EvacuationOrder, index: int) -> Outcome:
        outcome = self._evacuations.apply(index, command)
        if outcome.changed:
            self._tree.add_audit_record(
                index,
                command.operator,
                command.describe(),
                command.at_unix_s,
            )
        return outcome

    @_apply.register
    def _(self, command: Enroll, index: int) -> Outcome:
        self._entries.add(command.entry)
        return None

    @_apply.register
    def _(self, command: Withdraw, index: int) -> Outcome:
        self._entries.discard(command.entry)
        return None
