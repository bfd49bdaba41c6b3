"""Frame data on disk with a length and a checksum."""

import xxhash

MAGIC = b"NCF1"
HEADER_BYTES = 16


def encode_frame(payload: bytes) -> bytes:
    """Return a frame: magic bytes, length, checksum and payload."""
    length = len(payload).to_bytes(4, "big")
    digest = xxhash.xxh64_digest(length + payload)
    return MAGIC + length + digest + payload


def read_frame(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the frame at an offset, None if not intact."""
    start = offset + HEADER_BYTES
    header = data[offset:start]
    if len(header) < HEADER_BYTES or not header.startswith(MAGIC):
        return None
    size = int.from_bytes(header[4:8], "big")
    payload = data[start : start + size]
    if len(payload) < size:
        return None
    if xxhash.xxh64_digest(header[4:8] + payload) != header[8:]:
        return None
    return payload


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether an intact frame starts anywhere after an offset."""
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        if read_frame(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False
