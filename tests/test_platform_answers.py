"""Test what the platform's answers prove, over real connections."""

from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.evidence import REJECTED
from nutmegchute_daemon.answers import NAMES_ANOTHER
from nutmegchute_daemon.answers import NAMES_NONE
from nutmegchute_daemon.answers import NAMES_REQUEST
from nutmegchute_daemon.answers import NAMES_SEVERAL
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from nutmegchute_platform.calls import PlatformCalls
from urllib3 import HTTPHeaderDict

WAIT_S = 5.0
# Without it a success is no answer.
SIGNATURE = "Server-Signature: s"


def build_answer(status: int, *lines: str, body: str = "") -> bytes:
    """Return an answer with these header lines."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


def rejection(name: str, status: int = 503, body: str = "") -> bytes:
    """Return a rejection of the request with this id."""
    lines = [f"Request-Id: {name}", "Not-Executed: 1"]
    return build_answer(status, *lines, body=body)


def success(name: str) -> bytes:
    """Return a success for the request with this id."""
    lines = [f"Request-Id: {name}", SIGNATURE]
    return build_answer(200, *lines, body=name)


class Endpoint(FaultyUpstream):
    """Answer request after request with prepared bytes.

    An item of ``answers`` is written after the request with its number has
    been read; requests beyond the last item get no answer.
    """

    def __init__(self, answers: list[bytes]) -> None:
        self._answers = list(answers)
        super().__init__(self._answer)

    def _answer(self, connection: UpstreamConnection) -> None:
        while connection.read() is not None:
            if not self._answers:
                connection.wait_for_close()
                return
            connection.write(self._answers.pop(0))


class Client:
    """Send requests to one endpoint over kept connections."""

    def __init__(self, answers: list[bytes]) -> None:
        self.endpoint = Endpoint(answers)
        self.sender = Sender(ConnectionPool(), PlatformCalls())

    def send(self, name: str) -> Reply:
        """Send a request with this id and return the reply."""
        headers = HTTPHeaderDict({"Request-Id": name})
        request = Request("POST", "/loan", headers, b"atlas")
        return self._send(request)

    def query(self) -> Reply:
        """Send a load query and return the reply."""
        return self._send(self.sender.build_query("/healthz"))

    def _send(self, request: Request) -> Reply:
        return self.sender.send(
            request, self.endpoint.address, WAIT_S, Exchange()
        )


@pytest.fixture
def clients() -> Iterator[list[Client]]:
    """Yield a list of clients whose endpoints are stopped at the end."""
    built: list[Client] = []
    yield built
    for one in built:
        one.endpoint.stop()


@pytest.mark.parametrize("status", [421, 429, 503])
def test_late_copy_of_a_rejection_is_no_answer_to_the_next_request(
    clients: list[Client], status: int
) -> None:
    """Take a late second copy of a rejection for no other request's answer.

    Otherwise a loan that runs is reported as not run, or sent elsewhere. Its
    own answer follows and is passed on.
    """
    copy = rejection("a", status, "full")
    client = Client([copy, copy + success("b"), success("c")])
    clients.append(client)
    first = client.send("a")
    assert (first.outcome, first.evidence) == (NOT_RUN, REJECTED)
    second = client.send("b")
    assert (second.outcome, second.evidence) == (ANSWERED, "")
    assert (second.strays, b"".join(second.body())) == (1, b"b")
    assert not second.is_misdirected
    third = client.send("c")
    assert (third.outcome, third.carried) == (ANSWERED, 0)


def test_late_answer_that_cannot_be_skipped_ends_the_attempt(
    clients: list[Client],
) -> None:
    """Search no bytes for an answer where an earlier one has no clear end."""
    chunked = [
        "HTTP/1.1 200 X",
        "Request-Id: a",
        SIGNATURE,
        "Transfer-Encoding: chunked",
        "",
        "1",
        "x",
        "0",
        "",
        "",
    ]
    copy = "\r\n".join(chunked).encode()
    for late in (copy, build_answer(200, "Request-Id: z", SIGNATURE)):
        client = Client([success("a"), late + success("b"), success("c")])
        clients.append(client)
        client.send("a")
        assert client.send("b").outcome == LOST
        assert client.send("c").carried == 0


@pytest.mark.parametrize(
    "lines",
    [
        [],
        ["Request-Id: "],
        ["Request-Id: B"],
        ["Request-Id: bb"],
        ["Request-Id: b", "Request-Id: b"],
        ["Request-Id: b, b"],
    ],
)
@pytest.mark.parametrize("status", [421, 503])
def test_rejection_that_does_not_name_the_request_proves_nothing(
    clients: list[Client], lines: list[str], status: int
) -> None:
    """Believe no rejection whose id is absent, doubled or another one."""
    client = Client([build_answer(status, "Not-Executed: 1", *lines)])
    clients.append(client)
    reply = client.send("b")
    assert (reply.outcome, reply.evidence) == (LOST, "")
    assert not reply.is_misdirected


@pytest.mark.parametrize("status", [200, 202, 404, 500, 504])
def test_rejection_with_a_status_of_a_run_proves_nothing(
    clients: list[Client], status: int
) -> None:
    """Believe no rejection whose status says that the request ran."""
    lines = ["Request-Id: b", "Not-Executed: 1", SIGNATURE]
    client = Client([build_answer(status, *lines)])
    clients.append(client)
    reply = client.send("b")
    assert (reply.outcome, reply.evidence) == (LOST, "")


@pytest.mark.parametrize("status", [200, 201, 204, 206, 299])
@pytest.mark.parametrize(
    "line",
    ["X-A: s", "Server-Signature:", "Server-Signatura: s", "Server: s"],
)
def test_success_without_a_signature_is_no_answer(
    clients: list[Client], status: int, line: str
) -> None:
    """Guard against a success whose signature was damaged beyond its name."""
    client = Client([build_answer(status, "Request-Id: a", line)])
    clients.append(client)
    assert client.send("a").outcome == LOST


@pytest.mark.parametrize("status", [302, 404, 500, 504])
def test_failure_needs_no_signature(
    clients: list[Client], status: int
) -> None:
    """Guard against the loss of a failure that the endpoint reported."""
    client = Client([build_answer(status, "Request-Id: a")])
    clients.append(client)
    assert client.send("a").outcome == ANSWERED


def test_answers_that_contradict_each_other_prove_nothing(
    clients: list[Client],
) -> None:
    """Believe no rejection that a success follows at once."""
    client = Client([rejection("b") + success("b")])
    clients.append(client)
    reply = client.send("b")
    assert (reply.outcome, reply.evidence) == (LOST, "")


def test_doubled_rejection_still_sends_the_request_elsewhere(
    clients: list[Client],
) -> None:
    """Believe a doubled rejection, and use its connection no more."""
    client = Client([rejection("a") + rejection("a"), success("b")])
    clients.append(client)
    assert client.send("a").outcome == NOT_RUN
    assert client.send("b").carried == 0


def test_retry_avoids_the_connection_that_carried_its_rejection(
    clients: list[Client],
) -> None:
    """Keep a late copy of the first try's rejection from its second try.

    Both tries have the same id, so that the copy would name the second one.
    """
    client = Client([rejection("a"), success("a"), success("b")])
    clients.append(client)
    assert client.send("a").outcome == NOT_RUN
    assert client.send("a").carried == 0
    assert client.send("b").carried == 1


def test_rejection_with_a_missing_body_is_believed_at_once(
    clients: list[Client],
) -> None:
    """Do not wait for the body of a rejection before the next endpoint."""
    whole = rejection("a", body="full" * 9)
    client = Client([whole[:-30], success("b")])
    clients.append(client)
    reply = client.send("a")
    assert (reply.outcome, reply.evidence) == (NOT_RUN, REJECTED)
    assert reply.latency_s < WAIT_S / 2
    assert client.send("b").carried == 0


def test_late_rejection_of_a_call_is_no_answer_to_a_load_query(
    clients: list[Client],
) -> None:
    """Learn nothing of an endpoint from an answer to another request."""
    copy = build_answer(
        503,
        "Request-Id: a",
        "Not-Executed: 1",
        "Retry-After: 30",
        "Server-Limit: 0",
    )
    client = Client([copy, copy, success("b")])
    clients.append(client)
    assert client.send("a").outcome == NOT_RUN
    reply = client.query()
    assert (reply.outcome, reply.status) == (LOST, 0)
    assert reply.notice(("", "", 0), 0.0) is None
    assert client.send("b").carried == 0


@pytest.mark.parametrize(
    ("lines", "naming"),
    [
        (["Request-Id: b"], NAMES_REQUEST),
        (["request-id: b"], NAMES_REQUEST),
        (["Request-Id: z"], NAMES_ANOTHER),
        (["Request-Id: B"], NAMES_ANOTHER),
        ([], NAMES_NONE),
        (["Request-Id: "], NAMES_NONE),
        (["Request-Id: b", "Request-Id: b"], NAMES_SEVERAL),
        (["Request-Id: b", "Request-Id: a"], NAMES_SEVERAL),
    ],
)
def test_log_tells_which_request_an_answer_names(
    clients: list[Client], lines: list[str], naming: str
) -> None:
    """Report how a rejection names its request, and on which connection.

    Without it the log cannot tell a rejection from one of another request.
    """
    second = build_answer(503, "Not-Executed: 1", *lines)
    client = Client([success("a"), second])
    clients.append(client)
    assert client.send("a").carried == 0
    reply = client.send("b")
    assert reply.naming == naming
    assert (reply.head_status, reply.carried) == (503, 1)
