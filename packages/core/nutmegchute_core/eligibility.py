"""Know which endpoints of a service may get calls, and why none may.

Nothing goes to endpoints that leave or whose availability zone is
evacuated; those that are cold get a few calls from a few entries.
"""

from random import Random

from .choosers import Chooser
from .endpoints import Endpoint
from .rules import Service
from .warmups import WarmUpLimit
from .warmups import WarmUps

# Callers that an evacuation leaves without an endpoint come back spread
# over this span: it lasts for seconds at least.
EVACUATED_RETRY_S = (0.5, 1.5)
# Another entry may use the endpoints that are cold.
WARMING_RETRY_S = (0.1, 0.5)
# An endpoint that told of no calls so lately is taken to run none.
IDLE_REPORT_S = 0.05
EVACUATED = "every endpoint is in an evacuated availability zone"
WARMING = "every endpoint is warming up and left to other entries"


class Unavailable:
    """Say why a call cannot be served, and when to come back.

    Without ``retry_after_s`` that is when those who wait are through.
    """

    __slots__ = ("reason", "retry_after_s")

    def __init__(
        self, reason: str, retry_after_s: float | None = None
    ) -> None:
        self.reason = reason
        self.retry_after_s = retry_after_s


class Eligibility:
    """Tell a service's chooser which endpoints it may choose from."""

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
        """Take what a newer configuration says of the service."""
        self._service = service
        self._chooser.warm_up = WarmUpLimit(
            self._warm_ups, service.warm_up_per_s
        )

    def update(self, endpoints: dict[str, Endpoint]) -> None:
        """Take the endpoints that are live."""
        self._endpoints = endpoints
        for endpoint in endpoints.values():
            endpoint.evacuated = endpoint.zone in self._evacuated
        self._chooser.update(
            [one for one in endpoints.values() if one.accepts_calls]
        )

    def evacuate(self, zones: frozenset[str], now: float) -> None:
        """Take the availability zones that get nothing from now on.

        The endpoints of those that are taken back may have become cold, of
        which this entry has heard nothing yet.
        """
        taken_back = self._evacuated - zones
        for endpoint in self._endpoints.values():
            if endpoint.zone in taken_back:
                self.record_cold(endpoint, self._service.warm_up_s, now)
        self._evacuated = zones
        self.update(self._endpoints)

    def record_cold(
        self, endpoint: Endpoint, cold_s: float, now: float
    ) -> None:
        """Take word of how long an endpoint is still cold."""
        if self._chooser.warm_up.applies:
            endpoint.cold_until = now + cold_s

    def find_idle(self, avoid: list[str], now: float) -> str | None:
        """Return an endpoint that runs nothing, as far as is known."""
        for address, endpoint in self._endpoints.items():
            if address not in avoid and self._is_idle(endpoint, now):
                return address
        return None

    def unavailable(self, now: float) -> Unavailable | None:
        """Say why no call can be served here now, if so."""
        if self._chooser.is_empty:
            if not any(one.evacuated for one in self._endpoints.values()):
                return None
            pause_s = self._random.uniform(*EVACUATED_RETRY_S)
            return Unavailable(EVACUATED, pause_s)
        if not self._chooser.must_refuse(now):
            return None
        pause_s = self._random.uniform(*WARMING_RETRY_S)
        return Unavailable(WARMING, pause_s)

    def _is_idle(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.in_flight or endpoint.is_unreachable(now):
            return False
        if not endpoint.accepts_calls or now < endpoint.ejected_until:
            return False
        if not self._chooser.warm_up.allows(endpoint, now):
            return False
        if not self._chooser.reports_stretch:
            return True
        age_s = endpoint.report_age_s(now)
        if age_s is None or age_s > IDLE_REPORT_S:
            return False
        return endpoint.reported_others == 0
