"""Test the balancer's decisions about calls in virtual time."""

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
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import read_services
from support import announcement
from support import build_result
from support import rule
from support import team

LOAN = rule(name="loan", method="POST", idempotent=False)


def build_balancer(*endpoints: str) -> Balancer:
    """Build a balancer with one service and the given endpoints."""
    balancer = Balancer(seed=1)
    document = team(catalogo=[LOAN, rule()])
    # The only entry may fill every slot.
    document["services"]["catalogo"]["most_entries"] = 1
    balancer.configure(read_services({"lending": document}), now=0.0)
    live = [announcement(endpoint) for endpoint in endpoints]
    balancer.update_upstreams(live, now=0.0)
    return balancer


def arrive(balancer: Balancer, method: str) -> Send:
    """Submit one call that is sent at once."""
    _, actions = balancer.arrive("catalogo", method, "/", 0.0)
    assert isinstance(actions[0], Send)
    return actions[0]


def test_answer_ends_the_call() -> None:
    """An answered call is finished and no longer counted."""
    balancer = build_balancer("a:1")
    send = arrive(balancer, "GET")
    result = Result(send.call_id, send.attempt, ANSWERED, 0.001)
    actions = balancer.finish(result, 0.001)
    assert isinstance(actions[0], Finish)
    assert balancer.in_flight == 0


def test_lost_loan_is_never_sent_again() -> None:
    """A call that is not idempotent and was lost must not run twice.

    The connection breaks after bytes were sent, and a second endpoint is
    free. A retry there could lend the same book twice, so the caller gets
    "unknown".
    """
    balancer = build_balancer("a:1", "b:1")
    send = arrive(balancer, "POST")
    result = Result(send.call_id, send.attempt, LOST, 0.001)
    actions = balancer.finish(result, 0.001)
    assert [type(action) for action in actions] == [Lose]


def test_loan_not_run_is_sent_elsewhere() -> None:
    """A call that an endpoint did not run is sent to another endpoint."""
    balancer = build_balancer("a:1", "b:1")
    send = arrive(balancer, "POST")
    result = build_result(send.call_id, send.attempt, NOT_RUN, 0.001)
    actions = balancer.finish(result, 0.001)
    assert isinstance(actions[0], Send)
    assert actions[0].endpoint != send.endpoint


def test_lost_lookup_that_expires_is_not_called_not_run() -> None:
    """A call with a lost attempt may have run, so it ends as unknown.

    The first attempt is lost, and the retry waits for the other, full
    endpoint until the deadline. "Not run" could be false.
    """
    balancer = build_balancer("a:1", "b:1")
    send, *_ = [arrive(balancer, "GET") for _ in range(4)]
    result = Result(send.call_id, send.attempt, LOST, 0.001)
    assert balancer.finish(result, 0.001) == []
    # Both endpoints are late at once, so the links are checked as well.
    actions = balancer.tick(10.0)
    ended = [one for one in actions if not isinstance(one, LinkCheck)]
    assert [type(action) for action in ended] == [Lose]


@pytest.mark.parametrize(("outcome", "end"), [(LOST, Lose), (NOT_RUN, Refuse)])
def test_lookup_without_another_endpoint_ends_at_once(
    outcome: str, end: type[Action]
) -> None:
    """A call that failed at the only usable endpoint ends at once.

    The other endpoint is draining, so a retry could only wait in the queue
    until the deadline.
    """
    balancer = build_balancer("a:1", "b:1")
    draining = announcement("b:1", state=DRAINING)
    balancer.update_upstreams([announcement("a:1"), draining], 0.0)
    send = arrive(balancer, "GET")
    result = build_result(send.call_id, send.attempt, outcome, 0.001)
    actions = balancer.finish(result, 0.001)
    assert [type(action) for action in actions] == [end]
    assert balancer.in_flight == 0


def test_draining_endpoint_gets_nothing() -> None:
    """A call waits and is then refused if the only endpoint drains."""
    balancer = build_balancer("a:1")
    draining = announcement("a:1", state=DRAINING)
    balancer.update_upstreams([draining], 0.0)
    _, actions = balancer.arrive("catalogo", "GET", "/", 0.0)
    assert actions == []
    assert isinstance(balancer.tick(10.0)[0], Refuse)


def test_abandoned_call_is_cancelled_and_frees_its_slot() -> None:
    """A caller that disconnects frees the slot of its call."""
    balancer = build_balancer("a:1")
    sends = [arrive(balancer, "GET") for _ in range(2)]
    call_id, actions = balancer.arrive("catalogo", "GET", "/", 0.0)
    assert actions == []
    cancel, send = balancer.abandon(sends[0].call_id, 0.1)
    assert isinstance(cancel, Cancel)
    assert isinstance(send, Send)
    assert send.call_id == call_id


def test_shed_call_gets_a_short_retry_after() -> None:
    """A shed call gets a short Retry-After while the queue is empty.

    Endpoints shed calls at random while they have free slots. With a
    Retry-After of 0.2 s the caller would miss an objective of 0.3 s
    whatever happens on its next try.
    """
    balancer = build_balancer("a:1")
    send = arrive(balancer, "POST")
    result = build_result(send.call_id, send.attempt, NOT_RUN, 0.001, load=0)
    (refusal,) = balancer.finish(result, 0.001)
    assert isinstance(refusal, Refuse)
    assert 0 < refusal.retry_after_s <= 0.01


def test_scarce_retry_is_reserved_for_a_repeated_call() -> None:
    """A scarce retry is reserved for a caller that has retried already.

    Endpoints shed more calls than the budget allows to retry. The first
    call is retried from saved tokens and the second is refused. The third,
    with less time left because its caller retried, is sent again at once.
    """
    balancer = build_balancer("a:1", "b:1")
    balancer.limit_extra_sends(0.2, 2.0)
    outcomes = []
    for deadline_s in (1.0, 1.0, 0.9):
        _, (send,) = balancer.arrive("catalogo", "POST", "/", 0.0, deadline_s)
        assert isinstance(send, Send)
        result = build_result(
            send.call_id, send.attempt, NOT_RUN, 0.001, load=0
        )
        actions = balancer.finish(result, 0.001)
        outcomes.append([type(one) for one in actions])
    assert outcomes == [[Send], [Refuse], [Send]]


def test_crash_during_a_call_to_a_service_declared_again() -> None:
    """A call whose service was removed and added again still ends."""
    balancer = build_balancer("a:1")
    send = arrive(balancer, "POST")
    balancer.configure({}, now=0.1)
    document = team(catalogo=[LOAN, rule()])
    balancer.configure(read_services({"lending": document}), now=0.2)
    result = Result(send.call_id, send.attempt, LOST, 0.3, crashed=True)
    actions = balancer.finish(result, 0.3)
    assert any(isinstance(one, Lose) for one in actions)


@pytest.mark.parametrize("suspect", [False, True])
def test_suspect_is_not_hedged(suspect: bool) -> None:
    """A suspect is not sent to a second endpoint that it might crash."""
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
