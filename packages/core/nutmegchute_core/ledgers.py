"""Let a request that must not be repeated run at most once.

A claim is in the replicated log before its request is sent; any entry
that meets the key again learns what became of it.
"""

from collections import OrderedDict

import msgspec

from .claims import Claim
from .claims import ClaimAnswer
from .claims import ClaimAnswers
from .claims import ClaimBatch
from .claims import FIRST
from .claims import FULL
from .claims import MISMATCH
from .claims import NOT_RUN
from .claims import OPEN
from .claims import Settlement

# A key is kept KEPT_S at least, and as much longer as there is room.
MIN_KEPT_S = 900.0
MAX_KEPT_S = 86_400.0
MAX_RECORDS = 200_000

_FIRST = ClaimAnswer(FIRST)
_FULL = ClaimAnswer(FULL)
_MISMATCH = ClaimAnswer(MISMATCH)


class Record(msgspec.Struct, array_like=True, gc=False):
    """Hold what is known of one key."""

    digest: bytes
    fingerprint: bytes
    token: int
    claimed_at: float
    outcome: str = OPEN
    status: int = 0


class LedgerState(msgspec.Struct, frozen=True):
    """Hold the ledger in the form that snapshots keep, oldest first."""

    time_s: float = 0.0
    records: list[Record] = []


class Ledger:
    """Apply batches in log order; every replica reaches the same ledger."""

    __slots__ = ("_most", "_records", "_time_s")

    def __init__(self, most: int = MAX_RECORDS) -> None:
        self._records: OrderedDict[bytes, Record] = OrderedDict()
        self._time_s = 0.0
        self._most = most

    def __len__(self) -> int:
        """Count the keys held."""
        return len(self._records)

    def apply(self, batch: ClaimBatch) -> ClaimAnswers:
        """Apply a committed batch and answer its claims."""
        self._time_s += max(0.0, batch.elapsed_s)
        self._expire()
        for settlement in batch.request.settlements:
            self._settle(settlement)
        answers = [self._claim(claim) for claim in batch.request.claims]
        return ClaimAnswers(answers)

    def snapshot(self) -> LedgerState:
        """Give the whole ledger; encode it before the next batch."""
        return LedgerState(self._time_s, list(self._records.values()))

    def restore(self, state: LedgerState) -> None:
        """Take a snapshot's ledger in place of the present one."""
        self._time_s = state.time_s
        self._records = OrderedDict()
        for record in state.records:
            self._records[record.digest] = record

    def _expire(self) -> None:
        while self._records:
            digest, record = next(iter(self._records.items()))
            if self._time_s - record.claimed_at <= MAX_KEPT_S:
                return
            del self._records[digest]

    def _has_room(self) -> bool:
        if len(self._records) < self._most:
            return True
        digest, record = next(iter(self._records.items()))
        if self._time_s - record.claimed_at <= MIN_KEPT_S:
            return False
        del self._records[digest]
        return True

    def _claim(self, claim: Claim) -> ClaimAnswer:
        record = self._records.get(claim.digest)
        if record is None:
            if not self._has_room():
                # Forgetting a key early would let its request run twice;
                # refusing a new one before it is sent costs only time.
                return _FULL
            self._put(claim, OPEN)
            return _FIRST
        if record.token == claim.token:
            # Sent again after a lost reply, or late after the entry gave
            # it up; only an open claim may still lead to a send.
            if record.outcome == OPEN:
                return _FIRST
            return ClaimAnswer(record.outcome, record.status)
        if record.outcome == NOT_RUN:
            self._put(claim, OPEN)
            return _FIRST
        if record.fingerprint != claim.fingerprint:
            return _MISMATCH
        return ClaimAnswer(record.outcome, record.status)

    def _settle(self, settlement: Settlement) -> None:
        claim = settlement.claim
        record = self._records.get(claim.digest)
        if record is None:
            if settlement.outcome == NOT_RUN and self._has_room():
                # The entry gave up waiting for the claim, which may still
                # be under way: taken later, it would hold the key for a
                # request that nobody sends.
                self._put(claim, NOT_RUN)
            return
        if record.token != claim.token or record.outcome != OPEN:
            return
        record.outcome = settlement.outcome
        record.status = settlement.status

    def _put(self, claim: Claim, outcome: str) -> None:
        self._records[claim.digest] = Record(
            digest=claim.digest,
            fingerprint=claim.fingerprint,
            token=claim.token,
            claimed_at=self._time_s,
            outcome=outcome,
        )
        self._records.move_to_end(claim.digest)
