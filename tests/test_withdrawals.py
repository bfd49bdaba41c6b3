"""Test what happens to calls whose key is withdrawn, in virtual time."""

from collections.abc import Sequence
from typing import Any

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.notices import Notice
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialEnd
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.rules import read_services
from support import announcement
from support import build_result
from support import rule
from support import team

CUSCO = Organisation("cusco", {})
END_S = 60.0


def build_balancer(*endpoints: str, **values: Any) -> Balancer:
    """Build a balancer with one service and the given endpoints."""
    balancer = Balancer(seed=1)
    loan = rule(name="loan", method="POST", idempotent=False)
    document = team(catalogo=[loan, rule(**values)])
    # The only entry may fill every slot.
    document["services"]["catalogo"]["most_entries"] = 1
    balancer.configure(read_services({"lending": document}), now=0.0)
    live = [announcement(endpoint) for endpoint in endpoints]
    balancer.update_upstreams(live, now=0.0)
    return balancer


def arrive(
    balancer: Balancer, method: str = "GET", fingerprint: str = ""
) -> tuple[int, list[Action]]:
    """Submit one call of an organisation."""
    return balancer.arrive(
        "catalogo",
        method,
        "/",
        0.0,
        fingerprint=fingerprint,
        organisation=CUSCO,
    )


def run_timers(balancer: Balancer) -> list[CallAction]:
    """Run all timers; return what they do about calls."""
    actions: list[CallAction] = []
    for step in range(int(END_S * 10)):
        for action in balancer.tick(step / 10):
            if not isinstance(action, Probe | LinkCheck):
                actions.append(action)
    return actions


def _ids(actions: Sequence[Action]) -> list[int]:
    return [
        one.call_id
        for one in actions
        if not isinstance(one, Probe | LinkCheck)
    ]


def end(send: Send, outcome: str, **values: Any) -> Result:
    """Build the result of an attempt."""
    return build_result(send.call_id, send.attempt, outcome, 0.001, **values)


def test_queued_calls_end_and_none_takes_their_place() -> None:
    """End all calls of a key before any other call is dispatched.

    The endpoint's rest has just run out. Ended one by one, the end of the
    first call dispatches the queue and sends the second, whose key is
    withdrawn too.
    """
    balancer = build_balancer("a:1")
    _, (send,) = arrive(balancer)
    assert isinstance(send, Send)
    notice = Notice(send.process_key, 0.0, rest_s=0.5)
    balancer.finish(end(send, ANSWERED, notice=notice), 0.0)
    waiting = []
    for _ in range(5):
        call_id, actions = arrive(balancer)
        assert actions == []
        waiting.append(call_id)
    other, _ = balancer.arrive("catalogo", "GET", "/", 0.0)
    actions = balancer.withdraw(waiting, 0.6)
    assert [type(one) for one in actions] == [Deny] * 5 + [Send]
    assert _ids(actions) == [*waiting, other]
    assert balancer.in_flight == 1


def test_room_of_a_withdrawn_call_goes_to_others() -> None:
    """Dispatch the calls of other organisations after a withdrawal."""
    balancer = build_balancer()
    held, _ = arrive(balancer)
    other, _ = balancer.arrive("catalogo", "GET", "/", 0.0)
    balancer.update_upstreams([], 0.0)
    assert [type(one) for one in balancer.withdraw([held], 0.1)] == [Deny]
    live = [announcement("a:1")]
    (send,) = balancer.update_upstreams(live, 0.2)
    assert isinstance(send, Send)
    assert send.call_id == other


def test_unknown_and_ended_calls_are_ignored() -> None:
    """Ignore calls that have an outcome already; they have one answer."""
    balancer = build_balancer("a:1")
    call_id, (send,) = arrive(balancer)
    assert isinstance(send, Send)
    balancer.finish(end(send, ANSWERED), 0.1)
    assert balancer.withdraw([call_id, 999], 0.2) == []


@pytest.mark.parametrize(
    ("method", "outcome", "values", "answer"),
    [
        ("GET", ANSWERED, {}, Finish),
        ("GET", ANSWERED, {"failed": True}, Finish),
        ("GET", NOT_RUN, {}, Deny),
        ("GET", LOST, {}, Lose),
        ("POST", NOT_RUN, {}, Deny),
        ("POST", LOST, {}, Lose),
    ],
)
def test_sent_call_is_answered_and_not_sent_again(
    method: str, outcome: str, values: dict[str, Any], answer: type[Action]
) -> None:
    """Forward the answer of a sent call, but never send it again.

    One that did not run is denied and not refused: a caller that repeats a
    refused call would get 401 for it.
    """
    balancer = build_balancer("a:1", "b:1")
    call_id, (send,) = arrive(balancer, method)
    assert isinstance(send, Send)
    assert balancer.withdraw([call_id], 0.1) == []
    actions = balancer.finish(end(send, outcome, **values), 0.2)
    assert [type(one) for one in actions] == [answer]
    assert run_timers(balancer) == []
    assert balancer.in_flight == 0


@pytest.mark.parametrize(("outcome", "final"), [(NOT_RUN, Deny), (LOST, Lose)])
def test_call_due_for_a_retry_is_not_sent_again(
    outcome: str, final: type[Action]
) -> None:
    """End a call that waits for its retry by what its first attempt did."""
    balancer = build_balancer("a:1", "b:1")
    sends = [arrive(balancer)[1][0] for _ in range(4)]
    first = sends[0]
    assert isinstance(first, Send)
    # The other endpoint is full, so the retry waits.
    assert balancer.finish(end(first, outcome), 0.1) == []
    actions = balancer.withdraw([first.call_id], 0.2)
    assert [type(one) for one in actions] == [final]
    assert first.call_id not in _ids(run_timers(balancer))
    assert balancer.in_flight == 3


def warm(balancer: Balancer) -> None:
    """Answer calls until a hedge delay is known and load is reported."""
    for number in range(40):
        at = number * 0.01
        _, actions = balancer.arrive("catalogo", "GET", "/", at)
        send = actions[0]
        assert isinstance(send, Send)
        result = end(send, ANSWERED, load=0, stretch=1.0)
        balancer.finish(result, at + 0.001)


def test_call_is_not_hedged_after_a_withdrawal() -> None:
    """Send no second attempt, which would otherwise follow."""
    for is_withdrawn in (False, True):
        balancer = build_balancer("a:1", "b:1", hedge=True, attempts=2)
        warm(balancer)
        call_id, actions = balancer.arrive(
            "catalogo", "GET", "/", 1.0, organisation=CUSCO
        )
        assert isinstance(actions[0], Send)
        if is_withdrawn:
            assert balancer.withdraw([call_id], 1.0) == []
        sends: list[Action] = []
        for step in range(200):
            sends += balancer.tick(1.0 + step * 0.01)
        kinds = [type(one) for one in sends]
        assert kinds == ([] if is_withdrawn else [Send])


def test_hedged_call_ends_with_the_answer_that_comes() -> None:
    """Keep both attempts of a hedged call; the last loss ends it."""
    balancer = build_balancer("a:1", "b:1", hedge=True, attempts=2)
    warm(balancer)
    call_id, actions = balancer.arrive(
        "catalogo", "GET", "/", 1.0, organisation=CUSCO
    )
    sends = [one for one in actions if isinstance(one, Send)]
    for step in range(200):
        at = 1.0 + step * 0.01
        sends += [one for one in balancer.tick(at) if isinstance(one, Send)]
    assert len(sends) == 2
    assert balancer.withdraw([call_id], 3.0) == []
    assert balancer.finish(end(sends[0], NOT_RUN), 3.1) == []
    actions = balancer.finish(end(sends[1], LOST), 3.2)
    assert [type(one) for one in actions] == [Lose]
    assert balancer.in_flight == 0


def test_call_in_an_inquiry_ends() -> None:
    """End a call that waits for load reports, and ignore the late ones."""
    balancer = build_balancer("a:1", "b:1")
    balancer.limit_inquiries(60.0, 1.0)
    call_id = 0
    actions: list[Action] = []
    for _ in range(20):
        call_id, actions = arrive(balancer)
        if isinstance(actions[0], Probe):
            break
        send = actions[0]
        assert isinstance(send, Send)
        balancer.finish(end(send, ANSWERED, load=0, stretch=1.0), 0.0)
    probes = [one for one in actions if isinstance(one, Probe)]
    assert probes
    actions = balancer.withdraw([call_id], 0.01)
    assert [type(one) for one in actions] == [Deny]
    for probe in probes:
        found = balancer.record_probe(
            probe.service, probe.endpoint, 0, 0.001, 0.02, 1.0, True
        )
        assert not any(isinstance(one, Send) for one in found)
    assert run_timers(balancer) == []
    assert balancer.in_flight == 0


def hold_suspects(balancer: Balancer) -> tuple[list[int], TrialRequest]:
    """Hold two calls of a suspect; return them and their trial request."""
    notice = CaseUpdate("catalogo", "bad", SUSPECT)
    balancer.apply_quarantine(QuarantineUpdate(0, 1, [notice]), 0.0)
    held = [arrive(balancer, fingerprint="bad")[0] for _ in range(2)]
    (request,) = balancer.pop_reports()
    assert isinstance(request, TrialRequest)
    return held, request


def test_held_suspects_end_and_their_trial_is_returned() -> None:
    """End held suspects, and return a trial that is granted afterwards.

    Control allows one trial of a request at a time; a trial that is not
    returned would hold the calls of others.
    """
    balancer = build_balancer("a:1", "b:1")
    held, request = hold_suspects(balancer)
    actions = balancer.withdraw(held, 0.1)
    assert [type(one) for one in actions] == [Deny, Deny]
    assert balancer.apply_ruling(request, Ruling(TRY), 0.2) == []
    (report,) = balancer.pop_reports()
    assert isinstance(report, TrialEnd)
    assert report.token == request.token
    assert not report.sent
    assert run_timers(balancer) == []
    assert balancer.in_flight == 0


def test_next_suspect_requests_the_trial() -> None:
    """Let the next held call of another key request the trial."""
    balancer = build_balancer("a:1", "b:1")
    held, _ = hold_suspects(balancer)
    balancer.withdraw(held[:1], 0.1)
    balancer.tick(0.2)
    (request,) = balancer.pop_reports()
    assert isinstance(request, TrialRequest)
    (send,) = balancer.apply_ruling(request, Ruling(TRY), 0.3)
    assert isinstance(send, Send)
    assert send.call_id == held[1]


def test_moved_call_belongs_to_the_new_organisation() -> None:
    """Assign a waiting call to the organisation that has its key now."""
    balancer = build_balancer("a:1")
    calls = [arrive(balancer)[0] for _ in range(3)]
    lima = Organisation("lima", {})
    balancer.assign(calls[2], lima)
    balancer.assign(999, lima)
    assert balancer._calls[calls[2]].organisation is lima
    assert balancer._calls[calls[0]].organisation is CUSCO
