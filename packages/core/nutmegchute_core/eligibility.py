"""Decide which endpoints of a service may get calls, or why none may.

Draining endpoints and those in evacuated availability zones get no calls;
cold endpoints get few calls, from few entries.
"""

from random import Random

from .choosers import Chooser
from .endpoints import Endpoint
from .rules import Service
from .warmups import WarmUpLimit
from .warmups import WarmUps

# Range of Retry-After when all endpoints are evacuated, random to spread the
# retries. An evacuation lasts for seconds at least.
EVACUATED_RETRY_S = (0.5, 1.5)
# Range of Retry-After when other entries warm up all endpoints; a retry may
# reach one of those entries.
WARMING_RETRY_S = (0.1, 0.5)
# Range of Retry-After when the rate limits of all endpoints are used up or
# all rest, random to spread the retries.
CLOSED_RETRY_S = (0.1, 1.0)
# Maximum age of a report without load for an endpoint to count as idle.
IDLE_REPORT_S = 0.05
EVACUATED = "every endpoint is in an evacuated availability zone"
WARMING = "every endpoint is warming up and left to other entries"
RESTING = "every endpoint rests or takes no call in time"
LIMITED = "every endpoint limits its calls and takes none in time"


class Unavailable:
    """Hold why a call cannot be served and when to retry.

    Without ``retry_after_s``, retry when the queued calls are finished.
    """

    __slots__ = ("reason", "retry_after_s")

    def __init__(
        self, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class Eligibility:
    """Keep a service's chooser up to date with its eligible endpoints."""

    __slots__ = (
        "_chooser",
        "_endpoints",
        "_evacuated",
        "_random",
        "_service",
        "_warm_ups",
    )

    def __init__(
        self,
        chooser: Chooser,
        random: Random,
        warm_ups: WarmUps,
        service: Service,
    ) -> None:
        self._chooser = chooser
        self._random = random
        self._warm_ups = warm_ups
        self._evacuated: frozenset[str] = frozenset()
        self._endpoints: dict[str, Endpoint] = {}
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Apply a new configuration of the service."""
        self._service = service
        self._chooser.warm_up_limit = WarmUpLimit(
            self._warm_ups, service.warm_up_per_s
        )

    def update(self, endpoints: dict[str, Endpoint], now: float) -> None:
        """Replace the live endpoints."""
        self._endpoints = endpoints
        departures = self._chooser.demands.departures
        for endpoint in endpoints.values():
            endpoint.evacuated = endpoint.zone in self._evacuated
            endpoint.leaving = departures.includes(endpoint)
        self._chooser.update(
            [one for one in endpoints.values() if one.accepts_calls], now
        )

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Replace the evacuated availability zones.

        Endpoints of zones that are no longer evacuated count as cold: they may
        have become so without a report to this entry.
        """
        readmitted = self._evacuated - zones
        for endpoint in self._endpoints.values():
            if endpoint.zone in readmitted:
                self.record_cold(endpoint, self._service.warm_up_s, now)
        self._evacuated = zones
        self.update(self._endpoints, now)

    def record_cold(
        self, endpoint: Endpoint, cold_s: float, now: float
    ) -> None:
        """Record for how long an endpoint is still cold, in seconds."""
        if self._chooser.warm_up_limit.applies:
            endpoint.cold_until = now + cold_s

    def find_idle(self, avoid: list[str], now: float) -> str | None:
        """Return the address of an endpoint without known calls, if any."""
        for address, endpoint in self._endpoints.items():
            if address not in avoid and self._is_idle(endpoint, now):
                return address
        return None

    def unavailable(
        self, now: float, until: float, ahead: int
    ) -> Unavailable | None:
        """Return why no endpoint takes a call before a time, or None.

        ``ahead`` is the number of calls that go before it.
        """
        if self._chooser.is_empty:
            if not any(one.evacuated for one in self._endpoints.values()):
                return None
            pause_s = self._random.uniform(*EVACUATED_RETRY_S)
            return Unavailable(EVACUATED, pause_s)
        opens_at = self._chooser.opens_at(now)
        limited_rate = self._chooser.limited_rate(now)
        if limited_rate:
            opens_at += ahead / limited_rate
        if opens_at <= max(now, until):
            return None
        if self._chooser.is_resting(now):
            return Unavailable(RESTING, self._closed_pause_s(opens_at - now))
        if self._chooser.limited_count:
            return Unavailable(LIMITED, self._closed_pause_s(opens_at - now))
        pause_s = self._random.uniform(*WARMING_RETRY_S)
        return Unavailable(WARMING, pause_s)

    def _closed_pause_s(self, closed_s: float) -> float:
        """Return the Retry-After of a call that no endpoint takes now.

        A retry most often comes to another entry, to which the endpoints may
        be open at once.
        """
        first_s, last_s = CLOSED_RETRY_S
        return self._random.uniform(
            first_s, max(first_s, min(closed_s, last_s))
        )

    def _is_idle(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.in_flight or endpoint.is_unreachable(now):
            return False
        if not endpoint.accepts_calls or now < endpoint.ejected_until:
            return False
        if not self._chooser.warm_up_limit.allows(endpoint, now):
            return False
        if not self._chooser.demands.allows(endpoint, now):
            return False
        if self._chooser.demands.rate_limits.is_limited(endpoint):
            return True
        if not self._chooser.shows_free_slots:
            return True
        age_s = endpoint.report_age_s(now)
        if age_s is None or age_s > IDLE_REPORT_S:
            return False
        return endpoint.reported_others == 0
