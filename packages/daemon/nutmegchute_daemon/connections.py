"""Keep connections to endpoints, each used by one exchange at a time."""

import contextlib
import http.client
import io
import re
import socket
import threading
import time
from collections import deque
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.util.wait import wait_for_read

from .settings import split_address

IDLE_PER_ENDPOINT = 64
# Servers commonly close a connection after five idle seconds or more; one
# older than this is closed here first, so that a request is not written
# into a connection that is being closed.
IDLE_S = 4.0
# Of the time that an endpoint says it keeps an idle connection, this share
# is used; the rest covers the way there.
IDLE_SHARE = 0.75
IDLE_MOST_S = 60.0


_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")


class Exchange:
    """Hold the connection of one attempt, so that the loop can end it."""

    __slots__ = ("_ended", "_lock", "_socket", "wait_until")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._ended = False
        # When the wait for the endpoint must be over, on the monotonic
        # clock; none while nothing is waited for.
        self.wait_until: float | None = None

    @property
    def ended(self) -> bool:
        """Tell whether the exchange was ended from outside."""
        return self._ended

    def attach(self, sock: socket.socket) -> bool:
        """Take the socket; False says the exchange is over already."""
        with self._lock:
            self._socket = sock
            return not self._ended

    def detach(self) -> bool:
        """Let go of the socket; False says it was shut meanwhile.

        After this the socket may serve another call, which an order
        to end this exchange must not reach.
        """
        with self._lock:
            self._socket = None
            self.wait_until = None
            return not self._ended

    def end(self) -> None:
        """End the exchange from outside; a waiting thread wakes up."""
        self._ended = True
        self.shut()

    def shut(self) -> None:
        """Shut the socket, so that the endpoint sees the end."""
        with self._lock:
            if self._socket is None:
                return
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)


class Answer(http.client.HTTPResponse):
    """Notice bytes that follow the end of an answer."""

    over_read = False

    def _close_conn(self) -> None:
        # The file below buffers ahead. What it holds beyond this answer's
        # end would be lost, and the rest of a second answer that nobody
        # asked for would be given to the next call on the connection.
        file = self.fp
        if file is not None and not self.will_close:
            self.over_read = _holds_more(file)
        super()._close_conn()  # type: ignore[misc]


class Connection(HTTPConnection):
    """Connect to an endpoint and notice what should not come."""

    answer: Answer | None = None
    # Whether the endpoint stopped reading before the request's end.
    part_sent = False

    @property
    def clean(self) -> bool:
        """Tell whether another exchange may follow on the connection."""
        if self.sock is None or self.answer is None or self.part_sent:
            return False
        return not self.answer.over_read

    def response_class(  # type: ignore[override]
        self, *args: Any, **values: Any
    ) -> Answer:
        """Build the answer that is read next, and remember it."""
        self.answer = Answer(*args, **values)
        return self.answer


class ConnectionPool:
    """Lend out connections to endpoints and take them back."""

    __slots__ = ("_idle", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # With the time until which the connection may be used again.
        self._idle: dict[str, deque[tuple[float, Connection]]] = {}

    def acquire(self, endpoint: str) -> Connection | None:
        """Return an idle connection that still looks open, if any."""
        now = time.monotonic()
        while True:
            with self._lock:
                waiting = self._idle.get(endpoint)
                if not waiting:
                    return None
                until, connection = waiting.pop()
            # Readable while idle means closed, or bytes nobody asked for:
            # a second answer, which the next call must not be given.
            sock = connection.sock
            fresh = until > now and sock is not None
            if fresh and not wait_for_read(sock, 0.0):
                return connection
            connection.close()

    def open(self, endpoint: str, timeout_s: float) -> Connection:
        """Return a connection that is not connected yet."""
        host, port = split_address(endpoint)
        return Connection(host, port, timeout=timeout_s)

    def release(
        self, endpoint: str, connection: Connection, keep_s: float = IDLE_S
    ) -> None:
        """Keep a connection whose exchange came to its clean end."""
        until = time.monotonic() + keep_s
        with self._lock:
            waiting = self._idle.setdefault(endpoint, deque())
            waiting.append((until, connection))
            surplus = None
            if len(waiting) > IDLE_PER_ENDPOINT:
                surplus = waiting.popleft()[1]
        if surplus is not None:
            surplus.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            waiting = self._idle.pop(endpoint, deque())
        for _, connection in waiting:
            connection.close()

    def sweep(self) -> None:
        """Close what has been idle too long, also of endpoints that left."""
        now = time.monotonic()
        expired = []
        with self._lock:
            for endpoint, waiting in list(self._idle.items()):
                while waiting and waiting[0][0] <= now:
                    expired.append(waiting.popleft()[1])
                if not waiting:
                    del self._idle[endpoint]
        for connection in expired:
            connection.close()


def idle_s(keep_alive: str) -> float:
    """Read from a Keep-Alive header how long a connection may be kept."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return IDLE_S
    return min(IDLE_MOST_S, int(found[1]) * IDLE_SHARE)


def _holds_more(file: io.BufferedReader) -> bool:
    sock = getattr(file.raw, "_sock", None)
    if sock is None:
        return False
    timeout_s = sock.gettimeout()
    try:
        sock.settimeout(0.0)
        return bool(file.peek(1))
    except OSError:
        return True
    finally:
        with contextlib.suppress(OSError):
            sock.settimeout(timeout_s)
