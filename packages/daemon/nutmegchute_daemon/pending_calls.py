"""Carry one call between its worker thread and the loop."""

import queue
import threading
from typing import Any

from nutmegchute_core.calls import CallAction
from nutmegchute_core.claims import Claim

from .connections import Exchange
from .fingerprints import fingerprint
from .senders import Reply
from .senders import Request


class Arrival:
    """Hold what decisions need of a call: where to, and until when.

    ``deadline_s`` is the caller's own, if any; ``attempt`` is over 1 where
    a layer before this entry has sent the call again. ``host`` names what
    the caller asked for where routes decide on the service.
    """

    __slots__ = (
        "attempt",
        "deadline_s",
        "host",
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
    ) -> None:
        self.host = host
        self.service = service
        self.method = method
        self.path = path
        self.deadline_s = deadline_s
        self.attempt = attempt

    def deduct_wait(self, waited_s: float) -> None:
        """Take off what the call has waited before its admission."""
        if self.deadline_s is not None:
            self.deadline_s = max(0.0, self.deadline_s - waited_s)

    def min_deadline_s(self, most_s: float) -> float:
        """Give the shorter of the caller's deadline and another."""
        # Nothing left (0.0) is not "no deadline" (None): taken for it, a
        # call that is too late already would be claimed and sent.
        if self.deadline_s is None:
            return most_s
        return min(most_s, self.deadline_s)


class CallRecord:
    """Gather what became of a call, for its line in the log.

    ``sends`` holds a line for each attempt, with what was known of the
    endpoint when it was chosen.
    """

    __slots__ = (
        "ended_at",
        "opened_at",
        "outcome",
        "reason",
        "route",
        "sends",
        "service",
    )

    def __init__(self) -> None:
        # Both on the monotonic clock; none until the call was admitted, and
        # until its answer was written.
        self.opened_at: float | None = None
        self.ended_at: float | None = None
        self.route = ""
        self.service = ""
        self.outcome = "gone"
        self.reason = ""
        self.sends: dict[int, dict[str, Any]] = {}

    @property
    def ms(self) -> float:
        """Give how long the call took here, in milliseconds."""
        if self.opened_at is None or self.ended_at is None:
            return 0.0
        return round((self.ended_at - self.opened_at) * 1000, 1)


class PendingCall:
    """Carry the loop's actions for one call to its worker thread.

    ``name`` is what the caller calls the request, if anything. ``claim``
    is the call's idempotency key and ``claimed`` tells whether its rule
    asks for one; ``status`` is that of the answer read last.
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
        "name",
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
        self.claimed = False
        self.status = 0
        self.request = request
        # Says what the request asks, also where it comes again.
        self.fingerprint = fingerprint(arrival.host, arrival.service, request)
        self.socket_number = socket_number
        self.call_id = 0
        # Written and read by the loop alone.
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
        """Hand over an action; the loop calls this."""
        self._actions.put((action, exchange))

    def next_action(
        self, timeout_s: float
    ) -> tuple[CallAction | None, Exchange | None]:
        """Wait for the next action; None says that none came."""
        try:
            return self._actions.get(timeout=timeout_s)
        except queue.Empty:
            return None, None

    def add_reply(self, attempt: int, reply: Reply) -> None:
        """Keep an attempt's reply until the loop has chosen one."""
        with self._lock:
            if not self._closed:
                self._replies[attempt] = reply
                return
        reply.close()

    def close(self, attempt: int | None = None) -> Reply | None:
        """Take the chosen attempt's reply and close all others."""
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
