"""Watch a control replica for changes, on an entry."""

import asyncio
from traceback import format_exc
from typing import Protocol

import msgspec
from nutmegchute_core.follow_protocol import FollowReply
from nutmegchute_core.replica_choosers import ReplicaChooser
from nutmegchute_core.sessions import ReplicaInfo
from nutmegchute_core.sessions import WATCH_HOLD_S
from nutmegchute_core.sessions import WatchReply
from nutmegchute_core.sessions import WatchRequest

from .clocks import boot_time
from .events import Event
from .events import log
from .links import Links
from .methods import WATCH
from .transfers import TreeFetcher

# How long beyond its hold a request may take before its connection counts as
# broken and another replica is tried. Covers a round trip and a busy replica.
WATCH_MARGIN_S = 0.6
# Delay before the next replica is tried; it grows while none answers.
RETRY_S = 0.15
MAX_RETRY_S = 1.0
# Connection timeout until any replica has replied, for FIRST_TRIES tries.
# After a power failure an entry may start before control does. Its first
# packet is then lost, and TCP resends it only after a second: with
# WATCH_MARGIN_S as the timeout, entries had no configuration for 0.4 s longer
# than others. The reply has no such short timeout: a hundred entries request
# one from a replica that has just started, and each that timed out and
# reconnected would slow it down further.
FIRST_TIMEOUT_S = 0.2
FIRST_RETRY_S = 0.05
FIRST_TRIES = 20
# Hold of requests during a transfer, after which they report the new tree.
FETCHING_HOLD_S = 0.2
OUT_OF_CONTACT = "replica out of contact"


class WatchingEntry(Protocol):
    """Build the requests and handle the replies of a watcher."""

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build the next request."""

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Apply the reply of a replica."""

    def handle_tree(self, replica: str, tree: FollowReply) -> None:
        """Apply the changes of the tree that were fetched from a replica."""


class Watcher:
    """Keep a long poll open at one control replica at a time."""

    __slots__ = (
        "_chooser",
        "_contact_lost",
        "_entry",
        "_failures",
        "_fetcher",
        "_links",
        "_pending",
        "_reached",
        "_task",
    )

    def __init__(
        self, chooser: ReplicaChooser, links: Links, entry: WatchingEntry
    ) -> None:
        self._chooser = chooser
        self._links = links
        self._entry = entry
        self._fetcher = TreeFetcher(links, entry.handle_tree)
        self._contact_lost = False
        self._reached = False
        self._failures = 0
        self._pending: asyncio.Task[WatchReply | None] | None = None
        self._task: asyncio.Task[None] | None = None

    @property
    def replicas(self) -> list[str]:
        """Return the replicas' addresses, the watched one first."""
        active = self._chooser.active
        others = [one for one in self._chooser.addresses if one != active]
        return others if active is None else [active, *others]

    @property
    def missing_bytes(self) -> int:
        """Return the bytes of a tree that are still to be fetched."""
        return self._fetcher.missing_bytes

    def start(self) -> None:
        """Start sending requests."""
        self._task = asyncio.ensure_future(self._run())

    def replace_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds by those of changed settings."""
        self._chooser.set_seeds(seeds)

    def update(self, replicas: list[ReplicaInfo]) -> None:
        """Replace the replicas by the present members of the group."""
        self._chooser.update(replicas)

    def renew(self) -> None:
        """Cancel the held request and send one with the present state."""
        if self._pending is not None:
            self._pending.cancel()

    def stop(self) -> None:
        """Stop sending requests."""
        self._fetcher.stop()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            address = self._chooser.choose(boot_time())
            hold_s = WATCH_HOLD_S if address == self._chooser.active else 0.0
            reply = None
            if await self._connect(address):
                reply = await self._request(address, hold_s)
            if reply is None:
                await self._handle_failure(address)
                continue
            self._reached = True
            self._chooser.record_answer(address, reply.current, boot_time())
            self._report_contact(
                address, lost=not reply.current, reason=OUT_OF_CONTACT
            )
            self._handle_reply(address, reply)
            if reply.current:
                self._failures = 0
                continue
            # A replica out of contact replies without a hold.
            await asyncio.sleep(RETRY_S)

    async def _handle_failure(self, address: str) -> None:
        self._failures += 1
        self._chooser.record_failure(address, boot_time())
        reason = self._links.failure(address)
        self._report_contact(address, lost=True, reason=reason)
        self._links.drop(address)
        if self._chooser.active is None:
            await asyncio.sleep(self._retry_delay_s())

    @property
    def _is_starting(self) -> bool:
        return not self._reached and self._failures <= FIRST_TRIES

    async def _connect(self, address: str) -> bool:
        if not self._is_starting:
            return True
        return await self._links.open(address, FIRST_TIMEOUT_S)

    def _retry_delay_s(self) -> float:
        if self._is_starting:
            return FIRST_RETRY_S
        # After the first failure the next replica is tried without delay.
        return min(MAX_RETRY_S, RETRY_S * (self._failures - 1))

    def _handle_reply(self, address: str, reply: WatchReply) -> None:
        try:
            self._entry.handle_reply(address, reply)
        except Exception:
            # If this ended the task, the entry would never again update its
            # configuration and endpoints, and would serve by stale ones.
            log(
                Event.REPLY_FAILED,
                "error",
                address=address,
                trace=format_exc(),
            )
        if reply.tree is not None:
            self._fetcher.discard()
        if reply.offer is not None:
            self._fetcher.handle_offer(address, reply.offer)

    async def _request(self, address: str, hold_s: float) -> WatchReply | None:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        timeout_s = WATCH_MARGIN_S + hold_s
        left_s = timeout_s
        while left_s > 0:
            hold_s = min(hold_s, max(0.0, left_s - WATCH_MARGIN_S))
            request = self._build_request(hold_s)
            self._pending = asyncio.ensure_future(
                self._links.send_request(address, WATCH, request, left_s)
            )
            await asyncio.wait([self._pending])
            if not self._pending.cancelled():
                return self._pending.result()
            # Cancelled by renew(): send the present state instead, within
            # the same time, since the replica may be silent.
            left_s = begun_at + timeout_s - loop.time()
        return None

    def _build_request(self, hold_s: float) -> WatchRequest:
        if self._fetcher.is_fetching:
            hold_s = min(hold_s, FETCHING_HOLD_S)
        return msgspec.structs.replace(
            self._entry.build_request(hold_s),
            fetching=self._fetcher.is_fetching,
        )

    def _report_contact(
        self, address: str, lost: bool, reason: str = ""
    ) -> None:
        if lost == self._contact_lost:
            return
        self._contact_lost = lost
        if lost:
            log(
                Event.CONTROL_LOST,
                "warning",
                address=address,
                reason=reason,
            )
        else:
            log(Event.CONTROL_REACHED, address=address)
