"""Take calls from callers and see each through to one outcome."""

import threading
import time
from typing import Protocol

import msgspec
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN as NOT_RUN_OUTCOME
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Reject
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import MISMATCH
from nutmegchute_core.claims import OPEN
from nutmegchute_core.claims import RAN
from nutmegchute_core.routes import BUFFER_BYTES

from .answers import BrokenAnswerError
from .call_formats import BufferLimit
from .call_formats import CallFormat
from .connections import Exchange
from .exchanges import BadBodyError
from .exchanges import StrictRequest
from .pending_calls import PendingCall
from .protocols import ENTRY_HEADER
from .protocols import KEY_HEADER
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER
from .protocols import UNKNOWN
from .readers import BadRequestError
from .readers import MAX_DEADLINE_MS
from .senders import CLOSED
from .senders import Reply
from .senders import Request
from .senders import Sender
from .servers import LoopRunner

ACTION_GRACE_S = 5.0
FULL_RETRY_S = 1.0
# Worker threads that calls may not take: announcements and questions for
# entries must go on while every call waits, or leases lapse under load.
PAGE_THREADS_SHARE = 6


class CallTaker(Protocol):
    """Describe what the entry's loop does for a call."""

    def open_call(self, call: PendingCall) -> None:
        """Admit a call; its actions are queued on it."""

    def end_attempt(self, call: PendingCall, result: Result) -> None:
        """Take the end of an attempt."""

    def close_call(self, call: PendingCall) -> None:
        """Forget a call whose worker has written its answer."""

    def end_instance(self, instance: str, address: str) -> None:
        """Take word that an instance has left its address."""


class CallHandler:
    """Serve calls on the HTTP server's worker threads."""

    __slots__ = (
        "_active",
        "_format",
        "_lock",
        "_most",
        "_name",
        "_runner",
        "_sender",
        "body_bytes",
        "buffer_limit",
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
    ) -> None:
        self.dispatcher: CallTaker
        self._format = call_format or CallFormat()
        self._runner = runner
        self._sender = sender
        self._name = name
        self.body_bytes = body_bytes
        self.buffer_limit: BufferLimit = _default_buffer_limit
        self._lock = threading.Lock()
        self._active = 0
        self._most = max(1, threads - max(1, threads // PAGE_THREADS_SHARE))
        # Why no call is taken at present; none while calls are taken.
        self.refusal: str | None = None
        # When a caller that is refused for it should come back, in seconds.
        self.refusal_retry_s = FULL_RETRY_S

    @property
    def active(self) -> int:
        """Count the calls whose answer has not been written whole."""
        return self._active

    def __call__(self, http: StrictRequest) -> None:
        """Answer one call."""
        if not self._enter():
            self._refuse(http, 503, "entry is full", FULL_RETRY_S)
            return
        try:
            self._handle(http)
        finally:
            with self._lock:
                self._active -= 1

    def attempt(
        self, call: PendingCall, send: Send, exchange: Exchange
    ) -> Reply:
        """Make one attempt, keep its reply and tell the loop its end."""
        request = call.request
        remaining_ms = max(1, int(send.remaining_s * 1000))
        headers = self._format.attempt_headers(
            call, send.attempt, remaining_ms, send.instance
        )
        copy = Request(
            request.method, request.target, headers, request.body, request.rest
        )
        reply = self._sender.send(
            copy, send.endpoint, send.remaining_s, exchange
        )
        call.status = reply.status
        call.add_reply(send.attempt, reply)
        if reply.is_misdirected:
            self._runner.schedule(
                self.dispatcher.end_instance, send.instance, send.endpoint
            )
        self._tell_end(call, send, reply)
        return reply

    def hedge(self, call: PendingCall, send: Send, exchange: Exchange) -> None:
        """Make a second attempt beside the one the worker waits for."""
        if call.request.rest is None:
            self.attempt(call, send, exchange)
            return
        self._tell_end(call, send, Reply(NOT_RUN_OUTCOME, 0.0))

    def _enter(self) -> bool:
        with self._lock:
            if self._active >= self._most:
                return False
            self._active += 1
            return True

    def _handle(self, http: StrictRequest) -> None:
        if self.refusal is not None:
            self._refuse(http, 503, self.refusal, self.refusal_retry_s)
            return
        try:
            call = self._format.read(http, self.body_bytes, self.buffer_limit)
        except (BadRequestError, BadBodyError) as error:
            # What is left of the body would be read as the next request.
            http.close_connection = True
            self._refuse(http, error.status, str(error), 0.0)
            return
        http.opened = True
        self._runner.schedule(self.dispatcher.open_call, call)
        try:
            self._follow(call, http)
        finally:
            # Here, since the loop hears of the end up to a sweep later.
            call.record.ended_at = time.monotonic()
            call.close()
            self._runner.defer(self.dispatcher.close_call, call)

    def _follow(self, call: PendingCall, http: StrictRequest) -> None:
        while True:
            action, exchange = call.next_action(
                MAX_DEADLINE_MS / 1000 + ACTION_GRACE_S
            )
            if isinstance(action, Send):
                assert exchange is not None
                reply = self._attempt(call, action, exchange)
                if reply.outcome == ANSWERED and not reply.failed:
                    # The balancer always ends a call with its first good
                    # answer; waiting for its word would add one more turn
                    # through the loop to every call.
                    self._answer(http, call, action.attempt)
                    return
                continue
            if isinstance(action, Refuse):
                self._refuse(http, 503, action.reason, action.retry_after_s)
                return
            if isinstance(action, Known):
                self._repeat(http, action)
                return
            if isinstance(action, Reject):
                headers = [(OUTCOME_HEADER, NOT_RUN)]
                self._say(http, 404, headers, action.reason)
                return
            if isinstance(action, Finish):
                self._answer(http, call, action.attempt)
                return
            reason = action.reason if isinstance(action, Lose) else "no word"
            self._lose(http, reason)
            return

    def _attempt(
        self, call: PendingCall, send: Send, exchange: Exchange
    ) -> Reply:
        rest = call.request.rest
        if rest is not None and rest.begun:
            # The body went out with an earlier attempt and is gone: this
            # attempt cannot be made, and truly does not run.
            reply = Reply(NOT_RUN_OUTCOME, 0.0)
            self._tell_end(call, send, reply)
            return reply
        return self.attempt(call, send, exchange)

    def _tell_end(self, call: PendingCall, send: Send, reply: Reply) -> None:
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
            and self._sender.refuses_connections(send.endpoint),
        )
        self._runner.schedule(self.dispatcher.end_attempt, call, result)

    def _answer(
        self, http: StrictRequest, call: PendingCall, attempt: int
    ) -> None:
        reply = call.close(attempt)
        if reply is None:
            self._lose(http, "answer was dropped")
            return
        headers = [*reply.headers(), (ENTRY_HEADER, self._name)]
        if not reply.is_framed:
            # Neither its end nor a cut can be told here; closing without
            # a frame leaves the caller knowing as little as this entry.
            http.close_connection = True
            http.response_protocol = "HTTP/1.0"
            headers.append(("Connection", "close"))
        http.begin(reply.status, headers)
        try:
            for piece in reply.body():
                http.write(piece)
        except BrokenAnswerError:
            # The head is with the caller already. A clean end would look
            # like a whole answer, so the connection is cut instead.
            http.abort()
        finally:
            reply.close()

    def _refuse(
        self,
        http: StrictRequest,
        status: int,
        reason: str,
        retry_after_s: float,
    ) -> None:
        headers = [
            (OUTCOME_HEADER, NOT_RUN),
            ("Retry-After", self._format.retry_after(retry_after_s)),
        ]
        self._say(http, status, headers, reason)

    def _repeat(self, http: StrictRequest, known: Known) -> None:
        """Tell a caller that sent a key again what became of the first."""
        if known.outcome == MISMATCH:
            reason = f"the {KEY_HEADER} belongs to another request"
            headers = [(OUTCOME_HEADER, NOT_RUN)]
            self._say(http, 422, headers, reason)
            return
        if known.outcome == RAN:
            reason = f"it ran and was answered with status {known.status}"
            headers = [
                (OUTCOME_HEADER, RAN),
                (RAN_STATUS_HEADER, str(known.status)),
            ]
            self._say(http, 409, headers, reason)
            return
        headers = [(OUTCOME_HEADER, UNKNOWN)]
        reason = "it may have run"
        if known.outcome == OPEN:
            reason = "it is under way, or its entry broke off"
            headers.append(("Retry-After", "1"))
        self._say(http, 409, headers, reason)

    def _lose(self, http: StrictRequest, reason: str) -> None:
        self._say(http, 502, [(OUTCOME_HEADER, UNKNOWN)], reason)

    def _say(
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


def _default_buffer_limit(host: str, path: str) -> int:
    """Keep as much of a body as where no route says otherwise."""
    return BUFFER_BYTES
