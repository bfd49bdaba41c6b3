"""Ask a few endpoints how they are before a call is sent to one.

Neighbours on an endpoint's vm stretch work several times over for a tenth
of a second or so, and a call that begins there keeps the pace it began
with. One entry hears of each endpoint too rarely to know: a report as old
as a service time says nothing. A question costs a millisecond and shows it.
"""

from .endpoints import Endpoint
from .latencies import Mean

# How long a report is taken for the present state; neighbours change more
# than five times a second.
FRESH_S = 0.01
# Questions go out one after the other: most often the first finds what is
# wanted, and two at once use up what may be asked in a burst. Worst two
# seconds (make bench-placing): burst 0.88 one by one, 0.86 two at once, half
# of the endpoints dark 0.68 and 0.65, with 3.0 and 3.9 questions a call.
MAX_ROUNDS = 8
# So many are asked in the entry's own availability zone.
LOCAL_ROUNDS = 5
# What an answer may take within a region, new connection included; a call
# waits no longer for what may be a lost endpoint.
QUERY_TIMEOUT_S = 0.015
# A call that finds every endpoint crowded is held at the entry: there it can
# still go to any of them, and endpoints that slow down when nearly full run
# more calls a second with a slot left free. Answers to other calls tell of
# room; where none come, somebody is asked again after so long.
REQUERY_S = 0.05
# Work that takes longer than this multiple of the usual is worth another
# question: neighbours cost two or more.
MAX_STRETCH = 1.5
# Some endpoints slow down when nearly full. Whether those of a service do
# is learned. Until enough answers tell, none is expected: held back from
# such endpoints, calls would never show that they do not slow down. A mean
# of four multiples lies on the wrong side of the bound below 4 in 100 times
# where nothing slows down and 5 in 100 at a factor of 1.7 (100,000 draws, work
# log-normal with sigma 0.3), and a slowdown that is not there fades.
NEARLY_FULL = 0.8
INITIAL_FULL_FACTOR = 1.0
MIN_ANSWERS = 4
# A slowdown below this is no reason to ask further; medians of a few answers
# differ by a tenth either way.
MIN_SLOWDOWN = 1.3
# What was learned fades with every answer from an endpoint that was not
# nearly full, so that it is tried again after some three hundred of them:
# while it keeps calls away nothing else could show that it is wrong.
SLOWDOWN_DECAY = 0.999
# An answer that a neighbour delayed says little of fullness: it counts as no
# more than this multiple, above what any nearly full endpoint takes.
MAX_MULTIPLE = 3.0
# What a call finds at an endpoint that was heard of just now: nothing, a
# last slot in which work takes longer or may do so, or one like any other.
NO_SLOT = 0
LAST_SLOT = 1
FREE_SLOT = 2
# Questions a second, as a share of what the upstreams allow all entries, and
# how many seconds' worth may be saved up: in no second do both together come
# to more than is allowed.
INQUIRY_SHARE = 2 / 3
BURST_S = 0.5


class Inquiry:
    """Follow the questions asked for one call, or for its hedge.

    A ``held`` call asks once, in any zone: the answers to other calls tell
    of its own, and asked there first it would never learn of room elsewhere
    while its zone is crowded.
    """

    __slots__ = (
        "_excluded",
        "_for_hedge",
        "_has_load",
        "_pending",
        "_queried",
        "_round",
        "round_ends_at",
    )

    def __init__(
        self, excluded: list[str], for_hedge: bool = False, held: bool = False
    ) -> None:
        self._queried: list[str] = []
        self._excluded = excluded
        self._for_hedge = for_hedge
        self._pending: set[str] = set()
        self._round = MAX_ROUNDS - 1 if held else 0
        self._has_load = False
        self.round_ends_at = 0.0

    @property
    def has_load(self) -> bool:
        """Tell whether any endpoint answered."""
        return self._has_load

    @property
    def excluded(self) -> list[str]:
        """List the addresses that were asked or tried already."""
        return [*self._excluded, *self._queried]

    @property
    def queried(self) -> list[str]:
        """List the addresses that were asked."""
        return self._queried

    @property
    def for_hedge(self) -> bool:
        """Tell whether a second attempt is to be placed."""
        return self._for_hedge

    @property
    def is_round_over(self) -> bool:
        """Tell whether every question of this round has its answer."""
        return not self._pending

    @property
    def local_only(self) -> bool:
        """Tell whether to ask in this availability zone only."""
        return self._round < LOCAL_ROUNDS

    @property
    def has_rounds_left(self) -> bool:
        """Tell whether others may still be asked."""
        return self._round < MAX_ROUNDS

    @property
    def unanswered(self) -> list[str]:
        """List who has not answered in this round."""
        return sorted(self._pending)

    def begin_round(self, addresses: list[str], round_ends_at: float) -> None:
        """Begin a round that is over at a time at the latest."""
        self.round_ends_at = round_ends_at
        self._round += 1
        self._pending = set(addresses)
        self._queried = [*self._queried, *addresses]

    def record_answer(self, address: str, has_load: bool) -> bool:
        """Take a question's end; return whether this call asked it."""
        if address not in self._pending:
            return False
        self._has_load = self._has_load or has_load
        self._pending.discard(address)
        return True


class InquiryBudget:
    """Bound the questions of one entry by time."""

    __slots__ = ("_at", "_rate", "_tokens")

    def __init__(self) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at: float | None = None

    @property
    def rate(self) -> float:
        """Give how many questions a second may be asked."""
        return self._rate

    def limit(self, rate: float) -> None:
        """Take how many questions a second are this entry's."""
        self._rate = rate * INQUIRY_SHARE

    def spend(self, count: int, now: float) -> bool:
        """Take questions, if there are so many."""
        most = self._rate * BURST_S
        if self._at is None:
            self._tokens = most
        else:
            earned = (now - self._at) * self._rate
            self._tokens = min(most, self._tokens + earned)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class Fullness:
    """Learn how much longer work takes at endpoints that are nearly full.

    Answers count as multiples of what is usual for their kind of call.
    """

    __slots__ = ("_counts", "_faded", "_free", "_full")

    def __init__(self) -> None:
        self._free = Mean(1.0)
        self._full = Mean(1.0)
        self._counts = [0, 0]
        self._faded = 1.0

    @property
    def is_known(self) -> bool:
        """Tell whether enough answers have told."""
        return min(self._counts) >= MIN_ANSWERS

    @property
    def factor(self) -> float:
        """Give the slowdown, at least 1."""
        if not self.is_known:
            return INITIAL_FULL_FACTOR
        factor = self._full.value / self._free.value
        return max(1.0, factor * self._faded)

    @property
    def is_significant(self) -> bool:
        """Tell whether being nearly full is a reason to go elsewhere."""
        return self.factor > MIN_SLOWDOWN

    def record(self, full: bool, multiple: float) -> None:
        """Take an answer's time as a multiple of the usual."""
        self._counts[full] += 1
        self._faded = 1.0 if full else self._faded * SLOWDOWN_DECAY
        mean = self._full if full else self._free
        mean.record(min(multiple, MAX_MULTIPLE))

    def slot_kind(self, endpoint: Endpoint, now: float) -> int:
        """Tell what a call sent now is known to find at an endpoint."""
        age_s = endpoint.report_age_s(now)
        if age_s is None or age_s > FRESH_S:
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
    """Tell whether one more call than the load makes it nearly full."""
    return load + 1 > max(1.0, NEARLY_FULL * endpoint.slots)
