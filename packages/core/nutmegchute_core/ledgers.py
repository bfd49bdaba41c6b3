"""Run a request with an idempotency key at most once.

An entry sends such a request only once its claim on the key is committed
to the replicated log; every later claim on the key gets its outcome.
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

# While the ledger has room, keys are kept for up to MAX_KEPT_S; a full one
# evicts those older than MIN_KEPT_S.
MIN_KEPT_S = 900.0
MAX_KEPT_S = 86_400.0
MAX_RECORDS = 200_000

_FIRST = ClaimAnswer(FIRST)
_FULL = ClaimAnswer(FULL)
_MISMATCH = ClaimAnswer(MISMATCH)


class Record(msgspec.Struct, array_like=True, gc=False):
    """Hold the claim on one key and its outcome."""

    digest: bytes
    fingerprint: bytes
    token: int
    claimed_at: float
    outcome: str = OPEN
    status: int = 0


class LedgerState(msgspec.Struct, frozen=True):
    """Hold the ledger as it is stored in snapshots, oldest record first."""

    time_s: float = 0.0
    records: list[Record] = []


class Ledger:
    """Apply batches in log order, so that all replicas hold the same ledger.

    ``max_records`` bounds the number of keys.
    """

    __slots__ = ("_max_records", "_records", "_time_s")

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._records: OrderedDict[bytes, Record] = OrderedDict()
        self._time_s = 0.0
        self._max_records = max_records

    def __len__(self) -> int:
        """Return the number of keys in the ledger."""
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
        """Return the ledger's state; encode it before the next batch.

        The state shares its records, which later settlements change.
        """
        return LedgerState(self._time_s, list(self._records.values()))

    def restore(self, state: LedgerState) -> None:
        """Replace the ledger by a snapshot's."""
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
        if len(self._records) < self._max_records:
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
                # Evicting a key early could let its request run twice;
                # a new request refused before it is sent is only delayed.
                return _FULL
            self._add_record(claim, OPEN)
            return _FIRST
        if record.token == claim.token:
            # Resent after a lost reply, or delivered after the entry gave it
            # up; only while the claim is open may its request be sent.
            if record.outcome == OPEN:
                return _FIRST
            return ClaimAnswer(record.outcome, record.status)
        if record.outcome == NOT_RUN:
            self._add_record(claim, OPEN)
            return _FIRST
        if record.fingerprint != claim.fingerprint:
            return _MISMATCH
        return ClaimAnswer(record.outcome, record.status)

    def _settle(self, settlement: Settlement) -> None:
        claim = settlement.claim
        record = self._records.get(claim.digest)
        if record is None:
            if settlement.outcome == NOT_RUN and self._has_room():
                # The entry gave up on a claim that may still be in flight:
                # recorded later as open, it would block the key for a
                # request that is never sent.
                self._add_record(claim, NOT_RUN)
            return
        if record.token != claim.token or record.outcome != OPEN:
            return
        record.outcome = settlement.outcome
        record.status = settlement.status

    def _add_record(self, claim: Claim, outcome: str) -> None:
        self._records[claim.digest] = Record(
            digest=claim.digest,
            fingerprint=claim.fingerprint,
            token=claim.token,
            claimed_at=self._time_s,
            outcome=outcome,
        )
        self._records.move_to_end(claim.digest)
