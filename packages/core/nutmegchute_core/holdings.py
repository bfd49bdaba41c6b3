"""Bound what requests hold, and choose which of them is ended.

The load is that of clients that send many long requests at once and stop
short of their end. Each holds memory and perhaps a worker thread until it
ends, while most requests are short and hold little for a moment.
"""

from collections.abc import Iterable

# The memory of the smallest vm, and the least that can be set.
DEFAULT_MEMORY_BYTES = 200000000
MIN_MEMORY_BYTES = 64000000
# Used by a process without requests, its threads and the kernel's buffers.
BASE_BYTES = 56000000
# Bodies are copied once, when their pieces are joined.
COPIES = 2
# Memory of a value of a decoded document, its place in a list or a
# dictionary included.
VALUE_BYTES = 112
# Of the bytes of a process, a part that only small requests may use.
SMALL_SHARE = 1 / 16
# What a request may hold and still count as small.
SMALL_BYTES = 65536
# A request makes progress when so many bytes more have arrived or left.
PROGRESS_BYTES = 4096
# A thread that has waited for a client for so long may wait longer.
KEPT_WAITING_S = 0.1
# A request without progress for this long may be ended in favour of others.
STALL_S = 1.0

# Verdicts on a request for more bytes.
GRANTED = "granted"
WAIT = "wait"
REFUSED = "refused"

# Why a request is ended.
SHORT_OF_MEMORY = "short of memory"
SHORT_OF_THREADS = "short of threads"
SHORT_OF_FILES = "short of open files"
TOO_SLOW = "too slow"
STOPPING = "stopping"


def find_bound(memory_bytes: int) -> int:
    """Return what requests may hold of a process's memory, in bytes."""
    return (memory_bytes - BASE_BYTES) // COPIES


def estimate_decoded(document: bytes) -> int:
    """Return what a JSON document holds once decoded, in bytes.

    An empty list takes three bytes in the document and twenty times as many
    in memory.
    """
    values = sum(document.count(one) for one in (b"[", b"{", b","))
    return values * VALUE_BYTES // COPIES


class Holding:
    """Hold what one request occupies.

    ``waits_since`` is when a thread began to wait for its client, None while
    none does. ``is_long`` is whether its body is long. ``ended`` is why the
    request is being ended, empty while it is not.
    """

    __slots__ = (
        "_moved",
        "_progress_at",
        "_stopped_at",
        "ended",
        "held_bytes",
        "is_long",
        "waits_since",
    )

    def __init__(self, now: float) -> None:
        self.held_bytes = 0
        self.ended = ""
        self.restart(now)

    def restart(self, now: float) -> None:
        """Begin the next request."""
        self._moved = 0
        self._progress_at = now
        self._stopped_at = now
        self.waits_since: float | None = None
        self.is_long = False

    def begin_wait(self, now: float) -> None:
        """Record that a thread waits for the client."""
        # Only waits count as time without progress.
        self._progress_at += now - self._stopped_at
        self.waits_since = now

    def end_wait(self, size: int, now: float) -> None:
        """Record that a wait has ended and that bytes have moved."""
        self.waits_since = None
        self._stopped_at = now
        self._moved += size
        if self._moved >= PROGRESS_BYTES:
            self._moved = 0
            self._progress_at = now

    def stalled_s(self, now: float) -> float:
        """Return how long the client made no progress, in seconds."""
        if self.waits_since is None:
            return self._stopped_at - self._progress_at
        return now - self._progress_at

    def is_kept_waiting(self, now: float) -> bool:
        """Return whether a thread has waited for the client for a while."""
        since = self.waits_since
        return since is not None and now - since >= KEPT_WAITING_S

    def is_slow(self, now: float) -> bool:
        """Return whether the request may occupy its thread for long."""
        return self.is_long or self.is_kept_waiting(now)


class Holdings:
    """Account for the bytes that all requests of a process hold."""

    __slots__ = ("_bound_bytes", "_ending", "_held_bytes", "_holders")

    def __init__(self, bound_bytes: int) -> None:
        self._bound_bytes = bound_bytes
        self._held_bytes = 0
        self._holders: set[Holding] = set()
        # Those that are being ended in favour of others.
        self._ending: set[Holding] = set()

    @property
    def bound_bytes(self) -> int:
        """Return the most that all requests may hold, in bytes."""
        return self._bound_bytes

    @property
    def held_bytes(self) -> int:
        """Return what all requests hold, in bytes."""
        return self._held_bytes

    def set_bound(self, bound_bytes: int) -> None:
        """Change the bound; what is held beyond it stays."""
        self._bound_bytes = bound_bytes

    @property
    def largest_bytes(self) -> int:
        """Return the most that a single request may hold, in bytes."""
        return self._bound_for(self._bound_bytes)

    def grow(
        self, holding: Holding, size: int, now: float
    ) -> tuple[str, Holding | None]:
        """Decide whether a request may hold more bytes.

        With WAIT comes the request to end in its favour, or none if enough
        bytes are being returned already.
        """
        bound = self._bound_for(holding.held_bytes + size)
        if holding.ended or holding.held_bytes + size > bound:
            return REFUSED, None
        if self._held_bytes + size <= bound:
            self._held_bytes += size
            holding.held_bytes += size
            self._holders.add(holding)
            return GRANTED, None
        returning = sum(one.held_bytes for one in self._ending)
        if self._held_bytes - returning + size <= bound:
            return WAIT, None
        worst = self._find_worst(holding, now)
        if worst is None:
            return REFUSED, None
        worst.ended = SHORT_OF_MEMORY
        self._ending.add(worst)
        return WAIT, worst

    def release(self, holding: Holding) -> None:
        """Return all bytes of a request that has ended; idempotent."""
        if holding not in self._holders:
            return
        self._holders.discard(holding)
        self._ending.discard(holding)
        self._held_bytes -= holding.held_bytes
        holding.held_bytes = 0

    def _bound_for(self, size: int) -> int:
        if size <= SMALL_BYTES:
            return self._bound_bytes
        return self._bound_bytes - int(self._bound_bytes * SMALL_SHARE)

    def _find_worst(self, asking: Holding, now: float) -> Holding | None:
        """Return the request that holds the most for the longest in vain."""
        worst = None
        worst_cost = 0.0
        for one in self._holders:
            if one is asking or one.ended or one.waits_since is None:
                continue
            stalled_s = one.stalled_s(now)
            if stalled_s < STALL_S or one.held_bytes <= SMALL_BYTES:
                continue
            cost = one.held_bytes * stalled_s
            if cost > worst_cost:
                worst, worst_cost = one, cost
        return worst


def find_slowest(holdings: Iterable[Holding], now: float) -> Holding | None:
    """Return the request that waits without progress for the longest."""
    slowest = None
    longest_s = STALL_S
    for one in holdings:
        if one.ended or one.waits_since is None:
            continue
        stalled_s = one.stalled_s(now)
        if stalled_s >= longest_s:
            slowest, longest_s = one, stalled_s
    return slowest
