"""Take calls from callers and see each through to one outcome."""

import queue
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from http.client import responses
from typing import Any
from typing import Protocol

import msgspec
from nutmegchute_core.calls import CallAction
from nutmegchute_core.calls import Finish
from nutmegchute_core.calls import Known
from nutmegchute_core.calls import Lose
from nutmegchute_core.calls import Refuse
from nutmegchute_core.calls import Result
from nutmegchute_core.calls import Send
from nutmegchute_core.claims import Claim
from nutmegchute_core.claims import MISMATCH
from nutmegchute_core.claims import OPEN
from nutmegchute_core.claims import RAN
from urllib3.exceptions import HTTPError

from .claims import build_claim
from .claims import KeyFormError
from .errors import DaemonError
from .protocols import ATTEMPT_HEADER
from .protocols import DEADLINE_HEADER
from .protocols import ENTRY_HEADER
from .protocols import KEY_HEADER
from .protocols import NOT_RUN
from .protocols import OUTCOME_HEADER
from .protocols import RAN_STATUS_HEADER
from .protocols import UNKNOWN
from .senders import HOP_HEADERS
from .senders import Reply
from .senders import Request
from .senders import Sender
from .servers import LoopAsker

CALL_PATH = "/call"
ACTION_GRACE_S = 5.0
MAX_DEADLINE_MS = 600000

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class BadRequestError(DaemonError):
    """Say what a caller sent that cannot be taken; nothing ran."""


class Ticket:
    """Carry the loop's actions for one call to its worker thread.

    ``claim`` is the call's idempotency key and ``claimed`` tells whether
    its rule asks for one; ``status`` is that of the answer read last.
    """

    __slots__ = ("_actions", "call_id", "claim", "claimed", "status")

    def __init__(self, claim: Claim | None = None) -> None:
        self.call_id = 0
        self.claim = claim
        self.claimed = False
        self.status = 0
        self._actions: queue.SimpleQueue[CallAction] = queue.SimpleQueue()

    def put(self, action: CallAction) -> None:
        """Hand over an action; the loop calls this."""
        self._actions.put(action)

    def take(self, timeout_s: float) -> CallAction | None:
        """Wait for the next action; None says that none came."""
        try:
            return self._actions.get(timeout=timeout_s)
        except queue.Empty:
            return None


class Desk(Protocol):
    """Describe what the entry's loop does for a call."""

    def open_call(
        self,
        ticket: Ticket,
        service: str,
        method: str,
        path: str,
        deadline_s: float | None,
    ) -> None:
        """Admit a call; its actions go to the ticket."""

    def end_attempt(self, result: Result) -> None:
        """Take the end of an attempt."""


class CallApplication:
    """Serve calls as a WSGI application on CherryPy's worker threads."""

    __slots__ = ("_asker", "_body_bytes", "_desk", "_name", "_sender")

    def __init__(
        self, desk: Desk, asker: LoopAsker, name: str, body_bytes: int
    ) -> None:
        self._desk = desk
        self._asker = asker
        self._name = name
        self._body_bytes = body_bytes
        self._sender = Sender()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        try:
            service, request = self._read(environ)
            deadline_s = _read_deadline(environ)
            claim = _read_claim(environ, service, request)
        except BadRequestError as error:
            return self._refuse(start_response, 400, str(error), 0.0)
        ticket = Ticket(claim)
        path = request.target.partition("?")[0]
        self._asker.tell(
            self._desk.open_call,
            ticket,
            service,
            request.method,
            path,
            deadline_s,
        )
        return self._follow(ticket, request, start_response)

    def _follow(
        self, ticket: Ticket, request: Request, start_response: StartResponse
    ) -> Iterable[bytes]:
        reply: Reply | None = None
        while True:
            action = ticket.take(MAX_DEADLINE_MS / 1000 + ACTION_GRACE_S)
            if isinstance(action, Send):
                reply = self._attempt(ticket, action, request)
                continue
            if isinstance(action, Refuse):
                return self._refuse(
                    start_response, 503, action.reason, action.retry_after_s
                )
            if isinstance(action, Known):
                return self._repeat(start_response, action)
            if isinstance(action, Finish) and reply is not None:
                return self._answer(reply, start_response)
            reason = action.reason if isinstance(action, Lose) else "no word"
            return self._lose(start_response, reason)

    def _attempt(self, ticket: Ticket, send: Send, request: Request) -> Reply:
        request.headers[ATTEMPT_HEADER] = str(send.attempt)
        remaining_ms = max(1, int(send.remaining_s * 1000))
        request.headers[DEADLINE_HEADER] = str(remaining_ms)
        reply = self._sender.send(request, send.endpoint, send.remaining_s)
        ticket.status = reply.status
        result = Result(
            call_id=send.call_id,
            attempt=send.attempt,
            outcome=reply.outcome,
            latency_s=reply.latency_s,
            load=reply.load,
        )
        self._asker.tell(self._desk.end_attempt, result)
        return reply

    def _answer(
        self, reply: Reply, start_response: StartResponse
    ) -> Iterator[bytes]:
        headers = [*reply.headers, (ENTRY_HEADER, self._name)]
        start_response(_status_line(reply.status), headers)
        return _pass_on(reply)

    def _refuse(
        self,
        start_response: StartResponse,
        status: int,
        reason: str,
        retry_after_s: float,
    ) -> list[bytes]:
        headers = [
            (OUTCOME_HEADER, NOT_RUN),
            ("Retry-After", str(max(1, round(retry_after_s)))),
        ]
        return self._say(start_response, status, headers, reason)

    def _repeat(
        self, start_response: StartResponse, known: Known
    ) -> list[bytes]:
        """Tell a caller that sent a key again what became of the first."""
        if known.outcome == MISMATCH:
            reason = f"the {KEY_HEADER} belongs to another request"
            headers = [(OUTCOME_HEADER, NOT_RUN)]
            return self._say(start_response, 422, headers, reason)
        if known.outcome == RAN:
            reason = f"it ran and was answered with status {known.status}"
            headers = [
                (OUTCOME_HEADER, RAN),
                (RAN_STATUS_HEADER, str(known.status)),
            ]
            return self._say(start_response, 409, headers, reason)
        headers = [(OUTCOME_HEADER, UNKNOWN)]
        reason = "it may have run"
        if known.outcome == OPEN:
            reason = "it is under way, or its entry broke off"
            headers.append(("Retry-After", "1"))
        return self._say(start_response, 409, headers, reason)

    def _lose(self, start_response: StartResponse, reason: str) -> list[bytes]:
        headers = [(OUTCOME_HEADER, UNKNOWN)]
        return self._say(start_response, 502, headers, reason)

    def _say(
        self,
        start_response: StartResponse,
        status: int,
        headers: list[tuple[str, str]],
        reason: str,
    ) -> list[bytes]:
        body = msgspec.json.encode({"reason": reason, "entry": self._name})
        headers.append(("Content-Type", "application/json"))
        headers.append(("Content-Length", str(len(body))))
        headers.append((ENTRY_HEADER, self._name))
        start_response(_status_line(status), headers)
        return [body]

    def _read(self, environ: dict[str, Any]) -> tuple[str, Request]:
        service, _, rest = environ["PATH_INFO"].lstrip("/").partition("/")
        target = "/" + rest
        if environ.get("QUERY_STRING"):
            target += "?" + environ["QUERY_STRING"]
        headers = {}
        for name, value in environ.items():
            if not name.startswith("HTTP_"):
                continue
            plain = name[len("HTTP_") :].replace("_", "-").title()
            if plain.lower() in HOP_HEADERS:
                continue
            headers[plain] = value
        if environ.get("CONTENT_TYPE"):
            headers["Content-Type"] = environ["CONTENT_TYPE"]
        body = self._read_body(environ)
        method = environ["REQUEST_METHOD"]
        return service, Request(method, target, headers, body)

    def _read_body(self, environ: dict[str, Any]) -> bytes:
        body: bytes = environ["wsgi.input"].read(self._body_bytes + 1)
        if len(body) > self._body_bytes:
            raise BadRequestError(
                f"body is larger than {self._body_bytes} bytes"
            )
        return body


def _read_deadline(environ: dict[str, Any]) -> float | None:
    name = "HTTP_" + DEADLINE_HEADER.upper().replace("-", "_")
    text = environ.get(name)
    if text is None:
        return None
    if not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
        raise BadRequestError(
            f"{DEADLINE_HEADER} must be 1 to {MAX_DEADLINE_MS} milliseconds"
        )
    return int(text) / 1000


def _read_claim(
    environ: dict[str, Any], service: str, request: Request
) -> Claim | None:
    key = environ.get("HTTP_" + KEY_HEADER.upper().replace("-", "_"))
    if key is None:
        return None
    try:
        return build_claim(
            service, key, request.method, request.target, request.body
        )
    except KeyFormError as error:
        raise BadRequestError(f"{KEY_HEADER}: {error}") from error


def _status_line(status: int) -> str:
    return f"{status} {responses.get(status, 'Unknown')}"


def _pass_on(reply: Reply) -> Iterator[bytes]:
    try:
        yield from reply.body()
    except HTTPError:
        # The head is with the caller already. Ending the generator here
        # would look like a whole answer; the error makes the server
        # close the connection, so that the caller sees a cut one.
        reply.close()
        raise
    except GeneratorExit:
        reply.close()
        raise
