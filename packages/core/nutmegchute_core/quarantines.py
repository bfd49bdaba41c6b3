"""Decide, for all entries together, which requests crash their endpoints.

An endpoint that ends takes every request that was running there with it, so
that one crash proves nothing. It makes those requests suspects. A suspect is
tried by one entry at a time: an endpoint that answers acquits it, and one
that ends under it as well is a proof. Two proofs quarantine a request.
"""

from collections import OrderedDict

import msgspec

# What a case is.
WATCHED = "watched"
SUSPECT = "suspect"
QUARANTINED = "quarantined"

# What an entry is told that wants to send a suspect.
FREE = "free"
TRY = "try"
WAIT = "wait"

PROOFS = 2
# A quarantine ends, since a release may have mended the service; then one
# send decides. Each one lasts twice as long as the one before.
FIRST_QUARANTINE_S = 3600.0
LONGEST_S = 86_400.0
# A request whose crash was forgiven is forgotten after so long.
WATCHED_S = 60.0
# How long the trial of an entry that falls silent keeps others waiting,
# beyond the time that its call has left.
TRIAL_MARGIN_S = 1.0
# When to ask again while another entry tries.
WAIT_S = 0.25
# Bounds of what is kept for each service, and of the evidence for a case.
MOST_QUARANTINED = 256
MOST_SUSPECTS = 128
MOST_EVIDENCE = 8
# Cases that ended lately, so that entries need not be told of all others.
MOST_ENDED = 1024


class Crash(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that an endpoint ended while a request was with it.

    ``process`` names the start of the endpoint; ``trial`` is the token of
    the trial that the send was, or 0. ``sent_ago_s`` is the age of the send.
    A ``forgivable`` crash took a request that the entry had seen answered
    since the last one.
    """

    service: str
    fingerprint: str
    process: str
    trial: int
    sent_ago_s: float
    answered_before: bool = False


class Acquittal(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that an endpoint answered a request that is a case."""

    service: str
    fingerprint: str


class TrialRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Ask to send a suspect; the call has ``left_s`` seconds left."""

    service: str
    fingerprint: str
    token: int
    left_s: float


class TrialEnd(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a trial ended and proved nothing.

    ``sent`` tells whether the call had gone to an endpoint.
    """

    service: str
    fingerprint: str
    token: int
    sent: bool


Report = Crash | Acquittal | TrialRequest | TrialEnd


class Ruling(msgspec.Struct, frozen=True, array_like=True):
    """Answer a report.

    TRY lets one call go, where ``alone`` to an endpoint that runs nothing
    else. WAIT: another call is on trial; ask again after ``after_s``. FREE:
    it is no suspect. QUARANTINED: it is not sent for ``after_s``.
    """

    outcome: str
    after_s: float = 0.0
    alone: bool = False


class QuarantineRequest(msgspec.Struct, frozen=True):
    """Carry the reports that one entry gathered."""

    reports: list[Report]


class QuarantineReply(msgspec.Struct, frozen=True):
    """Return the rulings in order, or only the leader's gRPC address."""

    leader: str | None
    rulings: list[Ruling] | None


class QuarantineBatch(msgspec.Struct, frozen=True, tag=True):
    """Hold one entry's reports in the log.

    ``elapsed_s`` is the time since the same leader's last batch.
    """

    elapsed_s: float
    request: QuarantineRequest


class Lift(msgspec.Struct, frozen=True, tag=True):
    """Hold an operator's order to forget a case."""

    service: str
    fingerprint: str
    operator: str
    at_unix_s: float


class Rulings(msgspec.Struct, frozen=True):
    """Tell what became of a batch, and whom it quarantined."""

    rulings: list[Ruling]
    quarantined: list["CaseStatus"] = []


class Lifted(msgspec.Struct, frozen=True):
    """Return whether there was a case to forget."""

    found: bool


class CaseStatus(msgspec.Struct, frozen=True):
    """Show operators a case.

    ``left_s`` is how long a quarantine lasts on; ``processes`` names the
    endpoints that ended.
    """

    service: str
    fingerprint: str
    state: str
    left_s: float = 0.0
    processes: list[str] = []


class CaseUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Tell entries of a case; ``left_s`` is what a quarantine lasts on."""

    service: str
    fingerprint: str
    state: str
    left_s: float = 0.0


Key = tuple[str, str]


class QuarantineUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Lead from the cases as of log index ``base`` to those of ``index``.

    A base of 0 means that ``cases`` is all there is.
    """

    base: int
    index: int
    cases: list[CaseUpdate]
    ended: list[Key] = []


class Case(msgspec.Struct, array_like=True):
    """Hold what is known of one request."""

    service: str
    fingerprint: str
    state: str
    since_s: float
    until_s: float
    processes: list[str] = []
    proofs: int = 0
    # Whether it was tried beside other calls already.
    tried: bool = False
    trial: int = 0
    trial_until_s: float = 0.0
    times: int = 0
    # The log index at which its state changed last.
    changed: int = 0
    # Whether it is a suspect only since another service has crashed.
    carried: bool = False


class QuarantineState(msgspec.Struct, frozen=True):
    """Hold all cases in the form that snapshots keep, oldest first."""

    time_s: float = 0.0
    index: int = 0
    cases: list[Case] = []


class Quarantine:
    """Apply batches in log order; every replica reaches the same cases."""

    __slots__ = (
        "_cases",
        "_ended",
        "_forgotten",
        "_index",
        "_most_quarantined",
        "_most_suspects",
        "_time_s",
    )

    def __init__(
        self,
        max_suspects: int = MOST_SUSPECTS,
        max_quarantined: int = MOST_QUARANTINED,
    ) -> None:
        self._cases: OrderedDict[Key, Case] = OrderedDict()
        self._ended: OrderedDict[Key, int] = OrderedDict()
        # Cases that ended up to this index are not known any more.
        self._forgotten = 0
        self._index = 0
        self._time_s = 0.0
        self._most_suspects = max_suspects
        self._most_quarantined = max_quarantined

    @property
    def index(self) -> int:
        """Return the log index of the last change that entries must hear."""
        return self._index

    @property
    def count(self) -> int:
        """Count the requests in quarantine."""
        states = [case.state for case in self._cases.values()]
        return states.count(QUARANTINED)

    def apply(self, index: int, batch: QuarantineBatch) -> Rulings:
        """Apply a committed batch and answer its reports."""
        self._time_s += max(0.0, batch.elapsed_s)
        before = self._states()
        self._expire()
        rulings = [self._rule(report) for report in batch.request.reports]
        return Rulings(rulings, self._note_changes(before, index))

    def lift(self, index: int, order: Lift) -> Lifted:
        """Forget a case by an operator's order."""
        before = self._states()
        key = order.service, order.fingerprint
        found = self._cases.pop(key, None) is not None
        self._note_changes(before, index)
        return Lifted(found)

    def since(self, index: int) -> QuarantineUpdate:
        """Tell what changed since a log index."""
        base = 0 if index < self._forgotten else index
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
        """List all cases for operators."""
        return [self._evidence(case) for case in self._cases.values()]

    def snapshot(self) -> QuarantineState:
        """Return all cases; encode them before the next batch."""
        return QuarantineState(
            self._time_s, self._index, list(self._cases.values())
        )

    def restore(self, state: QuarantineState) -> None:
        """Take a snapshot's cases in place of the present ones."""
        self._time_s = state.time_s
        self._index = state.index
        self._forgotten = state.index
        self._ended.clear()
        self._cases = OrderedDict()
        for case in state.cases:
            self._cases[case.service, case.fingerprint] = case

    def _states(self) -> dict[Key, str]:
        return {key: case.state for key, case in self._cases.items()}

    def _note_changes(
        self, before: dict[Key, str], index: int
    ) -> list[CaseStatus]:
        """Date what changed; return whom it quarantined."""
        quarantined = []
        for key, case in self._cases.items():
            if before.get(key) == case.state:
                continue
            case.changed = self._index = index
            self._ended.pop(key, None)
            if case.state == QUARANTINED:
                quarantined.append(self._evidence(case))
        for key in before:
            if key in self._cases:
                continue
            self._index = index
            self._ended[key] = index
        while len(self._ended) > MOST_ENDED:
            _, self._forgotten = self._ended.popitem(last=False)
        return quarantined

    def _left_s(self, case: Case) -> float:
        if case.state != QUARANTINED:
            return 0.0
        return max(0.0, case.until_s - self._time_s)

    def _evidence(self, case: Case) -> CaseStatus:
        return CaseStatus(
            case.service,
            case.fingerprint,
            case.state,
            self._left_s(case),
            case.processes,
        )

    def _rule(self, report: Report) -> Ruling:
        key = report.service, report.fingerprint
        case = self._cases.get(key)
        if isinstance(report, Crash):
            self._take_crash(case, report)
            return Ruling(FREE)
        if case is None:
            case = self._carry(key)
        if case is None:
            return Ruling(FREE)
        if isinstance(report, Acquittal):
            self._acquit(case)
            return Ruling(FREE)
        if isinstance(report, TrialEnd):
            if case.trial == report.token:
                case.trial = 0
                case.tried = report.sent or case.proofs > 0
            return Ruling(FREE)
        return self._try(case, report)

    def _carry(self, key: Key) -> Case | None:
        """Suspect a request that is quarantined at another service.

        Routes move between services. There one trial alone decides.
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
                until_s=self._time_s + LONGEST_S,
                proofs=PROOFS - 1,
                tried=True,
                carried=True,
            )
            self._cases[key] = case
            self._drop_oldest(service, SUSPECT, self._most_suspects)
            return case
        return None

    def _acquit(self, case: Case) -> None:
        if not case.carried:
            del self._cases[case.service, case.fingerprint]
            return
        # Forgotten, it would be tried again with its next call.
        case.state = WATCHED
        case.since_s = self._time_s
        case.trial = 0
        case.proofs = 0

    def _take_crash(self, case: Case | None, crash: Crash) -> None:
        if case is None:
            self._open(crash)
            return
        on_trial = crash.trial != 0 and crash.trial == case.trial
        if on_trial:
            case.trial = 0
        if crash.process in case.processes:
            return
        if len(case.processes) < MOST_EVIDENCE:
            case.processes = [*case.processes, crash.process]
        if case.state == QUARANTINED:
            return
        if on_trial:
            self._take_proof(case)
            return
        # What was sent before the first crash was known is no repetition
        # of it: many endpoints may have ended for one reason.
        again = self._time_s - crash.sent_ago_s > case.since_s
        if case.state == WATCHED and again:
            case.state = SUSPECT
        elif crash.answered_before and not again and not case.proofs:
            # Another entry has seen it answered.
            case.state = WATCHED

    def _open(self, crash: Crash) -> None:
        state = WATCHED if crash.answered_before else SUSPECT
        self._cases[crash.service, crash.fingerprint] = Case(
            crash.service,
            crash.fingerprint,
            state,
            since_s=self._time_s,
            until_s=self._time_s + LONGEST_S,
            processes=[crash.process],
        )
        self._drop_oldest(crash.service, state, self._most_suspects)

    def _take_proof(self, case: Case) -> None:
        case.proofs += 1
        if case.proofs < PROOFS:
            return
        case.state = QUARANTINED
        lasts_s = min(LONGEST_S, FIRST_QUARANTINE_S * 2.0**case.times)
        case.until_s = self._time_s + lasts_s
        case.times += 1
        for other in self._cases.values():
            if other.fingerprint == case.fingerprint and not other.proofs:
                other.proofs = PROOFS - 1
        self._drop_oldest(case.service, QUARANTINED, self._most_quarantined)

    def _try(self, case: Case, request: TrialRequest) -> Ruling:
        if case.state == QUARANTINED:
            return Ruling(QUARANTINED, case.until_s - self._time_s)
        if case.state == WATCHED:
            return Ruling(FREE)
        free = case.trial == 0 or self._time_s > case.trial_until_s
        if not free and case.trial != request.token:
            return Ruling(WAIT, WAIT_S)
        case.trial = request.token
        case.trial_until_s = self._time_s + request.left_s + TRIAL_MARGIN_S
        alone = case.tried
        case.tried = True
        return Ruling(TRY, alone=alone)

    def _expire(self) -> None:
        for key, case in list(self._cases.items()):
            kept_s = WATCHED_S if case.state == WATCHED else LONGEST_S
            if case.state == QUARANTINED:
                if self._time_s > case.until_s:
                    case.state = SUSPECT
                    case.proofs = PROOFS - 1
                    case.since_s = self._time_s
                continue
            if self._time_s - case.since_s > kept_s:
                del self._cases[key]

    def _drop_oldest(self, service: str, state: str, most: int) -> None:
        """Keep the cases of a service within a bound.

        Those with proofs go last: requests that differ each time must not
        push out one that comes again.
        """
        found = [
            case
            for case in self._cases.values()
            if case.service == service and case.state == state
        ]
        found.sort(key=lambda case: case.proofs)
        for case in found[: max(0, len(found) - most)]:
            del self._cases[case.service, case.fingerprint]
