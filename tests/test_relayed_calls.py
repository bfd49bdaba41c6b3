"""Test over loopback which answers to a call that is passed on are believed.

An entry that is cut off passes each call to one helper. The helper is a
stand-in whose answers a test writes, or a call server.
"""

import re
import socket
import threading
import tracemalloc
from collections.abc import Callable
from collections.abc import Iterator

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.call_servers import CallServer
from nutmegchute_fakes.call_servers import read_to_end
from nutmegchute_fakes.faulty_upstreams import Behaviour
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection

REFUSED = b"Nutmegchute-Outcome: not-run"
UNKNOWN = b"Nutmegchute-Outcome: unknown"
TOKEN = "token"
DEADLINE_S = 1.0
DEADLINE_MS = 1000
LINE_BYTES = 60
READ_BYTES = 65536
MAX_MEMORY_BYTES = 4_000_000
LOAN = b"POST /call/catalogo/loan HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
_ID = re.compile(rb"Nutmegchute-Relay-Call: ([^\r]*)\r\n")

# Writes a name into an answer, or several, or none.
Name = Callable[[bytes], list[bytes]]


class PassingBalancer(Balancer):
    """Pass each call to one helper."""

    def __init__(self, address: str, token: str = TOKEN) -> None:
        super().__init__(1)
        self.helper = address
        self.token = token
        self._passed_on = 0
        self.results: list[Result] = []

    def arrive(self, *_: object) -> tuple[int, list[Action]]:
        """Pass a call on."""
        self._passed_on += 1
        relay = Relay(
            self._passed_on,
            1,
            self.helper,
            DEADLINE_S,
            {},
            0.0,
            self.token,
            False,
        )
        return self._passed_on, [relay]

    def finish(self, result: Result, now: float) -> list[Action]:
        """End the call as its attempt has ended."""
        self.results.append(result)
        if result.outcome == ANSWERED:
            return [Finish(result.call_id, result.attempt)]
        if result.outcome == NOT_RUN:
            return [Refuse(result.call_id, "refused by the helper", 0.0)]
        return [Lose(result.call_id, "lost")]


class Site:
    """Run an entry that passes its calls to a helper."""

    def __init__(self) -> None:
        self.entry = CallServer([])
        self._servers = [self.entry]
        self._upstreams: list[FaultyUpstream] = []
        self.balancer: PassingBalancer

    def add_upstream(self, behaviour: Behaviour) -> FaultyUpstream:
        """Add an upstream or the stand-in of a helper."""
        self._upstreams.append(FaultyUpstream(behaviour))
        return self._upstreams[-1]

    def pass_to(self, address: str, token: str = TOKEN) -> None:
        """Set the helper."""
        self.balancer = PassingBalancer(address, token)
        self.entry.use_balancer(self.balancer)

    def help_by(self, behaviour: Behaviour) -> FaultyUpstream:
        """Set a stand-in as the helper."""
        helper = self.add_upstream(behaviour)
        self.pass_to(helper.address)
        return helper

    def serve_by(
        self, behaviour: Behaviour, deadline_ms: int, threads: int = 4
    ) -> CallServer:
        """Set a call server with one upstream as the helper."""
        upstream = self.add_upstream(behaviour)
        server = CallServer([upstream.address], deadline_ms=deadline_ms)
        self._servers.append(server)
        door = server.accept_relays(threads)
        self.pass_to(door.address.address, door.address.token)
        return server

    def count_ran(self) -> int:
        """Return the number of requests that reached an upstream."""
        return sum(len(one.requests) for one in self._upstreams)

    def stop(self) -> None:
        """Stop all."""
        for upstream in self._upstreams:
            upstream.stop()
        for server in self._servers:
            server.stop()


@pytest.fixture
def site() -> Iterator[Site]:
    """Run an entry that is cut off."""
    found = Site()
    yield found
    found.stop()


def exact(relay_id: bytes) -> list[bytes]:
    """Name the call that was passed on."""
    return [relay_id]


def another(relay_id: bytes) -> list[bytes]:
    """Name another attempt of the same process."""
    return [relay_id[:-1] + b"2"]


# Names that show nothing of the call that was passed on.
NAMES: dict[str, Name] = {
    "another": another,
    "absent": lambda relay_id: [],
    "empty": lambda relay_id: [b""],
    "doubled": lambda relay_id: [relay_id, relay_id],
    "both": lambda relay_id: [relay_id, *another(relay_id)],
    "joined": lambda relay_id: [relay_id + b", " + relay_id],
    "other case": lambda relay_id: [relay_id.swapcase()],
    "longer": lambda relay_id: [relay_id + b"0"],
}

# Outcomes that a helper reports; None of a server that refuses calls before
# it reads them.
OUTCOMES = ["not-run", "elsewhere", "full", "answered", None]


def build_answer(
    request: bytes, outcome: str | None, name: Name = exact
) -> bytes:
    """Build the answer of a helper to a request."""
    found = _ID.search(request)
    names = name(found[1]) if found is not None else []
    lines = [b"HTTP/1.1 200 OK", b"Content-Length: 2"]
    if outcome != "answered":
        lines = [b"HTTP/1.1 503 No", b"Content-Length: 2", REFUSED]
    if outcome is not None:
        lines.append(f"Nutmegchute-Relay-Outcome: {outcome}".encode())
    lines += [b"Nutmegchute-Relay-Call: " + one for one in names]
    return b"\r\n".join(lines) + b"\r\n\r\nok"


@pytest.mark.parametrize("outcome", OUTCOMES)
@pytest.mark.parametrize("name", sorted(NAMES))
def test_answer_that_does_not_name_the_call_is_not_believed(
    site: Site, name: str, outcome: str | None
) -> None:
    """Guard against "not run" for a call, by the refusal of another one."""

    def help_misnamed(connection: UpstreamConnection) -> None:
        while (request := connection.read()) is not None:
            connection.write(build_answer(request, outcome, NAMES[name]))

    helper = site.help_by(help_misnamed)
    for number in (1, 2):
        answer = site.entry.call("/loan", "POST", b"x")
        assert answer.startswith(b"HTTP/1.1 502") and UNKNOWN in answer
        assert REFUSED not in answer
        # No call uses the connection of such an answer again.
        assert helper.connections == number


@pytest.mark.parametrize("outcome", OUTCOMES)
def test_answer_that_names_the_call_is_believed(
    site: Site, outcome: str | None
) -> None:
    """Guard against true refusals and answers that count as lost."""

    def help_named(connection: UpstreamConnection) -> None:
        while (request := connection.read()) is not None:
            connection.write(build_answer(request, outcome))

    helper = site.help_by(help_named)
    for _ in (1, 2):
        answer = site.entry.call("/loan", "POST", b"x")
        assert b"nutmegchute-relay-" not in answer.lower()
        if outcome == "answered":
            assert answer.startswith(b"HTTP/1.1 200")
            continue
        assert answer.startswith(b"HTTP/1.1 503") and REFUSED in answer
        evidence = site.balancer.results[-1].evidence
        assert evidence is not None
        assert site.balancer.results[-1].naming == "this request"
        assert evidence.call_id == site.balancer.results[-1].call_id
    assert helper.connections == 1


@pytest.mark.parametrize("status", [b"200 OK", b"429 No", b"503 No"])
def test_answer_of_a_helper_is_no_refusal(site: Site, status: bytes) -> None:
    """Guard against "not run" beside a mark that the call was answered."""

    def contradict(connection: UpstreamConnection) -> None:
        request = connection.read() or b""
        found = build_answer(request, "not-run").replace(b"503 No", status)
        connection.write(
            found.replace(
                b"Relay-Outcome: not-run", b"Relay-Outcome: answered"
            )
        )

    site.help_by(contradict)
    answer = site.entry.call("/loan", "POST", b"x")
    assert REFUSED not in answer and UNKNOWN in answer


@pytest.mark.parametrize("first", ["not-run", "answered"])
def test_second_copy_of_an_answer_is_not_that_to_the_next_call(
    site: Site, first: str
) -> None:
    """Guard against a refusal that arrives again, before the next answer."""

    def help_twice(connection: UpstreamConnection) -> None:
        request = connection.read() or b""
        connection.write(build_answer(request, first))
        following = connection.read()
        if following is not None:
            connection.write(build_answer(request, first))
            connection.write(build_answer(following, "answered"))

    helper = site.help_by(help_twice)
    site.entry.call("/loan", "POST", b"x")
    answer = site.entry.call("/loan", "POST", b"x")
    assert helper.connections == 1
    # Its own answer follows the copy, which is skipped.
    assert answer.startswith(b"HTTP/1.1 200")
    site.entry.call("/loan", "POST", b"x")
    assert helper.connections == 2


def test_late_refusal_is_not_the_answer_to_the_next_call(site: Site) -> None:
    """Guard against a late refusal on a connection that is kept."""

    def help_late(connection: UpstreamConnection) -> None:
        request = connection.read() or b""
        connection.write(build_answer(request, "answered"))
        following = connection.read()
        if following is not None:
            # The call runs; its own answer is not needed.
            connection.write(build_answer(request, "not-run"))

    site.help_by(help_late)
    assert b" 200 " in site.entry.call("/loan", "POST", b"x")[:20]
    answer = site.entry.call("/loan", "POST", b"x")
    assert REFUSED not in answer and UNKNOWN in answer


def test_answer_after_the_deadline_is_for_nobody(site: Site) -> None:
    """Guard against an answer for the next call, once one has timed out."""

    def help_late(connection: UpstreamConnection) -> None:
        request = connection.read()
        if request is None:
            return
        if not connection.upstream.release.is_set():
            connection.upstream.release.wait()
            connection.write(build_answer(request, "not-run"))
            return
        connection.write(build_answer(request, "answered"))

    helper = site.help_by(help_late)
    answer = site.entry.call("/loan", "POST", b"x")
    assert REFUSED not in answer and UNKNOWN in answer
    helper.release.set()
    answer = site.entry.call("/loan", "POST", b"x")
    assert answer.startswith(b"HTTP/1.1 200")
    assert helper.connections == 2


@pytest.mark.parametrize(
    "behaviour",
    [
        faulty_upstreams.never_answer,
        faulty_upstreams.reset_at_once,
        faulty_upstreams.reset_after_head,
        faulty_upstreams.truncate_body,
    ],
)
def test_helper_that_lost_its_own_attempt_does_not_refuse(
    site: Site, behaviour: Behaviour
) -> None:
    """Guard against "not run" for a call that a helper's endpoint has."""
    site.serve_by(behaviour, 300)
    answer = site.entry.call("/loan", "POST", b"x")
    assert site.count_ran() == 1
    assert REFUSED not in answer and UNKNOWN in answer
    (result,) = site.balancer.results
    assert result.outcome == "lost" and result.status == 502
    assert result.naming == "this request"


def test_stopped_helper_does_not_refuse_what_runs(site: Site) -> None:
    """Guard against "not run" by a helper that stops while a call runs."""
    helper = site.serve_by(faulty_upstreams.never_answer, 60000)
    answers: list[bytes] = []
    caller = threading.Thread(
        target=lambda: answers.append(site.entry.call("/loan", "POST", b"x"))
    )
    caller.start()
    for _ in range(100):
        if site.count_ran():
            break
        threading.Event().wait(0.01)
    assert site.count_ran() == 1
    helper.end_calls()
    caller.join()
    assert REFUSED not in answers[0] and UNKNOWN in answers[0]


@pytest.mark.parametrize(
    "behaviour",
    [faulty_upstreams.reset_at_once, faulty_upstreams.never_answer],
)
def test_silent_helper_is_no_refusal(site: Site, behaviour: Behaviour) -> None:
    """Guard against "not run" once a helper is killed or frozen."""
    site.help_by(behaviour)
    answer = site.entry.call("/loan", "POST", b"x")
    assert REFUSED not in answer and UNKNOWN in answer


@pytest.mark.parametrize("outcome", ["not-run", "answered"])
def test_answer_that_a_helper_cuts_in_its_head_is_lost(
    site: Site, outcome: str
) -> None:
    """Guard against half a head that says "not run" or passes for a success.

    A helper that is killed while it writes leaves its answer like this.
    """
    cut = 0
    head_bytes = 1

    def help_in_part(connection: UpstreamConnection) -> None:
        nonlocal head_bytes
        answer = build_answer(connection.read() or b"", outcome)
        head_bytes = answer.index(b"\r\n\r\n") + 4
        connection.write(answer[:cut])

    site.help_by(help_in_part)
    while cut < head_bytes:
        answer = site.entry.call("/loan", "POST", b"x")
        assert answer.startswith(b"HTTP/1.1 502"), cut
        assert REFUSED not in answer and UNKNOWN in answer
        cut += 1


def test_helper_names_the_calls_that_it_answers(site: Site) -> None:
    """Guard against a call lost because its true answer has no name."""
    site.serve_by(faulty_upstreams.answer, 1000)
    for _ in (1, 2):
        answer = site.entry.call("/loan", "POST", b"x")
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"nutmegchute-relay-" not in answer.lower()
    # The loop hears of an answer after the caller.
    for _ in range(500):
        if len(site.balancer.results) == 2:
            break
        threading.Event().wait(0.01)
    first, second = site.balancer.results
    assert first.naming == second.naming == "this request"
    # The connection is kept.
    assert second.carried == 1


def test_unknown_token_is_refused_by_name(site: Site) -> None:
    """Guard against calls lost to a helper that has been restarted."""
    site.serve_by(faulty_upstreams.answer, 1000)
    site.pass_to(site.balancer.helper, "of before")
    answer = site.entry.call("/loan", "POST", b"x")
    assert answer.startswith(b"HTTP/1.1 503") and REFUSED in answer
    assert site.count_ran() == 0
    (result,) = site.balancer.results
    assert result.refusal is not None and result.refusal.elsewhere
    assert result.evidence is not None and result.naming == "this request"


OWN = b"Nutmegchute-Relay-Call: a.1.1\r\n"
LINE = b"POST /call/catalogo/a HTTP/1.1\r\n"
CLOSE = b"Connection: close\r\n"
HEAD = LINE + OWN + CLOSE
# Requests that the HTTP server or the call handler refuses by itself.
BAD_REQUESTS = {
    "malformed header": HEAD + b"X A: b\r\n\r\n",
    "many headers": HEAD + b"X-A: b\r\n" * 200 + b"\r\n",
    "large head": HEAD + b"X-A: " + b"b" * 70000 + b"\r\n\r\n",
    "large body": HEAD + b"Content-Length: 99999999\r\n\r\n",
    "unknown coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\n",
    "bad deadline": HEAD + b"Nutmegchute-Deadline-Ms: soon\r\n\r\n",
    "short body": HEAD + b"Content-Length: 9\r\n\r\nabc",
    "no service": HEAD.replace(b"catalogo", b"none") + b"\r\n",
    "no token": HEAD + b"\r\n",
}


def send_relayed(
    site: Site, request: bytes, with_token: bool = True, cut: bool = False
) -> bytes:
    """Send bytes to a helper as another entry; return its answers.

    ``cut`` closes the sending side, as if the sender had gone.
    """
    line = b"Nutmegchute-Relay-Token: " + site.balancer.token.encode()
    if with_token:
        request = request.replace(OWN, OWN + line + b"\r\n", 1)
    host, _, port = site.balancer.helper.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10.0) as sock:
        sock.sendall(request)
        if cut:
            sock.shutdown(socket.SHUT_WR)
        return read_to_end(sock)


@pytest.mark.parametrize("name", sorted(BAD_REQUESTS))
def test_refusals_before_a_call_is_opened_name_it(
    site: Site, name: str
) -> None:
    """Guard against refusals that no entry can assign to a call."""
    site.serve_by(faulty_upstreams.answer, 1000)
    answer = send_relayed(
        site, BAD_REQUESTS[name], name != "no token", name == "short body"
    )
    assert answer.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
    assert REFUSED in answer and answer.count(OWN) == 1
    assert site.count_ran() == 0


@pytest.mark.parametrize("again", [OWN, OWN.replace(b"a.1.1", b"a.2.1")])
def test_call_with_two_names_is_answered_without_one(
    site: Site, again: bytes
) -> None:
    """Guard against a name that was chosen from several."""
    site.serve_by(faulty_upstreams.answer, 1000)
    answer = send_relayed(site, HEAD + again + b"\r\n")
    assert b" 200 " in answer[:20] and b"Relay-Call" not in answer


def test_calls_without_a_name_get_connections_of_their_own(
    site: Site,
) -> None:
    """Guard against answers that an earlier build takes for another call."""
    site.serve_by(faulty_upstreams.answer, 1000)
    for names, answers in ((OWN, 2), (b"", 1), (OWN + OWN, 1)):
        line = b"Nutmegchute-Relay-Token: " + site.balancer.token.encode()
        head = LINE + names + line + b"\r\n"
        request = head + b"\r\n" + head + CLOSE + b"\r\n"
        answer = send_relayed(site, request, False)
        assert answer.count(b"HTTP/1.1 200") == answers


def test_failure_of_a_helper_is_no_refusal(
    site: Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against "not run" by a helper that fails once a call is open."""
    helper = site.serve_by(faulty_upstreams.answer, 1000)

    def fail(*_: object) -> None:
        raise RuntimeError("a fault of the program")

    monkeypatch.setattr(type(helper.handler), "_forward_answer", fail)
    answer = send_relayed(site, HEAD + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 500") and UNKNOWN in answer
    assert REFUSED not in answer and OWN in answer


def test_full_listener_names_the_call(site: Site) -> None:
    """Guard against calls lost to a helper without a free thread."""
    site.serve_by(faulty_upstreams.never_answer, 60000, threads=1)
    host, _, port = site.balancer.helper.rpartition(":")
    held = []
    token = b"Nutmegchute-Relay-Token: " + site.balancer.token.encode()
    # One is served, one waits in the queue, and the next finds it full.
    for _ in range(2):
        sock = socket.create_connection((host, int(port)), timeout=10.0)
        sock.sendall(HEAD + token + b"\r\n\r\n")
        held.append(sock)
        threading.Event().wait(0.1)
    before = site.count_ran()
    answer = site.entry.call("/loan", "POST", b"x")
    for sock in held:
        sock.close()
    assert answer.startswith(b"HTTP/1.1 503") and REFUSED in answer
    (result,) = site.balancer.results
    assert result.refusal is not None and result.refusal.brief
    assert result.naming == "this request"
    assert site.count_ran() == before


@pytest.mark.parametrize(
    ("own", "of_helper"), [(5, 4), (5, 0), (5, 5), (5, 6)]
)
def test_helper_with_an_older_configuration_runs_nothing(
    site: Site, own: int, of_helper: int
) -> None:
    """A helper has lost control and lacks the newest configuration.

    It would send a call to the service of an older route, or answer that a
    new route does not exist, for an entry that knows better.
    """
    helper = site.serve_by(faulty_upstreams.answer, DEADLINE_MS)
    site.entry.handler.config_index = lambda: own
    helper.handler.config_index = lambda: of_helper
    answer = site.entry.call("/loan", "POST", b"x")
    if of_helper >= own:
        assert answer.startswith(b"HTTP/1.1 200")
        return
    assert REFUSED in answer
    assert site.count_ran() == 0
    (result,) = site.balancer.results
    assert result.refusal is not None and result.refusal.elsewhere


def write_without_end(
    start: bytes, repeated: bytes
) -> Callable[[UpstreamConnection], None]:
    """Return a behaviour that writes bytes until its peer closes."""

    def write(connection: UpstreamConnection) -> None:
        connection.read()
        connection.write(start)
        while True:
            connection.write(repeated * 1000)

    return write


ENDLESS = {
    "no answer": (b"", b"\x00"),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    "chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffff\r\n",
        b"x",
    ),
}


@pytest.mark.parametrize("is_helper", [True, False])
@pytest.mark.parametrize("form", sorted(ENDLESS))
def test_endless_answer_through_a_helper_ends(
    site: Site, form: str, is_helper: bool
) -> None:
    """A helper, or the endpoint behind it, sends bytes without end.

    The entry must neither keep them nor pass off a part as whole.
    """
    behaviour = write_without_end(*ENDLESS[form])
    if is_helper:
        site.help_by(behaviour)
    else:
        site.serve_by(behaviour, 300)
    tracemalloc.start()
    try:
        with site.entry.connect() as sock:
            sock.sendall(LOAN + b"Content-Length: 1\r\n\r\nx")
            status = sock.recv(LINE_BYTES)
            while piece := receive(sock):
                assert not piece.endswith(b"\r\n0\r\n\r\n")
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_MEMORY_BYTES
    if status.startswith(b"HTTP/1.1 200"):
        assert not is_helper and form in ("body", "chunk")


def receive(sock: socket.socket) -> bytes:
    """Return what arrives next, nothing at the end or after a reset."""
    try:
        return sock.recv(READ_BYTES)
    except ConnectionResetError:
        return b""
