"""Know, on one entry, which requests may have crashed their endpoints."""

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

# Requests that were answered lately; popular ones are among them.
MOST_ANSWERED = 2048
# How long this entry suspects a request by itself, until it is told of the
# case or hears that there is none.
OWN_S = 60.0
# Without control an entry decides by its own crashes: so many in a row.
OWN_CRASHES = 3
MOST_OWN = 1024
OWN_WAIT_S = 0.2


class OwnCase:
    """Hold crashes that this entry saw and control has not told of."""

    __slots__ = ("at", "crashes", "trying")

    def __init__(self, now: float) -> None:
        self.at = now
        self.crashes = 0
        self.trying = False


class Told:
    """Hold what control told of a request."""

    __slots__ = ("acquitted", "state", "until")

    def __init__(self, state: str, until: float) -> None:
        self.state = state
        self.until = until
        # Whether this entry has reported an answer since.
        self.acquitted = False


class Suspects:
    """Tell which calls may go, and gather what control must hear."""

    __slots__ = (
        "_answered",
        "_forgiven",
        "_index",
        "_own",
        "_quarantined",
        "_reports",
        "_told",
    )

    def __init__(self) -> None:
        self._told: dict[Key, Told] = {}
        # Fingerprints that are quarantined at any service.
        self._quarantined: set[str] = set()
        self._own: OrderedDict[Key, OwnCase] = OrderedDict()
        self._answered: OrderedDict[Key, None] = OrderedDict()
        # When a crash of a request that had been answered was forgiven.
        self._forgiven: OrderedDict[Key, float] = OrderedDict()
        self._reports: list[Report] = []
        self._index = 0

    @property
    def index(self) -> int:
        """Return the log index of what control told last."""
        return self._index

    @property
    def any(self) -> bool:
        """Return whether there is any request that is not simply sent."""
        return bool(self._told or self._own)

    def drain(self) -> list[Report]:
        """Take what control must hear."""
        reports, self._reports = self._reports, []
        return reports

    def add(self, report: Report) -> None:
        """Add something that control must hear."""
        self._reports.append(report)

    def take(self, news: QuarantineUpdate, now: float) -> bool:
        """Take what changed; return whether anything did."""
        if news.index <= self._index or news.base > self._index:
            return False
        self._index = news.index
        if news.base == 0:
            self._told = {}
        for key in news.ended:
            self._told.pop(key, None)
        for one in news.cases:
            key = one.service, one.fingerprint
            self._told[key] = Told(one.state, now + one.left_s)
            self._own.pop(key, None)
        self._quarantined = {
            fingerprint
            for (_, fingerprint), told in self._told.items()
            if told.state == QUARANTINED
        }
        return True

    def check(self, key: Key, now: float) -> Ruling:
        """Return whether a request may be sent; WAIT: only on trial."""
        told = self._told.get(key)
        if told is not None and told.state == QUARANTINED:
            if now < told.until:
                return Ruling(QUARANTINED, told.until - now)
            return Ruling(WAIT)
        if told is not None and told.state == SUSPECT:
            return Ruling(WAIT)
        if told is None and key[1] in self._quarantined:
            return Ruling(WAIT)
        own = self._own.get(key)
        if own is None or now - own.at > OWN_S:
            self._own.pop(key, None)
            return Ruling(FREE)
        return Ruling(WAIT)

    def decide(self, key: Key, now: float) -> Ruling:
        """Rule on a trial where control cannot be asked."""
        own = self._own.get(key)
        if own is None:
            own = self._own[key] = OwnCase(now)
        if own.crashes >= OWN_CRASHES:
            return Ruling(QUARANTINED, OWN_S - (now - own.at))
        if own.trying:
            return Ruling(WAIT, OWN_WAIT_S)
        own.trying = True
        return Ruling(TRY, alone=own.crashes > 1)

    def clear(self, key: Key) -> None:
        """Take word from control that a request is no suspect."""
        self._own.pop(key, None)
        told = self._told.get(key)
        if told is not None and told.state != WATCHED:
            del self._told[key]

    def note_crash(
        self, key: Key, process: str, trial: int, sent_at: float, now: float
    ) -> None:
        """Take word that an endpoint ended while a request was there."""
        answered_before = key in self._answered and not trial
        self._reports.append(
            Crash(*key, process, trial, now - sent_at, answered_before)
        )
        if answered_before:
            del self._answered[key]
            _remember(self._forgiven, key, now)
            return
        if sent_at <= self._forgiven.get(key, -1.0):
            return
        own = self._own.setdefault(key, OwnCase(now))
        own.at = now
        own.crashes += 1
        own.trying = False
        while len(self._own) > MOST_OWN:
            self._own.popitem(last=False)

    def note_answer(self, key: Key) -> None:
        """Take word that an endpoint answered a request."""
        self._answered[key] = None
        self._answered.move_to_end(key)
        if len(self._answered) > MOST_ANSWERED:
            self._answered.popitem(last=False)
        reported = self._own.pop(key, None) is not None
        reported |= self._forgiven.pop(key, None) is not None
        told = self._told.get(key)
        if told is not None and not told.acquitted:
            told.acquitted = True
            reported = True
        if reported:
            self._reports.append(Acquittal(*key))

    def end_trial(self, key: Key) -> None:
        """Take word that a trial of this entry ended without a crash."""
        own = self._own.get(key)
        if own is not None:
            own.trying = False


def _remember(kept: OrderedDict[Key, float], key: Key, now: float) -> None:
    kept[key] = now
    kept.move_to_end(key)
    if len(kept) > MOST_ANSWERED:
        kept.popitem(last=False)
