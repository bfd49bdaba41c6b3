"""Test that "not run" is only said of calls known not to have run."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

import pytest
from nutmegchute_core.balancers import Balancer
from nutmegchute_core.calls import Action
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Cancel
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Probe
from nutmegchute_core.calls import Refusal
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.calls import Throttle
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import REJECTED
from nutmegchute_core.evidence import RELAYED
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.members import DRAINING
from nutmegchute_core.members import UP
from nutmegchute_core.notices import Notice
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import FREE
from nutmegchute_core.quarantines import QUARANTINED
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_core.quarantines import WAIT
from nutmegchute_core.reachability import ANSWERED as CHECK_ANSWERED
from nutmegchute_core.reachability import LinkCheck
from nutmegchute_core.reachability import SILENT
from nutmegchute_core.reachability import UNCONNECTED
from nutmegchute_core.rules import read_services
from support import announcement
from support import rule
from support import team
from test_helpers import build_entry

# Histories for each of ten seeds, a few seconds in all.
HISTORIES = 60
STEPS = 120
LATEST_S = 1000.0
SERVICES = ("catalogo", "desk")
RULES = [
    rule(
        name="loan",
        method="POST",
        idempotent=False,
        hedge=True,
        attempts=3,
        objective_ms=50,
    ),
    rule(name="sync", method="PUT", attempts=3),
    rule(name="lookup", method="GET", hedge=True, attempts=3, objective_ms=50),
]
METHODS = ("GET", "PUT", "POST")
FINGERPRINTS = ("", "", "good", "bad", "worse")
ORGANISATIONS = (None, None, Organisation("cusco", {}))
UNRUN_ANSWERS = Refuse | Throttle | Deny | Reject
FINAL_ANSWERS = Refuse | Throttle | Deny | Reject | Lose | Finish


class History:
    """Record what happened to one call."""

    def __init__(self, call_id: int, is_safe: bool) -> None:
        self.call_id = call_id
        self.is_safe = is_safe
        # Attempts whose end is unknown, cancelled ones not included.
        self.open: dict[int, Send] = {}
        self.may_have_run = False
        self.has_left = False
        self.finals: list[Action] = []


class World:
    """Play one random history of an entry from a seed."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now = 1.0
        self.calls: dict[int, History] = {}
        self.cancelled: list[Send] = []
        self.probes: list[Probe] = []
        self.checks: list[LinkCheck] = []
        self.are_links_lost = False
        self.quarantine_index = 0
        self.incarnation = 1
        self.balancer = Balancer(seed, "surco", name="entry-0")
        self.configure(SERVICES)
        self.balancer.limit_extra_sends(0.5, 20.0)
        if self.random.random() < 0.7:
            self.balancer.limit_inquiries(1000.0, 1.0)
        self.announce()
        self.change_helpers()

    def configure(self, names: Iterable[str]) -> None:
        """Put a configuration with the given services in force."""
        document = team(**dict.fromkeys(names, RULES))
        for service in document["services"].values():
            service.update(queue=6, probes_per_s=8.0, most_entries=1)
        services = read_services({"lending": document})
        self.balancer.configure(services, self.now)

    def announce(self) -> None:
        """Let endpoints come, go, drain and restart."""
        found = []
        for service in SERVICES:
            for number in range(self.random.randint(0, 6)):
                self.incarnation += self.random.random() < 0.1
                found.append(
                    announcement(
                        f"10.1.{len(service)}.{number}:80",
                        service=service,
                        state=self.random.choice((UP, UP, UP, DRAINING)),
                        incarnation=self.incarnation,
                    )
                )
        self.perform(self.balancer.update_upstreams(found, self.now))

    def change_helpers(self) -> None:
        """Let helpers come and go."""
        count = self.random.randint(0, 3)
        self.balancer.update_helpers(
            [build_entry(one, "surco", False) for one in range(1, count + 1)]
        )

    def perform(self, actions: list[Action]) -> None:
        """Check each action and record it."""
        for action in actions:
            if isinstance(action, Probe):
                self.probes.append(action)
                continue
            if isinstance(action, LinkCheck):
                self.checks.append(action)
                continue
            call = self.calls[action.call_id]
            if isinstance(action, Cancel):
                self.cancelled.append(call.open.pop(action.attempt))
                call.may_have_run = True
                continue
            assert not call.finals, "a call has one final action"
            if isinstance(action, Send):
                is_unrun = not call.open and not call.may_have_run
                assert call.is_safe or is_unrun, "sent again"
                if isinstance(action, Relay):
                    assert not call.open
                    assert action.may_have_run == call.may_have_run
                call.open[action.attempt] = action
                continue
            assert isinstance(action, FINAL_ANSWERS)
            call.finals.append(action)
            if isinstance(action, UNRUN_ANSWERS):
                assert not call.may_have_run, "refused without evidence"
            if not isinstance(action, Finish):
                assert not call.open, "ended with an open attempt"

    def arrive(self) -> None:
        """Submit a call."""
        method = self.random.choice(METHODS)
        # The balancer returns the first actions together with the id.
        call_id, actions = self.balancer.arrive(
            self.random.choice(SERVICES),
            method,
            "/",
            self.now,
            self.random.choice((None, 0.05, 1.0)),
            self.random.choice((1, 1, 1, 2)),
            self.random.choice(FINGERPRINTS),
            self.random.choice(ORGANISATIONS),
            self.random.random() < 0.1,
        )
        self.calls[call_id] = History(call_id, method != "POST")
        self.perform(actions)

    def end(self) -> None:
        """End an open attempt in one of all ways."""
        found = [one for one in self.calls.values() if one.open]
        if not found:
            return
        call = self.random.choice(found)
        attempt = self.random.choice(list(call.open))
        result = self.build_result(call.open.pop(attempt))
        if not _has_evidence(result):
            call.may_have_run = True
        self.perform(self.balancer.finish(result, self.now))

    def end_late(self) -> None:
        """Report the end of a cancelled attempt, with any evidence."""
        if not self.cancelled:
            return
        index = self.random.randrange(len(self.cancelled))
        result = self.build_result(self.cancelled.pop(index))
        self.perform(self.balancer.finish(result, self.now))

    def build_result(self, send: Send) -> Result:
        """Build a random result of an attempt."""
        outcome = self.random.choice(
            (ANSWERED, NOT_RUN, NOT_RUN, NOT_RUN, LOST, CANCELLED)
        )
        evidence = None
        if outcome == NOT_RUN or self.random.random() < 0.1:
            evidence = self.build_evidence(send)
        is_relay = isinstance(send, Relay)
        refusal = None
        if is_relay and outcome == NOT_RUN:
            refusal = Refusal(
                self.random.choice((401, 404, 429, 503)),
                "a reason",
                0.1,
                self.random.random() < 0.5,
                self.random.random() < 0.5,
            )
        loss = ""
        if outcome == LOST or (self.are_links_lost and outcome == NOT_RUN):
            loss = CLOSED
        is_shed = outcome == NOT_RUN and not loss
        notice = None
        if not is_relay and self.random.random() < 0.1:
            notice = Notice(
                send.process_key,
                send.sent_at,
                rest_s=self.random.choice((None, 0.2)),
                is_leaving=self.random.random() < 0.3,
            )
        return Result(
            send.call_id,
            send.attempt,
            outcome,
            max(0.0005, self.now - send.sent_at),
            None if is_relay else self.random.choice((None, 0, 0, 1, 4)),
            outcome == ANSWERED and self.random.random() < 0.5,
            self.random.choice((None, 1.0, 1.0)),
            is_shed,
            loss,
            loss == CLOSED and self.random.random() < 0.3,
            notice,
            self.random.random() < 0.5,
            refusal,
            evidence=evidence,
        )

    def build_evidence(self, send: Send) -> Evidence | None:
        """Build the evidence of an attempt, of another, or none."""
        kind = self.random.choice((UNSENT, REJECTED, RELAYED))
        call_id, attempt = send.call_id, send.attempt
        chance = self.random.random()
        if chance < 0.1:
            return None
        if chance < 0.2:
            call_id += self.random.choice((-1, 1))
        elif chance < 0.3:
            attempt += self.random.choice((-1, 1))
        return Evidence(kind, call_id, attempt)

    def leave(self) -> None:
        """Disconnect a caller."""
        found = [one for one in self.calls.values() if _is_waiting(one)]
        if not found:
            return
        call = self.random.choice(found)
        call.has_left = True
        self.perform(self.balancer.abandon(call.call_id, self.now))
        assert not call.open

    def withdraw(self) -> None:
        """Withdraw the key of some calls."""
        found = [one.call_id for one in self.calls.values()]
        chosen = self.random.sample(found, min(2, len(found)))
        self.perform(self.balancer.withdraw(chosen, self.now))

    def change_services(self) -> None:
        """Let services disappear and return."""
        self.configure([one for one in SERVICES if self.random.random() < 0.7])
        if self.random.random() < 0.8:
            self.announce()

    def change_links(self) -> None:
        """Lose all links or find them again."""
        self.are_links_lost = not self.are_links_lost
        for _ in range(4):
            self.answer_check()

    def answer_check(self) -> None:
        """End a query that checks the links."""
        if not self.checks:
            return
        check = self.checks.pop(0)
        result = self.random.choice((CHECK_ANSWERED, SILENT, UNCONNECTED))
        if self.are_links_lost:
            result = UNCONNECTED
        self.perform(
            self.balancer.record_check(check.endpoint, result, self.now)
        )

    def answer_probe(self) -> None:
        """End a load query, possibly with a failure."""
        if not self.probes:
            return
        index = self.random.randrange(len(self.probes))
        probe = self.probes.pop(index)
        load = self.random.choice((None, 0, 1, 4))
        if self.are_links_lost:
            load = None
        self.perform(
            self.balancer.record_probe(
                probe.service,
                probe.endpoint,
                load,
                0.001,
                self.now,
                1.0,
                load is not None,
            )
        )

    def rule_on_request(self) -> None:
        """Let control suspect, quarantine or free requests."""
        if self.random.random() < 0.3:
            self.quarantine_index += 1
            states = (SUSPECT, QUARANTINED)
            cases = [
                CaseUpdate(service, one, self.random.choice(states), 1.0)
                for service in SERVICES
                for one in ("bad", "worse")
                if self.random.random() < 0.5
            ]
            update = QuarantineUpdate(0, self.quarantine_index, cases)
            self.perform(self.balancer.apply_quarantine(update, self.now))
        for report in self.balancer.pop_reports():
            if not isinstance(report, TrialRequest):
                continue
            outcome = self.random.choice((TRY, TRY, WAIT, FREE, QUARANTINED))
            ruling = Ruling(outcome, 0.1, self.random.random() < 0.5)
            given = None if self.random.random() < 0.1 else ruling
            self.perform(self.balancer.apply_ruling(report, given, self.now))

    def wait(self, most_s: float = 0.2) -> None:
        """Advance the time and run all timers on the way."""
        end = self.now + self.random.uniform(0.0, most_s)
        while True:
            at = self.balancer.next_wakeup()
            if at is None or at > end:
                break
            self.now = max(self.now, at)
            self.perform(self.balancer.tick(self.now))
        self.now = end

    def play(self) -> None:
        """Play the history, then end all calls."""
        steps: list[Callable[[], None]] = [
            *[self.arrive] * 14,
            *[self.end] * 10,
            *[self.wait] * 8,
            *[self.answer_probe] * 8,
            *[self.answer_check] * 4,
            *[self.rule_on_request] * 3,
            *[self.end_late] * 2,
            *[self.leave] * 2,
            *[self.change_helpers] * 2,
            self.withdraw,
            self.change_services,
            self.announce,
            self.change_links,
        ]
        for _ in range(STEPS):
            self.random.choice(steps)()
        if self.random.random() < 0.2:
            self.perform(self.balancer.end_all("stopping", 1.0, self.now))
            assert not any(_is_waiting(one) for one in self.calls.values())
        while any(_is_waiting(one) for one in self.calls.values()):
            assert self.now < LATEST_S, "a call does not end"
            self.end()
            self.wait()
        for call in self.calls.values():
            assert call.has_left or len(call.finals) == 1
        assert self.balancer.in_flight == 0


def _has_evidence(result: Result) -> bool:
    evidence = result.evidence
    if result.outcome in (ANSWERED, LOST) or evidence is None:
        return False
    named = evidence.call_id, evidence.attempt
    return named == (result.call_id, result.attempt)


def _is_waiting(call: History) -> bool:
    return not call.finals and not call.has_left


@pytest.mark.parametrize("seed", range(10))
def test_refused_calls_did_not_run_in_random_histories(seed: int) -> None:
    """Guard against "not run" of, and second sends after, what may run."""
    for number in range(HISTORIES):
        World(seed * HISTORIES + number).play()
