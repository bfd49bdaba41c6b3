"""Test that no endpoint works for callers that have left."""

import threading
from collections.abc import Iterator
from typing import Any

import pytest
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.faulty_upstreams import Behaviour
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection

WAIT_S = 10.0
POLL_S = 0.01
DEADLINE_MS = 60000
BUFFERED_BYTES = 1024
GET = b"GET /call/catalogo/a HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /call/catalogo/a HTTP/1.1\r\nHost: x\r\n"
BODY = b"x" * 60000
ANSWER_START = b"z" * 100000
UPLOAD = POST + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY


class CallServerHarness:
    """Run an entry's call server in front of one upstream."""

    def __init__(self, behaviour: Behaviour, slots: int) -> None:
        self.upstream = FaultyUpstream(behaviour)
        self.server = CallServer(
            [self.upstream.address], slots=slots, deadline_ms=DEADLINE_MS
        )

    def wait_until(self, condition: Any) -> None:
        """Wait until a condition holds."""
        for _ in range(int(WAIT_S / POLL_S)):
            if condition():
                return
            threading.Event().wait(POLL_S)
        raise AssertionError("condition did not hold in time")

    def stop(self) -> None:
        """Stop the server and the upstream."""
        self.upstream.stop()
        self.server.stop()


@pytest.fixture
def build() -> Iterator[Any]:
    """Yield a builder of call servers and stop them at the end."""
    built: list[CallServerHarness] = []

    def one(behaviour: Behaviour, slots: int = 4) -> CallServerHarness:
        built.append(CallServerHarness(behaviour, slots))
        return built[-1]

    yield one
    for harness in built:
        harness.stop()


def begin_long_answer(connection: UpstreamConnection) -> None:
    """Write the start of an answer and no more of it."""
    connection.read()
    connection.write(
        b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + ANSWER_START
    )
    connection.wait_for_close()


def test_caller_of_a_waiting_upload_leaves(build: Any) -> None:
    """A caller leaves while the rest of its body is unread.

    The end of its connection lies behind the unread bytes, so the call would
    stay in the queue and be sent to an endpoint for nobody.
    """
    harness = build(faulty_upstreams.answer_late, slots=1)
    harness.server.limit_bodies(len(BODY), BUFFERED_BYTES)
    with harness.server.connect() as first:
        first.sendall(GET)
        harness.wait_until(lambda: harness.upstream.requests)
        with harness.server.connect() as sock:
            sock.sendall(UPLOAD)
            harness.wait_until(lambda: harness.server.count_in_flight() == 2)
        harness.wait_until(lambda: harness.server.count_in_flight() == 1)
    harness.upstream.release.set()
    harness.wait_until(lambda: harness.server.handler.active == 0)
    assert len(harness.upstream.requests) == 1


@pytest.mark.parametrize(
    "request_bytes", [GET, UPLOAD], ids=["lookup", "upload"]
)
def test_request_is_read_after_its_caller_left(
    build: Any, request_bytes: bytes
) -> None:
    """A busy entry comes to a request after its caller has left.

    An endpoint would work on it until the entry looks for the caller.
    """
    harness = build(faulty_upstreams.answer)
    harness.server.limit_bodies(len(BODY), BUFFERED_BYTES)
    with harness.server.pause(), harness.server.connect() as sock:
        sock.sendall(request_bytes)
        harness.wait_until(lambda: harness.server.handler.active == 1)
    harness.wait_until(lambda: harness.server.handler.active == 0)
    assert not harness.upstream.requests
    assert harness.server.count_in_flight() == 0


def test_caller_leaves_within_the_answer(build: Any) -> None:
    """A caller leaves while its endpoint writes a long answer slowly.

    The entry waits for the endpoint's next bytes, so it would notice only
    when it has some to pass on, and the endpoint would work on.
    """
    harness = build(begin_long_answer)
    with harness.server.connect() as sock:
        sock.sendall(GET)
        received = b""
        while received.count(b"z") < len(ANSWER_START):
            received += sock.recv(65536)
    assert harness.upstream.peer_closed.wait(WAIT_S)
