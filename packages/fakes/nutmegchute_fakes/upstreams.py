"""Serve calls as a fake upstream that announces itself and records runs.

Usage:
  upstreams --service=NAME --address=ADDRESS
      --zone=NAME --entries=ADDRESSES [--slots=N] [--service-ms=MS]
      [--key=KEY] [--record=PATH] [--reset-at=N] [--announce-as=ADDRESS]

Options:
  --service=NAME       Service to announce.
  --address=ADDRESS    IP and port to serve on.
  --zone=NAME          Availability zone to announce.
  --entries=ADDRESSES  Entries to announce to, separated by commas.
  --slots=N            Calls run concurrently [default: 3].
  --service-ms=MS      Duration of one call [default: 2].
  --key=KEY            Key of the service, sent with announcements.
  --record=PATH        File that gets a line per run, kept after a kill.
  --reset-at=N         Calls in flight at which further ones are reset.
  --announce-as=ADDRESS  Address to announce, that of a proxy.

A call to CRASH_PATH is recorded and ends the process. A JSON object sent to
DEMANDS_PATH sets what the upstream asks of entries in all its answers, a GET
returns it; SEEN_PATH lists the Unix times at which calls and load queries
arrived. A JSON object sent to DISORDERS_PATH sets which shares of the answers
are spoiled.
"""

import errno
import os
import signal
import socket
import struct
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from pathlib import Path
from typing import Any
from typing import cast

import msgspec
import urllib3
from cheroot import wsgi
from cheroot.workers.threadpool import WorkerThread
from docopt import docopt
from urllib3.exceptions import HTTPError

from .disorders import Disorder
from .disorders import Disorders
from .disorders import DISORDERS_PATH

ANNOUNCE_INTERVAL_S = 0.5
DRAIN_DELAY_S = 1.5
EXTRA_THREADS = 8
MAX_CALLS_PER_SLOT = 4
KEEP_ALIVE_CONNECTIONS = 1024
CRASH_PATH = "/crash"
CRASH_STATUS = 70
RESET_LINE = "reset a connection: full"
ORGANISATION = "HTTP_NUTMEGCHUTE_ORGANISATION"
ATTEMPT_ID = "Nutmegchute-Attempt-Id"
ATTEMPT_ID_KEY = "HTTP_NUTMEGCHUTE_ATTEMPT_ID"
# Each key of the soak starts with this, so that one is recognised wherever
# it occurs.
KEY_PREFIX = "soak-key-"

DEMANDS_PATH = "/_demands"
SEEN_PATH = "/_seen"

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Demands(msgspec.Struct, frozen=True):
    """Hold what an upstream asks of entries in its answers.

    With ``rest_s`` it turns every call away and asks for that many seconds of
    rest.
    """

    limit: float | None = None
    rest_s: float | None = None
    draining: bool = False

    def headers(self) -> list[tuple[str, str]]:
        """Return the headers of every answer."""
        found = []
        if self.limit is not None:
            found.append(("Nutmegchute-Limit", str(self.limit)))
        if self.draining:
            found.append(("Nutmegchute-Draining", "1"))
        return found


class FakeUpstream:
    """Serve calls on a few slots and record which requests ran."""

    __slots__ = (
        "_address",
        "_demands",
        "_disorder",
        "_draining",
        "_free_slots",
        "_in_flight",
        "_incarnation",
        "_lock",
        "_ran",
        "_record",
        "_reset_at",
        "_seen",
        "_service",
        "_service_s",
        "_slots",
        "_zone",
    )

    def __init__(
        self,
        service: str,
        address: str,
        zone: str,
        slots: int,
        service_s: float,
        record: Path | None = None,
        reset_at: int | None = None,
    ) -> None:
        self._service = service
        self._reset_at = reset_at
        self._address = address
        self._zone = zone
        self._slots = slots
        self._service_s = service_s
        self._free_slots = threading.Semaphore(slots)
        self._lock = threading.Lock()
        self._in_flight = 0
        self._ran: list[str] = []
        self._record = record.open("a") if record is not None else None
        self._draining = False
        self._demands = Demands()
        self._disorder = Disorder()
        self._seen: list[float] = []
        self._incarnation = time.time_ns()

    @property
    def draining(self) -> bool:
        """Return whether the endpoint is draining."""
        return self._draining

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a call or a request of the test."""
        if any(KEY_PREFIX in str(value) for value in environ.values()):
            print("received a key:", environ, flush=True)
        path = environ["PATH_INFO"]
        if path == "/_ran":
            return _answer(start_response, self._ran, [])
        if path == "/_drain":
            self.drain()
            return _answer(start_response, {}, [])
        if path == DEMANDS_PATH:
            if environ["REQUEST_METHOD"] == "POST":
                content = environ["wsgi.input"].read()
                self._demands = msgspec.json.decode(content, type=Demands)
            return _answer(start_response, self._demands, [])
        if path == SEEN_PATH:
            return _answer(start_response, self._seen, [])
        if path == DISORDERS_PATH:
            content = environ["wsgi.input"].read()
            self._disorder.shares = msgspec.json.decode(
                content, type=Disorders
            )
            return _answer(start_response, {}, [])
        self._seen.append(time.time())
        self._disorder.send_late_copy()
        if path == "/nutmegchute/load":
            headers = self._report_headers(self._in_flight)
            return self._answer_call(start_response, {}, headers)
        return self._run(environ, start_response)

    def drain(self) -> None:
        """Announce from now on that the endpoint is draining."""
        self._draining = True

    def _report_headers(self, load: int) -> list[tuple[str, str]]:
        return [("Nutmegchute-Load", str(load)), *self._demands.headers()]

    def _record_run(self, request_id: str, environ: dict[str, Any]) -> None:
        self._ran.append(request_id)
        if self._record is None:
            return
        method = environ["REQUEST_METHOD"]
        at_unix_s = time.time()
        incarnation = self._incarnation
        organisation = environ.get(ORGANISATION, "-")
        line = (
            f"{at_unix_s:.3f} {incarnation} {method} {organisation} "
            f"{request_id}\n"
        )
        # A single write, so that a kill leaves complete lines only and no
        # run is missing from the record.
        self._record.write(line)
        self._record.flush()

    def raise_incarnation(self, incarnation: int) -> None:
        """Exceed the incarnation of an earlier process with a faster clock."""
        self._incarnation = max(self._incarnation, incarnation + 1)

    def build_announcement(self) -> dict[str, Any]:
        """Return the current announcement of the endpoint."""
        return {
            "service": self._service,
            "endpoint": self._address,
            "availability_zone": self._zone,
            "slots": self._slots,
            "incarnation": self._incarnation,
            "state": "draining" if self._draining else "up",
        }

    def _run(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        body = environ["wsgi.input"].read()
        name = [(ATTEMPT_ID, environ.get(ATTEMPT_ID_KEY, ""))]
        if self._demands.rest_s is not None:
            headers = [
                ("Nutmegchute-Not-Run", "shed"),
                ("Retry-After", str(self._demands.rest_s)),
                *name,
                *self._report_headers(self._in_flight),
            ]
            return self._answer_call(start_response, {}, headers, "503 Rest")
        if self._reset_at is not None and self._in_flight >= self._reset_at:
            reset_connection()
        with self._lock:
            overloaded = self._in_flight >= self._slots * MAX_CALLS_PER_SLOT
            overloaded |= self._disorder.draws(self._disorder.shares.shed)
            if not overloaded:
                self._in_flight += 1
        if overloaded:
            if self._disorder.draws(self._disorder.shares.unnamed):
                name = []
            headers = [
                ("Nutmegchute-Not-Run", "shed"),
                *name,
                *self._report_headers(self._in_flight),
            ]
            return self._answer_call(start_response, {}, headers, "503 Shed")
        with self._free_slots:
            time.sleep(self._service_s)
            request_id = environ.get("HTTP_X_REQUEST_ID", "")
            with self._lock:
                self._record_run(request_id, environ)
                if environ["PATH_INFO"] == CRASH_PATH:
                    os._exit(CRASH_STATUS)
                self._in_flight -= 1
                load = self._in_flight
        answer = {
            "service": self._service,
            "endpoint": self._address,
            "echo": request_id,
            "bytes": len(body),
        }
        headers = [*name, *self._report_headers(load)]
        return self._answer_call(start_response, answer, headers)

    def _answer_call(
        self,
        start_response: StartResponse,
        value: Any,
        headers: list[tuple[str, str]],
        status: str = "200 OK",
    ) -> list[bytes]:
        body = msgspec.json.encode(value)
        length = ("Content-Length", str(len(body)))
        self._disorder.spoil(status, [length, *headers], body)
        return _answer(start_response, value, headers, status)


class Announcer:
    """Announce an upstream to the entries until stopped."""

    __slots__ = ("_entries", "_headers", "_pool", "_stopping", "_upstream")

    def __init__(
        self, upstream: FakeUpstream, entries: list[str], key: str | None
    ) -> None:
        self._upstream = upstream
        self._entries = entries
        self._headers = {"Nutmegchute-Service-Key": key or ""}
        self._pool = urllib3.PoolManager(timeout=1.0, retries=False)
        self._stopping = threading.Event()

    def stop(self) -> None:
        """Stop announcing."""
        self._stopping.set()

    def run(self) -> None:
        """Announce to one entry at a time; try the next one on failure."""
        index = 0
        while not self._stopping.wait(ANNOUNCE_INTERVAL_S if index else 0):
            for _ in self._entries:
                entry = self._entries[index % len(self._entries)]
                if self._announce(entry):
                    break
                index += 1
            index = index or len(self._entries)

    def _announce(self, entry: str) -> bool:
        body = msgspec.json.encode(self._upstream.build_announcement())
        url = f"http://{entry}/announce"
        try:
            answer = self._pool.request(
                "POST", url, body=body, headers=self._headers
            )
        except HTTPError:
            return False
        if answer.status == 409:
            known_incarnation = msgspec.json.decode(answer.data)["incarnation"]
            self._upstream.raise_incarnation(known_incarnation)
        return answer.status == 200


def reset_connection() -> None:
    """Reset the connection of the call that this thread serves."""
    print(RESET_LINE, flush=True)
    connection = cast(WorkerThread, threading.current_thread()).conn
    linger = struct.pack("ii", 1, 0)
    connection.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    # The server closes the connection without an answer.
    raise ConnectionResetError(errno.ECONNRESET, RESET_LINE)


def _answer(
    start_response: StartResponse,
    value: Any,
    headers: list[tuple[str, str]],
    status: str = "200 OK",
) -> list[bytes]:
    body = msgspec.json.encode(value)
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        *headers,
    ]
    start_response(status, headers)
    return [body]


def main() -> None:
    """Serve and announce; drain and stop on SIGTERM."""
    arguments = docopt(__doc__)
    slots = int(arguments["--slots"])
    upstream = FakeUpstream(
        service=arguments["--service"],
        address=arguments["--announce-as"] or arguments["--address"],
        zone=arguments["--zone"],
        slots=slots,
        service_s=float(arguments["--service-ms"]) / 1000,
        record=Path(arguments["--record"]) if arguments["--record"] else None,
        reset_at=int(arguments["--reset-at"] or 0) or None,
    )
    host, _, port = arguments["--address"].rpartition(":")
    threads = slots * MAX_CALLS_PER_SLOT + EXTRA_THREADS
    server = wsgi.Server((host, int(port)), upstream, numthreads=threads)
    # Above its limit, ten by default, the server closes connections after
    # each answer, and latencies would include connecting.
    server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    entries = arguments["--entries"].split(",")
    announcer = Announcer(upstream, entries, arguments["--key"])
    threading.Thread(target=announcer.run, daemon=True).start()

    def stop(number: int, frame: Any) -> None:
        threading.Thread(target=drain, daemon=True).start()

    def drain() -> None:
        upstream.drain()
        time.sleep(DRAIN_DELAY_S)
        announcer.stop()
        server.stop()

    signal.signal(signal.SIGTERM, stop)
    server.start()


if __name__ == "__main__":
    main()
