"""Simulate upstreams that break the HTTP protocol in a chosen way."""

import contextlib
import socket
import struct
import threading
from collections.abc import Callable

CRLF = b"\r\n"
BACKLOG = 64
READ_BYTES = 65536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

OK = b"HTTP/1.1 200 OK\r\n"


class UpstreamConnection:
    """Read requests from one connection of an upstream and answer them."""

    __slots__ = ("_buffer", "_socket", "_upstream")

    def __init__(
        self, upstream: "FaultyUpstream", sock: socket.socket
    ) -> None:
        self._upstream = upstream
        self._socket = sock
        self._buffer = b""

    @property
    def upstream(self) -> "FaultyUpstream":
        """Return the upstream that accepted this connection."""
        return self._upstream

    def read(self) -> bytes | None:
        """Return the next complete request; None when the peer has closed."""
        head = self._read_until(CRLF + CRLF)
        return None if head is None else self.read_rest(head)

    def read_rest(self, head: bytes) -> bytes | None:
        """Return the complete request that begins with a head."""
        body: bytes | None = b""
        lower_head = head.lower()
        if b"transfer-encoding: chunked" in lower_head:
            body = self._read_until(b"0\r\n\r\n")
        elif b"content-length:" in lower_head:
            length = int(
                lower_head.split(b"content-length:")[1].split(CRLF)[0]
            )
            body = self._read_exactly(length)
        if body is None:
            return None
        self._upstream.record_request(head + body)
        return head + body

    def read_head(self) -> bytes | None:
        """Return the head of the next request and leave its body unread."""
        return self._read_until(CRLF + CRLF)

    def write(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self._socket.sendall(data)

    def reset(self) -> None:
        """Close with a TCP reset instead of an orderly close."""
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self._socket.close()

    def close(self) -> None:
        """Close in order, before the behaviour ends."""
        self._socket.close()

    def end_writing(self) -> None:
        """End the own side in order; the peer may still write."""
        self._socket.shutdown(socket.SHUT_WR)

    def wait_for_close(self) -> None:
        """Wait until the peer has closed the connection."""
        with contextlib.suppress(OSError):
            while self._socket.recv(READ_BYTES):
                pass
        self._upstream.peer_closed.set()

    def _read_until(self, delimiter: bytes) -> bytes | None:
        while delimiter not in self._buffer:
            if not self._fill():
                return None
        found, _, self._buffer = self._buffer.partition(delimiter)
        return found + delimiter

    def _read_exactly(self, length: int) -> bytes | None:
        while len(self._buffer) < length:
            if not self._fill():
                return None
        found = self._buffer[:length]
        self._buffer = self._buffer[length:]
        return found

    def _fill(self) -> bool:
        data = self._socket.recv(READ_BYTES)
        self._buffer += data
        return bool(data)


Behaviour = Callable[[UpstreamConnection], None]


class FaultyUpstream:
    """Accept connections and apply one behaviour to each."""

    def __init__(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self._requests: list[bytes] = []
        self._connections = 0
        # Set once the peer has closed a connection.
        self.peer_closed = threading.Event()
        # Set once this side has closed a connection.
        self.connection_ended = threading.Event()
        self.release = threading.Event()
        self._listener = socket.create_server(
            ("127.0.0.1", 0), backlog=BACKLOG
        )
        threading.Thread(target=self._serve, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address to send to."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    @property
    def requests(self) -> list[bytes]:
        """Return the complete requests received."""
        return self._requests

    @property
    def connections(self) -> int:
        """Return the number of connections accepted."""
        return self._connections

    def record_request(self, request: bytes) -> None:
        """Record a complete request."""
        self._requests.append(request)

    def stop(self) -> None:
        """Stop listening and release the behaviours that wait."""
        self.release.set()
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self._connections += 1
            # Bytes sent in several pieces arrive at once.
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(
                target=self._handle, args=(sock,), daemon=True
            ).start()

    def _handle(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            self._behaviour(UpstreamConnection(self, sock))
        self.connection_ended.set()


def build_answer(body: bytes, *headers: bytes) -> bytes:
    """Return a complete answer with its length."""
    length = b"Content-Length: %d\r\n" % len(body)
    lines = b"".join(header + CRLF for header in headers)
    return OK + length + lines + CRLF + body


def read_attempt_id(request: bytes) -> bytes:
    """Return the id of the attempt that a request names."""
    for line in request.partition(CRLF + CRLF)[0].split(CRLF)[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"nutmegchute-attempt-id":
            return value.strip()
    return b""


def build_shed(request: bytes, *headers: bytes) -> bytes:
    """Return an answer that sheds a request, whose head is enough."""
    attempt_id = read_attempt_id(request)
    lines = b"".join(header + CRLF for header in headers)
    return (
        b"HTTP/1.1 503 Shed\r\nNutmegchute-Not-Run: shed\r\n"
        b"Nutmegchute-Attempt-Id: "
        + attempt_id
        + CRLF
        + b"Content-Length: 0\r\n"
        + lines
        + CRLF
    )


def build_named_answer(request: bytes, body: bytes) -> bytes:
    """Return an answer that names the attempt."""
    name = b"Nutmegchute-Attempt-Id: " + read_attempt_id(request)
    return build_answer(body, name)


def answer(connection: UpstreamConnection) -> None:
    """Answer every request with its target as body."""
    while (request := connection.read()) is not None:
        connection.write(build_named_answer(request, request.split(b" ")[1]))


def shed(connection: UpstreamConnection) -> None:
    """Report "not run" without running the request."""
    while (request := connection.read()) is not None:
        connection.write(build_shed(request))


def answer_marked_not_run(connection: UpstreamConnection) -> None:
    """Report "not run" in an answer whose body shows that it ran."""
    while connection.read() is not None:
        connection.write(build_answer(b"lent", b"Nutmegchute-Not-Run: shed"))


def reset_after_head(connection: UpstreamConnection) -> None:
    """Reset the connection after sending the head."""
    connection.read()
    connection.write(OK + b"Content-Length: 10\r\n\r\n")
    connection.reset()


def reset_at_once(connection: UpstreamConnection) -> None:
    """Reset the connection after reading the request."""
    connection.read()
    connection.reset()


def truncate_body(connection: UpstreamConnection) -> None:
    """Close after half of the announced length."""
    connection.read()
    connection.write(OK + b"Content-Length: 10\r\n\r\nhalf!")


def truncate_long_body(connection: UpstreamConnection) -> None:
    """Close halfway through a body too long to be buffered."""
    connection.read()
    connection.write(OK + b"Content-Length: 400000\r\n\r\n" + b"x" * 200000)


def truncate_chunks(connection: UpstreamConnection) -> None:
    """Close after the first chunk, without the terminating one."""
    connection.read()
    connection.write(OK + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhalf!\r\n")


def answer_chunked(connection: UpstreamConnection) -> None:
    """Answer with a complete body in two chunks."""
    while (request := connection.read()) is not None:
        name = b"Nutmegchute-Attempt-Id: " + read_attempt_id(request) + CRLF
        connection.write(
            OK + name + b"Transfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n1\r\n!\r\n0\r\n\r\n"
        )


def answer_without_length(connection: UpstreamConnection) -> None:
    """Answer without a length; the body ends when the connection does."""
    connection.read()
    connection.write(OK + CRLF + b"until the end")


def answer_twice(connection: UpstreamConnection) -> None:
    """Send a second answer that belongs to no request."""
    while (request := connection.read()) is not None:
        own = build_answer(request.split(b" ")[1])
        connection.write(own + build_answer(b"/another-patron"))


def send_early_hint(connection: UpstreamConnection) -> None:
    """Send an interim answer (103) before each final one."""
    while (request := connection.read()) is not None:
        connection.write(b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n")
        connection.write(build_named_answer(request, request.split(b" ")[1]))


def switch_protocols(connection: UpstreamConnection) -> None:
    """Announce another protocol that nobody asked for, then answer."""
    while (request := connection.read()) is not None:
        connection.write(
            b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"
            + build_answer(request.split(b" ")[1])
        )


def close_when_idle(connection: UpstreamConnection) -> None:
    """Answer once with keep-alive, then close the idle connection."""
    connection.write(build_named_answer(connection.read() or b"", b"once"))


def reset_second_request(connection: UpstreamConnection) -> None:
    """Answer once; reset the connection when a second request arrives."""
    connection.write(build_named_answer(connection.read() or b"", b"once"))
    connection.read()
    connection.reset()


def never_answer(connection: UpstreamConnection) -> None:
    """Read the request and send nothing until the peer closes."""
    connection.read()
    connection.wait_for_close()


def stop_answering(connection: UpstreamConnection) -> None:
    """Answer until the release; then read a request and send nothing."""
    while (request := connection.read()) is not None:
        if connection.upstream.release.is_set():
            connection.wait_for_close()
            return
        connection.write(build_answer(request.split(b" ")[1]))


def answer_late(connection: UpstreamConnection) -> None:
    """Answer after the release, when the entry no longer waits."""
    while (request := connection.read()) is not None:
        connection.upstream.release.wait()
        connection.write(build_answer(request.split(b" ")[1]))


def trickle_head(connection: UpstreamConnection) -> None:
    """Send an endless head one byte at a time."""
    connection.read()
    connection.write(OK + b"X-Slow: ")
    while not connection.upstream.release.wait(0.02):
        connection.write(b"x")


def trickle_body(connection: UpstreamConnection) -> None:
    """Send a long body one byte at a time."""
    connection.read()
    connection.write(OK + b"Content-Length: 400000\r\n\r\n")
    while not connection.upstream.release.wait(0.02):
        connection.write(b"x")


def send_conflicting_lengths(connection: UpstreamConnection) -> None:
    """Send two Content-Length headers that differ."""
    connection.read()
    connection.write(
        OK + b"Content-Length: 3\r\nContent-Length: 9\r\n\r\nabcdefghi"
    )


def fold_header(connection: UpstreamConnection) -> None:
    """Send a header whose name begins with a space, as a folded line does."""
    while connection.read() is not None:
        connection.write(build_answer(b"ok", b"X-Note: a\r\n Set-Cookie: b"))
