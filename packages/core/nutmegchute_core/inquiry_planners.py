"""Decide which endpoints of a service are queried for a call."""

from .choosers import Chooser
from .endpoints import Endpoint
from .inquiries import FREE_SLOT
from .inquiries import Inquiry
from .inquiries import InquiryBudget
from .inquiries import LAST_SLOT
from .inquiries import NO_SLOT
from .policies import Policy


class InquiryPlanner:
    """Select endpoints to query within the budget and rate their reports."""

    __slots__ = ("_budget", "_chooser", "_endpoints", "_limit", "_policy")

    def __init__(self, chooser: Chooser, policy: Policy) -> None:
        self._chooser = chooser
        self._policy = policy
        self._budget = InquiryBudget()
        self._limit = (0.0, 1.0)
        self._endpoints: dict[str, Endpoint] = {}

    @property
    def has_budget(self) -> bool:
        """Return whether any query is allowed at all."""
        return self._budget.rate > 0

    def update(self, endpoints: dict[str, Endpoint]) -> None:
        """Apply the live endpoints by address."""
        self._endpoints = endpoints
        self.limit(*self._limit)

    def limit(self, per_endpoint: float, share: float) -> None:
        """Set the queries per second of all entries, and this one's share."""
        self._limit = (per_endpoint, share)
        self._budget.limit(per_endpoint * len(self._endpoints) * share)

    def select(self, inquiry: Inquiry, now: float) -> list[str]:
        """Return the endpoints to query next, within the budget."""
        if not self._policy.inquiries:
            return []
        avoid = inquiry.excluded
        found = self._chooser.endpoints_to_query(
            avoid, inquiry.local_only, now
        )
        if (
            not found
            and inquiry.local_only
            and not self._found_last_slot(inquiry, now)
        ):
            found = self._chooser.endpoints_to_query(avoid, False, now)
        if not found or not self._budget.spend(len(found), now):
            return []
        return [endpoint.address for endpoint in found]

    def record_timeout(self, address: str, now: float) -> None:
        """Mark an endpoint that did not answer in time as unreachable."""
        endpoint = self._endpoints.get(address)
        if endpoint is None or endpoint.is_unreachable(now):
            return
        if self._policy.silence:
            endpoint.mark_unreachable(now)

    def has_free_slot(self, address: str, now: float) -> bool:
        """Return whether a call can start at once, at the usual speed."""
        return self.slot_kind(address, now) == FREE_SLOT

    def can_stop(self, inquiry: Inquiry, now: float) -> bool:
        """Return whether the slots found so far make a query needless."""
        return not inquiry.local_only and self._found_last_slot(inquiry, now)

    def slot_kind(self, address: str, now: float) -> int:
        """Return which kind of slot a current report shows, if any."""
        endpoint = self._endpoints.get(address)
        if endpoint is None:
            return NO_SLOT
        return self._chooser.slot_kind(endpoint, now)

    def _found_last_slot(self, inquiry: Inquiry, now: float) -> bool:
        # A last slot is a reason to leave the availability zone only once
        # work is known to take longer in it.
        if self._chooser.fullness.is_significant:
            return False
        for address in inquiry.queried:
            if self.slot_kind(address, now) == LAST_SLOT:
                return True
        return False
