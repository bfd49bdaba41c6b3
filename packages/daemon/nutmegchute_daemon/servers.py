"""Serve HTTP on worker threads of CherryPy's server, Cheroot."""

import asyncio
import concurrent.futures
import contextlib
import errno
import io
import logging
import queue
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from http.client import responses
from traceback import format_exc
from typing import Any

from cheroot import connections
from cheroot import wsgi
from cheroot.workers import threadpool
from nutmegchute_core.holdings import SHORT_OF_FILES
from nutmegchute_core.holdings import STOPPING
from urllib3.util.wait import wait_for_read

from .events import Event
from .events import log
from .exchanges import BadBodyError
from .exchanges import Body
from .exchanges import CallerConnection
from .exchanges import StrictRequest
from .guards import Client
from .guards import Guard
from .protocols import RELAY_CALL_HEADER
from .relay_ids import read_relay_id
from .request_queues import RequestQueue
from .settings import split_address

RUN_TIMEOUT_S = 5.0
IDLE_TIMEOUT_S = 75
ACCEPT_BACKLOG = 512
MAX_KEEP_ALIVE_CONNECTIONS = 4096
SERVER_NAME = "nutmegchute"
MAX_HEADER_BYTES = 65536
# The largest body where no limit is set: that of health checks and the like.
SMALL_BODY_BYTES = 65536
# The longest body of a request for a page.
PAGE_BODY_BYTES = 1048576
DISCARD_BYTES = 65536
# The kernel doubles these for its own overhead.
RECEIVE_BUFFER_BYTES = 65536
SEND_BUFFER_BYTES = 131072
HEAD_TIMEOUT_S = 10.0
IDLE_CLOSED_AT_ONCE = 16
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)
FULL_PAUSE_S = 0.05
LINGER_S = 1.0
# Refused connections that wait for their callers to read; beyond these the
# oldest are closed at once.
MAX_LINGERING = 64
# All answers are written when the server stops, so a thread that still runs
# waits for the rest of a request, and its connection is closed at once. With
# the library's five seconds, a router with an incomplete request pending
# ends 8.4 s after SIGTERM, while its vm kills it after 6 s.
STOP_TIMEOUT_S = 0
# Threads of a listener at its start; more are started on demand.
INITIAL_THREADS = 4
# For so many worker threads one more may wait for clients.
WAITING_DIVISOR = 2
FULL_HEAD = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Nutmegchute-Outcome: not-run\r\n"
    b"Retry-After: 1\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: 26\r\n"
)
FULL_BODY = b'{"reason":"entry is full"}'

Handler = Callable[[StrictRequest], None]
Application = Callable[..., Any]


class LoopRunner:
    """Run functions on the loop for other threads, which own no state."""

    __slots__ = ("_deferred", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._deferred: deque[tuple[Callable[..., Any], Any]] = deque()

    def schedule(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop without waiting for its result."""
        self._loop.call_soon_threadsafe(function, *args)

    def defer(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop at the next ``run_deferred``.

        Waking the loop costs five system calls and a change of the thread
        that holds the interpreter lock, which deferred functions avoid.
        """
        self._deferred.append((function, args))

    def run_deferred(self) -> None:
        """Run the deferred functions; the loop calls this periodically."""
        while self._deferred:
            function, args = self._deferred.popleft()
            function(*args)

    def run_sync(self, function: Callable[..., Any], *args: Any) -> Any:
        """Run a function on the loop and return its result."""
        future: concurrent.futures.Future[Any] = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(function(*args))
            except Exception as error:
                future.set_exception(error)

        self._loop.call_soon_threadsafe(run)
        return future.result(RUN_TIMEOUT_S)


def answer_not_found(_: Any, start: Callable[..., Any]) -> list[bytes]:
    """Answer 404 on a server without pages."""
    start("404 Not Found", [("Content-Length", "0")])
    return []


def build_full_answer(received: bytes) -> bytes:
    """Return the refusal of a request of which some bytes have arrived."""
    relay_id = read_relay_id(received)
    if not relay_id:
        return FULL_HEAD + b"\r\n" + FULL_BODY
    line = f"{RELAY_CALL_HEADER}: {relay_id}\r\n\r\n".encode()
    return FULL_HEAD + line + FULL_BODY


class Gateway(wsgi.Gateway_10):
    """Route requests to their handler, or to the pages if there is none.

    A call needs its raw target and its headers as received, which the WSGI
    environment does not contain.
    """

    def __init__(self, request: StrictRequest) -> None:
        self.req = request

    def respond(self) -> None:
        """Answer the request."""
        handler = self.req.server.handler_for(self.req.uri)
        if handler is not None:
            handler(self.req)
            return
        try:
            body = Body(self.req, PAGE_BODY_BYTES).read_all()
        except BadBodyError as error:
            phrase = responses.get(error.status, "Unknown")
            self.req.simple_response(f"{error.status} {phrase}", str(error))
            return
        super().__init__(self.req)
        self.env["wsgi.input"] = io.BytesIO(body)
        super().respond()


class Workers(threadpool.ThreadPool):
    """Start worker threads on demand, up to the maximum.

    A vm at its usual load uses a few of them. Starting all costs a router
    0.7 MB, and the library waits a tenth of a second for one that is not
    ready at once.
    """

    _threads: list[Any]

    def __init__(self, server: "Listener", threads: int) -> None:
        super().__init__(
            server, min=min(INITIAL_THREADS, threads), max=threads
        )
        self._guard = server.guard
        # Threads that may wait for clients beside those that work.
        self._max_waiting = max(1, threads // WAITING_DIVISOR)
        self._queue = RequestQueue(threads, self._may_wait)
        self.get = self._queue.get

    def start(self) -> None:
        """Start the first threads."""
        self._add(self.min)

    def put(self, obj: CallerConnection) -> None:
        """Queue a connection; raise queue.Full if the queue is full."""
        if self._queue.qsize() < self.idle:
            self._queue.put_whole(obj)
            return
        if self._count < self.max:
            self._add(1)
        if self._may_wait():
            # Threads are short for other reasons than slow clients.
            self._queue.put_whole(obj)
        elif obj.has_whole_request():
            self._make_room()
            self._queue.put_whole(obj)
        else:
            self._end_waiting()
            self._queue.put_partial(obj)

    def stop(self, timeout: int = 5) -> None:
        """End the threads, also those that wait for clients."""
        now = time.monotonic()
        for client in self._list_clients():
            # An answer that is being read may be written to its end.
            if client.is_kept_waiting(now) or not client.is_writing:
                client.end(STOPPING)
        super().stop(timeout)

    def relieve(self) -> None:
        """Find threads for the requests that are queued; call this often."""
        self._guard.end_late(self._list_waiting())
        if self._queue.qsize() > self.idle and not self._may_wait():
            self._make_room()
        for _ in range(self._queue.partial):
            self._end_waiting()
            self._queue.wake()

    @property
    def _count(self) -> int:
        return len(self._threads)

    def _make_room(self) -> None:
        """Provide a thread for a whole request."""
        if self._count < self.max + self._max_waiting:
            self._add(1)
            return
        self._end_waiting()

    def _end_waiting(self) -> None:
        """End the slowest client if too many keep threads waiting."""
        waiting = self._list_waiting()
        if len(waiting) >= self._max_waiting:
            self._guard.end_slowest(waiting)

    def _may_wait(self) -> bool:
        return len(self._list_waiting()) < self._max_waiting

    def _list_waiting(self) -> list[Client]:
        """List the clients that keep threads waiting."""
        now = time.monotonic()
        clients = self._list_clients()
        return [one for one in clients if one.is_kept_waiting(now)]

    def _list_clients(self) -> list[Client]:
        """List the clients that threads serve."""
        found = []
        for worker in list(self._threads):
            conn = worker.conn
            if conn is not None:
                found.append(conn.client)
        return found

    def _add(self, count: int) -> None:
        for _ in range(count):
            worker = self._spawn_worker()  # type: ignore[attr-defined]
            self._threads.append(worker)


class Connections(connections.ConnectionManager):
    """Accept connections up to a limit, which idle ones make room for."""

    _selector: Any

    def close_idle(self) -> bool:
        """Close the connections idle for the longest; return if any were.

        Those that have never sent a request come first.
        """
        idle = []
        for descriptor, conn in self._selector.connections:
            if conn is self.server:
                continue
            idle.append((conn.is_used, conn.last_used, descriptor, conn))
        idle.sort(key=lambda one: one[:3])
        for _, _, descriptor, conn in idle[:IDLE_CLOSED_AT_ONCE]:
            self._selector.unregister(descriptor)
            conn.close()
        return bool(idle)

    def _from_server_socket(self, server_socket: Any) -> Any:
        server = self.server
        if server.is_full:
            self.close_idle()
        try:
            accepted = super()._from_server_socket(  # type: ignore[misc]
                server_socket
            )
        except OSError as error:
            if error.errno not in NO_DESCRIPTORS:
                raise
            server.guard.record(SHORT_OF_FILES)
            if not self.close_idle():
                # The connection stays in the kernel's queue.
                time.sleep(FULL_PAUSE_S)
            return None
        if accepted is None:
            return None
        server.count_connection(accepted)
        if not server.is_over:
            return accepted
        server.guard.record(SHORT_OF_FILES)
        server.refuse(accepted)
        return None


class Listener(wsgi.Server):
    """Accept callers and limit how many wait for a worker thread."""

    ConnectionClass = CallerConnection
    max_request_header_size = MAX_HEADER_BYTES
    max_request_body_size = SMALL_BODY_BYTES
    keep_alive_conn_limit = MAX_KEEP_ALIVE_CONNECTIONS

    def __init__(self, address: str, threads: int, guard: Guard) -> None:
        self.guard = guard
        super().__init__(
            split_address(address),
            answer_not_found,
            numthreads=threads,
            server_name=SERVER_NAME,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=IDLE_TIMEOUT_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.requests = Workers(self, threads)
        # How long the head of a request may take to arrive, in seconds.
        self.head_timeout_s = HEAD_TIMEOUT_S
        self.max_connections = MAX_KEEP_ALIVE_CONNECTIONS
        self._open: set[CallerConnection] = set()
        self.gateway = Gateway
        self.closing = False
        self._handlers: list[tuple[bytes, Handler]] = []
        self._refused: deque[tuple[float, CallerConnection]] = deque()

    def add_handler(self, prefix: bytes, handler: Handler) -> None:
        """Route requests whose target starts with a prefix to a handler."""
        self._handlers.append((prefix, handler))

    def handler_for(self, target: bytes) -> Handler | None:
        """Return the handler of the first prefix that matches a target."""
        for prefix, handler in self._handlers:
            if target.startswith(prefix):
                return handler
        return None

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether connections may stay open after an answer."""
        if self.closing:
            return False
        return bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: CallerConnection) -> None:
        """Queue a readable connection for a worker, or refuse it at once."""
        if conn.is_new:
            conn.is_new = False
            if not wait_for_read(conn.socket, 0.0):
                # New connections come here before their first request.
                self.put_conn(conn)
                return
        conn.is_used = True
        conn.ready_at = time.monotonic()
        try:
            self.requests.put(conn)
        except queue.Full:
            self.refuse(conn)

    def prepare(self) -> None:
        """Listen and start the first worker threads.

        :raises OSError: the address cannot be bound
        """
        super().prepare()
        # Connections inherit the sizes of these buffers. The kernel would
        # let a client that is not read fill 32 MB.
        for name, size in (
            (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
            (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
        ):
            self.socket.setsockopt(socket.SOL_SOCKET, name, size)
        self._connections.close()  # type: ignore[has-type]
        self._connections = Connections(self)

    @property
    def is_full(self) -> bool:
        """Return whether no further connection may be open."""
        return len(self._open) >= self.max_connections

    @property
    def is_over(self) -> bool:
        """Return whether more connections are open than may be."""
        return len(self._open) > self.max_connections

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._open)

    def count_connection(self, conn: CallerConnection) -> None:
        """Count a new connection until it is closed."""
        self._open.add(conn)
        conn.on_close = self._open.discard

    def linger(self, conn: CallerConnection) -> None:
        """Close a connection after its caller has had time to read."""
        with contextlib.suppress(OSError):
            conn.socket.settimeout(0.0)
            conn.socket.shutdown(socket.SHUT_WR)
        self._refused.append((time.monotonic(), conn))
        while len(self._refused) > MAX_LINGERING:
            with contextlib.suppress(IndexError):
                self._refused.popleft()[1].close()

    def sweep(self) -> None:
        """Close refused connections whose callers have had time to read.

        Until then what arrives is discarded, as unread bytes take memory.
        """
        self.requests.relieve()
        oldest = time.monotonic() - LINGER_S
        for _ in range(len(self._refused)):
            try:
                begun_at, conn = self._refused.popleft()
            except IndexError:
                return
            if begun_at <= oldest or not conn.discard():
                conn.close()
                continue
            self._refused.append((begun_at, conn))

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a handler's failure; disconnecting callers are not logged."""
        if level < logging.WARNING:
            return
        trace = format_exc() if traceback else ""
        log(Event.CALL_FAILED, "error", detail=msg, trace=trace)

    def refuse(self, conn: CallerConnection) -> None:
        """Refuse a connection's next request."""
        # Closing with unread bytes would reset the connection, and the
        # caller would lose the refusal. So what has arrived is read, the
        # sending side is shut down, and the socket is closed a second later.
        sock = conn.socket
        received = b""
        with contextlib.suppress(OSError):
            sock.settimeout(0.0)
            with contextlib.suppress(BlockingIOError):
                received = sock.recv(DISCARD_BYTES)
            sock.send(build_full_answer(received))
        self.linger(conn)


class HttpServer:
    """Serve pages and call handlers on a thread of its own."""

    __slots__ = ("_server", "_thread", "address")

    def __init__(
        self, address: str, threads: int, guard: Guard | None = None
    ) -> None:
        self.address = address
        self._server = Listener(address, threads, guard or Guard())
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    def mount(self, pages: Application) -> None:
        """Serve pages for requests without a handler."""
        self._server.wsgi_app = pages

    def add_handler(self, prefix: bytes, handler: Handler) -> None:
        """Route requests whose target starts with a prefix to a handler."""
        self._server.add_handler(prefix, handler)

    def limit_body(self, limit: int) -> None:
        """Set the size limit of request bodies, in bytes."""
        self._server.max_request_body_size = limit

    def limit_headers(self, limit: int) -> None:
        """Set the size limit of request heads, in bytes."""
        self._server.max_request_header_size = limit

    def limit_header_time(self, header_s: float) -> None:
        """Set how long the head of a request may take, in seconds."""
        self._server.head_timeout_s = header_s

    def limit_connections(self, limit: int) -> None:
        """Set how many connections may be open."""
        self._server.max_connections = limit

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._server.connection_count

    def limit_idle(self, idle_s: float) -> None:
        """Set the time after which idle connections are closed."""
        self._server.timeout = idle_s

    def start(self) -> None:
        """Listen and serve.

        :raises OSError: the address cannot be bound
        """
        self._server.prepare()
        self._thread.start()

    def sweep(self) -> None:
        """Close refused connections; called periodically."""
        self._server.sweep()

    def disable_keep_alive(self) -> None:
        """Close each connection with its next answer."""
        self._server.closing = True

    def stop(self) -> None:
        """Stop listening and join the worker threads."""
        self._server.stop()
        self._thread.join()
