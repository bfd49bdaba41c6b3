"""Assemble a snapshot that arrives in chunks."""

from .messages import InstallRequest
from .messages import Snapshot

CHUNK_BYTES = 256 * 1024


class IncomingSnapshot:
    """Hold the chunks of one snapshot received so far, in order."""

    __slots__ = ("_data", "_index", "_membership", "_term", "_total")

    def __init__(self, request: InstallRequest) -> None:
        self._index = request.index
        self._term = request.snapshot_term
        self._membership = request.membership
        self._total = request.total
        self._data = bytearray()

    @property
    def received(self) -> int:
        """Return the number of bytes received."""
        return len(self._data)

    def matches(self, request: InstallRequest) -> bool:
        """Return whether a chunk belongs to this snapshot."""
        own = (self._index, self._term, self._total)
        return own == (request.index, request.snapshot_term, request.total)

    def add_chunk(self, request: InstallRequest) -> None:
        """Append a chunk if it is the next one; ignore duplicates."""
        if request.offset == len(self._data):
            self._data += request.piece

    def completed(self) -> Snapshot | None:
        """Return the snapshot once all chunks have arrived, else None."""
        if len(self._data) < self._total:
            return None
        return Snapshot(
            index=self._index,
            term=self._term,
            membership=self._membership,
            state=bytes(self._data),
        )
