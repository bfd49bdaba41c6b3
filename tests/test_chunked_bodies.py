"""Test the reader of chunked bodies."""

import io

import pytest
from cheroot.errors import MaxSizeExceeded
from hypothesis import given
from hypothesis import strategies
from nutmegchute_daemon.exchanges import BUFFER_BYTES
from nutmegchute_daemon.exchanges import ChunkedReader

LIMIT = 1048576
END = b"0\r\n\r\n"


class CountingReader(io.BytesIO):
    """Record the largest read."""

    largest = 0

    def read(self, size: int | None = -1, /) -> bytes:
        """Read bytes and record how many were asked for."""
        self.largest = max(self.largest, size or 0)
        return super().read(size)


def encode(chunks: list[bytes]) -> bytes:
    """Encode a body in chunks."""
    lines = [b"%x\r\n%s\r\n" % (len(one), one) for one in chunks if one]
    return b"".join(lines) + END


@given(
    strategies.lists(strategies.binary(max_size=50), max_size=20),
    strategies.integers(1, 60),
)
def test_any_chunks_give_the_same_body(chunks: list[bytes], size: int) -> None:
    """Guard against bytes that are lost or repeated between chunks."""
    reader = ChunkedReader(io.BytesIO(encode(chunks)), LIMIT)
    pieces = []
    while piece := reader.read(size):
        pieces.append(piece)
        assert len(piece) <= size
    assert b"".join(pieces) == b"".join(chunks)
    assert reader.closed and list(reader.read_trailer_lines()) == []


def test_long_chunk_is_read_in_pieces() -> None:
    """Guard against a chunk that is held as a whole."""
    source = CountingReader(encode([bytes(LIMIT)]))
    reader = ChunkedReader(source, LIMIT)
    total = 0
    while piece := reader.read(BUFFER_BYTES):
        total += len(piece)
    assert total == LIMIT
    assert source.largest <= BUFFER_BYTES


@pytest.mark.parametrize(
    "body",
    [b"5\r\nabc", b"3\r\nabcXY0\r\n\r\n", b"-1\r\n", b"0x3\r\nabc\r\n", b""],
)
def test_malformed_bodies_are_refused(body: bytes) -> None:
    """Guard against a part of a body that passes for the whole."""
    reader = ChunkedReader(io.BytesIO(body), LIMIT)
    with pytest.raises(ValueError, match=r"\w"):
        reader.read(100)


def test_oversized_chunks_and_size_lines_are_refused() -> None:
    """Guard against bodies beyond the limit that are read to their end."""
    for body in (b"200000\r\n", b"1;" + b"x" * 200 + b"\r\n.\r\n" + END):
        reader = ChunkedReader(io.BytesIO(body), 100)
        with pytest.raises(MaxSizeExceeded):
            reader.read(100)
