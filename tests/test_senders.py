"""Send to upstreams that misbehave and say only what is true."""

import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_daemon.answers import BrokenAnswerError
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.senders import CLOSED
from nutmegchute_daemon.senders import MALFORMED
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_daemon.senders import TIMED_OUT
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.clusters import free_address
from nutmegchute_fakes.faulty_upstreams import Behaviour
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
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


class Line:
    """Send to one endpoint over kept connections."""

    def __init__(self, endpoint: str) -> None:
        self.endpoint = endpoint
        self.sender = Sender(ConnectionPool())
        self.exchange = Exchange()

    def send(self, target: str = "/a", remaining_s: float = LONG_S) -> str:
        """Send one request; return its outcome, and keep the reply."""
        self.exchange = Exchange()
        request = Request("POST", target, HTTPHeaderDict(), b"body")
        self.reply = self.sender.send(
            request, self.endpoint, remaining_s, self.exchange
        )
        return self.reply.outcome

    def body(self) -> bytes:
        """Read the answer to its end."""
        return b"".join(self.reply.body())


def test_refused_connection_is_not_run() -> None:
    """Nothing can have run where nothing listens."""
    assert Line(free_address()).send() == NOT_RUN


def test_connecting_in_vain_is_not_run() -> None:
    """A full backlog drops the connection's first packet: nothing ran."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
        host, port = full.getsockname()
        waiting = [socket.socket() for _ in range(4)]
        for one in waiting:
            one.setblocking(False)
            one.connect_ex((host, port))
        assert Line(f"{host}:{port}").send() == NOT_RUN
        for one in waiting:
            one.close()


def test_shed_before_running_is_not_run(start: Start) -> None:
    """The upstream's own word before running is believed."""
    assert Line(start(faulty_upstreams.shed).address).send() == NOT_RUN


def test_not_run_beside_an_answer_is_not_believed(start: Start) -> None:
    """An upstream answers 200 and says "not run" at once.

    Called "not run", the loan would be sent to another library while this
    one has packed the book. The caller gets the answer, and no word of
    the entry's own that the upstream made up.
    """
    line = Line(start(faulty_upstreams.lie_about_not_run).address)
    assert line.send() == ANSWERED
    assert line.body() == b"lent"
    names = [name for name, _ in line.reply.headers()]
    assert "Nutmegchute-Not-Run" not in names


@pytest.mark.parametrize(
    "behaviour",
    [
        faulty_upstreams.reset_at_once,
        faulty_upstreams.reset_after_head,
        faulty_upstreams.half_a_body,
        faulty_upstreams.early_hint,
        faulty_upstreams.contradict_lengths,
    ],
)
def test_broken_answer_is_lost(start: Start, behaviour: Behaviour) -> None:
    """From the first byte written on a request may have run.

    The upstream has read the whole loan when its answer breaks. "Not run"
    would be a guess, and a wrong one has two libraries pack one book.
    """
    upstream = start(behaviour)
    assert Line(upstream.address).send() == LOST
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    ("behaviour", "loss"),
    [
        (faulty_upstreams.reset_at_once, CLOSED),
        (faulty_upstreams.half_a_body, CLOSED),
        (faulty_upstreams.early_hint, MALFORMED),
        (faulty_upstreams.stay_silent, TIMED_OUT),
    ],
)
def test_how_an_attempt_was_lost(
    start: Start, behaviour: Behaviour, loss: str
) -> None:
    """Tell a closed connection from a wait that was given up."""
    line = Line(start(behaviour).address)
    assert line.send(remaining_s=SHORT_S) == LOST
    assert line.reply.loss == loss


def test_closed_connection_is_no_crash(start: Start) -> None:
    """Guard against taking an endpoint that lives on for a crashed one."""
    upstream = start(faulty_upstreams.reset_at_once)
    line = Line(upstream.address)
    assert line.send() == LOST
    assert line.reply.loss == CLOSED
    assert not line.sender.refuses_connections(upstream.address)
    assert line.sender.refuses_connections(free_address())


@pytest.mark.parametrize(
    "behaviour",
    [faulty_upstreams.half_a_long_body, faulty_upstreams.half_the_chunks],
)
def test_cut_of_a_long_answer_is_an_error(
    start: Start, behaviour: Behaviour
) -> None:
    """A long answer is passed on as it comes; its cut must show.

    Ended quietly, the caller would take half a catalogue for the whole.
    """
    line = Line(start(behaviour).address)
    assert line.send() == ANSWERED
    with pytest.raises(BrokenAnswerError):
        line.body()


def test_silent_upstream_is_lost_at_the_deadline(start: Start) -> None:
    """The request is with the upstream, so nobody knows."""
    upstream = start(faulty_upstreams.stay_silent)
    assert Line(upstream.address).send(remaining_s=SHORT_S) == LOST
    assert upstream.closed.wait(LONG_S)


def test_late_answer_reaches_nobody(start: Start) -> None:
    """An answer that comes after the entry gave up is never passed on.

    The first call runs out of time. Its answer is released, then the
    second call is sent: it must get its own answer, so the first one's
    connection has to be closed and not pooled.
    """
    upstream = start(faulty_upstreams.answer_late)
    line = Line(upstream.address)
    assert line.send("/first", SHORT_S) == LOST
    upstream.release.set()
    assert line.send("/second") == ANSWERED
    assert line.body() == b"/second"
    assert upstream.connections == 2


def test_second_answer_reaches_nobody(start: Start) -> None:
    """An upstream sends two answers to one request.

    Left in the connection, the second would answer the next caller with
    another patron's loans. The connection is closed instead.
    """
    upstream = start(faulty_upstreams.two_answers)
    line = Line(upstream.address)
    for number in range(5):
        assert line.send(f"/own-{number}") == ANSWERED
        assert line.body() == f"/own-{number}".encode()
    assert upstream.connections == 5


def test_closed_idle_connection_is_not_used(start: Start) -> None:
    """An upstream closes while idle; the next loan goes on a new one."""
    upstream = start(faulty_upstreams.close_when_idle)
    line = Line(upstream.address)
    for _ in range(3):
        assert line.send() == ANSWERED
        assert line.body() == b"once"
        assert upstream.left.wait(LONG_S)
        upstream.left.clear()
    assert len(upstream.requests) == upstream.connections == 3


def test_closed_while_written_is_lost_and_not_resent(start: Start) -> None:
    """A kept connection is closed just as the second loan is written.

    Whether the upstream read it nobody can tell, so the outcome is
    "lost", and the library must not quietly send it again.
    """
    upstream = start(faulty_upstreams.close_as_written)
    line = Line(upstream.address)
    assert line.send() == ANSWERED
    assert line.body() == b"once"
    assert line.send() == LOST
    assert len(upstream.requests) == 2


def test_kept_connection_serves_again(start: Start) -> None:
    """Clean exchanges share one connection, chunked ones too."""
    for behaviour in (faulty_upstreams.answer, faulty_upstreams.chunks):
        upstream = start(behaviour)
        line = Line(upstream.address)
        for _ in range(3):
            assert line.send() == ANSWERED
            assert line.body()
        assert upstream.connections == 1


def test_end_reaches_a_waiting_upstream(start: Start) -> None:
    """A cancelled attempt ends at once and its upstream sees the close."""
    upstream = start(faulty_upstreams.stay_silent)
    line = Line(upstream.address)
    outcomes: list[str] = []
    thread = threading.Thread(target=lambda: outcomes.append(line.send()))
    thread.start()
    while not upstream.requests:
        threading.Event().wait(0.01)
    line.exchange.end()
    thread.join(LONG_S)
    assert outcomes == [CANCELLED]
    assert upstream.closed.wait(LONG_S)


def test_end_after_the_answer_harms_no_other_call(start: Start) -> None:
    """An order to end that comes late must not reach the next exchange."""
    upstream = start(faulty_upstreams.answer)
    line = Line(upstream.address)
    assert line.send("/one") == ANSWERED
    old = line.exchange
    assert line.body() == b"/one"
    assert line.send("/two") == ANSWERED
    old.end()
    assert line.body() == b"/two"
    assert line.send("/three") == ANSWERED
    assert upstream.connections == 1


def test_answer_without_end_mark_is_not_called_framed(start: Start) -> None:
    """Only its close ends it, so a cut cannot be told from an end."""
    line = Line(start(faulty_upstreams.unframed).address)
    assert line.send() == ANSWERED
    assert not line.reply.is_framed
    assert line.body() == b"until the end"


def test_folded_header_stays_one_header(start: Start) -> None:
    """A folded line passed on as it came would become a second header."""
    line = Line(start(faulty_upstreams.split_header).address)
    assert line.send() == ANSWERED
    assert ("X-Note", "a Set-Cookie: b") in line.reply.headers()
