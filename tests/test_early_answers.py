"""Test answers that an endpoint sends before it has read the request.

The kernel reports a reset once. If a write takes the report, the reads that
follow return what has arrived and then the end of the stream.
"""

import threading
from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import LOST
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.call_formats import CallFormat
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.protocols import RELAY_CALL_HEADER
from nutmegchute_daemon.protocols import RELAY_OUTCOME_HEADER
from nutmegchute_daemon.relays import RelayFormat
from nutmegchute_daemon.senders import BodyRemainder
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.call_servers import BODY_BYTES
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.call_servers import read_to_end
from nutmegchute_fakes.call_servers import RESET
from nutmegchute_fakes.faulty_upstreams import build_named_answer
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from urllib3 import HTTPHeaderDict

WAIT_S = 20.0
DEADLINE_MS = 20000
PIECE = b"x" * 1000
PIECES = 4
PART = b"half of the catalogue"
LONG_PART = PART * 2000
LAST_CHUNK = b"0\r\n\r\n"
UNKNOWN = b"Nutmegchute-Outcome: unknown"
RELAY_ID = "origin.2.1"
RELAY_HEAD = (
    f"{RELAY_CALL_HEADER}: {RELAY_ID}\r\n{RELAY_OUTCOME_HEADER}: answered\r\n"
).encode()


class Endpoint(FaultyUpstream):
    """Answer within an upload and reset the connection.

    With ``ends`` its side is closed in order before the reset. With
    ``serves`` the first request of each connection is answered in full.
    """

    def __init__(
        self, data: bytes, ends: bool = False, serves: bool = False
    ) -> None:
        self.data = data
        self.ends = ends
        self.serves = serves
        # Set once its side is closed, in order or not.
        self.ended = threading.Event()
        super().__init__(self._answer)

    def _answer(self, connection: UpstreamConnection) -> None:
        try:
            if self.serves:
                request = connection.read() or b""
                connection.write(build_named_answer(request, b"whole"))
            connection.read_head()
            connection.write(self.data)
            if self.ends:
                connection.end_writing()
                self.ended.set()
                self.release.wait(WAIT_S)
            connection.reset()
        finally:
            self.ended.set()


class Upload:
    """Yield the pieces of a body, the first one before the answer."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._left = PIECES

    def read(self, size: int) -> bytes:
        """Return the next piece once the endpoint has closed its side."""
        if self._left == 0:
            return b""
        assert self._endpoint.ended.wait(WAIT_S)
        if self._left < PIECES - 1:
            self._endpoint.release.set()
            assert self._endpoint.connection_ended.wait(WAIT_S)
        self._left -= 1
        return PIECE


def build_sender() -> Sender:
    """Build a sender with connections of its own."""
    return Sender(ConnectionPool())


def upload(endpoint: Endpoint, sender: Sender | None = None) -> Reply:
    """Send an upload that the endpoint answers before its end."""
    remainder = BodyRemainder(Upload(endpoint).read)
    headers = HTTPHeaderDict(
        {"Nutmegchute-Attempt-Id": "2.1", RELAY_CALL_HEADER: RELAY_ID}
    )
    request = Request("POST", "/a", headers, PIECE, remainder)
    return (sender or build_sender()).send(
        request, endpoint.address, WAIT_S, Exchange()
    )


def read_whole(reply: Reply) -> bytes | None:
    """Return the body, None if the answer is not complete."""
    if reply.outcome != ANSWERED:
        assert (reply.outcome, reply.loss) == (LOST, CLOSED)
        return None
    try:
        return b"".join(reply.body())
    except BrokenAnswerError:
        return None


HEADS = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 201 Created\r\n",
    b"HTTP/1.1 206 Partial\r\n",
    b"HTTP/1.1 302 Found\r\n",
    b"HTTP/1.1 404 Not Found\r\n",
    b"HTTP/1.1 500 Error\r\n",
    b"HTTP/1.0 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nConnection: close\r\n",
    b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\n",
]


@pytest.mark.parametrize("part", [b"", PART, LONG_PART])
@pytest.mark.parametrize("head", HEADS)
def test_unframed_answer_reset_within_an_upload_is_incomplete(
    head: bytes, part: bytes
) -> None:
    """Guard against a reset that a write reports and no read does."""
    endpoint = Endpoint(head + b"\r\n" + part)
    try:
        assert read_whole(upload(endpoint)) is None
    finally:
        endpoint.stop()


@pytest.mark.parametrize("part", [b"", PART])
def test_reset_by_a_helper_is_seen(part: bytes) -> None:
    """Guard against half an answer of an entry that serves another's calls."""
    endpoint = Endpoint(HEADS[0] + RELAY_HEAD + b"\r\n" + part)
    sender = Sender(ConnectionPool(), RelayFormat(CallFormat()))
    try:
        assert read_whole(upload(endpoint, sender)) is None
    finally:
        endpoint.stop()


def test_reset_on_a_kept_connection_is_seen() -> None:
    """Guard against the same on the second call of a connection."""
    name = b"Nutmegchute-Attempt-Id: 2.1\r\n"
    endpoint = Endpoint(HEADS[0] + name + b"\r\n" + PART, serves=True)
    sender = build_sender()
    headers = HTTPHeaderDict({"Nutmegchute-Attempt-Id": "1.1"})
    try:
        first = sender.send(
            Request("GET", "/a", headers),
            endpoint.address,
            WAIT_S,
            Exchange(),
        )
        assert read_whole(first) == b"whole"
        reply = upload(endpoint, sender)
        assert reply.reused
        assert read_whole(reply) is None
        assert endpoint.connections == 1
    finally:
        endpoint.stop()


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 21\r\n\r\n" + PART,
        b"Transfer-Encoding: chunked\r\n\r\n15\r\n" + PART + b"\r\n0\r\n\r\n",
    ],
)
def test_framed_answer_reset_behind_its_end_is_delivered(
    framing: bytes,
) -> None:
    """Guard against the loss of an answer that has arrived in full."""
    endpoint = Endpoint(HEADS[0] + framing)
    try:
        assert read_whole(upload(endpoint)) == PART
    finally:
        endpoint.stop()


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 22\r\n\r\n" + PART,
        b"Transfer-Encoding: chunked\r\n\r\n15\r\n" + PART + b"\r\n",
    ],
)
def test_framed_answer_reset_before_its_end_is_incomplete(
    framing: bytes,
) -> None:
    """Guard against a part of a framed answer that looks complete."""
    endpoint = Endpoint(HEADS[0] + framing)
    try:
        assert read_whole(upload(endpoint)) is None
    finally:
        endpoint.stop()


def test_unframed_answer_that_ended_before_the_reset_is_delivered() -> None:
    """Guard against the loss of an answer whose end was seen in order."""
    endpoint = Endpoint(HEADS[0] + b"\r\n" + PART, ends=True)
    try:
        assert read_whole(upload(endpoint)) == PART
    finally:
        endpoint.stop()


@pytest.fixture
def entries() -> Iterator[list[CallServer]]:
    """Yield a list of entries that are stopped at the end."""
    started: list[CallServer] = []
    yield started
    for entry in started:
        entry.stop()


@pytest.mark.parametrize("part", [b"", PART])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("head", [HEADS[0], HEADS[4], HEADS[5]])
def test_caller_sees_that_an_early_answer_is_incomplete(
    entries: list[CallServer], head: bytes, version: str, part: bytes
) -> None:
    """Guard against half an answer that a caller takes for a whole one."""
    endpoint = Endpoint(head + b"\r\n" + part)
    entry = CallServer([endpoint.address], deadline_ms=DEADLINE_MS)
    entries.append(entry)
    entry.limit_bodies(BODY_BYTES, BUFFER_BYTES)
    body = b"x" * (BUFFER_BYTES * 4)
    lines = (
        f"POST /call/catalogo/a HTTP/{version}\r\nHost: x\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    try:
        with entry.connect() as caller:
            caller.sendall(lines.encode() + body[: BUFFER_BYTES * 2])
            assert endpoint.connection_ended.wait(WAIT_S)
            caller.sendall(body[BUFFER_BYTES * 2 :])
            answer = read_to_end(caller)
    finally:
        endpoint.stop()
    assert LAST_CHUNK not in answer
    lost = answer.startswith(b"HTTP/1.1 502 ") and UNKNOWN in answer
    assert lost or answer.endswith(RESET)
