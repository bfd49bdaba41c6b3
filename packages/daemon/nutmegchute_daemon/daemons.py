"""Share what every role does: start, run until told to stop, stop."""

import asyncio
import signal
from collections.abc import Coroutine

from returns.result import Failure

from .errors import StartError
from .events import Event
from .events import log
from .exchanges import StrictRequest
from .links import Links
from .metrics import Metrics
from .periods import repeat
from .periods import Work
from .reports import REPORT_S
from .reports import Reporter
from .servers import HttpServer
from .servers import LoopRunner
from .settings import read_settings
from .settings import Settings

GRPC_GRACE_S = 0.2
FLUSH_S = 1.0
HTTP_SWEEP_S = 0.25
CUT_S = 0.3
METRICS_PATH = b"/metrics"
METRICS_THREADS = 1


class Daemon:
    """Run one role on one loop on one thread."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._runner = LoopRunner(self._loop)
        self._links = Links()
        self._metrics = Metrics(settings.statsd_address, settings.name)
        self._http = HttpServer(settings.http_address, settings.http_threads)
        # Listeners beside the first, by the setting that gives the address.
        self._listeners: dict[str, HttpServer] = {}
        self._stopping = asyncio.Event()
        self._hurry = asyncio.Event()
        self._signals = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Start, wait for a signal, finish the work and stop.

        :raises StartError: an address or the data folder cannot be used
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._on_signal)
        # Unhandled, a hangup would end the process.
        self._loop.add_signal_handler(signal.SIGHUP, self._on_hangup)
        try:
            self.prepare()
            self._serve_metrics()
            await self._listen()
        except StartError:
            # Left to the interpreter's end, the gRPC server prints a
            # second, meaningless error after the line that counts.
            await self._links.stop(0)
            raise
        self._http.limit_body(self._settings.request_body_bytes)
        self.run_every(HTTP_SWEEP_S, self._http.sweep)
        self.run_every(FLUSH_S, self._metrics.flush)
        self.start_tasks()
        reporter = Reporter(self._metrics, self.gauges, self._loop.time)
        self.run_every(REPORT_S, reporter.report)
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
        """Begin to stop, as a signal does; safe to repeat."""
        self._stopping.set()

    def abort(self) -> int:
        """End what is in flight; return how much that was."""
        return 0

    def reload(self, settings: Settings) -> None:
        """Take settings that have changed; a role adds what it can use."""
        self._settings = settings

    def prepare(self) -> None:
        """Build the role's state and mount what it serves."""
        raise NotImplementedError

    def start_tasks(self) -> None:
        """Start the role's periodic work."""
        raise NotImplementedError

    def gauges(self) -> dict[str, float]:
        """Give the role's gauges by name."""
        return {}

    async def finish(self) -> None:
        """Complete what is in flight before the listeners close."""

    def close(self) -> None:
        """Release what the role holds."""

    def add_listener(
        self, place: str, address: str | None, threads: int
    ) -> HttpServer | None:
        """Listen at another address as well, if one is set."""
        if address is None:
            return None
        server = HttpServer(address, threads)
        self._listeners[place] = server
        return server

    def run_every(self, period_s: float, work: Work) -> None:
        """Do some work again and again, by a function or a coroutine."""
        self.spawn(repeat(period_s, work))

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Run a coroutine until the daemon stops."""
        self._tasks.append(self._loop.create_task(work))

    def _on_signal(self) -> None:
        # An operator's drain followed by the service manager's signal is
        # one graceful stop; only a second signal asks for haste.
        self._signals += 1
        self._stopping.set()
        if self._signals > 1:
            self._hurry.set()

    def _on_hangup(self) -> None:
        if self._settings.path is None:
            return
        settings = read_settings(self._settings.path)
        if isinstance(settings, Failure):
            # What is in force was checked; a broken file changes nothing.
            log(Event.SETTINGS_RELOAD, "error", detail=str(settings.failure()))
            return
        self.reload(settings.unwrap())
        log(Event.SETTINGS_RELOAD)

    async def _finish_in_time(self) -> None:
        finishing = asyncio.ensure_future(self.finish())
        hurrying = asyncio.ensure_future(self._hurry.wait())
        await asyncio.wait(
            [finishing, hurrying],
            timeout=self._settings.shutdown_limit_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        hurrying.cancel()
        if finishing.done():
            await finishing
            return
        finishing.cancel()
        log(Event.WORK_ABORTED, "warning", calls=self.abort())
        # Time for the last answers to be written.
        await asyncio.sleep(CUT_S)

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
        for place, server in self._listeners.items():
            self._open(place, server)
        self._open("http_address", self._http)

    def _open(self, place: str, server: HttpServer) -> None:
        try:
            server.start()
        except OSError as error:
            raise StartError(
                f"{place}: cannot listen on {server.address}: {error}"
            ) from error
