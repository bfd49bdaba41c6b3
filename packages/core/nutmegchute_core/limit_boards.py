"""Keep the newest rate limits that endpoints named, and their order.

An endpoint in need names in its answers how many calls a second it takes from
all entries together. Entries and control replicas tell one another of limits
that appeared, changed or ended. No message has a timestamp: each report has
the age of the answer that it is based on.
"""

import msgspec

from .members import ProcessKey
from .mirrors import Watermark

# Answers to different entries whose ages differ by less cannot be ordered, as
# messages take time; the stricter limit then holds until the next answer.
AGE_MARGIN_S = 0.05
# Smaller changes of a limit, as a share of it, are not worth a message.
CHANGE_SHARE = 0.1
# How long the end of a limit is kept, so that late reports of the limit are
# recognized as older.
ENDED_TTL_S = 60.0
# How long a limit is kept without a newer report. Entries drop the limits of
# processes that are gone; control does not know them.
LIMIT_TTL_S = 3600.0
MAX_RECORDS = 4096


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Report the rate limit that an endpoint's process named.

    ``per_s`` is the number of calls a second from all entries together,
    None if the process named none; ``age_s`` is the age of that answer.
    """

    endpoint: str
    instance: str
    incarnation: int
    per_s: float | None
    age_s: float

    @property
    def process_key(self) -> ProcessKey:
        """Return address, instance and incarnation."""
        return (self.endpoint, self.instance, self.incarnation)


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Carry the limits that changed on a board up to its ``watermark``."""

    watermark: Watermark
    reports: list[LimitReport]


class LimitReports(msgspec.Struct, frozen=True, array_like=True):
    """Carry the changed limits that an entry learned from answers."""

    reports: list[LimitReport]


class LimitRecord:
    """Hold the newest limit of one process."""

    __slots__ = ("generation", "is_own", "observed_at", "per_s")

    def __init__(
        self,
        per_s: float | None,
        observed_at: float,
        generation: int,
        is_own: bool,
    ) -> None:
        self.per_s = per_s
        self.observed_at = observed_at
        # Generation of the board that changed this record.
        self.generation = generation
        # Whether it was reported to this board first, not by another board.
        self.is_own = is_own


class LimitBoard:
    """Hold the newest limit of each process.

    ``epoch`` must differ at every start of the process that holds the board.
    """

    __slots__ = ("_epoch", "_generation", "_own_generation", "_records")

    def __init__(self, epoch: int = 0) -> None:
        self._epoch = epoch
        self._generation = 1
        self._own_generation = 1
        self._records: dict[ProcessKey, LimitRecord] = {}

    @property
    def watermark(self) -> Watermark:
        """Return the epoch and the generation of the last change."""
        return self._epoch, self._generation

    @property
    def own_watermark(self) -> Watermark:
        """Return the epoch and the generation of the last own change."""
        return self._epoch, self._own_generation

    def __bool__(self) -> bool:
        """Return whether any process is known to have named a limit."""
        return bool(self._records)

    def find(self, key: ProcessKey) -> LimitRecord | None:
        """Return the record of a process, if it ever named a limit."""
        return self._records.get(key)

    def record(
        self,
        key: ProcessKey,
        per_s: float | None,
        observed_at: float,
        is_own: bool,
    ) -> bool:
        """Record what an answer named; return whether it is a change."""
        known = self._records.get(key)
        if known is None:
            if per_s is None:
                return False
            self._drop_oldest()
            self._generation += 1
            self._records[key] = LimitRecord(
                per_s, observed_at, self._generation, is_own
            )
            self._mark_own(is_own)
            return True
        later_s = observed_at - known.observed_at
        if later_s < -AGE_MARGIN_S:
            return False
        if _is_same(known.per_s, per_s):
            known.observed_at = max(known.observed_at, observed_at)
            return False
        if later_s <= AGE_MARGIN_S and not _is_stricter(per_s, known.per_s):
            return False
        self._generation += 1
        known.per_s = per_s
        known.observed_at = max(known.observed_at, observed_at)
        known.generation = self._generation
        known.is_own = is_own
        self._mark_own(is_own)
        return True

    def apply(
        self, reports: list[LimitReport], now: float, is_own: bool
    ) -> list[LimitReport]:
        """Record reports; return those that are a change."""
        changed = []
        for report in reports:
            observed_at = now - max(0.0, report.age_s)
            if self.record(
                report.process_key, report.per_s, observed_at, is_own
            ):
                changed.append(report)
        return changed

    def since(
        self, known: Watermark, now: float, own_only: bool = False
    ) -> LimitUpdate | None:
        """Return what changed after a watermark, None if nothing did."""
        watermark = self.own_watermark if own_only else self.watermark
        if known == watermark:
            return None
        generation = known[1] if known[0] == self._epoch else 0
        reports = []
        for key, record in self._records.items():
            if record.generation <= generation:
                continue
            if own_only and not record.is_own:
                continue
            age_s = now - record.observed_at
            reports.append(LimitReport(*key, record.per_s, age_s))
        return LimitUpdate(watermark, reports)

    def expire(self, now: float) -> None:
        """Drop records without a report for so long that none may follow."""
        for key, record in list(self._records.items()):
            ttl_s = ENDED_TTL_S if record.per_s is None else LIMIT_TTL_S
            if now - record.observed_at > ttl_s:
                del self._records[key]

    def _mark_own(self, is_own: bool) -> None:
        if is_own:
            self._own_generation = self._generation

    def _drop_oldest(self) -> None:
        if len(self._records) < MAX_RECORDS:
            return
        oldest = min(
            self._records, key=lambda key: self._records[key].observed_at
        )
        del self._records[oldest]


def _is_same(known: float | None, per_s: float | None) -> bool:
    if known is None or per_s is None:
        return known is per_s
    return abs(per_s - known) <= CHANGE_SHARE * known


def _is_stricter(per_s: float | None, known: float | None) -> bool:
    if per_s is None:
        return False
    return known is None or per_s < known
