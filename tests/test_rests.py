"""Test that an entry lets endpoints rest that ask it to."""

from typing import Any

import pytest
from demand_model import BEGIN_S
from demand_model import DEADLINE_S
from demand_model import max_during_rest
from demand_model import max_over_limit
from demand_model import Model
from demand_model import OBJECTIVE_S
from demand_model import RULE
from demand_model import SERVICE
from demand_model import Upstream
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.notices import Notice
from nutmegchute_daemon.answers import MAX_REST_S
from nutmegchute_daemon.answers import read_rest_s
from nutmegchute_daemon.answers import UNREADABLE_REST_S

# 21 October 2015, 07:28:00 GMT.
NOW = 1445412480.0


@pytest.mark.parametrize(
    ("text", "rest_s"),
    [
        ("3", 3.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("Wed, 21 Oct 2015 07:28:05 GMT", 5.0),
        ("Wed, 21 Oct 2015 07:27:00 GMT", 0.0),
        ("-1", UNREADABLE_REST_S),
        ("nan", UNREADABLE_REST_S),
        ("soon", UNREADABLE_REST_S),
        ("", UNREADABLE_REST_S),
        ("86400", MAX_REST_S),
        ("inf", MAX_REST_S),
    ],
)
def test_any_retry_after_gives_a_bounded_rest(
    text: str, rest_s: float
) -> None:
    """Guard against headers that would stop all calls, or none."""
    assert read_rest_s(text, NOW) == rest_s


@given(st.text(max_size=40))
@example("Mon, 01 Jan 0001 00:00:00 -0000")
@example("Mon, 01 Jan 99999 00:00:00 GMT")
def test_no_retry_after_breaks_a_call(text: str) -> None:
    """Guard against a header that raises while an answer is forwarded."""
    assert 0.0 <= read_rest_s(text, NOW) <= MAX_REST_S


# Entries, endpoints and calls a second of a small and a large deployment.
SMALL = (17, 17, 90.0)
LARGE = (312, 142, 300.0)
SIZES = [SMALL, LARGE]
ASKED_AT_S = BEGIN_S + 2.0
END_S = ASKED_AT_S + 9.0
# What may reach an endpoint during its rest.
MAX_REQUESTS = 2


def build_model(size: tuple[int, int, float], seed: int) -> Model:
    """Build a model under load until END_S."""
    entries, upstreams, calls_per_s = size
    model = Model(entries, upstreams, seed)
    model.schedule_calls(calls_per_s, END_S)
    return model


def rest_some(
    model: Model, count: int, rest_s: float, seconds: float
) -> list[Upstream]:
    """Let some endpoints turn all calls away and ask for rest for a while."""
    resting = list(model.upstreams.values())[:count]

    def set_rest(value: float | None) -> None:
        for upstream in resting:
            upstream.rest_s = value

    model.at(ASKED_AT_S, set_rest, rest_s)
    model.at(ASKED_AT_S + seconds, set_rest, None)
    return resting


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("rest_s", [0.7, 3.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_resting_endpoints_get_nothing_and_others_serve(
    size: tuple[int, int, float], rest_s: float, seed: int
) -> None:
    """Guard against endpoints that reject fast, look idle and draw calls."""
    model = build_model(size, seed)
    resting = rest_some(model, size[1] // 3, rest_s, 6.0)
    model.run(END_S + DEADLINE_S)
    for upstream in resting:
        assert max_during_rest(upstream) <= MAX_REQUESTS
    assert model.served_share() > 0.98


@pytest.mark.parametrize("size", SIZES)
def test_rests_hold_while_entries_restart_and_endpoints_flap(
    size: tuple[int, int, float],
) -> None:
    """Guard against a rest that is lost with a gap in the announcements."""
    model = build_model(size, 1)
    resting = rest_some(model, size[1] // 3, 3.0, 6.0)
    for turn in range(6):
        model.at(ASKED_AT_S + turn, model.restart, turn)
        model.at(ASKED_AT_S + 0.4 + turn, model.flap, resting)
    model.run(END_S + DEADLINE_S)
    for upstream in resting:
        assert max_during_rest(upstream) <= MAX_REQUESTS
    assert model.served_share() > 0.95


@pytest.mark.parametrize("size", SIZES)
def test_rest_and_limit_hold_together(size: tuple[int, int, float]) -> None:
    """Guard against a demand that replaces another of the same endpoint."""
    model = build_model(size, 1)
    resting = rest_some(model, 3, 1.0, 4.0)

    def limit() -> None:
        for upstream in resting:
            upstream.limit = 1.4

    model.at(ASKED_AT_S, limit)
    model.run(END_S + DEADLINE_S)
    for upstream in resting:
        assert max_during_rest(upstream) <= MAX_REQUESTS
        assert max_over_limit(upstream, ASKED_AT_S, 1.4) <= 0
    assert model.served_share() > 0.98


@pytest.mark.parametrize("size", SIZES)
def test_calls_are_refused_at_once_while_all_endpoints_rest(
    size: tuple[int, int, float],
) -> None:
    """Guard against calls that wait in vain for the end of a long rest."""
    model = build_model(size, 1)
    resting = rest_some(model, size[1], 20.0, 30.0)
    model.run(END_S + DEADLINE_S)
    for upstream in resting:
        assert max_during_rest(upstream) <= MAX_REQUESTS
    # An entry may have to be turned away by an endpoint before it knows.
    known_at = ASKED_AT_S + 1.0
    waits_s = [wait_s for at, wait_s in model.refusals if at > known_at]
    assert max(waits_s) <= OBJECTIVE_S / 3
    assert min(model.retry_after_s) > 0


@pytest.mark.parametrize("size", SIZES)
def test_calls_wait_for_the_end_of_a_short_rest(
    size: tuple[int, int, float],
) -> None:
    """Guard against refusing calls that can still be served in time."""
    model = build_model(size, 1)
    resting = rest_some(model, size[1], 0.8, 0.3)
    model.run(END_S + DEADLINE_S)
    for upstream in resting:
        assert max_during_rest(upstream) <= MAX_REQUESTS
    assert model.served_share() > 0.95


def test_changed_rests_do_not_multiply_the_timers_of_waiting_calls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guard against a timer for each waiting call and each change."""
    requeries = 0
    original = Balancer._requery

    def count(self: Balancer, *args: Any) -> None:
        nonlocal requeries
        requeries += 1
        original(self, *args)

    monkeypatch.setattr(Balancer, "_requery", count)
    model = Model(1, 2, 1)
    model.run(ASKED_AT_S)
    balancer = model.entries[0].balancer
    for number in range(100):
        for upstream in model.upstreams.values():
            key = upstream.announcement.process_key
            notice = Notice(key, model.now, rest_s=1.0)
            balancer.record_probe(
                SERVICE, upstream.address, 0, 0.001, model.now, notice=notice
            )
        if number < 10:
            balancer.arrive_with_rule(SERVICE, RULE, model.now, DEADLINE_S)
        model.now += 0.01
        balancer.tick(model.now)
    assert balancer.in_flight == 10
    # Ten calls for a second, each at most every 50 ms.
    assert requeries <= 10 * 20
