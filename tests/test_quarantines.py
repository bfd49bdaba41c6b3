"""Test which requests are quarantined, from reports alone."""

import msgspec
from nutmegchute_core.commands import Command
from nutmegchute_core.machines import MachineState
from nutmegchute_core.machines import StateMachine
from nutmegchute_core.messages import LogEntry
from nutmegchute_core.quarantines import Acquittal
from nutmegchute_core.quarantines import Crash
from nutmegchute_core.quarantines import FIRST_QUARANTINE_S
from nutmegchute_core.quarantines import FREE
from nutmegchute_core.quarantines import Lift
from nutmegchute_core.quarantines import Lifted
from nutmegchute_core.quarantines import Quarantine
from nutmegchute_core.quarantines import QuarantineBatch
from nutmegchute_core.quarantines import QUARANTINED
from nutmegchute_core.quarantines import QuarantineRequest
from nutmegchute_core.quarantines import Report
from nutmegchute_core.quarantines import Ruling
from nutmegchute_core.quarantines import Rulings
from nutmegchute_core.quarantines import SUSPECT
from nutmegchute_core.quarantines import TrialEnd
from nutmegchute_core.quarantines import TrialRequest
from nutmegchute_core.quarantines import TRY
from nutmegchute_core.quarantines import WAIT
from nutmegchute_core.quarantines import WATCHED

DESK = "desk"
BAD = "bad"
LEFT_S = 2.0


class Harness:
    """Apply reports to a quarantine one by one."""

    def __init__(self, quarantine: Quarantine | None = None) -> None:
        self.quarantine = quarantine or Quarantine()
        self._index = 0
        self._tokens = 0
        self._processes = 0

    def report(self, report: Report, after_s: float = 0.1) -> Ruling:
        """Apply a report after the given time."""
        self._index += 1
        batch = QuarantineBatch(after_s, QuarantineRequest([report]))
        return self.quarantine.apply(self._index, batch).rulings[0]

    def crash(
        self,
        name: str = BAD,
        trial: int = 0,
        sent_ago_s: float = 0.05,
        answered_before: bool = False,
        process: str = "",
    ) -> None:
        """Report a crash, of a new process unless one is given."""
        self._processes += 1
        process = process or f"i-{self._processes}"
        self.report(
            Crash(DESK, name, process, trial, sent_ago_s, answered_before)
        )

    def request_trial(self, name: str = BAD, after_s: float = 0.1) -> Ruling:
        """Request a trial with a new token."""
        self._tokens += 1
        request = TrialRequest(DESK, name, self._tokens, LEFT_S)
        return self.report(request, after_s)

    def crash_on_trial(self, name: str = BAD) -> None:
        """Run a trial that crashes an endpoint."""
        assert self.request_trial(name).outcome == TRY
        self.crash(name, self._tokens)

    def quarantine_request(self, name: str = BAD) -> None:
        """Crash three endpoints, two of them on trial, for a quarantine."""
        self.crash(name)
        self.crash_on_trial(name)
        self.crash_on_trial(name)

    def state(self, name: str = BAD) -> str:
        """Return the state of a case, or an empty string without one."""
        for one in self.quarantine.case_statuses():
            if one.fingerprint == name:
                return one.state
        return ""

    @property
    def token(self) -> int:
        """Return the token of the last trial request."""
        return self._tokens


def test_third_crash_quarantines() -> None:
    """Quarantine a request that crashed three endpoints, two on trial."""
    harness = Harness()
    harness.crash()
    assert harness.state() == SUSPECT
    first = harness.request_trial()
    assert first.outcome == TRY
    assert not first.alone
    harness.crash(trial=harness.token)
    second = harness.request_trial()
    assert second.outcome == TRY
    assert second.alone
    harness.crash(trial=harness.token)
    assert harness.state() == QUARANTINED
    ruling = harness.request_trial()
    assert ruling.outcome == QUARANTINED
    assert FIRST_QUARANTINE_S - 1 < ruling.after_s <= FIRST_QUARANTINE_S


def test_one_trial_at_a_time() -> None:
    """Grant one trial at a time, and the next if its entry never reports."""
    harness = Harness()
    harness.crash()
    assert harness.request_trial().outcome == TRY
    assert harness.request_trial().outcome == WAIT
    assert harness.request_trial(after_s=LEFT_S).outcome == WAIT
    assert harness.request_trial(after_s=LEFT_S).outcome == TRY


def test_answer_clears_a_suspect() -> None:
    """Drop the case of a suspect that an endpoint has answered."""
    harness = Harness()
    harness.crash()
    harness.crash_on_trial()
    harness.report(Acquittal(DESK, BAD))
    assert harness.state() == ""
    assert harness.request_trial().outcome == FREE


def test_neighbour_of_a_crashing_request_is_not_quarantined() -> None:
    """Guard against quarantining a request that only ran beside crashes."""
    harness = Harness()
    for name in (BAD, "neighbour"):
        harness.crash(name, process="i-0")
    for _ in range(5):
        harness.crash("neighbour")
    assert harness.state("neighbour") == SUSPECT


def test_same_process_counts_once() -> None:
    """Guard against counting one crash twice if several entries report it."""
    harness = Harness()
    harness.crash(process="i-0")
    for _ in range(3):
        assert harness.request_trial().outcome == TRY
        harness.crash(trial=harness.token, process="i-0")
    assert harness.state() == SUSPECT


def test_answered_request_becomes_suspect_with_its_second_crash() -> None:
    """Watch a request that was answered before, then suspect it."""
    harness = Harness()
    harness.crash(answered_before=True)
    assert harness.state() == WATCHED
    assert harness.request_trial().outcome == FREE
    # Sent before the first crash was known, so part of the same outage.
    harness.crash(sent_ago_s=60.0)
    assert harness.state() == WATCHED
    harness.crash(sent_ago_s=0.01)
    assert harness.state() == SUSPECT


def test_request_answered_at_another_entry_is_only_watched() -> None:
    """Watch a request that only some entries have seen answered."""
    harness = Harness()
    harness.crash()
    assert harness.state() == SUSPECT
    harness.crash(sent_ago_s=60.0, answered_before=True)
    assert harness.state() == WATCHED


def test_unsent_trial_is_granted_again() -> None:
    """Grant the trial of a call that ended unsent to the next call."""
    harness = Harness()
    harness.crash()
    assert harness.request_trial().outcome == TRY
    harness.report(TrialEnd(DESK, BAD, harness.token, sent=False))
    again = harness.request_trial()
    assert again.outcome == TRY
    assert not again.alone


def test_quarantine_ends_with_one_trial() -> None:
    """Let a single trial decide after the end of a quarantine."""
    harness = Harness()
    harness.quarantine_request()
    assert (
        harness.request_trial(after_s=FIRST_QUARANTINE_S / 2).outcome
        == QUARANTINED
    )
    ruling = harness.request_trial(after_s=FIRST_QUARANTINE_S)
    assert ruling.outcome == TRY
    assert ruling.alone
    harness.crash(trial=harness.token)
    ruling = harness.request_trial()
    assert ruling.outcome == QUARANTINED
    assert ruling.after_s > 1.9 * FIRST_QUARANTINE_S


def test_many_suspects_displace_no_quarantine() -> None:
    """Bound the suspects, but keep quarantines and crashes on trial."""
    harness = Harness(Quarantine(max_suspects=8, max_quarantined=4))
    harness.quarantine_request()
    harness.crash("proved")
    harness.crash_on_trial("proved")
    for number in range(50):
        harness.crash(f"other-{number}")
    assert harness.state() == QUARANTINED
    assert harness.state("proved") == SUSPECT
    assert len(harness.quarantine.case_statuses()) <= 9


def test_quarantine_survives_a_snapshot() -> None:
    """Guard against losing a quarantine with all replica processes."""
    machine = StateMachine()
    tokens = (0, 7, 8)
    index = 0

    def apply(command: Command) -> object:
        nonlocal index
        index += 1
        return machine.apply(LogEntry(index, 1, command))

    for token in tokens:
        reports: list[Report] = []
        if token:
            reports.append(TrialRequest(DESK, BAD, token, LEFT_S))
        reports.append(Crash(DESK, BAD, f"i-{token}", token, 0.05))
        outcome = apply(QuarantineBatch(0.1, QuarantineRequest(reports)))
        assert isinstance(outcome, Rulings)
    data = msgspec.msgpack.encode(machine.snapshot())
    restored = StateMachine()
    restored.restore(msgspec.msgpack.decode(data, type=MachineState))
    assert restored.quarantine.count == 1
    assert (
        restored.quarantine.case_statuses()
        == machine.quarantine.case_statuses()
    )
    lifted = apply(Lift(DESK, BAD, "operator", 1.0))
    assert lifted == Lifted(True)
    assert machine.quarantine.count == 0
    assert machine.tree.audit[-1].operator == "operator"
    assert apply(Lift(DESK, BAD, "operator", 2.0)) == Lifted(False)


def test_updates_list_only_changes() -> None:
    """List the changes since an index, or all cases if it is too old."""
    harness = Harness()
    harness.crash("first")
    known = harness.quarantine.index
    harness.crash("second")
    harness.report(Acquittal(DESK, "first"))
    update = harness.quarantine.since(known)
    assert update.base == known
    assert [one.fingerprint for one in update.cases] == ["second"]
    assert update.ended == [(DESK, "first")]
    assert harness.quarantine.since(harness.quarantine.index).cases == []
    restored = Quarantine()
    restored.restore(harness.quarantine.snapshot())
    update = restored.since(known)
    assert update.base == 0
    assert [one.fingerprint for one in update.cases] == ["second"]


def test_quarantine_extends_to_other_services() -> None:
    """Let one trial decide if a quarantined request moves to a service."""
    harness = Harness()
    harness.quarantine_request()
    for name in ("shelf", "stack"):
        request = TrialRequest(name, BAD, 99, LEFT_S)
        ruling = harness.report(request)
        assert ruling.outcome == TRY
        assert ruling.alone
    harness.report(Crash("shelf", BAD, "i-9", 99, 0.1))
    assert harness.report(request).outcome == TRY
    again = TrialRequest("shelf", BAD, 100, LEFT_S)
    assert harness.report(again).outcome == QUARANTINED
    # An answer at that service clears the request there for a while.
    harness.report(Acquittal("stack", BAD))
    assert harness.report(request).outcome == FREE
    assert harness.state() == QUARANTINED
