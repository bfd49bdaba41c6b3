"""Transfer a long message in parts, so that a slow link only delays it.

A sender offers the message by the digest of its bytes. The receiver requests
one part at a time and keeps what has arrived, also when the sender is lost:
it resumes at any other sender that offers the same bytes.
"""

from collections import OrderedDict

import msgspec
import xxhash

from .errors import CoreError

# Parts grow while they take less than the first and shrink when they take
# more than the second: whatever shares the link waits behind one of them.
SHORT_PART_S = 0.03
LONG_PART_S = 0.1
FIRST_PART_BYTES = 8 * 1024
MIN_PART_BYTES = 512
MAX_PART_BYTES = 256 * 1024
# Messages kept for receivers that have not finished. One that is evicted is
# offered again under the same digest if it is still the newest.
MAX_KEPT_BYTES = 16 * 1024 * 1024
MAX_KEPT_MESSAGES = 32


class BrokenTransferError(CoreError):
    """Report that received parts are not the message that was offered."""


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """Offer a message of ``size`` bytes that leads to the tree at ``index``.

    ``digest`` identifies the bytes: senders that offer the same message
    offer the same digest.
    """

    index: int
    digest: bytes
    size: int


class PartRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request up to ``size`` bytes of a message from an offset."""

    digest: bytes
    offset: int
    size: int


class PartReply(msgspec.Struct, frozen=True, array_like=True):
    """Carry a part of a message, None if the sender no longer has it."""

    data: bytes | None


class Outbox:
    """Keep the messages that were offered; evict the least recently used."""

    __slots__ = ("_kept_bytes", "_messages")

    def __init__(self) -> None:
        self._kept_bytes = 0
        self._messages: OrderedDict[bytes, bytes] = OrderedDict()

    def offer(self, index: int, message: bytes) -> Offer:
        """Keep a message and return its offer."""
        digest = xxhash.xxh3_128_digest(message)
        if digest not in self._messages:
            self._messages[digest] = message
            self._kept_bytes += len(message)
        self._messages.move_to_end(digest)
        self._evict()
        return Offer(index, digest, len(message))

    def holds(self, offer: Offer) -> bool:
        """Return whether an offered message is still kept."""
        return offer.digest in self._messages

    def part(self, request: PartRequest) -> PartReply:
        """Return a part of a message."""
        message = self._messages.get(request.digest)
        if message is None:
            return PartReply(None)
        self._messages.move_to_end(request.digest)
        offset = max(0, request.offset)
        size = min(MAX_PART_BYTES, max(0, request.size))
        return PartReply(message[offset : offset + size])

    def _evict(self) -> None:
        # The newest is kept even if it exceeds the bound by itself.
        while len(self._messages) > 1 and (
            self._kept_bytes > MAX_KEPT_BYTES
            or len(self._messages) > MAX_KEPT_MESSAGES
        ):
            _, message = self._messages.popitem(last=False)
            self._kept_bytes -= len(message)


class Transfer:
    """Collect the parts of an offered message."""

    __slots__ = ("_data", "_offer", "_part_bytes")

    def __init__(self, offer: Offer) -> None:
        self._offer = offer
        self._data = bytearray()
        self._part_bytes = FIRST_PART_BYTES

    @property
    def offer(self) -> Offer:
        """Return the offer of the message."""
        return self._offer

    @property
    def received(self) -> int:
        """Return the number of bytes received."""
        return len(self._data)

    @property
    def missing(self) -> int:
        """Return the number of bytes still to receive."""
        return self._offer.size - len(self._data)

    def next_part(self) -> PartRequest:
        """Return the request of the next part."""
        size = min(self._part_bytes, self.missing)
        return PartRequest(self._offer.digest, len(self._data), size)

    def add(self, data: bytes, took_s: float) -> None:
        """Add the part requested last and adapt the size of the next.

        :raises BrokenTransferError: it is empty or longer than requested
        """
        if not 0 < len(data) <= self.missing:
            raise BrokenTransferError(
                f"part of {len(data)} bytes at byte {len(self._data)} "
                f"of {self._offer.size}"
            )
        self._data += data
        if took_s < SHORT_PART_S:
            self._part_bytes = min(MAX_PART_BYTES, 2 * self._part_bytes)
        elif took_s > LONG_PART_S:
            self._shrink()

    def record_silence(self) -> None:
        """Record that a part did not arrive in time; request less next."""
        self._shrink()

    def message(self) -> bytes:
        """Return the whole message.

        :raises BrokenTransferError: its digest is not the offered one
        """
        message = bytes(self._data)
        if xxhash.xxh3_128_digest(message) != self._offer.digest:
            raise BrokenTransferError(
                f"digest of {len(message)} bytes differs from the offer"
            )
        return message

    def _shrink(self) -> None:
        self._part_bytes = max(MIN_PART_BYTES, self._part_bytes // 2)
