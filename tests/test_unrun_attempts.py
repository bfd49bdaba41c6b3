"""Test attempts that come too late, or that have no id."""

import threading
from collections.abc import Iterator
from typing import Any

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Send
from nutmegchute_core.evidence import UNSENT
from nutmegchute_daemon.callers import CallHandler
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.pending_calls import Arrival
from nutmegchute_daemon.pending_calls import PendingCall
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Request
from nutmegchute_platform.calls import PlatformCalls
from test_platform_answers import build_answer
from test_platform_answers import Client
from test_platform_answers import success
from urllib3 import HTTPHeaderDict

WAIT_S = 2.0


class Runner:
    """Ignore what is to run on the loop."""

    def schedule(self, *_: Any) -> None:
        """Ignore a function."""


class Entry:
    """Make attempts as an entry does, at one endpoint of the platform."""

    def __init__(self, answers: list[bytes]) -> None:
        self.client = Client(answers)
        self._handler = CallHandler(
            runner=Runner(),  # type: ignore[arg-type]
            sender=self.client.sender,
            name="entry-1",
            body_bytes=1000,
            threads=2,
            call_format=PlatformCalls(),
        )
        self._handler.dispatcher = self  # type: ignore[assignment]

    def end_attempt(self, *_: Any) -> None:
        """Ignore the end of an attempt."""

    def attempt(
        self,
        name: str | None,
        remaining_s: float = WAIT_S,
        late_s: float = 0.0,
    ) -> Reply:
        """Make an attempt that begins some time after its decision."""
        headers = HTTPHeaderDict()
        if name is not None:
            headers["Request-Id"] = name
        arrival = Arrival("", "POST", "/loan", None, 1, "host.example")
        request = Request("POST", "/loan", headers, b"atlas")
        call = PendingCall(arrival, request, 0, name=name or "")
        send = Send(1, 1, self.client.endpoint.address, remaining_s)
        exchange = Exchange()
        threading.Event().wait(late_s)
        return self._handler.attempt(call, send, exchange)


@pytest.fixture
def entries() -> Iterator[list[Entry]]:
    """Yield a list of entries whose endpoints are stopped at the end."""
    built: list[Entry] = []
    yield built
    for one in built:
        one.client.endpoint.stop()


def test_call_without_an_id_gets_no_late_answer_to_a_load_query(
    entries: list[Entry],
) -> None:
    """Guard against another request's answer where neither has an id."""
    health = build_answer(200, "Instance-Id: i", body="health")
    own = build_answer(400, "Not-Executed: 1")
    entry = Entry([health, own])
    entries.append(entry)
    assert entry.client.query().outcome == ANSWERED
    assert entry.attempt(None).carried == 0


def test_attempt_is_not_sent_after_its_deadline(entries: list[Entry]) -> None:
    """Guard against a run for a caller that has given up.

    The process was paused, or no thread was free, between decision and send.
    """
    entry = Entry([success("a")])
    entries.append(entry)
    reply = entry.attempt("a", remaining_s=0.05, late_s=0.1)
    assert (reply.outcome, reply.evidence) == (NOT_RUN, UNSENT)
    assert entry.client.endpoint.connections == 0


def test_endpoint_is_told_the_time_that_is_left_at_the_send(
    entries: list[Entry],
) -> None:
    """Guard against endpoints that work on after the caller has gone."""
    entry = Entry([success("a")])
    entries.append(entry)
    assert entry.attempt("a", late_s=0.1).outcome == ANSWERED
    (request,) = entry.client.endpoint.requests
    told = request.partition(b"Deadline-Ms: ")[2].partition(b"\r\n")[0]
    assert int(told) <= (WAIT_S - 0.1) * 1000
