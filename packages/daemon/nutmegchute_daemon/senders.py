"""Send one attempt of a call to an endpoint and read its answer."""

import http.client
import secrets
import time
from collections.abc import Callable
from collections.abc import Iterator

from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import CLOSED
from nutmegchute_core.calls import CUT_SHORT
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from nutmegchute_core.calls import Refusal
from nutmegchute_core.evidence import UNSENT
from nutmegchute_core.members import ProcessKey
from nutmegchute_core.notices import Notice
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.exceptions import ProtocolError
from urllib3.exceptions import TimeoutError as HTTPTimeoutError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from .answer_heads import Head
from .answer_heads import MalformedAnswerError
from .answers import AnswerFormat
from .answers import BrokenAnswerError
from .answers import NAMES_ANOTHER
from .answers import NAMES_NONE
from .answers import NAMES_REQUEST
from .answers import NAMES_SEVERAL
from .answers import SHED_STATUSES
from .answers import UnprovenRefusalError
from .body_pacers import BodyPacer
from .connections import Connection
from .connections import ConnectionPool
from .connections import Exchange
from .connections import parse_keep_alive
from .errors import DaemonError

CONNECT_TIMEOUT_S = 0.25
REFUSAL_TIMEOUT_S = 0.1
BUFFER_BYTES = 65536
MIN_TIMEOUT_S = 0.001
QUERY_NAME_BYTES = 8
FIRST_FAILED_STATUS = 500

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# How an attempt was lost, for the log; CLOSED is one more.
TIMED_OUT = "timed out"
MALFORMED = "malformed answer"
# Why no connection could be opened, so that nothing was sent.
CONNECT_REFUSED = "connection refused"
CONNECT_TIMED_OUT = "connection timed out"
CONNECT_FAILED = "connection failed"


class CutBodyError(DaemonError):
    """Report that a caller did not send the rest of a body."""


class BodyRemainder:
    """Stream the rest of a long body as it arrives; it can be read once."""

    __slots__ = ("_read", "is_started")

    def __init__(self, read: Callable[[int], bytes]) -> None:
        self._read = read
        self.is_started = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next piece; an error in reading it aborts the attempt."""
        self.is_started = True
        try:
            piece = self._read(BUFFER_BYTES)
        except DaemonError as error:
            raise CutBodyError(str(error)) from error
        if not piece:
            raise StopIteration
        return piece


class Request:
    """Hold a request to be sent.

    ``body`` is the buffered beginning of the body and can be sent again;
    ``remainder``, if set, streams what follows and can be sent only once.
    ``is_query`` marks a load query, whose answer need not name it.
    """

    __slots__ = (
        "body",
        "headers",
        "is_query",
        "method",
        "remainder",
        "target",
    )

    def __init__(
        self,
        method: str,
        target: str,
        headers: HTTPHeaderDict,
        body: bytes = b"",
        remainder: BodyRemainder | None = None,
        is_query: bool = False,
    ) -> None:
        self.is_query = is_query
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.remainder = remainder

    def pieces(self) -> bytes | Iterator[bytes] | None:
        """Return the body in the form that urllib3 expects."""
        if self.remainder is None:
            return self.body or None
        return self._pieces(self.remainder)

    def _pieces(self, remainder: BodyRemainder) -> Iterator[bytes]:
        yield self.body
        yield from remainder


class Reply:
    """Hold the outcome of an attempt and the answer, if there is one."""

    __slots__ = (
        "_connection",
        "_connections",
        "_endpoint",
        "_exchange",
        "_finished",
        "_first_bytes",
        "_format",
        "_latency_s",
        "_outcome",
        "_refusal",
        "_response",
        "_wait_s",
        "carried",
        "evidence",
        "head_status",
        "is_attributed",
        "is_misdirected",
        "is_relayed",
        "loss",
        "naming",
        "reused",
        "strays",
    )

    def __init__(
        self,
        outcome: str,
        latency_s: float,
        loss: str = "",
        reused: bool = False,
        evidence: str = "",
    ) -> None:
        self.is_misdirected = False
        # Whether the answer can belong to no other request: it names this
        # one or is the first on its connection.
        self.is_attributed = True
        # The kind of evidence that the attempt did not run, empty without.
        self.evidence = evidence
        # Whether another entry has answered.
        self.is_relayed = False
        # How the attempt was lost or why no connection could be opened;
        # empty where neither is so.
        self.loss = loss
        # Whether the attempt used a connection that was open before it.
        self.reused = reused
        # Requests that the connection had carried before, None without one.
        self.carried: int | None = None
        # How the answer names the request; empty without an answer, and
        # where answers have no names.
        self.naming = ""
        # Late answers to earlier requests that came before this one.
        self.strays = 0
        # The status in the head that was read, also of a broken answer.
        self.head_status = 0
        self._outcome = outcome
        self._latency_s = latency_s
        self._response: HTTPResponse | None = None
        self._refusal: HTTPResponse | None = None
        self._first_bytes = b""
        self._finished = False

    def set_answer(
        self,
        response: HTTPResponse,
        connection: Connection,
        connections: ConnectionPool,
        endpoint: str,
        exchange: Exchange,
        wait_s: float,
        answer_format: AnswerFormat,
    ) -> None:
        """Set the answer after its head has been read."""
        self._format = answer_format
        self.is_misdirected = answer_format.is_misdirected(response)
        self._response = response
        self._connection = connection
        self._connections = connections
        self._endpoint = endpoint
        self._exchange = exchange
        self._wait_s = wait_s

    @property
    def outcome(self) -> str:
        """Return the outcome, one of the constants of core's calls."""
        return self._outcome

    @property
    def latency_s(self) -> float:
        """Return the time to the answer's first bytes, in seconds."""
        return self._latency_s

    @latency_s.setter
    def latency_s(self, latency_s: float) -> None:
        self._latency_s = latency_s

    @property
    def status(self) -> int:
        """Return the answer's status, or 0 without an answer."""
        return 0 if self._response is None else self._response.status

    @property
    def shed(self) -> bool:
        """Return whether the endpoint itself reported that nothing ran."""
        if self.is_misdirected or self._response is None:
            return False
        return self._outcome == NOT_RUN

    @property
    def failed(self) -> bool:
        """Return whether the status reports a failure of the endpoint."""
        return not self.is_relayed and self.status >= FIRST_FAILED_STATUS

    @property
    def has_length(self) -> bool:
        """Return whether the head tells where the body ends."""
        response = self._response
        return response is None or response.length_remaining is not None

    @property
    def is_framed(self) -> bool:
        """Return whether the end of a complete answer can be detected."""
        response = self._response
        if response is None or response.chunked:
            return True
        return self._finished or response.length_remaining is not None

    @property
    def load(self) -> int | None:
        """Return the in-flight count that the endpoint reported."""
        if self._response is None:
            return None
        return self._format.load(self._response.headers)

    @property
    def cold_s(self) -> float | None:
        """Return how long the endpoint stays cold, in seconds, if reported."""
        if self._response is None:
            return None
        return self._format.cold_s(self._response.headers)

    @property
    def stretch(self) -> float | None:
        """Return the reported service time as a multiple of the usual."""
        if self._response is None:
            return None
        return self._format.stretch(self._response.headers)

    def notice(
        self, process_key: ProcessKey, sent_at: float, to_query: bool = False
    ) -> Notice | None:
        """Return what the answer asks of callers, if anything is known.

        It is None without an answer, and if that may be to another request.
        """
        head = self._refusal or self._response
        if head is None or self.is_misdirected or not self.is_attributed:
            return None
        return Notice(
            process_key,
            sent_at,
            rate_limit=self._format.rate_limit(head.headers),
            to_query=to_query,
            rest_s=self._format.rest_s(head),
            is_leaving=self._format.is_leaving(head.headers),
        )

    @property
    def relay_refusal(self) -> Refusal | None:
        """Return why a helper refused the call, None if it did not."""
        if self._response is None or self._outcome != NOT_RUN:
            return None
        return self._format.refusal(self._response)

    def set_refusal(
        self, response: HTTPResponse, answer_format: AnswerFormat
    ) -> None:
        """Set a refusal that leaves open whether the call ran.

        The call counts as lost, but what the endpoint asks for is valid.
        """
        self._refusal = response
        self._format = answer_format

    def headers(self) -> list[tuple[str, str]]:
        """Return the answer's headers without the hop-by-hop ones."""
        if self._response is None:
            return []
        fields = self._response.headers
        dropped = connection_options(fields.get("connection", ""))
        if self._response.chunked:
            dropped.add("content-length")
        forwarded = []
        length_seen = False
        for name, value in fields.items():
            lower = name.lower()
            if lower in HOP_BY_HOP_HEADERS or lower in dropped:
                continue
            if not self._format.is_forwarded(lower):
                continue
            if lower == "content-length":
                if length_seen:
                    continue
                length_seen = True
            forwarded.append((name, value))
        return forwarded

    def read_start(self) -> None:
        """Read the first bytes, and all of a short answer.

        An answer that breaks within them has not been forwarded yet: it
        counts as lost, and an idempotent call can be sent elsewhere.

        :raises BrokenAnswerError: the endpoint broke off or was too slow
        """
        response = self._response
        assert response is not None
        pieces = []
        length = response.length_remaining
        short = length is not None and length <= BUFFER_BYTES
        while True:
            piece = self._read()
            pieces.append(piece)
            if not piece:
                self._finished = True
            if not piece or not short or not response.length_remaining:
                break
        self._first_bytes = b"".join(pieces)
        if short:
            self._finished = True
        if self._finished:
            self._release()

    def hold(self, max_bytes: int) -> int | None:
        """Read on up to a size; return the body's length if it has ended.

        :raises BrokenAnswerError: the endpoint broke off or was too slow
        """
        pieces = [self._first_bytes]
        held = len(self._first_bytes)
        while not self._finished and held <= max_bytes:
            piece = self._read()
            pieces.append(piece)
            held += len(piece)
            if not piece:
                self._finished = True
                self._release()
        self._first_bytes = b"".join(pieces)
        return held if self._finished else None

    def body(self) -> Iterator[bytes]:
        """Yield the body.

        :raises BrokenAnswerError: the answer ended before its end
        """
        if self._first_bytes:
            yield self._first_bytes
        while not self._finished:
            piece = self._read()
            if not piece:
                self._finished = True
                self._release()
                return
            yield piece

    def close(self) -> None:
        """Close the connection if the answer has not been read to its end."""
        if self._response is None or self._finished:
            return
        self._finished = True
        # The upstream sees its connection close and can stop working.
        self._exchange.shut_down()
        self._exchange.detach()
        self._response.close()
        self._connection.close()

    def _read(self) -> bytes:
        """Read a piece; the time limit covers only waits for the endpoint."""
        response = self._response
        assert response is not None
        started = time.monotonic()
        self._exchange.wait_until = started + self._wait_s
        self._connection.limit(started + self._wait_s)
        try:
            piece = response.read1(BUFFER_BYTES, decode_content=False)
        except (HTTPError, OSError, http.client.HTTPException) as error:
            self.close()
            raise BrokenAnswerError(str(error)) from error
        finally:
            self._exchange.wait_until = None
            self._wait_s -= time.monotonic() - started
        if self._exchange.ended or (piece and self._wait_s <= 0):
            # A socket shut down here ends like one that the endpoint closed;
            # without a length that would pass for a complete answer.
            self.close()
            raise BrokenAnswerError("ended by this entry")
        return piece

    def _release(self) -> None:
        """Return the connection to the pool if it is reusable, or close it."""
        assert self._response is not None
        self._response.close()
        intact = self._exchange.detach()
        if intact and self._connection.is_reusable:
            keep_s = parse_keep_alive(
                self._response.headers.get("keep-alive", "")
            )
            self._connections.release(self._endpoint, self._connection, keep_s)
        else:
            self._connection.close()


class Sender:
    """Send attempts over pooled connections."""

    __slots__ = ("_connections", "_format", "_pacer")

    def __init__(
        self,
        connections: ConnectionPool,
        answer_format: AnswerFormat | None = None,
        pacer: BodyPacer | None = None,
    ) -> None:
        self._connections = connections
        self._format = answer_format or AnswerFormat()
        self._pacer = pacer or BodyPacer()

    def request_name(self, headers: HTTPHeaderDict) -> str | None:
        """Return the name that the answer must repeat, None without one."""
        return self._format.request_name(headers)

    def send(
        self,
        request: Request,
        endpoint: str,
        remaining_s: float,
        exchange: Exchange,
        fresh: bool = False,
    ) -> Reply:
        """Make one attempt and read the answer's head and first bytes.

        ``fresh`` opens a connection even if one is idle.
        """
        if remaining_s <= 0:
            return Reply(NOT_RUN, 0.0, evidence=UNSENT)
        started = time.monotonic()
        deadline = started + remaining_s
        connection = None
        if not fresh:
            name = self._format.request_name(request.headers)
            connection = self._connections.acquire(endpoint, name)
        reused = connection is not None
        if connection is None:
            try:
                connection = self._connect(endpoint, remaining_s)
            except (HTTPError, OSError) as error:
                latency_s = time.monotonic() - started
                loss = _connect_failure(error)
                return Reply(NOT_RUN, latency_s, loss, evidence=UNSENT)
        sock = connection.sock
        assert sock is not None
        wait_s = deadline - time.monotonic()
        if not exchange.attach(sock) or wait_s <= 0:
            # Nothing was written: connecting took all the remaining time,
            # or the call ended meanwhile.
            connection.close()
            latency_s = time.monotonic() - started
            outcome = CANCELLED if exchange.ended else NOT_RUN
            return Reply(outcome, latency_s, reused=reused, evidence=UNSENT)
        response = None
        carried = connection.carried
        connection.carried += 1
        connection.earlier.begin(
            self._format.name_header,
            self._format.request_name(request.headers),
            request.method,
        )
        try:
            response = self._send_request(
                request, connection, exchange, deadline
            )
            evidence = self._read_evidence(request, response, connection)
            reply = self._read_reply(
                request,
                response,
                evidence,
                connection,
                endpoint,
                exchange,
                started,
                deadline,
            )
        except (
            DaemonError,
            HTTPError,
            OSError,
            http.client.HTTPException,
        ) as error:
            # From the first byte written the request may have run, even if
            # writing the rest failed.
            exchange.detach()
            connection.close()
            latency_s = time.monotonic() - started
            if exchange.ended:
                reply = Reply(CANCELLED, latency_s)
            else:
                reply = Reply(LOST, latency_s, _loss_reason(error))
            if isinstance(error, UnprovenRefusalError):
                assert response is not None
                reply.set_refusal(response, self._format)
        reply.reused = reused
        reply.carried = carried
        if connection.answer is not None:
            reply.strays = connection.answer.strays
        if response is not None:
            reply.head_status = response.status
            reply.naming = self._format.naming(request.headers, response)
            reply.is_attributed = reply.naming == NAMES_REQUEST or not carried
        return reply

    def build_query(self, path: str) -> Request:
        """Build a load query with a name that no other request has."""
        name = secrets.token_hex(QUERY_NAME_BYTES)
        headers = HTTPHeaderDict({self._format.name_header: name})
        suppress_user_agent(headers)
        return Request("GET", path, headers, is_query=True)

    def refuses_connections(self, endpoint: str) -> bool:
        """Return whether nothing listens at an endpoint's address any more.

        A closed connection does not show that the endpoint's process ended:
        one that is full, or loses an answer, closes connections as well.
        """
        connection = self._connections.create(endpoint, REFUSAL_TIMEOUT_S)
        try:
            connection.connect()
        except NewConnectionError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        except (HTTPError, OSError):
            return False
        finally:
            connection.close()
        return False

    def _connect(self, endpoint: str, remaining_s: float) -> Connection:
        """Open a connection.

        :raises HTTPError: it was refused or timed out
        :raises OSError: the network failed otherwise
        """
        timeout_s = max(MIN_TIMEOUT_S, min(CONNECT_TIMEOUT_S, remaining_s))
        connection = self._connections.create(endpoint, timeout_s)
        try:
            connection.connect()
        except (HTTPError, OSError):
            connection.close()
            raise
        return connection

    def _send_request(
        self,
        request: Request,
        connection: Connection,
        exchange: Exchange,
        deadline: float,
    ) -> HTTPResponse:
        exchange.wait_until = deadline
        connection.limit(deadline)
        connection.timeout = max(MIN_TIMEOUT_S, deadline - time.monotonic())
        headers = request.headers
        pieces = request.pieces()
        if self._pacer.paces(len(request.body)):
            if request.remainder is None:
                headers = headers.copy()
                headers["Content-Length"] = str(len(request.body))
            pieces = self._pacer.split(
                [pieces] if isinstance(pieces, bytes) else pieces or []
            )
        try:
            connection.request(
                request.method,
                request.target,
                body=pieces,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # An endpoint that sheds a call may answer and close before it
            # has read a long body. Its answer is read all the same: without
            # it a call that has not run would count as lost.
            connection.partly_sent = True
        connection.timeout = max(MIN_TIMEOUT_S, deadline - time.monotonic())
        return connection.getresponse()

    def _read_evidence(
        self, request: Request, response: HTTPResponse, connection: Connection
    ) -> str:
        """Return the kind of evidence that the call did not run, or none.

        :raises BrokenAnswerError: the answer may belong to another request
        """
        if request.is_query:
            self._check_query_answer(request, response, connection)
            return ""
        evidence = self._format.read_evidence(request.headers, response)
        naming = self._format.naming(request.headers, response)
        answer = connection.answer
        assert answer is not None
        if evidence and answer.unmatched_bytes:
            raise BrokenAnswerError("rejection behind an unknown body")
        if naming == NAMES_NONE:
            if connection.carried > 1:
                raise BrokenAnswerError("answer that names no request")
            connection.is_doubtful = True
        if not naming and _may_be_repeated(response.status):
            # A late answer may have come before that to a call without id.
            connection.is_doubtful = True
        return evidence

    def _check_query_answer(
        self, request: Request, response: HTTPResponse, connection: Connection
    ) -> None:
        """Check the answer to a load query.

        Endpoints may leave out its name where they report their load.

        :raises BrokenAnswerError: it answers another request
        """
        naming = self._format.naming(request.headers, response)
        if naming in (NAMES_ANOTHER, NAMES_SEVERAL):
            raise BrokenAnswerError(f"answer that names {naming}")
        if naming == NAMES_NONE and _may_be_repeated(response.status):
            # The query was rejected, or a late answer came before its own.
            connection.is_doubtful = True

    def _read_reply(
        self,
        request: Request,
        response: HTTPResponse,
        evidence: str,
        connection: Connection,
        endpoint: str,
        exchange: Exchange,
        started: float,
        deadline: float,
    ) -> Reply:
        shed = bool(evidence)
        outcome = NOT_RUN if shed else ANSWERED
        reply = Reply(outcome, 0.0, evidence=evidence)
        wait_s = deadline - time.monotonic()
        reply.set_answer(
            response,
            connection,
            self._connections,
            endpoint,
            exchange,
            wait_s,
            self._format,
        )
        if shed:
            self._end_rejection(request, reply, connection)
        else:
            reply.read_start()
        reply.latency_s = time.monotonic() - started
        return reply

    def _end_rejection(
        self, request: Request, reply: Reply, connection: Connection
    ) -> None:
        """Read the rest of a rejection, as far as it has arrived.

        :raises BrokenAnswerError: it is followed by another answer
        """
        connection.record_rejection(self._format.request_name(request.headers))
        answer = connection.answer
        assert answer is not None
        if not answer.has_body():
            # The call can be sent elsewhere without the rest.
            reply.close()
            return
        reply.read_start()
        for _ in reply.body():
            continue
        if answer.is_contradicted or self._is_run(request, answer.next_head):
            raise BrokenAnswerError("answers that contradict each other")

    def _is_run(self, request: Request, head: Head | None) -> bool:
        """Return whether an answer to a request is no rejection of it."""
        if head is None:
            return False
        response = HTTPResponse(
            headers=HTTPHeaderDict(head.fields), status=head.status
        )
        naming = self._format.naming(request.headers, response)
        if naming != NAMES_REQUEST:
            return False
        try:
            return not self._format.read_evidence(request.headers, response)
        except BrokenAnswerError:
            return True


def _may_be_repeated(status: int) -> bool:
    """Return whether a load query's answer with this status may come late."""
    return status in SHED_STATUSES or status >= FIRST_FAILED_STATUS


def _loss_reason(error: Exception) -> str:
    """Return how an attempt was lost, as far as the error shows it."""
    if isinstance(error, CutBodyError):
        return CUT_SHORT
    cause = error.__cause__ if isinstance(error, BrokenAnswerError) else error
    if cause is not None and isinstance(cause.__cause__, MalformedAnswerError):
        return MALFORMED
    if isinstance(cause, (TimeoutError, HTTPTimeoutError)):
        return TIMED_OUT
    if isinstance(cause, (OSError, ProtocolError)):
        return CLOSED
    return MALFORMED


def _connect_failure(error: Exception) -> str:
    """Return why no connection could be opened."""
    if isinstance(error, NewConnectionError):
        # A subclass of the library's error for a timeout.
        refused = isinstance(error.__cause__, ConnectionRefusedError)
        return CONNECT_REFUSED if refused else CONNECT_FAILED
    if isinstance(error, (TimeoutError, HTTPTimeoutError)):
        return CONNECT_TIMED_OUT
    return CONNECT_FAILED


def connection_options(value: str) -> set[str]:
    """Return the header names listed in a Connection header."""
    return {
        option.strip().lower() for option in value.split(",") if option.strip()
    }


def suppress_user_agent(headers: HTTPHeaderDict) -> None:
    """Prevent the library from adding a User-Agent of its own."""
    if "user-agent" not in headers:
        headers["User-Agent"] = SKIP_HEADER
