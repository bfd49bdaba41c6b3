"""Keep, on one entry, suspects apart from the calls that simply go."""

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

TOKEN_BITS = 62


class Release:
    """Let a held call go, or refuse it, as a ruling says."""

    __slots__ = ("call", "ruling")

    def __init__(self, call: Call, ruling: Ruling) -> None:
        self.call = call
        self.ruling = ruling


class Isolation:
    """Hold the calls of suspects and learn which requests crash endpoints.

    Held calls come back as releases; reports gather for control.
    """

    __slots__ = ("_random", "_suspects", "_timers", "_trials")

    def __init__(self, random: Random, timers: Timers) -> None:
        self._random = random
        self._timers = timers
        self._suspects = Suspects()
        self._trials = Trials()

    @property
    def index(self) -> int:
        """Return the log index of the cases known."""
        return self._suspects.index

    def drain_reports(self) -> list[Report]:
        """Take what control must hear."""
        return self._suspects.drain()

    def check(self, call: Call, now: float) -> Ruling:
        """Return whether a call may simply go; WAIT: only on trial."""
        if call.trial_token or not self._suspects.any:
            return Ruling(FREE)
        return self._suspects.check(call.key, now)

    def holds(self, call: Call) -> bool:
        """Return whether a call waits for a trial."""
        return self._trials.holds(call)

    def hold(self, call: Call, now: float) -> bool:
        """Let a call wait for a trial; False says that too many do."""
        if not self._trials.hold(call):
            return False
        self.request_trial(call.key, now)
        return True

    def request_trial(self, key: Key, now: float) -> None:
        """Ask control for a trial, if a call waits and none asks."""
        call = self._trials.next(key)
        if call is None:
            return
        token = self._random.getrandbits(TOKEN_BITS) + 1
        left_s = max(0.0, call.deadline_at - now)
        self._trials.ask(call, token)
        self._suspects.add(TrialRequest(*key, token, left_s))

    def apply_update(
        self, news: QuarantineUpdate, now: float
    ) -> list[Release]:
        """Take the requests that may crash endpoints, as control tells."""
        releases: list[Release] = []
        if not self._suspects.take(news, now):
            return releases
        for key in self._trials.keys:
            ruling = self._suspects.check(key, now)
            if ruling.outcome != WAIT:
                releases += self._release(key, ruling)
        return releases

    def apply_ruling(
        self, request: TrialRequest, ruling: Ruling | None, now: float
    ) -> list[Release]:
        """Take the answer to a trial request; None: there was none."""
        key = request.service, request.fingerprint
        call = self._trials.answer(request.token)
        if call is None:
            if ruling is not None and ruling.outcome == TRY:
                # The call ended meanwhile.
                self._suspects.add(TrialEnd(*key, request.token, False))
            return []
        if ruling is None:
            ruling = self._suspects.decide(key, now)
        if ruling.outcome == WAIT:
            self._trials.wait(key)
            self._timers.add(now + ruling.after_s, REQUEST_TRIAL, call.call_id)
            return []
        if ruling.outcome == TRY:
            self._trials.begin(call)
            call.trial_token = request.token
            call.alone = ruling.alone
            return [Release(call, ruling)]
        if ruling.outcome == FREE:
            self._suspects.clear(key)
        self._trials.wait(key)
        return self._release(key, ruling)

    def finish_attempt(
        self, call: Call, result: Result, process: str, now: float
    ) -> list[Release]:
        """Learn from an attempt's end whether a request crashes endpoints.

        ``process`` names the start of the endpoint it was sent to.
        """
        trial, call.trial_token = call.trial_token, 0
        call.alone = False
        key = call.key
        releases: list[Release] = []
        if result.crashed:
            sent_at = call.sent_at(result.attempt)
            self._suspects.note_crash(key, process, trial, sent_at, now)
        elif result.outcome == ANSWERED and not result.failed:
            self._suspects.note_answer(key)
            releases = self._release(key, Ruling(FREE))
        elif trial:
            self._suspects.add(TrialEnd(*key, trial, True))
            self._suspects.end_trial(key)
        if trial:
            self._trials.end(call)
            self.request_trial(key, now)
        return releases

    def end_call(self, call: Call, sent: bool) -> None:
        """Forget a call that has ended; ``sent`` tells if it was out."""
        key = call.key
        self._trials.end(call)
        other = self._trials.next(key)
        if other is not None:
            self._timers.add(call.arrived_at, REQUEST_TRIAL, other.call_id)
        if not call.trial_token:
            return
        self._suspects.add(TrialEnd(*key, call.trial_token, sent))
        self._suspects.end_trial(key)
        call.trial_token = 0

    def _release(self, key: Key, ruling: Ruling) -> list[Release]:
        return [Release(call, ruling) for call in self._trials.release(key)]
