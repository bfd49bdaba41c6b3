"""Send one attempt of a call to an endpoint by urllib3."""

import time
from collections.abc import Iterator

import urllib3
from nutmegchute_core.calls import ANSWERED
from nutmegchute_core.calls import LOST
from nutmegchute_core.calls import NOT_RUN
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError

from .protocols import LOAD_HEADER
from .protocols import NOT_RUN_HEADER

CONNECT_TIMEOUT_S = 0.25
CONNECTIONS = 64
BUFFER_BYTES = 65536

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
    }
)


class Request:
    """Hold what is sent, so that an attempt can be made again."""

    __slots__ = ("_body", "_headers", "_method", "_target")

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self._method = method
        self._target = target
        self._headers = headers
        self._body = body

    @property
    def method(self) -> str:
        """Name the method."""
        return self._method

    @property
    def target(self) -> str:
        """Give path and query."""
        return self._target

    @property
    def headers(self) -> dict[str, str]:
        """Map header names to values, hop-by-hop ones left out."""
        return self._headers

    @property
    def body(self) -> bytes:
        """Give the whole body."""
        return self._body


class Reply:
    """Hold how an attempt ended and, when answered, the answer."""

    __slots__ = (
        "_headers",
        "_latency_s",
        "_load",
        "_outcome",
        "_response",
        "_start",
        "_status",
    )

    def __init__(
        self,
        outcome: str,
        latency_s: float,
        response: urllib3.BaseHTTPResponse | None = None,
        start: bytes = b"",
    ) -> None:
        self._outcome = outcome
        self._latency_s = latency_s
        self._response = response
        self._start = start
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._load: int | None = None
        if response is None:
            return
        self._status = response.status
        for name, value in response.headers.items():
            if name.lower() in HOP_HEADERS:
                continue
            self._headers.append((name, value))
        load = response.headers.get(LOAD_HEADER, "")
        if load.isdigit():
            self._load = int(load)

    @property
    def outcome(self) -> str:
        """Name the outcome: answered, not_run or lost."""
        return self._outcome

    @property
    def latency_s(self) -> float:
        """Give the time to the answer's head, in seconds."""
        return self._latency_s

    @property
    def status(self) -> int:
        """Give the answer's status."""
        return self._status

    @property
    def headers(self) -> list[tuple[str, str]]:
        """List the answer's headers, hop-by-hop ones left out."""
        return self._headers

    @property
    def load(self) -> int | None:
        """Give the in-flight count that the endpoint reported."""
        return self._load

    def body(self) -> Iterator[bytes]:
        """Yield the body; HTTPError says that it was cut short."""
        if self._response is None:
            return
        if self._start:
            yield self._start
        yield from self._response.stream(BUFFER_BYTES)
        self._response.release_conn()

    def close(self) -> None:
        """Close the connection of an exchange that was abandoned."""
        if self._response is not None:
            self._response.close()


class Sender:
    """Keep connections to the endpoints."""

    __slots__ = ("_pools",)

    def __init__(self) -> None:
        self._pools = urllib3.PoolManager(
            num_pools=1024, maxsize=CONNECTIONS, block=False
        )

    def send(
        self, request: Request, endpoint: str, remaining_s: float
    ) -> Reply:
        """Make one attempt and read the answer's head and first bytes."""
        started = time.monotonic()
        response = None
        try:
            response = self._pools.urlopen(
                request.method,
                f"http://{endpoint}{request.target}",
                body=request.body or None,
                headers=request.headers,
                preload_content=False,
                redirect=False,
                retries=False,
                timeout=urllib3.Timeout(
                    connect=min(CONNECT_TIMEOUT_S, remaining_s),
                    read=remaining_s,
                ),
            )
            # Reading the first bytes before the caller sees the head lets
            # a short answer that was cut still count as lost, not as one
            # that ended well.
            start = response.read(BUFFER_BYTES)
        except (NewConnectionError, ConnectTimeoutError):
            return Reply(NOT_RUN, time.monotonic() - started)
        except HTTPError:
            if response is not None:
                response.close()
            return Reply(LOST, time.monotonic() - started)
        latency_s = time.monotonic() - started
        if NOT_RUN_HEADER in response.headers:
            response.drain_conn()
            return Reply(NOT_RUN, latency_s)
        return Reply(ANSWERED, latency_s, response, start)
