"""Query the load of a few endpoints before a call is sent to one.

Other load on an endpoint's vm slows work down several times over for about
a tenth of a second, and a call keeps the speed at which it starts. One entry
gets reports from each endpoint too rarely to notice: a report as old as one
service time is out of date. A load query takes about a millisecond.
"""

from .endpoints import Endpoint
from .latencies import Mean

# Age up to which a report counts as current. Other load on an endpoint's vm
# changes more than five times a second.
MAX_REPORT_AGE_S = 0.01
# Endpoints are queried one after the other: most often the first has a free
# slot, and parallel queries exhaust the budget in a burst. Share of calls
# within their objective in the worst two seconds, one and two queries at
# once: 0.88 and 0.86 in a burst, 0.68 and 0.65 with half of the endpoints
# unreachable, at 3.0 and 3.9 queries per call.
MAX_ROUNDS = 8
# Rounds that query only endpoints in the entry's own availability zone.
LOCAL_ROUNDS = 5
# Covers an answer from within the region on a new connection. A call waits
# no longer for an endpoint that may be unreachable.
QUERY_TIMEOUT_S = 0.015
# A call that finds no free slot at any endpoint is held at the entry, from
# where it can go to any of them; endpoints that slow down when nearly full
# complete more calls per second with one slot left free. Reports on answers
# to other calls show a free slot; without any, an endpoint is queried again
# after this time.
REQUERY_S = 0.05
# Above this multiple of the usual service time another endpoint is queried.
# Other load on a vm slows work down by a factor of two or more.
MAX_STRETCH = 1.5
# Some endpoints slow down when nearly full; whether those of a service do is
# estimated. Until MIN_ANSWERS answers are in, no slowdown is assumed: if
# calls avoided nearly full endpoints, no answer could show their speed. The
# mean of four multiples is on the wrong side of MIN_SLOWDOWN in 4 of 100
# cases without a slowdown and in 5 of 100 at a factor of 1.7 (log-normal
# service times, sigma 0.3). An estimate that is wrong decays.
NEARLY_FULL_SHARE = 0.8
INITIAL_FULL_FACTOR = 1.0
MIN_ANSWERS = 4
# A smaller slowdown is no reason to query further endpoints; medians of a
# few answers vary by a tenth either way.
MIN_SLOWDOWN = 1.3
# The estimate decays with each answer from an endpoint that was not nearly
# full, so that nearly full ones are tried again after about 300 of these.
# While calls avoid them, nothing else can correct a wrong estimate.
SLOWDOWN_DECAY = 0.999
# Caps answers delayed by other load on the vm, which say little about
# fullness. No endpoint is slowed down this much by being nearly full.
MAX_MULTIPLE = 3.0
# What a current report shows for a call: no usable slot, only the last slot,
# in which work takes or may take longer, or a free slot.
NO_SLOT = 0
LAST_SLOT = 1
FREE_SLOT = 2
# Rate of load queries as a share of what the upstreams allow all entries,
# and the burst in seconds of that rate. In no second do rate and burst
# together exceed the allowance.
INQUIRY_SHARE = 2 / 3
BURST_S = 0.5


class Inquiry:
    """Track the load queries sent for one call or for its hedge.

    For a ``held`` call one round is sent, in any zone: reports on answers
    to other calls cover its own zone, and while that is overloaded, local
    rounds would never find a free slot elsewhere.
    """

    __slots__ = (
        "_excluded",
        "_for_hedge",
        "_has_load",
        "_pending",
        "_queried",
        "_round",
        "_untried",
        "round_ends_at",
    )

    def __init__(
        self, excluded: list[str], for_hedge: bool = False, held: bool = False
    ) -> None:
        self._queried: list[str] = []
        self._excluded = excluded
        self._for_hedge = for_hedge
        self._pending: set[str] = set()
        self._untried: set[str] = set()
        self._round = MAX_ROUNDS - 1 if held else 0
        self._has_load = False
        self.round_ends_at = 0.0

    @property
    def has_load(self) -> bool:
        """Return whether any endpoint answered with its load."""
        return self._has_load

    @property
    def excluded(self) -> list[str]:
        """Return the addresses already queried or tried."""
        return [*self._excluded, *self._queried]

    @property
    def queried(self) -> list[str]:
        """Return the addresses queried so far."""
        return self._queried

    @property
    def for_hedge(self) -> bool:
        """Return whether the queries are for a hedge."""
        return self._for_hedge

    @property
    def is_round_over(self) -> bool:
        """Return whether every query of this round has been answered."""
        return not self._pending

    @property
    def local_only(self) -> bool:
        """Return whether to query in this availability zone only."""
        return self._round < LOCAL_ROUNDS

    @property
    def has_rounds_left(self) -> bool:
        """Return whether another round may follow."""
        return self._round < MAX_ROUNDS

    @property
    def unanswered(self) -> list[str]:
        """Return the addresses queried in vain in this round, sorted."""
        return sorted(self._pending - self._untried)

    def begin_round(self, addresses: list[str], round_ends_at: float) -> None:
        """Begin a round of queries that ends at the given time."""
        self.round_ends_at = round_ends_at
        self._round += 1
        self._pending = set(addresses)
        self._untried = set()
        self._queried = [*self._queried, *addresses]

    def record_untried(self, address: str) -> None:
        """Record that no thread was free for the query of an endpoint."""
        self._untried.add(address)

    def record_answer(self, address: str, has_load: bool) -> bool:
        """Record the end of a query; return whether this call sent it."""
        if address not in self._pending:
            return False
        self._has_load = self._has_load or has_load
        self._pending.discard(address)
        return True


class InquiryBudget:
    """Limit the rate of one entry's load queries by a token bucket."""

    __slots__ = ("_at", "_rate", "_tokens")

    def __init__(self) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at: float | None = None

    @property
    def rate(self) -> float:
        """Return the queries allowed per second."""
        return self._rate

    def limit(self, rate: float) -> None:
        """Set this entry's share of the queries per second."""
        self._rate = rate * INQUIRY_SHARE

    def spend(self, count: int, now: float) -> bool:
        """Spend ``count`` queries, if the budget allows them."""
        burst = self._rate * BURST_S
        if self._at is None:
            self._tokens = burst
        else:
            earned = (now - self._at) * self._rate
            self._tokens = min(burst, self._tokens + earned)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Fullness:
    """Estimate how much longer work takes at nearly full endpoints.

    Latencies are counted as multiples of the median of their rule.
    """

    __slots__ = ("_counts", "_decay", "_free", "_full")

    def __init__(self) -> None:
        self._free = Mean(1.0)
        self._full = Mean(1.0)
        self._counts = [0, 0]
        self._decay = 1.0

    @property
    def is_known(self) -> bool:
        """Return whether there are enough answers for an estimate."""
        return min(self._counts) >= MIN_ANSWERS

    @property
    def factor(self) -> float:
        """Return the factor by which work takes longer, at least 1."""
        if not self.is_known:
            return INITIAL_FULL_FACTOR
        factor = self._full.value / self._free.value
        return max(1.0, factor * self._decay)

    @property
    def is_significant(self) -> bool:
        """Return whether nearly full endpoints are to be avoided."""
        return self.factor > MIN_SLOWDOWN

    def record(self, full: bool, multiple: float) -> None:
        """Record a latency as a multiple of its rule's median."""
        self._counts[full] += 1
        self._decay = 1.0 if full else self._decay * SLOWDOWN_DECAY
        mean = self._full if full else self._free
        mean.record(min(multiple, MAX_MULTIPLE))

    def slot_kind(self, endpoint: Endpoint, now: float) -> int:
        """Return which kind of slot a current report shows, if any."""
        age_s = endpoint.report_age_s(now)
        if age_s is None or age_s > MAX_REPORT_AGE_S:
            return NO_SLOT
        if endpoint.stretch > MAX_STRETCH:
            return NO_SLOT
        if endpoint.spare_slots < 1:
            return NO_SLOT
        load = endpoint.slots - endpoint.spare_slots
        if not is_nearly_full(endpoint, load):
            return FREE_SLOT
        if self.is_known and not self.is_significant:
            return FREE_SLOT
        return LAST_SLOT


def is_nearly_full(endpoint: Endpoint, load: float) -> bool:
    """Return whether one more call would make an endpoint nearly full."""
    return load + 1 > max(1.0, NEARLY_FULL_SHARE * endpoint.slots)
