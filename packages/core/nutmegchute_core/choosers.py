"""Choose the endpoint that is expected to answer a call first."""

from math import inf
from math import sqrt
from random import Random

from .demands import Demands
from .endpoints import Endpoint
from .entry_groups import EntryGroups
from .inquiries import FREE_SLOT
from .inquiries import Fullness
from .inquiries import is_nearly_full
from .inquiries import LAST_SLOT
from .inquiries import NO_SLOT
from .latencies import INITIAL_LATENCY_S
from .latencies import Mean
from .policies import Policy
from .warmups import COLD_SLOWDOWN
from .warmups import WarmUpLimit
from .warmups import WarmUps

# Candidates per decision: the endpoints that reported last and a random
# sample. Bounded, so that a decision costs the same at any pool size. Older
# reports say little: at a pool's mean load they are outdated after a few
# service times.
MAX_RECENT = 8
SAMPLE_SIZE = 8

# Age at which a report counts half, in mean latencies.
REPORT_HALF_AGE = 1.0
# Spread of the load estimate: an endpoint may queue calls even while its
# estimated load is below its slots.
LOAD_SPREAD = 1.0
# Extra time of a call to another availability zone.
ZONE_CROSSING_S = 0.002
# Traffic between availability zones is expensive: a call that can meet its
# objective in the local zone leaves it only to save at least this many mean
# latencies.
MIN_ZONE_GAIN = 1.0
# Share of the remaining objective that an estimate may use up, as a margin
# for its error.
OBJECTIVE_SHARE = 0.8
# Weight of late answers in the score. Their effect decays with time, since an
# endpoint that gets no calls cannot answer any and recover its score.
STALL_FACTOR = 1.0
# Stalled endpoints of one availability zone that make the zone suspect.
MIN_ZONE_STALLS = 2
# Age at which a stall counts half.
STALL_AGE_S = 1.0
# An endpoint's latency counts only above this multiple of the mean. Below, it
# reflects the mix of calls, and queueing that the load reports show already.
LATENCY_BAND = 1.25
# Ejections are ignored while more than this share of the pool is ejected.
MAX_EJECTED_SHARE = 0.5
# Calls that may queue at an endpoint, as a share of its slots, before the
# entry queues calls itself. Too few leave slots idle between two calls; too
# many make calls wait where more urgent ones cannot overtake them.
QUEUE_SHARE = 0.5
# Time after the end of an ejection until a trial needs no probe answer.
PROBE_WAIT_S = 16.0
# Successive answers without a report after which endpoints no longer count as
# reporting. Some answers lack a report because a cache or proxy sent them.
MAX_UNREPORTED = 8


class ZoneStalls:
    """Hold the endpoints of a zone that stalled since its last answer."""

    __slots__ = ("addresses", "last_at")

    def __init__(self) -> None:
        self.addresses: set[str] = set()
        self.last_at = 0.0


class Chooser:
    """Choose the candidate with the lowest expected time to answer."""

    __slots__ = (
        "_ejected",
        "_endpoint_set",
        "_endpoints",
        "_has_stretch",
        "_limited",
        "_mean_latency",
        "_mean_others",
        "_mean_stretch",
        "_never_reports",
        "_policy",
        "_random",
        "_recent",
        "_resets_when_full",
        "_slots",
        "_stalls",
        "_unreported",
        "demands",
        "fullness",
        "probing_enabled",
        "warm_up_limit",
    )

    def __init__(
        self,
        random: Random,
        policy: Policy,
        probing_enabled: bool,
        demands: Demands,
    ) -> None:
        self.probing_enabled = probing_enabled
        self.demands = demands
        # Endpoints whose rate limit holds.
        self._limited: list[Endpoint] = []
        self.fullness = Fullness()
        self.warm_up_limit = WarmUpLimit(WarmUps(EntryGroups()), None)
        self._random = random
        self._policy = policy
        self._endpoints: list[Endpoint] = []
        self._slots = 1.0
        self._endpoint_set: set[Endpoint] = set()
        # Ordered by the time of the last report, the latest last.
        self._recent: dict[Endpoint, None] = {}
        self._ejected: set[Endpoint] = set()
        self._stalls: dict[str, ZoneStalls] = {}
        self._mean_latency = Mean(INITIAL_LATENCY_S)
        self._mean_others = Mean(0.0)
        self._mean_stretch = Mean(1.0)
        # Whether endpoints report their stretch; None while unknown.
        self._has_stretch: bool | None = None
        self._never_reports = False
        # Whether a full endpoint that reports its load reset a connection.
        self._resets_when_full = False
        # Successive answers without a report.
        self._unreported = 0

    @property
    def latency_s(self) -> float:
        """Return the mean latency of answers, in seconds."""
        return self._mean_latency.value

    @property
    def shows_free_slots(self) -> bool:
        """Return whether reports decide where calls are sent.

        They do where endpoints report their stretch. Where they report only
        their load, they do once a full endpoint has reset a connection: a
        call that is lost in that way costs more than the load queries.
        """
        if self._has_stretch:
            return True
        return self._resets_when_full and not self._never_reports

    @property
    def never_reports(self) -> bool:
        """Return whether endpoints are known not to report their load."""
        return self._never_reports

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint may be chosen."""
        return not self._endpoints

    @property
    def limited_count(self) -> int:
        """Return the number of endpoints whose rate limit holds."""
        return len(self._limited)

    @property
    def load_per_slot(self) -> float:
        """Return the mean load from other entries per slot."""
        return self._mean_others.value / self._slots

    def update(self, endpoints: list[Endpoint], now: float) -> None:
        """Replace the endpoints that may be chosen."""
        self._endpoints = endpoints
        slots = sum(endpoint.slots for endpoint in endpoints)
        self._slots = slots / max(1, len(endpoints)) or 1.0
        self._endpoint_set = set(endpoints)
        self._ejected &= self._endpoint_set
        for endpoint in list(self._recent):
            if endpoint not in self._endpoint_set:
                del self._recent[endpoint]
        self.update_limited(now)

    def update_limited(self, now: float) -> None:
        """Find the endpoints that are limited, after a change of limits."""
        limited = []
        for endpoint in self._endpoints:
            if self.demands.rate_limits.begin(endpoint, now):
                limited.append(endpoint)
        self._limited = limited

    def opens_at(self, now: float) -> float:
        """Return when the first endpoint takes calls; at once if it may.

        This is infinite while all are left to other entries.
        """
        soonest = inf
        for endpoint in self._endpoints:
            if self.warm_up_limit.excludes(endpoint, now):
                continue
            soonest = min(soonest, self.demands.call_at(endpoint, now))
            if soonest <= now:
                break
        return soonest

    def is_resting(self, now: float) -> bool:
        """Return whether any endpoint rests."""
        rests = self.demands.rests
        return any(rests.is_resting(one, now) for one in self._endpoints)

    def limited_rate(self, now: float) -> float:
        """Return the calls a second that this entry may send.

        This is infinite unless every endpoint is limited.
        """
        if not self._limited or len(self._limited) < len(self._endpoints):
            return inf
        return sum(
            self.demands.rate_limits.rate(one, now) for one in self._limited
        )

    def limited_to_query(self, now: float) -> Endpoint | None:
        """Return a limited endpoint that a load query is due at, if any."""
        for endpoint in self._limited:
            if endpoint.is_unreachable(now):
                continue
            if self.demands.rests.is_resting(endpoint, now):
                continue
            if self.demands.rate_limits.needs_query(endpoint, now):
                return endpoint
        return None

    def choose(
        self,
        avoid: list[str],
        allow_trial: bool,
        now: float,
        within_s: float = inf,
    ) -> Endpoint | None:
        """Return the best endpoint, or None.

        ``allow_trial`` admits an ejected endpoint whose trial is due.
        ``within_s`` is the time left of the call's objective, in seconds.
        """
        best = None
        best_score = inf
        best_slot = NO_SLOT
        best_local = None
        local_score = inf
        local_slot = NO_SLOT
        for endpoint in self._eligible(avoid, allow_trial, now):
            score = self.score(endpoint, now)
            # An endpoint whose current report shows a free slot precedes
            # those whose load is only estimated.
            slot = self.slot_kind(endpoint, now)
            if (-slot, score) < (-best_slot, best_score):
                best = endpoint
                best_score = score
                best_slot = slot
            if not endpoint.local:
                continue
            if (-slot, score) < (-local_slot, local_score):
                best_local = endpoint
                local_score = score
                local_slot = slot
        if best is None:
            return self._first_allowed(avoid, allow_trial, now)
        if best_local is None or local_score > within_s * OBJECTIVE_SHARE:
            return best
        if best_slot > NO_SLOT:
            return best_local if local_slot == best_slot else best
        gain_s = local_score - best_score
        return best_local if gain_s <= MIN_ZONE_GAIN * self.latency_s else best

    def _eligible(
        self, avoid: list[str], allow_trial: bool, now: float
    ) -> list[Endpoint]:
        """Return candidates for a call; unreachable ones only if all are."""
        up: list[Endpoint] = []
        down: list[Endpoint] = []
        ignore_ejection = self._too_many_ejected()
        for endpoint in self._candidates():
            if not self._has_room(endpoint, now) or endpoint.is_full(now):
                continue
            if avoid and endpoint.address in avoid:
                continue
            if not ignore_ejection and not self._is_allowed(
                endpoint, allow_trial, now
            ):
                continue
            (down if endpoint.is_unreachable(now) else up).append(endpoint)
        return up or down

    def slot_kind(self, endpoint: Endpoint, now: float) -> int:
        """Return the kind of slot that a call sent now would get."""
        if not self.shows_free_slots or endpoint.is_full(now):
            return NO_SLOT
        if self.demands.rate_limits.is_limited(endpoint):
            return self._limited_slot_kind(endpoint, now)
        return self.fullness.slot_kind(endpoint, now)

    def _limited_slot_kind(self, endpoint: Endpoint, now: float) -> int:
        """Return the kind of slot at an endpoint that gets no load queries.

        The limit itself says that the endpoint takes the call. It comes after
        endpoints known to be free, unless news of the limit are due.
        """
        if not self.demands.allows(endpoint, now):
            return NO_SLOT
        silent = self.demands.rate_limits.is_silent(endpoint, now)
        return FREE_SLOT if silent else LAST_SLOT

    def _has_room(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.in_flight >= endpoint.slots:
            return False
        if not self.demands.allows(endpoint, now):
            return False
        return self.warm_up_limit.allows(endpoint, now)

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Estimate the time to answer a call sent now, in seconds."""
        mean_s = self._mean_latency.value
        half_age_s = REPORT_HALF_AGE * mean_s
        load = endpoint.in_flight + endpoint.estimate_others(
            self._mean_others.value, half_age_s, now
        )
        slots = endpoint.slots
        over = load + 1.0 - slots
        waiting = (over + sqrt(over * over + LOAD_SPREAD)) / 2.0
        score = mean_s * (1.0 + waiting / slots)
        score *= (
            endpoint.estimate_stretch(self._mean_stretch.value, now)
            / self._mean_stretch.value
        )
        if not endpoint.local:
            score += ZONE_CROSSING_S
        if is_nearly_full(endpoint, load):
            score *= self.fullness.factor
        band_s = LATENCY_BAND * mean_s
        if endpoint.latency_s > band_s:
            score *= max(1.0, endpoint.estimate_latency(mean_s, now) / band_s)
        if endpoint.stalled or self._stalls:
            score *= 1.0 + STALL_FACTOR * self._suspicion(endpoint, now)
        if endpoint.is_cold(now):
            score *= COLD_SLOWDOWN
        elif endpoint.joined_at is not None:
            score *= endpoint.warm_up_factor(now)
        return score

    def _suspicion(self, endpoint: Endpoint, now: float) -> float:
        suspicion = 0.0
        if endpoint.stalled:
            age_s = now - endpoint.stalled_at
            suspicion = endpoint.stalled * STALL_AGE_S / (STALL_AGE_S + age_s)
        zone = self._stalls.get(endpoint.zone)
        if zone is not None and len(zone.addresses) >= MIN_ZONE_STALLS:
            suspicion += STALL_AGE_S / (STALL_AGE_S + now - zone.last_at)
        return suspicion

    def record_load(
        self,
        endpoint: Endpoint,
        load: int,
        now: float,
        stretch: float | None = None,
    ) -> None:
        """Record an endpoint's load report."""
        endpoint.record_load(load, now, stretch)
        self._mean_others.record(endpoint.reported_others)
        self._never_reports = False
        if stretch is not None:
            self._mean_stretch.record(stretch)
            self._has_stretch = True
            self._unreported = 0
        elif self._has_stretch is None:
            self._has_stretch = False
        if endpoint not in self._endpoint_set:
            # A draining endpoint still answers; among the recent ones it
            # would become a candidate again.
            return
        self._recent.pop(endpoint, None)
        self._recent[endpoint] = None
        if len(self._recent) > MAX_RECENT:
            del self._recent[next(iter(self._recent))]

    def record_no_report(self) -> None:
        """Record an answer that reports neither load nor stretch.

        The endpoints of some services never report. A load query costs them
        as much as a call, and its answer is of no use.
        """
        self._unreported += 1
        if self._has_stretch is None or self._unreported >= MAX_UNREPORTED:
            self._has_stretch = False
            self._never_reports = True

    def record_answer(
        self, endpoint: Endpoint, latency_s: float, now: float
    ) -> None:
        """Record an answer and its latency, in seconds."""
        if self._policy.latency:
            endpoint.record_latency(latency_s, now)
        self._mean_latency.record(latency_s)
        endpoint.record_success()
        self._stalls.pop(endpoint.zone, None)
        self._ejected.discard(endpoint)

    def record_stall(
        self, endpoint: Endpoint, elapsed_s: float, now: float
    ) -> None:
        """Record a late answer, before it is known to be lost.

        If several endpoints of an availability zone stall and none there
        answers, the whole zone is suspect. Otherwise every entry would lose
        a call at each endpoint of the zone.
        """
        if not self._policy.suspicion:
            return
        endpoint.stalled += 1
        endpoint.stalled_at = now
        if self._policy.latency:
            endpoint.record_late(elapsed_s, now)
        zone = self._stalls.setdefault(endpoint.zone, ZoneStalls())
        zone.addresses.add(endpoint.address)
        zone.last_at = now

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Record a failed attempt; eject the endpoint after several."""
        if endpoint not in self._endpoint_set or not self._policy.ejection:
            return
        if endpoint.record_failure(now):
            self._ejected.add(endpoint)

    def forgive(self, endpoints: list[Endpoint]) -> None:
        """Use all endpoints again that seemed to have failed."""
        for endpoint in endpoints:
            endpoint.record_success()
        self._ejected.clear()
        self._stalls.clear()

    def is_reset_when_full(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a reset by an endpoint shows that it is full.

        Otherwise it shows a broken endpoint. Reports decide, old ones less
        than the mean load of all endpoints.
        """
        if self._never_reports:
            return False
        half_age_s = REPORT_HALF_AGE * self._mean_latency.value
        load = endpoint.in_flight + endpoint.estimate_others(
            self._mean_others.value, half_age_s, now
        )
        return is_nearly_full(endpoint, load)

    def record_full_reset(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint reset a connection since it is full."""
        endpoint.mark_full(now)
        self._resets_when_full = True

    def is_overloaded(self, endpoint: Endpoint, load: int) -> bool:
        """Return whether an endpoint has more load than it should get.

        Where endpoints report their stretch, calls queue at the entry, from
        where they can still go to any endpoint. Where endpoints slow down
        when nearly full, calls queue before that point.
        """
        if not self.shows_free_slots:
            return load > endpoint.slots * (1.0 + QUEUE_SHARE)
        if self.fullness.is_significant:
            return is_nearly_full(endpoint, load)
        return load >= endpoint.slots

    def endpoints_to_query(
        self, avoid: list[str], local_only: bool, now: float
    ) -> list[Endpoint]:
        """Return the endpoint to query next; none if a slot is known.

        ``local_only`` leaves out other availability zones. Endpoints that do
        not report their stretch are not queried unless they reset connections
        when full: their health path may wait for a slot as any call does.
        """
        if self._has_stretch is False and not self.shows_free_slots:
            return []
        found = []
        ignore_ejection = self._too_many_ejected()
        for endpoint in self._candidates():
            if not self._has_room(endpoint, now):
                continue
            if endpoint.address in avoid or (
                local_only and not endpoint.local
            ):
                continue
            if not ignore_ejection and endpoint in self._ejected:
                continue
            if endpoint.is_unreachable(now):
                continue
            if self.slot_kind(endpoint, now) == FREE_SLOT:
                return []
            if self.demands.rate_limits.is_limited(endpoint):
                # A query counts against the limit as a call does.
                continue
            found.append(endpoint)
        found.sort(key=lambda one: self.score(one, now))
        return found[:1]

    def next_ejected(self, now: float) -> Endpoint | None:
        """Return the ejected endpoint that was probed longest ago."""
        best = None
        for endpoint in self._endpoints:
            if endpoint not in self._ejected or endpoint.answered_probe:
                continue
            if now < endpoint.ejected_until:
                continue
            if self.demands.query_at(endpoint, now) > now:
                continue
            if best is None or endpoint.probed_at < best.probed_at:
                best = endpoint
        return best

    def record_probe_answer(self, endpoint: Endpoint) -> None:
        """Record a probe's answer; a trial may follow."""
        endpoint.answered_probe = True

    def _is_allowed(
        self, endpoint: Endpoint, allow_trial: bool, now: float
    ) -> bool:
        if endpoint not in self._ejected:
            return True
        if (
            now < endpoint.ejected_until
            or not allow_trial
            or endpoint.in_flight
        ):
            return False
        if not self.probing_enabled or endpoint.answered_probe:
            return True
        # A failed trial delays a caller, a failed probe does not. An endpoint
        # that answers no probe, for example because the declared path is
        # wrong, still gets a trial in the end.
        return now >= endpoint.ejected_until + PROBE_WAIT_S

    def _too_many_ejected(self) -> bool:
        # If most of the pool fails, the cause is rarely the endpoints, and
        # sending all calls to the remaining few would overload them.
        max_ejected = len(self._endpoints) * MAX_EJECTED_SHARE
        return len(self._ejected) > max_ejected

    def _candidates(self) -> list[Endpoint]:
        pool = self._endpoints
        if len(pool) <= MAX_RECENT + SAMPLE_SIZE:
            found = pool
        else:
            found = [*self._recent, *self._limited[:SAMPLE_SIZE]]
            for _ in range(SAMPLE_SIZE):
                found.append(pool[int(self._random.random() * len(pool))])
        start = int(self._random.random() * len(found)) if found else 0
        return found[start:] + found[:start]

    def _first_allowed(
        self, avoid: list[str], allow_trial: bool, now: float
    ) -> Endpoint | None:
        if len(self._endpoints) <= MAX_RECENT + SAMPLE_SIZE:
            return None
        ignore_ejection = self._too_many_ejected()
        for endpoint in self._endpoints:
            if not self._has_room(endpoint, now) or endpoint.is_full(now):
                continue
            if endpoint.address in avoid:
                continue
            if ignore_ejection or self._is_allowed(endpoint, allow_trial, now):
                return endpoint
        return None
