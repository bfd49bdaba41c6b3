"""Grant permits for calls, on a control replica, from its part of quotas."""

from collections.abc import Iterable
from math import exp
from math import floor
from math import inf
from math import log

import xxhash

from .organisations import Organisation
from .quotas import QuotaAsk
from .quotas import QuotaGrant
from .quotas import QuotaReply
from .quotas import QuotaRequest
from .quotas import QuotaTerms

# How long a replica grants after its last contact with a majority.
CONTACT_S = 4.0
# How long a replica that joined a group, and each replica of a group that
# shrank, leaves the share of a former member unused. That member may grant
# for CONTACT_S; the rest covers the time until it lost contact.
JOIN_S = 8.0
# Longer than any turn of the event loop. After such a pause the replica may
# have been replaced, and messages that waited meanwhile look like contact.
PAUSE_S = 1.0
# After a pause, contact counts only from this time on: longer than the age up
# to which a replica takes a message for contact (1 s).
RESUME_S = 1.5
# Requests a second for one exhausted organisation that a replica handles.
REQUESTS_PER_S = 200.0
# Longest wait for tokens that is named. A replica cannot know when another
# one has tokens.
MAX_WAIT_S = 0.5
COUNT_WINDOW_S = 1.0
COUNT_BITS = 1024
RATE_WINDOW_S = 5.0
# Guards against losing a token to rounding.
EPSILON = 1e-9


class EntryCounter:
    """Estimate how many entries asked within the last second.

    Counts bits set by hashes of the names (linear counting), so the size does
    not depend on the number of entries.
    """

    __slots__ = ("_bits", "_former_bits", "_since")

    def __init__(self) -> None:
        self._bits = 0
        self._former_bits = 0
        self._since = -inf

    def count(self, bit: int, now: float) -> float:
        """Record an entry by its bit; return the number of entries."""
        age_s = now - self._since
        if age_s >= COUNT_WINDOW_S:
            recent = age_s < 2 * COUNT_WINDOW_S
            self._former_bits = self._bits if recent else 0
            self._bits = 0
            self._since = now
        self._bits |= bit
        unset = COUNT_BITS - (self._bits | self._former_bits).bit_count()
        return COUNT_BITS * log(COUNT_BITS / max(1, unset))


class TokenBucket:
    """Hold the permits of one organisation that a replica may grant."""

    __slots__ = ("_at", "_counter", "_depth", "_rate_per_s", "_tokens")

    def __init__(self, filled_from: float) -> None:
        self._tokens = 0.0
        self._rate_per_s = 0.0
        self._depth = 0.0
        self._at = filled_from
        self._counter = EntryCounter()

    def configure(self, rate_per_s: float, depth: float, now: float) -> None:
        """Change the rate and depth; excess tokens are dropped."""
        if self._depth:
            self._fill(now)
        self._rate_per_s = rate_per_s
        self._depth = depth
        self._tokens = min(self._tokens, depth)

    def fill_up(self) -> None:
        """Fill the bucket to its depth."""
        self._tokens = self._depth

    def empty(self, now: float) -> None:
        """Drop all tokens."""
        self._tokens = 0.0
        self._at = now

    def take(self, ask: QuotaAsk, bit: int, now: float) -> QuotaGrant:
        """Take tokens for an ask of the entry with a bit."""
        self._fill(now)
        waiting = max(0, ask.waiting)
        granted = min(waiting, floor(self._tokens + EPSILON))
        if granted == waiting and ask.expected > 0:
            spare = floor(self._tokens - granted - self._depth / 2)
            granted += max(0, min(ask.expected, spare))
        self._tokens = max(0.0, self._tokens - granted)
        wait_s = 0.0
        if granted < waiting:
            entries = self._counter.count(bit, now)
            wait_s = (1 - self._tokens) / self._rate_per_s
            wait_s = max(min(wait_s, MAX_WAIT_S), entries / REQUESTS_PER_S)
        return QuotaGrant(ask.organisation, granted, round(wait_s, 4))

    def _fill(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = max(self._at, now)
        self._tokens = min(
            self._depth, self._tokens + passed_s * self._rate_per_s
        )


class Usage:
    """Track the permits asked and granted a second of one organisation."""

    __slots__ = ("_asked", "_at", "_granted")

    def __init__(self, now: float) -> None:
        self._asked = 0.0
        self._granted = 0.0
        self._at = now

    def record(self, asked: int, granted: int, now: float) -> None:
        """Record an ask."""
        self._decay(now)
        self._asked += asked
        self._granted += granted

    def per_s(self, now: float) -> tuple[float, float]:
        """Return the permits asked and granted, per second."""
        self._decay(now)
        return self._asked / RATE_WINDOW_S, self._granted / RATE_WINDOW_S

    def _decay(self, now: float) -> None:
        kept = exp((self._at - now) / RATE_WINDOW_S)
        self._asked *= kept
        self._granted *= kept
        self._at = now


class QuotaAllocator:
    """Grant the permits of one replica's part of every quota.

    ``now`` is in seconds of a clock that also runs while the vm is suspended.
    Grants depend on no other replica and are not stored. ``started_at`` is
    when the replica's process started: it has granted nothing since, so its
    buckets fill from then on.
    """

    __slots__ = (
        "_buckets",
        "_contact_at",
        "_divided",
        "_divisor",
        "_limit_ended_at",
        "_grants_from",
        "_known",
        "_limited",
        "_member",
        "_next_divisor",
        "_next_divisor_at",
        "_seen_at",
        "_started_at",
        "_terms",
        "_trusted_from",
        "_usage",
    )

    def __init__(self, terms: QuotaTerms, started_at: float) -> None:
        self._terms = terms
        self._started_at = started_at
        self._buckets: dict[str, TokenBucket] = {}
        self._limited: dict[str, Organisation] = {}
        # When limits of organisations ended, kept for one window: a limit
        # that returns sooner must not grant its burst a second time.
        self._limit_ended_at: dict[str, float] = {}
        self._known: set[str] = set()
        self._usage: dict[str, Usage] = {}
        # The number of parts that each quota is divided into, and a lower
        # one that applies at a later time.
        self._divisor = 0
        self._next_divisor = 0
        self._next_divisor_at = inf
        self._contact_at = -inf
        # Contact before this time does not count.
        self._trusted_from = started_at
        # Whether this replica is a member, None until that is known.
        self._member: bool | None = None
        # No grants before this time.
        self._grants_from = started_at + terms.lifetime_s
        # None until the first observation: the start is no pause.
        self._seen_at: float | None = None

    @property
    def terms(self) -> QuotaTerms:
        """Return the tolerances of all quotas."""
        return self._terms

    def set_terms(self, terms: QuotaTerms, now: float) -> None:
        """Apply changed tolerances."""
        self._terms = terms
        self._divide(now)

    def observe(
        self, in_contact: bool, member: bool | None, learner: bool, now: float
    ) -> None:
        """Record whether this replica is a member and in contact.

        ``member`` is None while its stored state is not loaded. Call this
        before each request and several times a second; a longer gap counts
        as a pause of the process.
        """
        self._detect_pause(now)
        self._seen_at = now
        if member is None:
            return
        if not member:
            self._member = False
            return
        if self._member is False or (self._member is None and learner):
            # A learner that starts may have joined just before.
            self._grants_from = max(self._grants_from, now + JOIN_S)
        self._member = True
        if in_contact and now >= self._trusted_from:
            self._contact_at = now

    def configure(
        self, organisations: Iterable[Organisation], replicas: int, now: float
    ) -> None:
        """Apply the organisations and the number of replicas."""
        known = set()
        limited = {}
        for one in organisations:
            known.add(one.name)
            if one.has_quota:
                limited[one.name] = one
        for name in self._buckets.keys() - limited.keys():
            del self._buckets[name]
            self._limit_ended_at[name] = now
        for name, ended_at in list(self._limit_ended_at.items()):
            if now - ended_at > self._terms.window_s:
                del self._limit_ended_at[name]
        for name in self._usage.keys() - known:
            del self._usage[name]
        self._known = known
        self._limited = limited
        self._set_replicas(replicas, now)
        self._divide(now)

    def may_grant(self, now: float) -> bool:
        """Return whether this replica grants permits at present."""
        if not self._member or now < self._grants_from or not self._divisor:
            return False
        return now - self._contact_at <= CONTACT_S

    def grant(self, request: QuotaRequest, now: float) -> QuotaReply:
        """Return the permits that an entry receives."""
        self._detect_pause(now)
        lifetime_s = self._terms.lifetime_s
        if not self.may_grant(now):
            return QuotaReply([], lifetime_s, False)
        if now >= self._next_divisor_at:
            self._divide(now)
        position = xxhash.xxh64_intdigest(request.entry.encode()) % COUNT_BITS
        grants = []
        for ask in request.asks:
            grant = self._grant_one(ask, 1 << position, now)
            if grant is None:
                continue
            grants.append(grant)
            usage = self._usage.get(ask.organisation)
            if usage is None:
                usage = self._usage[ask.organisation] = Usage(now)
            usage.record(ask.waiting, grant.granted, now)
        return QuotaReply(grants, lifetime_s, True)

    def largest(
        self, count: int, now: float
    ) -> list[tuple[str, float, float]]:
        """Return the organisations with the largest demand.

        Each has its name, and the permits asked and granted a second.
        """
        rows = []
        for name, usage in self._usage.items():
            rows.append((name, *usage.per_s(now)))
        rows.sort(key=lambda row: (-row[1], row[0]))
        return rows[:count]

    def _grant_one(
        self, ask: QuotaAsk, bit: int, now: float
    ) -> QuotaGrant | None:
        bucket = self._buckets.get(ask.organisation)
        if bucket is not None:
            return bucket.take(ask, bit, now)
        if ask.organisation not in self._known:
            return None
        # It is not limited here, so the entry's configuration is older, or
        # this replica's is, for no longer than it may grant without contact.
        wanted = max(0, ask.waiting) + max(0, ask.expected)
        return QuotaGrant(ask.organisation, wanted, 0.0)

    def _set_replicas(self, replicas: int, now: float) -> None:
        self._apply_next_divisor(now)
        if replicas >= self._divisor:
            self._divisor = replicas
            self._next_divisor_at = inf
            return
        if self._next_divisor_at == inf or replicas != self._next_divisor:
            self._next_divisor = replicas
            self._next_divisor_at = now + JOIN_S

    def _apply_next_divisor(self, now: float) -> None:
        if now >= self._next_divisor_at:
            self._divisor = self._next_divisor
            self._next_divisor_at = inf

    def _divide(self, now: float) -> None:
        """Set each bucket to this replica's part of the quota."""
        self._apply_next_divisor(now)
        parts = max(1, self._divisor)
        # Within a window of the start an organisation that is new here may
        # have used its quota before: the tree is empty until the log is
        # applied.
        recent_s = self._terms.window_s + self._terms.lifetime_s
        is_starting = now - self._started_at <= recent_s
        for name, one in self._limited.items():
            bucket = self._buckets.get(name)
            is_new = bucket is None and name not in self._limit_ended_at
            if bucket is None:
                returns = name in self._limit_ended_at
                filled_from = now if returns else self._started_at
                bucket = self._buckets[name] = TokenBucket(filled_from)
            depth = max(1.0, (one.burst + self._terms.slack / 2) / parts)
            bucket.configure(one.rate_per_s / parts, depth, now)
            if is_new and not is_starting:
                # The limit is new, so none of it has been used.
                bucket.fill_up()

    def _detect_pause(self, now: float) -> None:
        if self._seen_at is not None and now - self._seen_at > PAUSE_S:
            self._restart(now)

    def _restart(self, now: float) -> None:
        self._contact_at = -inf
        self._trusted_from = now + RESUME_S
        self._grants_from = max(
            self._grants_from, now + self._terms.lifetime_s
        )
        self._seen_at = now
        for bucket in self._buckets.values():
            bucket.empty(now)
