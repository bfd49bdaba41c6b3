"""Test which calls an entry takes while it stops, in virtual time."""

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Send
from nutmegchute_core.pools import LONGEST_MARGIN
from nutmegchute_core.pools import STOPPING
from nutmegchute_core.pools import STOPPING_RETRY_S
from nutmegchute_core.rules import read_services
from support import announcement
from support import build_result
from support import rule
from support import team

DEADLINE_S = 4.0
LONGEST_S = 2.0
END_AT = 100.0
# The last moment at which a call is taken.
LAST_S = END_AT - LONGEST_S * LONGEST_MARGIN
EPSILON_S = 0.01


def build_balancer(latencies_s: list[float]) -> Balancer:
    """Build a balancer with one endpoint that has answered some calls."""
    balancer = Balancer(seed=1)
    rules = [
        rule(name="loan", idempotent=False, deadline_ms=DEADLINE_S * 1000)
    ]
    balancer.configure(read_services({"a": team(catalogo=rules)}), 0.0)
    balancer.update_upstreams([announcement("a:1")], 0.0)
    now = 0.0
    for latency_s in latencies_s:
        (send,) = arrive(balancer, now)
        assert isinstance(send, Send)
        now += latency_s
        balancer.finish(
            build_result(send.call_id, send.attempt, ANSWERED, latency_s), now
        )
    return balancer


def arrive(balancer: Balancer, now: float) -> list[Action]:
    """Let a call arrive and return its actions."""
    return balancer.arrive("catalogo", "GET", "/", now)[1]


def check_refused(action: Action) -> None:
    """Check that a call is refused for the stop, to come back elsewhere."""
    assert isinstance(action, Refuse)
    assert action.reason == STOPPING
    assert action.retry_after_s == STOPPING_RETRY_S


@pytest.mark.parametrize(
    ("latencies_s", "last_s"),
    [
        ([0.2, 0.2, LONGEST_S], LAST_S),
        ([0.2], END_AT - 0.2 * LONGEST_MARGIN),
        # Nothing is known but how long the caller waits.
        ([], END_AT - DEADLINE_S),
        ([DEADLINE_S], END_AT - DEADLINE_S),
    ],
)
def test_stopping_entry_takes_what_can_end_in_time(
    latencies_s: list[float], last_s: float
) -> None:
    """An entry is stopped and its endpoints need seconds for a call.

    A call that was taken too late would be given up at the end of the stop,
    and nobody could tell whether it ran.
    """
    balancer = build_balancer(latencies_s)
    assert balancer.end_at(END_AT, 90.0) == []
    (action,) = arrive(balancer, last_s - 0.1)
    assert isinstance(action, Send)
    (action,) = arrive(balancer, last_s + EPSILON_S)
    check_refused(action)


def test_waiting_call_is_refused_when_it_can_not_end_in_time() -> None:
    """Calls wait in the queue of an entry that is stopped.

    They are refused as soon as no endpoint can end them in time, and not
    when their deadlines pass.
    """
    balancer = build_balancer([LONGEST_S])
    sent_at = LAST_S - 1.0
    for _ in range(2):
        assert isinstance(arrive(balancer, sent_at)[0], Send)
    assert arrive(balancer, sent_at) == []
    assert balancer.end_at(END_AT, sent_at) == []
    assert balancer.tick(LAST_S - EPSILON_S) == []
    wakeup_at = balancer.next_wakeup()
    assert wakeup_at is not None
    assert wakeup_at <= LAST_S + EPSILON_S
    (action,) = balancer.tick(LAST_S + EPSILON_S)
    check_refused(action)


def test_call_of_another_entry_is_refused_for_elsewhere() -> None:
    """An entry that helps another one is stopped.

    The other entry must pass the call to the next helper.
    """
    balancer = build_balancer([LONGEST_S])
    balancer.end_at(END_AT, 90.0)
    _, (action,) = balancer.arrive(
        "catalogo", "GET", "/", LAST_S + EPSILON_S, is_relayed=True
    )
    check_refused(action)
    assert isinstance(action, Refuse)
    assert action.elsewhere
