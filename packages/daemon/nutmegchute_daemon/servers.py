"""Serve HTTP: CherryPy on worker threads, decisions on the loop."""

import asyncio
import concurrent.futures
import logging
import threading
from collections.abc import Callable
from traceback import format_exc
from typing import Any

import cherrypy
from cheroot import wsgi

from .events import Event
from .events import log
from .handlers import plain_error
from .settings import split_address

ASK_TIMEOUT_S = 5.0
KEEP_ALIVE_S = 75
ACCEPT_BACKLOG = 512
KEEP_ALIVE_CONNECTIONS = 4096
SERVER_NAME = "nutmegchute"


class LoopAsker:
    """Run functions on the loop for threads that own no state."""

    __slots__ = ("_loop",)

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def tell(self, function: Callable[..., Any], *args: Any) -> None:
        """Run a function on the loop without waiting for it."""
        self._loop.call_soon_threadsafe(function, *args)

    def ask(self, function: Callable[..., Any], *args: Any) -> Any:
        """Run a function on the loop and return what it returns."""
        future: concurrent.futures.Future[Any] = concurrent.futures.Future()

        def run() -> None:
            try:
                future.set_result(function(*args))
            except Exception as error:
                future.set_exception(error)

        self._loop.call_soon_threadsafe(run)
        return future.result(ASK_TIMEOUT_S)


class LoggedServer(wsgi.Server):
    """Log what CherryPy's server would write to standard error as text."""

    def error_log(
        self, msg: str = "", level: int = logging.INFO, traceback: bool = False
    ) -> None:
        """Log a failure of a handler as a numbered event."""
        if level < logging.WARNING:
            return
        trace = format_exc() if traceback else ""
        log(Event.CALL_FAILED, "error", detail=msg, trace=trace)


class HttpServer:
    """Serve CherryPy's tree and grafted WSGI applications."""

    __slots__ = ("_server", "_thread")

    def __init__(self, address: str, threads: int) -> None:
        cherrypy.config.update(
            {
                "environment": "embedded",
                "log.screen": False,
                "tools.encode.on": False,
                "error_page.default": plain_error,
            }
        )
        # CherryPy's own server would listen on its default port as well,
        # and a second daemon on the vm would end without a word.
        cherrypy.server.unsubscribe()
        self._server = LoggedServer(
            split_address(address),
            cherrypy.tree,
            numthreads=threads,
            server_name=SERVER_NAME,
            request_queue_size=ACCEPT_BACKLOG,
            timeout=KEEP_ALIVE_S,
        )
        # The default of ten closes every further connection after an
        # answer, and its caller pays for a new one.
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self._thread = threading.Thread(
            target=self._server.serve, name="http", daemon=True
        )

    def mount(self, root: object) -> None:
        """Serve a CherryPy object at the root."""
        cherrypy.tree.mount(root, "/", {"/": {"tools.gzip.on": False}})

    def graft(self, application: Any, path: str) -> None:
        """Serve a WSGI application below a path."""
        cherrypy.tree.graft(application, path)

    def start(self) -> None:
        """Listen and serve; OSError says the address cannot be had."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening and join the worker threads."""
        self._server.stop()
        self._thread.join()
