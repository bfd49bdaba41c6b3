"""Test that attempts that were never tried say nothing of their endpoints."""

import pytest
from nutmegchute_core.calls import CUT_SHORT
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialEnd
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from test_evidence import arrive
from test_evidence import build_balancer
from test_evidence import end
from test_relays import Entry


def test_untried_attempts_do_not_eject_an_endpoint() -> None:
    """Guard against an endpoint ejected for threads that were missing."""
    balancer = build_balancer("a:1")
    endpoint = balancer._pools["catalogo"].endpoints["a:1"]
    for number in range(20):
        send = arrive(balancer, "POST")
        balancer.finish(end(send, kind=UNSENT), number / 1000)
    assert endpoint.ejected_until == 0.0
    assert not balancer._relays.reachability.is_doubtful(0.02)


def test_bodies_cut_short_do_not_eject_an_endpoint() -> None:
    """Guard against endpoints ejected for callers that stop in a body."""
    balancer = build_balancer("a:1")
    endpoint = balancer._pools["catalogo"].endpoints["a:1"]
    for number in range(20):
        send = arrive(balancer, "POST")
        result = Result(
            send.call_id, send.attempt, LOST, 0.001, loss=CUT_SHORT
        )
        balancer.finish(result, number / 1000)
    assert endpoint.ejected_until == 0.0
    assert not balancer._relays.reachability.is_doubtful(0.02)


@pytest.mark.parametrize(("loss", "is_failure"), [("", False), ("x", True)])
def test_attempt_that_found_no_connection_counts(
    loss: str, is_failure: bool
) -> None:
    """Guard against an unreachable endpoint that stays in use."""
    balancer = build_balancer("a:1", "b:1")
    send = arrive(balancer, "GET")
    endpoint = balancer._pools["catalogo"].endpoints[send.endpoint]
    balancer.finish(end(send, kind=UNSENT, loss=loss), 0.001)
    assert endpoint.is_unreachable(0.002) == is_failure


def test_retry_after_an_untried_attempt_needs_no_budget() -> None:
    """Guard against a refusal for sends that were never made."""
    balancer = build_balancer("a:1", "b:1")
    balancer.limit_extra_sends(0.0, 0.0)
    send = arrive(balancer, "POST")
    (retry,) = balancer.finish(end(send, kind=UNSENT), 0.001)
    assert isinstance(retry, Send)


def test_helper_is_not_avoided_after_an_untried_relay() -> None:
    """Guard against refusals because a helper was never asked."""
    entry = Entry(helpers=1)
    entry.lose_links()
    (relay,) = entry.arrive("POST")
    assert isinstance(relay, Relay)
    entry.settle(entry.balancer.finish(end(relay, kind=UNSENT), entry.now))
    (again,) = entry.arrive("POST")
    assert isinstance(again, Relay)


def test_untried_trial_is_repeated() -> None:
    """Guard against a request taken as tried that was never sent."""
    balancer = build_balancer("a:1")
    update = QuarantineUpdate(
        0, 1, [CaseUpdate("catalogo", "x", SUSPECT, 60.0)]
    )
    balancer.apply_quarantine(update, 0.0)
    balancer.arrive("catalogo", "GET", "/", 0.0, fingerprint="x")
    (request,) = balancer.pop_reports()
    assert isinstance(request, TrialRequest)
    (send,) = balancer.apply_ruling(request, Ruling(TRY), 0.0)
    assert isinstance(send, Send)
    balancer.finish(end(send, kind=UNSENT), 0.001)
    ends = [one for one in balancer.pop_reports() if isinstance(one, TrialEnd)]
    assert [one.sent for one in ends] == [False]
