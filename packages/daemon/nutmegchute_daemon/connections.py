"""Pool connections to endpoints, each used by one exchange at a time."""

import contextlib
import hashlib
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
from urllib3.util.wait import wait_for_write

from .answer_heads import build_message
from .answer_heads import CRLF
from .answer_heads import Head
from .answer_heads import MalformedAnswerError
from .answer_heads import MAX_HEAD_BYTES
from .answer_heads import read_chunk_size
from .answer_heads import read_head
from .answer_heads import skip_trailers
from .settings import split_address
from .sockets import is_half_closed

MAX_IDLE_PER_ENDPOINT = 64
# Servers commonly close a connection after five idle seconds or more. One
# idle for longer than this is closed here first, so that no request is
# written to a connection that is being closed.
DEFAULT_IDLE_S = 4.0
# The share used of the idle time that an endpoint's Keep-Alive header
# allows; the rest covers the network delay of a request.
KEEP_ALIVE_SHARE = 0.75
MAX_IDLE_S = 60.0

# Bounds what a caller that does not read makes the kernel hold of its answer.
RECEIVE_BUFFER_BYTES = 131072
SOCKET_OPTIONS = [
    *HTTPConnection.default_socket_options,
    (socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
]

# How long an endpoint reads nothing before its answer is looked for.
BLOCKED_S = 0.02
BODILESS_STATUSES = frozenset({204, 304})

# Late answers to earlier requests that are skipped before the expected one,
# and the largest body of such an answer.
MAX_STRAYS = 4
MAX_STRAY_BYTES = 65536
# Earlier requests of a connection whose late answers are known as such.
MAX_EARLIER = 8
# Rejections after which a connection is closed, as it keeps their names.
MAX_REJECTED = 100

_LAST_CHUNK = re.compile(rb"(?:^|\r\n)0+\r\n\r\n")
_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")


class Exchange:
    """Hold the connection of one attempt, so that the loop can end it."""

    __slots__ = ("_begun_at", "_ended", "_lock", "_socket", "wait_until")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._ended = False
        self._begun_at = time.monotonic()
        # When the wait for the endpoint times out, on the monotonic clock;
        # None while there is no wait.
        self.wait_until: float | None = None

    @property
    def age_s(self) -> float:
        """Return the time since the attempt was decided, in seconds."""
        return time.monotonic() - self._begun_at

    @property
    def ended(self) -> bool:
        """Return whether the exchange was ended by another thread."""
        return self._ended

    def attach(self, sock: socket.socket) -> bool:
        """Attach the socket; return False if the exchange has ended."""
        with self._lock:
            self._socket = sock
            return not self._ended

    def detach(self) -> bool:
        """Detach the socket; return False if it has been shut down.

        Afterwards the socket may serve another call, which must not be
        affected when this exchange is ended.
        """
        with self._lock:
            self._socket = None
            self.wait_until = None
            return not self._ended

    def end(self) -> None:
        """End the exchange from another thread and wake the waiting one."""
        self._ended = True
        self.shut_down()

    def shut_down(self) -> None:
        """Shut the socket down, so that the endpoint sees it close."""
        with self._lock:
            if self._socket is None:
                return
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)


class AnswerSource(io.RawIOBase):
    """Read an answer from a socket until a deadline.

    A time-out of the socket covers a single read: an endpoint that sends a
    byte now and then would hold its reader without end.

    The kernel reports a reset once. After that, reads return what has arrived
    and then the end of the stream, as after an orderly close. ``has_failed``
    tells that an error was reported, so that this end is an error as well.
    """

    def __init__(
        self, sock: socket.socket, deadline: float, has_failed: bool = False
    ) -> None:
        # On the monotonic clock.
        self.deadline = deadline
        self._has_failed = has_failed
        # While set, reads return None if nothing has arrived.
        self.polls = False
        # The socket stays open until this is closed, even if the connection
        # is closed before.
        self._file = sock.makefile("rb", buffering=0)
        self._socket = sock

    def readable(self) -> bool:
        """Return True, as the socket can be read."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer what has arrived or arrives next.

        :raises TimeoutError: the deadline has passed
        :raises ConnectionResetError: the stream was not closed in order
        """
        if self.polls:
            self._socket.settimeout(0.0)
            try:
                return self._receive(buffer)
            except BlockingIOError:
                return None
        left_s = self.deadline - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("deadline has passed")
        self._socket.settimeout(left_s)
        return self._receive(buffer)

    def _receive(self, buffer: Any) -> int:
        try:
            size = self._socket.recv_into(buffer)
        except BlockingIOError:
            raise
        except OSError:
            self._has_failed = True
            raise
        if not size and self._has_failed:
            raise ConnectionResetError("stream ended after an error")
        return size

    def close(self) -> None:
        """Let go of the socket."""
        super().close()
        self._file.close()

    def makefile(self, mode: str) -> io.BufferedReader:
        """Return the buffered reader that the library asks a socket for."""
        return io.BufferedReader(self)


class Answer(http.client.HTTPResponse):
    """Read an answer strictly; detect bytes that follow its end."""

    # What had arrived behind the answer when its end was read; None if the
    # connection was reset.
    excess_data: bytes | None = b""

    def __init__(
        self, source: AnswerSource, earlier: "EarlierRequests", **values: Any
    ) -> None:
        super().__init__(source, **values)  # type: ignore[arg-type]
        self.source = source
        self._earlier = earlier
        # Late answers to earlier requests that came before this one.
        self.strays = 0
        # The size of those bodies that repeat no answer of the connection. If
        # one was cut, part of the answer behind it was skipped.
        self.unmatched_bytes = 0
        self._is_short = False

    @property
    def is_contradicted(self) -> bool:
        """Return whether what follows is no copy of this answer."""
        if not self.excess_data:
            return False
        if self._earlier.is_named_in(self.excess_data):
            return False
        start = b"HTTP/1.%d %d" % (self.version % 10, self.status)
        return not start.startswith(self.excess_data[: len(start)])

    @property
    def next_head(self) -> Head | None:
        """Return the head that follows, None if it is not whole.

        It is also None for a late answer to an earlier request.
        """
        try:
            head = read_head(io.BytesIO(self.excess_data or b""))
        except http.client.HTTPException:
            return None
        return None if self._earlier.is_named(head) else head

    def has_body(self) -> bool:
        """Return whether the whole body has arrived."""
        if self.fp is None:
            return True
        arrived = self._peek(self.fp) or b""
        if self.chunked:
            return _LAST_CHUNK.search(arrived) is not None
        return self.length is not None and len(arrived) >= self.length

    def begin(self) -> None:
        """Read the head.

        :raises MalformedAnswerError: it is malformed or too long
        :raises RemoteDisconnected: the endpoint closed before its end
        """
        # The library's own parser takes the end of the connection for the
        # end of the head, and skips what it cannot parse.
        assert self.fp is not None
        head = read_head(self.fp)
        while self._earlier.is_named(head) and self.strays < MAX_STRAYS:
            body = self._read_stray(head)
            if not self._earlier.is_repeated(head, body):
                self.unmatched_bytes += len(body)
            self.strays += 1
            head = read_head(self.fp)
        self.version = head.version
        self.code = self.status = head.status
        self.reason = head.reason
        self.headers = self.msg = build_message(head)
        self.chunked = head.is_chunked
        self.chunk_left = None
        self.length = head.length
        method = self._method  # type: ignore[attr-defined]
        if method == "HEAD" or head.status in BODILESS_STATUSES:
            self.chunked = False
            self.length = 0
        self.will_close = self._check_close()  # type: ignore[attr-defined]
        if not self.chunked and self.length is None:
            self.will_close = True
        self._is_short = (
            self.length is not None and self.length <= MAX_STRAY_BYTES
        )

    def read1(self, n: int = -1) -> bytes:
        """Return up to ``n`` bytes of the body, empty at its end."""
        piece: bytes = super().read1(n)
        if self._is_short:
            self._earlier.record_body(piece)
        return piece

    def _read_stray(self, head: Head) -> bytes:
        """Return the body of a late answer.

        :raises MalformedAnswerError: its end cannot be told
        """
        assert self.fp is not None
        length = 0 if head.status in BODILESS_STATUSES else head.length
        if length is None or length > MAX_STRAY_BYTES:
            raise MalformedAnswerError("long answer to another request")
        body = self.fp.read(length)
        if len(body) < length:
            raise http.client.RemoteDisconnected("closed within a body")
        return body

    def _close_conn(self) -> None:
        # The buffered file reads ahead. What it holds beyond the end of this
        # answer would be lost, and the next call on the connection would
        # receive the rest of a second, unsolicited answer.
        file = self.fp
        if file is not None:
            self.excess_data = self._peek(file)
        super()._close_conn()  # type: ignore[misc]

    def _get_chunk_left(self) -> int | None:
        """Return what is left of the chunk, None after the last one."""
        if self.chunk_left:
            return self.chunk_left
        assert self.fp is not None
        if self.chunk_left == 0 and self.fp.read(len(CRLF)) != CRLF:
            raise MalformedAnswerError("chunk without its end")
        self.chunk_left = read_chunk_size(self.fp) or None
        if self.chunk_left is None:
            skip_trailers(self.fp)
            self._close_conn()
        return self.chunk_left

    def _peek(self, file: io.BufferedReader) -> bytes | None:
        """Return bytes that have arrived, or None after a reset."""
        self.source.polls = True
        try:
            return file.peek(1)
        except OSError:
            return None
        finally:
            self.source.polls = False


class EarlierRequests:
    """Hold the names of the last requests of a connection.

    Each is kept with the digest of the body that answered it. A late answer
    with this body is whole: what follows it is the next answer.
    """

    __slots__ = ("_answered", "_body", "_header", "_is_head", "_name")

    def __init__(self) -> None:
        self._header = ""
        self._is_head = False
        self._name: str | None = None
        self._body = hashlib.sha256()
        self._answered: deque[tuple[str, bytes]] = deque(maxlen=MAX_EARLIER)

    def begin(self, header: str, name: str | None, method: str) -> None:
        """Record that a request is sent whose answers bear this name.

        The answer to a HEAD request has no body whatever its length, so that
        a late copy of it cannot be skipped.
        """
        if self._name is not None and not self._is_head:
            self._answered.append((self._name, self._body.digest()))
        self._header = header.lower()
        self._name = name
        self._is_head = method == "HEAD"
        self._body = hashlib.sha256()

    def record_body(self, piece: bytes) -> None:
        """Record a piece of the body that answers the present request."""
        self._body.update(piece)

    def is_named(self, head: Head) -> bool:
        """Return whether an answer names an earlier request alone."""
        if not self._answered:
            return False
        found = self._find_names(head)
        return len(found) == 1 and self._is_earlier(found[0])

    def is_named_now(self, head: Head) -> bool:
        """Return whether an answer names the present request alone."""
        return self._name is not None and self._find_names(head) == [
            self._name
        ]

    def is_repeated(self, head: Head, body: bytes) -> bool:
        """Return whether an answer repeats the body of an earlier one."""
        digest = hashlib.sha256(body).digest()
        names = self._find_names(head)
        return any((name, digest) in self._answered for name in names)

    def is_named_in(self, data: bytes) -> bool:
        """Return whether the start of an answer names an earlier request."""
        head, end, _ = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        if not end:
            # The rest of the last line is still to come.
            del lines[-1]
        for line in lines[1:]:
            name, _, value = line.decode("latin-1").partition(":")
            if name.lower() != self._header:
                continue
            return self._is_earlier(value.strip(" \t"))
        return False

    def _find_names(self, head: Head) -> list[str]:
        return [
            value
            for name, value in head.fields
            if name.lower() == self._header
        ]

    def _is_earlier(self, found: str) -> bool:
        if found == self._name:
            return False
        return any(found == name for name, _ in self._answered)


class EarlyAnswerError(BrokenPipeError):
    """Report that an endpoint answered and does not read the request."""


class Connection(HTTPConnection):
    """Connect to an endpoint and detect whether it can be reused."""

    answer: Answer | None = None
    # Whether the endpoint stopped reading before the end of the request.
    partly_sent = False
    # Whether an answer left open which request it belongs to.
    is_doubtful = False
    # Requests that were written to the connection, in full or in part.
    carried = 0
    # On the monotonic clock.
    _deadline = 0.0
    # Whether the endpoint was seen to close its side in order.
    _has_ended = False
    # Whether a write took an error before the endpoint's side was closed.
    _has_failed = False

    def __init__(self, *args: Any, **values: Any) -> None:
        super().__init__(*args, **values)
        self.rejected: set[str] = set()
        self.earlier = EarlierRequests()

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can serve another exchange."""
        if self.sock is None or self.answer is None:
            return False
        if self.partly_sent or self.is_doubtful:
            return False
        if len(self.rejected) >= MAX_REJECTED:
            return False
        return not self.answer.strays and self.answer.excess_data == b""

    def send(self, data: Any) -> None:
        """Write a part of a request.

        :raises EarlyAnswerError: the request is answered and no longer read
        :raises TimeoutError: the endpoint reads too slowly
        """
        try:
            self._write(data)
        except EarlyAnswerError:
            raise
        except OSError:
            self._has_failed = not self._has_ended
            raise

    def _write(self, data: Any) -> None:
        sock = self.sock
        if sock is None or not isinstance(data, bytes):
            super().send(data)
            return
        left = memoryview(data)
        while left:
            while not wait_for_write(sock, BLOCKED_S):
                if self._is_answered():
                    raise EarlyAnswerError("answered before it was read")
                if time.monotonic() >= self._deadline:
                    raise TimeoutError("endpoint does not read the request")
            # An answer that has ended is complete, even if the endpoint
            # resets the connection because of what is written after it.
            self._has_ended = self._has_ended or is_half_closed(sock)
            left = left[sock.send(left) :]

    def _is_answered(self) -> bool:
        """Return whether the final answer to the present request begins."""
        sock = self.sock
        if sock is None or not wait_for_read(sock, 0.0):
            return False
        data = sock.recv(MAX_HEAD_BYTES, socket.MSG_PEEK)
        try:
            head = read_head(io.BytesIO(data))
        except http.client.HTTPException:
            return False
        return self.earlier.is_named_now(head)

    def record_rejection(self, name: str | None) -> None:
        """Record that the endpoint rejected a request with this name.

        A request that bears the name again is not sent here: a late copy of
        the rejection would name it.
        """
        if name is not None:
            self.rejected.add(name)

    def limit(self, deadline: float) -> None:
        """Set the time until which all reads of an answer may last."""
        self._deadline = deadline
        if self.answer is not None:
            self.answer.source.deadline = deadline

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, **values: Any
    ) -> Answer:
        """Build the answer that is read next, and store it."""
        source = AnswerSource(sock, self._deadline, self._has_failed)
        self.answer = Answer(source, self.earlier, **values)
        return self.answer


class ConnectionPool:
    """Pool idle connections by endpoint."""

    __slots__ = ("_idle", "_lock")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # Each with the time until which it may be reused.
        self._idle: dict[str, deque[tuple[float, Connection]]] = {}

    def acquire(
        self, endpoint: str, name: str | None = None
    ) -> Connection | None:
        """Remove and return an idle connection that looks open, if any.

        It has not carried the rejection of a request with this name.
        """
        now = time.monotonic()
        while True:
            with self._lock:
                idle = self._idle.get(endpoint)
                if not idle:
                    return None
                index = _find_last(idle, name)
                if index is None:
                    return None
                until, connection = idle[index]
                del idle[index]
            # Readable while idle means closed, or an unsolicited answer,
            # which the next call must not receive.
            sock = connection.sock
            fresh = until > now and sock is not None
            if fresh and not wait_for_read(sock, 0.0):
                return connection
            connection.close()

    def create(self, endpoint: str, timeout_s: float) -> Connection:
        """Create a connection without connecting it."""
        host, port = split_address(endpoint)
        return Connection(
            host, port, timeout=timeout_s, socket_options=SOCKET_OPTIONS
        )

    def release(
        self,
        endpoint: str,
        connection: Connection,
        keep_s: float = DEFAULT_IDLE_S,
    ) -> None:
        """Add a reusable connection to the pool for ``keep_s`` seconds."""
        until = time.monotonic() + keep_s
        with self._lock:
            idle = self._idle.setdefault(endpoint, deque())
            idle.append((until, connection))
            surplus = None
            if len(idle) > MAX_IDLE_PER_ENDPOINT:
                surplus = idle.popleft()[1]
        if surplus is not None:
            surplus.close()

    def close_idle(self, endpoint: str) -> None:
        """Close the idle connections to an endpoint."""
        with self._lock:
            idle = self._idle.pop(endpoint, deque())
        for _, connection in idle:
            connection.close()

    def sweep(self) -> None:
        """Close connections idle too long, also to endpoints that are gone."""
        now = time.monotonic()
        expired = []
        with self._lock:
            for endpoint, idle in list(self._idle.items()):
                while idle and idle[0][0] <= now:
                    expired.append(idle.popleft()[1])
                if not idle:
                    del self._idle[endpoint]
        for connection in expired:
            connection.close()


def parse_keep_alive(keep_alive: str) -> float:
    """Return how long a connection may stay idle, in seconds."""
    found = _TIMEOUT.search(keep_alive)
    if found is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, int(found[1]) * KEEP_ALIVE_SHARE)


def _find_last(
    idle: deque[tuple[float, Connection]], name: str | None
) -> int | None:
    """Return the index of the last connection without this rejection."""
    for index in range(len(idle) - 1, -1, -1):
        if name not in idle[index][1].rejected:
            return index
    return None
