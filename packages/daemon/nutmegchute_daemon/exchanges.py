"""Parse callers' requests strictly and write answers in few packets."""

import contextlib
import io
import re
import socket
import struct
import sys
import time
from collections.abc import Callable
from collections.abc import Iterator
from http.client import responses
from typing import Any

import msgspec
from cheroot import server
from cheroot.errors import MaxSizeExceeded
from nutmegchute_core.holdings import estimate_decoded
from nutmegchute_core.holdings import SMALL_BYTES
from nutmegchute_core.holdings import TOO_SLOW
from urllib3.util.wait import wait_for_read

from .errors import DaemonError
from .guards import Client
from .guards import OverloadError
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RELAY_CALL_HEADER
from .protocols import UNKNOWN
from .relay_ids import find_relay_id
from .request_queues import is_whole

MAX_HEADERS = 100
# The connection of a caller that neither sends nor reads for this long is
# closed, which frees its worker thread.
CALLER_TIMEOUT_S = 10.0
MAX_CHUNK_LINE_BYTES = 256
BUFFER_BYTES = 65536
# Pieces of a long body that is held. Short ones would not be returned to the
# system when they are freed.
MAX_PIECE_BYTES = 1048576
# The longest rest of a body that is read to keep its connection open.
DISCARD_BYTES = 1048576
# The Retry-After of a request refused for want of memory or threads.
OVERLOAD_RETRY_S = 1.0
# Reads at a time from a connection that is about to be closed.
MAX_DISCARDS = 4
MAX_TRAILERS = 32
CRLF = b"\r\n"
# A status for which the server frames no body, though one may follow.
RESET_CONTENT = b"205"
# Statuses of answers after which the outcome is unknown.
INTERNAL_ERROR = "500"
BAD_GATEWAY = "502 Bad Gateway"

# Headers that may occur only once. With two values, two servers on the path
# could disagree on where a request ends, and the rest of it would be parsed
# as a request of its own (request smuggling).
SINGLE_HEADERS = frozenset({b"content-length", b"transfer-encoding", b"host"})

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_DIGITS = re.compile(rb"[0-9]{1,18}")
_CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]{1,15}[ \t]*(;[^\r\n]*)?\r\n")


class BadBodyError(DaemonError):
    """Report why a request's body is not accepted; nothing ran.

    ``retry_after_s`` is 0 where the same request would be refused again.
    """

    def __init__(
        self, status: int, reason: str, retry_after_s: float = 0.0
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.retry_after_s = retry_after_s


class HeaderLines:
    """Check header lines before the server's own reader parses them."""

    __slots__ = ("_fields", "_rfile", "_seen")

    def __init__(self, rfile: Any) -> None:
        self._rfile = rfile
        self._fields: list[tuple[str, str]] = []
        self._seen: set[bytes] = set()

    @property
    def fields(self) -> list[tuple[str, str]]:
        """Return names and values as received, repeated ones included."""
        return self._fields

    def readline(self) -> bytes:
        """Return the next line; raise ValueError if it is malformed."""
        line: bytes = self._rfile.readline()
        if line in (b"", CRLF):
            return line
        name, colon, value = line.partition(b":")
        if not colon or not _TOKEN.fullmatch(name):
            raise ValueError("Bad header name.")
        value = value.removesuffix(CRLF).strip(b" \t")
        if not _VALUE.fullmatch(value):
            raise ValueError("Control character in a header.")
        key = name.lower()
        if key in SINGLE_HEADERS and key in self._seen:
            raise ValueError(f"Header {key.decode()} is given twice.")
        self._seen.add(key)
        self._fields.append((name.decode(), value.decode("latin-1")))
        if len(self._fields) > MAX_HEADERS:
            raise ValueError(f"More than {MAX_HEADERS} headers.")
        return line


class HeaderReader(server.HeaderReader):
    """Parse headers with the server's reader after checking each line."""

    def __init__(self, request: "StrictRequest") -> None:
        self._request = request

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        """Parse the headers into the dictionary and store every line."""
        lines = HeaderLines(rfile)
        # Set before they are read: a refusal of a malformed head names the
        # call by the headers read until then.
        self._request.fields = lines.fields
        headers = super().__call__(lines, hdict)
        _check_framing(headers, self._request.response_protocol)
        return headers


class ChunkedReader:
    """Read a chunked body piece by piece, whatever the size of its chunks.

    The library's reader holds each chunk as a whole.
    """

    __slots__ = ("_framing_bytes", "_left", "_limit", "_rfile", "closed")

    def __init__(self, rfile: Any, limit: int) -> None:
        self._rfile = rfile
        # Bounds the size lines as well as the body; 0 is no limit.
        self._limit = limit
        self._framing_bytes = 0
        # Unread bytes of the present chunk.
        self._left = 0
        # Whether the last chunk has been read, so that trailers follow.
        self.closed = False

    def read(self, size: int | None = None) -> bytes:
        """Return ``size`` bytes, or fewer at the end of the body.

        :raises ValueError: it is malformed or cut short
        :raises MaxSizeExceeded: a chunk or all size lines are too long
        """
        pieces = []
        missing = sys.maxsize if size is None else size
        while missing and not self.closed:
            if not self._left:
                self._begin_chunk()
                continue
            wanted = min(missing, self._left, BUFFER_BYTES)
            piece = self._rfile.read(wanted)
            if len(piece) < wanted:
                raise ValueError("Body was cut short.")
            pieces.append(piece)
            missing -= wanted
            self._left -= wanted
            if not self._left and self._rfile.read(2) != CRLF:
                raise ValueError("Malformed end of a chunk.")
        return b"".join(pieces)

    def read_trailer_lines(self) -> Iterator[bytes]:
        """Yield the lines behind the last chunk."""
        while True:
            line: bytes = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
            if line == CRLF:
                return
            if not line.endswith(CRLF):
                raise ValueError("HTTP requires CRLF terminators")
            yield line

    def _begin_chunk(self) -> None:
        line: bytes = self._rfile.readline(MAX_CHUNK_LINE_BYTES)
        self._framing_bytes += len(line)
        if self._limit and self._framing_bytes > self._limit:
            raise MaxSizeExceeded
        if not _CHUNK_LINE.fullmatch(line):
            raise ValueError("Malformed chunk size.")
        self._left = int(line.partition(b";")[0], 16)
        if self._limit and self._left > self._limit:
            raise MaxSizeExceeded
        self.closed = not self._left


class Body:
    """Read a request's body up to a limit."""

    __slots__ = (
        "_bytes_read",
        "_limit",
        "_read",
        "_remaining_bytes",
        "_request",
    )

    def __init__(self, request: "StrictRequest", limit: int) -> None:
        self._request = request
        self._limit = limit
        self._bytes_read = 0
        length = request.inheaders.get(b"Content-Length", b"0")
        self._remaining_bytes: int | None = int(length)
        self._read = request.rfile.read
        if request.chunked_read:
            self._remaining_bytes = None

    @property
    def is_read(self) -> bool:
        """Return whether all of the body has been read."""
        return self._remaining_bytes == 0

    def read(self, size: int) -> bytes:
        """Return up to ``size`` bytes, or none at the end of the body.

        :raises BadBodyError: it is too large, malformed or incomplete
        """
        if self._remaining_bytes == 0:
            return b""
        self._check_length()
        try:
            data: bytes = self._read(size)
            if not data and self._remaining_bytes is None:
                self._skip_trailers()
        except TimeoutError:
            raise self._explain_timeout() from None
        except ValueError as error:
            raise BadBodyError(400, str(error)) from None
        except (OSError, MaxSizeExceeded):
            raise BadBodyError(413, "body is too large") from None
        self._bytes_read += len(data)
        if self._bytes_read > self._limit:
            raise BadBodyError(413, f"body is over {self._limit} bytes")
        if self._remaining_bytes is None:
            if not data:
                self._remaining_bytes = 0
            return data
        if not data:
            # Without this check the part received would be forwarded as a
            # complete request, and a loan could run with half its lines.
            raise BadBodyError(400, "body was cut short")
        self._remaining_bytes -= len(data)
        return data

    def hold(self, size: int) -> None:
        """Let the request hold the next bytes of its body until its end.

        :raises BadBodyError: no memory is left, or the body is too large
        """
        self._check_length()
        if self._remaining_bytes is not None:
            size = min(size, self._remaining_bytes)
        self._hold(size)

    def read_all(self) -> bytes:
        """Return the whole body, which the request holds until its end.

        :raises BadBodyError: as ``read`` and ``hold``
        """
        pieces = []
        size = BUFFER_BYTES
        while not self.is_read:
            self.hold(size)
            pieces.append(self.read(size))
            size = min(2 * size, MAX_PIECE_BYTES)
        return b"".join(pieces)

    def hold_decoded(self, document: bytes) -> None:
        """Let the request hold what its body takes once it is decoded.

        :raises BadBodyError: no memory is left, or it has too many values
        """
        request = self._request
        size = estimate_decoded(document)
        if not request.server.guard.fits(request.conn.client, size):
            raise BadBodyError(413, "body has too many values")
        self._hold(size)

    def _hold(self, size: int) -> None:
        request = self._request
        try:
            request.server.guard.hold(request.conn.client, size)
        except OverloadError as error:
            raise BadBodyError(503, str(error), OVERLOAD_RETRY_S) from None

    def _check_length(self) -> None:
        if (self._remaining_bytes or 0) > self._limit - self._bytes_read:
            raise BadBodyError(413, f"body is over {self._limit} bytes")

    def _explain_timeout(self) -> BadBodyError:
        reason = self._request.conn.client.ended
        if reason and reason != TOO_SLOW:
            return BadBodyError(503, reason, OVERLOAD_RETRY_S)
        return BadBodyError(408, "body did not come in time")

    def _skip_trailers(self) -> None:
        # Left in the buffer they would be parsed as the next request.
        for number, _ in enumerate(self._request.rfile.read_trailer_lines()):
            if number >= MAX_TRAILERS:
                raise ValueError(f"More than {MAX_TRAILERS} trailers.")


class StrictRequest(server.HTTPRequest):
    """Refuse requests that another server could parse differently."""

    def __init__(self, *args: Any, **values: Any) -> None:
        super().__init__(*args, **values)
        self.header_reader = HeaderReader(self)
        self.fields: list[tuple[str, str]] = []
        self._aborted = False
        # Set once the call has been passed to the loop: from then on a
        # failure of this program may not be reported as "not run".
        self.call_opened = False
        # Whether another entry has passed the request on.
        self.is_relayed = False
        # The status of the answer, 0 until its head is written.
        self.told = 0

    @property
    def relay_id(self) -> str:
        """Return the id that the entry which passed the request on gave it.

        It is empty unless the request has exactly one.
        """
        return find_relay_id(self.fields)

    def read_request_headers(self) -> bool:
        """Read the headers; return False if a refusal was written."""
        read = super().read_request_headers
        if not read():  # type: ignore[no-untyped-call]
            return False
        self.conn.client.head_until = None
        connection = self.inheaders.get(b"Connection", b"").lower()
        if b"close" in [option.strip() for option in connection.split(b",")]:
            self.close_connection = True
        return True

    def respond(self) -> None:
        """Answer through the gateway and flush what is buffered."""
        if self.chunked_read:
            self.rfile = ChunkedReader(
                self.conn.rfile, self.server.max_request_body_size
            )
        else:
            length = int(self.inheaders.get(b"Content-Length", 0))
            self.rfile = server.KnownLengthRFile(self.conn.rfile, length)
        if self.chunked_read or self.rfile.remaining > SMALL_BYTES:
            self.conn.client.is_long = True
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self._aborted:
            return
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        self.conn.wfile.flush()
        if self.chunked_read and not self.rfile.closed:
            # Part of the body was read after the head was written.
            self._close_unread()

    def begin(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Write the head of an answer."""
        reason = responses.get(status, "Unknown")
        line = f"{status} {reason}"
        self.told = status
        self.status = line.encode("latin-1")  # type: ignore[assignment]
        for name, value in headers:
            self.outheaders.append((name.encode(), value.encode("latin-1")))
        if self.is_relayed and self.relay_id:
            self.outheaders.append(
                (RELAY_CALL_HEADER.encode(), self.relay_id.encode())
            )
        self.ensure_headers_sent()

    def send_headers(self) -> None:
        """Write the head; it is sent with the first piece of the body."""
        self._discard_body()
        self.conn.wfile.hold()
        if self.status.startswith(RESET_CONTENT):  # type: ignore[arg-type]
            self._frame_body()
        super().send_headers()

    def _discard_body(self) -> None:
        """Discard the rest of a body, or close behind the answer.

        A rest that is left would be parsed as the next request. The library
        reads it as a whole, however long it is.
        """
        if self.chunked_read:
            if not self.rfile.closed:
                self._close_unread()
            return
        left: int = self.rfile.remaining
        if left and (self.close_connection or left > DISCARD_BYTES):
            self._close_unread()
            return
        while self.rfile.remaining:
            if not self.rfile.read(BUFFER_BYTES):
                self.close_connection = True
                return

    def _close_unread(self) -> None:
        self.close_connection = True
        self.conn.lingers = True

    def _frame_body(self) -> None:
        """Frame a body of unknown length, which the server does not do."""
        for name, _ in self.outheaders:
            if name.lower() == b"content-length":
                return
        if self.response_protocol != "HTTP/1.1":
            self.close_connection = True
        elif self.method != b"HEAD":
            self.chunked_write = True
            self.outheaders.append((b"Transfer-Encoding", b"chunked"))

    def write(self, chunk: bytes) -> None:
        """Write a piece of the body, the head before it."""
        if self.method == b"HEAD":
            return
        super().write(chunk)
        self.conn.wfile.flush()

    def abort(self) -> None:
        """Reset the connection, to show that the answer is incomplete."""
        self._aborted = True
        self.close_connection = True
        self.conn.reset()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse a request before it reaches the loop, or report a failure.

        Once the call is open it may have run. The server's own statuses say
        otherwise: callers take 408, 421, 429 and 503 for "not run".
        """
        status = str(status)
        outcome, retry = NOT_RUN, "Retry-After: 1\r\n"
        if self.call_opened:
            outcome, retry = UNKNOWN, ""
            if not status.startswith(INTERNAL_ERROR):
                status = BAD_GATEWAY
        self.told = int(status[:3])
        self.conn.lingers = True
        body = msgspec.json.encode({"reason": msg or status[4:]})
        self.close_connection = True
        head = (
            f"{self.server.protocol} {status}\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Content-Type: application/json\r\n"
            f"{OUTCOME_HEADER}: {outcome}\r\n{retry}"
            "Connection: close\r\n"
        )
        if self.relay_id:
            head += f"{RELAY_CALL_HEADER}: {self.relay_id}\r\n"
        head += "\r\n"
        self.conn.wfile.write(head.encode("latin-1") + body)
        self.conn.wfile.flush()


class SocketReader(socket.SocketIO):
    """Read from a socket; while held, act as if no data had arrived."""

    def __init__(self, sock: socket.socket, client: Client) -> None:
        super().__init__(sock, "rb")
        self._client = client
        self.held = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; return None if no data has arrived.

        :raises TimeoutError: the client is too slow or is being ended
        """
        if self.held:
            return None
        client = self._client
        client.begin_wait(time.monotonic())
        size = 0
        try:
            size = super().readinto(buffer) or 0
        finally:
            client.end_wait(size, time.monotonic())
        client.check()
        return size


class RequestReader(io.BufferedReader):
    """Read requests with the interpreter's buffered reader, written in C.

    The server's default reader is written in Python and takes a fifth of
    the processor time of a call.
    """

    def __init__(self, sock: socket.socket, client: Client) -> None:
        self._source = SocketReader(sock, client)
        super().__init__(self._source)
        self.bytes_read = 0

    def has_data(self) -> bool:
        """Return whether part of the next request is buffered."""
        return bool(self.buffered())

    def buffered(self) -> bytes:
        """Return what has been read of the next request."""
        self._source.held = True
        try:
            return self.peek(1)
        finally:
            self._source.held = False


class AnswerWriter:
    """Write to a socket; a held head is sent with what follows it."""

    __slots__ = ("_client", "_held", "_holding", "_socket", "bytes_written")

    def __init__(self, sock: socket.socket, client: Client) -> None:
        self._socket = sock
        self._client = client
        self._held = bytearray()
        self._holding = False
        self.bytes_written = 0

    def hold(self) -> None:
        """Buffer what is written until the next flush."""
        self._holding = True

    def write(self, data: bytes) -> int:
        """Send or buffer the bytes."""
        if self._holding:
            self._held += data
        else:
            self._send(data)
        return len(data)

    def flush(self) -> None:
        """Send what is buffered."""
        self._holding = False
        if self._held:
            held, self._held = self._held, bytearray()
            self._send(held)

    def _send(self, data: bytes | bytearray) -> None:
        client = self._client
        left = memoryview(data)
        deadline = time.monotonic() + CALLER_TIMEOUT_S
        while left:
            size = 0
            client.is_writing = True
            client.begin_wait(time.monotonic())
            try:
                size = self._socket.send(left)
            finally:
                client.end_wait(size, time.monotonic())
                client.is_writing = False
            left = left[size:]
            if left and time.monotonic() >= deadline:
                raise TimeoutError("timed out")


class CallerConnection(server.HTTPConnection):
    """Serve one caller's connection with the classes above."""

    RequestHandlerClass = StrictRequest

    def __init__(self, http: Any, sock: Any, makefile: Any = None) -> None:
        self.client = Client(sock)
        super().__init__(http, sock, self._open_file)
        # Not every system lets accepted sockets inherit the listener's
        # TCP_NODELAY, and one delayed acknowledgement costs a caller 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(CALLER_TIMEOUT_S)
        self.ready_at = time.monotonic()
        # Whether no request has arrived yet.
        self.is_new = True
        self.is_used = False
        self.on_close: Callable[[CallerConnection], None] | None = None
        # Whether to close only after the caller has had time to read.
        self.lingers = False
        self._reset = False

    def _open_file(self, sock: socket.socket, mode: str, size: int) -> Any:
        """Open the reading or the writing side of the connection."""
        if "r" in mode:
            return RequestReader(sock, self.client)
        return AnswerWriter(sock, self.client)

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection open."""
        now = time.monotonic()
        self.client.restart(now)
        self.client.head_until = now + self.server.head_timeout_s
        try:
            return bool(super().communicate())  # type: ignore[no-untyped-call]
        finally:
            self.server.guard.release(self.client)

    def reset(self) -> None:
        """Set the socket to reset the connection when it is closed."""
        self._reset = True
        linger = struct.pack("ii", 1, 0)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self) -> None:
        """Close the connection, now or once the caller has had time to read.

        Closing with unread bytes resets the connection, and the caller may
        lose the answer.
        """
        if self.lingers and not self._reset:
            self.lingers = False
            self.server.linger(self)
            return
        if self.on_close is not None:
            self.on_close(self)
        super().close()

    def has_whole_request(self) -> bool:
        """Return whether all of the next request has arrived."""
        received: bytes = self.rfile.buffered()
        # A socket with a time-out waits even if a flag asks it not to.
        if wait_for_read(self.socket, 0.0):
            with contextlib.suppress(OSError):
                received += self.socket.recv(BUFFER_BYTES, socket.MSG_PEEK)
        return is_whole(received)

    def discard(self) -> bool:
        """Discard what has arrived; return whether more may come."""
        try:
            for _ in range(MAX_DISCARDS):
                if not self.socket.recv(BUFFER_BYTES):
                    return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def _close_kernel_socket(self) -> None:
        if not self._reset:
            super()._close_kernel_socket()  # type: ignore[misc]


def _check_framing(headers: dict[bytes, bytes], protocol: str) -> None:
    coding = headers.get(b"Transfer-Encoding")
    length = headers.get(b"Content-Length")
    if length is not None and not _DIGITS.fullmatch(length):
        raise ValueError("Malformed Content-Length header.")
    if coding is None:
        return
    if length is not None:
        raise ValueError("Both Content-Length and Transfer-Encoding.")
    if coding.lower() != b"chunked" or protocol != "HTTP/1.1":
        raise ValueError("Transfer-Encoding must be chunked.")
