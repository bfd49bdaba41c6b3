"""Ask a control replica for what changed, on an entry."""

import asyncio
from traceback import format_exc
from typing import Protocol

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

# What a held question may take beyond the hold before its connection counts
# as silent and another replica is asked: a way there and back and a busy
# replica.
WATCH_MARGIN_S = 0.6
# The pause before another replica is asked, growing while none answers.
RETRY_S = 0.15
RETRY_MOST_S = 1.0
# Before any replica's first answer, and for so many tries, a connection must
# stand within this time. After a loss of power an entry may be back before
# control is, and the first packet to a vm without power is lost: TCP sends
# it again after a second. In a margin as long as above entries stood 0.4 s
# without a configuration that others had. The answer itself is not hurried:
# a hundred entries ask a replica that has just started, and each that gave
# up and connected anew would make it slower.
FIRST_TIMEOUT_S = 0.2
FIRST_RETRY_S = 0.05
FIRST_TRIES = 20


class Asking(Protocol):
    """Describe the entry that watches."""

    def build_request(self, hold_s: float) -> WatchRequest:
        """Build the question."""

    def handle_reply(self, replica: str, reply: WatchReply) -> None:
        """Take a replica's answer."""


class Watcher:
    """Hold an open question at one control replica at a time."""

    __slots__ = (
        "_asking",
        "_failures",
        "_chooser",
        "_links",
        "_lost",
        "_pending",
        "_reached",
        "_task",
    )

    def __init__(
        self, chooser: ReplicaChooser, links: Links, asking: Asking
    ) -> None:
        self._chooser = chooser
        self._links = links
        self._asking = asking
        self._lost = False
        self._reached = False
        self._failures = 0
        self._pending: asyncio.Task[WatchReply | None] | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to ask."""
        self._task = asyncio.ensure_future(self._run())

    def replace_seeds(self, seeds: list[str]) -> None:
        """Take other seeds, from settings that have changed."""
        self._chooser.set_seeds(seeds)

    def update(self, replicas: list[ReplicaInfo]) -> None:
        """Take the replicas that the group consists of now."""
        self._chooser.update(replicas)

    def renew(self) -> None:
        """Ask anew at once: this entry has something to say."""
        if self._pending is not None:
            self._pending.cancel()

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            address = self._chooser.choose(boot_time())
            hold_s = WATCH_HOLD_S if address == self._chooser.active else 0.0
            reply = None
            if await self._connect(address):
                reply = await self._ask(address, hold_s)
            if reply is None:
                await self._fail(address)
                continue
            self._reached = True
            self._chooser.record_answer(address, reply.current, boot_time())
            self._report(address, lost=not reply.current)
            self._hear(address, reply)
            if reply.current:
                self._failures = 0
                continue
            # Where none is in contact, each answers at once.
            await asyncio.sleep(RETRY_S)

    async def _fail(self, address: str) -> None:
        self._failures += 1
        self._chooser.record_failure(address, boot_time())
        self._report(address, lost=True)
        self._links.drop(address)
        if self._chooser.active is None:
            await asyncio.sleep(self._pause_s())

    @property
    def _is_first(self) -> bool:
        return not self._reached and self._failures <= FIRST_TRIES

    async def _connect(self, address: str) -> bool:
        if not self._is_first:
            return True
        return await self._links.open(address, FIRST_TIMEOUT_S)

    def _pause_s(self) -> float:
        if self._is_first:
            return FIRST_RETRY_S
        # Another replica is asked next: the first of them without delay.
        return min(RETRY_MOST_S, RETRY_S * (self._failures - 1))

    def _hear(self, address: str, reply: WatchReply) -> None:
        try:
            self._asking.handle_reply(address, reply)
        except Exception:
            # Were the watcher to end with it, this entry would keep its
            # configuration and endpoints for good and serve on by them.
            log(
                Event.WORD_FAILED,
                "error",
                address=address,
                trace=format_exc(),
            )

    async def _ask(self, address: str, hold_s: float) -> WatchReply | None:
        timeout_s = WATCH_MARGIN_S + hold_s
        while True:
            request = self._asking.build_request(hold_s)
            self._pending = asyncio.ensure_future(
                self._links.send_request(address, WATCH, request, timeout_s)
            )
            await asyncio.wait([self._pending])
            if not self._pending.cancelled():
                return self._pending.result()
            # Cancelled by a poke: the same question with other words.

    def _report(self, address: str, lost: bool) -> None:
        if lost == self._lost:
            return
        self._lost = lost
        if lost:
            log(Event.CONTROL_LOST, "warning", address=address)
        else:
            log(Event.CONTROL_REACHED, address=address)
