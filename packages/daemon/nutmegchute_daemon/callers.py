"""Take calls from callers and see each through to one outcome."""

import queue
import re
import threading
import time
from collections.abc import Iterable
from typing import Protocol

import msgspec
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import NOT_RUN as NOT_RUN_OUTCOME
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import MISMATCH
from nutmegchute_core.claims import OPEN
from nutmegchute_core.claims import RAN
from urllib3 import HTTPHeaderDict

from .claims import build_claim
from .claims import KeyFormError
from .connections import Exchange
from .errors import DaemonError
from .exchanges import BadBodyError
from .exchanges import Body
from .exchanges import StrictRequest
from .protocols import ATTEMPT_HEADER
from .protocols import DEADLINE_HEADER
from .protocols import ENTRY_HEADER
from .protocols import KEY_HEADER
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER
from .protocols import UNKNOWN
from .senders import BUFFER_BYTES
from .senders import CutAnswerError
from .senders import HOP_HEADERS
from .senders import named_by_connection
from .senders import Reply
from .senders import Request
from .senders import Rest
from .senders import Sender
from .senders import skip_user_agent
from .servers import LoopAsker

CALL_PATH = b"/call/"
ACTION_GRACE_S = 5.0
MAX_DEADLINE_MS = 600000
MAX_ATTEMPT = 1000
FULL_RETRY_S = 1.0
# Worker threads that calls may not take: announcements and questions for
# entries must go on while every call waits, or leases lapse under load.
PAGE_THREADS_SHARE = 6

_TARGET = re.compile(rb"[\x21-\x7e]+")
_METHOD = re.compile(rb"[A-Z]{1,32}")


class BadRequestError(DaemonError):
    """Say what a caller sent that cannot be taken; nothing ran."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Ticket:
    """Carry the loop's actions for one call to its worker thread.

    ``claim`` is the call's idempotency key and ``claimed`` tells whether
    its rule asks for one; ``status`` is that of the answer read last;
    ``mark`` is the attempt that the call arrived as, over 1 where a layer
    before this entry has sent it again.
    """

    __slots__ = (
        "_actions",
        "_closed",
        "_lock",
        "_replies",
        "call_id",
        "claim",
        "claimed",
        "exchanges",
        "mark",
        "request",
        "socket_number",
        "status",
        "worker_attempt",
    )

    def __init__(
        self,
        request: Request,
        socket_number: int,
        claim: Claim | None = None,
        mark: int = 1,
    ) -> None:
        self.claim = claim
        self.mark = mark
        self.claimed = False
        self.status = 0
        self.request = request
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

    def take(
        self, timeout_s: float
    ) -> tuple[CallAction | None, Exchange | None]:
        """Wait for the next action; None says that none came."""
        try:
            return self._actions.get(timeout=timeout_s)
        except queue.Empty:
            return None, None

    def deposit(self, attempt: int, reply: Reply) -> None:
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


class Desk(Protocol):
    """Describe what the entry's loop does for a call."""

    def open_call(
        self,
        ticket: Ticket,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
        attempt: int,
    ) -> None:
        """Admit a call; its actions go to the ticket."""

    def end_attempt(self, ticket: Ticket, result: Result) -> None:
        """Take the end of an attempt."""

    def close_call(self, ticket: Ticket) -> None:
        """Forget a ticket whose worker has written its answer."""


class CallHandler:
    """Serve calls on the HTTP server's worker threads."""

    __slots__ = (
        "_active",
        "_asker",
        "_body_bytes",
        "_lock",
        "_most",
        "_name",
        "_sender",
        "desk",
        "refusal",
    )

    def __init__(
        self,
        *,
        asker: LoopAsker,
        sender: Sender,
        name: str,
        body_bytes: int,
        threads: int,
    ) -> None:
        self.desk: Desk
        self._asker = asker
        self._sender = sender
        self._name = name
        self._body_bytes = body_bytes
        self._lock = threading.Lock()
        self._active = 0
        self._most = max(1, threads - max(1, threads // PAGE_THREADS_SHARE))
        # Why no call is taken at present; none while calls are taken.
        self.refusal: str | None = None

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

    def attempt(self, ticket: Ticket, send: Send, exchange: Exchange) -> Reply:
        """Make one attempt, keep its reply and tell the loop its end."""
        request = ticket.request
        headers = request.headers.copy()
        # A mark that ended here would let each of 16 layers retry anew:
        # one failing service at the bottom, 2 to the 16th calls to it.
        headers[ATTEMPT_HEADER] = str(max(ticket.mark, send.attempt))
        remaining_ms = max(1, int(send.remaining_s * 1000))
        headers[DEADLINE_HEADER] = str(remaining_ms)
        copy = Request(
            request.method, request.target, headers, request.body, request.rest
        )
        reply = self._sender.send(
            copy, send.endpoint, send.remaining_s, exchange
        )
        ticket.status = reply.status
        ticket.deposit(send.attempt, reply)
        self._tell_end(ticket, send, reply)
        return reply

    def hedge(self, ticket: Ticket, send: Send, exchange: Exchange) -> None:
        """Make a second attempt beside the one the worker waits for."""
        if ticket.request.rest is None:
            self.attempt(ticket, send, exchange)
            return
        self._tell_end(ticket, send, Reply(NOT_RUN_OUTCOME, 0.0))

    def _enter(self) -> bool:
        with self._lock:
            if self._active >= self._most:
                return False
            self._active += 1
            return True

    def _handle(self, http: StrictRequest) -> None:
        if self.refusal is not None:
            self._refuse(http, 503, self.refusal, FULL_RETRY_S)
            return
        try:
            service, request = self._read(http)
            deadline_s = _read_deadline(http)
            attempt = _read_attempt(http)
            claim = _read_claim(http, service, request)
        except (BadRequestError, BadBodyError) as error:
            # What is left of the body would be read as the next request.
            http.close_connection = True
            self._refuse(http, error.status, str(error), 0.0)
            return
        number = http.conn.socket.fileno()
        ticket = Ticket(request, number, claim, attempt)
        path = request.target.partition("?")[0]
        http.opened = True
        self._asker.tell(
            self.desk.open_call,
            ticket,
            service,
            request.method,
            path,
            deadline_s,
            attempt,
        )
        try:
            self._follow(ticket, http)
        finally:
            ticket.close()
            self._asker.tell_later(self.desk.close_call, ticket)

    def _follow(self, ticket: Ticket, http: StrictRequest) -> None:
        while True:
            action, exchange = ticket.take(
                MAX_DEADLINE_MS / 1000 + ACTION_GRACE_S
            )
            if isinstance(action, Send):
                assert exchange is not None
                reply = self._attempt(ticket, action, exchange)
                if reply.outcome == ANSWERED and not reply.failed:
                    # The balancer always ends a call with its first good
                    # answer; waiting for its word would add one more turn
                    # through the loop to every call.
                    self._answer(http, ticket, action.attempt)
                    return
                continue
            if isinstance(action, Refuse):
                self._refuse(http, 503, action.reason, action.retry_after_s)
                return
            if isinstance(action, Known):
                self._repeat(http, action)
                return
            if isinstance(action, Finish):
                self._answer(http, ticket, action.attempt)
                return
            reason = action.reason if isinstance(action, Lose) else "no word"
            self._lose(http, reason)
            return

    def _attempt(
        self, ticket: Ticket, send: Send, exchange: Exchange
    ) -> Reply:
        rest = ticket.request.rest
        if rest is not None and rest.begun:
            # The body went out with an earlier attempt and is gone: this
            # attempt cannot be made, and truly does not run.
            reply = Reply(NOT_RUN_OUTCOME, 0.0)
            self._tell_end(ticket, send, reply)
            return reply
        return self.attempt(ticket, send, exchange)

    def _tell_end(self, ticket: Ticket, send: Send, reply: Reply) -> None:
        result = Result(
            call_id=send.call_id,
            attempt=send.attempt,
            outcome=reply.outcome,
            latency_s=reply.latency_s,
            load=reply.load,
            failed=reply.failed,
        )
        self._asker.tell(self.desk.end_attempt, ticket, result)

    def _answer(
        self, http: StrictRequest, ticket: Ticket, attempt: int
    ) -> None:
        reply = ticket.close(attempt)
        if reply is None:
            self._lose(http, "answer was dropped")
            return
        headers = [*reply.headers(), (ENTRY_HEADER, self._name)]
        if not reply.framed:
            # Neither its end nor a cut can be told here; closing without
            # a frame leaves the caller knowing as little as this entry.
            http.close_connection = True
            http.response_protocol = "HTTP/1.0"
            headers.append(("Connection", "close"))
        http.begin(reply.status, headers)
        try:
            for piece in reply.body():
                http.write(piece)
        except CutAnswerError:
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
            ("Retry-After", str(max(1, round(retry_after_s)))),
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
        body = msgspec.json.encode({"reason": reason, "entry": self._name})
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(body))))
        headers.append((ENTRY_HEADER, self._name))
        http.begin(status, headers)
        http.write(body)

    def _read(self, http: StrictRequest) -> tuple[str, Request]:
        if not _METHOD.fullmatch(http.method):
            raise BadRequestError(400, "method is not a word of letters")
        if not _TARGET.fullmatch(http.uri):
            raise BadRequestError(400, "path has bytes that must be escaped")
        # The raw target goes on as it came: decoding it would turn an
        # escaped slash or question mark into another path.
        raw = http.uri[len(CALL_PATH) :].decode("ascii")
        service, slash, rest = raw.partition("/")
        if "?" in service:
            service, _, query = service.partition("?")
            rest = f"?{query}{slash}{rest}"
        headers = _end_to_end(http.fields)
        body = Body(http, self._body_bytes)
        # The ledger compares whole requests, so that a key is never taken
        # for that of another request.
        keyed = http.inheaders.get(KEY_HEADER.encode()) is not None
        size = self._body_bytes + 1 if keyed else BUFFER_BYTES
        start = _read_start(body, size)
        request = Request(http.method.decode(), "/" + rest, headers, start)
        if not body.whole:
            request.rest = Rest(body.read)
        elif "content-length" in headers:
            del headers["Content-Length"]
        return service, request


def _read_start(body: Body, size: int) -> bytes:
    pieces = []
    length = 0
    while length < size and not body.whole:
        piece = body.read(min(BUFFER_BYTES, size - length))
        pieces.append(piece)
        length += len(piece)
    return b"".join(pieces)


def _end_to_end(fields: Iterable[tuple[str, str]]) -> HTTPHeaderDict:
    named: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            named |= named_by_connection(value)
    headers = HTTPHeaderDict()
    for name, value in fields:
        if name.lower() in HOP_HEADERS or name.lower() in named:
            continue
        headers.add(name, value)
    skip_user_agent(headers)
    return headers


def _read_number(
    http: StrictRequest, name: str, most: int, unit: str
) -> int | None:
    text = http.inheaders.get(name.encode().title())
    if text is None:
        return None
    if not text.isdigit() or len(text) > 9 or not 0 < int(text) <= most:
        raise BadRequestError(400, f"{name} must be 1 to {most}{unit}")
    return int(text)


def _read_deadline(http: StrictRequest) -> float | None:
    deadline_ms = _read_number(
        http, DEADLINE_HEADER, MAX_DEADLINE_MS, " milliseconds"
    )
    if deadline_ms is None:
        return None
    # The time this request waited for a worker thread is gone as well.
    waited_s: float = time.monotonic() - http.conn.ready_at
    return max(0.0, deadline_ms / 1000 - waited_s)


def _read_attempt(http: StrictRequest) -> int:
    return _read_number(http, ATTEMPT_HEADER, MAX_ATTEMPT, "") or 1


def _read_claim(
    http: StrictRequest, service: str, request: Request
) -> Claim | None:
    key = http.inheaders.get(KEY_HEADER.encode())
    if key is None:
        return None
    try:
        return build_claim(
            service,
            key.decode("latin-1"),
            request.method,
            request.target,
            request.body,
        )
    except KeyFormError as error:
        raise BadRequestError(400, f"{KEY_HEADER}: {error}") from error
