"""Write log lines without ever making the writer of a line wait."""

import os
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

# What is kept while the reader of the log does not read: some seconds of a
# busy process, under a megabyte.
KEPT_LINES = 2000
# Lines a second, whatever the load; a second's line about a call costs some
# 50 us to render. Beyond, lines are dropped and counted.
LINES_PER_S = 400
# Lines that come while one write is under way leave together with the next.
GATHER_S = 0.05
CLOSE_S = 0.5
# A collector that reads a pipe gets a few lines at a time, some kilobytes.
WRITE_LINES = 8
# The first lines wait so long: rendering them loads a library, and a daemon
# that starts should serve first.
FIRST_S = 1.0

T = TypeVar("T")


class LineSink(Generic[T]):
    """Hand records to a thread that writes them to a file descriptor.

    ``build`` gives what renders a record's line; the thread calls both.

    A full disk, a closed pipe or a reader that stopped would otherwise
    hold or end the loop in the middle of a decision. Lines that cannot be
    kept or written are counted.
    """

    def __init__(
        self,
        descriptor: int,
        build: Callable[[], Callable[[T], str]],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._descriptor = descriptor
        self._build = build
        self._clock = clock
        self._records: deque[T] = deque()
        self._closing = threading.Event()
        self._ready = threading.Event()
        self._idle = threading.Event()
        self._idle.set()
        self._lock = threading.Lock()
        self._lost = 0
        self._second = 0
        self._in_second = 0
        self._thread = threading.Thread(
            target=self._run, name="log", daemon=True
        )
        self._thread.start()

    def put(self, record: T) -> None:
        """Take a record."""
        second = int(self._clock())
        with self._lock:
            if second != self._second:
                self._second = second
                self._in_second = 0
            self._in_second += 1
            over = self._in_second > LINES_PER_S
            if over or len(self._records) >= KEPT_LINES:
                self._lost += 1
                return
            self._records.append(record)
            self._idle.clear()
        self._ready.set()

    def take_lost(self) -> int:
        """Return how many lines were lost since the last question."""
        with self._lock:
            lost, self._lost = self._lost, 0
        return lost

    def close(self) -> None:
        """Wait a moment for what is still to be written."""
        self._closing.set()
        self._idle.wait(CLOSE_S)

    def _run(self) -> None:
        self._ready.wait()
        self._closing.wait(FIRST_S)
        render = self._build()
        while True:
            self._ready.wait()
            self._closing.wait(GATHER_S)
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
                # A field that cannot be rendered, or that changed meanwhile,
                # must not end the thread: every later line would be lost.
                lost += 1
        for start in range(0, len(lines), WRITE_LINES):
            piece = lines[start : start + WRITE_LINES]
            data = "".join(f"{line}\n" for line in piece).encode()
            if not self._write(data):
                lost += len(piece)
        with self._lock:
            self._lost += lost

    def _write(self, data: bytes) -> bool:
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # Nowhere is left to say so; the count is logged once the
            # descriptor takes lines again.
            return False
        return True
