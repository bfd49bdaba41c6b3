"""Hold, on one entry, the calls of requests that may crash endpoints."""

from random import Random

from .calls import ANSWERED
from .calls import Call
from .calls import Result
from .quarantines import FREE
from .quarantines import Key
from .quarantines import QuarantineUpdate
from .quarantines import Report
from .quarantines import Ruling
from .quarantines import TrialEnd
from .quarantines import TrialRequest
from .quarantines import TRY
from .quarantines import WAIT
from .suspects import Suspects
from .timers import REQUEST_TRIAL
from .timers import Timers
from .trials import Trials

# Size of the random tokens of trial requests.
TOKEN_BITS = 62


class Release:
    """Send or refuse a held call, according to a ruling."""

    __slots__ = ("call", "ruling")

    def __init__(self, call: Call, ruling: Ruling) -> None:
        self.call = call
        self.ruling = ruling


class Isolation:
    """Hold the calls of suspects and collect reports about crashes.

    Held calls are returned as releases; control receives the reports.
    """

    __slots__ = ("_random", "_suspects", "_timers", "_trials")

    def __init__(self, random: Random, timers: Timers) -> None:
        self._random = random
        self._timers = timers
        self._suspects = Suspects()
        self._trials = Trials()

    @property
    def index(self) -> int:
        """Return the log index of the last update from control."""
        return self._suspects.index

    def pop_reports(self) -> list[Report]:
        """Return and clear the reports to control."""
        return self._suspects.pop_reports()

    def drop_crashes(self) -> None:
        """Forget the crashes that this entry has not reported."""
        self._suspects.drop_crashes()

    def check(self, call: Call, now: float) -> Ruling:
        """Rule on a call; WAIT means that it needs a trial."""
        if call.trial_token or not self._suspects.has_cases:
            return Ruling(FREE)
        return self._suspects.check(call.key, now)

    def holds(self, call: Call) -> bool:
        """Return whether a call is held for a trial."""
        return self._trials.holds(call)

    def hold(self, call: Call, now: float) -> bool:
        """Hold a call for a trial; return False if too many are held."""
        if not self._trials.hold(call):
            return False
        self.request_trial(call.key, now)
        return True

    def request_trial(self, key: Key, now: float) -> None:
        """Request a trial for the oldest held call, unless one is active."""
        call = self._trials.next_call(key)
        if call is None:
            return
        token = self._random.getrandbits(TOKEN_BITS) + 1
        left_s = max(0.0, call.deadline_at - now)
        self._trials.begin_request(call, token)
        self._suspects.add_report(TrialRequest(*key, token, left_s))

    def apply_update(
        self, update: QuarantineUpdate, now: float
    ) -> list[Release]:
        """Apply the changed cases; return the calls they release."""
        releases: list[Release] = []
        if not self._suspects.apply(update, now):
            return releases
        for key in self._trials.keys:
            ruling = self._suspects.check(key, now)
            if ruling.outcome != WAIT:
                releases += self._release(key, ruling)
        return releases

    def apply_ruling(
        self, request: TrialRequest, ruling: Ruling | None, now: float
    ) -> list[Release]:
        """Apply the ruling on a trial request, None without a reply."""
        key = request.service, request.fingerprint
        call = self._trials.end_request(request.token)
        if call is None:
            if ruling is not None and ruling.outcome == TRY:
                # The call ended in the meantime.
                self._suspects.add_report(TrialEnd(*key, request.token, False))
            return []
        if ruling is None:
            ruling = self._suspects.decide_locally(key, now)
        if ruling.outcome == WAIT:
            self._trials.clear_active(key)
            self._timers.add(now + ruling.after_s, REQUEST_TRIAL, call.call_id)
            return []
        if ruling.outcome == TRY:
            self._trials.begin_trial(call)
            call.trial_token = request.token
            call.alone = ruling.alone
            return [Release(call, ruling)]
        if ruling.outcome == FREE:
            self._suspects.remove(key)
        self._trials.clear_active(key)
        return self._release(key, ruling)

    def finish_attempt(
        self,
        call: Call,
        result: Result,
        process: str,
        now: float,
        was_tried: bool = True,
    ) -> list[Release]:
        """Record an attempt's result; return the calls it releases.

        ``process`` names the process that the attempt was sent to. Unless the
        call ``was_tried``, it was not sent or a full endpoint reset its
        connection.
        """
        trial, call.trial_token = call.trial_token, 0
        call.alone = False
        key = call.key
        releases: list[Release] = []
        if result.crashed:
            sent_at = call.sent_at(result.attempt)
            self._suspects.record_crash(key, process, trial, sent_at, now)
        elif result.outcome == ANSWERED and not result.failed:
            self._suspects.record_answer(key)
            releases = self._release(key, Ruling(FREE))
        elif trial:
            self._suspects.add_report(TrialEnd(*key, trial, was_tried))
            self._suspects.end_trial(key)
        if trial:
            self._trials.remove_call(call)
            self.request_trial(key, now)
        return releases

    def end_call(self, call: Call, sent: bool) -> None:
        """Remove a call that has ended; ``sent`` says whether it was sent."""
        key = call.key
        self._trials.remove_call(call)
        other = self._trials.next_call(key)
        if other is not None:
            self._timers.add(call.arrived_at, REQUEST_TRIAL, other.call_id)
        if not call.trial_token:
            return
        self._suspects.add_report(TrialEnd(*key, call.trial_token, sent))
        self._suspects.end_trial(key)
        call.trial_token = 0

    def _release(self, key: Key, ruling: Ruling) -> list[Release]:
        return [
            Release(call, ruling) for call in self._trials.release_all(key)
        ]
