"""Test which requests may hold memory, and which are ended for others."""

from hypothesis import given
from hypothesis import strategies
from nutmegchute_core.holdings import find_bound
from nutmegchute_core.holdings import find_slowest
from nutmegchute_core.holdings import GRANTED
from nutmegchute_core.holdings import Holding
from nutmegchute_core.holdings import Holdings
from nutmegchute_core.holdings import PROGRESS_BYTES
from nutmegchute_core.holdings import REFUSED
from nutmegchute_core.holdings import SHORT_OF_MEMORY
from nutmegchute_core.holdings import SMALL_BYTES
from nutmegchute_core.holdings import STALL_S
from nutmegchute_core.holdings import WAIT

MIB = 1024 * 1024
BOUND = 16 * MIB
LARGE = 15 * MIB


def wait_long(holding: Holding, now: float = 0.0) -> Holding:
    """Let a thread wait for a request's client since a time."""
    holding.begin_wait(now)
    return holding


@given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.sampled_from([1, SMALL_BYTES, 3 * MIB, 20 * MIB]),
            strategies.sampled_from(["grow", "wait", "move", "release"]),
        )
    )
)
def test_all_that_is_held_is_returned(
    steps: list[tuple[int, int, str]],
) -> None:
    """Guard against an account that leaks until every request is refused."""
    holdings = Holdings(BOUND)
    requests = [Holding(0.0) for _ in range(5)]
    now = 0.0
    for index, size, step in steps:
        one = requests[index]
        now += STALL_S
        if step == "grow":
            before = one.held_bytes
            verdict, _ = holdings.grow(one, size, now)
            grown = size if verdict == GRANTED else 0
            assert one.held_bytes == before + grown
        elif step == "wait":
            one.begin_wait(now)
        elif step == "move":
            one.end_wait(size, now)
        else:
            holdings.release(one)
            requests[index] = Holding(now)
        assert holdings.held_bytes == sum(one.held_bytes for one in requests)
        assert holdings.held_bytes <= BOUND
    for one in requests:
        holdings.release(one)
        holdings.release(one)
    assert holdings.held_bytes == 0
    assert holdings.grow(Holding(now), LARGE, now)[0] == GRANTED


def test_largest_idle_holder_is_ended_for_others() -> None:
    """Guard against the refusal of a request for one that is not completed."""
    holdings = Holdings(BOUND)
    idle, small, busy = (wait_long(Holding(0.0)) for _ in range(3))
    for one, size in ((idle, 8 * MIB), (small, SMALL_BYTES), (busy, 6 * MIB)):
        assert holdings.grow(one, size, 0.0)[0] == GRANTED
    now = 2 * STALL_S
    busy.end_wait(PROGRESS_BYTES, now)
    busy.begin_wait(now)
    asking = Holding(now)
    assert holdings.grow(asking, 4 * MIB, now) == (WAIT, idle)
    assert idle.ended == SHORT_OF_MEMORY
    # Its bytes are on their way back, so no other request is ended.
    assert holdings.grow(asking, 4 * MIB, now) == (WAIT, None)
    assert holdings.grow(idle, 1, now) == (REFUSED, None)
    holdings.release(idle)
    assert holdings.grow(asking, 4 * MIB, now)[0] == GRANTED


def test_requests_that_wait_for_no_client_are_spared() -> None:
    """Guard against the end of a request that an endpoint is answering."""
    holdings = Holdings(BOUND)
    served = Holding(0.0)
    holdings.grow(served, 12 * MIB, 0.0)
    late = 100 * STALL_S
    assert holdings.grow(Holding(late), 4 * MIB, late) == (REFUSED, None)
    assert find_slowest([served], late) is None


def test_small_requests_are_served_beside_large_ones() -> None:
    """Guard against the refusal of short bodies while long ones arrive."""
    holdings = Holdings(BOUND)
    large = Holding(0.0)
    while holdings.grow(large, MIB, 0.0)[0] == GRANTED:
        continue
    assert holdings.grow(Holding(0.0), SMALL_BYTES, 0.0)[0] == GRANTED


def test_slowest_client_is_the_one_without_progress() -> None:
    """Guard against the end of a slow client that makes progress."""
    slow, idle = wait_long(Holding(0.0)), wait_long(Holding(0.0))
    now = 0.0
    for _ in range(20):
        now += STALL_S / 2
        slow.end_wait(PROGRESS_BYTES, now)
        slow.begin_wait(now)
    assert find_slowest([slow, idle], now) is idle
    assert find_slowest([slow], now) is None


def test_largest_bodies_fit_the_smallest_vms() -> None:
    """Guard against a default that refuses a request within the limits."""
    for memory_bytes, body in ((200000000, 64 * MIB), (296000000, 16 * MIB)):
        holdings = Holdings(find_bound(memory_bytes))
        assert holdings.grow(Holding(0.0), body, 0.0)[0] == GRANTED
