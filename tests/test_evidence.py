"""Test by what a call is taken as not run, and what else may have run."""

from collections.abc import Sequence
from typing import Any

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Call
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refusal
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import REJECTED
from nutmegchute_core.evidence import RELAYED
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.rules import read_services
from nutmegchute_core.rules import Rule
from support import announcement
from support import rule
from support import team
from test_helpers import build_entry
from test_relays import Entry

# Call and attempt that evidence names, relative to those of the attempt.
OTHERS = [None, (-1, 0), (1, 0), (0, -1), (0, 1)]
RULES = [
    rule(name="loan", method="POST", idempotent=False, attempts=3),
    rule(name="lookup", attempts=3),
]


def build_balancer(*endpoints: str) -> Balancer:
    """Build a balancer with one service and the given endpoints."""
    balancer = Balancer(seed=1)
    services = read_services({"lending": team(catalogo=RULES)})
    balancer.configure(services, now=0.0)
    live = [announcement(endpoint) for endpoint in endpoints]
    balancer.update_upstreams(live, now=0.0)
    return balancer


def arrive(balancer: Balancer, method: str) -> Send:
    """Submit one call that is sent at once."""
    _, actions = balancer.arrive("catalogo", method, "/", 0.0)
    assert isinstance(actions[0], Send)
    return actions[0]


def end(
    send: Send,
    other: tuple[int, int] | None = (0, 0),
    outcome: str = NOT_RUN,
    kind: str = REJECTED,
    **values: Any,
) -> Result:
    """Build a result with the evidence of this or another attempt."""
    evidence = None
    if other is not None:
        call_id, attempt = send.call_id + other[0], send.attempt + other[1]
        evidence = Evidence(kind, call_id, attempt)
    return Result(
        send.call_id,
        send.attempt,
        outcome,
        0.001,
        evidence=evidence,
        **values,
    )


def kinds(actions: Sequence[Action]) -> list[type[Action]]:
    """Return the types of actions."""
    return [type(one) for one in actions]


@pytest.mark.parametrize("other", OTHERS)
def test_loan_without_evidence_is_not_sent_again(
    other: tuple[int, int] | None,
) -> None:
    """Guard against a loan that runs twice after another's rejection."""
    balancer = build_balancer("a:1", "b:1")
    arrive(balancer, "POST")
    send = arrive(balancer, "POST")
    actions = balancer.finish(end(send, other, shed=True), 0.001)
    assert kinds(actions) == [Lose]


@pytest.mark.parametrize("other", OTHERS)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_call_without_evidence_is_not_refused(
    method: str, other: tuple[int, int] | None
) -> None:
    """Guard against "not run" by the rejection of another attempt."""
    balancer = build_balancer("a:1")
    send = arrive(balancer, method)
    actions = balancer.finish(end(send, other, shed=True), 0.001)
    assert kinds(actions) == [Lose]


def test_lookup_without_evidence_is_not_refused_after_its_retry() -> None:
    """Guard against "not run" by the last attempt's evidence alone."""
    balancer = build_balancer("a:1", "b:1")
    first = arrive(balancer, "GET")
    (second,) = balancer.finish(end(first, None, shed=True), 0.001)
    assert isinstance(second, Send)
    actions = balancer.finish(end(second), 0.002)
    assert kinds(actions) == [Lose]


@pytest.mark.parametrize("other", OTHERS)
def test_withdrawn_call_without_evidence_is_not_denied(
    other: tuple[int, int] | None,
) -> None:
    """Guard against a denial, "not run", of a call that may have run."""
    balancer = build_balancer("a:1", "b:1")
    send = arrive(balancer, "GET")
    assert balancer.withdraw([send.call_id], 0.001) == []
    actions = balancer.finish(end(send, other, shed=True), 0.002)
    assert kinds(actions) == [Lose]


def test_withdrawn_call_with_evidence_is_denied() -> None:
    """Guard against "unknown" of a call that is known not to have run."""
    balancer = build_balancer("a:1", "b:1")
    send = arrive(balancer, "GET")
    assert balancer.withdraw([send.call_id], 0.001) == []
    actions = balancer.finish(end(send, shed=True), 0.002)
    assert kinds(actions) == [Deny]


def test_evidence_leads_to_another_send() -> None:
    """Guard against calls lost although their rejections are true."""
    balancer = build_balancer("a:1", "b:1")
    first = arrive(balancer, "POST")
    (second,) = balancer.finish(end(first, shed=True), 0.001)
    assert isinstance(second, Send)
    assert second.endpoint != first.endpoint
    actions = balancer.finish(end(second, shed=True), 0.002)
    assert kinds(actions) == [Refuse]


@pytest.mark.parametrize("outcome", [ANSWERED, LOST])
def test_evidence_does_not_outweigh_an_answer_or_a_loss(outcome: str) -> None:
    """Guard against "not run" where the outcome contradicts it."""
    balancer = build_balancer("a:1", "b:1")
    first = arrive(balancer, "GET")
    failed = outcome == ANSWERED
    result = end(first, outcome=outcome, failed=failed)
    (second,) = balancer.finish(result, 0.001)
    assert isinstance(second, Send)
    assert kinds(balancer.finish(end(second), 0.002)) == [Lose]


@pytest.mark.parametrize(("other", "final"), [(None, Lose), ((0, 0), Refuse)])
def test_cancelled_attempt_may_have_run_unless_it_was_unsent(
    other: tuple[int, int] | None, final: type[Action]
) -> None:
    """Guard against "not run" of an attempt that was only cut off."""
    balancer = build_balancer("a:1")
    send = arrive(balancer, "POST")
    result = end(send, other, CANCELLED, UNSENT)
    assert kinds(balancer.finish(result, 0.001)) == [final]


@pytest.mark.parametrize("other", OTHERS)
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", [401, 404, 429, 503])
def test_helper_without_evidence_leads_to_no_refusal(
    status: int, method: str, other: tuple[int, int] | None
) -> None:
    """Guard against a helper's refusal of another call passed on."""
    entry = Entry()
    entry.lose_links()
    (relay,) = entry.arrive(method)
    assert isinstance(relay, Relay)
    refusal = Refusal(status, "a reason", 0.5)
    result = end(relay, other, kind=RELAYED, refusal=refusal)
    actions = entry.settle(entry.balancer.finish(result, entry.now))
    assert kinds(actions) == [Lose]


@pytest.mark.parametrize("other", OTHERS)
def test_helper_without_evidence_leads_to_no_second_helper(
    other: tuple[int, int] | None,
) -> None:
    """Guard against a loan that two helpers run."""
    entry = Entry()
    entry.lose_links()
    (relay,) = entry.arrive("POST")
    refusal = Refusal(503, "a reason", 0.5, elsewhere=True)
    result = end(relay, other, kind=RELAYED, refusal=refusal)
    actions = entry.settle(entry.balancer.finish(result, entry.now))
    assert kinds(actions) == [Lose]


def test_call_on_lost_links_is_refused_with_evidence() -> None:
    """Guard against "unknown" of a call whose attempts all did not run."""
    entry = Entry(helpers=0)
    (first,) = entry.arrive("GET")
    entry.lose_links()
    actions = entry.settle(entry.balancer.finish(end(first), entry.now))
    while isinstance(actions[0], Send):
        result = end(actions[0])
        actions = entry.settle(entry.balancer.finish(result, entry.now))
    assert kinds(actions) == [Refuse]


def answer(send: Send) -> Result:
    """Build an answer that reports a free endpoint."""
    return Result(
        send.call_id, send.attempt, ANSWERED, 0.01, load=0, stretch=1.0
    )


def send_during_its_inquiry(balancer: Balancer, method: str) -> Send:
    """Let a call wait and query an endpoint; send it before the answer."""
    # Endpoints are queried only once an answer has reported load.
    balancer.finish(answer(arrive(balancer, method)), 0.0)
    balancer.limit_inquiries(1000.0, 1.0)

    def report(address: str, load: int, now: float) -> list[Action]:
        """Report the calls in flight at an endpoint."""
        return balancer.record_probe(
            "catalogo", address, load, 0.001, now, 1.0, True
        )

    for address in ("a:1", "b:1"):
        report(address, 2, 0.02)
    call_id, actions = balancer.arrive("catalogo", method, "/", 0.02)
    while actions:
        (probe,) = actions
        assert isinstance(probe, Probe)
        actions = report(probe.endpoint, 2, 0.02)
    now = 0.02
    while not actions:
        now = balancer.next_wakeup() or now
        actions = balancer.tick(now)
    (probe,) = actions
    assert isinstance(probe, Probe)
    other = "b:1" if probe.endpoint == "a:1" else "a:1"
    (send,) = report(other, 0, now)
    assert isinstance(send, Send)
    assert send.call_id == call_id
    return send


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_sent_call_is_not_refused_when_its_service_disappears(
    method: str,
) -> None:
    """Guard against "not run" at the end of load queries after the send."""
    balancer = build_balancer("a:1", "b:1")
    send = send_during_its_inquiry(balancer, method)
    balancer.configure({}, 0.2)
    assert balancer.tick(0.5) == []
    assert kinds(balancer.finish(answer(send), 0.6)) == [Finish]


def test_sent_loan_is_not_passed_on_when_its_service_disappears() -> None:
    """Guard against a loan that runs at an endpoint and at a helper."""
    balancer = build_balancer("a:1", "b:1")
    send = send_during_its_inquiry(balancer, "POST")
    balancer.update_helpers([build_entry(1, "surco", False)])
    services = read_services({"lending": team(desk=RULES)})
    balancer.configure(services, 0.1)
    live = [announcement(one, service="desk") for one in ("c:1", "d:1")]
    balancer.update_upstreams(live, 0.1)
    for one in live:
        # The links are checked once both have failed.
        balancer.record_probe("desk", one.endpoint, None, 0.1, 0.1)
    assert balancer.tick(0.2) == []
    assert kinds(balancer.finish(answer(send), 0.6)) == [Finish]


def test_call_with_an_outstanding_attempt_is_not_unrun() -> None:
    """Guard against "not run" while an attempt is under way."""
    call = Call(1, "catalogo", Rule(RULES[1]), 0.0, 1.0)
    assert call.is_unrun
    first = call.record_send("a:1", 0.0)
    second = call.record_send("b:1", 0.0)
    assert not call.is_unrun
    for attempt, is_unrun in ((first, False), (second, True)):
        evidence = Evidence(UNSENT, 1, attempt)
        call.end_attempt(Result(1, attempt, NOT_RUN, 0.0, evidence=evidence))
        assert call.is_unrun == is_unrun


def test_cancelled_call_is_not_unrun() -> None:
    """Guard against "not run" of an attempt whose connection was closed."""
    call = Call(1, "catalogo", Rule(RULES[1]), 0.0, 1.0)
    attempt = call.record_send("a:1", 0.0)
    assert call.cancel_attempts() == [attempt]
    assert not call.outstanding
    assert call.may_have_run
    assert not call.is_unrun


def test_loan_is_not_hedged_even_if_its_rule_says_so() -> None:
    """Guard against a second send of a loan that is under way."""
    assert not Rule({**RULES[0], "hedge": True}).hedge
    assert Rule({**RULES[1], "hedge": True}).hedge
