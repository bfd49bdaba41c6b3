"""Choose the endpoint where a call is expected to end first."""

from math import inf
from math import sqrt
from random import Random

from .endpoints import Endpoint
from .inquiries import FREE_SLOT
from .inquiries import Fullness
from .inquiries import is_nearly_full
from .inquiries import NO_SLOT
from .latencies import INITIAL_LATENCY_S
from .latencies import Mean
from .policies import Policy
from .warmups import COLD_SLOWDOWN
from .warmups import WarmUpLimit
from .warmups import WarmUps

# Both bounds keep the cost of a decision the same at any pool size. The
# endpoints heard last are those of which anything is known: at a pool's
# mean load a report says little after a few service times.
RECENT = 8
SAMPLE = 8

# A report's age of half weight, in mean latencies.
REPORT_KEPT = 1.0
# Spread of the load estimate: even below its slots an endpoint may queue.
SPREAD = 1.0
OTHER_ZONE_S = 0.002
# Bytes between availability zones are dear: a call that can be answered
# within its objective here goes elsewhere only where that is expected to
# save this much of a usual answer's time.
OTHER_ZONE_SHARE = 1.0
# Of what is left of the objective, this much is taken for certain enough.
OBJECTIVE_SHARE = 0.8
# A suspect is passed over while others will do. Suspicion fades, for an
# endpoint that gets nothing cannot answer and so clear itself.
SUSPECT_FACTOR = 1.0
ZONE_STALLS = 2
STALL_S = 1.0
# Latency counts only beyond this multiple of the mean: below, it tells of
# the calls and of the queue that the load reports tell of already.
LATENCY_BAND = 1.25
EJECTED_MOST_SHARE = 0.5
# Work that may wait at an endpoint, as a share of its slots, before the
# entry keeps its calls back. Too little lets slots run dry between two
# calls; too much lets calls wait where none can overtake them.
QUEUE_SHARE = 0.5
PROBE_WAIT_S = 16.0
# Endpoints that have told their pace are still held to do so until so many
# answers in a row say nothing: some answers come from a cache or a proxy.
MAX_UNREPORTED = 8


class ZoneStalls:
    """Hold where answers are late since a zone's last answer."""

    __slots__ = ("addresses", "at")

    def __init__(self) -> None:
        self.addresses: set[str] = set()
        self.at = 0.0


class Chooser:
    """Score a bounded set of candidates, the best one wins."""

    __slots__ = (
        "_ejected",
        "_latency",
        "_members",
        "_order",
        "_others",
        "_policy",
        "_random",
        "_recent",
        "_slots",
        "_stalls",
        "_stretch",
        "_stretches",
        "_tells_nothing",
        "_untold",
        "fullness",
        "probed",
        "warm_up",
    )

    def __init__(self, random: Random, policy: Policy, probed: bool) -> None:
        self.probed = probed
        self.fullness = Fullness()
        self.warm_up = WarmUpLimit(WarmUps(), None)
        self._random = random
        self._policy = policy
        self._order: list[Endpoint] = []
        self._slots = 1.0
        self._members: set[Endpoint] = set()
        # A dict for its order: the endpoint heard last comes last.
        self._recent: dict[Endpoint, None] = {}
        self._ejected: set[Endpoint] = set()
        self._stalls: dict[str, ZoneStalls] = {}
        self._latency = Mean(INITIAL_LATENCY_S)
        self._others = Mean(0.0)
        self._stretch = Mean(1.0)
        # Whether endpoints tell how long work takes; None: not known yet.
        self._stretches: bool | None = None
        self._tells_nothing = False
        # Answers in a row that told nothing.
        self._untold = 0

    @property
    def latency_s(self) -> float:
        """Give the mean latency of answers, in seconds."""
        return self._latency.value

    @property
    def reports_stretch(self) -> bool:
        """Tell whether endpoints say how long work takes."""
        return bool(self._stretches)

    @property
    def never_reports(self) -> bool:
        """Tell whether endpoints are known to say nothing of their load."""
        return self._tells_nothing

    @property
    def is_empty(self) -> bool:
        """Tell whether no endpoint may be chosen."""
        return not self._order

    @property
    def load_per_slot(self) -> float:
        """Give the mean load that other entries put on a slot."""
        return self._others.value / self._slots

    def update(self, endpoints: list[Endpoint]) -> None:
        """Take the endpoints that may be chosen."""
        self._order = endpoints
        slots = sum(endpoint.slots for endpoint in endpoints)
        self._slots = slots / max(1, len(endpoints)) or 1.0
        self._members = set(endpoints)
        self._ejected &= self._members
        for endpoint in list(self._recent):
            if endpoint not in self._members:
                del self._recent[endpoint]

    def choose(
        self,
        avoid: list[str],
        trial: bool,
        now: float,
        within_s: float = inf,
    ) -> Endpoint | None:
        """Return the best endpoint; ``trial`` allows one on trial.

        ``within_s`` is what is left of the call's objective.
        """
        best = None
        best_score = inf
        best_slot = NO_SLOT
        near = None
        near_score = inf
        near_slot = NO_SLOT
        for endpoint in self._eligible(avoid, trial, now):
            score = self.score(endpoint, now)
            # One that has just told that it is free goes before those of
            # which only the mean is known.
            slot = self.slot_kind(endpoint, now)
            if (-slot, score) < (-best_slot, best_score):
                best = endpoint
                best_score = score
                best_slot = slot
            if not endpoint.local:
                continue
            if (-slot, score) < (-near_slot, near_score):
                near = endpoint
                near_score = score
                near_slot = slot
        if best is None:
            return self._any(avoid, trial, now)
        if near is None or near_score > within_s * OBJECTIVE_SHARE:
            return best
        if best_slot > NO_SLOT:
            return near if near_slot == best_slot else best
        saved_s = near_score - best_score
        return near if saved_s <= OTHER_ZONE_SHARE * self.latency_s else best

    def _eligible(
        self, avoid: list[str], trial: bool, now: float
    ) -> list[Endpoint]:
        """List who may get a call, silent ones only where all are."""
        open_ones: list[Endpoint] = []
        silent: list[Endpoint] = []
        floor = self._below_floor()
        for endpoint in self._candidates():
            if not self._has_room(endpoint, now):
                continue
            if avoid and endpoint.address in avoid:
                continue
            if not floor and not self._open(endpoint, trial, now):
                continue
            (silent if endpoint.is_unreachable(now) else open_ones).append(
                endpoint
            )
        return open_ones or silent

    def slot_kind(self, endpoint: Endpoint, now: float) -> int:
        """Tell what a call sent now is known to find at an endpoint."""
        if not self._stretches:
            return NO_SLOT
        return self.fullness.slot_kind(endpoint, now)

    def _has_room(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.in_flight >= endpoint.slots:
            return False
        return self.warm_up.allows(endpoint, now)

    def must_refuse(self, now: float) -> bool:
        """Tell whether all endpoints are cold and this entry uses none."""
        for endpoint in self._order:
            if not self.warm_up.excludes(endpoint, now):
                return False
        return bool(self._order)

    def score(self, endpoint: Endpoint, now: float) -> float:
        """Estimate when a call sent now would be answered, in seconds."""
        mean_s = self._latency.value
        kept_s = REPORT_KEPT * mean_s
        load = endpoint.in_flight + endpoint.estimate_others(
            self._others.value, kept_s, now
        )
        slots = endpoint.slots
        over = load + 1.0 - slots
        waiting = (over + sqrt(over * over + SPREAD)) / 2.0
        score = mean_s * (1.0 + waiting / slots)
        score *= (
            endpoint.estimate_stretch(self._stretch.value, now)
            / self._stretch.value
        )
        if not endpoint.local:
            score += OTHER_ZONE_S
        if is_nearly_full(endpoint, load):
            score *= self.fullness.factor
        band_s = LATENCY_BAND * mean_s
        if endpoint.latency_s > band_s:
            score *= max(1.0, endpoint.estimate_latency(mean_s, now) / band_s)
        if endpoint.stalled or self._stalls:
            score *= 1.0 + SUSPECT_FACTOR * self._suspicion(endpoint, now)
        if endpoint.is_cold(now):
            score *= COLD_SLOWDOWN
        elif endpoint.joined_at is not None:
            score *= endpoint.warm_up_factor(now)
        return score

    def _suspicion(self, endpoint: Endpoint, now: float) -> float:
        suspicion = 0.0
        if endpoint.stalled:
            age_s = now - endpoint.stalled_at
            suspicion = endpoint.stalled * STALL_S / (STALL_S + age_s)
        zone = self._stalls.get(endpoint.zone)
        if zone is not None and len(zone.addresses) >= ZONE_STALLS:
            suspicion += STALL_S / (STALL_S + now - zone.at)
        return suspicion

    def record_load(
        self,
        endpoint: Endpoint,
        load: int,
        now: float,
        stretch: float | None = None,
    ) -> None:
        """Take an endpoint's load report."""
        endpoint.record_load(load, now, stretch)
        self._others.record(endpoint.reported_others)
        self._tells_nothing = False
        if stretch is not None:
            self._stretch.record(stretch)
            self._stretches = True
            self._untold = 0
        elif self._stretches is None:
            self._stretches = False
        if endpoint not in self._members:
            # Its last answers still come in while it drains; as a recent
            # one it would be a candidate again.
            return
        self._recent.pop(endpoint, None)
        self._recent[endpoint] = None
        if len(self._recent) > RECENT:
            del self._recent[next(iter(self._recent))]

    def record_no_report(self) -> None:
        """Take an answer that tells neither load nor pace.

        The endpoints of some services tell nothing. A question costs them
        as much as a call does, and its answer is worth nothing.
        """
        self._untold += 1
        if self._stretches is None or self._untold >= MAX_UNREPORTED:
            self._stretches = False
            self._tells_nothing = True

    def record_answer(
        self, endpoint: Endpoint, latency_s: float, now: float
    ) -> None:
        """Take the time of an answer, in seconds."""
        if self._policy.latency:
            endpoint.record_latency(latency_s, now)
        self._latency.record(latency_s)
        endpoint.record_success()
        self._stalls.pop(endpoint.zone, None)
        self._ejected.discard(endpoint)

    def record_stall(
        self, endpoint: Endpoint, elapsed_s: float, now: float
    ) -> None:
        """Take word that an answer is late, before it is known to be lost.

        Several endpoints of one availability zone stalled, with no answer
        from any other there since, tell of the zone: were each endpoint
        to be tried first, every entry would lose a call at each of them.
        """
        if not self._policy.suspicion:
            return
        endpoint.stalled += 1
        endpoint.stalled_at = now
        if self._policy.latency:
            endpoint.record_late(elapsed_s, now)
        zone = self._stalls.setdefault(endpoint.zone, ZoneStalls())
        zone.addresses.add(endpoint.address)
        zone.at = now

    def record_failure(self, endpoint: Endpoint, now: float) -> None:
        """Take word that an attempt failed at an endpoint."""
        if endpoint not in self._members or not self._policy.ejection:
            return
        if endpoint.record_failure(now):
            self._ejected.add(endpoint)

    def is_overloaded(self, endpoint: Endpoint, load: int) -> bool:
        """Tell whether an endpoint has more work than does it good.

        Where endpoints tell how long work takes, a call waits here, from
        where it can still go to any of them, and not at one of them; and
        where they slow down when nearly full, it waits before that.
        """
        if not self._stretches:
            return load > endpoint.slots * (1.0 + QUEUE_SHARE)
        if self.fullness.is_significant:
            return is_nearly_full(endpoint, load)
        return load >= endpoint.slots

    def endpoints_to_query(
        self, avoid: list[str], near: bool, now: float
    ) -> list[Endpoint]:
        """Return whom to ask before a call is sent; none where it is known.

        ``near`` leaves out other availability zones. Endpoints that never
        told how long work takes are not asked: their health path may wait
        for a slot as any call does.
        """
        if self._stretches is False:
            return []
        found = []
        floor = self._below_floor()
        for endpoint in self._candidates():
            if not self._has_room(endpoint, now):
                continue
            if endpoint.address in avoid or (near and not endpoint.local):
                continue
            if not floor and endpoint in self._ejected:
                continue
            if endpoint.is_unreachable(now):
                continue
            if self.fullness.slot_kind(endpoint, now) == FREE_SLOT:
                return []
            found.append(endpoint)
        found.sort(key=lambda one: self.score(one, now))
        return found[:1]

    def next_ejected(self, now: float) -> Endpoint | None:
        """Return the ejected endpoint that was not asked for longest."""
        best = None
        for endpoint in self._order:
            if endpoint not in self._ejected or endpoint.answered_probe:
                continue
            if now < endpoint.ejected_until:
                continue
            if best is None or endpoint.probed_at < best.probed_at:
                best = endpoint
        return best

    def record_probe_answer(self, endpoint: Endpoint) -> None:
        """Take a probe's answer: a trial may follow."""
        endpoint.answered_probe = True

    def _open(self, endpoint: Endpoint, trial: bool, now: float) -> bool:
        if endpoint not in self._ejected:
            return True
        if now < endpoint.ejected_until or not trial or endpoint.in_flight:
            return False
        if not self.probed or endpoint.answered_probe:
            return True
        # A trial that fails costs a caller time, a probe does not. An
        # endpoint that answers no probe, say for a wrong path in the
        # declaration, still gets its trial in the end.
        return now >= endpoint.ejected_until + PROBE_WAIT_S

    def _below_floor(self) -> bool:
        # When most of the pool fails, the cause is rarely the endpoints;
        # sending all to the few left would take these down as well.
        most = len(self._order) * EJECTED_MOST_SHARE
        return len(self._ejected) > most

    def _candidates(self) -> list[Endpoint]:
        order = self._order
        if len(order) <= RECENT + SAMPLE:
            found = order
        else:
            found = list(self._recent)
            for _ in range(SAMPLE):
                found.append(order[int(self._random.random() * len(order))])
        start = int(self._random.random() * len(found)) if found else 0
        return found[start:] + found[:start]

    def _any(
        self, avoid: list[str], trial: bool, now: float
    ) -> Endpoint | None:
        if len(self._order) <= RECENT + SAMPLE:
            return None
        floor = self._below_floor()
        for endpoint in self._order:
            if not self._has_room(endpoint, now):
                continue
            if endpoint.address in avoid:
                continue
            if floor or self._open(endpoint, trial, now):
                return endpoint
        return None
