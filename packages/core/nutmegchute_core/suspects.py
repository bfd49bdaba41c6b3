"""Track, on one entry, which requests may have crashed endpoints."""

from collections import OrderedDict

from .quarantines import Acquittal
from .quarantines import Crash
from .quarantines import FREE
from .quarantines import Key
from .quarantines import QUARANTINED
from .quarantines import QuarantineUpdate
from .quarantines import Report
from .quarantines import Ruling
from .quarantines import SUSPECT
from .quarantines import TRY
from .quarantines import WAIT
from .quarantines import WATCHED

# Requests answered most recently that an entry remembers; frequent ones are
# among them.
MAX_ANSWERED = 2048
# How long an entry suspects a request on its own, until control reports the
# case or that there is none.
LOCAL_CASE_S = 60.0
# Successive crashes after which an entry without control refuses a request.
MAX_LOCAL_CRASHES = 3
MAX_LOCAL_CASES = 1024
# Pause before the next trial request without control.
LOCAL_WAIT_S = 0.2


class LocalCase:
    """Hold crashes that this entry saw and control has not reported."""

    __slots__ = ("crashes", "has_trial", "last_crash_at")

    def __init__(self, now: float) -> None:
        self.last_crash_at = now
        self.crashes = 0
        self.has_trial = False


class ReportedCase:
    """Hold the state of a request as control reported it."""

    __slots__ = ("cleared", "state", "until")

    def __init__(self, state: str, until: float) -> None:
        self.state = state
        self.until = until
        # Whether this entry has reported an answer since.
        self.cleared = False


class Suspects:
    """Decide which requests need a trial and collect reports to control."""

    __slots__ = (
        "_answered",
        "_answered_crashes",
        "_index",
        "_local_cases",
        "_quarantined",
        "_reported_cases",
        "_reports",
    )

    def __init__(self) -> None:
        self._reported_cases: dict[Key, ReportedCase] = {}
        # Fingerprints that are quarantined at any service.
        self._quarantined: set[str] = set()
        self._local_cases: OrderedDict[Key, LocalCase] = OrderedDict()
        self._answered: OrderedDict[Key, None] = OrderedDict()
        # Time of a crash by a request that had been answered before. That
        # crash alone does not make the request a suspect here.
        self._answered_crashes: OrderedDict[Key, float] = OrderedDict()
        self._reports: list[Report] = []
        self._index = 0

    @property
    def index(self) -> int:
        """Return the log index of the last update from control."""
        return self._index

    @property
    def has_cases(self) -> bool:
        """Return whether any request may need a trial or be refused."""
        return bool(self._reported_cases or self._local_cases)

    def pop_reports(self) -> list[Report]:
        """Return and clear the reports to control."""
        reports, self._reports = self._reports, []
        return reports

    def add_report(self, report: Report) -> None:
        """Add a report to control."""
        self._reports.append(report)

    def drop_crashes(self) -> None:
        """Forget the crashes that have not been reported to control."""
        kept: list[Report] = []
        for report in self._reports:
            if not isinstance(report, Crash):
                kept.append(report)
                continue
            key = report.service, report.fingerprint
            self._local_cases.pop(key, None)
            self._answered_crashes.pop(key, None)
        self._reports = kept

    def apply(self, update: QuarantineUpdate, now: float) -> bool:
        """Apply an update from control; return whether it was new."""
        if update.index <= self._index or update.base > self._index:
            return False
        self._index = update.index
        if update.base == 0:
            self._reported_cases = {}
        for key in update.ended:
            self._reported_cases.pop(key, None)
        for changed in update.cases:
            key = changed.service, changed.fingerprint
            self._reported_cases[key] = ReportedCase(
                changed.state, now + changed.left_s
            )
            self._local_cases.pop(key, None)
        self._quarantined = {
            fingerprint
            for (_, fingerprint), case in self._reported_cases.items()
            if case.state == QUARANTINED
        }
        return True

    def check(self, key: Key, now: float) -> Ruling:
        """Rule on a request; WAIT means that it needs a trial."""
        case = self._reported_cases.get(key)
        if case is not None and case.state == QUARANTINED:
            if now < case.until:
                return Ruling(QUARANTINED, case.until - now)
            return Ruling(WAIT)
        if case is not None and case.state == SUSPECT:
            return Ruling(WAIT)
        if case is None and key[1] in self._quarantined:
            return Ruling(WAIT)
        local_case = self._local_cases.get(key)
        if local_case is None or now - local_case.last_crash_at > LOCAL_CASE_S:
            self._local_cases.pop(key, None)
            return Ruling(FREE)
        return Ruling(WAIT)

    def decide_locally(self, key: Key, now: float) -> Ruling:
        """Rule on a trial request while control cannot be reached."""
        local_case = self._local_cases.get(key)
        if local_case is None:
            local_case = self._local_cases[key] = LocalCase(now)
        if local_case.crashes >= MAX_LOCAL_CRASHES:
            return Ruling(
                QUARANTINED, LOCAL_CASE_S - (now - local_case.last_crash_at)
            )
        if local_case.has_trial:
            return Ruling(WAIT, LOCAL_WAIT_S)
        local_case.has_trial = True
        return Ruling(TRY, alone=local_case.crashes > 1)

    def remove(self, key: Key) -> None:
        """Remove a request that control does not suspect."""
        self._local_cases.pop(key, None)
        case = self._reported_cases.get(key)
        if case is not None and case.state != WATCHED:
            del self._reported_cases[key]

    def record_crash(
        self, key: Key, process: str, trial: int, sent_at: float, now: float
    ) -> None:
        """Record that an endpoint ended while it had a request."""
        answered_before = key in self._answered and not trial
        self._reports.append(
            Crash(*key, process, trial, now - sent_at, answered_before)
        )
        if answered_before:
            del self._answered[key]
            _remember(self._answered_crashes, key, now)
            return
        if sent_at <= self._answered_crashes.get(key, -1.0):
            return
        local_case = self._local_cases.setdefault(key, LocalCase(now))
        local_case.last_crash_at = now
        local_case.crashes += 1
        local_case.has_trial = False
        while len(self._local_cases) > MAX_LOCAL_CASES:
            self._local_cases.popitem(last=False)

    def record_answer(self, key: Key) -> None:
        """Record that an endpoint answered a request."""
        self._answered[key] = None
        self._answered.move_to_end(key)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)
        report_answer = self._local_cases.pop(key, None) is not None
        report_answer |= self._answered_crashes.pop(key, None) is not None
        case = self._reported_cases.get(key)
        if case is not None and not case.cleared:
            case.cleared = True
            report_answer = True
        if report_answer:
            self._reports.append(Acquittal(*key))

    def end_trial(self, key: Key) -> None:
        """Record that a trial of this entry ended without a crash."""
        local_case = self._local_cases.get(key)
        if local_case is not None:
            local_case.has_trial = False


def _remember(kept: OrderedDict[Key, float], key: Key, now: float) -> None:
    kept[key] = now
    kept.move_to_end(key)
    if len(kept) > MAX_ANSWERED:
        kept.popitem(last=False)
