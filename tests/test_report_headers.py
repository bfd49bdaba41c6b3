"""Test that whatever an endpoint reports in headers is read or ignored."""

from collections.abc import Callable
from collections.abc import Iterator
from math import isfinite

import pytest
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import MAX_COLD_S
from nutmegchute_core.rules import read_services
from nutmegchute_daemon.answers import AnswerFormat
from nutmegchute_daemon.answers import MAX_RATE_LIMIT_PER_S
from nutmegchute_daemon.answers import MAX_REST_S
from nutmegchute_daemon.answers import read_rate_limit
from nutmegchute_daemon.answers import read_rest_s
from nutmegchute_daemon.connections import ConnectionPool
from nutmegchute_daemon.connections import Exchange
from nutmegchute_daemon.connections import MAX_IDLE_S
from nutmegchute_daemon.connections import parse_keep_alive
from nutmegchute_daemon.senders import Request
from nutmegchute_daemon.senders import Sender
from nutmegchute_fakes.faulty_upstreams import build_answer
from nutmegchute_fakes.faulty_upstreams import FaultyUpstream
from nutmegchute_fakes.faulty_upstreams import UpstreamConnection
from nutmegchute_platform.calls import MAX_STRETCH_PERCENT
from nutmegchute_platform.calls import PERCENT
from nutmegchute_platform.calls import PlatformCalls
from support import announcement
from support import rule
from support import team
from urllib3 import HTTPHeaderDict

WAIT_S = 10.0
# Without it a success is no answer.
SIGNATURE = b"Server-Signature: s"
NOW = 1_800_000_000.0
MAX_LOAD = 2 * 10**9
HUGE = "9" * 400
FIGURES = ["0", "3", "-3", " 4 ", "1e9", "inf", "nan", "1_0", "", HUGE]
# What a header may hold once its head has been read.
CHARACTERS = "\t" + "".join(map(chr, (*range(32, 127), *range(128, 256))))
VALUES = st.text(CHARACTERS, max_size=40)
REPORTS = VALUES | st.lists(
    st.sampled_from(FIGURES) | st.integers().map(str), max_size=6
).map(",".join)
FORMATS = [PlatformCalls(), AnswerFormat()]


@given(REPORTS)
@example(f"0,0,4,{HUGE}")
@example(f"{HUGE},0,4,100")
@example("-5,0,4,-100")
@example("0,0,4,0")
def test_any_load_report_is_read_or_ignored(text: str) -> None:
    """Never fail on a load report: its request would be answered 500."""
    for one in FORMATS:
        headers = HTTPHeaderDict(
            {"Instance-Load": text, "Nutmegchute-Load": text}
        )
        load = one.load(headers)
        assert load is None or 0 <= load <= MAX_LOAD
        stretch = one.stretch(headers)
        if stretch is not None:
            assert 0 < stretch <= MAX_STRETCH_PERCENT / PERCENT


@given(VALUES | st.sampled_from(FIGURES) | st.floats().map(str))
@example("inf")
@example("1e400")
@example("nan")
def test_any_time_or_limit_is_read_or_ignored(text: str) -> None:
    """Never let a report stop an endpoint for good, or fail its request."""
    cold_s = PlatformCalls().cold_s(HTTPHeaderDict({"Warmup-Ms": text}))
    assert cold_s is None or 0 <= cold_s <= MAX_COLD_S
    limit = read_rate_limit(text)
    assert limit is None or 0 <= limit <= MAX_RATE_LIMIT_PER_S
    assert 0 <= read_rest_s(text, NOW) <= MAX_REST_S
    keep_s = parse_keep_alive(f"timeout={text}")
    assert isfinite(keep_s)
    assert 0 <= keep_s <= MAX_IDLE_S


@given(st.data())
def test_any_date_of_a_rest_is_read(data: st.DataObject) -> None:
    """Never fail on a date that is nearly one."""
    date = list("Fri, 04 Dec 2026 15:00:00 GMT")
    for _ in range(data.draw(st.integers(1, 6))):
        place = data.draw(st.integers(0, len(date) - 1))
        date[place] = data.draw(
            st.sampled_from(["", "9", "0", "-", "+", ":", ",", " ", HUGE])
        )
    assert 0 <= read_rest_s("".join(date), NOW) <= MAX_REST_S


@pytest.mark.parametrize(
    ("text", "load", "stretch"),
    [
        ("3,1,4,150", 4, 1.5),
        ("3, 1, 4, 150", 4, 1.5),
        ("3,1,4", 4, None),
        ("3,1", 4, None),
        ("3", None, None),
        ("3,1,4,x", 4, None),
        ("x,1,4,150", None, 1.5),
        ("", None, None),
    ],
)
def test_load_report_is_read(
    text: str, load: int | None, stretch: float | None
) -> None:
    """Read what is sound of a report, and no more."""
    headers = HTTPHeaderDict({"Instance-Load": text})
    assert PlatformCalls().load(headers) == load
    assert PlatformCalls().stretch(headers) == stretch


@pytest.fixture
def run() -> Iterator[Callable[[str], FaultyUpstream]]:
    """Start an endpoint with this load report; stop it at the end."""
    running: list[FaultyUpstream] = []

    def one(report: str) -> FaultyUpstream:
        def behaviour(connection: UpstreamConnection) -> None:
            lines = [f"Instance-Load: {report}".encode(), SIGNATURE]
            while connection.read() is not None:
                connection.write(build_answer(b"ok", *lines))

        running.append(FaultyUpstream(behaviour))
        return running[-1]

    yield one
    for upstream in running:
        upstream.stop()


@pytest.mark.parametrize(
    "report",
    [f"0,0,4,{HUGE}", f"{HUGE},0,4,100", "0,0,4,0", "0,0,4,-100", "-9,0,4,0"],
)
def test_balancer_chooses_on_after_any_report(
    run: Callable[[str], FaultyUpstream], report: str
) -> None:
    """Never divide by a report, or leave the numbers' range with one.

    The balancer would fail on every later choice among its endpoints.
    """
    endpoint = run(report)
    reply = Sender(ConnectionPool(), PlatformCalls()).send(
        Request("GET", "/", HTTPHeaderDict()),
        endpoint.address,
        WAIT_S,
        Exchange(),
    )
    assert reply.outcome == ANSWERED
    balancer = Balancer(7)
    document = {"lending": team(catalogo=[rule()])}
    balancer.configure(read_services(document), 0.0)
    live = [announcement(f"127.0.0.1:{port}") for port in (1, 2, 3)]
    balancer.update_upstreams(live, 0.0)
    for number in range(20):
        now = float(number)
        call_id, actions = balancer.arrive("catalogo", "GET", "/", now)
        send = next(one for one in actions if isinstance(one, Send))
        result = Result(
            call_id,
            send.attempt,
            ANSWERED,
            0.01,
            load=reply.load,
            stretch=reply.stretch,
        )
        balancer.finish(result, now + 0.01)
    reply.close()
