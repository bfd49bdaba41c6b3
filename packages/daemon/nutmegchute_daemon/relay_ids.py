"""Name each attempt that is passed on, in its request and its answer."""

import re
from collections.abc import Iterable

from .protocols import RELAY_CALL_HEADER

_HEADER = RELAY_CALL_HEADER.lower()
_ID = re.compile(r"[0-9A-Za-z_.-]{1,80}")
_CRLF = b"\r\n"


def build_relay_id(origin: str, call_id: int, attempt: int) -> str:
    """Return the id of an attempt by the process that ``origin`` names."""
    return f"{origin}.{call_id}.{attempt}"


def find_relay_id(fields: Iterable[tuple[str, str]]) -> str:
    """Return the id in the headers of a request, empty without exactly one."""
    found = [value for name, value in fields if name.lower() == _HEADER]
    if len(found) != 1 or not _ID.fullmatch(found[0]):
        return ""
    return found[0]


def read_relay_id(received: bytes) -> str:
    """Return the id in what has arrived of a request, empty without one."""
    if _HEADER.encode() not in received.lower():
        return ""
    head, _, _ = received.partition(_CRLF + _CRLF)
    lines = head.split(_CRLF)
    if head == received:
        # The rest of the last line is still to come.
        del lines[-1]
    fields = []
    for line in lines[1:]:
        name, _, value = line.decode("latin-1").partition(":")
        fields.append((name, value.strip(" \t")))
    return find_relay_id(fields)
