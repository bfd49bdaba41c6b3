"""Keep suspects apart on one entry."""

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


class Entry:
    """Ask an isolation about calls, and answer for control."""

    def __init__(self) -> None:
        self.timers = Timers()
        self.isolation = Isolation(Random(1), self.timers)
        self._calls = 0

    def call(self, name: str = BAD) -> Call:
        """Build a call that has just arrived."""
        self._calls += 1
        return Call(self._calls, DESK, RULE, 0.0, DEADLINE_S, fingerprint=name)

    def told(self, index: int, state: str) -> list[Release]:
        """Tell the state of the bad request."""
        news = QuarantineUpdate(0, index, [CaseUpdate(DESK, BAD, state, 60.0)])
        return self.isolation.apply_update(news, 0.0)

    def held(self) -> tuple[Call, TrialRequest]:
        """Hold a call and return what it asks of control."""
        call = self.call()
        assert self.isolation.hold(call, 0.0)
        request = self.isolation.drain_reports()[-1]
        assert isinstance(request, TrialRequest)
        return call, request

    def sent(self, name: str = BAD) -> Call:
        """Build a call that was sent once."""
        call = self.call(name)
        call.record_send("10.0.0.1:80", 0.0)
        return call

    def end(
        self, call: Call, outcome: str, crashed: bool = False
    ) -> list[Release]:
        """End the attempt of a call."""
        result = Result(call.call_id, 1, outcome, 0.1, crashed=crashed)
        return self.isolation.finish_attempt(call, result, "i-1#0", 0.1)


def test_no_crash_no_suspect() -> None:
    """Let calls go, and tell control nothing, while nothing crashes."""
    entry = Entry()
    call = entry.sent()
    assert entry.isolation.check(call, 0.0).outcome == FREE
    entry.end(call, LOST)
    entry.end(entry.sent(), ANSWERED)
    assert entry.isolation.check(call, 0.0).outcome == FREE
    assert entry.isolation.drain_reports() == []


def test_crash_makes_a_suspect_before_control_says_so() -> None:
    """Guard against a retry that is sent before control has answered."""
    entry = Entry()
    call = entry.sent()
    entry.end(call, LOST, crashed=True)
    assert entry.isolation.check(call, 0.1).outcome == WAIT
    reports = entry.isolation.drain_reports()
    assert reports == [Crash(DESK, BAD, "i-1#0", 0, 0.1)]
    entry.end(entry.sent(), ANSWERED)
    assert entry.isolation.check(call, 0.1).outcome == FREE
    assert entry.isolation.drain_reports() == [Acquittal(DESK, BAD)]


def test_one_call_of_a_suspect_asks() -> None:
    """Guard against a question for each call of a popular request."""
    entry = Entry()
    entry.told(1, SUSPECT)
    first, request = entry.held()
    others = [entry.call() for _ in range(MAX_HELD - 1)]
    assert all(entry.isolation.hold(one, 0.0) for one in others)
    assert not entry.isolation.hold(entry.call(), 0.0)
    assert entry.isolation.drain_reports() == []
    releases = entry.isolation.apply_ruling(request, Ruling(TRY), 0.0)
    assert [one.call for one in releases] == [first]
    assert first.trial_token == request.token
    first.record_send("10.0.0.1:80", 0.0)
    releases = entry.end(first, ANSWERED)
    assert [one.call for one in releases] == others


def test_verdict_refuses_those_that_wait() -> None:
    """Refuse held calls as soon as control tells of the quarantine."""
    entry = Entry()
    entry.told(1, SUSPECT)
    call, request = entry.held()
    releases = entry.told(2, QUARANTINED)
    assert [one.ruling.outcome for one in releases] == [QUARANTINED]
    assert not entry.isolation.holds(call)
    # The trial was granted meanwhile: its place is given back.
    assert entry.isolation.apply_ruling(request, Ruling(TRY), 0.0) == []
    end = TrialEnd(DESK, BAD, request.token, False)
    assert entry.isolation.drain_reports() == [end]


def test_call_that_ends_while_it_asks() -> None:
    """Guard against a suspect that nobody asks about any more."""
    entry = Entry()
    entry.told(1, SUSPECT)
    first, _ = entry.held()
    second = entry.call()
    entry.isolation.hold(second, 0.0)
    entry.isolation.end_call(first, False)
    due = entry.timers.pop_due(0.0)
    assert due is not None
    assert due[1] == second.call_id
    entry.isolation.request_trial(second.key, 0.0)
    assert isinstance(entry.isolation.drain_reports()[-1], TrialRequest)


def test_without_control_an_entry_stops_after_three() -> None:
    """Guard against a suspect that is tried for ever without control."""
    entry = Entry()
    entry.end(entry.sent(), LOST, crashed=True)
    for _ in range(2):
        call, request = entry.held()
        assert entry.isolation.apply_ruling(request, None, 0.1)
        call.record_send("10.0.0.1:80", 0.1)
        entry.end(call, LOST, crashed=True)
    _, request = entry.held()
    releases = entry.isolation.apply_ruling(request, None, 0.1)
    assert [one.ruling.outcome for one in releases] == [QUARANTINED]
