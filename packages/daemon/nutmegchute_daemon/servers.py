"""Serve HTTP on worker threads of CherryPy's server, Cheroot."""

import asyncio
import concurrent.futures
import contextlib
import logging
import queue
import socket
import threading
import time
from collections import deque
from collections.abc import Callable
from traceback import format_exc
from typing import Any

from cheroot import wsgi
from cheroot.workers import threadpool

from .events import Event
from .events import log
from .exchanges import CallerConnection
from .exchanges import StrictRequest
from .settings import split_address

ASK_TIMEOUT_S = 5.0
KEEP_ALIVE_S = 75
ACCEPT_BACKLOG = 512
KEEP_ALIVE_CONNECTIONS = 4096
SERVER_NAME = "nutmegchute"
HEADER_BYTES = 65536
DRAIN_BYTES = 65536
LINGER_S = 1.0
# When the server stops all answers are written, so a thread that has not
# ended waits for the rest of a request, and its connection is closed at
# once. In the library's own five seconds a router with half a request before
# it ended 8.4 s after SIGTERM, and its vm kills after 6 s.
STOP_TIMEOUT_S = 0
# Threads of a listener at its start; more are started as they are needed.
INITIAL_THREADS = 4
FULL_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Nutmegchute-Outcome: not-run\r\n"
    b"Retry-After: 1\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: 26\r\n\r\n"
    b'{"reason":"entry is full"}'
)

Handler = Callable[[StrictRequest], None]
Application = Callable[..., Any]


class LoopRunner:
    """Run functions on the loop for threads that own no state."""

    __slots__ = ("_deferred", "_loop")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._deferred: deque[tuple[Callable[..., Any], Any]] = deque()

    def schedule(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop without waiting for it."""
        self._loop.call_soon_threadsafe(function, *args)

    def defer(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop when it next looks, soon enough.

        Waking the loop costs five system calls and a turn of the
        interpreter lock; what nobody waits for is spared them.
        """
        self._deferred.append((function, args))

    def run_deferred(self) -> None:
        """Run what was left for later; the loop calls this."""
        while self._deferred:
            function, args = self._deferred.popleft()
            function(*args)

    def run_sync(self, function: Callable[..., Any], *args: Any) -> Any:
        """Run a function on the loop and return what it returns."""
        future: concurrent.futures.Future[Any] = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(function(*args))
            except Exception as error:
                future.set_exception(error)

        self._loop.call_soon_threadsafe(run)
        return future.result(ASK_TIMEOUT_S)


def no_pages(_: Any, start: Callable[..., Any]) -> list[bytes]:
    """Answer for a server that has no pages."""
    start("404 Not Found", [("Content-Length", "0")])
    return []


class Gateway(wsgi.Gateway_10):
    """Give calls to their handler, everything else to the pages.

    A call needs its raw target and its headers as they came, which the
    dictionary that WSGI asks for no longer has.
    """

    def __init__(self, request: StrictRequest) -> None:
        self.req = request

    def respond(self) -> None:
        """Answer the request."""
        handler = self.req.server.handler_for(self.req.uri)
        if handler is not None:
            handler(self.req)
            return
        super().__init__(self.req)
        super().respond()


class Workers(threadpool.ThreadPool):
    """Start worker threads as connections need them, up to the most.

    A vm at its usual load uses a few of them. Starting all takes a router
    0.7 MB, and the library waits a tenth of a second for one that is not
    ready at once.
    """

    def start(self) -> None:
        """Start the first threads."""
        self._add(self.min)

    def put(self, obj: CallerConnection) -> None:
        """Queue a connection; queue.Full says that there is no room."""
        waiting: int = self._queue.qsize()  # type: ignore[attr-defined]
        if waiting >= self.idle and self._count < self.max:
            self._add(1)
        super().put(obj)

    @property
    def _count(self) -> int:
        return len(self._threads)  # type: ignore[attr-defined]

    def _add(self, count: int) -> None:
        for _ in range(count):
            worker = self._spawn_worker()  # type: ignore[attr-defined]
            self._threads.append(worker)  # type: ignore[attr-defined]


class Listener(wsgi.Server):
    """Accept callers, bounded in what waits for a worker thread."""

    ConnectionClass = CallerConnection
    max_request_header_size = HEADER_BYTES
    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS

    def __init__(self, address: str, threads: int) -> None:
        super().__init__(
            split_address(address),
            no_pages,
            numthreads=threads,
            server_name=SERVER_NAME,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=KEEP_ALIVE_S,
            shutdown_timeout=STOP_TIMEOUT_S,
        )
        self.requests = Workers(
            self,
            min=min(INITIAL_THREADS, threads),
            max=threads,
            accepted_queue_size=threads,
            accepted_queue_timeout=0,
        )
        self.gateway = Gateway
        self.closing = False
        self._handlers: list[tuple[bytes, Handler]] = []
        self._refused: deque[tuple[float, CallerConnection]] = deque()

    def add_handler(self, prefix: bytes, handler: Handler) -> None:
        """Give requests whose target begins so to a handler."""
        self._handlers.append((prefix, handler))

    def handler_for(self, target: bytes) -> Handler | None:
        """Return the handler of a target, if it has one of its own."""
        for prefix, handler in self._handlers:
            if target.startswith(prefix):
                return handler
        return None

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Tell whether an answer may leave its connection open."""
        if self.closing:
            return False
        return bool(super().can_add_keepalive_connection)

    def process_conn(self, conn: CallerConnection) -> None:
        """Hand a readable connection to a worker, or refuse it at once."""
        conn.ready_at = time.monotonic()
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn)

    def sweep(self) -> None:
        """Close refused connections whose caller has had time to read."""
        oldest = time.monotonic() - LINGER_S
        while self._refused and self._refused[0][0] <= oldest:
            _, conn = self._refused.popleft()
            conn.close()

    def error_log(
        self, msg: str = "", level: int = 20, traceback: bool = False
    ) -> None:
        """Log a failure of a handler; callers that go away are usual."""
        if level < logging.WARNING:
            return
        trace = format_exc() if traceback else ""
        log(Event.CALL_FAILED, "error", detail=msg, trace=trace)

    def _refuse(self, conn: CallerConnection) -> None:
        # Closing with bytes unread would reset the connection, and the
        # refusal would be lost with it. So what has come is read, the
        # sending side is closed, and the rest follows a second later.
        sock = conn.socket
        with contextlib.suppress(OSError):
            sock.settimeout(0.0)
            with contextlib.suppress(BlockingIOError):
                sock.recv(DRAIN_BYTES)
            sock.send(FULL_ANSWER)
            sock.shutdown(socket.SHUT_WR)
        self._refused.append((time.monotonic(), conn))


class HttpServer:
    """Serve pages and the handlers of calls."""

    __slots__ = ("_server", "_thread", "address")

    def __init__(self, address: str, threads: int) -> None:
        self.address = address
        self._server = Listener(address, threads)
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    def mount(self, pages: Application) -> None:
        """Serve pages where no handler takes the request."""
        self._server.wsgi_app = pages

    def add_handler(self, prefix: bytes, handler: Handler) -> None:
        """Give requests whose target begins so to a handler."""
        self._server.add_handler(prefix, handler)

    def limit_body(self, most: int) -> None:
        """Take no longer bodies, in bytes."""
        self._server.max_request_body_size = most

    def limit_headers(self, most: int) -> None:
        """Take no longer heads of requests, in bytes."""
        self._server.max_request_header_size = most

    def limit_idle(self, idle_s: float) -> None:
        """Close connections that nobody uses for so long."""
        self._server.timeout = idle_s

    def start(self) -> None:
        """Listen and serve; OSError says the address cannot be had."""
        self._server.prepare()
        self._thread.start()

    def sweep(self) -> None:
        """Do the periodic work of the listener."""
        self._server.sweep()

    def disable_keep_alive(self) -> None:
        """Close each connection with its next answer."""
        self._server.closing = True

    def stop(self) -> None:
        """Stop listening and join the worker threads."""
        self._server.stop()
        self._thread.join()
