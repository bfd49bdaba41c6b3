"""Decide which requests crash endpoints, from reports alone."""

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


class Bench:
    """Apply reports one by one."""

    def __init__(self, quarantine: Quarantine | None = None) -> None:
        self.quarantine = quarantine or Quarantine()
        self._index = 0
        self._tokens = 0
        self._processes = 0

    def report(self, report: Report, after_s: float = 0.1) -> Ruling:
        """Apply a report after some time."""
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
        """Report a crash of a process that did not crash before."""
        self._processes += 1
        process = process or f"i-{self._processes}"
        self.report(
            Crash(DESK, name, process, trial, sent_ago_s, answered_before)
        )

    def ask(self, name: str = BAD, after_s: float = 0.1) -> Ruling:
        """Ask for a trial under a new token."""
        self._tokens += 1
        request = TrialRequest(DESK, name, self._tokens, LEFT_S)
        return self.report(request, after_s)

    def crash_on_trial(self, name: str = BAD) -> None:
        """Let a trial crash an endpoint."""
        assert self.ask(name).outcome == TRY
        self.crash(name, self._tokens)

    def convict(self, name: str = BAD) -> None:
        """Crash three endpoints, two of them on trial."""
        self.crash(name)
        self.crash_on_trial(name)
        self.crash_on_trial(name)

    def state(self, name: str = BAD) -> str:
        """Give the state of a case, empty where there is none."""
        for one in self.quarantine.case_statuses():
            if one.fingerprint == name:
                return one.state
        return ""

    @property
    def token(self) -> int:
        """Give the token asked for last."""
        return self._tokens


def test_third_crash_quarantines() -> None:
    """Refuse a request after the third endpoint, two of them on trial."""
    bench = Bench()
    bench.crash()
    assert bench.state() == SUSPECT
    first = bench.ask()
    assert first.outcome == TRY
    assert not first.alone
    bench.crash(trial=bench.token)
    second = bench.ask()
    assert second.outcome == TRY
    assert second.alone
    bench.crash(trial=bench.token)
    assert bench.state() == QUARANTINED
    ruling = bench.ask()
    assert ruling.outcome == QUARANTINED
    assert FIRST_QUARANTINE_S - 1 < ruling.after_s <= FIRST_QUARANTINE_S


def test_one_trial_at_a_time() -> None:
    """Let one entry try while all others wait, unless it falls silent."""
    bench = Bench()
    bench.crash()
    assert bench.ask().outcome == TRY
    assert bench.ask().outcome == WAIT
    assert bench.ask(after_s=LEFT_S).outcome == WAIT
    assert bench.ask(after_s=LEFT_S).outcome == TRY


def test_answer_acquits() -> None:
    """Forget a suspect that an endpoint has answered."""
    bench = Bench()
    bench.crash()
    bench.crash_on_trial()
    bench.report(Acquittal(DESK, BAD))
    assert bench.state() == ""
    assert bench.ask().outcome == FREE


def test_crash_that_took_many_requests_proves_nothing() -> None:
    """Convict none of the requests that ran beside a crashing one."""
    bench = Bench()
    for name in (BAD, "neighbour"):
        bench.crash(name, process="i-0")
    for _ in range(5):
        bench.crash("neighbour")
    assert bench.state("neighbour") == SUSPECT


def test_same_process_counts_once() -> None:
    """Take the end of one endpoint for one crash, whoever reports it."""
    bench = Bench()
    bench.crash(process="i-0")
    for _ in range(3):
        assert bench.ask().outcome == TRY
        bench.crash(trial=bench.token, process="i-0")
    assert bench.state() == SUSPECT


def test_crash_of_a_request_that_is_answered_is_forgiven_once() -> None:
    """Watch a request that was answered before; suspect it the next time."""
    bench = Bench()
    bench.crash(answered_before=True)
    assert bench.state() == WATCHED
    assert bench.ask().outcome == FREE
    # Sent before the first crash was known: the same outage.
    bench.crash(sent_ago_s=60.0)
    assert bench.state() == WATCHED
    bench.crash(sent_ago_s=0.01)
    assert bench.state() == SUSPECT


def test_crash_is_forgiven_for_all_entries() -> None:
    """Watch a request that only some of its entries have seen answered."""
    bench = Bench()
    bench.crash()
    assert bench.state() == SUSPECT
    bench.crash(sent_ago_s=60.0, answered_before=True)
    assert bench.state() == WATCHED


def test_trial_that_was_not_sent_is_open_again() -> None:
    """Give the next call the trial of one that ended before its send."""
    bench = Bench()
    bench.crash()
    assert bench.ask().outcome == TRY
    bench.report(TrialEnd(DESK, BAD, bench.token, sent=False))
    again = bench.ask()
    assert again.outcome == TRY
    assert not again.alone


def test_quarantine_ends_with_one_trial() -> None:
    """Let a single send decide once a quarantine is over."""
    bench = Bench()
    bench.convict()
    assert bench.ask(after_s=FIRST_QUARANTINE_S / 2).outcome == QUARANTINED
    ruling = bench.ask(after_s=FIRST_QUARANTINE_S)
    assert ruling.outcome == TRY
    assert ruling.alone
    bench.crash(trial=bench.token)
    ruling = bench.ask()
    assert ruling.outcome == QUARANTINED
    assert ruling.after_s > 1.9 * FIRST_QUARANTINE_S


def test_different_bodies_push_out_no_verdict() -> None:
    """Keep within a bound what a caller can fill, and keep verdicts."""
    bench = Bench(Quarantine(max_suspects=8, max_quarantined=4))
    bench.convict()
    bench.crash("proved")
    bench.crash_on_trial("proved")
    for number in range(50):
        bench.crash(f"other-{number}")
    assert bench.state() == QUARANTINED
    assert bench.state("proved") == SUSPECT
    assert len(bench.quarantine.case_statuses()) <= 9


def test_verdict_survives_a_snapshot() -> None:
    """Keep a verdict through the loss of every process."""
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


def test_entries_are_told_what_changed() -> None:
    """Tell an entry of changes alone, and all where those are forgotten."""
    bench = Bench()
    bench.crash("first")
    known = bench.quarantine.index
    bench.crash("second")
    bench.report(Acquittal(DESK, "first"))
    news = bench.quarantine.since(known)
    assert news.base == known
    assert [one.fingerprint for one in news.cases] == ["second"]
    assert news.ended == [(DESK, "first")]
    assert bench.quarantine.since(bench.quarantine.index).cases == []
    restored = Quarantine()
    restored.restore(bench.quarantine.snapshot())
    news = restored.since(known)
    assert news.base == 0
    assert [one.fingerprint for one in news.cases] == ["second"]


def test_verdict_holds_at_other_services() -> None:
    """Let one trial decide where a quarantined request goes elsewhere."""
    bench = Bench()
    bench.convict()
    for name in ("shelf", "stack"):
        request = TrialRequest(name, BAD, 99, LEFT_S)
        ruling = bench.report(request)
        assert ruling.outcome == TRY
        assert ruling.alone
    bench.report(Crash("shelf", BAD, "i-9", 99, 0.1))
    assert bench.report(request).outcome == TRY
    again = TrialRequest("shelf", BAD, 100, LEFT_S)
    assert bench.report(again).outcome == QUARANTINED
    # An answer there is believed for a while.
    bench.report(Acquittal("stack", BAD))
    assert bench.report(request).outcome == FREE
    assert bench.state() == QUARANTINED
