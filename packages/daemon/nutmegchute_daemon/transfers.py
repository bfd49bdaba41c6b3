"""Send long changes of the configuration tree in parts, and fetch them."""

import asyncio
import zlib
from collections.abc import Callable
from traceback import format_exc

import msgspec
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.transfers import BrokenTransferError
from nutmegchute_core.transfers import Offer
from nutmegchute_core.transfers import Outbox
from nutmegchute_core.transfers import PartReply
from nutmegchute_core.transfers import PartRequest
from nutmegchute_core.transfers import Transfer

from .events import Event
from .events import log
from .links import Links
from .methods import FETCH

# Changes of up to this size are sent within replies.
SHORT_BYTES = 16 * 1024
# Bytes that are compressed in one turn of the event loop.
SLICE_BYTES = 64 * 1024
# How long a part may take before the sender counts as silent. The smallest
# part takes this on a link of 4 kbit/s.
PART_TIMEOUT_S = 1.0
# Delay before an interrupted transfer is resumed.
RESUME_S = 0.15
EVICTED = "message no longer kept"

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(FollowReply)


class TreeOffers:
    """Offer long changes of the tree to entries.

    Entries with the same tree lack the same changes, which are encoded and
    compressed once for all of them.
    """

    __slots__ = ("_builds", "_newest", "_outbox")

    def __init__(self) -> None:
        self._outbox = Outbox()
        # The offers by the indexes between which they lead and whether they
        # are steps; None where the changes are short. Only those that lead
        # to the newest tree will be used again.
        self._builds: dict[
            tuple[int, int, bool], asyncio.Task[Offer | None]
        ] = {}
        self._newest = 0

    async def handle_part(self, request: PartRequest) -> PartReply:
        """Reply to the request of a part."""
        return self._outbox.part(request)

    async def offer(self, tree: FollowReply, after: int) -> Offer | None:
        """Offer the changes after an index; return None if they are short."""
        if tree.index > self._newest:
            self._newest = tree.index
            self._builds = {}
        key = (after, tree.index, tree.steps is not None)
        build = self._builds.get(key)
        if build is None or self._is_evicted(build):
            build = asyncio.ensure_future(self._build(tree))
            self._builds[key] = build
        # One entry that leaves must not cancel it for the others.
        return await asyncio.shield(build)

    def _is_evicted(self, build: asyncio.Task[Offer | None]) -> bool:
        if not build.done():
            return False
        offer = build.result()
        return offer is not None and not self._outbox.holds(offer)

    async def _build(self, tree: FollowReply) -> Offer | None:
        data = _ENCODER.encode(_sort_teams(tree))
        if len(data) <= SHORT_BYTES:
            return None
        compressor = zlib.compressobj()
        chunks = []
        for start in range(0, len(data), SLICE_BYTES):
            chunks.append(
                compressor.compress(data[start : start + SLICE_BYTES])
            )
            await asyncio.sleep(0)
        chunks.append(compressor.flush())
        return self._outbox.offer(tree.index, b"".join(chunks))


class TreeFetcher:
    """Fetch the offered changes of the tree, one offer at a time.

    A newer one does not replace it: with changes more frequent than
    transfers, no transfer would ever end. An interrupted transfer is resumed
    once a replica offers the same bytes.
    """

    __slots__ = (
        "_links",
        "_on_tree",
        "_source",
        "_task",
        "_transfer",
    )

    def __init__(
        self, links: Links, on_tree: Callable[[str, FollowReply], None]
    ) -> None:
        self._links = links
        self._on_tree = on_tree
        self._source = ""
        self._task: asyncio.Task[None] | None = None
        self._transfer: Transfer | None = None

    @property
    def is_fetching(self) -> bool:
        """Return whether a transfer is under way."""
        return self._task is not None and not self._task.done()

    @property
    def missing_bytes(self) -> int:
        """Return the bytes that the present transfer still lacks."""
        return 0 if self._transfer is None else self._transfer.missing

    def handle_offer(self, source: str, offer: Offer) -> None:
        """Fetch an offered message unless a transfer is under way."""
        if self.is_fetching:
            return
        transfer = self._transfer
        if transfer is None or transfer.offer.digest != offer.digest:
            transfer = self._transfer = Transfer(offer)
        self._source = source
        log(
            Event.TRANSFER_BEGUN,
            replica=source,
            index=offer.index,
            bytes=offer.size,
            received=transfer.received,
        )
        self._task = asyncio.ensure_future(self._fetch(transfer))

    def discard(self) -> None:
        """Discard an interrupted transfer: a reply had the tree."""
        if not self.is_fetching:
            self._transfer = None

    async def wait(self, timeout_s: float) -> None:
        """Wait until the transfer under way ends, at most a time."""
        if self._task is not None:
            await asyncio.wait([self._task], timeout=timeout_s)

    def stop(self) -> None:
        """Stop the transfer that is under way."""
        if self._task is not None:
            self._task.cancel()

    async def _fetch(self, transfer: Transfer) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        reason = ""
        while transfer.missing and not reason:
            reason = await self._fetch_part(transfer)
        if reason:
            log(
                Event.TRANSFER_INTERRUPTED,
                "warning",
                replica=self._source,
                index=transfer.offer.index,
                missing=transfer.missing,
                reason=reason,
            )
            await asyncio.sleep(RESUME_S)
            return
        self._transfer = None
        log(
            Event.TRANSFER_ENDED,
            replica=self._source,
            index=transfer.offer.index,
            bytes=transfer.offer.size,
            ms=round(1000 * (loop.time() - began_at)),
        )
        self._apply(transfer)

    async def _fetch_part(self, transfer: Transfer) -> str:
        """Fetch one part; return why the transfer is interrupted, if so."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        reply: PartReply | None = await self._links.send_request(
            self._source, FETCH, transfer.next_part(), PART_TIMEOUT_S
        )
        if reply is None:
            transfer.record_silence()
            return self._links.failure(self._source)
        if reply.data is None:
            return EVICTED
        try:
            transfer.add(reply.data, loop.time() - sent_at)
        except BrokenTransferError as error:
            self._transfer = None
            return str(error)
        return ""

    def _apply(self, transfer: Transfer) -> None:
        try:
            tree = _DECODER.decode(zlib.decompress(transfer.message()))
        except (BrokenTransferError, zlib.error, msgspec.DecodeError) as error:
            # Fetched again from its start: the next reply offers it anew.
            log(
                Event.TRANSFER_INTERRUPTED,
                "error",
                replica=self._source,
                index=transfer.offer.index,
                missing=transfer.offer.size,
                reason=str(error),
            )
            return
        try:
            self._on_tree(self._source, tree)
        except Exception:
            log(
                Event.REPLY_FAILED,
                "error",
                address=self._source,
                trace=format_exc(),
            )


def _sort_teams(tree: FollowReply) -> FollowReply:
    """Order the branches alike at all replicas, as the digest needs."""
    if tree.documents is None:
        return tree
    return msgspec.structs.replace(
        tree,
        documents=dict(sorted(tree.documents.items())),
        revisions=dict(sorted(tree.revisions.items())),
    )
