"""Test what proves that a request did not run, in rare orders of events."""

from collections.abc import Iterator

import pytest
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from test_late_answers import Steps
from test_platform_answers import build_answer
from test_platform_answers import Client
from test_platform_answers import rejection
from test_platform_answers import success

Piece = tuple[float, bytes]


class Clients:
    """Build clients of endpoints that write pieces with delays."""

    def __init__(self) -> None:
        self._built: list[Client] = []

    def build(self, *steps: list[Piece]) -> Client:
        """Build a client; each request gets the pieces of one step."""
        client = Client([])
        client.endpoint.stop()
        client.endpoint = Steps(list(steps))  # type: ignore[assignment]
        self._built.append(client)
        return client

    def stop(self) -> None:
        """Stop the endpoints."""
        for client in self._built:
            client.endpoint.stop()


@pytest.fixture
def clients() -> Iterator[Clients]:
    """Yield a builder of clients; stop their endpoints at the end."""
    found = Clients()
    yield found
    found.stop()


def test_part_of_an_id_names_no_earlier_request(clients: Clients) -> None:
    """Guard against a contradiction that is missed as its id is cut.

    The start of this request's id is that of an earlier one.
    """
    answer = success("ab")
    cut = answer[: answer.index(b"ab\r\n") + 1]
    client = clients.build(
        [(0.0, success("a"))], [(0.0, rejection("ab") + cut)]
    )
    b"".join(client.send("a").body())
    reply = client.send("ab")
    assert (reply.outcome, reply.evidence) == (LOST, "")


FAILURE = build_answer(503, "Request-Id: b", "Server-Signature: s", body="x")


@pytest.mark.parametrize("follows", [FAILURE, FAILURE[:-1], FAILURE * 2])
def test_failure_with_the_status_of_a_rejection_contradicts_it(
    clients: Clients, follows: bytes
) -> None:
    """Guard against a rejection that is believed though the run failed.

    The status is the same; only the mark of a rejection is missing.
    """
    client = clients.build([(0.0, rejection("b") + follows)])
    reply = client.send("b")
    assert (reply.outcome, reply.evidence) == (LOST, "")


def test_copy_with_a_later_load_contradicts_no_rejection(
    clients: Clients,
) -> None:
    """Guard against true rejections lost as their copies differ a little."""
    lines = ["Request-Id: b", "Not-Executed: 1"]
    copies = [
        build_answer(503, *lines, f"Instance-Load: {load},0,3")
        for load in (3, 2)
    ]
    client = clients.build([(0.0, b"".join(copies))])
    assert client.send("b").outcome == NOT_RUN


def test_rate_limited_query_leaves_its_connection_to_no_call(
    clients: Clients,
) -> None:
    """Guard against calls lost to the late copy of a load query's 429."""
    limited = build_answer(429, "Not-Executed: 1")
    client = clients.build(
        [(0.0, rejection("a"))], [(0.0, limited)], [(0.0, success("b"))]
    )
    client.send("a")
    assert client.query().carried == 1
    assert client.send("b").carried == 0
