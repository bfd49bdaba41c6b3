"""Read the lines of an endpoint's answer strictly and up to a limit."""

import http.client
import re
from typing import Any
from typing import Protocol

CRLF = b"\r\n"
# All heads of an answer, interim ones included.
MAX_HEAD_BYTES = 65536
# Lines of one head.
MAX_HEADERS = 100
MAX_INTERIM_ANSWERS = 4
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILERS = 32
MAX_TRAILER_BYTES = 8192

SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
NO_CONTENT = 204
FIRST_INVALID_STATUS = 600
HTTP_1_0 = 10
HTTP_1_1 = 11

CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"

_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
)
_FIELD = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)"
)
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(
    rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?"
)


class MalformedAnswerError(http.client.HTTPException):
    """Report bytes that are no answer, or one without a clear end."""


class LineSource(Protocol):
    """Return lines with their ends, and what is left at the end."""

    def readline(self, size: int, /) -> bytes:
        """Return a line of up to ``size`` bytes."""


class AnswerLines:
    """Read lines up to a total size."""

    __slots__ = ("_file", "_left_bytes")

    def __init__(self, file: LineSource, max_bytes: int) -> None:
        self._file = file
        self._left_bytes = max_bytes

    def read(self) -> bytes:
        """Return the next line without its end.

        :raises MalformedAnswerError: the lines are too long or end otherwise
        :raises RemoteDisconnected: the endpoint closed within the line
        """
        line = self._file.readline(self._left_bytes)
        self._left_bytes -= len(line)
        if line.endswith(CRLF):
            return line[:-2]
        if line.endswith(b"\n"):
            raise MalformedAnswerError("line without a carriage return")
        if self._left_bytes <= 0:
            raise MalformedAnswerError("lines are too long")
        raise http.client.RemoteDisconnected("closed within a line")


class Head:
    """Hold the head of a final answer."""

    __slots__ = (
        "fields",
        "is_chunked",
        "length",
        "reason",
        "status",
        "version",
    )

    def __init__(self, version: int, status: int, reason: str) -> None:
        self.version = version
        self.status = status
        self.reason = reason
        self.fields: list[tuple[str, str]] = []
        self.is_chunked = False
        # The announced length of the body, None without one.
        self.length: int | None = None


def read_head(file: LineSource) -> Head:
    """Read the head of the next answer; skip the interim ones before it.

    :raises MalformedAnswerError: it is malformed or too long
    :raises RemoteDisconnected: the endpoint closed before its end
    """
    lines = AnswerLines(file, MAX_HEAD_BYTES)
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        head = _read_status_line(lines)
        head.fields = _read_fields(lines)
        _check_framing(head)
        if head.status >= FIRST_FINAL_STATUS:
            return head
        _check_interim(head)
    raise MalformedAnswerError("too many interim answers")


def read_chunk_size(file: LineSource) -> int:
    """Read the line before a chunk; return 0 for the last one.

    :raises MalformedAnswerError: it is malformed or too long
    :raises RemoteDisconnected: the endpoint closed before its end
    """
    line = AnswerLines(file, MAX_CHUNK_LINE_BYTES).read()
    found = _CHUNK_SIZE.fullmatch(line)
    if found is None:
        raise MalformedAnswerError("malformed chunk size")
    return int(found[1], 16)


def skip_trailers(file: LineSource) -> None:
    """Read the lines after the last chunk, the empty one included.

    :raises MalformedAnswerError: they are malformed or too long
    :raises RemoteDisconnected: the endpoint closed before their end
    """
    lines = AnswerLines(file, MAX_TRAILER_BYTES)
    count = 0
    while line := lines.read():
        count += 1
        if count > MAX_TRAILERS or not _FIELD.fullmatch(line):
            raise MalformedAnswerError("malformed trailer")


def build_message(head: Head) -> http.client.HTTPMessage:
    """Return the header fields in the form that the library expects."""
    message = http.client.HTTPMessage()
    # Assigned otherwise, the message would check each field once more.
    store: Any = message.set_raw
    for name, value in head.fields:
        store(name, value)
    return message


def _read_status_line(lines: AnswerLines) -> Head:
    line = lines.read()
    found = _STATUS_LINE.fullmatch(line)
    if found is None:
        raise MalformedAnswerError("malformed status line")
    status = int(found[2])
    if status >= FIRST_INVALID_STATUS:
        raise MalformedAnswerError("unknown class of status")
    version = HTTP_1_1 if found[1] == b"1" else HTTP_1_0
    return Head(
        version, status, line[found.end(2) :].decode("latin-1").strip()
    )


def _read_fields(lines: AnswerLines) -> list[tuple[str, str]]:
    fields: list[tuple[str, str]] = []
    for _ in range(MAX_HEADERS + 1):
        line = lines.read()
        if not line:
            return fields
        # A folded line is refused too (RFC 9112, 5.2): it may be a header of
        # its own whose name was damaged.
        found = _FIELD.fullmatch(line)
        if found is None:
            raise MalformedAnswerError("malformed header")
        value = found[2].strip(b" \t").decode("latin-1")
        fields.append((found[1].decode("ascii"), value))
    raise MalformedAnswerError("too many headers")


def _check_interim(head: Head) -> None:
    if head.status == SWITCHING_PROTOCOLS:
        raise MalformedAnswerError("protocol switched without a request")
    if head.is_chunked or head.length:
        # A changed digit makes an interim answer of a final one, whose body
        # would be read as the next head.
        raise MalformedAnswerError("interim answer with a body")


def _check_framing(head: Head) -> None:
    lengths = set()
    codings = []
    for name, value in head.fields:
        lower = name.lower()
        if lower == CONTENT_LENGTH:
            lengths.add(value)
        elif lower == TRANSFER_ENCODING:
            codings.append(value.lower())
    if codings:
        if lengths:
            raise MalformedAnswerError("both a length and a coding")
        if codings != ["chunked"] or head.version != HTTP_1_1:
            raise MalformedAnswerError("coding must be chunked")
        if head.status == NO_CONTENT:
            raise MalformedAnswerError("coding without a body")
        head.is_chunked = True
    if not lengths:
        return
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise MalformedAnswerError("no single length")
    head.length = int(length)
    if head.status == NO_CONTENT and head.length:
        raise MalformedAnswerError("length without a body")
