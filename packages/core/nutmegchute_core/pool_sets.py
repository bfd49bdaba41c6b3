"""Hold the pools of all services and the settings common to them."""

from collections.abc import Iterable
from math import inf
from random import Random

from .demands import Demands
from .evacuations import EvacuationUpdate
from .members import Announcement
from .policies import Policy
from .pools import Pool
from .rules import Service
from .warmups import WarmUps


class PoolSet:
    """Hold one pool for each service of the configuration in force."""

    __slots__ = (
        "_availability_zone",
        "_by_service",
        "_demands",
        "_evacuations",
        "_end_at",
        "_extra",
        "_inquiry_limit",
        "_policy",
        "_random",
        "_warm_ups",
    )

    def __init__(
        self,
        random: Random,
        availability_zone: str | None,
        policy: Policy,
        warm_ups: WarmUps,
        demands: Demands,
    ) -> None:
        self._random = random
        self._availability_zone = availability_zone
        self._policy = policy
        self._warm_ups = warm_ups
        self._demands = demands
        self._by_service: dict[str, Pool] = {}
        self._evacuations = EvacuationUpdate(0, [])
        self._end_at = inf
        self._extra: tuple[float, float] | None = None
        self._inquiry_limit = (0.0, 1.0)

    @property
    def evacuations(self) -> EvacuationUpdate:
        """Return the evacuated availability zones known to this entry."""
        return self._evacuations

    def get(self, service: str) -> Pool | None:
        """Return a service's pool, if it is declared."""
        return self._by_service.get(service)

    def __getitem__(self, service: str) -> Pool:
        """Return the pool of a declared service."""
        return self._by_service[service]

    def values(self) -> Iterable[Pool]:
        """Return the pools of all services."""
        return self._by_service.values()

    def items(self) -> Iterable[tuple[str, Pool]]:
        """Return the names of all services with their pools."""
        return self._by_service.items()

    def configure(self, services: dict[str, Service], now: float) -> None:
        """Apply the services that the configuration in force declares."""
        pools = {}
        for name, service in services.items():
            pool = self.get(name)
            if pool is None:
                pool = self._build(service, now)
            else:
                pool.reconfigure(service)
            pools[name] = pool
        self._by_service = pools

    def end_at(self, at: float) -> None:
        """Send only calls that are likely to end before a time."""
        self._end_at = at
        for pool in self.values():
            pool.end_at(at)

    def limit_extra_sends(self, share: float, burst: float) -> None:
        """Set this entry's share of each service's retries and hedges."""
        self._extra = (share, burst)
        for pool in self.values():
            pool.limit_extra_sends(share, burst)

    def limit_inquiries(self, per_endpoint: float, share: float) -> None:
        """Set the load queries allowed per second and endpoint."""
        if self._inquiry_limit == (per_endpoint, share):
            return
        self._inquiry_limit = (per_endpoint, share)
        for pool in self.values():
            pool.planner.limit(per_endpoint, share)

    def update(self, announcements: list[Announcement], now: float) -> None:
        """Apply the live endpoints of every service."""
        self._demands.retain({one.process_key for one in announcements}, now)
        by_service: dict[str, list[Announcement]] = {}
        for announcement in announcements:
            by_service.setdefault(announcement.service, []).append(
                announcement
            )
        for name, pool in self.items():
            pool.update(by_service.get(name, []), now)

    def evacuate(self, received: EvacuationUpdate, now: float) -> bool:
        """Apply the evacuated zones; return whether they are newer.

        A replica that was frozen or partitioned may still send old ones.
        """
        if received.index <= self._evacuations.index:
            return False
        self._evacuations = received
        for pool in self.values():
            pool.eligibility.evacuate(self._evacuated, now)
        return True

    def update_demands(self, now: float) -> None:
        """Apply a change of what endpoints ask for."""
        for pool in self.values():
            pool.update_demands(now)

    @property
    def _evacuated(self) -> frozenset[str]:
        return frozenset(self._evacuations.availability_zones)

    def _build(self, service: Service, now: float) -> Pool:
        pool = Pool(
            service,
            self._random,
            self._availability_zone,
            self._policy,
            self._warm_ups,
            self._demands,
        )
        pool.end_at(self._end_at)
        if self._extra is not None:
            pool.limit_extra_sends(*self._extra)
        pool.planner.limit(*self._inquiry_limit)
        pool.eligibility.evacuate(self._evacuated, now)
        return pool
