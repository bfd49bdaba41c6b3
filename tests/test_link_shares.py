"""Test that short messages do not wait behind long bodies on a slow link."""

from random import Random

import pytest
from nutmegchute_core.link_shares import BYTES_PER_MBIT
from nutmegchute_core.link_shares import LinkShare
from nutmegchute_core.link_shares import PIECE_BYTES

LINK_MBIT_PER_S = 2.35
LINK_BYTES_PER_S = LINK_MBIT_PER_S * BYTES_PER_MBIT
ANSWER_BYTES = 1500
DAY_S = 60.0


def _answer_waits(seed: int, paced: bool) -> list[float]:
    """Return how long answers wait on a link that uploads cross as well.

    A burst of uploads: 1.6 a second of 60 KB, beside 7 answers a second.
    """
    random = Random(seed)
    share = LinkShare(LINK_MBIT_PER_S if paced else None)
    writes: list[tuple[float, int]] = []
    at = 0.0
    while at < DAY_S:
        at += random.expovariate(1.6)
        size = int(random.lognormvariate(10.8, 0.6))
        writes += _write_body(share, size, at)
    at = 0.0
    while at < DAY_S:
        at += random.expovariate(7.0)
        writes.append((at, ANSWER_BYTES))
    waits = []
    free_at = 0.0
    for written_at, size in sorted(writes):
        free_at = max(free_at, written_at) + size / LINK_BYTES_PER_S
        if size == ANSWER_BYTES:
            waits.append(free_at - written_at)
    return sorted(waits)


def _write_body(
    share: LinkShare, size: int, at: float
) -> list[tuple[float, int]]:
    if not share.paces(size):
        return [(at, size)]
    writes = []
    while size > 0:
        piece = min(size, PIECE_BYTES)
        at += share.reserve(piece, at)
        writes.append((at, piece))
        size -= piece
    return writes


@pytest.mark.parametrize("seed", range(5))
def test_answers_do_not_wait_behind_a_burst_of_uploads(seed: int) -> None:
    """Answers leave within a tenth of the strictest objective.

    Unpaced, one in ten waits for longer than that.
    """
    tenth_s = 0.067
    paced = _answer_waits(seed, True)
    assert paced[int(len(paced) * 0.99)] < tenth_s
    unpaced = _answer_waits(seed, False)
    assert unpaced[int(len(unpaced) * 0.9)] > tenth_s


def test_concurrent_bodies_take_turns() -> None:
    """A long body does not hold back one that begins later."""
    share = LinkShare(LINK_MBIT_PER_S)
    delays = [share.reserve(PIECE_BYTES, 1.0) for _ in range(4)]
    turn_s = delays[1] - delays[0]
    assert delays == pytest.approx([turn_s * turn for turn in range(4)])
    assert share.reserve(PIECE_BYTES, 9.0) == 0.0


@pytest.mark.parametrize("rate", [None, 1000.0])
def test_fast_and_unknown_links_are_not_paced(rate: float | None) -> None:
    """Entries on fast links write bodies as before."""
    assert not LinkShare(rate).paces(10_000_000)
    assert not LinkShare(LINK_MBIT_PER_S).paces(16384)
