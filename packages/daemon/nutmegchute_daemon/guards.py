"""Bound what the clients of a process hold, over all its listeners."""

import contextlib
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterable

from nutmegchute_core.holdings import DEFAULT_MEMORY_BYTES
from nutmegchute_core.holdings import find_bound
from nutmegchute_core.holdings import find_slowest
from nutmegchute_core.holdings import GRANTED
from nutmegchute_core.holdings import Holding
from nutmegchute_core.holdings import Holdings
from nutmegchute_core.holdings import REFUSED
from nutmegchute_core.holdings import SHORT_OF_MEMORY
from nutmegchute_core.holdings import SHORT_OF_THREADS
from nutmegchute_core.holdings import TOO_SLOW

from .errors import DaemonError
from .events import Event
from .events import log

# How long a request waits for memory that another one is about to return.
MAX_WAIT_S = 1.0
LOG_INTERVAL_S = 10.0
# A client that sends or reads less than PROGRESS_BYTES meanwhile is too slow.
MAX_STALL_S = 10.0


class OverloadError(DaemonError):
    """Report that a request would hold more than the process has."""


class Client(Holding):
    """Hold what a client's connection occupies, and end it if need be."""

    __slots__ = ("_socket", "head_until", "is_writing")

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(time.monotonic())
        self._socket = sock
        # When the head of the request must have arrived, None once it has.
        self.head_until: float | None = None
        # Whether the wait is for the client to read an answer.
        self.is_writing = False

    def check(self) -> None:
        """Raise TimeoutError if the client is too slow or is being ended."""
        if self.ended or self.is_late(time.monotonic()):
            # The library answers 408 to this text.
            raise TimeoutError("timed out")

    def is_late(self, now: float) -> bool:
        """Return whether the client sends or reads too slowly."""
        if self.head_until is not None and now >= self.head_until:
            return True
        return self.stalled_s(now) > MAX_STALL_S

    def end(self, reason: str) -> None:
        """Wake the thread that waits for this client."""
        self.ended = reason
        # A refusal can still be written unless an answer is being written.
        how = socket.SHUT_RDWR if self.is_writing else socket.SHUT_RD
        with contextlib.suppress(OSError):
            self._socket.shutdown(how)


class Guard:
    """Account for the memory of requests; use from any thread."""

    __slots__ = (
        "_changed",
        "_ended",
        "_holdings",
        "_logged_at",
        "_unlogged",
    )

    def __init__(self, memory_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self._holdings = Holdings(find_bound(memory_bytes))
        self._changed = threading.Condition()
        # Requests that were refused or ended, by reason.
        self._ended: Counter[str] = Counter()
        self._unlogged: Counter[str] = Counter()
        self._logged_at = -LOG_INTERVAL_S

    def set_memory(self, memory_bytes: int) -> None:
        """Set the memory that the process may use, in bytes."""
        with self._changed:
            self._holdings.set_bound(find_bound(memory_bytes))

    @property
    def held_bytes(self) -> int:
        """Return what all requests hold, in bytes."""
        return self._holdings.held_bytes

    @property
    def bound_bytes(self) -> int:
        """Return the most that all requests may hold, in bytes."""
        return self._holdings.bound_bytes

    def pop_ended(self) -> Counter[str]:
        """Return and reset the count of requests ended, by reason."""
        with self._changed:
            ended, self._ended = self._ended, Counter()
        return ended

    def fits(self, client: Holding, size: int) -> bool:
        """Return whether a request could ever hold more bytes."""
        return client.held_bytes + size <= self._holdings.largest_bytes

    def hold(self, client: Holding, size: int) -> None:
        """Let a request hold more bytes.

        If they are used up, a request without progress is ended for it.

        :raises OverloadError: it must be refused
        """
        deadline = time.monotonic() + MAX_WAIT_S
        with self._changed:
            while True:
                now = time.monotonic()
                verdict, worst = self._holdings.grow(client, size, now)
                if verdict == GRANTED:
                    return
                if isinstance(worst, Client):
                    self._end(worst, SHORT_OF_MEMORY)
                if verdict == REFUSED or now >= deadline:
                    self._record(SHORT_OF_MEMORY)
                    raise OverloadError(SHORT_OF_MEMORY)
                self._changed.wait(deadline - now)

    def release(self, client: Holding) -> None:
        """Return all that a request held."""
        if not client.held_bytes:
            return
        with self._changed:
            self._holdings.release(client)
            self._changed.notify_all()

    def end_slowest(self, clients: Iterable[Holding]) -> bool:
        """End the request without progress for the longest, if any."""
        with self._changed:
            slowest = find_slowest(clients, time.monotonic())
            if not isinstance(slowest, Client):
                return False
            self._end(slowest, SHORT_OF_THREADS)
            return True

    def end_late(self, clients: Iterable[Client]) -> None:
        """End the requests whose clients are too slow."""
        now = time.monotonic()
        for client in clients:
            if client.ended or not client.is_late(now):
                continue
            with self._changed:
                self._end(client, TOO_SLOW)

    def record(self, reason: str) -> None:
        """Count a connection that was refused or closed for others."""
        with self._changed:
            self._record(reason)

    def report(self) -> None:
        """Log what was refused or ended since the last line."""
        with self._changed:
            self._log()

    def _end(self, client: Client, reason: str) -> None:
        client.end(reason)
        self._record(reason)

    def _record(self, reason: str) -> None:
        self._ended[reason] += 1
        self._unlogged[reason] += 1
        self._log()

    def _log(self) -> None:
        now = time.monotonic()
        if not self._unlogged or now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        log(
            Event.CLIENTS_ENDED,
            "warning",
            reasons=dict(self._unlogged),
            held_bytes=self.held_bytes,
            held_bytes_bound=self.bound_bytes,
        )
        self._unlogged.clear()
