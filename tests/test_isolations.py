"""Test how one entry holds and releases the calls of suspects."""

from random import Random

from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Call
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import Result
from nutmegchute_core.isolations import Isolation
from nutmegchute_core.isolations import Release
from nutmegchute_core.quarantines import Acquittal
from nutmegchute_core.quarantines import CaseUpdate
from nutmegchute_core.quarantines import Crash
from nutmegchute_core.quarantines import FREE
from nutmegchute_core.quarantines import QUARANTINED
from nutmegchute_core.quarantines import QuarantineUpdate
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialEnd
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_core.quarantines import WAIT
from nutmegchute_core.rules import Rule
from nutmegchute_core.timers import Timers
from nutmegchute_core.trials import MAX_HELD

DESK = "desk"
BAD = "bad"
DEADLINE_S = 2.0
RULE = Rule({"name": "look", "idempotent": True, "deadline_ms": 2000})


class Harness:
    """Drive an isolation with calls and updates from control."""

    def __init__(self) -> None:
        self.timers = Timers()
        self.isolation = Isolation(Random(1), self.timers)
        self._calls = 0

    def call(self, name: str = BAD) -> Call:
        """Build a call that has just arrived."""
        self._calls += 1
        return Call(self._calls, DESK, RULE, 0.0, DEADLINE_S, fingerprint=name)

    def apply_state(self, index: int, state: str) -> list[Release]:
        """Apply an update with the state of the bad request."""
        update = QuarantineUpdate(
            0, index, [CaseUpdate(DESK, BAD, state, 60.0)]
        )
        return self.isolation.apply_update(update, 0.0)

    def hold_call(self) -> tuple[Call, TrialRequest]:
        """Hold a call and return it with its trial request."""
        call = self.call()
        assert self.isolation.hold(call, 0.0)
        request = self.isolation.pop_reports()[-1]
        assert isinstance(request, TrialRequest)
        return call, request

    def sent_call(self, name: str = BAD) -> Call:
        """Build a call that has been sent once."""
        call = self.call(name)
        call.record_send("10.0.0.1:80", 0.0)
        return call

    def finish(
        self, call: Call, outcome: str, crashed: bool = False
    ) -> list[Release]:
        """Finish the attempt of a call."""
        result = Result(call.call_id, 1, outcome, 0.1, crashed=crashed)
        return self.isolation.finish_attempt(call, result, "i-1#0", 0.1)


def test_calls_are_free_without_crashes() -> None:
    """Send calls without reports to control while nothing crashes."""
    harness = Harness()
    call = harness.sent_call()
    assert harness.isolation.check(call, 0.0).outcome == FREE
    harness.finish(call, LOST)
    harness.finish(harness.sent_call(), ANSWERED)
    assert harness.isolation.check(call, 0.0).outcome == FREE
    assert harness.isolation.pop_reports() == []


def test_crash_makes_a_suspect_before_control_replies() -> None:
    """Guard against a retry that is sent before control replies."""
    harness = Harness()
    call = harness.sent_call()
    harness.finish(call, LOST, crashed=True)
    assert harness.isolation.check(call, 0.1).outcome == WAIT
    reports = harness.isolation.pop_reports()
    assert reports == [Crash(DESK, BAD, "i-1#0", 0, 0.1)]
    harness.finish(harness.sent_call(), ANSWERED)
    assert harness.isolation.check(call, 0.1).outcome == FREE
    assert harness.isolation.pop_reports() == [Acquittal(DESK, BAD)]


def test_one_call_of_a_suspect_requests_a_trial() -> None:
    """Guard against a trial request for each call of a frequent request."""
    harness = Harness()
    harness.apply_state(1, SUSPECT)
    first, request = harness.hold_call()
    others = [harness.call() for _ in range(MAX_HELD - 1)]
    assert all(harness.isolation.hold(one, 0.0) for one in others)
    assert not harness.isolation.hold(harness.call(), 0.0)
    assert harness.isolation.pop_reports() == []
    releases = harness.isolation.apply_ruling(request, Ruling(TRY), 0.0)
    assert [one.call for one in releases] == [first]
    assert first.trial_token == request.token
    first.record_send("10.0.0.1:80", 0.0)
    releases = harness.finish(first, ANSWERED)
    assert [one.call for one in releases] == others


def test_quarantine_refuses_held_calls() -> None:
    """Refuse held calls as soon as control reports the quarantine."""
    harness = Harness()
    harness.apply_state(1, SUSPECT)
    call, request = harness.hold_call()
    releases = harness.apply_state(2, QUARANTINED)
    assert [one.ruling.outcome for one in releases] == [QUARANTINED]
    assert not harness.isolation.holds(call)
    # The trial was granted in the meantime and is returned unused.
    assert harness.isolation.apply_ruling(request, Ruling(TRY), 0.0) == []
    end = TrialEnd(DESK, BAD, request.token, False)
    assert harness.isolation.pop_reports() == [end]


def test_next_call_requests_a_trial_if_the_first_ends() -> None:
    """Guard against held calls for which no trial is requested."""
    harness = Harness()
    harness.apply_state(1, SUSPECT)
    first, _ = harness.hold_call()
    second = harness.call()
    harness.isolation.hold(second, 0.0)
    harness.isolation.end_call(first, False)
    due = harness.timers.pop_due(0.0)
    assert due is not None
    assert due[1] == second.call_id
    harness.isolation.request_trial(second.key, 0.0)
    assert isinstance(harness.isolation.pop_reports()[-1], TrialRequest)


def test_entry_without_control_stops_after_three_crashes() -> None:
    """Guard against endless trials of a suspect without control."""
    harness = Harness()
    harness.finish(harness.sent_call(), LOST, crashed=True)
    for _ in range(2):
        call, request = harness.hold_call()
        assert harness.isolation.apply_ruling(request, None, 0.1)
        call.record_send("10.0.0.1:80", 0.1)
        harness.finish(call, LOST, crashed=True)
    _, request = harness.hold_call()
    releases = harness.isolation.apply_ruling(request, None, 0.1)
    assert [one.ruling.outcome for one in releases] == [QUARANTINED]
