"""Test that only a whole, unambiguous head counts as one of an answer."""

from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_daemon.answer_heads import MAX_INTERIM_ANSWERS
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.senders import MALFORMED
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import send_early_hint
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from urllib3 import HTTPHeaderDict

WAIT_S = 10.0
NAME = {"Nutmegchute-Attempt-Id": "1.1"}
REJECTION = (
    b"HTTP/1.1 503 X\r\nNutmegchute-Not-Run: shed\r\n"
    b"Nutmegchute-Attempt-Id: 1.1\r\n"
)
OK = b"HTTP/1.1 200 OK\r\n"
HINT = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


class Endpoint(FaultyUpstream):
    """Answer the first request of each connection with given bytes."""

    def __init__(self) -> None:
        self.data = b""
        super().__init__(self._answer)

    def _answer(self, connection: UpstreamConnection) -> None:
        connection.read()
        connection.write(self.data)

    def send(self, data: bytes, method: str = "GET") -> Reply:
        """Send a request that is answered with these bytes."""
        self.data = data
        request = Request(method, "/a", HTTPHeaderDict(NAME))
        sender = Sender(ConnectionPool())
        return sender.send(request, self.address, WAIT_S, Exchange())


@pytest.fixture(scope="module")
def endpoint() -> Iterator[Endpoint]:
    """Run an endpoint."""
    one = Endpoint()
    yield one
    one.stop()


MALFORMED_HEADS = {
    "two lengths": LENGTH + b"Content-Length: 3\r\n",
    "list of lengths": b"Content-Length: 2, 2\r\n",
    "signed length": b"Content-Length: +2\r\n",
    "length with underscore": b"Content-Length: 1_0\r\n",
    "length in hexadecimal": b"Content-Length: 0x2\r\n",
    "empty length": b"Content-Length:\r\n",
    "folded length": b"Content-Length:\r\n 2\r\n",
    "length and coding": LENGTH + CHUNKED,
    "coding and length": CHUNKED + LENGTH,
    "two codings": CHUNKED + CHUNKED,
    "other coding": b"Transfer-Encoding: gzip\r\n",
    "list of codings": b"Transfer-Encoding: gzip, chunked\r\n",
    "no colon": LENGTH + b"X-A\r\n",
    "empty name": LENGTH + b": a\r\n",
    "space before the colon": LENGTH + b"X-A : a\r\n",
    "space in a name": LENGTH + b"X A: a\r\n",
    "control character in a name": LENGTH + b"X\x01A: a\r\n",
    "byte of no character in a name": LENGTH + b"X\xe9: a\r\n",
    "bare CR": LENGTH + b"X-A: a\rX-B: b\r\n",
    "bare LF": LENGTH + b"X-A: a\nX-B: b\r\n",
    "NUL": LENGTH + b"X-A: a\x00b\r\n",
    "delete": LENGTH + b"X-A: a\x7fb\r\n",
    "second status line": LENGTH + OK,
    "folded line": LENGTH + b"X-A: a\r\n b\r\n",
    "line folded by a tab": LENGTH + b"X-A: a\r\n\tb\r\n",
    "empty folded line": LENGTH + b"X-A: a\r\n \r\n",
    "space before the length": b"X-A: a\r\n ontent-Length: 2\r\n",
    "space before the coding": b"X-A: a\r\n ransfer-Encoding: chunked\r\n",
    "space before the first name": b" ontent-Length: 2\r\n",
    "tab in a name": LENGTH + b"X\tA: a\r\n",
    "tab before the colon": LENGTH + b"X-A\t: a\r\n",
    "NUL in a name": LENGTH + b"X\x00A: a\r\n",
    "control character before the colon": LENGTH + b"X-A\x1f: a\r\n",
    "control character in a value": LENGTH + b"X-A: a\x1fb\r\n",
    "space in the length": b"Content-Le gth: 2\r\n",
    "form feed in the coding": b"Transfer\x0cEncoding: chunked\r\n",
}


@pytest.mark.parametrize("name", MALFORMED_HEADS)
@pytest.mark.parametrize("start", [OK, REJECTION])
def test_malformed_head_is_no_answer(
    endpoint: Endpoint, start: bytes, name: str
) -> None:
    """Never forward or believe a head that two parsers read differently."""
    reply = endpoint.send(start + MALFORMED_HEADS[name] + b"\r\nok")
    assert (reply.outcome, reply.loss) == (LOST, MALFORMED)
    assert not reply.evidence


@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/0.9 200 OK\r\n",
        b"HTTP/1.2 200 OK\r\n",
        b"HTTP/1.10 200 OK\r\n",
        b"HTTP/2.0 200 OK\r\n",
        b"HTTP/1 200 OK\r\n",
        b"http/1.1 200 OK\r\n",
        b"HTTP/1.1  200 OK\r\n",
        b" HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 2000 OK\r\n",
        b"HTTP/1.1 20 OK\r\n",
        b"HTTP/1.1 600 OK\r\n",
        b"HTTP/1.1 000 OK\r\n",
        b"HTTP/1.1 000\r\n",
        b"HTTP/1.0 000 OK\r\n",
        b"HTTP/1.1 0 OK\r\n",
        b"HTTP/1.1 099 OK\r\n",
        b"HTTP/1.1 +20 OK\r\n",
        b"HTTP/1.1 200 O\x00K\r\n",
        b"HTTP/1.1 200 OK\n",
        b"HTTP/1.1 200 OK\r\n fold\r\n",
        b"\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 101 Switching\r\n",
    ],
)
def test_malformed_status_line_is_no_answer(
    endpoint: Endpoint, line: bytes
) -> None:
    """Never forward an answer of another version, or without a status."""
    reply = endpoint.send(line + LENGTH + b"\r\nok")
    assert (reply.outcome, reply.loss) == (LOST, MALFORMED)


@pytest.mark.parametrize("start", [OK + b"X-A: a\r\n" + LENGTH, REJECTION])
def test_head_cut_anywhere_is_no_answer(
    endpoint: Endpoint, start: bytes
) -> None:
    """Never take the end of the connection for the end of the head.

    The caller would get a complete answer without its body, or be told "not
    run" by half a line.
    """
    head = start + b"\r\n"
    for cut in range(len(head)):
        reply = endpoint.send(head[:cut])
        assert (reply.outcome, reply.loss) == (LOST, CLOSED), head[:cut]
        assert not reply.evidence


@pytest.mark.parametrize(
    "head",
    [
        OK + LENGTH,
        OK + LENGTH + LENGTH,
        b"HTTP/1.0 200\r\n" + LENGTH,
        b"HTTP/1.1 200 \r\ncontent-length:2\r\n",
        OK + b"X-Empty:\r\nX-A: \t a \t\r\nX-B: \xe9\r\n" + LENGTH,
        b"HTTP/1.1 100 Continue\r\n\r\n" + OK + LENGTH,
        HINT + OK + LENGTH,
        b"HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" + OK + LENGTH,
        HINT * MAX_INTERIM_ANSWERS + OK + LENGTH,
    ],
)
def test_usual_heads_are_read(endpoint: Endpoint, head: bytes) -> None:
    """Read the forms of a head that servers send."""
    reply = endpoint.send(head + b"\r\nok")
    assert reply.outcome == ANSWERED
    assert b"".join(reply.body()) == b"ok"


@pytest.mark.parametrize(
    ("method", "head"),
    [
        ("HEAD", OK + CHUNKED),
        ("HEAD", OK + LENGTH),
        ("GET", b"HTTP/1.1 204 X\r\n"),
        ("GET", b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n"),
        ("GET", b"HTTP/1.1 304 X\r\n" + CHUNKED),
        ("GET", b"HTTP/1.1 304 X\r\n" + LENGTH),
    ],
)
def test_answer_without_a_body_ends_with_its_head(
    endpoint: Endpoint, method: str, head: bytes
) -> None:
    """Never wait for a body that does not come."""
    reply = endpoint.send(head + b"\r\n", method)
    assert reply.outcome == ANSWERED
    assert reply.is_framed
    assert b"".join(reply.body()) == b""


@pytest.mark.parametrize(
    "rest", [LENGTH + b"\r\nok", CHUNKED + b"\r\n2\r\nok\r\n0\r\n\r\n"]
)
def test_204_with_a_body_is_no_answer(endpoint: Endpoint, rest: bytes) -> None:
    """Never deliver an answer without its body as a success.

    A changed digit makes a 204 of a 200, whose body would be left out.
    """
    reply = endpoint.send(b"HTTP/1.1 204 X\r\n" + rest)
    assert (reply.outcome, reply.loss) == (LOST, MALFORMED)


@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 103 X\r\n" + LENGTH + b"\r\nok",
        b"HTTP/1.1 100 X\r\n" + CHUNKED + b"\r\n2\r\nok\r\n0\r\n\r\n",
        HINT * (MAX_INTERIM_ANSWERS + 1),
    ],
)
def test_interim_answer_hides_no_body(
    endpoint: Endpoint, interim: bytes
) -> None:
    """Never read the body of a spoiled answer as the head of the next."""
    reply = endpoint.send(interim + OK + LENGTH + b"\r\nok")
    assert (reply.outcome, reply.loss) == (LOST, MALFORMED)


@pytest.mark.parametrize("interim", [b"", HINT])
def test_whole_rejection_is_believed(
    endpoint: Endpoint, interim: bytes
) -> None:
    """Report "not run" after a whole head that says so."""
    reply = endpoint.send(interim + REJECTION + b"\r\n")
    assert reply.outcome == NOT_RUN


def test_early_hints_leave_the_connection_in_use() -> None:
    """Calls to an endpoint that sends early hints ended with 502."""
    upstream = FaultyUpstream(send_early_hint)
    sender = Sender(ConnectionPool())
    try:
        for number in range(3):
            headers = HTTPHeaderDict({"Nutmegchute-Attempt-Id": f"{number}.1"})
            request = Request("GET", f"/{number}", headers)
            reply = sender.send(request, upstream.address, WAIT_S, Exchange())
            assert reply.outcome == ANSWERED
            assert b"".join(reply.body()) == b"/%d" % number
            assert reply.carried == number
    finally:
        upstream.stop()
