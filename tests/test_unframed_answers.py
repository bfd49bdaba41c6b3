"""Test that a cut answer without a length never looks complete."""

import http.client
import os
import subprocess
import sys
import threading
from collections.abc import Iterator
from typing import Any

import pytest
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_daemon import exchanges
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.call_servers import read_to_end
from nutmegchute_fakes.call_servers import RESET
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection

WAIT_S = 20.0
DEADLINE_MS = 20000
TARGET = "/call/catalogo/a"
LAST_CHUNK = b"0\r\n\r\n"
START = b"half of the catalogue, "
REST = b"and the other half"
ENTRY = """
import sys
from nutmegchute_fakes.call_servers import CallServer
server = CallServer([sys.argv[1]], deadline_ms=int(sys.argv[2]))
print(server.address, flush=True)
sys.stdin.read()
server.stop()
"""


class Unframed(FaultyUpstream):
    """Send half of an answer, and the rest or a reset after the release."""

    def __init__(
        self,
        head: bytes = b"HTTP/1.1 200 OK\r\n\r\n",
        start: bytes = START,
        rest: bytes = REST,
    ) -> None:
        self.head = head
        self.start = start
        self.rest = rest
        self.resets = False
        super().__init__(self._answer)

    def _answer(self, connection: UpstreamConnection) -> None:
        connection.read()
        connection.write(self.head + self.start)
        self.release.wait(WAIT_S)
        if self.resets:
            connection.reset()
            return
        connection.write(self.rest)


class Pair:
    """Run an entry in front of one endpoint."""

    def __init__(self, endpoint: FaultyUpstream) -> None:
        self.endpoint = endpoint
        self.server = CallServer([endpoint.address], deadline_ms=DEADLINE_MS)

    def read(self, version: str, resets: bool = False) -> bytes:
        """Return the answer to one call, with half of it read at first."""
        request = f"GET {TARGET} HTTP/{version}\r\nHost: x\r\n"
        with self.server.connect() as sock:
            sock.sendall(f"{request}Connection: close\r\n\r\n".encode())
            answer = b""
            assert isinstance(self.endpoint, Unframed)
            while version == "1.1" and START not in answer:
                answer += sock.recv(65536)
                assert LAST_CHUNK not in answer
            self.endpoint.resets = resets
            self.endpoint.release.set()
            return answer + read_to_end(sock)

    def stop(self) -> None:
        """Stop both."""
        self.endpoint.stop()
        self.server.stop()


@pytest.fixture
def build() -> Iterator[Any]:
    """Yield a builder of pairs and stop them at the end."""
    built: list[Pair] = []

    def one(endpoint: FaultyUpstream) -> Pair:
        built.append(Pair(endpoint))
        return built[-1]

    yield one
    for pair in built:
        pair.stop()


HEADS = [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.0 200 OK\r\n\r\n"]


@pytest.mark.parametrize("head", HEADS)
def test_unframed_answer_is_forwarded_in_chunks(
    build: Any, head: bytes
) -> None:
    """Write the last chunk only after the endpoint's orderly close.

    Without chunks a caller takes any end of its connection for the end.
    """
    answer = build(Unframed(head)).read("1.1")
    assert b"Transfer-Encoding: chunked\r\n" in answer
    assert answer.endswith(LAST_CHUNK)
    assert START in answer
    assert REST in answer


def test_reset_within_an_unframed_answer_is_passed_on(build: Any) -> None:
    """Reset the caller's connection, without a last chunk."""
    answer = build(Unframed()).read("1.1", resets=True)
    assert answer.endswith(RESET)
    assert LAST_CHUNK not in answer


CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize(
    ("head", "start", "rest"),
    [
        (HEADS[0], START, REST),
        (HEADS[1], START, REST),
        (CHUNKS, chunk(START), chunk(REST) + LAST_CHUNK),
        (CHUNKS, chunk(START), chunk(REST) + b"0\r\nX-Sum: 1\r\n\r\n"),
    ],
)
def test_old_caller_gets_a_length(
    build: Any, head: bytes, start: bytes, rest: bytes
) -> None:
    """A caller of HTTP/1.0 took the end of a killed entry for the end."""
    answer = build(Unframed(head, start, rest)).read("1.0")
    assert b"Transfer-Encoding" not in answer
    assert b"Content-Length: %d\r\n" % len(START + REST) in answer
    assert answer.endswith(b"\r\n\r\n" + START + REST)


@pytest.mark.parametrize("head", [*HEADS, CHUNKS])
def test_old_caller_gets_no_part_of_a_broken_answer(
    build: Any, head: bytes
) -> None:
    """A caller of HTTP/1.0 got a success before the answer broke off."""
    start = chunk(START) if head == CHUNKS else START
    answer = build(Unframed(head, start)).read("1.0", resets=True)
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert b"Nutmegchute-Outcome: unknown\r\n" in answer
    assert START not in answer


def test_long_answer_to_an_old_caller_ends_with_its_connection(
    build: Any,
) -> None:
    """Send no chunks to a caller of HTTP/1.0, which cannot read them."""
    long = b"x" * (BUFFER_BYTES + 1)
    answer = build(Unframed(start=long)).read("1.0")
    assert b"Transfer-Encoding" not in answer
    assert b"Connection: close\r\n" in answer
    assert answer.endswith(b"\r\n\r\n" + long + REST)


def test_break_of_a_long_answer_to_an_old_caller_is_a_reset(
    build: Any,
) -> None:
    """A caller of HTTP/1.0 took the part that had arrived for the whole."""
    long = b"x" * (BUFFER_BYTES + 1)
    answer = build(Unframed(start=long)).read("1.0", resets=True)
    assert answer.endswith(RESET)


def test_answer_that_is_not_read_is_reset(
    build: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Reset the connection of a caller that has stopped reading.

    Closed in order, it would give the caller a part that looks complete
    when it reads on.
    """
    monkeypatch.setattr(exchanges, "CALLER_TIMEOUT_S", 1.0)
    ended = threading.Event()

    def go_on(connection: UpstreamConnection) -> None:
        connection.read()
        connection.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while True:
                connection.write(b"x" * 65536)
        finally:
            ended.set()

    pair = build(FaultyUpstream(go_on))
    with pair.server.connect() as sock:
        sock.sendall(f"GET {TARGET} HTTP/1.0\r\nHost: x\r\n\r\n".encode())
        # Set once the entry has given up: it closes both connections.
        assert ended.wait(WAIT_S)
        answer = read_to_end(sock)
    assert answer.endswith(RESET)
    for _ in range(1000):
        if not pair.server.handler.active:
            return
        threading.Event().wait(WAIT_S / 1000)
    raise AssertionError("a thread is held")


def test_answer_of_a_killed_entry_is_incomplete() -> None:
    """Never let a kill of the entry end an answer that looks complete.

    The kernel closes the caller's connection in order, not by a reset.
    """
    endpoint = Unframed()
    entry = subprocess.Popen(
        [sys.executable, "-c", ENTRY, endpoint.address, str(DEADLINE_MS)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        env=os.environ,
    )
    assert entry.stdin is not None
    assert entry.stdout is not None
    try:
        address = entry.stdout.readline().decode().strip()
        caller = http.client.HTTPConnection(address, timeout=WAIT_S)
        caller.request("GET", TARGET)
        response = caller.getresponse()
        assert response.read(len(START)) == START
        entry.kill()
        entry.wait(WAIT_S)
        with pytest.raises(http.client.IncompleteRead):
            response.read()
        caller.close()
    finally:
        entry.kill()
        entry.wait(WAIT_S)
        entry.stdin.close()
        entry.stdout.close()
        endpoint.stop()


def reset_content(connection: UpstreamConnection) -> None:
    """Answer 205 with a body."""
    while connection.read() is not None:
        connection.write(
            b"HTTP/1.1 205 X\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"5\r\nwhole\r\n0\r\n\r\n"
        )


def test_body_of_205_is_not_read_as_the_next_answer(build: Any) -> None:
    """Frame the body of a 205 too, or end the connection after it.

    Otherwise its bytes come before the next answer on the connection.
    """
    pair = build(FaultyUpstream(reset_content))
    caller = http.client.HTTPConnection(pair.server.address, timeout=WAIT_S)
    for _ in range(3):
        caller.request("GET", TARGET)
        response = caller.getresponse()
        assert (response.status, response.read()) == (205, b"whole")
    caller.close()
    request = f"GET {TARGET} HTTP/1.0\r\nConnection: keep-alive\r\n"
    answer = pair.server.send_raw(f"{request}Host: x\r\n\r\n".encode())
    assert answer.endswith(b"\r\n\r\nwhole")
