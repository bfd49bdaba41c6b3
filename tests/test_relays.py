"""Test what an entry that is cut off does with calls, on virtual time."""

from typing import Any

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refusal
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Send
from nutmegchute_core.calls import Throttle
from nutmegchute_core.reachability import ANSWERED as CHECK_ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import UNCONNECTED
from nutmegchute_core.relays import CUT_OFF
from nutmegchute_core.rules import read_services
from support import announcement
from support import build_result
from support import rule
from support import team
from test_helpers import build_entry

ADDRESSES = [f"10.1.0.{number}:80" for number in range(6)]
RULES = [
    rule(name="loan", method="POST", idempotent=False, deadline_ms=2000),
    rule(name="lookup", deadline_ms=2000, attempts=2),
]
UNSENT = "connection refused"


class Entry:
    """Drive the balancer of one entry, whose links may be lost."""

    def __init__(self, helpers: int = 2) -> None:
        self.now = 1.0
        self.lost = False
        self.balancer = Balancer(5, "surco", name="entry-0")
        services = read_services({"lending": team(catalogo=RULES)})
        self.balancer.configure(services, self.now)
        self.balancer.limit_extra_sends(0.2, 10.0)
        live = [announcement(address) for address in ADDRESSES]
        self.balancer.update_upstreams(live, self.now)
        self.balancer.update_helpers(
            [build_entry(one, "surco", False) for one in range(1, helpers + 1)]
        )

    def arrive(self, method: str = "GET", relayed: bool = False) -> list[Any]:
        """Submit a call; return what is done about it."""
        _, actions = self.balancer.arrive(
            "catalogo", method, "/", self.now, is_relayed=relayed
        )
        return self.settle(actions)

    def settle(self, actions: list[Action]) -> list[Any]:
        """Answer all checks of the links; return the other actions."""
        found = []
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            if not isinstance(action, LinkCheck):
                found.append(action)
                continue
            result = UNCONNECTED if self.lost else CHECK_ANSWERED
            pending += self.balancer.record_check(
                action.endpoint, result, self.now
            )
        return found

    def end(self, send: Send, outcome: str, **values: Any) -> list[Any]:
        """End an attempt; return what follows."""
        result = build_result(
            send.call_id, send.attempt, outcome, 0.001, **values
        )
        return self.settle(self.balancer.finish(result, self.now))

    def lose_links(self) -> None:
        """Lose all links and let calls fail until the entry knows."""
        self.lost = True
        for _ in range(6):
            if self.balancer.is_cut_off:
                return
            for action in self.arrive("POST"):
                if isinstance(action, Relay):
                    self.end(action, ANSWERED)
                elif isinstance(action, Send):
                    self.fail(action)
        raise AssertionError("the entry does not notice")

    def fail(self, send: Send) -> None:
        """Let an attempt and those that follow find no connection."""
        for action in self.end(send, NOT_RUN, loss=UNSENT):
            if isinstance(action, Relay):
                self.end(action, ANSWERED)
            elif isinstance(action, Send):
                self.fail(action)


def test_calls_of_a_cut_off_entry_go_to_helpers() -> None:
    """Guard against refusals by an entry whose neighbours can serve."""
    entry = Entry()
    entry.lose_links()
    for method in ("GET", "POST"):
        (relay,) = entry.arrive(method)
        assert isinstance(relay, Relay) and not relay.may_have_run
        (finish,) = entry.end(relay, ANSWERED)
        assert isinstance(finish, Finish)


def test_call_sent_to_an_endpoint_is_not_passed_on() -> None:
    """Guard against a loan that runs twice, here and by a helper."""
    entry = Entry()
    (send,) = entry.arrive("POST")
    entry.lose_links()
    assert not [
        one
        for one in entry.balancer.tick(entry.now)
        if isinstance(one, (Relay, Cancel))
    ]
    (lost,) = entry.end(send, LOST, loss=CLOSED)
    assert isinstance(lost, Lose)


def test_lookup_on_a_lost_link_is_sent_again_by_a_helper() -> None:
    """Guard against lookups that wait for lost links until their deadline."""
    entry = Entry()
    (send,) = entry.arrive()
    entry.lost = True
    found: list[Any] = []
    pending = entry.arrive("POST")
    while pending:
        action = pending.pop()
        if isinstance(action, Send) and not isinstance(action, Relay):
            pending += entry.end(action, NOT_RUN, loss=UNSENT)
            continue
        found.append(action)
    relays = [one for one in found if isinstance(one, Relay)]
    (relay,) = [one for one in relays if one.call_id == send.call_id]
    assert relay.may_have_run
    assert any(
        isinstance(one, Cancel) and one.call_id == send.call_id
        for one in found
    )


def test_calls_of_another_entry_are_not_passed_on() -> None:
    """Guard against loops between entries that are cut off."""
    entry = Entry()
    entry.lose_links()
    (refuse,) = entry.arrive(relayed=True)
    assert isinstance(refuse, Refuse)
    assert refuse.reason == CUT_OFF and refuse.elsewhere


def test_call_goes_to_the_next_helper() -> None:
    """Guard against a refusal because one helper is cut off as well."""
    entry = Entry()
    entry.lose_links()
    (first,) = entry.arrive("POST")
    refusal = Refusal(503, CUT_OFF, 0.2, elsewhere=True)
    (second,) = entry.end(first, NOT_RUN, refusal=refusal)
    assert isinstance(second, Relay) and second.endpoint != first.endpoint
    (refuse,) = entry.end(second, NOT_RUN, refusal=refusal)
    assert isinstance(refuse, Refuse)
    # Neither is tried for the next call.
    (refuse,) = entry.arrive("POST")
    assert isinstance(refuse, Refuse)


def test_call_that_comes_back_is_not_sent_from_here() -> None:
    """Guard against a call without a permit once the links are back."""
    entry = Entry(helpers=1)
    entry.lose_links()
    (relay,) = entry.arrive("POST")
    entry.lost = False
    entry.now += 1.0
    entry.settle(entry.balancer.tick(entry.now))
    assert not entry.balancer.is_cut_off
    (refuse,) = entry.end(relay, NOT_RUN)
    assert isinstance(refuse, Refuse)


def test_refusal_by_a_helper_is_the_answer() -> None:
    """Guard against a call that several helpers refuse under overload."""
    entry = Entry()
    entry.lose_links()
    for status, kind in ((503, Refuse), (429, Throttle)):
        (relay,) = entry.arrive("POST")
        refusal = Refusal(status, "too many wait", 0.3)
        (final,) = entry.end(relay, NOT_RUN, refusal=refusal)
        assert isinstance(final, kind)
        assert final.retry_after_s == pytest.approx(0.3)


def test_call_lost_at_a_helper_is_not_sent_again() -> None:
    """Guard against "not run" for a call that a killed helper had sent."""
    entry = Entry()
    entry.lose_links()
    for method in ("GET", "POST"):
        (relay,) = entry.arrive(method)
        (lost,) = entry.end(relay, LOST, loss=CLOSED)
        assert isinstance(lost, Lose)


def test_without_helpers_calls_are_refused_at_once() -> None:
    """Guard against calls held until their deadline where none can help."""
    entry = Entry(helpers=0)
    entry.lose_links()
    entry.now += 1.0
    (refuse,) = entry.arrive()
    assert isinstance(refuse, Refuse)
    assert 0 < refuse.retry_after_s < 1


def test_lost_links_are_no_crashes() -> None:
    """Guard against requests that quarantine blames for an entry's links."""
    entry = Entry()
    sends = [entry.arrive("POST")[0] for _ in range(2)]
    entry.lost = True
    for send in sends:
        entry.end(send, LOST, loss=CLOSED, crashed=True)
    assert entry.balancer.is_cut_off
    assert entry.balancer.pop_reports() == []
    (relay,) = entry.arrive("POST")
    assert isinstance(relay, Relay)


def test_crash_is_reported_while_links_work() -> None:
    """Guard against crashes that the check of the links hides."""
    entry = Entry()
    (send,) = entry.arrive("POST")
    entry.end(send, LOST, loss=CLOSED, crashed=True)
    assert len(entry.balancer.pop_reports()) == 1


def test_endpoints_get_calls_at_once_after_the_cut() -> None:
    """Guard against a back-off that outlives the cut."""
    entry = Entry()
    entry.lose_links()
    entry.lost = False
    entry.now += 1.0
    entry.settle(entry.balancer.tick(entry.now))
    assert not entry.balancer.is_cut_off
    used = set()
    for _ in range(len(ADDRESSES)):
        (send,) = entry.arrive("POST")
        assert not isinstance(send, Relay)
        used.add(send.endpoint)
        entry.end(send, ANSWERED)
    assert len(used) > 1
