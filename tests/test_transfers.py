"""Transfer messages in parts between an outbox and a receiver."""

from random import Random

import pytest
from nutmegchute_core.transfers import BrokenTransferError
from nutmegchute_core.transfers import FIRST_PART_BYTES
from nutmegchute_core.transfers import LONG_PART_S
from nutmegchute_core.transfers import MAX_KEPT_BYTES
from nutmegchute_core.transfers import MAX_KEPT_MESSAGES
from nutmegchute_core.transfers import MAX_PART_BYTES
from nutmegchute_core.transfers import MIN_PART_BYTES
from nutmegchute_core.transfers import Offer
from nutmegchute_core.transfers import Outbox
from nutmegchute_core.transfers import PartRequest
from nutmegchute_core.transfers import Transfer

MESSAGE = Random(1).randbytes(100_000)


def fetch(outbox: Outbox, transfer: Transfer, took_s: float) -> list[int]:
    """Fetch what is missing; return the sizes of the parts."""
    sizes = []
    while transfer.missing:
        reply = outbox.part(transfer.next_part())
        assert reply.data is not None
        sizes.append(len(reply.data))
        transfer.add(reply.data, took_s)
    return sizes


@pytest.mark.parametrize("took_s", [0.0, 0.05, 10.0])
def test_parts_make_up_the_message(took_s: float) -> None:
    """Guard against parts that are lost or repeated as their size changes."""
    outbox = Outbox()
    transfer = Transfer(outbox.offer(7, MESSAGE))
    fetch(outbox, transfer, took_s)
    assert transfer.message() == MESSAGE


def test_slow_link_gets_small_parts() -> None:
    """Guard against parts that occupy a slow link for long."""
    outbox = Outbox()
    transfer = Transfer(outbox.offer(7, MESSAGE))
    sizes = fetch(outbox, transfer, 2 * LONG_PART_S)
    assert sizes[:3] == [FIRST_PART_BYTES >> shift for shift in range(3)]
    assert sizes[-2] == MIN_PART_BYTES


def test_silent_link_gets_small_parts() -> None:
    """Guard against parts that never arrive in time."""
    transfer = Transfer(Outbox().offer(7, MESSAGE))
    for _ in range(10):
        transfer.record_silence()
    assert transfer.next_part().size == MIN_PART_BYTES


def test_fast_link_gets_large_parts() -> None:
    """Guard against one round trip for each 8 KiB of a long message."""
    outbox = Outbox()
    transfer = Transfer(outbox.offer(8, bytes(4 * MAX_PART_BYTES)))
    sizes = fetch(outbox, transfer, 0.0)
    assert sizes[:3] == [FIRST_PART_BYTES << shift for shift in range(3)]
    assert max(sizes) == MAX_PART_BYTES


def test_resumed_transfer_requests_what_is_missing() -> None:
    """Guard against a second sender that begins at the first byte."""
    first, second = Outbox(), Outbox()
    offer = first.offer(7, MESSAGE)
    transfer = Transfer(offer)
    reply = first.part(transfer.next_part())
    assert reply.data is not None
    transfer.add(reply.data, 0.05)
    assert second.offer(7, MESSAGE) == offer
    fetch(second, transfer, 0.05)
    assert transfer.message() == MESSAGE


@pytest.mark.parametrize("data", [b"", MESSAGE + b"."])
def test_part_of_a_wrong_size_is_refused(data: bytes) -> None:
    """Guard against an empty part, which would be requested for ever."""
    transfer = Transfer(Outbox().offer(7, MESSAGE))
    with pytest.raises(BrokenTransferError, match="at byte 0 of 100000"):
        transfer.add(data, 0.05)


def test_damaged_message_is_refused() -> None:
    """Guard against a configuration put together from two messages."""
    offer = Outbox().offer(7, MESSAGE)
    transfer = Transfer(offer)
    transfer.add(MESSAGE[:-1] + b"x", 0.05)
    with pytest.raises(BrokenTransferError, match="digest"):
        transfer.message()


def test_outbox_keeps_what_is_in_use() -> None:
    """Guard against control that keeps every configuration in memory."""
    outbox = Outbox()
    used = outbox.offer(1, MESSAGE)
    first = outbox.offer(2, b"first")
    for number in range(2 * MAX_KEPT_MESSAGES):
        outbox.offer(3, b"%d" % number)
        assert outbox.part(PartRequest(used.digest, 0, 1)).data
    assert not outbox.holds(first)
    large = [
        outbox.offer(4, bytes([n]) * (MAX_KEPT_BYTES - 1)) for n in (1, 2)
    ]
    assert [outbox.holds(one) for one in large] == [False, True]
    assert outbox.part(PartRequest(used.digest, 0, 1)).data is None


@pytest.mark.parametrize(
    ("offset", "size"), [(-1, 10), (200_000, 10), (0, -5), (99_999, 10**9)]
)
def test_any_part_request_gets_a_reply(offset: int, size: int) -> None:
    """Guard against requests that make the sender fail or send all."""
    outbox = Outbox()
    offer: Offer = outbox.offer(7, MESSAGE)
    reply = outbox.part(PartRequest(offer.digest, offset, size))
    assert reply.data is not None
    assert len(reply.data) <= MAX_PART_BYTES
