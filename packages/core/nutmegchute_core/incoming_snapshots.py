"""Gather a snapshot that arrives in pieces."""

from .messages import InstallRequest
from .messages import Snapshot

CHUNK_BYTES = 256 * 1024


class IncomingSnapshot:
    """Hold the pieces of one snapshot that have arrived in order."""

    __slots__ = ("_data", "_index", "_membership", "_term", "_total")

    def __init__(self, request: InstallRequest) -> None:
        self._index = request.index
        self._term = request.snapshot_term
        self._membership = request.membership
        self._total = request.total
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Give the number of bytes that have arrived."""
        return len(self._data)

    def matches(self, request: InstallRequest) -> bool:
        """Tell whether a piece belongs to this snapshot."""
        own = (self._index, self._term, self._total)
        return own == (request.index, request.snapshot_term, request.total)

    def add_chunk(self, request: InstallRequest) -> None:
        """Take a piece if it is the next; a doubled one changes nothing."""
        if request.offset == len(self._data):
            self._data += request.piece

    def completed(self) -> Snapshot | None:
        """Return the snapshot once it is whole."""
        if len(self._data) < self._total:
            return None
        return Snapshot(
            index=self._index,
            term=self._term,
            membership=self._membership,
            state=bytes(self._data),
        )
