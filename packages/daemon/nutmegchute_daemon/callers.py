"""Serve each call, from its request to the outcome its caller receives."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import msgspec
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import Deny
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN as NOT_RUN_OUTCOME
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Relay
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.calls import Throttle
from nutmegchute_core.claims import MISMATCH
from nutmegchute_core.claims import OPEN
from nutmegchute_core.claims import RAN
from nutmegchute_core.evidence import Evidence
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.routes import BUFFER_BYTES

from .answers import BrokenAnswerError
from .call_formats import BufferLimit
from .call_formats import CallFormat
from .connections import ConnectionPool
from .connections import Exchange
from .exchanges import BadBodyError
from .exchanges import StrictRequest
from .guards import Client
from .pending_calls import PendingCall
from .protocols import ENTRY_HEADER
from .protocols import KEY_HEADER
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER
from .protocols import RELAY_OUTCOME_HEADER
from .protocols import UNKNOWN
from .readers import BadRequestError
from .readers import MAX_DEADLINE_MS
from .relays import ANSWERED as RELAY_ANSWERED
from .relays import describe_outcome
from .relays import ELSEWHERE
from .relays import FULL
from .relays import RelayDoor
from .relays import RelayFormat
from .senders import Reply
from .senders import Request
from .senders import Sender
from .servers import LoopRunner

ACTION_GRACE_S = 5.0
FULL_RETRY_S = 1.0
HTTP_1_0 = "HTTP/1.0"
# Names the scheme of the keys in answers to calls without a valid one.
CHALLENGE = "Bearer"
# One in so many worker threads is reserved for pages: if calls could hold
# all of them, announcements and requests for the list of entries would wait
# and leases would expire under load.
PAGE_THREADS_DIVISOR = 6


class CallDispatcher(Protocol):
    """Admit calls and record their progress on the entry's loop."""

    def open_call(self, call: PendingCall) -> None:
        """Admit a call; its actions are queued on it."""

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Record the end of an attempt."""

    def close_call(self, call: PendingCall) -> None:
        """Remove a call whose worker has written its answer."""

    def end_instance(self, instance: str, address: str) -> None:
        """Record that an instance no longer runs at its address."""


class CallHandler:
    """Serve calls on the HTTP server's worker threads."""

    __slots__ = (
        "_clients",
        "_format",
        "_lock",
        "_max_calls",
        "_name",
        "_relay_format",
        "_relay_sender",
        "_runner",
        "_sender",
        "body_bytes",
        "buffer_limit",
        "config_index",
        "dispatcher",
        "refusal",
        "refusal_retry_s",
    )

    def __init__(
        self,
        *,
        runner: LoopRunner,
        sender: Sender,
        name: str,
        body_bytes: int,
        threads: int,
        call_format: CallFormat | None = None,
        relay_connections: ConnectionPool | None = None,
    ) -> None:
        self.dispatcher: CallDispatcher
        self._format = call_format or CallFormat()
        self._relay_format = RelayFormat(self._format)
        self._relay_sender = Sender(
            relay_connections or ConnectionPool(), self._relay_format
        )
        self._runner = runner
        self._sender = sender
        self._name = name
        self.body_bytes = body_bytes
        self.buffer_limit: BufferLimit = _default_buffer_limit
        # Returns the log index of the configuration in force here.
        self.config_index: Callable[[], int] = _no_index
        self._lock = threading.Lock()
        # The clients of the calls that are served at present.
        self._clients: set[Client] = set()
        self._max_calls = max(
            1, threads - max(1, threads // PAGE_THREADS_DIVISOR)
        )
        # Why all calls are refused at present; None while they are accepted.
        self.refusal: str | None = None
        # The Retry-After delay of these refusals, in seconds.
        self.refusal_retry_s = FULL_RETRY_S

    @property
    def active(self) -> int:
        """Return the number of calls whose answer is not fully written."""
        return len(self._clients)

    def __call__(self, http: StrictRequest) -> None:
        """Answer one call."""
        self._answer(http, None)

    def answer_relayed(self, http: StrictRequest, door: RelayDoor) -> None:
        """Answer a call that another entry passes on."""
        http.is_relayed = True
        if not http.relay_id:
            # The entry cannot tell answers apart, so none may follow another
            # on its connection. It is of an earlier build.
            http.close_connection = True
        if not door.admits(http):
            # Of an earlier process at this address, or from outside.
            http.close_connection = True
            self._refuse(http, 503, "unknown token", 0.0, ELSEWHERE)
            return
        if self.config_index() < door.required_index(http):
            # It may have it a moment later, so that it is not avoided.
            http.close_connection = True
            reason = "configuration is older"
            self._refuse(http, 503, reason, 0.0, FULL)
            return
        self._answer(http, door)

    def _answer(self, http: StrictRequest, door: RelayDoor | None) -> None:
        if not self._reserve_slot(http):
            self._refuse(http, 503, "entry is full", FULL_RETRY_S, FULL)
            return
        try:
            self._handle(http, door)
        finally:
            with self._lock:
                self._clients.discard(http.conn.client)

    def attempt(
        self, call: PendingCall, send: Send, exchange: Exchange
    ) -> Reply:
        """Make one attempt, store its reply and report its end to the loop."""
        request = call.request
        # The process may have been paused since the decision.
        remaining_s = send.remaining_s - exchange.age_s
        remaining_ms = max(1, int(remaining_s * 1000))
        sender = self._sender
        target = request.target
        if isinstance(send, Relay):
            headers = self._relay_format.headers(
                call, send, remaining_ms, self.config_index()
            )
            sender = self._relay_sender
            target = self._format.relayed_target(call)
        else:
            headers = self._format.attempt_headers(
                call, send.attempt, remaining_ms, send.instance
            )
        attempt_request = Request(
            request.method, target, headers, request.body, request.remainder
        )
        reply = sender.send(
            attempt_request,
            send.endpoint,
            remaining_s,
            exchange,
            # Without a name, nothing tells its answer from a late one.
            fresh=sender.request_name(headers) is None,
        )
        reply.is_relayed = isinstance(send, Relay)
        call.status = reply.status
        call.add_reply(send.attempt, reply)
        if reply.is_misdirected:
            self._runner.schedule(
                self.dispatcher.end_instance, send.instance, send.endpoint
            )
        self._report_end(call, send, reply)
        return reply

    def hedge(self, call: PendingCall, send: Send, exchange: Exchange) -> None:
        """Make an attempt in parallel to the one that the worker waits for.

        A body that is only partly buffered can be sent only once, so such a
        call is not hedged.
        """
        if call.request.remainder is None:
            self.attempt(call, send, exchange)
            return
        reply = Reply(NOT_RUN_OUTCOME, 0.0, evidence=UNSENT)
        self._report_end(call, send, reply)

    def _reserve_slot(self, http: StrictRequest) -> bool:
        """Count a call as active if there is room; return whether it is.

        Calls with long bodies leave room for others.
        """
        client = http.conn.client
        with self._lock:
            room = self._max_calls
            if len(self._clients) >= room and not client.is_long:
                room += self._find_extra_room()
            if len(self._clients) < room:
                self._clients.add(client)
                return True
            clients = list(self._clients)
        # A client that makes no progress is ended for the next call.
        http.server.guard.end_slowest(clients)
        return False

    def _find_extra_room(self) -> int:
        """Return the slots beside calls that occupy theirs for long."""
        now = time.monotonic()
        slow = sum(one.is_slow(now) for one in self._clients)
        extra = self._max_calls // 2
        return extra if slow >= extra else 0

    def _handle(self, http: StrictRequest, door: RelayDoor | None) -> None:
        if self.refusal is not None:
            self._refuse(
                http, 503, self.refusal, self.refusal_retry_s, ELSEWHERE
            )
            return
        try:
            call = self._format.read(http, self.body_bytes, self.buffer_limit)
        except (BadRequestError, BadBodyError) as error:
            # The unread rest of the body would be parsed as the next request.
            http.close_connection = True
            retry_after_s = 0.0
            if isinstance(error, BadBodyError):
                retry_after_s = error.retry_after_s
            self._refuse(http, error.status, str(error), retry_after_s)
            return
        if door is not None:
            door.describe(http, call)
        http.call_opened = True
        self._runner.schedule(self.dispatcher.open_call, call)
        try:
            self._process_actions(call, http)
        finally:
            # Set here, since the loop closes the call up to one sweep later.
            call.record.ended_at = time.monotonic()
            call.record.told = http.told
            call.close()
            self._runner.defer(self.dispatcher.close_call, call)

    def _process_actions(self, call: PendingCall, http: StrictRequest) -> None:
        while True:
            action, exchange = call.next_action(
                MAX_DEADLINE_MS / 1000 + ACTION_GRACE_S
            )
            if isinstance(action, Send):
                assert exchange is not None
                reply = self._attempt_if_possible(call, action, exchange)
                if reply.outcome == ANSWERED and not reply.failed:
                    # The balancer always ends a call with its first good
                    # answer; waiting for its Finish would add one more round
                    # trip through the loop to every call.
                    self._forward_answer(http, call, action.attempt)
                    return
                continue
            if isinstance(action, Refuse):
                self._refuse(
                    http,
                    503,
                    action.reason,
                    action.retry_after_s,
                    ELSEWHERE if action.elsewhere else NOT_RUN,
                )
                return
            if isinstance(action, Known):
                self._answer_duplicate(http, action)
                return
            if isinstance(action, Throttle):
                self._refuse(http, 429, action.reason, action.retry_after_s)
                return
            if isinstance(action, Deny):
                headers = [
                    (OUTCOME_HEADER, NOT_RUN),
                    ("WWW-Authenticate", CHALLENGE),
                ]
                if http.is_relayed:
                    headers.extend(describe_outcome(NOT_RUN, action.reason))
                self._write_answer(http, 401, headers, action.reason)
                return
            if isinstance(action, Reject):
                headers = [(OUTCOME_HEADER, NOT_RUN)]
                if http.is_relayed:
                    headers.extend(describe_outcome(NOT_RUN, action.reason))
                self._write_answer(http, 404, headers, action.reason)
                return
            if isinstance(action, Finish):
                self._forward_answer(http, call, action.attempt)
                return
            reason = action.reason if isinstance(action, Lose) else "no word"
            self._answer_unknown(http, reason)
            return

    def _attempt_if_possible(
        self, call: PendingCall, send: Send, exchange: Exchange
    ) -> Reply:
        remainder = call.request.remainder
        if remainder is not None and remainder.is_started:
            # An earlier attempt has read the rest of the body from the
            # caller, so this attempt cannot be made and does not run.
            reply = Reply(NOT_RUN_OUTCOME, 0.0, evidence=UNSENT)
            self._report_end(call, send, reply)
            return reply
        return self.attempt(call, send, exchange)

    def _report_end(self, call: PendingCall, send: Send, reply: Reply) -> None:
        evidence = None
        if reply.evidence:
            evidence = Evidence(reply.evidence, send.call_id, send.attempt)
        result = Result(
            call_id=send.call_id,
            attempt=send.attempt,
            outcome=reply.outcome,
            latency_s=reply.latency_s,
            load=reply.load,
            failed=reply.failed,
            stretch=reply.stretch,
            shed=reply.shed,
            loss=reply.loss,
            crashed=reply.loss == CLOSED
            and not reply.is_relayed
            and self._sender.refuses_connections(send.endpoint),
            notice=reply.notice(send.process_key, send.sent_at),
            reused=reply.reused,
            refusal=reply.relay_refusal,
            status=reply.head_status,
            naming=reply.naming,
            carried=reply.carried,
            strays=reply.strays,
            evidence=evidence,
        )
        self._runner.schedule(self.dispatcher.end_attempt, call, result)

    def _forward_answer(
        self, http: StrictRequest, call: PendingCall, attempt: int
    ) -> None:
        reply = call.close(attempt)
        if reply is None:
            self._answer_unknown(http, "answer was dropped")
            return
        headers = [*reply.headers(), (ENTRY_HEADER, self._name)]
        if http.is_relayed:
            headers.extend(describe_outcome(RELAY_ANSWERED))
        if http.response_protocol == HTTP_1_0 and not reply.has_length:
            # Others get such an answer in chunks, with the last one only
            # after its whole end: ended by the kernel, it is visibly cut.
            try:
                headers.extend(self._frame_without_chunks(http, reply))
            except BrokenAnswerError:
                self._answer_unknown(http, "answer broke off")
                return
        http.begin(reply.status, headers)
        whole = False
        try:
            for piece in reply.body():
                http.write(piece)
            whole = True
        except BrokenAnswerError:
            pass
        finally:
            if not whole:
                # The head has been sent already. A clean end would look like
                # a complete answer, so the connection is reset instead.
                http.abort()
            reply.close()

    def _frame_without_chunks(
        self, http: StrictRequest, reply: Reply
    ) -> list[tuple[str, str]]:
        """Return the headers that show where an answer ends.

        A long answer ends with its connection: nothing shows then that it
        was cut by the end of this process.

        :raises BrokenAnswerError: the endpoint broke off or was too slow
        """
        length = reply.hold(BUFFER_BYTES)
        if length is not None:
            return [("Content-Length", str(length))]
        http.close_connection = True
        return [("Connection", "close")]

    def _refuse(
        self,
        http: StrictRequest,
        status: int,
        reason: str,
        retry_after_s: float,
        outcome: str = NOT_RUN,
    ) -> None:
        """Write a refusal; ``outcome`` is what another entry is told."""
        headers = [
            (OUTCOME_HEADER, NOT_RUN),
            ("Retry-After", self._format.retry_after(retry_after_s)),
        ]
        if http.is_relayed:
            headers.extend(describe_outcome(outcome, reason, retry_after_s))
        self._write_answer(http, status, headers, reason)

    def _answer_duplicate(self, http: StrictRequest, known: Known) -> None:
        """Answer a request whose key was used before with that outcome."""
        if http.is_relayed:
            http.outheaders.append(
                (RELAY_OUTCOME_HEADER.encode(), RELAY_ANSWERED.encode())
            )
        if known.outcome == MISMATCH:
            reason = f"the {KEY_HEADER} belongs to another request"
            headers = [(OUTCOME_HEADER, NOT_RUN)]
            self._write_answer(http, 422, headers, reason)
            return
        if known.outcome == RAN:
            reason = f"it ran and was answered with status {known.status}"
            headers = [
                (OUTCOME_HEADER, RAN),
                (RAN_STATUS_HEADER, str(known.status)),
            ]
            self._write_answer(http, 409, headers, reason)
            return
        headers = [(OUTCOME_HEADER, UNKNOWN)]
        reason = "it may have run"
        if known.outcome == OPEN:
            reason = "it is under way, or its entry broke off"
            headers.append(("Retry-After", "1"))
        self._write_answer(http, 409, headers, reason)

    def _answer_unknown(self, http: StrictRequest, reason: str) -> None:
        headers = [(OUTCOME_HEADER, UNKNOWN)]
        if http.is_relayed:
            headers.extend(describe_outcome(UNKNOWN))
        self._write_answer(http, 502, headers, reason)

    def _write_answer(
        self,
        http: StrictRequest,
        status: int,
        headers: list[tuple[str, str]],
        reason: str,
    ) -> None:
        headers.extend(self._format.entry_headers(http))
        body = msgspec.json.encode({"reason": reason, "entry": self._name})
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(body))))
        headers.append((ENTRY_HEADER, self._name))
        http.begin(status, headers)
        http.write(body)


def _no_index() -> int:
    """Return the index of an entry that has no configuration."""
    return 0


def _default_buffer_limit(host: str, path: str) -> int:
    """Return the number of bytes buffered where no route sets another."""
    return BUFFER_BYTES
