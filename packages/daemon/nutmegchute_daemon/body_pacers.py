"""Write long bodies to endpoints piece by piece."""

import threading
import time
from collections.abc import Iterable
from collections.abc import Iterator

from nutmegchute_core.link_shares import LinkShare
from nutmegchute_core.link_shares import PIECE_BYTES


class BodyPacer:
    """Let the worker threads take turns in writing long bodies."""

    __slots__ = ("_lock", "_share")

    def __init__(self, link_mbit_per_s: float | None = None) -> None:
        self._lock = threading.Lock()
        self._share = LinkShare(link_mbit_per_s)

    def set_rate(self, link_mbit_per_s: float | None) -> None:
        """Set the link's rate in Mbit/s, None if it is not known."""
        with self._lock:
            self._share.set_rate(link_mbit_per_s)

    def paces(self, size: int) -> bool:
        """Return whether a body of this size is sent in pieces."""
        return self._share.paces(size)

    def split(self, parts: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the parts of a body in pieces, each when its turn comes."""
        for part in parts:
            for start in range(0, len(part), PIECE_BYTES):
                piece = part[start : start + PIECE_BYTES]
                with self._lock:
                    delay_s = self._share.reserve(len(piece), time.monotonic())
                if delay_s > 0:
                    time.sleep(delay_s)
                yield piece
