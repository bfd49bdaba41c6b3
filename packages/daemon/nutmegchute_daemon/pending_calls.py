"""Hold a call that a worker thread and the loop process together."""

import queue
import threading
from typing import Any

from nutmegchute_core.calls import CallAction
from nutmegchute_core.claims import Claim
from nutmegchute_core.organisations import Organisation
from nutmegchute_core.quota_ledgers import Permit

from .connections import Exchange
from .fingerprints import fingerprint
from .fingerprints import KEY_HEADER
from .senders import Reply
from .senders import Request


class Arrival:
    """Hold the parts of a request that decide where and when it is sent.

    ``deadline_s`` is the caller's own, if any; ``attempt`` is above 1 if a
    layer in front of this entry has retried the call. ``host`` is the
    requested host where routes choose the service. ``key`` is the key of the
    caller's organisation, None if the request has none. ``key_proof`` stands
    for the key of a call that another entry has passed on.
    """

    __slots__ = (
        "attempt",
        "deadline_s",
        "host",
        "key",
        "key_proof",
        "method",
        "path",
        "service",
    )

    def __init__(
        self,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
        attempt: int,
        host: str = "",
        key: bytes | None = None,
    ) -> None:
        self.host = host
        self.key = key
        self.key_proof: str | None = None
        self.service = service
        self.method = method
        self.path = path
        self.deadline_s = deadline_s
        self.attempt = attempt

    def deduct_wait(self, waited_s: float) -> None:
        """Subtract the time that the call has waited before its admission."""
        if self.deadline_s is not None:
            self.deadline_s = max(0.0, self.deadline_s - waited_s)

    def min_deadline_s(self, max_s: float) -> float:
        """Return the shorter of the caller's deadline and another."""
        # No time left (0.0) is not "no deadline" (None): mistaken for it, a
        # call that is already too late would be claimed and sent.
        if self.deadline_s is None:
            return max_s
        return min(max_s, self.deadline_s)


class CallRecord:
    """Hold the outcome of a call, for its line in the log.

    ``sends`` has an item for each attempt, with the data behind the choice
    of its endpoint. ``ahead`` and ``priority`` are those of ``Refuse``.
    """

    __slots__ = (
        "ahead",
        "ended_at",
        "left_ms",
        "opened_at",
        "outcome",
        "priority",
        "quota",
        "reason",
        "route",
        "sends",
        "service",
        "told",
    )

    def __init__(self) -> None:
        # On the monotonic clock; None until the call is admitted and until
        # its answer is written.
        self.opened_at: float | None = None
        self.ended_at: float | None = None
        # When its caller was found to have left, in milliseconds from its
        # admission; None while it is connected.
        self.left_ms: float | None = None
        self.route = ""
        self.service = ""
        self.outcome = "gone"
        # The status that was written to the caller; 0 without an answer.
        self.told = 0
        self.reason = ""
        self.ahead: int | None = None
        self.priority: int | None = None
        # For a call beyond its organisation's quota: the quota, the replica
        # that answered last and the age of its answer.
        self.quota: dict[str, Any] | None = None
        self.sends: dict[int, dict[str, Any]] = {}

    @property
    def ms(self) -> float:
        """Return how long the call took here, in milliseconds."""
        if self.opened_at is None or self.ended_at is None:
            return 0.0
        return round((self.ended_at - self.opened_at) * 1000, 1)


class PendingCall:
    """Pass the loop's actions for one call to its worker thread.

    ``name`` is the caller's id of the request, if it has one. ``claim``
    holds the call's idempotency key; ``claimed`` is set once this entry has
    claimed it. If the rule requires a claim that a helper is to make, the call
    ``needs_helper``. ``status`` is that of the answer read last.
    """

    __slots__ = (
        "_actions",
        "_closed",
        "_lock",
        "_replies",
        "arrival",
        "call_id",
        "claim",
        "claimed",
        "exchanges",
        "fingerprint",
        "is_relayed",
        "keyed_fingerprint",
        "name",
        "needs_helper",
        "organisation",
        "permit",
        "record",
        "request",
        "socket_number",
        "status",
        "worker_attempt",
    )

    def __init__(
        self,
        arrival: Arrival,
        request: Request,
        socket_number: int,
        claim: Claim | None = None,
        name: str = "",
    ) -> None:
        self.name = name
        self.record = CallRecord()
        self.arrival = arrival
        self.claim = claim
        # The caller's organisation; None where calls need no key.
        self.organisation: Organisation | None = None
        # The permit that the organisation's quota requires, if any.
        self.permit: Permit | None = None
        self.claimed = False
        self.needs_helper = False
        # Whether another entry has passed the call on.
        self.is_relayed = False
        self.status = 0
        self.request = request
        # The same for every repetition of the request. Until the caller is
        # identified it does not depend on a key, as it is logged.
        host, service = arrival.host, arrival.service
        self.fingerprint = fingerprint(host, service, request, with_key=False)
        # With the key, for deployments without organisations. Computed here
        # and not on the loop, as the body may be long.
        self.keyed_fingerprint = self.fingerprint
        if KEY_HEADER in request.headers:
            self.keyed_fingerprint = fingerprint(host, service, request)
        self.socket_number = socket_number
        self.call_id = 0
        # Written and read only on the loop.
        self.exchanges: dict[int, Exchange] = {}
        self.worker_attempt: int | None = None
        self._lock = threading.Lock()
        self._closed = False
        self._replies: dict[int, Reply] = {}
        self._actions: queue.SimpleQueue[tuple[CallAction, Exchange | None]]
        self._actions = queue.SimpleQueue()

    def put(
        self, action: CallAction, exchange: Exchange | None = None
    ) -> None:
        """Queue an action; the loop calls this."""
        self._actions.put((action, exchange))

    def next_action(
        self, timeout_s: float
    ) -> tuple[CallAction | None, Exchange | None]:
        """Wait for the next action; return None if there is none in time."""
        try:
            return self._actions.get(timeout=timeout_s)
        except queue.Empty:
            return None, None

    def add_reply(self, attempt: int, reply: Reply) -> None:
        """Store an attempt's reply until the loop has chosen one."""
        with self._lock:
            if not self._closed:
                self._replies[attempt] = reply
                return
        reply.close()

    def close(self, attempt: int | None = None) -> Reply | None:
        """Return the chosen attempt's reply and close all others."""
        with self._lock:
            self._closed = True
            chosen = None
            if attempt is not None:
                chosen = self._replies.pop(attempt, None)
            others = list(self._replies.values())
            self._replies.clear()
        for reply in others:
            reply.close()
        return chosen
