"""Read a call from a caller's request, or report why it is refused."""

import re
import time
from collections.abc import Iterable

from nutmegchute_core.claims import Claim
from urllib3 import HTTPHeaderDict

from .claims import build_claim
from .claims import InvalidKeyError
from .errors import DaemonError
from .exchanges import BadBodyError
from .exchanges import Body
from .exchanges import MAX_PIECE_BYTES
from .exchanges import StrictRequest
from .pending_calls import Arrival
from .pending_calls import PendingCall
from .protocols import ATTEMPT_HEADER
from .protocols import DEADLINE_HEADER
from .protocols import KEY_HEADER
from .protocols import RELAY_PREFIX
from .senders import BodyRemainder
from .senders import BUFFER_BYTES
from .senders import connection_options
from .senders import HOP_BY_HOP_HEADERS
from .senders import Request
from .senders import suppress_user_agent

CALL_PATH = b"/call/"
MAX_DEADLINE_MS = 600000
MAX_ATTEMPT = 1000
AUTHORIZATION = "authorization"
BEARER = "bearer"

_TARGET = re.compile(rb"[\x21-\x7e]+")
_METHOD = re.compile(rb"[A-Z]{1,32}")


class BadRequestError(DaemonError):
    """Report why a request is not accepted; nothing ran."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def read_call(
    http: StrictRequest, body_bytes: int, buffer_bytes: int
) -> PendingCall:
    """Read a call from a request.

    Of its body ``buffer_bytes`` are read here, the rest when it is sent.

    :raises BadRequestError: the request is malformed
    :raises BadBodyError: its body cannot be read
    """
    service, request = _read_request(http, body_bytes, buffer_bytes)
    arrival = Arrival(
        service=service,
        method=request.method,
        path=request.target.partition("?")[0],
        deadline_s=_read_deadline(http),
        attempt=_read_attempt(http),
        key=read_key(http),
    )
    claim = _read_claim(http, service, request)
    return PendingCall(arrival, request, http.conn.socket.fileno(), claim)


def read_key(http: StrictRequest) -> bytes | None:
    """Return the key of the caller's organisation, None without one.

    Several credentials count as an empty key, which belongs to nobody:
    parties that each take another one would disagree on the caller.
    """
    values = []
    for name, value in http.fields:
        if name.lower() == AUTHORIZATION:
            values.append(value)
    if not values:
        return None
    if len(values) > 1:
        return b""
    scheme, _, key = values[0].partition(" ")
    if scheme.lower() != BEARER:
        return None
    # Values are read as Latin-1, where strip() without characters would also
    # remove the last byte of some characters of a key in UTF-8.
    return key.strip(" \t").encode("latin-1")


def check_request_line(http: StrictRequest) -> None:
    """Refuse a request line that endpoints could parse differently.

    :raises BadRequestError: the request line is malformed
    """
    if not _METHOD.fullmatch(http.method):
        raise BadRequestError(400, "method is not a word of letters")
    if not _TARGET.fullmatch(http.uri):
        raise BadRequestError(400, "path has bytes that must be escaped")


def _read_request(
    http: StrictRequest, body_bytes: int, buffer_bytes: int
) -> tuple[str, Request]:
    check_request_line(http)
    # The raw target is forwarded unchanged: decoding it would turn an
    # escaped slash or question mark into another path.
    raw = http.uri[len(CALL_PATH) :].decode("ascii")
    service, slash, path_and_query = raw.partition("/")
    if "?" in service:
        service, _, query = service.partition("?")
        path_and_query = f"?{query}{slash}{path_and_query}"
    # The ledger compares whole requests, so that a key reused for another
    # request is recognized; so all of a keyed request's body is buffered.
    keyed = http.inheaders.get(KEY_HEADER.encode()) is not None
    size = body_bytes + 1 if keyed else buffer_bytes
    return service, build_request(http, "/" + path_and_query, body_bytes, size)


def build_request(
    http: StrictRequest,
    target: str,
    body_bytes: int,
    prefix_bytes: int,
) -> Request:
    """Buffer the start of a request's body and build the request to send.

    :raises BadBodyError: its body cannot be read
    """
    headers = _end_to_end(http.fields)
    body = Body(http, body_bytes)
    prefix = _read_prefix(body, prefix_bytes, prefix_bytes > body_bytes)
    request = Request(http.method.decode(), target, headers, prefix)
    if not body.is_read:
        request.remainder = BodyRemainder(body.read)
    elif "content-length" in headers:
        del headers["Content-Length"]
    return request


def _read_prefix(body: Body, size: int, is_whole: bool) -> bytes:
    """Buffer the start of a body, or less while memory is short.

    ``is_whole`` is whether all of it is needed.
    """
    pieces: list[bytes] = []
    length = 0
    while length < size and not body.is_read:
        wanted = max(BUFFER_BYTES, min(length, MAX_PIECE_BYTES))
        wanted = min(wanted, size - length)
        try:
            body.hold(wanted)
        except BadBodyError:
            if is_whole or not pieces:
                raise
            # The rest is streamed, so it can be sent only once.
            break
        piece = body.read(wanted)
        pieces.append(piece)
        length += len(piece)
    return b"".join(pieces)


def _end_to_end(fields: Iterable[tuple[str, str]]) -> HTTPHeaderDict:
    options: set[str] = set()
    for name, value in fields:
        if name.lower() == "connection":
            options |= connection_options(value)
    headers = HTTPHeaderDict()
    for name, value in fields:
        if name.lower() in HOP_BY_HOP_HEADERS or name.lower() in options:
            continue
        if name.lower().replace("_", "-").startswith(RELAY_PREFIX):
            continue
        headers.add(name, value)
    suppress_user_agent(headers)
    return headers


def _read_number(
    http: StrictRequest, name: str, limit: int, unit: str
) -> int | None:
    text = http.inheaders.get(name.encode().title())
    if text is None:
        return None
    if not text.isdigit() or len(text) > 9 or not 0 < int(text) <= limit:
        raise BadRequestError(400, f"{name} must be 1 to {limit}{unit}")
    return int(text)


def _read_deadline(http: StrictRequest) -> float | None:
    deadline_ms = _read_number(
        http, DEADLINE_HEADER, MAX_DEADLINE_MS, " milliseconds"
    )
    if deadline_ms is None:
        return None
    return remaining_s(http, deadline_ms / 1000)


def remaining_s(http: StrictRequest, deadline_s: float) -> float:
    """Return what is left of a deadline, in seconds.

    The time that the request waited for a worker thread counts as used.
    """
    waited_s: float = time.monotonic() - http.conn.ready_at
    return max(0.0, deadline_s - waited_s)


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
    except InvalidKeyError as error:
        raise BadRequestError(400, f"{KEY_HEADER}: {error}") from error
