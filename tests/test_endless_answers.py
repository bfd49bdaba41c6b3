"""Test that bytes without end hold no thread, memory or descriptor."""

import os
import queue
import socket
import threading
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import cast

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.probes import PROBE_THREADS
from nutmegchute_daemon.probes import Prober
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.servers import LoopRunner
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.call_servers import RESET
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from urllib3 import HTTPHeaderDict

# Far beyond the deadline: without a limit an attempt has no end at all.
WAIT_S = 20.0
DEADLINE_S = 0.3
SLOW_BYTE_S = 0.01
BURST_BYTES = 16384
MAX_MEMORY_BYTES = 2_000_000

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
NAME = {"Nutmegchute-Attempt-Id": "1.1"}
REJECTION = (
    b"HTTP/1.1 503 X\r\nNutmegchute-Not-Run: shed\r\n"
    b"Nutmegchute-Attempt-Id: 1.1\r\n"
)

# The bytes before, and those that are repeated without end.
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x"),
    "bytes that are no answer": (b"", b"\x00"),
    "empty lines": (b"", b"\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "lines of an interim answer": (b"HTTP/1.1 100 X\r\n", b"X-A: b\r\n"),
    "header line": (OK + b"X-A: ", b"b"),
    "header name": (OK, b"b"),
    "header lines": (OK, b"X-A: b\r\n"),
    "long header lines": (OK, b"X-A: " + b"b" * 60000 + b"\r\n"),
    "fold": (OK + b"X-A: b\r\n", b" c\r\n"),
    "lines of a rejection": (REJECTION, b"X-A: b\r\n"),
}
ENDLESS_BODIES = {
    "no length": (OK + b"\r\n", b"x"),
    "long length": (OK + b"Content-Length: 999999999999\r\n\r\n", b"x"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n"),
    "large chunk": (CHUNKED + b"fffffffffff\r\n", b"x"),
    "chunk size": (CHUNKED + b"1\r\nx\r\n", b"0"),
    "first chunk size": (CHUNKED, b"0"),
    "chunk extension": (CHUNKED + b"1;", b"x"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "trailer line": (CHUNKED + b"1\r\nx\r\n0\r\nX-A: ", b"b"),
}
REJECTION_BODIES = {
    "no length": (REJECTION + b"\r\n", b"x"),
    "short": (REJECTION + b"Content-Length: 65000\r\n\r\n", b"x"),
    "chunks": (
        REJECTION + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
    "chunk size": (REJECTION + b"Transfer-Encoding: chunked\r\n\r\n", b"0"),
}

# Those that are sent through an entry: one for each place of reading.
ENTRY_FORMS = (
    "interim answers",
    "header line",
    "header lines",
    "no length",
    "long length",
    "small chunks",
    "chunk size",
    "trailers",
)


class EndlessEndpoint(FaultyUpstream):
    """Answer with a start and bytes that go on until the peer closes."""

    def __init__(self, start: bytes, repeated: bytes, slow: bool) -> None:
        self._start = start
        self._repeated = repeated
        self._slow = slow
        super().__init__(self._answer)

    def _answer(self, connection: UpstreamConnection) -> None:
        connection.read()
        connection.write(self._start)
        count = max(1, BURST_BYTES // len(self._repeated))
        while not self.release.is_set():
            if not self._slow:
                connection.write(self._repeated * count)
                continue
            for byte in self._repeated:
                connection.write(bytes([byte]))
                if self.release.wait(SLOW_BYTE_S):
                    return


@pytest.fixture
def start() -> Iterator[Callable[..., EndlessEndpoint]]:
    """Yield a builder of endpoints and stop them at the end."""
    running: list[EndlessEndpoint] = []

    def one(
        parts: tuple[bytes, bytes], speed: str = "slow"
    ) -> EndlessEndpoint:
        running.append(EndlessEndpoint(*parts, speed == "slow"))
        return running[-1]

    yield one
    for endpoint in running:
        endpoint.stop()


class Attempt:
    """Make one attempt on a thread and read its answer to the end."""

    def __init__(self, endpoint: EndlessEndpoint) -> None:
        self.outcome = ""
        self.whole = False
        self.peak_bytes = 0
        thread = threading.Thread(
            target=self._run, args=(endpoint.address,), daemon=True
        )
        thread.start()
        thread.join(WAIT_S)
        assert not thread.is_alive(), "the attempt has no end"
        # The endpoint's writes fail, so its connection is not held open.
        assert endpoint.connection_ended.wait(WAIT_S)

    def _run(self, address: str) -> None:
        tracemalloc.start()
        request = Request("GET", "/a", HTTPHeaderDict(NAME))
        sender = Sender(ConnectionPool())
        reply = sender.send(request, address, DEADLINE_S, Exchange())
        self.outcome = reply.outcome
        if reply.outcome == ANSWERED:
            self.whole = _is_whole(reply)
        reply.close()
        self.peak_bytes = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()


def _is_whole(reply: Reply) -> bool:
    try:
        for _ in reply.body():
            pass
    except BrokenAnswerError:
        return False
    return True


@pytest.mark.parametrize("speed", ["slow", "fast"])
@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_endless_head_ends_at_the_deadline(
    start: Callable[..., EndlessEndpoint], name: str, speed: str
) -> None:
    """Never read a head without end, at whatever speed it comes."""
    attempt = Attempt(start(ENDLESS_HEADS[name], speed))
    assert attempt.outcome == LOST
    assert attempt.peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize("speed", ["slow", "fast"])
@pytest.mark.parametrize("name", ENDLESS_BODIES)
def test_endless_body_is_never_whole(
    start: Callable[..., EndlessEndpoint], name: str, speed: str
) -> None:
    """Never read a body without end, nor take what came of it for whole."""
    attempt = Attempt(start(ENDLESS_BODIES[name], speed))
    assert not attempt.whole
    assert attempt.peak_bytes < MAX_MEMORY_BYTES


@pytest.mark.parametrize("speed", ["slow", "fast"])
@pytest.mark.parametrize("name", REJECTION_BODIES)
def test_endless_rejection_ends(
    start: Callable[..., EndlessEndpoint], name: str, speed: str
) -> None:
    """Never wait for the end of a rejection's body; its head is enough."""
    attempt = Attempt(start(REJECTION_BODIES[name], speed))
    assert attempt.outcome == NOT_RUN
    assert attempt.peak_bytes < MAX_MEMORY_BYTES


def test_rejection_is_passed_on_before_the_deadline(
    start: Callable[..., EndlessEndpoint],
) -> None:
    """Send a call elsewhere in time although a rejection's body is slow."""
    endpoint = start(REJECTION_BODIES["short"])
    request = Request("GET", "/a", HTTPHeaderDict(NAME))
    sender = Sender(ConnectionPool())
    # Far longer than the wait for a body, and less than this body takes.
    reply = sender.send(request, endpoint.address, 120.0, Exchange())
    assert reply.outcome == NOT_RUN
    assert reply.latency_s < WAIT_S


@pytest.mark.parametrize("speed", ["slow", "fast"])
@pytest.mark.parametrize("name", ENTRY_FORMS)
def test_endless_answer_holds_no_caller(
    start: Callable[..., EndlessEndpoint], name: str, speed: str
) -> None:
    """End a caller's wait, its thread and the endpoint's connection.

    The caller must see that the answer is not complete.
    """
    endpoint = start({**ENDLESS_HEADS, **ENDLESS_BODIES}[name], speed)
    server = CallServer([endpoint.address], deadline_ms=int(DEADLINE_S * 1000))
    try:
        with server.connect() as sock:
            sock.settimeout(WAIT_S)
            sock.sendall(b"POST /call/catalogo/a HTTP/1.1\r\nHost: x\r\n\r\n")
            start_of, end_of = _read_ends(sock)
        if b"Nutmegchute-Outcome: unknown" not in start_of:
            assert end_of == RESET
        assert endpoint.connection_ended.wait(WAIT_S)
        for _ in range(1000):
            if not server.handler.active:
                return
            threading.Event().wait(WAIT_S / 1000)
        raise AssertionError("a thread is held")
    finally:
        server.stop()


def _read_ends(sock: socket.socket) -> tuple[bytes, bytes]:
    """Return the first bytes, and RESET if the connection ends by one."""
    first = sock.recv(65536)
    # The entry keeps the connection after an answer of its own.
    if b"Nutmegchute-Outcome: unknown" in first:
        return first, b""
    try:
        while sock.recv(65536):
            pass
    except ConnectionResetError:
        return first, RESET
    return first, b""


class Runner:
    """Collect what the threads schedule on the loop."""

    def __init__(self) -> None:
        self.results: queue.Queue[tuple[Any, ...]] = queue.Queue()

    def schedule(self, function: Any, *values: Any) -> None:
        """Store the values of a scheduled call."""
        self.results.put(values)


QUERIES = PROBE_THREADS * 3


@pytest.mark.parametrize("speed", ["slow", "fast"])
@pytest.mark.parametrize(
    "parts",
    [
        ENDLESS_HEADS["header line"],
        ENDLESS_HEADS["interim answers"],
        ENDLESS_BODIES["long length"],
        (OK + b"Content-Length: 60000\r\n\r\n", b"x"),
        ENDLESS_BODIES["chunk size"],
        ENDLESS_BODIES["no length"],
        REJECTION_BODIES["short"],
    ],
)
def test_endless_load_report_holds_no_thread(
    start: Callable[..., EndlessEndpoint],
    parts: tuple[bytes, bytes],
    speed: str,
) -> None:
    """Give each thread back at the deadline of its load query.

    Nothing else ends a query: threads that read on would leave the entry
    without reports on any endpoint.
    """
    endpoint = start(parts, speed)
    runner = Runner()
    prober = Prober(
        cast(LoopRunner, runner), Sender(ConnectionPool()), "/health"
    )
    prober.on_result = lambda *values: None
    prober.on_check = lambda *values: None
    before = len(os.listdir("/proc/self/fd"))
    for number in range(QUERIES):
        if number % 3 == 0:
            prober.check(LinkCheck("catalogo", endpoint.address, "/health"))
            continue
        prober.enqueue(Probe("catalogo", endpoint.address))
    for _ in range(QUERIES):
        runner.results.get(timeout=WAIT_S)
    prober.stop()
    names = [one.name for one in threading.enumerate()]
    assert len([n for n in names if n.startswith("probe")]) <= PROBE_THREADS
    endpoint.stop()
    for _ in range(1000):
        if len(os.listdir("/proc/self/fd")) <= before:
            return
        threading.Event().wait(WAIT_S / 1000)
    raise AssertionError("descriptors are left open")
