"""Pass the calls of an entry that is cut off to its helpers."""

from random import Random

from .calls import Call
from .calls import CUT_SHORT
from .calls import Deny
from .calls import NOT_RUN
from .calls import Refuse
from .calls import Reject
from .calls import Relay
from .calls import Result
from .calls import Throttle
from .calls import UnrunAction
from .directories import EntryInfo
from .helpers import Helpers
from .members import Announcement
from .reachability import LinkCheck
from .reachability import MayQuery
from .reachability import Reachability

# Helpers that one call is passed to in turn, while they cannot serve it.
MAX_RELAYS = 3
# Shortest time left of a call that is passed on.
MIN_RELAY_S = 0.02
# Range of Retry-After where neither this entry nor a helper reaches an
# endpoint, random to spread the retries.
CUT_OFF_RETRY_S = (0.2, 0.6)
CUT_OFF = "this entry reaches no endpoint"

UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429


class Relays:
    """Decide for one entry which calls are passed to which helper."""

    __slots__ = (
        "_announcements",
        "_by_attempt",
        "_count",
        "_paths",
        "_random",
        "helpers",
        "reachability",
    )

    def __init__(self, random: Random, may_query: MayQuery) -> None:
        self._random = random
        self._count = 0
        self._announcements: list[Announcement] = []
        self._paths: dict[str, str] = {}
        # Helper of each relayed attempt that is in flight.
        self._by_attempt: dict[tuple[int, int], EntryInfo] = {}
        self.reachability = Reachability(random, may_query)
        self.helpers = Helpers()

    @property
    def is_cut_off(self) -> bool:
        """Return whether this entry reaches no endpoint."""
        return self.reachability.is_cut_off

    @property
    def in_flight(self) -> int:
        """Return the number of calls that helpers serve now."""
        return len(self._by_attempt)

    def may_pass_on(self, call: Call, now: float) -> bool:
        """Return whether a call that is to be refused may go to a helper."""
        if not self.is_cut_off and not self.reachability.is_suspected:
            return False
        if call.is_relayed or call.is_withdrawn:
            return False
        if len(call.helpers) >= MAX_RELAYS:
            return False
        if call.deadline_at - now < MIN_RELAY_S:
            return False
        return self.helpers.choose(call.helpers, now) is not None

    def send(self, call: Call, now: float) -> Relay:
        """Pass a call on; ``may_pass_on`` must have allowed it."""
        helper = self.helpers.choose(call.helpers, now)
        assert helper is not None and helper.relay is not None
        call.helpers.append(helper.name)
        call.enter_relay()
        attempt = call.record_send(helper.relay.address, now)
        self._count += 1
        self._by_attempt[call.call_id, attempt] = helper
        self.helpers.record_send(helper.name, self._count)
        return Relay(
            call_id=call.call_id,
            attempt=attempt,
            endpoint=helper.relay.address,
            remaining_s=call.deadline_at - now,
            basis={"helper": helper.name},
            sent_at=now,
            token=helper.relay.token,
            may_have_run=call.may_have_run,
        )

    def is_relay(self, call_id: int, attempt: int) -> bool:
        """Return whether an attempt in flight is at a helper."""
        return (call_id, attempt) in self._by_attempt

    def record_cancel(self, call_id: int, attempt: int) -> None:
        """Record that an attempt was cancelled, if it was at a helper."""
        helper = self._by_attempt.pop((call_id, attempt), None)
        if helper is not None:
            self.helpers.record_end(helper.name)

    def record_result(self, result: Result, now: float) -> None:
        """Record how the attempt at a helper ended."""
        helper = self._by_attempt.pop((result.call_id, result.attempt))
        self.helpers.record_end(helper.name)
        if result.outcome != NOT_RUN or not is_elsewhere(result):
            return
        if result.is_untried:
            return
        if result.refusal is None or not result.refusal.brief:
            self.helpers.avoid(helper.name, now)

    def refuse(self, call: Call) -> Refuse:
        """Refuse a call that neither this entry nor a helper can serve."""
        pause_s = self._random.uniform(*CUT_OFF_RETRY_S)
        refuse = Refuse(call.call_id, CUT_OFF, pause_s)
        refuse.elsewhere = True
        return refuse

    def record_attempt(self, address: str, result: Result, now: float) -> bool:
        """Record an attempt at an endpoint; return whether a check is due."""
        is_new = not result.reused
        if result.reached:
            self.reachability.record_contact(is_new, now)
            return False
        if not result.loss or result.loss == CUT_SHORT:
            return False
        due = self.reachability.record_failure(address, is_new, now)
        return due or result.crashed

    def record_stall(self, address: str, sent_at: float, now: float) -> bool:
        """Record a late answer; return whether a check is due."""
        if self.reachability.heard_since(sent_at):
            return False
        return self.reachability.record_failure(address, False, now)

    def record_probe(
        self, address: str, answered: bool, is_new: bool, now: float
    ) -> bool:
        """Record the end of a load query; return whether a check is due."""
        if answered:
            self.reachability.record_contact(is_new, now)
            return False
        return self.reachability.record_failure(address, is_new, now)

    def configure(self, paths: dict[str, str]) -> None:
        """Replace the paths of load queries, by service."""
        self._paths = paths
        self.reachability.update(self._announcements, paths)

    def update(self, announcements: list[Announcement]) -> None:
        """Replace the live endpoints."""
        self._announcements = announcements
        self.reachability.update(announcements, self._paths)

    def begin_check(self, now: float) -> list[LinkCheck]:
        """Begin to query endpoints over new connections."""
        return self.reachability.begin_check(now)


def is_elsewhere(result: Result) -> bool:
    """Return whether another helper may serve a call that did not run."""
    return result.refusal is None or result.refusal.elsewhere


def final_action(call: Call, result: Result) -> UnrunAction:
    """Build the answer that a helper's refusal leads to."""
    refusal = result.refusal
    assert refusal is not None
    if refusal.status == TOO_MANY_REQUESTS:
        return Throttle(call.call_id, refusal.reason, refusal.retry_after_s)
    if refusal.status == UNAUTHORIZED:
        return Deny(call.call_id, refusal.reason)
    if refusal.status == NOT_FOUND:
        return Reject(call.call_id, refusal.reason)
    return Refuse(call.call_id, refusal.reason, refusal.retry_after_s)
