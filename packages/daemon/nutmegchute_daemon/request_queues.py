"""Queue connections for worker threads, whole requests first."""

import queue
import re
import threading
from collections import deque
from collections.abc import Callable
from typing import Any

HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"\r\n0\r\n\r\n"
EMPTY_CHUNKED = b"0\r\n\r\n"

_LENGTH = re.compile(rb"(?i)\r\ncontent-length:[ \t]*([0-9]{1,18})[ \t]*\r\n")
_CHUNKED = re.compile(rb"(?i)\r\ntransfer-encoding:")


class RequestQueue:
    """Queue connections, and serve those with a whole request first.

    A thread may have to wait for the rest of a partial request, so one is
    taken only while ``may_wait`` returns true. A worker thread that becomes
    free checks this again.
    """

    __slots__ = ("_changed", "_may_wait", "_partial", "_size", "_whole")

    def __init__(self, size: int, may_wait: Callable[[], bool]) -> None:
        self._size = size
        self._may_wait = may_wait
        self._changed = threading.Condition()
        self._whole: deque[Any] = deque()
        self._partial: deque[Any] = deque()

    @property
    def partial(self) -> int:
        """Return the number of queued partial requests."""
        return len(self._partial)

    def qsize(self) -> int:
        """Return the number of queued whole requests."""
        return len(self._whole)

    def put(self, item: Any) -> None:
        """Queue a signal to a thread behind the whole requests."""
        with self._changed:
            self._whole.append(item)
            self._changed.notify()

    def put_whole(self, item: Any) -> None:
        """Queue a whole request; raise queue.Full if too many are."""
        self._append(self._whole, item)

    def put_partial(self, item: Any) -> None:
        """Queue a partial request; raise queue.Full if too many are."""
        self._append(self._partial, item)

    def get(self) -> Any:
        """Remove and return what a thread is to serve next."""
        with self._changed:
            while True:
                if self._whole:
                    return self._whole.popleft()
                if self._partial and self._may_wait():
                    return self._partial.popleft()
                self._changed.wait()

    def wake(self) -> None:
        """Let an idle thread check again for partial requests."""
        with self._changed:
            self._changed.notify()

    def _append(self, items: deque[Any], item: Any) -> None:
        with self._changed:
            if len(items) >= self._size:
                raise queue.Full
            items.append(item)
            self._changed.notify()


def is_whole(received: bytes) -> bool:
    """Return whether bytes begin with a whole request."""
    head, end, body = received.partition(HEAD_END)
    if not end:
        return False
    head += b"\r\n"
    if _CHUNKED.search(head):
        return body.startswith(EMPTY_CHUNKED) or body.endswith(LAST_CHUNK)
    length = _LENGTH.search(head)
    return length is None or len(body) >= int(length[1])
