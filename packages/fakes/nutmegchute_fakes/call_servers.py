"""Serve callers as an entry does, in this process, without control."""

import asyncio
import contextlib
import socket
import threading
from collections.abc import Iterator
from functools import partial
from typing import Any

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.members import Announcement
from nutmegchute_core.reachability import ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import read_services
from nutmegchute_daemon.callers import CallHandler
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.dispatchers import Dispatcher
from nutmegchute_daemon.dispatchers import SWEEP_S
from nutmegchute_daemon.metrics import Metrics
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.readers import CALL_PATH
from nutmegchute_daemon.relays import build_door
from nutmegchute_daemon.relays import RelayDoor
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.servers import HttpServer
from nutmegchute_daemon.servers import LoopRunner

from .clusters import find_free_address

SERVICE = "catalogo"
SEED = 7
ZONE = "surco"
DEADLINE_MS = 1000
BODY_BYTES = 1048576


class CallServer:
    """Serve the calls of one service with the classes of an entry."""

    def __init__(
        self,
        endpoints: list[str],
        *,
        threads: int = 8,
        slots: int = 4,
        deadline_ms: int = DEADLINE_MS,
        hedge: bool = False,
    ) -> None:
        self.address = find_free_address()
        self.outcomes: list[str] = []
        self._http = HttpServer(self.address, threads)
        self._http.limit_body(BODY_BYTES)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._runner = LoopRunner(self._loop)
        self.handler = CallHandler(
            runner=self._runner,
            sender=Sender(ConnectionPool()),
            name="entry-1",
            body_bytes=BODY_BYTES,
            threads=threads,
        )
        document = _build_document(slots, deadline_ms, hedge)
        announcements = [
            Announcement(SERVICE, endpoint, ZONE, slots, 1)
            for endpoint in endpoints
        ]
        # Set by accept_relays.
        self._relays: HttpServer | None = None
        self._runner.run_sync(self._build, document, announcements)
        self._http.add_handler(CALL_PATH, self.handler)
        self._http.start()

    def accept_relays(self, threads: int = 4) -> RelayDoor:
        """Serve calls that other entries pass on, at an address for them."""
        door = build_door(find_free_address())
        assert door is not None
        self._relays = HttpServer(door.address.address, threads)
        self._relays.limit_body(BODY_BYTES)
        self._relays.add_handler(
            b"/", partial(self.handler.answer_relayed, door=door)
        )
        self._relays.start()
        return door

    def end_calls(self) -> None:
        """End all calls as an entry does that stops at once."""
        self._runner.run_sync(self.dispatcher.end_all)

    def limit_bodies(self, max_body_bytes: int, buffer_bytes: int) -> None:
        """Set the maximum size of a body and how much of it is buffered."""
        self._http.limit_body(max_body_bytes)
        self.handler.body_bytes = max_body_bytes
        self.handler.buffer_limit = lambda host, path: buffer_bytes

    def count_in_flight(self) -> int:
        """Return the number of calls without an outcome."""
        return int(self._runner.run_sync(lambda: self._balancer.in_flight))

    @contextlib.contextmanager
    def pause(self) -> Iterator[None]:
        """Hold the loop; worker threads go on."""
        resume = threading.Event()
        self._loop.call_soon_threadsafe(resume.wait)
        try:
            yield
        finally:
            resume.set()

    def use_balancer(self, balancer: Any) -> None:
        """Replace the balancer; later calls use the new one."""
        self._runner.run_sync(self._build_dispatcher, balancer)

    def connect(self) -> socket.socket:
        """Open a connection as a caller."""
        host, _, port = self.address.rpartition(":")
        return socket.create_connection((host, int(port)), timeout=10.0)

    def send_raw(self, data: bytes) -> bytes:
        """Send bytes on a new connection; return all bytes received."""
        with self.connect() as sock:
            sock.sendall(data)
            return read_to_end(sock)

    def call(
        self,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        header_lines: str = "",
    ) -> bytes:
        """Call the service; return the bytes of the answer."""
        head = (
            f"{method} /call/{SERVICE}{path} HTTP/1.1\r\nHost: x\r\n"
            f"Connection: close\r\n{header_lines}"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        return self.send_raw(head.encode() + b"\r\n" + body)

    def stop(self) -> None:
        """Stop the server, the dispatcher and the event loop."""
        self._http.stop()
        if self._relays is not None:
            self._relays.stop()
        self.dispatcher.stop()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _build(self, document: Any, announcements: list[Announcement]) -> None:
        balancer = Balancer(SEED)
        now = self._loop.time()
        balancer.configure(read_services(document), now)
        self._build_dispatcher(balancer)
        self.dispatcher.perform(balancer.update_upstreams(announcements, now))
        self._sweep()

    def _build_dispatcher(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self.dispatcher = Dispatcher(
            balancer=balancer,
            metrics=Metrics("127.0.0.1:9", "entry-1"),
            hedge=self.handler.hedge,
            query_load=lambda probe: None,
            settle=self._record_outcome,
        )
        self.dispatcher.check_link = self._answer_check
        self.handler.dispatcher = _CallAdmitter(self.dispatcher)

    def _answer_check(self, check: LinkCheck) -> None:
        """Find each link well, so that the calls alone decide."""
        record = self.dispatcher.record_check
        asyncio.get_running_loop().call_soon(record, check, ANSWERED)

    def _record_outcome(self, pending: PendingCall, outcome: str) -> None:
        self.outcomes.append(outcome)

    def _sweep(self) -> None:
        self._runner.run_deferred()
        self.dispatcher.sweep()
        self._loop.call_later(SWEEP_S, self._sweep)


class _CallAdmitter:
    """Admit every call at once; an entry checks its ledger first."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self._dispatcher = dispatcher
        self.end_attempt = dispatcher.end_attempt
        self.close_call = dispatcher.close_call

    def open_call(self, pending: PendingCall) -> None:
        """Admit a call."""
        self._dispatcher.admit(pending, pending.arrival.deadline_s)

    def end_instance(self, instance: str, address: str) -> None:
        """Ignore that an instance has left: no instance here has a name."""


def read_to_end(sock: socket.socket) -> bytes:
    """Return all bytes up to the end; RESET follows them after a reset."""
    data = b""
    try:
        while piece := sock.recv(65536):
            data += piece
    except ConnectionResetError:
        return data + RESET
    return data


RESET = b"<reset>"


def _build_document(
    slots: int, deadline_ms: int, hedge: bool
) -> dict[str, Any]:
    rules = [
        {
            "name": "loan",
            "method": "POST",
            "idempotent": False,
            "deadline_ms": deadline_ms,
            "attempts": 3,
            "reason": "a loan runs once",
        },
        {
            "name": "lookup",
            "idempotent": True,
            "deadline_ms": deadline_ms,
            "hedge": hedge,
            "attempts": 2,
            "reason": "a lookup may run twice",
        },
    ]
    services = {SERVICE: {"slots": slots, "rules": rules}}
    return {"lending": {"services": services}}
