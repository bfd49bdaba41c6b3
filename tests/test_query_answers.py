"""Test what an entry learns from the answers to its load queries."""

from collections.abc import Callable

import pytest
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Probe
from nutmegchute_core.notices import Notice
from nutmegchute_daemon.answers import AnswerFormat
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.senders import Reply
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from nutmegchute_platform.calls import PlatformCalls
from test_inquiries import build_balancer
from test_inquiries import LOCAL
from test_inquiries import rule
from test_inquiries import SERVICE
from test_platform_answers import build_answer

WAIT_S = 2.0
FULL = (503, "Retry-After: 30")
WELL = (200, "Instance-Load: 1,0,3", "Nutmegchute-Load: 1")
LIMITED = (*WELL, "Server-Limit: 0", "Nutmegchute-Limit: 0")
# Whether an answer names its request, an earlier one or none.
NAMED, UNNAMED, EARLIER = "named", "unnamed", "earlier"
Answer = tuple[tuple[int | str, ...], str]


class Client:
    """Query an endpoint that gives prepared answers on kept connections."""

    def __init__(self, form: AnswerFormat, *answers: list[Answer]) -> None:
        self._form = form
        self._answers = list(answers)
        self._names: list[str] = []
        self.sender = Sender(ConnectionPool(), form)
        self.endpoint = FaultyUpstream(self._answer)

    def query(self) -> Reply:
        """Send a load query and return the reply."""
        return self.sender.send(
            self.sender.build_query("/load"),
            self.endpoint.address,
            WAIT_S,
            Exchange(),
        )

    def learn(self) -> Notice | None:
        """Return what the answer to a load query asks of callers."""
        return self.query().notice(("", "", 0), 0.0, to_query=True)

    def _answer(self, connection: UpstreamConnection) -> None:
        while (request := connection.read()) is not None:
            for line in request.decode().splitlines():
                key, _, value = line.partition(": ")
                if key.lower() == self._form.name_header.lower():
                    self._names.append(value)
            for (status, *lines), naming in self._answers.pop(0):
                if naming != UNNAMED:
                    name = self._names[-1 if naming == NAMED else -2]
                    lines.append(f"{self._form.name_header}: {name}")
                connection.write(build_answer(int(status), *map(str, lines)))


Start = Callable[..., Client]


@pytest.fixture(params=[PlatformCalls, AnswerFormat])
def start(request: pytest.FixtureRequest) -> Start:
    """Return a function that starts an endpoint of each interface."""

    def run(*answers: list[Answer]) -> Client:
        """Start an endpoint with its answers, a list for each request."""
        client = Client(request.param(), *answers)
        request.addfinalizer(client.endpoint.stop)
        return client

    return run


def test_named_rejection_on_a_kept_connection_informs(start: Start) -> None:
    """Guard against queries to a full endpoint that asked for rest."""
    client = start([(WELL, NAMED)], [(FULL, NAMED)], [(WELL, NAMED)])
    client.query()
    notice = client.learn()
    assert notice is not None and notice.rest_s == 30
    assert client.query().carried == 2


def test_unnamed_rejection_on_a_new_connection_informs(start: Start) -> None:
    """Guard against rests unheard where queries are answered without id."""
    client = start([(FULL, UNNAMED)], [(WELL, UNNAMED)])
    notice = client.learn()
    assert notice is not None and notice.rest_s == 30
    assert client.query().carried == 0


def test_unnamed_rejection_on_a_kept_connection_shows_nothing(
    start: Start,
) -> None:
    """Guard against a rest by the late answer to an earlier request."""
    client = start([(WELL, NAMED)], [(FULL, UNNAMED)], [(WELL, NAMED)])
    client.query()
    reply = client.query()
    assert reply.notice(("", "", 0), 0.0) is None
    assert not reply.is_attributed
    assert client.query().carried == 0


def test_unnamed_report_on_a_kept_connection_shows_the_load_alone(
    start: Start,
) -> None:
    """Guard against a limit named earlier, and against no reports at all."""
    client = start([(WELL, UNNAMED)], [(LIMITED, UNNAMED)], [(WELL, UNNAMED)])
    first = client.query()
    assert first.notice(("", "", 0), 0.0) is not None
    second = client.query()
    assert (second.outcome, second.status, second.load) == (ANSWERED, 200, 1)
    assert second.notice(("", "", 0), 0.0) is None
    assert client.query().carried == 2


def test_late_answer_to_an_earlier_query_is_skipped(start: Start) -> None:
    """Guard against an answer that each query gets one late."""
    client = start(
        [(LIMITED, NAMED)],
        [(LIMITED, EARLIER), (WELL, NAMED)],
        [(WELL, NAMED)],
    )
    client.query()
    reply = client.query()
    notice = reply.notice(("", "", 0), 0.0)
    assert (reply.strays, reply.status) == (1, 200)
    assert notice is not None and notice.rate_limit is None
    assert client.query().carried == 0


def test_answer_to_an_unknown_request_is_none(start: Start) -> None:
    """Guard against a report that names another request."""
    wrong = (*WELL, "Request-Id: x", "Nutmegchute-Attempt-Id: x")
    client = start([(wrong, UNNAMED)])
    assert client.query().outcome == LOST


@pytest.mark.parametrize("is_attributed", [True, False])
def test_answer_to_another_request_makes_no_endpoint_unreachable(
    is_attributed: bool,
) -> None:
    """Guard against endpoints avoided, and links checked, by late answers."""
    balancer = build_balancer()
    for address in LOCAL[:2]:
        balancer.record_probe(
            SERVICE, address, None, 0.01, 5.0, is_attributed=is_attributed
        )
    endpoint = balancer._pools[SERVICE].endpoints[LOCAL[0]]
    assert endpoint.is_unreachable(5.0) == is_attributed
    assert balancer._relays.reachability.is_doubtful(5.0) == is_attributed


def test_query_about_a_limit_uses_a_new_connection() -> None:
    """Guard against a limit that holds as its end is told without an id."""
    balancer = build_balancer()
    for address in LOCAL:
        key = balancer._pools[SERVICE].process_at(address)
        assert key is not None
        notice = Notice(key, 5.0, rate_limit=0.0, to_query=True)
        balancer.record_probe(SERVICE, address, 0, 0.01, 5.0, notice=notice)
    _, actions = balancer.arrive_with_rule(SERVICE, rule(), 7.0)
    limited = [one for one in actions if isinstance(one, Probe)]
    assert [one.is_fresh for one in limited if one.endpoint in LOCAL] == [True]
