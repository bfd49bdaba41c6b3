"""Bound what may be spent: extra sends by calls, probes by time."""

EXTRA_SHARE = 0.08
EXTRA_BURST = 10.0
EXTRA_START = 3.0
HEDGE_RESERVE = 2.0
# Share of what may be saved up that the retries of first tries leave. With
# every endpoint shedding 45 in 100 calls, worst two seconds (make
# bench-placing, five seeds): 0.93 of the calls in time, 0.90 without; served
# 0.986 and 0.972. At 0.8 half of the endpoints dark lose 0.04.
FIRST_TRY_RESERVE = 0.5

# Of the extra sends that a service allows beside the share, this much is
# divided among the entries; the rest covers entries that have just started.
BURST_SHARE = 0.8
# An entry that could not save up one extra send would never make any.
MIN_BURST = 1.0

# Float sums of gaps must not let one probe more into a window.
GAP_TOLERANCE = 1e-6


class ExtraBudget:
    """Bound retries and hedges to a share of recent calls.

    Hedges leave a reserve: a retry rescues a call that has failed, a
    hedge only one that may be late.
    """

    __slots__ = ("_burst", "_share", "_tokens")

    def __init__(self) -> None:
        self._share = EXTRA_SHARE
        self._burst = EXTRA_BURST
        self._tokens = EXTRA_START

    @property
    def tokens(self) -> float:
        """Give the extra sends allowed now."""
        return self._tokens

    def limit(self, share: float, burst: float) -> None:
        """Take what a call earns and the most that may be saved up."""
        self._share = share
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def earn(self) -> None:
        """Add the share that one arriving call earns."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def spend_retry(self, first_try: bool = False) -> bool:
        """Take one retry, if there is one.

        The retry of a ``first_try`` leaves a reserve: its caller can come
        back, one that has come back already perhaps not.
        """
        if not first_try:
            return self._spend(0.0)
        # Where little can be saved up, a full budget still allows one.
        share = self._burst * FIRST_TRY_RESERVE
        return self._spend(min(share, self._burst - 1.0))

    def spend_hedge(self) -> bool:
        """Take one hedge, if the reserve for retries stays whole."""
        return self._spend(HEDGE_RESERVE)

    def _spend(self, reserve: float) -> bool:
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True


class ExtraLimit:
    """Divide a service's extra sends among the entries.

    ``ratio`` of the calls and ``fixed`` sends are allowed in any window of
    ``window_s`` over all entries together. What an entry earns by its own
    calls needs no division. What it saves up does: all entries may spend
    it in the same window. ``entries`` must never be too low.
    """

    __slots__ = ("_fixed", "_ratio")

    def __init__(self, ratio: float, fixed: float) -> None:
        self._ratio = ratio
        self._fixed = fixed

    @property
    def share(self) -> float:
        """Give what one arriving call earns."""
        return self._ratio

    def burst(self, entries: int) -> float:
        """Give the most that one of so many entries may save up."""
        return max(MIN_BURST, BURST_SHARE * self._fixed / max(1, entries))


class ProbeBudget:
    """Space one entry's probes so that the service's budget holds.

    The share is the budget over the most entries configured, never over
    the entries seen: two entries that see one another differently would
    otherwise spend more than the whole. A token bucket lets its burst
    come on top of the rate within a second; a least gap does not.
    """

    __slots__ = ("_gap_s", "_next_at")

    def __init__(self, probes_per_s: float, most_entries: int) -> None:
        share = probes_per_s / most_entries
        if share >= 1.0:
            # Whole probes, so that any second holds at most the share.
            share = float(int(share))
        self._gap_s = (1.0 + GAP_TOLERANCE) / share if share > 0 else None
        self._next_at = 0.0

    @property
    def next_at(self) -> float | None:
        """Give when the next probe may go, in seconds; None is never."""
        return None if self._gap_s is None else self._next_at

    def spend(self, now: float) -> bool:
        """Take one probe, if its time has come."""
        if self._gap_s is None or now < self._next_at:
            return False
        self._next_at = now + self._gap_s
        return True

    def postpone(self, now: float) -> None:
        """Look again after a gap: there is nothing to ask now."""
        if self._gap_s is not None:
            self._next_at = now + self._gap_s

    def continue_from(self, earlier: "ProbeBudget") -> None:
        """Go on from the budget in force before, so none is spent twice."""
        if self._gap_s is None:
            return
        self._next_at = max(self._next_at, earlier._next_at)
