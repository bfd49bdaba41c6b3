"""Damage answers at each byte: a caller gets a whole one or a visible break.

``FUZZ=long`` tries each value of a spoiled byte and each place of a delay.
"""

import os
import re
import threading
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.evidence import UNSENT
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.call_servers import read_to_end
from nutmegchute_fakes.call_servers import RESET
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import read_attempt_id
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from urllib3 import HTTPHeaderDict

IS_LONG = os.environ.get("FUZZ") == "long"
WAIT_S = 20.0
# For answers whose rest is sent only after the attempt has ended.
LATE_S = 0.02
LATE_STEP = 1 if IS_LONG else 10
ENTRY_STEP = 1 if IS_LONG else 3
# Each in turn, unless all values are tried.
SPOILS = b"\r\n\x00 :;0129xX\t\x7f\xff,"
# What the name of a header cannot hold. A colon ends it.
NO_TOKEN = re.compile(rb"[^:!#$%&'*+.^_`|~0-9A-Za-z-]")

END = b"\r\n\r\n"
WHOLE = "whole"
BROKEN = "broken"
REFUSED = "not run"

# How a request came out: one of the words above, and the body delivered.
Outcome = tuple[str, bytes]


class Kind:
    """Describe a kind of answer."""

    def __init__(
        self,
        head: bytes,
        body: bytes = b"",
        method: str = "POST",
        framed: bool = True,
    ) -> None:
        self.head = head
        # As sent; a chunked one includes the chunks' lines.
        self.body = body
        self.method = method
        # Whether its end can be told from an early end of the connection.
        self.framed = framed
        self.delivered = body
        if b"chunked" in head:
            self.delivered = b"a book and more"
        if method == "HEAD":
            self.delivered = b""
        self.rejects = b"Not-Run" in head

    def build(self, name: bytes) -> bytes:
        """Return the answer to a request, with these lines that name it."""
        status_line, _, lines = self.head.partition(b"\r\n")
        return status_line + b"\r\n" + name + lines + b"\r\n" + self.body


def build_name(target: bytes, attempt_id: bytes) -> bytes:
    """Return header lines that name a request, of the same length for all."""
    return (
        b"X-Name: " + target + b"\r\n"
        b"Nutmegchute-Attempt-Id:" + attempt_id.rjust(12) + b"\r\n"
    )


SAMPLE = build_name(b"/0000", b"1.1")
BODY = b"a book and more"
KINDS = {
    "length": Kind(b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n", BODY),
    "chunks": Kind(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
        b"6\r\na book\r\n9;x=y\r\n and more\r\n0\r\nX-End: 1\r\n\r\n",
    ),
    "no length": Kind(b"HTTP/1.1 200 OK\r\n", BODY, framed=False),
    "old": Kind(b"HTTP/1.0 200 OK\r\nContent-Length: 15\r\n", BODY),
    "old, no length": Kind(b"HTTP/1.0 200 OK\r\n", BODY, framed=False),
    "head": Kind(b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n", method="HEAD"),
    "204": Kind(b"HTTP/1.1 204 No Content\r\n"),
    "304": Kind(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 15\r\n"),
    "rejection": Kind(
        b"HTTP/1.1 503 X\r\nNutmegchute-Not-Run: shed\r\n"
        b"Content-Length: 15\r\n",
        BODY,
    ),
}

Play = Callable[[UpstreamConnection, bytes], None]


class Endpoint(FaultyUpstream):
    """Answer well, but one target as told."""

    def __init__(self) -> None:
        # Set once all that is to be done for this target is done.
        self.ended = threading.Event()
        self.target = b""
        self.play: Play | None = None
        self.played = 0
        super().__init__(self._answer)

    def prepare(self, target: str, play: Play) -> None:
        """Set the target and what is done for it."""
        self.ended.clear()
        self.target, self.play = target.encode(), play

    def _answer(self, connection: UpstreamConnection) -> None:
        while (request := connection.read()) is not None:
            target = request.split(b" ")[1]
            name = build_name(target, read_attempt_id(request))
            if target == self.target and self.play is not None:
                self.played += 1
                self.play(connection, name)
                self.ended.set()
                continue
            connection.write(KINDS["length"].build(name))


class Damage:
    """Hold one damaged answer and what it may be taken for."""

    def __init__(
        self, kind: Kind, place: int, play: Play, allowed: set[Outcome]
    ) -> None:
        self.kind = kind
        self.place = place
        self.play = play
        self.allowed = allowed


def cuts(kind: Kind) -> Iterator[Damage]:
    """Yield the answer, cut at each byte."""
    head_bytes = len(kind.build(SAMPLE)) - len(kind.body)
    for place in range(head_bytes + len(kind.body)):

        def play(
            connection: UpstreamConnection, name: bytes, place: int = place
        ) -> None:
            connection.write(kind.build(name)[:place])
            connection.close()

        allowed = {(BROKEN, b"")}
        if place >= head_bytes and kind.rejects:
            allowed = {(REFUSED, b"")}
        if place >= head_bytes and not kind.framed:
            allowed = {(WHOLE, kind.body[: place - head_bytes])}
        yield Damage(kind, place, play, allowed)


def spoils(kind: Kind) -> Iterator[Damage]:
    """Yield the answer with each byte of the head changed.

    Left out are the places where the result is a sound answer with another
    body, which nobody can tell: digits of the status and of the length, the
    name of the header that says that there are chunks, and the header that
    says "not run". A byte that no name can hold is told everywhere.
    """
    sample = kind.build(SAMPLE)
    silent = set(range(9, 12))
    names: set[int] = set()
    for found in re.finditer(rb"\r\n([^:\r\n]+):", sample):
        names |= set(range(*found.span(1)))
    for pattern in (rb"Content-Length: (\d+)", rb"(Transfer-Encoding):"):
        for found in re.finditer(pattern, sample):
            silent |= set(range(*found.span(1)))
    head_bytes = len(sample) - len(kind.body)
    whole = (REFUSED, b"") if kind.rejects else (WHOLE, kind.delivered)
    for place in range(head_bytes):
        values = bytes([SPOILS[place % len(SPOILS)]])
        if place in names and place - 1 not in names:
            # Such a line looks like a part of the one before.
            values += b" \t"
        if IS_LONG:
            values = bytes(range(256))
        for value in values:
            if value == sample[place]:
                continue

            def play(
                connection: UpstreamConnection,
                name: bytes,
                place: int = place,
                value: int = value,
            ) -> None:
                data = bytearray(kind.build(name))
                data[place] = value
                connection.write(bytes(data))
                connection.close()

            allowed = {(BROKEN, b""), whole}
            if kind.rejects:
                allowed.add((WHOLE, kind.body))
            if place in silent:
                allowed = set()
            if place in names and NO_TOKEN.match(bytes([value])):
                allowed = {(BROKEN, b"")}
            yield Damage(kind, place, play, allowed)


def doubles(kind: Kind) -> Iterator[Damage]:
    """Yield the answer with a copy, whose rest comes after each byte.

    The rest is sent as the answer to the next request on the connection.
    """
    if not kind.framed:
        return
    whole = (REFUSED, b"") if kind.rejects else (WHOLE, kind.delivered)
    for place in range(1, len(kind.build(SAMPLE)) + 1):

        def play(
            connection: UpstreamConnection, name: bytes, place: int = place
        ) -> None:
            data = kind.build(name)
            connection.write(data + data[:place])
            if connection.read() is not None:
                connection.write(data[place:])

        yield Damage(kind, place, play, {whole})


def pauses(kind: Kind) -> Iterator[Damage]:
    """Yield the answer with a short pause before each byte."""
    whole = (REFUSED, b"") if kind.rejects else (WHOLE, kind.delivered)
    for place in range(len(kind.build(SAMPLE))):

        def play(
            connection: UpstreamConnection, name: bytes, place: int = place
        ) -> None:
            data = kind.build(name)
            connection.write(data[:place])
            connection.upstream.release.wait(0.0005)
            connection.write(data[place:])
            if not kind.framed:
                connection.close()

        yield Damage(kind, place, play, {whole})


def delays(kind: Kind) -> Iterator[Damage]:
    """Yield the answer with its rest sent after the attempt has ended."""
    sample = kind.build(SAMPLE)
    head_bytes = len(sample) - len(kind.body)
    for place in range(0, len(sample), LATE_STEP):

        def play(
            connection: UpstreamConnection, name: bytes, place: int = place
        ) -> None:
            data = kind.build(name)
            connection.write(data[:place])
            connection.wait_for_close()
            connection.write(data[place:])

        allowed = {(BROKEN, b"")}
        if place >= head_bytes and kind.rejects:
            allowed = {(REFUSED, b"")}
        yield Damage(kind, place, play, allowed)


DAMAGES = {
    "cut": cuts,
    "spoiled": spoils,
    "doubled": doubles,
    "paused": pauses,
    "late": delays,
}


@pytest.fixture(scope="module")
def endpoint() -> Iterator[Endpoint]:
    """Run an endpoint."""
    one = Endpoint()
    yield one
    one.stop()


@pytest.fixture(scope="module")
def entry(endpoint: Endpoint) -> Iterator[CallServer]:
    """Run an entry in front of the endpoint."""
    one = CallServer([endpoint.address], deadline_ms=int(WAIT_S * 1000))
    yield one
    one.stop()


class Client:
    """Send requests to the endpoint over one pool of connections."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._address = endpoint.address
        self._sender = Sender(ConnectionPool())
        self._count = 0
        self.names: list[str] = []
        self.evidence = ""

    def send(
        self, target: str, method: str = "POST", wait_s: float = WAIT_S
    ) -> Outcome:
        """Send one request and read its answer to the end."""
        self._count += 1
        headers = HTTPHeaderDict(
            {"Nutmegchute-Attempt-Id": f"{self._count}.1"}
        )
        request = Request(method, target, headers)
        reply = self._sender.send(request, self._address, wait_s, Exchange())
        self.evidence = reply.evidence
        if reply.outcome == NOT_RUN:
            return REFUSED, b""
        if reply.outcome != ANSWERED:
            return BROKEN, b""
        self.names = [v for n, v in reply.headers() if n == "X-Name"]
        try:
            return WHOLE, b"".join(reply.body())
        except BrokenAnswerError:
            return BROKEN, b""
        finally:
            reply.close()


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("damage", DAMAGES)
def test_damaged_answer_is_whole_or_lost(
    endpoint: Endpoint, damage: str, kind: str, kept: bool
) -> None:
    """Never deliver part of an answer as a whole one, nor another's."""
    for number, one in enumerate(DAMAGES[damage](KINDS[kind])):
        client = Client(endpoint)
        if kept:
            assert client.send("/kept") == (WHOLE, BODY)
        target = f"/{number % 10000:04}"
        endpoint.prepare(target, one.play)
        wait_s = LATE_S if damage == "late" else WAIT_S
        outcome = client.send(target, one.kind.method, wait_s)
        if outcome[0] == REFUSED and client.evidence == UNSENT:
            # The machine was too slow for the short deadline.
            outcome = (BROKEN, b"")
        assert not one.allowed or outcome in one.allowed, one.place
        if damage in {"doubled", "paused"} and outcome[0] == WHOLE:
            assert client.names == [target], one.place
        if damage in {"cut", "spoiled"}:
            # A connection that closes as a request is written loses it.
            assert endpoint.ended.wait(WAIT_S)
        # Whatever came, the next request gets its own answer.
        assert client.send("/next") == (WHOLE, BODY), one.place
        assert client.names == ["/next"], one.place


def parse(data: bytes, method: str) -> Outcome:
    """Read an answer as a strict caller does."""
    head, end, body = data.partition(END)
    if data.endswith(RESET) or not end:
        return BROKEN, b""
    lower = head.lower() + b"\r\n"
    if b"nutmegchute-outcome: not-run" in lower:
        return REFUSED, b""
    if b"nutmegchute-outcome: unknown" in lower:
        return BROKEN, b""
    status = int(head.split(b" ")[1])
    if method == "HEAD" or status in {204, 304}:
        return WHOLE, body
    if b"\r\ntransfer-encoding: chunked\r\n" in lower:
        return _join_chunks(body)
    found = re.search(rb"\r\ncontent-length: (\d+)\r\n", lower)
    if found is None or len(body) < int(found[1]):
        return BROKEN, b""
    return WHOLE, body


def _join_chunks(data: bytes) -> Outcome:
    body = b""
    while True:
        line, _, data = data.partition(b"\r\n")
        if not line:
            return BROKEN, b""
        size = int(line, 16)
        if size == 0:
            return (WHOLE, body) if data == b"\r\n" else (BROKEN, b"")
        if len(data) < size + 2:
            return BROKEN, b""
        body += data[:size]
        data = data[size + 2 :]


def call(server: CallServer, target: str, method: str) -> Outcome:
    """Send a request through the entry and read the answer."""
    head = f"{method} /call/catalogo{target} HTTP/1.1\r\nHost: x\r\n"
    with server.connect() as sock:
        sock.sendall(f"{head}Connection: close\r\n\r\n".encode())
        return parse(read_to_end(sock), method)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("damage", ["cut", "spoiled", "doubled", "paused"])
def test_caller_gets_a_whole_answer_or_a_visible_break(
    endpoint: Endpoint, entry: CallServer, damage: str, kind: str
) -> None:
    """Never pass a damaged answer on in a form that looks complete."""
    played = endpoint.played
    damages = list(DAMAGES[damage](KINDS[kind]))[::ENTRY_STEP]
    for number, one in enumerate(damages):
        target = f"/{number % 10000:04}"
        endpoint.prepare(target, one.play)
        outcome = call(entry, target, one.kind.method)
        assert not one.allowed or outcome in one.allowed, one.place
        if damage in {"cut", "spoiled"}:
            assert endpoint.ended.wait(WAIT_S)
        assert call(entry, "/next", "POST") == (WHOLE, BODY), one.place
    # A damage that was kept from the endpoint would show nothing.
    assert endpoint.played - played >= len(damages)
