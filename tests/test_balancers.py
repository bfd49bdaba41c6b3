"""Test the decisions about calls on virtual time."""

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import DRAINING
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.rules import read_services
from support import announcement
from support import rule
from support import team

LOAN = rule(name="loan", method="POST", idempotent=False)


def build(*endpoints: str) -> Balancer:
    """Build a balancer with one service and the endpoints given."""
    balancer = Balancer(seed=1)
    document = team(catalogo=[LOAN, rule()])
    # The only entry may fill every slot.
    document["services"]["catalogo"]["most_entries"] = 1
    balancer.configure(read_services({"lending": document}), now=0.0)
    live = [announcement(endpoint) for endpoint in endpoints]
    balancer.update_upstreams(live, now=0.0)
    return balancer


def arrive(balancer: Balancer, method: str) -> Send:
    """Let one call arrive that is sent at once."""
    _, actions = balancer.arrive("catalogo", method, "/", 0.0)
    assert isinstance(actions[0], Send)
    return actions[0]


def test_answer_ends_the_call() -> None:
    """Send once, take the answer, keep nothing."""
    balancer = build("a:1")
    send = arrive(balancer, "GET")
    result = Result(send.call_id, send.attempt, ANSWERED, 0.001)
    actions = balancer.finish(result, 0.001)
    assert isinstance(actions[0], Finish)
    assert balancer.in_flight == 0


def test_lost_loan_is_never_sent_again() -> None:
    """A loan whose answer is lost must not run twice.

    The caller sees "unknown". The loan is sent, the connection breaks
    after bytes left, and a second endpoint is free; sending it there
    could have two libraries pack the same book.
    """
    balancer = build("a:1", "b:1")
    send = arrive(balancer, "POST")
    result = Result(send.call_id, send.attempt, LOST, 0.001)
    actions = balancer.finish(result, 0.001)
    assert [type(action) for action in actions] == [Lose]


def test_loan_not_run_is_sent_elsewhere() -> None:
    """An endpoint that sheds before running lets another run the loan."""
    balancer = build("a:1", "b:1")
    send = arrive(balancer, "POST")
    result = Result(send.call_id, send.attempt, NOT_RUN, 0.001)
    actions = balancer.finish(result, 0.001)
    assert isinstance(actions[0], Send)
    assert actions[0].endpoint != send.endpoint


def test_lost_lookup_that_expires_is_not_called_not_run() -> None:
    """A lookup lost once may have run, so it ends as unknown.

    The caller sees "unknown", not "not run": the first attempt was lost,
    the retry waited for the other, full endpoint until the deadline.
    """
    balancer = build("a:1", "b:1")
    send, *_ = [arrive(balancer, "GET") for _ in range(4)]
    result = Result(send.call_id, send.attempt, LOST, 0.001)
    assert balancer.finish(result, 0.001) == []
    actions = balancer.tick(10.0)
    assert [type(action) for action in actions] == [Lose]


@pytest.mark.parametrize(("outcome", "end"), [(LOST, Lose), (NOT_RUN, Refuse)])
def test_lookup_with_nowhere_else_to_go_ends_at_once(
    outcome: str, end: type[Action]
) -> None:
    """A lookup that failed at the only endpoint that stays ends at once.

    The caller learns it when the attempt ends, and not at its deadline:
    the other endpoint leaves, so a retry could only wait in the queue.
    """
    balancer = build("a:1", "b:1")
    leaving = announcement("b:1", state=DRAINING)
    balancer.update_upstreams([announcement("a:1"), leaving], 0.0)
    send = arrive(balancer, "GET")
    result = Result(send.call_id, send.attempt, outcome, 0.001)
    actions = balancer.finish(result, 0.001)
    assert [type(action) for action in actions] == [end]
    assert balancer.in_flight == 0


def test_draining_endpoint_gets_nothing() -> None:
    """Work for a service whose only endpoint leaves waits, then refuses."""
    balancer = build("a:1")
    leaving = announcement("a:1", state=DRAINING)
    balancer.update_upstreams([leaving], 0.0)
    _, actions = balancer.arrive("catalogo", "GET", "/", 0.0)
    assert actions == []
    assert isinstance(balancer.tick(10.0)[0], Refuse)


def test_abandoned_call_is_cancelled_and_frees_its_slot() -> None:
    """A caller that hangs up leaves no slot taken."""
    balancer = build("a:1")
    sends = [arrive(balancer, "GET") for _ in range(2)]
    call_id, actions = balancer.arrive("catalogo", "GET", "/", 0.0)
    assert actions == []
    first, then = balancer.abandon(sends[0].call_id, 0.1)
    assert isinstance(first, Cancel)
    assert isinstance(then, Send)
    assert then.call_id == call_id


def test_shed_call_is_told_to_come_back_at_once() -> None:
    """Name a time when there is room, not a time by habit.

    Endpoints shed calls at random while they have free slots and nobody
    waits. A caller that is told 0.2 s is late for an objective of 0.3 s
    however well its next try goes.
    """
    balancer = build("a:1")
    send = arrive(balancer, "POST")
    result = Result(send.call_id, send.attempt, NOT_RUN, 0.001, load=0)
    (refusal,) = balancer.finish(result, 0.001)
    assert isinstance(refusal, Refuse)
    assert 0 < refusal.retry_after_s <= 0.01


def test_scarce_retry_goes_to_a_caller_that_came_back() -> None:
    """Send a shed call again where its caller has come back already.

    Endpoints shed at random, and more calls than may be sent again. The
    first is, from what was saved up. The second caller is told to come
    back; the third, with less of its time left, is placed anew at once.
    """
    balancer = build("a:1", "b:1")
    balancer.limit_extra(0.2, 2.0)
    outcomes = []
    for deadline_s in (1.0, 1.0, 0.9):
        _, (send,) = balancer.arrive("catalogo", "POST", "/", 0.0, deadline_s)
        assert isinstance(send, Send)
        result = Result(send.call_id, send.attempt, NOT_RUN, 0.001, load=0)
        actions = balancer.finish(result, 0.001)
        outcomes.append([type(one) for one in actions])
    assert outcomes == [[Send], [Refuse], [Send]]


def test_crash_under_a_call_of_a_service_that_was_declared_anew() -> None:
    """Guard against a call whose end is never told to its caller."""
    balancer = build("a:1")
    send = arrive(balancer, "POST")
    balancer.configure({}, now=0.1)
    document = team(catalogo=[LOAN, rule()])
    balancer.configure(read_services({"lending": document}), now=0.2)
    result = Result(send.call_id, send.attempt, LOST, 0.3, crashed=True)
    actions = balancer.finish(result, 0.3)
    assert any(isinstance(one, Lose) for one in actions)


@pytest.mark.parametrize("suspect", [False, True])
def test_suspect_is_not_hedged(suspect: bool) -> None:
    """Guard against a second endpoint while the first may be crashing."""
    balancer = Balancer(seed=1)
    document = team(catalogo=[rule(hedge=True, attempts=2)])
    document["services"]["catalogo"]["most_entries"] = 1
    balancer.configure(read_services({"lending": document}), now=0.0)
    live = [announcement(endpoint) for endpoint in ("a:1", "b:1")]
    balancer.update_upstreams(live, now=0.0)
    for number in range(40):
        at = number * 0.01
        _, actions = balancer.arrive("catalogo", "GET", "/", at)
        send = actions[0]
        assert isinstance(send, Send)
        result = Result(
            send.call_id, send.attempt, ANSWERED, 0.001, load=0, stretch=1.0
        )
        balancer.finish(result, at + 0.001)
    balancer.arrive("catalogo", "GET", "/", 1.0, fingerprint="bad")
    if suspect:
        notice = CaseUpdate("catalogo", "bad", SUSPECT)
        balancer.apply_quarantine(QuarantineUpdate(0, 1, [notice]), 1.0)
    sends: list[Action] = []
    for tick in range(1, 200):
        sends += balancer.tick(1.0 + tick * 0.01)
    assert len(sends) == (0 if suspect else 1)
