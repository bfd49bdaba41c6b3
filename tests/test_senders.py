"""Test the outcomes of attempts at upstreams that misbehave."""

import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import CUT_SHORT
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.answers import NAMES_ANOTHER
from nutmegchute_daemon.body_pacers import BodyPacer
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.exchanges import BadBodyError
from nutmegchute_daemon.senders import BodyRemainder
from nutmegchute_daemon.senders import CONNECT_REFUSED
from nutmegchute_daemon.senders import CONNECT_TIMED_OUT
from nutmegchute_daemon.senders import MALFORMED
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.senders import TIMED_OUT
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.clusters import find_free_address
from nutmegchute_fakes.faulty_upstreams import Behaviour
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from urllib3 import HTTPHeaderDict

LONG_S = 5.0
SHORT_S = 0.2

Start = Callable[[Behaviour], FaultyUpstream]


@pytest.fixture
def start() -> Iterator[Start]:
    """Start upstreams and stop them at the end."""
    running: list[FaultyUpstream] = []

    def one(behaviour: Behaviour) -> FaultyUpstream:
        running.append(FaultyUpstream(behaviour))
        return running[-1]

    yield one
    for upstream in running:
        upstream.stop()


class EndpointClient:
    """Send to one endpoint over pooled connections."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.sender = Sender(ConnectionPool())
        self.exchange = Exchange()
        self.count = 0

    def send(self, target: str = "/a", remaining_s: float = LONG_S) -> str:
        """Send one request, store the reply and return its outcome."""
        self.exchange = Exchange()
        self.count += 1
        headers = HTTPHeaderDict({"Nutmegchute-Attempt-Id": f"{self.count}.1"})
        request = Request("POST", target, headers, b"body")
        self.reply = self.sender.send(
            request, self.endpoint, remaining_s, self.exchange
        )
        return self.reply.outcome

    def body(self) -> bytes:
        """Read the answer to its end."""
        return b"".join(self.reply.body())


@pytest.mark.parametrize("streamed", [False, True])
def test_paced_body_arrives_whole(streamed: bool) -> None:
    """An endpoint gets the same bytes and length from a slow link."""
    body = bytes(range(256)) * 400
    remainder = None
    if streamed:
        pieces = [body[50_000:], b""]
        remainder = BodyRemainder(lambda size: pieces.pop(0))
    start = body[:50_000] if streamed else body
    headers = HTTPHeaderDict({"Content-Length": str(len(body))})
    received: list[bytes] = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        reader = threading.Thread(
            target=_receive, args=(listener, len(body), received)
        )
        reader.start()
        sender = Sender(ConnectionPool(), pacer=BodyPacer(20.0))
        request = Request("POST", "/a", headers, start, remainder)
        reply = sender.send(request, f"{host}:{port}", LONG_S, Exchange())
        reader.join()
    assert reply.outcome == ANSWERED
    head, _, rest = b"".join(received).partition(b"\r\n\r\n")
    assert rest == body
    assert f"content-length: {len(body)}".encode() in head.lower()


def test_body_cut_short_is_not_blamed_on_the_endpoint() -> None:
    """Guard against a loss by the caller that counts as the endpoint's."""

    def read(size: int) -> bytes:
        raise BadBodyError(400, "body was cut short")

    headers = HTTPHeaderDict({"Content-Length": "100"})
    request = Request("POST", "/a", headers, b"start", BodyRemainder(read))
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
        sender = Sender(ConnectionPool())
        reply = sender.send(request, f"{host}:{port}", LONG_S, Exchange())
    assert (reply.outcome, reply.loss) == (LOST, CUT_SHORT)


def _receive(
    listener: socket.socket, size: int, received: list[bytes]
) -> None:
    connection, _ = listener.accept()
    with connection:
        while (
            sum(map(len, received)) < size
            or not b"".join(received).partition(b"\r\n\r\n")[2][size - 1 :]
        ):
            received.append(connection.recv(65536))
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")


def test_refused_connection_is_not_run() -> None:
    """Report "not run" if nothing listens at the address."""
    client = EndpointClient(find_free_address())
    assert client.send() == NOT_RUN
    assert client.reply.loss == CONNECT_REFUSED


def test_connect_timeout_is_not_run() -> None:
    """Report "not run" if a full backlog drops the connection's SYN."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
        host, port = listener.getsockname()
        pending = [socket.socket() for _ in range(4)]
        for one in pending:
            one.setblocking(False)
            one.connect_ex((host, port))
        client = EndpointClient(f"{host}:{port}")
        assert client.send() == NOT_RUN
        assert client.reply.loss == CONNECT_TIMED_OUT
        for one in pending:
            one.close()


def test_shed_before_running_is_not_run(start: Start) -> None:
    """Accept the "not run" of an upstream that sheds the call."""
    assert (
        EndpointClient(start(faulty_upstreams.shed).address).send() == NOT_RUN
    )


def test_not_run_with_status_200_is_ignored(start: Start) -> None:
    """Ignore the "not run" of an upstream that also answers 200.

    Otherwise the loan would be sent to another library after this one has
    packed the book. The caller gets the answer without the header, which
    only an entry may send to it.
    """
    client = EndpointClient(
        start(faulty_upstreams.answer_marked_not_run).address
    )
    assert client.send() == ANSWERED
    assert client.body() == b"lent"
    names = [name for name, _ in client.reply.headers()]
    assert "Nutmegchute-Not-Run" not in names


def test_shed_that_names_no_attempt_is_lost(start: Start) -> None:
    """Believe no "not run" without the attempt's id, but let it rest.

    It may belong to another attempt on the same connection.
    """
    client = EndpointClient(start(shed_without_id).address)
    assert client.send() == LOST
    notice = client.reply.notice(("", "", 0), 0.0)
    assert notice is not None and notice.rest_s == 2.0


def test_late_copy_of_a_shed_is_no_answer_to_the_next_call(
    start: Start,
) -> None:
    """Take a late second copy of a "not run" for no other call's answer."""
    client = EndpointClient(start(shed_again_late).address)
    assert client.send("/first") == NOT_RUN
    assert client.send("/second") == ANSWERED
    assert (client.reply.strays, client.body()) == (1, b"ran")


def test_answer_that_names_another_attempt_is_lost(start: Start) -> None:
    """Pass on no answer that names another attempt than the one sent."""
    client = EndpointClient(start(answer_for_another).address)
    assert client.send() == LOST
    assert client.reply.naming == NAMES_ANOTHER


def shed_without_id(connection: UpstreamConnection) -> None:
    """Report "not run" without the id of the attempt."""
    connection.read()
    connection.write(
        b"HTTP/1.1 503 Shed\r\nNutmegchute-Not-Run: shed\r\n"
        b"Retry-After: 2\r\nContent-Length: 0\r\n\r\n"
    )


def shed_again_late(connection: UpstreamConnection) -> None:
    """Report "not run" again when the next request has been read."""
    shed = faulty_upstreams.build_shed(connection.read() or b"")
    connection.write(shed)
    request = connection.read()
    connection.write(shed)
    if request is not None:
        attempt_id = faulty_upstreams.read_attempt_id(request)
        name = b"Nutmegchute-Attempt-Id: " + attempt_id
        connection.write(faulty_upstreams.build_answer(b"ran", name))


def answer_for_another(connection: UpstreamConnection) -> None:
    """Answer with the id of another attempt."""
    connection.read()
    connection.write(
        faulty_upstreams.build_answer(b"x", b"Nutmegchute-Attempt-Id: 7.7")
    )


@pytest.mark.parametrize(
    "behaviour",
    [
        faulty_upstreams.reset_at_once,
        faulty_upstreams.reset_after_head,
        faulty_upstreams.truncate_body,
        faulty_upstreams.switch_protocols,
        faulty_upstreams.send_conflicting_lengths,
    ],
)
def test_broken_answer_is_lost(start: Start, behaviour: Behaviour) -> None:
    """Report "lost" if the answer breaks after the request was written.

    The upstream has read the whole loan and may have run it. If "not run"
    were reported, two libraries could pack one book.
    """
    upstream = start(behaviour)
    assert EndpointClient(upstream.address).send() == LOST
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    ("behaviour", "loss", "remaining_s"),
    [
        (faulty_upstreams.reset_at_once, CLOSED, LONG_S),
        (faulty_upstreams.truncate_body, CLOSED, LONG_S),
        (faulty_upstreams.switch_protocols, MALFORMED, LONG_S),
        (faulty_upstreams.never_answer, TIMED_OUT, SHORT_S),
    ],
)
def test_reason_of_a_lost_attempt(
    start: Start, behaviour: Behaviour, loss: str, remaining_s: float
) -> None:
    """Distinguish a closed connection, a bad answer and a time-out."""
    client = EndpointClient(start(behaviour).address)
    assert client.send(remaining_s=remaining_s) == LOST
    assert client.reply.loss == loss


def test_closed_connection_is_no_crash(start: Start) -> None:
    """Do not count a closed connection as a crash of the endpoint.

    Only an address that refuses connections shows that its process ended.
    """
    upstream = start(faulty_upstreams.reset_at_once)
    client = EndpointClient(upstream.address)
    assert client.send() == LOST
    assert client.reply.loss == CLOSED
    assert not client.sender.refuses_connections(upstream.address)
    assert client.sender.refuses_connections(find_free_address())


@pytest.mark.parametrize(
    "behaviour",
    [faulty_upstreams.truncate_long_body, faulty_upstreams.truncate_chunks],
)
def test_break_of_a_long_answer_is_an_error(
    start: Start, behaviour: Behaviour
) -> None:
    """Raise an error if a long answer breaks while it is streamed.

    Without it the caller would treat half a catalogue as complete.
    """
    client = EndpointClient(start(behaviour).address)
    assert client.send() == ANSWERED
    with pytest.raises(BrokenAnswerError):
        client.body()


def test_silent_upstream_is_lost_at_the_deadline(start: Start) -> None:
    """Report "lost" at the deadline, as the request may have run."""
    upstream = start(faulty_upstreams.never_answer)
    assert EndpointClient(upstream.address).send(remaining_s=SHORT_S) == LOST
    assert upstream.peer_closed.wait(LONG_S)


def test_late_answer_is_never_delivered(start: Start) -> None:
    """Never deliver an answer that arrives after the deadline.

    The first call times out and its answer is sent afterwards. The second
    call must get its own answer, so the connection of the first must be
    closed, not pooled.
    """
    upstream = start(faulty_upstreams.answer_late)
    client = EndpointClient(upstream.address)
    assert client.send("/first", SHORT_S) == LOST
    upstream.release.set()
    assert client.send("/second") == ANSWERED
    assert client.body() == b"/second"
    assert upstream.connections == 2


def test_second_answer_is_never_delivered(start: Start) -> None:
    """Close the connection of an upstream that answers a request twice.

    If it were reused, the next caller would get the second answer, with
    another patron's loans.
    """
    upstream = start(faulty_upstreams.answer_twice)
    client = EndpointClient(upstream.address)
    for number in range(5):
        assert client.send(f"/own-{number}") == ANSWERED
        assert client.body() == f"/own-{number}".encode()
    assert upstream.connections == 5


def test_closed_idle_connection_is_not_used(start: Start) -> None:
    """Open a new connection if the upstream has closed the idle one."""
    upstream = start(faulty_upstreams.close_when_idle)
    client = EndpointClient(upstream.address)
    for _ in range(3):
        assert client.send() == ANSWERED
        assert client.body() == b"once"
        assert upstream.connection_ended.wait(LONG_S)
        upstream.connection_ended.clear()
    assert len(upstream.requests) == upstream.connections == 3


def test_closed_while_written_is_lost_and_not_resent(start: Start) -> None:
    """Report "lost" if a pooled connection closes as a loan is written.

    The upstream may have read the loan, so the HTTP library must not resend
    it on its own.
    """
    upstream = start(faulty_upstreams.reset_second_request)
    client = EndpointClient(upstream.address)
    assert client.send() == ANSWERED
    assert client.body() == b"once"
    assert client.send() == LOST
    assert len(upstream.requests) == 2


def test_idle_connection_is_reused(start: Start) -> None:
    """Reuse a connection after complete answers, chunked ones too."""
    for behaviour in (
        faulty_upstreams.answer,
        faulty_upstreams.answer_chunked,
    ):
        upstream = start(behaviour)
        client = EndpointClient(upstream.address)
        for number in range(3):
            assert client.send() == ANSWERED
            assert client.reply.reused == (number > 0)
            assert client.body()
        assert upstream.connections == 1


def test_cancelled_attempt_closes_its_connection(start: Start) -> None:
    """End a cancelled attempt at once and close its connection."""
    upstream = start(faulty_upstreams.never_answer)
    client = EndpointClient(upstream.address)
    outcomes: list[str] = []
    thread = threading.Thread(target=lambda: outcomes.append(client.send()))
    thread.start()
    while not upstream.requests:
        threading.Event().wait(0.01)
    client.exchange.end()
    thread.join(LONG_S)
    assert outcomes == [CANCELLED]
    assert upstream.peer_closed.wait(LONG_S)


def test_late_end_does_not_affect_other_calls(start: Start) -> None:
    """Ending a completed exchange must not affect the next one."""
    upstream = start(faulty_upstreams.answer)
    client = EndpointClient(upstream.address)
    assert client.send("/one") == ANSWERED
    completed = client.exchange
    assert client.body() == b"/one"
    assert client.send("/two") == ANSWERED
    completed.end()
    assert client.body() == b"/two"
    assert client.send("/three") == ANSWERED
    assert upstream.connections == 1


def test_answer_without_length_is_not_framed(start: Start) -> None:
    """Report an answer that only a close ends as not framed.

    Its end cannot be distinguished from a broken connection.
    """
    client = EndpointClient(
        start(faulty_upstreams.answer_without_length).address
    )
    assert client.send() == ANSWERED
    assert not client.reply.is_framed
    assert client.body() == b"until the end"


def test_folded_header_is_no_answer(start: Start) -> None:
    """Guard against a header that is lost as a part of the one before."""
    client = EndpointClient(start(faulty_upstreams.fold_header).address)
    assert client.send() == LOST
    assert client.reply.loss == MALFORMED
