"""Send one attempt of a call to an endpoint and take its answer."""

import http.client
import re
import time
from collections.abc import Callable
from collections.abc import Iterator

from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import CANCELLED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.exceptions import ProtocolError
from urllib3.exceptions import TimeoutError as HTTPTimeoutError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from .answers import AnswerFormat
from .answers import BrokenAnswerError
from .connections import Connection
from .connections import ConnectionPool
from .connections import Exchange
from .connections import idle_s
from .errors import DaemonError

CONNECT_TIMEOUT_S = 0.25
REFUSAL_TIMEOUT_S = 0.1
BUFFER_BYTES = 65536
LEAST_TIMEOUT_S = 0.001
FIRST_FINAL_STATUS = 200
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

# How an attempt was lost, for the log.
CLOSED = "closed"
TIMED_OUT = "timed out"
MALFORMED = "malformed answer"

_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_FOLD = re.compile(r"[\r\n]+[ \t]*")


class BodyRest:
    """Pass on the rest of a long body as it comes; it is read only once."""

    __slots__ = ("_read", "begun")

    def __init__(self, read: Callable[[int], bytes]) -> None:
        self._read = read
        self.begun = False

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        """Return the next piece; an error cuts the exchange short."""
        self.begun = True
        piece = self._read(BUFFER_BYTES)
        if not piece:
            raise StopIteration
        return piece


class Request:
    """Hold what is sent; a body of bytes can be sent again."""

    __slots__ = ("body", "headers", "method", "rest", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: HTTPHeaderDict,
        body: bytes = b"",
        rest: BodyRest | None = None,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.rest = rest

    def pieces(self) -> bytes | Iterator[bytes] | None:
        """Give the body as urllib3 takes it."""
        if self.rest is None:
            return self.body or None
        return self._pieces(self.rest)

    def _pieces(self, rest: BodyRest) -> Iterator[bytes]:
        yield self.body
        yield from rest


class Reply:
    """Hold how an attempt ended and, when answered, the answer."""

    __slots__ = (
        "_connection",
        "_connections",
        "_endpoint",
        "_exchange",
        "_format",
        "_latency_s",
        "_outcome",
        "_response",
        "_start",
        "_wait_s",
        "_whole",
        "is_misdirected",
        "loss",
    )

    def __init__(self, outcome: str, latency_s: float, loss: str = "") -> None:
        self.is_misdirected = False
        # How the attempt was lost; empty where it was not.
        self.loss = loss
        self._outcome = outcome
        self._latency_s = latency_s
        self._response: HTTPResponse | None = None
        self._start = b""
        self._whole = False

    def take(
        self,
        response: HTTPResponse,
        connection: Connection,
        connections: ConnectionPool,
        endpoint: str,
        exchange: Exchange,
        wait_s: float,
        answer_format: AnswerFormat,
    ) -> None:
        """Take the answer whose head has come."""
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
        """Name the outcome, one of those in core's calls."""
        return self._outcome

    @property
    def latency_s(self) -> float:
        """Give the time to the answer's first bytes, in seconds."""
        return self._latency_s

    @latency_s.setter
    def latency_s(self, latency_s: float) -> None:
        self._latency_s = latency_s

    @property
    def status(self) -> int:
        """Give the answer's status."""
        return 0 if self._response is None else self._response.status

    @property
    def shed(self) -> bool:
        """Tell whether the endpoint itself said that it ran nothing."""
        if self.is_misdirected or self._response is None:
            return False
        return self._outcome == NOT_RUN

    @property
    def failed(self) -> bool:
        """Tell whether the answer says that the endpoint is broken."""
        return self.status >= FIRST_FAILED_STATUS

    @property
    def is_framed(self) -> bool:
        """Tell whether the end of the answer can be told from a cut."""
        response = self._response
        if response is None or response.chunked:
            return True
        return self._whole or response.length_remaining is not None

    @property
    def load(self) -> int | None:
        """Give the in-flight count that the endpoint reported."""
        if self._response is None:
            return None
        return self._format.load(self._response.headers)

    @property
    def cold_s(self) -> float | None:
        """Give for how many seconds more the endpoint is cold, if told."""
        if self._response is None:
            return None
        return self._format.cold_s(self._response.headers)

    @property
    def stretch(self) -> float | None:
        """Give how much longer than usual the endpoint says work takes."""
        if self._response is None:
            return None
        return self._format.stretch(self._response.headers)

    def headers(self) -> list[tuple[str, str]]:
        """List the answer's headers, those of the connection left out."""
        if self._response is None:
            return []
        fields = self._response.headers
        dropped = connection_options(fields.get("connection", ""))
        if self._response.chunked:
            dropped.add("content-length")
        kept = []
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
            kept.append((name, _FOLD.sub(" ", value)))
        return kept

    def read_start(self) -> None:
        """Read the first bytes, and all of a short answer.

        An answer that is cut within them was not passed on yet: it counts
        as lost, and an idempotent call can be sent elsewhere.

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
                self._whole = True
            if not piece or not short or not response.length_remaining:
                break
        self._start = b"".join(pieces)
        if short:
            self._whole = True
        if self._whole:
            self._release()

    def body(self) -> Iterator[bytes]:
        """Yield the body; BrokenAnswerError says that it was cut short."""
        if self._start:
            yield self._start
        while not self._whole:
            piece = self._read()
            if not piece:
                self._whole = True
                self._release()
                return
            yield piece

    def close(self) -> None:
        """Close the connection of an exchange that was abandoned."""
        if self._response is None or self._whole:
            return
        self._whole = True
        # An upstream sees the end of its connection and can stop working.
        self._exchange.shut()
        self._exchange.detach()
        self._response.close()
        self._connection.close()

    def _read(self) -> bytes:
        """Read a piece; only the wait for the endpoint is counted."""
        response = self._response
        assert response is not None
        started = time.monotonic()
        self._exchange.wait_until = started + self._wait_s
        try:
            piece = response.read1(BUFFER_BYTES, decode_content=False)
        except (HTTPError, OSError, http.client.HTTPException) as error:
            self.close()
            raise BrokenAnswerError(str(error)) from error
        finally:
            self._exchange.wait_until = None
            self._wait_s -= time.monotonic() - started
        if self._exchange.ended or (piece and self._wait_s <= 0):
            # A socket shut from here ends like one closed by the other
            # side; without a length that would pass for a whole answer.
            self.close()
            raise BrokenAnswerError("ended by this entry")
        return piece

    def _release(self) -> None:
        """Give the connection back if it is clean, or close it."""
        assert self._response is not None
        self._response.close()
        kept = self._exchange.detach()
        if kept and self._connection.clean:
            keep_s = idle_s(self._response.headers.get("keep-alive", ""))
            self._connections.release(self._endpoint, self._connection, keep_s)
        else:
            self._connection.close()


class Sender:
    """Send attempts over kept connections."""

    __slots__ = ("_connections", "_format")

    def __init__(
        self,
        connections: ConnectionPool,
        answer_format: AnswerFormat | None = None,
    ) -> None:
        self._connections = connections
        self._format = answer_format or AnswerFormat()

    def send(
        self,
        request: Request,
        endpoint: str,
        remaining_s: float,
        exchange: Exchange,
    ) -> Reply:
        """Make one attempt and read the answer's head and first bytes."""
        started = time.monotonic()
        deadline = started + remaining_s
        connection = self._connect(endpoint, remaining_s)
        if connection is None:
            return Reply(NOT_RUN, time.monotonic() - started)
        sock = connection.sock
        assert sock is not None
        wait_s = deadline - time.monotonic()
        if not exchange.attach(sock) or wait_s <= 0:
            # Nothing was written: connecting took all the time there was,
            # or the call ended meanwhile.
            connection.close()
            outcome = CANCELLED if exchange.ended else NOT_RUN
            return Reply(outcome, time.monotonic() - started)
        try:
            response = self._exchange(request, connection, exchange, deadline)
            self._format.check(request.headers, response)
            reply = self._take(
                response, connection, endpoint, exchange, started, deadline
            )
        except (
            DaemonError,
            HTTPError,
            OSError,
            http.client.HTTPException,
        ) as error:
            # From the first byte written the request may have run, also
            # where writing itself failed.
            exchange.detach()
            connection.close()
            latency_s = time.monotonic() - started
            if exchange.ended:
                return Reply(CANCELLED, latency_s)
            return Reply(LOST, latency_s, _loss(error))
        return reply

    def refuses_connections(self, endpoint: str) -> bool:
        """Tell whether nothing listens at an endpoint's address any more.

        A connection that was closed does not show that its endpoint ended:
        one that is full, or loses an answer, closes connections as well.
        """
        connection = self._connections.open(endpoint, REFUSAL_TIMEOUT_S)
        try:
            connection.connect()
        except NewConnectionError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        except (HTTPError, OSError):
            return False
        finally:
            connection.close()
        return False

    def _connect(self, endpoint: str, remaining_s: float) -> Connection | None:
        connection = self._connections.acquire(endpoint)
        if connection is not None:
            return connection
        timeout_s = max(LEAST_TIMEOUT_S, min(CONNECT_TIMEOUT_S, remaining_s))
        connection = self._connections.open(endpoint, timeout_s)
        try:
            connection.connect()
        except (HTTPError, OSError):
            connection.close()
            return None
        return connection

    def _exchange(
        self,
        request: Request,
        connection: Connection,
        exchange: Exchange,
        deadline: float,
    ) -> HTTPResponse:
        exchange.wait_until = deadline
        connection.timeout = max(LEAST_TIMEOUT_S, deadline - time.monotonic())
        try:
            connection.request(
                request.method,
                request.target,
                body=request.pieces(),
                headers=request.headers,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # An endpoint that sheds a long body may say so and close before
            # it has read it. Its answer is worth reading: without it a call
            # that has not run would be lost to its caller.
            connection.part_sent = True
        connection.timeout = max(LEAST_TIMEOUT_S, deadline - time.monotonic())
        response = connection.getresponse()
        if response.status < FIRST_FINAL_STATUS:
            # The library takes an early hint for the whole answer; the
            # true one would be given to the next call.
            raise BrokenAnswerError("interim answer")
        for name in response.headers:
            if not _NAME.fullmatch(name):
                raise BrokenAnswerError("malformed header")
        return response

    def _take(
        self,
        response: HTTPResponse,
        connection: Connection,
        endpoint: str,
        exchange: Exchange,
        started: float,
        deadline: float,
    ) -> Reply:
        shed = self._format.not_run(response)
        reply = Reply(NOT_RUN if shed else ANSWERED, 0.0)
        wait_s = deadline - time.monotonic()
        reply.take(
            response,
            connection,
            self._connections,
            endpoint,
            exchange,
            wait_s,
            self._format,
        )
        try:
            reply.read_start()
        except BrokenAnswerError:
            if not shed:
                raise
        if shed:
            # Its head said so before anything ran; the body is of no use.
            reply.close()
        reply.latency_s = time.monotonic() - started
        return reply


def _loss(error: Exception) -> str:
    """Say what an error tells of how an attempt was lost."""
    cause = error.__cause__ if isinstance(error, BrokenAnswerError) else error
    if isinstance(cause, (TimeoutError, HTTPTimeoutError)):
        return TIMED_OUT
    if isinstance(cause, (OSError, ProtocolError)):
        return CLOSED
    return MALFORMED


def connection_options(value: str) -> set[str]:
    """Return the headers that the Connection header names as its own."""
    return {word.strip().lower() for word in value.split(",") if word.strip()}


def suppress_user_agent(headers: HTTPHeaderDict) -> None:
    """Keep the library from naming itself where the caller did not."""
    if "user-agent" not in headers:
        headers["User-Agent"] = SKIP_HEADER
