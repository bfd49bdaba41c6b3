"""Test hedges, retries in layers and early refusals in virtual time."""

from collections import Counter

from nutmegchute_core.balancers import Balancer
from nutmegchute_core.budgets import EXTRA_BURST
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.choosers import PROBE_WAIT_S
from nutmegchute_core.endpoints import EJECT_AFTER
from nutmegchute_core.endpoints import FIRST_EJECTION_S
from nutmegchute_core.rules import read_services
from support import announcement
from support import rule

ANSWER_S = 0.02
LOAN = rule(name="loan", method="POST", idempotent=False, priority="action")
SYNC = rule(
    name="sync", method="PUT", priority="background", deadline_ms=60000
)
LOOKUP = rule(hedge=True, deadline_ms=1000)


def build_balancer(endpoints: int, probes_per_s: float = 0.0) -> Balancer:
    """Build a balancer that has recorded 300 answers."""
    balancer = Balancer(seed=1)
    service = {
        "rules": [LOAN, SYNC, LOOKUP],
        "queue": 256,
        "most_entries": 1,
        "probes_per_s": probes_per_s,
    }
    documents = {"lending": {"services": {"catalogo": service}}}
    balancer.configure(read_services(documents), 0.0)
    found = [announcement(f"{number}:1") for number in range(endpoints)]
    balancer.update_upstreams(found, 0.0)
    for step in range(300):
        now = step * ANSWER_S / 10 - 1.0
        send = arrive(balancer, "GET", now)
        result = Result(send.call_id, send.attempt, ANSWERED, ANSWER_S, 1)
        balancer.finish(result, now)
    return balancer


def arrive(balancer: Balancer, method: str, now: float = 0.0) -> Send:
    """Submit one call that is sent at once."""
    _, actions = balancer.arrive("catalogo", method, "/", now)
    assert isinstance(actions[0], Send)
    return actions[0]


def run_until(balancer: Balancer, until: float) -> list[Send]:
    """Run all wake-ups up to a time; return the sends."""
    sends: list[Send] = []
    while True:
        at = balancer.next_wakeup()
        if at is None or at > until:
            return sends
        for action in balancer.tick(at):
            assert isinstance(action, (Send, Lose, Refuse))
            if isinstance(action, Send):
                sends.append(action)


def test_late_lookup_is_hedged_and_the_loser_cancelled() -> None:
    """A call stuck at a slow endpoint is answered by another.

    After the hedge delay the call is sent to a second endpoint, whose
    answer ends it. The first attempt is cancelled, its slot is free and
    its late result changes nothing.
    """
    balancer = build_balancer(2)
    first = arrive(balancer, "GET")
    (hedge,) = run_until(balancer, 0.5)
    assert hedge.call_id == first.call_id
    assert hedge.endpoint != first.endpoint
    won = Result(hedge.call_id, hedge.attempt, ANSWERED, ANSWER_S, 0)
    end, cancel = balancer.finish(won, 0.6)
    assert isinstance(end, Finish) and end.attempt == hedge.attempt
    assert isinstance(cancel, Cancel) and cancel.attempt == first.attempt
    late = Result(first.call_id, first.attempt, CANCELLED, 0.6)
    assert balancer.finish(late, 0.61) == []
    assert balancer.in_flight == 0


def test_late_loan_is_never_hedged() -> None:
    """A slow call that is not idempotent could run twice if hedged."""
    balancer = build_balancer(3)
    arrive(balancer, "POST")
    assert run_until(balancer, 0.9) == []


def test_hedged_lookup_survives_the_loss_of_one_attempt() -> None:
    """With one attempt lost, the caller gets the other one's answer."""
    balancer = build_balancer(2)
    first = arrive(balancer, "GET")
    (hedge,) = run_until(balancer, 0.5)
    lost = Result(first.call_id, first.attempt, LOST, 0.5)
    assert balancer.finish(lost, 0.5) == []
    won = Result(hedge.call_id, hedge.attempt, ANSWERED, 0.1, 0)
    (end,) = balancer.finish(won, 0.6)
    assert isinstance(end, Finish)


def test_failed_answer_is_retried_only_if_idempotent() -> None:
    """A 500 is retried if the call is idempotent and else passed on.

    The endpoint may have recorded the loan before it failed.
    """
    balancer = build_balancer(2)
    lookup = arrive(balancer, "GET")
    result = Result(lookup.call_id, 1, ANSWERED, 0.001, 0, failed=True)
    (again,) = balancer.finish(result, 0.001)
    assert isinstance(again, Send)
    assert again.endpoint != lookup.endpoint
    loan = arrive(balancer, "POST")
    result = Result(loan.call_id, 1, ANSWERED, 0.001, 0, failed=True)
    (end,) = balancer.finish(result, 0.001)
    assert isinstance(end, Finish)


def test_call_that_is_a_retry_is_not_retried() -> None:
    """Sixteen layers that each retry would make 65,536 calls of one."""
    balancer = build_balancer(3)
    call_id, actions = balancer.arrive("catalogo", "GET", "/", 0.0, attempt=2)
    assert isinstance(actions[0], Send)
    result = Result(call_id, actions[0].attempt, LOST, 0.001)
    (end,) = balancer.finish(result, 0.001)
    assert isinstance(end, Lose)


def test_retries_stop_when_everything_fails() -> None:
    """With all endpoints failing, retries end with the budget."""
    balancer = build_balancer(3)
    sends = 0
    for step in range(200):
        now = step / 100
        _, actions = balancer.arrive("catalogo", "GET", "/", now)
        while actions and isinstance(actions[0], Send):
            sends += 1
            result = Result(
                actions[0].call_id, actions[0].attempt, LOST, 0.001
            )
            actions = balancer.finish(result, now)
    assert sends <= 200 * 1.08 + EXTRA_BURST


def test_call_that_cannot_meet_its_deadline_is_refused_at_once() -> None:
    """A call that cannot meet its deadline is refused on arrival.

    The only endpoint is busy and calls queue up. A lookup that would wait
    for more than half its deadline gets "not run" and a Retry-After at
    once; a background call with a long deadline waits.
    """
    balancer = build_balancer(1)
    refused = None
    for _ in range(200):
        _, actions = balancer.arrive("catalogo", "GET", "/", 0.0)
        if actions and isinstance(actions[0], Refuse):
            refused = actions[0]
            break
    assert refused is not None
    assert refused.retry_after_s > 0.2
    _, actions = balancer.arrive("catalogo", "PUT", "/", 0.0)
    assert actions == []


def test_retry_that_waits_does_not_hold_up_the_next_call() -> None:
    """A call behind a waiting retry uses the endpoint the retry avoids."""
    balancer = build_balancer(2)
    first, *_ = [arrive(balancer, "GET") for _ in range(4)]
    result = Result(first.call_id, first.attempt, LOST, 0.001)
    assert balancer.finish(result, 0.001) == []
    assert arrive(balancer, "GET", 0.002).endpoint == first.endpoint


def test_only_an_ejected_endpoint_is_probed() -> None:
    """Only an endpoint whose ejection time is over is probed.

    Until the probe is answered, no call is sent there.
    """
    balancer = build_balancer(3, probes_per_s=10.0)
    assert balancer.tick(1.0) == []
    bad = ""
    lost: Counter[str] = Counter()
    while lost[bad] < EJECT_AFTER:
        send = arrive(balancer, "POST", 1.0)
        bad = bad or send.endpoint
        failed = send.endpoint == bad
        lost[send.endpoint] += failed
        outcome = LOST if failed else ANSWERED
        result = Result(send.call_id, send.attempt, outcome, ANSWER_S, 1)
        balancer.finish(result, 1.0)
    assert balancer.tick(1.2) == []
    later = 1.1 + FIRST_EJECTION_S
    (probe,) = balancer.tick(later)
    assert isinstance(probe, Probe) and probe.endpoint == bad
    used = {arrive(balancer, "GET", later).endpoint for _ in range(4)}
    assert bad not in used
    balancer.record_probe("catalogo", bad, 0, 0.005, later)
    assert arrive(balancer, "GET", later).endpoint == bad


def test_wrong_probe_path_does_not_exclude_an_endpoint() -> None:
    """A wrong probe path does not exclude an endpoint for ever.

    Every probe fails although the endpoint has recovered. After a longer
    pause it gets one call as a trial, and more once that is answered.
    """
    balancer = build_balancer(2, probes_per_s=10.0)
    bad = arrive(balancer, "POST", 1.0)
    balancer.finish(Result(bad.call_id, 1, LOST, 0.001), 1.0)
    for _ in range(20):
        send = arrive(balancer, "POST", 1.0)
        outcome = LOST if send.endpoint == bad.endpoint else ANSWERED
        result = Result(send.call_id, 1, outcome, ANSWER_S, 1)
        balancer.finish(result, 1.0)
    balancer.record_probe("catalogo", bad.endpoint, None, 0.005, 2.0)
    soon = {arrive(balancer, "GET", 2.0).endpoint for _ in range(2)}
    assert bad.endpoint not in soon
    later = 1.1 + FIRST_EJECTION_S + PROBE_WAIT_S
    assert arrive(balancer, "GET", later).endpoint == bad.endpoint


def test_short_deadlines_eject_no_endpoint() -> None:
    """Calls with very short deadlines do not eject endpoints.

    A caller sends deadlines of one millisecond and each attempt is lost.
    Counted as failures, these would eject the endpoints one by one, and all
    other callers would be refused.
    """
    balancer = build_balancer(2)
    lost: Counter[str] = Counter()
    step = 0
    while max(lost.values(), default=0) < EJECT_AFTER:
        step += 1
        now = step / 100
        _, (send,) = balancer.arrive("catalogo", "POST", "/", now, 0.001)
        assert isinstance(send, Send)
        lost[send.endpoint] += 1
        result = Result(send.call_id, send.attempt, LOST, 0.001)
        balancer.finish(result, now + 0.001)
    used = {arrive(balancer, "POST", 0.4).endpoint for _ in range(4)}
    assert len(used) == 2
