"""Test that endpoints get no more calls than they ask for."""

from itertools import permutations

import msgspec
import pytest
from demand_model import BEGIN_S
from demand_model import LEARN_S
from demand_model import max_over_limit
from demand_model import Model
from demand_model import Upstream
from nutmegchute_core.entry_groups import EntryGroups
from nutmegchute_core.limit_boards import LimitBoard
from nutmegchute_core.limit_boards import LimitReport
from nutmegchute_core.notices import Notice
from nutmegchute_core.rate_limits import RateLimits
from nutmegchute_daemon.answers import MAX_RATE_LIMIT_PER_S
from nutmegchute_platform.calls import PlatformCalls
from urllib3 import HTTPHeaderDict


@pytest.mark.parametrize(
    ("text", "limit"),
    [
        ("2.6", 2.6),
        ("0", 0.0),
        ("12", 12.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", MAX_RATE_LIMIT_PER_S),
        ("1.7e308", MAX_RATE_LIMIT_PER_S),
        ("2.6, 1.4", None),
        ("soon", None),
    ],
)
def test_malformed_rate_limits_are_ignored(
    text: str, limit: float | None
) -> None:
    """Guard against headers that would stop all calls to an endpoint."""
    headers = HTTPHeaderDict({"Server-Limit": text})
    assert PlatformCalls().rate_limit(headers) == limit
    assert PlatformCalls().rate_limit(HTTPHeaderDict()) is None


# Entries, endpoints and calls a second of a small and a large deployment.
SMALL = (17, 17, 90.0)
LARGE = (312, 142, 300.0)
NAMED_AT_S = BEGIN_S + 2.0
END_S = NAMED_AT_S + LEARN_S + 9.0


def build_model(
    size: tuple[int, int, float], seed: int, names_on_queries: bool = True
) -> Model:
    """Build a model under load until END_S."""
    entries, upstreams, calls_per_s = size
    model = Model(entries, upstreams, seed, names_on_queries)
    model.schedule_calls(calls_per_s, END_S)
    return model


def limit_some(model: Model, count: int, limit: float) -> list[Upstream]:
    """Let some endpoints name a limit from NAMED_AT_S on."""
    limited = list(model.upstreams.values())[:count]

    def begin() -> None:
        for upstream in limited:
            upstream.limit = limit

    model.at(NAMED_AT_S, begin)
    return limited


def count_calls(upstream: Upstream, begin: float, end: float) -> int:
    """Count what reached an endpoint in a span."""
    return sum(begin <= at < end for _, at in upstream.arrivals)


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("limit", [0.0, 0.4, 1.4, 2.6, 8.0])
@pytest.mark.parametrize("names_on_queries", [True, False])
def test_all_entries_together_keep_a_limit(
    size: tuple[int, int, float], limit: float, names_on_queries: bool
) -> None:
    """Guard against many entries that each keep a limit by themselves."""
    model = build_model(size, 1, names_on_queries)
    limited = limit_some(model, 2, limit)
    model.run(END_S)
    for upstream in limited:
        assert max_over_limit(upstream, NAMED_AT_S, limit) <= 0
    assert model.served_share() > 0.99


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_limit_holds_while_entries_join_restart_and_are_cut(
    size: tuple[int, int, float], seed: int
) -> None:
    """Guard against entries that know the others or the limit too late."""
    model = build_model(size, seed)
    limited = limit_some(model, 2, 1.4)
    for turn in range(8):
        when = NAMED_AT_S + 1.5 * turn
        model.at(when, model.restart, turn)
        model.at(when + 0.5, model.join)
    model.at(NAMED_AT_S - 0.5, model.cut, 9, 4.0)
    model.at(NAMED_AT_S + 4.0, model.cut, 10, 4.0)
    model.run(END_S)
    for upstream in limited:
        assert max_over_limit(upstream, NAMED_AT_S, 1.4) <= 0
    assert model.served_share() > 0.98


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_limit_holds_without_news_from_control(
    size: tuple[int, int, float],
) -> None:
    """Guard against a limit that entries learn only from control."""
    model = build_model(size, 1)
    limited = limit_some(model, 2, 1.4)
    for entry in model.entries:
        entry.is_cut = True
    model.run(END_S)
    for upstream in limited:
        assert max_over_limit(upstream, NAMED_AT_S, 1.4) <= 0


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("limit", [0.0, 0.4, 2.6])
@pytest.mark.parametrize("names_on_queries", [True, False])
def test_entries_learn_soon_that_a_limit_has_ended(
    size: tuple[int, int, float], limit: float, names_on_queries: bool
) -> None:
    """Guard against entries that get no answer and keep an old limit."""
    model = build_model(size, 1, names_on_queries)
    limited = limit_some(model, 2, limit)
    ends_at = NAMED_AT_S + 5.0

    def end() -> None:
        for upstream in limited:
            upstream.limit = None

    model.at(ends_at, end)
    model.run(ends_at + 3.0)
    for entry in model.entries:
        assert entry.balancer.count_limited() == 0


@pytest.mark.parametrize("size", [SMALL, LARGE])
@pytest.mark.parametrize("limit", [0.4, 1.4])
def test_limited_service_serves_what_it_may_and_refuses_the_rest_at_once(
    size: tuple[int, int, float], limit: float
) -> None:
    """Guard against calls that wait in vain until their deadline."""
    model = build_model(size, 1)
    limited = limit_some(model, len(model.upstreams), limit)
    model.run(END_S)
    reached = 0
    for upstream in limited:
        assert max_over_limit(upstream, NAMED_AT_S, limit) <= 0
        reached += count_calls(upstream, END_S - 5.0, END_S)
    assert reached >= 0.7 * limit * len(limited) * 5.0
    assert max(wait_s for _, wait_s in model.refusals) <= 1.0


def test_word_of_a_limit_is_ordered_by_the_age_of_its_answer() -> None:
    """Guard against a late report that restores a limit that has ended."""
    key = ("10.0.0.1:80", "i-1", 1)
    board = LimitBoard(1)
    assert board.record(key, 2.0, 10.0, True)
    assert board.record(key, None, 11.0, True)
    late = [LimitReport(*key, 2.0, 1.5)]
    assert not board.apply(late, 12.0, is_own=False)
    assert board.record(key, 0.5, 12.5, True)
    record = board.find(key)
    assert record is not None
    assert record.per_s == 0.5


def test_answer_read_late_does_not_end_a_limit() -> None:
    """Guard against a frozen entry that reads an answer given long before."""
    key = ("10.0.0.1:80", "i-1", 1)
    limits = RateLimits(EntryGroups())
    assert limits.record(Notice(key, 9.0, 2.0), 10.0)
    assert not limits.record(Notice(key, 8.0), 15.0)
    assert not limits.record(Notice(key, 8.0, 4.0), 15.0)
    assert limits.record(Notice(key, 8.0, 1.0), 15.5)
    assert not limits.record(Notice(key, 15.4), 16.0)
    assert limits.record(Notice(key, 15.7), 16.0)


@pytest.mark.parametrize("size", [SMALL, LARGE])
def test_endpoint_that_takes_no_calls_gets_load_queries(
    size: tuple[int, int, float],
) -> None:
    """Guard against calls only to learn whether a limit of 0 has ended."""
    model = build_model(size, 1)
    limited = limit_some(model, 2, 0.0)
    model.run(END_S)
    for upstream in limited:
        calls = [at for at in upstream.calls if at > NAMED_AT_S + LEARN_S]
        arrivals = count_calls(upstream, NAMED_AT_S + LEARN_S, END_S)
        assert len(calls) <= 2
        assert arrivals - len(calls) >= 2


def test_answers_of_one_moment_keep_the_stricter_limit() -> None:
    """Guard against entries that order two answers differently."""
    key = ("10.0.0.1:80", "i-1", 1)
    words = [(2.0, 10.0), (None, 10.02), (0.5, 10.01)]
    for order in permutations(words):
        board = LimitBoard(1)
        board.record(key, 2.0, 9.0, True)
        for per_s, at in order:
            board.record(key, per_s, at, True)
        record = board.find(key)
        assert record is not None
        assert record.per_s == 0.5


def test_new_process_at_the_address_has_no_limit() -> None:
    """Guard against a limit that outlives the process that named it."""
    model = build_model(SMALL, 1)
    limited = limit_some(model, 1, 0.4)
    model.run(NAMED_AT_S + 4.0)
    entry = model.entries[0]
    assert entry.balancer.count_limited() == 1
    limited[0].announcement = msgspec.structs.replace(
        limited[0].announcement, incarnation=2
    )
    live = [one.announcement for one in model.upstreams.values()]
    entry.balancer.update_upstreams(live, model.now)
    assert entry.balancer.count_limited() == 0
