"""Test resets by endpoints that are full, in virtual time."""

from copy import copy

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.members import Announcement
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialEnd
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_core.reachability import ANSWERED as CHECK_ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.routes import Route
from nutmegchute_core.rules import DEFAULT_MOST_ENTRIES
from nutmegchute_core.rules import Rule
from nutmegchute_core.rules import Service

from benchmarks.placing import PATTERNS
from benchmarks.placing import POLICY
from benchmarks.placing import RESETTING
from benchmarks.placing import run

SERVICE = "desk"
ADDRESSES = ["10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"]
# A sixth of the deployment of the benchmark.
SCALE = 6


def build_rule() -> Rule:
    """Build the rule of an idempotent call."""
    document = {
        "host": "h",
        "path_prefix": "/",
        "idempotent": True,
        "timeout_ms": 2000,
        "objective_ms": 600,
        "attempts": 2,
        "service": SERVICE,
    }
    return Route("look", document, 0.0).rule


class Entry:
    """Drive a balancer whose endpoints report their load and stretch."""

    def __init__(self) -> None:
        self.balancer = Balancer(3, "a")
        self.balancer.configure({SERVICE: Service(SERVICE, {})}, 0.0)
        self.balancer.limit_inquiries(60.0, 0.5)
        live = [Announcement(SERVICE, one, "a", 4, 1) for one in ADDRESSES]
        self.balancer.update_upstreams(live, 0.0)
        self.loads = dict.fromkeys(ADDRESSES, 0)

    def answer(self, actions: list[Action], now: float) -> list[Send]:
        """Answer load queries until there are none; return the sends."""
        sends = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if isinstance(action, Send):
                sends.append(action)
            if isinstance(action, LinkCheck):
                pending += self.balancer.record_check(
                    action.endpoint, CHECK_ANSWERED, now
                )
            if isinstance(action, Probe):
                pending += self.balancer.record_probe(
                    SERVICE,
                    action.endpoint,
                    self.loads[action.endpoint],
                    0.001,
                    now,
                    1.0,
                )
        return sends

    def send(self, now: float) -> Send:
        """Submit one call, which is sent at once."""
        _, actions = self.balancer.arrive_with_rule(SERVICE, build_rule(), now)
        (sent,) = self.answer(actions, now)
        return sent

    def reset(self, send: Send, now: float) -> list[Action]:
        """Reset the connection of an attempt."""
        result = Result(send.call_id, send.attempt, LOST, 0.001, loss=CLOSED)
        return self.balancer.finish(result, now)


def reset_by_full_endpoint(
    entry: Entry, now: float
) -> tuple[Send, list[Send]]:
    """Fill the endpoint that a call was sent to; it resets the call.

    Return the call's first send and those that follow.
    """
    send = entry.send(now)
    entry.loads[send.endpoint] = 12
    entry.balancer.record_probe(
        SERVICE, send.endpoint, 12, 0.001, now + 0.001, 1.0
    )
    actions = entry.reset(send, now + 0.002)
    actions += entry.balancer.tick(now + 0.002)
    return send, entry.answer(actions, now + 0.002)


def test_full_endpoint_gets_nothing_until_it_reports_a_free_slot() -> None:
    """A full endpoint is not sent the next call, which it would lose too."""
    entry = Entry()
    first, (retry,) = reset_by_full_endpoint(entry, 1.0)
    assert retry.endpoint != first.endpoint
    for step in range(3):
        assert entry.send(1.01 + step * 0.01).endpoint != first.endpoint
    for address in ADDRESSES:
        entry.loads[address] = 12
    entry.loads[first.endpoint] = 1
    entry.balancer.record_probe(SERVICE, first.endpoint, 1, 0.001, 1.1, 1.0)
    assert entry.send(1.1).endpoint == first.endpoint


def test_resets_by_full_endpoints_use_no_retry_budget() -> None:
    """Calls that full endpoints reset are all sent again.

    With the budget of three retries at the start, the fourth call of a burst
    was answered "unknown" though nothing was wrong with any endpoint.
    """
    entry = Entry()
    for step in range(8):
        now = 1.0 + step
        for address in ADDRESSES:
            entry.loads[address] = 0
            entry.balancer.record_probe(SERVICE, address, 0, 0.001, now, 1.0)
        _, sends = reset_by_full_endpoint(entry, now)
        assert len(sends) == 1


def test_resets_without_load_count_as_failures() -> None:
    """An endpoint that resets calls while it reports free slots is broken.

    Taken for full, it would be sent calls again at once and use up retries
    without a limit.
    """
    entry = Entry()
    retries = 0
    for step in range(12):
        now = 1.0 + step
        send = entry.send(now)
        actions = entry.reset(send, now + 0.001)
        actions += entry.balancer.tick(now + 0.001)
        retries += len(entry.answer(actions, now + 0.001))
    assert retries < 6


def test_trial_reset_by_full_endpoint_is_repeated() -> None:
    """A suspect whose trial a full endpoint resets was not tried.

    Control would have let its next trial run alone only, as that of a
    request that was with an endpoint when it failed.
    """
    entry = Entry()
    balancer = entry.balancer
    update = QuarantineUpdate(0, 1, [CaseUpdate(SERVICE, "x", SUSPECT, 60.0)])
    balancer.apply_quarantine(update, 0.0)
    balancer.arrive_with_rule(SERVICE, build_rule(), 1.0, fingerprint="x")
    (request,) = balancer.pop_reports()
    assert isinstance(request, TrialRequest)
    actions = balancer.apply_ruling(request, Ruling(TRY), 1.0)
    actions += balancer.tick(1.0)
    (send,) = entry.answer(actions, 1.0)
    balancer.record_probe(SERVICE, send.endpoint, 12, 0.001, 1.001, 1.0)
    entry.reset(send, 1.002)
    ends = [one for one in balancer.pop_reports() if isinstance(one, TrialEnd)]
    assert [one.sent for one in ends] == [False]


@pytest.mark.parametrize("seed", [1, 2])
def test_burst_at_endpoints_that_report_only_their_load(seed: int) -> None:
    """Few calls are lost by resets in a burst of 1.7 for 4 s.

    Without load queries a quarter of the calls were sent to full endpoints.
    """
    pattern = copy(next(p for p in PATTERNS if "no stretch" in p.name))
    deployment = copy(RESETTING)
    deployment.entries = tuple(n // SCALE for n in deployment.entries)
    # Keeps the ratio of slots to the least window of an entry.
    deployment.most_entries = DEFAULT_MOST_ENTRIES // SCALE + 1
    per_s = pattern.per_s
    pattern.per_s = lambda now: per_s(now) / SCALE
    pattern.endpoints_per_zone = (11, 11, 11)
    pattern.deployment = deployment
    figures = run(pattern, POLICY, seed)
    resets, lost = figures[6:8]
    assert resets < 0.02
    assert lost < 0.01
