"""Generate load from one asyncio thread, to add little to the latencies.

A load generator with many threads contends for its own interpreter lock: at
300 calls per second this added over 3 ms to the p99 of a fake upstream that
was called without an entry.
"""

import asyncio
import time

from hdrh.histogram import HdrHistogram

MAX_US = 60_000_000


class Connection:
    """Send requests on one persistent connection."""

    __slots__ = ("_address", "_reader", "_writer")

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def exchange(self, request: bytes) -> int:
        """Send a request, read the whole answer and return its status."""
        if self._writer is None:
            host, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                host, int(port)
            )
        assert self._reader is not None
        self._writer.write(request)
        head = await self._reader.readuntil(b"\r\n\r\n")
        fields = _read_fields(head)
        if "content-length" in fields:
            await self._reader.readexactly(int(fields["content-length"]))
        else:
            await self._read_chunks(self._reader)
        if fields.get("connection") == "close":
            self.close()
        return int(head[9:12])

    def close(self) -> None:
        """Close the connection; the next exchange opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _read_chunks(self, reader: asyncio.StreamReader) -> None:
        while True:
            size = int(await reader.readline(), 16)
            await reader.readexactly(size + 2)
            if size == 0:
                return


class LoadGenerator:
    """Send calls to several addresses and record their latencies."""

    __slots__ = ("_failed", "_histogram", "_idle", "_request", "_turn")

    def __init__(
        self, addresses: list[str], request: bytes, connections: int
    ) -> None:
        self._request = request
        self._histogram = HdrHistogram(1, MAX_US, 3)
        self._failed = 0
        self._idle: list[Connection] = []
        self._turn = 0
        for number in range(connections):
            address = addresses[number % len(addresses)]
            self._idle.append(Connection(address))

    @property
    def failed(self) -> int:
        """Return the number of calls not answered with 200."""
        return self._failed

    def percentile_ms(self, percent: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        value = self._histogram.get_value_at_percentile(percent)
        return float(value) / 1000

    def reset(self) -> None:
        """Discard the latencies and failures recorded so far."""
        self._histogram.reset()
        self._failed = 0

    def close(self) -> None:
        """Close every connection."""
        for connection in self._idle:
            connection.close()

    async def offer(self, rate: int, seconds: float) -> None:
        """Send calls at a fixed rate, however long the answers take.

        The latency includes the wait for a free connection, but not the
        lateness of this loop's timer, up to 1 ms.
        """
        start = time.perf_counter()
        free = asyncio.Semaphore(len(self._idle))
        tasks = []
        for number in range(int(rate * seconds)):
            due = start + number / rate
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            task = self._send(time.perf_counter(), free)
            tasks.append(asyncio.ensure_future(task))
        await asyncio.gather(*tasks)

    async def run_closed_loop(self, seconds: float) -> float:
        """Send the next call after each answer; return answers per second."""
        end = time.perf_counter() + seconds
        counts = await asyncio.gather(
            *[
                self._run_closed_loop(connection, end)
                for connection in self._idle
            ]
        )
        return float(sum(counts) / seconds)

    async def _send(self, offered_at: float, free: asyncio.Semaphore) -> None:
        async with free:
            connection = self._idle.pop(0)
            await self._exchange(connection, offered_at)
            self._idle.append(connection)

    async def _run_closed_loop(
        self, connection: Connection, end: float
    ) -> int:
        answered = 0
        while time.perf_counter() < end:
            failed = self._failed
            await self._exchange(connection, time.perf_counter())
            answered += 1 - (self._failed - failed)
        return answered

    async def _exchange(self, connection: Connection, started: float) -> None:
        try:
            status = await connection.exchange(self._request)
        except (OSError, EOFError):
            connection.close()
            status = 0
        if status != 200:
            self._failed += 1
            return
        micros = int((time.perf_counter() - started) * 1_000_000)
        self._histogram.record_value(max(1, micros))


def build_request(path: str, method: str = "GET", body: bytes = b"") -> bytes:
    """Build the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: bench\r\n"
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _read_fields(head: bytes) -> dict[str, str]:
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip().lower()
    return fields
