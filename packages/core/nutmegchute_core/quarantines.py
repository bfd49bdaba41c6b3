"""Decide, for all entries together, which requests crash endpoints.

A crash ends every request that was running at the endpoint, so it does not
show which of them caused it: all of them become suspects. One entry at a time
sends a suspect on trial. An answer clears the suspect; a crash on trial counts
against it, and two of those quarantine the request.
"""

from collections import OrderedDict

import msgspec

# States of a case.
WATCHED = "watched"
SUSPECT = "suspect"
QUARANTINED = "quarantined"

# Outcomes of a trial request.
FREE = "free"
TRY = "try"
WAIT = "wait"

# Crashes on trial that quarantine a request.
QUARANTINE_AFTER = 2
# A quarantine ends, since a new release may have fixed the service; a single
# trial then decides. Each quarantine lasts twice as long as the one before.
# The maximum is also how long a suspect is kept.
FIRST_QUARANTINE_S = 3600.0
MAX_QUARANTINE_S = 86_400.0
# How long a watched request is kept: one whose crash did not make it a
# suspect, as it had been answered before.
WATCHED_S = 60.0
# How long the trial of an unresponsive entry blocks others, beyond the
# deadline of its call.
TRIAL_MARGIN_S = 1.0
# Pause before the next trial request while another entry has a trial.
WAIT_S = 0.25
# Bounds on the cases of each service, and on the processes of a case.
MAX_QUARANTINED = 256
MAX_SUSPECTS = 128
MAX_PROCESSES = 8
# Recently ended cases, kept so that updates can be incremental.
MAX_ENDED = 1024


class Crash(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that an endpoint ended while it had a request.

    ``process`` names the process that ended. ``trial`` is the token of the
    trial that the send belonged to, or 0. ``sent_ago_s`` is the age of the
    send. ``answered_before`` says that the entry has seen the request
    answered since its last crash.
    """

    service: str
    fingerprint: str
    process: str
    trial: int
    sent_ago_s: float
    answered_before: bool = False


class Acquittal(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that an endpoint answered a request that has a case."""

    service: str
    fingerprint: str


class TrialRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request a trial; the call has ``left_s`` seconds to its deadline."""

    service: str
    fingerprint: str
    token: int
    left_s: float


class TrialEnd(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a trial ended with neither an answer nor a crash.

    ``sent`` says whether the call was sent to an endpoint.
    """

    service: str
    fingerprint: str
    token: int
    sent: bool


Report = Crash | Acquittal | TrialRequest | TrialEnd


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """Answer a report.

    TRY: send one call; if ``alone``, to an endpoint that runs no other.
    WAIT: another call is on trial; request again after ``after_s``.
    FREE: the request is no suspect.
    QUARANTINED: the request is refused for ``after_s``.
    """

    outcome: str
    after_s: float = 0.0
    alone: bool = False


class QuarantineRequest(msgspec.Struct, frozen=True):
    """Carry the collected reports of one entry."""

    reports: list[Report]


class QuarantineReply(msgspec.Struct, frozen=True):
    """Carry the rulings in order, or only the leader's gRPC address."""

    leader: str | None
    rulings: list[Ruling] | None


class QuarantineBatch(msgspec.Struct, frozen=True, tag=True):
    """Hold one entry's reports as a log entry.

    ``elapsed_s`` is the time since the last batch of the same leader.
    """

    elapsed_s: float
    request: QuarantineRequest


class Lift(msgspec.Struct, frozen=True, tag=True):
    """Hold an operator's order to delete a case."""

    service: str
    fingerprint: str
    operator: str
    at_unix_s: float


class Rulings(msgspec.Struct, frozen=True):
    """Hold the rulings on a batch and the cases it quarantined."""

    rulings: list[Ruling]
    quarantined: list["CaseStatus"] = []


class Lifted(msgspec.Struct, frozen=True):
    """Hold the result of a lift: whether there was a case."""

    found: bool


class CaseStatus(msgspec.Struct, frozen=True):
    """Describe a case to operators.

    ``left_s`` is the remaining time of a quarantine; ``processes`` names the
    processes that ended.
    """

    service: str
    fingerprint: str
    state: str
    left_s: float = 0.0
    processes: list[str] = []


class CaseUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Describe a case to entries; ``left_s`` as in CaseStatus."""

    service: str
    fingerprint: str
    state: str
    left_s: float = 0.0


Key = tuple[str, str]


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """List the changes from log index ``base`` to ``index``.

    With a base of 0, ``cases`` lists all cases.
    """

    base: int
    index: int
    cases: list[CaseUpdate]
    ended: list[Key] = []


class Case(msgspec.Struct, array_like=True):
    """Hold the state of one suspected request."""

    service: str
    fingerprint: str
    state: str
    since_s: float
    until_s: float
    processes: list[str] = []
    trial_crashes: int = 0
    # Whether it had its first trial, which may run beside other calls.
    tried: bool = False
    trial: int = 0
    trial_until_s: float = 0.0
    quarantines: int = 0
    # Log index of the last change of state.
    changed: int = 0
    # Whether it was opened for a quarantine at another service.
    from_other_service: bool = False


class QuarantineState(msgspec.Struct, frozen=True):
    """Hold all cases for a snapshot, oldest first."""

    time_s: float = 0.0
    index: int = 0
    cases: list[Case] = []


class Quarantine:
    """Apply batches in log order, deterministically on every replica."""

    __slots__ = (
        "_cases",
        "_ended",
        "_index",
        "_max_quarantined",
        "_max_suspects",
        "_oldest_base",
        "_time_s",
    )

    def __init__(
        self,
        max_suspects: int = MAX_SUSPECTS,
        max_quarantined: int = MAX_QUARANTINED,
    ) -> None:
        self._cases: OrderedDict[Key, Case] = OrderedDict()
        self._ended: OrderedDict[Key, int] = OrderedDict()
        # Ends of cases are known only after this log index.
        self._oldest_base = 0
        self._index = 0
        self._time_s = 0.0
        self._max_suspects = max_suspects
        self._max_quarantined = max_quarantined

    @property
    def index(self) -> int:
        """Return the log index of the last change of a case."""
        return self._index

    @property
    def count(self) -> int:
        """Return the number of quarantined requests."""
        states = [case.state for case in self._cases.values()]
        return states.count(QUARANTINED)

    def apply(self, index: int, batch: QuarantineBatch) -> Rulings:
        """Apply a committed batch and rule on its reports."""
        self._time_s += max(0.0, batch.elapsed_s)
        before = self._states()
        self._expire()
        rulings = [self._handle(report) for report in batch.request.reports]
        return Rulings(rulings, self._record_changes(before, index))

    def lift(self, index: int, order: Lift) -> Lifted:
        """Delete a case by an operator's order."""
        before = self._states()
        key = order.service, order.fingerprint
        found = self._cases.pop(key, None) is not None
        self._record_changes(before, index)
        return Lifted(found)

    def since(self, index: int) -> QuarantineUpdate:
        """Return the changes since a log index."""
        base = 0 if index < self._oldest_base else index
        cases = []
        for case in self._cases.values():
            if case.changed > base:
                cases.append(
                    CaseUpdate(
                        case.service,
                        case.fingerprint,
                        case.state,
                        self._left_s(case),
                    )
                )
        ended = [key for key, at in self._ended.items() if at > base]
        return QuarantineUpdate(base, self._index, cases, ended)

    def case_statuses(self) -> list[CaseStatus]:
        """Return the statuses of all cases."""
        return [self._status(case) for case in self._cases.values()]

    def snapshot(self) -> QuarantineState:
        """Return all cases; must be encoded before the next batch."""
        return QuarantineState(
            self._time_s, self._index, list(self._cases.values())
        )

    def restore(self, state: QuarantineState) -> None:
        """Replace all cases by those of a snapshot."""
        self._time_s = state.time_s
        self._index = state.index
        self._oldest_base = state.index
        self._ended.clear()
        self._cases = OrderedDict()
        for case in state.cases:
            self._cases[case.service, case.fingerprint] = case

    def _states(self) -> dict[Key, str]:
        return {key: case.state for key, case in self._cases.items()}

    def _record_changes(
        self, before: dict[Key, str], index: int
    ) -> list[CaseStatus]:
        """Set the index of changed cases; return the new quarantines."""
        quarantined = []
        for key, case in self._cases.items():
            if before.get(key) == case.state:
                continue
            case.changed = self._index = index
            self._ended.pop(key, None)
            if case.state == QUARANTINED:
                quarantined.append(self._status(case))
        for key in before:
            if key in self._cases:
                continue
            self._index = index
            self._ended[key] = index
        while len(self._ended) > MAX_ENDED:
            _, self._oldest_base = self._ended.popitem(last=False)
        return quarantined

    def _left_s(self, case: Case) -> float:
        if case.state != QUARANTINED:
            return 0.0
        return max(0.0, case.until_s - self._time_s)

    def _status(self, case: Case) -> CaseStatus:
        return CaseStatus(
            case.service,
            case.fingerprint,
            case.state,
            self._left_s(case),
            case.processes,
        )

    def _handle(self, report: Report) -> Ruling:
        key = report.service, report.fingerprint
        case = self._cases.get(key)
        if isinstance(report, Crash):
            self._record_crash(case, report)
            return Ruling(FREE)
        if case is None:
            case = self._open_from_other_service(key)
        if case is None:
            return Ruling(FREE)
        if isinstance(report, Acquittal):
            self._clear(case)
            return Ruling(FREE)
        if isinstance(report, TrialEnd):
            if case.trial == report.token:
                case.trial = 0
                case.tried = report.sent or case.trial_crashes > 0
            return Ruling(FREE)
        return self._grant_trial(case, report)

    def _open_from_other_service(self, key: Key) -> Case | None:
        """Open a case for a request quarantined at another service.

        Routes can move between services. One trial decides such a case.
        """
        service, fingerprint = key
        for other in list(self._cases.values()):
            if other.fingerprint != fingerprint or other.state != QUARANTINED:
                continue
            case = Case(
                service,
                fingerprint,
                SUSPECT,
                since_s=self._time_s,
                until_s=self._time_s + MAX_QUARANTINE_S,
                trial_crashes=QUARANTINE_AFTER - 1,
                tried=True,
                from_other_service=True,
            )
            self._cases[key] = case
            self._drop_oldest(service, SUSPECT, self._max_suspects)
            return case
        return None

    def _clear(self, case: Case) -> None:
        if not case.from_other_service:
            del self._cases[case.service, case.fingerprint]
            return
        # Deleted, the case would be opened again by the next call, which would
        # need another trial.
        case.state = WATCHED
        case.since_s = self._time_s
        case.trial = 0
        case.trial_crashes = 0

    def _record_crash(self, case: Case | None, crash: Crash) -> None:
        if case is None:
            self._open_case(crash)
            return
        on_trial = crash.trial != 0 and crash.trial == case.trial
        if on_trial:
            case.trial = 0
        if crash.process in case.processes:
            return
        if len(case.processes) < MAX_PROCESSES:
            case.processes = [*case.processes, crash.process]
        if case.state == QUARANTINED:
            return
        if on_trial:
            self._record_trial_crash(case)
            return
        # Sends from before the first crash was known do not count as a
        # repeat: one outage may have ended many endpoints.
        is_repeat = self._time_s - crash.sent_ago_s > case.since_s
        if case.state == WATCHED and is_repeat:
            case.state = SUSPECT
        elif (
            crash.answered_before and not is_repeat and not case.trial_crashes
        ):
            # Another entry has seen the request answered.
            case.state = WATCHED

    def _open_case(self, crash: Crash) -> None:
        state = WATCHED if crash.answered_before else SUSPECT
        self._cases[crash.service, crash.fingerprint] = Case(
            crash.service,
            crash.fingerprint,
            state,
            since_s=self._time_s,
            until_s=self._time_s + MAX_QUARANTINE_S,
            processes=[crash.process],
        )
        self._drop_oldest(crash.service, state, self._max_suspects)

    def _record_trial_crash(self, case: Case) -> None:
        case.trial_crashes += 1
        if case.trial_crashes < QUARANTINE_AFTER:
            return
        case.state = QUARANTINED
        duration_s = min(
            MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0**case.quarantines
        )
        case.until_s = self._time_s + duration_s
        case.quarantines += 1
        for other in self._cases.values():
            if (
                other.fingerprint == case.fingerprint
                and not other.trial_crashes
            ):
                other.trial_crashes = QUARANTINE_AFTER - 1
        self._drop_oldest(case.service, QUARANTINED, self._max_quarantined)

    def _grant_trial(self, case: Case, request: TrialRequest) -> Ruling:
        if case.state == QUARANTINED:
            return Ruling(QUARANTINED, case.until_s - self._time_s)
        if case.state == WATCHED:
            return Ruling(FREE)
        is_open = case.trial == 0 or self._time_s > case.trial_until_s
        if not is_open and case.trial != request.token:
            return Ruling(WAIT, WAIT_S)
        case.trial = request.token
        case.trial_until_s = self._time_s + request.left_s + TRIAL_MARGIN_S
        alone = case.tried
        case.tried = True
        return Ruling(TRY, alone=alone)

    def _expire(self) -> None:
        for key, case in list(self._cases.items()):
            ttl_s = WATCHED_S if case.state == WATCHED else MAX_QUARANTINE_S
            if case.state == QUARANTINED:
                if self._time_s > case.until_s:
                    case.state = SUSPECT
                    case.trial_crashes = QUARANTINE_AFTER - 1
                    case.since_s = self._time_s
                continue
            if self._time_s - case.since_s > ttl_s:
                del self._cases[key]

    def _drop_oldest(self, service: str, state: str, limit: int) -> None:
        """Bound the cases of a service, dropping the oldest.

        Cases with crashes on trial are dropped last: many different requests
        must not displace one that repeats.
        """
        found = [
            case
            for case in self._cases.values()
            if case.service == service and case.state == state
        ]
        found.sort(key=lambda case: case.trial_crashes)
        for case in found[: max(0, len(found) - limit)]:
            del self._cases[case.service, case.fingerprint]
