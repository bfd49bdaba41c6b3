"""Test over loopback what callers are told in rare orders of events."""

import contextlib
import threading
import time
from collections.abc import Iterator
from typing import Any

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.routes import BUFFER_BYTES
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_fakes import faulty_upstreams
from nutmegchute_fakes.call_servers import BODY_BYTES
from nutmegchute_fakes.call_servers import read_to_end
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from test_callers import CallServerHarness
from test_callers import HEAD
from test_callers import NEXT
from test_callers import NOT_RUN
from test_callers import UNKNOWN

LAST = NEXT.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
LOAN = HEAD + b"Content-Length: 1\r\n\r\nx"
SIZE = 200000
LONG_BYTES = 16777216
PAUSE_S = 0.2


@pytest.fixture
def build() -> Iterator[Any]:
    """Yield a builder of call servers and stop them at the end."""
    with contextlib.ExitStack() as stack:

        def one(*behaviours: Any, **values: Any) -> CallServerHarness:
            harness = CallServerHarness(*behaviours, **values)
            stack.callback(harness.stop)
            return harness

        yield one


def test_pipelined_calls_get_their_own_outcomes(build: Any) -> None:
    """Guard against the outcome of a lost call for the one behind it."""

    def lose_first(connection: UpstreamConnection) -> None:
        if connection.upstream.connections > 1:
            faulty_upstreams.answer(connection)
            return
        faulty_upstreams.reset_at_once(connection)

    harness = build(lose_first)
    answer = harness.server.send_raw(LOAN + LAST)
    first, second = answer.split(b"HTTP/1.1 ")[1:]
    assert first.startswith(b"502") and UNKNOWN in first
    assert second.startswith(b"200") and second.endswith(b"/next")


@pytest.mark.parametrize("expect", [b"", b"Expect: 100-continue\r\n"])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_of_a_refused_call_is_not_run(
    build: Any, is_chunked: bool, expect: bytes
) -> None:
    """Guard against requests read out of the body of a refused one."""
    harness = build(faulty_upstreams.answer)
    body = NEXT * (SIZE // len(NEXT))
    framing = b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    if is_chunked:
        framing = (
            b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n"
            % (
                len(body),
                body,
            )
        )
    head = HEAD.replace(b"catalogo", b"nowhere") + expect
    with harness.server.connect() as sock:
        with contextlib.suppress(OSError):
            sock.sendall(head + framing + LAST)
        answer = read_to_end(sock)
    assert NOT_RUN in answer
    # The connection ends where the end of the body is not read, and says so.
    refusal = answer[answer.index(b" 503 ") :].partition(b"\r\n\r\n")[0]
    assert (b"Connection: close" in refusal) == is_chunked
    assert harness.ran == (not is_chunked)


def test_body_that_is_expected_and_does_not_come_runs_nothing(
    build: Any,
) -> None:
    """Guard against a run of a loan whose caller leaves before its body."""
    harness = build(faulty_upstreams.answer)
    harness.server.limit_bodies(BODY_BYTES, BUFFER_BYTES)
    head = HEAD + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % SIZE
    for sent in (0, SIZE // 2):
        with harness.server.connect() as sock:
            sock.sendall(head)
            assert b" 100 " in sock.recv(100)
            sock.sendall(b"x" * sent)
            if sent:
                harness.wait_until(lambda: harness.upstreams[0].connections)
        harness.wait_until(lambda: harness.server.handler.active == 0)
    assert harness.ran == 0


class ScriptedBalancer(Balancer):
    """Return prepared actions for each call and record its results."""

    def __init__(self, actions: list[Action]) -> None:
        super().__init__(1)
        self._actions = actions
        self.results: list[Result] = []

    def arrive(self, *_: Any) -> tuple[int, list[Action]]:
        """Return the actions."""
        return 1, list(self._actions)

    def finish(self, result: Result, now: float) -> list[Action]:
        """Record a result."""
        self.results.append(result)
        return []


def test_attempt_that_ended_before_it_began_sends_nothing(build: Any) -> None:
    """Guard against a run after the outcome of its call is decided."""
    harness = build(faulty_upstreams.answer)
    endpoint = harness.upstreams[0].address
    balancer = ScriptedBalancer(
        [Send(1, 1, endpoint, 60.0), Cancel(1, 1), Lose(1, "ended")]
    )
    harness.server.use_balancer(balancer)
    answer = harness.server.call("/loan", "POST", b"x")
    assert UNKNOWN in answer and NOT_RUN not in answer
    harness.wait_until(lambda: balancer.results)
    assert harness.ran == 0


def test_streamed_body_is_not_sent_by_a_hedge(build: Any) -> None:
    """Guard against two attempts that share the rest of one body."""
    harness = build(faulty_upstreams.answer, faulty_upstreams.answer)
    harness.server.limit_bodies(BODY_BYTES, BUFFER_BYTES)
    first, second = [one.address for one in harness.upstreams]
    balancer = ScriptedBalancer(
        [Send(1, 1, first, 60.0), Send(1, 2, second, 60.0)]
    )
    harness.server.use_balancer(balancer)
    answer = harness.server.call("/loan", "POST", b"x" * SIZE)
    assert answer.startswith(b"HTTP/1.1 200")
    harness.wait_until(lambda: len(balancer.results) == 2)
    assert [len(one.requests) for one in harness.upstreams] == [1, 0]


def test_rejection_before_the_end_of_a_long_body_is_believed(
    build: Any,
) -> None:
    """Guard against true rejections lost where the endpoint reads no more.

    It answers after the head and keeps the connection; the body is longer
    than what the operating system takes.
    """

    def shed_unread(connection: UpstreamConnection) -> None:
        head = connection.read_head() or b""
        connection.write(faulty_upstreams.build_shed(head))
        connection.upstream.release.wait()

    harness = build(shed_unread, deadline_ms=500)
    harness.server.limit_bodies(LONG_BYTES, LONG_BYTES)
    answer = harness.server.call("/loan", "POST", b"x" * LONG_BYTES)
    assert NOT_RUN in answer


def test_late_answer_does_not_end_the_sending_of_a_body(build: Any) -> None:
    """Guard against uploads cut short by an answer to an earlier request."""

    def answer_late(connection: UpstreamConnection) -> None:
        first = connection.read() or b""
        answer = faulty_upstreams.build_named_answer(first, b"first")
        connection.write(answer)
        head = connection.read_head() or b""
        connection.write(answer)
        time.sleep(PAUSE_S)
        request = connection.read_rest(head) or b""
        connection.write(
            faulty_upstreams.build_named_answer(request, b"second")
        )

    harness = build(answer_late, deadline_ms=5000)
    harness.server.limit_bodies(LONG_BYTES, LONG_BYTES)
    assert b"first" in harness.server.call("/loan", "POST", b"x")
    answer = harness.server.call("/loan", "POST", b"x" * LONG_BYTES)
    assert b"second" in answer


def test_loan_that_a_stopping_entry_never_sent_is_refused(build: Any) -> None:
    """Guard against "may have run" of a call of which no byte was written.

    It is admitted just after all others were ended.
    """
    harness = build(faulty_upstreams.answer, faulty_upstreams.answer)
    harness.server.end_calls()
    answer = harness.server.call("/loan", "POST", b"x")
    assert NOT_RUN in answer and UNKNOWN not in answer
    assert harness.ran == 0


def test_loan_whose_time_is_over_before_its_send_is_refused(
    build: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guard against a loan that runs after a pause of the whole process."""
    harness = build(faulty_upstreams.answer, deadline_ms=100)
    following = PendingCall.next_action

    def follow_late(call: PendingCall, timeout_s: float) -> Any:
        """Return the next action after the deadline."""
        found = following(call, timeout_s)
        threading.Event().wait(0.15)
        return found

    monkeypatch.setattr(PendingCall, "next_action", follow_late)
    answer = harness.server.call("/loan", "POST", b"x")
    assert NOT_RUN in answer and harness.ran == 0
