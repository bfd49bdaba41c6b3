"""Share the capacity of one service at one entry between organisations.

Start-time fair queueing: each organisation has a virtual start time that
advances with every call sent for it by 1 divided by its weight, and the
organisation with the lowest goes first ("Start-time fair queuing: a
scheduling algorithm for integrated services packet switching networks",
section 2).
"""

from collections.abc import Iterable
from math import exp

from .organisations import Organisation

# Weight of an organisation without a quota while none that waits has one.
DEFAULT_WEIGHT = 1.0
# Bounds how long the calls of an organisation that is ahead yield to others
# of its priority; less than the delay of one priority of organisations.
MAX_LEAD_S = 1.0
# Time after which an old call counts 1/e in the rate at which a kind of call
# is served.
RATE_MEMORY_S = 10.0
# A kind with fewer recent calls does not keep sending.
MIN_OFFERED = 3.0
# Share of the rate at which all calls are served below which a kind is
# starved: a quarter, with a margin for the delay of the estimate.
STARVED_SHARE = 0.3
# Share of its calls sent below which an organisation sends too many.
REFUSED_SHARE = 0.9
# Kinds whose recent calls add up to less than this are forgotten.
FORGOTTEN = 0.05
# Time between two searches for these: one takes 0.2 ms for 79 organisations.
FORGET_S = 1.0
ANONYMOUS = Organisation("", {})

Kind = tuple[str, str]


class FairShares:
    """Hold the virtual start times of the organisations that wait.

    A call sent while no other waits costs its organisation nothing. An
    organisation that returns starts at the present virtual time, so that
    none saves up credit. Each priority of organisations has its own time.
    """

    __slots__ = (
        "_finish",
        "_gap_s",
        "_mean",
        "_organisations",
        "_time",
        "_waiting",
    )

    def __init__(self) -> None:
        # By priority and name, of organisations that are ahead or wait.
        self._finish: dict[tuple[int, str], float] = {}
        self._time: dict[int, float] = {}
        self._waiting: dict[str, int] = {}
        self._organisations: dict[str, Organisation] = {}
        self._gap_s = 0.0
        # The mean weight of those with a quota; None if it is to be computed.
        self._mean: float | None = None

    @property
    def waiting(self) -> dict[str, int]:
        """Return the number of waiting calls by organisation."""
        return self._waiting

    def organisation(self, name: str) -> Organisation:
        """Return an organisation that waits."""
        return self._organisations[name]

    def add(self, organisation: Organisation) -> None:
        """Count a call that starts to wait."""
        name = organisation.name
        self._waiting[name] = self._waiting.get(name, 0) + 1
        if self._organisations.get(name) is not organisation:
            self._organisations[name] = organisation
            self._mean = None

    def remove(self, organisation: Organisation) -> None:
        """Count a call that no longer waits."""
        name = organisation.name
        self._waiting[name] -= 1
        if not self._waiting[name]:
            del self._waiting[name]
            del self._organisations[name]
            self._mean = None

    def weight(self, organisation: Organisation) -> float:
        """Return the weight of an organisation among those that wait."""
        if organisation.has_quota:
            return organisation.rate_per_s
        if self._mean is None:
            rates = [
                other.rate_per_s
                for other in self._organisations.values()
                if other.has_quota
            ]
            self._mean = sum(rates) / len(rates) if rates else DEFAULT_WEIGHT
        return self._mean

    def start(self, organisation: Organisation) -> float:
        """Return the virtual start time of an organisation's next call."""
        priority = organisation.priority
        time = self._time.get(priority, 0.0)
        return max(time, self._finish.get((priority, organisation.name), time))

    def lead_s(self, organisation: Organisation) -> float:
        """Return for how long an organisation is ahead of its share."""
        priority = organisation.priority
        lead = self.start(organisation) - self._time.get(priority, 0.0)
        if lead <= 0:
            return 0.0
        return min(MAX_LEAD_S, lead * self._unit_s(priority))

    def backlog(self, organisation: Organisation, more: int = 0) -> float:
        """Return an organisation's waiting calls divided by its weight.

        ``more`` calls are counted as if they waited.
        """
        waiting = self._waiting.get(organisation.name, 0) + more
        return waiting / self.weight(organisation)

    def count_before(
        self, organisation: Organisation, own: int, name: str, waiting: int
    ) -> int:
        """Return how many calls another organisation has sent before a call.

        ``own`` calls of its own organisation go before the call. The other
        organisation, of the same priority, has ``waiting`` calls.
        """
        other = self._organisations[name]
        until = self.start(organisation) + own / self.weight(organisation)
        calls = (until - self.start(other)) * self.weight(other) + 1
        return max(0, min(waiting, int(calls)))

    def record_send(self, organisation: Organisation, gap_s: float) -> None:
        """Charge a call to its organisation; ``gap_s`` separates two sends."""
        self._gap_s = gap_s
        if not self._waiting:
            self._finish.clear()
            self._time.clear()
            return
        start = self.start(organisation)
        finish = start + 1 / self.weight(organisation)
        unit_s = self._unit_s(organisation.priority)
        if unit_s > 0:
            finish = min(finish, start + MAX_LEAD_S / unit_s)
        self._time[organisation.priority] = start
        self._finish[organisation.priority, organisation.name] = finish
        if len(self._finish) > 2 * len(self._waiting):
            self._forget()

    def _forget(self) -> None:
        """Remove organisations that are not ahead."""
        for key, finish in list(self._finish.items()):
            if finish <= self._time[key[0]]:
                del self._finish[key]

    def _unit_s(self, priority: int) -> float:
        """Return the seconds of one unit of virtual time."""
        weights = sum(
            self.weight(other)
            for other in self._organisations.values()
            if other.priority == priority
        )
        return weights * self._gap_s


class Tally:
    """Count the recent calls of a kind that arrived and that were sent."""

    __slots__ = ("_at", "_offered", "_sent")

    def __init__(self) -> None:
        self._at = 0.0
        self._offered = 0.0
        self._sent = 0.0

    def record(self, offered: int, sent: int, now: float) -> None:
        """Count calls; earlier ones count less with time."""
        kept = exp(min(0.0, self._at - now) / RATE_MEMORY_S)
        self._at = now
        self._offered = self._offered * kept + offered
        self._sent = self._sent * kept + sent

    @property
    def offered(self) -> float:
        """Return how many calls arrived."""
        return self._offered

    @property
    def sent(self) -> float:
        """Return how many calls were sent."""
        return self._sent

    @property
    def share(self) -> float:
        """Return the share of the calls that was sent."""
        if self._offered < MIN_OFFERED:
            return 1.0
        return self._sent / self._offered


class ServedRates:
    """Compare how often each kind of call of an organisation is sent.

    Decides which kinds are starved: the order by priority and objective
    alone would send nothing of a kind while more urgent ones take all the
    capacity.
    """

    __slots__ = (
        "_by_kind",
        "_by_organisation",
        "_forget_at",
        "_organisations",
        "_total",
    )

    def __init__(self) -> None:
        self._by_kind: dict[Kind, Tally] = {}
        self._by_organisation: dict[str, Tally] = {}
        self._organisations: dict[str, Organisation] = {}
        self._total = Tally()
        self._forget_at = 0.0

    @property
    def organisations(self) -> Iterable[Organisation]:
        """Return the organisations that have sent calls recently."""
        return self._organisations.values()

    def record(
        self,
        organisation: Organisation,
        rule: str,
        offered: int,
        sent: int,
        now: float,
    ) -> None:
        """Count calls of a kind that arrived or were sent."""
        name = organisation.name
        self._organisations[name] = organisation
        tally = self._by_kind.setdefault((name, rule), Tally())
        of_organisation = self._by_organisation.setdefault(name, Tally())
        for counted in (tally, of_organisation, self._total):
            counted.record(offered, sent, now)

    def forget_idle(self, now: float) -> None:
        """Remove kinds without recent calls, once in FORGET_S."""
        if now < self._forget_at:
            return
        self._forget_at = now + FORGET_S
        for kind, tally in list(self._by_kind.items()):
            tally.record(0, 0, now)
            if tally.offered + tally.sent < FORGOTTEN:
                del self._by_kind[kind]
        for name, tally in list(self._by_organisation.items()):
            tally.record(0, 0, now)
            if tally.offered + tally.sent < FORGOTTEN:
                del self._by_organisation[name]
                del self._organisations[name]

    def share(self, kind: Kind) -> float:
        """Return the share of a kind's recent calls that was sent."""
        tally = self._by_kind.get(kind)
        return 1.0 if tally is None else tally.share

    def is_starved(self, kind: Kind) -> bool:
        """Return whether a kind is sent far less often than all calls."""
        return self.share(kind) < STARVED_SHARE * self._total.share

    def is_refused(self, organisation: Organisation) -> bool:
        """Return whether many recent calls of an organisation were refused."""
        tally = self._by_organisation.get(organisation.name)
        return tally is not None and tally.share < REFUSED_SHARE

    def sent_part(self, name: str) -> float:
        """Return an organisation's part of all calls that were sent."""
        tally = self._by_organisation.get(name)
        if tally is None or self._total.sent <= 0:
            return 0.0
        return tally.sent / self._total.sent
