"""Write log lines on a separate thread, so that logging never blocks."""

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

# Lines queued while the log's reader does not read: a few seconds of a busy
# process, under a megabyte.
MAX_QUEUED_LINES = 2000
# Further lines in a second are dropped and counted. The line of a call costs
# some 50 us to render.
MAX_LINES_PER_S = 400
# Collects lines for this long, so that one write takes several.
BATCH_DELAY_S = 0.05
CLOSE_TIMEOUT_S = 0.5
# Keeps a write to some kilobytes, which a collector reads from a pipe.
LINES_PER_WRITE = 8
# Delays the first lines: rendering them imports a library, and a starting
# daemon should serve first.
INITIAL_DELAY_S = 1.0

T = TypeVar("T")


class LineSink(Generic[T]):
    """Write records to a file descriptor on a thread.

    The thread calls ``build_renderer`` once and renders each record as a
    line with the function that this returns.

    On the event loop, a full disk, a closed pipe or a reader that stopped
    would block the loop or raise in the middle of a decision. Lines that
    cannot be queued or written are counted.
    """

    def __init__(
        self,
        descriptor: int,
        build_renderer: Callable[[], Callable[[T], str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._build_renderer = build_renderer
        self._clock = clock
        self._records: deque[T] = deque()
        self._closing = threading.Event()
        self._ready = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._lock = threading.Lock()
        self._lost = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._thread = threading.Thread(
            target=self._write_records, name="log", daemon=True
        )
        self._thread.start()

    def put(self, record: T) -> None:
        """Queue a record, or count it as lost if a limit is reached."""
        second = int(self._clock())
        with self._lock:
            if second != self._current_second:
                self._current_second = second
                self._lines_in_second = 0
            self._lines_in_second += 1
            over_limit = self._lines_in_second > MAX_LINES_PER_S
            if over_limit or len(self._records) >= MAX_QUEUED_LINES:
                self._lost += 1
                return
            self._records.append(record)
            self._idle.clear()
        self._ready.set()

    def pop_lost_count(self) -> int:
        """Return how many lines were lost since the last call."""
        with self._lock:
            lost, self._lost = self._lost, 0
        return lost

    def close(self) -> None:
        """Wait for queued lines to be written, at most CLOSE_TIMEOUT_S."""
        self._closing.set()
        self._idle.wait(CLOSE_TIMEOUT_S)

    def _write_records(self) -> None:
        self._ready.wait()
        self._closing.wait(INITIAL_DELAY_S)
        render = self._build_renderer()
        while True:
            self._ready.wait()
            self._closing.wait(BATCH_DELAY_S)
            self._ready.clear()
            with self._lock:
                records = list(self._records)
                self._records.clear()
            self._write_lines(render, records)
            with self._lock:
                if not self._records:
                    self._idle.set()

    def _write_lines(
        self, render: Callable[[T], str], records: list[T]
    ) -> None:
        lines = []
        lost = 0
        for record in records:
            try:
                lines.append(render(record))
            except (TypeError, ValueError, RuntimeError):
                # A field that cannot be rendered, or that changes meanwhile,
                # must not end the thread: all later lines would be lost.
                lost += 1
        for start in range(0, len(lines), LINES_PER_WRITE):
            batch = lines[start : start + LINES_PER_WRITE]
            data = "".join(f"{line}\n" for line in batch).encode()
            if not self._write(data):
                lost += len(batch)
        with self._lock:
            self._lost += lost

    def _write(self, data: bytes) -> bool:
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The error cannot be logged now. The number of lost lines is
            # logged once the descriptor can be written again.
            return False
        return True
