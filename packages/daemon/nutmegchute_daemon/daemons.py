"""Start and stop a daemon in the same way for every role."""

import asyncio
import resource
import signal
from collections.abc import Coroutine
from functools import partial

from returns.result import Failure

from .callers import CallHandler
from .errors import StartError
from .events import Event
from .events import log
from .exchanges import StrictRequest
from .guards import Guard
from .links import Links
from .metrics import Metrics
from .periods import repeat
from .periods import Work
from .relays import RelayDoor
from .reports import REPORT_PERIOD_S
from .reports import Reporter
from .servers import HttpServer
from .servers import LoopRunner
from .settings import read_settings
from .settings import Settings

GRPC_GRACE_S = 0.2
FLUSH_PERIOD_S = 1.0
HTTP_SWEEP_PERIOD_S = 0.25
FINAL_WRITE_S = 0.3
ALL_PATHS = b"/"
METRICS_PATH = b"/metrics"
METRICS_THREADS = 1
# Shares of the open files for the connections of callers. The rest is left to
# connections to endpoints and between daemons, and to the disk.
HTTP_SHARE = 0.5
LISTENER_SHARES = {"relay_address": 0.1, "directory_address": 0.1}
SMALL_LISTENER_SHARE = 0.05


class Daemon:
    """Run one role on one event loop in one thread."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._runner = LoopRunner(self._loop)
        self._links = Links()
        self._metrics = Metrics(settings.statsd_address, settings.name)
        self._guard = Guard(settings.memory_bytes)
        self._open_files = _find_open_files(settings)
        self._http = HttpServer(
            settings.http_address, settings.http_threads, self._guard
        )
        self._http.limit_connections(int(self._open_files * HTTP_SHARE))
        # Additional listeners by the setting that holds their address.
        self._listeners: dict[str, HttpServer] = {}
        self._stopping = asyncio.Event()
        self._abort_requested = asyncio.Event()
        self._stop_signalled = False
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Start, wait for a signal, finish the calls in flight and stop.

        :raises StartError: an address or the data folder cannot be used
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal, number)
        # Without a handler, SIGHUP would end the process.
        self._loop.add_signal_handler(signal.SIGHUP, self._on_sighup)
        try:
            self.prepare()
            self._serve_metrics()
            await self._listen()
        except StartError:
            # A gRPC server that is not stopped prints a meaningless error when
            # the interpreter exits, after the one that gives the cause.
            await self._links.stop(0)
            raise
        self._http.limit_body(self._settings.request_body_bytes)
        self.run_every(HTTP_SWEEP_PERIOD_S, self._http.sweep)
        self.run_every(FLUSH_PERIOD_S, self._report_clients)
        self.run_every(FLUSH_PERIOD_S, self._report_sent_bytes)
        self.run_every(FLUSH_PERIOD_S, self._metrics.flush)
        self.start_tasks()
        reporter = Reporter(self._metrics, self.gauges, self._loop.time)
        self.run_every(REPORT_PERIOD_S, reporter.report)
        log(Event.STARTED, role=self._settings.role)
        await self._stopping.wait()
        log(Event.STOPPING)
        await self._finish_in_time()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        servers = (*self._listeners.values(), self._http)
        await asyncio.gather(
            *[asyncio.to_thread(server.stop) for server in servers],
            self._links.stop(GRPC_GRACE_S),
        )
        self.close()
        log(Event.STOPPED)

    def stop(self) -> None:
        """Begin the graceful stop, as a signal does; idempotent."""
        self._stopping.set()

    def abort(self) -> int:
        """Abort the calls in flight; return how many there were."""
        return 0

    def reload(self, settings: Settings) -> None:
        """Apply changed settings.

        Roles extend this for settings that can change at run time.
        """
        self._settings = settings
        self._guard.set_memory(settings.memory_bytes)

    def prepare(self) -> None:
        """Build the role's state and add its HTTP and gRPC handlers."""
        raise NotImplementedError

    def start_tasks(self) -> None:
        """Start the role's background tasks."""
        raise NotImplementedError

    def gauges(self) -> dict[str, float]:
        """Return the values of the role's gauges by name."""
        return {}

    async def finish(self) -> None:
        """Complete the calls in flight before the listeners close."""

    def close(self) -> None:
        """Release the role's resources."""

    def add_listener(
        self, setting: str, address: str | None, threads: int
    ) -> HttpServer | None:
        """Add a listener at the address that a setting holds, if any."""
        if address is None:
            return None
        server = HttpServer(address, threads, self._guard)
        share = LISTENER_SHARES.get(setting, SMALL_LISTENER_SHARE)
        server.limit_connections(int(self._open_files * share))
        self._listeners[setting] = server
        self.run_every(HTTP_SWEEP_PERIOD_S, server.sweep)
        return server

    def add_relay_listener(
        self, door: RelayDoor | None, handler: CallHandler
    ) -> HttpServer | None:
        """Add a listener for the calls of other entries, if it is set."""
        if door is None:
            return None
        server = self.add_listener(
            "relay_address", door.address.address, self._settings.http_threads
        )
        assert server is not None
        server.limit_body(self._settings.request_body_bytes)
        server.add_handler(
            ALL_PATHS, partial(handler.answer_relayed, door=door)
        )
        return server

    def run_every(self, period_s: float, work: Work) -> None:
        """Call a function or coroutine function periodically."""
        self.spawn(repeat(period_s, work))

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine as a task; cancel it when the daemon stops."""
        self._tasks.append(self._loop.create_task(work))

    def _report_clients(self) -> None:
        """Report what clients hold, and whom that was refused for."""
        self._guard.report()
        servers = (self._http, *self._listeners.values())
        connections = sum(one.connections for one in servers)
        self._metrics.gauge("connections", connections)
        self._metrics.gauge("held_bytes", self._guard.held_bytes)
        self._metrics.gauge("held_bytes_bound", self._guard.bound_bytes)
        for reason, count in self._guard.pop_ended().items():
            self._metrics.count(f"clients_ended.{reason}", count)

    def _report_sent_bytes(self) -> None:
        for method, count in self._links.pop_sent_bytes().items():
            self._metrics.count(f"sent_bytes.{method}", count)

    def _on_signal(self, number: int) -> None:
        # A drain by an operator followed by the service manager's signal is
        # one graceful stop, and service managers may repeat SIGTERM. Only
        # an interrupt during a stop aborts the calls in flight.
        if number == signal.SIGINT and self._stop_signalled:
            self._abort_requested.set()
        self._stop_signalled = True
        self._stopping.set()

    def _on_sighup(self) -> None:
        if self._settings.path is None:
            return
        settings = read_settings(self._settings.path)
        if isinstance(settings, Failure):
            # An invalid file leaves the settings as they are.
            log(Event.SETTINGS_RELOAD, "error", detail=str(settings.failure()))
            return
        self.reload(settings.unwrap())
        log(Event.SETTINGS_RELOAD)

    async def _finish_in_time(self) -> None:
        finish_task = asyncio.ensure_future(self.finish())
        abort_task = asyncio.ensure_future(self._abort_requested.wait())
        await asyncio.wait(
            [finish_task, abort_task],
            timeout=self._settings.shutdown_limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        abort_task.cancel()
        if finish_task.done():
            await finish_task
            return
        finish_task.cancel()
        log(Event.WORK_ABORTED, "warning", calls=self.abort())
        # Time to write the last answers.
        await asyncio.sleep(FINAL_WRITE_S)

    def _serve_metrics(self) -> None:
        server = self.add_listener(
            "metrics_address", self._settings.metrics_address, METRICS_THREADS
        )
        if server is not None:
            server.add_handler(METRICS_PATH, self._answer_metrics)

    def _answer_metrics(self, http: StrictRequest) -> None:
        body = self._metrics.text()
        http.begin(
            200,
            [
                ("Content-Type", "text/plain; version=0.0.4"),
                ("Content-Length", str(len(body))),
            ],
        )
        http.write(body)

    async def _listen(self) -> None:
        try:
            await self._links.start(self._settings.grpc_address)
        except RuntimeError as error:
            raise StartError(
                f"grpc_address: cannot listen on "
                f"{self._settings.grpc_address}: address in use"
            ) from error
        for setting, server in self._listeners.items():
            self._start_listener(setting, server)
        self._start_listener("http_address", self._http)

    def _start_listener(self, setting: str, server: HttpServer) -> None:
        try:
            server.start()
        except OSError as error:
            raise StartError(
                f"{setting}: cannot listen on {server.address}: {error}"
            ) from error


def _find_open_files(settings: Settings) -> int:
    """Return how many files the process may have open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if settings.open_files is None:
        return limit
    return min(limit, settings.open_files)
