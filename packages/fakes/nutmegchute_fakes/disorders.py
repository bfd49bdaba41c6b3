"""Let upstreams send answers that belong to no request, or never end."""

import contextlib
import errno
import threading
import time
from random import Random
from random import SystemRandom
from typing import Any
from typing import cast

import msgspec
import urllib3
from cheroot.workers.threadpool import WorkerThread
from urllib3.exceptions import HTTPError

from .clusters import Process

DISORDERS_PATH = "/_disorders"
ENDED = "ended an answer early"

INTERVAL_S = (0.2, 1.5)
DURATION_S = (2.0, 8.0)
TIMEOUT_S = 1.0
# Upstreams that are in disorder at the same time.
MAX_TOGETHER = 3
# Largest shares of the answers, by disorder.
MAX_SHED = 0.6
MAX_COPIED = 0.5
MAX_UNNAMED = 0.1
MAX_CUT = 0.05
MAX_ENDLESS = 0.02
ENDLESS_S = 3.0
ENDLESS_LINE = b"X-Further: line\r\n" * 64


class Disorders(msgspec.Struct, frozen=True):
    """Hold which shares of its answers an upstream spoils.

    It sheds calls that it could run, sends answers again when the next one
    is due on the connection, leaves out the attempt's id when it sheds, ends
    answers within their head, or sends header lines without end.
    """

    shed: float = 0.0
    copied: float = 0.0
    unnamed: float = 0.0
    cut: float = 0.0
    endless: float = 0.0


class Disorder:
    """Spoil the answers of one upstream."""

    __slots__ = ("_random", "counts", "shares")

    def __init__(self) -> None:
        self._random = SystemRandom()
        self.shares = Disorders()
        self.counts: dict[str, int] = {}

    def draws(self, share: float) -> bool:
        """Return whether an answer belongs to a share of them."""
        return share > 0.0 and self._random.random() < share

    def send_late_copy(self) -> None:
        """Send the copy that is due before the next answer, if any."""
        connection = _find_connection()
        copy = getattr(connection, "late_copy", None)
        if copy is None:
            return
        connection.late_copy = None
        self._count("copied")
        connection.wfile.write(copy)
        connection.wfile.flush()

    def spoil(
        self, status: str, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        """Spoil the answer that is to be sent next, or do nothing.

        :raises ConnectionResetError: the connection is to be closed instead
        """
        shares = self.shares
        lines = [f"HTTP/1.1 {status}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        head = "\r\n".join(lines).encode() + b"\r\n"
        if self.draws(shares.cut):
            self._count("cut")
            self._end(head[: self._random.randrange(1, len(head))])
        if self.draws(shares.endless):
            self._count("endless")
            self._end(head, ENDLESS_S)
        if self.draws(shares.copied):
            _find_connection().late_copy = head + b"\r\n" + body

    def _end(self, data: bytes, endless_s: float = 0.0) -> None:
        """Send the beginning of an answer and close the connection."""
        file = _find_connection().wfile
        until = time.monotonic() + endless_s
        with contextlib.suppress(OSError):
            file.write(data)
            file.flush()
            while time.monotonic() < until:
                file.write(ENDLESS_LINE)
                file.flush()
        raise ConnectionResetError(errno.ECONNRESET, ENDED)

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1


class Disorderer:
    """Put upstreams into disorders drawn at random."""

    def __init__(self, upstreams: list[Process], random: Random) -> None:
        self._upstreams = upstreams
        self._random = random
        self._pool = urllib3.PoolManager(timeout=TIMEOUT_S, retries=False)
        # When the disorder of an upstream ends, by its address.
        self._until: dict[str, float] = {}
        self.count = 0

    def run(self, seconds: float) -> None:
        """Begin and end disorders for some seconds; none holds on return."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            time.sleep(self._random.uniform(*INTERVAL_S))
            self._end_due(time.monotonic())
            self._begin(time.monotonic())
        self._end_due(float("inf"))

    def _begin(self, now: float) -> None:
        upstream = self._random.choice(self._upstreams)
        shares = self._draw()
        length_s = self._random.uniform(*DURATION_S)
        if len(self._until) >= MAX_TOGETHER:
            return
        if upstream.address in self._until:
            return
        if not self._send(upstream.address, shares):
            return
        print(f"{upstream.name} is in disorder: {shares}", flush=True)
        self.count += 1
        self._until[upstream.address] = now + length_s

    def _end_due(self, now: float) -> None:
        for address, until in list(self._until.items()):
            if now < until:
                continue
            # One that is down has none when it starts again.
            self._send(address, Disorders())
            del self._until[address]

    def _draw(self) -> Disorders:
        limits = (MAX_SHED, MAX_COPIED, MAX_UNNAMED, MAX_CUT, MAX_ENDLESS)
        return Disorders(
            *(round(self._random.uniform(0.0, most), 3) for most in limits)
        )

    def _send(self, address: str, shares: Disorders) -> bool:
        body = msgspec.json.encode(shares)
        try:
            answer = self._pool.request(
                "POST", f"http://{address}{DISORDERS_PATH}", body=body
            )
        except HTTPError:
            # The upstream is down or frozen by another fault.
            return False
        return answer.status == 200


def _find_connection() -> Any:
    """Return the connection of the request that this thread serves."""
    return cast(WorkerThread, threading.current_thread()).conn
